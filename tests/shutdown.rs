//! A daemon that is told to stop under load cuts no request off.

mod harness;
#[path = "../examples/standin/mod.rs"]
mod standin;

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use serde_json::json;

use harness::{Caller, Daemon, request, wait_until};
use standin::upstream::{Behaviour, Upstream};

const CALLERS: usize = 24;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sigterm_under_load_cuts_no_request() {
    for workers in [1, 3] {
        stop_under_load(workers).await;
    }
}

async fn stop_under_load(workers: usize) {
    let service_time = Duration::from_millis(20);
    let behaviour = Behaviour { service_time, ..Behaviour::default() };
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let upstream = Upstream::start(any, 64, behaviour).await;
    let limits = json!({"workers": workers});
    let daemon = Daemon::start(&[upstream.address], json!({"slots": 64}), json!({}), limits);
    let answered = Arc::new(AtomicU32::new(0));
    let callers: Vec<_> =
        (0..CALLERS).map(|i| tokio::spawn(calls(daemon.caller, i, answered.clone()))).collect();
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
        caller.await.expect("no request cut off");
    }
    assert_eq!(upstream.runs.lock().len() as u32, answered.load(Ordering::Relaxed));
}

/// A request that takes longer than the grace time, one whose head is still coming, one on a new
/// connection, and a connection that is idle: the first three are answered, the last is closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sigterm_waits_for_slow_requests_and_ends_idle_connections() {
    let service_time = Duration::from_millis(1_500);
    let behaviour = Behaviour { service_time, ..Behaviour::default() };
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let upstream = Upstream::start(any, 64, behaviour).await;
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
        let answer = std::io::read_to_string(stream).expect("an answer");
        assert!(answer.contains("connection: close") && answer.ends_with(&format!("{name}\n")));
    }
    assert_eq!(idle.read(&mut [0; 1]).expect("end"), 0);
    drop((slow, partial, fresh, idle));
    assert!(daemon.wait().success());
}

/// Calls until no connection can be had. Connections are used until the daemon closes them.
async fn calls(address: SocketAddr, number: usize, answered: Arc<AtomicU32>) {
    for connection in 0.. {
        let Ok(mut caller) = Caller::connect(address).await else { return };
        for i in 0.. {
            let id = format!("{number}-{connection}-{i}");
            let res = caller.send(request("POST", "/book", &id, "")).await.expect("whole answer");
            assert_eq!(res.status(), 200, "{res:?}");
            assert_eq!(res.body(), format!("{id}\n").as_bytes());
            answered.fetch_add(1, Ordering::Relaxed);
            if res.headers().get("connection").is_some_and(|v| v == "close") {
                break;
            }
        }
    }
}
