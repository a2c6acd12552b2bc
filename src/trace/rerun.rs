//! The check of the decision library on a trace's recorded inputs.
//!
//! The decisions of the rerun may differ from the recorded ones, because the random generator
//! differs. An attempt that goes to another upstream in the rerun ends when the recorded attempt
//! ended, with the result of the last recorded attempt or probe at that other upstream.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::config::Service;
use crate::decide::admission::{Admission, Request, Target, Ticket};
use crate::decide::catalog::{Catalog, Record};
use crate::decide::service::NextAttempt;
use crate::decide::tick::ServiceTables;
use crate::decide::upstream::{AttemptReport, UpstreamId};
use crate::time::Time;
use crate::trace::budget::ProbeBudgets;
use crate::trace::leaving::LeavingTracker;
use crate::trace::{Breach, Decision, Entry, Header, Invariant, Line, Trace};

/// Runs the decision library on a trace's inputs, checks its decisions against the invariants, and
/// returns the breaches in order of line. The same seed gives the same result.
pub fn check_rerun(trace: &Trace, seed: u64) -> Vec<Breach> {
    let mut rerun = Rerun::new(&trace.header, seed);
    trace.numbered().for_each(|(number, line)| rerun.apply_line(number, line));
    rerun.breaches
}

/// The state of a request in the rerun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RerunState {
    Running(UpstreamId),
    Queued(Ticket),
    Refused,
}

/// The state of the same request in the recorded run.
#[derive(Clone, Debug, PartialEq, Eq)]
enum RecordedState {
    Running(Arc<str>),
    Queued(Ticket),
    Refused,
}

/// An attempt or a queued request, which the two runs may treat differently.
#[derive(Clone, Debug)]
struct Attempt {
    service: Arc<str>,
    /// `None` for a retry or a hedge, whose deadline the trace doesn't contain.
    deadline: Option<Time>,
    recorded: RecordedState,
    rerun: RerunState,
}

/// The result of the last recorded attempt or probe at an upstream.
#[derive(Debug)]
struct LastReport {
    service: Arc<str>,
    upstream: Arc<str>,
    report: AttemptReport,
}

/// The state of the rerun as of the line applied last, and the breaches up to it.
#[derive(Debug)]
struct Rerun<'a> {
    header: &'a Header,
    rng: SmallRng,
    catalog: Catalog,
    tables: ServiceTables,
    leaving: LeavingTracker,
    probe_budgets: ProbeBudgets,
    attempts: Vec<Attempt>,
    /// Sorted by service and upstream.
    last_reports: Vec<LastReport>,
    breaches: Vec<Breach>,
}

impl<'a> Rerun<'a> {
    fn new(header: &'a Header, seed: u64) -> Rerun<'a> {
        let mut tables = ServiceTables::new(header.host.clone().into());
        tables.set_shedding(header.host.shedding);
        Rerun {
            header,
            rng: SmallRng::seed_from_u64(seed),
            catalog: Catalog::default(),
            tables,
            leaving: LeavingTracker::default(),
            probe_budgets: ProbeBudgets::default(),
            attempts: Vec::new(),
            last_reports: Vec::new(),
            breaches: Vec::new(),
        }
    }

    fn apply_line(&mut self, number: usize, line: &Line) {
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
            Entry::Evacuated { data_centres } => {
                self.tables.set_evacuated(data_centres.clone(), at);
            }
            Entry::LivePeers { others } => self.tables.set_live_peers(*others),
            Entry::Pause { service, upstream, millis } => {
                let Some(table) = self.tables.service(service) else { return };
                let row = table.rows().iter().find(|r| r.name == *upstream);
                if let Some(id) = row.map(|r| r.id) {
                    table.pause(id, Duration::from_millis(*millis), at);
                }
            }
            Entry::Forget { host } => {
                self.leaving.forget_peer(host);
                self.tables.forget_peer(host);
            }
            Entry::Admit { service, request, decision } => {
                self.admit(number, service, request, decision, at);
            }
            Entry::NextAttempt { service, hedge, tried, upstream: Some(upstream) } => {
                self.next_attempt(number, service, *hedge, tried, upstream, at);
            }
            Entry::Release { service, ticket, decision } => {
                self.apply_recorded_release(service, *ticket, decision);
            }
            Entry::Abandon { service, ticket } => self.abandon(number, service, *ticket, at),
            Entry::Finish { service, upstream, report } => {
                self.finish_attempt(number, service, upstream, report, at);
            }
            Entry::Probed { service, upstream, report } => {
                self.finish_probe(service, upstream, report, at);
            }
            Entry::Tick { .. } => self.tick(number, at),
            _ => {}
        }
    }

    /// Offers a record to the catalog, and checks that no older version comes into force.
    fn offer(&mut self, number: usize, record: &Record) {
        let before = self.catalog.get(record.kind(), &record.name).map(|r| r.version);
        self.catalog.offer(record.clone());
        let after = self.catalog.get(record.kind(), &record.name).map(|r| r.version);
        if after < before {
            let detail =
                format!("{}/{} went back to version {after:?}", record.kind(), record.name);
            self.breach(number, Invariant::Version, detail);
        }
    }

    /// Creates or updates a service's table. The probe budget is the host's share in a fleet of the
    /// largest size.
    fn put_service(&mut self, service: &Arc<Service>, at: Time) {
        let fleet_size = f64::from(self.header.host.fleet_size_max.max(1));
        self.probe_budgets.set_rate(
            &service.name,
            service.measure.probes_per_second / fleet_size,
            at,
        );
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
        let rerun = self.check_admission(number, service, &admission, deadline, at);
        let recorded = match decision {
            Decision::Run(upstream) => RecordedState::Running(upstream.clone()),
            Decision::Wait(ticket) => RecordedState::Queued(*ticket),
            Decision::Refuse(_) => RecordedState::Refused,
        };
        self.track(Attempt { service: service.clone(), deadline, recorded, rerun }, at);
    }

    fn next_attempt(
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
        let reason = if hedge { NextAttempt::Hedge } else { NextAttempt::Retry };
        let Some(target) = table.next_attempt(reason, &tried, at, &mut self.rng) else { return };
        let rerun = self.check_admission(number, service, &Admission::Run(target), None, at);
        let recorded = RecordedState::Running(upstream.clone());
        self.track(Attempt { service: service.clone(), deadline: None, recorded, rerun }, at);
    }

    /// Keeps an attempt, or ends it at once if the recorded run refused the request.
    fn track(&mut self, attempt: Attempt, at: Time) {
        match (&attempt.recorded, attempt.rerun) {
            (_, RerunState::Refused) if attempt.recorded == RecordedState::Refused => {}
            (RecordedState::Refused, _) => self.end_attempt(&attempt, None, at),
            _ => self.attempts.push(attempt),
        }
    }

    /// Applies the recorded run's decision on a queued request.
    fn apply_recorded_release(&mut self, service: &str, ticket: Ticket, decision: &Decision) {
        let is_match =
            |a: &Attempt| *a.service == *service && a.recorded == RecordedState::Queued(ticket);
        let Some(i) = self.attempts.iter().position(is_match) else { return };
        self.attempts[i].recorded = match decision {
            Decision::Run(upstream) => RecordedState::Running(upstream.clone()),
            Decision::Wait(ticket) => RecordedState::Queued(*ticket),
            Decision::Refuse(_) => RecordedState::Refused,
        };
    }

    /// Removes a queued request, or ends its attempt if the rerun sent it.
    fn abandon(&mut self, number: usize, service: &str, ticket: Ticket, at: Time) {
        let is_match =
            |a: &Attempt| *a.service == *service && a.recorded == RecordedState::Queued(ticket);
        let Some(i) = self.attempts.iter().position(is_match) else { return };
        let attempt = self.attempts.remove(i);
        self.end_attempt(&attempt, None, at);
        self.release(number, service, at);
    }

    /// Ends the attempt that corresponds to a recorded one.
    fn finish_attempt(
        &mut self,
        number: usize,
        service: &str,
        upstream: &str,
        report: &AttemptReport,
        at: Time,
    ) {
        self.set_last_report(service, upstream, report);
        let is_match = |a: &Attempt| {
            *a.service == *service
                && matches!(&a.recorded, RecordedState::Running(u) if **u == *upstream)
        };
        if let Some(i) = self.attempts.iter().position(is_match) {
            let attempt = self.attempts.remove(i);
            self.end_attempt(&attempt, Some(report), at);
        }
        self.release(number, service, at);
    }

    fn finish_probe(&mut self, service: &str, upstream: &str, report: &AttemptReport, at: Time) {
        self.set_last_report(service, upstream, report);
        self.leaving.finish_probe(service, upstream, report, at);
        let Some(table) = self.tables.service(service) else { return };
        let id = table.rows().iter().find(|r| *r.name == *upstream).map(|r| r.id);
        if let Some(id) = id {
            table.finish_probe(id, report, at);
        }
    }

    /// Runs the periodic work, and checks the probes that it decides on.
    fn tick(&mut self, number: usize, at: Time) {
        let output = self.tables.tick(at, &mut self.rng, |_, _| true);
        for (service, ticket, admission) in output.released {
            self.apply_rerun_release(number, &service, ticket, &admission, at);
        }
        for (service, target) in output.probes {
            let burst = self.header.limits.probe_burst;
            if let Some(detail) = self.probe_budgets.count_probe(&service.name, burst, at) {
                self.breach(
                    number,
                    Invariant::ProbeBudget,
                    format!("{detail}, the last one at {}", target.name),
                );
            }
        }
        self.end_refused(at);
    }

    /// Lets the decision library admit or refuse queued requests of a service.
    fn release(&mut self, number: usize, service: &str, at: Time) {
        let Some(table) = self.tables.service(service) else { return };
        for (ticket, admission) in table.release(at, &mut self.rng) {
            self.apply_rerun_release(number, service, ticket, &admission, at);
        }
    }

    /// Applies the rerun's decision on a queued request.
    fn apply_rerun_release(
        &mut self,
        number: usize,
        service: &str,
        ticket: Ticket,
        admission: &Admission,
        at: Time,
    ) {
        let is_match =
            |a: &Attempt| *a.service == *service && a.rerun == RerunState::Queued(ticket);
        let found = self.attempts.iter().position(is_match);
        let deadline = found.and_then(|i| self.attempts[i].deadline);
        let rerun = self.check_admission(number, service, admission, deadline, at);
        match (found, rerun) {
            (Some(i), _) => self.attempts[i].rerun = rerun,
            (None, RerunState::Running(id)) => self.end_running(service, id, None, at),
            (None, _) => {}
        }
    }

    /// Ends the attempts whose requests the recorded run refused after a wait, except those that
    /// still wait in the rerun.
    fn end_refused(&mut self, at: Time) {
        let (refused, open) = std::mem::take(&mut self.attempts).into_iter().partition(|a| {
            a.recorded == RecordedState::Refused && !matches!(a.rerun, RerunState::Queued(_))
        });
        self.attempts = open;
        let refused: Vec<Attempt> = refused;
        refused.iter().for_each(|a| self.end_attempt(a, None, at));
    }

    /// Ends an attempt or removes a queued request in the rerun.
    fn end_attempt(&mut self, attempt: &Attempt, report: Option<&AttemptReport>, at: Time) {
        match attempt.rerun {
            RerunState::Running(id) => self.end_running(&attempt.service, id, report, at),
            RerunState::Queued(ticket) => {
                if let Some(table) = self.tables.service(&attempt.service) {
                    table.abandon_request(ticket);
                }
            }
            RerunState::Refused => {}
        }
    }

    /// Ends a running attempt in the rerun. The result is that of the upstream's last recorded
    /// attempt or probe; without one it is `report`, and without that a cancellation.
    fn end_running(
        &mut self,
        service: &str,
        id: UpstreamId,
        report: Option<&AttemptReport>,
        at: Time,
    ) {
        let Some(table) = self.tables.service(service) else { return };
        let Some(row) = table.rows().iter().find(|r| r.id == id) else { return };
        let last = self
            .last_reports
            .binary_search_by(|r| (&*r.service, &*r.upstream).cmp(&(service, &*row.name)));
        let last = last.ok().map(|i| self.last_reports[i].report);
        let name = row.name.clone();
        let report = last.or(report.copied()).unwrap_or(CANCELLED_REPORT);
        self.leaving.finish_attempt(service, &name, &report, at);
        table.finish_attempt(id, &report, at);
    }

    /// Keeps the result of a recorded attempt or probe at an upstream.
    fn set_last_report(&mut self, service: &str, upstream: &str, report: &AttemptReport) {
        let key = (service, upstream);
        match self.last_reports.binary_search_by(|r| (&*r.service, &*r.upstream).cmp(&key)) {
            Ok(i) => self.last_reports[i].report = *report,
            Err(i) => {
                let (service, upstream) = (service.into(), upstream.into());
                self.last_reports.insert(i, LastReport { service, upstream, report: *report });
            }
        }
    }

    /// Checks a decision of the rerun against the invariants, and returns the request's new state.
    fn check_admission(
        &mut self,
        number: usize,
        service: &str,
        admission: &Admission,
        deadline: Option<Time>,
        at: Time,
    ) -> RerunState {
        let target: &Target = match admission {
            Admission::Run(target) => target,
            Admission::Wait(ticket) => return RerunState::Queued(*ticket),
            Admission::Refuse(_) => return RerunState::Refused,
        };
        let bound = self.header.limits.leaving_bound();
        if let Some(detail) = self.leaving.check_new_work(service, &target.name, at, bound) {
            self.breach(number, Invariant::Leaving, detail);
        }
        if deadline.is_some_and(|d| at > d) {
            let detail = format!("{service} admitted a request after its deadline");
            self.breach(number, Invariant::Deadline, detail);
        }
        RerunState::Running(target.id)
    }

    fn breach(&mut self, number: usize, invariant: Invariant, detail: String) {
        self.breaches.push(Breach::new(number, invariant, detail));
    }
}

/// The result of an attempt for which there is no recorded one.
const CANCELLED_REPORT: AttemptReport = AttemptReport {
    outcome: crate::decide::upstream::UpstreamOutcome::Cancelled,
    latency: std::time::Duration::ZERO,
    load: None,
    draining: false,
};
