//! Behaviour under overload: waiting, refusals, draining upstreams, and limits on connections and
//! memory.

mod harness;
#[path = "../examples/standin/mod.rs"]
mod standin;

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use http::Response;
use serde_json::json;

use harness::{Caller, Daemon, call, code, request, wait_until};
use standin::upstream::{Behaviour, Upstream};

async fn upstream(service_ms: u64) -> Arc<Upstream> {
    let service_time = Duration::from_millis(service_ms);
    let behaviour = Behaviour { service_time, ..Behaviour::default() };
    Upstream::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), 64, behaviour).await
}

fn outcome(res: &Response<Bytes>) -> &str {
    res.headers()["x-cornelferry-outcome"].to_str().expect("text")
}

/// Returns how many requests are waiting for a slot at a daemon.
fn waiting(admin: SocketAddr) -> u32 {
    let req = b"GET /metrics HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let metrics = harness::send_raw(admin, req).unwrap_or_default();
    let value = metrics.lines().find_map(|l| l.strip_prefix("cornelferry_waiting{service=\"s\"} "));
    value.and_then(|v| v.trim().parse().ok()).unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn urgent_requests_go_first_and_requests_that_may_not_wait_are_refused() {
    let slow = upstream(500).await;
    let treatment =
        |priority: &str| json!({"priority": priority, "deadline_ms": 9_000, "wait_ms": 8_000});
    let rules = json!([
        {"path": "/urgent", "treatment": treatment("urgent")},
        {"path": "/book", "treatment": treatment("normal")},
        {"path": "/now", "treatment": {"wait_ms": 0}}
    ]);
    let service = json!({"slots": 4});
    let daemon = Daemon::start(&[slow.address], service, json!({"rules": rules}), json!({}));
    let admin = daemon.admin;
    let normal = join_all((0..24).map(|i| {
        let (daemon, id) = (&daemon, format!("book-{i}"));
        async move { call(daemon, "POST", "/book", &id).await }
    }));
    let urgent = async {
        let wait_for_queue = move || wait_until("requests wait", || waiting(admin) > 0);
        tokio::task::spawn_blocking(wait_for_queue).await.expect("requests wait");
        let refused = call(&daemon, "POST", "/now", "now").await;
        assert_eq!(outcome(&refused), "not-run", "{refused:?}");
        assert!(refused.headers().contains_key("retry-after"), "{refused:?}");
        assert_eq!(slow.runs_of("now"), 0);
        call(&daemon, "POST", "/urgent", "urgent").await
    };
    let (normal, urgent) = tokio::join!(normal, urgent);
    assert_eq!(code(&urgent), 1000, "{urgent:?}");
    for (i, res) in normal.iter().enumerate() {
        let runs = slow.runs_of(&format!("book-{i}"));
        assert_eq!(runs, usize::from(outcome(res) == "answered"), "{res:?}");
        assert_ne!(outcome(res), "unknown", "{res:?}");
    }
    let runs = slow.runs.lock().clone();
    let position = runs.iter().position(|id| id == "urgent").expect("the urgent request ran");
    assert!(position + 1 < runs.len(), "the urgent request ran last: {runs:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn waiting_requests_of_disconnected_callers_do_not_run() {
    let slow = upstream(1_500).await;
    let profile = json!({"otherwise": {"wait_ms": 8_000, "deadline_ms": 9_000}});
    let daemon = Daemon::start(&[slow.address], json!({"slots": 1}), profile, json!({}));
    let send = |id: String| {
        let mut stream = TcpStream::connect(daemon.caller).expect("connect");
        let head = format!("POST / HTTP/1.1\r\nhost: a\r\nx-request-id: {id}\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("write");
        stream
    };
    let mut waiting_callers = Vec::new();
    while waiting(daemon.admin) == 0 {
        waiting_callers.push(send(format!("stay-{}", waiting_callers.len())));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let before = waiting(daemon.admin);
    let leaving = send("gone".to_owned());
    wait_until("one more request waits", || waiting(daemon.admin) == before + 1);
    drop(leaving);
    wait_until("the abandoned request no longer waits", || waiting(daemon.admin) <= before);
    for (i, stream) in waiting_callers.iter_mut().enumerate() {
        assert!(stream.read(&mut [0; 16]).is_ok_and(|n| n > 0));
        assert_eq!(slow.runs_of(&format!("stay-{i}")), 1);
    }
    assert_eq!(slow.runs_of("gone"), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_upstreams_finish_their_requests_and_get_no_new_ones() {
    let (leaving, staying) = (upstream(30).await, upstream(5).await);
    let upstreams = [leaving.address, staying.address];
    let daemon = Daemon::start(&upstreams, json!({}), json!({}), json!({}));
    let daemon = &daemon;
    let calls = |round: usize| {
        join_all((0..8).map(move |i| async move {
            call(daemon, "POST", "/book", &format!("{round}-{i}")).await
        }))
    };
    let mut responses = calls(0).await;
    leaving.behaviour.lock().draining = true;
    for round in 1..4 {
        responses.extend(calls(round).await);
    }
    let runs_before = leaving.runs.lock().len();
    responses.extend(calls(4).await);
    assert_eq!(leaving.runs.lock().len(), runs_before, "new requests after the drain signal");
    assert!(responses.iter().all(|res| code(res) == 1000), "{responses:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_seen_only_by_a_probe_stops_new_requests() {
    let (leaving, staying) = (upstream(1).await, upstream(1).await);
    leaving.behaviour.lock().unhealthy = true;
    let measure = json!({"measure": {"probes_per_second": 400.0}});
    let upstreams = [leaving.address, staying.address];
    let daemon = Daemon::start(&upstreams, measure, json!({}), json!({}));
    let events = b"GET /events HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let drain_seen =
        || harness::send_raw(daemon.admin, events).is_ok_and(|e| e.contains("\"code\":3001"));
    let mut calls = 0;
    while !drain_seen() {
        calls += 1;
        assert!(calls < 1_000, "the drain is not detected");
        assert_eq!(code(&call(&daemon, "POST", "/", &format!("{calls}")).await), 1000);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let before = leaving.runs.lock().len();
    for i in 0..8 {
        assert_eq!(code(&call(&daemon, "POST", "/", &format!("after-{i}")).await), 1000);
    }
    assert_eq!(leaving.runs.lock().len(), before, "new requests after the drain was detected");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_share_a_limited_number_of_connections() {
    let limited = upstream(5).await;
    // The default fleet size of 18 leaves two of the 36 connections to this host.
    let service = json!({"connections": 36, "slots": 64});
    let daemon = Daemon::start(&[limited.address], service, json!({}), json!({}));
    let daemon = &daemon;
    let calls = (0..24).map(|i| async move { call(daemon, "POST", "/", &format!("{i}")).await });
    let responses = join_all(calls).await;
    assert!(responses.iter().all(|res| code(res) == 1000), "{responses:?}");
    assert!(
        limited.max_open.load(Ordering::SeqCst) <= 2,
        "more connections than this host's share"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_over_the_memory_budget_are_refused_or_streamed() {
    let echo = upstream(1).await;
    let limits = json!({"body_bytes": 100_000});
    let daemon = Daemon::start(&[echo.address], json!({}), json!({}), limits);
    let mut caller = Caller::connect(daemon.caller).await.expect("connect");
    let large = caller.send(request("POST", "/", "large", &"x".repeat(200_000))).await;
    let large = large.expect("response");
    assert_eq!((code(&large), echo.runs_of("large")), (2005, 0), "{:?}", large.headers());
    assert_eq!(large.headers()["connection"], "close");
    let mut caller = Caller::connect(daemon.caller).await.expect("connect");
    for i in 0..3 {
        let body = "y".repeat(60_000);
        let res =
            caller.send(request("POST", "/", &format!("{i}"), &body)).await.expect("response");
        assert_eq!((code(&res), res.body().len()), (1000, body.len()));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_over_the_limit_are_refused_immediately() {
    let echo = upstream(1).await;
    let limits = json!({"caller_connections": 3});
    let daemon = Daemon::start(&[echo.address], json!({}), json!({}), limits);
    let open: Vec<TcpStream> =
        (0..3).map(|_| TcpStream::connect(daemon.caller).expect("connect")).collect();
    let response_to_new_connection =
        || std::io::read_to_string(TcpStream::connect(daemon.caller).unwrap());
    wait_until("a further connection is refused", || {
        response_to_new_connection().is_ok_and(|r| r.contains("x-cornelferry-outcome: not-run"))
    });
    drop(open);
    wait_until("a closed connection makes room", || {
        let res = harness::send_raw(
            daemon.caller,
            b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
        );
        res.is_ok_and(|r| harness::status_of(&r) == Some(200))
    });
}
