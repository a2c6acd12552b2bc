//! The store behind the stand-in platform: keys with revisions, transactions and leases.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::platform::{bytes_of, number, text_of, within};

/// A stored key.
#[derive(Clone, Debug)]
struct Stored {
    value: Vec<u8>,
    created: u64,
    modified: u64,
    version: u64,
    lease: u64,
}

/// One operation of a transaction, as the gateway's JSON.
#[derive(Clone, Debug)]
pub enum Op {
    /// A put.
    Put(Value),
    /// A deletion of a key or a range of keys.
    Delete(Value),
    /// A read.
    Range(Value),
}

/// A change of a key, as watches report it.
#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    key: Vec<u8>,
    stored: Option<Stored>,
}

/// The keys, the log of changes, and the leases.
#[derive(Clone, Debug, Default)]
pub struct Store {
    revision: u64,
    compacted: u64,
    epoch: u64,
    keys: BTreeMap<Vec<u8>, Stored>,
    log: Vec<Change>,
    leases: BTreeMap<u64, u64>,
}

impl Store {
    /// Returns the number of changes so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision up to which the log was dropped.
    pub fn compacted(&self) -> u64 {
        self.compacted
    }

    /// Returns how often the store was restored.
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

    /// Stores a value without comparison.
    pub fn put(&mut self, key: &str, value: &str) {
        let key = text_of(key.as_bytes());
        self.apply_one(&Op::Put(json!({ "key": key, "value": text_of(value.as_bytes()) })));
    }

    /// Takes the place of this store by an older copy of it.
    pub fn restore(&mut self, older: Store) {
        let epoch = self.epoch + 1;
        *self = Store { epoch, ..older };
    }

    /// Drops the log; watches from an older revision are cancelled.
    pub fn compact(&mut self) {
        self.compacted = self.revision;
        self.log.clear();
    }

    /// Ends every lease and deletes the keys under it.
    pub fn expire_leases(&mut self) {
        let ids: Vec<u64> = self.leases.keys().copied().collect();
        ids.iter().for_each(|id| self.end_lease(*id));
    }

    /// Grants a lease.
    pub fn grant(&mut self, req: &Value) -> Value {
        let id = self.leases.keys().last().map_or(7_000, |id| id + 1);
        self.leases.insert(id, number(&req["TTL"]));
        json!({ "ID": id.to_string(), "TTL": number(&req["TTL"]).to_string() })
    }

    /// Revokes a lease and deletes the keys under it.
    pub fn revoke(&mut self, req: &Value) -> Value {
        self.end_lease(number(&req["ID"]));
        json!({ "header": self.header() })
    }

    /// Tells how long a lease lasts; 0 for one that has ended.
    pub fn lease(&self, req: &Value) -> Value {
        let id = number(&req["ID"]);
        let ttl = self.leases.get(&id).copied().unwrap_or_default();
        json!({ "ID": id.to_string(), "TTL": ttl.to_string() })
    }

    /// Reads a key or a range of keys.
    pub fn range(&self, req: &Value) -> Value {
        let (key, end) = (bytes_of(&req["key"]), bytes_of(&req["range_end"]));
        let since = number(&req["min_mod_revision"]);
        let found = within(&self.keys, &key, &end).filter(|(_, s)| s.modified >= since);
        let all: Vec<Value> = found.map(|(k, s)| entry(k, s)).collect();
        let limit = match number(&req["limit"]) {
            0 => all.len(),
            limit => usize::try_from(limit).expect("small"),
        };
        let kvs = &all[..limit.min(all.len())];
        let more = all.len() > limit;
        json!({ "header": self.header(), "kvs": kvs, "more": more, "count": all.len().to_string() })
    }

    /// Runs a transaction.
    pub fn txn(&mut self, req: &Value) -> Value {
        let none = Vec::new();
        let compares = req["compare"].as_array().unwrap_or(&none);
        let succeeded = compares.iter().all(|c| self.holds(c));
        let branch = if succeeded { "success" } else { "failure" };
        let ops: Vec<Op> =
            req[branch].as_array().unwrap_or(&none).iter().filter_map(op_of).collect();
        if let Some(error) = ops.iter().find_map(|op| self.fault(op)) {
            return json!({ "error": error, "code": 5, "message": error });
        }
        let writes = ops.iter().any(|op| !matches!(op, Op::Range(_)));
        self.revision += u64::from(writes);
        let responses: Vec<Value> = ops.iter().map(|op| self.apply(op)).collect();
        json!({ "header": self.header(), "succeeded": succeeded, "responses": responses })
    }

    /// Runs one operation by itself.
    pub fn apply_one(&mut self, op: &Op) -> Value {
        self.revision += 1;
        self.apply(op)["response_put"].clone()
    }

    /// Returns the changes of a range from a revision on.
    pub fn events(&self, from: u64, key: &[u8], end: &[u8]) -> Vec<Value> {
        let mine = |c: &&Change| {
            let one = BTreeMap::from([(c.key.clone(), ())]);
            c.revision >= from && within(&one, key, end).next().is_some()
        };
        self.log.iter().filter(mine).map(event).collect()
    }

    fn header(&self) -> Value {
        json!({ "revision": self.revision.to_string() })
    }

    fn holds(&self, compare: &Value) -> bool {
        let stored = self.keys.get(&bytes_of(&compare["key"]));
        let figure = |f: fn(&Stored) -> u64| stored.map_or(0, f);
        match compare["target"].as_str() {
            Some("VERSION") => figure(|s| s.version) == number(&compare["version"]),
            Some("MOD") => figure(|s| s.modified) == number(&compare["mod_revision"]),
            Some("CREATE") => figure(|s| s.created) == number(&compare["create_revision"]),
            _ => stored.is_some_and(|s| s.value == bytes_of(&compare["value"])),
        }
    }

    fn fault(&self, op: &Op) -> Option<&'static str> {
        let Op::Put(req) = op else { return None };
        let lease = number(&req["lease"]);
        let known = lease == 0 || self.leases.contains_key(&lease);
        (!known).then_some("etcdserver: requested lease not found")
    }

    fn apply(&mut self, op: &Op) -> Value {
        match op {
            Op::Range(req) => json!({ "response_range": self.range(req) }),
            Op::Put(req) => {
                self.set(bytes_of(&req["key"]), bytes_of(&req["value"]), number(&req["lease"]));
                json!({ "response_put": { "header": self.header() } })
            }
            Op::Delete(req) => {
                let (key, end) = (bytes_of(&req["key"]), bytes_of(&req["range_end"]));
                let gone: Vec<Vec<u8>> =
                    within(&self.keys, &key, &end).map(|(k, _)| k.clone()).collect();
                gone.iter().for_each(|k| self.delete(k));
                json!({ "response_delete_range": { "deleted": gone.len().to_string() } })
            }
        }
    }

    fn set(&mut self, key: Vec<u8>, value: Vec<u8>, lease: u64) {
        let old = self.keys.get(&key);
        let stored = Stored {
            value,
            created: old.map_or(self.revision, |s| s.created),
            modified: self.revision,
            version: old.map_or(1, |s| s.version + 1),
            lease,
        };
        self.keys.insert(key.clone(), stored.clone());
        self.log.push(Change { revision: self.revision, key, stored: Some(stored) });
    }

    fn delete(&mut self, key: &[u8]) {
        self.keys.remove(key);
        self.log.push(Change { revision: self.revision, key: key.to_vec(), stored: None });
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let held = self.keys.iter().filter(|(_, s)| s.lease == id).map(|(k, _)| k.clone());
        let held: Vec<Vec<u8>> = held.collect();
        self.revision += u64::from(!held.is_empty());
        held.iter().for_each(|k| self.delete(k));
    }
}

fn op_of(value: &Value) -> Option<Op> {
    let put = value.get("request_put").map(|v| Op::Put(v.clone()));
    let delete = value.get("request_delete_range").map(|v| Op::Delete(v.clone()));
    let range = value.get("request_range").map(|v| Op::Range(v.clone()));
    put.or(delete).or(range)
}

fn entry(key: &[u8], stored: &Stored) -> Value {
    json!({
        "key": text_of(key),
        "value": text_of(&stored.value),
        "create_revision": stored.created.to_string(),
        "mod_revision": stored.modified.to_string(),
        "version": stored.version.to_string(),
        "lease": stored.lease.to_string(),
    })
}

fn event(change: &Change) -> Value {
    match &change.stored {
        Some(stored) => json!({ "kv": entry(&change.key, stored) }),
        None => json!({
            "type": "DELETE",
            "kv": { "key": text_of(&change.key), "mod_revision": change.revision.to_string() },
        }),
    }
}
