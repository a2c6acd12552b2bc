//! Connects the decisions of the service tables with the code that carries them out.
//!
//! All calls into the tables go through this module. It holds their lock for one decision at a
//! time, and records the input and output of each decision for traces.

mod warmup;

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;

use crate::config::Service;
use crate::decide::admission::{Admission, Request, Target, Ticket};
use crate::decide::digest::UpstreamName;
use crate::decide::limit::{LimitChange, LimitObservation};
use crate::decide::peer_search::PeerSearch;
use crate::decide::retry::RetryUsage;
use crate::decide::service::{NextAttempt, ServiceTable};
use crate::decide::tick::TickOutput;
use crate::decide::upstream::{AttemptReport, Occupancy, UpstreamId, UpstreamOutcome};
use crate::decide::working_set::WorkingSet;
use crate::entry::waiting::Waiter;
use crate::error::Code;
use crate::event::{EventCode, Subject};
use crate::node::Node;
use crate::time::{CLOCK_START, Time};
use crate::trace::{Entry, Probe};

/// The time after the start of the process after which a host that knows no peers owns rate limits by
/// itself, though its settings name seeds.
const LONE_AFTER: Duration = Duration::from_secs(10);

/// The action to take on a new request.
#[derive(Debug)]
pub(crate) enum Dispatch {
    /// Send it to this target now.
    Run(Target),
    /// Wait for the decision that the waiter will receive.
    Wait(Waiter),
    /// Refuse it.
    Refuse(crate::decide::admission::Refusal),
}

impl Node {
    /// Decides on a new request to a service.
    ///
    /// # Errors
    ///
    /// Returns [`Code::NoService`] if the service no longer exists.
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
        let dispatch = match admission {
            Admission::Run(target) => Dispatch::Run(target),
            Admission::Refuse(refusal) => {
                if table.is_held_by_warm_up(now) {
                    self.metrics.count_warm_up(service, false);
                }
                Dispatch::Refuse(refusal)
            }
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
        Ok(dispatch)
    }

    /// Chooses the target of a retry or hedge, if the retry budget permits one and an upstream is
    /// available.
    pub(crate) fn admit_attempt(
        &self,
        service: &str,
        req: &Request,
        reason: NextAttempt,
        tried: &[UpstreamId],
    ) -> Option<Target> {
        let now = self.clock.now();
        let mut tables = self.tables.lock();
        let table = tables.service(service)?;
        let target = table.next_attempt_for(req, reason, tried, now, &mut rand::rng());
        let upstream = target.as_ref().map(|t| t.name.clone());
        self.recorder.record_at(now, || Entry::next_attempt(table, reason, tried, upstream));
        target
    }

    /// Chooses another target for an attempt that was not sent, and ends that at the old one. Returns
    /// `None`, and leaves the attempt as it is, if no upstream is available.
    pub(crate) fn reassign_attempt(
        &self,
        service: &str,
        req: &Request,
        unsent: &Target,
    ) -> Option<Target> {
        let now = self.clock.now();
        let target = {
            let mut tables = self.tables.lock();
            let table = tables.service(service)?;
            let target = table.reassign(req, unsent.id, now, &mut rand::rng())?;
            let (reason, name) = (NextAttempt::Retry, Some(target.name.clone()));
            self.recorder.record_at(now, || Entry::next_attempt(table, reason, &[unsent.id], name));
            target
        };
        self.cancel_attempt(service, unsent);
        Some(target)
    }

    /// Returns whether the response to a request may still come before this host's process ends, if the
    /// request is sent to a target now.
    pub(crate) fn may_send(&self, service: &str, target: &Target, deadline: Time) -> bool {
        let expected = target.estimate.map_or(Duration::ZERO, |e| e.expected);
        let usual = self.tables.lock().service(service).map(|t| t.high_latency());
        self.may_finish(expected.max(usual.unwrap_or_default()), deadline)
    }

    /// Returns whether the retry budget of a service currently permits another attempt.
    pub(crate) fn may_retry(&self, service: &str) -> bool {
        let now = self.clock.now();
        self.tables.lock().service(service).is_some_and(|t| t.may_retry(now))
    }

    /// Returns whether no upstream of a service responds to this host.
    pub(crate) fn is_cut_off(&self, service: &str) -> bool {
        let now = self.clock.now();
        self.tables.lock().service(service).is_some_and(|t| t.is_cut_off(now))
    }

    /// Returns whether an upstream of a service has responded to this host a moment ago.
    pub(crate) fn is_reach_proven(&self, service: &str) -> bool {
        let now = self.clock.now();
        self.tables.lock().service(service).is_some_and(|t| t.is_reach_proven(now))
    }

    /// Returns a few upstreams of a service to probe, to find out whether this host reaches any.
    pub(crate) fn reach_probes(&self, service: &str) -> Vec<Target> {
        let now = self.clock.now();
        let mut tables = self.tables.lock();
        tables.service(service).map_or_else(Vec::new, |t| t.reach_probes(now, &mut rand::rng()))
    }

    /// Returns what the retry budget of a service has counted, if the service still exists.
    pub(crate) fn retry_usage(&self, service: &str) -> Option<RetryUsage> {
        let now = self.clock.now();
        self.tables.lock().service(service).map(|t| t.retry_usage(now))
    }

    /// Returns how long to wait for an attempt at an upstream before sending a hedge.
    pub(crate) fn hedge_delay(&self, service: &str, id: UpstreamId) -> Option<Duration> {
        let now = self.clock.now();
        self.tables.lock().service(service)?.hedge_delay(id, now)
    }

    /// Records the end of an attempt, and gives its slot to a queued request.
    pub(crate) fn finish_attempt(&self, service: &str, id: UpstreamId, report: &AttemptReport) {
        self.metrics.count_attempt(service, report.outcome);
        self.update(service, |table, now| {
            self.recorder.record_at(now, || Entry::finish(table, id, report));
            table.finish_attempt(id, report, now);
        });
    }

    /// Records the occupancy that an upstream reported.
    pub(crate) fn update_occupancy(&self, service: &str, id: UpstreamId, occupancy: &Occupancy) {
        let now = self.clock.now();
        let mut tables = self.tables.lock();
        let Some(table) = tables.service(service) else { return };
        self.recorder.record_at(now, || Entry::occupancy_report(table, id, occupancy));
        table.update_occupancy(id, occupancy, now);
    }

    /// Records that an upstream has asked this host to send it nothing for some time.
    pub(crate) fn pause_upstream(&self, service: &str, target: &Target, pause: Duration) {
        let now = self.clock.now();
        if let Some(table) = self.tables.lock().service(service) {
            self.recorder.record_at(now, || Entry::pause(table, target, pause));
            table.pause(target.id, pause, now);
        }
        let subject = Subject {
            service: Some(service.into()),
            upstream: Some(target.name.clone()),
            ..Subject::default()
        };
        let millis = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
        self.events.record(EventCode::UpstreamPaused, subject, Some(millis));
    }

    /// Records the rate limit in a response of an upstream to a request that was sent at `sent`, or
    /// that the response has none.
    pub(crate) fn observe_limit(
        &self,
        service: &str,
        target: &Target,
        per_second: Option<f64>,
        sent: Time,
    ) {
        let now = self.clock.now();
        let change = {
            let mut tables = self.tables.lock();
            let Some(table) = tables.service(service) else { return };
            table.observe_limit(target.id, per_second, sent, now)
        };
        if let Some(change) = change {
            self.record_limit_change(service, &target.name, change);
        }
    }

    /// Records what a peer has told of an upstream's rate limit.
    pub(crate) fn import_limit(&self, name: &UpstreamName, observation: &LimitObservation) {
        let change = self.tables.lock().import_limit(name, observation);
        if let Some(change) = change {
            self.record_limit_change(&name.service, &name.name, change);
        }
    }

    /// Records a change of a rate limit as an event, and tells the peers.
    fn record_limit_change(&self, service: &str, upstream: &Arc<str>, change: LimitChange) {
        let subject = Subject {
            service: Some(service.into()),
            upstream: Some(upstream.clone()),
            ..Subject::default()
        };
        match change {
            LimitChange::Named(rate) => {
                let per_1000_s = Some((rate * 1_000.0) as u64);
                self.events.record(EventCode::UpstreamLimited, subject, per_1000_s);
            }
            LimitChange::Ended => {
                self.events.record(EventCode::UpstreamUnlimited, subject, None);
            }
        }
        self.change_feed.notify();
    }

    /// Returns whether an upstream has named a rate limit.
    pub(crate) fn is_limited(&self, service: &str, id: UpstreamId) -> bool {
        self.tables.lock().service(service).is_some_and(|t| t.is_limited(id))
    }

    /// Returns whether the data centre of an upstream is evacuated.
    pub(crate) fn is_evacuated(&self, service: &str, id: UpstreamId) -> bool {
        let mut tables = self.tables.lock();
        !tables.evacuated().is_empty()
            && tables.service(service).is_some_and(|t| t.is_evacuated(id))
    }

    /// Returns the upstreams that the next request would probably go to and that have no fresh load
    /// report, within the probe budget.
    pub(crate) fn probe_candidates(&self, service: &str) -> Vec<Target> {
        let now = self.clock.now();
        let connected = self.settings.prefer_open_connections.then(|| self.pool.idle_addresses());
        let working_set = connected.as_deref().map(WorkingSet::new).unwrap_or_default();
        let mut tables = self.tables.lock();
        let Some(table) = tables.service(service) else { return Vec::new() };
        table.probe_candidates_in(working_set, now, &mut rand::rng())
    }

    /// Records the result of a probe.
    pub(crate) fn finish_probe(&self, service: &str, id: UpstreamId, report: &AttemptReport) {
        self.metrics.count_probe(service, report.outcome);
        self.update(service, |table, now| {
            self.recorder.record_at(now, || Entry::probed(table, id, report));
            table.finish_probe(id, report, now);
        });
    }

    /// Removes a queued request.
    pub(crate) fn abandon_request(&self, service: &str, ticket: Ticket) {
        self.update(service, |table, now| {
            let service = table.cfg().name.clone();
            self.recorder.record_at(now, || Entry::Abandon { service, ticket });
            table.abandon_request(ticket);
        });
        self.waiting.remove(service, ticket);
    }

    /// Runs the periodic work on the tables, delivers admission decisions, and returns the probes
    /// to send.
    pub(crate) fn tick(&self, rng: &mut SmallRng) -> Vec<(Arc<Service>, Target)> {
        let now = self.clock.now();
        let output = {
            let members = self.members.lock();
            let is_probe_owner = |service: &str, upstream: &str| {
                members.owns(&format!("probe/{service}/{upstream}"), now)
            };
            let mut tables = self.tables.lock();
            let may_have_peers = self.may_have_peers(now);
            let live_peers = members.alive(now).count();
            self.set_live_peers(&mut tables, u32::try_from(live_peers).unwrap_or(u32::MAX));
            if self.settings.registry.is_some()
                && let Some(known) = members.known_hosts(may_have_peers)
            {
                tables.set_known_hosts(u32::try_from(known).unwrap_or(u32::MAX));
            }
            let is_searching = self.is_looking_for_peers(now);
            tables.update_limits(now, |service, upstream, owners| {
                let duty = format!("limit/{service}/{upstream}");
                members.is_among_owners(&duty, owners, is_searching, now)
            });
            let known_hosts = members.known_hosts(may_have_peers).unwrap_or(1);
            tables.update_warm_up(known_hosts, now, |service, upstream, owners| {
                let duty = format!("warm-up/{service}/{upstream}");
                members.is_among_known_owners(&duty, owners, is_searching, now)
            });
            let output = tables.tick(now, rng, is_probe_owner);
            self.record_tick(&output, now);
            output
        };
        for (service, is_cut_off) in output.reach_changes {
            self.metrics.set_cut_off(&service, is_cut_off);
            let code = match is_cut_off {
                true => EventCode::UpstreamsUnreachable,
                false => EventCode::UpstreamsReachable,
            };
            let subject = Subject { service: Some(service), ..Subject::default() };
            self.events.record(code, subject, None);
        }
        for (service, change) in output.changes {
            let upstream = Some(change.upstream);
            let subject = Subject { service: Some(service), upstream, ..Subject::default() };
            self.events.record(change.code, subject, None);
        }
        for (service, ticket, admission) in output.released {
            self.deliver(&service, ticket, admission);
        }
        output.probes
    }

    /// Returns whether a host that knows no peers waits before it takes itself for the only one.
    pub(crate) fn is_looking_for_peers(&self, now: Time) -> bool {
        self.may_have_peers(now) && now.since(CLOCK_START) < LONE_AFTER
    }

    /// Returns whether there may be other hosts though none is known.
    fn may_have_peers(&self, now: Time) -> bool {
        let search = PeerSearch {
            has_seeds: !self.latest_settings().seeds.is_empty(),
            has_registry: self.settings.registry.is_some(),
            registered: *self.registered.lock(),
        };
        search.may_find_peers(now)
    }

    /// Applies a change to a service's table, and delivers the admission decisions that follow from
    /// it.
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

    /// Takes the admission decisions on queued requests that can be made now, and records them.
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

    /// Releases the slot of an attempt that was admitted but not started.
    pub(crate) fn cancel_attempt(&self, service: &str, target: &Target) {
        let outcome = UpstreamOutcome::Cancelled;
        let report =
            AttemptReport { outcome, latency: Duration::ZERO, load: None, draining: false };
        self.finish_attempt(service, target.id, &report);
    }

    fn record_tick(&self, output: &TickOutput, now: Time) {
        let probe = |(service, target): &(Arc<Service>, Target)| Probe {
            service: service.name.clone(),
            upstream: target.name.clone(),
        };
        let probes = || output.probes.iter().map(probe).collect();
        self.recorder.record_at(now, || Entry::Tick { probes: probes() });
        for (service, ticket, admission) in &output.released {
            self.recorder.record_at(now, || Entry::release(service, *ticket, admission));
        }
    }

    /// Delivers a decision to the request that waits for it. Releases the slot that the decision
    /// assigns if the request is gone.
    fn deliver(&self, service: &str, ticket: Ticket, admission: Admission) {
        if let Some(Admission::Run(target)) = self.waiting.deliver(service, ticket, admission) {
            self.cancel_attempt(service, &target);
        }
    }
}
