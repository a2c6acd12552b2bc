//! Whether a host that knows no peers may still have some.

use std::time::Duration;

use crate::time::{CLOCK_START, Time};

#[cfg(test)]
mod tests;

/// The time after the start of the process in which a host without seeds finds its peers: it
/// registers within 2 s, and reads the registrations of others at most 2 s later.
const SEARCH_TIME: Duration = Duration::from_secs(4);

/// The time after this host's registration in which hosts that read it make themselves known.
const CONTACT_TIME: Duration = Duration::from_secs(2);

/// How a host that knows no peers can learn of some.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerSearch {
    /// Whether the settings name seeds.
    pub(crate) has_seeds: bool,
    /// Whether hosts find each other by registering in the platform's registry.
    pub(crate) has_registry: bool,
    /// When this host registered.
    pub(crate) registered: Option<Time>,
}

impl PeerSearch {
    /// Returns whether there may be other hosts though none is known: the settings name seeds, or this
    /// host has not had the time to find contacts. Hosts that start together find none until the first
    /// of them has registered, which takes until the registry can be written.
    pub(crate) fn may_find_peers(&self, now: Time) -> bool {
        let is_unknown = |at: Option<Time>| at.is_none_or(|at| now.since(at) < CONTACT_TIME);
        self.has_seeds
            || now.since(CLOCK_START) < SEARCH_TIME
            || self.has_registry && is_unknown(self.registered)
    }
}
