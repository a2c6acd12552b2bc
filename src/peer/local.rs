//! The state that all peer connections of this host share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use prometheus::IntCounter;

use crate::decide::digest::{CatalogSummary, RecordVersion, UpstreamName};
use crate::decide::fetch::PendingFetches;
use crate::decide::leaving::{LeavingObservation, LeavingObservations, OBSERVATION_AGE_MAX};
use crate::decide::limit::LimitObservation;
use crate::decide::member::{MemberState, Process, process_fingerprint};
use crate::decide::service::ServiceTable;
use crate::decide::upstream::UpstreamSummary;
use crate::node::{Node, Phase};
use crate::peer::allowance;
use crate::peer::traffic::TrafficBudget;
use crate::time::Time;

/// The number of random low bits of an incarnation. They distinguish processes started in the same
/// millisecond.
const TIE_BREAK_BITS: u32 = 10;

/// The time after which the heartbeat counter increases by one.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// The host name under which relayed observations of leaving upstreams enter the tables.
const RELAYED_HOST: &str = "(relayed)";

/// The age at which the cached upstream summaries are read from the tables again.
const SUMMARIES_AGE_MAX: Duration = Duration::from_millis(100);

/// The state of this host that its peer connections share.
pub(crate) struct LocalState {
    pub(crate) node: Arc<Node>,
    process: RefCell<Process>,
    pub(crate) traffic: TrafficBudget,
    /// The number of catalog comparisons in progress.
    pub(crate) comparisons: Cell<usize>,
    /// The versions being fetched from peers.
    pub(crate) fetches: RefCell<PendingFetches>,
    /// The versions fetched from peers that this release can't read.
    pub(crate) unreadable: RefCell<Vec<RecordVersion>>,
    /// Observations of leaving upstreams, from this host and its peers.
    pub(crate) observations: RefCell<LeavingObservations>,
    /// The connections to the owners of allowances.
    pub(crate) allowance_links: allowance::Links,
    /// Whether this host hears from so few of its neighbours that it is probably cut off.
    pub(crate) is_cut_off: Cell<bool>,
    /// Whether this host has heard from none of its neighbours for a moment.
    pub(crate) is_isolated: Cell<bool>,
    sent_bytes: IntCounter,
    received_bytes: IntCounter,
    /// The peers that have begun exchanges, with the time of the last one, sorted by name.
    incoming_exchanges: RefCell<Vec<(Arc<str>, Time)>>,
    /// The peers with which digests were exchanged, with the time of the last one, sorted by name.
    exchanges: RefCell<Vec<(Arc<str>, Time)>>,
    /// The cached upstream summaries, and when they were read.
    upstream_summaries: RefCell<Option<(Time, Rc<Vec<UpstreamSummary>>)>>,
    /// The cached catalog summary, and the sequence number of the change feed to which it belongs.
    catalog_summary: RefCell<Option<(u64, CatalogSummary)>>,
}

impl LocalState {
    /// Creates the state of a process that has just started and accepts peers on `address`.
    pub(crate) fn new(node: Arc<Node>, address: SocketAddr) -> LocalState {
        let now = node.clock.now();
        let process = Process {
            host: node.settings.host.clone(),
            data_centre: node.settings.data_centre.clone(),
            address,
            incarnation: new_incarnation(),
            link_mbps: node.settings.link_mbps(),
        };
        LocalState {
            process: RefCell::new(process),
            traffic: TrafficBudget::new(now),
            comparisons: Cell::default(),
            fetches: RefCell::default(),
            unreadable: RefCell::default(),
            observations: RefCell::default(),
            allowance_links: allowance::Links::default(),
            is_cut_off: Cell::default(),
            is_isolated: Cell::default(),
            sent_bytes: node.metrics.control_bytes("sent"),
            received_bytes: node.metrics.control_bytes("received"),
            incoming_exchanges: RefCell::default(),
            exchanges: RefCell::default(),
            upstream_summaries: RefCell::default(),
            catalog_summary: RefCell::default(),
            node,
        }
    }

    pub(crate) fn process(&self) -> Process {
        self.process.borrow().clone()
    }

    /// Raises this process's incarnation above `incarnation`, which peers remember of an earlier
    /// process of this host whose clock was ahead.
    pub(crate) fn raise_incarnation(&self, incarnation: u64) {
        let mut process = self.process.borrow_mut();
        process.incarnation = process.incarnation.max(incarnation.saturating_add(1));
        log::warn!("peers know a newer incarnation of host {:?}; incarnation raised", process.host);
    }

    /// Counts bytes sent to peers. Those of digests are charged to the traffic budget.
    pub(crate) fn count_sent(&self, bytes: usize, is_for_digests: bool) {
        self.sent_bytes.inc_by(bytes as u64);
        if is_for_digests {
            self.traffic.spend(bytes);
        }
    }

    /// Counts bytes received from peers. Those of digests are charged to the traffic budget.
    pub(crate) fn count_received(&self, bytes: usize, is_for_digests: bool) {
        self.received_bytes.inc_by(bytes as u64);
        if is_for_digests {
            self.traffic.spend(bytes);
        }
    }

    /// Returns this host's heartbeat counter. It starts at 1, since 0 stands for no heartbeat.
    pub(crate) fn heartbeat_counter(&self, now: Time) -> u32 {
        (now.as_micros() / HEARTBEAT_INTERVAL.as_micros() as u64) as u32 + 1
    }

    /// Returns a hash over all processes that this host knows, its own included.
    pub(crate) fn members_fingerprint(&self) -> u64 {
        let process = self.process.borrow();
        let left = self.node.phase() >= Phase::Draining;
        let own = process_fingerprint(&process.host, process.incarnation, left);
        own ^ self.node.members.lock().fingerprint()
    }

    /// Returns the summary of the records in force.
    pub(crate) fn catalog_summary(&self) -> CatalogSummary {
        let (newest, _) = self.node.change_feed.since(u64::MAX);
        let mut cached = self.catalog_summary.borrow_mut();
        match *cached {
            Some((seq, summary)) if seq == newest => summary,
            _ => cached.insert((newest, CatalogSummary::of(&self.node.catalog.lock()))).1,
        }
    }

    /// Returns the summaries of all upstreams, at most [`SUMMARIES_AGE_MAX`] old. Reading them from
    /// the tables also records which upstreams this host has observed to be leaving.
    pub(crate) fn upstream_summaries(&self, now: Time) -> Rc<Vec<UpstreamSummary>> {
        let mut cached = self.upstream_summaries.borrow_mut();
        match &*cached {
            Some((at, summaries)) if now.since(*at) < SUMMARIES_AGE_MAX => summaries.clone(),
            _ => {
                let tables = self.node.tables.lock();
                let services = tables.services();
                let summaries: Vec<UpstreamSummary> =
                    services.iter().flat_map(|s| s.export(now)).collect();
                let leaving = services.iter().flat_map(|s| {
                    let service = &s.cfg().name;
                    let with_service = |name: &Arc<str>| (service.clone(), name.clone());
                    s.observed_leaving().map(with_service)
                });
                let leaving: Vec<UpstreamName> =
                    leaving.map(|(service, name)| UpstreamName { service, name }).collect();
                drop(tables);
                self.observe_leaving(&leaving, now);
                cached.insert((now, Rc::new(summaries))).1.clone()
            }
        }
    }

    /// Returns what to tell peers of the rate limits of upstreams.
    pub(crate) fn limits(&self, now: Time) -> Vec<(UpstreamName, LimitObservation)> {
        let tables = self.node.tables.lock();
        let of_service = |table: &ServiceTable| {
            let service = table.cfg().name.clone();
            let name =
                |name: &Arc<str>| UpstreamName { service: service.clone(), name: name.clone() };
            table.limits(now).map(|(n, limit)| (name(n), limit)).collect::<Vec<_>>()
        };
        tables.services().iter().flat_map(of_service).collect()
    }

    /// Returns what to tell peers of cold upstreams.
    pub(crate) fn cold_upstreams(&self, now: Time) -> Vec<(UpstreamName, Duration)> {
        let tables = self.node.tables.lock();
        let of_service = |table: &ServiceTable| {
            let service = table.cfg().name.clone();
            let name =
                |name: &Arc<str>| UpstreamName { service: service.clone(), name: name.clone() };
            table.cold_upstreams(now).map(|(n, cold)| (name(n), cold)).collect::<Vec<_>>()
        };
        tables.services().iter().flat_map(of_service).collect()
    }

    /// Records which upstreams this host observes to be leaving. Withdraws the relayed observations
    /// of upstreams that no host has observed to be leaving for [`OBSERVATION_AGE_MAX`].
    pub(crate) fn update_observations(&self, now: Time) {
        self.upstream_summaries(now);
        let expired = self.observations.borrow_mut().expire(now);
        expired.iter().for_each(|name| self.set_relayed_leaving(name, false, now));
    }

    /// Withdraws the reports of peers that an upstream is leaving if no digest of the peer has come for
    /// so long that it would have been found dead: it is no longer a neighbour, and doesn't tell this
    /// host when the upstream is back. What dead peers have reported stays known. `started` is when
    /// this host started or last resumed from a pause.
    pub(crate) fn withdraw_lost_reports(&self, started: Time, now: Time) {
        let mut reports = self.leaving_reports();
        if reports.is_empty() {
            return;
        }
        let members = self.node.members.lock();
        let timeout = members.dead_after() + OBSERVATION_AGE_MAX;
        let is_lost = |peer: &str| {
            let last_digest = self.last_exchange(peer).unwrap_or_default().max(started);
            let is_dead = members.state(peer, now) == Some(MemberState::Dead);
            !is_dead && now.since(last_digest) >= timeout
        };
        reports.retain(|(peer, _)| is_lost(peer));
        drop(members);
        let mut tables = self.node.tables.lock();
        for (peer, name) in reports {
            let (service, upstream) = (name.service, name.name);
            let summary =
                UpstreamSummary { service, upstream, in_flight: 0, load: None, leaving: false };
            self.node.import_shared(&mut tables, &peer, &summary, now);
        }
    }

    /// Returns the upstreams that peers have reported as leaving, each with that peer. Relayed
    /// observations are left out.
    fn leaving_reports(&self) -> Vec<(Arc<str>, UpstreamName)> {
        let tables = self.node.tables.lock();
        let of_service = |table: &ServiceTable| {
            let service = table.cfg().name.clone();
            let name = |n: &Arc<str>| UpstreamName { service: service.clone(), name: n.clone() };
            let direct = table.leaving_reports().filter(|(peer, _)| ***peer != *RELAYED_HOST);
            direct.map(|(peer, upstream)| (peer.clone(), name(upstream))).collect::<Vec<_>>()
        };
        tables.services().iter().flat_map(of_service).collect()
    }

    /// Applies a peer's observation of a leaving upstream, unless it is too old.
    pub(crate) fn apply_observation(&self, observation: &LeavingObservation, now: Time) {
        if now.since(observation.at) >= OBSERVATION_AGE_MAX {
            return;
        }
        if self.observations.borrow_mut().observe(&observation.name, observation.at) {
            self.set_relayed_leaving(&observation.name, true, now);
            self.node.change_feed.notify();
        }
    }

    fn observe_leaving(&self, leaving: &[UpstreamName], now: Time) {
        let mut is_new = false;
        for name in leaving {
            is_new |= self.observations.borrow_mut().observe(name, now);
        }
        if is_new {
            self.node.change_feed.notify();
        }
    }

    fn set_relayed_leaving(&self, name: &UpstreamName, leaving: bool, now: Time) {
        let (service, upstream) = (name.service.clone(), name.name.clone());
        let summary = UpstreamSummary { service, upstream, in_flight: 0, load: None, leaving };
        self.node.import_shared(&mut self.node.tables.lock(), RELAYED_HOST, &summary, now);
    }

    /// Records an exchange that a peer has begun.
    pub(crate) fn record_incoming_exchange(&self, host: &Arc<str>, now: Time) {
        set_time(&mut self.incoming_exchanges.borrow_mut(), host, now);
        self.record_exchange(host, now);
    }

    /// Records an exchange of digests with a peer.
    pub(crate) fn record_exchange(&self, host: &Arc<str>, now: Time) {
        set_time(&mut self.exchanges.borrow_mut(), host, now);
    }

    /// Returns when a peer last began an exchange.
    pub(crate) fn last_incoming_exchange(&self, host: &str) -> Option<Time> {
        time_of(&self.incoming_exchanges.borrow(), host)
    }

    /// Returns when digests were last exchanged with a peer.
    pub(crate) fn last_exchange(&self, host: &str) -> Option<Time> {
        time_of(&self.exchanges.borrow(), host)
    }

    /// Forgets the exchanges with peers before `oldest`.
    pub(crate) fn forget_exchanges(&self, oldest: Time) {
        self.incoming_exchanges.borrow_mut().retain(|(_, at)| *at >= oldest);
        self.exchanges.borrow_mut().retain(|(_, at)| *at >= oldest);
    }
}

/// Sets the time of a host in a table sorted by name.
fn set_time(table: &mut Vec<(Arc<str>, Time)>, host: &Arc<str>, now: Time) {
    match table.binary_search_by(|(h, _)| h.cmp(host)) {
        Ok(at) => table[at].1 = now,
        Err(at) => table.insert(at, (host.clone(), now)),
    }
}

/// Returns the time of a host in a table sorted by name.
fn time_of(table: &[(Arc<str>, Time)], host: &str) -> Option<Time> {
    table.binary_search_by(|(h, _)| (**h).cmp(host)).ok().map(|at| table[at].1)
}

/// Returns the incarnation of a process that starts now: the milliseconds since the Unix epoch,
/// followed by [`TIE_BREAK_BITS`] random bits.
fn new_incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let millis = u64::try_from(since_epoch.as_millis()).unwrap_or(0);
    millis << TIE_BREAK_BITS | rand::random_range(0..1 << TIE_BREAK_BITS)
}
