//! Rate limits that upstreams name for all hosts together.

mod harness;
#[path = "../examples/standin/mod.rs"]
mod standin;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cornelferry::Time;
use cornelferry::admission::{Admission, Request as AdmissionRequest};
use cornelferry::balancing::Policy;
use cornelferry::config::{LoadFormat, Priority, Service, Upstream};
use cornelferry::digest::{DeltaDecoder, DeltaEncoder, Digest, UpstreamName};
use cornelferry::limit::{LimitChange, LimitObservation, RateLimit};
use cornelferry::member::{Heartbeat, Members};
use cornelferry::service::{HostInfo, NextAttempt, ServiceTable};
use cornelferry::tick::ServiceTables;
use cornelferry::upstream::{AttemptReport, Occupancy, UpstreamOutcome};
use http::Request;
use http_body_util::Full;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use harness::signing::{SigningUpstream, config, field, signed};
use harness::{Caller, Daemon, event_count, live_peers, wait_until};
use standin::registry::Registry;

/// The numbers of the events for the begin and the end of a limit.
const LIMITED: u16 = 3009;
const UNLIMITED: u16 = 3010;
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
    let daemons = start_hosts(3, &registry);
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

/// Starts hosts that follow a registry, and waits until they know each other.
fn start_hosts(count: usize, registry: &Registry) -> Vec<Daemon> {
    let daemons: Vec<Daemon> = (1..=count)
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
    wait_until("the hosts know each other", || daemons.iter().all(|d| live_peers(d) == count - 1));
    daemons
}

/// Starts a registry with one upstream whose responses name `limit` if there is one, and another.
async fn start_registry(limit: &Arc<Mutex<Option<String>>>) -> (Arc<Registry>, SigningUpstream) {
    let named = limit.clone();
    let limited = SigningUpstream::start("u-1", move |head| match &*named.lock().expect("limit") {
        Some(limit) => signed(head).replacen("\r\n", &format!("\r\nserver-limit: {limit}\r\n"), 1),
        None => signed(head),
    });
    let other = SigningUpstream::start("u-2", signed);
    let registry = Registry::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await;
    registry.put("op/config", &config(3, "/book/"));
    registry.put("servers/u-1", &limited.registration("ready"));
    registry.put("servers/u-2", &other.registration("ready"));
    (registry, limited)
}

/// Sends requests to a host for a moment.
async fn send_some(daemon: &Daemon) {
    let end = Instant::now() + Duration::from_millis(100);
    send_until(daemon.caller, "r".to_owned(), end).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn hosts_learn_from_each_other_of_a_limit_and_of_its_end() {
    let limit = Arc::new(Mutex::new(Some("5".to_owned())));
    let (registry, _limited) = start_registry(&limit).await;
    let daemons = start_hosts(2, &registry);
    let count = |code| daemons.iter().map(|d| event_count(d, code)).collect::<Vec<_>>();
    let start = Instant::now();
    // Only the first host gets requests until both know.
    while count(LIMITED) != [1, 1] {
        send_some(&daemons[0]).await;
        assert!(start.elapsed() < harness::TIMEOUT, "{:?}", count(LIMITED));
    }
    *limit.lock().expect("limit") = None;
    while count(UNLIMITED) != [1, 1] {
        send_some(&daemons[0]).await;
        assert!(start.elapsed() < harness::TIMEOUT, "{:?}", count(UNLIMITED));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_limit_that_is_no_number_is_ignored() {
    for text in ["", "many", "-3", "NaN", "inf", "1e999", "3,5", "\u{fc}"] {
        let limit = Arc::new(Mutex::new(Some(text.to_owned())));
        let (registry, limited) = start_registry(&limit).await;
        let daemons = start_hosts(1, &registry);
        let start = Instant::now();
        while limited.runs() < 3 {
            send_some(&daemons[0]).await;
            assert!(start.elapsed() < harness::TIMEOUT, "{text:?}: {} runs", limited.runs());
        }
        assert_eq!(event_count(&daemons[0], LIMITED), 0, "{text:?}");
    }
}

const MS: Duration = Duration::from_millis(1);
/// The time in which a digest reaches all hosts.
const RELAY_TIME: Duration = Duration::from_millis(300);

/// The hosts of a fleet that know each other, without their network.
struct SimulatedFleet {
    hosts: Vec<(Members, ServiceTable)>,
    rng: SmallRng,
    now: Time,
    /// When requests reached the limited upstream, `u-0`.
    arrivals: Vec<Time>,
    limit: f64,
    /// What hosts have seen of the limit and the others have not yet heard.
    relays: Vec<LimitObservation>,
}

impl SimulatedFleet {
    /// Creates a fleet with `upstreams` upstreams, of which `u-0` has named a limit to all hosts.
    fn new(hosts: usize, upstreams: u16, limit: f64, format: LoadFormat) -> SimulatedFleet {
        let upstream = |i: u16| Upstream {
            name: format!("u-{i}").into(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000 + i)),
            data_centre: "a".into(),
        };
        let cfg = Arc::new(Service {
            name: "s".into(),
            upstreams: (0..upstreams).map(upstream).collect(),
            load_format: format,
            ..Service::default()
        });
        let now = Time::from_millis(60_000);
        let name = |i: usize| -> Arc<str> { format!("entry-{i}").into() };
        let host = |i: usize| {
            let info = HostInfo {
                host: name(i),
                data_centre: "a".into(),
                fleet_size_max: hosts as u32,
                policy: Policy::default(),
                waiting_max: 1_000,
            };
            let mut table = ServiceTable::new(cfg.clone(), info, now);
            let id = table.rows()[0].id;
            table.observe_limit(id, Some(limit), now, now);
            (Members::new(name(i), "a".into()), table)
        };
        let mut fleet = SimulatedFleet {
            hosts: (0..hosts).map(host).collect(),
            rng: SmallRng::seed_from_u64(23),
            now,
            arrivals: Vec::new(),
            limit,
            relays: Vec::new(),
        };
        fleet.hear_heartbeats(1);
        fleet
    }

    fn hear_heartbeats(&mut self, counter: u32) {
        let now = self.now;
        let count = self.hosts.len();
        for (i, (members, _)) in self.hosts.iter_mut().enumerate() {
            for j in (0..count).filter(|j| *j != i) {
                let process = harness::process(&format!("entry-{j}"));
                let heartbeat = Heartbeat { counter, at: now, left: false, dead: false };
                members.record_heartbeat(&process, heartbeat, now);
            }
            members.tick(now);
        }
    }

    /// Lets one host hear from those that are alive.
    fn hear(&mut self, receiver: usize, alive: &[bool], start: Time) {
        let now = self.now;
        let counter = now.since(start).as_millis() as u32 + 2;
        let (members, _) = &mut self.hosts[receiver];
        for (j, _) in alive.iter().enumerate().filter(|(j, alive)| **alive && *j != receiver) {
            let heartbeat = Heartbeat { counter, at: now, left: false, dead: false };
            members.record_heartbeat(&harness::process(&format!("entry-{j}")), heartbeat, now);
        }
        members.tick(now);
    }

    /// Runs one request on the host with this index, to its end.
    fn request(&mut self, index: usize) {
        let now = self.now;
        let (heard, rest) = self.relays.iter().partition(|o| now.since(o.at) >= RELAY_TIME);
        self.relays = rest;
        let heard: Vec<LimitObservation> = heard;
        for observation in &heard {
            for (_, table) in &mut self.hosts {
                table.import_limit("u-0", observation);
            }
        }
        let (members, table) = &mut self.hosts[index];
        let live = members.alive(now).count() + 1;
        let duty = |upstream: &str| format!("limit/s/{upstream}");
        table.update_limits(live, now, |u, owners| {
            members.is_among_owners(&duty(u), owners, false, now)
        });
        for row in table.rows().iter().map(|r| r.id).collect::<Vec<_>>() {
            let occupancy = Occupancy { running: 0, waiting: 0, slots: 6, slowdown: 1.0 };
            table.update_occupancy(row, &occupancy, now);
        }
        let req = AdmissionRequest::new(Priority::Normal, now + MS * 700, now);
        let (first, retry) = match table.admit(&req, now, &mut self.rng) {
            Admission::Run(target) => {
                let retry = table.next_attempt_for(
                    &req,
                    NextAttempt::Retry,
                    &[target.id],
                    now,
                    &mut self.rng,
                );
                (Some(target), retry)
            }
            Admission::Wait(ticket) => {
                table.abandon_request(ticket);
                (None, None)
            }
            Admission::Refuse(_) => (None, None),
        };
        let mut is_limit_seen = false;
        for target in first.into_iter().chain(retry) {
            if &*target.name == "u-0" {
                self.arrivals.push(now);
                table.observe_limit(target.id, Some(self.limit), now, now);
                is_limit_seen = true;
            }
            let outcome = UpstreamOutcome::Answered;
            let report = AttemptReport { outcome, latency: MS, load: None, draining: false };
            table.finish_attempt(target.id, &report, now);
            table.release(now, &mut self.rng);
        }
        if is_limit_seen {
            let observation = LimitObservation { per_second: Some(self.limit), at: now };
            self.relays.push(observation);
        }
    }

    /// Sends a request every `interval` to a random host, until `time` is over.
    fn run(&mut self, interval: Duration, time: Duration) {
        let end = self.now + time;
        let mut counter = 1;
        let mut heard = self.now;
        while self.now < end {
            self.now = self.now + interval;
            if self.now.since(heard) >= MS * 100 {
                heard = self.now;
                counter += 1;
                self.hear_heartbeats(counter);
            }
            let index = self.rng.random_range(0..self.hosts.len());
            self.request(index);
        }
    }

    fn most_in_window(&self) -> usize {
        let in_window = |end: &Time| {
            self.arrivals.iter().filter(|at| **at <= *end && end.since(**at) < WINDOW).count()
        };
        self.arrivals.iter().map(in_window).max().unwrap_or(0)
    }
}

#[test]
fn hosts_together_keep_within_a_limit_and_use_it() {
    for (hosts, limit) in [(1, 2.0), (3, 0.3), (13, 2.0), (18, 3.1), (18, 40.0), (100, 1.9)] {
        for (upstreams, format) in
            [(1, LoadFormat::Occupancy), (4, LoadFormat::Occupancy), (4, LoadFormat::InFlight)]
        {
            let mut fleet = SimulatedFleet::new(hosts, upstreams, limit, format);
            let seconds = 20.0;
            fleet.run(MS * 5, Duration::from_secs_f64(seconds));
            let case = format!("{hosts} hosts, limit {limit}, {upstreams} upstreams, {format:?}");
            let most = fleet.most_in_window() as f64;
            let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
            assert!(most <= allowed, "{case}: {most} requests in 4 s; {allowed} are allowed");
            let total = fleet.arrivals.len() as f64;
            if upstreams == 1 {
                assert!(total >= limit * seconds * 0.5, "{case}: only {total} in {seconds} s");
            }
        }
    }
}

/// Hosts die and return all the time, and each host learns of it at another time.
#[test]
fn hosts_together_keep_within_a_limit_while_their_views_differ() {
    for (seed, hosts, limit) in [(1, 6, 2.0), (2, 13, 0.5), (3, 18, 3.1), (4, 18, 1.9)] {
        let mut fleet = SimulatedFleet::new(hosts, 4, limit, LoadFormat::Occupancy);
        fleet.rng = SmallRng::seed_from_u64(seed);
        let mut alive = vec![true; hosts];
        let (start, end) = (fleet.now, fleet.now + Duration::from_secs(60));
        let mut step = 0_u64;
        while fleet.now < end {
            step += 1;
            fleet.now = fleet.now + MS * 5;
            if step.is_multiple_of(100) {
                let changed = fleet.rng.random_range(0..hosts);
                alive[changed] = !alive[changed];
            }
            // Every host hears from the others at its own intervals, of up to a second.
            for receiver in 0..hosts {
                if step.is_multiple_of(10 + receiver as u64 * 170 / hosts as u64) {
                    fleet.hear(receiver, &alive, start);
                }
            }
            let index = fleet.rng.random_range(0..hosts);
            if alive[index] {
                fleet.request(index);
            }
        }
        let most = fleet.most_in_window() as f64;
        let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
        assert!(most <= allowed, "seed {seed}: {most} requests in 4 s; {allowed} are allowed");
        assert!(fleet.arrivals.len() as f64 >= limit * 10.0, "seed {seed}: the limit is not used");
    }
}

/// After 30 s without requests at its owners, the hosts forget the limit until the next response.
#[test]
fn hosts_together_keep_within_a_limit_whose_owners_get_no_requests() {
    // With seeds 1 and 2, all hosts sent at once when all forgot the limit at the same moment.
    for (hosts, limit, seed) in
        [(13, 2.0, 23), (18, 0.5, 23), (18, 3.1, 23), (18, 0.5, 1), (18, 0.5, 2)]
    {
        let mut fleet = SimulatedFleet::new(hosts, 4, limit, LoadFormat::Occupancy);
        fleet.rng = SmallRng::seed_from_u64(seed);
        fleet.run(MS * 50, Duration::from_secs(6));
        fleet.hear_heartbeats(100);
        let mut named = RateLimit::default();
        named.observe(Some(limit), fleet.now, fleet.now);
        let owners = named.owners(hosts);
        let is_owner = |index: usize| {
            let (members, _) = &fleet.hosts[index];
            members.is_among_owners("limit/s/u-0", owners, false, fleet.now)
        };
        let others: Vec<usize> = (0..hosts).filter(|i| !is_owner(*i)).collect();
        assert_eq!(others.len(), hosts - owners);
        for step in 0..24_000 {
            fleet.now = fleet.now + MS * 5;
            if step % 20 == 0 {
                fleet.hear_heartbeats(101 + step);
            }
            let index = others[fleet.rng.random_range(0..others.len())];
            fleet.request(index);
        }
        let most = fleet.most_in_window() as f64;
        let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
        assert!(most <= allowed, "{hosts} hosts: {most} requests in 4 s; {allowed} are allowed");
        assert!(fleet.arrivals.len() > 3, "{hosts} hosts: the limit is never tried again");
    }
}

#[test]
fn a_request_that_no_limit_leaves_room_for_is_refused_at_once() {
    for format in [LoadFormat::Occupancy, LoadFormat::InFlight] {
        let mut fleet = SimulatedFleet::new(3, 1, 0.0, format);
        let (_, table) = &mut fleet.hosts[0];
        let now = fleet.now + MS * 500;
        table.update_limits(3, now, |_, _| true);
        let req = AdmissionRequest::new(Priority::Normal, now + MS * 700, now + MS * 700);
        let admission = table.admit(&req, now, &mut fleet.rng);
        let Admission::Refuse(refusal) = admission else { panic!("{format:?}: {admission:?}") };
        assert!(refusal.retry_after <= Duration::from_secs(4), "{format:?}: {refusal:?}");
    }
}

#[test]
fn a_limit_ends_with_a_response_to_a_request_sent_after_it_was_seen() {
    let at = Time::from_millis;
    let mut limit = RateLimit::default();
    assert_eq!(limit.observe(None, at(1), at(2)), None);
    assert_eq!(limit.observe(Some(2.0), at(1), at(10)), Some(LimitChange::Named(2.0)));
    assert_eq!(limit.observe(Some(2.1), at(9), at(11)), None);
    assert_eq!(limit.observe(None, at(5), at(12)), None);
    assert!(limit.is_closed(at(12)));
    assert_eq!(limit.observe(None, at(13), at(14)), Some(LimitChange::Ended));
    assert!(!limit.is_closed(at(14)));
    let old = LimitObservation { per_second: Some(2.0), at: at(11) };
    assert_eq!(limit.observe_relayed(&old), None);
    limit.reset(at(30));
    let of_earlier_process = LimitObservation { per_second: Some(2.0), at: at(29) };
    assert_eq!(limit.observe_relayed(&of_earlier_process), None);
    assert!(!limit.is_closed(at(31)));
}

/// Guards against a limit that was lost with its upstream's row: the host sent freely until the next
/// response, and a host that had just started had not yet known the upstream when it was told.
#[test]
fn a_limit_outlasts_the_absence_of_its_upstream() {
    let upstream = Upstream {
        name: "u-0".into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000)),
        data_centre: "a".into(),
    };
    let name = UpstreamName { service: "s".into(), name: "u-0".into() };
    let without = Arc::new(Service { name: "s".into(), ..Service::default() });
    let with = Arc::new(Service { upstreams: vec![upstream], ..(*without).clone() });
    let info = HostInfo {
        host: "entry-1".into(),
        data_centre: "a".into(),
        fleet_size_max: 3,
        policy: Policy::default(),
        waiting_max: 10,
    };
    let mut tables = ServiceTables::new(info);
    let now = Time::from_millis(60_000);
    let limit = LimitObservation { per_second: Some(2.0), at: now };
    let is_limited = |tables: &mut ServiceTables| {
        let table = tables.service("s").expect("table");
        let id = table.rows()[0].id;
        table.is_limited(id)
    };
    assert_eq!(tables.import_limit(&name, &limit), None);
    tables.put(with.clone(), now);
    assert!(is_limited(&mut tables));
    tables.put(without, now);
    tables.put(with.clone(), now);
    assert!(is_limited(&mut tables));
    let ended = LimitObservation { per_second: None, at: now + MS };
    assert_eq!(tables.import_limit(&name, &ended), Some(LimitChange::Ended));
    tables.put(with, now + MS);
    assert!(!is_limited(&mut tables));
}

/// Guards against hosts that have just started and each take the whole limit for themselves (soak,
/// seed 311).
#[test]
fn a_host_that_knows_no_peers_yet_owns_no_limit() {
    let mut members = Members::new("entry-1".into(), "a".into());
    let now = Time::from_millis(2_000);
    assert!(!members.is_among_owners("limit", 4, true, now));
    assert!(members.is_among_owners("limit", 4, false, now));
    let heartbeat = Heartbeat { counter: 1, at: now, left: false, dead: false };
    members.record_heartbeat(&harness::process("entry-2"), heartbeat, now);
    members.tick(now);
    let later = now + members.dead_after();
    members.tick(now + MS * 900);
    members.tick(now + MS * 1_800);
    members.tick(later);
    assert!(members.is_among_owners("limit", 4, true, later));
}

#[test]
fn a_limit_that_stays_the_same_is_no_change() {
    let at = Time::from_millis;
    for rate in [0.0, 2.0] {
        let mut limit = RateLimit::default();
        assert_eq!(limit.observe(Some(rate), at(1), at(2)), Some(LimitChange::Named(rate)));
        assert_eq!(limit.observe(Some(rate), at(3), at(4)), None);
    }
}

#[test]
fn a_limit_that_nobody_sees_confirmed_is_forgotten_in_the_end() {
    let at = Time::from_millis;
    let mut limit = RateLimit::default();
    limit.observe(Some(0.02), at(0), at(1));
    assert!(!limit.expire(1, at(149_000), |_| true));
    assert!(limit.expire(1, at(150_002), |_| true));
    assert!(!limit.is_closed(at(150_002)));
}

#[test]
fn peers_learn_of_a_limit_and_of_its_end_once() {
    let at = Time::from_millis;
    let name = UpstreamName { service: "s".into(), name: "u-0".into() };
    let sender = harness::process("entry-1");
    let (mut encoder, mut decoder) = (DeltaEncoder::default(), DeltaDecoder::default());
    let mut send = |per_second: Option<f64>, seen: Time, now: Time| {
        let mut digest = Digest::default();
        encoder.add_sender(&sender, &mut digest);
        let observation = LimitObservation { per_second, at: seen };
        encoder.add_limits(&[(name.clone(), observation)], now, &mut digest);
        decoder.decode(&digest, now).expect("sender").limits
    };
    let limits = send(Some(2.0), at(900), at(1_000));
    assert_eq!(limits, [(name.clone(), LimitObservation { per_second: Some(2.0), at: at(900) })]);
    assert!(send(Some(2.0), at(1_900), at(2_000)).is_empty());
    assert!(send(Some(2.1), at(2_900), at(3_000)).is_empty());
    assert_eq!(send(Some(4.0), at(3_900), at(4_000)).len(), 1);
    assert_eq!(send(Some(4.0), at(15_000), at(15_000)).len(), 1);
    let [(_, ended)] = &send(None, at(16_000), at(16_000))[..] else { panic!("one") };
    assert_eq!(ended.per_second, None);
    assert!(send(None, at(16_000), at(17_000)).is_empty());
}
