//! What callers are told, and how often upstreams run a request, when something goes wrong.

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

/// Starts a daemon whose GET requests are idempotent and whose others are not.
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
    Daemon::start(&addresses, base, profile, json!({}))
}

fn header<'a>(res: &'a Response<Bytes>, name: &str) -> &'a str {
    res.headers().get(name).map_or("", |v| v.to_str().expect("text"))
}

/// The outcome that the caller of a request that is not idempotent may be told, when the first
/// upstream has a fault and the second none.
fn expected(fault: Fault) -> &'static [u16] {
    match fault {
        Fault::Refuse => &[1000, 2009],
        Fault::ResetOnAccept | Fault::CloseBeforeRun | Fault::CloseAfterRun => &[1000, 3002],
        Fault::CutBody => &[1000, 3004],
        Fault::NoResponse => &[1000, 3001],
        Fault::InvalidHttp => &[1000, 3006],
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_write_runs_at_most_once_whatever_fails() {
    for fault in FAULTS {
        let (bad, good) = (upstream(Some(fault)).await, upstream(None).await);
        let daemon = daemon(&[&bad, &good], 300, json!({}));
        let mut told = Vec::new();
        for i in 0..12 {
            let id = format!("{fault:?}-{i}");
            let res = call(&daemon, "POST", "/book", &id).await;
            let (runs, code) = (bad.runs_of(&id) + good.runs_of(&id), code(&res));
            assert!(runs <= 1, "{id} ran {runs} times: {res:?}");
            assert!(expected(fault).contains(&code), "{id}: {res:?}");
            match header(&res, "x-cornelferry-outcome") {
                "not-run" => assert_eq!(runs, 0, "{id}: {res:?}"),
                "answered" => assert_eq!(res.body(), format!("{id}\n").as_bytes()),
                outcome => assert_eq!(outcome, "unknown"),
            }
            let final_at_once = code == 1000 || res.headers().contains_key("retry-after");
            assert!(final_at_once, "{id}: {res:?}");
            told.push(code);
        }
        assert!(told.contains(&1000), "{fault:?}: {told:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_write_is_told_what_its_only_upstream_did() {
    for fault in FAULTS {
        let bad = upstream(Some(fault)).await;
        let daemon = daemon(&[&bad], 300, json!({}));
        let res = call(&daemon, "POST", "/book", "w").await;
        let (told, runs) = (code(&res), bad.runs_of("w"));
        let ran = !matches!(fault, Fault::Refuse | Fault::ResetOnAccept | Fault::CloseBeforeRun);
        assert_eq!(runs, usize::from(ran), "{fault:?}: {res:?}");
        // A reset may come before or after the first byte is written.
        let before_any_byte = fault == Fault::ResetOnAccept && told == 2010;
        assert!(told == expected(fault)[1] || before_any_byte, "{fault:?}: {res:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_write_runs_at_most_once_between_two_faults() {
    for (i, one) in FAULTS.into_iter().enumerate() {
        for other in [FAULTS[(i + 1) % FAULTS.len()], FAULTS[(i + 3) % FAULTS.len()]] {
            let (a, b) = (upstream(Some(one)).await, upstream(Some(other)).await);
            let daemon = daemon(&[&a, &b], 150, json!({}));
            for n in 0..4 {
                let id = format!("{one:?}-{other:?}-{n}");
                let res = call(&daemon, "POST", "/book", &id).await;
                let runs = a.runs_of(&id) + b.runs_of(&id);
                assert!(runs <= 1, "{id} ran {runs} times: {res:?}");
                let told = header(&res, "x-cornelferry-outcome");
                assert!(told == "unknown" || (told == "not-run" && runs == 0), "{id}: {res:?}");
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_read_is_hedged_and_the_loser_cancelled() {
    let (slow, quick) = (upstream(None).await, upstream(None).await);
    slow.behaviour.lock().service_time = Duration::from_secs(30);
    let daemon = daemon(&[&slow, &quick], 2_000, json!({}));
    for i in 0..6 {
        let res = call(&daemon, "GET", "/tides", &format!("h{i}")).await;
        assert_eq!(code(&res), 1000, "{res:?}");
    }
    let late = slow.runs.lock().len() as u32;
    wait_until("losers are cancelled", || slow.cancelled.load(Ordering::SeqCst) == late);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_read_is_answered_while_one_upstream_is_well() {
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
async fn a_quick_error_is_unknown_to_a_writer_and_passed_on_at_last_to_a_reader() {
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
async fn a_refused_connection_sends_a_write_elsewhere() {
    let (gone, good) = (upstream(None).await, upstream(None).await);
    let closed = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = closed.local_addr().unwrap();
    drop((closed, gone));
    let treatment = json!({"otherwise": {"deadline_ms": 500}});
    let daemon =
        Daemon::start(&[address, good.address], json!({"retry_share": 1.0}), treatment, json!({}));
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
async fn dead_connections_cost_no_request() {
    let upstream = upstream(None).await;
    let daemon = daemon(&[&upstream], 600, json!({}));
    for round in 0..3 {
        let calls = (0..4).map(|i| {
            let (daemon, id) = (&daemon, format!("warm-{round}-{i}"));
            async move { call(daemon, "GET", "/tides", &id).await }
        });
        futures_util::future::join_all(calls).await;
        // Longer than the proof age: a write takes none of the connections that are now dead.
        tokio::time::sleep(Duration::from_millis(300)).await;
        upstream.silence_connections();
        let id = format!("write-{round}");
        let res = call(&daemon, "POST", "/book", &id).await;
        assert_eq!((code(&res), upstream.runs_of(&id)), (1000, 1), "{res:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_read_on_a_dead_connection_is_sent_again() {
    let (one, other) = (upstream(None).await, upstream(None).await);
    let daemon = daemon(&[&one, &other], 1_000, json!({}));
    let read = |i: usize| call(&daemon, "GET", "/tides", ["a", "b", "c", "d", "e", "f"][i]);
    futures_util::future::join_all((0..6).map(read)).await;
    one.silence_connections();
    let answers = futures_util::future::join_all((0..6).map(read)).await;
    assert!(answers.iter().all(|res| code(res) == 1000), "{answers:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_deadline_is_passed_on_and_cancels() {
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
    for (value, wanted) in [("0", 2007), ("soon", 2016), ("-1", 2016)] {
        let mut req = request("POST", "/book", "never", "");
        req.headers_mut().insert("x-cornelferry-deadline-ms", value.parse().unwrap());
        assert_eq!(code(&caller.send(req).await.unwrap()), wanted);
    }
    assert_eq!(slow.runs_of("never"), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_leaves_cancels_its_request() {
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
async fn a_streamed_answer_that_is_cut_never_ends_like_a_whole_one() {
    let cutting = upstream(Some(Fault::CutBody)).await;
    let daemon = daemon(&[&cutting], 2_000, json!({"answer_buffer_bytes": 16}));
    let mut caller = Caller::connect(daemon.caller).await.unwrap();
    let answer = caller.send(request("GET", "/tides", "cut", "")).await;
    assert!(answer.is_err(), "{answer:?}");
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
        let answer = send_raw(daemon.caller, bytes.as_bytes()).expect("an answer");
        assert_eq!(status_of(&answer), Some(*status), "{:.80}: {answer}", bytes);
        let answers = answer.matches("HTTP/1.1 ").count();
        let refused = answer.matches(&format!("HTTP/1.1 {status} ")).count();
        assert_eq!(answers, refused, "{bytes:.80}: {answer}");
    }
    let together =
        b"POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\nab";
    let answer = send_raw(daemon.caller, together).expect("an answer");
    assert!(answer.contains("x-cornelferry-code: 2017"), "{answer}");
    let cut = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab";
    let stream = std::net::TcpStream::connect(daemon.caller).unwrap();
    (&stream).write_all(cut).unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let answer = std::io::read_to_string(&stream).unwrap();
    assert!(answer.contains("x-cornelferry-code: 2017"), "{answer}");
    assert_eq!(upstream.runs.lock().len(), 0, "{:?}", upstream.runs);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_answer_is_the_callers_own() {
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
                let res = caller.send(req).await.expect("answer");
                assert_eq!(header(&res, "x-request-id"), id);
                if code(&res) == 1000 {
                    assert_eq!(res.body(), format!("{id}\n").as_bytes());
                }
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.expect("own answers");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pipelined_requests_are_answered_in_order() {
    let upstream = upstream(None).await;
    let daemon = daemon(&[&upstream], 5_000, json!({}));
    let ask = |id: &str, more: &str| {
        format!("GET / HTTP/1.1\r\nhost: a\r\nx-request-id: {id}\r\n{more}\r\n")
    };
    let bytes = ask("p1", "") + &ask("p2", "") + &ask("p3", "connection: close\r\n");
    let answer = send_raw(daemon.caller, bytes.as_bytes()).unwrap();
    let bodies: Vec<&str> = answer.lines().filter(|l| l.len() == 2).collect();
    assert_eq!(bodies, ["p1", "p2", "p3"], "{answer}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn own_and_hop_by_hop_headers_stay_on_their_side() {
    let upstream = upstream(None).await;
    let daemon = daemon(&[&upstream], 5_000, json!({}));
    let mut caller = Caller::connect(daemon.caller).await.unwrap();
    let head = caller.send(request("HEAD", "/x", "h", "")).await.unwrap();
    assert_eq!((code(&head), head.body().len()), (1000, 0));
    let mut req = request("POST", "/x", "not visible", "body");
    req.headers_mut().insert("x-cornelferry-attempt", 9.into());
    let res = caller.send(req).await.unwrap();
    assert_eq!(res.body(), "body");
    assert_eq!(header(&res, "x-request-id").len(), 16);
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
