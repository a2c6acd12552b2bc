//! Copies of a request with one idempotency key, sent to two hosts.

mod harness;
#[path = "../examples/standin/mod.rs"]
mod standin;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderValue, Response};
use serde_json::{Value, json};

use harness::{Caller, Daemon, code, request};
use standin::platform::Platform;
use standin::upstream::{Behaviour, Upstream};

const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

async fn platform() -> Arc<Platform> {
    Platform::start(LOOPBACK).await
}

/// Starts a host with a service that claims keys.
fn host(name: &str, platform: &Platform, upstreams: &Value) -> Daemon {
    Daemon::run(&json!({
        "host": name,
        "data_centre": "a",
        "platform": { "key_value": [platform.address], "claims_per_second": 1000.0 },
        "services": [{
            "name": "s", "profile": "p", "upstreams": upstreams, "keyed_claims": true,
            "measure": { "probes_per_second": 0.0 },
        }],
        "profiles": [{ "name": "p" }],
    }))
}

async fn book(daemon: &Daemon, key: &'static str) -> Response<Bytes> {
    let mut req = request("POST", "/", "r", "a slot");
    req.headers_mut().insert("idempotency-key", HeaderValue::from_static(key));
    let mut caller = Caller::connect(daemon.caller).await.expect("connection");
    caller.send(req).await.expect("answer")
}

fn outcome(res: &Response<Bytes>) -> &[u8] {
    res.headers()["x-cornelferry-outcome"].as_bytes()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_the_copies_at_two_hosts_one_runs() {
    let (platform, upstream) =
        (platform().await, Upstream::start(LOOPBACK, 6, Behaviour::default()).await);
    let named = json!([{ "name": "u", "address": upstream.address, "data_centre": "a" }]);
    let (a, b) = (host("a", &platform, &named), host("b", &platform, &named));
    for (i, key) in ["k0", "k1", "k2", "k3"].into_iter().enumerate() {
        let (first, second) = tokio::join!(book(&a, key), book(&b, key));
        let mut codes = [code(&first), code(&second)];
        codes.sort_unstable();
        assert_eq!(codes, [1000, 3007]);
        assert_eq!(upstream.runs_of("r"), i + 1);
        let again = book(&a, key).await;
        assert_eq!((code(&again), outcome(&again)), (3007, &b"unknown"[..]));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_that_cannot_be_claimed_is_not_run_and_may_come_back() {
    let (platform, upstream) =
        (platform().await, Upstream::start(LOOPBACK, 6, Behaviour::default()).await);
    let named = json!([{ "name": "u", "address": upstream.address, "data_centre": "a" }]);
    let a = host("a", &platform, &named);
    platform.with_faults(|f| f.down = true);
    let refused = book(&a, "k").await;
    assert_eq!((code(&refused), outcome(&refused)), (2015, &b"not-run"[..]));
    assert!(refused.headers().contains_key("retry-after"));
    assert_eq!(upstream.runs_of("r"), 0);
    platform.with_faults(|f| f.down = false);
    assert_eq!(code(&book(&a, "k").await), 1000);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_was_not_run_releases_its_key() {
    let platform = platform().await;
    let a = host("a", &platform, &json!([]));
    assert_eq!(code(&book(&a, "k").await), 2008);
    let released = || platform.with_store(|s| s.keys("/cornelferry/claim/").is_empty());
    harness::wait_until("the claim is released", released);
    assert_eq!(code(&book(&a, "k").await), 2008);
}
