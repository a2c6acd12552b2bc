//! Which entry hosts are alive, and who does which shared duty.

use std::sync::Arc;
use std::time::Duration;

use cornelferry::Time;
use cornelferry::member::{DEAD_AFTER, Heartbeat, MemberState, Members, PAUSE_THRESHOLD, Process};
use cornelferry::pause::{PauseDetector, RESYNC_TIMEOUT};
use proptest::collection::vec;
use proptest::prelude::*;

const TICK: Duration = Duration::from_millis(100);

fn process(i: usize, incarnation: u64) -> Process {
    Process {
        host: name(i),
        data_centre: format!("dc-{}", i % 3).into(),
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation,
    }
}

fn name(i: usize) -> Arc<str> {
    format!("entry-{i}").into()
}

fn table(i: usize) -> Members {
    Members::new(name(i), format!("dc-{}", i % 3).into())
}

fn beat(counter: u32, at: Time) -> Heartbeat {
    Heartbeat { counter, at, left: false }
}

/// Ticks a table up to a time without a gap.
fn run(members: &mut Members, from: Time, to: Time) -> Time {
    let mut now = from;
    while now < to {
        now = now + TICK;
        members.tick(now);
    }
    now
}

/// Returns tables of hosts `0..count` that have all just heard of each other.
fn fleet(count: usize) -> (Vec<Members>, Time) {
    let now = Time::ZERO + DEAD_AFTER * 2;
    let mut tables: Vec<Members> = (0..count).map(table).collect();
    for (i, members) in tables.iter_mut().enumerate() {
        run(members, Time::ZERO, now);
        for j in (0..count).filter(|j| *j != i) {
            members.record_heartbeat(&process(j, 1), beat(1, now));
        }
        members.tick(now);
    }
    (tables, now)
}

#[derive(Clone, Debug)]
enum Step {
    Hear { host: usize, incarnation: u64, counter: u32, age: u64, left: bool },
    Tick { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_usize..4, 1_u64..4, 1_u32..20, 0_u64..3_000, prop::bool::weighted(0.1)).prop_map(
            |(host, incarnation, counter, age, left)| {
                Step::Hear { host, incarnation, counter, age, left }
            }
        ),
        3 => (1_u64..900).prop_map(|millis| Step::Tick { millis }),
        1 => (1_001_u64..20_000).prop_map(|millis| Step::Tick { millis }),
    ]
}

proptest! {
    #[test]
    fn heartbeats_pauses_and_restarts_in_any_order(steps in vec(step(), 1..80)) {
        let mut now = Time::ZERO;
        let mut members = table(9);
        members.tick(now);
        for step in steps {
            match step {
                Step::Hear { host, incarnation, counter, age, left } => {
                    let before = members.get(&name(host)).cloned();
                    let at = Time::from_micros(now.as_micros().saturating_sub(age * 1_000));
                    members.record_heartbeat(&process(host, incarnation), Heartbeat { counter, at, left });
                    let after = members.get(&name(host)).cloned().unwrap();
                    let Some(before) = before else { continue };
                    let order = |m: &cornelferry::member::Member| (m.incarnation, m.counter);
                    prop_assert!(order(&after) >= order(&before));
                    if after.incarnation == before.incarnation {
                        prop_assert!(after.left >= before.left && after.last_heartbeat >= before.last_heartbeat);
                    }
                    if incarnation < before.incarnation {
                        prop_assert_eq!(after, before);
                    }
                }
                Step::Tick { millis } => {
                    now = now + Duration::from_millis(millis);
                    members.tick(now);
                    if millis > PAUSE_THRESHOLD.as_millis() as u64 && !members.members().is_empty() {
                        prop_assert_eq!(members.owner("duty", now), "");
                        prop_assert_eq!(members.alive(now).count(), 0);
                    }
                }
            }
            for member in members.members() {
                let alive = members.state(&member.host, now) == Some(MemberState::Alive);
                let young = member.last_heartbeat.is_some_and(|t| now.since(t) < members.dead_after());
                prop_assert!(!alive || young && !member.left);
            }
        }
    }

    #[test]
    fn equal_views_agree_on_every_owner(count in 1_usize..20, duties in vec("\\PC{0,12}", 1..20)) {
        let (tables, now) = fleet(count);
        for duty in &duties {
            let owner = tables[0].owner(duty, now).to_owned();
            prop_assert!(tables.iter().all(|m| m.owner(duty, now) == owner));
            prop_assert_eq!(tables.iter().filter(|m| m.owns(duty, now)).count(), 1);
            let watchers = |dc: usize| {
                let of = (dc..count).step_by(3);
                of.filter(|i| tables[*i].owns_in_data_centre(duty, 2, now)).count()
            };
            for dc in 0..count.min(3) {
                prop_assert_eq!(watchers(dc), (dc..count).step_by(3).count().min(2));
            }
        }
    }
}

#[test]
fn a_dead_hosts_duties_and_no_others_move() {
    let (mut tables, now) = fleet(6);
    let duties: Vec<String> = (0..600).map(|i| format!("probe/{i}")).collect();
    let members = &mut tables[0];
    let before: Vec<String> = duties.iter().map(|d| members.owner(d, now).to_owned()).collect();
    let later = now + DEAD_AFTER;
    run(members, now, later);
    (1..5).for_each(|i| {
        members.record_heartbeat(&process(i, 1), beat(9, later));
    });
    let moved = |(duty, owner): (&String, &String)| members.owner(duty, later) != owner;
    for pair in duties.iter().zip(&before) {
        assert_eq!(moved(pair), pair.1 == "entry-5", "{pair:?}");
    }
    for i in 0..6 {
        let owned = before.iter().filter(|o| **o == *name(i)).count();
        assert!((60..140).contains(&owned), "entry-{i} owns {owned} of 600");
    }
}

#[test]
fn a_paused_host_owns_nothing_until_it_has_heard_the_others() {
    let (mut tables, now) = fleet(3);
    let members = &mut tables[0];
    let resumed = now + Duration::from_secs(10);
    assert_eq!(members.owner("duty", resumed), "", "before the first tick");
    members.tick(resumed);
    assert_eq!(members.owner("duty", resumed), "", "after the first tick");
    let later = run(members, resumed, resumed + DEAD_AFTER);
    assert_eq!(members.owner("duty", later), "entry-0", "alone for good");
    members.record_heartbeat(&process(1, 2), beat(1, later));
    let owned = (0..100).filter(|i| members.owner(&i.to_string(), later) == "entry-1").count();
    assert!(owned > 0, "a restarted host owns duties at once");
}

#[test]
fn a_leaving_host_owns_nothing_and_stays_gone_until_it_restarts() {
    let (mut tables, now) = fleet(2);
    let gone = Heartbeat { counter: 2, at: now, left: true };
    tables[0].record_heartbeat(&process(1, 1), gone);
    tables[0].record_heartbeat(&process(1, 1), beat(3, now));
    assert!((0..50).all(|i| tables[0].owner(&i.to_string(), now) == "entry-0"));
    tables[0].record_heartbeat(&process(1, 2), beat(1, now));
    assert_eq!(tables[0].state("entry-1", now), Some(MemberState::Alive));
    tables[1].leave();
    assert!((0..50).all(|i| !tables[1].owns(&i.to_string(), now)));
}

#[test]
fn records_are_stale_from_a_pause_until_the_next_news_or_the_bound() {
    let mut pause = PauseDetector::default();
    let start = Time::from_millis(5_000);
    assert!(!pause.is_stale(start) && !pause.tick(start));
    let resumed = start + Duration::from_secs(10);
    assert!(pause.is_stale(resumed), "before the first tick");
    assert!(pause.tick(resumed) && pause.is_stale(resumed));
    pause.mark_resynced(pause.pause_count() - 1);
    assert!(pause.is_stale(resumed), "news from before the pause is none");
    pause.mark_resynced(pause.pause_count());
    assert!(!pause.is_stale(resumed));
    let again = resumed + Duration::from_secs(2);
    assert!(pause.tick(again) && pause.is_stale(again));
    assert!(!pause.is_stale(again + RESYNC_TIMEOUT));
}
