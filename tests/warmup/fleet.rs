//! The sum of what the hosts of a fleet send to one cold upstream, in any second, while hosts die, start
//! and are cut off from each other, without their network.

use std::time::Duration;

use cornelferry::Time;
use cornelferry::member::{Heartbeat, Members};
use cornelferry::warmup::{Division, WarmUp};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::harness;

const SECOND: Duration = Duration::from_secs(1);
/// The step of the simulation.
const STEP: Duration = Duration::from_millis(25);
/// The number of steps between two heartbeats, two ticks and two updates of what a host may send.
const UPDATE_STEPS: usize = 10;
/// The time after its start in which a host that knows no peers looks for some.
const SEARCH_TIME: Duration = Duration::from_secs(10);
/// The longest time from the decision to send a request until it is sent, in milliseconds.
const DELAY_MAX_MS: u64 = 200;
const DUTY: &str = "warm-up/s/u-0";

/// The requests that a cold upstream tolerates in any second.
fn tolerated(per_second: f64) -> usize {
    (per_second * 1.5 + 8.0) as usize
}

/// A running host.
struct Host {
    started: Time,
    members: Members,
    warm_up: WarmUp,
}

/// A fleet that faces a cold upstream and sends it all that it may.
struct Fleet {
    per_second: f64,
    now: Time,
    rng: SmallRng,
    /// The running hosts, by number; `None` for one that is down.
    hosts: Vec<Option<Host>>,
    /// The part of the network that each host is in. Parts don't hear each other.
    parts: Vec<usize>,
    /// The share of heartbeats that get lost.
    loss: f64,
    arrivals: Vec<Time>,
}

impl Fleet {
    /// Creates a fleet of hosts of which all but `later` know each other and know that the upstream is
    /// cold; the others are down.
    fn new(hosts: usize, later: usize, per_second: f64, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            per_second,
            now: Time::from_millis(100_000),
            rng: SmallRng::seed_from_u64(seed),
            hosts: (0..hosts).map(|_| None).collect(),
            parts: vec![0; hosts],
            loss: 0.0,
            arrivals: Vec::new(),
        };
        (0..hosts - later).for_each(|i| fleet.start(i));
        // Nothing is sent before the views are complete.
        fleet.run(Duration::from_secs(6));
        fleet.arrivals.clear();
        fleet
    }

    /// Starts a host, which knows no other yet.
    fn start(&mut self, index: usize) {
        let members = Members::new(name(index).into(), "a".into());
        let mut warm_up = WarmUp::default();
        warm_up.observe_registration(Duration::from_secs(500), self.now);
        self.hosts[index] = Some(Host { started: self.now, members, warm_up });
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        let mut step = 0;
        while self.now < end {
            step += 1;
            self.now = self.now + STEP;
            for index in 0..self.hosts.len() {
                if (step + index) % UPDATE_STEPS == 0 {
                    self.update(index);
                }
                self.send(index);
            }
        }
    }

    /// Lets a host hear heartbeats and work out what it may send.
    fn update(&mut self, index: usize) {
        let Fleet { now, ref mut rng, loss, ref parts, .. } = *self;
        let counter = now.as_micros().div_euclid(1_000) as u32;
        let reached = |i: &usize| *i != index && parts[*i] == parts[index];
        let heard: Vec<usize> =
            (0..self.hosts.len()).filter(reached).filter(|i| self.hosts[*i].is_some()).collect();
        let Some(host) = &mut self.hosts[index] else { return };
        for other in heard {
            if rng.random_bool(1.0 - loss) {
                let heartbeat = Heartbeat { counter, at: now, left: false, dead: false };
                host.members.record_heartbeat(&harness::process(&name(other)), heartbeat, now);
            }
        }
        host.members.tick(now);
        let is_searching = now.since(host.started) < SEARCH_TIME;
        let known = host.members.known_hosts(is_searching).unwrap_or(1);
        let division = Division::new(self.per_second, known);
        let is_owner = host.members.is_among_known_owners(DUTY, division.owners, is_searching, now);
        host.warm_up.set_owned(is_owner, division, now);
    }

    /// Lets a host send what it may. The request leaves a little later.
    fn send(&mut self, index: usize) {
        let Some(host) = &mut self.hosts[index] else { return };
        while !host.warm_up.is_closed(self.now) {
            host.warm_up.take(self.now);
            let delay = Duration::from_millis(self.rng.random_range(0..DELAY_MAX_MS));
            self.arrivals.push(self.now + delay);
        }
    }

    /// Returns the most requests that arrived in any second.
    fn most_in_a_second(&self) -> usize {
        let mut sorted = self.arrivals.clone();
        sorted.sort_unstable();
        let until = |i: usize| sorted.partition_point(|at| *at < sorted[i] + SECOND);
        (0..sorted.len()).map(|i| until(i) - i).max().unwrap_or(0)
    }
}

fn name(index: usize) -> String {
    format!("entry-{index}")
}

/// What happens to a fleet.
#[derive(Clone, Debug)]
enum Fault {
    /// This share of the hosts dies.
    Kill(f64),
    /// All hosts that are down start at the same moment, and know nobody.
    StartAll,
    /// This share of the hosts and the others don't hear each other any more.
    Cut(f64),
    /// All hosts hear each other.
    Heal,
    /// This share of heartbeats gets lost.
    Lose(f64),
    /// Some seconds pass.
    Wait(u64),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0.05..0.9).prop_map(Fault::Kill),
        Just(Fault::StartAll),
        (0.1..0.6).prop_map(Fault::Cut),
        Just(Fault::Heal),
        (0.0..0.8).prop_map(Fault::Lose),
        (1..8_u64).prop_map(Fault::Wait),
    ]
}

impl Fleet {
    fn apply(&mut self, fault: &Fault) {
        match *fault {
            Fault::Kill(share) => {
                for host in &mut self.hosts {
                    if self.rng.random_bool(share) {
                        *host = None;
                    }
                }
            }
            Fault::StartAll => {
                for index in 0..self.hosts.len() {
                    if self.hosts[index].is_none() {
                        self.start(index);
                    }
                }
            }
            Fault::Cut(share) => {
                self.parts.iter_mut().for_each(|p| *p = usize::from(self.rng.random_bool(share)))
            }
            Fault::Heal => self.parts.fill(0),
            Fault::Lose(share) => self.loss = share,
            Fault::Wait(_) => {}
        }
        let seconds = if let Fault::Wait(seconds) = fault { *seconds } else { 2 };
        self.run(Duration::from_secs(seconds));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, ..ProptestConfig::default() })]

    #[test]
    fn hosts_together_keep_within_what_a_cold_upstream_tolerates(
        hosts in prop_oneof![1..12_usize, 12..60_usize],
        per_second in prop_oneof![0.2..4.0_f64, 4.0..40.0],
        seed: u64,
        faults in prop::collection::vec(fault(), 1..8),
    ) {
        let mut fleet = Fleet::new(hosts, hosts / 3, per_second, seed);
        faults.iter().for_each(|f| fleet.apply(f));
        let (most, allowed) = (fleet.most_in_a_second(), tolerated(per_second));
        prop_assert!(most <= allowed, "{} in a second; {} are allowed", most, allowed);
    }

    #[test]
    fn two_views_of_the_fleet_together_keep_within_it(
        per_second in 0.05..500.0_f64,
        hosts in 1..400_usize,
    ) {
        let division = Division::new(per_second, hosts);
        prop_assert!((1..=hosts).contains(&division.owners));
        // The owner may have saved up one, and a request may be sent a quarter of a second late.
        let in_time = division.per_second * 1.25;
        let of_each = (in_time - 1e-9).ceil() as usize;
        let most = 2 * division.owners * of_each;
        prop_assert!(most <= tolerated(per_second), "{} in a second by {:?}", most, division);
        let total = division.per_second * division.owners as f64;
        prop_assert!(total <= per_second * 1.000_001);
        prop_assert!(total >= per_second * 0.25, "only {} a second by {:?}", total, division);
    }
}

/// The large site: a third of the hosts is cut off for longer than hosts are remembered, and restarted
/// there, so that both sides take the other one for gone.
#[test]
fn both_sides_of_a_cut_fleet_together_keep_within_it() {
    let mut fleet = Fleet::new(141, 0, 7.8, 5);
    let cut_off = 0..47;
    cut_off.clone().for_each(|i| fleet.parts[i] = 1);
    fleet.run(Duration::from_secs(20));
    cut_off.for_each(|i| fleet.start(i));
    fleet.run(Duration::from_secs(40));
    fleet.parts.fill(0);
    fleet.run(Duration::from_secs(8));
    let (most, allowed) = (fleet.most_in_a_second(), tolerated(7.8));
    assert!(most <= allowed, "{most} requests in a second; {allowed} are allowed");
}

#[test]
fn a_fleet_uses_most_of_what_a_cold_upstream_takes() {
    for (hosts, per_second) in [(1, 7.8), (3, 7.8), (6, 2.0), (18, 7.8), (141, 7.8), (141, 30.0)] {
        let mut fleet = Fleet::new(hosts, 0, per_second, 7);
        fleet.run(Duration::from_secs(20));
        let used = fleet.arrivals.len() as f64 / 20.0;
        assert!(used >= per_second * 0.55, "{hosts} hosts: {used} of {per_second} a second");
        assert!(fleet.most_in_a_second() <= tolerated(per_second), "{hosts} hosts");
    }
}

/// A third of the hosts has died and is still remembered.
#[test]
fn a_fleet_without_a_third_of_its_hosts_still_uses_some_of_it() {
    let mut fleet = Fleet::new(141, 0, 7.8, 11);
    (0..47).for_each(|i| fleet.hosts[i] = None);
    fleet.run(Duration::from_secs(10));
    let used = fleet.arrivals.len() as f64 / 10.0;
    assert!(used >= 7.8 * 0.4, "{used} a second");
}
