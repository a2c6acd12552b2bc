//! Registrations that vanish from a store: who has gone, and who is only late.

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

/// Makes lapses of a store that has been readable for a minute.
fn calm() -> MissingRegistrations {
    let mut lapses = MissingRegistrations::default();
    assert!(lapses.succeeded(at(0)));
    assert!(!lapses.succeeded(at(60_000)));
    lapses
}

#[test]
fn while_the_store_is_calm_what_vanishes_has_gone() {
    assert!(calm().vanished(&name(), 7, false, at(60_000)));
}

#[test]
fn after_an_outage_what_is_missing_is_given_time_to_register_again() {
    let mut lapses = calm();
    lapses.failed();
    assert!(lapses.succeeded(at(65_000)));
    assert!(!lapses.vanished(&name(), 7, false, at(65_000)));
    assert!(lapses.expired(at(67_000)).is_empty());
    let gone = lapses.expired(at(67_600));
    assert_eq!((&*gone[0].name, gone[0].revision), ("u1", 7));
    assert!(lapses.expired(at(70_000)).is_empty(), "told once");
}

#[test]
fn one_that_registers_again_in_time_has_not_gone() {
    let mut lapses = calm();
    lapses.failed();
    lapses.succeeded(at(65_000));
    lapses.vanished(&name(), 7, false, at(65_000));
    lapses.registered("u1");
    assert!(lapses.expired(at(80_000)).is_empty());
}

#[test]
fn one_that_had_said_that_it_leaves_has_gone_in_any_case() {
    let mut lapses = calm();
    lapses.failed();
    lapses.succeeded(at(65_000));
    assert!(lapses.vanished(&name(), 7, true, at(65_000)));
}

#[test]
fn a_host_that_has_just_started_does_not_know_whether_there_was_an_outage() {
    let mut lapses = MissingRegistrations::default();
    lapses.succeeded(at(1_000));
    assert!(!lapses.vanished(&name(), 7, false, at(1_100)));
    assert!(lapses.vanished(&name(), 9, false, at(1_000) + Duration::from_secs(3)));
}

#[test]
fn nobody_counts_as_gone_while_the_store_is_out_of_reach() {
    let mut lapses = calm();
    lapses.failed();
    lapses.succeeded(at(65_000));
    lapses.vanished(&name(), 7, false, at(65_000));
    lapses.failed();
    assert!(lapses.expired(at(80_000)).is_empty());
}
