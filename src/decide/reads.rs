//! Decides when a host reads the platform's registry.
//!
//! A few hosts, the readers, take turns by rank: the first one reads at a fixed interval, and each
//! of the next ones only if no newer copy has reached it shortly after that. All other hosts
//! receive the copy from their peers, and read for themselves only once it has become old. So the
//! number of reads doesn't depend on the size of the fleet, and no failure has to be detected for
//! the next reader to take over.

use std::time::Duration;

use crate::time::Time;

/// The number of hosts that read by rank. With a third of the hosts refused by the registry, one of
/// them reads in all but one of several hundred cases. The last one reads before all other hosts do.
const READERS: usize = 6;
/// The time between two reads by the first reader, as a part of the time in which a change must be
/// in force everywhere.
const INTERVAL_SHARE: f64 = 0.25;
/// The time by which each further reader waits longer, as a part of the same time.
const RANK_SHARE: f64 = 0.06;
/// The age of its copy at which any other host reads at the latest, as a part of the same time. The
/// rest is for a registry that responds slowly.
const AGE_MAX_SHARE: f64 = 0.75;
/// The age of its copy at which a host whose reads fail tries once more before it leaves it to the
/// fleet's pace, as a part of the same time. A read that the registry answers at once still counts.
const LAST_TRY_SHARE: f64 = 0.9;
/// The lower bound of the random factor by which each host shortens that age, so that one host
/// reads first and the others receive its result.
pub const AGE_FACTOR_MIN: f64 = 0.75;

/// The times at which the hosts of a fleet read the registry.
#[derive(Clone, Copy, Debug)]
pub struct ReadSchedule {
    apply: Duration,
}

impl ReadSchedule {
    /// Creates the schedule by which a change is in force everywhere within `apply`.
    pub fn new(apply: Duration) -> ReadSchedule {
        ReadSchedule { apply }
    }

    /// Returns when the next read is due on a host whose copy was current at `as_of`. `rank` is the
    /// host's rank among the live hosts, and `age_factor` a random number from [`AGE_FACTOR_MIN`]
    /// to 1.
    pub fn due(&self, as_of: Time, rank: Option<usize>, age_factor: f64) -> Time {
        let share = match rank {
            Some(rank) if rank < READERS => INTERVAL_SHARE + RANK_SHARE * rank as f64,
            _ => AGE_MAX_SHARE * age_factor,
        };
        as_of + self.apply.mul_f64(share)
    }

    /// Returns the delay after a read that failed, on a host whose copy was current at `as_of`:
    /// `paced`, by which the fleet spares a registry that is out, but no longer than until the last
    /// moment at which a read can still keep the copy young enough, and at least `backoff`.
    pub fn retry_delay(
        &self,
        as_of: Option<Time>,
        now: Time,
        backoff: Duration,
        paced: Duration,
    ) -> Duration {
        let last_try = as_of.map(|at| at + self.apply.mul_f64(LAST_TRY_SHARE));
        match last_try.map(|at| now.until(at)) {
            Some(left) if left >= backoff => paced.max(backoff).min(left),
            _ => paced.max(backoff),
        }
    }

    /// Returns the time within which a change must be in force everywhere.
    pub fn apply_time(&self) -> Duration {
        self.apply
    }

    /// Returns the age below which a copy is young enough to serve with.
    pub fn age_max(&self) -> Duration {
        self.apply.mul_f64(AGE_MAX_SHARE)
    }

    /// Returns the age of its copy below which a host may conclude that a route doesn't exist.
    pub fn routes_age_max(&self) -> Duration {
        self.apply
    }
}

/// Tells when a host's copy of the registry becomes too old, and when it is young enough again.
#[derive(Clone, Copy, Debug, Default)]
pub struct CopyAge {
    /// The highest age since the copy became too old; `None` while it is young enough.
    highest: Option<Duration>,
}

/// A change of whether a copy is too old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgeChange {
    /// It has become too old; its age.
    Outdated(Duration),
    /// It is young enough again; the highest age that it reached.
    Current(Duration),
}

impl CopyAge {
    /// Takes the age of the copy at present, of which `limit` is too old. Returns the change that
    /// this makes, if any.
    pub fn observe(&mut self, age: Duration, limit: Duration) -> Option<AgeChange> {
        match (self.highest, age >= limit) {
            (None, false) => None,
            (None, true) => {
                self.highest = Some(age);
                Some(AgeChange::Outdated(age))
            }
            (Some(highest), true) => {
                self.highest = Some(highest.max(age));
                None
            }
            (Some(highest), false) => {
                self.highest = None;
                Some(AgeChange::Current(highest))
            }
        }
    }
}
