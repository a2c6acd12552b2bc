//! One service's table: its upstreams, those that wait, and its budgets.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::config::{self, Service};
use crate::decide::admit::{Admission, Refusal, Request, Target, Ticket};
use crate::decide::measure::Budget;
use crate::decide::route::{self, Policy};
use crate::decide::upstream::{self, Ended, Reading, Report, Row, Shared, State, UpstreamId};
use crate::error::Code;
use crate::time::Time;

/// What a service table needs to know of its host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostFacts {
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
pub enum Again {
    /// The attempt before it failed.
    Retry,
    /// The attempt before it is late.
    Hedge,
}

/// The table of one service.
#[derive(Debug)]
pub struct ServiceTable {
    cfg: Arc<Service>,
    facts: HostFacts,
    rows: Vec<Row>,
    next_id: u32,
    probes: Budget,
}

impl ServiceTable {
    /// Makes the table of a service record.
    pub fn new(cfg: Arc<Service>, facts: HostFacts, now: Time) -> ServiceTable {
        let probes = Budget::new(cfg.measure.probes_per_second, facts.fleet_size_max, now);
        let mut table = ServiceTable { cfg, facts, rows: Vec::new(), next_id: 0, probes };
        let upstreams = table.cfg.upstreams.clone();
        table.set_upstreams(&upstreams, now);
        table
    }

    /// Returns the service record.
    pub fn cfg(&self) -> &Arc<Service> {
        &self.cfg
    }

    /// Returns the rows, sorted by identity.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// Puts a newer service record into force. Requests in flight and waiting are kept.
    pub fn reconfigure(&mut self, cfg: Arc<Service>, now: Time) {
        let rate = cfg.measure.probes_per_second;
        if rate != self.cfg.measure.probes_per_second {
            self.probes = Budget::new(rate, self.facts.fleet_size_max, now);
        }
        self.cfg = cfg;
    }

    /// Replaces the set of upstreams. Those that are no longer named are leaving; their rows go
    /// when nothing is in flight there.
    pub fn set_upstreams(&mut self, upstreams: &[config::Upstream], now: Time) {
        for row in &mut self.rows {
            let named = |u: &config::Upstream| u.name == row.name && u.address == row.address;
            if !upstreams.iter().any(named) {
                row.state = State::Leaving;
            }
        }
        self.rows.retain(|r| r.state == State::Live || r.in_flight > 0);
        for upstream in upstreams {
            let same = |r: &Row| r.name == upstream.name && r.address == upstream.address;
            if !self.rows.iter().any(same) {
                self.rows.push(Row::new(self.next_id.into(), upstream, now));
                self.next_id += 1;
            }
        }
    }

    /// Marks an upstream as leaving or live, as the host list or a peer says.
    pub fn set_state(&mut self, name: &str, state: State, _now: Time) {
        self.rows.iter_mut().filter(|r| *r.name == *name).for_each(|r| r.state = state);
    }

    /// Decides on a new request.
    pub fn admit(&mut self, _req: &Request, now: Time, rng: &mut impl Rng) -> Admission {
        match self.start(&[], now, rng) {
            Some(target) => Admission::Run(target),
            None => Admission::Refuse(self.refusal(Code::NoUpstream)),
        }
    }

    /// Decides on another attempt for an idempotent request, to an upstream that is not in `tried`.
    /// Returns nothing if the retry budget is spent or no upstream is left.
    pub fn again(
        &mut self,
        _why: Again,
        tried: &[UpstreamId],
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<Target> {
        self.start(tried, now, rng)
    }

    /// Takes note of the end of an attempt that [`Admission::Run`] or [`Self::again`] started.
    pub fn finish(&mut self, id: UpstreamId, report: &Report, now: Time) {
        let Some(row) = upstream::find_mut(&mut self.rows, id) else { return };
        row.in_flight = row.in_flight.saturating_sub(1);
        if report.draining {
            row.state = State::Leaving;
        }
        if let Some(value) = report.load {
            row.load = Some(Reading { value, at: now });
        }
    }

    /// Forgets a request that waits; its caller has gone.
    pub fn abandon(&mut self, _ticket: Ticket) {}

    /// Decides on requests that wait: after each [`Self::finish`] and each tick.
    pub fn release(&mut self, _now: Time, _rng: &mut impl Rng) -> Vec<(Ticket, Admission)> {
        Vec::new()
    }

    /// Ages what is known and moves upstreams between states.
    pub fn tick(&mut self, _now: Time) {}

    /// Returns the time after which a hedge is due, or nothing if none is of use.
    pub fn hedge_after(&self, _id: UpstreamId, _now: Time) -> Option<Duration> {
        None
    }

    /// Returns the upstreams to probe now. `owned` tells which upstreams are this host's to probe.
    pub fn probes(&mut self, now: Time, owned: impl Fn(&str) -> bool) -> Vec<Target> {
        let due = self.rows.iter().filter(|r| owned(&r.name)).min_by_key(|r| r.load.map(|l| l.at));
        let Some(row) = due.map(target) else { return Vec::new() };
        if self.cfg.measure.path.is_empty() || !self.probes.take(now) {
            return Vec::new();
        }
        vec![row]
    }

    /// Takes note of a probe's result.
    pub fn probed(&mut self, id: UpstreamId, report: &Report, now: Time) {
        let Some(row) = upstream::find_mut(&mut self.rows, id) else { return };
        if report.ended == Ended::Answered {
            row.load = report.load.map(|value| Reading { value, at: now }).or(row.load);
        }
    }

    /// Returns what other hosts should know.
    pub fn export(&self, now: Time) -> Vec<Shared> {
        let shared = |r: &Row| Shared {
            service: self.cfg.name.clone(),
            upstream: r.name.clone(),
            in_flight: r.in_flight,
            load: r.load.map(|l| (l.value, now.since(l.at))),
            leaving: r.state == State::Leaving,
        };
        self.rows.iter().map(shared).collect()
    }

    /// Takes note of what another host knows.
    pub fn import(&mut self, _host: &str, _shared: &Shared, _now: Time) {}

    /// Forgets what a host that died or left had shared.
    pub fn forget(&mut self, _host: &str) {}

    fn start(&mut self, tried: &[UpstreamId], now: Time, rng: &mut impl Rng) -> Option<Target> {
        let id = route::choose(self.facts.policy, &self.rows, tried, now, rng)?;
        let row = upstream::find_mut(&mut self.rows, id)?;
        row.in_flight += 1;
        Some(target(row))
    }

    fn refusal(&self, code: Code) -> Refusal {
        Refusal { code, retry_after: Duration::from_secs(1) }
    }
}

fn target(row: &Row) -> Target {
    Target { id: row.id, name: row.name.clone(), address: row.address }
}
