//! A fleet of hosts keeps within its retry budget in every window, whatever the load does and whichever
//! hosts are killed and started meanwhile.

use std::sync::Arc;
use std::time::Duration;

use cornelferry::Time;
use cornelferry::admission::{Admission, Request, Target};
use cornelferry::balancing::Policy;
use cornelferry::config::{Priority, Service, Upstream};
use cornelferry::service::{HostInfo, NextAttempt, ServiceTable};
use cornelferry::upstream::{AttemptReport, UpstreamOutcome};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const WINDOW: Duration = Duration::from_secs(10);
/// When a fleet starts: late enough that no window begins before [`Time::ZERO`].
const START: Time = Time::from_millis(60_000);
/// Time between two steps of a fleet.
const STEP: Duration = Duration::from_millis(10);

/// The retry budget of a fleet.
#[derive(Clone, Copy, Debug)]
struct Budget {
    share: f64,
    slack: f64,
}

/// Hosts that retry every request if their budgets permit.
struct Fleet {
    budget: Budget,
    hosts: Vec<ServiceTable>,
    now: Time,
    rng: SmallRng,
    requests: Vec<Time>,
    retries: Vec<Time>,
}

impl Fleet {
    fn new(hosts: usize, budget: Budget) -> Fleet {
        let table = |_| host(hosts as u32, budget, START);
        Fleet {
            budget,
            hosts: (0..hosts).map(table).collect(),
            now: START,
            rng: SmallRng::seed_from_u64(1),
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    /// Lets `time` pass. Each host gets `per_second` requests a second on average; as many hosts as
    /// `retrying` says retry each of them.
    fn run(&mut self, time: Duration, per_second: f64, retrying: usize) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            for host in 0..self.hosts.len() {
                if self.rng.random_bool(per_second * STEP.as_secs_f64()) {
                    self.request(host, host < retrying);
                }
            }
        }
    }

    fn request(&mut self, host: usize, retry: bool) {
        let (now, table) = (self.now, &mut self.hosts[host]);
        let req = Request::new(Priority::Normal, now + Duration::from_secs(1), now);
        self.requests.push(now);
        if let Admission::Run(target) = table.admit(&req, now, &mut self.rng) {
            finish(table, &target, now);
        }
        if retry
            && let Some(target) = table.next_attempt(NextAttempt::Retry, &[], now, &mut self.rng)
        {
            finish(table, &target, now);
            self.retries.push(now);
        }
    }

    /// Kills a host and starts it again.
    fn restart(&mut self, host: usize) {
        self.hosts[host] = self::host(self.hosts.len() as u32, self.budget, self.now);
    }

    /// Returns a window in which the fleet exceeds its budget. Requests count in the window itself, the
    /// one before it, or the one half a window before it, whichever has most.
    fn breach(&self) -> Option<String> {
        let starts = self.retries.iter().flat_map(|at| [*at, at.before(WINDOW)]);
        starts.into_iter().find_map(|start| {
            let retries = count(&self.retries, start, start + WINDOW);
            let windows = [start, start.before(WINDOW / 2), start.before(WINDOW)];
            let requests = windows.map(|at| count(&self.requests, at, at + WINDOW));
            let requests = requests.into_iter().max().unwrap_or_default();
            let allowed = requests as f64 * self.budget.share + self.budget.slack;
            (retries as f64 > allowed + 1e-6).then(|| {
                format!("{retries} retries in the window from {start:?}, {allowed:.1} are allowed")
            })
        })
    }
}

fn host(fleet_size_max: u32, budget: Budget, now: Time) -> ServiceTable {
    let upstream = |i: u16| Upstream {
        name: format!("u{i}").into(),
        address: ([127, 0, 0, 1], 9_000 + i).into(),
        data_centre: "palermo".into(),
    };
    let service = Service {
        name: "s".into(),
        upstreams: (0..4).map(upstream).collect(),
        retry_share: budget.share,
        retry_slack: budget.slack,
        retry_window_ms: WINDOW.as_millis() as u64,
        ..Service::default()
    };
    let host_info = HostInfo {
        host: "entry-1".into(),
        data_centre: "palermo".into(),
        fleet_size_max,
        policy: Policy::default(),
        waiting_max: 10,
    };
    ServiceTable::new(Arc::new(service), host_info, now)
}

fn finish(table: &mut ServiceTable, target: &Target, now: Time) {
    let report = AttemptReport {
        outcome: UpstreamOutcome::Answered,
        latency: Duration::from_millis(1),
        load: None,
        draining: false,
    };
    table.finish_attempt(target.id, &report, now);
}

fn count(times: &[Time], start: Time, end: Time) -> usize {
    times.partition_point(|t| *t <= end) - times.partition_point(|t| *t < start)
}

/// Incident: five of 13 hosts were killed while a service failed, and used their part of the slack
/// again.
#[test]
fn a_host_that_starts_again_has_no_second_part_of_the_slack() {
    let mut fleet = Fleet::new(13, Budget { share: 0.0, slack: 56.0 });
    fleet.run(WINDOW * 2, 0.0, 13);
    fleet.run(Duration::from_secs(4), 20.0, 13);
    (0..5).for_each(|host| fleet.restart(host));
    fleet.run(Duration::from_secs(3), 20.0, 13);
    (3..8).for_each(|host| fleet.restart(host));
    fleet.run(Duration::from_secs(12), 20.0, 13);
    assert!(!fleet.retries.is_empty(), "no slack is used");
    assert_eq!(fleet.breach(), None);
}

/// Incident: load fell while a service failed, and requests from before the window allowed retries
/// in it.
#[test]
fn requests_before_a_window_allow_no_more_retries_in_it() {
    for seconds in 1..10 {
        let mut fleet = Fleet::new(13, Budget { share: 0.2, slack: 0.0 });
        fleet.run(WINDOW, 20.0, 0);
        fleet.run(Duration::from_secs(8), 40.0, 0);
        fleet.run(Duration::from_secs(seconds), 40.0, 13);
        fleet.run(WINDOW * 2, 10.0, 13);
        assert!(!fleet.retries.is_empty(), "nothing is retried");
        assert_eq!(fleet.breach(), None, "failing for the last {seconds} s of the burst");
    }
}

/// Guards against a sum of maxima: hosts whose callers move from one to the other each have their most
/// requests in another window.
#[test]
fn callers_that_move_between_hosts_allow_no_retries_twice() {
    let mut fleet = Fleet::new(2, Budget { share: 0.2, slack: 0.0 });
    for round in 0..40 {
        let host = usize::from(round / 7 % 2 == 1);
        for _ in 0..20 {
            fleet.now = fleet.now + Duration::from_millis(50);
            fleet.request(host, round > 10);
        }
    }
    assert!(!fleet.retries.is_empty(), "nothing is retried");
    assert_eq!(fleet.breach(), None);
}

#[test]
fn a_steady_load_may_be_retried_up_to_its_share() {
    let mut fleet = Fleet::new(4, Budget { share: 0.2, slack: 0.0 });
    fleet.run(WINDOW * 6, 20.0, 4);
    let (from, to) = (START + WINDOW * 3, fleet.now);
    let requests = count(&fleet.requests, from, to) as f64;
    let retries = count(&fleet.retries, from, to) as f64;
    assert!(retries >= requests * 0.2 * 0.85, "{retries} retries for {requests} requests");
    assert_eq!(fleet.breach(), None);
}

/// A step of a random day: how long it lasts, the requests of a host a second, the number of hosts that
/// retry, and a host that is killed at its end.
type RandomStep = (u64, f64, usize, Option<usize>);

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(26),
        cases: 48,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_fleet_keeps_within_its_budget_on_any_day(
        share in 0.0..0.5f64,
        slack in 0.0..40.0f64,
        steps in prop::collection::vec(
            (100..6_000u64, 0.0..60.0f64, 0..6usize, prop::option::of(0..5usize)),
            4..16,
        ),
    ) {
        let mut fleet = Fleet::new(5, Budget { share, slack });
        let steps: Vec<RandomStep> = steps;
        for (ms, per_second, retrying, killed) in steps {
            fleet.run(Duration::from_millis(ms), per_second, retrying);
            killed.into_iter().for_each(|host| fleet.restart(host));
        }
        prop_assert_eq!(fleet.breach(), None);
    }
}
