//! The token bucket of an allowance, as its owner keeps it.

use std::time::Duration;

use crate::decide::allowance::{Grant, Limit, SPARE_TIME};
use crate::time::Time;

/// The tokens with which a bucket starts, besides [`HEAD_START_SECONDS`].
const HEAD_START: f64 = 4.0;
/// The part of a second's tokens with which a bucket starts, so that a change of the owner refuses
/// nothing of a team below its limit.
const HEAD_START_SECONDS: f64 = 0.04;
/// The least capacity, in seconds of the rate, of a bucket whose team may save up less than that.
const CAPACITY_MIN_SECONDS: f64 = 0.1;
/// The part of its capacity above which a bucket grants tokens in advance.
const NEARLY_FULL: f64 = 0.75;
/// The part of the tokens above [`NEARLY_FULL`] that one grant may give in advance.
const SPARE_PART: f64 = 0.05;
/// The time after which refused requests no longer count as about to return.
const REFUSED_MEMORY: Duration = Duration::from_secs(1);
/// The shortest time after which a refused request may return.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(5);
/// The longest such time.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);

/// A token bucket that a host keeps for all hosts.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    tokens: f64,
    /// Requests refused in the last moments, which are taken to come back.
    refused: f64,
    refilled: Time,
}

impl Bucket {
    /// Creates the bucket of a host that begins to keep an allowance, and doesn't know what the owner
    /// before it has granted.
    pub(super) fn start(limit: Limit, now: Time) -> Bucket {
        let tokens = HEAD_START + HEAD_START_SECONDS * limit.per_second;
        Bucket { tokens: tokens.min(capacity(limit)), refused: 0.0, refilled: now }
    }

    /// Takes tokens for requests. A bucket that is nearly full grants some in advance.
    pub(super) fn grant(&mut self, limit: Limit, wanted: u32, now: Time) -> Grant {
        self.refill(limit, now);
        let granted = f64::from(wanted).min(self.tokens.max(0.0).floor());
        self.tokens -= granted;
        let missing = f64::from(wanted) - granted;
        self.refused += missing;
        let mut spare = 0.0;
        if missing == 0.0 {
            let excess = self.tokens - NEARLY_FULL * capacity(limit);
            spare = (excess * SPARE_PART).floor().clamp(0.0, f64::from(wanted));
            self.tokens -= spare;
        }
        let wait = (1.0 - self.tokens + self.refused).max(0.0) / limit.per_second;
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(RETRY_AFTER_MAX);
        Grant {
            granted: (granted + spare) as u32,
            retry_after: wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
            spare_time: SPARE_TIME,
        }
    }

    /// Gains tokens from `at` on, and none for the time before, in which another host may have been
    /// the owner.
    pub(super) fn resume(&mut self, at: Time) {
        self.refilled = at;
    }

    fn refill(&mut self, limit: Limit, now: Time) {
        let seconds = now.since(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        self.tokens = (self.tokens + seconds * limit.per_second).min(capacity(limit));
        self.refused *= (-seconds / REFUSED_MEMORY.as_secs_f64()).exp();
    }
}

/// Returns the tokens that a bucket may hold.
fn capacity(limit: Limit) -> f64 {
    limit.burst.max(1.0 + CAPACITY_MIN_SECONDS * limit.per_second)
}
