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
