//! What the tables make of stragglers, quick failures, drains, cold starts and overload.

use std::sync::Arc;
use std::time::Duration;

use cornelferry::Time;
use cornelferry::admission::{Admission, Refusal, Request, Target};
use cornelferry::balancing::Policy;
use cornelferry::config::{Priority, Service, Upstream};
use cornelferry::error::Code;
use cornelferry::event::EventCode;
use cornelferry::service::{HostInfo, NextAttempt, ServiceTable};
use cornelferry::upstream::{AttemptReport, State, UpstreamOutcome, UpstreamSummary};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const MS: Duration = Duration::from_millis(1);

struct Bench {
    table: ServiceTable,
    rng: SmallRng,
    now: Time,
}

impl Bench {
    fn new(upstreams: u16, slots: u32) -> Bench {
        let upstreams = (0..upstreams).map(upstream).collect();
        let service = Service { name: "s".into(), slots, upstreams, ..Service::default() };
        let facts = HostInfo {
            host: "entry-1".into(),
            data_centre: "palermo".into(),
            fleet_size_max: 15,
            policy: Policy::default(),
            waiting_max: 1_000,
        };
        let now = Time::from_millis(1);
        let table = ServiceTable::new(Arc::new(service), facts, now);
        Bench { table, rng: SmallRng::seed_from_u64(7), now }
    }

    fn pass(&mut self, d: Duration) {
        self.now = self.now + d;
    }

    fn admit(&mut self, priority: Priority, deadline: Duration, wait: Duration) -> Admission {
        let req = Request::new(priority, self.now + deadline, self.now + wait);
        self.table.admit(&req, self.now, &mut self.rng)
    }

    fn start(&mut self) -> Target {
        match self.admit(Priority::Normal, MS * 1_000, Duration::ZERO) {
            Admission::Run(target) => target,
            other => panic!("not run: {other:?}"),
        }
    }

    fn finish(&mut self, target: &Target, ended: UpstreamOutcome, latency: Duration) {
        let report = AttemptReport { outcome: ended, latency, load: None, draining: false };
        self.table.finish_attempt(target.id, &report, self.now);
    }

    fn drain(&mut self, target: &Target) {
        let report = AttemptReport {
            outcome: UpstreamOutcome::Answered,
            latency: MS,
            load: None,
            draining: true,
        };
        self.table.finish_attempt(target.id, &report, self.now);
    }

    /// Runs one request after another, 5 ms each, and returns how many went to `name`.
    fn count(&mut self, requests: usize, name: &str, ended: UpstreamOutcome) -> usize {
        let mut count = 0;
        for _ in 0..requests {
            let target = self.start();
            let here = *target.name == *name;
            count += usize::from(here);
            let (ended, latency) =
                if here { (ended, MS) } else { (UpstreamOutcome::Answered, MS * 5) };
            self.pass(latency);
            self.finish(&target, ended, latency);
        }
        count
    }

    fn changes(&mut self, name: &str) -> Vec<EventCode> {
        let changes = self.table.take_changes().into_iter();
        changes.filter(|c| *c.upstream == *name).map(|c| c.code).collect()
    }

    fn state(&self, name: &str) -> State {
        self.table.rows().iter().find(|r| *r.name == *name).expect("row").state
    }

    fn import(&mut self, host: &str, upstream: &str, in_flight: u32, leaving: bool) {
        let (service, upstream) = ("s".into(), upstream.into());
        let shared = UpstreamSummary { service, upstream, in_flight, load: None, leaving };
        self.table.import(host, &shared, self.now);
    }
}

fn upstream(i: u16) -> Upstream {
    Upstream {
        name: format!("u{i}").into(),
        address: ([127, 0, 0, 1], 9_000 + i).into(),
        data_centre: "palermo".into(),
    }
}

fn refusal(admission: Admission) -> Refusal {
    match admission {
        Admission::Refuse(refusal) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn an_overdue_attempt_turns_work_away_before_it_ends() {
    let mut bench = Bench::new(12, 6);
    bench.count(200, "", UpstreamOutcome::Answered);
    let late = bench.start();
    bench.pass(MS * 20);
    assert_eq!(bench.count(200, &late.name, UpstreamOutcome::Answered), 0);
}

#[test]
fn a_straggler_that_was_cancelled_stays_known() {
    let mut bench = Bench::new(12, 6);
    bench.count(200, "", UpstreamOutcome::Answered);
    let late = bench.start();
    bench.pass(MS * 50);
    bench.finish(&late, UpstreamOutcome::Cancelled, MS * 50);
    assert_eq!(bench.count(100, &late.name, UpstreamOutcome::Answered), 0);
}

#[test]
fn quick_errors_attract_no_work() {
    let mut bench = Bench::new(12, 6);
    let failed = bench.count(1_000, "u3", UpstreamOutcome::Failed);
    assert!((1..=12).contains(&failed), "{failed} of 1000");
    assert_eq!(bench.changes("u3")[0], EventCode::UpstreamEjected);
    bench.pass(MS * 60_000);
    bench.count(200, "u3", UpstreamOutcome::Answered);
    assert_eq!(bench.changes("u3"), [EventCode::UpstreamRestored]);
}

#[test]
fn errors_everywhere_eject_nobody_for_good() {
    let mut bench = Bench::new(2, 6);
    for _ in 0..50 {
        let target = bench.start();
        bench.pass(MS);
        bench.finish(&target, UpstreamOutcome::Failed, MS);
    }
    bench.start();
}

#[test]
fn a_drain_signal_holds_until_the_host_list_takes_the_upstream_back() {
    let mut bench = Bench::new(3, 6);
    let target = bench.start();
    bench.drain(&target);
    assert_eq!(bench.changes(&target.name), [EventCode::UpstreamLeaving]);
    let all: Vec<Upstream> = (0..3).map(upstream).collect();
    bench.table.set_upstreams(&all, bench.now);
    bench.table.set_state(&target.name, State::Live, bench.now);
    assert_eq!(bench.state(&target.name), State::Leaving, "a list that lags");
    assert_eq!(bench.count(50, &target.name, UpstreamOutcome::Answered), 0);

    bench.table.set_state(&target.name, State::Leaving, bench.now);
    bench.table.set_state(&target.name, State::Live, bench.now);
    assert_eq!(bench.state(&target.name), State::Live, "a list that caught up");

    let target = bench.start();
    bench.drain(&target);
    let rest: Vec<Upstream> = all.iter().filter(|u| u.name != target.name).cloned().collect();
    bench.table.set_upstreams(&rest, bench.now);
    bench.table.set_upstreams(&all, bench.now);
    assert_eq!(bench.state(&target.name), State::Live, "named again");
}

#[test]
fn an_upstream_that_was_restarted_in_its_place_takes_work_again() {
    let mut bench = Bench::new(2, 6);
    let target = bench.start();
    bench.drain(&target);
    bench.import("entry-2", &target.name, 0, true);
    let probe = |bench: &mut Bench, ended| {
        let report = AttemptReport { outcome: ended, latency: MS, load: Some(0), draining: false };
        bench.table.finish_probe(target.id, &report, bench.now);
        bench.state(&target.name)
    };
    (0..5).for_each(|_| assert_eq!(probe(&mut bench, UpstreamOutcome::Answered), State::Leaving));
    assert_eq!(probe(&mut bench, UpstreamOutcome::ConnectFailed), State::Leaving);
    assert_eq!(probe(&mut bench, UpstreamOutcome::Answered), State::Leaving);
    assert_eq!(
        probe(&mut bench, UpstreamOutcome::Answered),
        State::Leaving,
        "a peer still says so"
    );
    bench.import("entry-2", &target.name, 0, false);
    assert_eq!(bench.state(&target.name), State::Live);

    bench.pass(MS * 3_000);
    let again = [bench.start(), bench.start()];
    let again = again.iter().find(|t| t.id == target.id).expect("a choice of two");
    bench.drain(again);
    bench.import("entry-2", &target.name, 0, true);
    assert_eq!(bench.state(&target.name), State::Leaving);
    bench.import("entry-2", &target.name, 0, false);
    assert_eq!(bench.state(&target.name), State::Live, "the peer saw it restarted");
}

#[test]
fn an_upstream_named_again_with_work_in_flight_takes_work_again() {
    let mut bench = Bench::new(2, 6);
    let target = bench.start();
    let all = [upstream(0), upstream(1)];
    let rest: Vec<Upstream> = all.iter().filter(|u| u.name != target.name).cloned().collect();
    bench.table.set_upstreams(&rest, bench.now);
    assert_eq!(bench.state(&target.name), State::Leaving);
    bench.table.set_upstreams(&all, bench.now);
    assert_eq!(bench.state(&target.name), State::Live);
    bench.finish(&target, UpstreamOutcome::Answered, MS);
    assert_eq!(bench.table.rows().len(), 2);
}

#[test]
fn a_peers_word_of_leaving_is_not_passed_on() {
    let mut bench = Bench::new(2, 6);
    bench.import("entry-2", "u0", 0, true);
    assert_eq!(bench.state("u0"), State::Leaving);
    assert!(bench.table.export(bench.now).iter().all(|s| !s.leaving));
    bench.import("entry-2", "u0", 0, false);
    assert_eq!(bench.state("u0"), State::Live);
    bench.import("entry-2", "u0", 0, true);
    bench.table.forget_peer("entry-2");
    assert_eq!(bench.state("u0"), State::Leaving, "the host that knew has gone");
}

#[test]
fn a_new_upstream_gets_less_than_its_share_at_first() {
    let mut bench = Bench::new(3, 6);
    bench.count(100, "", UpstreamOutcome::Answered);
    let all: Vec<Upstream> = (0..4).map(upstream).collect();
    bench.table.set_upstreams(&all, bench.now);
    let early = bench.count(100, "u3", UpstreamOutcome::Answered);
    bench.pass(MS * 3_000);
    let late = bench.count(100, "u3", UpstreamOutcome::Answered);
    assert!(early < 20 && late > early, "{early} of the first 100, {late} later");
}

#[test]
fn a_host_alone_uses_every_slot() {
    let mut bench = Bench::new(12, 6);
    (0..72).for_each(|_| drop(bench.start()));
    assert!(bench.table.rows().iter().all(|r| r.in_flight == 6));
}

#[test]
fn slots_that_other_hosts_fill_are_left_to_them() {
    let alone = run_until_one_waits(&mut Bench::new(12, 6));
    let shared = run_until_one_waits(&mut beside_others());
    assert!(shared >= 24, "{shared} beside others is less than an even share");
    assert!(shared + 72 <= alone, "{shared} beside the 72 of others, {alone} alone");
}

#[test]
fn what_may_not_wait_is_held_to_the_slots_that_others_leave() {
    let alone = run_until(&mut Bench::new(12, 6), Duration::ZERO);
    let shared = run_until(&mut beside_others(), Duration::ZERO);
    assert!((24..=72).contains(&shared) && shared < alone, "{shared} beside others, {alone} alone");
    assert_eq!(alone, 72);
}

#[test]
fn what_neighbours_say_stands_for_the_whole_fleet() {
    let left_by = |others| {
        let mut bench = beside_others();
        bench.table.set_live_peers(others);
        run_until(&mut bench, Duration::ZERO)
    };
    let (two, eight) = (left_by(2), left_by(8));
    assert!(
        eight < two,
        "{eight} beside eight hosts of which two are heard, {two} beside those two"
    );
    assert!(eight >= 8, "{eight} is less than an even share");
}

/// Makes a table beside two hosts with 36 requests each in flight.
fn beside_others() -> Bench {
    let mut bench = Bench::new(12, 6);
    for host in ["entry-2", "entry-3"] {
        (0..12).for_each(|i| bench.import(host, &format!("u{i}"), 3, false));
    }
    // The load of other hosts counts as far as it is known to be usual.
    for i in 0..12 {
        let id = bench.table.rows()[i].id;
        let report = AttemptReport {
            outcome: UpstreamOutcome::Answered,
            latency: MS,
            load: Some(6),
            draining: false,
        };
        bench.table.finish_probe(id, &report, bench.now);
    }
    bench
}

fn run_until_one_waits(bench: &mut Bench) -> usize {
    run_until(bench, MS * 100)
}

/// Admits requests that may wait for `wait` until one doesn't run. Returns how many ran.
fn run_until(bench: &mut Bench, wait: Duration) -> usize {
    let run = |bench: &mut Bench| {
        bench.pass(MS / 100);
        matches!(bench.admit(Priority::Normal, MS * 1_000, wait), Admission::Run(_))
    };
    (0..1_000).take_while(|_| run(bench)).count()
}

#[test]
fn under_overload_urgent_requests_run_and_deferrable_ones_wait() {
    let mut bench = Bench::new(2, 6);
    bench.count(100, "", UpstreamOutcome::Answered);
    for _ in 0..10 {
        bench.start();
    }
    let wait = |bench: &mut Bench, p| bench.admit(p, MS * 1_000, MS * 100);
    let archive = wait(&mut bench, Priority::Deferrable);
    assert!(matches!(archive, Admission::Wait(_)), "{archive:?}");
    let urgent = wait(&mut bench, Priority::Urgent);
    assert!(matches!(urgent, Admission::Run(_)), "{urgent:?}");
    bench.pass(MS * 100);
    let released = bench.table.release(bench.now, &mut bench.rng);
    assert_eq!(refusal(released[0].1.clone()).code, Code::WaitedTooLong);
}

#[test]
fn what_cannot_make_its_deadline_is_refused_at_once() {
    let mut bench = Bench::new(2, 6);
    bench.count(100, "", UpstreamOutcome::Answered);
    let close = bench.admit(Priority::Urgent, MS * 3, MS * 3);
    assert_eq!(refusal(close).code, Code::DeadlineTooClose);
    run_until_one_waits(&mut bench);
    let normal = |bench: &mut Bench, deadline| bench.admit(Priority::Normal, deadline, deadline);
    while !matches!(normal(&mut bench, MS * 1_000), Admission::Refuse(_))
        && bench.table.waiting() < 200
    {}
    let refused = refusal(normal(&mut bench, MS * 20));
    assert_eq!(refused.code, Code::DeadlineTooClose);
    assert!(refused.retry_after >= MS * 50, "{:?}", refused.retry_after);
}

#[test]
fn a_hedge_goes_to_a_busy_upstream_if_the_late_one_is_far_worse() {
    let mut bench = Bench::new(2, 1);
    bench.count(100, "", UpstreamOutcome::Answered);
    let late = bench.start();
    bench.pass(MS * 200);
    let other = bench.start();
    assert_ne!(other.id, late.id);
    let hedge = bench.table.next_attempt(NextAttempt::Hedge, &[late.id], bench.now, &mut bench.rng);
    assert_eq!(hedge.map(|h| h.id), Some(other.id));
}

#[test]
fn a_hedge_goes_only_to_an_idle_upstream() {
    let mut bench = Bench::new(2, 1);
    bench.count(100, "", UpstreamOutcome::Answered);
    let late = bench.start();
    let hedge = bench.table.next_attempt(NextAttempt::Hedge, &[late.id], bench.now, &mut bench.rng);
    let hedge = hedge.expect("the other one is idle");
    assert!(
        bench
            .table
            .next_attempt(NextAttempt::Hedge, &[late.id], bench.now, &mut bench.rng)
            .is_none()
    );
    assert_ne!(hedge.id, late.id);
    assert!(bench.table.hedge_delay(late.id, bench.now).is_some());
}
