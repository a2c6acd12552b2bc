//! Decides whether a registration that is missing from a registry means that its owner is gone.
//!
//! Registrations lapse while their owners can't reach the registry to renew them. For a short time
//! after the registry is readable again, the owner of a missing registration may still register
//! again; after that time it counts as gone.

use std::sync::Arc;
use std::time::Duration;

use crate::time::Time;

/// The time within which a live owner registers again after the registry has become readable: the
/// two seconds that the platform specifies, plus the jitter of a heartbeat.
const REGISTRATION_GRACE: Duration = Duration::from_millis(2_500);

/// The time without a read by any host below which no registration can have lapsed: a registration
/// lapses after three heartbeat intervals of 1.5 s, and the last heartbeat is one interval old at most.
const OUTAGE_MIN: Duration = Duration::from_millis(2_900);

/// Returns whether the registry was out for so long that registrations may have lapsed, if no host has
/// read it between two times.
pub(crate) fn is_outage(from: Time, to: Time) -> bool {
    to.since(from) >= OUTAGE_MIN
}

/// A registration that is missing and whose owner may register again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingRegistration {
    /// The name of the registration.
    pub name: Arc<str>,
}

/// The registrations that are missing and whose owners may register again, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct MissingRegistrations {
    /// Whether the last read failed.
    is_failing: bool,
    /// Whether the registry has returned from an older copy since the last read.
    is_rewound: bool,
    /// When the first read after the last outage succeeded; `None` before the first successful read.
    readable_since: Option<Time>,
    missing: Vec<MissingRegistration>,
}

impl MissingRegistrations {
    /// Records that reading the registry failed.
    pub fn record_failure(&mut self) {
        self.is_failing = true;
    }

    /// Records that the registry has returned from an older copy, which may lack registrations.
    pub fn record_rewind(&mut self) {
        (self.is_failing, self.is_rewound) = (true, true);
    }

    /// Records that an outage had ended by `at`, as a peer has told that read the registry first.
    pub fn record_outage_end(&mut self, at: Time) {
        self.readable_since = self.readable_since.map(|since| since.max(at));
    }

    /// Records that the registry was read. `known_up_to` is the time up to which this host knew every
    /// change before, by its own reads or from peers. Returns whether this is the first successful
    /// read, or the first one after a failure.
    pub fn record_success(&mut self, now: Time, known_up_to: Option<Time>) -> bool {
        let is_first = self.is_failing || self.readable_since.is_none();
        let is_after_outage = self.is_rewound
            || self.readable_since.is_none()
            || known_up_to.is_none_or(|at| is_outage(at, now));
        if is_first && is_after_outage {
            self.readable_since = Some(now);
        }
        (self.is_failing, self.is_rewound) = (false, false);
        is_first
    }

    /// Marks a registration as missing. Returns whether its owner counts as gone already; if not,
    /// [`MissingRegistrations::take_expired`] returns it later unless it registers again. An
    /// owner that had announced that it is leaving counts as gone at once.
    pub fn mark_missing(&mut self, name: &Arc<str>, leaving: bool, now: Time) -> bool {
        if leaving || !self.is_in_grace(now) {
            return true;
        }
        if let Err(at) = self.missing.binary_search_by(|m| m.name.cmp(name)) {
            self.missing.insert(at, MissingRegistration { name: name.clone() });
        }
        false
    }

    /// Marks a registration as present.
    pub fn mark_present(&mut self, name: &str) {
        if let Ok(at) = self.missing.binary_search_by(|m| (*m.name).cmp(name)) {
            self.missing.remove(at);
        }
    }

    /// Removes and returns the registrations whose owners have not registered again in time.
    pub fn take_expired(&mut self, now: Time) -> Vec<MissingRegistration> {
        match self.is_failing || self.is_in_grace(now) {
            true => Vec::new(),
            false => std::mem::take(&mut self.missing),
        }
    }

    fn is_in_grace(&self, now: Time) -> bool {
        self.readable_since.is_none_or(|at| now.since(at) < REGISTRATION_GRACE)
    }
}
