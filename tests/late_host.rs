//! Hosts that can't keep up with their work: what they refuse, and when they take up all again.

mod harness;
#[path = "../examples/standin/mod.rs"]
mod standin;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cornelferry::Time;
use cornelferry::config::Priority;
use cornelferry::overload::{LATE, Loop, Overload, OverloadChange};
use http::Request;
use http_body_util::Full;
use serde_json::json;

use harness::signing::{SigningUpstream, config, signed};
use harness::{Caller, Daemon, send_signal};
use standin::registry::Registry;

/// The time between two turns of a loop in these tests.
const TURN: Duration = Duration::from_millis(50);

/// Lets the control loop turn for some time, each time with this lateness. Returns the changes.
fn run(
    overload: &mut Overload,
    now: &mut Time,
    time: Duration,
    late: Duration,
) -> Vec<OverloadChange> {
    let end = *now + time;
    let mut changes = Vec::new();
    while *now < end {
        *now = *now + TURN + late;
        changes.extend(overload.observe(Loop::Control, late, *now));
    }
    changes
}

/// Returns how many of 100 requests are refused.
fn refused(overload: &mut Overload, priority: Priority) -> usize {
    (0..100).filter(|i| overload.refuses(priority, *i as f32 / 100.0)).count()
}

/// Replays a host whose requests cost more than its processor gives, as in the incident of the hosts
/// that never recovered while their callers went on.
#[test]
fn the_refused_part_grows_while_a_loop_is_late_and_shrinks_when_it_is_in_time() {
    let (mut overload, mut now) = (Overload::default(), Time::from_millis(1_000));
    assert!(run(&mut overload, &mut now, Duration::from_secs(5), LATE / 2).is_empty());
    assert_eq!(refused(&mut overload, Priority::Deferrable), 0);
    let began = run(&mut overload, &mut now, Duration::from_millis(200), LATE);
    assert_eq!(began, [OverloadChange::Began]);
    let some = refused(&mut overload, Priority::Deferrable);
    run(&mut overload, &mut now, Duration::from_secs(2), LATE * 3);
    let most = refused(&mut overload, Priority::Deferrable);
    assert!(0 < some && some < most && most < 100, "{some}, {most}");
    let urgent = refused(&mut overload, Priority::Urgent);
    let normal = refused(&mut overload, Priority::Normal);
    assert!(urgent < normal && normal < most, "{urgent}, {normal}");
    let ended = run(&mut overload, &mut now, Duration::from_secs(5), Duration::ZERO);
    assert_eq!(ended, [OverloadChange::Ended((some + most + urgent + normal) as u64)]);
    assert_eq!(refused(&mut overload, Priority::Deferrable), 0);
}

#[test]
fn a_control_loop_that_is_overdue_counts_before_it_turns() {
    let (mut overload, now) = (Overload::default(), Time::from_millis(1_000));
    overload.set_control_due(now);
    assert!(!overload.is_late(now + LATE / 2));
    assert!(overload.is_late(now + LATE));
    assert_eq!(overload.response_delay(now + LATE / 2), Duration::ZERO);
    assert!(overload.response_delay(now + LATE) > LATE);
    assert!(overload.response_delay(now + Duration::from_secs(60)) < Duration::from_secs(5));
}

#[test]
fn a_late_turn_of_the_loop_of_callers_counts_for_a_moment_only() {
    let (mut overload, now) = (Overload::default(), Time::from_millis(1_000));
    overload.observe(Loop::Callers, LATE, now);
    assert!(overload.is_late(now));
    assert!(!overload.is_late(now + Duration::from_secs(1)));
}

#[test]
fn refused_callers_are_spread_and_return_later_the_longer_it_lasts() {
    let (mut overload, mut now) = (Overload::default(), Time::from_millis(1_000));
    run(&mut overload, &mut now, Duration::from_millis(200), LATE);
    let (early, late) = (overload.retry_after(now, 0.0), overload.retry_after(now, 1.0));
    assert!(Duration::ZERO < early && early < late);
    run(&mut overload, &mut now, Duration::from_secs(2), LATE);
    assert!(overload.retry_after(now, 0.0) > early);
}

/// Lets a process run for a part of the time only, until the flag is set.
fn throttle(pid: u32, is_over: Arc<AtomicBool>) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        while !is_over.load(Ordering::Relaxed) && send_signal(pid, "STOP") {
            std::thread::sleep(LATE * 3);
            send_signal(pid, "CONT");
            std::thread::sleep(LATE / 5);
        }
    })
}

async fn send(daemon: &Daemon, number: usize) -> u16 {
    let mut caller = Caller::connect(daemon.caller).await.expect("connect");
    let req = Request::builder().method("GET").uri(format!("/book/read/{number}"));
    let req = req.header("host", "port.example").header("x-attempt-id", format!("r-{number}"));
    let req = req.header("x-deadline-ms", "9000").body(Full::default()).expect("request");
    harness::code(&caller.send(req).await.expect("response"))
}

/// Guards against a host that serves by routes that may have been replaced, because it lacks the
/// processor time to read the newer ones. While only the registry is away, requests are served.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_host_that_cannot_keep_up_does_not_serve_by_an_outdated_copy() {
    let registry = Registry::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await;
    registry.put("op/config", &config(3, "/book/"));
    let upstream = SigningUpstream::start("u-1", signed);
    registry.put("servers/u-1", &upstream.registration("ready"));
    let daemon = Daemon::run(&json!({
        "host": "entry-1", "data_centre": "a",
        "registry": {"address": registry.address, "retry_share": 0.2, "probes_per_second": 60.0},
    }));
    assert_eq!(send(&daemon, 0).await, 1000);
    registry.set_refusing(true);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(send(&daemon, 1).await, 1000, "the store alone is away");
    let is_over = Arc::new(AtomicBool::new(false));
    let throttled = throttle(daemon.pid(), is_over.clone());
    tokio::time::sleep(Duration::from_secs(1)).await;
    for number in 2..6 {
        assert_eq!(send(&daemon, number).await, 2018, "late, with an outdated copy");
    }
    is_over.store(true, Ordering::Relaxed);
    tokio::task::spawn_blocking(|| throttled.join()).await.expect("task").expect("throttle");
    registry.set_refusing(false);
    let mut number = 6;
    while send(&daemon, number).await != 1000 {
        number += 1;
        assert!(number < 1_000, "not served again");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
