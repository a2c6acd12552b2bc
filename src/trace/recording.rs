//! The check of a recorded run against the invariants.

use std::sync::Arc;
use std::time::Duration;

use crate::decide::catalog::{OfferOutcome, Record};
use crate::error::Outcome;
use crate::event::{Event, EventCode};
use crate::time::Time;
use crate::trace::budget::ProbeBudgets;
use crate::trace::leaving::LeavingTracker;
use crate::trace::{Breach, Decision, Entry, Header, Invariant, Line, Trace};

/// Checks the recorded run against the invariants, and returns the breaches in order of line.
pub fn check_recording(trace: &Trace) -> Vec<Breach> {
    let mut check = RecordingCheck::new(&trace.header);
    trace.numbered().for_each(|(number, line)| check.check_line(number, line));
    check.check_end(trace.lines.len());
    check.breaches.sort_by_key(|b| b.line);
    check.breaches
}

/// A request, as the trace shows it.
#[derive(Debug)]
struct Request {
    id: Arc<str>,
    /// The number of times that it was accepted.
    accepted: u32,
    /// The line of the last acceptance; 0 if there is none.
    accepted_line: usize,
    deadline: Option<Time>,
    /// The number of final responses to its caller.
    responses: u32,
    /// The number of times that upstreams ran it.
    runs: u32,
}

/// The state of a run as of the line read last, and the breaches up to it.
#[derive(Debug)]
struct RecordingCheck<'a> {
    header: &'a Header,
    leaving: LeavingTracker,
    probe_budgets: ProbeBudgets,
    /// The records in force, sorted by kind and name.
    in_force: Vec<&'a Record>,
    /// Sorted by id.
    requests: Vec<Request>,
    /// The callers' results with their line numbers. They are checked at the end, because the runs
    /// at the upstreams may follow them in the trace.
    caller_results: Vec<(usize, &'a Entry)>,
    breaches: Vec<Breach>,
}

impl<'a> RecordingCheck<'a> {
    fn new(header: &'a Header) -> RecordingCheck<'a> {
        RecordingCheck {
            header,
            leaving: LeavingTracker::default(),
            probe_budgets: ProbeBudgets::default(),
            in_force: Vec::new(),
            requests: Vec::new(),
            caller_results: Vec::new(),
            breaches: Vec::new(),
        }
    }

    fn check_line(&mut self, number: usize, line: &'a Line) {
        let at = line.at;
        match &line.entry {
            Entry::Offer { record, offered: OfferOutcome::InForce } => {
                self.check_version(number, record)
            }
            Entry::Put { service } => {
                let fleet_size = f64::from(self.header.host.fleet_size_max.max(1));
                let rate = service.measure.probes_per_second / fleet_size;
                self.probe_budgets.set_rate(&service.name, rate, at);
                self.leaving.set_upstreams(&service.name, &service.upstreams, at);
            }
            Entry::State { service, upstream, state } => {
                self.leaving.set_state(service, upstream, *state, at);
            }
            Entry::Import { host, shared } => self.leaving.import(host, shared, at),
            Entry::Forget { host } => self.leaving.forget_peer(host),
            Entry::Admit { service, request, decision } => {
                if matches!(decision, Decision::Run(_)) && at > request.deadline {
                    let late = at.since(request.deadline);
                    self.breach(
                        number,
                        Invariant::Deadline,
                        format!("admitted {late:?} after its deadline"),
                    );
                }
                self.check_new_work(number, service, decision, at);
            }
            Entry::Release { service, decision, .. } => {
                self.check_new_work(number, service, decision, at)
            }
            Entry::NextAttempt { service, upstream: Some(upstream), .. } => {
                self.check_new_work(number, service, &Decision::Run(upstream.clone()), at);
            }
            Entry::DrainStarted { service, upstream } => {
                self.leaving.announce(service, upstream, at)
            }
            Entry::Finish { service, upstream, report } => {
                self.leaving.finish_attempt(service, upstream, report, at);
            }
            Entry::Probed { service, upstream, report } => {
                self.leaving.finish_probe(service, upstream, report, at);
            }
            Entry::Tick { probes } => {
                for probe in probes {
                    let burst = self.header.limits.probe_burst;
                    let detail = self.probe_budgets.count_probe(&probe.service, burst, at);
                    self.breach_if(number, Invariant::ProbeBudget, detail);
                }
            }
            Entry::Event(event) => self.check_event(number, event, at),
            Entry::Dropped { count } => {
                self.breach(number, Invariant::Complete, format!("{count} entries were lost"));
            }
            Entry::UpstreamRuns { request, times, .. } => {
                let entry = self.request(request);
                entry.runs = entry.runs.saturating_add(*times);
            }
            Entry::CallerResult { .. } => self.caller_results.push((number, &line.entry)),
            _ => {}
        }
    }

    /// Checks that a record that came into force is newer than the one before.
    fn check_version(&mut self, number: usize, record: &'a Record) {
        let key = (record.kind(), &*record.name);
        match self.in_force.binary_search_by_key(&key, |r| (r.kind(), &*r.name)) {
            Ok(i) => {
                let old = std::mem::replace(&mut self.in_force[i], record);
                if old.precedence() >= record.precedence() {
                    let (from, to) = (old.version, record.version);
                    let detail = format!("{}/{} went from version {from} to {to}", key.0, key.1);
                    self.breach(number, Invariant::Version, detail);
                }
            }
            Err(i) => self.in_force.insert(i, record),
        }
    }

    /// Checks that the upstream that a request is sent to may get new work.
    fn check_new_work(&mut self, number: usize, service: &str, decision: &Decision, at: Time) {
        let Decision::Run(upstream) = decision else { return };
        let bound = self.header.limits.leaving_bound();
        let detail = self.leaving.check_new_work(service, upstream, at, bound);
        self.breach_if(number, Invariant::Leaving, detail);
    }

    /// Counts a request's acceptance or response, and checks that no attempt is sent after the
    /// deadline.
    fn check_event(&mut self, number: usize, event: &Event, at: Time) {
        let (Some(code), Some(id)) = (EventCode::from_number(event.code), &event.subject.request)
        else {
            return;
        };
        let slack = self.header.limits.clock_slack();
        let request = self.request(id);
        match code {
            EventCode::Accepted => {
                request.accepted += 1;
                request.accepted_line = number;
                request.deadline = event.value.map(|ms| at + Duration::from_millis(ms));
            }
            EventCode::Sent => {
                let late = request.deadline.map(|d| at.since(d + slack)).filter(|d| !d.is_zero());
                let detail =
                    late.map(|d| format!("request {id} was sent {d:?} after its deadline"));
                self.breach_if(number, Invariant::Deadline, detail);
            }
            EventCode::CallerAnswered => request.responses += 1,
            _ => {}
        }
    }

    /// Checks the invariants that depend on the whole trace. `last` is the number of its last line.
    fn check_end(&mut self, last: usize) {
        for (number, entry) in std::mem::take(&mut self.caller_results) {
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
                let detail =
                    format!("request {request} ran {runs} times although its outcome is not-run");
                self.breach(number, Invariant::NotRun, detail);
            }
        }
        for request in std::mem::take(&mut self.requests) {
            if request.accepted > 0 && request.responses != request.accepted {
                let Request { id, accepted, responses, .. } = request;
                let detail =
                    format!("request {id}: accepted {accepted} times, answered {responses} times");
                self.breach(
                    if request.accepted_line > 0 { request.accepted_line } else { last },
                    Invariant::OneResponse,
                    detail,
                );
            }
        }
    }

    /// Returns the entry of a request; adds one if there is none.
    fn request(&mut self, id: &Arc<str>) -> &mut Request {
        let found = self.requests.binary_search_by(|r| r.id.cmp(id));
        let i = found.unwrap_or_else(|i| {
            let id = id.clone();
            let request = Request {
                id,
                accepted: 0,
                accepted_line: 0,
                deadline: None,
                responses: 0,
                runs: 0,
            };
            self.requests.insert(i, request);
            i
        });
        &mut self.requests[i]
    }

    fn breach_if(&mut self, number: usize, invariant: Invariant, detail: Option<String>) {
        if let Some(detail) = detail {
            self.breach(number, invariant, detail);
        }
    }

    fn breach(&mut self, number: usize, invariant: Invariant, detail: String) {
        self.breaches.push(Breach::new(number, invariant, detail));
    }
}
