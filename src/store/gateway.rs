//! Messages of the etcd v3 JSON gateway.
//!
//! The format is specified in etcd's "gRPC gateway" guide and API reference: keys and values are
//! encoded in base64, 64-bit integers are strings, and fields with their default value are omitted.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, de};
use serde_json::{Value, json};

use crate::store::call::{Compare, Entry, LeaseId, Op, Page, Range, Txn, Watch, WatchUpdate};

pub(crate) const RANGE_PATH: &str = "/v3/kv/range";
pub(crate) const TXN_PATH: &str = "/v3/kv/txn";
pub(crate) const WATCH_PATH: &str = "/v3/watch";
pub(crate) const GRANT_PATH: &str = "/v3/lease/grant";

/// Returns the request message of a range read.
pub(crate) fn range(req: &Range) -> Value {
    json!({
        "key": encode(req.key.as_bytes()),
        "range_end": encode(req.end.as_bytes()),
        "limit": req.limit.to_string(),
        "min_mod_revision": req.min_revision.to_string(),
    })
}

/// Returns the request message of a transaction.
pub(crate) fn txn(req: &Txn) -> Value {
    let compare: Vec<Value> = req.compare.iter().map(compare).collect();
    let success: Vec<Value> = req.ops.iter().map(op).collect();
    json!({ "compare": compare, "success": success })
}

/// Returns the request message of a watch.
pub(crate) fn watch(req: &Watch) -> Value {
    json!({
        "create_request": {
            "key": encode(req.key.as_bytes()),
            "range_end": encode(req.end.as_bytes()),
            "start_revision": req.start_revision.to_string(),
        }
    })
}

/// Returns the request message of a lease grant.
pub(crate) fn grant(ttl: std::time::Duration) -> Value {
    json!({ "TTL": ttl.as_secs().to_string(), "ID": "0" })
}

fn compare(compare: &Compare) -> Value {
    match compare {
        Compare::Revision(key, revision) => json!({
            "key": encode(key.as_bytes()),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": revision.to_string(),
        }),
        Compare::Value(key, value) => json!({
            "key": encode(key.as_bytes()),
            "target": "VALUE",
            "result": "EQUAL",
            "value": encode(value),
        }),
    }
}

fn op(op: &Op) -> Value {
    match op {
        Op::Put(key, value, lease) => {
            let lease = lease.unwrap_or_default().0.to_string();
            let put =
                json!({ "key": encode(key.as_bytes()), "value": encode(value), "lease": lease });
            json!({ "request_put": put })
        }
        Op::Delete(key, end) => {
            let end = end.as_deref().unwrap_or_default();
            let delete =
                json!({ "key": encode(key.as_bytes()), "range_end": encode(end.as_bytes()) });
            json!({ "request_delete_range": delete })
        }
    }
}

/// The header of every response.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct Header {
    #[serde(default, deserialize_with = "integer")]
    revision: u64,
}

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
    fn from(response: RangeResponse) -> Page {
        let entries = response.kvs.into_iter().map(Entry::from).collect();
        Page { entries, more: response.more, revision: response.header.revision }
    }
}

#[derive(Debug, Deserialize)]
pub(crate) struct TxnResponse {
    /// Whether the comparisons held and the operations were applied.
    #[serde(default)]
    pub(crate) succeeded: bool,
}

#[derive(Debug, Deserialize)]
pub(crate) struct LeaseGrantResponse {
    #[serde(rename = "ID", default, deserialize_with = "integer")]
    id: u64,
}

impl From<LeaseGrantResponse> for LeaseId {
    fn from(response: LeaseGrantResponse) -> LeaseId {
        LeaseId(response.id)
    }
}

/// One message of a watch's response stream.
#[derive(Debug, Deserialize)]
pub(crate) struct WatchMessage {
    /// The changes reported; absent in an error message.
    #[serde(default)]
    pub(crate) result: Option<WatchResult>,
}

/// The changes of one watch message.
#[derive(Debug, Deserialize)]
pub(crate) struct WatchResult {
    #[serde(default)]
    header: Header,
    /// Whether the service cancelled the watch.
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
        let is_put = |e: &KeyEvent| e.kind == EventKind::Put;
        let puts = result.events.into_iter().filter(is_put).map(|e| e.kv.into()).collect();
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

/// Encodes a key or value in base64.
fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Deserializes a 64-bit integer given as a number or a string.
fn integer<'de, D: Deserializer<'de>>(de: D) -> Result<u64, D::Error> {
    let value = Value::deserialize(de)?;
    let number = value.as_u64().or_else(|| value.as_str()?.parse().ok());
    number.ok_or_else(|| de::Error::custom(format!("{value} is not an integer")))
}

/// Deserializes bytes encoded in base64.
fn base64<'de, D: Deserializer<'de>>(de: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(de)?;
    STANDARD.decode(text).map_err(de::Error::custom)
}
