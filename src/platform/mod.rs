//! The client of the platform: the key-value service and the host list.

mod apply;
pub(crate) mod backoff;
pub(crate) mod call;
pub(crate) mod client;
pub(crate) mod etcd;
mod gateway;
pub(crate) mod host_list;
pub(crate) mod http;
pub(crate) mod keys;
mod records;
mod restore;
#[cfg(test)]
mod tests;

use std::sync::Arc;

use crate::node::Node;

/// Follows the platform for the life of the process: loads records, watches them, and applies the
/// host list. Returns at once if the settings name no platform.
pub(crate) async fn run(node: Arc<Node>) {
    let Some(cfg) = &node.settings.platform else { return };
    let Some(client) = node.platform.clone() else { return };
    let count = node.metrics.count_calls();
    let records = records::follow(node.clone(), client);
    let Some(address) = cfg.host_list else { return records.await };
    let http = host_list::connect(address, cfg.calls_per_second, count);
    tokio::join!(records, host_list::follow(node.clone(), http));
}
