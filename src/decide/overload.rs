//! Which requests a host refuses while it can't keep up with its work.
//!
//! The loops of a process share its processor time. A host that takes up all requests that come reads,
//! gossips and answers later and later, until its calls time out and are made again, and it no longer
//! recovers while the load lasts. So a part of the requests is refused before anything else is done for
//! them: a part that grows while a loop runs late, and shrinks once all run in time.

use std::time::Duration;

use crate::config::Priority;
use crate::time::Time;

/// The lateness from which a loop counts as late. The shortest timeouts of calls to the registry and to
/// peers allow for some turns of a loop that is as late.
pub const LATE: Duration = Duration::from_millis(100);
/// The time in which a loop that runs late raises the refused part from none to the largest.
const RISE_TIME: Duration = Duration::from_millis(500);
/// The time in which loops that run in time lower it again.
const FALL_TIME: Duration = Duration::from_secs(3);
/// The largest part that is refused. The rest shows whether the host can take up more.
const PART_MAX: f32 = 0.95;
/// The refused part of urgent and of normal requests, relative to that of deferrable ones.
const URGENT_FACTOR: f32 = 0.8;
/// See [`URGENT_FACTOR`].
const NORMAL_FACTOR: f32 = 0.9;
/// The time after which a reading of the loop that serves callers no longer counts: without requests
/// there is none.
const READING_AGE_MAX: Duration = Duration::from_millis(500);
/// The shortest `Retry-After` time: another host may serve the caller at once.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
/// The longest `Retry-After` time.
const RETRY_AFTER_MAX: Duration = Duration::from_millis(1_000);
/// The random factor on that time, so that refused callers don't return together.
const SPREAD: std::ops::RangeInclusive<f64> = 0.6..=1.4;

/// The turns of the control loop that a response takes from the socket to its caller, at most.
const RESPONSE_TURNS: u32 = 8;
/// The longest time that is granted for them.
const RESPONSE_DELAY_MAX: Duration = Duration::from_secs(4);

/// A loop of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loop {
    /// The one that reads the registry, exchanges digests with peers and ticks the tables.
    Control,
    /// One that serves callers.
    Callers,
}

/// How late a loop ran at its last turn.
#[derive(Clone, Copy, Debug, Default)]
struct Reading {
    late: Duration,
    at: Time,
}

/// A change of whether a host refuses requests because it can't keep up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverloadChange {
    /// It begins to.
    Began,
    /// It no longer does; the requests that it has refused.
    Ended(u64),
}

/// The part of the requests that a host refuses.
#[derive(Clone, Debug, Default)]
pub struct Overload {
    control: Reading,
    callers: Reading,
    /// When the control loop is due next.
    control_due: Option<Time>,
    /// From 0 to 1: the part that is refused, before the factors.
    level: f32,
    updated: Option<Time>,
    /// Since when requests are refused.
    since: Option<Time>,
    refused: u64,
}

impl Overload {
    /// Records how late a loop ran at the turn that has begun at `now`. Returns whether the host begins
    /// or ceases to refuse requests.
    pub fn observe(&mut self, by: Loop, late: Duration, now: Time) -> Option<OverloadChange> {
        let reading = match by {
            Loop::Control => &mut self.control,
            Loop::Callers => &mut self.callers,
        };
        *reading = Reading { late, at: now };
        self.update(now)
    }

    /// Records when the control loop is due next.
    pub fn set_control_due(&mut self, due: Time) {
        self.control_due = Some(due);
    }

    /// Returns how late the control loop is, or was at its last turn if that is more.
    pub fn control_lateness(&self, now: Time) -> Duration {
        let overdue = self.control_due.map_or(Duration::ZERO, |due| now.since(due));
        self.control.late.max(overdue)
    }

    /// Returns the time that a response of the registry or of a peer may take beyond its usual timeout,
    /// as this process itself is late to read it. Given up, the call would be made again, and read as
    /// late.
    pub fn response_delay(&self, now: Time) -> Duration {
        let late = self.control_lateness(now);
        if late < LATE { Duration::ZERO } else { (late * RESPONSE_TURNS).min(RESPONSE_DELAY_MAX) }
    }

    /// Returns whether the host refuses requests at present.
    pub fn is_refusing(&self) -> bool {
        self.since.is_some()
    }

    /// Returns whether a loop runs late.
    pub fn is_late(&self, now: Time) -> bool {
        let is_callers_late =
            self.callers.late >= LATE && now.since(self.callers.at) < READING_AGE_MAX;
        is_callers_late || self.control_lateness(now) >= LATE
    }

    /// Returns whether a request that has come is refused, and counts it if it is. `draw` is a random
    /// number in [0, 1).
    pub fn refuses(&mut self, priority: Priority, draw: f32) -> bool {
        let factor = match priority {
            Priority::Urgent => URGENT_FACTOR,
            Priority::Normal => NORMAL_FACTOR,
            Priority::Deferrable => 1.0,
        };
        let refuses = draw < self.level * factor * PART_MAX;
        self.refused += u64::from(refuses);
        refuses
    }

    /// Returns the `Retry-After` time of a refused request. An overload that has lasted long is likely
    /// to last as long again. `spread` is a random number from 0 to 1.
    pub fn retry_after(&self, now: Time, spread: f64) -> Duration {
        let lasted = self.since.map_or(Duration::ZERO, |at| now.since(at));
        let factor = SPREAD.start() + (SPREAD.end() - SPREAD.start()) * spread.clamp(0.0, 1.0);
        lasted.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX).mul_f64(factor)
    }

    fn update(&mut self, now: Time) -> Option<OverloadChange> {
        let passed = now.since(self.updated.unwrap_or(now)).as_secs_f32();
        self.updated = Some(now);
        self.level = match self.is_late(now) {
            true => (self.level + passed / RISE_TIME.as_secs_f32()).min(1.0),
            false => (self.level - passed / FALL_TIME.as_secs_f32()).max(0.0),
        };
        match (self.since, self.level > 0.0) {
            (None, true) => {
                self.since = Some(now);
                Some(OverloadChange::Began)
            }
            (Some(_), false) => {
                self.since = None;
                Some(OverloadChange::Ended(std::mem::take(&mut self.refused)))
            }
            _ => None,
        }
    }
}
