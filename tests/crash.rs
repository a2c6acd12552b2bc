//! Requests that end the upstreams that run them.

mod harness;
#[path = "../examples/standin/mod.rs"]
mod standin;

use std::io::Write;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cornelferry::digest::{DeltaDecoder, DeltaEncoder, Digest};
use cornelferry::poison::{
    BlockDecision, Caller as RequestCaller, Fingerprint, Fingerprints, PoisonRequests,
    RequestEvent, RequestReport, SUSPICION_PERIOD, crash_hash,
};
use cornelferry::{Clock, Time};
use http::Request;
use http_body_util::Full;
use proptest::collection::vec;
use proptest::prelude::*;
use serde_json::{Value, json};

use harness::signing::{config, field, read_head, signed};
use harness::{Caller, Daemon, live_peers, wait_until};
use standin::registry::Registry;

/// The path of the request that ends upstreams.
const POISON: &str = "/book/read/poison";
/// The number of addresses from which copies of the request come.
const CALLER_ADDRESSES: usize = 200;
/// The time for which an upstream that has ended accepts no connections.
const DOWN: Duration = Duration::from_millis(600);
/// The time after the third upstream has ended from which hosts must no longer send the request.
const CONTACT: Duration = Duration::from_secs(3);
/// The code of the response to a blocked request.
const BLOCKED: u16 = 2019;
/// How often the request may still be sent after that time.
const LATE_MAX: usize = 3;

/// The field of a request that ends no upstream, whatever its path.
const HARMLESS: (&str, &str) = ("x-harmless", "1");

/// When the poisonous request reached upstreams.
type Crashes = Arc<Mutex<Vec<Instant>>>;

/// An upstream that ends when it gets a poisonous request, and is back after [`DOWN`].
struct FragileUpstream {
    address: SocketAddr,
}

impl FragileUpstream {
    fn start(id: &'static str, crashes: &Crashes) -> FragileUpstream {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind");
        let address = listener.local_addr().expect("bound");
        let crashes = crashes.clone();
        std::thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                let open = listener.take().or_else(|| TcpListener::bind(address).ok());
                match open {
                    Some(listener) => run_process(listener, id, &crashes),
                    None => std::thread::sleep(Duration::from_millis(20)),
                }
            }
        });
        FragileUpstream { address }
    }

    fn registration(&self) -> String {
        json!({
            "service": "dispatch", "address": self.address, "zone": "a", "version": "v1",
            "slots": 6, "state": "ready", "coldRemainingS": 0, "sequence": 4,
        })
        .to_string()
    }
}

/// Serves connections until a poisonous request ends the process, and waits until it may be back.
fn run_process(listener: TcpListener, id: &'static str, crashes: &Crashes) {
    listener.set_nonblocking(true).expect("nonblocking");
    let has_ended = Arc::new(Mutex::new(false));
    let mut connections = Vec::new();
    while !*has_ended.lock().expect("state") {
        let Ok((stream, _)) = listener.accept() else {
            std::thread::sleep(Duration::from_millis(1));
            continue;
        };
        stream.set_nonblocking(false).expect("blocking");
        connections.push(stream.try_clone().expect("clone"));
        let (has_ended, crashes) = (has_ended.clone(), crashes.clone());
        std::thread::spawn(move || serve(stream, id, &has_ended, &crashes));
    }
    drop(listener);
    connections.iter().for_each(|c| {
        let _ = c.shutdown(Shutdown::Both);
    });
    std::thread::sleep(DOWN);
}

fn serve(mut stream: TcpStream, id: &str, has_ended: &Mutex<bool>, crashes: &Crashes) {
    let mut buf = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buf) {
        let res = if head.starts_with("get /health ") {
            format!(
                "HTTP/1.1 200 OK\r\nx-instance-id: {id}\r\nx-instance-load: 0,0,6,100\r\n\
                 content-length: 0\r\n\r\n"
            )
        } else if field(&head, "x-expect-instance") != id {
            "HTTP/1.1 421 Misdirected\r\nx-instance-id: other\r\ncontent-length: 0\r\n\r\n"
                .to_owned()
        } else if head.contains(POISON) && field(&head, HARMLESS.0).is_empty() {
            crashes.lock().expect("crashes").push(Instant::now());
            *has_ended.lock().expect("state") = true;
            return;
        } else {
            signed(&head)
        };
        if stream.write_all(res.as_bytes()).is_err() {
            return;
        }
    }
}

fn settings(host: usize, registry: &Registry) -> Value {
    json!({
        "host": format!("entry-{host}"), "data_centre": "a", "peer": harness::FREE_ADDRESS,
        "registry": {
            "address": registry.address, "retry_share": 0.2, "retry_slack": 56.0,
            "probes_per_second": 60.0,
        },
    })
}

/// Sends one request, and returns the status and the code of the response.
async fn send(daemon: &Daemon, path: &str, number: usize) -> (u16, u16) {
    let from = Ipv4Addr::new(127, 0, 0, (number % CALLER_ADDRESSES) as u8 + 1);
    send_from(from, daemon.caller, path, number, &[]).await
}

/// Sends one request with more fields from an address, and returns the status and the code of the
/// response.
async fn send_from(
    from: Ipv4Addr,
    host: SocketAddr,
    path: &str,
    number: usize,
    fields: &[(&str, &str)],
) -> (u16, u16) {
    let connected = Caller::connect_from(from, host).await;
    let Ok(mut caller) = connected else { return (0, 0) };
    let id = format!("r-{number}");
    let mut req = Request::builder().method("GET").uri(path).header("host", "port.example");
    req = req.header("x-attempt-id", id).header("x-deadline-ms", "700");
    for (name, value) in fields {
        req = req.header(*name, *value);
    }
    let Ok(res) = caller.send(req.body(Full::default()).expect("request")).await else {
        return (0, 0);
    };
    (res.status().as_u16(), harness::code(&res))
}

/// Sends the poisonous request to one host after another for some time.
async fn send_poison(daemons: &[Daemon], time: Duration) {
    let end = Instant::now() + time;
    for (number, daemon) in daemons.iter().cycle().enumerate() {
        if Instant::now() >= end {
            return;
        }
        send(daemon, POISON, number).await;
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
}

/// Returns how often the request was sent later than [`CONTACT`] after the third upstream ended.
fn late(crashes: &Crashes) -> usize {
    let all = crashes.lock().expect("crashes");
    let Some(third) = all.get(2) else { return 0 };
    all.iter().filter(|at| **at > *third + CONTACT).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_that_ends_upstreams_is_no_longer_sent_by_any_host() {
    let crashes = Crashes::default();
    let registry = Registry::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await;
    registry.put("op/config", &config(3, "/book/"));
    for id in ["u-1", "u-2", "u-3", "u-4", "u-5", "u-6", "u-7", "u-8"] {
        let upstream = FragileUpstream::start(id, &crashes);
        registry.put(&format!("servers/{id}"), &upstream.registration());
    }
    let daemons: Vec<Daemon> = (1..=3).map(|i| Daemon::run(&settings(i, &registry))).collect();
    wait_until("the hosts know each other", || daemons.iter().all(|d| live_peers(d) == 2));
    send_poison(&daemons, CONTACT + Duration::from_secs(3)).await;
    assert!(crashes.lock().expect("crashes").len() >= 3, "no upstream ended");
    let late = late(&crashes);
    assert!(late <= LATE_MAX, "sent {late} times after three upstreams had ended and 3 s");
    for daemon in &daemons {
        let (status, _) = send(daemon, "/book/read/harmless", 0).await;
        assert_eq!(status, 200, "other requests of the caller are served");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_that_ends_upstreams_stays_blocked_after_a_restart_of_the_whole_fleet() {
    let crashes = Crashes::default();
    let registry = Registry::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await;
    registry.put("op/config", &config(3, "/book/"));
    for id in ["u-1", "u-2", "u-3", "u-4"] {
        let upstream = FragileUpstream::start(id, &crashes);
        registry.put(&format!("servers/{id}"), &upstream.registration());
    }
    let daemons: Vec<Daemon> = (1..=2).map(|i| Daemon::run(&settings(i, &registry))).collect();
    wait_until("the hosts know each other", || daemons.iter().all(|d| live_peers(d) == 1));
    let mut number = 0;
    while send(&daemons[number % 2], POISON, number).await != (503, BLOCKED) {
        number += 1;
        assert!(number < 500, "the request is not blocked");
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    wait_until("the request is listed", || !registry.keys("cornelferry/blocked/").is_empty());
    let daemons: Vec<Daemon> = daemons
        .into_iter()
        .zip(1..)
        .map(|(daemon, i)| daemon.restart(&settings(i, &registry)))
        .collect();
    let before = crashes.lock().expect("crashes").len();
    for daemon in &daemons {
        assert_eq!(send(daemon, POISON, 0).await, (503, BLOCKED));
    }
    assert_eq!(crashes.lock().expect("crashes").len(), before);
}

/// A caller: its address, and the field by which it says who it is.
type CallerName = (Ipv4Addr, (&'static str, &'static str));

/// Sends the poisonous request as `poisoner` to two hosts in turn, while `others` send harmless copies
/// of it. Returns how often it was sent late, and the codes that the others got after that time.
async fn late_beside_harmless_copies(
    config: &str,
    poisoner: CallerName,
    others: [CallerName; 2],
) -> (usize, Vec<u16>) {
    let crashes = Crashes::default();
    let registry = Registry::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await;
    registry.put("op/config", config);
    for id in ["u-1", "u-2", "u-3", "u-4", "u-5", "u-6", "u-7", "u-8"] {
        let upstream = FragileUpstream::start(id, &crashes);
        registry.put(&format!("servers/{id}"), &upstream.registration());
    }
    let daemons: Vec<Daemon> = (1..=2).map(|i| Daemon::run(&settings(i, &registry))).collect();
    wait_until("the hosts know each other", || daemons.iter().all(|d| live_peers(d) == 1));
    let hosts: Vec<SocketAddr> = daemons.iter().map(|d| d.caller).collect();
    let end = Instant::now() + 2 * CONTACT + Duration::from_secs(2);
    let harmless = |(from, name): CallerName| {
        let (hosts, crashes) = (hosts.clone(), crashes.clone());
        tokio::spawn(async move {
            let mut codes = Vec::new();
            for (number, host) in hosts.into_iter().cycle().enumerate() {
                if Instant::now() >= end {
                    break;
                }
                let (_, code) = send_from(from, host, POISON, number, &[name, HARMLESS]).await;
                let third = crashes.lock().expect("crashes").get(2).copied();
                if third.is_some_and(|at| at.elapsed() > CONTACT) {
                    codes.push(code);
                }
                tokio::time::sleep(Duration::from_millis(15)).await;
            }
            codes
        })
    };
    let tasks = others.map(harmless);
    for (number, host) in hosts.iter().cycle().enumerate() {
        if Instant::now() >= end {
            break;
        }
        send_from(poisoner.0, *host, POISON, number, &[poisoner.1]).await;
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    let mut codes = Vec::new();
    for task in tasks {
        codes.extend(task.await.expect("harmless copies"));
    }
    assert!(crashes.lock().expect("crashes").len() >= 3, "no upstream ended");
    (late(&crashes), codes)
}

/// Guards against a request of one team that ends upstreams for good, since answers to harmless
/// requests of other teams, equal but for the key, clear it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_to_other_teams_do_not_hide_a_request_that_ends_upstreams() {
    let mut doc: Value = serde_json::from_str(&config(3, "/book/")).expect("config");
    doc["tenants"] = json!([
        {"name": "salt", "apiKeys": ["k-salt"]}, {"name": "harbour", "apiKeys": ["k-harbour"]},
        {"name": "pilots", "apiKeys": ["k-pilots"]},
    ]);
    let of_team = |key| (Ipv4Addr::LOCALHOST, ("x-key", key));
    let others = [of_team("k-harbour"), of_team("k-pilots")];
    let (late, codes) =
        late_beside_harmless_copies(&doc.to_string(), of_team("k-salt"), others).await;
    assert!(late <= LATE_MAX, "sent {late} times after three upstreams had ended and 3 s");
    let refused = codes.iter().filter(|code| **code == BLOCKED).count();
    assert!(refused == 0 && codes.len() > 50, "{refused} of {} harmless copies", codes.len());
}

/// Guards against the same where there are no teams, and callers differ in their address alone.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_to_other_addresses_do_not_hide_a_request_that_ends_upstreams() {
    let at = |last| (Ipv4Addr::new(127, 0, 0, last), ("x-any", "1"));
    let (late, codes) =
        late_beside_harmless_copies(&config(3, "/book/"), at(9), [at(2), at(3)]).await;
    assert!(late <= LATE_MAX, "sent {late} times after three upstreams had ended and 3 s");
    let served = codes.iter().filter(|code| **code == 1000).count();
    assert!(served * 2 > codes.len(), "{served} of {} harmless copies are served", codes.len());
}

/// Guards against a request that ends upstreams and is never blocked, as its caller sends all copies under
/// one id.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn copies_with_one_id_count_each() {
    let crashes = Crashes::default();
    let registry = Registry::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await;
    registry.put("op/config", &config(3, "/book/"));
    for id in ["u-1", "u-2"] {
        let upstream = FragileUpstream::start(id, &crashes);
        registry.put(&format!("servers/{id}"), &upstream.registration());
    }
    let daemon = Daemon::run(&settings(1, &registry));
    for _ in 0..40 {
        if send(&daemon, POISON, 7).await == (503, BLOCKED) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    panic!("not blocked after {} upstreams have ended", crashes.lock().expect("crashes").len());
}

/// The time from the sending of a request to the end of its upstream.
const RUN_TIME: Duration = Duration::from_millis(5);

fn report(request: u64, event: RequestEvent, millis: u64) -> RequestReport {
    let at = Time::from_millis(millis);
    RequestReport { fingerprint: Fingerprint(request), event, sent: at.before(RUN_TIME), at }
}

#[test]
fn a_request_is_blocked_once_three_different_upstreams_have_ended_under_it() {
    let (mut suspects, now) = (PoisonRequests::default(), Time::from_millis(1_000));
    let blocked = |s: &PoisonRequests| s.is_blocked(Fingerprint(7), now);
    for (upstream, is_news) in [(1, true), (2, true), (1, false)] {
        let seen = report(7, RequestEvent::UpstreamCrashed(upstream), 800 + 10 * upstream);
        assert_eq!((suspects.record(&seen, now), blocked(&suspects)), (is_news, false));
    }
    suspects.record(&report(8, RequestEvent::UpstreamCrashed(3), 900), now);
    assert!(!blocked(&suspects));
    suspects.record(&report(7, RequestEvent::UpstreamCrashed(3), 900), now);
    assert!(blocked(&suspects) && !suspects.is_blocked(Fingerprint(8), now));
}

/// Guards against a request that ends the few upstreams of a service again and again and is never
/// blocked, as they start again under their names.
#[test]
fn an_upstream_that_starts_again_under_its_name_counts_each_time_that_it_ends() {
    let (mut suspects, now) = (PoisonRequests::default(), Time::from_millis(20_000));
    let crash = |upstream, copy, millis| {
        report(7, RequestEvent::UpstreamCrashed(crash_hash("s", upstream, copy)), millis)
    };
    assert!(suspects.record(&crash("u-1", "a", 3_000), now));
    assert!(!suspects.record(&crash("u-1", "a", 3_030), now), "told by a peer as well");
    // Another host's copy, in flight when the same process ended.
    assert!(suspects.record(&crash("u-1", "b", 3_010), now));
    suspects.record(&crash("u-2", "c", 6_000), now);
    assert!(!suspects.is_blocked(Fingerprint(7), now));
    suspects.record(&crash("u-1", "d", 9_000), now);
    assert!(suspects.is_blocked(Fingerprint(7), now));
}

/// Guards against trials without end while hosts restart in turn: what a host learns of the time
/// before its start is as long ago for it as for its peers.
#[test]
fn a_host_that_has_just_started_knows_when_upstreams_have_ended_before() {
    let (mut suspects, now) = (PoisonRequests::default(), Time::from_millis(90_000));
    for (upstream, millis) in [(1, 1_000), (2, 1_100), (3, 1_200), (4, 12_000), (5, 75_000)] {
        suspects.record(&report(7, RequestEvent::UpstreamCrashed(upstream), millis), now);
    }
    assert_eq!(
        suspects.decide(only(7), now + SUSPICION_PERIOD / 2, || true),
        BlockDecision::Refuse
    );
    let mut digest = Digest::default();
    let mut encoder = DeltaEncoder::default();
    encoder.add_sender(&harness::process("entry-1"), &mut digest);
    encoder.add_request_reports(&suspects, now, &mut digest);
    let started = Clock::start().now();
    let decoded = DeltaDecoder::default().decode(&digest, started).expect("sender");
    let mut received = PoisonRequests::default();
    decoded.request_reports.iter().for_each(|r| assert!(received.record(r, started)));
    for seconds in [0, 11, 61, 300] {
        let now = started + Duration::from_secs(seconds);
        assert_eq!(received.decide(only(7), now, || true), BlockDecision::Refuse, "{seconds} s");
    }
}

#[test]
fn an_answer_clears_a_request_whose_upstreams_ended_for_another_reason() {
    let (mut suspects, now) = (PoisonRequests::default(), Time::from_millis(1_000));
    assert!(!suspects.record(&report(7, RequestEvent::Answered, 100), now));
    for upstream in 1..=3 {
        suspects
            .record(&report(7, RequestEvent::UpstreamCrashed(upstream), 800 + 10 * upstream), now);
    }
    assert!(suspects.is_blocked(Fingerprint(7), now));
    assert!(suspects.record(&report(7, RequestEvent::Answered, 950), now));
    assert!(!suspects.is_blocked(Fingerprint(7), now));
    // A peer still tells what was seen before the answer.
    assert!(!suspects.record(&report(7, RequestEvent::UpstreamCrashed(4), 940), now));
    assert!(suspects.record(&report(7, RequestEvent::UpstreamCrashed(5), 960), now));
}

/// Guards against a block of harmless requests: one request may end three upstreams within
/// milliseconds by its retries, while others are in flight on all of them.
#[test]
fn requests_in_flight_on_many_upstreams_that_end_together_are_not_blocked() {
    let (mut requests, now) = (PoisonRequests::default(), Time::from_millis(1_000));
    for upstream in 1..=20 {
        let crash = RequestEvent::UpstreamCrashed(upstream);
        let sent = Time::from_millis(880 + upstream);
        requests.record(&RequestReport { sent, ..report(7, crash, 900 + upstream) }, now);
    }
    assert!(!requests.is_blocked(Fingerprint(7), now));
    for upstream in 21..=22 {
        let crash = RequestEvent::UpstreamCrashed(upstream);
        requests.record(&report(7, crash, 900 + 10 * upstream), now);
    }
    assert!(requests.is_blocked(Fingerprint(7), now));
}

/// Guards against a message to all peers for each answer to a page that everybody reads.
#[test]
fn only_an_answer_that_clears_something_is_news() {
    let (mut requests, now) = (PoisonRequests::default(), Time::from_millis(1_000));
    requests.record(&report(7, RequestEvent::UpstreamCrashed(1), 100), now);
    assert!(!requests.record(&report(7, RequestEvent::Answered, 50), now));
    assert!(requests.record(&report(7, RequestEvent::Answered, 200), now));
    for millis in 201..300 {
        assert!(!requests.record(&report(7, RequestEvent::Answered, millis), now));
    }
    assert!(!requests.contains(Fingerprint(7)));
    assert!(requests.record(&report(7, RequestEvent::UpstreamCrashed(1), 400), now));
}

fn only(request: u64) -> Fingerprints {
    Fingerprint(request).into()
}

#[test]
fn a_blocked_request_stays_blocked_for_as_long_as_it_comes() {
    let mut suspects = PoisonRequests::default();
    for upstream in 1..=3 {
        suspects
            .record(&report(7, RequestEvent::UpstreamCrashed(upstream), 10 * upstream), Time::ZERO);
    }
    let mut now = Time::ZERO;
    for _ in 0..4 {
        now = now + SUSPICION_PERIOD / 2;
        suspects.expire(now);
        assert_eq!(suspects.decide(only(7), now, || false), BlockDecision::Refuse);
    }
    now = now + SUSPICION_PERIOD;
    assert_eq!(suspects.decide(only(7), now, || false), BlockDecision::Allow);
    suspects.expire(now);
    assert!(!suspects.contains(Fingerprint(7)));
}

/// Returns the seconds at which a request that ended `upstreams` upstreams at first is sent on trial.
fn trials(upstreams: u64, ends_upstreams: bool) -> Vec<u64> {
    let mut requests = PoisonRequests::default();
    for upstream in 1..=upstreams {
        let crash = RequestEvent::UpstreamCrashed(upstream);
        requests.record(&report(7, crash, 10 * upstream), Time::ZERO);
    }
    let mut trials = Vec::new();
    for second in 1..=500 {
        let now = Time::from_millis(second * 1_000);
        if requests.decide(only(7), now, || true) == BlockDecision::Trial {
            trials.push(second);
            let crash = RequestEvent::UpstreamCrashed(100 + second);
            if ends_upstreams {
                requests.record(&report(7, crash, second * 1_000), now);
            }
        }
    }
    trials
}

#[test]
fn a_blocked_request_is_sent_on_trial_twice_at_most() {
    // More than three upstreams end before the fleet has learned of the first ones.
    for upstreams in [3, 6, 8, 20, 32, 40] {
        assert_eq!(trials(upstreams, true), [11, 71], "{upstreams} upstreams");
    }
    assert_eq!(trials(3, false), [11, 71], "trials that leave no trace");
}

#[test]
fn a_request_that_was_lost_with_many_upstreams_at_once_is_free_after_a_trial() {
    let mut suspects = PoisonRequests::default();
    for upstream in 1..=20 {
        suspects
            .record(&report(7, RequestEvent::UpstreamCrashed(upstream), 10 * upstream), Time::ZERO);
    }
    let now = Time::from_millis(10_200);
    assert_eq!(suspects.decide(only(7), now, || true), BlockDecision::Trial);
    assert_eq!(suspects.decide(only(7), now, || true), BlockDecision::Refuse);
    suspects.record(&report(7, RequestEvent::Answered, 10_250), now);
    assert_eq!(suspects.decide(only(7), now, || true), BlockDecision::Allow);
}

#[test]
fn the_suspects_kept_are_limited_and_blocked_ones_stay() {
    let (mut suspects, now) = (PoisonRequests::default(), Time::from_millis(10_000));
    for upstream in 1..=3 {
        suspects.record(&report(7, RequestEvent::UpstreamCrashed(upstream), 10 * upstream), now);
    }
    for request in 100..5_000 {
        suspects.record(&report(request, RequestEvent::UpstreamCrashed(1), 2 + request), now);
    }
    suspects.expire(now);
    assert!(suspects.is_blocked(Fingerprint(7), now));
    assert!(suspects.reports().len() < 2_100);
    assert!(suspects.contains(Fingerprint(4_999)) && !suspects.contains(Fingerprint(100)));
}

#[test]
fn copies_of_a_request_have_one_fingerprint_and_others_do_not() {
    let of = |path: &str, body: &[u8]| {
        Fingerprints::new(
            RequestCaller::Nameless(None),
            "PUT",
            "h",
            &path.parse().expect("path"),
            body,
        )
    };
    let request = of("/a?n=1", b"b");
    assert_eq!(request, of("/a?n=1", b"b"));
    assert_eq!(request.any_query, of("/a?n=2", b"b").any_query);
    assert_eq!(request.any_query, of("/a", b"b").any_query);
    assert_eq!((request.iter().count(), of("/a", b"b").iter().count()), (2, 2));
    for other in
        [of("/a", b"b"), of("/a?n=2", b"b"), of("/a?n=1", b"c"), of("/an=1", b"b"), of("/ab", b"")]
    {
        assert_ne!(request.exact, other.exact);
    }
}

#[test]
fn a_new_connection_carries_all_reports_and_then_only_news() {
    let (mut suspects, now) = (PoisonRequests::default(), Time::from_millis(10_000));
    for request in 0..40 {
        suspects.record(&report(request, RequestEvent::UpstreamCrashed(1), 5_000), now);
    }
    for upstream in 1..=3 {
        suspects.record(
            &report(99, RequestEvent::UpstreamCrashed(upstream), 5_000 + 10 * upstream),
            now,
        );
    }
    let sender = harness::process("entry-1");
    let (mut encoder, mut decoder) = (DeltaEncoder::default(), DeltaDecoder::default());
    let mut received = PoisonRequests::default();
    let mut exchange = |suspects: &PoisonRequests| {
        let mut digest = Digest::default();
        encoder.add_sender(&sender, &mut digest);
        encoder.add_request_reports(suspects, now, &mut digest);
        let decoded = decoder.decode(&digest, now).expect("sender");
        decoded.request_reports.iter().for_each(|e| {
            received.record(e, now);
        });
        (digest.request_reports.len(), received.is_blocked(Fingerprint(99), now))
    };
    assert_eq!(exchange(&suspects), (32, true));
    assert_eq!(exchange(&suspects), (11, true));
    assert_eq!(exchange(&suspects), (0, true));
    suspects.record(&report(99, RequestEvent::Answered, 6_000), now);
    assert_eq!(exchange(&suspects), (1, false));
}

/// Returns the fingerprints of a request of a caller.
fn of_caller(caller: RequestCaller<'_>, path: &str) -> Fingerprints {
    Fingerprints::new(caller, "GET", "h", &path.parse().expect("path"), b"")
}

/// Records that an upstream has ended under a copy, or has answered it.
fn record(suspects: &mut PoisonRequests, of: Fingerprints, event: RequestEvent, millis: u64) {
    let at = Time::from_millis(millis);
    for fingerprint in of.iter() {
        let seen = RequestReport { fingerprint, event, sent: at.before(RUN_TIME), at };
        suspects.record(&seen, at);
    }
}

/// Guards against a block of other teams' harmless requests, and of requests without a key.
#[test]
fn a_request_is_blocked_for_the_team_under_which_upstreams_end_alone() {
    let address = Some(Ipv4Addr::LOCALHOST.into());
    let callers = [
        RequestCaller::Team("harbour"),
        RequestCaller::Team(""),
        RequestCaller::Team("127.0.0.1"),
        RequestCaller::Keyless(address),
        RequestCaller::Keyless(None),
        RequestCaller::Nameless(address),
    ];
    let (mut suspects, now) = (PoisonRequests::default(), Time::from_millis(1_000));
    let salt = of_caller(RequestCaller::Team("salt"), "/me?n=1");
    for upstream in 1..=3 {
        record(&mut suspects, salt, RequestEvent::UpstreamCrashed(upstream), 100 * upstream);
    }
    assert_eq!(suspects.decide(salt, now, || false), BlockDecision::Refuse);
    for caller in callers {
        let of = of_caller(caller, "/me?n=1");
        assert_eq!(suspects.decide(of, now, || false), BlockDecision::Allow, "{caller:?}");
        record(&mut suspects, of, RequestEvent::Answered, 900);
        assert_eq!(suspects.decide(salt, now, || false), BlockDecision::Refuse, "{caller:?}");
    }
}

/// Guards against a block that is told to nobody or by nobody while hosts of the release before, whose
/// fingerprints leave the team out, run beside this one or have left entries in the registry.
#[test]
fn what_an_earlier_release_has_blocked_is_blocked_for_a_team_once_an_upstream_ends_under_it() {
    let (mut suspects, now) = (PoisonRequests::default(), Time::from_millis(1_000));
    let earlier = of_caller(RequestCaller::Nameless(None), "/me");
    record(&mut suspects, earlier, RequestEvent::Blocked, 100);
    let salt = of_caller(RequestCaller::Team("salt"), "/me");
    let harbour = of_caller(RequestCaller::Team("harbour"), "/me");
    assert_eq!(suspects.blocking(salt, now), None);
    record(&mut suspects, salt, RequestEvent::UpstreamCrashed(1), 200);
    assert_eq!(suspects.blocking(salt, now), Some(salt.any_query));
    assert_eq!(suspects.blocking(harbour, now), None);
    record(&mut suspects, salt, RequestEvent::Answered, 300);
    assert_eq!(suspects.blocking(salt, now), None);
}

/// Guards against a fleet of a release that tells callers apart in which hosts of the release before
/// have other fingerprints, though there are no teams.
#[test]
fn without_teams_the_fingerprints_are_those_of_earlier_releases() {
    let of = of_caller(RequestCaller::Nameless(Some(Ipv4Addr::LOCALHOST.into())), "/a?n=1");
    assert_eq!(of.exact.to_string(), "4460553aef201c34");
    assert_eq!(of.any_query.to_string(), "f3807c8df51856f3");
}

/// Guards against teams that crowd each other's blocked requests out.
#[test]
fn a_blocked_request_of_each_of_a_thousand_teams_stays_blocked() {
    let mut suspects = PoisonRequests::default();
    let names: Vec<String> = (0..1_000).map(|i| format!("team-{i}")).collect();
    let of = |name: &str| of_caller(RequestCaller::Team(name), "/me?n=1");
    for round in 1..=3 {
        for name in &names {
            let crash = RequestEvent::UpstreamCrashed(round);
            record(&mut suspects, of(name), crash, 1_000 * round);
        }
    }
    let now = Time::from_millis(4_000);
    suspects.expire(now);
    for name in &names {
        assert!(suspects.blocking(of(name), now).is_some(), "{name}");
    }
}

/// Guards against a request without a query that ends upstreams for good, since answers to harmless
/// requests of the same path with a query clear it.
#[test]
fn answers_to_requests_with_a_query_do_not_clear_the_same_path_without_one() {
    let (mut suspects, now) = (PoisonRequests::default(), Time::from_millis(1_000));
    let of = |path| of_caller(RequestCaller::Team("salt"), path);
    for upstream in 1..=3 {
        let crash = RequestEvent::UpstreamCrashed(upstream);
        record(&mut suspects, of("/me"), crash, 100 * upstream);
        record(&mut suspects, of("/me?n=1"), RequestEvent::Answered, 100 * upstream + 50);
    }
    assert_eq!(suspects.blocking(of("/me"), now), Some(of("/me").exact));
    assert_eq!(suspects.blocking(of("/me?n=1"), now), None);
}

/// A caller of the model: its team, if there are teams, the last number of its address, and whether its
/// copies end upstreams.
#[derive(Clone, Debug)]
struct ModelCaller {
    team: Option<&'static str>,
    address: u8,
    path: &'static str,
    is_poisoner: bool,
}

impl ModelCaller {
    fn fingerprints(&self, has_teams: bool) -> Fingerprints {
        let address = Some(Ipv4Addr::new(10, 0, 0, self.address).into());
        let caller = match (self.team, has_teams) {
            (Some(team), true) => RequestCaller::Team(team),
            (_, true) => RequestCaller::Keyless(address),
            (_, false) => RequestCaller::Nameless(address),
        };
        of_caller(caller, self.path)
    }

    /// Returns whether hosts can tell a caller from another one by more than what it sends.
    fn differs(&self, other: &ModelCaller, has_teams: bool) -> bool {
        match has_teams {
            true if self.team != other.team => true,
            true if self.team.is_some() => false,
            _ => self.address != other.address,
        }
    }
}

fn model_caller(is_poisoner: bool) -> impl Strategy<Value = ModelCaller> {
    let team = prop_oneof![Just(None), Just(Some("a")), Just(Some("b"))];
    let path = prop_oneof![Just("/me"), Just("/me?n=1"), Just("/me?n=2"), Just("/other")];
    (team, 1..4u8, path).prop_map(move |(team, address, path)| ModelCaller {
        team,
        address,
        path,
        is_poisoner,
    })
}

proptest! {
    /// Whoever shares a path, a query, a team or an address with a caller whose request ends upstreams:
    /// that request is blocked after three, unless nothing tells its caller from one whose copies are
    /// answered; and a team's requests are blocked by what that team sends alone.
    #[test]
    fn a_request_is_blocked_by_what_its_own_caller_sends(
        poisoner in model_caller(true),
        others in vec(model_caller(false), 0..4),
        turns in vec((any::<bool>(), 0..4usize), 20..60),
        has_teams: bool,
    ) {
        let mut suspects = PoisonRequests::default();
        let is_hidden = others.iter().any(|o| !o.differs(&poisoner, has_teams) && o.path == poisoner.path);
        let mut crashes = 0;
        for (turn, (is_poisoner, other)) in turns.into_iter().enumerate() {
            let caller = match others.get(other) {
                Some(other) if !is_poisoner => other,
                _ => &poisoner,
            };
            let millis = 400 * (turn as u64 + 1);
            let of = caller.fingerprints(has_teams);
            let is_blocked = suspects.blocking(of, Time::from_millis(millis)).is_some();
            if !caller.is_poisoner {
                let has_name = has_teams && caller.team.is_some();
                prop_assert!(!has_name || caller.team == poisoner.team || !is_blocked, "{caller:?}");
            }
            if is_blocked {
                continue;
            }
            crashes += u64::from(caller.is_poisoner);
            let event = match caller.is_poisoner {
                true => RequestEvent::UpstreamCrashed(crash_hash("s", "u", &turn.to_string())),
                false => RequestEvent::Answered,
            };
            // Copies to one upstream in turn, each sent once it is back.
            let at = Time::from_millis(millis);
            for fingerprint in of.iter() {
                suspects.record(&RequestReport { fingerprint, event, sent: at.before(RUN_TIME), at }, at);
            }
        }
        prop_assert!(is_hidden || crashes <= 3, "{crashes} upstreams have ended under {poisoner:?}");
    }
}
