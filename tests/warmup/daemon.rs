//! A daemon that reads in its upstreams' registrations how long they stay cold.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use http::Request;
use http_body_util::Full;
use serde_json::{Value, json};

use crate::harness::signing::{SigningUpstream, config, signed};
use crate::harness::{self, Caller, Daemon, event_count, wait_until};
use crate::standin::registry::Registry;

/// The numbers of the events for records in force and for cold and warm upstreams.
const IN_FORCE: u16 = 4001;
const COLD: u16 = 3101;
const WARM: u16 = 3102;

/// Returns a heartbeat of an upstream.
fn heartbeat(upstream: &SigningUpstream, sequence: u64, cold_seconds: f64) -> String {
    let text = upstream.heartbeat("ready", 1_000, sequence);
    let mut registration: Value = serde_json::from_str(&text).expect("registration");
    registration["coldRemainingS"] = cold_seconds.into();
    registration.to_string()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn heartbeats_of_a_cold_upstream_are_heard_and_are_no_new_records() {
    let upstream = SigningUpstream::start("u-1", signed);
    let registry = Registry::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await;
    let mut cfg: Value = serde_json::from_str(&config(3, "/book/")).expect("config");
    cfg["clusters"][0]["warmupPerS"] = 7.8.into();
    registry.put("op/config", &cfg.to_string());
    registry.put("servers/u-1", &heartbeat(&upstream, 1, 0.0));
    let daemon = Daemon::run(&json!({
        "host": "entry-1", "data_centre": "a", "peer": harness::FREE_ADDRESS,
        "registry": {
            "address": registry.address, "retry_share": 0.2, "retry_slack": 56.0,
            "probes_per_second": 60.0,
        },
    }));
    let records = event_count(&daemon, IN_FORCE);
    assert_eq!(event_count(&daemon, COLD), 0);
    registry.put("servers/u-1", &heartbeat(&upstream, 2, 500.0));
    wait_until("the upstream is known to be cold", || event_count(&daemon, COLD) == 1);
    registry.put("servers/u-1", &heartbeat(&upstream, 3, 499.0));
    // Its responses to probes say that it is warm, so that requests go there.
    let mut caller = Caller::connect(daemon.caller).await.expect("connect");
    let mut number = 0;
    while event_count(&daemon, WARM) == 0 {
        number += 1;
        let req = Request::builder().method("GET").uri("/book/read/7");
        let req = req.header("host", "port.example").header("x-deadline-ms", "700");
        let req = req.header("x-attempt-id", format!("r-{number}"));
        let req = req.body(Full::default()).expect("request");
        if caller.send(req).await.is_err() {
            caller = Caller::connect(daemon.caller).await.expect("connect");
        }
        assert!(number < 1_000, "it is still taken for cold");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(event_count(&daemon, IN_FORCE), records, "no new record");
}
