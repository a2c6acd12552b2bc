//! Outcomes reported to callers, and executions at the upstreams, when upstreams or connections
//! fail.

mod harness;
#[path = "../examples/standin/mod.rs"]
mod standin;

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use serde_json::{Value, json};

use harness::{Caller, Daemon, call, code, request, send_raw, status_of, wait_until};
use standin::upstream::{Behaviour, Fault, Upstream};

const FAULTS: [Fault; 7] = [
    Fault::Refuse,
    Fault::ResetOnAccept,
    Fault::CloseBeforeRun,
    Fault::CloseAfterRun,
    Fault::CutBody,
    Fault::NoResponse,
    Fault::InvalidHttp,
];

async fn upstream(fault: Option<Fault>) -> Arc<Upstream> {
    let service_time = Duration::from_millis(2);
    let behaviour = Behaviour { service_time, fault, ..Behaviour::default() };
    Upstream::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), 64, behaviour).await
}

/// Starts a daemon whose GET and HEAD requests are idempotent and whose other requests are not.
fn daemon(upstreams: &[&Arc<Upstream>], deadline_ms: u64, service: Value) -> Daemon {
    let addresses: Vec<SocketAddr> = upstreams.iter().map(|u| u.address).collect();
    let mut base = json!({
        "refusals": [{"status": 503, "header": "x-refused"}],
        "retry_share": 1.0
    });
    base.as_object_mut().unwrap().extend(service.as_object().unwrap().clone());
    let read = json!({"idempotent": true, "deadline_ms": deadline_ms, "attempts": 3});
    let write = json!({"idempotent": false, "deadline_ms": deadline_ms});
    let rules = json!([{"methods": ["GET", "HEAD"], "path": "*", "treatment": read}]);
    let profile = json!({"rules": rules, "otherwise": write});
    Daemon::start_in_fleet(1, &addresses, base, profile, json!({}))
}

fn header<'a>(res: &'a Response<Bytes>, name: &str) -> &'a str {
    res.headers().get(name).map_or("", |v| v.to_str().expect("text"))
}

/// Returns the result codes that a request that is not idempotent may get if the first upstream has
/// the fault and the second has none.
fn expected_codes(fault: Fault) -> &'static [u16] {
    match fault {
        Fault::Refuse => &[1000, 2009],
        Fault::ResetOnAccept | Fault::CloseBeforeRun | Fault::CloseAfterRun => &[1000, 3002],
        Fault::CutBody => &[1000, 3004],
        Fault::NoResponse => &[1000, 3001],
        Fault::InvalidHttp => &[1000, 3006],
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn non_idempotent_requests_run_at_most_once_under_any_fault() {
    for fault in FAULTS {
        let (bad, good) = (upstream(Some(fault)).await, upstream(None).await);
        let daemon = daemon(&[&bad, &good], 300, json!({}));
        let mut codes = Vec::new();
        for i in 0..12 {
            let id = format!("{fault:?}-{i}");
            let res = call(&daemon, "POST", "/book", &id).await;
            let (runs, code) = (bad.runs_of(&id) + good.runs_of(&id), code(&res));
            assert!(runs <= 1, "{id} ran {runs} times: {res:?}");
            assert!(expected_codes(fault).contains(&code), "{id}: {res:?}");
            match header(&res, "x-cornelferry-outcome") {
                "not-run" => assert_eq!(runs, 0, "{id}: {res:?}"),
                "answered" => assert_eq!(res.body(), format!("{id}\n").as_bytes()),
                outcome => assert_eq!(outcome, "unknown"),
            }
            let is_final = code == 1000 || res.headers().contains_key("retry-after");
            assert!(is_final, "{id}: {res:?}");
            codes.push(code);
        }
        assert!(codes.contains(&1000), "{fault:?}: {codes:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn non_idempotent_requests_report_what_the_only_upstream_did() {
    for fault in FAULTS {
        let bad = upstream(Some(fault)).await;
        let daemon = daemon(&[&bad], 300, json!({}));
        let res = call(&daemon, "POST", "/book", "w").await;
        let (result_code, runs) = (code(&res), bad.runs_of("w"));
        let ran = !matches!(fault, Fault::Refuse | Fault::ResetOnAccept | Fault::CloseBeforeRun);
        assert_eq!(runs, usize::from(ran), "{fault:?}: {res:?}");
        // The connection may be reset before or after the first byte of the request is written.
        let was_reset_before_sending = fault == Fault::ResetOnAccept && result_code == 2010;
        assert!(
            result_code == expected_codes(fault)[1] || was_reset_before_sending,
            "{fault:?}: {res:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn non_idempotent_requests_run_at_most_once_with_two_faulty_upstreams() {
    for (i, one) in FAULTS.into_iter().enumerate() {
        for other in [FAULTS[(i + 1) % FAULTS.len()], FAULTS[(i + 3) % FAULTS.len()]] {
            let (a, b) = (upstream(Some(one)).await, upstream(Some(other)).await);
            let daemon = daemon(&[&a, &b], 150, json!({}));
            for n in 0..4 {
                let id = format!("{one:?}-{other:?}-{n}");
                let res = call(&daemon, "POST", "/book", &id).await;
                let runs = a.runs_of(&id) + b.runs_of(&id);
                assert!(runs <= 1, "{id} ran {runs} times: {res:?}");
                let outcome = header(&res, "x-cornelferry-outcome");
                assert!(
                    outcome == "unknown" || (outcome == "not-run" && runs == 0),
                    "{id}: {res:?}"
                );
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_requests_are_hedged_and_the_slower_attempt_is_cancelled() {
    let (slow, quick) = (upstream(None).await, upstream(None).await);
    slow.behaviour.lock().service_time = Duration::from_secs(30);
    let daemon = daemon(&[&slow, &quick], 2_000, json!({}));
    for i in 0..6 {
        let res = call(&daemon, "GET", "/tides", &format!("h{i}")).await;
        assert_eq!(code(&res), 1000, "{res:?}");
    }
    let hedged = slow.runs.lock().len() as u32;
    wait_until("slow attempts are cancelled", || slow.cancelled.load(Ordering::SeqCst) == hedged);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idempotent_requests_succeed_with_one_healthy_upstream() {
    for fault in FAULTS {
        let (bad, good) = (upstream(Some(fault)).await, upstream(None).await);
        let daemon = daemon(&[&bad, &good], 1_000, json!({}));
        for i in 0..8 {
            let id = format!("{fault:?}-{i}");
            let res = call(&daemon, "GET", "/tides", &id).await;
            assert_eq!(code(&res), 1000, "{id}: {res:?}");
            assert_eq!(res.body(), format!("{id}\n").as_bytes());
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn undeclared_errors_are_forwarded_with_an_unknown_outcome() {
    let failing = upstream(None).await;
    failing.behaviour.lock().fail_status = Some(503);
    let daemon = daemon(&[&failing], 500, json!({}));
    for method in ["POST", "GET"] {
        let res = call(&daemon, method, "/x", "e").await;
        assert_eq!((code(&res), res.status().as_u16()), (3003, 503));
        assert_eq!(header(&res, "x-cornelferry-outcome"), "unknown");
        assert_eq!(res.body(), "e\n");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_fail_over_when_a_connection_is_refused() {
    let (gone, good) = (upstream(None).await, upstream(None).await);
    drop(gone);
    // Bound, so that no other test gets the port, but not listening.
    let closed = tokio::net::TcpSocket::new_v4().unwrap();
    closed.bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
    let address = closed.local_addr().unwrap();
    let treatment = json!({"otherwise": {"deadline_ms": 500}});
    let service = json!({"retry_share": 1.0});
    let daemon = Daemon::start_in_fleet(1, &[address, good.address], service, treatment, json!({}));
    for i in 0..8 {
        let id = format!("c{i}");
        let res = call(&daemon, "POST", "/book", &id).await;
        assert_eq!((code(&res), good.runs_of(&id)), (1000, 1));
    }
    let alone = Daemon::start(&[address], json!({}), json!({}), json!({}));
    let res = call(&alone, "POST", "/book", "c").await;
    assert_eq!(header(&res, "x-cornelferry-outcome"), "not-run", "{res:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn non_idempotent_requests_avoid_dead_connections() {
    let upstream = upstream(None).await;
    let daemon = daemon(&[&upstream], 600, json!({}));
    for round in 0..3 {
        let calls = (0..4).map(|i| {
            let (daemon, id) = (&daemon, format!("warm-{round}-{i}"));
            async move { call(daemon, "GET", "/tides", &id).await }
        });
        futures_util::future::join_all(calls).await;
        // The pause exceeds the default `proof_age_ms` of 200, so the request uses none of the
        // connections that are now dead.
        tokio::time::sleep(Duration::from_millis(300)).await;
        upstream.silence_connections();
        let id = format!("write-{round}");
        let res = call(&daemon, "POST", "/book", &id).await;
        assert_eq!((code(&res), upstream.runs_of(&id)), (1000, 1), "{res:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idempotent_requests_on_dead_connections_are_resent() {
    let (one, other) = (upstream(None).await, upstream(None).await);
    let daemon = daemon(&[&one, &other], 1_000, json!({}));
    let read = |i: usize| call(&daemon, "GET", "/tides", ["a", "b", "c", "d", "e", "f"][i]);
    futures_util::future::join_all((0..6).map(read)).await;
    one.silence_connections();
    let responses = futures_util::future::join_all((0..6).map(read)).await;
    assert!(responses.iter().all(|res| code(res) == 1000), "{responses:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn deadlines_are_forwarded_and_cancel_attempts() {
    let slow = upstream(None).await;
    slow.behaviour.lock().service_time = Duration::from_secs(10);
    let daemon = daemon(&[&slow], 5_000, json!({}));
    let mut caller = Caller::connect(daemon.caller).await.unwrap();
    let mut req = request("POST", "/book", "late", "");
    req.headers_mut().insert("x-cornelferry-deadline-ms", 100.into());
    let res = caller.send(req).await.unwrap();
    assert_eq!(code(&res), 3001, "{res:?}");
    assert!(slow.deadlines.lock().iter().all(|ms| *ms <= 100), "{:?}", slow.deadlines);
    wait_until("the upstream sees the cancellation", || slow.cancelled.load(Ordering::SeqCst) == 1);
    for (value, expected_code) in [("0", 2007), ("soon", 2016), ("-1", 2016)] {
        let mut req = request("POST", "/book", "never", "");
        req.headers_mut().insert("x-cornelferry-deadline-ms", value.parse().unwrap());
        assert_eq!(code(&caller.send(req).await.unwrap()), expected_code);
    }
    assert_eq!(slow.runs_of("never"), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_disconnects_cancel_requests() {
    let slow = upstream(None).await;
    slow.behaviour.lock().service_time = Duration::from_secs(10);
    let daemon = daemon(&[&slow], 8_000, json!({}));
    let stream = std::net::TcpStream::connect(daemon.caller).unwrap();
    (&stream).write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    wait_until("the request runs", || !slow.runs.lock().is_empty());
    drop(stream);
    wait_until("the request is cancelled", || slow.cancelled.load(Ordering::SeqCst) == 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn truncated_streamed_responses_end_with_an_error() {
    let cutting = upstream(Some(Fault::CutBody)).await;
    let daemon = daemon(&[&cutting], 2_000, json!({"answer_buffer_bytes": 16}));
    let mut caller = Caller::connect(daemon.caller).await.unwrap();
    let response = caller.send(request("GET", "/tides", "cut", "")).await;
    assert!(response.is_err(), "{response:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_requests_reach_no_upstream() {
    let upstream = upstream(None).await;
    let daemon = daemon(&[&upstream], 2_000, json!({"body_max_bytes": 10}));
    let long = format!("GET / HTTP/1.1\r\nhost: a\r\nx-long: {}\r\n\r\n", "a".repeat(40_000));
    let longer = format!("GET / HTTP/1.1\r\nhost: a\r\nx-long: {}\r\n\r\n", "a".repeat(90_000));
    let many = format!("GET / HTTP/1.1\r\nhost: a\r\n{}\r\n", "x-a: 1\r\n".repeat(100));
    let cases: &[(&str, u16)] = &[
        ("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab", 400),
        ("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\ncontent-length: 0\r\n\r\nab", 400),
        ("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: +2\r\n\r\nab", 400),
        (
            "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\ncontent-length: 0\r\n\r\n0\r\n\r\n",
            400,
        ),
        ("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400),
        (
            "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: identity\r\n\r\nGET / HTTP/1.1\r\nhost: a\r\n\r\n",
            400,
        ),
        ("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 11\r\n\r\n01234567890", 413),
        (
            "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n",
            413,
        ),
        ("GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nno-host: a\r\n\r\n", 400),
        ("GET / HTTP/1.0\r\nhost: a\r\n\r\n", 400),
        ("CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n", 400),
        ("OPTIONS * HTTP/1.1\r\nhost: a\r\n\r\n", 400),
        ("GET /tides/%2E./book HTTP/1.1\r\nhost: a\r\n\r\n", 400),
        ("nonsense\r\n\r\n", 400),
        (&long, 431),
        (&longer, 431),
        (&many, 431),
    ];
    for (bytes, status) in cases {
        let response = send_raw(daemon.caller, bytes.as_bytes()).expect("a response");
        assert_eq!(status_of(&response), Some(*status), "{:.80}: {response}", bytes);
        let total = response.matches("HTTP/1.1 ").count();
        let rejected = response.matches(&format!("HTTP/1.1 {status} ")).count();
        assert_eq!(total, rejected, "{bytes:.80}: {response}");
    }
    let body_with_head =
        b"POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\nab";
    let response = send_raw(daemon.caller, body_with_head).expect("a response");
    assert!(response.contains("x-cornelferry-code: 2017"), "{response}");
    let truncated = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab";
    let stream = std::net::TcpStream::connect(daemon.caller).unwrap();
    (&stream).write_all(truncated).unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let response = std::io::read_to_string(&stream).unwrap();
    assert!(response.contains("x-cornelferry-code: 2017"), "{response}");
    assert_eq!(upstream.runs.lock().len(), 0, "{:?}", upstream.runs);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_belong_to_their_requests() {
    let upstreams = [upstream(None).await, upstream(None).await, upstream(None).await];
    let all: Vec<&Arc<Upstream>> = upstreams.iter().collect();
    let daemon = daemon(&all, 5_000, json!({}));
    let callers = (0..64).map(|c| {
        let address = daemon.caller;
        tokio::spawn(async move {
            let mut caller = Caller::connect(address).await.expect("connect");
            for i in 0..40 {
                let id = format!("{c}-{i}");
                let method = ["GET", "POST"][i % 2];
                let mut req = request(method, "/x", &id, "");
                if i % 5 == 0 {
                    req.headers_mut().insert("x-cornelferry-deadline-ms", 3.into());
                }
                let res = caller.send(req).await.expect("response");
                assert_eq!(header(&res, "x-request-id"), id);
                if code(&res) == 1000 {
                    assert_eq!(res.body(), format!("{id}\n").as_bytes());
                }
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.expect("responses match their requests");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pipelined_requests_are_answered_in_order() {
    let upstream = upstream(None).await;
    let daemon = daemon(&[&upstream], 5_000, json!({}));
    let pipelined = |id: &str, field: &str| {
        format!("GET / HTTP/1.1\r\nhost: a\r\nx-request-id: {id}\r\n{field}\r\n")
    };
    let bytes =
        pipelined("p1", "") + &pipelined("p2", "") + &pipelined("p3", "connection: close\r\n");
    let response = send_raw(daemon.caller, bytes.as_bytes()).unwrap();
    let bodies: Vec<&str> = response.lines().filter(|l| l.len() == 2).collect();
    assert_eq!(bodies, ["p1", "p2", "p3"], "{response}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn internal_and_hop_by_hop_headers_are_not_forwarded() {
    let upstream = upstream(None).await;
    let daemon = daemon(&[&upstream], 5_000, json!({}));
    let mut caller = Caller::connect(daemon.caller).await.unwrap();
    let head = caller.send(request("HEAD", "/x", "h", "")).await.unwrap();
    assert_eq!((code(&head), head.body().len()), (1000, 0));
    let mut req = request("POST", "/x", "no id", "body");
    req.headers_mut().remove("x-request-id");
    req.headers_mut().insert("x-cornelferry-attempt", 9.into());
    let res = caller.send(req).await.unwrap();
    assert_eq!(res.body(), "body");
    assert_eq!(header(&res, "x-request-id").len(), 16);
    let mut other = Caller::connect(daemon.caller).await.unwrap();
    let res = other.send(request("POST", "/x", "not visible", "body")).await.unwrap();
    assert_eq!((res.status().as_u16(), header(&res, "x-request-id").len()), (400, 16));
    let mut stream = std::net::TcpStream::connect(daemon.caller).unwrap();
    let head = b"POST /x HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\n";
    stream.write_all(head).unwrap();
    let mut buf = [0; 1024];
    let read = stream.read(&mut buf).unwrap();
    assert_eq!(&buf[..read], b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"body").unwrap();
    let read = stream.read(&mut buf).unwrap();
    assert!(buf[..read].starts_with(b"HTTP/1.1 200 OK") && buf[..read].ends_with(b"body"));
}
