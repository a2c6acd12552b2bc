//! Which hosts read the registry, and when.

use std::time::Duration;

use cornelferry::Time;
use cornelferry::reads::{AGE_FACTOR_MIN, AgeChange, CopyAge, ReadSchedule};

const APPLY: Duration = Duration::from_secs(3);

/// Replays a fleet in which each read reaches every host after `spread`. Returns the number of reads
/// within `span`. The first `dead` hosts by rank never read.
fn reads(hosts: usize, dead: usize, spread: Duration, span: Duration) -> usize {
    let schedule = ReadSchedule::new(APPLY);
    let factor = |host: usize| {
        let part = (host * 7_919 % 1_000) as f64 / 1_000.0;
        AGE_FACTOR_MIN + (1.0 - AGE_FACTOR_MIN) * part
    };
    let mut as_of = Time::ZERO;
    let mut count = 0;
    while as_of < Time::ZERO + span {
        let due = |host: usize| schedule.due(as_of, Some(host), factor(host));
        let mut due: Vec<Time> = (dead..hosts).map(due).collect();
        due.sort();
        let first = due[0];
        count += due.iter().filter(|at| **at < first + spread).count();
        as_of = first;
    }
    count
}

#[test]
fn the_number_of_reads_does_not_grow_with_the_fleet() {
    let span = Duration::from_secs(90);
    let spread = Duration::from_millis(150);
    let small = reads(13, 0, spread, span);
    assert!((110..=130).contains(&small), "{small}");
    assert_eq!(reads(472, 0, spread, span), small);
    assert_eq!(reads(2_358, 0, spread, span), small);
}

#[test]
fn the_next_ranks_take_over_without_a_failure_being_detected() {
    let span = Duration::from_secs(90);
    let spread = Duration::from_millis(150);
    assert!(reads(472, 2, spread, span) <= reads(472, 0, spread, span));
}

/// Guards against a change that comes into force too late on a few hosts (CONFIG on vk-linka-grown):
/// the registry refused the first readers, and the others read only when a copy had grown old.
#[test]
fn without_the_first_readers_a_change_is_still_read_within_half_of_the_time() {
    let schedule = ReadSchedule::new(APPLY);
    for dead in 0..5 {
        let first = (dead..472).map(|host| schedule.due(Time::ZERO, Some(host), AGE_FACTOR_MIN));
        let age = first.min().expect("a host").since(Time::ZERO);
        assert!(age <= APPLY / 2, "{dead} dead: {age:?}");
    }
    let span = Duration::from_secs(90);
    let count = reads(472, 4, Duration::from_millis(150), span);
    assert!(count <= reads(472, 0, Duration::from_millis(150), span), "{count}");
}

#[test]
fn a_host_that_hears_nothing_reads_in_time() {
    let schedule = ReadSchedule::new(APPLY);
    for rank in [None, Some(0), Some(2), Some(3), Some(400)] {
        let due = schedule.due(Time::ZERO, rank, 1.0);
        assert!(due < Time::ZERO + APPLY.mul_f64(0.8), "{rank:?}: {due:?}");
    }
}

/// Replays a registry whose changes take a reader `duration` to read and apply. Guards against a
/// fleet in which every host reads because the reader's copy reaches them too late (sweep of the
/// large deployment at 300 hosts and 3,000 upstreams).
#[test]
fn a_slow_read_does_not_make_all_hosts_read() {
    let schedule = ReadSchedule::new(APPLY);
    let (duration, spread) = (Duration::from_millis(500), Duration::from_millis(300));
    let next_read = schedule.due(Time::ZERO, Some(0), 1.0);
    let next_copy_arrives = next_read + duration + spread;
    assert!(schedule.due(Time::ZERO, None, AGE_FACTOR_MIN) > next_copy_arrives);
}

/// Guards against a copy that grows too old after one failed read, as the next one followed at the pace
/// at which a fleet spares a registry that is out.
#[test]
fn after_a_failed_read_a_host_tries_again_before_its_copy_is_too_old() {
    let schedule = ReadSchedule::new(APPLY);
    let (backoff, paced) = (Duration::from_millis(50), Duration::from_secs(2));
    let next = |age: u64| {
        let now = Time::from_millis(10_000 + age);
        let delay = schedule.retry_delay(Some(Time::from_millis(10_000)), now, backoff, paced);
        Duration::from_millis(age) + delay
    };
    for age in [0, 700, 1_700, 2_250, 2_600] {
        assert!(next(age) < APPLY, "{age}: {:?}", next(age));
    }
    // From then on the registry counts as out, and the fleet keeps its pace.
    for age in [2_700, 3_000, 60_000] {
        assert_eq!(next(age), Duration::from_millis(age) + paced);
    }
    assert_eq!(schedule.retry_delay(None, Time::from_millis(9), backoff, paced), paced);
}

#[test]
fn a_copy_that_becomes_too_old_is_reported_once_and_its_highest_age_when_it_is_young_again() {
    let mut copy = CopyAge::default();
    let ms = Duration::from_millis;
    let seen =
        [0, 2_900, 3_000, 3_400, 3_200, 40, 50, 3_001].map(|age| copy.observe(ms(age), APPLY));
    let outdated = |age| Some(AgeChange::Outdated(ms(age)));
    let current = Some(AgeChange::Current(ms(3_400)));
    assert_eq!(seen, [None, None, outdated(3_000), None, None, current, None, outdated(3_001)]);
}
