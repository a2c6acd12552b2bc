//! Whether a registration that has vanished from a store means that its owner has gone.
//!
//! Registrations expire while the store can't be reached by those who renew them. For a short time
//! after the store is back, one that is missing may only be late; after that it is gone.

use std::sync::Arc;
use std::time::Duration;

use crate::time::Time;

/// The time after the store's return within which a live owner has registered again: two seconds as
/// the platform states it, and a heartbeat's jitter.
const RENEWAL_MAX: Duration = Duration::from_millis(2_500);

/// A registration that is missing and may come back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Missing {
    /// The registration's name.
    pub name: Arc<str>,
    /// The store's revision at which it was missing.
    pub revision: u64,
}

/// Registrations that are missing and may come back, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct MissingRegistrations {
    failing: bool,
    /// When the store could first be read again; nothing before the first read.
    returned: Option<Time>,
    missing: Vec<Missing>,
}

impl MissingRegistrations {
    /// Notes that the store could not be read.
    pub fn failed(&mut self) {
        self.failing = true;
    }

    /// Notes that the store was read. Returns whether it could not be read before.
    pub fn succeeded(&mut self, now: Time) -> bool {
        let returned = self.failing || self.returned.is_none();
        if returned {
            self.returned = Some(now);
        }
        self.failing = false;
        returned
    }

    /// Notes that a registration has vanished. Returns whether its owner counts as gone; otherwise
    /// [`MissingRegistrations::expired`] tells later. An owner that had said that it leaves has gone in any case.
    pub fn vanished(&mut self, name: &Arc<str>, revision: u64, leaving: bool, now: Time) -> bool {
        if leaving || !self.is_recent(now) {
            return true;
        }
        let row = Missing { name: name.clone(), revision };
        match self.missing.binary_search_by(|m| m.name.cmp(name)) {
            Ok(at) => self.missing[at] = row,
            Err(at) => self.missing.insert(at, row),
        }
        false
    }

    /// Notes that a registration is there.
    pub fn registered(&mut self, name: &str) {
        if let Ok(at) = self.missing.binary_search_by(|m| (*m.name).cmp(name)) {
            self.missing.remove(at);
        }
    }

    /// Returns the registrations that did not come back in time, once each.
    pub fn expired(&mut self, now: Time) -> Vec<Missing> {
        match self.failing || self.is_recent(now) {
            true => Vec::new(),
            false => std::mem::take(&mut self.missing),
        }
    }

    fn is_recent(&self, now: Time) -> bool {
        self.returned.is_none_or(|at| now.since(at) < RENEWAL_MAX)
    }
}
