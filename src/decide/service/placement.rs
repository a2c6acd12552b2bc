//! Requests of a service whose upstreams tell their occupancy: who runs where, who waits, and who is
//! refused.
//!
//! A request runs only where a slot is expected to be free, and waits here otherwise: what waits at
//! an upstream can't be overtaken by something more urgent, nor go where a slot comes free first.

use std::cmp::Reverse;
use std::time::Duration;

use rand::{Rng, RngCore};

use super::{ServiceTable, target};
use crate::config::{LoadFormat, Priority};
use crate::decide::admission::{Admission, PlacementEstimate, Refusal, Request, Target, Ticket};
use crate::decide::availability::SLOW;
use crate::decide::kinds::{Expected, LatencyGoal};
use crate::decide::load::Timing;
use crate::decide::queue::Waiter;
use crate::decide::upstream::{self, Row, State, UpstreamId};
use crate::error::Code;
use crate::time::Time;

/// Requests expected at an upstream beside a new one, as a part of one, up to which a slot counts as
/// free: reports that age have fractions.
const FREE_MARGIN: f32 = 0.5;
/// Time that a request waits for a report of any upstream: what a slow answer to a probe takes.
const BLIND_AFTER: Duration = Duration::from_millis(25);
/// Time that it waits while no upstream answers probes.
const UNANSWERED_AFTER: Duration = Duration::from_millis(150);
/// Age from which an unanswered probe says nothing of the present any more.
const PROBE_AGE_MAX: Duration = Duration::from_millis(500);
/// Requests that wait that are tried in vain in one go.
const TRIES_MAX: usize = 6;
/// Multiple of the expected time after which a request is late.
const LATE_FACTOR: f32 = 1.8;
/// Spread of the time after which refused callers come back, so that they don't return together.
const RETRY_AFTER_SPREAD: std::ops::Range<f32> = 0.6..1.6;
/// The shortest and the longest time after which a refused caller is told to come back.
const RETRY_AFTER: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(40)..=Duration::from_secs(2);
/// Age over which work that was started loses most of its weight in the rate (a factor of e).
const RATE_LIFE: Duration = Duration::from_secs(1);

/// The rate at which this host starts work: seconds of work a second, as a decaying sum.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WorkRate {
    sum: f32,
    at: Time,
}

impl WorkRate {
    fn started(&mut self, work: Duration, now: Time) {
        self.sum = self.at(now) + work.as_secs_f32() / RATE_LIFE.as_secs_f32();
        self.at = now;
    }

    fn at(&self, now: Time) -> f32 {
        self.sum * (-now.since(self.at).as_secs_f32() / RATE_LIFE.as_secs_f32()).exp()
    }

    /// Returns the time until so much work is started; nothing if that is beyond all bounds.
    fn time_to_start(&self, work: Duration, now: Time) -> Option<Duration> {
        let rate = self.at(now).max(f32::EPSILON);
        Duration::try_from_secs_f32(work.as_secs_f32() / rate).ok()
    }
}

/// Where a request may go.
#[derive(Clone, Copy, Debug)]
struct Place {
    id: UpstreamId,
    time: Duration,
    slowdown: f32,
    load: f32,
}

/// What is known of an upstream's occupancy, from least to most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Knowledge {
    /// It was asked a short time ago and has not answered.
    Unanswered,
    /// Its last report is old.
    Unasked,
    /// Its last report is as good as a new one.
    Fresh,
}

fn knowledge(row: &Row, now: Time) -> Knowledge {
    if row.has_fresh_report(now) {
        return Knowledge::Fresh;
    }
    let probed = now.since(row.probed);
    let is_asked = row.probed > Time::ZERO && row.occupancy_age(now).is_none_or(|age| probed < age);
    match is_asked && probed < PROBE_AGE_MAX {
        true => Knowledge::Unanswered,
        false => Knowledge::Unasked,
    }
}

/// Returns what has to be known of an upstream for a request that has waited so long. A report is
/// needed as long as some upstream gives one: to send blindly what others wait to send fills
/// upstreams that are full already.
fn knowledge_needed(open: &[&Row], waited: Duration, now: Time) -> Knowledge {
    let best = open.iter().map(|r| knowledge(r, now)).max();
    match best {
        Some(Knowledge::Fresh) => Knowledge::Fresh,
        _ if waited < BLIND_AFTER => Knowledge::Fresh,
        Some(Knowledge::Unasked) => Knowledge::Unasked,
        _ if waited < UNANSWERED_AFTER => Knowledge::Unasked,
        _ => Knowledge::Unanswered,
    }
}

/// Tells whether an upstream is not ejected and, while it starts, whether this is one of the share of
/// requests that it gets.
fn is_open(row: &Row, cold_start: Duration, now: Time, rng: &mut dyn RngCore) -> bool {
    if row.health.ejected(now) {
        return false;
    }
    let share = row.health.share(cold_start, now);
    share >= 1.0 || rng.random::<f32>() < share
}

/// Returns how long a request has waited.
fn waited(req: &Request, now: Time) -> Duration {
    req.latency_goal.map_or(Duration::ZERO, |aim| now.since(aim.arrived))
}

impl ServiceTable {
    /// Tells whether the service's upstreams tell their occupancy.
    pub(super) fn is_timed(&self) -> bool {
        self.cfg.load_format == LoadFormat::Occupancy
    }

    /// Decides on a new request.
    pub(super) fn admit_timed(
        &mut self,
        req: &Request,
        now: Time,
        rng: &mut impl Rng,
    ) -> Admission {
        let expected = self.expected(req, now);
        if now + expected.work >= req.deadline {
            return Admission::Refuse(self.refusal_timed(Code::DeadlineTooClose, now, rng));
        }
        if !self.is_behind(req, expected, now)
            && let Some(target) = self.try_start(req, expected, now, rng)
        {
            return Admission::Run(target);
        }
        if self.is_hopeless(req, expected, now) || self.queue.len() >= self.facts.waiting_max {
            return Admission::Refuse(self.refusal_timed(Code::Overloaded, now, rng));
        }
        let req = Request { expected: Some(expected), ..*req };
        Admission::Wait(self.queue.push(req))
    }

    /// Decides on requests that wait.
    pub(super) fn release_timed(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<(Ticket, Admission)> {
        let mut out = Vec::new();
        self.refuse_timed(now, rng, &mut out);
        let mut waiters = self.waiters(now);
        waiters.sort_by_key(|(w, expected)| rank(&w.req, *expected, now));
        let mut vain = 0;
        for (waiter, expected) in waiters {
            match self.try_start(&waiter.req, expected, now, rng) {
                Some(target) => {
                    self.queue.remove(waiter.ticket);
                    out.push((waiter.ticket, Admission::Run(target)));
                }
                None => vain += 1,
            }
            if vain == TRIES_MAX {
                break;
            }
        }
        out
    }

    /// Starts another attempt at an upstream that is not in `tried`. A hedge goes to an upstream that
    /// isn't slow.
    pub(super) fn again_timed(
        &mut self,
        hedge: bool,
        req: &Request,
        tried: &[UpstreamId],
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<Target> {
        let expected = self.expected(req, now);
        if hedge && !self.queue.is_empty() {
            return None;
        }
        let place = self.place(req, expected, tried, now, rng)?;
        if now + place.time >= req.deadline || hedge && place.slowdown >= SLOW {
            return None;
        }
        self.start_at(&place, req, expected, now)
    }

    /// Returns the time after which an attempt that has just been started is late.
    pub(super) fn late_timed(&self, id: UpstreamId, now: Time) -> Option<Duration> {
        let row = upstream::find(&self.rows, id)?;
        let timing = row.sent.last()?.timing?;
        let slowdown = row.expected_slowdown(self.supply.slowdown(), now);
        let slowdown = timing.slowdown.min(slowdown).max(1.0);
        Some(timing.work.mul_f32(slowdown * LATE_FACTOR))
    }

    /// Returns what is expected of a request.
    fn expected(&mut self, req: &Request, now: Time) -> Expected {
        let whole = now.until(req.deadline);
        let aim = req.latency_goal.unwrap_or(LatencyGoal {
            kind: 0,
            objective: whole,
            arrived: now,
            time_left: whole,
        });
        req.expected.unwrap_or_else(|| self.kinds.expect(&aim))
    }

    /// Starts a request if there is a place for it at present: one that answers in time, or any
    /// if no place could any more.
    fn try_start(
        &mut self,
        req: &Request,
        expected: Expected,
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<Target> {
        let place = self.place(req, expected, &[], now, rng)?;
        let answered = now + place.time;
        let fits =
            answered <= expected.objective || expected.is_late(now) && answered < req.deadline;
        if !fits {
            return None;
        }
        self.start_at(&place, req, expected, now)
    }

    fn start_at(
        &mut self,
        place: &Place,
        req: &Request,
        expected: Expected,
        now: Time,
    ) -> Option<Target> {
        self.work_rate.started(expected.work, now);
        self.choices += 1;
        self.in_flight += 1;
        let row = upstream::find_mut(&mut self.rows, place.id)?;
        let report_age = row.occupancy_age(now);
        let fresh = row.has_fresh_report(now);
        row.chosen = self.choices;
        row.started(now);
        if let Some(sent) = row.sent.last_mut() {
            sent.timing = Some(Timing {
                kind: req.latency_goal.map_or(0, |a| a.kind),
                work: expected.work,
                slowdown: place.slowdown,
                load: place.load,
                fresh,
            });
        }
        let choice = PlacementEstimate {
            load: place.load,
            slowdown: place.slowdown,
            report_age,
            expected: place.time,
        };
        Some(Target { estimate: Some(choice), ..target(row) })
    }

    /// Returns the upstream with a free slot that is expected to answer first.
    fn place(
        &self,
        req: &Request,
        expected: Expected,
        tried: &[UpstreamId],
        now: Time,
        rng: &mut dyn RngCore,
    ) -> Option<Place> {
        let open = self.open_rows(tried, now, rng);
        let needed = knowledge_needed(&open, waited(req, now), now);
        let mut best: Option<(f32, Place)> = None;
        let start = rng.random_range(0..open.len().max(1));
        let (before, after) = open.split_at(start.min(open.len()));
        for &row in after.iter().chain(before) {
            if knowledge(row, now) < needed {
                continue;
            }
            let slots = row.slots(self.cfg.slots);
            let load = row.expected_load(slots, now);
            if load + FREE_MARGIN > self.concurrency.limit(slots) as f32 {
                continue;
            }
            let cost = self.cost_of(row, now);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, self.place_at(row, expected, load, now)));
            }
        }
        best.map(|(_, place)| place)
    }

    fn place_at(&self, row: &Row, expected: Expected, load: f32, now: Time) -> Place {
        let mean = self.supply.slowdown();
        let time = expected.work.mul_f32(row.expected_time(self.cfg.slots, mean, now));
        let slowdown = row.expected_slowdown(mean, now);
        Place { id: row.id, time, slowdown, load }
    }

    /// Returns the upstreams that take requests at present. If there is none but those that are
    /// ejected or have just started, these do.
    fn open_rows(&self, tried: &[UpstreamId], now: Time, rng: &mut dyn RngCore) -> Vec<&Row> {
        let cold_start = Duration::from_millis(self.cfg.cold_start_ms);
        let usable =
            |r: &&Row| r.state == State::Live && !r.health.refusing(now) && !tried.contains(&r.id);
        let usable: Vec<&Row> = self.rows.iter().filter(usable).collect();
        let open: Vec<&Row> =
            usable.iter().copied().filter(|r| is_open(r, cold_start, now, rng)).collect();
        if open.is_empty() { usable } else { open }
    }

    /// Returns the requests that wait, with what is expected of each.
    fn waiters(&mut self, now: Time) -> Vec<(Waiter, Expected)> {
        let waiters: Vec<Waiter> = self.queue.iter().copied().collect();
        waiters.into_iter().map(|w| (w, self.expected(&w.req, now))).collect()
    }

    /// Tells whether a request that waits goes before a new one.
    fn is_behind(&mut self, req: &Request, expected: Expected, now: Time) -> bool {
        let own = rank(req, expected, now);
        self.waiters(now).iter().any(|(w, expected)| rank(&w.req, *expected, now) < own)
    }

    /// Tells whether a request has no prospect of an answer in time, while others that have one
    /// need every slot.
    fn is_hopeless(&mut self, req: &Request, expected: Expected, now: Time) -> bool {
        let waiters = self.waiters(now);
        let ahead = waiters
            .iter()
            .filter(|(w, expected)| w.req.priority <= req.priority && !expected.is_late(now));
        let work: Duration = ahead.map(|(_, expected)| expected.work).sum();
        if work.is_zero() {
            return false;
        }
        let wait = self.work_rate.time_to_start(work, now).unwrap_or(Duration::MAX);
        now + wait.saturating_add(expected.work) > expected.objective
    }

    /// Refuses what waits and can't be answered before its deadline, and what can't be answered in
    /// time any more while there is something that can.
    fn refuse_timed(&mut self, now: Time, rng: &mut impl Rng, out: &mut Vec<(Ticket, Admission)>) {
        let mut waiters = self.waiters(now);
        let is_over = |w: &Waiter, expected: &Expected| now + expected.work >= w.req.deadline;
        let is_needed = waiters.iter().any(|(w, e)| !is_over(w, e) && !e.is_late(now));
        waiters.sort_by_key(|(w, _)| Reverse(w.ticket));
        for (waiter, expected) in waiters {
            let code = match () {
                () if is_over(&waiter, &expected) => Code::DeadlineTooClose,
                () if is_needed && expected.is_late(now) => Code::Overloaded,
                () => continue,
            };
            self.queue.remove(waiter.ticket);
            let refusal = self.refusal_timed(code, now, rng);
            out.push((waiter.ticket, Admission::Refuse(refusal)));
        }
    }

    /// Returns a refusal with the time at which there may be room.
    fn refusal_timed(&mut self, code: Code, now: Time, rng: &mut impl Rng) -> Refusal {
        let work = self.waiters(now).iter().map(|(_, expected)| expected.work).sum();
        let drained = self.work_rate.time_to_start(work, now).unwrap_or(*RETRY_AFTER.end());
        let after = drained.clamp(*RETRY_AFTER.start(), *RETRY_AFTER.end());
        let spread = rng.random_range(RETRY_AFTER_SPREAD);
        Refusal { code, retry_after: after.mul_f32(spread) }
    }
}

/// Returns the place of a request among those that wait: those that can still be answered in time
/// first, by priority, and then those whose time runs out first.
fn rank(req: &Request, expected: Expected, now: Time) -> (bool, Priority, Time) {
    (expected.is_late(now), req.priority, expected.objective)
}
