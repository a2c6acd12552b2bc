//! Decisions on stragglers, quick failures, drains, cold starts and overload.

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

struct Fixture {
    table: ServiceTable,
    rng: SmallRng,
    now: Time,
}

impl Fixture {
    fn new(upstreams: u16, slots: u32) -> Fixture {
        let upstreams = (0..upstreams).map(upstream).collect();
        let service = Service { name: "s".into(), slots, upstreams, ..Service::default() };
        let host_info = HostInfo {
            host: "entry-1".into(),
            data_centre: "palermo".into(),
            fleet_size_max: 15,
            policy: Policy::default(),
            waiting_max: 1_000,
        };
        let now = Time::from_millis(1);
        let table = ServiceTable::new(Arc::new(service), host_info, now);
        Fixture { table, rng: SmallRng::seed_from_u64(7), now }
    }

    fn advance(&mut self, d: Duration) {
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

    fn finish(&mut self, target: &Target, outcome: UpstreamOutcome, latency: Duration) {
        let report = AttemptReport { outcome, latency, load: None, draining: false };
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

    /// Runs requests one after another, with a latency of 5 ms each at other upstreams and of 1 ms
    /// at `name`, and returns how many went to `name`. With an empty name, it only fills the table
    /// with latencies.
    fn count_sent_to(&mut self, requests: usize, name: &str, outcome: UpstreamOutcome) -> usize {
        let mut count = 0;
        for _ in 0..requests {
            let target = self.start();
            let is_counted = *target.name == *name;
            count += usize::from(is_counted);
            let (outcome, latency) =
                if is_counted { (outcome, MS) } else { (UpstreamOutcome::Answered, MS * 5) };
            self.advance(latency);
            self.finish(&target, outcome, latency);
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

    fn import(&mut self, peer: &str, upstream: &str, in_flight: u32, leaving: bool) {
        let (service, upstream) = ("s".into(), upstream.into());
        let summary = UpstreamSummary { service, upstream, in_flight, load: None, leaving };
        self.table.import(peer, &summary, self.now);
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
fn an_overdue_attempt_diverts_requests_before_it_ends() {
    let mut fixture = Fixture::new(12, 6);
    fixture.count_sent_to(200, "", UpstreamOutcome::Answered);
    let overdue = fixture.start();
    fixture.advance(MS * 20);
    assert_eq!(fixture.count_sent_to(200, &overdue.name, UpstreamOutcome::Answered), 0);
}

#[test]
fn a_cancelled_straggler_still_counts_as_slow() {
    let mut fixture = Fixture::new(12, 6);
    fixture.count_sent_to(200, "", UpstreamOutcome::Answered);
    let overdue = fixture.start();
    fixture.advance(MS * 50);
    fixture.finish(&overdue, UpstreamOutcome::Cancelled, MS * 50);
    assert_eq!(fixture.count_sent_to(100, &overdue.name, UpstreamOutcome::Answered), 0);
}

#[test]
fn quick_errors_attract_few_requests() {
    let mut fixture = Fixture::new(12, 6);
    let failed = fixture.count_sent_to(1_000, "u3", UpstreamOutcome::Failed);
    assert!((1..=12).contains(&failed), "{failed} of 1000");
    assert_eq!(fixture.changes("u3")[0], EventCode::UpstreamEjected);
    fixture.advance(MS * 60_000);
    fixture.count_sent_to(200, "u3", UpstreamOutcome::Answered);
    assert_eq!(fixture.changes("u3"), [EventCode::UpstreamRestored]);
}

#[test]
fn errors_at_all_upstreams_leave_one_to_choose() {
    let mut fixture = Fixture::new(2, 6);
    for _ in 0..50 {
        let target = fixture.start();
        fixture.advance(MS);
        fixture.finish(&target, UpstreamOutcome::Failed, MS);
    }
    fixture.start();
}

#[test]
fn a_drain_signal_holds_until_the_host_list_marks_the_upstream_leaving_and_then_live() {
    let mut fixture = Fixture::new(3, 6);
    let target = fixture.start();
    fixture.drain(&target);
    assert_eq!(fixture.changes(&target.name), [EventCode::UpstreamLeaving]);
    let all: Vec<Upstream> = (0..3).map(upstream).collect();
    fixture.table.set_upstreams(&all, fixture.now);
    fixture.table.set_state(&target.name, State::Live, fixture.now);
    assert_eq!(fixture.state(&target.name), State::Leaving, "an outdated host list");
    assert_eq!(fixture.count_sent_to(50, &target.name, UpstreamOutcome::Answered), 0);

    fixture.table.set_state(&target.name, State::Leaving, fixture.now);
    fixture.table.set_state(&target.name, State::Live, fixture.now);
    assert_eq!(fixture.state(&target.name), State::Live, "a current host list");

    let target = fixture.start();
    fixture.drain(&target);
    let rest: Vec<Upstream> = all.iter().filter(|u| u.name != target.name).cloned().collect();
    fixture.table.set_upstreams(&rest, fixture.now);
    fixture.table.set_upstreams(&all, fixture.now);
    assert_eq!(fixture.state(&target.name), State::Live, "configured again");
}

#[test]
fn a_restarted_upstream_takes_requests_again() {
    let mut fixture = Fixture::new(2, 6);
    let target = fixture.start();
    fixture.drain(&target);
    fixture.import("entry-2", &target.name, 0, true);
    let probe = |fixture: &mut Fixture, outcome| {
        let report = AttemptReport { outcome, latency: MS, load: Some(0), draining: false };
        fixture.table.finish_probe(target.id, &report, fixture.now);
        fixture.state(&target.name)
    };
    (0..5).for_each(|_| assert_eq!(probe(&mut fixture, UpstreamOutcome::Answered), State::Leaving));
    assert_eq!(probe(&mut fixture, UpstreamOutcome::ConnectFailed), State::Leaving);
    assert_eq!(probe(&mut fixture, UpstreamOutcome::Answered), State::Leaving);
    assert_eq!(
        probe(&mut fixture, UpstreamOutcome::Answered),
        State::Leaving,
        "a peer still reports it as leaving"
    );
    fixture.import("entry-2", &target.name, 0, false);
    assert_eq!(fixture.state(&target.name), State::Live);

    fixture.advance(MS * 3_000);
    let targets = [fixture.start(), fixture.start()];
    let restarted =
        targets.iter().find(|t| t.id == target.id).expect("one request at each upstream");
    fixture.drain(restarted);
    fixture.import("entry-2", &target.name, 0, true);
    assert_eq!(fixture.state(&target.name), State::Leaving);
    fixture.import("entry-2", &target.name, 0, false);
    assert_eq!(fixture.state(&target.name), State::Live, "the peer has seen it restart");
}

#[test]
fn an_upstream_configured_again_with_a_request_in_flight_takes_requests_again() {
    let mut fixture = Fixture::new(2, 6);
    let target = fixture.start();
    let all = [upstream(0), upstream(1)];
    let rest: Vec<Upstream> = all.iter().filter(|u| u.name != target.name).cloned().collect();
    fixture.table.set_upstreams(&rest, fixture.now);
    assert_eq!(fixture.state(&target.name), State::Leaving);
    fixture.table.set_upstreams(&all, fixture.now);
    assert_eq!(fixture.state(&target.name), State::Live);
    fixture.finish(&target, UpstreamOutcome::Answered, MS);
    assert_eq!(fixture.table.rows().len(), 2);
}

#[test]
fn a_peers_report_of_a_leaving_upstream_is_not_passed_on() {
    let mut fixture = Fixture::new(2, 6);
    fixture.import("entry-2", "u0", 0, true);
    assert_eq!(fixture.state("u0"), State::Leaving);
    assert!(fixture.table.export(fixture.now).iter().all(|s| !s.leaving));
    fixture.import("entry-2", "u0", 0, false);
    assert_eq!(fixture.state("u0"), State::Live);
    fixture.import("entry-2", "u0", 0, true);
    fixture.table.forget_peer("entry-2");
    assert_eq!(fixture.state("u0"), State::Leaving, "the reporting peer is gone");
}

#[test]
fn a_new_upstream_ramps_up_to_its_share() {
    let mut fixture = Fixture::new(3, 6);
    fixture.count_sent_to(100, "", UpstreamOutcome::Answered);
    let all: Vec<Upstream> = (0..4).map(upstream).collect();
    fixture.table.set_upstreams(&all, fixture.now);
    let initially = fixture.count_sent_to(100, "u3", UpstreamOutcome::Answered);
    fixture.advance(MS * 3_000);
    let later = fixture.count_sent_to(100, "u3", UpstreamOutcome::Answered);
    assert!(initially < 20 && later > initially, "{initially} of the first 100, {later} later");
}

#[test]
fn a_single_host_uses_every_slot() {
    let mut fixture = Fixture::new(12, 6);
    (0..72).for_each(|_| drop(fixture.start()));
    assert!(fixture.table.rows().iter().all(|r| r.in_flight == 6));
}

#[test]
fn slots_in_use_by_peers_are_left_to_them() {
    let alone = run_until_one_waits(&mut Fixture::new(12, 6));
    let shared = run_until_one_waits(&mut with_two_peers());
    assert!(shared >= 24, "{shared} with peers is less than an even share");
    assert!(shared + 72 <= alone, "{shared} with the peers' 72, {alone} alone");
}

#[test]
fn requests_that_may_not_wait_are_limited_to_the_slots_that_peers_leave() {
    let alone = run_until_full(&mut Fixture::new(12, 6), Duration::ZERO);
    let shared = run_until_full(&mut with_two_peers(), Duration::ZERO);
    assert!((24..=72).contains(&shared) && shared < alone, "{shared} with peers, {alone} alone");
    assert_eq!(alone, 72);
}

#[test]
fn the_load_of_reporting_peers_is_extrapolated_to_all_peers() {
    let started = |live_peers| {
        let mut fixture = with_two_peers();
        fixture.table.set_live_peers(live_peers);
        run_until_full(&mut fixture, Duration::ZERO)
    };
    let (two, eight) = (started(2), started(8));
    assert!(eight < two, "{eight} with eight peers of which two report, {two} with only those two");
    assert!(eight >= 8, "{eight} is less than an even share");
}

/// Creates a table with two peers that have 36 requests each in flight.
fn with_two_peers() -> Fixture {
    let mut fixture = Fixture::new(12, 6);
    for peer in ["entry-2", "entry-3"] {
        (0..12).for_each(|i| fixture.import(peer, &format!("u{i}"), 3, false));
    }
    // Peers' reports are averaged with the mean peer load, which these probes raise to their level.
    for i in 0..12 {
        let id = fixture.table.rows()[i].id;
        let report = AttemptReport {
            outcome: UpstreamOutcome::Answered,
            latency: MS,
            load: Some(6),
            draining: false,
        };
        fixture.table.finish_probe(id, &report, fixture.now);
    }
    fixture
}

fn run_until_one_waits(fixture: &mut Fixture) -> usize {
    run_until_full(fixture, MS * 100)
}

/// Admits requests that may wait for `wait` until one doesn't run. Returns how many ran.
fn run_until_full(fixture: &mut Fixture, wait: Duration) -> usize {
    let run = |fixture: &mut Fixture| {
        fixture.advance(MS / 100);
        matches!(fixture.admit(Priority::Normal, MS * 1_000, wait), Admission::Run(_))
    };
    (0..1_000).take_while(|_| run(fixture)).count()
}

#[test]
fn in_overload_urgent_requests_run_and_deferrable_ones_wait() {
    let mut fixture = Fixture::new(2, 6);
    fixture.count_sent_to(100, "", UpstreamOutcome::Answered);
    for _ in 0..10 {
        fixture.start();
    }
    let admit = |fixture: &mut Fixture, p| fixture.admit(p, MS * 1_000, MS * 100);
    let deferrable = admit(&mut fixture, Priority::Deferrable);
    assert!(matches!(deferrable, Admission::Wait(_)), "{deferrable:?}");
    let urgent = admit(&mut fixture, Priority::Urgent);
    assert!(matches!(urgent, Admission::Run(_)), "{urgent:?}");
    fixture.advance(MS * 100);
    let released = fixture.table.release(fixture.now, &mut fixture.rng);
    assert_eq!(refusal(released[0].1.clone()).code, Code::WaitedTooLong);
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut fixture = Fixture::new(2, 6);
    fixture.count_sent_to(100, "", UpstreamOutcome::Answered);
    let admission = fixture.admit(Priority::Urgent, MS * 3, MS * 3);
    assert_eq!(refusal(admission).code, Code::DeadlineTooClose);
    run_until_one_waits(&mut fixture);
    let admit =
        |fixture: &mut Fixture, deadline| fixture.admit(Priority::Normal, deadline, deadline);
    while !matches!(admit(&mut fixture, MS * 1_000), Admission::Refuse(_))
        && fixture.table.waiting() < 200
    {}
    let refused = refusal(admit(&mut fixture, MS * 20));
    assert_eq!(refused.code, Code::DeadlineTooClose);
    assert!(refused.retry_after >= MS * 50, "{:?}", refused.retry_after);
}

#[test]
fn a_hedge_goes_to_a_busy_upstream_if_the_hedged_one_costs_far_more() {
    let mut fixture = Fixture::new(2, 1);
    fixture.count_sent_to(100, "", UpstreamOutcome::Answered);
    let hedged = fixture.start();
    fixture.advance(MS * 200);
    let other = fixture.start();
    assert_ne!(other.id, hedged.id);
    let hedge =
        fixture.table.next_attempt(NextAttempt::Hedge, &[hedged.id], fixture.now, &mut fixture.rng);
    assert_eq!(hedge.map(|h| h.id), Some(other.id));
}

#[test]
fn a_hedge_needs_a_free_slot_unless_the_hedged_upstream_costs_far_more() {
    let mut fixture = Fixture::new(2, 1);
    fixture.count_sent_to(100, "", UpstreamOutcome::Answered);
    let hedged = fixture.start();
    let hedge =
        fixture.table.next_attempt(NextAttempt::Hedge, &[hedged.id], fixture.now, &mut fixture.rng);
    let hedge = hedge.expect("the other upstream has a free slot");
    assert!(
        fixture
            .table
            .next_attempt(NextAttempt::Hedge, &[hedged.id], fixture.now, &mut fixture.rng)
            .is_none()
    );
    assert_ne!(hedge.id, hedged.id);
    assert!(fixture.table.hedge_delay(hedged.id, fixture.now).is_some());
}
