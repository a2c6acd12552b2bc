//! The caller side: takes requests from callers and answers them.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use http::header::{CONNECTION, CONTENT_LENGTH, RETRY_AFTER, UPGRADE};
use http::{HeaderValue, Response, StatusCode};
use xitca_web::http::WebRequest;

use crate::chain::{self, Chain, End, Note};
use crate::claim;
use crate::entry::intake;
use crate::entry::socket::{CALLER, Caller};
use crate::error::{Code, Outcome};
use crate::event::{EventCode, Subject};
use crate::forward::answer::{Answer, AnswerBody};
use crate::forward::{Job, drive};
use crate::header::{self, Names};
use crate::node::{Node, Phase};
use crate::time::Time;

/// The service in the metrics of requests that were not taken in.
const NOT_TAKEN_IN: &str = "";

/// Answers one request of a caller.
pub(crate) async fn handle(
    node: &Arc<Node>,
    req: WebRequest,
) -> Result<Response<AnswerBody>, Infallible> {
    let caller = CALLER.with(Rc::clone);
    let _busy = caller.begin();
    let id = intake::request_id(&node.header_names, req.headers());
    let upgrade = req.headers().contains_key(UPGRADE);
    let has_body = intake::has_body(req.headers());
    let (answer, unread) = match intake::take_in(node, &caller, &id, req).await {
        Ok(job) => (accepted(node, &caller, &job).await, false),
        Err(code) => {
            node.metrics.answered(NOT_TAKEN_IN, code);
            log_not_taken_in(node, &id, code);
            (Answer::own(code), has_body || intake::is_unreadable(code))
        }
    };
    let mut res = response(&node.header_names, &id, answer);
    if unread || upgrade || caller.is_last() || node.phase() >= Phase::Draining {
        caller.set_last();
        res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(res)
}

async fn accepted(node: &Arc<Node>, caller: &Caller, job: &Job) -> Answer {
    let subject = Subject {
        request: Some(job.id.clone()),
        service: Some(job.service.name.clone()),
        ..Subject::default()
    };
    let start = node.clock.now();
    let left = u64::try_from(start.until(job.deadline).as_millis()).ok();
    job.chain.add(Note { value: left, ..Note::new(start, EventCode::Accepted) });
    node.events.record(EventCode::Accepted, subject.clone(), left);
    let answer = claim::guard(node, job, drive::run(node, job, caller.gone())).await;
    let now = node.clock.now();
    let code = Some(answer.code.number().into());
    job.chain.add(Note { value: code, ..Note::new(now, EventCode::Finished) });
    node.events.record(EventCode::Finished, subject, code);
    node.metrics.answered(&job.service.name, answer.code);
    node.metrics.took(&job.service.name, answer.code.outcome(), now.since(start));
    log_chain(node, job, &answer, start, now);
    answer
}

/// Logs the decisions on a request, within what requests may log.
fn log_chain(node: &Node, job: &Job, answer: &Answer, start: Time, now: Time) {
    let objective = Duration::from_millis(job.treatment.objective_ms);
    let late = !objective.is_zero() && now.since(start) > objective;
    let end = End {
        host: &node.settings.host,
        request: &job.id,
        service: &job.service.name,
        in_time: answer.code == Code::Answered && !late,
        now,
    };
    let mut allowance = node.log_allowance.lock();
    let lines = job.chain.lines(&end, allowance.count(), SystemTime::now());
    if lines.is_empty() {
        return;
    }
    match allowance.take(lines.len(), now) {
        true => chain::log(&lines),
        false => node.metrics.chain_dropped(),
    }
}

/// Logs that a request was not taken in, within what requests may log.
fn log_not_taken_in(node: &Node, id: &str, code: Code) {
    let now = node.clock.now();
    let mut allowance = node.log_allowance.lock();
    if !allowance.take(1, now) {
        return node.metrics.chain_dropped();
    }
    let step = Note { value: Some(code.number().into()), ..Note::new(now, EventCode::NotTakenIn) };
    let chain = Chain::default();
    chain.add(step);
    let end = End { host: &node.settings.host, request: id, service: "", in_time: false, now };
    chain::log(&chain.lines(&end, 0, SystemTime::now()));
}

fn response(names: &Names, id: &str, answer: Answer) -> Response<AnswerBody> {
    let Answer { code, status, mut headers, body, retry_after } = answer;
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
fn retry_after_text(names: &Names, after: Duration) -> String {
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
