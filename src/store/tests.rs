//! Tests of the client of the platform's services against the stand-in, over real sockets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::task::LocalSet;

use super::call::{CallError, Compare, Op, Txn};
use crate::decide::catalog::RecordKind;
use crate::decide::upstream::State;
use crate::event::EventCode;
use crate::node::{Node, Phase};
use crate::settings::Settings;
use crate::standin::platform::Platform;

/// Maximum wait for a condition, so that a failing test doesn't hang.
const TIMEOUT: Duration = Duration::from_secs(20);

async fn start() -> Arc<Platform> {
    Platform::start(SocketAddr::from(([127, 0, 0, 1], 0))).await
}

fn node(platform: &Platform) -> Arc<Node> {
    let address = platform.address.to_string();
    let settings = json!({
        "host": "entry-1",
        "data_centre": "palermo",
        "caller": "127.0.0.1:0",
        "admin": "127.0.0.1:0",
        "platform": {
            "key_value": [address], "host_list": address, "calls_per_second": 1000.0,
        },
    });
    Node::new(Settings::parse(&settings.to_string()).expect("settings"))
}

fn profile(name: &str, version: u64) -> String {
    let body = json!({ "profile": { "name": name, "otherwise": { "deadline_ms": version } } });
    record(name, version, &body)
}

fn record(name: &str, version: u64, body: &Value) -> String {
    let change = format!("change-{version}");
    let record = json!({
        "name": name, "version": version, "change": change, "author": "test", "body": body,
    });
    record.to_string()
}

fn put(platform: &Platform, name: &str, version: u64) {
    platform
        .with_store(|s| s.put(&format!("/cornelferry/profile/{name}"), &profile(name, version)));
}

/// Returns the version of a profile in force, or 0.
fn version_in_force(node: &Node, name: &str) -> u64 {
    node.catalog.lock().get(RecordKind::Profile, name).map_or(0, |r| r.version)
}

/// Returns how many events of a kind the node has recorded.
fn event_count(node: &Node, code: EventCode) -> usize {
    node.events.read(|e| e.code == code.number()).0.len()
}

/// Waits until `condition` returns true.
///
/// # Panics
///
/// Panics with `what` after [`TIMEOUT`].
async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting: {what}"));
}

/// Runs a test with a stand-in platform and the node of a host that uses it.
fn with_platform<F: Future<Output = ()>>(test: impl FnOnce(Arc<Platform>, Arc<Node>) -> F) {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
    LocalSet::new().block_on(&rt, async {
        let platform = start().await;
        let node = node(&platform);
        test(platform, node).await;
    });
}

fn follow(node: &Arc<Node>) -> tokio::task::JoinHandle<()> {
    tokio::task::spawn_local(super::run(node.clone()))
}

#[test]
fn a_host_becomes_ready_after_loading_and_then_follows_the_watch() {
    with_platform(|platform, node| async move {
        // Three pages, as a range call returns at most 200 entries.
        for i in 0..450 {
            put(&platform, &format!("p{i:03}"), 1);
        }
        follow(&node);
        wait_until("ready", || node.phase() == Phase::Ready).await;
        assert_eq!(node.catalog.lock().records().len(), 450);
        put(&platform, "p000", 2);
        wait_until("the change is in force", || version_in_force(&node, "p000") == 2).await;
        assert_eq!(event_count(&node, EventCode::WatchLost), 0);
        let metrics = node.metrics.text();
        assert!(
            metrics.contains(r#"cornelferry_platform_calls_total{kind="range"} 3"#),
            "{metrics}"
        );
        assert!(
            metrics.contains(r#"cornelferry_platform_calls_total{kind="watch"} 1"#),
            "{metrics}"
        );
    });
}

#[test]
fn a_host_that_starts_in_an_outage_becomes_ready_only_when_the_service_responds() {
    with_platform(|platform, node| async move {
        put(&platform, "p", 3);
        platform.with_faults(|f| f.down = true);
        follow(&node);
        wait_until("outage detected", || event_count(&node, EventCode::PlatformDown) == 1).await;
        assert_eq!(node.phase(), Phase::Starting);
        platform.with_faults(|f| f.down = false);
        wait_until("ready", || node.phase() == Phase::Ready).await;
        assert_eq!(version_in_force(&node, "p"), 3);
        assert_eq!(event_count(&node, EventCode::PlatformDown), 1);
        assert_eq!(event_count(&node, EventCode::PlatformUp), 1);
    });
}

#[test]
fn changes_made_while_no_watch_is_open_come_into_force() {
    with_platform(|platform, node| async move {
        put(&platform, "p", 1);
        follow(&node);
        wait_until("watching", || platform.calls().watch == 1).await;
        platform.with_faults(|f| f.down = true);
        wait_until("watch lost", || event_count(&node, EventCode::WatchLost) == 1).await;
        put(&platform, "p", 2);
        platform.with_store(|s| s.compact());
        platform.with_faults(|f| f.down = false);
        wait_until("the change is in force", || version_in_force(&node, "p") == 2).await;
    });
}

#[test]
fn a_silent_watch_is_replaced() {
    with_platform(|platform, node| async move {
        follow(&node);
        wait_until("watching", || platform.calls().watch == 1).await;
        platform.with_faults(|f| f.silent_watches = true);
        put(&platform, "p", 1);
        wait_until("the change is in force", || version_in_force(&node, "p") == 1).await;
        wait_until("watch replaced", || platform.calls().watch == 2).await;
        assert_eq!(event_count(&node, EventCode::WatchLost), 1);
    });
}

#[test]
fn a_service_restored_from_a_backup_is_repaired_and_does_not_roll_hosts_back() {
    with_platform(|platform, node| async move {
        put(&platform, "p", 1);
        let backup = platform.with_store(|s| s.clone());
        put(&platform, "p", 2);
        follow(&node);
        wait_until("the newest version is in force", || version_in_force(&node, "p") == 2).await;
        platform.with_store(|s| s.restore(backup));
        wait_until("written back", || {
            let value =
                platform.with_store(|s| s.value("/cornelferry/profile/p")).unwrap_or_default();
            value == profile_value("p", 2)
        })
        .await;
        assert_eq!(version_in_force(&node, "p"), 2);
        put(&platform, "p", 3);
        wait_until("changes are applied again", || version_in_force(&node, "p") == 3).await;
    });
}

#[test]
fn all_lost_records_are_written_back_when_they_exceed_one_batch() {
    with_platform(|platform, node| async move {
        let backup = platform.with_store(|s| s.clone());
        // A host writes back at most 10 records per full read.
        (0..25).for_each(|i| put(&platform, &format!("p{i}"), 1));
        follow(&node);
        wait_until("in force", || node.catalog.lock().records().len() == 25).await;
        platform.with_store(|s| s.restore(backup));
        let stored = || platform.with_store(|s| s.keys("/cornelferry/profile/").len());
        wait_until("all are written back", || stored() == 25).await;
    });
}

/// Returns a profile record as a host serializes it, with every field.
fn profile_value(name: &str, version: u64) -> String {
    let record: crate::decide::catalog::Record =
        serde_json::from_str(&profile(name, version)).expect("record");
    serde_json::to_string(&record).expect("record")
}

#[test]
fn an_unreadable_newer_record_leaves_the_old_one_in_force() {
    with_platform(|platform, node| async move {
        put(&platform, "p", 1);
        follow(&node);
        wait_until("in force", || version_in_force(&node, "p") == 1).await;
        let newer = json!({ "profile": { "name": "p", "shadow_traffic": true } });
        let key = "/cornelferry/profile/p";
        platform.with_store(|s| s.put(key, &record("p", 2, &newer)));
        wait_until("recorded", || event_count(&node, EventCode::RecordUnreadable) == 1).await;
        assert_eq!(version_in_force(&node, "p"), 1);
        let unreadable = node.catalog.lock().unreadable()[0].clone();
        assert_eq!((&*unreadable.name, unreadable.version), ("p", Some(2)));
        put(&platform, "p", 3);
        wait_until("the readable version is in force", || version_in_force(&node, "p") == 3).await;
        assert!(node.catalog.lock().unreadable().is_empty());
    });
}

/// A host whose process was paused requests a resync, as it may have missed changes.
#[test]
fn a_resync_request_after_a_pause_triggers_a_full_read() {
    with_platform(|platform, node| async move {
        follow(&node);
        wait_until("watching", || platform.calls().watch == 1).await;
        platform.with_faults(|f| f.silent_watches = true);
        put(&platform, "p", 1);
        node.resync_needed.notify_one();
        wait_until("in force", || version_in_force(&node, "p") == 1).await;
        assert_eq!(event_count(&node, EventCode::WatchLost), 0);
    });
}

#[test]
fn the_host_list_adds_upstreams_and_a_stale_list_is_ignored() {
    with_platform(|platform, node| async move {
        let service = json!({ "service": { "name": "s", "profile": "p" } });
        platform.with_store(|s| s.put("/cornelferry/service/s", &record("s", 1, &service)));
        let list = |version: u64, state: &str| {
            json!({ "version": version, "hosts": [{
                "name": "u1", "address": "127.0.0.1:1", "data_centre": "palermo",
                "role": "upstream", "service": "s", "state": state,
            }]})
        };
        let state = || {
            let mut tables = node.tables.lock();
            let rows = tables.service("s").map(|t| t.rows().to_vec()).unwrap_or_default();
            rows.first().map(|r| r.state)
        };
        platform.set_hosts(list(5, "live"));
        follow(&node);
        wait_until("joined", || state() == Some(State::Live)).await;
        platform.set_hosts(list(6, "leaving"));
        wait_until("leaving", || state() == Some(State::Leaving)).await;
        let read = platform.calls().hosts;
        platform.set_hosts(list(5, "live"));
        wait_until("stale list read", || platform.calls().hosts >= read + 2).await;
        platform.with_store(|s| s.put("/cornelferry/service/s", &record("s", 2, &service)));
        let version = || node.catalog.lock().get(RecordKind::Service, "s").map(|r| r.version);
        wait_until("record replaced", || version() == Some(2)).await;
        assert_eq!(state(), Some(State::Leaving));
    });
}

#[test]
fn a_write_whose_response_is_lost_has_an_unknown_outcome() {
    with_platform(|platform, node| async move {
        let client = node.kv_client.clone().expect("key-value client");
        let txn = Txn {
            compare: vec![Compare::Revision("k".to_owned(), 0)],
            ops: vec![Op::Put("k".to_owned(), b"v".to_vec(), None)],
        };
        platform.with_faults(|f| f.lose_responses = 1);
        let lost = (client.kv.txn)(txn.clone()).await;
        assert!(matches!(lost, Err(CallError::OutcomeUnknown(_))), "{lost:?}");
        assert_eq!(client.get("k".to_owned()).await.expect("read").expect("there").value, b"v");
        assert!(!(client.kv.txn)(txn).await.expect("response").succeeded);
    });
}

#[test]
fn peers_in_the_settings_remain_members_beside_the_host_list() {
    let peer = |host: &str, port: u16| json!({ "host": host, "data_centre": "a", "address": format!("127.0.0.1:{port}") });
    let settings = json!({
        "host": "entry-1", "data_centre": "a", "caller": "127.0.0.1:0", "admin": "127.0.0.1:0",
        "peers": [peer("entry-2", 2), peer("entry-3", 3)],
    });
    let node = Node::new(Settings::parse(&settings.to_string()).expect("settings"));
    let listed = json!({ "version": 1, "hosts": [{
        "name": "entry-3", "role": "entry", "address": "127.0.0.1:1", "data_centre": "a",
        "peer": "127.0.0.1:33",
    }]});
    assert!(node.apply_hosts(serde_json::from_value(listed).expect("list")));
    let members = node.members.lock();
    let known: Vec<_> = members.members().iter().map(|m| (&*m.host, m.address.port())).collect();
    assert_eq!(known, [("entry-2", 2), ("entry-3", 33)]);
}
