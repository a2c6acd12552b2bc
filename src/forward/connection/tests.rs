//! Tests of the idle timeout that an upstream names.

use std::time::Duration;

use http::HeaderValue;

use super::{idle_timeout, keep_alive_timeout};

fn timeout(value: &'static str) -> Option<Duration> {
    keep_alive_timeout(&HeaderValue::from_static(value))
}

#[test]
fn the_timeout_is_read_among_other_parameters() {
    assert_eq!(timeout("timeout=10"), Some(Duration::from_secs(10)));
    assert_eq!(timeout("max=100, timeout=5"), Some(Duration::from_secs(5)));
}

#[test]
fn values_without_a_timeout_in_whole_seconds_say_nothing() {
    for value in ["", "max=3", "timeout=", "timeout=1.5", "timeout=-1", "10"] {
        assert_eq!(timeout(value), None, "{value:?}");
    }
}

#[test]
fn a_connection_is_closed_before_its_upstream_closes_it() {
    let kept = |seconds| idle_timeout(Duration::from_secs(seconds)).as_secs();
    assert_eq!([kept(0), kept(1), kept(2), kept(10), kept(3_600)], [0, 0, 1, 9, 30]);
}
