//! Feeds recorded inputs to the decision library once more.
//!
//! The new decisions may differ from the recorded ones, for the random generator does. An attempt
//! that now goes to another upstream ends when the recorded one did, in the way in which that other
//! upstream's own last recorded attempt ended.

use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::config::Service;
use crate::decide::admission::{Admission, Request, Target, Ticket};
use crate::decide::catalog::{Catalog, Record};
use crate::decide::service::NextAttempt;
use crate::decide::tick::ServiceTables;
use crate::decide::upstream::{AttemptReport, UpstreamId};
use crate::time::Time;
use crate::trace::leaving::Leaving;
use crate::trace::probing::Probing;
use crate::trace::{Breach, Decision, Entry, Header, Invariant, Line, Trace};

/// Runs the decision library on a trace's inputs, and returns each stated outcome that its new
/// decisions do not meet, in order of line. The same seed gives the same result.
pub fn check_rerun(trace: &Trace, seed: u64) -> Vec<Breach> {
    let mut rerun = Rerun::new(&trace.header, seed);
    trace.numbered().for_each(|(number, line)| rerun.take(number, line));
    rerun.breaches
}

/// How far an attempt or a waiting request has come in the new run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Now {
    Running(UpstreamId),
    Waiting(Ticket),
    Over,
}

/// How far the same has come in the recorded run.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Then {
    Running(Arc<str>),
    Waiting(Ticket),
    Over,
}

/// An attempt, or a request that waits for one.
#[derive(Clone, Debug)]
struct Attempt {
    service: Arc<str>,
    deadline: Option<Time>,
    then: Then,
    now: Now,
}

/// How the last recorded attempt at an upstream ended.
#[derive(Debug)]
struct Ending {
    service: Arc<str>,
    upstream: Arc<str>,
    report: AttemptReport,
}

#[derive(Debug)]
struct Rerun<'a> {
    header: &'a Header,
    rng: SmallRng,
    catalog: Catalog,
    tables: ServiceTables,
    leaving: Leaving,
    probing: Probing,
    attempts: Vec<Attempt>,
    endings: Vec<Ending>,
    breaches: Vec<Breach>,
}

impl<'a> Rerun<'a> {
    fn new(header: &'a Header, seed: u64) -> Rerun<'a> {
        Rerun {
            header,
            rng: SmallRng::seed_from_u64(seed),
            catalog: Catalog::default(),
            tables: ServiceTables::new(header.host.clone().into()),
            leaving: Leaving::default(),
            probing: Probing::default(),
            attempts: Vec::new(),
            endings: Vec::new(),
            breaches: Vec::new(),
        }
    }

    fn take(&mut self, number: usize, line: &Line) {
        let at = line.at;
        match &line.entry {
            Entry::Offer { record, .. } => self.offer(number, record),
            Entry::Put { service } => self.put_service(service, at),
            Entry::State { service, upstream, state } => {
                self.leaving.set_state(service, upstream, *state, at);
                if let Some(table) = self.tables.service(service) {
                    table.set_state(upstream, *state, at);
                }
            }
            Entry::Import { host, shared } => {
                self.leaving.import(host, shared, at);
                if let Some(table) = self.tables.service(&shared.service) {
                    table.import(host, shared, at);
                }
            }
            Entry::OtherHosts { others } => self.tables.set_live_peers(*others),
            Entry::Forget { host } => {
                self.leaving.forget(host);
                self.tables.forget_peer(host);
            }
            Entry::Admit { service, request, decision } => {
                self.admit(number, service, request, decision, at);
            }
            Entry::NextAttempt { service, hedge, tried, upstream: Some(upstream) } => {
                self.again(number, service, *hedge, tried, upstream, at);
            }
            Entry::Release { service, ticket, decision } => {
                self.released_then(service, *ticket, decision);
            }
            Entry::Abandon { service, ticket } => self.abandon(number, service, *ticket, at),
            Entry::Finish { service, upstream, report } => {
                self.finish(number, service, upstream, report, at);
            }
            Entry::Probed { service, upstream, report } => {
                self.probed(service, upstream, report, at);
            }
            Entry::Tick { .. } => self.tick(number, at),
            _ => {}
        }
    }

    fn offer(&mut self, number: usize, record: &Record) {
        let before = self.catalog.get(record.kind(), &record.name).map(|r| r.version);
        self.catalog.offer(record.clone());
        let after = self.catalog.get(record.kind(), &record.name).map(|r| r.version);
        if after < before {
            let detail = format!("{}/{} went back to {after:?}", record.kind(), record.name);
            self.breach(number, Invariant::Version, detail);
        }
    }

    fn put_service(&mut self, service: &Arc<Service>, at: Time) {
        let fleet = f64::from(self.header.host.fleet_size_max.max(1));
        self.probing.set_rate(&service.name, service.measure.probes_per_second / fleet, at);
        self.leaving.set_upstreams(&service.name, &service.upstreams, at);
        self.tables.put(service.clone(), at);
    }

    fn admit(
        &mut self,
        number: usize,
        service: &Arc<str>,
        request: &Request,
        decision: &Decision,
        at: Time,
    ) {
        let Some(table) = self.tables.service(service) else { return };
        let admission = table.admit(request, at, &mut self.rng);
        let deadline = Some(request.deadline);
        let now = self.judge(number, service, &admission, deadline, at);
        let then = match decision {
            Decision::Run(upstream) => Then::Running(upstream.clone()),
            Decision::Wait(ticket) => Then::Waiting(*ticket),
            Decision::Refuse(_) => Then::Over,
        };
        self.put(Attempt { service: service.clone(), deadline, then, now }, at);
    }

    fn again(
        &mut self,
        number: usize,
        service: &Arc<str>,
        hedge: bool,
        tried: &[Arc<str>],
        upstream: &Arc<str>,
        at: Time,
    ) {
        let Some(table) = self.tables.service(service) else { return };
        let rows = table.rows().iter();
        let tried: Vec<UpstreamId> =
            rows.filter(|r| tried.contains(&r.name)).map(|r| r.id).collect();
        let why = if hedge { NextAttempt::Hedge } else { NextAttempt::Retry };
        let Some(target) = table.next_attempt(why, &tried, at, &mut self.rng) else { return };
        let now = self.judge(number, service, &Admission::Run(target), None, at);
        let then = Then::Running(upstream.clone());
        self.put(Attempt { service: service.clone(), deadline: None, then, now }, at);
    }

    /// Keeps an attempt, or ends it at once if the recorded run had none.
    fn put(&mut self, attempt: Attempt, at: Time) {
        match (&attempt.then, attempt.now) {
            (_, Now::Over) if attempt.then == Then::Over => {}
            (Then::Over, _) => self.end(&attempt, None, at),
            _ => self.attempts.push(attempt),
        }
    }

    fn released_then(&mut self, service: &str, ticket: Ticket, decision: &Decision) {
        let waiting = |a: &Attempt| *a.service == *service && a.then == Then::Waiting(ticket);
        let Some(i) = self.attempts.iter().position(waiting) else { return };
        self.attempts[i].then = match decision {
            Decision::Run(upstream) => Then::Running(upstream.clone()),
            Decision::Wait(ticket) => Then::Waiting(*ticket),
            Decision::Refuse(_) => Then::Over,
        };
    }

    fn abandon(&mut self, number: usize, service: &str, ticket: Ticket, at: Time) {
        let waiting = |a: &Attempt| *a.service == *service && a.then == Then::Waiting(ticket);
        let Some(i) = self.attempts.iter().position(waiting) else { return };
        let attempt = self.attempts.remove(i);
        self.end(&attempt, None, at);
        self.release(number, service, at);
    }

    fn finish(
        &mut self,
        number: usize,
        service: &str,
        upstream: &str,
        report: &AttemptReport,
        at: Time,
    ) {
        self.learn(service, upstream, report);
        let same = |a: &Attempt| {
            *a.service == *service && matches!(&a.then, Then::Running(u) if **u == *upstream)
        };
        if let Some(i) = self.attempts.iter().position(same) {
            let attempt = self.attempts.remove(i);
            self.end(&attempt, Some(report), at);
        }
        self.release(number, service, at);
    }

    fn probed(&mut self, service: &str, upstream: &str, report: &AttemptReport, at: Time) {
        self.learn(service, upstream, report);
        self.leaving.probed(service, upstream, report, at);
        let Some(table) = self.tables.service(service) else { return };
        let id = table.rows().iter().find(|r| *r.name == *upstream).map(|r| r.id);
        if let Some(id) = id {
            table.finish_probe(id, report, at);
        }
    }

    fn tick(&mut self, number: usize, at: Time) {
        let ticked = self.tables.tick(at, &mut self.rng, |_, _| true);
        for (service, ticket, admission) in ticked.released {
            self.released_now(number, &service, ticket, &admission, at);
        }
        for (service, target) in ticked.probes {
            let burst = self.header.limits.probe_burst;
            if let Some(detail) = self.probing.fault(&service.name, burst, at) {
                self.breach(
                    number,
                    Invariant::ProbeBudget,
                    format!("{detail}, {} last", target.name),
                );
            }
        }
        self.end_those_over_then(at);
    }

    fn release(&mut self, number: usize, service: &str, at: Time) {
        let Some(table) = self.tables.service(service) else { return };
        for (ticket, admission) in table.release(at, &mut self.rng) {
            self.released_now(number, service, ticket, &admission, at);
        }
    }

    fn released_now(
        &mut self,
        number: usize,
        service: &str,
        ticket: Ticket,
        admission: &Admission,
        at: Time,
    ) {
        let waiting = |a: &Attempt| *a.service == *service && a.now == Now::Waiting(ticket);
        let found = self.attempts.iter().position(waiting);
        let deadline = found.and_then(|i| self.attempts[i].deadline);
        let now = self.judge(number, service, admission, deadline, at);
        match (found, now) {
            (Some(i), _) => self.attempts[i].now = now,
            (None, Now::Running(id)) => self.give_back(service, id, None, at),
            (None, _) => {}
        }
    }

    /// Ends what the recorded run refused after a wait.
    fn end_those_over_then(&mut self, at: Time) {
        let (over, open) = std::mem::take(&mut self.attempts)
            .into_iter()
            .partition(|a| a.then == Then::Over && !matches!(a.now, Now::Waiting(_)));
        self.attempts = open;
        let over: Vec<Attempt> = over;
        over.iter().for_each(|a| self.end(a, None, at));
    }

    /// Ends an attempt in the new run.
    fn end(&mut self, attempt: &Attempt, report: Option<&AttemptReport>, at: Time) {
        match attempt.now {
            Now::Running(id) => self.give_back(&attempt.service, id, report, at),
            Now::Waiting(ticket) => {
                if let Some(table) = self.tables.service(&attempt.service) {
                    table.abandon_request(ticket);
                }
            }
            Now::Over => {}
        }
    }

    fn give_back(
        &mut self,
        service: &str,
        id: UpstreamId,
        report: Option<&AttemptReport>,
        at: Time,
    ) {
        let Some(table) = self.tables.service(service) else { return };
        let Some(row) = table.rows().iter().find(|r| r.id == id) else { return };
        let own = self
            .endings
            .binary_search_by(|e| (&*e.service, &*e.upstream).cmp(&(service, &*row.name)));
        let own = own.ok().map(|i| self.endings[i].report);
        let name = row.name.clone();
        let report = own.or(report.copied()).unwrap_or(CANCELLED);
        self.leaving.finish(service, &name, &report, at);
        table.finish_attempt(id, &report, at);
    }

    /// Takes note of how an attempt at an upstream ended in the recorded run.
    fn learn(&mut self, service: &str, upstream: &str, report: &AttemptReport) {
        let key = (service, upstream);
        match self.endings.binary_search_by(|e| (&*e.service, &*e.upstream).cmp(&key)) {
            Ok(i) => self.endings[i].report = *report,
            Err(i) => {
                let (service, upstream) = (service.into(), upstream.into());
                self.endings.insert(i, Ending { service, upstream, report: *report });
            }
        }
    }

    /// Holds a new decision against the stated outcomes.
    fn judge(
        &mut self,
        number: usize,
        service: &str,
        admission: &Admission,
        deadline: Option<Time>,
        at: Time,
    ) -> Now {
        let target: &Target = match admission {
            Admission::Run(target) => target,
            Admission::Wait(ticket) => return Now::Waiting(*ticket),
            Admission::Refuse(_) => return Now::Over,
        };
        let bound = self.header.limits.leaving();
        if let Some(detail) = self.leaving.fault(service, &target.name, at, bound) {
            self.breach(number, Invariant::Leaving, detail);
        }
        if deadline.is_some_and(|d| at > d) {
            let detail = format!("{service} admitted a request after its deadline");
            self.breach(number, Invariant::Deadline, detail);
        }
        Now::Running(target.id)
    }

    fn breach(&mut self, number: usize, invariant: Invariant, detail: String) {
        self.breaches.push(Breach::new(number, invariant, detail));
    }
}

/// The end of an attempt at an upstream that the recorded run never tried.
const CANCELLED: AttemptReport = AttemptReport {
    outcome: crate::decide::upstream::UpstreamOutcome::Cancelled,
    latency: std::time::Duration::ZERO,
    load: None,
    draining: false,
};
