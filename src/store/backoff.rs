//! Retry delays with exponential backoff and jitter, and a timeout that adapts to slow responses.

use std::time::Duration;

use rand::Rng;

/// Upper bound of the delay after the first failure.
const INITIAL_DELAY_MAX: Duration = Duration::from_millis(50);
/// Upper bound of the delay after any number of failures.
const DELAY_MAX: Duration = Duration::from_millis(1_600);

/// Exponential backoff over consecutive failures.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Counts a failure and returns the delay before the next attempt: a random time between half
    /// of a bound and the bound, which doubles with each consecutive failure.
    pub(crate) fn next_delay(&mut self, rng: &mut impl Rng) -> Duration {
        let bound = INITIAL_DELAY_MAX.saturating_mul(1 << self.failures.min(16)).min(DELAY_MAX);
        self.failures = self.failures.saturating_add(1);
        bound.mul_f64(rng.random_range(0.5..=1.0))
    }

    /// Resets the delay after a success.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }
}

/// A response timeout that doubles with each timeout and returns to its base after a fast response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdaptiveTimeout {
    base: Duration,
    current: Duration,
}

/// Multiple of the base timeout up to which the current one grows.
const GROWTH_MAX: u32 = 4;

impl AdaptiveTimeout {
    /// Creates a timeout that starts at `base`.
    pub(crate) fn new(base: Duration) -> AdaptiveTimeout {
        AdaptiveTimeout { base, current: base }
    }

    pub(crate) fn current(&self) -> Duration {
        self.current
    }

    /// Returns to the base timeout if a response took less than half of it.
    pub(crate) fn record_response(&mut self, took: Duration) {
        if took < self.base / 2 {
            self.current = self.base;
        }
    }

    /// Doubles the current timeout, up to [`GROWTH_MAX`] times the base.
    pub(crate) fn record_timeout(&mut self) {
        self.current = (self.current * 2).min(self.base * GROWTH_MAX);
    }
}
