//! What all parts of one daemon share: settings, clocks, tables, records, members and events.

use std::sync::Arc;

use parking_lot::{Mutex, RwLock};
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::claim::Claims;
use crate::decide::catalog::{Body, Catalog, OfferOutcome, Record, RecordKind};
use crate::decide::digest::Version;
use crate::decide::hosts::{Host, HostList};
use crate::decide::matching::Routes;
use crate::decide::member::{MemberChange, MemberState, Members};
use crate::decide::pause::{PauseDetector, RESYNC_TIMEOUT};
use crate::decide::service::HostInfo;
use crate::decide::tick::ServiceTables;
use crate::entry::waiting::WaitingRequests;
use crate::event::{EventCode, RingBuffer, Subject};
use crate::forward::memory::MemoryBudget;
use crate::forward::pool::Pool;
use crate::hlc::Hlc;
use crate::metrics::Metrics;
use crate::peer::feed::ChangeFeed;
use crate::registry::RegistryFreshness;
use crate::request_log::LogLimiter;
use crate::settings::Settings;
use crate::store::client::Client;
use crate::time::Clock;
use crate::trace::Entry as TraceEntry;
use crate::trace::recorder::Recorder;
use crate::{header, platform};

/// Where a host is between start and exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// It has not yet learnt the newest records.
    Starting,
    /// It serves.
    Ready,
    /// It fails its readiness check and still serves.
    Draining,
    /// It accepts no more and finishes what is in flight.
    Stopping,
}

/// The shared state of one daemon.
///
/// Locks are held for one decision and never across an await. Whoever needs two takes `catalog`
/// before `hosts` before `members` before `tables`.
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
    /// The newest host list.
    pub(crate) host_list: Mutex<HostList>,
    /// The entry hosts that are registered in the deployment platform's store.
    pub(crate) entry_hosts: Mutex<Vec<Arc<Host>>>,
    /// The key-value service; absent for a host that runs on its settings file alone.
    pub(crate) platform: Option<Arc<Client>>,
    /// The claims on idempotency keys; absent without a key-value service.
    pub(crate) claims: Option<Claims>,
    /// Signals that the process was paused and has to hear of the newest records.
    pub(crate) resync_needed: Arc<Notify>,
    pub(crate) pool: Pool,
    pub(crate) memory: MemoryBudget,
    pub(crate) pause_detector: Mutex<PauseDetector>,
    /// How old this host's knowledge of the registry is.
    pub(crate) registry_freshness: RegistryFreshness,
    /// The names of the header fields that callers and upstreams use.
    pub(crate) header_names: header::FieldNames,
    /// What requests may log.
    pub(crate) log_limiter: Mutex<LogLimiter>,
    /// The newest settings that were read. What of them takes effect without a start is taken from
    /// here.
    latest_settings: RwLock<Arc<Settings>>,
    resynced: Notify,
    routes: RwLock<Arc<Routes>>,
    phase: watch::Sender<Phase>,
}

impl Node {
    /// Makes the state of a daemon that has just started, with the records of its settings.
    pub(crate) fn new(settings: Settings) -> Arc<Node> {
        let hlc = Arc::new(Hlc::default());
        let facts = HostInfo {
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
        let count = || metrics.call_counter();
        let claims = platform.map(|cfg| Claims::connect(cfg, &settings.host, count()));
        let platform = platform.map(|cfg| Arc::new(Client::connect(cfg, count())));
        let node = Node {
            clock,
            events: Arc::new(RingBuffer::new(settings.limits.events, hlc.clone())),
            metrics,
            recorder,
            catalog: Mutex::default(),
            members: Mutex::new(Members::new(facts.host.clone(), facts.data_centre.clone())),
            tables: Mutex::new(ServiceTables::new(facts)),
            waiting: WaitingRequests::default(),
            hlc,
            change_feed: ChangeFeed::default(),
            host_list: Mutex::default(),
            entry_hosts: Mutex::default(),
            platform,
            claims,
            resync_needed: Arc::default(),
            pool: Pool::default(),
            memory: MemoryBudget::new(settings.limits.body_bytes),
            pause_detector: Mutex::default(),
            registry_freshness: RegistryFreshness::default(),
            header_names: match settings.registry {
                Some(_) => platform::headers::names(),
                None => header::FieldNames::default(),
            },
            log_limiter: Mutex::new(LogLimiter::new(clock.now())),
            latest_settings: RwLock::new(Arc::new(settings.clone())),
            resynced: Notify::new(),
            routes: RwLock::default(),
            phase: watch::Sender::new(Phase::Starting),
            settings,
        };
        node.record_events();
        node.members.lock().set_listed(&node.settings.peers, node.clock.now());
        node.offer(node.inline_records());
        Arc::new(node)
    }

    /// Offers records to the catalog and puts the newer ones into force. Returns what became of
    /// each, in order.
    pub(crate) fn offer(&self, records: Vec<Record>) -> Vec<OfferOutcome> {
        let mut catalog = self.catalog.lock();
        let offered: Vec<OfferOutcome> =
            records.iter().map(|r| self.offer_one(&mut catalog, r.clone())).collect();
        if offered.contains(&OfferOutcome::InForce) {
            let mut routes = Routes::new(&catalog.services(), &catalog.profiles());
            if let Some(routing) = catalog.routing() {
                routes = routes.with_routing(routing, rand::random());
            }
            *self.routes.write() = Arc::new(routes);
        }
        let in_force = |(record, offered): (&Record, &OfferOutcome)| {
            record.kind() == RecordKind::Host && *offered == OfferOutcome::InForce
        };
        let hosts_changed = records.iter().zip(&offered).any(in_force);
        drop(catalog);
        if hosts_changed {
            self.apply_host_records();
        }
        offered
    }

    /// Returns the routes in force.
    pub(crate) fn routes(&self) -> Arc<Routes> {
        self.routes.read().clone()
    }

    /// Returns the newest settings.
    pub(crate) fn latest_settings(&self) -> Arc<Settings> {
        self.latest_settings.read().clone()
    }

    /// Takes newer settings: budgets and seeds take effect at once, all else at the next start.
    pub(crate) fn reload(&self, settings: Settings) {
        let old = self.latest_settings();
        if *old == settings {
            return;
        }
        let same_start = Settings {
            registry: old.registry.clone(),
            seeds: old.seeds.clone(),
            ..settings.clone()
        };
        if same_start != *old {
            log::warn!("settings: some of the changes take effect at the next start");
        }
        *self.latest_settings.write() = Arc::new(settings);
        self.apply_budgets();
        self.events.record(EventCode::Reloaded, Subject::default(), None);
    }

    /// Returns where the host is between start and exit.
    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Moves on to a later phase. A host never goes back to an earlier one.
    pub(crate) fn enter(&self, phase: Phase) {
        self.phase.send_if_modified(|p| {
            let later = phase > *p;
            *p = phase.max(*p);
            later
        });
        if phase >= Phase::Draining {
            self.members.lock().leave();
            self.change_feed.notify();
        }
    }

    /// Completes when the host has reached a phase.
    pub(crate) async fn wait_for_phase(&self, phase: Phase) {
        let mut rx = self.phase.subscribe();
        let _ = rx.wait_for(|p| *p >= phase).await;
    }

    /// Waits until the records are current: at once, unless the process was paused and has not
    /// resynchronised. Gives up after [`RESYNC_TIMEOUT`].
    pub(crate) async fn wait_until_current(&self) {
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

    /// Takes note that the newest records were heard of after the pause numbered `pauses`.
    pub(crate) fn mark_resynced(&self, pauses: u64) {
        self.pause_detector.lock().mark_resynced(pauses);
        self.resynced.notify_waiters();
    }

    /// Detects a pause of the process, and moves members between states.
    pub(crate) fn update_members(&self) {
        let now = self.clock.now();
        let pauses = {
            let mut pause = self.pause_detector.lock();
            pause.tick(now).then(|| pause.pause_count())
        };
        if let Some(pauses) = pauses {
            self.events.record(EventCode::Paused, Subject::default(), Some(pauses));
            self.members.lock().reset_view(now);
            self.resync_needed.notify_one();
            let alone = self.settings.platform.is_none() && self.settings.registry.is_none();
            if alone && self.members.lock().members().is_empty() {
                self.mark_resynced(pauses);
            }
        }
        let changes = self.members.lock().tick(now);
        for change in changes {
            self.member_changed(&change);
        }
    }

    fn member_changed(&self, change: &MemberChange) {
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

    fn offer_one(&self, catalog: &mut Catalog, record: Record) -> OfferOutcome {
        let offered = catalog.offer(record.clone());
        let code = match offered {
            OfferOutcome::InForce => EventCode::InForce,
            OfferOutcome::Older => EventCode::StaleVersion,
            OfferOutcome::Same | OfferOutcome::Unreadable => return offered,
        };
        let name = format!("{}/{}", record.kind(), record.name);
        let subject = Subject { record: Some(name.into()), ..Subject::default() };
        self.events.record(code, subject, Some(record.version));
        self.recorder.record(|| TraceEntry::Offer { record: record.clone(), offered });
        if offered == OfferOutcome::InForce {
            let (kind, name) = (record.kind(), record.name.clone());
            self.change_feed.publish(Version { kind, name, version: record.version });
            self.apply_record(&record);
        }
        offered
    }

    fn inline_records(&self) -> Vec<Record> {
        let record = |name: &Arc<str>, body: Body| Record {
            name: name.clone(),
            version: 0,
            change: "settings".into(),
            author: self.settings.host.clone(),
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
