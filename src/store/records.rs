//! Keeps the catalog up to date with the key-value service by a watch and periodic range reads.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::{Instant, sleep, timeout_at};

use crate::event::{EventCode, Subject};
use crate::node::{Node, Phase};
use crate::store::backoff::Backoff;
use crate::store::call::{CallError, Range, Watch, WatchStream, WatchUpdate};
use crate::store::client::{Client, RangeContents};
use crate::store::repair;

/// Name of the duty of holding a watch, by which `Members::owns_in_data_centre` selects hosts.
const WATCH_DUTY: &str = "watch";
/// Number of hosts per data centre that hold a watch.
const WATCHERS: usize = 2;
/// Interval between reads on hosts that hold a watch. It bounds how long a watch that has silently
/// stopped can delay a change.
const READ_INTERVAL_WATCHING: Duration = Duration::from_secs(3);
/// Interval between reads on hosts without a watch, which learn of changes from peers.
const READ_INTERVAL: Duration = Duration::from_secs(30);
/// One read in this many is a full read; the others are incremental.
const READS_PER_FULL: u32 = 10;
/// Interval at which a host checks whether it has the duty of holding a watch.
const DUTY_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time for which a host that has loaded all records waits for the first peer to sync
/// before it becomes ready.
const PEER_SYNC_TIMEOUT: Duration = Duration::from_secs(1);
/// Time since the start after which, in an outage, the records of one peer suffice to be ready.
const OUTAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of synced peers required to become ready in an outage before [`OUTAGE_TIMEOUT`], or all
/// known peers if there are fewer, but at least one.
const OUTAGE_PEERS: usize = 2;

/// Follows the records in the key-value service for the life of the process.
pub(crate) async fn follow(node: Arc<Node>, client: Arc<Client>) {
    let started = Instant::now();
    let rng = SmallRng::from_os_rng();
    let backoff = Backoff::default();
    let mut follower = Follower {
        node,
        client,
        rng,
        backoff,
        started,
        watch: None,
        revision: 0,
        pause_count: 0,
        reads: 0,
        reachable: None,
    };
    loop {
        follower.sync().await;
    }
}

/// The state of the task that keeps the catalog up to date with the key-value service.
struct Follower {
    node: Arc<Node>,
    client: Arc<Client>,
    rng: SmallRng,
    backoff: Backoff,
    started: Instant,
    watch: Option<WatchStream>,
    /// Revision up to which every change is applied.
    revision: u64,
    /// Number of process pauses detected before the newest read.
    pause_count: u64,
    /// Number of reads since the last full one; the next read is full at 0.
    reads: u32,
    /// Whether the newest call succeeded; `None` before the first.
    reachable: Option<bool>,
}

impl Follower {
    /// Reads until up to date, opens the watch if due, and applies updates until the next read.
    async fn sync(&mut self) {
        self.pause_count = self.node.pause_detector.lock().pause_count();
        loop {
            match self.catch_up().await {
                Ok(true) => break,
                Ok(false) => self.reset_after_restore(),
                Err(e) => return self.handle_failure(&e).await,
            }
        }
        self.node.mark_resynced(self.pause_count);
        self.set_reachable(true);
        self.become_ready().await;
        if let Err(e) = self.open_watch().await {
            self.handle_failure(&e).await;
            return;
        }
        self.backoff.reset();
        self.apply_updates().await;
    }

    /// Performs an incremental read, or a full one every [`READS_PER_FULL`] reads.
    ///
    /// Returns false if the service's revision went back, which means that it was restored from an
    /// older backup.
    async fn catch_up(&mut self) -> Result<bool, CallError> {
        let full = self.reads == 0;
        let pause_count = self.node.pause_detector.lock().pause_count();
        let min_revision = if full { 0 } else { self.revision + 1 };
        let contents =
            self.client.read_range(Range { min_revision, ..self.client.keys.records() }).await?;
        self.reads = (self.reads + 1) % READS_PER_FULL;
        if contents.revision < self.revision {
            return Ok(false);
        }
        let missed_by_watch = !full && !contents.entries.is_empty() && self.watch.is_some();
        if missed_by_watch {
            self.record_lost_watch();
        }
        self.apply(&contents);
        self.node.mark_resynced(pause_count);
        if full
            && self.has_watch_duty()
            && !repair::write_back(&self.node, &self.client, &contents).await
        {
            self.reads = 0;
        }
        Ok(true)
    }

    /// Drops the watch and the revision, so that the next read is a full one, after the service was
    /// restored from an older backup.
    fn reset_after_restore(&mut self) {
        self.record_lost_watch();
        self.revision = 0;
        self.reads = 0;
    }

    fn apply(&mut self, contents: &RangeContents) {
        self.node.offer_entries(&self.client.keys, &contents.entries);
        self.revision = self.revision.max(contents.revision);
    }

    /// Opens the watch if this host has the duty and none is open, or drops it without the duty.
    async fn open_watch(&mut self) -> Result<(), CallError> {
        if !self.has_watch_duty() {
            self.watch = None;
            return Ok(());
        }
        if self.watch.is_some() {
            return Ok(());
        }
        let Range { key, end, .. } = self.client.keys.records();
        let watch = Watch { key, end, start_revision: self.revision + 1 };
        self.watch = Some((self.client.kv.watch)(watch).await?);
        Ok(())
    }

    /// Applies the watch's updates until the next read is due, the watch ends or this host's duty
    /// changes. The next read is a full one after a pause of the process or a request to
    /// resynchronise.
    async fn apply_updates(&mut self) {
        let interval = if self.watch.is_some() { READ_INTERVAL_WATCHING } else { READ_INTERVAL };
        let until = Instant::now() + interval.mul_f64(self.rng.random_range(0.75..=1.25));
        while Instant::now() < until && self.has_watch_duty() == self.watch.is_some() {
            if self.pause_count != self.node.pause_detector.lock().pause_count() {
                return self.request_full_read();
            }
            let step = until.min(Instant::now() + DUTY_CHECK_INTERVAL);
            let resync = self.node.resync_needed.clone();
            tokio::select! {
                biased;
                () = resync.notified() => return self.request_full_read(),
                update = next_update(&mut self.watch) =>
                    if !self.on_update(update).await { return },
                () = tokio::time::sleep_until(step) => {}
            }
        }
    }

    /// Applies one update of the watch. If the watch has ended, waits for the backoff delay and
    /// returns false.
    async fn on_update(&mut self, update: Option<Result<WatchUpdate, CallError>>) -> bool {
        let Some(Ok(update)) = update else {
            self.record_lost_watch();
            let delay = self.backoff.next_delay(&mut self.rng);
            sleep(delay).await;
            return false;
        };
        self.node.offer_entries(&self.client.keys, &update.puts);
        self.revision = self.revision.max(update.revision);
        true
    }

    /// Drops the watch and makes the next read a full one.
    fn request_full_read(&mut self) {
        self.watch = None;
        self.reads = 0;
    }

    /// Drops the watch, if one is open, and records its loss.
    fn record_lost_watch(&mut self) {
        if self.watch.take().is_some() {
            self.node.events.record(EventCode::WatchLost, Subject::default(), None);
        }
    }

    /// Drops the watch, records the outage, and waits for the backoff delay or for a request to
    /// resynchronise. A starting host becomes ready if enough peers have synced.
    async fn handle_failure(&mut self, failure: &CallError) {
        self.watch = None;
        log::debug!("key-value service: {failure}");
        self.set_reachable(false);
        if self.node.phase() == Phase::Starting && self.enough_peers_synced() {
            enter_ready(&self.node);
        }
        let until = Instant::now() + self.backoff.next_delay(&mut self.rng);
        let _ = timeout_at(until, self.node.resync_needed.notified()).await;
    }

    /// Records an event when the service becomes unreachable, or reachable again.
    fn set_reachable(&mut self, up: bool) {
        if self.reachable == Some(up) {
            return;
        }
        let first = self.reachable.replace(up).is_none();
        let code = if up { EventCode::PlatformUp } else { EventCode::PlatformDown };
        if !(first && up) {
            self.node.events.record(code, Subject::default(), None);
        }
    }

    /// Makes a starting host ready: at once if it knows no peers, else once the first of them has
    /// synced or after [`PEER_SYNC_TIMEOUT`].
    ///
    /// A peer may hold newer records that a service restored from an older backup lacks.
    async fn become_ready(&mut self) {
        if self.node.phase() != Phase::Starting {
            return;
        }
        let until = Instant::now() + PEER_SYNC_TIMEOUT;
        while Instant::now() < until && self.awaits_peer_sync() {
            sleep(Duration::from_millis(20)).await;
        }
        enter_ready(&self.node);
    }

    /// Returns whether peers are known and none of them has synced.
    fn awaits_peer_sync(&self) -> bool {
        let members = self.node.members.lock();
        !members.members().is_empty() && members.synced_count() == 0
    }

    /// Returns whether enough peers have synced for the host to be ready during an outage.
    fn enough_peers_synced(&self) -> bool {
        let members = self.node.members.lock();
        let before_timeout = self.started.elapsed() < OUTAGE_TIMEOUT;
        let needed = if before_timeout { OUTAGE_PEERS.min(members.members().len()) } else { 1 };
        members.synced_count() >= needed.max(1)
    }

    fn has_watch_duty(&self) -> bool {
        let now = self.node.clock.now();
        self.node.members.lock().owns_in_data_centre(WATCH_DUTY, WATCHERS, now)
    }
}

fn enter_ready(node: &Node) {
    node.enter(Phase::Ready);
    node.events.record(EventCode::Ready, Subject::default(), None);
}

/// Waits for the next update of the watch; forever without a watch.
async fn next_update(watch: &mut Option<WatchStream>) -> Option<Result<WatchUpdate, CallError>> {
    match watch {
        Some(updates) => updates.next().await,
        None => std::future::pending().await,
    }
}
