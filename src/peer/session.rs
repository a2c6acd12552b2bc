//! One connection between two hosts: what was told and heard over it.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
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
use tokio::time::timeout;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};
use tokio_util::io::{InspectReader, InspectWriter};

use crate::decide::digest::{
    CatalogSummary, DecodedDigest, DeltaDecoder, DeltaEncoder, Digest, Version, newer_versions,
};
use crate::decide::member::{HeartbeatOutcome, Process};
use crate::node::Phase;
use crate::peer::local::Local;
use crate::peer::peer_capnp::peer;
use crate::peer::pull::{self, Pulls};
use crate::peer::server::Server;
use crate::peer::{CALL_TIMEOUT, codec};
use crate::time::Time;

/// The largest message that is read, in words of 8 bytes.
const MESSAGE_WORDS_MAX: usize = 1 << 20;

/// The deepest nesting of a message that is read.
const MESSAGE_NESTING_MAX: i32 = 32;

/// The reader's limits.
pub(crate) fn reader_options() -> ReaderOptions {
    ReaderOptions {
        traversal_limit_in_words: Some(MESSAGE_WORDS_MAX),
        nesting_limit: MESSAGE_NESTING_MAX,
    }
}

/// One connection.
pub(crate) struct Session {
    pub(crate) local: Rc<Local>,
    /// Asks for an exchange that this side begins.
    pub(crate) nudged: Notify,
    /// The other side's records at its last digest.
    pub(crate) theirs: Cell<Option<CatalogSummary>>,
    /// Whether the other side has not heard of the newest records since it was paused.
    pub(crate) is_stale: Cell<bool>,
    /// The time up to which the other side knows every change of the registry, as far as it told or
    /// was told.
    their_registry: Cell<Time>,
    pub(crate) pulls: Pulls,
    /// This host's process as the other side was told.
    process: Process,
    /// Whether a later process than the other side runs under its name.
    superseded: Cell<bool>,
    remote: RefCell<Option<peer::Client>>,
    out: RefCell<DeltaEncoder>,
    heard: RefCell<DeltaDecoder>,
    exchanged: Cell<Time>,
    told_news: Cell<u64>,
    /// Records that the other side has told of.
    known: RefCell<Vec<Version>>,
}

/// Progress in the knowledge of the registry that is told at once: less than the time between two
/// reads, so that each read spreads over the whole fleet, and more than one read takes to do so.
const REGISTRY_STEP: Duration = Duration::from_millis(250);

/// Why an exchange failed.
#[derive(Debug, derive_more::Display, derive_more::From)]
pub(crate) enum NoExchange {
    /// There was no answer in time.
    #[from(ignore)]
    #[display("no answer in time")]
    Silent,
    /// The connection is closed, or the answer is none.
    Failed(Error),
}

/// Records that a session remembers the other side to have told of.
const KNOWN_MAX: usize = 32;

/// The task that carries a connection's messages.
pub(crate) type Carrier = Pin<Box<RpcSystem<Side>>>;

impl Session {
    /// Makes the session of a new connection, and the task that has to be run for it.
    pub(crate) fn open(local: &Rc<Local>, stream: TcpStream, side: Side) -> (Rc<Session>, Carrier) {
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        let counter = local.clone();
        let reader = InspectReader::new(reader, move |buf| counter.count_received(buf.len()));
        let counter = local.clone();
        let writer = InspectWriter::new(writer, move |buf| counter.count_sent(buf.len()));
        let writer = BufWriter::new(writer).compat_write();
        let network = twoparty::VatNetwork::new(reader.compat(), writer, side, reader_options());
        let session = Rc::new(Session {
            local: local.clone(),
            nudged: Notify::new(),
            theirs: Cell::default(),
            is_stale: Cell::default(),
            their_registry: Cell::default(),
            pulls: Pulls::default(),
            process: local.process(),
            superseded: Cell::default(),
            remote: RefCell::default(),
            out: RefCell::default(),
            heard: RefCell::default(),
            exchanged: Cell::new(local.node.clock.now()),
            told_news: Cell::new(0),
            known: RefCell::default(),
        });
        let server: peer::Client = capnp_rpc::new_client(Server(session.clone()));
        let mut rpc = RpcSystem::new(Box::new(network), Some(server.client));
        let other = if side == Side::Client { Side::Server } else { Side::Client };
        *session.remote.borrow_mut() = Some(rpc.bootstrap(other));
        (session, Box::pin(rpc))
    }

    /// Lets go of the other side, so that the connection can be freed.
    pub(crate) fn close(&self) {
        self.remote.borrow_mut().take();
    }

    /// Returns the other side.
    ///
    /// # Errors
    ///
    /// If the session is closed.
    pub(crate) fn remote(&self) -> Result<peer::Client, Error> {
        let remote = self.remote.borrow().clone();
        remote.ok_or_else(|| Error::disconnected("peer session closed".into()))
    }

    /// Returns the other side's process, once it has introduced itself.
    pub(crate) fn peer(&self) -> Option<Process> {
        self.heard.borrow().sender().cloned()
    }

    /// Returns when the last digest came in.
    pub(crate) fn exchanged(&self) -> Time {
        self.exchanged.get()
    }

    /// Tells whether there is news that the other side has not been told.
    pub(crate) fn has_news(&self) -> bool {
        self.local.node.change_feed.since(u64::MAX).0 > self.told_news.get()
    }

    /// Tells whether the other side's knowledge of the registry is older than this host's by so much
    /// that it should hear at once.
    pub(crate) fn is_ahead(&self) -> bool {
        let own = self.local.node.registry_freshness.as_of();
        own.is_some_and(|at| at.since(self.their_registry.get()) >= REGISTRY_STEP)
    }

    /// Makes the next digest for the other side.
    pub(crate) fn digest(&self) -> Digest {
        let node = &self.local.node;
        let now = node.clock.now();
        let (news, recent) = node.change_feed.since(self.told_news.get());
        let known = self.known.borrow();
        let mut digest = Digest {
            stamp: node.hlc.tick(),
            beat: self.local.beat(now),
            leaving: node.phase() >= Phase::Draining,
            stale: node.pause_detector.lock().is_stale(now),
            registry_age: node.registry_freshness.as_of().map(|at| now.since(at)),
            summary: self.local.summary(),
            recent: recent.into_iter().filter(|v| v.version > 0 && !known.contains(v)).collect(),
            ..Digest::default()
        };
        self.told_news.set(news);
        self.heard_registry(node.registry_freshness.as_of());
        let mut out = self.out.borrow_mut();
        out.introduce(&self.process, &mut digest);
        if self.superseded.get() {
            self.supersede(&mut out, &mut digest);
        }
        self.relay(&mut out, now, &mut digest);
        let max = self.local.traffic.loads_max(now);
        let figures = self.local.figures(now);
        out.pass_on(self.local.sightings.borrow().rows(), now, &mut digest);
        out.share(&figures, now, max, &mut digest);
        digest
    }

    /// Exchanges digests with the other side.
    ///
    /// # Errors
    ///
    /// Why there is no answer, or it can't be taken in.
    pub(crate) async fn exchange(self: &Rc<Session>) -> Result<(), NoExchange> {
        let node = &self.local.node;
        let pauses = node.pause_detector.lock().pause_count();
        let mut req = self.remote()?.exchange_request();
        let asked = node.clock.now();
        codec::write(&self.digest(), req.get().init_digest());
        let reply = timeout(CALL_TIMEOUT, req.send().promise).await;
        let reply = reply.map_err(|_| NoExchange::Silent)??;
        let digest = codec::read(reply.get()?.get_digest()?)?;
        self.take(&digest, pauses, Some(asked))?;
        Ok(())
    }

    /// Takes in a digest of the other side, and pulls the records that it has and this host lacks.
    /// `asked` is the time at which this side asked for it, if it did.
    ///
    /// The other side's age of the registry is taken over only with an answer, as of the time of the
    /// question: how long a digest that came by itself was on its way, nobody knows, and an age
    /// that every host counts from the arrival gets younger with each of them.
    ///
    /// # Errors
    ///
    /// If the sender has not introduced itself or bears this host's name, or this host's own process
    /// has taken another incarnation since the session began.
    pub(crate) fn take(
        self: &Rc<Session>,
        digest: &Digest,
        pauses: u64,
        asked: Option<Time>,
    ) -> Result<(), Error> {
        let node = &self.local.node;
        let now = node.clock.now();
        node.hlc.observe(digest.stamp);
        let taken = self.heard.borrow_mut().take(digest, now);
        let taken = taken.ok_or_else(|| Error::failed("peer names no sender".into()))?;
        self.hear(&taken)?;
        self.exchanged.set(now);
        if self.superseded.get() {
            return Ok(());
        }
        self.import(&taken, now);
        taken.leaves.iter().for_each(|s| self.local.told_leaving(s, now));
        self.theirs.set(Some(digest.summary));
        self.is_stale.set(digest.stale);
        self.take_registry_age(digest.registry_age, asked, now);
        self.remember(&digest.recent);
        let wanted = newer_versions(&node.catalog.lock(), digest.recent.clone());
        pull::start(self, wanted, pauses);
        Ok(())
    }

    fn take_registry_age(&self, age: Option<Duration>, asked: Option<Time>, now: Time) {
        let Some(age) = age else { return };
        self.heard_registry(Some(now.before(age)));
        if !self.has_equal_records() {
            return;
        }
        let own = self.local.node.registry_freshness.as_of().unwrap_or_default();
        match asked {
            Some(asked) => self.local.node.registry_freshness.advance_to(asked.before(age)),
            None if now.before(age).since(own) >= REGISTRY_STEP => self.nudged.notify_one(),
            None => {}
        }
    }

    fn heard_registry(&self, at: Option<Time>) {
        self.their_registry.set(at.max(Some(self.their_registry.get())).unwrap_or_default());
    }

    /// Tells whether the other side's records, at its last digest, were the same as this host's.
    pub(crate) fn has_equal_records(&self) -> bool {
        self.theirs.get() == Some(self.local.summary())
    }

    fn relay(&self, out: &mut DeltaEncoder, now: Time, digest: &mut Digest) {
        let heard = self.heard.borrow();
        let peer = heard.sender().map(|p| p.host.clone());
        let members = self.local.node.members.lock();
        let others = members.recently_heard(now).filter(|m| Some(&m.host) != peer.as_ref());
        let gap = members.relay_gap();
        out.relay(others, |p| heard.counter_of(p), gap, now, digest);
    }

    fn hear(&self, taken: &DecodedDigest) -> Result<(), Error> {
        let mut changed = false;
        let mut members = self.local.node.members.lock();
        for (i, (process, beat)) in taken.beats.iter().enumerate() {
            let heard = members.record_heartbeat(process, *beat);
            if heard == HeartbeatOutcome::Own {
                self.check_own(process, i == 0)?;
            }
            if i == 0 {
                self.superseded.set(heard == HeartbeatOutcome::Superseded);
            }
            changed |= heard == HeartbeatOutcome::Changed;
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

    /// Looks at a heartbeat that bears this host's name.
    fn check_own(&self, process: &Process, is_sender: bool) -> Result<(), Error> {
        if is_sender {
            return Err(Error::failed(format!("host {:?} runs twice", process.host)));
        }
        if process.incarnation > self.local.process().incarnation {
            self.local.outrank(process.incarnation);
        }
        Ok(())
    }

    fn supersede(&self, out: &mut DeltaEncoder, digest: &mut Digest) {
        let members = self.local.node.members.lock();
        let later = self.host().and_then(|host| members.get(&host).cloned());
        if let Some(member) = later {
            out.supersede(&member, digest);
        }
    }

    fn import(&self, taken: &DecodedDigest, now: Time) {
        let node = &self.local.node;
        let mut tables = node.tables.lock();
        for shared in &taken.shared {
            node.import_shared(&mut tables, &taken.sender.host, shared, now);
        }
    }

    fn remember(&self, recent: &[Version]) {
        let mut known = self.known.borrow_mut();
        known.extend(recent.iter().cloned());
        let over = known.len().saturating_sub(KNOWN_MAX);
        known.drain(..over);
    }

    /// Returns the other side's name.
    pub(crate) fn host(&self) -> Option<Arc<str>> {
        self.peer().map(|p| p.host)
    }
}
