//! The upstream side: connections, attempts and probes.

pub(crate) mod connection;
pub(crate) mod probe;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::Full;

use crate::config::{Service, Treatment};
use crate::decide::admit::{self, Admission, Refusal, Target};
use crate::decide::upstream::{Ended, Report};
use crate::dispatch::Admitted;
use crate::error::Code;
use crate::node::Node;
use crate::time::Time;

/// A caller's request, taken in whole.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: Arc<str>,
    pub(crate) service: Arc<Service>,
    pub(crate) treatment: Treatment,
    pub(crate) deadline: Time,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// What the caller is told.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) code: Code,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) retry_after: Option<Duration>,
}

impl Answer {
    /// Makes an answer of cornelferry's own.
    pub(crate) fn own(code: Code, retry_after: Option<Duration>) -> Answer {
        Answer {
            code,
            status: StatusCode::from_u16(code.status()).unwrap_or(StatusCode::BAD_GATEWAY),
            headers: HeaderMap::new(),
            body: Bytes::from(format!("{code}\n")),
            retry_after,
        }
    }
}

/// Runs a request to its final answer.
pub(crate) async fn run(node: &Arc<Node>, job: &Job) -> Answer {
    let now = node.clock.now();
    let wait = Duration::from_millis(job.treatment.wait_ms);
    let req = admit::Request {
        priority: job.treatment.priority,
        deadline: job.deadline,
        wait_until: (now + wait).min(job.deadline),
    };
    match node.admit(&job.service.name, &req) {
        Ok(Admitted::Run(target)) => attempt(node, job, &target).await,
        Ok(Admitted::Refuse(refusal)) => refused(&refusal),
        Ok(Admitted::Wait(_, rx)) => match rx.await {
            Ok(Admission::Run(target)) => attempt(node, job, &target).await,
            Ok(Admission::Refuse(refusal)) => refused(&refusal),
            _ => Answer::own(Code::Stopping, Some(Duration::from_secs(1))),
        },
        Err(code) => Answer::own(code, None),
    }
}

fn refused(refusal: &Refusal) -> Answer {
    Answer::own(refusal.code, Some(refusal.retry_after))
}

async fn attempt(node: &Arc<Node>, job: &Job, target: &Target) -> Answer {
    let start = node.clock.now();
    let sent = tokio::time::timeout(start.until(job.deadline), send(job, target)).await;
    let now = node.clock.now();
    let (ended, answer) = match sent {
        Ok(Ok(answer)) => (Ended::Answered, answer),
        Ok(Err(e)) if e.unsent => (Ended::Unconnected, Answer::own(Code::ConnectFailed, None)),
        Ok(Err(_)) => (Ended::Lost, Answer::own(Code::ConnectionLost, None)),
        Err(_) => (Ended::Silent, Answer::own(Code::DeadlineAfterSend, None)),
    };
    let report = Report { ended, latency: now.since(start), load: None, draining: false };
    node.finish(&job.service.name, target.id, &report);
    answer
}

async fn send(job: &Job, target: &Target) -> Result<Answer, connection::Failure> {
    let mut req = Request::new(Full::new(job.body.clone()));
    *req.method_mut() = job.method.clone();
    *req.uri_mut() = job.uri.clone();
    *req.headers_mut() = job.headers.clone();
    let (head, body) = connection::send(target.address, req).await?;
    Ok(Answer {
        code: Code::Answered,
        status: head.status,
        headers: head.headers,
        body,
        retry_after: None,
    })
}
