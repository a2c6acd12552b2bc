//! Holds what a recorded run did against the stated outcomes.

use std::sync::Arc;
use std::time::Duration;

use crate::decide::catalog::{OfferOutcome, Record};
use crate::error::Outcome;
use crate::event::{Event, EventCode};
use crate::time::Time;
use crate::trace::leaving::Leaving;
use crate::trace::probing::Probing;
use crate::trace::{Breach, Decision, Entry, Header, Invariant, Line, Trace};

/// Returns each stated outcome that the recorded run does not meet, in order of line.
pub fn check_recording(trace: &Trace) -> Vec<Breach> {
    let mut run = Run::new(&trace.header);
    trace.numbered().for_each(|(number, line)| run.take(number, line));
    run.end(trace.lines.len());
    run.breaches.sort_by_key(|b| b.line);
    run.breaches
}

/// What is known of a request.
#[derive(Debug)]
struct Request {
    id: Arc<str>,
    accepted: u32,
    line: usize,
    deadline: Option<Time>,
    answers: u32,
    runs: u32,
}

/// What is known of a run, up to a line.
#[derive(Debug)]
struct Run<'a> {
    header: &'a Header,
    leaving: Leaving,
    probing: Probing,
    in_force: Vec<&'a Record>,
    requests: Vec<Request>,
    told: Vec<(usize, &'a Entry)>,
    breaches: Vec<Breach>,
}

impl<'a> Run<'a> {
    fn new(header: &'a Header) -> Run<'a> {
        Run {
            header,
            leaving: Leaving::default(),
            probing: Probing::default(),
            in_force: Vec::new(),
            requests: Vec::new(),
            told: Vec::new(),
            breaches: Vec::new(),
        }
    }

    fn take(&mut self, number: usize, line: &'a Line) {
        let at = line.at;
        match &line.entry {
            Entry::Offer { record, offered: OfferOutcome::InForce } => {
                self.in_force(number, record)
            }
            Entry::Put { service } => {
                let fleet = f64::from(self.header.host.fleet_size_max.max(1));
                let rate = service.measure.probes_per_second / fleet;
                self.probing.set_rate(&service.name, rate, at);
                self.leaving.set_upstreams(&service.name, &service.upstreams, at);
            }
            Entry::State { service, upstream, state } => {
                self.leaving.set_state(service, upstream, *state, at);
            }
            Entry::Import { host, shared } => self.leaving.import(host, shared, at),
            Entry::Forget { host } => self.leaving.forget(host),
            Entry::Admit { service, request, decision } => {
                if matches!(decision, Decision::Run(_)) && at > request.deadline {
                    let late = at.since(request.deadline);
                    self.breach(number, Invariant::Deadline, format!("admitted {late:?} late"));
                }
                self.work(number, service, decision, at);
            }
            Entry::Release { service, decision, .. } => self.work(number, service, decision, at),
            Entry::NextAttempt { service, upstream: Some(upstream), .. } => {
                self.work(number, service, &Decision::Run(upstream.clone()), at);
            }
            Entry::DrainStarted { service, upstream } => self.leaving.begin(service, upstream, at),
            Entry::Finish { service, upstream, report } => {
                self.leaving.finish(service, upstream, report, at);
            }
            Entry::Probed { service, upstream, report } => {
                self.leaving.probed(service, upstream, report, at);
            }
            Entry::Tick { probes } => {
                for probe in probes {
                    let burst = self.header.limits.probe_burst;
                    let fault = self.probing.fault(&probe.service, burst, at);
                    self.breach_if(number, Invariant::ProbeBudget, fault);
                }
            }
            Entry::Event(event) => self.event(number, event, at),
            Entry::Lost { count } => {
                self.breach(number, Invariant::Complete, format!("{count} entries were lost"));
            }
            Entry::UpstreamRuns { request, times, .. } => {
                let row = self.request(request);
                row.runs = row.runs.saturating_add(*times);
            }
            Entry::CallerResult { .. } => self.told.push((number, &line.entry)),
            _ => {}
        }
    }

    fn in_force(&mut self, number: usize, record: &'a Record) {
        let key = (record.kind(), &*record.name);
        match self.in_force.binary_search_by_key(&key, |r| (r.kind(), &*r.name)) {
            Ok(i) => {
                let old = std::mem::replace(&mut self.in_force[i], record);
                if old.precedence() >= record.precedence() {
                    let (from, to) = (old.version, record.version);
                    let detail = format!("{}/{} went from {from} to {to}", key.0, key.1);
                    self.breach(number, Invariant::Version, detail);
                }
            }
            Err(i) => self.in_force.insert(i, record),
        }
    }

    /// Checks that an upstream may get new work.
    fn work(&mut self, number: usize, service: &str, decision: &Decision, at: Time) {
        let Decision::Run(upstream) = decision else { return };
        let bound = self.header.limits.leaving();
        let fault = self.leaving.fault(service, upstream, at, bound);
        self.breach_if(number, Invariant::Leaving, fault);
    }

    fn event(&mut self, number: usize, event: &Event, at: Time) {
        let (Some(code), Some(id)) = (EventCode::from_number(event.code), &event.subject.request)
        else {
            return;
        };
        let slack = self.header.limits.clock_slack();
        let row = self.request(id);
        match code {
            EventCode::Accepted => {
                row.accepted += 1;
                row.line = number;
                row.deadline = event.value.map(|ms| at + Duration::from_millis(ms));
            }
            EventCode::Sent => {
                let late = row.deadline.map(|d| at.since(d + slack)).filter(|d| !d.is_zero());
                let fault = late.map(|d| format!("request {id} was sent {d:?} late"));
                self.breach_if(number, Invariant::Deadline, fault);
            }
            EventCode::CallerAnswered => row.answers += 1,
            _ => {}
        }
    }

    /// Checks what can only be known at the end.
    fn end(&mut self, last: usize) {
        for (number, entry) in std::mem::take(&mut self.told) {
            let Entry::CallerResult { request, idempotent, outcome, .. } = entry else { continue };
            let runs = self.request(request).runs;
            if !idempotent && runs > self.header.limits.runs_max {
                self.breach(
                    number,
                    Invariant::AtMostOnce,
                    format!("request {request} ran {runs} times"),
                );
            }
            if *outcome == Outcome::NotRun && runs > 0 {
                let detail = format!("request {request} ran {runs} times and was called not run");
                self.breach(number, Invariant::NotRun, detail);
            }
        }
        for row in std::mem::take(&mut self.requests) {
            if row.accepted > 0 && row.answers != row.accepted {
                let Request { id, accepted, answers, .. } = row;
                let detail = format!("request {id}: {accepted} accepted, {answers} answered");
                self.breach(
                    if row.line > 0 { row.line } else { last },
                    Invariant::OneAnswer,
                    detail,
                );
            }
        }
    }

    fn request(&mut self, id: &Arc<str>) -> &mut Request {
        let found = self.requests.binary_search_by(|r| r.id.cmp(id));
        let at = found.unwrap_or_else(|at| {
            let id = id.clone();
            let row = Request { id, accepted: 0, line: 0, deadline: None, answers: 0, runs: 0 };
            self.requests.insert(at, row);
            at
        });
        &mut self.requests[at]
    }

    fn breach_if(&mut self, number: usize, invariant: Invariant, fault: Option<String>) {
        if let Some(detail) = fault {
            self.breach(number, invariant, detail);
        }
    }

    fn breach(&mut self, number: usize, invariant: Invariant, detail: String) {
        self.breaches.push(Breach::new(number, invariant, detail));
    }
}
