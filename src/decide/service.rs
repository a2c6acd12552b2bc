//! One service's table: its upstreams, those that wait, and its budgets.

mod admission;
mod placement;
mod reports;
mod sharing;

use std::sync::Arc;
use std::time::Duration;

use twox_hash::XxHash64;

use crate::config::{self, Service};
use crate::decide::admission::{Target, Ticket};
use crate::decide::availability::Availability;
use crate::decide::balancing::Policy;
use crate::decide::baseline::Baseline;
use crate::decide::capacity::Capacity;
use crate::decide::concurrency::Concurrency;
use crate::decide::health;
use crate::decide::kinds::Kinds;
use crate::decide::probing::{self, ProbeBudget};
use crate::decide::queue::Queue;
use crate::decide::retry::{RetryBudget, RetryLimits};
use crate::decide::upstream::{
    self, AttemptReport, Row, State, UpstreamChange, UpstreamId, UpstreamOutcome,
};
use crate::event::EventCode;
use crate::time::Time;

/// What a service table needs to know of its host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostInfo {
    /// The host's name.
    pub host: Arc<str>,
    /// The host's data centre.
    pub data_centre: Arc<str>,
    /// The most entry hosts that the fleet may ever have.
    pub fleet_size_max: u32,
    /// How an upstream is chosen.
    pub policy: Policy,
    /// Requests that may wait in one service.
    pub waiting_max: usize,
}

/// Why another attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAttempt {
    /// The attempt before it failed.
    Retry,
    /// The attempt before it is late.
    Hedge,
}

/// The table of one service.
#[derive(Debug)]
pub struct ServiceTable {
    cfg: Arc<Service>,
    facts: HostInfo,
    others: u32,
    rows: Vec<Row>,
    next_id: u32,
    choices: u64,
    in_flight: u32,
    requested: Option<Time>,
    baseline: Baseline,
    kinds: Kinds,
    concurrency: Concurrency,
    supply: Availability,
    work_rate: placement::WorkRate,
    capacity: Capacity,
    queue: Queue,
    evicted: Vec<Ticket>,
    probes: ProbeBudget,
    probes_sought: Time,
    reports_sought: Time,
    retries: RetryBudget,
    open: Vec<u32>,
    changes: Vec<UpstreamChange>,
}

/// Time between two searches for an upstream to probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// The same where upstreams tell their occupancy: reports that a request finds beside those that are
/// asked for it.
const REPORT_INTERVAL: Duration = Duration::from_millis(125);
/// Upstreams that a host keeps informed of: at four reports a second of each, a quarter of the probes
/// that the users' largest deployment leaves to one host.
const WATCHED: usize = 2;
/// Time without requests after which a service is quiet.
const QUIET_AFTER: Duration = Duration::from_secs(5);
/// Changes that are held until they are asked for.
const CHANGES_MAX: usize = 1_024;
/// Share of failures, against that of all upstreams, below which an upstream is no outlier.
const ERROR_FACTOR: f32 = 1.3;
impl ServiceTable {
    /// Makes the table of a service record.
    pub fn new(cfg: Arc<Service>, facts: HostInfo, now: Time) -> ServiceTable {
        let probes = ProbeBudget::new(cfg.measure.probes_per_second, facts.fleet_size_max, now);
        let mut table = ServiceTable {
            cfg,
            facts,
            others: 0,
            rows: Vec::new(),
            next_id: 0,
            choices: 0,
            in_flight: 0,
            requested: None,
            baseline: Baseline::default(),
            kinds: Kinds::default(),
            concurrency: Concurrency::default(),
            supply: Availability::default(),
            work_rate: placement::WorkRate::default(),
            capacity: Capacity::default(),
            queue: Queue::default(),
            evicted: Vec::new(),
            probes,
            probes_sought: now,
            reports_sought: now,
            retries: RetryBudget::new(),
            open: Vec::new(),
            changes: Vec::new(),
        };
        let upstreams = table.cfg.upstreams.clone();
        table.set_upstreams(&upstreams, now);
        table
    }

    /// Returns the service record.
    pub fn cfg(&self) -> &Arc<Service> {
        &self.cfg
    }

    /// Takes note of how many other entry hosts are alive. Only some of them tell their figures.
    pub fn set_live_peers(&mut self, others: u32) {
        self.others = others;
        self.capacity.invalidate();
    }

    /// Returns the rows, sorted by identity.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Tells whether a request that waited has lost its place to a more urgent one, which
    /// [`Self::release`] is to refuse at once.
    pub fn has_evicted_requests(&self) -> bool {
        !self.evicted.is_empty()
    }

    /// Puts a newer service record into force. Requests in flight and waiting are kept.
    pub fn reconfigure(&mut self, cfg: Arc<Service>, now: Time) {
        let rate = cfg.measure.probes_per_second;
        if rate != self.cfg.measure.probes_per_second {
            self.probes = ProbeBudget::new(rate, self.facts.fleet_size_max, now);
        }
        self.cfg = cfg;
        self.set_probe_rate();
        self.capacity.invalidate();
    }

    /// Replaces the set of upstreams. Those that are no longer named are leaving; their rows go
    /// when nothing is in flight there. One that is named again is live again.
    pub fn set_upstreams(&mut self, upstreams: &[config::Upstream], now: Time) {
        let started = self.rows.iter().any(|r| r.state == State::Live);
        for row in &mut self.rows {
            let same = |u: &config::Upstream| u.name == row.name && u.address == row.address;
            let named = upstreams.iter().any(same);
            if named && !row.named {
                row.welcome(now);
            }
            row.named = named;
            row.refresh(&mut self.changes);
        }
        let gone = |r: &Row| !r.named && r.in_flight == 0;
        let notes =
            self.rows.iter().filter(|r| gone(r)).map(|r| r.changed(EventCode::UpstreamGone));
        self.changes.extend(notes);
        self.rows.retain(|r| !gone(r));
        for upstream in upstreams {
            let same = |r: &Row| r.name == upstream.name && r.address == upstream.address;
            if !self.rows.iter().any(same) {
                self.join(upstream, started, now);
            }
        }
        self.set_probe_rate();
        self.capacity.invalidate();
    }

    /// Marks an upstream as leaving or live, as the host list says. An upstream that said itself
    /// that it is leaving is live again once the host list has said the same and takes it back.
    pub fn set_state(&mut self, name: &str, state: State, now: Time) {
        let leaving = state == State::Leaving;
        for row in self.rows.iter_mut().filter(|r| *r.name == *name) {
            if row.listed_leaving && !leaving {
                row.welcome(now);
            }
            row.listed_leaving = leaving;
            row.refresh(&mut self.changes);
        }
        self.capacity.invalidate();
    }

    /// Takes note of the end of an attempt that [`Admission::Run`](crate::decide::admission::Admission::Run) or [`Self::next_attempt`] started.
    pub fn finish_attempt(&mut self, id: UpstreamId, report: &AttemptReport, now: Time) {
        let Ok(at) = self.rows.binary_search_by_key(&id, |r| r.id) else { return };
        let row = &mut self.rows[at];
        let Some(sent) = row.ended(report.latency, now) else { return };
        self.in_flight -= 1;
        if report.draining {
            row.drain.signal();
            row.refresh(&mut self.changes);
        }
        row.learn(report, &self.baseline, now);
        if let Some(timing) = sent.timing.filter(|_| report.outcome == UpstreamOutcome::Answered) {
            self.learn_time(at, timing, report.latency, now);
        }
        let row = &mut self.rows[at];
        if report.outcome == UpstreamOutcome::Answered {
            self.baseline.answered(report.latency, now);
        }
        if let Some(value) = report.load.filter(|_| report.outcome.is_sound()) {
            let others = row.read(value, sent.before, sent.at);
            self.baseline.read(others);
        }
        self.judge(at, report.outcome, now);
        self.changes.truncate(CHANGES_MAX);
        let row = &self.rows[at];
        if !row.named && row.in_flight == 0 {
            self.changes.push(row.changed(EventCode::UpstreamGone));
            self.rows.remove(at);
        }
    }

    /// Ages what is known and moves upstreams between states.
    ///
    /// Every figure is kept with its time and weighed when it is used, so an idle service costs
    /// nothing here.
    pub fn tick(&mut self, _now: Time) {}

    /// Tells whether nothing is in flight, waits, or was asked for lately.
    pub(crate) fn is_quiet(&self, now: Time) -> bool {
        let asked = self.requested.is_some_and(|at| now.since(at) < QUIET_AFTER);
        let idle = self.in_flight == 0 && self.queue.is_empty() && self.evicted.is_empty();
        idle && !asked
    }

    /// Returns the changes of upstreams since the last call.
    pub fn take_changes(&mut self) -> Vec<UpstreamChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the upstreams to probe now. `owned` tells which upstreams are this host's to probe. Where
    /// upstreams tell their occupancy, a report is of use to the host that asked for it alone, and
    /// each host keeps informed of a few.
    pub fn probes(&mut self, now: Time, owned: impl Fn(&str) -> bool) -> Vec<Target> {
        if now < self.probes_sought || self.cfg.measure.path.is_empty() || !self.probes.ready(now) {
            return Vec::new();
        }
        let chosen = if self.is_timed() {
            self.probes_sought = now + REPORT_INTERVAL;
            let watched = self.watched();
            probing::choose(&self.rows, self.requested, now, |r| watched.contains(&r.id))
        } else {
            self.probes_sought = now + PROBE_INTERVAL;
            probing::choose(&self.rows, self.requested, now, |r| owned(&r.name))
        };
        let Some((id, target)) = chosen.map(|r| (r.id, target(r))) else { return Vec::new() };
        if !self.probes.take(now) {
            return Vec::new();
        }
        if let Some(row) = upstream::find_mut(&mut self.rows, id) {
            row.probed = now;
        }
        vec![target]
    }

    /// Returns the upstreams that this host keeps informed of: a few of its own data centre, by
    /// rendezvous hashing, so that hosts spread over all of them and their connections are used.
    fn watched(&self) -> Vec<UpstreamId> {
        let rank = |r: &Row| {
            let seed = XxHash64::oneshot(0, self.facts.host.as_bytes());
            (r.data_centre != self.facts.data_centre, XxHash64::oneshot(seed, r.name.as_bytes()))
        };
        let live = self.rows.iter().filter(|r| r.state == State::Live);
        let mut ranked: Vec<_> = live.map(|r| (rank(r), r.id)).collect();
        ranked.sort_unstable();
        ranked.into_iter().take(WATCHED).map(|(_, id)| id).collect()
    }

    /// Returns what this host may spend on retries.
    pub(crate) fn retry_limits(&self) -> RetryLimits {
        RetryLimits {
            share: self.cfg.retry_share,
            slack: self.cfg.retry_slack / f64::from(self.facts.fleet_size_max.max(1)),
            window: Duration::from_millis(self.cfg.retry_window_ms),
        }
    }

    /// Takes note of how many entry hosts there may be, which divide the fleet's budgets.
    pub fn set_fleet_size(&mut self, hosts: u32) {
        self.facts.fleet_size_max = hosts.max(1);
        self.set_probe_rate();
    }

    /// Sets this host's share of the measuring budget.
    fn set_probe_rate(&mut self) {
        let measure = &self.cfg.measure;
        let upstreams = self.rows.iter().filter(|r| r.named).count();
        let rate = measure.probes_per_second + measure.probes_per_upstream * upstreams as f64;
        self.probes.set_rate(rate, self.facts.fleet_size_max);
    }

    /// Takes note of a probe's result.
    pub fn finish_probe(&mut self, id: UpstreamId, report: &AttemptReport, now: Time) {
        let Ok(at) = self.rows.binary_search_by_key(&id, |r| r.id) else { return };
        let row = &mut self.rows[at];
        if report.draining {
            row.drain.signal();
        } else if report.outcome == UpstreamOutcome::Answered && row.drain.answered() {
            row.welcome(now);
        }
        row.refresh(&mut self.changes);
        self.capacity.invalidate();
        if report.outcome != UpstreamOutcome::Answered {
            return self.judge(at, report.outcome, now);
        }
        if let Some(value) = report.load {
            let others = row.read(value, row.in_flight, now);
            self.baseline.read(others);
        }
        self.observe_supply(at, now);
    }

    fn join(&mut self, upstream: &config::Upstream, started: bool, now: Time) {
        let mut row = Row::new(self.next_id.into(), upstream, now);
        row.health.growing = started.then_some(now);
        self.next_id += 1;
        if started {
            self.changes.push(row.changed(EventCode::UpstreamJoined));
        }
        self.rows.push(row);
    }

    /// Takes note of an attempt's end in the health of its upstream.
    fn judge(&mut self, at: usize, ended: UpstreamOutcome, now: Time) {
        self.rows[at].drain.missed(ended);
        if ended != UpstreamOutcome::Cancelled {
            self.baseline.tried(!ended.is_sound());
        }
        let health = &mut self.rows[at].health;
        let outlier = health.observe(ended, now);
        if health.restored(now) {
            self.changes.push(self.rows[at].changed(EventCode::UpstreamRestored));
        } else if outlier
            && health.errors() > self.baseline.errors() * ERROR_FACTOR
            && health::eject(&mut self.rows, at, now)
        {
            self.changes.push(self.rows[at].changed(EventCode::UpstreamEjected));
            self.capacity.invalidate();
        }
    }
}

fn target(row: &Row) -> Target {
    Target { id: row.id, name: row.name.clone(), address: row.address, estimate: None }
}
