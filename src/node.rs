//! The state that all parts of a daemon share: settings, clocks, tables, records, members and
//! events.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::claim::Claims;
use crate::config::{Priority, Service};
use crate::decide::catalog::{Body, Catalog, OfferOutcome, Record, RecordKind};
use crate::decide::digest::RecordVersion;
use crate::decide::evacuation::{EvacuationChange, EvacuationOrder, Evacuations};
use crate::decide::hosts::{Host, HostList};
use crate::decide::lateness::LateEvents;
use crate::decide::matching::Routes;
use crate::decide::member::{MemberChange, MemberState, Members};
use crate::decide::overload::{Loop, Overload, OverloadChange};
use crate::decide::pause::{PauseDetector, RESYNC_TIMEOUT};
use crate::decide::poison::PoisonRequests;
use crate::decide::reads::{AgeChange, CopyAge, ReadSchedule};
use crate::decide::relay::{RelayPeer, RelayPeers};
use crate::decide::roster::Roster;
use crate::decide::routes_change::RoutesHistory;
use crate::decide::service::HostInfo;
use crate::decide::stopping::StopWindow;
use crate::decide::tick::ServiceTables;
use crate::entry::allowance::Allowances;
use crate::entry::waiting::WaitingRequests;
use crate::error::Code;
use crate::event::{EventCode, RingBuffer, Subject};
use crate::forward::memory::MemoryBudget;
use crate::forward::pool::Pool;
use crate::hlc::Hlc;
use crate::metrics::Metrics;
use crate::peer::feed::ChangeFeed;
use crate::registry::RegistryFreshness;
use crate::request_log::LogLimiter;
use crate::settings::{DEFAULT_APPLY_S, Settings};
use crate::store::client::Client;
use crate::time::{Clock, Time};
use crate::trace::Entry as TraceEntry;
use crate::trace::recorder::Recorder;
use crate::{header, platform};

mod routes;

use routes::RoutesStep;

/// The number of records above which the first ones that a host loads are not named one by one in
/// its events.
const NAMED_RECORDS_MAX: usize = 32;

/// The phase of a host's life, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// It has not yet loaded the newest records.
    Starting,
    /// It serves requests.
    Ready,
    /// It fails its readiness check and still serves requests.
    Draining,
    /// It accepts no more requests and finishes those in flight.
    Stopping,
}

/// The shared state of one daemon.
///
/// Locks are held for one decision and never across an await. The lock order is `catalog`,
/// `poison_requests`, `host_list`, `members`, `roster`, `evacuations`, `tables`.
#[derive(derive_more::Debug)]
#[debug("node {}", settings.host)]
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) events: Arc<RingBuffer>,
    pub(crate) metrics: Metrics,
    pub(crate) recorder: Arc<Recorder>,
    pub(crate) catalog: Mutex<Catalog>,
    pub(crate) members: Mutex<Members>,
    pub(crate) tables: Mutex<ServiceTables>,
    pub(crate) waiting: WaitingRequests,
    pub(crate) hlc: Arc<Hlc>,
    pub(crate) change_feed: ChangeFeed,
    /// The host list in force.
    pub(crate) host_list: Mutex<HostList>,
    /// The entry hosts registered in the platform's registry.
    pub(crate) entry_hosts: Mutex<Vec<Arc<Host>>>,
    /// The records of the fleet in the platform's registry.
    pub(crate) roster: Mutex<Roster>,
    /// The client of the key-value service; `None` if the settings name none.
    pub(crate) kv_client: Option<Arc<Client>>,
    /// The claims on idempotency keys; `None` without a key-value service.
    pub(crate) claims: Option<Claims>,
    /// Notified when the process was paused and has to fetch the newest records.
    pub(crate) resync_needed: Arc<Notify>,
    /// When this host first registered as a contact for others.
    pub(crate) registered: Mutex<Option<Time>>,
    pub(crate) pool: Pool,
    pub(crate) memory: MemoryBudget,
    /// Requests under which upstreams have ended.
    pub(crate) poison_requests: Mutex<PoisonRequests>,
    /// The data centres whose upstreams get no new requests.
    pub(crate) evacuations: Mutex<Evacuations>,
    /// The peers that could not help with requests that this host passed on.
    pub(crate) relay_peers: Mutex<RelayPeers>,
    pub(crate) pause_detector: Mutex<PauseDetector>,
    /// The allowances of teams.
    pub(crate) allowances: Allowances,
    /// The age of this host's copy of the registry.
    pub(crate) registry_freshness: RegistryFreshness,
    copy_age: Mutex<CopyAge>,
    /// Until when a stopping host may finish requests; unset while it isn't, or if nothing ends it.
    stop_window: OnceLock<StopWindow>,
    /// The names of the header fields that callers and upstreams use.
    pub(crate) header_names: header::FieldNames,
    /// How late the loops run, and which requests are refused for it.
    pub(crate) overload: Mutex<Overload>,
    /// Which late turns of the loops that serve callers are recorded.
    pub(crate) late_caller_events: Mutex<LateEvents>,
    /// Limits the log output about requests.
    pub(crate) log_limiter: Mutex<LogLimiter>,
    /// The settings as last reloaded. Those that take effect without a restart are read from here.
    latest_settings: RwLock<Arc<Settings>>,
    /// Notified when the process has resynchronised after a pause.
    resynced: Notify,
    routes: RwLock<Arc<Routes>>,
    routes_history: Mutex<RoutesHistory>,
    phase: watch::Sender<Phase>,
}

impl Node {
    /// Creates the state of a daemon that has just started, with the records of its settings in
    /// force.
    pub(crate) fn new(settings: Settings) -> Arc<Node> {
        let hlc = Arc::new(Hlc::default());
        let host_info = HostInfo {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            fleet_size_max: settings.fleet_size_max,
            policy: settings.policy,
            waiting_max: settings.limits.waiting,
        };
        let clock = Clock::start();
        let recorder = Recorder::new(clock);
        let metrics = Metrics::default();
        let platform = settings.platform.as_ref();
        let call_counter = || metrics.call_counter();
        let claims = platform.map(|cfg| Claims::connect(cfg, &settings.host, call_counter()));
        let kv_client = platform.map(|cfg| Arc::new(Client::connect(cfg, call_counter())));
        let mut tables = ServiceTables::new(host_info.clone());
        tables.set_shedding(settings.limits.shedding);
        let node = Node {
            clock,
            events: Arc::new(RingBuffer::new(settings.limits.events, hlc.clone())),
            metrics,
            recorder,
            catalog: Mutex::default(),
            members: Mutex::new(
                Members::new(host_info.host.clone(), host_info.data_centre.clone())
                    .with_link(settings.link_mbps()),
            ),
            tables: Mutex::new(tables),
            waiting: WaitingRequests::default(),
            hlc,
            change_feed: ChangeFeed::default(),
            host_list: Mutex::default(),
            entry_hosts: Mutex::default(),
            roster: Mutex::default(),
            kv_client,
            claims,
            resync_needed: Arc::default(),
            registered: Mutex::default(),
            pool: Pool::default(),
            memory: MemoryBudget::new(settings.limits.body_bytes),
            poison_requests: Mutex::default(),
            evacuations: Mutex::default(),
            relay_peers: Mutex::default(),
            pause_detector: Mutex::default(),
            allowances: Allowances::new(settings.host.clone()),
            copy_age: Mutex::default(),
            registry_freshness: RegistryFreshness::new(ReadSchedule::new(apply_time(&settings))),
            stop_window: OnceLock::new(),
            header_names: match settings.registry {
                Some(_) => platform::headers::names(),
                None => header::FieldNames::default(),
            },
            overload: Mutex::default(),
            late_caller_events: Mutex::default(),
            log_limiter: Mutex::new(LogLimiter::new(clock.now())),
            latest_settings: RwLock::new(Arc::new(settings.clone())),
            resynced: Notify::new(),
            routes: RwLock::default(),
            routes_history: Mutex::default(),
            phase: watch::Sender::new(Phase::Starting),
            settings,
        };
        node.record_events();
        node.members.lock().reset_view(node.clock.now());
        node.members.lock().set_listed(&node.settings.peers, node.clock.now());
        node.offer(node.settings_records());
        Arc::new(node)
    }

    /// Offers records to the catalog and puts the newer ones into force. Returns the outcome of
    /// each, in order.
    pub(crate) fn offer(&self, records: Vec<Record>) -> Vec<OfferOutcome> {
        self.offer_from(None, records)
    }

    /// Offers records like [`Node::offer`]. `peer` is the host that they were fetched from, if they
    /// were.
    pub(crate) fn offer_from(
        &self,
        peer: Option<Arc<str>>,
        records: Vec<Record>,
    ) -> Vec<OfferOutcome> {
        let mut catalog = self.catalog.lock();
        let is_first_load = records.len() > NAMED_RECORDS_MAX && catalog.hosts().next().is_none();
        let outcomes: Vec<OfferOutcome> = records
            .iter()
            .map(|r| self.offer_one(&mut catalog, r, peer.as_ref(), !is_first_load, None))
            .collect();
        if is_first_load {
            let loaded = outcomes.iter().filter(|o| **o == OfferOutcome::InForce).count() as u64;
            self.events.record(EventCode::RecordsLoaded, Subject::default(), Some(loaded));
        }
        let in_force = |(record, outcome): (&Record, &OfferOutcome)| {
            (*outcome == OfferOutcome::InForce).then(|| record.kind())
        };
        let changed: Vec<RecordKind> = records.iter().zip(&outcomes).filter_map(in_force).collect();
        // Upstreams have no part in the matching of requests.
        if changed.iter().any(|kind| *kind != RecordKind::Host) {
            self.rebuild_routes(&catalog);
        }
        drop(catalog);
        if changed.contains(&RecordKind::Host) {
            self.apply_host_records();
        }
        outcomes
    }

    /// Chooses the peer to which a request is passed on.
    pub(crate) fn choose_relay_peer(&self, service: &str) -> Option<RelayPeer> {
        let now = self.clock.now();
        let members = self.members.lock();
        let mut peers = self.relay_peers.lock();
        peers.choose(service, members.alive(now), now, &mut rand::rng())
    }

    /// Records that a peer could not help with a request to a service.
    pub(crate) fn set_relay_unavailable(&self, service: &Arc<str>, host: &Arc<str>) {
        self.relay_peers.lock().set_unavailable(service, host, self.clock.now());
    }

    /// Records the era that a response of the registry states, or that a peer knows of. Returns the
    /// era to take the response for, or `None` if it is older than the newest one known.
    pub(crate) fn observe_registry_era(&self, stated: Option<u32>) -> Option<u32> {
        let Some(era) = stated else { return Some(self.registry_freshness.era()) };
        let before = self.registry_freshness.observe_era(era);
        if before < era && self.registry_freshness.as_of().is_some() {
            self.events.record(EventCode::RegistryRewound, Subject::default(), Some(era.into()));
        }
        (before <= era).then_some(era)
    }

    /// Records an order to evacuate a data centre, or that one was taken back. If it is news, applies
    /// it to the tables and tells the peers.
    pub(crate) fn observe_evacuation(&self, order: &EvacuationOrder) {
        let now = self.clock.now();
        let mut evacuations = self.evacuations.lock();
        let Some(change) = evacuations.observe(order, now) else { return };
        self.change_feed.notify();
        let code = match change {
            EvacuationChange::Began => EventCode::EvacuationBegan,
            EvacuationChange::Ended => EventCode::EvacuationEnded,
            EvacuationChange::Renewed => return,
        };
        let active = evacuations.active().map(|e| e.order.data_centre.clone()).collect();
        let mut tables = self.tables.lock();
        self.set_evacuated(&mut tables, active, now);
        if change == EvacuationChange::Ended {
            tables.distrust_warmth(&order.data_centre, now);
        }
        let rows = tables.services().iter().flat_map(|s| s.rows());
        let upstreams = rows.filter(|r| r.data_centre == order.data_centre).count() as u64;
        drop((tables, evacuations));
        let record = Some(format!("evacuation/{}", order.data_centre).into());
        self.events.record(code, Subject { record, ..Subject::default() }, Some(upstreams));
    }

    /// Returns the number of connections that this host may open to an upstream of a service: its
    /// equal share of those that the upstream accepts from the fleet.
    pub(crate) fn connections_max(&self, service: &Service) -> u32 {
        let hosts = self.tables.lock().fleet_size();
        (service.connections / hosts.max(1)).max(1)
    }

    /// Returns the settings as last reloaded.
    pub(crate) fn latest_settings(&self) -> Arc<Settings> {
        self.latest_settings.read().clone()
    }

    /// Applies reloaded settings. Budgets and seeds take effect at once, all others at the next
    /// start.
    pub(crate) fn reload(&self, settings: Settings) {
        let old = self.latest_settings();
        if *old == settings {
            return;
        }
        let without_live_changes = Settings {
            registry: old.registry.clone(),
            seeds: old.seeds.clone(),
            ..settings.clone()
        };
        if without_live_changes != *old {
            log::warn!("settings reloaded; some changes take effect only after a restart");
        }
        *self.latest_settings.write() = Arc::new(settings);
        self.apply_budgets();
        self.events.record(EventCode::Reloaded, Subject::default(), None);
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Enters a phase. Ignored if the host is already in a later one. A host that drains or stops
    /// gives up its duties and tells its peers.
    pub(crate) fn enter(&self, phase: Phase) {
        self.phase.send_if_modified(|p| {
            let is_later = phase > *p;
            *p = phase.max(*p);
            is_later
        });
        if phase >= Phase::Draining {
            if let Some(length) = self.settings.stop_s {
                let (began, length) = (self.clock.now(), Duration::from_secs_f64(length));
                self.stop_window.get_or_init(|| StopWindow::new(began, length));
            }
            self.members.lock().leave();
            self.change_feed.notify();
        }
    }

    /// Returns whether a request may be sent to an upstream whose response is expected to take `expected`:
    /// always, unless this host is stopping and its process may end before.
    pub(crate) fn may_finish(&self, expected: Duration, deadline: Time) -> bool {
        let now = self.clock.now();
        self.stop_window.get().is_none_or(|w| w.allows(expected, deadline, now))
    }

    /// Waits until the host has reached a phase or a later one.
    pub(crate) async fn wait_for_phase(&self, phase: Phase) {
        let mut rx = self.phase.subscribe();
        let _ = rx.wait_for(|p| *p >= phase).await;
    }

    /// Records that one of the process's loops runs, so that this isn't a pause.
    pub(crate) fn record_running(&self) {
        self.pause_detector.lock().record_running(self.clock.now());
    }

    /// Records how late a loop has run, and whether the host begins or ceases to refuse requests for it.
    pub(crate) fn observe_lateness(&self, by: Loop, late: Duration) {
        let now = self.clock.now();
        let change = self.overload.lock().observe(by, late, now);
        let (code, refused) = match change {
            Some(OverloadChange::Began) => (EventCode::OverloadBegan, None),
            Some(OverloadChange::Ended(refused)) => (EventCode::OverloadEnded, Some(refused)),
            None => return,
        };
        self.events.record(code, Subject::default(), refused);
    }

    /// Returns why a request is refused before anything is done for it, if it is: the host can't keep
    /// up, and refuses a part of the requests, or all of them if it has fallen so far behind that the
    /// routes in force may have been replaced.
    pub(crate) fn overload_refusal(&self, priority: Priority) -> Option<Code> {
        let now = self.clock.now();
        let mut overload = self.overload.lock();
        if overload.is_late(now) && self.is_copy_outdated(now) {
            return Some(Code::RoutesOutdated);
        }
        overload.refuses(priority, rand::random()).then_some(Code::HostOverloaded)
    }

    /// Returns whether this host's copy of the registry is older than the time in which a change must
    /// be in force.
    fn is_copy_outdated(&self, now: Time) -> bool {
        let freshness = &self.registry_freshness;
        freshness.as_of().is_some_and(|at| now.since(at) >= freshness.schedule.apply_time())
    }

    /// Waits until the records are current. Returns at once unless the process was paused and has
    /// not resynchronised, and at the latest after [`RESYNC_TIMEOUT`].
    pub(crate) async fn wait_until_current(&self) {
        self.record_running();
        let wait = async {
            while self.pause_detector.lock().is_stale(self.clock.now()) {
                let resynced = self.resynced.notified();
                if self.pause_detector.lock().is_stale(self.clock.now()) {
                    resynced.await;
                }
            }
        };
        let _ = tokio::time::timeout(RESYNC_TIMEOUT, wait).await;
    }

    /// Marks the records as current, see [`PauseDetector::mark_resynced`], and wakes the requests
    /// that wait for this.
    pub(crate) fn mark_resynced(&self, pauses: u64) {
        self.pause_detector.lock().mark_resynced(pauses);
        self.resynced.notify_waiters();
    }

    /// Records when this host's copy of the registry becomes older than the time in which a change
    /// must be in force, and when it is young enough again. Called at a fixed interval.
    pub(crate) fn check_copy_age(&self) {
        let Some(as_of) = self.registry_freshness.as_of() else { return };
        let age = self.clock.now().since(as_of);
        self.metrics.observe_registry_age(age);
        let limit = self.registry_freshness.schedule.apply_time();
        let change = self.copy_age.lock().observe(age, limit);
        let (code, age) = match change {
            Some(AgeChange::Outdated(age)) => (EventCode::CopyOutdated, age),
            Some(AgeChange::Current(age)) => (EventCode::CopyCurrent, age),
            None => return,
        };
        let age = u64::try_from(age.as_millis()).ok();
        self.events.record(code, Subject::default(), age);
    }

    /// Detects pauses of the process, and updates the states of the members. Called at a fixed
    /// interval.
    pub(crate) fn update_members(&self) {
        let now = self.clock.now();
        let pauses = {
            let mut detector = self.pause_detector.lock();
            detector.tick(now).then(|| detector.pause_count())
        };
        if pauses.is_none() {
            self.members.lock().keep_view(now);
        }
        if let Some(pauses) = pauses {
            self.events.record(EventCode::Paused, Subject::default(), Some(pauses));
            self.members.lock().reset_view(now);
            self.resync_needed.notify_one();
            // Without a store and peers, there is nothing to fetch newer records from.
            let has_no_store = self.settings.platform.is_none() && self.settings.registry.is_none();
            if has_no_store && self.members.lock().members().is_empty() {
                self.mark_resynced(pauses);
            }
        }
        let changes = self.members.lock().tick(now);
        for change in changes {
            self.handle_member_change(&change);
        }
    }

    fn handle_member_change(&self, change: &MemberChange) {
        let code = match change.state {
            MemberState::Unknown => return,
            MemberState::Alive => EventCode::PeerJoined,
            MemberState::Dead => EventCode::PeerDead,
            MemberState::Left => EventCode::PeerLeft,
        };
        let subject = Subject { peer: Some(change.host.clone()), ..Subject::default() };
        self.events.record(code, subject, None);
        if change.state == MemberState::Dead {
            self.forget_peer(&mut self.tables.lock(), &change.host);
        }
    }

    /// Offers a record to the catalog, and records the event if it is to be named.
    /// `step` is the change of the routes that made the record, if it came as one.
    fn offer_one(
        &self,
        catalog: &mut Catalog,
        record: &Record,
        peer: Option<&Arc<str>>,
        is_named: bool,
        step: Option<RoutesStep>,
    ) -> OfferOutcome {
        if self.settings.registry.is_some() && record.is_of_earlier_format() {
            return OfferOutcome::Unreadable;
        }
        let earlier = catalog.routing().cloned();
        let outcome = catalog.offer(record.clone());
        let code = match outcome {
            OfferOutcome::InForce => EventCode::InForce,
            OfferOutcome::Older => EventCode::StaleVersion,
            OfferOutcome::Same | OfferOutcome::Unreadable => return outcome,
        };
        if is_named {
            let name = format!("{}/{}", record.kind(), record.name);
            let subject = Subject {
                record: Some(name.into()),
                state: record.body.upstream_state().map(Into::into),
                peer: peer.cloned(),
                ..Subject::default()
            };
            self.events.record(code, subject, Some(record.version));
        }
        self.recorder
            .record(|| TraceEntry::Offer { record: record.without_keys(), offered: outcome });
        if outcome == OfferOutcome::InForce {
            let (kind, name) = (record.kind(), record.name.clone());
            self.change_feed.publish(RecordVersion { kind, name, version: record.version });
            self.apply_record(record);
            self.record_routes(record, earlier.as_deref(), step);
        }
        outcome
    }

    /// Returns the profiles and services of the settings as records of version 0.
    fn settings_records(&self) -> Vec<Record> {
        let record = |name: &Arc<str>, body: Body| Record {
            name: name.clone(),
            version: 0,
            change: "settings".into(),
            author: self.settings.host.clone(),
            revision: None,
            body,
        };
        let profiles = self.settings.profiles.iter();
        let services = self.settings.services.iter();
        profiles
            .map(|p| record(&p.name, Body::Profile(Arc::new(p.clone()))))
            .chain(services.map(|s| record(&s.name, Body::Service(Arc::new(s.clone())))))
            .collect()
    }
}

/// Returns the time within which a change of the registry must be in force on every host.
fn apply_time(settings: &Settings) -> Duration {
    let seconds = settings.registry.as_ref().map_or(DEFAULT_APPLY_S, |r| r.apply_s);
    Duration::from_secs_f64(seconds)
}
