//! Probes: requests to an upstream's health and load endpoint.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use http::header::HOST;
use http::{HeaderValue, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use tokio::task::spawn_local;

use crate::config::Service;
use crate::decide::admission::Target;
use crate::decide::upstream::{AttemptReport, UpstreamOutcome};
use crate::forward::BufferedRequest;
use crate::forward::attempt::LoadReport;
use crate::forward::connection::Connection;
use crate::node::Node;
use crate::time::Time;

/// The longest time for which a request waits for its probes: several times what a sound upstream of
/// a near data centre takes.
const REFRESH_MAX: Duration = Duration::from_millis(12);

/// Sends one probe and reports its result to the tables.
pub(crate) async fn send(node: Arc<Node>, service: Arc<Service>, target: Target) {
    let start = node.clock.now();
    let limit = Duration::from_millis(service.measure.timeout_ms);
    let probed = tokio::time::timeout(limit, probe(&node, &service, &target, start + limit)).await;
    let latency = node.clock.now().since(start);
    let ended = |ended| AttemptReport { outcome: ended, latency, load: None, draining: false };
    let report = match probed {
        Ok(Ok((ended, reading))) => {
            if let Some(occupancy) = &reading.occupancy {
                node.update_occupancy(&service.name, target.id, occupancy);
            }
            AttemptReport {
                outcome: ended,
                latency,
                load: reading.load,
                draining: reading.draining,
            }
        }
        Ok(Err(failed)) => ended(failed),
        Err(_) => ended(UpstreamOutcome::TimedOut),
    };
    node.finish_probe(&service.name, target.id, &report);
}

/// Asks the upstreams that a request may go to for their load, and waits a little for the answers.
/// What comes later is taken in as well.
pub(crate) async fn refresh(node: &Arc<Node>, job: &BufferedRequest) {
    let targets = node.candidates(&job.service.name);
    if targets.is_empty() {
        return;
    }
    let probes =
        targets.into_iter().map(|t| spawn_local(send(node.clone(), job.service.clone(), t)));
    let _ = tokio::time::timeout(REFRESH_MAX, join_all(probes)).await;
}

/// Asks on an idle connection if there is one, so that it is known to be alive; else on one that
/// is closed afterwards.
async fn probe(
    node: &Node,
    service: &Service,
    target: &Target,
    deadline: Time,
) -> Result<(UpstreamOutcome, LoadReport), UpstreamOutcome> {
    let idle = node.pool.take(target.address, Time::ZERO);
    let pooled = idle.is_some() || service.probe_before_send;
    let mut conn = match idle {
        Some(conn) => conn,
        None => open(node, service, target, deadline).await?,
    };
    let res =
        conn.send(request(service, target)?, deadline).await.map_err(|_| UpstreamOutcome::Lost)?;
    let (head, body) = res.into_parts();
    body.collect().await.map_err(|_| UpstreamOutcome::Lost)?;
    if head.headers.contains_key(&service.echo_header) {
        node.pool.distrust(target.address, node.clock.now());
        return Err(UpstreamOutcome::Lost);
    }
    if pooled {
        node.pool.put(target.address, conn, node.clock.now());
    }
    let mut reading = LoadReport::new(service, &head.headers);
    reading.draining |= head.status == StatusCode::SERVICE_UNAVAILABLE;
    let ended =
        if head.status.is_success() { UpstreamOutcome::Answered } else { UpstreamOutcome::Failed };
    Ok((ended, reading))
}

async fn open(
    node: &Node,
    service: &Service,
    target: &Target,
    deadline: Time,
) -> Result<Connection, UpstreamOutcome> {
    let max = service.connections / node.settings.fleet_size_max.max(1);
    let permit = node.pool.reserve(target.address, max.max(1)).ok_or(UpstreamOutcome::Cancelled)?;
    let until = node.clock.instant(deadline);
    let opened = Connection::open(target.address, node.clock, until, permit).await;
    opened.map_err(|_| UpstreamOutcome::ConnectFailed)
}

fn request(service: &Service, target: &Target) -> Result<Request<Full<Bytes>>, UpstreamOutcome> {
    let mut req = Request::new(Full::default());
    *req.uri_mut() = service.measure.path.parse::<Uri>().map_err(|_| UpstreamOutcome::Failed)?;
    let host =
        HeaderValue::from_str(&target.address.to_string()).map_err(|_| UpstreamOutcome::Failed)?;
    req.headers_mut().insert(HOST, host);
    Ok(req)
}
