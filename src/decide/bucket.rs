//! A token bucket.

use std::time::Duration;

use crate::time::Time;

/// A rate limiter that allows bursts, starting with a full bucket.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    last_refill: Time,
}

impl TokenBucket {
    /// Creates a full bucket that gains `per_second` tokens a second. Its capacity is the tokens of
    /// one second, and at least one.
    pub(crate) fn new(per_second: f64, now: Time) -> TokenBucket {
        let burst = per_second.max(1.0);
        TokenBucket { per_second, burst, tokens: burst, last_refill: now }
    }

    /// Creates an empty bucket that gains `per_second` tokens a second, up to `burst`.
    pub(crate) fn empty(per_second: f64, burst: f64, now: Time) -> TokenBucket {
        TokenBucket { per_second, burst, tokens: 0.0, last_refill: now }
    }

    /// Changes the rate and the capacity. Tokens that exceed the new capacity are lost.
    pub(crate) fn set_rate(&mut self, per_second: f64, burst: f64, now: Time) {
        self.refill(now);
        (self.per_second, self.burst) = (per_second, burst);
        self.tokens = self.tokens.min(burst);
    }

    /// Returns when the next token is available, which may be a past time. `None` if it never is.
    pub(crate) fn available_at(&self) -> Option<Time> {
        let missing = (1.0 - self.tokens).max(0.0) / self.per_second;
        Duration::try_from_secs_f64(missing).ok().map(|wait| self.last_refill + wait)
    }

    /// Takes one token if available. Returns whether it did.
    pub(crate) fn try_take(&mut self, now: Time) -> bool {
        self.try_take_many(1.0, now)
    }

    /// Takes `tokens` tokens if that many are available. Returns whether it did.
    pub(crate) fn try_take_many(&mut self, tokens: f64, now: Time) -> bool {
        self.refill(now);
        let has_enough = self.tokens >= tokens;
        if has_enough {
            self.tokens -= tokens;
        }
        has_enough
    }

    /// Takes one token, in advance if none is available, and returns the time until it is due.
    pub(crate) fn reserve(&mut self, now: Time) -> Duration {
        self.refill(now);
        self.tokens -= 1.0;
        let seconds = (-self.tokens).max(0.0) / self.per_second.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    fn refill(&mut self, now: Time) {
        let gained = now.since(self.last_refill).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.last_refill = self.last_refill.max(now);
    }
}
