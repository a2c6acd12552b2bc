//! The probe budget of a host, and the choice of the upstream to probe.

use std::time::Duration;

use crate::decide::upstream::{Row, State};
use crate::time::Time;

/// A host's share of a service's probe budget, as a token bucket.
///
/// A host's rate is the service's rate divided by the largest number of hosts, so that the sum over
/// all hosts stays within the budget whatever they know of each other.
#[derive(Clone, Debug)]
pub struct ProbeBudget {
    per_second: f64,
    tokens: f64,
    last_refill: Time,
}

/// The least capacity of the bucket, in tokens.
const BURST_MIN: f64 = 1.0;
/// Capacity of the bucket in seconds of its rate.
const BURST_SECONDS: f64 = 0.25;

impl ProbeBudget {
    /// Creates an empty bucket for one host of a fleet of at most `fleet_size_max` hosts.
    pub fn new(probes_per_second: f64, fleet_size_max: u32, now: Time) -> ProbeBudget {
        let per_second = probes_per_second.max(0.0) / f64::from(fleet_size_max.max(1));
        ProbeBudget { per_second, tokens: 0.0, last_refill: now }
    }

    /// Sets the fleet's rate in probes per second, and the number of hosts that share it.
    pub fn set_rate(&mut self, probes_per_second: f64, hosts: u32) {
        self.per_second = probes_per_second.max(0.0) / f64::from(hosts.max(1));
    }

    /// Returns whether a token is available.
    pub fn has_token(&mut self, now: Time) -> bool {
        let gained = now.since(self.last_refill).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + gained).min(BURST_MIN.max(self.per_second * BURST_SECONDS));
        self.last_refill = self.last_refill.max(now);
        self.tokens >= 1.0
    }

    /// Takes a token if one is available. Returns whether it did.
    pub fn try_take(&mut self, now: Time) -> bool {
        let has_token = self.has_token(now);
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

/// Age up to which a load that is known without a probe, from a response or from a peer, makes a
/// probe needless.
const FRESH_AGE_MAX: Duration = Duration::from_millis(250);
/// Time after which an upstream is probed even if its responses report its load, as it may signal a
/// drain only at its health endpoint.
const HEALTH_PROBE_INTERVAL: Duration = Duration::from_secs(3);
/// Time without requests after which upstreams are no longer probed, as no request is expected
/// whose placement a probe could change.
const IDLE_AFTER: Duration = Duration::from_secs(5);

/// Chooses the upstream to probe: of those that `owned` accepts, that the next request could go to
/// and whose load is outdated, the one that was probed least recently. Returns `None` if there is
/// none, or if a probe could change no choice because there were no recent requests or only one
/// upstream can be chosen.
pub(crate) fn choose(
    rows: &[Row],
    last_request: Option<Time>,
    now: Time,
    owned: impl Fn(&Row) -> bool,
) -> Option<&Row> {
    let is_used = last_request.is_some_and(|at| now.since(at) < IDLE_AFTER);
    if !is_used || rows.iter().filter(|r| is_probeable(r)).nth(1).is_none() {
        return None;
    }
    let last_update = |r: &Row| r.load.map_or(r.last_probe, |l| l.at.max(r.last_probe));
    let is_stale = |r: &Row| {
        now.since(last_update(r)) >= FRESH_AGE_MAX
            || now.since(r.last_probe) >= HEALTH_PROBE_INTERVAL
    };
    let is_resting = |r: &Row| {
        r.health.is_ejected(now) || now < r.health.paused_until() || r.limit.is_closed(now)
    };
    let is_due = |r: &&Row| is_probeable(r) && !is_resting(r) && is_stale(r);
    rows.iter().filter(is_due).filter(|r| owned(r)).min_by_key(|r| r.last_probe)
}

/// Returns whether an upstream takes requests, or is leaving only by its own signal and a probe may
/// find that it was replaced. None is probed in an evacuated data centre.
pub(crate) fn is_probeable(row: &Row) -> bool {
    let is_replaceable = row.configured && !row.listed_leaving && row.drain.is_set();
    !row.evacuated && (row.state == State::Live || is_replaceable)
}
