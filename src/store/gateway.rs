//! The messages of the etcd v3 JSON gateway.
//!
//! Published in etcd's "gRPC gateway" guide and API reference: keys and values are base64, 64-bit
//! integers are strings, and fields with their default value are left out.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, de};
use serde_json::{Value, json};

use crate::store::call::{Compare, Entry, LeaseId, Op, Page, Range, Txn, Watch, WatchUpdate};

/// The path of a range read.
pub(crate) const RANGE_PATH: &str = "/v3/kv/range";
/// The path of a transaction.
pub(crate) const TXN_PATH: &str = "/v3/kv/txn";
/// The path of a watch.
pub(crate) const WATCH_PATH: &str = "/v3/watch";
/// The path of a lease grant.
pub(crate) const GRANT_PATH: &str = "/v3/lease/grant";

/// Writes a range read.
pub(crate) fn range(req: &Range) -> Value {
    json!({
        "key": text(req.key.as_bytes()),
        "range_end": text(req.end.as_bytes()),
        "limit": req.limit.to_string(),
        "min_mod_revision": req.min_revision.to_string(),
    })
}

/// Writes a transaction.
pub(crate) fn txn(req: &Txn) -> Value {
    let compare: Vec<Value> = req.compare.iter().map(compare).collect();
    let success: Vec<Value> = req.ops.iter().map(op).collect();
    json!({ "compare": compare, "success": success })
}

/// Writes a watch.
pub(crate) fn watch(req: &Watch) -> Value {
    json!({
        "create_request": {
            "key": text(req.key.as_bytes()),
            "range_end": text(req.end.as_bytes()),
            "start_revision": req.start_revision.to_string(),
        }
    })
}

/// Writes a lease grant.
pub(crate) fn grant(ttl: std::time::Duration) -> Value {
    json!({ "TTL": ttl.as_secs().to_string(), "ID": "0" })
}

fn compare(compare: &Compare) -> Value {
    match compare {
        Compare::Revision(key, revision) => json!({
            "key": text(key.as_bytes()),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": revision.to_string(),
        }),
        Compare::Value(key, value) => json!({
            "key": text(key.as_bytes()),
            "target": "VALUE",
            "result": "EQUAL",
            "value": text(value),
        }),
    }
}

fn op(op: &Op) -> Value {
    match op {
        Op::Put(key, value, lease) => {
            let lease = lease.unwrap_or_default().0.to_string();
            let put = json!({ "key": text(key.as_bytes()), "value": text(value), "lease": lease });
            json!({ "request_put": put })
        }
        Op::Delete(key, end) => {
            let end = end.as_deref().unwrap_or_default();
            let delete = json!({ "key": text(key.as_bytes()), "range_end": text(end.as_bytes()) });
            json!({ "request_delete_range": delete })
        }
    }
}

/// The header of every answer.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct Header {
    #[serde(default, deserialize_with = "integer")]
    revision: u64,
}

/// The answer to a range read.
#[derive(Debug, Deserialize)]
pub(crate) struct RangeResponse {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    kvs: Vec<KeyValue>,
    #[serde(default)]
    more: bool,
}

impl From<RangeResponse> for Page {
    fn from(answer: RangeResponse) -> Page {
        let entries = answer.kvs.into_iter().map(Entry::from).collect();
        Page { entries, more: answer.more, revision: answer.header.revision }
    }
}

/// The answer to a transaction.
#[derive(Debug, Deserialize)]
pub(crate) struct TxnResponse {
    /// Whether the comparisons held.
    #[serde(default)]
    pub(crate) succeeded: bool,
}

/// The answer to a lease grant.
#[derive(Debug, Deserialize)]
pub(crate) struct LeaseGrantResponse {
    #[serde(rename = "ID", default, deserialize_with = "integer")]
    id: u64,
}

impl From<LeaseGrantResponse> for LeaseId {
    fn from(answer: LeaseGrantResponse) -> LeaseId {
        LeaseId(answer.id)
    }
}

/// One message of a watch.
#[derive(Debug, Deserialize)]
pub(crate) struct WatchMessage {
    /// What the watch reports; absent in an error.
    #[serde(default)]
    pub(crate) result: Option<WatchResult>,
}

/// What a watch reports.
#[derive(Debug, Deserialize)]
pub(crate) struct WatchResult {
    #[serde(default)]
    header: Header,
    /// Whether the service ended the watch.
    #[serde(default)]
    pub(crate) canceled: bool,
    #[serde(default)]
    events: Vec<KeyEvent>,
}

#[derive(Debug, Deserialize)]
struct KeyEvent {
    #[serde(rename = "type", default)]
    kind: EventKind,
    kv: KeyValue,
}

#[derive(Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum EventKind {
    #[default]
    Put,
    Delete,
}

impl From<WatchResult> for WatchUpdate {
    fn from(result: WatchResult) -> WatchUpdate {
        let put = |e: &KeyEvent| e.kind == EventKind::Put;
        let puts = result.events.into_iter().filter(put).map(|e| e.kv.into()).collect();
        WatchUpdate { puts, revision: result.header.revision }
    }
}

#[derive(Debug, Deserialize)]
struct KeyValue {
    #[serde(default, deserialize_with = "base64")]
    key: Vec<u8>,
    #[serde(default, deserialize_with = "base64")]
    value: Vec<u8>,
    #[serde(default, deserialize_with = "integer")]
    mod_revision: u64,
}

impl From<KeyValue> for Entry {
    fn from(kv: KeyValue) -> Entry {
        let key = String::from_utf8_lossy(&kv.key).into_owned();
        Entry { key, value: kv.value, revision: kv.mod_revision }
    }
}

fn text(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

fn integer<'de, D: Deserializer<'de>>(de: D) -> Result<u64, D::Error> {
    let value = Value::deserialize(de)?;
    let number = value.as_u64().or_else(|| value.as_str()?.parse().ok());
    number.ok_or_else(|| de::Error::custom(format!("{value} is no integer")))
}

fn base64<'de, D: Deserializer<'de>>(de: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(de)?;
    STANDARD.decode(text).map_err(de::Error::custom)
}
