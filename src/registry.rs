//! Keeps this host's copy of the platform's registry current, and its own registration alive. The
//! registry holds the operator's config, the upstreams and the entry hosts.
//!
//! One host of the fleet, the reader, polls the changes about twice a second, and the others
//! receive them in digests. Any host whose copy becomes older than [`AGE_MAX`] reads for itself,
//! whatever the reason. This bounds the age of every copy without the need to detect that the
//! reader has failed.

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

/// The duty of polling the registry for the whole fleet. Its owner is the reader.
const READ_DUTY: &str = "registry";
/// The time between two reads by the reader.
const READ_INTERVAL: Duration = Duration::from_millis(600);
/// The age of its copy at which any other host reads for itself. The platform allows 2 s in all, of
/// which a slow registry takes a quarter second to respond.
const AGE_MAX: Duration = Duration::from_millis(1_500);
/// The age of its copy below which a host may conclude that a route does not exist. It allows for
/// [`AGE_MAX`] and the time that a slow registry takes to respond.
const ROUTES_AGE_MAX: Duration = Duration::from_millis(2_000);
/// The lower bound of the random factor by which each host shortens [`AGE_MAX`]. When the reader
/// fails, one host then reads first and the others receive its result.
const AGE_MIN_FACTOR: f64 = 0.6;
/// The time since its own last read after which a host reads the whole registry, since by then the
/// list of changes would be the longer one.
const CHANGES_AGE_MAX: Duration = Duration::from_secs(3);
/// The maximum backoff of one host after a failed read. Together with a slow response it stays
/// within 2 s. In a large fleet, [`shared_retry_delay`] may be longer.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(800);
/// The rate of reads per second of the whole fleet while reads fail. The first one that succeeds
/// spreads to all hosts.
const RETRIES_PER_SECOND: f64 = 25.0;
/// The maximum delay after a failed read in a large fleet. A host that loses its peers in the
/// meantime gets no updates for that long.
const SHARED_RETRY_DELAY_MAX: Duration = Duration::from_millis(2_000);
/// The maximum delay after a failed renewal. The lease of a registration is several times as long.
const RENEWAL_RETRY_DELAY_MAX: Duration = Duration::from_secs(5);
/// How long a starting host waits for its first read before it registers. That read may show a
/// registration left by an earlier process of the host.
const FIRST_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// The key prefix that is read: the empty one, which covers config, upstreams and entry hosts.
const READ_PREFIX: &str = "";
/// The key prefix of entry host registrations, below the prefix in the settings.
const HOSTS_PREFIX: &str = "hosts/";
/// The time to live of the lease of a host's registration.
const LEASE_TTL: Duration = Duration::from_secs(30);
/// The time between two renewals of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(10);
/// The time between two checks whether a starting host is ready.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a starting host that can't read the registry retries before it becomes ready with the
/// records of one peer.
const PEER_FALLBACK_AFTER: Duration = Duration::from_secs(1);

/// The age of this host's copy of the registry.
#[derive(Debug, Default)]
pub(crate) struct RegistryFreshness {
    /// The time up to which every change of the registry is known; zero before the first read.
    as_of: watch::Sender<Time>,
}

impl RegistryFreshness {
    /// Returns the time up to which every change is known, or `None` before the first read.
    pub(crate) fn as_of(&self) -> Option<Time> {
        let as_of = *self.as_of.borrow();
        (as_of > Time::ZERO).then_some(as_of)
    }

    /// Returns whether the copy is young enough to conclude that a route does not exist.
    pub(crate) fn is_current(&self, now: Time) -> bool {
        self.as_of().is_some_and(|at| now.since(at) < ROUTES_AGE_MAX)
    }

    /// Records that every change up to `at` is known. Ignored if a later time is already recorded.
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

/// Follows the registry and keeps this host registered until the process exits. Returns at once if
/// the settings name no registry.
pub(crate) async fn run(node: Arc<Node>) {
    let Some(cfg) = node.settings.registry.clone() else { return };
    let calls = node.metrics.call_counter();
    let client = Client::connect(cfg.address, cfg.calls_per_second, calls);
    let (own_registration, previous) = oneshot::channel();
    let mut follower = Follower::new(&node, &cfg, &client, own_registration);
    tokio::join!(register(&node, &cfg, &client, previous), follower.run());
}

fn registration_key(cfg: &settings::Registry, host: &str) -> String {
    format!("{}{HOSTS_PREFIX}{host}", cfg.prefix)
}

/// Keeps this host registered, so that other hosts find it. An identical registration left by an
/// earlier process of the host is taken over with its lease. `previous` receives this host's
/// registration as the first full read shows it.
async fn register(
    node: &Arc<Node>,
    cfg: &settings::Registry,
    client: &Client,
    previous: oneshot::Receiver<Option<Change>>,
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
    let value = serde_json::to_vec(&host).expect("a host can be serialized");
    let (mut rng, mut backoff) = (SmallRng::from_os_rng(), Backoff::default());
    let mut lease = match tokio::time::timeout(FIRST_READ_TIMEOUT, previous).await {
        Ok(Ok(Some(own))) if own.value.as_ref() == Some(&value) => own.lease,
        _ => None,
    };
    loop {
        let delay = match renew(client, &key, &value, lease).await {
            Ok(Some(renewed)) => {
                lease = Some(renewed);
                backoff.reset();
                RENEWAL_INTERVAL
            }
            Ok(None) => {
                log::info!("registration: the lease has expired, requesting a new one");
                lease = None;
                backoff.next_delay(&mut rng)
            }
            Err(e) => {
                log::debug!("registration failed: {e}");
                match lease {
                    Some(_) => RENEWAL_RETRY_DELAY_MAX.mul_f64(rng.random_range(0.5..=1.0)),
                    None => backoff.next_delay(&mut rng).max(shared_retry_delay(node, &mut rng)),
                }
            }
        };
        sleep(delay).await;
    }
}

/// Renews the lease of a registration. If `lease` is `None`, creates the registration with a new
/// lease. Returns the lease, or `None` if it has expired.
async fn renew(
    client: &Client,
    key: &str,
    value: &[u8],
    lease: Option<LeaseId>,
) -> Result<Option<LeaseId>, CallError> {
    if let Some(lease) = lease {
        return Ok(client.renew(lease).await?.then_some(lease));
    }
    let lease = client.grant(LEASE_TTL).await?;
    Ok(client.put(key, value, lease).await?.then_some(lease))
}

/// The state of the task that reads the registry and applies its changes to the node.
struct Follower<'a> {
    node: &'a Arc<Node>,
    client: &'a Client,
    hosts_prefix: String,
    /// The registered entry hosts with the revisions of their registrations, sorted by name.
    entry_hosts: Vec<(Arc<Host>, u64)>,
    missing_registrations: MissingRegistrations,
    /// Passes this host's own registration, if there is one, from the first full read to
    /// [`register`].
    own_registration: Option<oneshot::Sender<Option<Change>>>,
    own_key: String,
    /// The age of its copy at which this host reads for itself.
    age_max: Duration,
    rng: SmallRng,
    backoff: Backoff,
    /// The revision and the time of this host's last successful read.
    last_read: Option<(u64, Time)>,
    failing_since: Option<Instant>,
}

impl<'a> Follower<'a> {
    fn new(
        node: &'a Arc<Node>,
        cfg: &settings::Registry,
        client: &'a Client,
        own_registration: oneshot::Sender<Option<Change>>,
    ) -> Follower<'a> {
        Follower {
            node,
            client,
            hosts_prefix: format!("{}{HOSTS_PREFIX}", cfg.prefix),
            entry_hosts: Vec::new(),
            missing_registrations: MissingRegistrations::default(),
            own_registration: Some(own_registration),
            own_key: registration_key(cfg, &node.settings.host),
            age_max: AGE_MAX,
            rng: SmallRng::from_os_rng(),
            backoff: Backoff::default(),
            last_read: None,
            failing_since: None,
        }
    }

    async fn run(&mut self) {
        loop {
            self.wait_until_due().await;
            self.age_max = AGE_MAX.mul_f64(self.rng.random_range(AGE_MIN_FACTOR..=1.0));
            let pauses = self.node.pause_detector.lock().pause_count();
            let now = self.node.clock.now();
            match self.read(now).await {
                Ok(()) => self.finish_read(now, pauses),
                Err(e) => self.handle_failure(&e).await,
            }
            self.check_ready(self.node.clock.now());
        }
    }

    /// Waits until a read is due or the process has to resynchronise after a pause. Meanwhile,
    /// makes a starting host ready once it can be.
    async fn wait_until_due(&mut self) {
        let node = self.node.clone();
        loop {
            let now = node.clock.now();
            let due = self.next_read(now);
            let is_stale = node.pause_detector.lock().is_stale(now);
            if due <= now || is_stale {
                return;
            }
            self.check_ready(now);
            let due = match node.phase() {
                Phase::Starting => due.min(now + READY_CHECK_INTERVAL),
                _ => due,
            };
            tokio::select! {
                () = tokio::time::sleep_until(node.clock.instant(due).into()) => {}
                () = node.resync_needed.notified() => return,
            }
        }
    }

    /// Returns when this host's next read is due: sooner for the reader than for the others.
    fn next_read(&mut self, now: Time) -> Time {
        let Some(as_of) = self.node.registry_freshness.as_of() else { return now };
        let is_reader = self.node.members.lock().owns(READ_DUTY, now);
        as_of + if is_reader { READ_INTERVAL } else { self.age_max }
    }

    /// Reads the changes since the last read, or the whole registry if that was too long ago or its
    /// history has been compacted.
    async fn read(&mut self, now: Time) -> Result<(), CallError> {
        let recent = self.last_read.filter(|(_, at)| now.since(*at) < CHANGES_AGE_MAX);
        if let Some((revision, _)) = recent {
            match self.client.changes(READ_PREFIX, revision).await? {
                WatchResponse::Changes(changes, revision) => {
                    self.mark_readable(now);
                    self.apply_changes(&changes, now);
                    self.last_read = Some((revision, now));
                    return Ok(());
                }
                WatchResponse::Compacted => log::info!("registry: compacted, reading all keys"),
            }
        }
        let items = self.client.list(READ_PREFIX).await?;
        self.mark_readable(now);
        self.apply_all(&items, now);
        self.last_read = Some((items.revision, now));
        Ok(())
    }

    fn mark_readable(&mut self, now: Time) {
        if self.missing_registrations.record_success(now) && self.failing_since.take().is_some() {
            self.node.events.record(EventCode::PlatformUp, Subject::default(), None);
        }
    }

    /// Finishes a successful read that began at `now`, when `pauses` pauses had been detected.
    fn finish_read(&mut self, now: Time, pauses: u64) {
        self.backoff.reset();
        let expired = self.missing_registrations.take_expired(now);
        let (hosts, upstreams): (Vec<_>, Vec<_>) =
            expired.iter().partition(|m| m.name.starts_with(&self.hosts_prefix));
        self.offer(upstreams.iter().map(|m| deletion_record(&m.name, m.revision)).collect());
        for host in hosts {
            self.remove_entry_host(&host.name[self.hosts_prefix.len()..]);
        }
        self.node.registry_freshness.advance_to(now);
        self.node.mark_resynced(pauses);
    }

    /// Handles a failed read, and waits until the next attempt.
    async fn handle_failure(&mut self, failure: &CallError) {
        self.missing_registrations.record_failure();
        if self.failing_since.is_none() {
            self.failing_since = Some(Instant::now());
            log::warn!("registry: {failure}");
            self.node.events.record(EventCode::PlatformDown, Subject::default(), None);
        }
        self.check_ready(self.node.clock.now());
        let delay = self.backoff.next_delay(&mut self.rng).min(RETRY_DELAY_MAX);
        let delay = delay.max(shared_retry_delay(self.node, &mut self.rng));
        tokio::select! {
            () = sleep(delay) => {}
            () = self.node.resync_needed.notified() => {}
        }
    }

    /// Applies changes of the registry.
    fn apply_changes(&mut self, changes: &[Change], now: Time) {
        let records =
            changes.iter().filter_map(|change| self.changed_record(change, now)).collect();
        self.offer(records);
        for change in changes {
            if change.key.starts_with(&self.hosts_prefix) {
                self.apply_entry_host(change, now);
            }
        }
    }

    /// Applies a change of an entry host's registration. Registrations are not records that peers
    /// pass on, since entry hosts also learn of each other by heartbeats.
    fn apply_entry_host(&mut self, change: &Change, now: Time) {
        let name = &change.key[self.hosts_prefix.len()..];
        let Some(value) = &change.value else {
            if self.missing_registrations.mark_missing(
                &change.key.as_str().into(),
                change.revision,
                false,
                now,
            ) {
                self.remove_entry_host(name);
            }
            return;
        };
        self.missing_registrations.mark_present(&change.key);
        let host = match serde_json::from_slice::<Host>(value) {
            Ok(host) if *host.name == *name && host.role == Role::Entry => host,
            _ => {
                log::info!("registry: {} is not a valid entry host registration", change.key);
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
                self.publish_entry_hosts();
            }
        }
    }

    fn remove_entry_host(&mut self, name: &str) {
        if let Ok(at) = self.find_entry_host(name) {
            self.entry_hosts.remove(at);
            self.publish_entry_hosts();
        }
    }

    fn find_entry_host(&self, name: &str) -> Result<usize, usize> {
        self.entry_hosts.binary_search_by(|(h, _)| (*h.name).cmp(name))
    }

    fn publish_entry_hosts(&self) {
        let hosts = self.entry_hosts.iter().map(|(h, _)| h.clone()).collect();
        self.node.set_entry_hosts(hosts);
    }

    /// Applies a full read of the registry. Known hosts that it doesn't contain count as missing.
    fn apply_all(&mut self, all: &Items, now: Time) {
        if let Some(own_registration) = self.own_registration.take() {
            let at = all.items.binary_search_by(|i| i.key.cmp(&self.own_key));
            // The receiver may have timed out.
            let _ = own_registration.send(at.ok().map(|at| all.items[at].clone()));
        }
        self.apply_changes(&all.items, now);
        let is_missing = |key: &str, revision: u64| {
            let found = all.items.binary_search_by(|i| i.key.as_str().cmp(key));
            found.is_err() && revision <= all.revision
        };
        let known: Vec<(Arc<Host>, u64)> = self.node.catalog.lock().hosts_with_versions();
        let mut deletions = Vec::new();
        for (host, version) in known {
            if is_missing(&format!("{}{}", registration::PREFIX, host.name), version) {
                deletions.extend(self.mark_missing(&host, all.revision, now));
            }
        }
        self.offer(deletions);
        let keys = self.entry_hosts.iter().map(|(h, r)| (self.entry_host_key(&h.name), *r));
        let missing: Vec<String> =
            keys.filter(|(key, r)| is_missing(key, *r)).map(|(key, _)| key).collect();
        for key in missing {
            let deletion = Change { key, revision: all.revision, value: None, lease: None };
            self.apply_entry_host(&deletion, now);
        }
    }

    fn entry_host_key(&self, host: &str) -> String {
        format!("{}{host}", self.hosts_prefix)
    }

    /// Returns the record that a change results in, if there is one to offer. A host's record is
    /// left out if its body equals the one in force.
    fn changed_record(&mut self, change: &Change, now: Time) -> Option<Record> {
        if change.key == config::KEY {
            return self.routing_record(change);
        }
        let name = change.key.strip_prefix(registration::PREFIX)?;
        let in_force = self.node.catalog.lock().get(RecordKind::Host, name).map(|r| r.body.clone());
        let Some(value) = &change.value else {
            let Some(Body::Host(in_force)) = in_force else { return None };
            return self.mark_missing(&in_force, change.revision, now);
        };
        let Some(host) = registration::decode(&change.key, value) else {
            // The earlier registration no longer exists, so the host is removed.
            log::info!("registry: {} is not a valid upstream registration", change.key);
            return matches!(in_force, Some(Body::Host(_)))
                .then(|| deletion_record(name, change.revision));
        };
        self.missing_registrations.mark_present(name);
        let body = Body::Host(Arc::new(host));
        (in_force.as_ref() != Some(&body)).then(|| record(name, change.revision, body))
    }

    /// Marks a host's registration as missing. Returns the host's deletion record if it counts as
    /// gone at once.
    fn mark_missing(&mut self, host: &Host, revision: u64, now: Time) -> Option<Record> {
        let leaving = host.state == State::Leaving;
        let is_gone = self.missing_registrations.mark_missing(&host.name, revision, leaving, now);
        is_gone.then(|| deletion_record(&host.name, revision))
    }

    fn routing_record(&self, change: &Change) -> Option<Record> {
        let value = change.value.as_ref()?;
        match config::decode(value) {
            Ok((version, routing)) => {
                Some(record(config::KEY, version, Body::Routing(Arc::new(routing))))
            }
            Err(e) => {
                log::warn!("registry: {}: {e}; keeping the config in force", config::KEY);
                None
            }
        }
    }

    fn offer(&self, records: Vec<Record>) {
        if !records.is_empty() {
            self.node.offer(records);
        }
    }

    /// Makes a starting host ready once it has a routing record and its copy of the registry is
    /// current. If the registry has been unreadable for [`PEER_FALLBACK_AFTER`], a routing record
    /// and all records of one peer suffice.
    fn check_ready(&self, now: Time) {
        if self.node.phase() != Phase::Starting || self.node.catalog.lock().routing().is_none() {
            return;
        }
        let may_fall_back = self.failing_since.is_some_and(|t| t.elapsed() >= PEER_FALLBACK_AFTER);
        let has_peer_records = may_fall_back && self.node.members.lock().synced_count() > 0;
        let is_current =
            self.node.registry_freshness.as_of().is_some_and(|at| now.since(at) < AGE_MAX);
        if is_current || has_peer_records {
            self.node.enter(Phase::Ready);
            self.node.events.record(EventCode::Ready, Subject::default(), None);
        }
    }
}

/// Returns a random delay after a failed call, at most [`SHARED_RETRY_DELAY_MAX`], by which the
/// live hosts together keep to [`RETRIES_PER_SECOND`].
fn shared_retry_delay(node: &Node, rng: &mut SmallRng) -> Duration {
    let alive = node.members.lock().alive(node.clock.now()).count() + 1;
    let delay = Duration::from_secs_f64(alive as f64 / RETRIES_PER_SECOND);
    delay.min(SHARED_RETRY_DELAY_MAX).mul_f64(rng.random_range(0.5..=1.0))
}

fn record(name: &str, version: u64, body: Body) -> Record {
    Record { name: name.into(), version, change: "".into(), author: "".into(), body }
}

fn deletion_record(name: &str, revision: u64) -> Record {
    record(name, revision, Body::Deleted(RecordKind::Host))
}
