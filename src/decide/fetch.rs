//! Keeps track of the record versions being fetched from peers.
//!
//! Every neighbour announces a new record. Fetching a large one from all of them at once would fill
//! the network link of the host.

#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::decide::digest::RecordVersion;
use crate::time::Time;

/// The time after which a version is fetched from another peer as well. A large config takes half
/// of this time over a link of 10 Mbit/s.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(700);

/// The versions being fetched, and when each fetch began.
#[derive(Debug, Default)]
pub(crate) struct PendingFetches {
    fetches: Vec<(RecordVersion, Time)>,
}

impl PendingFetches {
    /// Returns whether to fetch a version now, and if so, records that its fetch has begun.
    pub(crate) fn try_begin(&mut self, version: &RecordVersion, now: Time) -> bool {
        self.fetches.retain(|(_, since)| now.since(*since) < RETRY_DELAY);
        let is_new = self.fetches.iter().all(|(v, _)| v != version);
        if is_new {
            self.fetches.push((version.clone(), now));
        }
        is_new
    }
}
