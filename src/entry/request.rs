//! Takes a caller's request in whole, and refuses what is malformed or over a limit.

use std::future::poll_fn;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING, UPGRADE};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, Uri, Version};
use xitca_web::body::{Body, RequestBody};
use xitca_web::http::WebRequest;

use crate::config::Service;
use crate::decide::kinds::LatencyGoal;
use crate::decide::matching::Match;
use crate::entry::socket::CallerConnection;
use crate::error::Code;
use crate::forward::BufferedRequest;
use crate::forward::memory::Reservation;
use crate::header::{self, FieldNames};
use crate::node::{Node, Phase};
use crate::settings::Limits;
use crate::time::Time;

/// The longest request id that is taken over from a caller.
const REQUEST_ID_LEN_MAX: usize = 64;
/// Time allowed to a body that was announced by `Expect`. xitca-http 0.9.6 does not see one that
/// came together with its head.
const EXPECTED_BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for an answer's way to the caller, so that one that is given up on hears of it before it
/// gives up itself.
const ANSWER_WAY: Duration = Duration::from_millis(20);
/// Part of a short time left that is kept for the answer's way at most.
const ANSWER_WAY_DIVISOR: u32 = 16;
/// Bytes that a header field takes beside its name and value.
const FIELD_OVERHEAD: usize = 4;

/// Returns the caller's request id if it is visible ASCII and not too long, or makes one.
pub(crate) fn request_id(names: &FieldNames, headers: &HeaderMap) -> Arc<str> {
    let given = headers.get(&names.request_id).map(HeaderValue::as_bytes);
    let given = given.filter(|id| !id.is_empty() && id.len() <= REQUEST_ID_LEN_MAX);
    let given = given.filter(|id| id.iter().all(u8::is_ascii_graphic));
    match given.and_then(|id| std::str::from_utf8(id).ok()) {
        Some(id) => id.into(),
        None => format!("{:016x}", rand::random::<u64>()).into(),
    }
}

/// Takes a request in whole.
///
/// # Errors
///
/// Why the request is refused. Nothing of it has reached an upstream.
pub(crate) async fn take_in(
    node: &Node,
    caller: &CallerConnection,
    id: &Arc<str>,
    req: WebRequest,
) -> Result<BufferedRequest, Code> {
    let now = node.clock.now();
    node.wait_until_current().await;
    if node.phase() == Phase::Starting {
        return Err(Code::NotReady);
    }
    if caller.is_last() {
        let stopping = node.phase() >= Phase::Draining;
        return Err(if stopping { Code::Stopping } else { Code::BadRequest });
    }
    let (parts, ext) = req.into_parts();
    let routes = node.routes();
    check_head(&parts, &node.settings.limits, routes.head_max_bytes())?;
    let target = Target::new(&parts)?;
    let method = parts.method.as_str();
    let found = routes.find(&target.host, method, target.path.path());
    let found = found.ok_or_else(|| no_service(node))?;
    let (service, treatment) = (found.service.clone(), found.treatment.clone());
    let left = time_left(&node.header_names, &parts.headers)?;
    let deadline = deadline(left, now, treatment.deadline_ms);
    let aim = aim(&found, left, now);
    let mut held = node.memory.reservation();
    let body = match parts.headers.contains_key(UPGRADE) {
        true => Bytes::new(),
        false => {
            let (_, body) = ext.replace_body(());
            let taken = whole(body, declared(&parts.headers), &service, &mut held);
            let limit = match parts.headers.contains_key(EXPECT) {
                true => deadline.min(now + EXPECTED_BODY_TIMEOUT),
                false => deadline,
            };
            let taken = tokio::time::timeout_at(node.clock.instant(limit).into(), taken);
            taken.await.map_err(|_| Code::BodyCut)??
        }
    };
    if caller.has_ended() {
        return Err(Code::BodyCut);
    }
    Ok(BufferedRequest {
        id: id.clone(),
        service,
        treatment,
        deadline,
        aim,
        method: parts.method,
        uri: Uri::from(target.path),
        log: Rc::default(),
        headers: passed_on(&node.header_names, parts.headers, id),
        body,
        _held: held,
    })
}

/// Returns why no route was found: there is none, or this host may not have heard of it yet.
fn no_service(node: &Node) -> Code {
    let follows = node.settings.registry.is_some();
    let is_current = !follows || node.registry_freshness.is_current(node.clock.now());
    if is_current { Code::NoService } else { Code::RoutesOutdated }
}

/// Tells whether a request announces a body.
pub(crate) fn has_body(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Tells whether it is unsure where a request that was refused with a code ends.
pub(crate) const fn is_unreadable(code: Code) -> bool {
    matches!(code, Code::BadRequest | Code::HeadTooLarge | Code::BodyCut)
}

/// Refuses heads that are over a limit, and those whose body other programs may delimit otherwise.
fn check_head(parts: &Parts, limits: &Limits, max: Option<usize>) -> Result<(), Code> {
    let headers = &parts.headers;
    let fields = headers.iter().map(|(n, v)| n.as_str().len() + v.len() + FIELD_OVERHEAD);
    let uri = parts.uri.path_and_query().map_or(0, |p| p.as_str().len());
    if headers.len() > limits.headers
        || fields.sum::<usize>() + uri > max.unwrap_or(limits.head_bytes)
    {
        return Err(Code::HeadTooLarge);
    }
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let codings: Vec<_> = headers.get_all(TRANSFER_ENCODING).iter().collect();
    let digits = |v: &HeaderValue| v.as_bytes().iter().all(u8::is_ascii_digit);
    let length_is_plain = headers.get(CONTENT_LENGTH).is_none_or(digits);
    let chunked = |v: &HeaderValue| v.as_bytes().eq_ignore_ascii_case(b"chunked");
    let framed = match codings[..] {
        [] => lengths <= 1 && length_is_plain,
        [coding] => lengths == 0 && chunked(coding),
        _ => false,
    };
    let well_formed =
        framed && parts.version == Version::HTTP_11 && parts.method != Method::CONNECT;
    if well_formed { Ok(()) } else { Err(Code::BadRequest) }
}

/// The host and path that a request is for.
#[derive(Debug)]
struct Target {
    host: String,
    path: PathAndQuery,
}

impl Target {
    /// Reads the request target: a path, or a whole URI, whose host goes before the `Host` field.
    fn new(parts: &Parts) -> Result<Target, Code> {
        let mut hosts = parts.headers.get_all(HOST).iter();
        let host = hosts.next().and_then(|v| v.to_str().ok()).ok_or(Code::BadRequest)?;
        if hosts.next().is_some() {
            return Err(Code::BadRequest);
        }
        let host = parts.uri.authority().map_or(host, |a| a.as_str());
        let path = parts.uri.path_and_query().ok_or(Code::BadRequest)?;
        if !path.path().starts_with('/') || path.path().split('/').any(is_dot_segment) {
            return Err(Code::BadRequest);
        }
        Ok(Target { host: host.to_owned(), path: path.clone() })
    }
}

/// Tells whether an upstream might read a segment as a step within the path, so that a rule for
/// one path would treat a request for another.
fn is_dot_segment(segment: &str) -> bool {
    if segment.is_empty() || segment.len() > "%2e%2e".len() {
        return false;
    }
    let plain = segment.to_ascii_lowercase().replace("%2e", ".");
    plain == "." || plain == ".."
}

/// Returns the time that the caller says it has left, if it says so.
fn time_left(names: &FieldNames, headers: &HeaderMap) -> Result<Option<Duration>, Code> {
    let Some(value) = headers.get(&names.deadline) else { return Ok(None) };
    let digits = value.to_str().ok().filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
    let left = digits.and_then(|v| v.parse::<u64>().ok()).ok_or(Code::BadDeadline)?;
    Ok(Some(Duration::from_millis(left)))
}

/// Returns the sooner of the profile's deadline and the caller's own, which leaves the time for the
/// answer to get there.
fn deadline(left: Option<Duration>, now: Time, profile_ms: u64) -> Time {
    let profile = Duration::from_millis(profile_ms);
    let own = left.map(|left| left.saturating_sub(ANSWER_WAY.min(left / ANSWER_WAY_DIVISOR)));
    now + own.map_or(profile, |own| own.min(profile))
}

/// Returns what the caller wants of the time of the answer, where its route says so.
fn aim(found: &Match<'_>, left: Option<Duration>, now: Time) -> Option<LatencyGoal> {
    let objective = Duration::from_millis(found.treatment.objective_ms);
    let whole = Duration::from_millis(found.treatment.deadline_ms);
    let aim =
        LatencyGoal { kind: found.kind, objective, arrived: now, time_left: left.unwrap_or(whole) };
    (!objective.is_zero()).then_some(aim)
}

fn declared(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

async fn whole(
    body: RequestBody,
    declared: Option<u64>,
    service: &Service,
    held: &mut Reservation,
) -> Result<Bytes, Code> {
    let max = service.body_max_bytes;
    if declared.is_some_and(|length| length > max) {
        return Err(Code::BodyTooLarge);
    }
    let mut body = std::pin::pin!(body);
    let mut out = BytesMut::new();
    while let Some(frame) = poll_fn(|cx| Body::poll_frame(body.as_mut(), cx)).await {
        let data = frame.map_err(|_| Code::BodyCut)?.into_data().unwrap_or_default();
        if (out.len() + data.len()) as u64 > max {
            return Err(Code::BodyTooLarge);
        }
        if !held.grow(data.len() as u64) {
            return Err(Code::Overloaded);
        }
        out.extend_from_slice(&data);
    }
    let cut = declared.is_some_and(|length| length != out.len() as u64);
    if cut { Err(Code::BodyCut) } else { Ok(out.freeze()) }
}

/// Returns the header that goes on to an upstream. The body's length is written anew.
fn passed_on(names: &FieldNames, mut headers: HeaderMap, id: &str) -> HeaderMap {
    header::strip(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let id = HeaderValue::from_str(id).expect("visible ASCII");
    headers.insert(&names.request_id, id);
    headers
}
