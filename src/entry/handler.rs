//! The caller side: takes requests from callers and answers them.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use http::header::{CONNECTION, CONTENT_LENGTH, RETRY_AFTER, UPGRADE};
use http::{HeaderValue, Response, StatusCode};
use xitca_web::http::WebRequest;

use crate::claim;
use crate::entry::request;
use crate::entry::socket::{CALLER_CONNECTION, CallerConnection};
use crate::error::{Code, Outcome};
use crate::event::{EventCode, Subject};
use crate::forward::response::{ProxyBody, ProxyResponse};
use crate::forward::{BufferedRequest, driver};
use crate::header::{self, FieldNames};
use crate::node::{Node, Phase};
use crate::request_log::{self, LogEntry, RequestLog, Summary};
use crate::time::Time;

/// The service in the metrics of requests that were not taken in.
const NOT_TAKEN_IN: &str = "";

/// Answers one request of a caller.
pub(crate) async fn handle(
    node: &Arc<Node>,
    req: WebRequest,
) -> Result<Response<ProxyBody>, Infallible> {
    let caller = CALLER_CONNECTION.with(Rc::clone);
    let _busy = caller.begin();
    let id = request::request_id(&node.header_names, req.headers());
    let upgrade = req.headers().contains_key(UPGRADE);
    let has_body = request::has_body(req.headers());
    let (answer, unread) = match request::take_in(node, &caller, &id, req).await {
        Ok(job) => (accepted(node, &caller, &job).await, false),
        Err(code) => {
            node.metrics.count_request(NOT_TAKEN_IN, code);
            log_not_taken_in(node, &id, code);
            (ProxyResponse::local(code), has_body || request::is_unreadable(code))
        }
    };
    let mut res = response(&node.header_names, &id, answer);
    if unread || upgrade || caller.is_last() || node.phase() >= Phase::Draining {
        caller.set_last();
        res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(res)
}

async fn accepted(
    node: &Arc<Node>,
    caller: &CallerConnection,
    job: &BufferedRequest,
) -> ProxyResponse {
    let subject = Subject {
        request: Some(job.id.clone()),
        service: Some(job.service.name.clone()),
        ..Subject::default()
    };
    let start = node.clock.now();
    let left = u64::try_from(start.until(job.deadline).as_millis()).ok();
    job.log.add(LogEntry { value: left, ..LogEntry::new(start, EventCode::Accepted) });
    node.events.record(EventCode::Accepted, subject.clone(), left);
    let answer = claim::guard(node, job, driver::run(node, job, caller.gone())).await;
    let now = node.clock.now();
    let code = Some(answer.code.number().into());
    job.log.add(LogEntry { value: code, ..LogEntry::new(now, EventCode::CallerAnswered) });
    node.events.record(EventCode::CallerAnswered, subject, code);
    node.metrics.count_request(&job.service.name, answer.code);
    node.metrics.observe_latency(&job.service.name, answer.code.outcome(), now.since(start));
    log_request(node, job, &answer, start, now);
    answer
}

/// Logs the decisions on a request, within what requests may log.
fn log_request(node: &Node, job: &BufferedRequest, answer: &ProxyResponse, start: Time, now: Time) {
    let objective = Duration::from_millis(job.treatment.objective_ms);
    let late = !objective.is_zero() && now.since(start) > objective;
    let end = Summary {
        host: &node.settings.host,
        request: &job.id,
        service: &job.service.name,
        in_time: answer.code == Code::Answered && !late,
        now,
    };
    let mut allowance = node.log_limiter.lock();
    let lines = job.log.lines(&end, allowance.count(), SystemTime::now());
    if lines.is_empty() {
        return;
    }
    match allowance.take(lines.len(), now) {
        true => request_log::log(&lines),
        false => node.metrics.count_unlogged_request(),
    }
}

/// Logs that a request was not taken in, within what requests may log.
fn log_not_taken_in(node: &Node, id: &str, code: Code) {
    let now = node.clock.now();
    let mut allowance = node.log_limiter.lock();
    if !allowance.take(1, now) {
        return node.metrics.count_unlogged_request();
    }
    let step =
        LogEntry { value: Some(code.number().into()), ..LogEntry::new(now, EventCode::Rejected) };
    let log = RequestLog::default();
    log.add(step);
    let end = Summary { host: &node.settings.host, request: id, service: "", in_time: false, now };
    request_log::log(&log.lines(&end, 0, SystemTime::now()));
}

fn response(names: &FieldNames, id: &str, answer: ProxyResponse) -> Response<ProxyBody> {
    let ProxyResponse { code, status, mut headers, body, retry_after } = answer;
    header::strip(&mut headers);
    if matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        headers.remove(CONTENT_LENGTH);
    }
    headers.insert(header::OUTCOME, outcome(code.outcome()));
    headers.insert(header::CODE, code.number().into());
    headers.insert(&names.request_id, text(id));
    if let Some(after) = retry_after {
        headers.insert(RETRY_AFTER, text(&retry_after_text(names, after)));
    }
    let mut res = Response::new(body);
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    res
}

/// Returns the time as whole seconds, as the standard field has it, or with fractions where callers
/// are known to take them.
fn retry_after_text(names: &FieldNames, after: Duration) -> String {
    match names.fractional_retry_after {
        true => format!("{:.3}", after.as_secs_f64()),
        false => after.as_millis().div_ceil(1_000).max(1).to_string(),
    }
}

fn outcome(outcome: Outcome) -> HeaderValue {
    HeaderValue::from_static(match outcome {
        Outcome::Answered => "answered",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    })
}

fn text(value: &str) -> HeaderValue {
    HeaderValue::from_str(value).unwrap_or_else(|_| HeaderValue::from_static(""))
}
