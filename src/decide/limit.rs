//! Rate limits that upstreams name in their responses.

use crate::time::Time;

/// Relative difference from which a limit counts as changed.
const CHANGE_MIN: f64 = 0.1;

/// The rate limit of an upstream, as its responses name it.
#[derive(Clone, Debug, Default)]
pub struct RateLimit {
    /// Requests per second from all hosts together; `None` without a limit.
    per_second: Option<f64>,
    /// When a response last named the limit.
    named: Time,
}

/// A change of a rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The limit began, or it differs from the one before by a tenth or more.
    Named(f64),
    /// The limit ended.
    Ended,
}

impl RateLimit {
    /// Returns the limit in requests per second from all hosts together, if there is one.
    pub fn per_second(&self) -> Option<f64> {
        self.per_second
    }

    /// Records the limit in the response to a request that was sent at `sent`, or that the response
    /// has none. Returns the change, if there is one worth recording.
    ///
    /// A response without a limit says nothing if its request was sent before the limit was last
    /// named.
    pub fn observe(
        &mut self,
        per_second: Option<f64>,
        sent: Time,
        now: Time,
    ) -> Option<LimitChange> {
        let Some(rate) = per_second else {
            let has_ended = self.per_second.is_some() && sent > self.named;
            return (has_ended && self.per_second.take().is_some()).then_some(LimitChange::Ended);
        };
        self.named = now;
        let is_new = self.per_second.is_none_or(|old| (rate - old).abs() >= old * CHANGE_MIN);
        if is_new {
            self.per_second = Some(rate);
        }
        is_new.then_some(LimitChange::Named(rate))
    }
}
