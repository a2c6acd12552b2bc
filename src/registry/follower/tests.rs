//! Tests of how changes of the registry are applied.

use super::latest_changes;
use crate::platform::Change;

fn change(key: &str, value: Option<&str>) -> Change {
    Change { key: key.to_owned(), value: value.map(|v| v.as_bytes().to_vec()), lease: None }
}

/// Guards against a drain that is taken back: a host read in one go that an upstream had registered
/// again and that it was leaving. Peers had read the latter before, so that the former seemed to be
/// news.
#[test]
fn of_several_changes_of_a_key_only_the_last_one_counts() {
    let changes = [
        change("servers/a", Some("ready")),
        change("servers/b", Some("ready")),
        change("servers/a", None),
        change("servers/a", Some("draining")),
        change("servers/b", None),
    ];
    assert_eq!(latest_changes(&changes), [&changes[3], &changes[4]]);
}
