//! Tests of the idle timeout that an upstream names.

use std::time::Duration;

use http::HeaderValue;

use super::keep_alive_timeout;

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
