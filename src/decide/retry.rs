//! The budget for retries and hedges.

use crate::time::Time;

/// A bucket that requests fill by a share of one each, and that each retry or hedge empties by one.
///
/// Each host keeps its own to the same share, so the fleet's sum keeps to it too.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
    filled: Time,
}

/// Retries a second that a host may make however few its requests are.
const FLOOR_PER_SECOND: f64 = 0.5;
/// Tokens that may gather.
const TOKENS_MAX: f64 = 10.0;

impl RetryBudget {
    /// Makes a full bucket.
    pub(crate) fn new(now: Time) -> RetryBudget {
        RetryBudget { tokens: TOKENS_MAX, filled: now }
    }

    /// Takes note of a request.
    pub(crate) fn earn(&mut self, share: f64) {
        self.tokens = (self.tokens + share.clamp(0.0, 1.0)).min(TOKENS_MAX);
    }

    /// Tells whether a retry is within the budget.
    pub(crate) fn ready(&mut self, now: Time) -> bool {
        let gained = now.since(self.filled).as_secs_f64() * FLOOR_PER_SECOND;
        self.tokens = (self.tokens + gained).min(TOKENS_MAX);
        self.filled = self.filled.max(now);
        self.tokens >= 1.0
    }

    /// Takes note of a retry.
    pub(crate) fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}
