//! Observations of leaving upstreams, as hosts relay them.
//!
//! An observation keeps its age when it is relayed. So hosts can't keep confirming to each other
//! what is no longer true: it expires a bounded time after the last host that made it itself.

use std::time::Duration;

use crate::decide::digest::UpstreamName;
use crate::time::Time;

/// The age at which an observation expires.
pub const OBSERVATION_AGE_MAX: Duration = Duration::from_millis(3_000);

/// The latest observation of a leaving upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingObservation {
    /// The upstream.
    pub name: UpstreamName,
    /// When a host last made the observation itself.
    pub at: Time,
}

/// The latest observations, sorted by upstream.
#[derive(Clone, Debug, Default)]
pub struct LeavingObservations {
    rows: Vec<LeavingObservation>,
}

impl LeavingObservations {
    /// Records an observation. Returns whether the upstream was not known to be leaving.
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

    /// Returns all observations.
    pub fn rows(&self) -> &[LeavingObservation] {
        &self.rows
    }

    /// Removes the expired observations and returns their upstreams.
    pub fn expire(&mut self, now: Time) -> Vec<UpstreamName> {
        let is_expired = |r: &LeavingObservation| now.since(r.at) >= OBSERVATION_AGE_MAX;
        let expired = self.rows.iter().filter(|r| is_expired(r)).map(|r| r.name.clone()).collect();
        self.rows.retain(|r| !is_expired(r));
        expired
    }
}
