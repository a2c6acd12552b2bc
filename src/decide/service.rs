//! The table of one service: its upstreams, its queued requests and its budgets.

mod admission;
mod placement;
mod reports;
mod sharing;
mod shedding;
mod warmup;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use twox_hash::XxHash64;

use crate::config::{self, Service};
use crate::decide::admission::{Target, Ticket};
use crate::decide::availability::Availability;
use crate::decide::balancing::Policy;
use crate::decide::baseline::Baseline;
use crate::decide::capacity::Capacity;
use crate::decide::concurrency::Concurrency;
use crate::decide::health::{self, Health};
use crate::decide::kinds::KindEstimates;
use crate::decide::limit::{LimitChange, LimitObservation};
use crate::decide::probing::{self, ProbeBudget};
use crate::decide::queue::Queue;
use crate::decide::reach::Reach;
use crate::decide::retry::{RetryBudget, RetryLimits};
use crate::decide::shedding::{Load, Shedding};
use crate::decide::upstream::{
    self, AttemptReport, Row, State, UpstreamChange, UpstreamId, UpstreamOutcome,
};
use crate::decide::warmup::WarmUp;
use crate::event::EventCode;
use crate::time::Time;

/// The properties of the entry host that a service table depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct HostInfo {
    /// The host's name.
    pub host: Arc<str>,
    /// The host's data centre, whose upstreams are preferred where they report their occupancy.
    pub data_centre: Arc<str>,
    /// The largest number of entry hosts in the fleet. Fleet-wide budgets are divided by it.
    pub fleet_size_max: u32,
    /// The load-balancing policy.
    pub policy: Policy,
    /// The most requests that may wait in the queue of one service.
    pub waiting_max: usize,
}

/// The reason for another attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAttempt {
    /// The previous attempt failed.
    Retry,
    /// The previous attempt has taken so long that the new one runs beside it.
    Hedge,
}

/// The state of one service that determines where and when its requests run.
#[derive(Debug)]
pub struct ServiceTable {
    cfg: Arc<Service>,
    host_info: HostInfo,
    live_peers: u32,
    rows: Vec<Row>,
    next_id: u32,
    /// Number of upstream choices so far. `Row::last_chosen` holds its value at a row's last
    /// choice.
    choice_count: u64,
    in_flight: u32,
    last_request: Option<Time>,
    baseline: Baseline,
    kinds: KindEstimates,
    concurrency: Concurrency,
    availability: Availability,
    work_rate: placement::WorkRate,
    shedding: Shedding,
    /// What shedding by cost depends on; not updated otherwise.
    shedding_load: Load,
    capacity: Capacity,
    queue: Queue,
    /// The data centres that are evacuated, sorted.
    evacuated: Vec<Arc<str>>,
    /// Requests that a more urgent one evicted from the queue and that are yet to be refused.
    evicted: Vec<Ticket>,
    probe_budget: ProbeBudget,
    next_probe_at: Time,
    /// When upstreams are next probed for a free slot while requests are queued.
    next_candidate_probe_at: Time,
    retry_budget: RetryBudget,
    reach: Reach,
    next_limit_update_at: Time,
    next_warm_up_update_at: Time,
    /// Row indices of the upstreams open to the current request; kept to reuse its allocation.
    candidates: Vec<u32>,
    changes: Vec<UpstreamChange>,
}

/// Time between two searches for an upstream to probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two searches for an upstream to probe where upstreams report their occupancy. A
/// request then finds recent reports in addition to those that are requested for it.
const OCCUPANCY_PROBE_INTERVAL: Duration = Duration::from_millis(125);
/// Number of upstreams whose reports a host keeps recent. At four probes a second each, they take a
/// quarter of the probe budget that the largest known deployment leaves to one host.
const WATCHED_UPSTREAMS: usize = 2;
/// Time between two updates of the rate limits that this host owns.
const LIMIT_UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Number of upstreams that are probed to find out whether this host reaches any.
const REACH_PROBES: usize = 3;
/// Time without requests after which a service counts as quiet.
const QUIET_AFTER: Duration = Duration::from_secs(5);
/// Number of pending changes to which [`ServiceTable::finish_attempt`] truncates the list, dropping
/// the newest ones.
const PENDING_CHANGES_MAX: usize = 1_024;
/// An upstream is ejected only if its error share is more than this multiple of the whole
/// service's.
const OUTLIER_FACTOR: f32 = 1.3;

impl ServiceTable {
    /// Creates the table of a service from its record.
    pub fn new(cfg: Arc<Service>, host_info: HostInfo, now: Time) -> ServiceTable {
        let probe_budget =
            ProbeBudget::new(cfg.measure.probes_per_second, host_info.fleet_size_max, now);
        let mut table = ServiceTable {
            cfg,
            host_info,
            live_peers: 0,
            rows: Vec::new(),
            next_id: 0,
            choice_count: 0,
            in_flight: 0,
            last_request: None,
            baseline: Baseline::default(),
            kinds: KindEstimates::default(),
            concurrency: Concurrency::default(),
            availability: Availability::default(),
            work_rate: placement::WorkRate::default(),
            shedding: Shedding::default(),
            shedding_load: Load::default(),
            capacity: Capacity::default(),
            queue: Queue::default(),
            evacuated: Vec::new(),
            evicted: Vec::new(),
            probe_budget,
            next_probe_at: now,
            next_candidate_probe_at: now,
            retry_budget: RetryBudget::new(now),
            reach: Reach::default(),
            next_limit_update_at: now,
            next_warm_up_update_at: now,
            candidates: Vec::new(),
            changes: Vec::new(),
        };
        let upstreams = table.cfg.upstreams.clone();
        table.set_upstreams(&upstreams, now);
        table
    }

    /// Returns the service record in force.
    pub fn cfg(&self) -> &Arc<Service> {
        &self.cfg
    }

    /// Sets the number of live peers. It may exceed the number of peers that report their load, as
    /// only neighbours do.
    pub fn set_live_peers(&mut self, live_peers: u32) {
        self.live_peers = live_peers;
        self.capacity.invalidate();
    }

    /// Returns the upstreams, sorted by id.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// Returns the number of requests in the queue.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether a queued request was evicted by a more urgent one. The next call of
    /// [`Self::release`] refuses it.
    pub fn has_evicted_requests(&self) -> bool {
        !self.evicted.is_empty()
    }

    /// Replaces the service record. Requests in flight and in the queue are kept, and so are the
    /// upstreams, which [`Self::set_upstreams`] replaces.
    pub fn reconfigure(&mut self, cfg: Arc<Service>, now: Time) {
        let rate = cfg.measure.probes_per_second;
        if rate != self.cfg.measure.probes_per_second {
            self.probe_budget = ProbeBudget::new(rate, self.host_info.fleet_size_max, now);
        }
        let had_warm_up = self.has_warm_up();
        self.cfg = cfg;
        match self.has_warm_up() {
            true if !had_warm_up => self.doubt_warmth(now, true, |_| true),
            true => {}
            false => self.rows.iter_mut().for_each(|r| r.warm_up = WarmUp::default()),
        }
        self.set_probe_rate();
        self.capacity.invalidate();
    }

    /// Replaces the set of upstreams. One that is no longer configured becomes leaving, and its row
    /// is removed once it has no request in flight. For one that is configured again, an earlier
    /// drain ends: it is live unless the host list or a peer marks it as leaving.
    pub fn set_upstreams(&mut self, upstreams: &[config::Upstream], now: Time) {
        let has_live = self.rows.iter().any(|r| r.takes_requests());
        let mut sorted: Vec<(&str, SocketAddr)> =
            upstreams.iter().map(|u| (&*u.name, u.address)).collect();
        sorted.sort_unstable();
        let mut returned: Vec<UpstreamId> = Vec::new();
        for row in &mut self.rows {
            let configured = sorted.binary_search(&(&*row.name, row.address)).is_ok();
            if configured && !row.configured {
                row.readmit(now);
                returned.push(row.id);
            }
            row.configured = configured;
            row.update_state(&mut self.changes);
        }
        let is_gone = |r: &Row| !r.configured && r.in_flight == 0;
        let removed =
            self.rows.iter().filter(|r| is_gone(r)).map(|r| r.change(EventCode::UpstreamGone));
        self.changes.extend(removed);
        self.rows.retain(|r| !is_gone(r));
        let mut existing: Vec<(Arc<str>, SocketAddr)> =
            self.rows.iter().map(|r| (r.name.clone(), r.address)).collect();
        existing.sort_unstable();
        for upstream in upstreams {
            let found = existing.binary_search_by(|(name, address)| {
                (&**name, *address).cmp(&(&*upstream.name, upstream.address))
            });
            if found.is_err() {
                returned.push(self.next_id.into());
                self.add_upstream(upstream, has_live, now);
            }
        }
        returned.sort_unstable();
        self.doubt_warmth(now, false, |r| returned.binary_search(&r.id).is_ok());
        self.set_probe_rate();
        self.capacity.invalidate();
    }

    /// Sets whether the host list marks an upstream as leaving. As the list may lag behind, marking
    /// an upstream as live ends a drain that it signalled itself only if the list has marked it as
    /// leaving before.
    pub fn set_state(&mut self, name: &str, state: State, now: Time) {
        let leaving = state == State::Leaving;
        for row in self.rows.iter_mut().filter(|r| *r.name == *name) {
            if row.listed_leaving && !leaving {
                row.readmit(now);
            }
            row.listed_leaving = leaving;
            row.update_state(&mut self.changes);
        }
        self.capacity.invalidate();
    }

    /// Sets which data centres are evacuated, sorted by name. Their upstreams get no new requests,
    /// even if no other upstream is left. Those of a data centre whose evacuation has ended ramp up,
    /// unless no other upstream takes requests.
    pub fn set_evacuated(&mut self, data_centres: &[Arc<str>], now: Time) {
        self.evacuated = data_centres.to_vec();
        let has_live = self.rows.iter().any(|r| r.takes_requests());
        for row in &mut self.rows {
            let evacuated = self.evacuated.binary_search(&row.data_centre).is_ok();
            if row.evacuated && !evacuated {
                row.health.ramp_up_start = has_live.then_some(now);
            }
            row.evacuated = evacuated;
        }
        self.capacity.invalidate();
    }

    /// Returns whether an upstream's data centre is evacuated.
    pub fn is_evacuated(&self, id: UpstreamId) -> bool {
        upstream::find(&self.rows, id).is_some_and(|r| r.evacuated)
    }

    /// Records the end of an attempt that was started by [`Self::admit`], [`Self::release`] or
    /// [`Self::next_attempt`]. An unknown `id` is ignored.
    pub fn finish_attempt(&mut self, id: UpstreamId, report: &AttemptReport, now: Time) {
        let Ok(index) = self.rows.binary_search_by_key(&id, |r| r.id) else { return };
        let row = &mut self.rows[index];
        let Some(attempt) = row.end_attempt(report.latency, now) else { return };
        self.in_flight -= 1;
        self.reach.record(id, report.outcome, now.before(report.latency), now);
        if report.draining {
            row.drain.signal();
            row.update_state(&mut self.changes);
        }
        row.record_latency(report, &self.baseline, now);
        if let Some(estimate) =
            attempt.estimate.filter(|_| report.outcome == UpstreamOutcome::Answered)
        {
            self.record_work_time(index, estimate, report.latency, now);
        }
        let row = &mut self.rows[index];
        if report.outcome == UpstreamOutcome::Answered {
            self.baseline.observe_latency(report.latency, now);
        }
        if let Some(value) = report.load.filter(|_| report.outcome.is_healthy()) {
            let peer_load = row.record_load(value, attempt.in_flight_before, attempt.started);
            self.baseline.observe_peer_load(peer_load);
        }
        self.update_health(index, report.outcome, now);
        self.changes.truncate(PENDING_CHANGES_MAX);
        let row = &self.rows[index];
        if !row.configured && row.in_flight == 0 {
            self.changes.push(row.change(EventCode::UpstreamGone));
            self.rows.remove(index);
        }
    }

    /// Updates the rate of probes to the upstreams that are probed at present. All other figures are
    /// stored with their time and weighted by their age when they are read, so that an idle service
    /// costs no work in a tick.
    pub fn tick(&mut self, _now: Time) {
        self.set_probe_rate();
    }

    /// Returns whether nothing is in flight or queued and no request came within `QUIET_AFTER`.
    pub(crate) fn is_quiet(&self, now: Time) -> bool {
        let is_used = self.last_request.is_some_and(|at| now.since(at) < QUIET_AFTER);
        let is_idle = self.in_flight == 0 && self.queue.is_empty() && self.evicted.is_empty();
        is_idle && !is_used
    }

    /// Returns whether this host has lost its path to the service's upstreams: none of them has
    /// responded for some time. Probes find out when it is back; where there are none, only
    /// requests can, so that they are sent.
    pub(crate) fn is_cut_off(&self, now: Time) -> bool {
        let upstreams = self.live_upstreams();
        let is_probed =
            !self.cfg.measure.path.is_empty() && self.fleet_probe_rate() > 0.0 && upstreams > 1;
        is_probed && self.reach.is_lost(upstreams, now)
    }

    /// Returns whether an upstream of the service has responded to this host a moment ago.
    pub(crate) fn is_reach_proven(&self, now: Time) -> bool {
        self.reach.is_proven(now)
    }

    /// Returns a few upstreams to probe, within the probe budget, to find out whether this host
    /// reaches any.
    pub(crate) fn reach_probes(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Target> {
        self.last_request = Some(now);
        if self.cfg.measure.path.is_empty() {
            return Vec::new();
        }
        let budget = &mut self.probe_budget;
        let live = self.rows.iter_mut().filter(|r| r.takes_requests() && r.is_askable(now));
        let chosen = live.choose_multiple(rng, REACH_PROBES).into_iter();
        let within_budget = chosen.filter_map(|row| {
            budget.try_take(now).then(|| {
                row.last_probe = now;
                target(row)
            })
        });
        within_budget.collect()
    }

    /// Returns whether this host is cut off from the service's upstreams, if that has changed since
    /// the last call.
    pub(crate) fn take_reach_change(&mut self, now: Time) -> Option<bool> {
        let upstreams = self.live_upstreams();
        self.reach.take_change(upstreams, now)
    }

    fn live_upstreams(&self) -> usize {
        self.rows.iter().filter(|r| r.takes_requests()).count()
    }

    /// Removes and returns the upstream changes that were recorded since the last call.
    pub fn take_changes(&mut self) -> Vec<UpstreamChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the upstreams to probe now, at most one, within the probe budget. `owned` returns
    /// whether an upstream is assigned to this host. It is ignored where upstreams report their
    /// occupancy: a report serves only the host that requested it, so each host probes a few
    /// upstreams of its own choice.
    pub fn probes(&mut self, now: Time, owned: impl Fn(&str) -> bool) -> Vec<Target> {
        if now < self.next_probe_at
            || self.cfg.measure.path.is_empty()
            || !self.probe_budget.has_token(now)
        {
            return Vec::new();
        }
        let chosen = if self.is_doubt_due(now) {
            self.next_probe_at = now + PROBE_INTERVAL;
            self.doubtful_upstream(now)
        } else if self.is_cut_off(now) {
            self.next_probe_at = now + PROBE_INTERVAL;
            probing::choose(&self.rows, self.last_request, now, |_| true)
        } else if self.uses_occupancy() {
            self.next_probe_at = now + OCCUPANCY_PROBE_INTERVAL;
            let watched = self.watched();
            probing::choose(&self.rows, self.last_request, now, |r| watched.contains(&r.id))
        } else {
            self.next_probe_at = now + PROBE_INTERVAL;
            probing::choose(&self.rows, self.last_request, now, |r| owned(&r.name))
        };
        let Some((id, target)) = chosen.map(|r| (r.id, target(r))) else { return Vec::new() };
        if !self.probe_budget.try_take(now) {
            return Vec::new();
        }
        if let Some(row) = upstream::find_mut(&mut self.rows, id) {
            row.last_probe = now;
        }
        vec![target]
    }

    /// Returns the upstreams whose reports this host keeps recent, preferably of its own data
    /// centre. Rendezvous hashing spreads the hosts over all upstreams and keeps each host on the
    /// same ones, whose connections are then reused.
    fn watched(&self) -> Vec<UpstreamId> {
        let rank = |r: &Row| {
            let seed = XxHash64::oneshot(0, self.host_info.host.as_bytes());
            (
                r.data_centre != self.host_info.data_centre,
                XxHash64::oneshot(seed, r.name.as_bytes()),
            )
        };
        let live = self.rows.iter().filter(|r| r.takes_requests());
        let mut ranked: Vec<_> = live.map(|r| (rank(r), r.id)).collect();
        ranked.sort_unstable();
        ranked.into_iter().take(WATCHED_UPSTREAMS).map(|(_, id)| id).collect()
    }

    pub(crate) fn retry_limits(&self) -> RetryLimits {
        RetryLimits {
            share: self.cfg.retry_share,
            slack: self.cfg.retry_slack / f64::from(self.host_info.fleet_size_max.max(1)),
            window: Duration::from_millis(self.cfg.retry_window_ms),
            is_alone: self.host_info.fleet_size_max <= 1,
        }
    }

    /// Sets the number of entry hosts that the fleet-wide budgets are divided by.
    pub fn set_fleet_size(&mut self, hosts: u32) {
        self.host_info.fleet_size_max = hosts.max(1);
        self.set_probe_rate();
    }

    /// Updates this host's share of the probe budget.
    fn set_probe_rate(&mut self) {
        self.probe_budget.set_rate(self.fleet_probe_rate(), self.host_info.fleet_size_max);
    }

    /// Returns the probes per second that all hosts together may send. Upstreams that are not probed
    /// don't count, since the others would get their share as well.
    fn fleet_probe_rate(&self) -> f64 {
        let measure = &self.cfg.measure;
        let upstreams = self.rows.iter().filter(|r| probing::is_probeable(r)).count();
        measure.probes_per_second + measure.probes_per_upstream * upstreams as f64
    }

    /// Records that an upstream has asked this host to send it nothing for `pause`. This neither
    /// counts as a failure nor concerns other hosts. An unknown `id` is ignored.
    pub fn pause(&mut self, id: UpstreamId, pause: Duration, now: Time) {
        if let Some(row) = upstream::find_mut(&mut self.rows, id) {
            row.health.pause(pause, now);
        }
    }

    /// Records the rate limit in the response of an upstream to a request that was sent at `sent`, or
    /// that the response has none. An unknown `id` is ignored.
    pub fn observe_limit(
        &mut self,
        id: UpstreamId,
        per_second: Option<f64>,
        sent: Time,
        now: Time,
    ) -> Option<LimitChange> {
        upstream::find_mut(&mut self.rows, id)?.limit.observe(per_second, sent, now)
    }

    /// Returns whether an upstream is configured.
    pub(crate) fn has_upstream(&self, name: &str) -> bool {
        self.rows.iter().any(|r| r.configured && *r.name == *name)
    }

    /// Records what a peer has told of an upstream's rate limit. Upstreams that are not configured are
    /// ignored.
    pub fn import_limit(
        &mut self,
        name: &str,
        observation: &LimitObservation,
    ) -> Option<LimitChange> {
        let row = self.rows.iter_mut().find(|r| r.configured && *r.name == *name)?;
        row.limit.observe_relayed(observation)
    }

    /// Returns what to tell peers of rate limits, each with its upstream's name.
    pub fn limits(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, LimitObservation)> {
        self.rows.iter().filter_map(move |r| Some((&r.name, r.limit.observation(now)?)))
    }

    /// Forgets outdated rate limits, and updates which of them this host owns. `is_owner` returns
    /// whether it is one of a number of owners of an upstream's limit among `live_hosts` hosts, this
    /// one included.
    pub fn update_limits(
        &mut self,
        live_hosts: usize,
        now: Time,
        is_owner: impl Fn(&str, usize) -> bool,
    ) {
        if now < self.next_limit_update_at {
            return;
        }
        self.next_limit_update_at = now + LIMIT_UPDATE_INTERVAL;
        for row in self.rows.iter_mut().filter(|r| r.limit.per_second().is_some()) {
            if row.limit.expire(live_hosts, now, |hosts| is_owner(&row.name, hosts)) {
                self.changes.push(row.change(EventCode::UpstreamUnlimited));
                continue;
            }
            let owners = row.limit.owners(live_hosts);
            row.limit.set_owned(is_owner(&row.name, owners), owners, now);
        }
    }

    /// Returns when this host may next send an upstream a request: now, unless all that take requests
    /// have asked for a pause or leave it no room in their rate limits. `None` if it may send none.
    pub(crate) fn opens_at(&self, now: Time) -> Option<Time> {
        let live = self.rows.iter().filter(|r| r.takes_requests());
        live.filter_map(|r| r.opens_at(now)).min().map(|at| at.max(now))
    }

    /// Returns whether an upstream has named a rate limit.
    pub fn is_limited(&self, id: UpstreamId) -> bool {
        upstream::find(&self.rows, id).is_some_and(|r| r.limit.per_second().is_some())
    }

    /// Resets what is known of an upstream, because a new process has taken its place under the same
    /// name and address. An unknown name is ignored.
    pub fn restart(&mut self, name: &str, now: Time) {
        for row in self.rows.iter_mut().filter(|r| *r.name == *name) {
            row.health = Health::default();
            row.limit.reset(now);
            row.occupancy_reading = None;
            row.readmit(now);
            row.update_state(&mut self.changes);
        }
        self.doubt_warmth(now, false, |r| *r.name == *name);
        self.capacity.invalidate();
    }

    /// Records the result of a probe. An unknown `id` is ignored.
    pub fn finish_probe(&mut self, id: UpstreamId, report: &AttemptReport, now: Time) {
        let Ok(index) = self.rows.binary_search_by_key(&id, |r| r.id) else { return };
        self.reach.record(id, report.outcome, now.before(report.latency), now);
        let row = &mut self.rows[index];
        if report.draining {
            row.drain.signal();
        } else if report.outcome == UpstreamOutcome::Answered && row.drain.observe_response() {
            row.readmit(now);
        }
        row.update_state(&mut self.changes);
        self.capacity.invalidate();
        if report.outcome != UpstreamOutcome::Answered {
            return self.update_health(index, report.outcome, now);
        }
        if let Some(value) = report.load {
            let peer_load = row.record_load(value, row.in_flight, now);
            self.baseline.observe_peer_load(peer_load);
        }
        self.observe_availability(index, now);
    }

    /// Adds the row of an upstream. If the service already has live upstreams, the new one ramps up
    /// and its joining is recorded as a change.
    fn add_upstream(&mut self, upstream: &config::Upstream, has_live: bool, now: Time) {
        let mut row = Row::new(self.next_id.into(), upstream, now);
        row.health.ramp_up_start = has_live.then_some(now);
        row.evacuated = self.evacuated.binary_search(&row.data_centre).is_ok();
        self.next_id += 1;
        if has_live {
            self.changes.push(row.change(EventCode::UpstreamJoined));
        }
        self.rows.push(row);
    }

    /// Records the end of an attempt or probe in the upstream's health, and ejects or restores the
    /// upstream accordingly.
    fn update_health(&mut self, index: usize, outcome: UpstreamOutcome, now: Time) {
        self.rows[index].drain.observe_failure(outcome);
        if outcome == UpstreamOutcome::ConnectFailed {
            // Its process may have ended, and the next one may be cold.
            let id = self.rows[index].id;
            self.doubt_warmth(now, true, |r| r.id == id);
        }
        if outcome != UpstreamOutcome::Cancelled {
            self.baseline.observe_attempt(!outcome.is_healthy());
        }
        let health = &mut self.rows[index].health;
        let is_outlier = health.observe(outcome, now);
        if health.take_restored(now) {
            self.changes.push(self.rows[index].change(EventCode::UpstreamRestored));
        } else if is_outlier
            && health.error_share() > self.baseline.error_share() * OUTLIER_FACTOR
            && health::try_eject(&mut self.rows, index, now)
        {
            self.changes.push(self.rows[index].change(EventCode::UpstreamEjected));
            self.capacity.invalidate();
        }
    }
}

fn target(row: &Row) -> Target {
    Target { id: row.id, name: row.name.clone(), address: row.address, estimate: None }
}
