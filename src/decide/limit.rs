//! Rate limits that upstreams name in their responses, and the share of this host.
//!
//! A limit is for all hosts together and divided among a few owners. There are few enough of them
//! that the whole fleet stays within the limit even if all of them have saved up a request.

use std::time::Duration;

use crate::decide::share::Share;
use crate::time::Time;

/// Relative difference from which a limit counts as changed.
const CHANGE_MIN: f64 = 0.1;
/// Owners of a limit of less than one request per second. A limit has one more for each full request
/// per second.
const OWNERS_MIN: usize = 4;
/// The requests that an owner may save up, in seconds of its rate; at least one request.
const BURST_SECONDS: f64 = 0.25;
/// The shortest time after which a limit that no host sees confirmed is forgotten.
const HOLD_MIN: Duration = Duration::from_secs(30);
/// The longest such time.
const HOLD_MAX: Duration = Duration::from_secs(600);
/// The requests at the full rate after which a limit without confirmation is forgotten.
const HOLD_REQUESTS: f64 = 3.0;
/// Time between the turns in which hosts forget a limit. Longer than a peer takes to learn of what
/// another host has seen.
const EXPIRY_TURN: Duration = Duration::from_secs(1);
/// The time for which hosts tell each other that a limit has ended.
const END_AGE_MAX: Duration = Duration::from_secs(5);

/// The rate limit of an upstream, as its responses name it, and what this host may send.
#[derive(Clone, Debug, Default)]
pub struct RateLimit {
    /// Requests per second from all hosts together; `None` without a limit.
    per_second: Option<f64>,
    /// When any host last saw in a response that the limit holds or has ended.
    observed: Time,
    /// This host's share.
    share: Share,
}

/// A change of a rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The limit began, or it differs from the one before by a tenth or more.
    Named(f64),
    /// The limit ended.
    Ended,
}

/// What hosts tell each other about the rate limit of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitObservation {
    /// Requests per second from all hosts together; `None` if the limit has ended.
    pub per_second: Option<f64>,
    /// When a host saw this in a response.
    pub at: Time,
}

impl LimitObservation {
    /// Returns whether `self` differs from an earlier observation by enough to be news.
    pub(crate) fn differs_from(&self, earlier: &LimitObservation) -> bool {
        match (self.per_second, earlier.per_second) {
            (Some(new), Some(old)) => is_changed(new, old),
            (new, old) => new != old,
        }
    }
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
    /// seen.
    pub fn observe(
        &mut self,
        per_second: Option<f64>,
        sent: Time,
        now: Time,
    ) -> Option<LimitChange> {
        let is_news = per_second.is_some() || self.per_second.is_some() && sent > self.observed;
        is_news.then(|| self.set(per_second, now)).flatten()
    }

    /// Records what a peer has told, unless something newer is known. Returns the change, if there is
    /// one worth recording.
    pub fn observe_relayed(&mut self, observation: &LimitObservation) -> Option<LimitChange> {
        let is_news = observation.at > self.observed;
        is_news.then(|| self.set(observation.per_second, observation.at)).flatten()
    }

    /// Returns what to tell peers: the limit, or for some time that it has ended.
    pub fn observation(&self, now: Time) -> Option<LimitObservation> {
        let has_just_ended = self.observed > Time::ZERO && now.since(self.observed) < END_AGE_MAX;
        (self.per_second.is_some() || has_just_ended)
            .then_some(LimitObservation { per_second: self.per_second, at: self.observed })
    }

    /// Forgets the limit if no host has seen it confirmed for long, since an upstream that gets no
    /// requests can't tell that it has ended. Returns whether it was forgotten.
    ///
    /// The `live_hosts` hosts forget it in turn, a few at a time: what the first of them see in a
    /// response reaches the others before these forget it too. `is_among_first` returns whether this
    /// host is one of that many first ones.
    pub fn expire(
        &mut self,
        live_hosts: usize,
        now: Time,
        is_among_first: impl Fn(usize) -> bool,
    ) -> bool {
        let Some(rate) = self.per_second else { return false };
        let hold = Duration::try_from_secs_f64(HOLD_REQUESTS / rate).unwrap_or(HOLD_MAX);
        let age = now.since(self.observed);
        let Some(overdue) = age.checked_sub(hold.clamp(HOLD_MIN, HOLD_MAX)) else { return false };
        let turns = overdue.div_duration_f32(EXPIRY_TURN) as usize + 1;
        let hosts = self.owners(live_hosts).saturating_mul(turns);
        let is_expired = hosts >= live_hosts || is_among_first(hosts);
        if is_expired {
            (self.per_second, self.share) = (None, Share::default());
        }
        is_expired
    }

    /// Forgets the limit, because a new process has taken the upstream's place. What hosts saw of the
    /// earlier one doesn't count any more.
    pub fn reset(&mut self, now: Time) {
        *self = RateLimit { observed: now, ..RateLimit::default() };
    }

    /// Returns how many of `live_hosts` hosts share the limit.
    pub fn owners(&self, live_hosts: usize) -> usize {
        let rate = self.per_second.unwrap_or_default();
        OWNERS_MIN.saturating_add(rate as usize).min(live_hosts)
    }

    /// Sets whether this host is one of the owners, and how many there are.
    pub fn set_owned(&mut self, is_owner: bool, owners: usize, now: Time) {
        let Some(rate) = self.per_second.filter(|_| is_owner) else {
            return self.share.clear();
        };
        let rate = rate / owners.max(1) as f64;
        let burst = (rate * BURST_SECONDS).max(1.0);
        self.share.set(rate, burst, now);
    }

    /// Returns when this host may send the next request: now or at a past time if it may at once,
    /// `None` if it is not an owner of the limit.
    pub fn opens_at(&self, now: Time) -> Option<Time> {
        match self.per_second {
            None => Some(now),
            Some(_) => self.share.opens_at(),
        }
    }

    /// Returns whether the limit keeps this host from sending a request now.
    pub fn is_closed(&self, now: Time) -> bool {
        self.opens_at(now).is_none_or(|at| at > now)
    }

    /// Counts a request that this host sends.
    pub fn take(&mut self, now: Time) {
        self.share.take(now);
    }

    fn set(&mut self, per_second: Option<f64>, at: Time) -> Option<LimitChange> {
        self.observed = at;
        let old = std::mem::replace(&mut self.per_second, per_second);
        let Some(rate) = per_second else {
            self.share.clear();
            return old.map(|_| LimitChange::Ended);
        };
        let is_new = old.is_none_or(|old| is_changed(rate, old));
        is_new.then_some(LimitChange::Named(rate))
    }
}

fn is_changed(new: f64, old: f64) -> bool {
    new != old && (new - old).abs() >= old * CHANGE_MIN
}
