//! Placement of requests on upstreams that report their occupancy, under loads that were recorded.
//! Each test that replays such a load names it.

use std::net::SocketAddr;
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
use cornelferry::working_set::WorkingSet;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const FREE: Occupancy = Occupancy { running: 0, waiting: 0, slots: 3, slowdown: 1.0 };
const FULL: Occupancy = Occupancy { running: 3, waiting: 2, slots: 3, slowdown: 1.0 };
const SLOW: Occupancy = Occupancy { running: 0, waiting: 0, slots: 3, slowdown: 7.0 };

struct Fixture {
    table: ServiceTable,
    rng: SmallRng,
    now: Time,
}

impl Fixture {
    /// Creates a table of `local` upstreams in the host's data centre and `remote` in another.
    fn new(local: u16, remote: u16) -> Fixture {
        let upstream = |i: u16| Upstream {
            name: format!("u{i}").into(),
            address: format!("127.0.0.1:{}", 9_000 + i).parse().expect("address"),
            data_centre: if i < local { "a".into() } else { "b".into() },
        };
        let service = Service {
            name: "s".into(),
            upstreams: (0..local + remote).map(upstream).collect(),
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
        let host_info = HostInfo {
            host: "entry-1".into(),
            data_centre: "a".into(),
            fleet_size_max: 1,
            policy: Policy::default(),
            waiting_max: 1_000,
        };
        let now = Time::from_millis(10_000);
        let table = ServiceTable::new(Arc::new(service), host_info, now);
        Fixture { table, rng: SmallRng::seed_from_u64(7), now }
    }

    fn report(&mut self, index: u32, occupancy: Occupancy) {
        self.table.update_occupancy(UpstreamId::from(index), &occupancy, self.now);
    }

    fn report_all(&mut self, occupancy: Occupancy) {
        for index in 0..self.table.rows().len() as u32 {
            self.report(index, occupancy);
        }
    }

    /// Creates a request whose response has its full value within 300 ms, and none after 1,500 ms.
    fn request(&self, kind: u64, priority: Priority) -> Request {
        let (objective, time_left) = (ms(300), ms(1_500));
        let mut req = Request::new(priority, self.now + time_left, self.now + time_left);
        req.latency_goal = Some(LatencyGoal { kind, objective, arrived: self.now, time_left });
        req
    }

    fn admit(&mut self, req: &Request) -> Admission {
        self.table.admit(req, self.now, &mut self.rng)
    }

    fn admit_waiting(&mut self, req: &Request) -> Ticket {
        match self.admit(req) {
            Admission::Wait(ticket) => ticket,
            other => panic!("{other:?} instead of Wait"),
        }
    }

    fn admit_running(&mut self, req: &Request) -> Target {
        match self.admit(req) {
            Admission::Run(target) => target,
            other => panic!("{other:?} instead of Run"),
        }
    }

    /// Advances the time and decides on the queued requests.
    fn advance(&mut self, by: Duration) -> Vec<(Ticket, Admission)> {
        self.now = self.now + by;
        self.table.release(self.now, &mut self.rng)
    }

    /// Records a probe of each upstream that returned `occupancy`.
    fn probe_all(&mut self, occupancy: Occupancy) {
        for index in 0..self.table.rows().len() as u32 {
            self.report(index, occupancy);
            let (outcome, latency) = (UpstreamOutcome::Answered, ms(1));
            let report = AttemptReport { outcome, latency, load: None, draining: false };
            self.table.finish_probe(UpstreamId::from(index), &report, self.now);
        }
    }

    fn respond(&mut self, id: UpstreamId, latency: Duration) {
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
fn a_request_goes_to_the_upstream_that_is_not_slow() {
    let mut fixture = Fixture::new(4, 0);
    fixture.report_all(SLOW);
    fixture.report(2, FREE);
    for _ in 0..2 {
        let req = fixture.request(1, Priority::Normal);
        assert_eq!(&*fixture.admit_running(&req).name, "u2");
    }
}

#[test]
fn an_upstream_in_the_hosts_data_centre_is_preferred_unless_it_is_slow() {
    let mut fixture = Fixture::new(1, 3);
    fixture.report_all(FREE);
    let req = fixture.request(1, Priority::Normal);
    assert_eq!(&*fixture.admit_running(&req).name, "u0");
    fixture.report(0, SLOW);
    assert_ne!(&*fixture.admit_running(&req).name, "u0");
}

/// In a burst of 1.7 times the slots, requests sent without a fresh report would queue at upstreams
/// that are already full.
#[test]
fn in_overload_no_request_is_sent_on_an_old_report() {
    let mut fixture = Fixture::new(4, 0);
    fixture.report_all(FREE);
    fixture.now = fixture.now + ms(400);
    fixture.report(0, FULL);
    let req = fixture.request(1, Priority::Urgent);
    let ticket = fixture.admit_waiting(&req);
    assert!(fixture.advance(ms(20)).is_empty());
    fixture.report(3, FREE);
    let released = fixture.advance(ms(5));
    assert!(matches!(&released[..], [(t, Admission::Run(target))]
        if *t == ticket && &*target.name == "u3"));
}

#[test]
fn requests_are_sent_without_reports_if_no_upstream_reports() {
    let mut fixture = Fixture::new(4, 0);
    let req = fixture.request(1, Priority::Normal);
    let ticket = fixture.admit_waiting(&req);
    assert!(fixture.advance(ms(10)).is_empty());
    let released = fixture.advance(ms(20));
    assert!(matches!(&released[..], [(t, Admission::Run(_))] if *t == ticket));
}

#[test]
fn the_most_urgent_queued_request_that_can_meet_its_objective_goes_first() {
    let mut fixture = Fixture::new(2, 0);
    fixture.report_all(FULL);
    let deferrable_req = fixture.request(1, Priority::Deferrable);
    let urgent_req = fixture.request(2, Priority::Urgent);
    let (_, urgent) = (fixture.admit_waiting(&deferrable_req), fixture.admit_waiting(&urgent_req));
    fixture.now = fixture.now + ms(20);
    fixture.report(0, Occupancy { running: 2, waiting: 0, ..FREE });
    let released = fixture.advance(ms(0));
    assert!(matches!(&released[..], [(t, Admission::Run(_))] if *t == urgent));
}

#[test]
fn a_request_that_cannot_meet_its_objective_is_refused_while_others_need_the_slots() {
    let mut fixture = Fixture::new(2, 0);
    fixture.report_all(FULL);
    let first = fixture.request(1, Priority::Normal);
    let first_ticket = fixture.admit_waiting(&first);
    fixture.now = fixture.now + ms(170);
    fixture.report_all(FULL);
    // The queued request is less urgent, so no wait is expected for the second one.
    let second = fixture.request(2, Priority::Urgent);
    fixture.admit_waiting(&second);
    let released = fixture.advance(ms(20));
    let refused = released.iter().find(|(t, _)| *t == first_ticket);
    assert!(matches!(refused, Some((_, Admission::Refuse(r))) if r.code == Code::Overloaded));
}

#[test]
fn a_request_that_missed_its_objective_runs_if_no_other_needs_the_slot() {
    let mut fixture = Fixture::new(2, 0);
    fixture.report_all(FULL);
    let req = fixture.request(1, Priority::Normal);
    let ticket = fixture.admit_waiting(&req);
    fixture.now = fixture.now + ms(400);
    fixture.report_all(FULL);
    assert!(fixture.advance(ms(0)).is_empty(), "not refused, as no other request is queued");
    fixture.report(1, FREE);
    let released = fixture.advance(ms(1));
    assert!(matches!(&released[..], [(t, Admission::Run(_))] if *t == ticket));
}

#[test]
fn a_request_without_time_for_its_work_is_refused_at_once() {
    let mut fixture = Fixture::new(2, 0);
    fixture.report_all(FREE);
    let req = fixture.request(1, Priority::Urgent);
    let mut short = req;
    short.deadline = fixture.now + ms(5);
    assert!(
        matches!(fixture.admit(&short), Admission::Refuse(r) if r.code == Code::DeadlineTooClose)
    );
}

/// A caller that retries has less time left than at first. Its objective counts from the first try.
#[test]
fn the_objective_of_a_caller_that_retries_counts_from_its_first_try() {
    let mut fixture = Fixture::new(2, 0);
    fixture.report_all(FREE);
    let first = fixture.request(1, Priority::Normal);
    fixture.admit_running(&first);
    fixture.report_all(SLOW);
    let goal = first.latency_goal.expect("a latency goal");
    let mut retry = first;
    retry.latency_goal = Some(LatencyGoal { time_left: ms(1_200), ..goal });
    // 300 ms have passed, so that the objective is missed already and a slow upstream is accepted.
    assert!(matches!(fixture.admit(&retry), Admission::Run(_)));
}

#[test]
fn no_hedge_is_sent_to_a_slow_upstream_or_while_requests_wait() {
    let mut fixture = Fixture::new(3, 0);
    fixture.report_all(FREE);
    let req = fixture.request(1, Priority::Normal);
    let sent = fixture.admit_running(&req).id;
    fixture.now = fixture.now + ms(60);
    fixture.report_all(SLOW);
    let hedge = |fixture: &mut Fixture| {
        let (now, rng) = (fixture.now, &mut fixture.rng);
        fixture.table.next_attempt_for(&req, NextAttempt::Hedge, &[sent], now, rng)
    };
    assert!(hedge(&mut fixture).is_none(), "all others are slow");
    fixture.report_all(FULL);
    let other = fixture.request(2, Priority::Urgent);
    fixture.admit_waiting(&other);
    fixture.report(1, FREE);
    fixture.report(2, FREE);
    assert!(hedge(&mut fixture).is_none(), "a request is queued");
    fixture.advance(ms(0));
    assert!(hedge(&mut fixture).is_some());
}

/// Upstreams that get 1.7 times slower when their last slot is used respond to more requests with
/// two at a time than with three.
#[test]
fn the_last_slot_is_left_free_where_it_slows_the_upstream() {
    let mut fixture = Fixture::new(1, 0);
    let two_running = Occupancy { running: 2, waiting: 0, ..FREE };
    for _ in 0..60 {
        for (load, took) in [(1, 120), (2, 204)] {
            fixture.now = fixture.now + ms(500);
            fixture.report(0, Occupancy { running: load, waiting: 0, ..FREE });
            let req = fixture.request(1, Priority::Normal);
            let Admission::Run(target) = fixture.admit(&req) else { continue };
            fixture.now = fixture.now + ms(took);
            fixture.report(0, Occupancy { running: load + 1, waiting: 0, ..FREE });
            fixture.respond(target.id, ms(took));
        }
    }
    fixture.now = fixture.now + ms(500);
    fixture.report(0, two_running);
    let req = fixture.request(1, Priority::Normal);
    fixture.admit_waiting(&req);
}

#[test]
fn retries_stay_within_the_share_and_this_hosts_part_of_the_slack() {
    let mut fixture = Fixture::new(8, 0);
    fixture.table.set_fleet_size(20);
    fixture.report_all(FREE);
    let (mut requests, mut retries) = (0_u32, 0_u32);
    let mut early = (0, 0);
    for i in 0..700 {
        // A host that started less than two windows ago has not yet its full share.
        if i == 500 {
            early = (requests, retries);
        }
        fixture.now = fixture.now + ms(40);
        fixture.report_all(FREE);
        let req = fixture.request(1, Priority::Normal);
        requests += 1;
        let id = fixture.admit_running(&req).id;
        fixture.respond(id, ms(30));
        while let Some(target) = {
            let (now, rng) = (fixture.now, &mut fixture.rng);
            fixture.table.next_attempt_for(&req, NextAttempt::Retry, &[], now, rng)
        } {
            retries += 1;
            fixture.respond(target.id, ms(1));
        }
        let bound = f64::from(requests) * 0.2 + 62.0 / 20.0;
        assert!(f64::from(retries) <= bound, "{retries} retries for {requests} requests");
    }
    let (requests, retries) = (requests - early.0, retries - early.1);
    assert!(f64::from(retries) > f64::from(requests) * 0.19);
}

#[test]
fn upstreams_without_fresh_reports_are_probed_within_the_budget() {
    let mut fixture = Fixture::new(4, 0);
    fixture.table.set_fleet_size(10);
    let mut sent = 0;
    for _ in 0..1_000 {
        fixture.now = fixture.now + ms(2);
        sent += fixture.table.probe_candidates(fixture.now, &mut fixture.rng).len();
    }
    // 60 probes a second for each of four upstreams, shared by ten hosts, over two seconds.
    assert!((40..=60).contains(&sent), "{sent} probes");
    fixture.report_all(FREE);
    assert!(
        fixture.table.probe_candidates(fixture.now, &mut fixture.rng).is_empty(),
        "all reports are fresh"
    );
}

/// Guards against a retry that found no upstream because the only other one had just started.
#[test]
fn ejected_or_starting_upstreams_are_used_if_no_others_are_left() {
    let mut fixture = Fixture::new(2, 0);
    fixture.report_all(FREE);
    let req = fixture.request(1, Priority::Normal);
    for _ in 0..3 {
        fixture.report_all(FREE);
        let id = fixture.admit_running(&req).id;
        let report = AttemptReport {
            outcome: UpstreamOutcome::Lost,
            latency: ms(1),
            load: None,
            draining: false,
        };
        fixture.table.finish_attempt(id, &report, fixture.now);
    }
    for _ in 0..8 {
        let tried = [UpstreamId::from(0)];
        let (now, rng) = (fixture.now, &mut fixture.rng);
        let target = fixture.table.next_attempt_for(&req, NextAttempt::Retry, &tried, now, rng);
        let target = target.expect("an attempt at the other upstream");
        let report = AttemptReport {
            outcome: UpstreamOutcome::Lost,
            latency: ms(1),
            load: None,
            draining: false,
        };
        fixture.table.finish_attempt(target.id, &report, fixture.now);
    }
}

/// Guards against too few probes when nearly every upstream is full or slow: three at a time rarely
/// found a free one, so requests waited for the next probes while other upstreams were free.
#[test]
fn more_upstreams_are_probed_when_few_have_a_free_slot_at_nominal_speed() {
    let probed = |occupancy: Occupancy| {
        let mut fixture = Fixture::new(20, 0);
        for _ in 0..10 {
            fixture.now = fixture.now + ms(500);
            fixture.probe_all(occupancy);
        }
        fixture.now = fixture.now + ms(500);
        fixture.table.probe_candidates(fixture.now, &mut fixture.rng).len()
    };
    assert_eq!((probed(FREE), probed(FULL), probed(SLOW)), (3, 6, 6));
}

/// Guards against too much trust in old reports of fast upstreams. Upstreams were slow for half of
/// the time, and the mean slowdown that an old report decays to was fixed at 2.
#[test]
fn an_old_report_decays_to_the_mean_over_the_probes() {
    let mut fixture = Fixture::new(2, 0);
    for _ in 0..60 {
        fixture.now = fixture.now + ms(500);
        fixture.probe_all(SLOW);
    }
    fixture.report(0, FREE);
    fixture.now = fixture.now + ms(45);
    let req = fixture.request(1, Priority::Normal);
    let estimate = fixture.admit_running(&req).estimate.expect("an estimate");
    assert!(estimate.slowdown > 1.4, "{}", estimate.slowdown);
}

/// Guards against probes whose reports are of no use. In a fleet of 122 hosts, an upstream was
/// probed by the host that the fleet's hash chose, even from another data centre, while the report
/// serves only the host that requested it.
#[test]
fn a_host_probes_a_few_upstreams_of_its_own_data_centre() {
    let mut fixture = Fixture::new(10, 30);
    let mut probed = Vec::new();
    for _ in 0..400 {
        fixture.now = fixture.now + ms(50);
        let req = fixture.request(1, Priority::Normal);
        fixture.admit(&req);
        probed.extend(fixture.table.probes(fixture.now, |_| true).into_iter().map(|t| t.id));
    }
    let probe_count = probed.len();
    probed.sort();
    probed.dedup();
    assert!(probed.iter().all(|id| *id < UpstreamId::from(10)), "{probed:?}");
    assert_eq!(probed.len(), 2);
    // Each upstream four times a second, for 20 s.
    assert!((100..=160).contains(&probe_count), "{probe_count} probes");
}

/// An upstream that answers 503 with `Retry-After` wants nothing from this host for that time.
#[test]
fn an_upstream_that_asked_for_a_pause_gets_neither_requests_nor_probes_until_its_end() {
    let mut fixture = Fixture::new(2, 0);
    let paused = UpstreamId::from(0);
    fixture.table.pause(paused, ms(2_000), fixture.now);
    fixture.table.pause(paused, ms(10), fixture.now);
    let end = fixture.now + ms(2_000);
    let (mut during, mut after) = (0, 0);
    while fixture.now < end + ms(1_000) {
        fixture.now = fixture.now + ms(20);
        let probes = fixture.table.probe_candidates(fixture.now, &mut fixture.rng);
        let probes = [probes, fixture.table.probes(fixture.now, |_| true)].concat();
        fixture.report_all(FREE);
        let req = fixture.request(1, Priority::Normal);
        let id = fixture.admit_running(&req).id;
        fixture.respond(id, ms(30));
        let sent = probes.iter().filter(|t| t.id == paused).count() + usize::from(id == paused);
        match fixture.now < end {
            true => during += sent,
            false => after += sent,
        }
    }
    assert_eq!(during, 0);
    assert!(after > 0, "the upstream is used again");
}

/// Guards against requests that wait until their deadline while every upstream has asked for a
/// pause. They are refused at once, with the end of the first pause.
#[test]
fn while_every_upstream_pauses_requests_are_refused_at_once_with_the_end_of_the_first_pause() {
    let mut fixture = Fixture::new(2, 0);
    fixture.report_all(FREE);
    for (index, pause) in [(0, 4_000), (1, 3_000)] {
        fixture.table.pause(UpstreamId::from(index), ms(pause), fixture.now);
    }
    let req = fixture.request(1, Priority::Normal);
    match fixture.admit(&req) {
        Admission::Refuse(refusal) => {
            assert!(refusal.retry_after >= ms(3_000), "{:?}", refusal.retry_after);
            assert!(refusal.retry_after <= ms(3_200), "{:?}", refusal.retry_after);
        }
        other => panic!("{other:?}"),
    }
    fixture.now = fixture.now + ms(3_001);
    fixture.report_all(FREE);
    let req = fixture.request(1, Priority::Normal);
    assert_eq!(fixture.admit_running(&req).id, UpstreamId::from(1));
}

/// A process that starts again under the name and address of one that was leaving or had asked for
/// a pause is free again.
#[test]
fn a_new_process_of_an_upstream_takes_over_neither_its_drain_nor_its_pause() {
    let mut fixture = Fixture::new(1, 0);
    fixture.report_all(FREE);
    let req = fixture.request(1, Priority::Normal);
    let id = fixture.admit_running(&req).id;
    let report = AttemptReport {
        outcome: UpstreamOutcome::Answered,
        latency: ms(30),
        load: None,
        draining: true,
    };
    fixture.table.finish_attempt(id, &report, fixture.now);
    fixture.table.pause(id, ms(60_000), fixture.now);
    assert!(!matches!(fixture.admit(&req), Admission::Run(_)));
    fixture.table.restart("u0", fixture.now);
    fixture.now = fixture.now + ms(5_000);
    fixture.report_all(FREE);
    let req = fixture.request(1, Priority::Normal);
    assert_eq!(fixture.admit_running(&req).id, id);
}

/// Load: a large service of which one host uses a small part, a few requests a second.
#[test]
fn upstreams_with_an_open_connection_are_probed_first() {
    let mut fixture = Fixture::new(60, 0);
    fixture.table.set_fleet_size(1);
    fixture.now = fixture.now + ms(1_000);
    fixture.report_all(FREE);
    fixture.now = fixture.now + ms(1_000);
    let connected = addresses(&fixture, 10..20);
    let probed = probed_in(&mut fixture, WorkingSet::new(&connected));
    assert!(!probed.is_empty());
    assert!(probed.iter().all(|a| connected.contains(a)), "{probed:?}");
    let probed = probed_in(&mut fixture, WorkingSet::default());
    assert!(probed.iter().any(|a| !connected.contains(a)), "{probed:?}");
}

/// Load: all upstreams of the working set turn slow at once.
#[test]
fn a_host_looks_beyond_its_working_set_if_that_is_slow() {
    let mut fixture = Fixture::new(60, 0);
    fixture.now = fixture.now + ms(1_000);
    fixture.report_all(FREE);
    (10..20).for_each(|index| fixture.report(index, SLOW));
    fixture.now = fixture.now + ms(100);
    let connected = addresses(&fixture, 10..20);
    let probed = probed_in(&mut fixture, WorkingSet::new(&connected));
    assert!(!probed.is_empty());
    assert!(probed.iter().all(|a| !connected.contains(a)), "{probed:?}");
}

/// Load: a burst that fills the working set, while other upstreams have free slots.
#[test]
fn requests_in_the_queue_look_for_a_slot_beyond_the_working_set() {
    let mut fixture = Fixture::new(60, 0);
    fixture.report_all(FULL);
    let req = fixture.request(1, Priority::Normal);
    fixture.admit_waiting(&req);
    fixture.now = fixture.now + ms(500);
    let connected = addresses(&fixture, 10..20);
    let probed = probed_in(&mut fixture, WorkingSet::new(&connected));
    assert!(probed.iter().any(|a| !connected.contains(a)), "{probed:?}");
}

/// Load: a scale-out while a host has all that it needs in its working set.
#[test]
fn an_upstream_that_joins_is_probed_like_those_of_the_working_set() {
    let mut fixture = Fixture::new(60, 0);
    fixture.table.set_fleet_size(1);
    fixture.report_all(FREE);
    let mut upstreams = fixture.table.cfg().upstreams.clone();
    upstreams.push(Upstream {
        name: "joined".into(),
        address: "127.0.0.1:9900".parse().expect("address"),
        data_centre: "a".into(),
    });
    fixture.table.set_upstreams(&upstreams, fixture.now);
    fixture.now = fixture.now + ms(3_000);
    let connected = addresses(&fixture, 10..20);
    let mut probed = Vec::new();
    for _ in 0..20 {
        probed.extend(probed_in(&mut fixture, WorkingSet::new(&connected)));
    }
    assert!(probed.contains(&"127.0.0.1:9900".parse().expect("address")));
}

#[test]
fn a_service_with_few_upstreams_has_no_working_set() {
    let mut fixture = Fixture::new(12, 0);
    let connected = addresses(&fixture, 0..2);
    let probed = probed_in(&mut fixture, WorkingSet::new(&connected));
    assert!(probed.iter().any(|a| !connected.contains(a)), "{probed:?}");
}

fn addresses(fixture: &Fixture, indices: std::ops::Range<usize>) -> Vec<SocketAddr> {
    fixture.table.rows()[indices].iter().map(|r| r.address).collect()
}

/// Returns the addresses of the upstreams that are probed for some requests.
fn probed_in(fixture: &mut Fixture, working_set: WorkingSet<'_>) -> Vec<SocketAddr> {
    let mut probed = Vec::new();
    for _ in 0..5 {
        fixture.now = fixture.now + ms(60);
        let (now, rng) = (fixture.now, &mut fixture.rng);
        probed.extend(fixture.table.probe_candidates_in(working_set, now, rng));
    }
    probed.iter().map(|t| t.address).collect()
}
