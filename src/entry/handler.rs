//! Handles callers' requests, and builds the responses.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use http::header::{CONNECTION, CONTENT_LENGTH, RETRY_AFTER, UPGRADE};
use http::{HeaderValue, Response, StatusCode};
use xitca_web::http::WebRequest;

use crate::claim;
use crate::decide::startup;
use crate::entry::socket::{CALLER_CONNECTION, CallerConnection};
use crate::entry::{allowance, lateness, request};
use crate::error::{Code, Outcome};
use crate::event::{EventCode, Subject};
use crate::forward::response::{ProxyBody, ProxyResponse};
use crate::forward::{BufferedRequest, driver};
use crate::header::{self, FieldNames};
use crate::logs;
use crate::node::{Node, Phase};
use crate::request_log::{self, LogEntry, RequestLog, RequestSummary};
use crate::time::{CLOCK_START, Time};

/// The service label in the metrics of rejected requests.
const NO_SERVICE: &str = "";

/// The log budget that a line takes while the host is overloaded, in lines.
const OVERLOAD_LINE_COST: usize = 8;

/// Handles one request of a caller, or one that a peer passes on.
pub(crate) async fn handle(
    node: &Arc<Node>,
    req: WebRequest,
    is_relayed: bool,
) -> Result<Response<ProxyBody>, Infallible> {
    let caller = CALLER_CONNECTION.with(Rc::clone);
    let _guard = caller.begin_request();
    lateness::measure(node).await;
    let given_id = request::request_id(&node.header_names, req.headers());
    let id = given_id.clone().ok().flatten().unwrap_or_else(request::new_request_id);
    let upgrade = req.headers().contains_key(UPGRADE);
    let has_body = request::has_body(req.headers());
    let received = match given_id {
        Ok(_) => request::receive(node, &caller, &id, req, is_relayed).await,
        Err(code) => Err(code),
    };
    let (response, has_unread_body) = match received {
        Ok(request) => (process(node, &caller, &request).await, false),
        Err(code) => {
            node.metrics.count_request(NO_SERVICE, code);
            // Events 1010 and 1011 tell of these; a line each would add to the overload.
            if code != Code::HostOverloaded {
                log_rejected(node, &id, code);
            }
            (refusal(node, code), has_body || request::is_end_unknown(code))
        }
    };
    let mut res = http_response(&node.header_names, &id, response);
    if has_unread_body || upgrade || caller.is_closing() || node.phase() >= Phase::Draining {
        caller.set_closing();
        res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(res)
}

/// Returns the response to a request that was rejected before it was accepted.
fn refusal(node: &Node, code: Code) -> ProxyResponse {
    let mut response = ProxyResponse::local(code);
    let now = node.clock.now();
    match code {
        Code::NotReady => {
            let elapsed = now.since(CLOCK_START);
            response.retry_after = Some(startup::retry_after(elapsed, rand::random()));
        }
        Code::HostOverloaded => {
            let overload = node.overload.lock();
            response.retry_after = Some(overload.retry_after(now, rand::random()));
        }
        _ => {}
    }
    response
}

async fn process(
    node: &Arc<Node>,
    caller: &CallerConnection,
    request: &BufferedRequest,
) -> ProxyResponse {
    let subject = Subject {
        request: Some(request.id.clone()),
        service: Some(request.service.name.clone()),
        ..Subject::default()
    };
    let start = node.clock.now();
    let time_left = u64::try_from(start.until(request.deadline).as_millis()).ok();
    request.log.add(LogEntry {
        value: time_left,
        fingerprint: Some(request.fingerprints.exact),
        ..LogEntry::new(start, EventCode::Accepted)
    });
    node.events.record(EventCode::Accepted, subject.clone(), time_left);
    let running = async {
        match allowance::check(node, request).await {
            Some(refusal) => refusal,
            None => driver::run(node, request, caller.disconnected()).await,
        }
    };
    let response = match request.is_relayed {
        // The host that passes it on holds the claim.
        true => running.await,
        false => claim::run_claimed(node, request, running).await,
    };
    let now = node.clock.now();
    let code = Some(response.code.number().into());
    request.log.add(LogEntry { value: code, ..LogEntry::new(now, EventCode::CallerAnswered) });
    node.events.record(EventCode::CallerAnswered, subject, code);
    node.metrics.count_request(&request.service.name, response.code);
    node.metrics.observe_latency(&request.service.name, response.code.outcome(), now.since(start));
    log_request(node, request, &response, start, now);
    response
}

/// Logs the decisions on a request, subject to the rate limit.
fn log_request(
    node: &Node,
    request: &BufferedRequest,
    response: &ProxyResponse,
    start: Time,
    now: Time,
) {
    let objective = Duration::from_millis(request.treatment.objective_ms);
    let is_late = !objective.is_zero() && now.since(start) > objective;
    let summary = RequestSummary {
        host: &node.settings.host,
        request: &request.id,
        service: &request.service.name,
        team: request.team.as_ref().map(|t| &*t.name),
        in_time: response.code == Code::Answered && !is_late,
        now,
    };
    let mut limiter = node.log_limiter.lock();
    let number = limiter.next_number();
    let count = request.log.line_count(&summary, number);
    if count == 0 {
        return;
    }
    let cost = if node.overload.lock().is_refusing() { OVERLOAD_LINE_COST } else { 1 };
    if !logs::has_room_for_request() || !limiter.try_take(count * cost, now) {
        return node.metrics.count_unlogged_request();
    }
    drop(limiter);
    request_log::log(&request.log.lines(&summary, number, SystemTime::now()));
}

/// Logs that a request was rejected before admission, subject to the rate limit.
fn log_rejected(node: &Node, id: &str, code: Code) {
    let now = node.clock.now();
    let mut limiter = node.log_limiter.lock();
    if !logs::has_room_for_request() || !limiter.try_take(1, now) {
        return node.metrics.count_unlogged_request();
    }
    let entry =
        LogEntry { value: Some(code.number().into()), ..LogEntry::new(now, EventCode::Rejected) };
    let log = RequestLog::default();
    log.add(entry);
    let summary = RequestSummary {
        host: &node.settings.host,
        request: id,
        service: NO_SERVICE,
        team: None,
        in_time: false,
        now,
    };
    request_log::log(&log.lines(&summary, 0, SystemTime::now()));
}

fn http_response(names: &FieldNames, id: &str, response: ProxyResponse) -> Response<ProxyBody> {
    let ProxyResponse { code, status, mut headers, body, retry_after } = response;
    if matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        headers.remove(CONTENT_LENGTH);
    }
    headers.insert(header::OUTCOME, outcome_value(code.outcome()));
    headers.insert(header::CODE, code.number().into());
    headers.insert(&names.request_id, header_value(id));
    if let Some(after) = retry_after {
        headers.insert(RETRY_AFTER, header_value(&retry_after_text(names, after)));
    }
    let mut res = Response::new(body);
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    res
}

/// Formats a `Retry-After` value: whole seconds as in RFC 9110, or fractions of a second if the
/// callers are known to accept them.
fn retry_after_text(names: &FieldNames, after: Duration) -> String {
    match names.fractional_retry_after {
        true => format!("{:.3}", after.as_secs_f64()),
        false => after.as_millis().div_ceil(1_000).max(1).to_string(),
    }
}

fn outcome_value(outcome: Outcome) -> HeaderValue {
    HeaderValue::from_static(match outcome {
        Outcome::Answered => "answered",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    })
}

fn header_value(value: &str) -> HeaderValue {
    HeaderValue::from_str(value).unwrap_or_else(|_| HeaderValue::from_static(""))
}
