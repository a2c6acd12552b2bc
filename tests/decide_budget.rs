//! The budgets for probes and retries hold whatever happens.

use std::sync::Arc;
use std::time::Duration;

use cornelferry::Time;
use cornelferry::admission::{Admission, Request};
use cornelferry::balancing::Policy;
use cornelferry::config::{Priority, ProbeConfig, Service, Upstream};
use cornelferry::service::{HostInfo, NextAttempt, ServiceTable};
use cornelferry::upstream::{AttemptReport, UpstreamOutcome};
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
    let facts = HostInfo {
        host: "entry-1".into(),
        data_centre: "palermo".into(),
        fleet_size_max,
        policy: Policy::default(),
        waiting_max: 10,
    };
    ServiceTable::new(Arc::new(service), facts, Time::ZERO)
}

fn request(now: Time) -> Request {
    let deadline = now + Duration::from_secs(1);
    Request::new(Priority::Normal, deadline, now)
}

fn run(
    table: &mut ServiceTable,
    now: Time,
    rng: &mut SmallRng,
    ended: UpstreamOutcome,
    load: Option<u32>,
) {
    if let Admission::Run(target) = table.admit(&request(now), now, rng) {
        let latency = Duration::from_millis(1);
        table.finish_attempt(
            target.id,
            &AttemptReport { outcome: ended, latency, load, draining: false },
            now,
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(21), ..ProptestConfig::default() })]

    /// Each host believes any subset of the upstreams to be its own to probe, anew at each tick.
    #[test]
    fn probes_stay_within_the_budget(
        hosts in 1..6u32,
        rate in 0.5..50.0f64,
        views in prop::collection::vec((any::<u64>(), 1..400u64), 1..80),
    ) {
        let measure = ProbeConfig { probes_per_second: rate, ..ProbeConfig::default() };
        let mut tables: Vec<_> = (0..hosts).map(|_| table(8, hosts, measure.clone())).collect();
        let mut rng = SmallRng::seed_from_u64(1);
        let (mut now, mut sent) = (Time::ZERO, 0);
        for (view, ms) in views {
            now = now + Duration::from_millis(ms);
            for (host, table) in tables.iter_mut().enumerate() {
                run(table, now, &mut rng, UpstreamOutcome::Answered, None);
                let owned = |name: &str| {
                    let upstream: u32 = name[1..].parse().unwrap();
                    view.rotate_right(host as u32 * 8 + upstream) & 1 == 1
                };
                sent += table.probes(now, owned).len();
            }
            let bound = rate * now.since(Time::ZERO).as_secs_f64();
            prop_assert!(sent as f64 <= bound + 1e-6, "{sent} probes against {bound}");
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
            prop_assert!(f64::from(retries) <= bound + 1e-6, "{retries} retries against {bound}");
        }
    }
}

#[test]
fn a_probe_that_changes_no_choice_is_not_sent() {
    let fast = ProbeConfig { probes_per_second: 1_000.0, ..ProbeConfig::default() };
    let mut rng = SmallRng::seed_from_u64(1);
    let at = Time::from_millis;
    let probes = |table: &mut ServiceTable, now| table.probes(now, |_| true).len();

    let mut silent = table(2, 1, ProbeConfig { path: String::new(), ..fast.clone() });
    run(&mut silent, at(1_000), &mut rng, UpstreamOutcome::Answered, None);
    assert_eq!(probes(&mut silent, at(1_000)), 0, "without a path");

    let mut single = table(1, 1, fast.clone());
    run(&mut single, at(1_000), &mut rng, UpstreamOutcome::Answered, None);
    assert_eq!(probes(&mut single, at(1_000)), 0, "without a choice");

    let mut table = table(2, 1, fast);
    assert_eq!(probes(&mut table, at(1_000)), 0, "without requests");
    for _ in 0..64 {
        run(&mut table, at(2_000), &mut rng, UpstreamOutcome::Answered, Some(1));
    }
    assert_eq!(probes(&mut table, at(2_000)), 0, "with fresh answers");
    assert_eq!(probes(&mut table, at(3_000)), 1, "with answers that are old");
}
