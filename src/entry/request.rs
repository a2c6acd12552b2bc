//! Reads a caller's request completely, and rejects it if it is malformed or exceeds a limit.

use std::future::poll_fn;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING, UPGRADE};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, Uri, Version};
use xitca_web::body::{Body, RequestBody};
use xitca_web::http::WebRequest;

use crate::config::{Service, Team};
use crate::decide::kinds::LatencyGoal;
use crate::decide::matching::{Match, Routes};
use crate::decide::poison::{Caller, Fingerprints};
use crate::decide::teams::{self, Keys, UnknownKey};
use crate::entry::socket::CallerConnection;
use crate::error::Code;
use crate::forward::BufferedRequest;
use crate::forward::memory::{BodyBuffer, Reservation};
use crate::header::{self, FieldNames};
use crate::node::{Node, Phase};
use crate::settings::Limits;
use crate::time::Time;

/// Time limit for a body announced by `Expect`. xitca-http 0.9.6 does not see a body that arrived
/// together with its head, so that reading it would last until the deadline.
const EXPECT_BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time reserved for sending the response to the caller, so that the caller learns of an expired
/// deadline before its own timeout.
const TRANSIT_TIME: Duration = Duration::from_millis(20);
/// For short deadlines, only the remaining time divided by this number is reserved for sending the
/// response.
const TRANSIT_DIVISOR: u32 = 16;
/// Bytes that a header field takes in addition to its name and value: `: ` and CRLF.
const FIELD_OVERHEAD: usize = 4;

/// Returns the caller's request id, as the caller has sent it, or `None` if the caller has sent none.
///
/// # Errors
///
/// Returns [`Code::BadRequest`] if there are several ids, or if the id is empty or not visible ASCII. An
/// upstream must not run such a request under another id, which nobody would know.
pub(crate) fn request_id(
    names: &FieldNames,
    headers: &HeaderMap,
) -> Result<Option<Arc<str>>, Code> {
    let mut ids = headers.get_all(&names.request_id).iter();
    let Some(id) = ids.next() else { return Ok(None) };
    let is_visible = !id.is_empty() && id.as_bytes().iter().all(u8::is_ascii_graphic);
    let id = id.to_str().ok().filter(|_| is_visible && ids.next().is_none());
    id.map(|id| Some(id.into())).ok_or(Code::BadRequest)
}

/// Returns a request id for a request without a usable one.
pub(crate) fn new_request_id() -> Arc<str> {
    format!("{:016x}", rand::random::<u64>()).into()
}

/// Reads and checks a request.
///
/// # Errors
///
/// Returns the reason why the request is rejected. No part of it has reached an upstream.
pub(crate) async fn receive(
    node: &Node,
    caller: &CallerConnection,
    id: &Arc<str>,
    req: WebRequest,
    is_relayed: bool,
) -> Result<BufferedRequest, Code> {
    let now = node.clock.now();
    node.wait_until_current().await;
    if node.phase() == Phase::Starting {
        return Err(Code::NotReady);
    }
    if caller.is_closing() {
        let stopping = node.phase() >= Phase::Draining;
        return Err(if stopping { Code::Stopping } else { Code::BadRequest });
    }
    let (parts, ext) = req.into_parts();
    if is_relayed && routes_version(&parts.headers) > node.routes_version() {
        return Err(Code::RoutesOutdated);
    }
    let routes = node.routes();
    check_head(&parts, &node.settings.limits, routes.head_max_bytes())?;
    let target = RequestTarget::new(&parts)?;
    let method = parts.method.as_str();
    let route = routes.find(&target.host, method, target.path.path());
    let route = route.ok_or_else(|| code_if_current(node, Code::NoService))?;
    let team = find_team(node, &routes, &route, &parts.headers, is_relayed)?;
    let service = route.service.clone();
    let treatment = teams::treatment(route.treatment, team.as_deref());
    if let Some(code) = node.overload_refusal(treatment.priority) {
        return Err(code);
    }
    let time_left = time_left(&node.header_names, &parts.headers)?;
    let deadline = deadline(time_left, now, treatment.deadline_ms);
    let latency_goal = latency_goal(&route, time_left, now);
    let buffer = BodyBuffer::new(&node.memory);
    let (body, reservation) = match parts.headers.contains_key(UPGRADE) {
        true => buffer.into_parts(),
        false => {
            let (_, body) = ext.replace_body(());
            let reading = read_body(body, content_length(&parts.headers), &service, caller, buffer);
            let limit = match parts.headers.contains_key(EXPECT) {
                true => deadline.min(now + EXPECT_BODY_TIMEOUT),
                false => deadline,
            };
            let reading = tokio::time::timeout_at(node.clock.instant(limit).into(), reading);
            reading.await.map_err(|_| Code::BodyCut)??
        }
    };
    if caller.is_read_closed() {
        return Err(Code::BodyCut);
    }
    let caller_address = match is_relayed {
        true => relayed_address(&parts.headers),
        false => caller.address(),
    };
    let sender = match &team {
        Some(team) => Caller::Team(&team.name),
        None if routes.keys().teams().is_some() => Caller::Keyless(caller_address),
        None => Caller::Nameless(caller_address),
    };
    let fingerprints =
        Fingerprints::new(sender, parts.method.as_str(), &target.host, &target.path, &body);
    let mut headers = upstream_headers(&node.header_names, parts.headers, id);
    if !matches!(routes.keys(), Keys::NotNeeded) {
        set_team(&node.header_names, &mut headers, team.as_deref());
    }
    Ok(BufferedRequest {
        id: id.clone(),
        fingerprints,
        is_relayed,
        team,
        caller_address,
        service,
        treatment,
        deadline,
        latency_goal,
        method: parts.method,
        uri: Uri::from(target.path),
        log: Rc::default(),
        headers,
        body,
        _memory: reservation,
    })
}

/// Returns why the routes in force reject a request: `code`, or that they may be outdated.
fn code_if_current(node: &Node, code: Code) -> Code {
    let uses_registry = node.settings.registry.is_some();
    let is_current = !uses_registry || node.registry_freshness.is_current(node.clock.now());
    if is_current { code } else { Code::RoutesOutdated }
}

/// Returns the team of the caller, if the request needs or has a key. A peer that passes a request on
/// has found its team and names it.
///
/// # Errors
///
/// Returns [`Code::Unauthorized`] if the request lacks the key that it needs, or
/// [`Code::RoutesOutdated`] if the teams may be outdated or differ from the peer's, or if the request
/// has a key and it is unclear whether any team holds it.
fn find_team(
    node: &Node,
    routes: &Routes,
    route: &Match<'_>,
    headers: &HeaderMap,
    is_relayed: bool,
) -> Result<Option<Arc<Team>>, Code> {
    let teams = routes.keys().teams();
    if is_relayed && let Some(name) = headers.get(header::RELAYED_TEAM) {
        let team = teams.and_then(|t| t.find_named(name.as_bytes())).ok_or(Code::RoutesOutdated)?;
        return Ok(Some(team.clone()));
    }
    let keys = headers.get_all(&node.header_names.key);
    let Some(teams) = teams else {
        let is_unclear = matches!(routes.keys(), Keys::Unclear) && keys.iter().next().is_some();
        return if is_unclear { Err(Code::RoutesOutdated) } else { Ok(None) };
    };
    match teams.identify(route.is_public, keys.iter().map(HeaderValue::as_bytes)) {
        Ok(team) => Ok(team.cloned()),
        Err(UnknownKey) if is_relayed => Err(Code::RoutesOutdated),
        Err(UnknownKey) => Err(code_if_current(node, Code::Unauthorized)),
    }
}

/// Returns whether a request announces a body.
pub(crate) fn has_body(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns whether the end of a request rejected with this code is unknown, so that the connection
/// can't be reused.
pub(crate) const fn is_end_unknown(code: Code) -> bool {
    matches!(code, Code::BadRequest | Code::HeadTooLarge | Code::BodyCut)
}

/// Rejects request heads that exceed a limit, and those whose body length other HTTP
/// implementations may determine differently.
fn check_head(parts: &Parts, limits: &Limits, max: Option<usize>) -> Result<(), Code> {
    let headers = &parts.headers;
    let field_sizes = headers.iter().map(|(n, v)| n.as_str().len() + v.len() + FIELD_OVERHEAD);
    let uri_size = parts.uri.path_and_query().map_or(0, |p| p.as_str().len());
    if headers.len() > limits.headers
        || field_sizes.sum::<usize>() + uri_size > max.unwrap_or(limits.head_bytes)
    {
        return Err(Code::HeadTooLarge);
    }
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let codings: Vec<_> = headers.get_all(TRANSFER_ENCODING).iter().collect();
    let is_digits = |v: &HeaderValue| v.as_bytes().iter().all(u8::is_ascii_digit);
    let is_plain_length = headers.get(CONTENT_LENGTH).is_none_or(is_digits);
    let is_chunked = |v: &HeaderValue| v.as_bytes().eq_ignore_ascii_case(b"chunked");
    let is_framed = match codings[..] {
        [] => lengths <= 1 && is_plain_length,
        [coding] => lengths == 0 && is_chunked(coding),
        _ => false,
    };
    let is_well_formed =
        is_framed && parts.version == Version::HTTP_11 && parts.method != Method::CONNECT;
    if is_well_formed { Ok(()) } else { Err(Code::BadRequest) }
}

/// The host and path of a request.
#[derive(Debug)]
struct RequestTarget {
    host: String,
    path: PathAndQuery,
}

impl RequestTarget {
    /// Parses the request target: a path, or an absolute URI, whose host takes precedence over the
    /// `Host` field.
    fn new(parts: &Parts) -> Result<RequestTarget, Code> {
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
        Ok(RequestTarget { host: host.to_owned(), path: path.clone() })
    }
}

/// Returns whether an upstream may interpret a path segment as `.` or `..`, so that the rule for
/// one path would be applied to a request for another.
fn is_dot_segment(segment: &str) -> bool {
    if segment.is_empty() || segment.len() > "%2e%2e".len() {
        return false;
    }
    let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
    decoded == "." || decoded == ".."
}

/// Returns the remaining time that the caller states, if it states one.
///
/// # Errors
///
/// Returns [`Code::BadDeadline`] if the value is not a number of milliseconds.
fn time_left(names: &FieldNames, headers: &HeaderMap) -> Result<Option<Duration>, Code> {
    let Some(value) = headers.get(&names.deadline) else { return Ok(None) };
    let digits = value.to_str().ok().filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
    let time_left = digits.and_then(|v| v.parse::<u64>().ok()).ok_or(Code::BadDeadline)?;
    Ok(Some(Duration::from_millis(time_left)))
}

/// Returns the earlier of the profile's deadline and the caller's own, less the time to send the
/// response.
fn deadline(time_left: Option<Duration>, now: Time, profile_ms: u64) -> Time {
    let profile = Duration::from_millis(profile_ms);
    let caller_limit =
        time_left.map(|left| left.saturating_sub(TRANSIT_TIME.min(left / TRANSIT_DIVISOR)));
    now + caller_limit.map_or(profile, |limit| limit.min(profile))
}

/// Returns the caller's latency goal, if the route has a latency objective.
fn latency_goal(route: &Match<'_>, time_left: Option<Duration>, now: Time) -> Option<LatencyGoal> {
    let objective = Duration::from_millis(route.treatment.objective_ms);
    let profile_deadline = Duration::from_millis(route.treatment.deadline_ms);
    let goal = LatencyGoal {
        kind: route.kind,
        objective,
        arrived: now,
        time_left: time_left.unwrap_or(profile_deadline),
    };
    (!objective.is_zero()).then_some(goal)
}

/// Returns the version of the routes of the host that passed a request on; 0 if it states none.
fn routes_version(headers: &HeaderMap) -> u64 {
    let version = headers.get(header::ROUTES_VERSION).and_then(|v| v.to_str().ok()?.parse().ok());
    version.unwrap_or(0)
}

/// Returns the address of the caller of a request that a peer passes on, if the peer states it.
fn relayed_address(headers: &HeaderMap) -> Option<IpAddr> {
    headers.get(header::RELAYED_CALLER)?.to_str().ok()?.parse().ok()
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Reads a request's body, as long as the caller doesn't send far more framing than payload.
async fn read_body(
    body: RequestBody,
    declared: Option<u64>,
    service: &Service,
    caller: &CallerConnection,
    buffer: BodyBuffer,
) -> Result<(Bytes, Reservation), Code> {
    if declared.is_some_and(|length| length > service.body_max_bytes) {
        return Err(Code::BodyTooLarge);
    }
    let reading = read_payload(body, declared, service.body_max_bytes, caller, buffer);
    if declared.is_some() {
        return reading.await;
    }
    caller.begin_chunked_body();
    tokio::select! {
        biased;
        () = caller.excessive_framing() => {
            log::debug!("the framing of a request's body is many times its payload");
            Err(Code::BadRequest)
        }
        read = reading => read,
    }
}

async fn read_payload(
    body: RequestBody,
    declared: Option<u64>,
    max: u64,
    caller: &CallerConnection,
    mut buffer: BodyBuffer,
) -> Result<(Bytes, Reservation), Code> {
    let mut body = std::pin::pin!(body);
    while let Some(frame) = poll_fn(|cx| Body::poll_frame(body.as_mut(), cx)).await {
        let data = frame.map_err(|_| Code::BodyCut)?.into_data().unwrap_or_default();
        caller.record_payload(data.len());
        if (buffer.len() + data.len()) as u64 > max {
            return Err(Code::BodyTooLarge);
        }
        if !buffer.try_append(&data) {
            return Err(Code::Overloaded);
        }
    }
    let is_cut = declared.is_some_and(|length| length != buffer.len() as u64);
    if is_cut { Err(Code::BodyCut) } else { Ok(buffer.into_parts()) }
}

/// Returns the header fields to send to the upstream. `Content-Length` is added again when the body
/// is sent.
fn upstream_headers(names: &FieldNames, mut headers: HeaderMap, id: &str) -> HeaderMap {
    header::strip(&mut headers, &[]);
    headers.remove(CONTENT_LENGTH);
    let id = HeaderValue::from_str(id).expect("visible ASCII");
    headers.insert(&names.request_id, id);
    headers
}

/// Removes the key and whatever the caller says of its team, and names the team that was found.
fn set_team(names: &FieldNames, headers: &mut HeaderMap, team: Option<&Team>) {
    header::remove_alike(headers, &names.key);
    header::remove_alike(headers, &names.team);
    if let Some(name) = team.and_then(|t| HeaderValue::from_bytes(t.name.as_bytes()).ok()) {
        headers.insert(&names.team, name);
    }
}
