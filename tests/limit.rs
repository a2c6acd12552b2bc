//! Rate limits that upstreams name for all hosts together.

mod harness;
#[path = "../examples/standin/mod.rs"]
mod standin;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::Request;
use http_body_util::Full;
use serde_json::{Value, json};

use harness::signing::{SigningUpstream, config, field, signed};
use harness::{Caller, Daemon, send_raw, wait_until};
use standin::registry::Registry;

/// The limit that the upstream names, in requests per second.
const LIMIT: f64 = 2.0;
/// The time after the limit is first named from which hosts must keep within it.
const CONTACT: Duration = Duration::from_secs(3);
/// The time after a host has had a response with the limit from which its requests count.
const TOLD: Duration = Duration::from_millis(500);
/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// The requests that reached an upstream: the host that sent each, and when.
#[derive(Debug, Default)]
struct Arrivals(Mutex<Vec<(String, Instant)>>);

impl Arrivals {
    fn add(&self, host: &str) {
        self.0.lock().expect("arrivals").push((host.to_owned(), Instant::now()));
    }

    /// Returns the most requests in a window that ends after [`CONTACT`], from hosts that had been
    /// told of the limit.
    fn most_in_window(&self) -> usize {
        let all = self.0.lock().expect("arrivals");
        let told = |host: &str| all.iter().find(|(h, _)| h == host).map(|(_, at)| *at + TOLD);
        let counted: Vec<Instant> = all
            .iter()
            .filter(|(host, at)| told(host).is_some_and(|told| *at >= told))
            .map(|(_, at)| *at)
            .collect();
        let Some((_, first)) = all.first() else { return 0 };
        let in_window = |end: &Instant| {
            counted.iter().filter(|at| **at <= *end && **at + WINDOW > *end).count()
        };
        counted.iter().filter(|at| **at >= *first + CONTACT).map(in_window).max().unwrap_or(0)
    }
}

fn status(daemon: &Daemon) -> Value {
    let req = b"GET /status HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let res = send_raw(daemon.admin, req).expect("status");
    let (_, body) = res.split_once("\r\n\r\n").expect("body");
    serde_json::from_str(body).unwrap_or_default()
}

fn live_peers(daemon: &Daemon) -> usize {
    let status = status(daemon);
    let members = status["members"].as_array().cloned().unwrap_or_default();
    members.iter().filter(|m| m["standing"] == "alive").count()
}

/// Sends requests one after another until the time is over. Their ids begin with the host's name.
async fn send_until(daemon: SocketAddr, host: String, end: Instant) {
    let mut caller = Caller::connect(daemon).await.expect("connect");
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let req =
            Request::builder().method("GET").uri("/book/read/7").header("host", "port.example");
        let req = req.header("x-attempt-id", format!("{host}.{number}"));
        let req = req.header("x-deadline-ms", "700").body(Full::default()).expect("request");
        if caller.send(req).await.is_err() {
            caller = Caller::connect(daemon).await.expect("connect");
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_limited_upstream_gets_no_more_than_it_takes_from_all_hosts_together() {
    let arrivals = Arc::new(Arrivals::default());
    let seen = arrivals.clone();
    let limited = SigningUpstream::start("u-1", move |head| {
        let host = field(head, "x-attempt-id").split('.').next().unwrap_or_default().to_owned();
        seen.add(&host);
        signed(head).replacen("\r\n", &format!("\r\nserver-limit: {LIMIT}\r\n"), 1)
    });
    let other = SigningUpstream::start("u-2", |head| {
        std::thread::sleep(Duration::from_millis(10));
        signed(head)
    });
    let registry = Registry::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await;
    registry.put("op/config", &config(3, "/book/"));
    registry.put("servers/u-1", &limited.registration("ready"));
    registry.put("servers/u-2", &other.registration("ready"));
    let daemons: Vec<Daemon> = (1..=3)
        .map(|i| {
            Daemon::run(&json!({
                "host": format!("entry-{i}"), "data_centre": "a", "peer": harness::FREE_ADDRESS,
                "registry": {
                    "address": registry.address, "retry_share": 0.2, "retry_slack": 56.0,
                    "probes_per_second": 60.0,
                },
            }))
        })
        .collect();
    wait_until("the hosts know each other", || daemons.iter().all(|d| live_peers(d) == 2));
    let end = Instant::now() + CONTACT + WINDOW + TOLD;
    let callers = daemons.iter().enumerate().flat_map(|(i, daemon)| {
        let address = daemon.caller;
        (0..3).map(move |_| tokio::spawn(send_until(address, format!("entry-{}", i + 1), end)))
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.expect("caller");
    }
    let allowed = 1.5 * LIMIT * WINDOW.as_secs_f64() + 5.0;
    let most = arrivals.most_in_window();
    assert!(most as f64 <= allowed, "{most} requests in 4 s; {allowed} are allowed");
}
