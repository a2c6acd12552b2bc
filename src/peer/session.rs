//! The state of one connection to a peer, and the exchange of digests over it.

use std::cell::{Cell, RefCell};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp::Error;
use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use tokio::io::BufWriter;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout_at;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};
use tokio_util::io::{InspectReader, InspectWriter};

use crate::decide::digest::{
    CatalogSummary, DecodedDigest, DeltaDecoder, DeltaEncoder, Digest, ReceiverView, RecordVersion,
    newer_versions,
};
use crate::decide::member::{HeartbeatOutcome, Process, process_fingerprint};
use crate::event::Subject;
use crate::node::Phase;
use crate::peer::local::LocalState;
use crate::peer::peer_capnp::peer;
use crate::peer::pull::{self, PullState};
use crate::peer::server::Server;
use crate::peer::{CALL_TIMEOUT, codec};
use crate::time::Time;

/// The size limit of a received message, in words of 8 bytes.
const MESSAGE_MAX_WORDS: usize = 1 << 20;

/// The nesting limit of a received message.
const MESSAGE_NESTING_MAX: i32 = 32;

/// Returns the limits on received messages.
pub(crate) fn reader_options() -> ReaderOptions {
    ReaderOptions {
        traversal_limit_in_words: Some(MESSAGE_MAX_WORDS),
        nesting_limit: MESSAGE_NESTING_MAX,
    }
}

/// A connection to a peer, dialled by either side.
pub(crate) struct Session {
    pub(crate) local: Rc<LocalState>,
    /// Notified to make this side begin an exchange: by the peer's `nudge` call, and when the
    /// peer's copy of the registry turns out to be newer.
    pub(crate) nudged: Notify,
    /// The summary of the peer's records in its last digest.
    pub(crate) peer_summary: Cell<Option<CatalogSummary>>,
    /// The hash of the peer's view of the fleet in its last digest.
    peer_members: Cell<Option<u64>>,
    /// Since when the peer's view has differed from this host's.
    members_differ_since: Cell<Option<Time>>,
    /// Whether the peer may lack the newest records after a pause, according to its last digest.
    pub(crate) is_peer_stale: Cell<bool>,
    /// The time up to which the peer knows every change of the registry, according to the digests
    /// sent and received.
    peer_registry_as_of: Cell<Time>,
    pub(crate) pull_state: PullState,
    /// This host's process as announced to the peer.
    process: Process,
    /// Whether a later process than the peer's is known under its host name.
    is_superseded: Cell<bool>,
    client: RefCell<Option<peer::Client>>,
    encoder: RefCell<DeltaEncoder>,
    decoder: RefCell<DeltaDecoder>,
    last_digest: Cell<Time>,
    /// When bytes last came from the peer.
    last_received: Rc<Cell<Time>>,
    /// When a question about allowances last came.
    last_ask: Rc<Cell<Option<Time>>>,
    /// The sequence number of the newest entry of the change feed sent to the peer.
    sent_seq: Cell<u64>,
    /// Versions that the peer has announced, which are therefore not announced to it.
    announced: RefCell<Vec<RecordVersion>>,
}

/// How far one side's copy of the registry must be ahead of the other's to be worth an exchange at
/// once. Less than the time between two reads, so that each read spreads over the whole fleet, and
/// more than the time that a read takes to spread.
const REGISTRY_LEAD: Duration = Duration::from_millis(250);

/// The time for which two hosts' views of the fleet may differ before they send each other the
/// processes that the other one may lack. News reaches hosts at different times.
const VIEW_DIFFERENCE_MAX: Duration = Duration::from_millis(1_000);

/// The reason why an exchange of digests failed.
#[derive(Debug, derive_more::Display, derive_more::From)]
pub(crate) enum ExchangeError {
    /// The peer has sent nothing for [`CALL_TIMEOUT`].
    #[from(ignore)]
    #[display("timed out")]
    TimedOut,
    /// The connection is closed, or the peer's response is invalid.
    Failed(Error),
}

/// The number of time limits that a response may take while the peer sends other things.
const RESPONSE_LIMITS_MAX: u32 = 4;

/// The number of versions that a session remembers the peer to have announced.
const ANNOUNCED_MAX: usize = 512;

/// The task that sends and receives a connection's messages.
pub(crate) type RpcTask = Pin<Box<RpcSystem<Side>>>;

impl Session {
    /// Creates the session of a new connection, and the task that must run for as long as it is
    /// used.
    pub(crate) fn open(
        local: &Rc<LocalState>,
        stream: TcpStream,
        side: Side,
    ) -> (Rc<Session>, RpcTask) {
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        let last_ask: Rc<Cell<Option<Time>>> = Rc::default();
        let last_received = Rc::new(Cell::new(local.node.clock.now()));
        let (counter, asked, received) = (local.clone(), last_ask.clone(), last_received.clone());
        let count_received = move |buf: &[u8]| {
            received.set(counter.node.clock.now());
            counter.count_received(buf.len(), asked.get().is_none());
        };
        let reader = InspectReader::new(reader, count_received);
        let (counter, asked) = (local.clone(), last_ask.clone());
        let count_sent = move |buf: &[u8]| counter.count_sent(buf.len(), asked.get().is_none());
        let writer = InspectWriter::new(writer, count_sent);
        let writer = BufWriter::new(writer).compat_write();
        let network = twoparty::VatNetwork::new(reader.compat(), writer, side, reader_options());
        let session = Rc::new(Session {
            local: local.clone(),
            nudged: Notify::new(),
            peer_summary: Cell::default(),
            peer_members: Cell::default(),
            members_differ_since: Cell::default(),
            is_peer_stale: Cell::default(),
            peer_registry_as_of: Cell::default(),
            pull_state: PullState::default(),
            process: local.process(),
            is_superseded: Cell::default(),
            client: RefCell::default(),
            encoder: RefCell::default(),
            decoder: RefCell::default(),
            last_digest: Cell::new(local.node.clock.now()),
            last_received,
            last_ask,
            sent_seq: Cell::new(0),
            announced: RefCell::default(),
        });
        let server: peer::Client = capnp_rpc::new_client(Server(session.clone()));
        let mut rpc = RpcSystem::new(Box::new(network), Some(server.client));
        let remote_side = if side == Side::Client { Side::Server } else { Side::Client };
        *session.client.borrow_mut() = Some(rpc.bootstrap(remote_side));
        (session, Box::pin(rpc))
    }

    /// Drops the client for the peer, so that the connection can be freed.
    pub(crate) fn close(&self) {
        self.client.borrow_mut().take();
    }

    /// Returns the client for calls to the peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the session is closed.
    pub(crate) fn client(&self) -> Result<peer::Client, Error> {
        let client = self.client.borrow().clone();
        client.ok_or_else(|| Error::disconnected("peer session closed".into()))
    }

    /// Returns the peer's process, once a digest has named it.
    pub(crate) fn peer(&self) -> Option<Process> {
        self.decoder.borrow().sender().cloned()
    }

    /// Returns when the peer's last digest arrived, or the session began.
    pub(crate) fn last_digest(&self) -> Time {
        self.last_digest.get()
    }

    /// Returns when bytes last came from the peer, or the session began.
    pub(crate) fn last_received(&self) -> Time {
        self.last_received.get()
    }

    /// Records a question about allowances, which makes this a connection that serves for them.
    pub(crate) fn record_ask(&self) {
        self.last_ask.set(Some(self.local.node.clock.now()));
    }

    /// Returns when a question about allowances last came, on a connection that serves for them.
    pub(crate) fn last_ask(&self) -> Option<Time> {
        self.last_ask.get()
    }

    /// Returns whether the change feed has entries that the peer hasn't been sent.
    pub(crate) fn has_unsent_changes(&self) -> bool {
        self.local.node.change_feed.since(u64::MAX).0 > self.sent_seq.get()
    }

    /// Returns whether this host's copy of the registry is at least [`REGISTRY_LEAD`] ahead of the
    /// peer's.
    pub(crate) fn is_registry_ahead(&self) -> bool {
        let own = self.local.node.registry_freshness.as_of_for_peers();
        own.is_some_and(|at| at.since(self.peer_registry_as_of.get()) >= REGISTRY_LEAD)
    }

    /// Builds the next digest for the peer. Its contents count as sent from then on.
    pub(crate) fn digest(&self) -> Digest {
        let node = &self.local.node;
        let now = node.clock.now();
        let (newest, recent) = node.change_feed.since(self.sent_seq.get());
        let announced = self.announced.borrow();
        let mut digest = Digest {
            stamp: node.hlc.tick(),
            heartbeat: self.local.heartbeat_counter(now),
            left: node.phase() >= Phase::Draining,
            stale: node.pause_detector.lock().is_stale(now),
            registry_age: node.registry_freshness.as_of_for_peers().map(|at| now.since(at)),
            registry_era: node.registry_freshness.era(),
            summary: self.local.catalog_summary(),
            members_fingerprint: self.local.members_fingerprint(),
            recent: recent
                .into_iter()
                .filter(|v| v.version > 0 && !announced.contains(v))
                .collect(),
            ..Digest::default()
        };
        self.sent_seq.set(newest);
        self.advance_peer_registry(node.registry_freshness.as_of_for_peers());
        let mut encoder = self.encoder.borrow_mut();
        encoder.add_sender(&self.process, &mut digest);
        if self.is_superseded.get() || self.is_peer_declared_dead() {
            self.add_newest_process(&mut encoder, &mut digest);
        }
        self.add_heartbeats(&mut encoder, now, &mut digest);
        let max_loads = self.local.traffic.max_loads(now);
        let upstream_summaries = self.local.upstream_summaries(now);
        encoder.add_leaving_upstreams(self.local.observations.borrow().rows(), now, &mut digest);
        encoder.add_evacuations(node.evacuations.lock().orders(), &mut digest);
        encoder.add_request_reports(&node.poison_requests.lock(), now, &mut digest);
        encoder.add_limits(&self.local.limits(now), now, &mut digest);
        encoder.add_cold_upstreams(&self.local.cold_upstreams(now), now, &mut digest);
        encoder.add_loads(&upstream_summaries, now, max_loads, &mut digest);
        digest
    }

    /// Sends a digest to the peer and applies the one that it returns.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is closed, if the peer sends nothing for
    /// [`CALL_TIMEOUT`], or if either side rejects the other's digest, see [`Session::apply`].
    pub(crate) async fn exchange(self: &Rc<Session>) -> Result<(), ExchangeError> {
        let node = &self.local.node;
        let pauses = node.pause_detector.lock().pause_count();
        let mut req = self.client()?.exchange_request();
        let requested = node.clock.now();
        codec::write(&self.digest(), req.get().init_digest());
        let limit = CALL_TIMEOUT + node.overload.lock().response_delay(requested);
        let reply = self.while_received(limit, req.send().promise).await;
        let reply = reply.ok_or(ExchangeError::TimedOut)??;
        let digest = codec::read(reply.get()?.get_digest()?)?;
        self.apply(&digest, pauses, Some(requested))?;
        if let Some(host) = self.host() {
            self.local.record_exchange(&host, node.clock.now());
        }
        Ok(())
    }

    /// Waits for a call to the peer. Returns `None` once the peer has sent nothing for `limit`, or
    /// after [`RESPONSE_LIMITS_MAX`] times as long. A response that waits behind a large one isn't
    /// given up, since a new connection would only carry both again.
    pub(crate) async fn while_received<T>(
        &self,
        limit: Duration,
        call: impl Future<Output = T>,
    ) -> Option<T> {
        let clock = &self.local.node.clock;
        let mut call = pin!(call);
        let start = clock.now();
        loop {
            let until = self.last_received.get().max(start) + limit;
            let until = until.min(start + limit * RESPONSE_LIMITS_MAX);
            if until <= clock.now() {
                return None;
            }
            if let Ok(done) = timeout_at(clock.instant(until).into(), &mut call).await {
                return Some(done);
            }
        }
    }

    /// Applies a digest of the peer, and starts to fetch the records that it has and this host
    /// lacks. `pauses` is the number of pauses of this host before the digest was requested or
    /// arrived; `requested` is when this side requested it, or `None` if the peer sent it on its
    /// own.
    ///
    /// The peer's registry age is adopted only from a requested digest, counted from the time of
    /// the request. The transit time of an unrequested digest is unknown: if every host counted the
    /// age from the arrival, it would shrink with each hop.
    ///
    /// # Errors
    ///
    /// Returns an error if no digest has named the sender yet, if too many processes or upstreams
    /// are named, if the sender has this host's name, or if this host has raised its incarnation
    /// since the session began.
    pub(crate) fn apply(
        self: &Rc<Session>,
        digest: &Digest,
        pauses: u64,
        requested: Option<Time>,
    ) -> Result<(), Error> {
        let node = &self.local.node;
        node.record_running();
        let now = node.clock.now();
        node.hlc.observe(digest.stamp);
        let decoded = self.decoder.borrow_mut().decode(digest, now);
        let decoded = decoded.ok_or_else(|| Error::failed("peer names no sender".into()))?;
        self.record_heartbeats(&decoded, now)?;
        self.last_digest.set(now);
        if self.is_superseded.get() {
            return Ok(());
        }
        self.import_loads(&decoded, now);
        decoded.leaving_upstreams.iter().for_each(|o| self.local.apply_observation(o, now));
        decoded.limits.iter().for_each(|(name, limit)| node.import_limit(name, limit));
        decoded.cold.iter().for_each(|(name, remaining)| node.import_warm_up(name, *remaining));
        decoded.evacuations.iter().for_each(|order| node.observe_evacuation(order));
        decoded.request_reports.iter().for_each(|report| node.record_request_report(report));
        self.peer_summary.set(Some(digest.summary));
        self.peer_members.set(Some(digest.members_fingerprint));
        self.is_peer_stale.set(digest.stale);
        node.observe_registry_era(Some(digest.registry_era));
        self.apply_registry_age(digest.registry_age, requested, now);
        self.record_announced(&digest.recent);
        let wanted = newer_versions(&node.catalog.lock(), digest.recent.clone());
        pull::start(self, wanted, pauses);
        Ok(())
    }

    /// Applies the age of the peer's copy of the registry. While the records of the two hosts
    /// differ, this host doesn't adopt the age, since it may lack changes up to that time.
    fn apply_registry_age(&self, age: Option<Duration>, requested: Option<Time>, now: Time) {
        let Some(age) = age else { return };
        self.advance_peer_registry(Some(now.before(age)));
        if !self.has_equal_records() {
            return;
        }
        let own = self.local.node.registry_freshness.as_of().unwrap_or_default();
        match requested {
            Some(requested) => self.local.node.registry_freshness.advance_to(requested.before(age)),
            None if now.before(age).since(own) >= REGISTRY_LEAD => self.nudged.notify_one(),
            None => {}
        }
    }

    fn advance_peer_registry(&self, as_of: Option<Time>) {
        self.peer_registry_as_of
            .set(as_of.max(Some(self.peer_registry_as_of.get())).unwrap_or_default());
    }

    /// Returns whether the peer's records, according to its last digest, are the same as this
    /// host's.
    pub(crate) fn has_equal_records(&self) -> bool {
        self.peer_summary.get() == Some(self.local.catalog_summary())
    }

    /// Adds the heartbeats of all hosts but the peer itself.
    fn add_heartbeats(&self, encoder: &mut DeltaEncoder, now: Time, digest: &mut Digest) {
        let decoder = self.decoder.borrow();
        let peer = decoder.sender().map(|p| p.host.clone());
        let members = self.local.node.members.lock();
        let others = members.recently_heard(now).filter(|m| Some(&m.host) != peer.as_ref());
        let relay = members.relays_heartbeats();
        let receiver = ReceiverView {
            counter_of: &|p| decoder.counter_of(p),
            differs: self.peer_lacks_members(digest.members_fingerprint, now),
        };
        encoder.add_heartbeats(others, &receiver, relay, now, digest);
    }

    /// Returns whether the peer seems to lack processes that this host knows: its view of the fleet
    /// is not the one with the hash `own`, and has not become so within [`VIEW_DIFFERENCE_MAX`], or
    /// it knows nobody yet.
    fn peer_lacks_members(&self, own: u64, now: Time) -> bool {
        let Some(theirs) = self.peer_members.get().filter(|theirs| *theirs != own) else {
            self.members_differ_since.set(None);
            return false;
        };
        let since = self.members_differ_since.get().unwrap_or(now);
        self.members_differ_since.set(Some(since));
        let is_alone = |p: Process| theirs == process_fingerprint(&p.host, p.incarnation, false);
        now.since(since) >= VIEW_DIFFERENCE_MAX || self.peer().is_some_and(is_alone)
    }

    fn record_heartbeats(&self, decoded: &DecodedDigest, now: Time) -> Result<(), Error> {
        let mut changed = false;
        let mut members = self.local.node.members.lock();
        for (i, (process, heartbeat)) in decoded.heartbeats.iter().enumerate() {
            let outcome = members.record_heartbeat(process, *heartbeat, now);
            if outcome == HeartbeatOutcome::OwnName {
                self.check_own_name(process, heartbeat.dead, i == 0)?;
            }
            if i == 0 {
                self.is_superseded.set(outcome == HeartbeatOutcome::Superseded);
            }
            changed |= outcome == HeartbeatOutcome::Changed;
        }
        drop(members);
        if self.process.incarnation != self.local.process().incarnation {
            return Err(Error::disconnected("incarnation raised".into()));
        }
        if changed {
            self.local.node.change_feed.notify();
        }
        Ok(())
    }

    /// Checks a heartbeat that carries this host's own name. From the peer itself, it means that
    /// two hosts run under this name. Relayed, it comes from an earlier process of this host, or the
    /// fleet takes this process for dead, and this process raises its incarnation above it.
    fn check_own_name(
        &self,
        process: &Process,
        is_dead: bool,
        is_sender: bool,
    ) -> Result<(), Error> {
        if is_sender {
            return Err(Error::failed(format!("host {:?} runs twice", process.host)));
        }
        let own = self.local.process().incarnation;
        if process.incarnation > own || is_dead && process.incarnation == own {
            self.local.raise_incarnation(process.incarnation);
        }
        Ok(())
    }

    /// Returns whether the peer's process is taken for dead.
    fn is_peer_declared_dead(&self) -> bool {
        let Some(peer) = self.peer() else { return false };
        let members = self.local.node.members.lock();
        members.get(&peer.host).is_some_and(|m| m.dead && m.incarnation == peer.incarnation)
    }

    /// Tells the peer of the newest process that is known under its host name: a later one than its
    /// own, or its own if that is taken for dead.
    fn add_newest_process(&self, encoder: &mut DeltaEncoder, digest: &mut Digest) {
        let members = self.local.node.members.lock();
        let newest = self.host().and_then(|host| members.get(&host).cloned());
        if let Some(member) = newest {
            encoder.add_newest_process(&member, digest);
        }
    }

    fn import_loads(&self, decoded: &DecodedDigest, now: Time) {
        let node = &self.local.node;
        let mut tables = node.tables.lock();
        for summary in &decoded.loads {
            node.import_shared(&mut tables, &decoded.sender.host, summary, now);
        }
    }

    fn record_announced(&self, recent: &[RecordVersion]) {
        let mut announced = self.announced.borrow_mut();
        announced.extend(recent.iter().cloned());
        let excess = announced.len().saturating_sub(ANNOUNCED_MAX);
        announced.drain(..excess);
    }

    /// Returns the subject of events about the peer.
    pub(crate) fn subject(&self) -> Subject {
        Subject { peer: self.host(), ..Subject::default() }
    }

    /// Returns the peer's host name, once a digest has named it.
    pub(crate) fn host(&self) -> Option<Arc<str>> {
        self.peer().map(|p| p.host)
    }
}
