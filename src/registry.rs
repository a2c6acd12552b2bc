//! Follows the platform's store: the operator's config, the upstreams, and the other entry hosts.
//!
//! One host of the fleet reads what has changed twice a second and the others hear of it by digest.
//! A host whose knowledge is older than [`AGE_MAX`], whatever the reason, reads for itself. So the
//! age of what any host knows is bounded without anybody having to notice that the reader is gone.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep};

use crate::decide::catalog::{Body, Record, RecordKind};
use crate::decide::hosts::{Host, Role};
use crate::decide::lapse::MissingRegistrations;
use crate::decide::upstream::State;
use crate::event::{EventCode, Subject};
use crate::node::{Node, Phase};
use crate::platform::{Change, Client, Items, WatchResponse, config, registration};
use crate::settings;
use crate::store::backoff::Backoff;
use crate::store::call::{CallError, LeaseId};
use crate::time::Time;

/// The duty of reading what has changed.
const READ_DUTY: &str = "registry";
/// Time between two reads of the host that reads.
const READ_INTERVAL: Duration = Duration::from_millis(600);
/// The age of its knowledge at which any other host reads: the platform's bounds are 2 s, of which a
/// slow store's answer takes a quarter second.
const AGE_MAX: Duration = Duration::from_millis(1_500);
/// The age of its knowledge up to which a host can tell that there is no such route: [`AGE_MAX`] and
/// the time that a slow store takes to answer.
const ROUTES_AGE_MAX: Duration = Duration::from_millis(2_000);
/// Part of [`AGE_MAX`] from which a host may read before the others do, so that one of those that
/// wait for a reader is first and the others hear of its read.
const AGE_SPREAD: f64 = 0.6;
/// Time since its own last read from which a host reads everything: the changes since then would
/// be more than that.
const CHANGES_MAX_AGE: Duration = Duration::from_secs(3);
/// The longest pause between two reads that fail, for a host alone: with a slow answer it stays
/// within 2 s.
const FAILED_PAUSE_MAX: Duration = Duration::from_millis(800);
/// Reads a second that the hosts of a fleet make together while reads fail. The first one that
/// succeeds spreads to all.
const FAILED_READS_PER_SECOND: f64 = 25.0;
/// The longest pause between two reads that fail in a large fleet: a host that has lost its peers
/// meanwhile goes without news for so long.
const FAILED_PAUSE_SHARED_MAX: Duration = Duration::from_millis(2_000);
/// The longest pause between two renewals that fail: a registration outlasts several of them.
const FAILED_RENEWAL_PAUSE: Duration = Duration::from_secs(5);
/// Time for which a host that starts waits for its first read, which may show a registration that an
/// earlier process of the host has left.
const FIRST_READ_MAX: Duration = Duration::from_secs(1);
/// Everything under this prefix is read: config, upstreams and entry hosts.
const EVERYTHING: &str = "";
/// Where entry hosts register, below the settings' prefix.
const HOSTS: &str = "hosts/";
/// The time for which a host's registration lasts.
const LEASE: Duration = Duration::from_secs(30);
/// Time between two renewals of it.
const RENEWAL: Duration = Duration::from_secs(10);
/// Time between two looks at whether a host that starts is ready.
const READY_CHECK: Duration = Duration::from_millis(50);
/// Time for which a host that can't read the store waits for peers' records before it is ready with
/// those of one peer.
const PEER_PATIENCE: Duration = Duration::from_secs(1);

/// How old this host's knowledge of the store is.
#[derive(Debug, Default)]
pub(crate) struct RegistryFreshness {
    /// The time up to which every change is known; zero before the first read.
    as_of: watch::Sender<Time>,
}

impl RegistryFreshness {
    /// Returns the time up to which every change is known.
    pub(crate) fn as_of(&self) -> Option<Time> {
        let as_of = *self.as_of.borrow();
        (as_of > Time::ZERO).then_some(as_of)
    }

    /// Tells whether no change of the routes can be older than the time that one takes to spread.
    pub(crate) fn is_current(&self, now: Time) -> bool {
        self.as_of().is_some_and(|at| now.since(at) < ROUTES_AGE_MAX)
    }

    /// Notes that every change up to a time is known.
    pub(crate) fn advance_to(&self, at: Time) {
        self.as_of.send_if_modified(|as_of| {
            let is_newer = at > *as_of;
            *as_of = at.max(*as_of);
            is_newer
        });
    }

    /// Returns a receiver of the time up to which every change is known.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Time> {
        self.as_of.subscribe()
    }
}

/// Follows the store for the life of the process. Returns at once if the settings name none.
pub(crate) async fn run(node: Arc<Node>) {
    let Some(cfg) = node.settings.registry.clone() else { return };
    let calls = node.metrics.call_counter();
    let client = Client::connect(cfg.address, cfg.calls_per_second, calls);
    let (found, left) = oneshot::channel();
    let mut follower = Follower::new(&node, &cfg, &client, found);
    tokio::join!(register(&node, &cfg, &client, left), follower.run());
}

/// Returns the key under which a host registers.
fn registration_key(cfg: &settings::Registry, host: &str) -> String {
    format!("{}{HOSTS}{host}", cfg.prefix)
}

/// Keeps this host's registration, by which others find it. One that an earlier process of the host
/// has left is taken over.
async fn register(
    node: &Arc<Node>,
    cfg: &settings::Registry,
    client: &Client,
    left: oneshot::Receiver<Option<Change>>,
) {
    let Some(peer) = node.settings.peer else { return };
    let host = Host {
        name: node.settings.host.clone(),
        address: node.settings.caller,
        data_centre: node.settings.data_centre.clone(),
        role: Role::Entry,
        service: None,
        state: State::Live,
        slots: 0,
        peer: Some(peer),
        admin: Some(node.settings.admin),
    };
    let key = registration_key(cfg, &host.name);
    let value = serde_json::to_vec(&host).expect("plain data");
    let (mut rng, mut backoff) = (SmallRng::from_os_rng(), Backoff::default());
    let mut lease = match tokio::time::timeout(FIRST_READ_MAX, left).await {
        Ok(Ok(Some(own))) if own.value.as_ref() == Some(&value) => own.lease,
        _ => None,
    };
    loop {
        let pause = match renew(client, &key, &value, lease).await {
            Ok(Some(renewed)) => {
                lease = Some(renewed);
                backoff.reset();
                RENEWAL
            }
            Ok(None) => {
                log::info!("registration: the lease has ended and is granted anew");
                lease = None;
                backoff.next_delay(&mut rng)
            }
            Err(e) => {
                log::debug!("registration: {e}");
                match lease {
                    Some(_) => FAILED_RENEWAL_PAUSE.mul_f64(rng.random_range(0.5..=1.0)),
                    None => backoff.next_delay(&mut rng).max(shared_pause(node, &mut rng)),
                }
            }
        };
        sleep(pause).await;
    }
}

/// Renews a registration, or makes one. Returns the lease under which it stands, if it does.
async fn renew(
    client: &Client,
    key: &str,
    value: &[u8],
    lease: Option<LeaseId>,
) -> Result<Option<LeaseId>, CallError> {
    if let Some(lease) = lease {
        return Ok(client.renew(lease).await?.then_some(lease));
    }
    let lease = client.grant(LEASE).await?;
    Ok(client.put(key, value, lease).await?.then_some(lease))
}

struct Follower<'a> {
    node: &'a Arc<Node>,
    client: &'a Client,
    hosts_prefix: String,
    /// The registered entry hosts with the revisions of their entries, sorted by name.
    entry_hosts: Vec<(Arc<Host>, u64)>,
    missing_registrations: MissingRegistrations,
    /// Takes this host's own registration as the first read shows it.
    own: Option<oneshot::Sender<Option<Change>>>,
    own_key: String,
    /// The age of its knowledge at which this host reads if no other has.
    age_max: Duration,
    rng: SmallRng,
    backoff: Backoff,
    /// The revision up to which changes were read, and when.
    read: Option<(u64, Time)>,
    failing_since: Option<Instant>,
}

impl<'a> Follower<'a> {
    fn new(
        node: &'a Arc<Node>,
        cfg: &settings::Registry,
        client: &'a Client,
        own: oneshot::Sender<Option<Change>>,
    ) -> Follower<'a> {
        Follower {
            node,
            client,
            hosts_prefix: format!("{}{HOSTS}", cfg.prefix),
            entry_hosts: Vec::new(),
            missing_registrations: MissingRegistrations::default(),
            own: Some(own),
            own_key: registration_key(cfg, &node.settings.host),
            age_max: AGE_MAX,
            rng: SmallRng::from_os_rng(),
            backoff: Backoff::default(),
            read: None,
            failing_since: None,
        }
    }

    async fn run(&mut self) {
        loop {
            self.wait().await;
            self.age_max = AGE_MAX.mul_f64(self.rng.random_range(AGE_SPREAD..=1.0));
            let pauses = self.node.pause_detector.lock().pause_count();
            let now = self.node.clock.now();
            match self.read(now).await {
                Ok(()) => self.succeeded(now, pauses),
                Err(e) => self.failed(&e).await,
            }
            self.become_ready(self.node.clock.now());
        }
    }

    /// Waits until a read is due.
    async fn wait(&mut self) {
        let node = self.node.clone();
        loop {
            let now = node.clock.now();
            let due = self.due(now);
            let resync = node.pause_detector.lock().is_stale(now);
            if due <= now || resync {
                return;
            }
            self.become_ready(now);
            let due = match node.phase() {
                Phase::Starting => due.min(now + READY_CHECK),
                _ => due,
            };
            tokio::select! {
                () = tokio::time::sleep_until(node.clock.instant(due).into()) => {}
                () = node.resync_needed.notified() => return,
            }
        }
    }

    fn due(&mut self, now: Time) -> Time {
        let Some(as_of) = self.node.registry_freshness.as_of() else { return now };
        let reads = self.node.members.lock().owns(READ_DUTY, now);
        as_of + if reads { READ_INTERVAL } else { self.age_max }
    }

    async fn read(&mut self, now: Time) -> Result<(), CallError> {
        let recent = self.read.filter(|(_, at)| now.since(*at) < CHANGES_MAX_AGE);
        if let Some((revision, _)) = recent {
            match self.client.changes(EVERYTHING, revision).await? {
                WatchResponse::Changes(changes, revision) => {
                    self.returned(now);
                    self.take(&changes, now);
                    self.read = Some((revision, now));
                    return Ok(());
                }
                WatchResponse::Compacted => log::info!("store history is gone, reading everything"),
            }
        }
        let items = self.client.list(EVERYTHING).await?;
        self.returned(now);
        self.take_all(&items, now);
        self.read = Some((items.revision, now));
        Ok(())
    }

    fn returned(&mut self, now: Time) {
        if self.missing_registrations.succeeded(now) && self.failing_since.take().is_some() {
            self.node.events.record(EventCode::PlatformUp, Subject::default(), None);
        }
    }

    fn succeeded(&mut self, now: Time, pauses: u64) {
        self.backoff.reset();
        let gone = self.missing_registrations.expired(now);
        let (hosts, upstreams): (Vec<_>, Vec<_>) =
            gone.iter().partition(|m| m.name.starts_with(&self.hosts_prefix));
        self.offer(upstreams.iter().map(|m| deleted(&m.name, m.revision)).collect());
        for host in hosts {
            self.remove_entry_host(&host.name[self.hosts_prefix.len()..]);
        }
        self.node.registry_freshness.advance_to(now);
        self.node.mark_resynced(pauses);
    }

    async fn failed(&mut self, failure: &CallError) {
        self.missing_registrations.failed();
        if self.failing_since.is_none() {
            self.failing_since = Some(Instant::now());
            log::warn!("store: {failure}");
            self.node.events.record(EventCode::PlatformDown, Subject::default(), None);
        }
        self.become_ready(self.node.clock.now());
        let pause = self.backoff.next_delay(&mut self.rng).min(FAILED_PAUSE_MAX);
        let pause = pause.max(shared_pause(self.node, &mut self.rng));
        tokio::select! {
            () = sleep(pause) => {}
            () = self.node.resync_needed.notified() => {}
        }
    }

    /// Takes changes in.
    fn take(&mut self, changes: &[Change], now: Time) {
        let records = changes.iter().filter_map(|change| self.record(change, now)).collect();
        self.offer(records);
        for change in changes {
            if change.key.starts_with(&self.hosts_prefix) {
                self.take_entry_host(change, now);
            }
        }
    }

    /// Takes in the registration of an entry host, or its end. Hosts hear of each other by heartbeats
    /// as well, so these are no records that peers pass on.
    fn take_entry_host(&mut self, change: &Change, now: Time) {
        let name = &change.key[self.hosts_prefix.len()..];
        let Some(value) = &change.value else {
            if self.missing_registrations.vanished(
                &change.key.as_str().into(),
                change.revision,
                false,
                now,
            ) {
                self.remove_entry_host(name);
            }
            return;
        };
        self.missing_registrations.registered(&change.key);
        let host = match serde_json::from_slice::<Host>(value) {
            Ok(host) if *host.name == *name && host.role == Role::Entry => host,
            _ => {
                log::info!("store: {} names no entry host", change.key);
                return self.remove_entry_host(name);
            }
        };
        match self.find_entry_host(name) {
            Ok(at) if *self.entry_hosts[at].0 == host => self.entry_hosts[at].1 = change.revision,
            found => {
                let row = (Arc::new(host), change.revision);
                match found {
                    Ok(at) => self.entry_hosts[at] = row,
                    Err(at) => self.entry_hosts.insert(at, row),
                }
                self.put_entry_hosts();
            }
        }
    }

    fn remove_entry_host(&mut self, name: &str) {
        if let Ok(at) = self.find_entry_host(name) {
            self.entry_hosts.remove(at);
            self.put_entry_hosts();
        }
    }

    fn find_entry_host(&self, name: &str) -> Result<usize, usize> {
        self.entry_hosts.binary_search_by(|(h, _)| (*h.name).cmp(name))
    }

    fn put_entry_hosts(&self) {
        let hosts = self.entry_hosts.iter().map(|(h, _)| h.clone()).collect();
        self.node.set_entry_hosts(hosts);
    }

    /// Takes in everything that the store holds. Hosts that it doesn't hold have vanished.
    fn take_all(&mut self, all: &Items, now: Time) {
        if let Some(own) = self.own.take() {
            let at = all.items.binary_search_by(|i| i.key.cmp(&self.own_key));
            // Whoever registers may have ceased to wait for it.
            let _ = own.send(at.ok().map(|at| all.items[at].clone()));
        }
        self.take(&all.items, now);
        let is_missing = |key: &str, revision: u64| {
            let found = all.items.binary_search_by(|i| i.key.as_str().cmp(key));
            found.is_err() && revision <= all.revision
        };
        let known: Vec<(Arc<Host>, u64)> = self.node.catalog.lock().hosts_with_versions();
        let mut gone = Vec::new();
        for (host, version) in known {
            if is_missing(&format!("{}{}", registration::PREFIX, host.name), version) {
                gone.extend(self.vanished(&host, all.revision, now));
            }
        }
        self.offer(gone);
        let keys = self.entry_hosts.iter().map(|(h, r)| (self.entry_key(&h.name), *r));
        let missing: Vec<String> =
            keys.filter(|(key, r)| is_missing(key, *r)).map(|(key, _)| key).collect();
        for key in missing {
            let end = Change { key, revision: all.revision, value: None, lease: None };
            self.take_entry_host(&end, now);
        }
    }

    fn entry_key(&self, host: &str) -> String {
        format!("{}{host}", self.hosts_prefix)
    }

    /// Returns the record that a change amounts to, if it is new here.
    fn record(&mut self, change: &Change, now: Time) -> Option<Record> {
        if change.key == config::KEY {
            return self.routing(change);
        }
        let name = change.key.strip_prefix(registration::PREFIX)?;
        let held = self.node.catalog.lock().get(RecordKind::Host, name).map(|r| r.body.clone());
        let Some(value) = &change.value else {
            let Some(Body::Host(held)) = held else { return None };
            return self.vanished(&held, change.revision, now);
        };
        let Some(host) = registration::decode(&change.key, value) else {
            // Whoever wrote it, it names nothing to use, and what stood there before is no more.
            log::info!("store: {} names no host that can be used", change.key);
            return matches!(held, Some(Body::Host(_))).then(|| deleted(name, change.revision));
        };
        self.missing_registrations.registered(name);
        let body = Body::Host(Arc::new(host));
        (held.as_ref() != Some(&body)).then(|| record(name, change.revision, body))
    }

    /// Returns the record of a host's end, if that it has vanished means that it has gone.
    fn vanished(&mut self, host: &Host, revision: u64, now: Time) -> Option<Record> {
        let leaving = host.state == State::Leaving;
        let gone = self.missing_registrations.vanished(&host.name, revision, leaving, now);
        gone.then(|| deleted(&host.name, revision))
    }

    fn routing(&self, change: &Change) -> Option<Record> {
        let value = change.value.as_ref()?;
        match config::decode(value) {
            Ok((version, routing)) => {
                Some(record(config::KEY, version, Body::Routing(Arc::new(routing))))
            }
            Err(e) => {
                log::warn!("store: {}: {e}; the config in force stays", config::KEY);
                None
            }
        }
    }

    fn offer(&self, records: Vec<Record>) {
        if !records.is_empty() {
            self.node.offer(records);
        }
    }

    /// Makes the host ready once it knows the routes as they are at present, or, while the store
    /// can't be read, as a peer knows them.
    fn become_ready(&self, now: Time) {
        if self.node.phase() != Phase::Starting || self.node.catalog.lock().routing().is_none() {
            return;
        }
        let patient = self.failing_since.is_some_and(|t| t.elapsed() >= PEER_PATIENCE);
        let from_peer = patient && self.node.members.lock().synced_count() > 0;
        let current =
            self.node.registry_freshness.as_of().is_some_and(|at| now.since(at) < AGE_MAX);
        if current || from_peer {
            self.node.enter(Phase::Ready);
            self.node.events.record(EventCode::Ready, Subject::default(), None);
        }
    }
}

/// Returns the pause after a call that failed by which the hosts that are alive keep to
/// [`FAILED_READS_PER_SECOND`] together.
fn shared_pause(node: &Node, rng: &mut SmallRng) -> Duration {
    let alive = node.members.lock().alive(node.clock.now()).count() + 1;
    let pause = Duration::from_secs_f64(alive as f64 / FAILED_READS_PER_SECOND);
    pause.min(FAILED_PAUSE_SHARED_MAX).mul_f64(rng.random_range(0.5..=1.0))
}

fn record(name: &str, version: u64, body: Body) -> Record {
    Record { name: name.into(), version, change: "".into(), author: "".into(), body }
}

fn deleted(name: &str, revision: u64) -> Record {
    record(name, revision, Body::Deleted(RecordKind::Host))
}
