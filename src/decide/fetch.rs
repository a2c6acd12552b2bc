//! Keeps track of the record versions being fetched from peers.
//!
//! Every neighbour announces a new record. Fetching a large one from all of them at once would fill
//! the network link of the host.

#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::decide::digest::RecordVersion;
use crate::time::Time;

/// The time without progress after which a version is fetched from another peer as well.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(700);

/// The versions being fetched, and when each fetch began or last made progress.
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

    /// Records that the fetch of a version was still making progress at `at`.
    pub(crate) fn renew(&mut self, version: &RecordVersion, at: Time) {
        if let Some((_, since)) = self.fetches.iter_mut().find(|(v, _)| v == version) {
            *since = (*since).max(at);
        }
    }
}
