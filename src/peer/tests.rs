//! Tests of gossip between hosts over real sockets, and of the encoding of digests.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use capnp::message::Builder;
use proptest::collection::vec;
use proptest::prelude::*;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::{LocalSet, spawn_local};

use super::peer_capnp as wire;
use super::{codec, session};
use crate::config::{Profile, Service, Treatment, Upstream};
use crate::decide::catalog::{Body, Record, RecordKind};
use crate::decide::digest::{
    CatalogSummary, ColdUpstream, Digest, RecordVersion, RelayedHeartbeat, RelayedReport,
    UpstreamLimit, UpstreamLoad, UpstreamName,
};
use crate::decide::evacuation::EvacuationOrder;
use crate::decide::hosts::{Host as ListedHost, Role};
use crate::decide::member::{Heartbeat, MemberState, Process};
use crate::decide::poison::{Fingerprint, RequestEvent};
use crate::decide::registered::Revision;
use crate::decide::upstream::State;
use crate::event::EventCode;
use crate::hlc::Timestamp;
use crate::node::{Node, Phase};
use crate::settings::{Peer, Settings};
use crate::time::Time;

mod allowance;
mod leaving;
mod routes;

/// The timeout of [`wait_until`].
const TIMEOUT: Duration = Duration::from_secs(30);

/// An entry host that runs only its peer connections, on a thread of its own.
struct Host {
    node: Arc<Node>,
    stop: Option<oneshot::Sender<()>>,
    /// Blocks the thread while set.
    paused: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// Creates the state of a host that announces `announced` as its address to its peers.
fn node(name: &str, announced: SocketAddr, peers: &[Peer]) -> Arc<Node> {
    let mut settings = Settings::parse(
        r#"{"host": "x", "data_centre": "dc", "caller": "127.0.0.1:0", "admin": "127.0.0.1:0"}"#,
    )
    .unwrap();
    settings.host = name.into();
    settings.peers = peers.to_vec();
    settings.peer = Some(announced);
    Node::new(settings)
}

impl Host {
    /// Starts a host that announces `announced` as its address to its peers.
    fn start(
        name: &str,
        listener: std::net::TcpListener,
        announced: SocketAddr,
        peers: &[Peer],
    ) -> Host {
        let node = node(name, announced, peers);
        let (stop, stopped) = oneshot::channel::<()>();
        let thread_node = node.clone();
        let paused = Arc::new(AtomicBool::new(false));
        let is_paused = paused.clone();
        let thread = std::thread::spawn(move || {
            let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            LocalSet::new().block_on(&rt, async move {
                listener.set_nonblocking(true).unwrap();
                let listener = TcpListener::from_std(listener).unwrap();
                spawn_local(super::serve(thread_node.clone(), listener, announced));
                spawn_local(async move {
                    loop {
                        thread_node.update_members();
                        while is_paused.load(Ordering::Relaxed) {
                            std::thread::sleep(Duration::from_millis(10));
                        }
                        tokio::time::sleep(Duration::from_millis(10)).await;
                    }
                });
                let _ = stopped.await;
            });
        });
        Host { node, stop: Some(stop), paused, thread: Some(thread) }
    }

    fn state(&self, host: &str) -> Option<MemberState> {
        self.node.members.lock().state(host, self.node.clock.now())
    }

    fn version(&self, name: &str) -> Option<u64> {
        self.node.catalog.lock().get(RecordKind::Profile, name).map(|r| r.version)
    }

    fn events(&self, code: EventCode) -> usize {
        self.node.events.read(|e| e.code == code.number()).0.len()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.stop.take();
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

fn bind() -> (std::net::TcpListener, SocketAddr) {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn fleet(size: usize) -> (Vec<Host>, Vec<Peer>) {
    let listeners: Vec<_> = (0..size).map(|_| bind()).collect();
    let peers: Vec<Peer> = listeners.iter().enumerate().map(|(i, l)| peer(i, l.1)).collect();
    let start =
        |(i, (listener, address))| Host::start(&format!("entry-{i}"), listener, address, &peers);
    let hosts = listeners.into_iter().enumerate().map(start).collect();
    (hosts, peers)
}

fn peer(i: usize, address: SocketAddr) -> Peer {
    Peer { host: format!("entry-{i}").into(), data_centre: "dc".into(), address }
}

fn profile(name: &str, version: u64) -> Record {
    let otherwise = Treatment::default();
    let profile = Profile { name: name.into(), rules: Vec::new(), otherwise };
    Record {
        name: name.into(),
        version,
        change: format!("change-{version}").into(),
        author: "test".into(),
        revision: None,
        body: Body::Profile(Arc::new(profile)),
    }
}

/// Waits until a condition holds, and fails the test after [`TIMEOUT`].
fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "{what}: not within {TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn newer_versions_reach_every_host_and_older_ones_are_ignored() {
    let (hosts, _) = fleet(6);
    hosts[0].node.offer(vec![profile("a", 5)]);
    hosts[3].node.offer(vec![profile("b", 1)]);
    wait_until("a5 and b1 on all hosts", || {
        hosts.iter().all(|h| h.version("a") == Some(5) && h.version("b") == Some(1))
    });
    hosts[4].node.offer(vec![profile("a", 4), profile("b", 2)]);
    wait_until("b2 on all hosts", || hosts.iter().all(|h| h.version("b") == Some(2)));
    assert!(hosts.iter().all(|h| h.version("a") == Some(5)));
}

#[test]
fn a_fresh_host_learns_every_record_from_its_peers() {
    let (hosts, mut peers) = fleet(2);
    let records = (0..300).map(|i| profile(&format!("p{i}"), i + 1)).collect();
    hosts[1].node.offer(records);
    let (listener, address) = bind();
    peers.push(peer(2, address));
    let fresh = Host::start("entry-2", listener, address, &peers);
    wait_until("synced with both", || fresh.node.members.lock().synced_count() == 2);
    assert_eq!(fresh.node.catalog.lock().records().len(), 300);
}

#[test]
fn a_stopped_host_is_dead_and_a_restarted_one_alive_again() {
    let (mut hosts, peers) = fleet(4);
    let is_alive = |h: &Host, of: &str| h.state(of) == Some(MemberState::Alive);
    wait_until("all alive", || hosts.iter().skip(1).all(|h| is_alive(h, "entry-0")));
    drop(hosts.remove(0));
    wait_until("dead", || hosts.iter().all(|h| h.state("entry-0") == Some(MemberState::Dead)));
    let (listener, address) = bind();
    let back = Host::start("entry-0", listener, address, &peers);
    wait_until("alive again", || hosts.iter().all(|h| is_alive(h, "entry-0")));
    wait_until("alive to it", || is_alive(&back, "entry-3"));
}

#[test]
fn a_draining_host_is_seen_as_left() {
    let (hosts, _) = fleet(3);
    wait_until("joined", || hosts[1].state("entry-0") == Some(MemberState::Alive));
    hosts[0].node.enter(Phase::Draining);
    let has_left = |h: &Host| h.state("entry-0") == Some(MemberState::Left);
    wait_until("left", || hosts[1..].iter().all(has_left));
}

#[test]
fn an_observed_leaving_upstream_reaches_every_host_and_expires() {
    let (hosts, _) = fleet(8);
    let service: Arc<str> = "s".into();
    let upstream = Upstream {
        name: "u".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "dc".into(),
    };
    let cfg = Service { name: service.clone(), upstreams: vec![upstream], ..Service::default() };
    for host in &hosts {
        host.node.tables.lock().put(Arc::new(cfg.clone()), host.node.clock.now());
    }
    let upstream_state = |h: &Host| h.node.tables.lock().service(&service).unwrap().rows()[0].state;
    let set_state = |state| {
        let now = hosts[0].node.clock.now();
        hosts[0].node.tables.lock().service(&service).unwrap().set_state("u", state, now);
    };
    set_state(State::Leaving);
    wait_until("leaving", || hosts.iter().all(|h| upstream_state(h) == State::Leaving));
    set_state(State::Live);
    wait_until("live again", || hosts.iter().all(|h| upstream_state(h) == State::Live));
}

#[test]
fn an_evacuation_reaches_every_host_and_those_that_start_later() {
    let (mut hosts, mut peers) = fleet(6);
    let order = |active, revision| EvacuationOrder {
        data_centre: "dc".into(),
        active,
        version: Revision { era: 0, number: revision },
    };
    let is_evacuated = |h: &Host| h.node.evacuations.lock().active().count() == 1;
    hosts[0].node.observe_evacuation(&order(true, 7));
    wait_until("evacuated", || hosts.iter().all(is_evacuated));
    let (listener, address) = bind();
    peers.push(peer(6, address));
    hosts.push(Host::start("entry-6", listener, address, &peers));
    wait_until("known at the start", || is_evacuated(&hosts[6]));
    hosts[3].node.observe_evacuation(&order(false, 9));
    wait_until("taken back", || !hosts.iter().any(is_evacuated));
    hosts[5].node.observe_evacuation(&order(true, 8));
    hosts[2].node.observe_evacuation(&order(true, 11));
    wait_until("evacuated again", || hosts.iter().all(is_evacuated));
    assert!(hosts.iter().all(|h| h.events(EventCode::EvacuationBegan) == 2));
}

#[test]
fn a_paused_host_is_stale_until_it_has_caught_up() {
    let (hosts, _) = fleet(3);
    let is_stale = |h: &Host| h.node.pause_detector.lock().is_stale(h.node.clock.now());
    wait_until("synced", || hosts[0].node.members.lock().synced_count() == 2);
    hosts[0].paused.store(true, Ordering::Relaxed);
    wait_until("stale before the next tick", || is_stale(&hosts[0]));
    hosts[1].node.offer(vec![profile("a", 1)]);
    let members = || hosts[0].node.members.lock().clone();
    assert_eq!(members().owner("duty", hosts[0].node.clock.now()), "");
    hosts[0].paused.store(false, Ordering::Relaxed);
    wait_until("caught up", || hosts[0].version("a") == Some(1) && !is_stale(&hosts[0]));
    assert!(hosts[0].events(EventCode::Paused) >= 1);
    wait_until("synced again", || members().synced_count() == 2);
}

#[test]
fn a_link_that_stops_responding_is_replaced() {
    let (first, first_address) = bind();
    let (second, second_address) = bind();
    let (proxy, proxy_address) = bind();
    let (freeze, frozen) = watch::channel(false);
    std::thread::spawn(move || run_freezing_proxy(proxy, second_address, frozen));
    let peers = [peer(0, first_address), peer(1, proxy_address)];
    let a = Host::start("entry-0", first, first_address, &peers);
    let b = Host::start("entry-1", second, proxy_address, &peers);
    wait_until("linked", || a.state("entry-1") == Some(MemberState::Alive));
    freeze.send(true).unwrap();
    wait_until("replaced", || a.events(EventCode::PeerLinkReplaced) > 0);
    b.node.offer(vec![profile("a", 1)]);
    wait_until("new link in use", || a.version("a") == Some(1));
}

/// Guards against a registry copy that seems newer than it is. Hosts counted its age from the
/// arrival of a digest, so that over a slow link two hosts made each other's copy look ever newer,
/// and no host read the registry any more.
#[test]
fn the_age_of_the_registry_copy_does_not_shrink_between_hosts() {
    let (first, first_address) = bind();
    let (second, second_address) = bind();
    let (proxy, proxy_address) = bind();
    std::thread::spawn(move || run_delaying_proxy(proxy, second_address));
    let peers = [peer(0, first_address), peer(1, proxy_address)];
    let a = Host::start("entry-0", first, first_address, &peers);
    let b = Host::start("entry-1", second, proxy_address, &peers);
    wait_until("linked", || a.state("entry-1") == Some(MemberState::Alive));
    let read = Instant::now();
    for reader in [&a, &b] {
        reader.node.registry_freshness.advance_to(reader.node.clock.now());
    }
    let end = read + Duration::from_secs(3);
    while Instant::now() < end {
        for host in [&a, &b] {
            let as_of = host.node.registry_freshness.as_of().unwrap();
            let ahead = host.node.clock.instant(as_of).saturating_duration_since(read);
            assert!(ahead < Duration::from_millis(50), "{ahead:?} after the last read");
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_registry_read_spreads_to_every_host() {
    let (hosts, _) = fleet(12);
    wait_until("linked", || hosts.iter().all(|h| h.events(EventCode::PeerJoined) >= 11));
    let reader = &hosts[5].node;
    wait_until("well after the start", || reader.clock.now() > Time::from_millis(1_000));
    let read = reader.clock.now();
    reader.registry_freshness.advance_to(read);
    let tolerance = Duration::from_millis(500);
    let read = reader.clock.instant(read);
    let is_current = |h: &Host| {
        h.node
            .registry_freshness
            .as_of()
            .is_some_and(|at| read.saturating_duration_since(h.node.clock.instant(at)) < tolerance)
    };
    wait_until("current on all hosts", || hosts.iter().all(is_current));
}

/// Guards against a copy that is called current though an upstream in it has been removed: a host
/// that had read the registry after the removal learned of the upstream from a peer.
#[test]
fn a_read_that_has_not_shown_an_upstream_of_a_peer_is_not_passed_on() {
    let (hosts, _) = fleet(2);
    wait_until("linked", || hosts.iter().all(|h| h.events(EventCode::PeerJoined) >= 1));
    let fresh = &hosts[1].node;
    fresh.registry_freshness.advance_by_read(fresh.clock.now(), true);
    assert!(fresh.registry_freshness.as_of_for_peers().is_some());
    hosts[0].node.offer(vec![upstream_record("u", 5)]);
    let knows = |h: &Host| h.node.catalog.lock().get(RecordKind::Host, "u").is_some();
    wait_until("known", || knows(&hosts[1]));
    wait_until("doubtful", || fresh.registry_freshness.as_of_for_peers().is_none());
    assert!(fresh.registry_freshness.as_of().is_some());
    fresh.registry_freshness.advance_by_read(fresh.clock.now(), true);
    assert!(fresh.registry_freshness.as_of_for_peers().is_some());
}

fn upstream_record(name: &str, version: u64) -> Record {
    let host = ListedHost {
        name: name.into(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "dc".into(),
        role: Role::Upstream,
        service: Some("s".into()),
        state: State::Live,
        slots: 6,
        peer: None,
        admin: None,
        born: Some(7),
    };
    let (change, author) = ("".into(), "".into());
    Record {
        name: name.into(),
        version,
        change,
        author,
        revision: None,
        body: Body::Host(Arc::new(host)),
    }
}

/// Forwards connections with a delay of 200 ms in each direction.
fn run_delaying_proxy(listener: std::net::TcpListener, to: SocketAddr) {
    const DELAY: Duration = Duration::from_millis(200);
    async fn copy(mut rx: impl AsyncRead + Unpin, mut tx: impl AsyncWrite + Unpin) {
        let mut buf = vec![0; 65_536];
        while let Ok(read @ 1..) = rx.read(&mut buf).await {
            tokio::time::sleep(DELAY).await;
            if tx.write_all(&buf[..read]).await.is_err() {
                return;
            }
        }
    }
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    rt.block_on(async move {
        listener.set_nonblocking(true).unwrap();
        let listener = TcpListener::from_std(listener).unwrap();
        while let Ok((near, _)) = listener.accept().await {
            tokio::spawn(async move {
                let far = TcpStream::connect(to).await.unwrap();
                let (near_rx, near_tx) = near.into_split();
                let (far_rx, far_tx) = far.into_split();
                tokio::join!(copy(near_rx, far_tx), copy(far_rx, near_tx));
            });
        }
    });
}

/// Forwards connections. When `frozen` changes, the open ones stop forwarding; new ones work.
fn run_freezing_proxy(
    listener: std::net::TcpListener,
    to: SocketAddr,
    frozen: watch::Receiver<bool>,
) {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    rt.block_on(async move {
        listener.set_nonblocking(true).unwrap();
        let listener = TcpListener::from_std(listener).unwrap();
        while let Ok((mut near, _)) = listener.accept().await {
            let mut frozen = frozen.clone();
            frozen.mark_unchanged();
            tokio::spawn(async move {
                let mut far = TcpStream::connect(to).await.unwrap();
                tokio::select! {
                    _ = copy_bidirectional(&mut near, &mut far) => {}
                    _ = frozen.changed() => std::future::pending().await,
                }
            });
        }
    });
}

#[test]
fn a_host_whose_clock_was_set_back_rejoins() {
    let (listener, address) = bind();
    let (other, other_address) = bind();
    let peers = [peer(0, address), peer(1, other_address)];
    let a = Host::start("entry-0", listener, address, &peers);
    let earlier = Process {
        host: "entry-1".into(),
        data_centre: "dc".into(),
        address: other_address,
        incarnation: u64::MAX / 2,
        link_mbps: 0,
    };
    let shutdown = Heartbeat { counter: 9, at: Time::ZERO, left: true, dead: false };
    a.node.members.lock().record_heartbeat(&earlier, shutdown, Time::ZERO);
    let _b = Host::start("entry-1", other, other_address, &peers);
    wait_until("alive", || a.state("entry-1") == Some(MemberState::Alive));
}

fn arb_digest() -> impl Strategy<Value = Digest> {
    let process =
        ("[a-z]{0,8}", any::<u64>(), any::<u16>()).prop_map(|(host, incarnation, port)| {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            Process {
                host: host.into(),
                data_centre: "dc".into(),
                address,
                incarnation,
                link_mbps: 10,
            }
        });
    let heartbeat = (any::<u16>(), any::<u32>(), 0_u32..255, any::<bool>()).prop_map(
        |(process, counter, age, left)| {
            let age = Duration::from_millis(20) * age;
            RelayedHeartbeat { process, counter, age, left, dead: !left }
        },
    );
    let upstream = ("[a-z]{0,8}", "\\PC{0,8}")
        .prop_map(|(s, n)| UpstreamName { service: s.into(), name: n.into() });
    let reading = proptest::option::of((0_u16..65_535, 0_u32..255));
    let load = (any::<u16>(), any::<u16>(), reading, any::<bool>());
    let load = load.prop_map(|(upstream, in_flight, load, leaving)| {
        let load = load.map(|(value, age)| (value, Duration::from_millis(20) * age));
        UpstreamLoad { upstream, in_flight, load, leaving }
    });
    let recent = ("\\PC{0,8}", any::<u64>(), any::<bool>()).prop_map(|(name, version, service)| {
        let kind = if service { RecordKind::Service } else { RecordKind::Profile };
        RecordVersion { kind, name: name.into(), version }
    });
    let head = (any::<u64>(), any::<u32>(), any::<u32>(), any::<bool>(), any::<u64>());
    let lists = (vec(process, 0..4), vec(heartbeat, 0..4), vec(upstream, 0..4), vec(load, 0..4));
    let rate = proptest::option::of(0.0..1e9);
    let limit = (any::<u16>(), rate, any::<u32>()).prop_map(|(upstream, per_second, age)| {
        UpstreamLimit { upstream, per_second, age: Duration::from_millis(age.into()) }
    });
    let report = (any::<u64>(), any::<u64>(), any::<u32>()).prop_map(|(fingerprint, n, age)| {
        RelayedReport {
            fingerprint: Fingerprint(fingerprint),
            event: match n % 8 {
                0 => RequestEvent::Answered,
                1 => RequestEvent::Blocked,
                _ => RequestEvent::UpstreamCrashed(n),
            },
            age: Duration::from_millis(age.into()),
            took: Duration::from_millis(n % 100_000),
        }
    });
    let cold = (any::<u16>(), any::<u32>()).prop_map(|(upstream, remaining)| ColdUpstream {
        upstream,
        remaining: Duration::from_millis(remaining.into()),
    });
    let order = ("\\PC{0,8}", any::<bool>(), any::<u32>(), any::<u64>());
    let order = order.prop_map(|(name, active, era, revision)| EvacuationOrder {
        data_centre: name.into(),
        active,
        version: Revision { era, number: revision },
    });
    let news = (vec(cold, 0..4), vec(report, 0..4), vec(order, 0..4));
    let tail = (vec(recent, 0..4), vec(limit, 0..4), news);
    (head, lists, tail).prop_map(|(head, lists, (recent, limits, news))| Digest {
        stamp: Timestamp { millis: head.0, count: head.1 },
        heartbeat: head.2,
        left: head.3,
        leaving_upstreams: Vec::new(),
        stale: !head.3,
        registry_age: head.3.then(|| Duration::from_millis(u64::from(head.1 % 60_000))),
        registry_era: head.1,
        summary: CatalogSummary { fingerprint: head.4, version_sum: head.0 },
        members_fingerprint: head.0 ^ head.4,
        processes: lists.0,
        heartbeats: lists.1,
        upstreams: lists.2,
        loads: lists.3,
        limits,
        cold: news.0,
        request_reports: news.1,
        evacuations: news.2,
        recent,
    })
}

fn encode(digest: &Digest) -> Vec<u8> {
    let mut message = Builder::new_default();
    codec::write(digest, message.init_root::<wire::digest::Builder<'_>>());
    capnp::serialize::write_message_to_words(&message)
}

fn decode(mut bytes: &[u8]) -> Result<Digest, capnp::Error> {
    let message = capnp::serialize::read_message(&mut bytes, session::reader_options())?;
    codec::read(message.get_root()?)
}

proptest! {
    #[test]
    fn a_digest_survives_encoding_and_decoding(digest in arb_digest()) {
        prop_assert_eq!(decode(&encode(&digest)).unwrap(), digest);
    }

    #[test]
    fn decoding_damaged_messages_does_not_panic(
        digest in arb_digest(),
        damage in vec((any::<prop::sample::Index>(), any::<u8>()), 1..8),
        noise in vec(any::<u8>(), 0..256),
    ) {
        let mut bytes = encode(&digest);
        let len = bytes.len();
        damage.iter().for_each(|(at, byte)| bytes[at.index(len)] = *byte);
        let _ = decode(&bytes);
        let _ = decode(&noise);
    }
}

/// Guards against an overloaded host that takes itself for paused, and does even more for that.
#[test]
fn a_control_loop_that_runs_late_while_requests_come_is_no_pause() {
    let (hosts, _) = fleet(2);
    wait_until("both are alive", || hosts[0].state("entry-1") == Some(MemberState::Alive));
    let replaced = hosts[0].events(EventCode::PeerLinkReplaced);
    let node = hosts[0].node.clone();
    let is_over = Arc::new(AtomicBool::new(false));
    let stop = is_over.clone();
    let requests = std::thread::spawn(move || {
        let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        rt.block_on(async {
            while !stop.load(Ordering::Relaxed) {
                node.wait_until_current().await;
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
    });
    hosts[0].paused.store(true, Ordering::Relaxed);
    std::thread::sleep(Duration::from_millis(1_400));
    hosts[0].paused.store(false, Ordering::Relaxed);
    wait_until("the loop runs again", || hosts[0].state("entry-1") == Some(MemberState::Alive));
    std::thread::sleep(Duration::from_millis(300));
    is_over.store(true, Ordering::Relaxed);
    requests.join().unwrap();
    assert_eq!(hosts[0].events(EventCode::Paused), 0);
    assert_eq!(hosts[0].events(EventCode::PeerLinkReplaced), replaced);
}
