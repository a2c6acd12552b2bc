//! Which versions of records are being fetched from peers.
//!
//! Every neighbour offers a new record. Fetched from all of them at once, a large one fills a host's
//! link.

#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::decide::digest::Version;
use crate::time::Time;

/// The time after which a version is fetched from another peer as well: a large config takes half
/// of it over a link of 10 Mbit/s.
pub(crate) const AGAIN_AFTER: Duration = Duration::from_millis(700);

/// The versions that are being fetched, and when each fetch began.
#[derive(Debug, Default)]
pub(crate) struct Fetches {
    rows: Vec<(Version, Time)>,
}

impl Fetches {
    /// Tells whether a version is to be fetched now, and notes that it is.
    pub(crate) fn begin(&mut self, version: &Version, now: Time) -> bool {
        self.rows.retain(|(_, since)| now.since(*since) < AGAIN_AFTER);
        let is_new = self.rows.iter().all(|(v, _)| v != version);
        if is_new {
            self.rows.push((version.clone(), now));
        }
        is_new
    }
}
