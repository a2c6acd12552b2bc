//! Tells upstreams that have ended under a request from those that only lost a connection.

use std::sync::Arc;
use std::time::Duration;

use crate::config::Service;
use crate::decide::admission::Target;
use crate::event::{EventCode, Subject};
use crate::forward::connection::{ConnectError, Connection};
use crate::node::Node;

/// How long after the loss of a connection its upstream is checked. A process that ends closes its
/// connections before its listener, or after it.
const CHECK_DELAY: Duration = Duration::from_millis(20);

/// A request whose connection was lost, and the upstream that may have ended under it.
#[derive(Debug)]
pub(crate) struct Crash {
    pub(crate) service: Arc<Service>,
    pub(crate) target: Target,
    pub(crate) request_id: Arc<str>,
}

/// Opens a connection to the upstream. If it accepts none, it has ended under the request.
pub(crate) async fn check(node: Arc<Node>, crash: Crash) {
    tokio::time::sleep(CHECK_DELAY).await;
    let address = crash.target.address;
    // Without a free permit, other connections to the upstream are open, so it runs.
    let Some(permit) = node.pool.reserve(address, node.connections_max(&crash.service)) else {
        return;
    };
    let limit = Duration::from_millis(node.settings.limits.connect_timeout_ms);
    let until = node.clock.instant(node.clock.now() + limit);
    match Connection::open(address, node.clock, until, permit).await {
        Ok(conn) => node.pool.put(address, conn, node.clock.now()),
        Err(ConnectError::Failed) => record(&node, &crash),
        Err(ConnectError::Full | ConnectError::TooLate) => {}
    }
}

fn record(node: &Node, crash: &Crash) {
    let subject = Subject {
        request: Some(crash.request_id.clone()),
        service: Some(crash.service.name.clone()),
        upstream: Some(crash.target.name.clone()),
        ..Subject::default()
    };
    node.events.record(EventCode::UpstreamCrashed, subject, None);
}
