//! Writes records back to a key-value service that was restored from an older backup.

use crate::decide::catalog::Record;
use crate::decide::stored::{self, StoredRecord};
use crate::node::Node;
use crate::store::call::{Compare, Entry, Op, Txn};
use crate::store::client::{Client, RangeContents};

/// Maximum number of records written back per full read; the rest follow after the next one.
const WRITE_BACK_MAX: usize = 10;

/// Writes back the records in force on this host that are newer than what the service holds.
///
/// Each transaction compares the key's revision with the one that was read, so that a concurrent
/// write is never overwritten. Returns whether nothing had to be written back; otherwise another
/// full read is due.
pub(crate) async fn write_back(node: &Node, client: &Client, contents: &RangeContents) -> bool {
    let records: Vec<Record> = node.catalog.lock().records().to_vec();
    let newer = records.iter().filter_map(|r| {
        let key = client.keys.record(r.kind(), &r.name);
        let found = contents.entries.binary_search_by(|e| e.key.cmp(&key));
        let entry = found.ok().map(|at| &contents.entries[at]);
        let outdated = r.version > 0 && entry.is_none_or(|e| is_older(e, r));
        outdated.then(|| put_txn(client, r, entry.map_or(0, |e| e.revision)))
    });
    let newer: Vec<Txn> = newer.take(WRITE_BACK_MAX).collect();
    let up_to_date = newer.is_empty();
    for txn in newer {
        log::warn!("writing a newer record back to the key-value service: {:?}", txn.compare);
        if let Err(e) = (client.kv.txn)(txn).await {
            log::warn!("key-value service: {e}");
        }
    }
    up_to_date
}

/// Returns whether a stored entry holds an older version than `record`. An entry that this release
/// can't read doesn't count as older.
fn is_older(entry: &Entry, record: &Record) -> bool {
    match stored::read(record.kind(), &record.name, &entry.value) {
        StoredRecord::Readable(held) => held.precedence() < record.precedence(),
        StoredRecord::Unreadable(_) => false,
    }
}

/// Returns a transaction that stores a record and its history entry if the record's key is still
/// at `revision`.
fn put_txn(client: &Client, record: &Record, revision: u64) -> Txn {
    let value = serde_json::to_vec(record).unwrap_or_default();
    let (kind, name) = (record.kind(), &record.name);
    let (key, keys) = (client.keys.record(kind, name), &client.keys);
    let version = keys.version(kind, name, record.version);
    Txn {
        compare: vec![Compare::Revision(key.clone(), revision)],
        ops: vec![Op::Put(key, value.clone(), None), Op::Put(version, value, None)],
    }
}
