//! The caller side: takes requests from callers and answers them.

use std::future::poll_fn;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONNECTION, HOST, RETRY_AFTER};
use http::{HeaderMap, HeaderValue};
use xitca_web::body::{Body, RequestBody, ResponseBody};
use xitca_web::http::{WebRequest, WebResponse};

use crate::claim;
use crate::entry::socket::{CALLER, Caller};
use crate::error::Code;
use crate::event::{EventCode, Subject};
use crate::forward::{self, Answer, Job};
use crate::header;
use crate::node::{Node, Phase};

/// The end of a connection without an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cut;

/// Answers one request of a caller.
///
/// # Errors
///
/// [`Cut`] if an answer has closed the connection before this request.
pub(crate) async fn handle(node: &Arc<Node>, req: WebRequest) -> Result<WebResponse, Cut> {
    let caller = CALLER.with(Rc::clone);
    if caller.is_last() {
        return Err(Cut);
    }
    let _busy = caller.begin();
    let id = request_id(req.headers());
    let answer = match take_in(node, &caller, &id, req).await {
        Ok(job) => accepted(node, &job).await,
        Err(code) => Answer::own(code, None),
    };
    let mut res = response(&id, answer);
    if node.phase() >= Phase::Draining {
        caller.set_last();
        res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(res)
}

async fn accepted(node: &Arc<Node>, job: &Job) -> Answer {
    let subject = Subject {
        request: Some(job.id.clone()),
        service: Some(job.service.name.clone()),
        ..Subject::default()
    };
    let start = node.clock.now();
    node.events.record(EventCode::Accepted, subject.clone(), None);
    let answer = claim::guard(node, job, forward::run(node, job)).await;
    node.events.record(EventCode::Finished, subject, Some(answer.code.number().into()));
    node.metrics.answered(&job.service.name, answer.code);
    let took = node.clock.now().since(start);
    node.metrics.took(&job.service.name, answer.code.outcome(), took);
    answer
}

/// Takes a request in whole.
async fn take_in(
    node: &Node,
    caller: &Caller,
    id: &Arc<str>,
    req: WebRequest,
) -> Result<Job, Code> {
    node.current().await;
    let now = node.clock.now();
    let (parts, ext) = req.into_parts();
    let (_, body) = ext.replace_body(());
    let host = parts.headers.get(HOST).and_then(|v| v.to_str().ok()).unwrap_or("");
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let routes = node.routes();
    let found =
        routes.find(host, parts.method.as_str(), parts.uri.path()).ok_or(Code::NoService)?;
    let body = whole(body, found.service.body_max_bytes).await?;
    if caller.has_ended() {
        return Err(Code::BodyCut);
    }
    Ok(Job {
        id: id.clone(),
        service: found.service.clone(),
        treatment: found.treatment.clone(),
        deadline: now + Duration::from_millis(found.treatment.deadline_ms),
        method: parts.method,
        uri: parts.uri,
        headers: passed_on(parts.headers),
        body,
    })
}

async fn whole(body: RequestBody, max: u64) -> Result<Bytes, Code> {
    let mut body = std::pin::pin!(body);
    let mut out = BytesMut::new();
    while let Some(frame) = poll_fn(|cx| Body::poll_frame(body.as_mut(), cx)).await {
        let data = frame.map_err(|_| Code::BodyCut)?.into_data().unwrap_or_default();
        if (out.len() + data.len()) as u64 > max {
            return Err(Code::BodyTooLarge);
        }
        out.extend_from_slice(&data);
    }
    Ok(out.freeze())
}

fn passed_on(headers: HeaderMap) -> HeaderMap {
    let keep =
        |name: &str| !header::HOP_BY_HOP.contains(&name) && !name.starts_with(header::OWN_PREFIX);
    let mut out = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers.iter().filter(|(name, _)| keep(name.as_str())) {
        out.append(name.clone(), value.clone());
    }
    out
}

fn request_id(headers: &HeaderMap) -> Arc<str> {
    let given = headers.get(header::REQUEST_ID).and_then(|v| v.to_str().ok());
    let given = given.filter(|id| !id.is_empty() && id.len() <= 64);
    given.map_or_else(|| format!("{:016x}", rand::random::<u64>()).into(), Arc::from)
}

fn response(id: &str, answer: Answer) -> WebResponse {
    let mut res = WebResponse::new(ResponseBody::bytes(answer.body));
    *res.status_mut() = answer.status;
    *res.headers_mut() = passed_on(answer.headers);
    let headers = res.headers_mut();
    headers.insert(header::OUTCOME, text(&answer.code.outcome().to_string()));
    headers.insert(header::CODE, answer.code.number().into());
    headers.insert(header::REQUEST_ID, text(id));
    if let Some(after) = answer.retry_after {
        let seconds = after.as_millis().div_ceil(1_000).max(1);
        headers.insert(RETRY_AFTER, text(&seconds.to_string()));
    }
    res
}

fn text(value: &str) -> HeaderValue {
    HeaderValue::from_str(value).unwrap_or_else(|_| HeaderValue::from_static(""))
}
