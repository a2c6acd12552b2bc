//! Probes: requests to the health and load endpoint of an upstream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Request, StatusCode, Uri};
use http_body_util::Full;
use tokio::task::spawn_local;

use crate::config::Service;
use crate::decide::admission::Target;
use crate::decide::upstream::{AttemptReport, UpstreamOutcome};
use crate::forward::BufferedRequest;
use crate::forward::attempt::{LoadReport, is_anonymous_refusal};
use crate::forward::connection::Connection;
use crate::node::Node;
use crate::time::Time;

/// Maximum time that a request waits for probes: several times the latency of a healthy upstream in
/// a nearby data centre.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(12);

/// Maximum time that a request of a peer waits for a sign that this host reaches its upstreams.
const REACH_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum size of the body of a response to a probe, in bytes. A longer one is a fault of the
/// upstream.
const BODY_MAX_BYTES: usize = 64 << 10;

/// Sends one probe and reports its result to the service tables.
pub(crate) async fn send(node: Arc<Node>, service: Arc<Service>, target: Target) {
    let start = node.clock.now();
    let limit = Duration::from_millis(service.measure.timeout_ms);
    let probe_result =
        tokio::time::timeout(limit, probe(&node, &service, &target, start + limit)).await;
    let latency = node.clock.now().since(start);
    let failed_report = |outcome| AttemptReport { outcome, latency, load: None, draining: false };
    let report = match probe_result {
        Ok(Ok((outcome, load_report))) => {
            if let Some(occupancy) = &load_report.occupancy {
                node.update_occupancy(&service.name, target.id, occupancy);
            }
            if load_report.limit.is_some() {
                node.observe_limit(&service.name, &target, load_report.limit, start);
            }
            if service.warm_up_per_second > 0.0 {
                node.observe_warm_up(&service.name, &target, load_report.cold, start);
            }
            if let Some(pause) = load_report.pause {
                node.pause_upstream(&service.name, &target, pause);
            }
            AttemptReport {
                outcome,
                latency,
                load: load_report.load,
                draining: load_report.draining,
            }
        }
        Ok(Err(outcome)) => failed_report(outcome),
        Err(_) => failed_report(UpstreamOutcome::TimedOut),
    };
    node.finish_probe(&service.name, target.id, &report);
}

/// Probes the upstreams that the request would probably go to and that have no fresh load report.
/// Waits for the results for at most [`REFRESH_TIMEOUT`]; later results still update the tables.
pub(crate) async fn refresh_loads(node: &Arc<Node>, request: &BufferedRequest) {
    let targets = node.probe_candidates(&request.service.name);
    if targets.is_empty() {
        return;
    }
    let probes =
        targets.into_iter().map(|t| spawn_local(send(node.clone(), request.service.clone(), t)));
    let _ = tokio::time::timeout(REFRESH_TIMEOUT, join_all(probes)).await;
}

/// Returns whether this host reaches the upstreams of the request's service. Probes some if none has
/// responded a moment ago, and waits for the first response for at most [`REACH_TIMEOUT`].
pub(crate) async fn confirm_reach(node: &Arc<Node>, request: &BufferedRequest) -> bool {
    let service = &request.service;
    if node.is_reach_proven(&service.name) {
        return true;
    }
    let targets = node.reach_probes(&service.name).into_iter();
    let mut probes: FuturesUnordered<_> =
        targets.map(|t| spawn_local(send(node.clone(), service.clone(), t))).collect();
    let first_response =
        async { while probes.next().await.is_some() && !node.is_reach_proven(&service.name) {} };
    let _ = tokio::time::timeout(REACH_TIMEOUT, first_response).await;
    node.is_reach_proven(&service.name)
}

/// Probes an upstream on an idle connection if there is one, which also proves that the connection
/// is alive. Otherwise opens a connection, and closes it afterwards unless the service probes
/// before each request.
async fn probe(
    node: &Node,
    service: &Service,
    target: &Target,
    deadline: Time,
) -> Result<(UpstreamOutcome, LoadReport), UpstreamOutcome> {
    let idle = node.pool.take(target.address, Time::ZERO);
    let keep_open = idle.is_some() || service.probe_before_send;
    let mut conn = match idle {
        Some(conn) => conn,
        None => open(node, service, target, deadline).await?,
    };
    let res = conn
        .send(probe_request(service, target)?, deadline)
        .await
        .map_err(|_| UpstreamOutcome::Lost)?;
    let (head, body) = res.into_parts();
    body.discard(BODY_MAX_BYTES).await.map_err(|_| UpstreamOutcome::Lost)?;
    // A probe has no request id to echo, so this response belongs to an earlier request.
    if head.headers.contains_key(&service.echo_header) {
        node.pool.disable_reuse(target.address, node.clock.now());
        return Err(UpstreamOutcome::Lost);
    }
    if is_from_another(service, target, &head.headers) {
        return Err(UpstreamOutcome::ConnectFailed);
    }
    if node.settings.prefer_open_connections {
        conn.observe_keep_alive(&head.headers);
    }
    if keep_open && !is_anonymous_refusal(service, &head) {
        node.pool.put(target.address, conn, node.clock.now());
    }
    let mut load_report = LoadReport::new(service, head.status, &head.headers);
    let is_unavailable = head.status == StatusCode::SERVICE_UNAVAILABLE;
    let outcome = match load_report.occupancy {
        // A health check may be wrong either way. Where each request shows how an upstream does,
        // only those count, and a drain is announced by a header field of its own.
        Some(_) if is_unavailable => UpstreamOutcome::Cancelled,
        _ if head.status.is_success() => UpstreamOutcome::Answered,
        _ => UpstreamOutcome::Failed,
    };
    load_report.draining |= is_unavailable && load_report.occupancy.is_none();
    Ok((outcome, load_report))
}

/// Returns whether a response names another upstream than the target, which has taken over its
/// address.
fn is_from_another(service: &Service, target: &Target, headers: &HeaderMap) -> bool {
    let named = headers.get(&service.identity_header);
    !service.identity_header.is_empty()
        && named.is_some_and(|n| n.as_bytes() != target.name.as_bytes())
}

async fn open(
    node: &Node,
    service: &Service,
    target: &Target,
    deadline: Time,
) -> Result<Connection, UpstreamOutcome> {
    let max = node.connections_max(service);
    let permit = node.pool.reserve(target.address, max).ok_or(UpstreamOutcome::Cancelled)?;
    let until = node.clock.instant(deadline);
    let opened = Connection::open(target.address, node.clock, until, permit).await;
    opened.map_err(|_| UpstreamOutcome::ConnectFailed)
}

fn probe_request(
    service: &Service,
    target: &Target,
) -> Result<Request<Full<Bytes>>, UpstreamOutcome> {
    let mut req = Request::new(Full::default());
    *req.uri_mut() = service.measure.path.parse::<Uri>().map_err(|_| UpstreamOutcome::Failed)?;
    let host =
        HeaderValue::from_str(&target.address.to_string()).map_err(|_| UpstreamOutcome::Failed)?;
    req.headers_mut().insert(HOST, host);
    Ok(req)
}
