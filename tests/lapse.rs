//! Missing registrations: which owners are gone, and which may still register again.

use std::sync::Arc;
use std::time::Duration;

use cornelferry::Time;
use cornelferry::lapse::MissingRegistrations;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn name() -> Arc<str> {
    "u1".into()
}

/// Returns the state for a registry that has been readable for a minute.
fn readable_for_a_minute() -> MissingRegistrations {
    let mut missing = MissingRegistrations::default();
    assert!(missing.record_success(at(0), None));
    assert!(!missing.record_success(at(60_000), Some(at(59_000))));
    missing
}

#[test]
fn a_missing_registration_means_gone_without_a_recent_outage() {
    assert!(readable_for_a_minute().mark_missing(&name(), false, at(60_000)));
}

#[test]
fn after_an_outage_owners_have_time_to_register_again() {
    let mut missing = readable_for_a_minute();
    missing.record_failure();
    assert!(missing.record_success(at(65_000), Some(at(60_000))));
    assert!(!missing.mark_missing(&name(), false, at(65_000)));
    assert!(missing.take_expired(at(67_000)).is_empty());
    let gone = missing.take_expired(at(67_600));
    assert_eq!(&*gone[0].name, "u1");
    assert!(missing.take_expired(at(70_000)).is_empty(), "returned once");
}

#[test]
fn an_owner_that_registers_again_in_time_is_not_gone() {
    let mut missing = readable_for_a_minute();
    missing.record_failure();
    missing.record_success(at(65_000), Some(at(60_000)));
    missing.mark_missing(&name(), false, at(65_000));
    missing.mark_present("u1");
    assert!(missing.take_expired(at(80_000)).is_empty());
}

#[test]
fn an_owner_that_announced_leaving_is_gone_at_once() {
    let mut missing = readable_for_a_minute();
    missing.record_failure();
    missing.record_success(at(65_000), Some(at(60_000)));
    assert!(missing.mark_missing(&name(), true, at(65_000)));
}

#[test]
fn a_host_that_has_just_started_assumes_a_recent_outage() {
    let mut missing = MissingRegistrations::default();
    missing.record_success(at(1_000), None);
    assert!(!missing.mark_missing(&name(), false, at(1_100)));
    assert!(missing.mark_missing(&name(), false, at(1_000) + Duration::from_secs(3)));
}

#[test]
fn no_owner_counts_as_gone_while_the_registry_is_unreachable() {
    let mut missing = readable_for_a_minute();
    missing.record_failure();
    missing.record_success(at(65_000), Some(at(60_000)));
    missing.mark_missing(&name(), false, at(65_000));
    missing.record_failure();
    assert!(missing.take_expired(at(80_000)).is_empty());
}

/// Guards against a removal that is withheld (DRAIN on tumar-gate-grown): one read of one host failed,
/// and the host took that for an outage in which registrations lapse.
#[test]
fn a_failed_read_is_no_outage_if_the_copy_is_young() {
    let mut missing = readable_for_a_minute();
    missing.record_failure();
    assert!(missing.record_success(at(61_000), Some(at(60_000))));
    assert!(missing.mark_missing(&name(), false, at(61_000)));
    missing.record_failure();
    assert!(missing.record_success(at(64_000), Some(at(61_000))));
    assert!(!missing.mark_missing(&name(), false, at(64_000)));
}

/// Guards against upstreams that are taken for gone right after an outage: a host heard of the first read
/// after it from a peer, and took its own next one for a read without an outage before.
#[test]
fn after_an_outage_that_a_peer_saw_end_owners_have_time_from_its_end_on() {
    let mut missing = readable_for_a_minute();
    missing.record_failure();
    missing.record_outage_end(at(65_000));
    assert!(missing.record_success(at(66_500), Some(at(66_000))));
    assert!(!missing.mark_missing(&name(), false, at(66_500)));
    assert!(missing.take_expired(at(67_400)).is_empty());
    assert_eq!(missing.take_expired(at(67_600)).len(), 1);
}

#[test]
fn a_host_whose_first_read_follows_the_word_of_a_peer_does_not_wait_for_ever() {
    let mut missing = MissingRegistrations::default();
    missing.record_failure();
    assert!(missing.record_success(at(1_000), Some(at(900))));
    assert!(!missing.record_success(at(2_000), Some(at(1_900))));
    assert!(!missing.mark_missing(&name(), false, at(2_000)));
    assert_eq!(missing.take_expired(at(3_500)).len(), 1);
    assert!(missing.mark_missing(&name(), false, at(3_600)));
}

#[test]
fn a_registry_that_returns_from_an_older_copy_lacks_registrations_however_young_the_copy_here() {
    let mut missing = readable_for_a_minute();
    missing.record_rewind();
    assert!(missing.record_success(at(60_100), Some(at(60_000))));
    assert!(!missing.mark_missing(&name(), false, at(60_100)));
}
