//! Any sequence of operations on a service's table, beside a model of what is in flight and waits.

use std::sync::Arc;
use std::time::Duration;

use cornelferry::Time;
use cornelferry::admission::{Admission, Request, Target, Ticket};
use cornelferry::balancing::Policy;
use cornelferry::config::{Priority, Service, Upstream};
use cornelferry::service::{HostInfo, NextAttempt, ServiceTable};
use cornelferry::upstream::{AttemptReport, State, UpstreamId, UpstreamOutcome, UpstreamSummary};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const UPSTREAMS: usize = 4;
const WAITING_MAX: usize = 6;

#[derive(Clone, Debug)]
enum Op {
    Advance { micros: u64 },
    Admit { priority: Priority, deadline_ms: u64, wait_ms: u64 },
    NextAttempt { at: usize, hedge: bool },
    Finish { at: usize, ended: UpstreamOutcome, load: Option<u32>, draining: bool },
    Abandon { at: usize },
    Tick,
    SetState { at: usize, leaving: bool },
    SetUpstreams { mask: u8 },
    Import { host: u8, at: usize, in_flight: u32, load: Option<u32>, leaving: bool },
    Forget { host: u8 },
}

fn priority() -> impl Strategy<Value = Priority> {
    prop::sample::select(vec![Priority::Urgent, Priority::Normal, Priority::Deferrable])
}

fn ended() -> impl Strategy<Value = UpstreamOutcome> {
    use UpstreamOutcome::*;
    prop::sample::select(vec![
        Answered,
        Answered,
        Answered,
        Refused,
        Failed,
        ConnectFailed,
        Lost,
        TimedOut,
        Cancelled,
    ])
}

fn op() -> impl Strategy<Value = Op> {
    let load = || prop::option::of(0..20u32);
    prop_oneof![
        2 => (0..60_000u64).prop_map(|micros| Op::Advance { micros }),
        6 => (priority(), 0..300u64, 0..200u64).prop_map(|(priority, deadline_ms, wait_ms)| {
            Op::Admit { priority, deadline_ms, wait_ms }
        }),
        1 => (0..64usize, any::<bool>()).prop_map(|(at, hedge)| Op::NextAttempt { at, hedge }),
        4 => (0..64usize, ended(), load(), prop::bool::weighted(0.02)).prop_map(
            |(at, ended, load, draining)| Op::Finish { at, ended, load, draining }
        ),
        1 => (0..64usize).prop_map(|at| Op::Abandon { at }),
        1 => Just(Op::Tick),
        1 => (0..UPSTREAMS, any::<bool>()).prop_map(|(at, leaving)| Op::SetState { at, leaving }),
        1 => any::<u8>().prop_map(|mask| Op::SetUpstreams { mask }),
        1 => (0..3u8, 0..UPSTREAMS, 0..8u32, load(), prop::bool::weighted(0.1)).prop_map(
            |(host, at, in_flight, load, leaving)| {
                Op::Import { host, at, in_flight, load, leaving }
            }
        ),
        1 => (0..3u8).prop_map(|host| Op::Forget { host }),
    ]
}

fn upstreams(mask: u8) -> Vec<Upstream> {
    let upstream = |i: usize| Upstream {
        name: format!("u{i}").into(),
        address: ([127, 0, 0, 1], 9_000 + i as u16).into(),
        data_centre: "palermo".into(),
    };
    (0..UPSTREAMS).filter(|i| mask & (1 << i) != 0).map(upstream).collect()
}

struct Model {
    table: ServiceTable,
    rng: SmallRng,
    now: Time,
    running: Vec<(UpstreamId, Time)>,
    waiting: Vec<(Ticket, Request)>,
}

impl Model {
    fn new(policy: Policy, seed: u64) -> Model {
        let service = Service {
            name: "s".into(),
            slots: 2,
            upstreams: upstreams(0xff),
            ..Service::default()
        };
        let facts = HostInfo {
            host: "entry-1".into(),
            data_centre: "palermo".into(),
            fleet_size_max: 3,
            policy,
            waiting_max: WAITING_MAX,
        };
        Model {
            table: ServiceTable::new(Arc::new(service), facts, Time::ZERO),
            rng: SmallRng::seed_from_u64(seed),
            now: Time::ZERO,
            running: Vec::new(),
            waiting: Vec::new(),
        }
    }

    fn live(&self, id: UpstreamId) -> bool {
        self.table.rows().iter().any(|r| r.id == id && r.state == State::Live)
    }

    fn run(&mut self, target: &Target) {
        assert!(self.live(target.id), "{target:?} takes no work");
        self.running.push((target.id, self.now));
    }

    fn admit(&mut self, req: Request) {
        match self.table.admit(&req, self.now, &mut self.rng) {
            Admission::Run(target) => {
                assert!(self.now < req.deadline);
                let passed = self.waiting.iter().any(|(_, w)| w.priority <= req.priority);
                assert!(!passed, "{req:?} overtook one that waits");
                self.run(&target);
            }
            Admission::Wait(ticket) => {
                assert!(self.now < req.wait_until);
                self.waiting.push((ticket, req));
            }
            Admission::Refuse(refusal) => assert!(!refusal.retry_after.is_zero()),
        }
    }

    fn release(&mut self) {
        for (ticket, admission) in self.table.release(self.now, &mut self.rng) {
            let at = self.waiting.iter().position(|(t, _)| *t == ticket);
            let (_, req) = self.waiting.remove(at.expect("decided once"));
            match admission {
                Admission::Run(target) => {
                    assert!(self.now < req.deadline && self.now < req.wait_until);
                    let key = (req.priority, ticket);
                    let passed = self.waiting.iter().any(|(t, w)| (w.priority, *t) < key);
                    assert!(!passed, "{req:?} went before its turn");
                    self.run(&target);
                }
                Admission::Refuse(refusal) => assert!(!refusal.retry_after.is_zero()),
                Admission::Wait(_) => panic!("a request that waits was told to wait"),
            }
        }
    }

    fn again(&mut self, at: usize, hedge: bool) {
        let Some(&(tried, _)) = self.running.get(at % self.running.len().max(1)) else { return };
        let why = if hedge { NextAttempt::Hedge } else { NextAttempt::Retry };
        if let Some(target) = self.table.next_attempt(why, &[tried], self.now, &mut self.rng) {
            assert_ne!(target.id, tried);
            self.run(&target);
        }
    }

    fn finish(&mut self, at: usize, ended: UpstreamOutcome, load: Option<u32>, draining: bool) {
        if self.running.is_empty() {
            return;
        }
        let (id, start) = self.running.swap_remove(at % self.running.len());
        let latency = self.now.since(start);
        self.table.finish_attempt(
            id,
            &AttemptReport { outcome: ended, latency, load, draining },
            self.now,
        );
        assert!(!draining || !self.live(id));
        self.release();
    }

    fn abandon(&mut self, at: usize) {
        if !self.waiting.is_empty() {
            let (ticket, _) = self.waiting.swap_remove(at % self.waiting.len());
            self.table.abandon_request(ticket);
        }
    }

    fn apply(&mut self, op: Op) {
        let ms = Duration::from_millis;
        match op {
            Op::Advance { micros } => self.now = self.now + Duration::from_micros(micros),
            Op::Admit { priority, deadline_ms, wait_ms } => {
                let wait_until = self.now + ms(wait_ms.min(deadline_ms));
                self.admit(Request::new(priority, self.now + ms(deadline_ms), wait_until));
                if self.table.has_evicted_requests() {
                    self.release();
                }
            }
            Op::NextAttempt { at, hedge } => self.again(at, hedge),
            Op::Finish { at, ended, load, draining } => self.finish(at, ended, load, draining),
            Op::Abandon { at } => self.abandon(at),
            Op::Tick => self.release(),
            Op::SetState { at, leaving } => {
                let state = if leaving { State::Leaving } else { State::Live };
                self.table.set_state(&format!("u{at}"), state, self.now);
            }
            Op::SetUpstreams { mask } => self.table.set_upstreams(&upstreams(mask), self.now),
            Op::Import { host, at, in_flight, load, leaving } => {
                let shared = UpstreamSummary {
                    service: "s".into(),
                    upstream: format!("u{at}").into(),
                    in_flight,
                    load: load.map(|l| (l, ms(30))),
                    leaving,
                };
                self.table.import(&format!("entry-{host}"), &shared, self.now);
            }
            Op::Forget { host } => self.table.forget_peer(&format!("entry-{host}")),
        }
        self.check();
    }

    fn check(&self) {
        for row in self.table.rows() {
            let running = self.running.iter().filter(|(id, _)| *id == row.id).count();
            assert_eq!(row.in_flight as usize, running, "{}", row.name);
        }
        let counted: u32 = self.table.rows().iter().map(|r| r.in_flight).sum();
        assert_eq!(counted as usize, self.running.len());
        assert!(self.table.waiting() <= WAITING_MAX);
        assert!(self.waiting.len() <= WAITING_MAX);
    }
}

/// Each lane in turn fills the room and is pushed out by the next before any release.
#[test]
fn pushed_out_requests_are_bounded_between_releases() {
    let mut model = Model::new(Policy::default(), 1);
    for priority in [Priority::Deferrable, Priority::Normal, Priority::Urgent] {
        for _ in 0..64 {
            model.apply(Op::Admit { priority, deadline_ms: 300, wait_ms: 200 });
        }
    }
    assert_eq!(model.table.waiting(), WAITING_MAX);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(20),
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_request_is_counted_and_decided_once(
        ops in prop::collection::vec(op(), 1..200),
        policy in prop::sample::select(Policy::ALL),
        seed in any::<u64>(),
    ) {
        let mut model = Model::new(policy, seed);
        ops.into_iter().for_each(|op| model.apply(op));
        while !model.running.is_empty() {
            model.finish(0, UpstreamOutcome::Answered, None, false);
            model.check();
        }
        model.now = model.now + Duration::from_secs(1);
        model.release();
        prop_assert!(model.waiting.is_empty());
        prop_assert_eq!(model.table.waiting(), 0);
    }

    #[test]
    fn ejection_leaves_an_upstream_to_choose(
        ends in prop::collection::vec((ended(), 0..100u64), 1..100),
        policy in prop::sample::select(Policy::ALL),
        seed in any::<u64>(),
    ) {
        let mut model = Model::new(policy, seed);
        for (ended, ms) in ends.into_iter().filter(|(e, _)| *e != UpstreamOutcome::Refused) {
            let deadline = model.now + Duration::from_secs(10);
            model.admit(Request::new(Priority::Deferrable, deadline, model.now));
            prop_assert_eq!(model.running.len(), 1);
            model.now = model.now + Duration::from_millis(ms);
            model.finish(0, ended, None, false);
        }
    }
}
