//! Reads the registry when a read is due, and applies its changes to the node.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

use crate::decide::catalog::{Body, Record, RecordKind};
use crate::decide::hosts::{Host, Role};
use crate::decide::lapse::MissingRegistrations;
use crate::decide::poison::{RequestEvent, RequestReport};
use crate::decide::reads::AGE_FACTOR_MIN;
use crate::decide::registered::{
    Known, Reading, RegistrationVersion, Revision, SeenRegistrations, gone_version, next_version,
};
use crate::decide::teams::Keys;
use crate::decide::upstream::State;
use crate::decide::warmup;
use crate::event::{EventCode, Subject};
use crate::node::{Node, Phase};
use crate::platform::{Change, Client, Consistency, Items, WatchResponse, config, registration};
use crate::settings;
use crate::store::backoff::Backoff;
use crate::store::call::CallError;
use crate::time::Time;

use super::evacuation::EvacuationReader;
use super::{HOSTS_PREFIX, blocked, fleet, registration_key, shared_retry_delay};

/// The duty of reading the registry, by which hosts are ranked.
const READ_DUTY: &str = "registry";
/// The time since its own last read after which a host reads the whole registry, since by then the
/// list of changes would be the longer one.
const CHANGES_AGE_MAX: Duration = Duration::from_secs(3);
/// The maximum backoff of one host after a failed read. Together with a slow response it stays
/// within 2 s. In a large fleet, [`shared_retry_delay`] may be longer.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(800);
/// The key prefix that is read: the empty one, which covers config, upstreams and entry hosts.
const READ_PREFIX: &str = "";
/// The time between two checks whether a starting host is ready.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a starting host that can't read the registry retries before it becomes ready with the
/// records of one peer.
const PEER_FALLBACK_AFTER: Duration = Duration::from_secs(1);
/// How long a starting host, which has read a copy of the registry that may be seconds old, waits
/// at most for a peer to confirm it or bring it up to date, for each upstream in the copy. A large
/// fleet has many upstreams. Its hosts draw different times when it starts as a whole, so that the
/// first ones read for all.
const PEER_CONFIRMATION_WAIT: Duration = Duration::from_micros(200);
/// The maximum of that time.
const PEER_CONFIRMATION_WAIT_MAX: Duration = Duration::from_millis(300);
/// The random factor on that time.
const PEER_CONFIRMATION_SPREAD: std::ops::RangeInclusive<f64> = 0.25..=1.0;

/// The change id of routing records that this release decodes. The release before has `1`, and decodes
/// an empty list of teams as none. Earlier ones leave it empty, and decode a config without its teams.
/// Of two records of one version, the greater id wins.
const ROUTING_FORMAT: &str = "2";
/// The time after its own last read at which a host reads again that can't tell from a peer's config
/// whether requests need keys.
const UNCLEAR_KEYS_INTERVAL: Duration = Duration::from_millis(500);

/// The state of the task that reads the registry and applies its changes to the node.
pub(super) struct Follower<'a> {
    node: &'a Arc<Node>,
    client: &'a Client,
    prefix: String,
    hosts_prefix: String,
    /// The registered entry hosts, sorted by name.
    entry_hosts: Vec<Arc<Host>>,
    /// New heartbeats of upstreams that say how long these stay cold, which is no part of a record.
    cold_reports: Vec<ColdReport>,
    missing_registrations: MissingRegistrations,
    seen: SeenRegistrations,
    evacuations: EvacuationReader,
    /// Passes this host's own registration, if there is one, from the first full read to
    /// [`super::registration::run`].
    own_registration: Option<oneshot::Sender<Option<Change>>>,
    own_key: String,
    /// The random factor of the age at which this host reads for itself.
    age_factor: f64,
    rng: SmallRng,
    backoff: Backoff,
    /// The revision and the time of this host's last successful read.
    last_read: Option<(Revision, Time)>,
    failing_since: Option<Instant>,
}

/// What an upstream's registration says on how long it stays cold.
struct ColdReport {
    name: Arc<str>,
    born: Option<u64>,
    remaining: Duration,
}

impl<'a> Follower<'a> {
    pub(super) fn new(
        node: &'a Arc<Node>,
        cfg: &settings::Registry,
        client: &'a Client,
        own_registration: oneshot::Sender<Option<Change>>,
    ) -> Follower<'a> {
        Follower {
            node,
            client,
            prefix: cfg.prefix.clone(),
            hosts_prefix: format!("{}{HOSTS_PREFIX}", cfg.prefix),
            entry_hosts: Vec::new(),
            cold_reports: Vec::new(),
            missing_registrations: MissingRegistrations::default(),
            seen: SeenRegistrations::default(),
            evacuations: EvacuationReader::default(),
            own_registration: Some(own_registration),
            own_key: registration_key(cfg, &node.settings.host),
            age_factor: 1.0,
            rng: SmallRng::from_os_rng(),
            backoff: Backoff::default(),
            last_read: None,
            failing_since: None,
        }
    }

    pub(super) async fn run(&mut self) {
        self.start().await;
        loop {
            self.wait_until_due().await;
            self.age_factor = self.rng.random_range(AGE_FACTOR_MIN..=1.0);
            let pauses = self.node.pause_detector.lock().pause_count();
            let now = self.node.clock.now();
            let result = self.read(now).await;
            let took = self.node.clock.now().since(now);
            self.node.metrics.observe_registry_read(took, result.is_ok());
            match result {
                Ok(()) => self.finish_read(now, pauses),
                Err(e) => self.handle_failure(&e, took).await,
            }
            self.check_ready(self.node.clock.now());
        }
    }

    /// Reads a copy of the registry that may be seconds old, and gives peers the time to confirm it
    /// or bring it up to date before this host reads for itself.
    async fn start(&mut self) {
        let start = self.node.clock.now();
        if let Err(e) = self.list(Consistency::Stale, start).await {
            return self.handle_failure(&e, self.node.clock.now().since(start)).await;
        }
        let upstreams = self.node.catalog.lock().hosts().count();
        let wait = PEER_CONFIRMATION_WAIT * u32::try_from(upstreams).unwrap_or(u32::MAX);
        let spread = self.rng.random_range(PEER_CONFIRMATION_SPREAD);
        let until = start + wait.min(PEER_CONFIRMATION_WAIT_MAX).mul_f64(spread);
        let mut freshness = self.node.registry_freshness.subscribe();
        while self.node.registry_freshness.as_of().is_none() {
            tokio::select! {
                () = tokio::time::sleep_until(self.node.clock.instant(until).into()) => return,
                _ = freshness.changed() => self.check_ready(self.node.clock.now()),
            }
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

    /// Returns when this host's next read is due.
    fn next_read(&mut self, now: Time) -> Time {
        let freshness = &self.node.registry_freshness;
        let Some(as_of) = freshness.as_of() else { return now };
        let rank = self.node.members.lock().rank(READ_DUTY, now);
        let due = freshness.schedule.due(as_of, rank, self.age_factor);
        match self.node.routes().keys() {
            Keys::Unclear => {
                due.min(self.last_read.map_or(now, |(_, at)| at + UNCLEAR_KEYS_INTERVAL))
            }
            _ => due,
        }
    }

    /// Reads the changes since the last read. If that was too long ago or its history is no longer
    /// available, lists the whole registry first.
    async fn read(&mut self, now: Time) -> Result<(), CallError> {
        let era = self.node.registry_freshness.era();
        let is_recent = |(revision, at): &(Revision, Time)| {
            revision.era == era && now.since(*at) < CHANGES_AGE_MAX
        };
        if self.last_read.filter(is_recent).is_none() {
            self.list(Consistency::Stale, now).await?;
        }
        let known = self.known_upstreams();
        let changes = match self.last_read {
            Some((revision, _)) => self.client.changes(READ_PREFIX, revision).await?,
            None => WatchResponse::Compacted,
        };
        match changes {
            WatchResponse::Changes(changes, revision) => {
                self.mark_readable(now);
                self.apply_changes(&changes, Reading::Written, now);
                self.last_read = Some((revision, now));
            }
            WatchResponse::Compacted => {
                log::info!("registry: compacted, reading all keys");
                self.list(Consistency::Linearizable, now).await?;
            }
        }
        if let Some((revision, _)) = self.last_read {
            self.mark_unregistered(&known, revision, now);
            self.evacuations.confirm(self.node, self.client, revision, now).await?;
        }
        Ok(())
    }

    fn known_upstreams(&self) -> Vec<Arc<str>> {
        self.node.catalog.lock().hosts().map(|h| h.name.clone()).collect()
    }

    /// Marks those upstreams as missing that were known before the read that has just ended, and
    /// that the registry doesn't contain as of `revision`. This host may know them from peers that
    /// have not read of their removal, and never have read of it itself.
    fn mark_unregistered(&mut self, known: &[Arc<str>], revision: Revision, now: Time) {
        let ended: Vec<&Arc<str>> =
            known.iter().filter(|name| !self.seen.is_registered(name)).collect();
        let missing = |name: &&Arc<str>| self.mark_missing(name, revision, now);
        let deletions = ended.iter().filter_map(missing).collect();
        self.offer(deletions);
    }

    /// Lists the whole registry.
    async fn list(&mut self, consistency: Consistency, now: Time) -> Result<(), CallError> {
        let all = self.client.list(READ_PREFIX, consistency).await?;
        let era = all.revision.era;
        if self.last_read.is_some_and(|(last, _)| last.era != era) {
            // Registrations may be missing until their owners have renewed them.
            self.missing_registrations.record_rewind();
        }
        self.mark_readable(now);
        self.apply_all(&all, now);
        self.last_read = Some((all.revision, now));
        Ok(())
    }

    fn mark_readable(&mut self, now: Time) {
        let freshness = &self.node.registry_freshness;
        let known_up_to = freshness.as_of();
        self.missing_registrations.record_outage_end(freshness.outage_end());
        let is_first = self.missing_registrations.record_success(now, known_up_to);
        if is_first && self.failing_since.take().is_some() {
            self.node.events.record(EventCode::PlatformUp, Subject::default(), None);
        }
    }

    /// Finishes a successful read that began at `now`, when `pauses` pauses had been detected.
    fn finish_read(&mut self, now: Time, pauses: u64) {
        self.backoff.reset();
        let expired = self.missing_registrations.take_expired(now);
        let (hosts, upstreams): (Vec<_>, Vec<_>) =
            expired.iter().partition(|m| m.name.starts_with(&self.hosts_prefix));
        if let Some((revision, _)) = self.last_read {
            let deletions = upstreams.iter().filter_map(|m| self.deletion(&m.name, revision));
            self.offer(deletions.collect());
        }
        for host in &hosts {
            self.remove_entry_host(&host.name[self.hosts_prefix.len()..]);
        }
        if !hosts.is_empty() {
            self.publish_entry_hosts();
        }
        // While an owner has time to register again, other hosts may know already that it is gone.
        let is_confirmed = self.known_upstreams().iter().all(|n| self.seen.is_registered(n));
        self.node.registry_freshness.advance_by_read(now, is_confirmed);
        self.node.mark_resynced(pauses);
    }

    /// Handles a read that failed after the time `took`, and waits until the next attempt.
    async fn handle_failure(&mut self, failure: &CallError, took: Duration) {
        self.missing_registrations.record_failure();
        let took = u64::try_from(took.as_millis()).ok();
        self.node.events.record(EventCode::ReadFailed, Subject::default(), took);
        if self.failing_since.is_none() {
            self.failing_since = Some(Instant::now());
            log::warn!("registry: {failure}");
            self.node.events.record(EventCode::PlatformDown, Subject::default(), None);
        }
        self.check_ready(self.node.clock.now());
        let backoff = self.backoff.next_delay(&mut self.rng).min(RETRY_DELAY_MAX);
        let paced = shared_retry_delay(self.node, &mut self.rng);
        let freshness = &self.node.registry_freshness;
        let now = self.node.clock.now();
        let delay = freshness.schedule.retry_delay(freshness.as_of(), now, backoff, paced);
        tokio::select! {
            () = sleep(delay) => {}
            () = self.node.resync_needed.notified() => {}
        }
    }

    /// Applies changes of the registry: the last one of each key. An earlier one may be older than
    /// what peers have read in the meantime.
    fn apply_changes(&mut self, changes: &[Change], reading: Reading, now: Time) {
        let changes = latest_changes(changes);
        let records: Vec<Record> =
            changes.iter().filter_map(|c| self.changed_record(c, reading, now)).collect();
        self.offer(records);
        self.apply_cold_reports(now);
        let (mut has_changed, mut has_fleet_records) = (false, false);
        for change in changes {
            self.evacuations.apply(self.node, change);
            has_fleet_records |= fleet::apply(self.node, &self.prefix, change);
            if change.value.is_some() {
                self.apply_blocked_request(&change.key, now);
            }
            if change.key.starts_with(&self.hosts_prefix) {
                has_changed |= self.apply_entry_host(change, now);
            }
        }
        if has_changed {
            self.publish_entry_hosts();
        }
        if has_fleet_records {
            fleet::publish(self.node);
        }
    }

    /// Tells the service tables how long upstreams stay cold, unless the registration is of an earlier
    /// process than the one in force.
    fn apply_cold_reports(&mut self, now: Time) {
        for report in std::mem::take(&mut self.cold_reports) {
            let body = self
                .node
                .catalog
                .lock()
                .get(RecordKind::Host, &report.name)
                .map(|r| r.body.clone());
            let Some(Body::Host(host)) = body else { continue };
            let Some(service) = host.service.as_ref().filter(|_| host.born == report.born) else {
                continue;
            };
            self.node.observe_registered_warm_up(service, &host.name, report.remaining, now);
        }
    }

    /// Blocks the request that a key lists, if it lists one. An entry may outlast the answer that has
    /// cleared its request.
    fn apply_blocked_request(&self, key: &str, now: Time) {
        let Some(fingerprint) = blocked::fingerprint(&self.prefix, key) else { return };
        if !self.node.poison_requests.lock().is_cleared(fingerprint) {
            let event = RequestEvent::Blocked;
            let report = RequestReport { fingerprint, event, sent: now, at: now };
            self.node.record_request_report(&report);
        }
    }

    /// Applies a change of an entry host's registration, and returns whether the entry hosts differ.
    /// Registrations are not records that peers pass on, since entry hosts also learn of each other
    /// by heartbeats.
    fn apply_entry_host(&mut self, change: &Change, now: Time) -> bool {
        let name = &change.key[self.hosts_prefix.len()..];
        let Some(value) = &change.value else {
            let key = change.key.as_str().into();
            let is_gone = self.missing_registrations.mark_missing(&key, false, now);
            return is_gone && self.remove_entry_host(name);
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
            Ok(at) if *self.entry_hosts[at] == host => return false,
            Ok(at) => self.entry_hosts[at] = Arc::new(host),
            Err(at) => self.entry_hosts.insert(at, Arc::new(host)),
        }
        true
    }

    /// Removes an entry host. Returns whether it was registered.
    fn remove_entry_host(&mut self, name: &str) -> bool {
        let found = self.find_entry_host(name);
        found.map(|at| self.entry_hosts.remove(at)).is_ok()
    }

    fn find_entry_host(&self, name: &str) -> Result<usize, usize> {
        self.entry_hosts.binary_search_by(|h| (*h.name).cmp(name))
    }

    fn publish_entry_hosts(&self) {
        self.node.set_entry_hosts(self.entry_hosts.clone());
    }

    /// Applies a listing of the registry.
    fn apply_all(&mut self, all: &Items, now: Time) {
        if let Some(own_registration) = self.own_registration.take() {
            let at = all.items.binary_search_by(|i| i.key.cmp(&self.own_key));
            // The receiver may have timed out.
            let _ = own_registration.send(at.ok().map(|at| all.items[at].clone()));
        }
        self.seen.begin_listing();
        self.evacuations.begin_listing(all.revision.era, now);
        fleet::begin_listing(self.node, now);
        self.apply_changes(&all.items, Reading::Listed, now);
        let is_listed = |key: &str| all.items.binary_search_by(|i| i.key.as_str().cmp(key)).is_ok();
        let keys = self.entry_hosts.iter().map(|h| format!("{}{}", self.hosts_prefix, h.name));
        let missing: Vec<String> = keys.filter(|key| !is_listed(key)).collect();
        let revision = all.revision;
        let deletion = |key| Change { key, value: None, lease: None, revision };
        let deletions: Vec<Change> = missing.into_iter().map(deletion).collect();
        self.apply_changes(&deletions, Reading::Listed, now);
        fleet::publish(self.node);
    }

    /// Returns the record that a change results in, if there is one to offer.
    fn changed_record(&mut self, change: &Change, reading: Reading, now: Time) -> Option<Record> {
        if change.key == config::KEY {
            return self.routing_record(change);
        }
        let name = change.key.strip_prefix(registration::PREFIX)?;
        let Some(value) = &change.value else {
            self.seen.remove(name);
            return self.mark_missing(name, change.revision, now);
        };
        let Some((host, beat)) = registration::decode(&change.key, value) else {
            self.seen.remove(name);
            // The earlier registration no longer exists, so the host is removed.
            log::info!("registry: {} is not a valid upstream registration", change.key);
            return self.deletion(name, change.revision);
        };
        self.missing_registrations.mark_present(name);
        let is_repeat = self.seen.is_repeat(name, host.born, beat.sequence);
        if !self.seen.record(&host.name, host.born, beat.sequence) {
            return None;
        }
        if let Some(seconds) = beat.cold_seconds.filter(|_| !is_repeat) {
            let remaining = warmup::duration(seconds);
            let (name, born) = (host.name.clone(), host.born);
            self.cold_reports.push(ColdReport { name, born, remaining });
        }
        let catalog = self.node.catalog.lock();
        let known = catalog.get(RecordKind::Host, name).map(known_upstream);
        let version = next_version(known, &host, reading, change.revision)?;
        drop(catalog);
        let body = Body::Host(Arc::new(host));
        Some(Record { revision: Some(change.revision), ..record(name, version.number(), body) })
    }

    /// Marks an upstream's registration as missing as of `revision`, unless the upstream is known to
    /// have registered later. Returns its deletion record if it counts as gone at once.
    fn mark_missing(&mut self, name: &str, revision: Revision, now: Time) -> Option<Record> {
        let deletion = self.deletion(name, revision)?;
        let is_leaving = self
            .node
            .catalog
            .lock()
            .get(RecordKind::Host, name)
            .is_some_and(|r| matches!(&r.body, Body::Host(h) if h.state == State::Leaving));
        let name = &deletion.name;
        self.missing_registrations.mark_missing(name, is_leaving, now).then_some(deletion)
    }

    /// Returns the deletion record of an upstream whose registration is missing as of `revision`,
    /// unless it is unknown, deleted already or known to have registered later.
    fn deletion(&self, name: &str, revision: Revision) -> Option<Record> {
        let catalog = self.node.catalog.lock();
        let known = catalog.get(RecordKind::Host, name).map(known_upstream)?;
        let version = gone_version(known, revision)?;
        let body = Body::Deleted(RecordKind::Host);
        Some(Record { revision: Some(revision), ..record(name, version.number(), body) })
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
        let freshness = &self.node.registry_freshness;
        let age_max = freshness.schedule.age_max();
        let is_current = freshness.as_of().is_some_and(|at| now.since(at) < age_max);
        if is_current || has_peer_records {
            self.node.enter(Phase::Ready);
            self.node.events.record(EventCode::Ready, Subject::default(), None);
        }
    }
}

/// Returns the last change of each key, sorted by key.
fn latest_changes(changes: &[Change]) -> Vec<&Change> {
    let mut latest: Vec<&Change> = changes.iter().rev().collect();
    // The sort is stable, so the last change of a key comes first.
    latest.sort_by(|a, b| a.key.cmp(&b.key));
    latest.dedup_by(|a, b| a.key == b.key);
    latest
}

/// Returns what a record says of an upstream.
fn known_upstream(record: &Record) -> Known<'_> {
    let host = match &record.body {
        Body::Host(host) => Some(&**host),
        _ => None,
    };
    let version = RegistrationVersion::from_number(record.version);
    Known { version, host, revision: record.revision }
}

fn record(name: &str, version: u64, body: Body) -> Record {
    let change = match body {
        Body::Routing(_) => ROUTING_FORMAT,
        _ => "",
    };
    Record {
        name: name.into(),
        version,
        change: change.into(),
        author: "".into(),
        revision: None,
        body,
    }
}

#[cfg(test)]
mod tests;
