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

use crate::decide::catalog::Record;
use crate::node::Node;
use crate::store::call::Entry;

/// Follows the platform for the life of the process: loads records, watches them, and applies the
/// host list. Returns at once if the settings name no platform.
pub(crate) async fn run(node: Arc<Node>) {
    let Some(cfg) = &node.settings.platform else { return };
    let Some(client) = node.platform.clone() else { return };
    let count = node.metrics.call_counter();
    let records = records::follow(node.clone(), client);
    let Some(address) = cfg.host_list else { return records.await };
    let http = host_list::connect(address, cfg.calls_per_second, count);
    tokio::join!(records, host_list::follow(node.clone(), http));
}

/// Takes in a version that an operator's tool has just stored: as the key-value service holds it,
/// or as apply_announced if that can't be reached. Returns whether this host has such a service.
pub(crate) async fn apply_announced(node: &Node, record: &Record) -> bool {
    let Some(client) = &node.platform else { return false };
    let key = client.keys.record(record.kind(), &record.name);
    let entry = match client.get(key.clone()).await {
        Ok(entry) => entry,
        Err(_) => serde_json::to_vec(record).ok().map(|value| Entry { key, value, revision: 0 }),
    };
    node.offer_entries(&client.keys, entry.as_slice());
    true
}
