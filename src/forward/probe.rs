//! Probes: requests to an upstream's health and load endpoint.

use std::sync::Arc;

use crate::config::Service;
use crate::decide::admit::Target;
use crate::node::Node;

/// Sends one probe and reports its result to the tables.
pub(crate) async fn send(node: Arc<Node>, service: Arc<Service>, target: Target) {
    let _ = (node, service, target);
}
