//! Hosts that have lost their path to the upstreams have their requests served by hosts that still
//! have theirs.

mod harness;
#[path = "../examples/standin/mod.rs"]
mod standin;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::net::TcpSocket;

use harness::{Daemon, call, code, event_count, live_peers, wait_until};
use standin::upstream::{Behaviour, Upstream};

/// Event that no upstream of a service responds.
const UNREACHABLE: u16 = 3014;
/// Code of requests that are refused since no upstream responds, without waiting.
const REFUSED_AT_ONCE: u16 = 2020;

/// How a host's path to its upstreams is lost.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Cut {
    /// Connections are opened and nothing comes back.
    Silent,
    /// Connections are refused.
    Refused,
}

/// Addresses of upstreams behind a cut. They stay cut while this lives.
struct CutOff {
    addresses: Vec<SocketAddr>,
    _listeners: Vec<TcpListener>,
    _sockets: Vec<TcpSocket>,
}

impl CutOff {
    fn new(cut: Cut) -> CutOff {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let (mut listeners, mut sockets, mut addresses) = (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..4 {
            if cut == Cut::Silent {
                let listener = TcpListener::bind(any).expect("listener");
                addresses.push(listener.local_addr().expect("address"));
                listeners.push(listener);
            } else {
                let socket = TcpSocket::new_v4().expect("socket");
                socket.bind(any).expect("bind");
                addresses.push(socket.local_addr().expect("address"));
                sockets.push(socket);
            }
        }
        CutOff { addresses, _listeners: listeners, _sockets: sockets }
    }
}

/// Returns a port that is free on all of the addresses.
fn common_port(addresses: &[Ipv4Addr]) -> u16 {
    let is_free = |port: &u16| addresses.iter().all(|a| TcpListener::bind((*a, *port)).is_ok());
    let mut ports = (0..50).map(|_| harness::free_address().port());
    ports.find(is_free).expect("a port that is free on all addresses")
}

/// Starts hosts that know each other. Each has its own view of where the four upstreams are.
fn start(views: &[Vec<SocketAddr>]) -> Vec<Daemon> {
    let addresses: Vec<Ipv4Addr> =
        (0..views.len()).map(|i| Ipv4Addr::new(127, 0, 0, 2 + i as u8)).collect();
    let (peer_port, relay_port) = (common_port(&addresses), common_port(&addresses));
    let peer = |i: usize| {
        let address = SocketAddr::from((addresses[i], peer_port));
        json!({"host": format!("entry-{i}"), "data_centre": "a", "address": address})
    };
    let treatment = json!({
        "idempotent": true, "deadline_ms": 1_500, "wait_ms": 1_000,
        "attempts": 2,
    });
    let host = |(i, view): (usize, &Vec<SocketAddr>)| {
        let upstream = |(n, address): (usize, &SocketAddr)| json!({"name": format!("u{n}"), "address": address, "data_centre": "a"});
        let upstreams: Vec<Value> = view.iter().enumerate().map(upstream).collect();
        let others: Vec<Value> = (0..views.len()).filter(|j| *j != i).map(peer).collect();
        let mut otherwise = treatment.clone();
        otherwise["idempotent"] = json!(false);
        Daemon::run(&json!({
            "host": format!("entry-{i}"), "data_centre": "a",
            "peer": SocketAddr::from((addresses[i], peer_port)), "peers": others,
            "relay_port": relay_port,
            "services": [{
                "name": "s", "profile": "p", "upstreams": upstreams,
                "measure": {"probes_per_second": 400.0, "path": "/healthz", "timeout_ms": 200},
            }],
            "profiles": [{
                "name": "p", "otherwise": otherwise,
                "rules": [{"methods": ["GET"], "path": "*", "treatment": treatment}],
            }],
        }))
    };
    let daemons: Vec<Daemon> = views.iter().enumerate().map(host).collect();
    wait_until("the hosts know each other", || {
        daemons.iter().all(|d| live_peers(d) == views.len() - 1)
    });
    daemons
}

async fn upstreams() -> Vec<Arc<Upstream>> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let behaviour = Behaviour { service_time: Duration::from_millis(5), ..Behaviour::default() };
    let mut out = Vec::new();
    for _ in 0..4 {
        out.push(Upstream::start(any, 16, behaviour.clone()).await);
    }
    out
}

/// Sends requests until the host has noticed that no upstream responds.
async fn notice(daemon: &Daemon) {
    let start = Instant::now();
    for i in 0.. {
        if event_count(daemon, UNREACHABLE) > 0 {
            return;
        }
        assert!(start.elapsed() < Duration::from_secs(20), "the host doesn't notice the cut");
        call(daemon, "GET", "/first", &format!("first-{i}")).await;
    }
}

/// Incident: hosts that were cut off from all upstreams took requests, let them wait and refused them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_at_a_host_without_a_path_to_upstreams_are_served() {
    for cut in [Cut::Silent, Cut::Refused] {
        let (good, cut_off) = (upstreams().await, CutOff::new(cut));
        let reachable: Vec<SocketAddr> = good.iter().map(|u| u.address).collect();
        // A second host is cut off too, so that not every peer can help.
        let views = [cut_off.addresses.clone(), cut_off.addresses.clone(), reachable];
        let daemons = start(&views);
        notice(&daemons[0]).await;
        for i in 0..40 {
            let method = if i % 2 == 0 { "GET" } else { "POST" };
            let id = format!("{cut:?}-{i}");
            let res = call(&daemons[0], method, "/tides", &id).await;
            assert_eq!(code(&res), 1000, "{cut:?} {id}: {res:?}");
            assert_eq!(res.body(), format!("{id}\n").as_bytes());
            let runs: usize = good.iter().map(|u| u.runs_of(&id)).sum();
            assert_eq!(runs, 1, "{cut:?} {id}");
        }
    }
}

/// Guards against requests that hosts pass on to each other without end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_no_host_can_serve_are_refused_at_once() {
    let cut_off = CutOff::new(Cut::Silent);
    let daemons = start(&[cut_off.addresses.clone(), cut_off.addresses.clone()]);
    for daemon in &daemons {
        notice(daemon).await;
    }
    for i in 0..10 {
        let res = call(&daemons[i % 2], "POST", "/tides", &format!("n-{i}")).await;
        assert_eq!(res.headers()["x-cornelferry-outcome"], "not-run", "{res:?}");
        assert!(res.headers().contains_key("retry-after"), "{res:?}");
        assert_eq!(code(&res), REFUSED_AT_ONCE, "{res:?}");
    }
}
