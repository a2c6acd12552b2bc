//! The one place where the tables' decisions meet the parts that carry them out.
//!
//! Every call into the tables goes through here, so that the lock is held for one decision and a
//! recorder sees all that goes in and comes out.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;

use crate::config::Service;
use crate::decide::admission::{Admission, Request, Target, Ticket};
use crate::decide::service::{NextAttempt, ServiceTable};
use crate::decide::tick::TickOutput;
use crate::decide::upstream::{AttemptReport, Occupancy, UpstreamId, UpstreamOutcome};
use crate::entry::waiting::Waiter;
use crate::error::Code;
use crate::event::Subject;
use crate::node::Node;
use crate::time::Time;
use crate::trace::{Entry, Probe};

/// The decision on a new request, or the promise of one.
#[derive(Debug)]
pub(crate) enum Dispatch {
    /// It runs now.
    Run(Target),
    /// It waits for the decision.
    Wait(Waiter),
    /// It is refused.
    Refuse(crate::decide::admission::Refusal),
}

impl Node {
    /// Decides on a new request of a service.
    ///
    /// # Errors
    ///
    /// [`Code::NoService`] if the service has gone.
    pub(crate) fn admit(
        self: &Arc<Node>,
        service: &Arc<str>,
        req: &Request,
    ) -> Result<Dispatch, Code> {
        let now = self.clock.now();
        let mut tables = self.tables.lock();
        let table = tables.service(service).ok_or(Code::NoService)?;
        let admission = table.admit(req, now, &mut rand::rng());
        self.recorder.record_at(now, || Entry::admit(service, req, &admission));
        let admitted = match admission {
            Admission::Run(target) => Dispatch::Run(target),
            Admission::Refuse(refusal) => Dispatch::Refuse(refusal),
            Admission::Wait(ticket) => {
                let rx = self.waiting.register(service, ticket);
                Dispatch::Wait(Waiter::new(self, service, ticket, rx))
            }
        };
        let released = match table.has_evicted_requests() {
            true => self.release(service, table, now),
            false => Vec::new(),
        };
        drop(tables);
        self.deliver_all(service, released);
        Ok(admitted)
    }

    /// Decides on another attempt.
    pub(crate) fn admit_attempt(
        &self,
        service: &str,
        req: &Request,
        why: NextAttempt,
        tried: &[UpstreamId],
    ) -> Option<Target> {
        let now = self.clock.now();
        let mut tables = self.tables.lock();
        let table = tables.service(service)?;
        let target = table.next_attempt_for(req, why, tried, now, &mut rand::rng());
        let upstream = target.as_ref().map(|t| t.name.clone());
        self.recorder.record_at(now, || Entry::next_attempt(table, why, tried, upstream));
        target
    }

    /// Tells whether the retry budget of a service allows another attempt at present.
    pub(crate) fn may_retry(&self, service: &str) -> bool {
        let now = self.clock.now();
        self.tables.lock().service(service).is_some_and(|t| t.may_retry(now))
    }

    /// Returns the time after which a hedge beside an attempt at an upstream is due.
    pub(crate) fn hedge_after(&self, service: &str, id: UpstreamId) -> Option<Duration> {
        let now = self.clock.now();
        self.tables.lock().service(service)?.hedge_delay(id, now)
    }

    /// Takes note of the end of an attempt, and hands the free slot on.
    pub(crate) fn finish_attempt(&self, service: &str, id: UpstreamId, report: &AttemptReport) {
        self.metrics.count_attempt(service, report.outcome);
        self.update(service, |table, now| {
            self.recorder.record_at(now, || Entry::finish(table, id, report));
            table.finish_attempt(id, report, now);
        });
    }

    /// Takes note of an upstream's occupancy.
    pub(crate) fn update_occupancy(&self, service: &str, id: UpstreamId, occupancy: &Occupancy) {
        let now = self.clock.now();
        let mut tables = self.tables.lock();
        let Some(table) = tables.service(service) else { return };
        self.recorder.record_at(now, || Entry::occupancy_report(table, id, occupancy));
        table.update_occupancy(id, occupancy, now);
    }

    /// Returns the upstreams that a request may go to and of which too little is known.
    pub(crate) fn candidates(&self, service: &str) -> Vec<Target> {
        let now = self.clock.now();
        let mut tables = self.tables.lock();
        tables.service(service).map_or_else(Vec::new, |t| t.probe_candidates(now, &mut rand::rng()))
    }

    /// Takes note of a probe's result.
    pub(crate) fn finish_probe(&self, service: &str, id: UpstreamId, report: &AttemptReport) {
        self.metrics.count_probe(service, report.outcome);
        self.update(service, |table, now| {
            self.recorder.record_at(now, || Entry::probed(table, id, report));
            table.finish_probe(id, report, now);
        });
    }

    /// Forgets a request that waits.
    pub(crate) fn abandon_request(&self, service: &str, ticket: Ticket) {
        self.update(service, |table, now| {
            let service = table.cfg().name.clone();
            self.recorder.record_at(now, || Entry::Abandon { service, ticket });
            table.abandon_request(ticket);
        });
        self.waiting.forget(service, ticket);
    }

    /// Runs the systems over the tables, hands out decisions, and returns the probes to send.
    pub(crate) fn tick(&self, rng: &mut SmallRng) -> Vec<(Arc<Service>, Target)> {
        let now = self.clock.now();
        let ticked = {
            let members = self.members.lock();
            let owned = |service: &str, upstream: &str| {
                members.owns(&format!("probe/{service}/{upstream}"), now)
            };
            let mut tables = self.tables.lock();
            let others = members.alive(now).count();
            self.set_live_peers(&mut tables, u32::try_from(others).unwrap_or(u32::MAX));
            let ticked = tables.tick(now, rng, owned);
            self.record_tick(&ticked, now);
            ticked
        };
        for (service, changed) in ticked.changes {
            let upstream = Some(changed.upstream);
            let subject = Subject { service: Some(service), upstream, ..Subject::default() };
            self.events.record(changed.code, subject, None);
        }
        for (service, ticket, admission) in ticked.released {
            self.deliver(&service, ticket, admission);
        }
        ticked.probes
    }

    fn update(&self, service: &str, change: impl FnOnce(&mut ServiceTable, Time)) {
        let now = self.clock.now();
        let released = {
            let mut tables = self.tables.lock();
            let Some(table) = tables.service(service) else { return };
            change(table, now);
            self.release(service, table, now)
        };
        self.deliver_all(service, released);
    }

    fn release(
        &self,
        service: &str,
        table: &mut ServiceTable,
        now: Time,
    ) -> Vec<(Ticket, Admission)> {
        let released = table.release(now, &mut rand::rng());
        for (ticket, admission) in &released {
            self.recorder.record_at(now, || Entry::release(service, *ticket, admission));
        }
        released
    }

    fn deliver_all(&self, service: &str, released: Vec<(Ticket, Admission)>) {
        for (ticket, admission) in released {
            self.deliver(service, ticket, admission);
        }
    }

    /// Gives back a slot that was decided on and not taken up.
    pub(crate) fn cancel_attempt(&self, service: &str, target: &Target) {
        let ended = UpstreamOutcome::Cancelled;
        let report =
            AttemptReport { outcome: ended, latency: Duration::ZERO, load: None, draining: false };
        self.finish_attempt(service, target.id, &report);
    }

    fn record_tick(&self, ticked: &TickOutput, now: Time) {
        let probe = |(service, target): &(Arc<Service>, Target)| Probe {
            service: service.name.clone(),
            upstream: target.name.clone(),
        };
        let probes = || ticked.probes.iter().map(probe).collect();
        self.recorder.record_at(now, || Entry::Tick { probes: probes() });
        for (service, ticket, admission) in &ticked.released {
            self.recorder.record_at(now, || Entry::release(service, *ticket, admission));
        }
    }

    /// Hands a decision to the request that waits for it, or gives its slot back.
    fn deliver(&self, service: &str, ticket: Ticket, admission: Admission) {
        if let Some(Admission::Run(target)) = self.waiting.deliver(service, ticket, admission) {
            self.cancel_attempt(service, &target);
        }
    }
}
