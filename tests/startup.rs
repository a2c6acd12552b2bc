//! Callers that a starting host refuses.

use std::time::Duration;

use cornelferry::startup::retry_after;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Replays a fleet that has lost power and is ready again after `ready`. Each of the callers that
/// arrive while it starts returns once. Returns how many of a hundred find a ready host.
fn served(ready: Duration) -> usize {
    let arrivals = (0..100).map(|i| (ready.mul_f64(f64::from(i) / 100.0), f64::from(i % 7) / 7.0));
    arrivals.filter(|(at, spread)| *at + retry_after(*at, *spread) >= ready).count()
}

/// Guards against callers that are told to return at once while every host is starting: only those
/// of the last 50 ms were served.
#[test]
fn half_of_the_callers_of_a_fleet_that_starts_return_when_it_is_ready() {
    assert!(served(ms(800)) >= 45, "{}", served(ms(800)));
    assert!(served(ms(100)) >= 45, "{}", served(ms(100)));
}

#[test]
fn a_caller_is_not_sent_away_for_long() {
    for elapsed in [0, 10, 100, 1_000, 100_000] {
        for spread in [0.0, 0.5, 1.0] {
            let after = retry_after(ms(elapsed), spread);
            assert!((ms(40)..=ms(700)).contains(&after), "{elapsed}: {after:?}");
        }
    }
}
