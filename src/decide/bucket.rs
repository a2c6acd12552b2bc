//! A token bucket: bounds how often something is done.

use std::time::Duration;

use crate::time::Time;

/// A token bucket that starts full.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    filled: Time,
}

impl TokenBucket {
    /// Makes a full bucket that gains `per_second` tokens a second and holds one second's worth,
    /// but at least one.
    pub(crate) fn new(per_second: f64, now: Time) -> TokenBucket {
        let burst = per_second.max(1.0);
        TokenBucket { per_second, burst, tokens: burst, filled: now }
    }

    /// Takes one token if there is one.
    pub(crate) fn take(&mut self, now: Time) -> bool {
        self.take_many(1.0, now)
    }

    /// Takes so many tokens if there are as many.
    pub(crate) fn take_many(&mut self, tokens: f64, now: Time) -> bool {
        self.fill(now);
        let enough = self.tokens >= tokens;
        if enough {
            self.tokens -= tokens;
        }
        enough
    }

    /// Takes one token in advance and returns the time until it is due.
    pub(crate) fn reserve(&mut self, now: Time) -> Duration {
        self.fill(now);
        self.tokens -= 1.0;
        let seconds = (-self.tokens).max(0.0) / self.per_second.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    fn fill(&mut self, now: Time) {
        let gained = now.since(self.filled).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.filled = self.filled.max(now);
    }
}
