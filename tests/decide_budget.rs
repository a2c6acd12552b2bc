//! Probes and retries stay within their budgets.

use std::sync::Arc;
use std::time::Duration;

use cornelferry::Time;
use cornelferry::admission::{Admission, Request};
use cornelferry::balancing::Policy;
use cornelferry::config::{Priority, ProbeConfig, Service, Upstream};
use cornelferry::service::{HostInfo, NextAttempt, ServiceTable};
use cornelferry::upstream::{AttemptReport, State, UpstreamOutcome};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn table(upstreams: u16, fleet_size_max: u32, measure: ProbeConfig) -> ServiceTable {
    let upstream = |i: u16| Upstream {
        name: format!("u{i}").into(),
        address: ([127, 0, 0, 1], 9_000 + i).into(),
        data_centre: "palermo".into(),
    };
    let upstreams = (0..upstreams).map(upstream).collect();
    let service = Service { name: "s".into(), upstreams, measure, ..Service::default() };
    let host_info = HostInfo {
        host: "entry-1".into(),
        data_centre: "palermo".into(),
        fleet_size_max,
        policy: Policy::default(),
        waiting_max: 10,
    };
    ServiceTable::new(Arc::new(service), host_info, Time::ZERO)
}

fn request(now: Time) -> Request {
    let deadline = now + Duration::from_secs(1);
    Request::new(Priority::Normal, deadline, now)
}

fn run(
    table: &mut ServiceTable,
    now: Time,
    rng: &mut SmallRng,
    outcome: UpstreamOutcome,
    load: Option<u32>,
) {
    if let Admission::Run(target) = table.admit(&request(now), now, rng) {
        let latency = Duration::from_millis(1);
        table.finish_attempt(
            target.id,
            &AttemptReport { outcome, latency, load, draining: false },
            now,
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(21), ..ProptestConfig::default() })]

    /// On each tick, each host assumes another arbitrary subset of the upstreams to be assigned to
    /// it. Guards against a budget that is kept only if the hosts agree on the assignment.
    #[test]
    fn probes_stay_within_the_budget(
        hosts in 1..6u32,
        rate in 0.5..50.0f64,
        assignments in prop::collection::vec((any::<u64>(), 1..400u64), 1..80),
    ) {
        let measure = ProbeConfig { probes_per_second: rate, ..ProbeConfig::default() };
        let mut tables: Vec<_> = (0..hosts).map(|_| table(8, hosts, measure.clone())).collect();
        let mut rng = SmallRng::seed_from_u64(1);
        let (mut now, mut sent) = (Time::ZERO, 0);
        for (assignment, ms) in assignments {
            now = now + Duration::from_millis(ms);
            for (host, table) in tables.iter_mut().enumerate() {
                run(table, now, &mut rng, UpstreamOutcome::Answered, None);
                let owned = |name: &str| {
                    let upstream: u32 = name[1..].parse().unwrap();
                    assignment.rotate_right(host as u32 * 8 + upstream) & 1 == 1
                };
                sent += table.probes(now, owned).len();
            }
            let bound = rate * now.since(Time::ZERO).as_secs_f64();
            prop_assert!(sent as f64 <= bound + 1e-6, "{sent} probes, budget {bound}");
        }
    }

    #[test]
    fn retries_stay_within_the_budget(
        steps in prop::collection::vec((any::<bool>(), 0..20u64), 1..400),
    ) {
        let mut table = table(8, 1, ProbeConfig::default());
        let mut rng = SmallRng::seed_from_u64(1);
        let (mut now, mut requests, mut retries) = (Time::ZERO, 0, 0);
        for (request, ms) in steps {
            now = now + Duration::from_millis(ms);
            if request {
                requests += 1;
                run(&mut table, now, &mut rng, UpstreamOutcome::Answered, None);
            } else if table.next_attempt(NextAttempt::Retry, &[], now, &mut rng).is_some() {
                retries += 1;
            }
            let seconds = now.since(Time::ZERO).as_secs_f64();
            let bound = 10.0 + 0.1 * f64::from(requests) + 0.5 * seconds;
            prop_assert!(f64::from(retries) <= bound + 1e-6, "{retries} retries, budget {bound}");
        }
    }
}

#[test]
fn a_probe_that_can_change_no_choice_is_not_sent() {
    let fast = ProbeConfig { probes_per_second: 1_000.0, ..ProbeConfig::default() };
    let mut rng = SmallRng::seed_from_u64(1);
    let at = Time::from_millis;
    let probes = |table: &mut ServiceTable, now| table.probes(now, |_| true).len();

    let mut without_path = table(2, 1, ProbeConfig { path: String::new(), ..fast.clone() });
    run(&mut without_path, at(1_000), &mut rng, UpstreamOutcome::Answered, None);
    assert_eq!(probes(&mut without_path, at(1_000)), 0, "without a path");

    let mut single = table(1, 1, fast.clone());
    run(&mut single, at(1_000), &mut rng, UpstreamOutcome::Answered, None);
    assert_eq!(probes(&mut single, at(1_000)), 0, "with a single upstream");

    let mut table = table(2, 1, fast);
    assert_eq!(probes(&mut table, at(1_000)), 0, "without requests");
    for _ in 0..64 {
        run(&mut table, at(2_000), &mut rng, UpstreamOutcome::Answered, Some(1));
    }
    assert_eq!(probes(&mut table, at(2_000)), 0, "with recent responses");
    assert_eq!(probes(&mut table, at(3_000)), 1, "with old responses");
}

/// With a budget that grows with the number of upstreams, those that leave don't add to what the
/// others get.
#[test]
fn upstreams_that_leave_take_their_share_of_the_probes_with_them() {
    let per_upstream = 1.0;
    let measure = ProbeConfig {
        probes_per_second: 0.0,
        probes_per_upstream: per_upstream,
        ..ProbeConfig::default()
    };
    let mut table = table(8, 1, measure);
    let mut rng = SmallRng::seed_from_u64(1);
    (0..6).for_each(|i| table.set_state(&format!("u{i}"), State::Leaving, Time::ZERO));
    let mut probes = 0;
    for ms in (0..20_000).step_by(10) {
        let now = Time::from_millis(ms);
        run(&mut table, now, &mut rng, UpstreamOutcome::Answered, None);
        table.tick(now);
        probes += table.probes(now, |_| true).len();
    }
    let bound = 2.0 * per_upstream * 20.0;
    assert!(f64::from(probes as u32) <= bound, "{probes} probes of two upstreams, budget {bound}");
}
