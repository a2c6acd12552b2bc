//! The age of this host's copy of the registry, and the registry's era.

use std::sync::atomic::{AtomicU8, AtomicU32, AtomicU64, Ordering};

use tokio::sync::watch;

use crate::decide::lapse;
use crate::decide::reads::ReadSchedule;
use crate::time::Time;

/// The age of this host's copy of the registry, and the newest era that this host knows of. The
/// registry begins a new era each time it returns from a copy that lacks its newest changes.
#[derive(Debug)]
pub(crate) struct RegistryFreshness {
    pub(crate) schedule: ReadSchedule,
    /// The time up to which every change of the registry is known; zero before the first read.
    as_of: watch::Sender<Time>,
    /// The end of the last outage of the registry, in microseconds; 0 if there was none.
    outage_end: AtomicU64,
    era: AtomicU32,
    source: AtomicU8,
}

/// Where the knowledge of the age of this host's copy comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum Source {
    /// From a peer with the same records.
    Peer,
    /// From this host's own read, which has shown all records in force.
    OwnRead,
    /// From this host's own read, which has not shown some upstream that peers still list.
    Doubtful,
}

impl RegistryFreshness {
    pub(crate) fn new(schedule: ReadSchedule) -> RegistryFreshness {
        RegistryFreshness {
            schedule,
            as_of: watch::Sender::default(),
            outage_end: AtomicU64::new(0),
            era: AtomicU32::new(0),
            source: AtomicU8::new(Source::Peer as u8),
        }
    }

    /// Returns the time up to which every change is known, or `None` before the first read.
    pub(crate) fn as_of(&self) -> Option<Time> {
        let as_of = *self.as_of.borrow();
        (as_of > Time::ZERO).then_some(as_of)
    }

    /// Returns a time by which the last outage of the registry that this host knows of had ended: the
    /// first read after it, by any host.
    pub(crate) fn outage_end(&self) -> Time {
        Time::from_micros(self.outage_end.load(Ordering::Acquire))
    }

    /// Returns whether the copy is young enough to conclude that a route does not exist.
    pub(crate) fn is_current(&self, now: Time) -> bool {
        self.as_of().is_some_and(|at| now.since(at) < self.schedule.routes_age_max())
    }

    /// Records that every change up to `at` is known from a peer. Ignored if a later time is already
    /// recorded.
    pub(crate) fn advance_to(&self, at: Time) {
        self.advance(at, Source::Peer);
    }

    /// Records that this host has read every change up to `at`. `is_confirmed` tells whether the
    /// read has shown all upstreams in force.
    pub(crate) fn advance_by_read(&self, at: Time, is_confirmed: bool) {
        self.advance(at, if is_confirmed { Source::OwnRead } else { Source::Doubtful });
    }

    fn advance(&self, at: Time, source: Source) {
        self.as_of.send_if_modified(|as_of| {
            let is_newer = at > *as_of;
            if is_newer {
                if *as_of > Time::ZERO && lapse::is_outage(*as_of, at) {
                    self.outage_end.store(at.as_micros(), Ordering::Release);
                }
                *as_of = at;
                self.source.store(source as u8, Ordering::Release);
            }
            is_newer
        });
    }

    /// Records that an upstream came into force by a peer's word. If the age of the copy is known
    /// from this host's own read, that read may have followed the upstream's removal.
    pub(crate) fn doubt_own_read(&self) {
        let (own, doubtful) = (Source::OwnRead as u8, Source::Doubtful as u8);
        let _ = self.source.compare_exchange(own, doubtful, Ordering::AcqRel, Ordering::Relaxed);
    }

    /// Returns the time up to which every change is known, for peers with the same records to
    /// adopt: `None` while an upstream in force may have been removed before that time.
    pub(crate) fn as_of_for_peers(&self) -> Option<Time> {
        let is_doubtful = self.source.load(Ordering::Acquire) == Source::Doubtful as u8;
        self.as_of().filter(|_| !is_doubtful)
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
