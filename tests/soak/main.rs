//! A randomized soak: real daemons as processes, faults from outside them, and promises that are
//! checked from what callers and upstreams saw.
//!
//! One seed gives one schedule of faults. `SOAK_SEEDS` (a list such as `1,2,3`), `SOAK_SECONDS` and
//! `SOAK_HOSTS` set a longer run by hand:
//!
//! ```text
//! SOAK_SEEDS=1,2,3 SOAK_SECONDS=20 SOAK_HOSTS=6 cargo test --test soak -- --nocapture
//! ```

#[path = "../harness/mod.rs"]
mod harness;
mod observed;
mod proxy;
#[path = "../../examples/standin/mod.rs"]
mod standin;
mod upstream;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use harness::{Caller, Daemon};
use observed::{Answer, IN_FORCE, Observed, Outcome, PROBES_PER_SECOND, RETRY_SHARE, RETRY_SLACK};
use proxy::{Mode, Proxy};
use standin::registry::Registry;
use upstream::{Fault, Upstream};

/// Seeds of the run in CI. Seeds that ever failed stay here, each with a line on its cause.
const SEEDS: [u64; 2] = [1, 2];
/// Seconds of faults of the run in CI.
const SECONDS: u64 = 6;
/// Hosts of the run in CI.
const HOSTS: usize = 3;
/// Upstreams at the beginning.
const UPSTREAMS: usize = 5;
/// Callers, each with one request at a time.
const CALLERS: usize = 8;
/// Time between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(15);
/// Time between two faults.
const FAULT_GAP: std::ops::Range<u64> = 150..700;
/// How long a fault lasts.
const FAULT_LENGTH: std::ops::Range<u64> = 200..2_000;
/// Time after the last fault in which all has to be well again.
const SETTLE: Duration = Duration::from_secs(4);
/// Time for which callers wait: that which they tell, and something for a daemon that is stopped.
const CALLER_TIMEOUT: Duration = Duration::from_secs(4);

/// One fleet under one schedule of faults.
struct Soak {
    observed: Arc<Observed>,
    registry: Arc<Registry>,
    store: Arc<Proxy>,
    settings: Vec<Value>,
    hosts: Vec<Mutex<Option<Daemon>>>,
    addresses: Vec<SocketAddr>,
    upstreams: Mutex<Vec<Arc<Upstream>>>,
    version: Mutex<u64>,
}

fn number<T: std::str::FromStr>(name: &str, usual: T) -> T {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(usual)
}

fn config(version: u64) -> String {
    let rule = |name: &str, kind: &str, prefix: &str| {
        json!({
            "name": name, "kind": kind, "latencyGoalS": 0.4, "priority": 1,
            "match": {"pathPrefix": prefix},
            "action": {"service": "dispatch", "timeoutS": 1.5, "maxAttempts": 3},
        })
    };
    let mut rules =
        vec![rule("write", "non_idempotent", "/write/"), rule("read", "idempotent", "/read/")];
    let added = |v: u64| rule(&format!("r{v}"), "idempotent", &format!("/added/{v}/"));
    rules.extend((2..=version).map(added));
    json!({
        "version": version,
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        },
        "listeners": [{"host": "port.example", "rules": rules}],
        "clusters": [{
            "name": "dispatch", "healthPath": "/health", "maxConnections": 400,
            "protocol": "h1", "tls": false,
        }],
    })
    .to_string()
}

impl Soak {
    async fn start(hosts: usize) -> Arc<Soak> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let observed = Arc::new(Observed::default());
        let registry = Registry::start(any).await;
        let store = Proxy::start(registry.address).await;
        registry.put("op/config", &config(1));
        let mut upstreams = Vec::new();
        for i in 0..UPSTREAMS {
            let upstream = Upstream::start(&format!("u-{i}"), &observed).await;
            registry.put(&format!("servers/u-{i}"), &upstream.entry("ready"));
            upstreams.push(upstream);
        }
        let settings: Vec<Value> = (0..hosts)
            .map(|i| {
                let peer = TcpListener::bind(any).expect("port").local_addr().expect("bound");
                json!({
                    "host": format!("entry-{i}"), "data_centre": "a", "peer": peer,
                    "limits": {"grace_ms": 300},
                    "registry": {
                        "address": store.address, "retry_share": RETRY_SHARE,
                        "retry_slack": RETRY_SLACK, "probes_per_second": PROBES_PER_SECOND,
                    },
                })
            })
            .collect();
        let daemons: Vec<Daemon> = settings.iter().map(Daemon::run).collect();
        Arc::new(Soak {
            observed,
            registry,
            store,
            addresses: daemons.iter().map(|d| d.caller).collect(),
            hosts: daemons.into_iter().map(|d| Mutex::new(Some(d))).collect(),
            settings,
            upstreams: Mutex::new(upstreams),
            version: Mutex::new(1),
        })
    }

    /// Sends requests until `ended`, on a connection that is kept as long as it lasts.
    async fn call(self: Arc<Soak>, caller: usize, seed: u64, ended: Instant) {
        let mut rng = SmallRng::seed_from_u64(seed ^ (caller as u64) << 32);
        let mut kept: Option<(usize, Caller)> = None;
        for number in 0_u64.. {
            if Instant::now() >= ended {
                return;
            }
            tokio::time::sleep(PAUSE).await;
            let (host, mut conn) = match kept.take() {
                Some(kept) => kept,
                None => {
                    let host = rng.random_range(0..self.addresses.len());
                    match Caller::connect(self.addresses[host]).await {
                        Ok(conn) => (host, conn),
                        Err(_) => continue,
                    }
                }
            };
            let version = *self.version.lock();
            let (method, path, route) = match rng.random_range(0..5) {
                0 | 1 => ("POST", "/write/x".to_owned(), 0),
                2 if version > 1 => ("GET", format!("/added/{version}/x"), version),
                _ => ("GET", "/read/x".to_owned(), 0),
            };
            let id = format!("c{caller}-{number}");
            let req = Request::builder().method(method).uri(path).header("host", "port.example");
            let req = req.header("x-attempt-id", &id).header("x-deadline-ms", "1500");
            let req = req.body(Full::new(Bytes::new())).expect("request");
            let sent = Instant::now();
            let answer = tokio::time::timeout(CALLER_TIMEOUT, conn.send(req)).await;
            let answer = answer.ok().and_then(Result::ok).map(|res| {
                let signature = res.headers().get("x-response-signature");
                let signature = signature.and_then(|v| v.to_str().ok()).unwrap_or("").to_owned();
                let body = String::from_utf8_lossy(res.body()).into_owned();
                Answer { status: res.status().as_u16(), signature, body }
            });
            if answer.is_some() {
                kept = Some((host, conn));
            }
            let idempotent = method == "GET";
            self.observed.outcomes.lock().push(Outcome {
                id,
                idempotent,
                host,
                sent,
                route,
                answer,
            });
        }
    }

    /// Injects one fault, and takes it back after a while.
    async fn inject(self: Arc<Soak>, kind: u32, mut rng: SmallRng) {
        let length = Duration::from_millis(rng.random_range(FAULT_LENGTH));
        let host = rng.random_range(0..self.hosts.len());
        match kind {
            0 => self.stop(host, "TERM").await,
            1 => self.stop(host, "KILL").await,
            2 => self.freeze(host, length).await,
            3 => self.signal(host, "HUP"),
            4 => {
                self.registry.set_refusing(true);
                self.impair_store(length).await;
                self.registry.set_refusing(false);
            }
            5 => {
                self.registry.set_delay(Duration::from_millis(250));
                self.impair_store(length).await;
                self.registry.set_delay(Duration::ZERO);
            }
            6 => self.registry.discard_history(),
            7 => {
                self.store.set(Mode::Silent);
                self.impair_store(length).await;
                self.store.set(Mode::Pass);
                self.store.reset();
            }
            8 => self.drain().await,
            9 => self.publish(),
            10 => self.registry.put("servers/odd", r#"{"service": 7, "state": "resting"}"#),
            11 => self.join(&mut rng).await,
            _ => self.harm_upstream(length, &mut rng).await,
        }
    }

    fn signal(&self, host: usize, name: &str) {
        if let Some(daemon) = self.hosts[host].lock().as_ref() {
            daemon.signal(name);
        }
    }

    /// Ends a host's process and starts another.
    async fn stop(&self, host: usize, signal: &str) {
        let Some(daemon) = self.hosts[host].lock().take() else { return };
        let start = Instant::now();
        daemon.signal(signal);
        let (in_order, settings) = (signal == "TERM", self.settings[host].clone());
        let mut daemon = daemon;
        let restarted = tokio::task::spawn_blocking(move || {
            if in_order {
                daemon.wait_for_exit();
            }
            daemon.restart(&settings)
        });
        *self.hosts[host].lock() = Some(restarted.await.expect("a restart"));
        let observed = &self.observed;
        let spans = if in_order { &observed.terms } else { &observed.host_faults };
        spans.lock().push((host, start, Instant::now()));
    }

    async fn freeze(&self, host: usize, length: Duration) {
        let start = Instant::now();
        let Some(pid) = self.hosts[host].lock().as_ref().map(Daemon::pid) else { return };
        harness::send_signal(pid, "STOP");
        tokio::time::sleep(length).await;
        // It may have been asked to stop, or was killed, meanwhile.
        harness::send_signal(pid, "CONT");
        self.observed.host_faults.lock().push((host, start, Instant::now()));
    }

    async fn impair_store(&self, length: Duration) {
        let start = Instant::now();
        tokio::time::sleep(length).await;
        self.observed.store_faults.lock().push((start, Instant::now()));
    }

    /// Has an upstream leave: it serves on for a while and is then gone.
    async fn drain(&self) {
        let upstream = {
            let mut upstreams = self.upstreams.lock();
            if upstreams.len() <= UPSTREAMS / 2 {
                return;
            }
            upstreams.remove(0)
        };
        let key = format!("servers/{}", upstream.id);
        self.registry.put(&key, &upstream.entry("draining"));
        self.observed.left.lock().insert(upstream.id.clone(), Instant::now());
        tokio::time::sleep(IN_FORCE * 2).await;
        self.registry.remove(&key);
    }

    async fn join(&self, rng: &mut SmallRng) {
        let upstream =
            Upstream::start(&format!("u-{:x}", rng.random::<u32>()), &self.observed).await;
        self.registry.put(&format!("servers/{}", upstream.id), &upstream.entry("ready"));
        self.upstreams.lock().push(upstream);
    }

    fn publish(&self) {
        let version = *self.version.lock() + 1;
        self.registry.put("op/config", &config(version));
        self.observed.versions.lock().insert(version, Instant::now());
        *self.version.lock() = version;
    }

    async fn harm_upstream(&self, length: Duration, rng: &mut SmallRng) {
        let upstream = self.upstreams.lock().choose(rng).cloned();
        let Some(upstream) = upstream else { return };
        match rng.random_range(0..8) {
            0 => upstream.proxy.reset(),
            1 => upstream.proxy.set(Mode::Silent),
            2 => upstream.proxy.set(Mode::CutBack),
            3 => upstream.proxy.set(Mode::Delay(Duration::from_millis(40))),
            4 => upstream.set(Fault::LosesAnswers),
            5 => upstream.set(Fault::Mixes),
            6 => upstream.set(Fault::Cuts),
            _ => upstream.set(Fault::Slow),
        }
        tokio::time::sleep(length).await;
        upstream.proxy.set(Mode::Pass);
        upstream.set(Fault::None);
    }
}

/// Kinds of faults; those above the named ones harm an upstream, which so comes more often.
const KINDS: u32 = 16;

/// Runs one schedule and returns what broke, with figures of the run.
async fn run(seed: u64, seconds: u64, hosts: usize) -> (Vec<String>, String) {
    let soak = Soak::start(hosts).await;
    let began = Instant::now();
    let last_fault = began + Duration::from_secs(seconds);
    let ended = last_fault + SETTLE * 2 + IN_FORCE;
    let callers: Vec<_> =
        (0..CALLERS).map(|i| tokio::spawn(soak.clone().call(i, seed, ended))).collect();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    while Instant::now() < last_fault {
        tokio::time::sleep(Duration::from_millis(rng.random_range(FAULT_GAP))).await;
        let (kind, own) = (rng.random_range(0..KINDS), SmallRng::seed_from_u64(rng.random()));
        faults.push(tokio::spawn(soak.clone().inject(kind, own)));
    }
    let count = faults.len();
    for fault in faults {
        fault.await.expect("a fault");
    }
    // One more upstream leaves while all is calm, so that each run sees a drain in time.
    tokio::time::sleep(SETTLE.saturating_sub(last_fault.elapsed())).await;
    soak.drain().await;
    for caller in callers {
        caller.await.expect("a caller");
    }
    let mut broken = soak.observed.breaches(began, Instant::now());
    let outcomes = soak.observed.outcomes.lock();
    let settled: Vec<&Outcome> = outcomes.iter().filter(|t| t.sent > ended - SETTLE).collect();
    let is_served = |t: &&&Outcome| t.answer.as_ref().is_some_and(|a| a.status == 200);
    let served = settled.iter().filter(is_served).count();
    if served * 10 < settled.len() * 9 || settled.is_empty() {
        broken.push(format!("RECOVER: {served} of {} served at the end", settled.len()));
    }
    let served = outcomes.iter().filter(|t| is_served(&t)).count();
    let figures =
        format!("seed {seed}: {count} faults, {} requests, {served} served", outcomes.len());
    (broken, figures)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_random_faults() {
    let seeds: Vec<u64> = match std::env::var("SOAK_SEEDS") {
        Ok(list) => list.split(',').map(|s| s.parse().expect("a seed")).collect(),
        Err(_) => SEEDS.to_vec(),
    };
    let (seconds, hosts) = (number("SOAK_SECONDS", SECONDS), number("SOAK_HOSTS", HOSTS));
    let mut broken = Vec::new();
    for seed in seeds {
        let (found, figures) = run(seed, seconds, hosts).await;
        println!("{figures}, {} breaches", found.len());
        found.iter().take(5).for_each(|b| println!("  {b}"));
        broken.extend(found.into_iter().map(|b| format!("seed {seed}: {b}")));
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
