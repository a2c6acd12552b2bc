//! Recorded loads against the placing of requests at upstreams that tell their occupancy: who runs
//! where, who waits, and who is refused. Each test names the load that it replays.

use std::sync::Arc;
use std::time::Duration;

use cornelferry::Time;
use cornelferry::admission::{Admission, Request, Target, Ticket};
use cornelferry::balancing::Policy;
use cornelferry::config::{LoadFormat, Priority, ProbeConfig, Service, Upstream};
use cornelferry::error::Code;
use cornelferry::kinds::LatencyGoal;
use cornelferry::service::{HostInfo, NextAttempt, ServiceTable};
use cornelferry::upstream::{AttemptReport, Occupancy, UpstreamId, UpstreamOutcome};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const FREE: Occupancy = Occupancy { running: 0, waiting: 0, slots: 3, slowdown: 1.0 };
const FULL: Occupancy = Occupancy { running: 3, waiting: 2, slots: 3, slowdown: 1.0 };
const SLOW: Occupancy = Occupancy { running: 0, waiting: 0, slots: 3, slowdown: 7.0 };

struct Bench {
    table: ServiceTable,
    rng: SmallRng,
    now: Time,
}

impl Bench {
    /// Makes a table of `near` upstreams in the host's data centre and `far` in another.
    fn new(near: u16, far: u16) -> Bench {
        let upstream = |i: u16| Upstream {
            name: format!("u{i}").into(),
            address: format!("127.0.0.1:{}", 9_000 + i).parse().expect("address"),
            data_centre: if i < near { "a".into() } else { "b".into() },
        };
        let service = Service {
            name: "s".into(),
            upstreams: (0..near + far).map(upstream).collect(),
            slots: 3,
            load_format: LoadFormat::Occupancy,
            probe_before_send: true,
            retry_share: 0.2,
            retry_slack: 62.0,
            measure: ProbeConfig {
                probes_per_second: 0.0,
                probes_per_upstream: 60.0,
                path: "/health".to_owned(),
                ..ProbeConfig::default()
            },
            ..Service::default()
        };
        let facts = HostInfo {
            host: "entry-1".into(),
            data_centre: "a".into(),
            fleet_size_max: 1,
            policy: Policy::default(),
            waiting_max: 1_000,
        };
        let now = Time::from_millis(10_000);
        let table = ServiceTable::new(Arc::new(service), facts, now);
        Bench { table, rng: SmallRng::seed_from_u64(7), now }
    }

    fn told(&mut self, at: u32, occupancy: Occupancy) {
        self.table.update_occupancy(UpstreamId::from(at), &occupancy, self.now);
    }

    fn all_told(&mut self, occupancy: Occupancy) {
        for at in 0..self.table.rows().len() as u32 {
            self.told(at, occupancy);
        }
    }

    /// Makes a request whose answer has its full value within 300 ms, and none after 1,500 ms.
    fn request(&self, kind: u64, priority: Priority) -> Request {
        let (objective, left) = (ms(300), ms(1_500));
        let mut req = Request::new(priority, self.now + left, self.now + left);
        req.latency_goal =
            Some(LatencyGoal { kind, objective, arrived: self.now, time_left: left });
        req
    }

    fn admit(&mut self, req: &Request) -> Admission {
        self.table.admit(req, self.now, &mut self.rng)
    }

    fn waits(&mut self, req: &Request) -> Ticket {
        match self.admit(req) {
            Admission::Wait(ticket) => ticket,
            other => panic!("{other:?} instead of a wait"),
        }
    }

    fn runs(&mut self, req: &Request) -> Target {
        match self.admit(req) {
            Admission::Run(target) => target,
            other => panic!("{other:?} instead of a start"),
        }
    }

    fn advance(&mut self, by: Duration) -> Vec<(Ticket, Admission)> {
        self.now = self.now + by;
        self.table.release(self.now, &mut self.rng)
    }

    /// Has a probe of each upstream bring a report.
    fn probed(&mut self, occupancy: Occupancy) {
        for at in 0..self.table.rows().len() as u32 {
            self.told(at, occupancy);
            let (ended, latency) = (UpstreamOutcome::Answered, ms(1));
            let report = AttemptReport { outcome: ended, latency, load: None, draining: false };
            self.table.finish_probe(UpstreamId::from(at), &report, self.now);
        }
    }

    fn answered(&mut self, id: UpstreamId, latency: Duration) {
        let report = AttemptReport {
            outcome: UpstreamOutcome::Answered,
            latency,
            load: None,
            draining: false,
        };
        self.table.finish_attempt(id, &report, self.now);
    }
}

#[test]
fn a_request_goes_to_the_upstream_that_is_not_slow_at_present() {
    let mut bench = Bench::new(4, 0);
    bench.all_told(SLOW);
    bench.told(2, FREE);
    for _ in 0..2 {
        let req = bench.request(1, Priority::Normal);
        assert_eq!(&*bench.runs(&req).name, "u2");
    }
}

#[test]
fn an_upstream_of_the_own_data_centre_goes_first_where_it_serves_as_well() {
    let mut bench = Bench::new(1, 3);
    bench.all_told(FREE);
    let req = bench.request(1, Priority::Normal);
    assert_eq!(&*bench.runs(&req).name, "u0");
    bench.told(0, SLOW);
    assert_ne!(&*bench.runs(&req).name, "u0");
}

/// The load of a burst at 1.7 times the slots: without a report nothing is sent where others queue.
#[test]
fn in_overload_nothing_is_sent_on_an_old_report() {
    let mut bench = Bench::new(4, 0);
    bench.all_told(FREE);
    bench.now = bench.now + ms(400);
    bench.told(0, FULL);
    let req = bench.request(1, Priority::Urgent);
    let ticket = bench.waits(&req);
    assert!(bench.advance(ms(20)).is_empty());
    bench.told(3, FREE);
    let released = bench.advance(ms(5));
    assert!(matches!(&released[..], [(t, Admission::Run(target))]
        if *t == ticket && &*target.name == "u3"));
}

#[test]
fn while_no_upstream_reports_requests_are_sent_all_the_same() {
    let mut bench = Bench::new(4, 0);
    let req = bench.request(1, Priority::Normal);
    let ticket = bench.waits(&req);
    assert!(bench.advance(ms(10)).is_empty());
    let released = bench.advance(ms(20));
    assert!(matches!(&released[..], [(t, Admission::Run(_))] if *t == ticket));
}

#[test]
fn of_those_that_wait_the_most_urgent_that_can_still_be_in_time_goes_first() {
    let mut bench = Bench::new(2, 0);
    bench.all_told(FULL);
    let low = bench.request(1, Priority::Deferrable);
    let high = bench.request(2, Priority::Urgent);
    let (_, urgent) = (bench.waits(&low), bench.waits(&high));
    bench.now = bench.now + ms(20);
    bench.told(0, Occupancy { running: 2, waiting: 0, ..FREE });
    let released = bench.advance(ms(0));
    assert!(matches!(&released[..], [(t, Admission::Run(_))] if *t == urgent));
}

#[test]
fn a_request_that_can_no_longer_be_in_time_is_refused_at_once_while_others_need_the_slots() {
    let mut bench = Bench::new(2, 0);
    bench.all_told(FULL);
    let first = bench.request(1, Priority::Normal);
    let late = bench.waits(&first);
    bench.now = bench.now + ms(170);
    bench.all_told(FULL);
    // No slot was given out yet, so that no wait is foreseen for the second one.
    let second = bench.request(2, Priority::Urgent);
    bench.waits(&second);
    let released = bench.advance(ms(20));
    let refused = released.iter().find(|(t, _)| *t == late);
    assert!(matches!(refused, Some((_, Admission::Refuse(r))) if r.code == Code::Overloaded));
}

#[test]
fn a_late_request_is_still_served_when_nothing_else_needs_the_slot() {
    let mut bench = Bench::new(2, 0);
    bench.all_told(FULL);
    let req = bench.request(1, Priority::Normal);
    let ticket = bench.waits(&req);
    bench.now = bench.now + ms(400);
    bench.all_told(FULL);
    assert!(bench.advance(ms(0)).is_empty(), "nothing else waits, so that it is not refused");
    bench.told(1, FREE);
    let released = bench.advance(ms(1));
    assert!(matches!(&released[..], [(t, Admission::Run(_))] if *t == ticket));
}

#[test]
fn a_request_without_time_for_its_work_is_refused_at_once() {
    let mut bench = Bench::new(2, 0);
    bench.all_told(FREE);
    let req = bench.request(1, Priority::Urgent);
    let mut short = req;
    short.deadline = bench.now + ms(5);
    assert!(
        matches!(bench.admit(&short), Admission::Refuse(r) if r.code == Code::DeadlineTooClose)
    );
}

/// Callers that come back have less time left than at first: their objective runs since then.
#[test]
fn the_objective_of_a_caller_that_comes_back_runs_from_its_first_try() {
    let mut bench = Bench::new(2, 0);
    bench.all_told(FREE);
    let first = bench.request(1, Priority::Normal);
    bench.runs(&first);
    bench.all_told(SLOW);
    let aim = first.latency_goal.expect("aim");
    let mut back = first;
    back.latency_goal = Some(LatencyGoal { time_left: ms(1_200), ..aim });
    // 300 ms have passed, so that it is late already and even a slow upstream will do.
    assert!(matches!(bench.admit(&back), Admission::Run(_)));
}

#[test]
fn no_hedge_is_sent_while_requests_wait_nor_to_a_slow_upstream() {
    let mut bench = Bench::new(3, 0);
    bench.all_told(FREE);
    let req = bench.request(1, Priority::Normal);
    let sent = bench.runs(&req).id;
    bench.now = bench.now + ms(60);
    bench.all_told(SLOW);
    let hedge = |bench: &mut Bench| {
        let (now, rng) = (bench.now, &mut bench.rng);
        bench.table.next_attempt_for(&req, NextAttempt::Hedge, &[sent], now, rng)
    };
    assert!(hedge(&mut bench).is_none(), "all others are slow");
    bench.all_told(FULL);
    let other = bench.request(2, Priority::Urgent);
    bench.waits(&other);
    bench.told(1, FREE);
    bench.told(2, FREE);
    assert!(hedge(&mut bench).is_none(), "a request waits");
    bench.advance(ms(0));
    assert!(hedge(&mut bench).is_some());
}

/// Upstreams that turn 1.7 times slower when their last slot is used answer more with two requests
/// at a time than with three.
#[test]
fn the_last_slot_is_left_free_where_it_slows_the_others() {
    let mut bench = Bench::new(1, 0);
    let two = Occupancy { running: 2, waiting: 0, ..FREE };
    for _ in 0..60 {
        for (load, took) in [(1, 120), (2, 204)] {
            bench.now = bench.now + ms(500);
            bench.told(0, Occupancy { running: load, waiting: 0, ..FREE });
            let req = bench.request(1, Priority::Normal);
            let Admission::Run(target) = bench.admit(&req) else { continue };
            bench.now = bench.now + ms(took);
            bench.told(0, Occupancy { running: load + 1, waiting: 0, ..FREE });
            bench.answered(target.id, ms(took));
        }
    }
    bench.now = bench.now + ms(500);
    bench.told(0, two);
    let req = bench.request(1, Priority::Normal);
    bench.waits(&req);
}

#[test]
fn retries_of_a_window_stay_within_the_share_and_this_hosts_part_of_the_slack() {
    let mut bench = Bench::new(8, 0);
    bench.table.set_fleet_size(20);
    bench.all_told(FREE);
    let (mut requests, mut retries) = (0_u32, 0_u32);
    for _ in 0..200 {
        bench.now = bench.now + ms(40);
        bench.all_told(FREE);
        let req = bench.request(1, Priority::Normal);
        requests += 1;
        let id = bench.runs(&req).id;
        bench.answered(id, ms(30));
        while let Some(target) = {
            let (now, rng) = (bench.now, &mut bench.rng);
            bench.table.next_attempt_for(&req, NextAttempt::Retry, &[], now, rng)
        } {
            retries += 1;
            bench.answered(target.id, ms(1));
        }
        let bound = f64::from(requests) * 0.2 + 62.0 / 20.0;
        assert!(f64::from(retries) <= bound, "{retries} retries for {requests} requests");
    }
    assert!(f64::from(retries) > f64::from(requests) * 0.19);
}

#[test]
fn probes_ask_those_of_which_little_is_known_and_keep_to_the_budget() {
    let mut bench = Bench::new(4, 0);
    bench.table.set_fleet_size(10);
    let mut sent = 0;
    for _ in 0..1_000 {
        bench.now = bench.now + ms(2);
        sent += bench.table.probe_candidates(bench.now, &mut bench.rng).len();
    }
    // 60 a second for each of four upstreams, shared by ten hosts, over two seconds.
    assert!((40..=60).contains(&sent), "{sent} probes");
    bench.all_told(FREE);
    assert!(bench.table.probe_candidates(bench.now, &mut bench.rng).is_empty(), "all is known");
}

/// Without it a retry found no place while the only other upstream had just started.
#[test]
fn where_only_ejected_or_starting_upstreams_are_left_these_are_used() {
    let mut bench = Bench::new(2, 0);
    bench.all_told(FREE);
    let req = bench.request(1, Priority::Normal);
    for _ in 0..3 {
        bench.all_told(FREE);
        let id = bench.runs(&req).id;
        let report = AttemptReport {
            outcome: UpstreamOutcome::Lost,
            latency: ms(1),
            load: None,
            draining: false,
        };
        bench.table.finish_attempt(id, &report, bench.now);
    }
    for _ in 0..8 {
        let tried = [UpstreamId::from(0)];
        let (now, rng) = (bench.now, &mut bench.rng);
        let target = bench.table.next_attempt_for(&req, NextAttempt::Retry, &tried, now, rng);
        let target = target.expect("a place at the other upstream");
        let report = AttemptReport {
            outcome: UpstreamOutcome::Lost,
            latency: ms(1),
            load: None,
            draining: false,
        };
        bench.table.finish_attempt(target.id, &report, bench.now);
    }
}

/// A load at which nearly every upstream is full or slow: three at a time rarely held a free one, so
/// requests waited for the next probes while others were free.
#[test]
fn more_upstreams_are_asked_when_few_have_a_free_slot_at_usual_speed() {
    let asked = |occupancy: Occupancy| {
        let mut bench = Bench::new(20, 0);
        for _ in 0..10 {
            bench.now = bench.now + ms(500);
            bench.probed(occupancy);
        }
        bench.now = bench.now + ms(500);
        bench.table.probe_candidates(bench.now, &mut bench.rng).len()
    };
    assert_eq!((asked(FREE), asked(FULL), asked(SLOW)), (3, 6, 6));
}

/// A load under which upstreams are slow for half of the time: an old report of a fast one was
/// believed more than it was worth, as the mean slowdown was taken for 2.
#[test]
fn an_old_report_is_worth_the_mean_over_what_probes_found() {
    let mut bench = Bench::new(2, 0);
    for _ in 0..60 {
        bench.now = bench.now + ms(500);
        bench.probed(SLOW);
    }
    bench.told(0, FREE);
    bench.now = bench.now + ms(45);
    let req = bench.request(1, Priority::Normal);
    let choice = bench.runs(&req).estimate.expect("a choice");
    assert!(choice.slowdown > 1.4, "{}", choice.slowdown);
}

/// On a fleet of 122 hosts an upstream was probed by whichever host the fleet's hash chose, also from
/// another data centre, though the report was of use to that host alone.
#[test]
fn a_host_keeps_informed_of_a_few_upstreams_of_its_own_data_centre() {
    let mut bench = Bench::new(10, 30);
    let mut asked = Vec::new();
    for _ in 0..400 {
        bench.now = bench.now + ms(50);
        let req = bench.request(1, Priority::Normal);
        bench.admit(&req);
        asked.extend(bench.table.probes(bench.now, |_| true).into_iter().map(|t| t.id));
    }
    let in_time = asked.len();
    asked.sort();
    asked.dedup();
    assert!(asked.iter().all(|id| *id < UpstreamId::from(10)), "{asked:?}");
    assert_eq!(asked.len(), 2);
    // Each four times a second, for 20 s.
    assert!((100..=160).contains(&in_time), "{in_time} probes");
}
