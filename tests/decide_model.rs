//! Any sequence of operations on a service's table, checked against a model of the requests in
//! flight and in the queue.

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
    NextAttempt { index: usize, hedge: bool },
    Finish { index: usize, outcome: UpstreamOutcome, load: Option<u32>, draining: bool },
    Abandon { index: usize },
    Tick,
    SetState { index: usize, leaving: bool },
    SetUpstreams { mask: u8 },
    Import { peer: u8, index: usize, in_flight: u32, load: Option<u32>, leaving: bool },
    ForgetPeer { peer: u8 },
}

fn priority() -> impl Strategy<Value = Priority> {
    prop::sample::select(vec![Priority::Urgent, Priority::Normal, Priority::Deferrable])
}

fn outcome() -> impl Strategy<Value = UpstreamOutcome> {
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
        1 => (0..64usize, any::<bool>()).prop_map(
            |(index, hedge)| Op::NextAttempt { index, hedge }
        ),
        4 => (0..64usize, outcome(), load(), prop::bool::weighted(0.02)).prop_map(
            |(index, outcome, load, draining)| Op::Finish { index, outcome, load, draining }
        ),
        1 => (0..64usize).prop_map(|index| Op::Abandon { index }),
        1 => Just(Op::Tick),
        1 => (0..UPSTREAMS, any::<bool>()).prop_map(
            |(index, leaving)| Op::SetState { index, leaving }
        ),
        1 => any::<u8>().prop_map(|mask| Op::SetUpstreams { mask }),
        1 => (0..3u8, 0..UPSTREAMS, 0..8u32, load(), prop::bool::weighted(0.1)).prop_map(
            |(peer, index, in_flight, load, leaving)| {
                Op::Import { peer, index, in_flight, load, leaving }
            }
        ),
        1 => (0..3u8).prop_map(|peer| Op::ForgetPeer { peer }),
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
        let host_info = HostInfo {
            host: "entry-1".into(),
            data_centre: "palermo".into(),
            fleet_size_max: 3,
            policy,
            waiting_max: WAITING_MAX,
        };
        Model {
            table: ServiceTable::new(Arc::new(service), host_info, Time::ZERO),
            rng: SmallRng::seed_from_u64(seed),
            now: Time::ZERO,
            running: Vec::new(),
            waiting: Vec::new(),
        }
    }

    fn is_live(&self, id: UpstreamId) -> bool {
        self.table.rows().iter().any(|r| r.id == id && r.state == State::Live)
    }

    fn run(&mut self, target: &Target) {
        assert!(self.is_live(target.id), "{target:?} takes no requests");
        self.running.push((target.id, self.now));
    }

    fn admit(&mut self, req: Request) {
        match self.table.admit(&req, self.now, &mut self.rng) {
            Admission::Run(target) => {
                assert!(self.now < req.deadline);
                let overtaken = self.waiting.iter().any(|(_, w)| w.priority <= req.priority);
                assert!(!overtaken, "{req:?} overtook a queued request");
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
            let index = self.waiting.iter().position(|(t, _)| *t == ticket);
            let (_, req) = self.waiting.remove(index.expect("decided once"));
            match admission {
                Admission::Run(target) => {
                    assert!(self.now < req.deadline && self.now < req.wait_until);
                    let key = (req.priority, ticket);
                    let overtaken = self.waiting.iter().any(|(t, w)| (w.priority, *t) < key);
                    assert!(!overtaken, "{req:?} left the queue out of order");
                    self.run(&target);
                }
                Admission::Refuse(refusal) => assert!(!refusal.retry_after.is_zero()),
                Admission::Wait(_) => panic!("a queued request was queued again"),
            }
        }
    }

    fn next_attempt(&mut self, index: usize, hedge: bool) {
        let Some(&(tried, _)) = self.running.get(index % self.running.len().max(1)) else { return };
        let reason = if hedge { NextAttempt::Hedge } else { NextAttempt::Retry };
        if let Some(target) = self.table.next_attempt(reason, &[tried], self.now, &mut self.rng) {
            assert_ne!(target.id, tried);
            self.run(&target);
        }
    }

    fn finish(
        &mut self,
        index: usize,
        outcome: UpstreamOutcome,
        load: Option<u32>,
        draining: bool,
    ) {
        if self.running.is_empty() {
            return;
        }
        let (id, start) = self.running.swap_remove(index % self.running.len());
        let latency = self.now.since(start);
        self.table.finish_attempt(
            id,
            &AttemptReport { outcome, latency, load, draining },
            self.now,
        );
        assert!(!draining || !self.is_live(id));
        self.release();
    }

    fn abandon(&mut self, index: usize) {
        if !self.waiting.is_empty() {
            let (ticket, _) = self.waiting.swap_remove(index % self.waiting.len());
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
            Op::NextAttempt { index, hedge } => self.next_attempt(index, hedge),
            Op::Finish { index, outcome, load, draining } => {
                self.finish(index, outcome, load, draining)
            }
            Op::Abandon { index } => self.abandon(index),
            Op::Tick => self.release(),
            Op::SetState { index, leaving } => {
                let state = if leaving { State::Leaving } else { State::Live };
                self.table.set_state(&format!("u{index}"), state, self.now);
            }
            Op::SetUpstreams { mask } => self.table.set_upstreams(&upstreams(mask), self.now),
            Op::Import { peer, index, in_flight, load, leaving } => {
                let summary = UpstreamSummary {
                    service: "s".into(),
                    upstream: format!("u{index}").into(),
                    in_flight,
                    load: load.map(|l| (l, ms(30))),
                    leaving,
                };
                self.table.import(&format!("entry-{peer}"), &summary, self.now);
            }
            Op::ForgetPeer { peer } => self.table.forget_peer(&format!("entry-{peer}")),
        }
        self.check();
    }

    fn check(&self) {
        for row in self.table.rows() {
            let running = self.running.iter().filter(|(id, _)| *id == row.id).count();
            assert_eq!(row.in_flight as usize, running, "{}", row.name);
        }
        let in_flight: u32 = self.table.rows().iter().map(|r| r.in_flight).sum();
        assert_eq!(in_flight as usize, self.running.len());
        assert!(self.table.waiting() <= WAITING_MAX);
        assert!(self.waiting.len() <= WAITING_MAX);
    }
}

fn answered_probe() -> AttemptReport {
    let outcome = UpstreamOutcome::Answered;
    AttemptReport { outcome, latency: Duration::from_millis(1), load: None, draining: false }
}

/// Guards against unbounded memory for evicted requests: requests of each priority fill the queue
/// and are evicted by the next priority before any release.
#[test]
fn evicted_requests_are_bounded_between_releases() {
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
        outcomes in prop::collection::vec((outcome(), 0..100u64), 1..100),
        policy in prop::sample::select(Policy::ALL),
        seed in any::<u64>(),
    ) {
        let mut model = Model::new(policy, seed);
        for (outcome, ms) in outcomes.into_iter().filter(|(o, _)| *o != UpstreamOutcome::Refused) {
            let deadline = model.now + Duration::from_secs(10);
            model.admit(Request::new(Priority::Deferrable, deadline, model.now));
            prop_assert_eq!(model.running.len(), 1);
            model.now = model.now + Duration::from_millis(ms);
            model.finish(0, outcome, None, false);
            // Requests are refused if no upstream responds at all, whether ejected or not.
            let probed = model.table.rows()[0].id;
            model.table.finish_probe(probed, &answered_probe(), model.now);
        }
    }
}
