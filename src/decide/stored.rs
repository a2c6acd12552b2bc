//! Reading records as they are stored, also those that a newer release wrote.

use std::sync::Arc;

use serde::Deserialize;

use crate::decide::catalog::{Body, Record, RecordKind};
use crate::settings::{Fault, profile_faults, service_faults};

/// What stands under a record's key.
#[derive(Clone, Debug, PartialEq)]
pub enum StoredRecord {
    /// A record that this release can read.
    Readable(Record),
    /// A version that it can't.
    Unreadable(UnreadableVersion),
}

/// A version of a record that this release can't read.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnreadableVersion {
    /// The kind.
    pub kind: RecordKind,
    /// The name.
    pub name: Arc<str>,
    /// The version, if even that can be read.
    pub version: Option<u64>,
}

/// The fields of a record that every release can read.
#[derive(Deserialize)]
struct Envelope {
    version: u64,
}

/// Reads the value under the key of a record.
pub fn read(kind: RecordKind, name: &str, value: &[u8]) -> StoredRecord {
    let record: Option<Record> = serde_json::from_slice(value).ok();
    let sound = |r: &Record| r.kind() == kind && *r.name == *name && faults(r).is_empty();
    if let Some(record) = record.filter(sound) {
        return StoredRecord::Readable(record);
    }
    let envelope: Option<Envelope> = serde_json::from_slice(value).ok();
    let version = envelope.map(|e| e.version);
    StoredRecord::Unreadable(UnreadableVersion { kind, name: name.into(), version })
}

/// Returns the faults of a record.
pub fn faults(record: &Record) -> Vec<Fault> {
    let named = |name: &Arc<str>| *name == record.name;
    match &record.body {
        Body::Profile(p) => body_faults(named(&p.name), profile_faults(p, "")),
        Body::Service(s) => body_faults(named(&s.name), service_faults(s, "")),
        Body::Routing(r) => r.services.iter().flat_map(|s| service_faults(s, "")).collect(),
        Body::Host(h) => body_faults(h.name == record.name, Vec::new()),
        Body::Deleted(_) => Vec::new(),
    }
}

fn body_faults(named: bool, mut faults: Vec<Fault>) -> Vec<Fault> {
    if !named {
        let reason = "differs from the record's name".to_owned();
        faults.push(Fault { pointer: "/name".to_owned(), reason });
    }
    faults
}
