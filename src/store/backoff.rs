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
    pub(crate) fn after_failure(&mut self, rng: &mut impl Rng) -> Duration {
        let bound = FIRST.saturating_mul(1 << self.failures.min(16)).min(LONGEST);
        self.failures = self.failures.saturating_add(1);
        bound.mul_f64(rng.random_range(0.5..=1.0))
    }

    /// Starts over.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }
}

/// The time allowed for an answer, which grows while a service is slow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Patience {
    usual: Duration,
    allowed: Duration,
}

/// Multiple of the usual time up to which the time allowed grows.
const PATIENCE_MAX: u32 = 4;

impl Patience {
    /// Allows the usual time at first.
    pub(crate) fn new(usual: Duration) -> Patience {
        Patience { usual, allowed: usual }
    }

    /// Returns the time allowed at present.
    pub(crate) fn allowed(&self) -> Duration {
        self.allowed
    }

    /// Notes that an answer took so long.
    pub(crate) fn answered(&mut self, took: Duration) {
        if took < self.usual / 2 {
            self.allowed = self.usual;
        }
    }

    /// Notes that no answer came in the time allowed.
    pub(crate) fn missed(&mut self) {
        self.allowed = (self.allowed * 2).min(self.usual * PATIENCE_MAX);
    }
}
