//! Growing, jittered pauses between tries.

use std::time::Duration;

use rand::Rng;

/// The longest pause after the first failure.
const FIRST: Duration = Duration::from_millis(50);
/// The longest pause after many failures.
const LONGEST: Duration = Duration::from_millis(1_600);

/// The pauses after failures in a row.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Returns the pause after one more failure: between half of a bound and the whole, and the
    /// bound doubles each time.
    pub(crate) fn next_delay(&mut self, rng: &mut impl Rng) -> Duration {
        let bound = FIRST.saturating_mul(1 << self.failures.min(16)).min(LONGEST);
        self.failures = self.failures.saturating_add(1);
        bound.mul_f64(rng.random_range(0.5..=1.0))
    }

    /// Starts over.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }
}

/// The time current for an answer, which grows while a service is slow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdaptiveTimeout {
    base: Duration,
    current: Duration,
}

/// Multiple of the base time up to which the time current grows.
const PATIENCE_MAX: u32 = 4;

impl AdaptiveTimeout {
    /// Allows the base time at first.
    pub(crate) fn new(base: Duration) -> AdaptiveTimeout {
        AdaptiveTimeout { base, current: base }
    }

    /// Returns the time current at present.
    pub(crate) fn current(&self) -> Duration {
        self.current
    }

    /// Notes that an answer took so long.
    pub(crate) fn record_response(&mut self, took: Duration) {
        if took < self.base / 2 {
            self.current = self.base;
        }
    }

    /// Notes that no answer came in the time current.
    pub(crate) fn record_timeout(&mut self) {
        self.current = (self.current * 2).min(self.base * PATIENCE_MAX);
    }
}
