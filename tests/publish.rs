//! End-to-end tests of the commands on records, with the built programs.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::Arc;

use serde_json::{Value, json};

mod harness;
#[path = "../examples/standin/mod.rs"]
mod standin;

use harness::Daemon;
use standin::platform::Platform;

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Daemons that use a stand-in platform, and a directory for documents.
struct Fleet {
    platform: Arc<Platform>,
    hosts: Vec<Daemon>,
    dir: PathBuf,
}

impl Fleet {
    async fn start(test: &str, size: usize) -> Fleet {
        let platform = Platform::start(LOOPBACK).await;
        let dir = std::env::temp_dir().join(format!("cornelferry-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("directory");
        let settings = |i: usize| {
            json!({
                "host": format!("entry-{i}"),
                "data_centre": "palermo",
                "platform": { "key_value": [platform.address], "calls_per_second": 50.0 },
            })
        };
        let hosts: Vec<Daemon> = (0..size).map(|i| Daemon::run(&settings(i))).collect();
        let entries: Vec<Value> =
            hosts.iter().enumerate().map(|(i, h)| entry(i, h.admin)).collect();
        platform.set_hosts(json!({ "version": 2, "hosts": entries }));
        Fleet { platform, hosts, dir }
    }

    /// Writes a document to a file.
    fn file(&self, name: &str, value: &Value) -> PathBuf {
        let path = self.dir.join(name);
        std::fs::write(&path, value.to_string()).expect("written");
        path
    }

    /// Runs the tool against the stand-in platform.
    async fn run(&self, args: &[&str]) -> Output {
        let address = self.platform.address.to_string();
        let mut tool = Command::new(env!("CARGO_BIN_EXE_cornelferry"));
        tool.args(args).args(["--platform", &address, "--host-list", &address]);
        tokio::task::spawn_blocking(move || tool.output().expect("tool"))
            .await
            .expect("the tool ran")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Returns an address on which nothing listens.
fn unused_address() -> SocketAddr {
    SocketAddr::new(LOOPBACK.ip(), 1)
}

/// Returns the host list's entry of an entry host.
fn entry(i: usize, admin: SocketAddr) -> Value {
    json!({
        "name": format!("entry-{i}"), "address": "127.0.0.1:1", "data_centre": "palermo",
        "role": "entry", "admin": admin,
    })
}

fn profile(deadline_ms: u64) -> Value {
    json!({ "name": "bookings", "otherwise": { "deadline_ms": deadline_ms } })
}

fn text(out: &[u8]) -> String {
    String::from_utf8_lossy(out).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_published_profile_is_in_force_on_every_live_host() {
    let fleet = Fleet::start("in-force", 3).await;
    let file = fleet.file("p.json", &profile(100));
    let file = file.to_str().expect("path");
    let publish = ["profile", "publish", file, "--wait", "--timeout", "30s", "--author", "anna"];
    let out = fleet.run(&publish).await;
    assert!(out.status.success(), "{}", text(&out.stderr));
    assert!(text(&out.stderr).contains("in force on all 3 live hosts"), "{}", text(&out.stderr));
    let out = fleet.run(&["profile", "get", "bookings", "--json"]).await;
    let record: Value = serde_json::from_slice(&out.stdout).expect("json");
    assert_eq!((&record["version"], &record["author"]), (&json!(1), &json!("anna")));
    let out = fleet.run(&["profile", "list"]).await;
    assert!(text(&out.stdout).contains("bookings"), "{}", text(&out.stdout));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unresponsive_host_is_named_and_the_change_is_not_reported_in_force() {
    let fleet = Fleet::start("silent", 1).await;
    let hosts = json!([entry(0, fleet.hosts[0].admin), entry(9, unused_address())]);
    fleet.platform.set_hosts(json!({ "version": 3, "hosts": hosts }));
    let file = fleet.file("p.json", &profile(100));
    let file = file.to_str().expect("path");
    let out = fleet.run(&["profile", "publish", file, "--wait", "--timeout", "1s"]).await;
    assert_eq!(out.status.code(), Some(4), "{}", text(&out.stderr));
    assert!(text(&out.stderr).contains("no answer from entry-9"), "{}", text(&out.stderr));
    assert!(fleet.platform.with_store(|s| s.value("/cornelferry/profile/bookings")).is_some());
}

#[tokio::test(flavor = "multi_thread")]
async fn conflicts_faults_and_outages_have_distinct_exit_codes() {
    let fleet = Fleet::start("exit", 0).await;
    let file = fleet.file("p.json", &profile(100));
    let file = file.to_str().expect("path");
    assert!(fleet.run(&["profile", "publish", file]).await.status.success());
    let other = fleet.file("other.json", &profile(200));
    let out = fleet.run(&["profile", "publish", other.to_str().expect("path")]).await;
    assert_eq!(out.status.code(), Some(3), "{}", text(&out.stderr));
    assert!(text(&out.stderr).contains("+    \"deadline_ms\": 200"), "{}", text(&out.stderr));
    let faulty = fleet.file("faulty.json", &profile(0));
    let out = fleet.run(&["profile", "publish", faulty.to_str().expect("path")]).await;
    assert_eq!(out.status.code(), Some(2), "{}", text(&out.stderr));
    assert!(text(&out.stderr).contains("/otherwise/deadline_ms"), "{}", text(&out.stderr));
    fleet.platform.with_faults(|f| f.down = true);
    let out = fleet.run(&["profile", "get", "bookings"]).await;
    assert_eq!(out.status.code(), Some(5), "{}", text(&out.stderr));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_deleted_record_stays_deleted_and_keeps_its_history() {
    let fleet = Fleet::start("delete", 0).await;
    let file = fleet.file("p.json", &profile(100));
    let file = file.to_str().expect("path");
    assert!(fleet.run(&["profile", "publish", file]).await.status.success());
    let out = fleet.run(&["profile", "delete", "bookings", "--expect", "1"]).await;
    assert!(out.status.success(), "{}", text(&out.stderr));
    let out = fleet.run(&["profile", "get", "bookings"]).await;
    assert_eq!(out.status.code(), Some(1), "{}", text(&out.stderr));
    let out = fleet.run(&["profile", "history", "bookings", "--json"]).await;
    let versions: Value = serde_json::from_slice(&out.stdout).expect("json");
    let states = (&versions[0]["state"], &versions[1]["state"]);
    assert_eq!(states, (&json!("deleted"), &json!("stored")));
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_addresses_are_tried_in_turn() {
    let fleet = Fleet::start("turn", 0).await;
    fleet.platform.with_store(|s| s.put("/cornelferry/profile/p", "not a record"));
    let unused = unused_address().to_string();
    let out = fleet.run(&["profile", "list", "--json", "--platform", &unused]).await;
    let lines: Value = serde_json::from_slice(&out.stdout).expect("json");
    assert_eq!(lines[0]["state"], "unreadable");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_comes_into_force_even_if_the_service_fails_right_after_storing_it() {
    let fleet = Fleet::start("down", 2).await;
    let file = fleet.file("p.json", &profile(100));
    fleet.platform.with_faults(|f| f.down_after_write = true);
    let file = file.to_str().expect("path");
    let out = fleet.run(&["profile", "publish", file, "--wait", "--timeout", "30s"]).await;
    assert!(out.status.success(), "{}", text(&out.stderr));
    assert!(text(&out.stderr).contains("in force on all 2 live hosts"), "{}", text(&out.stderr));
}
