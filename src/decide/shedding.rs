//! What is delayed or refused where a service has too little room.
//!
//! A plan orders the queued requests and picks those to refuse. The recent load holds what that
//! depends on: the rates at which work comes and is started, and how often each kind of request and
//! each team was served lately.

mod plan;

use std::time::Duration;

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::config::Priority;
use crate::decide::admission::{Request, TeamId, Ticket};
use crate::decide::kinds::RequestEstimate;
use crate::time::Time;

pub(crate) use plan::{Plan, plan};

/// How a host decides which requests wait and which are refused at upstreams that report their
/// occupancy.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Shedding {
    /// Those that can meet their objective go first; the others are refused while one can.
    #[default]
    #[display("objective")]
    Objective,
    /// Those go first whose delay or refusal would cost callers most, by priority, deadline and
    /// work, with a floor for each kind of request and each team.
    #[display("least-cost")]
    LeastCost,
}

impl Shedding {
    /// Returns whether this is the default, which traces leave out.
    pub(crate) fn is_default(&self) -> bool {
        *self == Shedding::default()
    }
}

/// Time constant (decay by a factor of e) of the rates of work.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Time constant of the counts by kind and team.
const SHARE_TIME_CONSTANT: Duration = Duration::from_secs(8);
/// A queue that forms after this time without one says nothing of the rate at which work can be
/// started, as up to then all work was.
const QUIET_TIME_MIN: Duration = Duration::from_millis(500);
/// What can be started when a queue forms, relative to what was.
const QUIET_HEADROOM: f32 = 1.5;
/// The least part of the rate that is left for requests that others overtake.
const SPARE_SHARE_MIN: f32 = 0.25;
/// The lowest assumed rate, in seconds of work per second.
const RATE_MIN: f32 = 0.01;
/// Part of the mean share of served requests below which a kind or team goes first.
const BEHIND_SHARE: f32 = 0.5;
/// The floor: part of the mean share below which a kind's or team's late requests count as on time.
const STARVED_SHARE: f32 = 0.3;
/// Part of a less urgent kind's share of served requests below which a kind counts as overtaken.
const OVERTAKEN_SHARE: f32 = 0.97;
/// Requests counted as served before any was, so that a single refusal starves nobody.
const PRIOR_SERVED: f32 = 2.0;
/// The most kinds that are counted. The least recently used one gives way to a new one.
const KINDS_MAX: usize = 64;
/// The most teams that are counted.
const TEAMS_MAX: usize = 256;
/// The expected response time of a request in nominal work times, on a good upstream.
const RESPONSE_FACTOR: f32 = 1.15;

/// An exponentially decaying sum.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSum {
    value: f32,
    at: Time,
}

impl DecayingSum {
    fn add(&mut self, value: f32, time_constant: Duration, now: Time) {
        self.value = self.at(time_constant, now) + value;
        self.at = now;
    }

    fn at(&self, time_constant: Duration, now: Time) -> f32 {
        match now.since(self.at) {
            Duration::ZERO => self.value,
            age => self.value * (-age.as_secs_f32() / time_constant.as_secs_f32()).exp(),
        }
    }
}

/// How often requests were served lately, and their work.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    served: f32,
    refused: f32,
    /// Work started, in seconds.
    work: f32,
    at: Time,
}

impl Share {
    fn at(&self, now: Time) -> Share {
        let age = now.since(self.at);
        if age.is_zero() {
            return *self;
        }
        let decay = (-age.as_secs_f32() / SHARE_TIME_CONSTANT.as_secs_f32()).exp();
        Share {
            served: self.served * decay,
            refused: self.refused * decay,
            work: self.work * decay,
            at: now,
        }
    }

    fn record(&mut self, outcome: Outcome, now: Time) {
        *self = self.at(now);
        match outcome {
            Outcome::Started(work) => {
                self.served += 1.0;
                self.work += work.as_secs_f32();
            }
            Outcome::Refused => self.refused += 1.0,
        }
    }

    fn share(&self) -> f32 {
        (self.served + PRIOR_SERVED) / (self.served + self.refused + PRIOR_SERVED)
    }
}

/// The decision on a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Outcome {
    /// It was started, with this work.
    Started(Duration),
    /// It was refused.
    Refused,
}

/// How a kind or team fares compared with the others, from best to worst.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Standing {
    /// It is served about as often as the others.
    #[default]
    Usual,
    /// It is served less often than a less urgent kind. Its late requests go before that.
    Overtaken,
    /// It is served much less often than the mean, and goes first.
    Behind,
    /// It is served less often than its floor. Its late requests count as on time.
    Starved,
}

/// A request to be planned.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Item {
    /// Its ticket, or `None` for a new request.
    pub(crate) ticket: Option<Ticket>,
    pub(crate) priority: Priority,
    /// Its work in seconds.
    pub(crate) work: f32,
    /// The latest start with which its response has its full value.
    pub(crate) start_by: Time,
    /// The latest start with which its response is of use.
    pub(crate) last_start: Time,
    pub(crate) standing: Standing,
    /// By how much its team's recent work exceeds that of the mean team: 0 up to twice as much, and
    /// one more for each doubling.
    pub(crate) team_excess: u32,
}

/// The recent load of a service at this host.
#[derive(Clone, Debug, Default)]
pub(crate) struct Load {
    /// Work started.
    started: DecayingSum,
    /// Work that came with requests that could still meet their objective, by priority.
    offered: [DecayingSum; PRIORITIES],
    /// When a request was last queued.
    last_queued: Option<Time>,
    all: Share,
    /// Sorted by priority and kind.
    kinds: Vec<((Priority, u64), Share)>,
    /// Sorted by team.
    teams: Vec<(TeamId, Share)>,
}

const PRIORITIES: usize = 3;

/// The rates of work that a plan depends on, in seconds of work per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rates {
    /// The rate at which work can be started.
    pub(crate) start: f32,
    /// The rates at which work comes, by priority.
    pub(crate) offered: [f32; PRIORITIES],
}

impl Rates {
    /// Returns the rate that new requests more urgent than `priority` leave.
    fn spare_below(&self, priority: Priority) -> f32 {
        let overtaking: f32 = self.offered[..priority as usize].iter().sum();
        (self.start - overtaking).max(self.start * SPARE_SHARE_MIN)
    }

    /// Returns the rate that new requests that can meet their objective leave.
    fn spare(&self) -> f32 {
        let overtaking: f32 = self.offered.iter().sum();
        (self.start - overtaking).max(self.start * SPARE_SHARE_MIN)
    }

    /// Returns the time until a request of `priority` that comes later will find room, if `ahead`
    /// seconds of work go before it.
    pub(crate) fn time_to_room(&self, priority: Priority, ahead: f32) -> Duration {
        seconds(ahead / self.spare_below(priority))
    }
}

impl Load {
    /// Records a new request.
    pub(crate) fn record_arrival(&mut self, req: &Request, estimate: RequestEstimate, now: Time) {
        if !estimate.misses_objective(now) {
            let work = estimate.work.as_secs_f32();
            self.offered[req.priority as usize].add(work, RATE_TIME_CONSTANT, now);
        }
    }

    /// Records that work was started.
    pub(crate) fn record_start(&mut self, work: Duration, now: Time) {
        self.started.add(work.as_secs_f32(), RATE_TIME_CONSTANT, now);
    }

    /// Records the decision on a request.
    pub(crate) fn record_outcome(&mut self, req: &Request, outcome: Outcome, now: Time) {
        self.all.record(outcome, now);
        entry(&mut self.kinds, kind_key(req), KINDS_MAX).record(outcome, now);
        if let Some(team) = req.team {
            entry(&mut self.teams, team, TEAMS_MAX).record(outcome, now);
        }
    }

    /// Returns whether no request was queued lately.
    pub(crate) fn is_quiet(&self, now: Time) -> bool {
        self.last_queued.is_none_or(|at| now.since(at) >= QUIET_TIME_MIN)
    }

    /// Records that a queue forms after a quiet time. `fair_rate` is this host's part of the rate at
    /// which the upstreams can start work.
    pub(crate) fn record_first_queued(&mut self, fair_rate: f32, now: Time) {
        let known = self.started.at(RATE_TIME_CONSTANT, now) * QUIET_HEADROOM;
        let expected = fair_rate * RATE_TIME_CONSTANT.as_secs_f32();
        self.started = DecayingSum { value: known.max(expected), at: now };
    }

    /// Records that requests are queued.
    pub(crate) fn record_waiting(&mut self, now: Time) {
        self.last_queued = Some(now);
    }

    /// Returns the current rates.
    pub(crate) fn rates(&self, now: Time) -> Rates {
        let rate =
            |sum: &DecayingSum| sum.at(RATE_TIME_CONSTANT, now) / RATE_TIME_CONSTANT.as_secs_f32();
        Rates {
            start: rate(&self.started).max(RATE_MIN),
            offered: std::array::from_fn(|i| rate(&self.offered[i])),
        }
    }

    /// Returns how often requests of each kind and team fare, for [`Standings::item`].
    pub(crate) fn standings(&self, now: Time) -> Standings {
        let mean = self.all.at(now).share();
        let mut kinds: Vec<(_, f32)> =
            self.kinds.iter().map(|(key, share)| (*key, share.at(now).share())).collect();
        // The shares of less urgent kinds are known when a kind is looked at from the end.
        let (mut best_below, mut best_here) = (0.0_f32, 0.0_f32);
        let mut priority = Priority::Deferrable;
        let mut standings = Vec::with_capacity(kinds.len());
        while let Some((key, share)) = kinds.pop() {
            if key.0 != priority {
                best_below = best_below.max(best_here);
                (priority, best_here) = (key.0, 0.0);
            }
            best_here = best_here.max(share);
            standings.push((key, standing(share, mean, best_below)));
        }
        standings.reverse();
        let teams: Vec<(TeamId, Share)> =
            self.teams.iter().map(|(team, share)| (*team, share.at(now))).collect();
        let active = teams.iter().filter(|(_, share)| share.work > 0.0);
        let mean_work =
            active.clone().map(|(_, share)| share.work).sum::<f32>() / active.count().max(1) as f32;
        let team = |(team, share): (TeamId, Share)| {
            let excess = (share.work / mean_work.max(f32::EPSILON)).max(1.0).log2() as u32;
            (team, (standing(share.share(), mean, 0.0), excess))
        };
        Standings { kinds: standings, teams: teams.into_iter().map(team).collect() }
    }
}

/// How the kinds and teams fare.
#[derive(Clone, Debug)]
pub(crate) struct Standings {
    kinds: Vec<((Priority, u64), Standing)>,
    teams: Vec<(TeamId, (Standing, u32))>,
}

impl Standings {
    /// Returns a request as an item of a plan.
    pub(crate) fn item(
        &self,
        ticket: Option<Ticket>,
        req: &Request,
        estimate: RequestEstimate,
    ) -> Item {
        let kind = find(&self.kinds, &kind_key(req)).unwrap_or_default();
        let (team, team_excess) =
            req.team.and_then(|team| find(&self.teams, &team)).unwrap_or_default();
        let time = estimate.work.mul_f32(RESPONSE_FACTOR);
        Item {
            ticket,
            priority: req.priority,
            work: estimate.work.as_secs_f32(),
            start_by: estimate.objective_at.before(time),
            last_start: req.deadline.before(estimate.work),
            standing: kind.max(team),
            team_excess,
        }
    }
}

/// Compares a share with the mean over all requests, and with the best one of less urgent kinds.
fn standing(share: f32, mean: f32, best_below: f32) -> Standing {
    match () {
        () if share < mean * STARVED_SHARE => Standing::Starved,
        () if share < mean * BEHIND_SHARE => Standing::Behind,
        () if share < best_below * OVERTAKEN_SHARE => Standing::Overtaken,
        () => Standing::Usual,
    }
}

fn kind_key(req: &Request) -> (Priority, u64) {
    (req.priority, req.latency_goal.map_or(0, |goal| goal.kind))
}

fn find<K: Ord, V: Copy>(rows: &[(K, V)], key: &K) -> Option<V> {
    rows.binary_search_by(|(k, _)| k.cmp(key)).ok().map(|index| rows[index].1)
}

/// Returns the counts under a key, which replace the least recently used ones if there are `max`.
fn entry<K: Ord>(rows: &mut Vec<(K, Share)>, key: K, max: usize) -> &mut Share {
    let mut index = match rows.binary_search_by(|(k, _)| k.cmp(&key)) {
        Ok(index) => return &mut rows[index].1,
        Err(index) => index,
    };
    if rows.len() >= max
        && let Some(oldest) = (0..rows.len()).min_by_key(|&i| rows[i].1.at)
    {
        rows.remove(oldest);
        index -= usize::from(oldest < index);
    }
    rows.insert(index, (key, Share::default()));
    &mut rows[index].1
}

fn seconds(seconds: f32) -> Duration {
    Duration::try_from_secs_f32(seconds).unwrap_or(Duration::MAX)
}
