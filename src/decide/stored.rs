//! Parses stored records, including those that a newer release has written.

use std::sync::Arc;

use serde::Deserialize;

use crate::decide::catalog::{Body, Record, RecordKind};
use crate::decide::teams;
use crate::settings::{Fault, profile_faults, service_faults};

/// The value stored under a record's key.
#[derive(Clone, Debug, PartialEq)]
pub enum StoredRecord {
    /// A record that this release can read.
    Readable(Record),
    /// A version that this release can't read.
    Unreadable(UnreadableVersion),
}

/// A version of a record that this release can't read.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnreadableVersion {
    /// The record's kind.
    pub kind: RecordKind,
    /// The record's name.
    pub name: Arc<str>,
    /// The version number; `None` if not even that can be read.
    pub version: Option<u64>,
}

/// The fields of a record that every release can read.
#[derive(Deserialize)]
struct Envelope {
    version: u64,
}

/// Parses the value stored under the key of a record. A record that has faults, or a different kind
/// or name than its key, counts as unreadable.
pub fn read(kind: RecordKind, name: &str, value: &[u8]) -> StoredRecord {
    let record: Option<Record> = serde_json::from_slice(value).ok();
    let is_valid = |r: &Record| r.kind() == kind && *r.name == *name && faults(r).is_empty();
    if let Some(record) = record.filter(is_valid) {
        return StoredRecord::Readable(record);
    }
    let envelope: Option<Envelope> = serde_json::from_slice(value).ok();
    let version = envelope.map(|e| e.version);
    StoredRecord::Unreadable(UnreadableVersion { kind, name: name.into(), version })
}

/// Validates a record, and returns its faults.
pub fn faults(record: &Record) -> Vec<Fault> {
    let is_named = |name: &Arc<str>| *name == record.name;
    match &record.body {
        Body::Profile(p) => body_faults(is_named(&p.name), profile_faults(p, "")),
        Body::Service(s) => body_faults(is_named(&s.name), service_faults(s, "")),
        Body::Routing(r) => {
            let of_services = r.services.iter().flat_map(|s| service_faults(s, ""));
            let teams = r.teams.as_deref().unwrap_or_default();
            of_services.chain(teams::faults(teams, "/teams")).collect()
        }
        Body::Host(h) => body_faults(h.name == record.name, Vec::new()),
        Body::Deleted(_) => Vec::new(),
    }
}

fn body_faults(name_matches: bool, mut faults: Vec<Fault>) -> Vec<Fault> {
    if !name_matches {
        let reason = "differs from the record's name".to_owned();
        faults.push(Fault { pointer: "/name".to_owned(), reason });
    }
    faults
}
