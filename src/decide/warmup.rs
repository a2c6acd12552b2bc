//! Warm-up of upstreams: what this host may send to one that is cold.
//!
//! A cold upstream takes few requests per second from all hosts together. They are divided among a
//! few owners, as rate limits are. Together they send at most half as many within any second as the
//! upstream tolerates: hosts with two different views of the fleet stay within the tolerance, and so
//! do hosts whose views change.
//!
//! All times are this host's own, and hosts tell each other only how long an upstream stays cold.

use std::time::Duration;

use crate::decide::share::Share;
use crate::time::Time;

/// The factor on a cold upstream's rate up to which it tolerates requests within one second.
const TOLERANCE_FACTOR: f64 = 1.5;
/// The requests within one second that it tolerates beyond that.
const TOLERANCE_REQUESTS: f64 = 8.0;
/// The number of different views of the fleet that hosts may have at the same time.
const VIEWS: f64 = 2.0;
/// The rate of an owner relative to the requests that it may send within any second. The rest makes up
/// for requests that wait for a connection before they are sent.
const PACE: f64 = 0.8;
/// The requests that an owner may save up.
const BURST: f64 = 1.0;
/// How much longer an upstream is taken for cold than it has said, since it may round its words.
const ROUNDING: Duration = Duration::from_millis(100);
/// How much longer an upstream is taken for cold than a peer has told. What others tell of the same
/// warm-up differs by less, so it is no news and doesn't go round in circles.
const RELAY_TOLERANCE: Duration = Duration::from_secs(1);
/// The time in which a response to a probe usually settles a doubt.
const DOUBT_TIME: Duration = Duration::from_millis(50);
/// The longest time for which an upstream is taken for cold on its word.
const REMAINING_MAX: Duration = Duration::from_secs(600);
/// The time for which an upstream is taken for cold whose word on it can't be read.
pub(crate) const UNKNOWN: Duration = Duration::from_secs(1);

/// Whether an upstream is cold, and what this host may send it meanwhile.
#[derive(Clone, Debug, Default)]
pub struct WarmUp {
    /// Until when it is taken for cold; a past time if it is warm.
    cold_until: Time,
    /// The same without [`RELAY_TOLERANCE`], as peers are told.
    told_until: Time,
    /// When this host last learned that it is cold.
    learned: Time,
    doubt: Option<Doubt>,
    /// Whether an event was recorded that it is cold.
    is_recorded: bool,
    share: Share,
}

/// Ignorance of whether an upstream is cold. It is taken for cold as long as it lasts.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    since: Time,
    /// Whether only a response ends it, as the upstream's registration may be older.
    needs_response: bool,
}

/// A change that is recorded as an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmUpChange {
    /// The upstream is cold.
    Cold,
    /// The upstream is warm.
    Warm,
}

/// How a cold upstream's rate is divided among hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Division {
    /// The number of hosts that may send.
    pub owners: usize,
    /// The requests per second of each.
    pub per_second: f64,
}

impl Division {
    /// Divides the `per_second` requests that all `hosts` hosts together may send.
    pub fn new(per_second: f64, hosts: usize) -> Division {
        let tolerated = per_second * TOLERANCE_FACTOR + TOLERANCE_REQUESTS;
        let of_one_view = (tolerated / VIEWS) as usize;
        let owners = of_one_view.min(hosts).max(1);
        let most = PACE * (of_one_view / owners) as f64;
        Division { owners, per_second: (per_second / owners as f64).min(most) }
    }
}

impl WarmUp {
    /// Returns whether the upstream is taken for cold.
    pub fn is_cold(&self, now: Time) -> bool {
        self.doubt.is_some() || now < self.cold_until
    }

    /// Returns whether this host doesn't know whether the upstream is cold.
    pub fn is_doubtful(&self) -> bool {
        self.doubt.is_some()
    }

    /// Returns whether this host is one of those that may send to the upstream while it is cold.
    pub fn is_owned(&self) -> bool {
        self.share.is_owned()
    }

    /// Returns whether the upstream is to be sent nothing now.
    pub fn is_closed(&self, now: Time) -> bool {
        self.is_cold(now) && self.share.opens_at().is_none_or(|at| at > now)
    }

    /// Returns when this host may send the next request, which may be a past time.
    pub fn opens_at(&self, now: Time) -> Time {
        if !self.is_cold(now) {
            return now;
        }
        let warm_at = match self.doubt {
            Some(_) => self.cold_until.max(now + DOUBT_TIME),
            None => self.cold_until,
        };
        self.share.opens_at().map_or(warm_at, |at| at.min(warm_at))
    }

    /// Counts a request that this host sends.
    pub fn take(&mut self, now: Time) {
        if self.is_cold(now) {
            self.share.take(now);
        }
    }

    /// Records how long the upstream stays cold according to its response to a probe that was sent at
    /// `sent`: zero if it is warm. A response to an earlier probe than what is known doesn't shorten
    /// the warm-up.
    pub fn observe_response(&mut self, remaining: Duration, sent: Time, now: Time) {
        if self.doubt.is_some_and(|doubt| sent >= doubt.since) {
            self.doubt = None;
        }
        if sent >= self.learned {
            (self.cold_until, self.told_until) = (Time::ZERO, Time::ZERO);
        }
        self.set_cold(remaining, now);
    }

    /// Records how long the upstream stays cold according to its registration, which was read at
    /// `now`.
    pub fn observe_registration(&mut self, remaining: Duration, now: Time) {
        self.doubt = self.doubt.filter(|doubt| doubt.needs_response);
        self.set_cold(remaining, now);
    }

    /// Records how long the upstream stays cold according to a peer. Returns whether this is news.
    pub fn observe_relayed(&mut self, remaining: Duration, now: Time) -> bool {
        let until = now + remaining.min(REMAINING_MAX);
        let is_news = !remaining.is_zero() && until > self.told_until + RELAY_TOLERANCE;
        if is_news {
            (self.told_until, self.learned) = (until, now);
            self.cold_until = self.cold_until.max(until + RELAY_TOLERANCE);
        }
        is_news
    }

    /// Takes the upstream for cold until a response to a later probe says otherwise, or its
    /// registration unless that may be older.
    pub fn doubt(&mut self, needs_response: bool, now: Time) {
        let needs_response = needs_response || self.doubt.is_some_and(|d| d.needs_response);
        self.doubt = Some(Doubt { since: now, needs_response });
    }

    /// Returns how long to tell peers that the upstream stays cold, if it is known to be.
    pub fn remaining(&self, now: Time) -> Option<Duration> {
        (now < self.told_until).then(|| now.until(self.told_until))
    }

    /// Sets whether this host is one of the owners.
    pub fn set_owned(&mut self, is_owner: bool, division: Division, now: Time) {
        match is_owner && self.is_cold(now) {
            true => self.share.set(division.per_second, BURST, now),
            false => self.share.clear(),
        }
    }

    /// Returns whether the upstream has become cold or warm since the last call.
    pub fn take_change(&mut self, now: Time) -> Option<WarmUpChange> {
        let is_known_cold = now < self.cold_until;
        let is_changed = match is_known_cold {
            true => !self.is_recorded,
            false => self.is_recorded && self.doubt.is_none(),
        };
        if !is_changed {
            return None;
        }
        self.is_recorded = is_known_cold;
        Some(if is_known_cold { WarmUpChange::Cold } else { WarmUpChange::Warm })
    }

    fn set_cold(&mut self, remaining: Duration, now: Time) {
        let remaining = remaining.min(REMAINING_MAX);
        if !remaining.is_zero() {
            let until = now + remaining + ROUNDING;
            self.cold_until = self.cold_until.max(until);
            self.told_until = self.told_until.max(until);
            self.learned = now;
        }
    }
}

/// Returns the time for which an upstream stays cold by its own words, in seconds. A negative number
/// stands for none.
pub(crate) fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(REMAINING_MAX)
}
