//! This host's share of a rate that all hosts together may send to an upstream.
//!
//! A host can't tell in time how much the others send, so a rate is divided among a few owners,
//! chosen by rendezvous hashing, and other hosts send nothing. An owner begins with nothing saved up,
//! so that a change of owners doesn't add to what the rate permits.

use crate::decide::bucket::TokenBucket;
use crate::time::Time;

/// A host's share; empty unless the host owns a part of the rate.
#[derive(Clone, Debug, Default)]
pub(crate) struct Share(Option<TokenBucket>);

impl Share {
    /// Sets the rate of an owner, and how many requests it may save up.
    pub(crate) fn set(&mut self, per_second: f64, burst: f64, now: Time) {
        match &mut self.0 {
            Some(bucket) => bucket.set_rate(per_second, burst, now),
            None => self.0 = Some(TokenBucket::empty(per_second, burst, now)),
        }
    }

    /// Gives the share up.
    pub(crate) fn clear(&mut self) {
        self.0 = None;
    }

    /// Returns whether this host is an owner.
    pub(crate) fn is_owned(&self) -> bool {
        self.0.is_some()
    }

    /// Returns when this host may send the next request, which may be a past time. `None` if it is not
    /// an owner or the rate is 0.
    pub(crate) fn opens_at(&self) -> Option<Time> {
        self.0.as_ref()?.available_at()
    }

    /// Counts a request that this host sends.
    pub(crate) fn take(&mut self, now: Time) {
        if let Some(bucket) = &mut self.0 {
            // At the time at which a token is due, rounding may leave slightly less than one.
            bucket.reserve(now);
        }
    }
}
