//! What to probe next, within the measuring budget.

use crate::time::Time;

/// The host's share of a service's measuring budget: a token bucket.
///
/// A host's rate is the service's rate divided by the largest fleet, so the sum over all hosts
/// stays within the budget whatever each of them believes about the others.
#[derive(Clone, Debug)]
pub struct Budget {
    per_second: f64,
    tokens: f64,
    filled: Time,
}

/// Tokens that an idle bucket may gather.
const BURST: f64 = 1.0;

impl Budget {
    /// Makes an empty bucket for one host of a fleet of at most `fleet_size_max`.
    pub fn new(probes_per_second: f64, fleet_size_max: u32, now: Time) -> Budget {
        let per_second = probes_per_second / f64::from(fleet_size_max.max(1));
        Budget { per_second, tokens: 0.0, filled: now }
    }

    /// Takes one token if there is one.
    pub fn take(&mut self, now: Time) -> bool {
        let gained = now.since(self.filled).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + gained).min(BURST);
        self.filled = self.filled.max(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
