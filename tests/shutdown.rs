//! A daemon that receives SIGTERM under load completes every request.

mod harness;
#[path = "../examples/standin/mod.rs"]
mod standin;

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;

use harness::{Caller, Daemon, request, wait_until};
use standin::upstream::{Behaviour, Upstream};

const CALLERS: usize = 24;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sigterm_under_load_completes_all_requests() {
    for workers in [1, 3] {
        stop_under_load(workers).await;
    }
}

async fn stop_under_load(workers: usize) {
    let service_time = Duration::from_millis(20);
    let behaviour = Behaviour { service_time, ..Behaviour::default() };
    let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let upstream = Upstream::start(loopback, 64, behaviour).await;
    let limits = json!({"workers": workers});
    let daemon = Daemon::start(&[upstream.address], json!({"slots": 64}), json!({}), limits);
    let answered = Arc::new(AtomicU32::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|i| tokio::spawn(call_until_closed(daemon.caller, i, answered.clone())))
        .collect();
    let count = answered.clone();
    tokio::task::spawn_blocking(move || {
        wait_until("requests are answered", || count.load(Ordering::Relaxed) > 200);
        daemon.terminate();
        wait_until("readiness fails", || daemon.readiness() == Some(503));
        assert!(daemon.wait().success());
    })
    .await
    .expect("shutdown");
    for caller in callers {
        caller.await.expect("every request is answered");
    }
    assert_eq!(upstream.runs.lock().len() as u32, answered.load(Ordering::Relaxed));
}

/// A request that takes longer than the grace time, one whose head is still incomplete, and one on
/// a new connection are answered. An idle connection is closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sigterm_waits_for_slow_requests_and_closes_idle_connections() {
    let service_time = Duration::from_millis(1_500);
    let behaviour = Behaviour { service_time, ..Behaviour::default() };
    let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let upstream = Upstream::start(loopback, 64, behaviour).await;
    let daemon = Daemon::start(&[upstream.address], json!({}), json!({}), json!({}));
    let connect = || TcpStream::connect(daemon.caller).expect("connect");
    let head = |id: &str| format!("POST / HTTP/1.1\r\nhost: a\r\nx-request-id: {id}\r\n");
    let (mut slow, mut partial, mut idle) = (connect(), connect(), connect());
    slow.write_all(format!("{}\r\n", head("slow")).as_bytes()).expect("write");
    partial.write_all(head("partial").as_bytes()).expect("write");
    wait_until("the slow request runs", || upstream.runs_of("slow") == 1);
    daemon.terminate();
    wait_until("readiness fails", || daemon.readiness() == Some(503));
    let mut fresh = connect();
    fresh.write_all(format!("{}\r\n", head("fresh")).as_bytes()).expect("write");
    wait_until("connections are refused", || TcpStream::connect(daemon.caller).is_err());
    partial.write_all(b"\r\n").expect("write");
    for (name, stream) in [("slow", &mut slow), ("partial", &mut partial), ("fresh", &mut fresh)] {
        let response = std::io::read_to_string(stream).expect("a response");
        assert!(response.contains("connection: close") && response.ends_with(&format!("{name}\n")));
    }
    assert_eq!(idle.read(&mut [0; 1]).expect("end"), 0);
    drop((slow, partial, fresh, idle));
    assert!(daemon.wait().success());
}

/// Guards against requests that come late in a planned stop, are passed on, and are cut when the platform
/// ends the process: their callers can't tell whether they have run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_can_not_finish_before_the_process_is_ended_are_refused_and_do_not_run() {
    let service_time = Duration::from_millis(1_500);
    let behaviour = Behaviour { service_time, ..Behaviour::default() };
    let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let upstream = Upstream::start(loopback, 64, behaviour).await;
    let end_after = Duration::from_secs(3);
    let settings = json!({
        "host": "entry-1", "data_centre": "a", "stop_s": end_after.as_secs_f64(),
        "limits": {"grace_ms": 300},
        "services": [{
            "name": "s", "profile": "p", "connections": 1_000, "measure": {"probes_per_second": 0.0},
            "upstreams": [{"name": "u0", "address": upstream.address, "data_centre": "a"}],
        }],
        "profiles": [{"name": "p"}],
    });
    let daemon = Daemon::run(&settings);
    let connect = || TcpStream::connect(daemon.caller).expect("connect");
    let head = |id: &str| {
        let deadline = "x-cornelferry-deadline-ms: 9000\r\n";
        format!("POST / HTTP/1.1\r\nhost: a\r\nx-request-id: {id}\r\n{deadline}")
    };
    let (mut early, mut late) = (connect(), connect());
    late.write_all(head("late").as_bytes()).expect("write");
    daemon.terminate();
    let began = Instant::now();
    wait_until("readiness fails", || daemon.readiness() == Some(503));
    early.write_all(format!("{}\r\n", head("early")).as_bytes()).expect("write");
    std::thread::sleep(
        (end_after - service_time + service_time / 4).saturating_sub(began.elapsed()),
    );
    late.write_all(b"\r\n").expect("write");
    std::thread::sleep(end_after.saturating_sub(began.elapsed()));
    daemon.signal("KILL");
    let response = |stream| std::io::read_to_string(stream).unwrap_or_default();
    assert!(response(&mut early).ends_with("early\n"));
    let late = response(&mut late);
    assert!(late.contains("503") && late.contains("x-cornelferry-code: 2011"), "{late:?}");
    assert_eq!(upstream.runs_of("late"), 0);
}

/// Sends requests until connections are refused. Uses each connection until the daemon closes it.
async fn call_until_closed(address: SocketAddr, number: usize, answered: Arc<AtomicU32>) {
    for connection in 0.. {
        let Ok(mut caller) = Caller::connect(address).await else { return };
        for i in 0.. {
            let id = format!("{number}-{connection}-{i}");
            let res =
                caller.send(request("POST", "/book", &id, "")).await.expect("a complete response");
            assert_eq!(res.status(), 200, "{res:?}");
            assert_eq!(res.body(), format!("{id}\n").as_bytes());
            answered.fetch_add(1, Ordering::Relaxed);
            if res.headers().get("connection").is_some_and(|v| v == "close") {
                break;
            }
        }
    }
}
