//! Recording hooks: functions that change a daemon's state and record the change, and constructors
//! of the entries that describe decisions.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc::Receiver;

use crate::config::Service;
use crate::decide::admission::{Admission, Request, Target, Ticket};
use crate::decide::catalog::OfferOutcome;
use crate::decide::service::{NextAttempt, ServiceTable};
use crate::decide::tick::ServiceTables;
use crate::decide::upstream::{AttemptReport, Occupancy, State, UpstreamId, UpstreamSummary};
use crate::node::Node;
use crate::time::Time;
use crate::trace::{Decision, Entry, FORMAT, Header, InvariantLimits, Line, RecordedHost};

impl Node {
    /// Starts recording, with the header, the records in force and the tables as the first entries.
    /// Returns `None` if the trace has a reader already.
    pub(crate) fn start_recording(&self) -> Option<Receiver<Line>> {
        let catalog = self.catalog.lock();
        let tables = self.tables.lock();
        let rx = self.recorder.start()?;
        self.recorder.record(|| Entry::Header(self.trace_header()));
        for record in catalog.records() {
            let (record, offered) = (record.without_keys(), OfferOutcome::InForce);
            self.recorder.record(|| Entry::Offer { record, offered });
        }
        tables.services().iter().for_each(|table| self.record_table(table));
        if !tables.evacuated().is_empty() {
            let data_centres = || tables.evacuated().to_vec();
            self.recorder.record(|| Entry::Evacuated { data_centres: data_centres() });
        }
        Some(rx)
    }

    /// Creates or updates a service's table, and records it.
    pub(crate) fn put_table(&self, tables: &mut ServiceTables, service: Arc<Service>, now: Time) {
        self.recorder.record_at(now, || Entry::Put { service: service.clone() });
        tables.put(service, now);
    }

    /// Sets an upstream's state from the host list, and records it.
    pub(crate) fn set_state(&self, table: &mut ServiceTable, name: &str, state: State, now: Time) {
        let service = || table.cfg().name.clone();
        self.recorder.record_at(now, || Entry::State {
            service: service(),
            upstream: name.into(),
            state,
        });
        table.set_state(name, state, now);
    }

    /// Imports a peer's data about an upstream, and records it. Data about an unknown service is
    /// ignored.
    pub(crate) fn import_shared(
        &self,
        tables: &mut ServiceTables,
        host: &str,
        shared: &UpstreamSummary,
        now: Time,
    ) {
        let Some(table) = tables.service(&shared.service) else { return };
        let entry = || Entry::Import { host: host.into(), shared: shared.clone() };
        self.recorder.record_at(now, entry);
        table.import(host, shared, now);
    }

    /// Drops all data that a peer had shared, and records that.
    pub(crate) fn forget_peer(&self, tables: &mut ServiceTables, host: &Arc<str>) {
        self.recorder.record(|| Entry::Forget { host: host.clone() });
        tables.forget_peer(host);
    }

    /// Sets which data centres are evacuated, and records it.
    pub(crate) fn set_evacuated(
        &self,
        tables: &mut ServiceTables,
        data_centres: Vec<Arc<str>>,
        now: Time,
    ) {
        let recorded = || data_centres.clone();
        self.recorder.record_at(now, || Entry::Evacuated { data_centres: recorded() });
        tables.set_evacuated(data_centres, now);
    }

    /// Sets the number of other entry hosts that are alive, and records it if it changed.
    pub(crate) fn set_live_peers(&self, tables: &mut ServiceTables, others: u32) {
        if tables.live_peers() != others {
            self.recorder.record(|| Entry::LivePeers { others });
            tables.set_live_peers(others);
        }
    }

    /// Records the daemon's events from now on, while the trace has a reader.
    pub(crate) fn record_events(&self) {
        let recorder = self.recorder.clone();
        self.events.set_observer(move |event| recorder.record(|| Entry::Event(event.clone())));
    }

    fn trace_header(&self) -> Header {
        let host = RecordedHost {
            host: self.settings.host.clone(),
            data_centre: self.settings.data_centre.clone(),
            fleet_size_max: self.settings.fleet_size_max,
            policy: self.settings.policy,
            waiting_max: self.settings.limits.waiting,
            shedding: self.settings.limits.shedding,
        };
        Header { format: FORMAT, host, limits: InvariantLimits::default() }
    }

    /// Records a table and its upstreams in the state `leaving`; the others have the initial state
    /// `live`.
    fn record_table(&self, table: &ServiceTable) {
        let service = &table.cfg().name;
        self.recorder.record(|| Entry::Put { service: table.cfg().clone() });
        for row in table.rows().iter().filter(|r| r.state == State::Leaving) {
            let (service, upstream) = (service.clone(), row.name.clone());
            self.recorder.record(|| Entry::State { service, upstream, state: State::Leaving });
        }
    }
}

impl Entry {
    /// Returns the entry for a new request's admission.
    pub(crate) fn admit(service: &Arc<str>, request: &Request, admission: &Admission) -> Entry {
        Entry::Admit { service: service.clone(), request: *request, decision: admission.into() }
    }

    /// Returns the entry for a retry or a hedge; `upstream` is the chosen one, if any.
    pub(crate) fn next_attempt(
        table: &ServiceTable,
        reason: NextAttempt,
        tried: &[UpstreamId],
        upstream: Option<Arc<str>>,
    ) -> Entry {
        Entry::NextAttempt {
            service: table.cfg().name.clone(),
            hedge: reason == NextAttempt::Hedge,
            tried: tried.iter().map(|id| upstream_name(table, *id)).collect(),
            upstream,
        }
    }

    /// Returns the entry for the decision on a queued request.
    pub(crate) fn release(service: &str, ticket: Ticket, admission: &Admission) -> Entry {
        Entry::Release { service: service.into(), ticket, decision: Decision::from(admission) }
    }

    /// Returns the entry for the end of an attempt.
    pub(crate) fn finish(table: &ServiceTable, id: UpstreamId, report: &AttemptReport) -> Entry {
        let service = table.cfg().name.clone();
        Entry::Finish { service, upstream: upstream_name(table, id), report: *report }
    }

    /// Returns the entry for an upstream's occupancy report.
    pub(crate) fn occupancy_report(
        table: &ServiceTable,
        id: UpstreamId,
        occupancy: &Occupancy,
    ) -> Entry {
        let service = table.cfg().name.clone();
        Entry::OccupancyReport {
            service,
            upstream: upstream_name(table, id),
            occupancy: *occupancy,
        }
    }

    /// Returns the entry for a pause that an upstream asked for.
    pub(crate) fn pause(table: &ServiceTable, target: &Target, pause: Duration) -> Entry {
        let millis = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
        Entry::Pause { service: table.cfg().name.clone(), upstream: target.name.clone(), millis }
    }

    /// Returns the entry for the end of a probe.
    pub(crate) fn probed(table: &ServiceTable, id: UpstreamId, report: &AttemptReport) -> Entry {
        let service = table.cfg().name.clone();
        Entry::Probed { service, upstream: upstream_name(table, id), report: *report }
    }
}

/// Returns an upstream's name, or a placeholder if the table no longer has it.
fn upstream_name(table: &ServiceTable, id: UpstreamId) -> Arc<str> {
    let row = table.rows().iter().find(|r| r.id == id);
    row.map_or_else(|| format!("upstream {id}").into(), |r| r.name.clone())
}
