//! Client of the key-value service, which stores records, and of the host list.

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
mod repair;
#[cfg(test)]
mod tests;

use std::sync::Arc;

use crate::decide::catalog::Record;
use crate::node::Node;
use crate::store::call::Entry;

/// Loads and watches records and polls the host list for the life of the process.
///
/// Returns at once if the settings configure no key-value service.
pub(crate) async fn run(node: Arc<Node>) {
    let Some(cfg) = &node.settings.platform else { return };
    let Some(client) = node.kv_client.clone() else { return };
    let counter = node.metrics.call_counter();
    let records = records::follow(node.clone(), client);
    let Some(address) = cfg.host_list else { return records.await };
    let http = host_list::connect(address, cfg.calls_per_second, counter);
    tokio::join!(records, host_list::follow(node.clone(), http));
}

/// Applies a record version that the command-line tool has just published.
///
/// Reads it back from the key-value service, or applies the announced version if the read fails.
/// Returns whether this host has a key-value service.
pub(crate) async fn apply_announced(node: &Node, record: &Record) -> bool {
    let Some(client) = &node.kv_client else { return false };
    let key = client.keys.record(record.kind(), &record.name);
    let entry = match client.get(key.clone()).await {
        Ok(entry) => entry,
        Err(_) => serde_json::to_vec(record).ok().map(|value| Entry { key, value, revision: 0 }),
    };
    node.offer_entries(&client.keys, entry.as_slice());
    true
}
