//! What to probe next, within the measuring budget.

use std::time::Duration;

use crate::decide::upstream::{Row, State};
use crate::time::Time;

/// The host's share of a service's measuring budget: a token bucket.
///
/// A host's rate is the service's rate divided by the largest fleet, so the sum over all hosts
/// stays within the budget whatever each of them believes about the others.
#[derive(Clone, Debug)]
pub struct ProbeBudget {
    per_second: f64,
    tokens: f64,
    filled: Time,
}

/// Tokens that an idle bucket may gather at least.
const BURST: f64 = 1.0;
/// Seconds' worth of tokens that an idle bucket may gather.
const BURST_SECONDS: f64 = 0.25;

impl ProbeBudget {
    /// Makes an empty bucket for one host of a fleet of at most `fleet_size_max`.
    pub fn new(probes_per_second: f64, fleet_size_max: u32, now: Time) -> ProbeBudget {
        let per_second = probes_per_second.max(0.0) / f64::from(fleet_size_max.max(1));
        ProbeBudget { per_second, tokens: 0.0, filled: now }
    }

    /// Sets the probes a second of the whole fleet and the number of hosts that share them.
    pub fn set_rate(&mut self, probes_per_second: f64, hosts: u32) {
        self.per_second = probes_per_second.max(0.0) / f64::from(hosts.max(1));
    }

    /// Tells whether there is a token.
    pub fn ready(&mut self, now: Time) -> bool {
        let gained = now.since(self.filled).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + gained).min(BURST.max(self.per_second * BURST_SECONDS));
        self.filled = self.filled.max(now);
        self.tokens >= 1.0
    }

    /// Takes one token if there is one.
    pub fn take(&mut self, now: Time) -> bool {
        let ready = self.ready(now);
        if ready {
            self.tokens -= 1.0;
        }
        ready
    }
}

/// Age up to which free information about an upstream makes a probe needless.
const FRESH: Duration = Duration::from_millis(250);
/// Age of the last probe from which another is of use whatever answers tell: an upstream may say
/// by its health endpoint alone that it is leaving.
const HEALTH: Duration = Duration::from_secs(3);
/// Time without requests after which no choice is expected that a probe could change.
const IDLE: Duration = Duration::from_secs(5);

/// Chooses the upstream to probe: of those that this host owns and that the next choice could fall
/// on, the one of which the least recent is known. Returns nothing if a probe could change no
/// choice.
pub(crate) fn choose(
    rows: &[Row],
    requested: Option<Time>,
    now: Time,
    owned: impl Fn(&Row) -> bool,
) -> Option<&Row> {
    let used = requested.is_some_and(|at| now.since(at) < IDLE);
    if !used || rows.iter().filter(|r| open(r)).nth(1).is_none() {
        return None;
    }
    let known = |r: &Row| r.load.map_or(r.probed, |l| l.at.max(r.probed));
    let stale = |r: &Row| now.since(known(r)) >= FRESH || now.since(r.probed) >= HEALTH;
    let due = |r: &&Row| open(r) && !r.health.ejected(now) && stale(r);
    rows.iter().filter(due).filter(|r| owned(r)).min_by_key(|r| r.probed)
}

/// Tells whether an upstream takes work, or is leaving by nothing but its own word and may be
/// found to have been replaced.
fn open(row: &Row) -> bool {
    row.state == State::Live || row.named && !row.listed_leaving && row.drain.is_set()
}
