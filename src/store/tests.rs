//! Tests of the platform client against the stand-in, over real sockets.

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

/// Guards against a test that hangs.
const HANG: Duration = Duration::from_secs(20);

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

fn in_force(node: &Node, name: &str) -> u64 {
    node.catalog.lock().get(RecordKind::Profile, name).map_or(0, |r| r.version)
}

fn saw(node: &Node, code: EventCode) -> usize {
    node.events.read(|e| e.code == code.number()).0.len()
}

async fn until(what: &str, holds: impl Fn() -> bool) {
    let wait = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(HANG, wait).await.unwrap_or_else(|_| panic!("never came true: {what}"));
}

/// Runs a test with a host that follows the platform.
fn following<F: Future<Output = ()>>(test: impl FnOnce(Arc<Platform>, Arc<Node>) -> F) {
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
fn a_host_is_ready_once_it_has_loaded_and_then_follows_the_watch() {
    following(|platform, node| async move {
        for i in 0..450 {
            put(&platform, &format!("p{i:03}"), 1);
        }
        follow(&node);
        until("ready", || node.phase() == Phase::Ready).await;
        assert_eq!(node.catalog.lock().records().len(), 450);
        put(&platform, "p000", 2);
        until("the change is in force", || in_force(&node, "p000") == 2).await;
        assert_eq!(saw(&node, EventCode::WatchLost), 0);
        let counted = node.metrics.text();
        assert!(
            counted.contains(r#"cornelferry_platform_calls_total{kind="range"} 3"#),
            "{counted}"
        );
        assert!(
            counted.contains(r#"cornelferry_platform_calls_total{kind="watch"} 1"#),
            "{counted}"
        );
    });
}

#[test]
fn a_host_that_starts_in_an_outage_is_not_ready_before_the_service_answers() {
    following(|platform, node| async move {
        put(&platform, "p", 3);
        platform.with_faults(|f| f.down = true);
        follow(&node);
        until("outage seen", || saw(&node, EventCode::PlatformDown) == 1).await;
        assert_eq!(node.phase(), Phase::Starting);
        platform.with_faults(|f| f.down = false);
        until("ready", || node.phase() == Phase::Ready).await;
        assert_eq!(in_force(&node, "p"), 3);
        assert_eq!(saw(&node, EventCode::PlatformDown), 1);
        assert_eq!(saw(&node, EventCode::PlatformUp), 1);
    });
}

#[test]
fn changes_made_while_the_watch_was_lost_come_into_force() {
    following(|platform, node| async move {
        put(&platform, "p", 1);
        follow(&node);
        until("watching", || platform.calls().watch == 1).await;
        platform.with_faults(|f| f.down = true);
        until("watch lost", || saw(&node, EventCode::WatchLost) == 1).await;
        put(&platform, "p", 2);
        platform.with_store(|s| s.compact());
        platform.with_faults(|f| f.down = false);
        until("the change is in force", || in_force(&node, "p") == 2).await;
    });
}

#[test]
fn a_watch_that_has_gone_silent_is_replaced() {
    following(|platform, node| async move {
        follow(&node);
        until("watching", || platform.calls().watch == 1).await;
        platform.with_faults(|f| f.silent_watches = true);
        put(&platform, "p", 1);
        until("the change is in force", || in_force(&node, "p") == 1).await;
        until("watch replaced", || platform.calls().watch == 2).await;
        assert_eq!(saw(&node, EventCode::WatchLost), 1);
    });
}

#[test]
fn a_service_restored_from_an_older_copy_takes_nobody_back_and_is_mended() {
    following(|platform, node| async move {
        put(&platform, "p", 1);
        let older = platform.with_store(|s| s.clone());
        put(&platform, "p", 2);
        follow(&node);
        until("newest in force", || in_force(&node, "p") == 2).await;
        platform.with_store(|s| s.restore(older));
        until("put back", || {
            let value =
                platform.with_store(|s| s.value("/cornelferry/profile/p")).unwrap_or_default();
            value == profile_value("p", 2)
        })
        .await;
        assert_eq!(in_force(&node, "p"), 2);
        put(&platform, "p", 3);
        until("followed again", || in_force(&node, "p") == 3).await;
    });
}

#[test]
fn more_records_than_are_put_back_at_a_time_are_all_put_back() {
    following(|platform, node| async move {
        let older = platform.with_store(|s| s.clone());
        (0..25).for_each(|i| put(&platform, &format!("p{i}"), 1));
        follow(&node);
        until("in force", || node.catalog.lock().records().len() == 25).await;
        platform.with_store(|s| s.restore(older));
        let stored = || platform.with_store(|s| s.keys("/cornelferry/profile/").len());
        until("all are put back", || stored() == 25).await;
    });
}

/// Returns a profile record as a host writes it, with every field.
fn profile_value(name: &str, version: u64) -> String {
    let record: crate::decide::catalog::Record =
        serde_json::from_str(&profile(name, version)).expect("record");
    serde_json::to_string(&record).expect("record")
}

#[test]
fn a_newer_record_that_cannot_be_read_leaves_the_old_one_in_force() {
    following(|platform, node| async move {
        put(&platform, "p", 1);
        follow(&node);
        until("in force", || in_force(&node, "p") == 1).await;
        let newer = json!({ "profile": { "name": "p", "shadow_traffic": true } });
        let key = "/cornelferry/profile/p";
        platform.with_store(|s| s.put(key, &record("p", 2, &newer)));
        until("noted", || saw(&node, EventCode::RecordUnreadable) == 1).await;
        assert_eq!(in_force(&node, "p"), 1);
        let noted = node.catalog.lock().unreadable()[0].clone();
        assert_eq!((&*noted.name, noted.version), ("p", Some(2)));
        put(&platform, "p", 3);
        until("readable again", || in_force(&node, "p") == 3).await;
        assert!(node.catalog.lock().unreadable().is_empty());
    });
}

#[test]
fn a_pause_makes_the_host_load_everything_again() {
    following(|platform, node| async move {
        follow(&node);
        until("watching", || platform.calls().watch == 1).await;
        platform.with_faults(|f| f.silent_watches = true);
        put(&platform, "p", 1);
        node.resync_needed.notify_one();
        until("in force", || in_force(&node, "p") == 1).await;
        assert_eq!(saw(&node, EventCode::WatchLost), 0);
    });
}

#[test]
fn the_host_list_adds_upstreams_and_an_older_list_is_ignored() {
    following(|platform, node| async move {
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
        until("joined", || state() == Some(State::Live)).await;
        platform.set_hosts(list(6, "leaving"));
        until("leaving", || state() == Some(State::Leaving)).await;
        let read = platform.calls().hosts;
        platform.set_hosts(list(5, "live"));
        until("older list read", || platform.calls().hosts >= read + 2).await;
        platform.with_store(|s| s.put("/cornelferry/service/s", &record("s", 2, &service)));
        let version = || node.catalog.lock().get(RecordKind::Service, "s").map(|r| r.version);
        until("record replaced", || version() == Some(2)).await;
        assert_eq!(state(), Some(State::Leaving));
    });
}

#[test]
fn an_answer_lost_after_the_write_took_effect_is_told_from_a_refusal() {
    following(|platform, node| async move {
        let client = node.platform.clone().expect("platform");
        let txn = Txn {
            compare: vec![Compare::Revision("k".to_owned(), 0)],
            ops: vec![Op::Put("k".to_owned(), b"v".to_vec(), None)],
        };
        platform.with_faults(|f| f.lose_responses = 1);
        let lost = (client.kv.txn)(txn.clone()).await;
        assert!(matches!(lost, Err(CallError::OutcomeUnknown(_))), "{lost:?}");
        assert_eq!(client.get("k".to_owned()).await.expect("read").expect("there").value, b"v");
        assert!(!(client.kv.txn)(txn).await.expect("answered").succeeded);
    });
}

#[test]
fn hosts_named_in_the_settings_stay_known_beside_those_of_the_host_list() {
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
