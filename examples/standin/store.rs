//! The store of the stand-in platform: keys with revisions, transactions and leases, as in etcd.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::platform::{decode_base64, encode_base64, parse_integer, range_entries};

/// The value of a key and its metadata.
#[derive(Clone, Debug)]
struct KeyValue {
    value: Vec<u8>,
    /// The revision of the key's creation.
    created: u64,
    /// The revision of the newest change.
    modified: u64,
    /// The number of writes since the creation, that one included.
    version: u64,
    /// The id of the lease that the key is attached to; 0 for none.
    lease: u64,
}

/// An operation of a transaction, with its request in the JSON of the gateway.
#[derive(Clone, Debug)]
pub enum Op {
    /// A put.
    Put(Value),
    /// A deletion of a key or a range of keys.
    Delete(Value),
    /// A read.
    Range(Value),
}

/// A change of a key, as watches deliver it. A deletion has no value.
#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    key: Vec<u8>,
    new: Option<KeyValue>,
}

/// The keys, the log of changes, and the leases with their times to live.
#[derive(Clone, Debug, Default)]
pub struct Store {
    revision: u64,
    compacted: u64,
    epoch: u64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    log: Vec<Change>,
    leases: BTreeMap<u64, u64>,
}

impl Store {
    /// Returns the current revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision up to which the log has been compacted.
    pub fn compacted(&self) -> u64 {
        self.compacted
    }

    /// Returns the number of times that the store was restored.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<String> {
        let stored = self.keys.get(key.as_bytes())?;
        Some(String::from_utf8_lossy(&stored.value).into_owned())
    }

    /// Returns the keys that begin with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let keys = self.keys.keys().map(|k| String::from_utf8_lossy(k).into_owned());
        keys.filter(|k| k.starts_with(prefix)).collect()
    }

    /// Stores a value unconditionally.
    pub fn put(&mut self, key: &str, value: &str) {
        let key = encode_base64(key.as_bytes());
        self.apply_one(&Op::Put(json!({ "key": key, "value": encode_base64(value.as_bytes()) })));
    }

    /// Replaces the store with an older copy of it, as a restoration from a backup does.
    pub fn restore(&mut self, older: Store) {
        let epoch = self.epoch + 1;
        *self = Store { epoch, ..older };
    }

    /// Compacts the log. Watches that need an older revision are cancelled.
    pub fn compact(&mut self) {
        self.compacted = self.revision;
        self.log.clear();
    }

    /// Ends all leases and deletes the keys attached to them.
    pub fn expire_leases(&mut self) {
        let ids: Vec<u64> = self.leases.keys().copied().collect();
        ids.iter().for_each(|id| self.end_lease(*id));
    }

    /// Grants a lease. It ends only by [`Store::revoke`] or [`Store::expire_leases`].
    pub fn grant(&mut self, req: &Value) -> Value {
        let id = self.leases.keys().last().map_or(7_000, |id| id + 1);
        self.leases.insert(id, parse_integer(&req["TTL"]));
        json!({ "ID": id.to_string(), "TTL": parse_integer(&req["TTL"]).to_string() })
    }

    /// Revokes a lease and deletes the keys attached to it.
    pub fn revoke(&mut self, req: &Value) -> Value {
        self.end_lease(parse_integer(&req["ID"]));
        json!({ "header": self.header() })
    }

    /// Renews a lease: returns its time to live, which is 0 if it has ended.
    pub fn keep_alive(&self, req: &Value) -> Value {
        let id = parse_integer(&req["ID"]);
        let ttl = self.leases.get(&id).copied().unwrap_or_default();
        json!({ "ID": id.to_string(), "TTL": ttl.to_string() })
    }

    /// Reads a key or a range of keys.
    pub fn range(&self, req: &Value) -> Value {
        let (key, end) = (decode_base64(&req["key"]), decode_base64(&req["range_end"]));
        let since = parse_integer(&req["min_mod_revision"]);
        let found = range_entries(&self.keys, &key, &end).filter(|(_, s)| s.modified >= since);
        let all: Vec<Value> = found.map(|(k, s)| key_value_json(k, s)).collect();
        let limit = match parse_integer(&req["limit"]) {
            0 => all.len(),
            limit => usize::try_from(limit).expect("small"),
        };
        let kvs = &all[..limit.min(all.len())];
        let more = all.len() > limit;
        json!({ "header": self.header(), "kvs": kvs, "more": more, "count": all.len().to_string() })
    }

    /// Executes a transaction. Nothing is changed if one of its operations is invalid.
    pub fn txn(&mut self, req: &Value) -> Value {
        let none = Vec::new();
        let compares = req["compare"].as_array().unwrap_or(&none);
        let succeeded = compares.iter().all(|c| self.holds(c));
        let branch = if succeeded { "success" } else { "failure" };
        let ops: Vec<Op> =
            req[branch].as_array().unwrap_or(&none).iter().filter_map(parse_op).collect();
        if let Some(error) = ops.iter().find_map(|op| self.lease_error(op)) {
            return json!({ "error": error, "code": 5, "message": error });
        }
        let writes = ops.iter().any(|op| !matches!(op, Op::Range(_)));
        self.revision += u64::from(writes);
        let responses: Vec<Value> = ops.iter().map(|op| self.apply(op)).collect();
        json!({ "header": self.header(), "succeeded": succeeded, "responses": responses })
    }

    /// Executes one put outside a transaction.
    pub fn apply_one(&mut self, op: &Op) -> Value {
        self.revision += 1;
        self.apply(op)["response_put"].clone()
    }

    /// Returns the changes of a range of keys from revision `from` on, that one included.
    pub fn events(&self, from: u64, key: &[u8], end: &[u8]) -> Vec<Value> {
        let matches = |c: &&Change| {
            let one = BTreeMap::from([(c.key.clone(), ())]);
            c.revision >= from && range_entries(&one, key, end).next().is_some()
        };
        self.log.iter().filter(matches).map(event_json).collect()
    }

    fn header(&self) -> Value {
        json!({ "revision": self.revision.to_string() })
    }

    /// Returns whether a comparison of a transaction holds.
    fn holds(&self, compare: &Value) -> bool {
        let stored = self.keys.get(&decode_base64(&compare["key"]));
        let metadata = |f: fn(&KeyValue) -> u64| stored.map_or(0, f);
        match compare["target"].as_str() {
            Some("VERSION") => metadata(|s| s.version) == parse_integer(&compare["version"]),
            Some("MOD") => metadata(|s| s.modified) == parse_integer(&compare["mod_revision"]),
            Some("CREATE") => metadata(|s| s.created) == parse_integer(&compare["create_revision"]),
            _ => stored.is_some_and(|s| s.value == decode_base64(&compare["value"])),
        }
    }

    /// Returns the error for an operation that names an unknown lease.
    fn lease_error(&self, op: &Op) -> Option<&'static str> {
        let Op::Put(req) = op else { return None };
        let lease = parse_integer(&req["lease"]);
        let known = lease == 0 || self.leases.contains_key(&lease);
        (!known).then_some("etcdserver: requested lease not found")
    }

    fn apply(&mut self, op: &Op) -> Value {
        match op {
            Op::Range(req) => json!({ "response_range": self.range(req) }),
            Op::Put(req) => {
                self.set(
                    decode_base64(&req["key"]),
                    decode_base64(&req["value"]),
                    parse_integer(&req["lease"]),
                );
                json!({ "response_put": { "header": self.header() } })
            }
            Op::Delete(req) => {
                let (key, end) = (decode_base64(&req["key"]), decode_base64(&req["range_end"]));
                let deleted: Vec<Vec<u8>> =
                    range_entries(&self.keys, &key, &end).map(|(k, _)| k.clone()).collect();
                deleted.iter().for_each(|k| self.delete(k));
                json!({ "response_delete_range": { "deleted": deleted.len().to_string() } })
            }
        }
    }

    fn set(&mut self, key: Vec<u8>, value: Vec<u8>, lease: u64) {
        let old = self.keys.get(&key);
        let stored = KeyValue {
            value,
            created: old.map_or(self.revision, |s| s.created),
            modified: self.revision,
            version: old.map_or(1, |s| s.version + 1),
            lease,
        };
        self.keys.insert(key.clone(), stored.clone());
        self.log.push(Change { revision: self.revision, key, new: Some(stored) });
    }

    fn delete(&mut self, key: &[u8]) {
        self.keys.remove(key);
        self.log.push(Change { revision: self.revision, key: key.to_vec(), new: None });
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let attached = self.keys.iter().filter(|(_, s)| s.lease == id).map(|(k, _)| k.clone());
        let attached: Vec<Vec<u8>> = attached.collect();
        self.revision += u64::from(!attached.is_empty());
        attached.iter().for_each(|k| self.delete(k));
    }
}

/// Parses an operation of a transaction; `None` for one of another kind.
fn parse_op(value: &Value) -> Option<Op> {
    let put = value.get("request_put").map(|v| Op::Put(v.clone()));
    let delete = value.get("request_delete_range").map(|v| Op::Delete(v.clone()));
    let range = value.get("request_range").map(|v| Op::Range(v.clone()));
    put.or(delete).or(range)
}

/// Returns a key in the JSON of the gateway.
fn key_value_json(key: &[u8], stored: &KeyValue) -> Value {
    json!({
        "key": encode_base64(key),
        "value": encode_base64(&stored.value),
        "create_revision": stored.created.to_string(),
        "mod_revision": stored.modified.to_string(),
        "version": stored.version.to_string(),
        "lease": stored.lease.to_string(),
    })
}

/// Returns a change in the JSON of the gateway.
fn event_json(change: &Change) -> Value {
    match &change.new {
        Some(stored) => json!({ "kv": key_value_json(&change.key, stored) }),
        None => json!({
            "type": "DELETE",
            "kv": {
                "key": encode_base64(&change.key),
                "mod_revision": change.revision.to_string(),
            },
        }),
    }
}
