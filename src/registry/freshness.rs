//! The age of this host's copy of the registry, and the registry's era.

use std::sync::atomic::{AtomicU32, Ordering};

use tokio::sync::watch;

use crate::decide::reads::ReadSchedule;
use crate::time::Time;

/// The age of this host's copy of the registry, and the newest era that this host knows of. The
/// registry begins a new era each time it returns from a copy that lacks its newest changes.
#[derive(Debug)]
pub(crate) struct RegistryFreshness {
    pub(crate) schedule: ReadSchedule,
    /// The time up to which every change of the registry is known; zero before the first read.
    as_of: watch::Sender<Time>,
    era: AtomicU32,
}

impl RegistryFreshness {
    pub(crate) fn new(schedule: ReadSchedule) -> RegistryFreshness {
        RegistryFreshness { schedule, as_of: watch::Sender::default(), era: AtomicU32::new(0) }
    }

    /// Returns the time up to which every change is known, or `None` before the first read.
    pub(crate) fn as_of(&self) -> Option<Time> {
        let as_of = *self.as_of.borrow();
        (as_of > Time::ZERO).then_some(as_of)
    }

    /// Returns whether the copy is young enough to conclude that a route does not exist.
    pub(crate) fn is_current(&self, now: Time) -> bool {
        self.as_of().is_some_and(|at| now.since(at) < self.schedule.routes_age_max())
    }

    /// Records that every change up to `at` is known. Ignored if a later time is already recorded.
    pub(crate) fn advance_to(&self, at: Time) {
        self.as_of.send_if_modified(|as_of| {
            let is_newer = at > *as_of;
            *as_of = at.max(*as_of);
            is_newer
        });
    }

    /// Returns a receiver of the time up to which every change is known.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Time> {
        self.as_of.subscribe()
    }

    /// Returns the newest era known.
    pub(crate) fn era(&self) -> u32 {
        self.era.load(Ordering::Acquire)
    }

    /// Records that the registry is in `era`, or has been. Returns the newest era known before.
    pub(crate) fn observe_era(&self, era: u32) -> u32 {
        self.era.fetch_max(era, Ordering::AcqRel)
    }
}
