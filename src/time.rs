//! Monotonic time: points in time that the decision functions take as arguments, and the clock that
//! produces them.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// A point in time on a process's monotonic clock, in microseconds since the clock's origin.
///
/// Decision functions take the current time as an argument of this type and never read a clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(u64);

impl Time {
    /// The origin of the clock.
    pub const ZERO: Time = Time(0);

    /// Creates a time `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    /// Creates a time `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is in the future.
    pub const fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `d` before this one, or the origin if that would be negative.
    pub const fn before(self, d: Duration) -> Time {
        Time(self.0.saturating_sub(d.as_micros() as u64))
    }

    /// Returns the time left until `later`, or zero if `later` has passed.
    pub const fn until(self, later: Time) -> Duration {
        later.since(self)
    }
}

impl std::ops::Add<Duration> for Time {
    type Output = Time;

    fn add(self, d: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(d.as_micros()).unwrap_or(u64::MAX)))
    }
}

/// The time at which the clock of a process starts. What peers tell of the time before it, as ages, has
/// times of its own, up to this long ago.
pub const CLOCK_START: Time = Time::from_millis(3_600_000);

/// A process's monotonic clock. The daemon reads it and passes the time to decision functions.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts a clock at [`CLOCK_START`].
    pub fn start() -> Clock {
        Clock { started: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        CLOCK_START + self.started.elapsed()
    }

    /// Converts a time to an [`Instant`], for timers. A time before the start becomes the start.
    pub fn instant(&self, at: Time) -> Instant {
        self.started + at.since(CLOCK_START)
    }
}
