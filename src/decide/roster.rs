//! The records of the fleet in the registry: the hosts that some hosts know.
//!
//! A process that has just started knows few hosts, however large its fleet is, and behind a cut it
//! hears of no more. So one host on each side of a cut keeps a record of the hosts that it knows,
//! and the others take them for known too.

use std::sync::Arc;
use std::time::Duration;

use crate::time::Time;

/// The time between two reads of the records while they name hosts that this host hasn't heard of.
const READ_INTERVAL: Duration = Duration::from_secs(3);

/// The records of other processes, as this host last read them.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    /// The hosts that each record names, sorted by the record's key.
    records: Vec<(String, Vec<Arc<str>>)>,
    /// When this host last listed them.
    listed: Option<Time>,
}

impl Roster {
    /// Begins a listing of all records.
    pub(crate) fn begin_listing(&mut self, now: Time) {
        self.records.clear();
        self.listed = Some(now);
    }

    /// Applies a record, or that it is gone.
    pub(crate) fn apply(&mut self, key: &str, hosts: Option<Vec<Arc<str>>>) {
        let at = self.records.binary_search_by(|(k, _)| (**k).cmp(key));
        match (at, hosts) {
            (Ok(at), Some(hosts)) => self.records[at].1 = hosts,
            (Ok(at), None) => drop(self.records.remove(at)),
            (Err(at), Some(hosts)) => self.records.insert(at, (key.to_owned(), hosts)),
            (Err(_), None) => {}
        }
    }

    /// Returns the hosts that the records name, sorted.
    pub(crate) fn hosts(&self) -> Vec<Arc<str>> {
        let mut hosts: Vec<Arc<str>> =
            self.records.iter().flat_map(|(_, hosts)| hosts.iter().cloned()).collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts
    }

    /// Returns whether this host has read the records.
    pub(crate) fn is_read(&self) -> bool {
        self.listed.is_some()
    }

    /// Returns whether it is time to read the records again, if they name hosts that this host
    /// hasn't heard of: these may have gone, with the records that name them.
    pub(crate) fn is_read_due(&self, now: Time) -> bool {
        self.listed.is_some_and(|at| now.since(at) >= READ_INTERVAL)
    }
}
