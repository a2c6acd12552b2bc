//! Tests of the status report.

use std::time::Duration;

use serde_json::json;

use super::status;
use crate::node::Node;
use crate::settings::Settings;

#[test]
fn status_snapshot_holds_one_lock_at_a_time() {
    let settings = json!({
        "host": "entry-1", "data_centre": "palermo", "caller": "127.0.0.1:0", "admin": "127.0.0.1:0",
    });
    let node = Node::new(Settings::parse(&settings.to_string()).expect("settings"));
    let members = node.members.lock();
    let reader = std::thread::spawn({
        let node = node.clone();
        move || status::snapshot(&node)
    });
    std::thread::sleep(Duration::from_millis(100));
    let tables = node.tables.try_lock_for(Duration::from_secs(10));
    assert!(tables.is_some(), "the tables stay locked while the snapshot waits for the members");
    drop((tables, members));
    reader.join().expect("reader");
}
