//! Follows the records in the key-value service: loads, watches, and catches up.

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
use crate::store::restore;

/// The duty of holding a watch.
const WATCH_DUTY: &str = "watch";
/// Hosts of a data centre that hold a watch.
const WATCHERS: usize = 2;
/// Time between two reads of what has changed, on hosts that hold a watch. It bounds how long a
/// watch that has gone silent delays a change.
const CATCH_UP_WATCHING: Duration = Duration::from_secs(3);
/// Time between two reads of what has changed, on hosts that learn from others.
const CATCH_UP: Duration = Duration::from_secs(30);
/// Reads of what has changed between two reads of everything.
const READS_PER_FULL: u32 = 10;
/// Time between two looks at who holds a watch.
const DUTY_CHECK: Duration = Duration::from_secs(1);
/// Time for which a host that has loaded waits for a first peer before it is ready.
const PEER_PATIENCE: Duration = Duration::from_secs(1);
/// Time in an outage after which one peer's records are enough to be ready.
const OUTAGE_PATIENCE: Duration = Duration::from_secs(5);
/// Peers whose records make a host ready in an outage.
const OUTAGE_PEERS: usize = 2;

/// Follows the records for the life of the process.
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
        pauses: 0,
        reads: 0,
        up: None,
    };
    loop {
        follower.round().await;
    }
}

struct Follower {
    node: Arc<Node>,
    client: Arc<Client>,
    rng: SmallRng,
    backoff: Backoff,
    started: Instant,
    watch: Option<WatchStream>,
    /// The revision up to which everything was taken in.
    revision: u64,
    /// The number of pauses before the newest read.
    pauses: u64,
    /// Reads min_revision the last full one; the next one is full at 0.
    reads: u32,
    up: Option<bool>,
}

impl Follower {
    async fn round(&mut self) {
        self.pauses = self.node.pause_detector.lock().pause_count();
        loop {
            match self.catch_up().await {
                Ok(true) => break,
                Ok(false) => self.expect_older_copy(),
                Err(e) => return self.failed(&e).await,
            }
        }
        self.node.mark_resynced(self.pauses);
        self.reached(true);
        self.become_ready().await;
        if let Err(e) = self.open_watch().await {
            self.failed(&e).await;
            return;
        }
        self.backoff.reset();
        self.listen().await;
    }

    /// Reads what has changed min_revision the last read, and now and then everything. Returns whether
    /// the service holds at least what it held then.
    async fn catch_up(&mut self) -> Result<bool, CallError> {
        let full = self.reads == 0;
        let pauses = self.node.pause_detector.lock().pause_count();
        let min_revision = if full { 0 } else { self.revision + 1 };
        let loaded =
            self.client.read_range(Range { min_revision, ..self.client.keys.records() }).await?;
        self.reads = (self.reads + 1) % READS_PER_FULL;
        if loaded.revision < self.revision {
            return Ok(false);
        }
        let missed = !full && !loaded.entries.is_empty() && self.watch.is_some();
        if missed {
            self.lose_watch();
        }
        self.take_in(&loaded);
        self.node.mark_resynced(pauses);
        if full && self.on_duty() && !restore::put_back(&self.node, &self.client, &loaded).await {
            self.reads = 0;
        }
        Ok(true)
    }

    /// Prepares a read of everything from a service that was restored from an older copy.
    fn expect_older_copy(&mut self) {
        self.lose_watch();
        self.revision = 0;
        self.reads = 0;
    }

    fn take_in(&mut self, loaded: &RangeContents) {
        self.node.offer_entries(&self.client.keys, &loaded.entries);
        self.revision = self.revision.max(loaded.revision);
    }

    async fn open_watch(&mut self) -> Result<(), CallError> {
        if !self.on_duty() {
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

    /// Takes changes in until it is time to read again.
    async fn listen(&mut self) {
        let pause = if self.watch.is_some() { CATCH_UP_WATCHING } else { CATCH_UP };
        let until = Instant::now() + pause.mul_f64(self.rng.random_range(0.75..=1.25));
        while Instant::now() < until && self.on_duty() == self.watch.is_some() {
            if self.pauses != self.node.pause_detector.lock().pause_count() {
                return self.start_over();
            }
            let step = until.min(Instant::now() + DUTY_CHECK);
            let resync = self.node.resync_needed.clone();
            tokio::select! {
                biased;
                () = resync.notified() => return self.start_over(),
                update = next(&mut self.watch) => if !self.update(update).await { return },
                () = tokio::time::sleep_until(step) => {}
            }
        }
    }

    /// Takes a watch's message in. Returns whether the watch goes on.
    async fn update(&mut self, update: Option<Result<WatchUpdate, CallError>>) -> bool {
        let Some(Ok(update)) = update else {
            self.lose_watch();
            let pause = self.backoff.next_delay(&mut self.rng);
            sleep(pause).await;
            return false;
        };
        self.node.offer_entries(&self.client.keys, &update.puts);
        self.revision = self.revision.max(update.revision);
        true
    }

    fn start_over(&mut self) {
        self.watch = None;
        self.reads = 0;
    }

    fn lose_watch(&mut self) {
        if self.watch.take().is_some() {
            self.node.events.record(EventCode::WatchLost, Subject::default(), None);
        }
    }

    async fn failed(&mut self, failure: &CallError) {
        self.watch = None;
        log::debug!("key-value service: {failure}");
        self.reached(false);
        if self.node.phase() == Phase::Starting && self.peers_suffice() {
            ready(&self.node);
        }
        let until = Instant::now() + self.backoff.next_delay(&mut self.rng);
        let _ = timeout_at(until, self.node.resync_needed.notified()).await;
    }

    fn reached(&mut self, up: bool) {
        if self.up == Some(up) {
            return;
        }
        let first = self.up.replace(up).is_none();
        let code = if up { EventCode::PlatformUp } else { EventCode::PlatformDown };
        if !(first && up) {
            self.node.events.record(code, Subject::default(), None);
        }
    }

    /// Makes the host ready once it has loaded and, if it knows other hosts, one of them has told
    /// it of newer records that a restored service may lack.
    async fn become_ready(&mut self) {
        if self.node.phase() != Phase::Starting {
            return;
        }
        let until = Instant::now() + PEER_PATIENCE;
        while Instant::now() < until && self.waits_for_peer() {
            sleep(Duration::from_millis(20)).await;
        }
        ready(&self.node);
    }

    fn waits_for_peer(&self) -> bool {
        let members = self.node.members.lock();
        !members.members().is_empty() && members.synced_count() == 0
    }

    fn peers_suffice(&self) -> bool {
        let members = self.node.members.lock();
        let patient = self.started.elapsed() < OUTAGE_PATIENCE;
        let needed = if patient { OUTAGE_PEERS.min(members.members().len()) } else { 1 };
        members.synced_count() >= needed.max(1)
    }

    fn on_duty(&self) -> bool {
        let now = self.node.clock.now();
        self.node.members.lock().owns_in_data_centre(WATCH_DUTY, WATCHERS, now)
    }
}

fn ready(node: &Node) {
    node.enter(Phase::Ready);
    node.events.record(EventCode::Ready, Subject::default(), None);
}

async fn next(watch: &mut Option<WatchStream>) -> Option<Result<WatchUpdate, CallError>> {
    match watch {
        Some(changes) => changes.next().await,
        None => std::future::pending().await,
    }
}
