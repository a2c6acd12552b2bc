//! Fleets of daemons with a stand-in for the platform: outages, pauses and lost hosts.

mod harness;
#[path = "../examples/standin/mod.rs"]
mod standin;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use serde_json::{Value, json};

use harness::{Daemon, free_address, send_raw, wait_until};
use standin::platform::Platform;

const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Starts a host of a fleet and waits until it is ready.
fn host(i: usize, peers: &[SocketAddr], platform: &Platform) -> Daemon {
    let peer =
        |j: usize| json!({ "host": format!("e{j}"), "data_centre": "a", "address": peers[j] });
    let others: Vec<Value> = (0..peers.len()).filter(|j| *j != i).map(peer).collect();
    Daemon::run(&json!({
        "host": format!("e{i}"),
        "data_centre": "a",
        "peer": peers[i],
        "peers": others,
        "platform": { "key_value": [platform.address], "calls_per_second": 50.0 },
    }))
}

fn put(platform: &Platform, version: u64) {
    let body = json!({ "profile": { "name": "p" } });
    let record = json!({
        "name": "p", "version": version, "change": "c", "author": "test", "body": body,
    });
    platform.with_store(|s| s.put("/cornelferry/profile/p", &record.to_string()));
}

fn version(daemon: &Daemon) -> Option<u64> {
    let req = b"GET /status HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let res = send_raw(daemon.admin, req).ok()?;
    let status: Value = serde_json::from_str(&res[res.find('{')?..=res.rfind('}')?]).ok()?;
    status["records"].as_array()?.iter().find(|r| r["name"] == "p")?["version"].as_u64()
}

async fn start(size: usize) -> (Arc<Platform>, Vec<SocketAddr>) {
    let platform = Platform::start(LOOPBACK).await;
    put(&platform, 1);
    (platform, (0..size).map(|_| free_address()).collect())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_host_fetches_records_from_peers_before_it_is_ready_in_an_outage() {
    let (platform, peers) = start(4).await;
    let hosts: Vec<Daemon> = (0..3).map(|i| host(i, &peers, &platform)).collect();
    put(&platform, 2);
    wait_until("version 2 is in force", || hosts.iter().all(|h| version(h) == Some(2)));
    platform.with_faults(|f| f.down = true);
    let new_host = host(3, &peers, &platform);
    assert_eq!(version(&new_host), Some(2));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_that_was_paused_catches_up_with_the_newest_version() {
    let (platform, peers) = start(2).await;
    let hosts: Vec<Daemon> = (0..2).map(|i| host(i, &peers, &platform)).collect();
    hosts[1].signal("STOP");
    put(&platform, 2);
    wait_until("version 2 is in force", || version(&hosts[0]) == Some(2));
    put(&platform, 3);
    wait_until("version 3 is in force", || version(&hosts[0]) == Some(3));
    hosts[1].signal("CONT");
    wait_until("the paused host catches up", || version(&hosts[1]) == Some(3));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_come_into_force_even_if_the_watching_hosts_die() {
    let (platform, peers) = start(4).await;
    let mut hosts: Vec<Daemon> = (0..4).map(|i| host(i, &peers, &platform)).collect();
    for newest in 2..=4 {
        wait_until("two hosts watch", || platform.open_watches() == 2);
        drop(hosts.remove(0));
        put(&platform, newest);
        wait_until("the change is in force", || hosts.iter().all(|h| version(h) == Some(newest)));
    }
}
