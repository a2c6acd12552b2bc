//! Passes requests on to a peer while this host can't reach their upstreams.
//!
//! The peer treats such a request as a caller's, but doesn't pass it on again. A request is given to
//! one peer only, unless the one before has proved that it has not run.

use std::cell::Cell;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use http::header::RETRY_AFTER;
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use rand::Rng;

use crate::decide::attempt::AttemptOutcome;
use crate::decide::relay::RelayPeer;
use crate::error::{Code, Outcome};
use crate::event::EventCode;
use crate::forward::BufferedRequest;
use crate::forward::body::ResponseBody;
use crate::forward::connection::Connection;
use crate::forward::response::{self, BodySource, ProxyBody, ProxyResponse};
use crate::header;
use crate::node::Node;
use crate::request_log::LogEntry;

/// Peers that are tried for one request.
const PEER_TRIES: usize = 4;
/// The `Retry-After` time of a request that no peer can serve either: the service is down, or a cut
/// concerns many hosts. Random, so that refused callers don't return together.
const RETRY_AFTER_NO_PEER: Range<Duration> = Duration::from_millis(300)..Duration::from_secs(1);
/// Connections that this host may open to the relay port of one peer.
const CONNECTIONS_MAX: u32 = 256;

/// Why a peer did not take a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum RelayError {
    /// The peer has not run the request and won't.
    #[display("the peer has not run the request")]
    NotRun,
    /// The peer may have run the request.
    #[display("the peer may have run the request")]
    Unknown,
}

/// Returns whether a request with this response should be passed on: nothing was sent to an
/// upstream, as none can be reached from here.
pub(crate) fn is_wanted(node: &Node, request: &BufferedRequest, response: &ProxyResponse) -> bool {
    let is_unreachable = matches!(response.code, Code::UpstreamsUnreachable | Code::ConnectFailed);
    let may_finish = node.may_finish(Duration::ZERO, request.deadline);
    is_unreachable && !request.is_relayed && may_finish && node.settings.relay_port.is_some()
}

/// Passes a request on to one peer after another until one has taken it, and returns the response.
/// Returns `refusal`, the response of this host, with a later `Retry-After` if no peer can serve the
/// request either.
pub(crate) async fn run(
    node: &Arc<Node>,
    request: &BufferedRequest,
    refusal: ProxyResponse,
    disconnected: impl Future<Output = ()>,
) -> ProxyResponse {
    let deadline = node.clock.instant(request.deadline);
    let may_have_run = Cell::new(false);
    let code = tokio::select! {
        biased;
        response = try_peers(node, request, &may_have_run) => {
            let retry_after = Some(rand::rng().random_range(RETRY_AFTER_NO_PEER));
            return response.unwrap_or(ProxyResponse { retry_after, ..refusal });
        }
        () = tokio::time::sleep_until(deadline.into()) => match may_have_run.get() {
            true => Code::DeadlineAfterSend,
            false => Code::DeadlineTooClose,
        },
        () = disconnected => {
            request.log.add(LogEntry::new(node.clock.now(), EventCode::CallerDisconnected));
            match may_have_run.get() {
                true => Code::CallerGoneAfterSend,
                false => Code::CallerGone,
            }
        }
    };
    ProxyResponse::local(code)
}

/// Returns the response of the first peer that takes the request, or `None` if none has run it or
/// will. `may_have_run` tells meanwhile whether one may have.
async fn try_peers(
    node: &Arc<Node>,
    request: &BufferedRequest,
    may_have_run: &Cell<bool>,
) -> Option<ProxyResponse> {
    let service = &request.service.name;
    for _ in 0..PEER_TRIES {
        let peer = node.choose_relay_peer(service)?;
        request.log.add(LogEntry {
            upstream: Some(peer.host.clone()),
            ..LogEntry::new(node.clock.now(), EventCode::Relayed)
        });
        match send(node, request, &peer, may_have_run).await {
            Ok(response) => return Some(response),
            Err(RelayError::Unknown) => return Some(ProxyResponse::local(Code::ConnectionLost)),
            Err(RelayError::NotRun) => {
                may_have_run.set(false);
                node.set_relay_unavailable(service, &peer.host);
            }
        }
    }
    None
}

/// Sends a request to a peer on a new connection, and returns its response.
async fn send(
    node: &Node,
    request: &BufferedRequest,
    peer: &RelayPeer,
    may_have_run: &Cell<bool>,
) -> Result<ProxyResponse, RelayError> {
    let now = node.clock.now();
    let port = node.settings.relay_port.ok_or(RelayError::NotRun)?;
    let address = SocketAddr::new(peer.ip, port);
    let permit = node.pool.reserve(address, CONNECTIONS_MAX).ok_or(RelayError::NotRun)?;
    let connect_timeout = Duration::from_millis(node.settings.limits.connect_timeout_ms);
    let until = node.clock.instant((now + connect_timeout).min(request.deadline));
    let opened = Connection::open(address, node.clock, until, permit).await;
    let mut conn = opened.map_err(|_| RelayError::NotRun)?;
    may_have_run.set(true);
    let sent = conn.send(relay_request(node, request), request.deadline).await;
    let res = sent.map_err(|outcome| match outcome {
        AttemptOutcome::NotSent => RelayError::NotRun,
        _ => RelayError::Unknown,
    })?;
    receive(node, request, conn, res).await
}

fn relay_request(node: &Node, request: &BufferedRequest) -> Request<Full<bytes::Bytes>> {
    let left = node.clock.now().until(request.deadline).as_millis();
    let mut req = Request::new(Full::new(request.body.clone()));
    *req.method_mut() = request.method.clone();
    *req.uri_mut() = request.uri.clone();
    *req.headers_mut() = request.headers.clone();
    let headers = req.headers_mut();
    headers.insert(&node.header_names.deadline, u64::try_from(left).unwrap_or(u64::MAX).into());
    headers.insert(header::ROUTES_VERSION, node.routes_version().into());
    let team = request.team.as_ref().map(|t| HeaderValue::from_bytes(t.name.as_bytes()));
    if let Some(Ok(name)) = team {
        headers.insert(header::RELAYED_TEAM, name);
    }
    let address = request.caller_address.map(|a| HeaderValue::try_from(a.to_string()));
    if let Some(Ok(address)) = address {
        headers.insert(header::RELAYED_CALLER, address);
    }
    req
}

async fn receive(
    node: &Node,
    request: &BufferedRequest,
    conn: Connection,
    res: Response<ResponseBody>,
) -> Result<ProxyResponse, RelayError> {
    let (head, mut body) = res.into_parts();
    let code = code_of(&head.headers).ok_or(RelayError::Unknown)?;
    let id = head.headers.get(&node.header_names.request_id);
    if id.map(HeaderValue::as_bytes) != Some(request.id.as_bytes()) {
        log::warn!("a peer's response to a relayed request belongs to another one");
        return Err(RelayError::Unknown);
    }
    if is_refused_by_peer(code) {
        return Err(RelayError::NotRun);
    }
    let length = body.length();
    let max = request.service.answer_buffer_bytes;
    let buffered = response::buffer_body(&mut body, max, &node.memory).await;
    let buffered = match (buffered, code.outcome()) {
        (Ok(buffered), _) => buffered,
        (Err(_), Outcome::NotRun) => return Err(RelayError::NotRun),
        (Err(_), _) => return Ok(ProxyResponse::local(Code::AnswerCut)),
    };
    let deadline = node.clock.instant(request.deadline);
    let is_bodiless = request.method == Method::HEAD
        || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let body = match (is_bodiless, buffered) {
        (true, _) => ProxyBody::Empty,
        (false, buffered) => {
            let source = BodySource::Peer { _conn: conn };
            buffered.into_body(body, length, deadline, source)
        }
    };
    Ok(relayed_response(code, request, head, body))
}

fn relayed_response(
    code: Code,
    request: &BufferedRequest,
    mut head: Parts,
    body: ProxyBody,
) -> ProxyResponse {
    // The peer's own refusals state when to come back, as this host's do.
    let retry_after = match code.outcome() {
        Outcome::Answered => None,
        _ => head.headers.remove(RETRY_AFTER).and_then(|v| v.to_str().ok()?.parse::<f64>().ok()),
    };
    let retry_after = retry_after.and_then(|s| Duration::try_from_secs_f64(s).ok());
    ProxyResponse { retry_after, ..ProxyResponse::forwarded(code, request, head, body) }
}

fn code_of(headers: &HeaderMap) -> Option<Code> {
    let number = headers.get(header::CODE)?.to_str().ok()?.parse().ok()?;
    Code::from_number(number)
}

/// Returns whether a peer refused a request for a reason that another peer may not have. It has not
/// run.
const fn is_refused_by_peer(code: Code) -> bool {
    matches!(
        code,
        Code::UpstreamsUnreachable
            | Code::ConnectFailed
            | Code::NoService
            | Code::NotReady
            | Code::RoutesOutdated
            | Code::Stopping
            | Code::HostOverloaded
    )
}
