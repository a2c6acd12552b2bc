//! Daemons whose upstreams are cold, by their registrations or their responses to probes.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::Request;
use http_body_util::Full;
use serde_json::{Value, json};

use crate::harness::signing::{COLD_HEALTH, SigningUpstream, config, signed};
use crate::harness::{self, Caller, Daemon, event_count, live_peers, wait_until};
use crate::standin::registry::Registry;

const SECOND: Duration = Duration::from_secs(1);
/// The numbers of the events for records in force and for cold and warm upstreams.
const IN_FORCE: u16 = 4001;
const COLD: u16 = 3101;
const WARM: u16 = 3102;

/// Sends a request to a host, on a new connection if the old one has ended.
async fn send(caller: &mut Caller, daemon: &Daemon, id: &str) {
    let req = Request::builder().method("GET").uri("/book/read/7").header("host", "port.example");
    let req = req.header("x-deadline-ms", "700").header("x-attempt-id", id);
    let req = req.body(Full::default()).expect("request");
    if caller.send(req).await.is_err() {
        *caller = Caller::connect(daemon.caller).await.expect("connect");
    }
}

/// Returns the settings of a host.
fn settings(number: usize, registry: &Registry) -> Value {
    json!({
        "host": format!("entry-{number}"), "data_centre": "a", "peer": harness::FREE_ADDRESS,
        "registry": {
            "address": registry.address, "retry_share": 0.2, "retry_slack": 56.0,
            "probes_per_second": 60.0,
        },
    })
}

/// Returns a config whose upstreams take `per_second` requests while they are cold.
fn config_with_warm_up(per_second: f64) -> String {
    let mut cfg: Value = serde_json::from_str(&config(3, "/book/")).expect("config");
    cfg["clusters"][0]["warmupPerS"] = per_second.into();
    cfg.to_string()
}

/// Returns a heartbeat of an upstream.
fn heartbeat(upstream: &SigningUpstream, sequence: u64, cold_seconds: f64) -> String {
    let text = upstream.heartbeat("ready", 1_000, sequence);
    let mut registration: Value = serde_json::from_str(&text).expect("registration");
    registration["coldRemainingS"] = cold_seconds.into();
    registration.to_string()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn heartbeats_of_a_cold_upstream_are_heard_and_are_no_new_records() {
    let upstream = SigningUpstream::start("u-1", signed);
    let registry = Registry::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await;
    registry.put("op/config", &config_with_warm_up(7.8));
    registry.put("servers/u-1", &heartbeat(&upstream, 1, 0.0));
    let daemon = Daemon::run(&settings(1, &registry));
    let records = event_count(&daemon, IN_FORCE);
    assert_eq!(event_count(&daemon, COLD), 0);
    registry.put("servers/u-1", &heartbeat(&upstream, 2, 500.0));
    wait_until("the upstream is known to be cold", || event_count(&daemon, COLD) == 1);
    registry.put("servers/u-1", &heartbeat(&upstream, 3, 499.0));
    // Its responses to probes say that it is warm, so that requests go there.
    let mut caller = Caller::connect(daemon.caller).await.expect("connect");
    let mut number = 0;
    while event_count(&daemon, WARM) == 0 {
        number += 1;
        send(&mut caller, &daemon, &format!("r-{number}")).await;
        assert!(number < 1_000, "it is still taken for cold");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(event_count(&daemon, IN_FORCE), records, "no new record");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn hosts_together_send_a_cold_upstream_little() {
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let seen = arrivals.clone();
    let cold = SigningUpstream::start(COLD_HEALTH, move |head| {
        seen.lock().expect("arrivals").push(Instant::now());
        signed(head)
    });
    let warm = SigningUpstream::start("u-2", signed);
    let registry = Registry::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await;
    registry.put("op/config", &config_with_warm_up(4.0));
    registry.put(&format!("servers/{COLD_HEALTH}"), &heartbeat(&cold, 1, 60.0));
    registry.put("servers/u-2", &warm.registration("ready"));
    let daemons: Vec<Daemon> = (1..=3).map(|i| Daemon::run(&settings(i, &registry))).collect();
    wait_until("the hosts know each other", || daemons.iter().all(|d| live_peers(d) == 2));
    let mut callers = Vec::new();
    for daemon in &daemons {
        callers.push(Caller::connect(daemon.caller).await.expect("connect"));
    }
    let start = Instant::now();
    let mut number = 0;
    // Some requests go there, as the first ones warm it up.
    while arrivals.lock().expect("arrivals").len() < 24 {
        number += 1;
        for (caller, daemon) in callers.iter_mut().zip(&daemons) {
            send(caller, daemon, &format!("r-{number}")).await;
        }
        assert!(start.elapsed() < harness::TIMEOUT, "the cold upstream gets nothing");
    }
    let arrivals = arrivals.lock().expect("arrivals");
    let in_second = |first: &Instant| {
        arrivals.iter().filter(|at| *at >= first && at.duration_since(*first) < SECOND).count()
    };
    let most = arrivals.iter().map(in_second).max().unwrap_or(0);
    assert!(most <= 14, "{most} requests in a second");
    assert!(daemons.iter().all(|d| event_count(d, COLD) == 1));
}
