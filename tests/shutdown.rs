//! A daemon that is told to stop under load cuts no request off.

mod harness;
#[path = "../examples/standin/mod.rs"]
mod standin;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use serde_json::json;

use harness::{Caller, Daemon, request, until};
use standin::upstream::{Behaviour, Upstream};

const CALLERS: usize = 24;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sigterm_under_load_cuts_no_request() {
    let service_time = Duration::from_millis(20);
    let behaviour = Behaviour { service_time, ..Behaviour::default() };
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let upstream = Upstream::start(any, 64, behaviour).await;
    let daemon = Daemon::start(&[upstream.address], json!({}), json!({}), json!({}));
    let answered = Arc::new(AtomicU32::new(0));
    let callers: Vec<_> =
        (0..CALLERS).map(|i| tokio::spawn(calls(daemon.caller, i, answered.clone()))).collect();
    let count = answered.clone();
    tokio::task::spawn_blocking(move || {
        until("requests are answered", || count.load(Ordering::Relaxed) > 200);
        daemon.terminate();
        until("readiness fails", || daemon.readiness() == Some(503));
        assert!(daemon.wait().success());
    })
    .await
    .expect("shutdown");
    for caller in callers {
        caller.await.expect("no request cut off");
    }
    assert_eq!(upstream.runs.lock().len() as u32, answered.load(Ordering::Relaxed));
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
