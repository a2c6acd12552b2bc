//! Properties of shedding by cost at one service table: each queued request gets one decision, room
//! is used, and no kind or team starves.

use std::sync::Arc;
use std::time::Duration;

use cornelferry::Time;
use cornelferry::admission::{Admission, Request, TeamId, Ticket};
use cornelferry::balancing::Policy;
use cornelferry::config::{LoadFormat, Priority, Service, Upstream};
use cornelferry::kinds::LatencyGoal;
use cornelferry::service::{HostInfo, ServiceTable};
use cornelferry::shedding::Shedding;
use cornelferry::upstream::{AttemptReport, Occupancy, UpstreamId, UpstreamOutcome};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const UPSTREAMS: u32 = 2;
const SLOTS: u32 = 4;
const PRIORITIES: [Priority; 3] = [Priority::Urgent, Priority::Normal, Priority::Deferrable];

struct Model {
    table: ServiceTable,
    rng: SmallRng,
    now: Time,
    queued: Vec<Ticket>,
    running: Vec<(UpstreamId, Time)>,
}

impl Model {
    fn new(waiting_max: usize) -> Model {
        let upstream = |i: u32| Upstream {
            name: format!("u{i}").into(),
            address: format!("127.0.0.1:{}", 9_000 + i).parse().expect("address"),
            data_centre: "a".into(),
        };
        let service = Service {
            name: "s".into(),
            upstreams: (0..UPSTREAMS).map(upstream).collect(),
            slots: SLOTS,
            load_format: LoadFormat::Occupancy,
            probe_before_send: true,
            ..Service::default()
        };
        let host_info = HostInfo {
            host: "entry-1".into(),
            data_centre: "a".into(),
            fleet_size_max: 1,
            policy: Policy::default(),
            waiting_max,
        };
        let now = Time::from_millis(10_000);
        let mut table = ServiceTable::new(Arc::new(service), host_info, now);
        table.set_shedding(Shedding::LeastCost);
        let rng = SmallRng::seed_from_u64(3);
        Model { table, rng, now, queued: Vec::new(), running: Vec::new() }
    }

    /// Reports the upstreams' occupancy, of which `others` requests each are other hosts'.
    fn report(&mut self, others: u32) {
        for index in 0..UPSTREAMS {
            let id = UpstreamId::from(index);
            let own = self.running.iter().filter(|(i, _)| *i == id).count() as u32;
            let running = (own + others).min(SLOTS);
            let occupancy = Occupancy { running, waiting: 0, slots: SLOTS, slowdown: 1.0 };
            self.table.update_occupancy(id, &occupancy, self.now);
        }
    }

    fn request(&self, kind: usize, team: u64) -> Request {
        let priority = PRIORITIES[kind];
        let objective = Duration::from_millis([250, 400, 2_500][kind]);
        let time_left = Duration::from_millis([1_500, 1_500, 4_000][kind]);
        let mut req = Request::new(priority, self.now + time_left, self.now + time_left);
        req.team = Some(TeamId::of(&team.to_string()));
        let (kind, arrived) = (kind as u64, self.now);
        req.latency_goal = Some(LatencyGoal { kind, objective, arrived, time_left });
        req
    }

    /// Returns whether the request was started, if that is decided.
    fn admit(&mut self, req: &Request) -> Option<bool> {
        let admission = self.table.admit(req, self.now, &mut self.rng);
        match admission {
            Admission::Run(target) => {
                self.running.push((target.id, self.now));
                Some(true)
            }
            Admission::Wait(ticket) => {
                assert!(!self.queued.contains(&ticket), "a ticket is used again");
                self.queued.push(ticket);
                None
            }
            Admission::Refuse(_) => Some(false),
        }
    }

    /// Returns the tickets decided on, and whether each was started.
    fn release(&mut self) -> Vec<(Ticket, bool)> {
        let released = self.table.release(self.now, &mut self.rng);
        let decided = released.into_iter().map(|(ticket, admission)| {
            let at = self.queued.iter().position(|t| *t == ticket).expect("a queued request");
            self.queued.swap_remove(at);
            match admission {
                Admission::Run(target) => {
                    self.running.push((target.id, self.now));
                    (ticket, true)
                }
                Admission::Refuse(_) => (ticket, false),
                Admission::Wait(_) => panic!("a decision is final"),
            }
        });
        decided.collect()
    }

    /// Ends what has run for 100 ms.
    fn finish(&mut self) {
        let latency = Duration::from_millis(100);
        let ended = self.running.extract_if(.., |(_, at)| self.now.since(*at) >= latency);
        let report = AttemptReport {
            outcome: UpstreamOutcome::Answered,
            latency,
            load: None,
            draining: false,
        };
        for (id, _) in ended.collect::<Vec<_>>() {
            self.table.finish_attempt(id, &report, self.now);
        }
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        self.finish();
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn each_queued_request_gets_one_decision(
        steps in proptest::collection::vec((0..3_usize, 0..5_u64, 0..60_u64, 0..6_u32), 1..150),
        waiting_max in 0..12_usize,
        abandoned in 0..40_usize,
    ) {
        let mut model = Model::new(waiting_max);
        for (index, (kind, team, pause, others)) in steps.into_iter().enumerate() {
            model.advance(pause);
            model.report(others);
            let req = model.request(kind, team);
            model.admit(&req);
            prop_assert!(model.table.waiting() <= waiting_max);
            if index == abandoned && let Some(ticket) = model.queued.pop() {
                model.table.abandon_request(ticket);
            }
            model.release();
            prop_assert_eq!(model.queued.len(), model.table.waiting());
            let in_flight: u32 = model.table.rows().iter().map(|r| r.in_flight).sum();
            prop_assert_eq!(in_flight as usize, model.running.len());
        }
        model.advance(10_000);
        model.release();
        prop_assert!(model.queued.is_empty());
    }

    #[test]
    fn nothing_is_refused_or_queued_while_there_is_room(
        steps in proptest::collection::vec((0..3_usize, 0..5_u64, 25..60_u64), 1..100),
    ) {
        let mut model = Model::new(10);
        for (kind, team, pause) in steps {
            model.advance(pause);
            model.report(0);
            let req = model.request(kind, team);
            prop_assert_eq!(model.admit(&req), Some(true));
        }
    }
}

/// Lookups alone would take twice the slots. The least urgent kind and the largest team keep at
/// least a quarter of the mean share of served requests.
#[test]
fn no_kind_or_team_starves() {
    let mut model = Model::new(100);
    let mut kinds = [(0_u32, 0_u32); 3];
    let mut teams = [(0_u32, 0_u32); 4];
    let mut waiting: Vec<(Ticket, usize, usize)> = Vec::new();
    for round in 0..4_000_u64 {
        model.advance(5);
        model.report(0);
        let mut decided: Vec<(usize, usize, bool)> = Vec::new();
        let started = model.release();
        for (ticket, is_started) in started {
            let at = waiting.iter().position(|w| w.0 == ticket).expect("a queued request");
            let (_, kind, team) = waiting.swap_remove(at);
            decided.push((kind, team, is_started));
        }
        let sent = [(0, true), (1, round % 4 == 0), (2, round % 8 == 0)];
        for (kind, _) in sent.into_iter().filter(|(_, is_sent)| *is_sent) {
            // Team 0 sends three quarters.
            let team = if round % 4 == 3 { (round / 4 % 3) as usize + 1 } else { 0 };
            let req = model.request(kind, team as u64);
            match model.admit(&req) {
                Some(is_started) => decided.push((kind, team, is_started)),
                None => waiting.push((*model.queued.last().expect("queued"), kind, team)),
            }
        }
        for (kind, team, is_started) in decided {
            for count in [&mut kinds[kind], &mut teams[team]] {
                count.0 += u32::from(is_started);
                count.1 += 1;
            }
        }
    }
    let share = |(started, decided): (u32, u32)| started as f32 / decided as f32;
    let (started, decided) = kinds.iter().fold((0, 0), |a, k| (a.0 + k.0, a.1 + k.1));
    let mean = share((started, decided));
    assert!(mean < 0.7, "there is too little room: {mean}");
    for count in kinds.into_iter().chain(teams) {
        assert!(share(count) > mean / 4.0, "{kinds:?} {teams:?}");
    }
}
