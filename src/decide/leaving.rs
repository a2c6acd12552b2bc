//! Upstreams that some host has seen to be leaving, as hosts pass it on.
//!
//! Each sighting has an age that no relay makes younger, so that hosts don't confirm each other in
//! what has ceased to be true: it ends a bounded time after the last host that saw it itself.

use std::time::Duration;

use crate::decide::digest::UpstreamName;
use crate::time::Time;

/// The age at which a sighting is worth nothing.
pub const OBSERVATION_AGE_MAX: Duration = Duration::from_millis(3_000);

/// The newest sighting of an upstream that leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingObservation {
    /// The upstream.
    pub name: UpstreamName,
    /// When a host last saw it itself.
    pub at: Time,
}

/// The newest sightings, sorted by upstream.
#[derive(Clone, Debug, Default)]
pub struct LeavingObservations {
    rows: Vec<LeavingObservation>,
}

impl LeavingObservations {
    /// Takes note of a sighting. Returns whether the upstream was not known to leave.
    pub fn observe(&mut self, name: &UpstreamName, at: Time) -> bool {
        match self.rows.binary_search_by(|r| r.name.cmp(name)) {
            Ok(i) => {
                self.rows[i].at = self.rows[i].at.max(at);
                false
            }
            Err(i) => {
                self.rows.insert(i, LeavingObservation { name: name.clone(), at });
                true
            }
        }
    }

    /// Returns all sightings.
    pub fn rows(&self) -> &[LeavingObservation] {
        &self.rows
    }

    /// Removes the sightings that are too old, and returns their upstreams.
    pub fn expire(&mut self, now: Time) -> Vec<UpstreamName> {
        let is_old = |r: &LeavingObservation| now.since(r.at) >= OBSERVATION_AGE_MAX;
        let old = self.rows.iter().filter(|r| is_old(r)).map(|r| r.name.clone()).collect();
        self.rows.retain(|r| !is_old(r));
        old
    }
}
