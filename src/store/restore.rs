//! Puts accepted records back into a key-value service that was restored from an older copy.

use crate::decide::catalog::Record;
use crate::decide::stored::{self, StoredRecord};
use crate::node::Node;
use crate::store::call::{Compare, Entry, Op, Txn};
use crate::store::client::{Client, RangeContents};

/// Records put back at a time; the rest follow after another read of everything.
const PUT_BACK_MAX: usize = 10;

/// Stores again what is in force here and newer than what the service holds. The comparison with
/// the revision that was read fences it: whatever else was stored meanwhile stays. Returns whether
/// everything was in place, so that no other read of everything is due.
pub(crate) async fn put_back(node: &Node, client: &Client, loaded: &RangeContents) -> bool {
    let records: Vec<Record> = node.catalog.lock().records().to_vec();
    let newer = records.iter().filter_map(|r| {
        let key = client.keys.record(r.kind(), &r.name);
        let found = loaded.entries.binary_search_by(|e| e.key.cmp(&key));
        let entry = found.ok().map(|at| &loaded.entries[at]);
        let older = r.version > 0 && entry.is_none_or(|e| is_older(e, r));
        older.then(|| put(client, r, entry.map_or(0, |e| e.revision)))
    });
    let newer: Vec<Txn> = newer.take(PUT_BACK_MAX).collect();
    let in_place = newer.is_empty();
    for txn in newer {
        log::warn!("puts {:?} back into the key-value service", txn.compare);
        if let Err(e) = (client.kv.txn)(txn).await {
            log::warn!("key-value service: {e}");
        }
    }
    in_place
}

fn is_older(entry: &Entry, record: &Record) -> bool {
    match stored::read(record.kind(), &record.name, &entry.value) {
        StoredRecord::Readable(held) => held.precedence() < record.precedence(),
        StoredRecord::Unreadable(_) => false,
    }
}

fn put(client: &Client, record: &Record, revision: u64) -> Txn {
    let value = serde_json::to_vec(record).unwrap_or_default();
    let (kind, name) = (record.kind(), &record.name);
    let (key, keys) = (client.keys.record(kind, name), &client.keys);
    let version = keys.version(kind, name, record.version);
    Txn {
        compare: vec![Compare::Revision(key.clone(), revision)],
        ops: vec![Op::Put(key, value.clone(), None), Op::Put(version, value, None)],
    }
}
