use std::time::Duration;

use super::{AGAIN_AFTER, Fetches};
use crate::decide::catalog::RecordKind;
use crate::decide::digest::Version;
use crate::time::Time;

/// Eight neighbours offered a config of 1,196 routes, and a host fetched it from each of them.
#[test]
fn a_version_is_fetched_from_one_peer_at_a_time() {
    let config = Version { kind: RecordKind::Routing, name: "op/config".into(), version: 10 };
    let newer = Version { version: 11, ..config.clone() };
    let mut fetches = Fetches::default();
    let start = Time::from_millis(5_000);
    assert!(fetches.begin(&config, start));
    for neighbour in 1..8 {
        assert!(!fetches.begin(&config, start + Duration::from_millis(neighbour * 20)));
    }
    assert!(fetches.begin(&newer, start + Duration::from_millis(200)), "another version");
    assert!(fetches.begin(&config, start + AGAIN_AFTER), "the first peer may be silent");
}
