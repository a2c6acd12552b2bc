//! Requests that come, wait, run, and are tried again.

use std::time::Duration;

use rand::{Rng, RngCore};

use super::{NextAttempt, ServiceTable, target};
use crate::config::Priority;
use crate::decide::admission::{Admission, Refusal, Request, Target, Ticket};
use crate::decide::balancing::{self, View};
use crate::decide::capacity::Fleet;
use crate::decide::queue::Waiter;
use crate::decide::upstream::{self, Row, State, UpstreamId};
use crate::error::Code;
use crate::time::Time;

/// The shortest time after which a hedge is due.
const HEDGE_FLOOR: Duration = Duration::from_millis(2);
/// How many times more a late attempt's upstream must cost for a hedge to a busy one.
const HEDGE_FACTOR: f32 = 2.0;
/// The shortest time after which a refused caller is told to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
/// The longest time after which a refused caller is told to come back.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(10);
/// The time after which a caller is told to come back if no upstream takes work.
const RETRY_AFTER_NO_UPSTREAM: Duration = Duration::from_secs(1);

impl ServiceTable {
    /// Decides on a new request.
    pub fn admit(&mut self, req: &Request, now: Time, rng: &mut impl Rng) -> Admission {
        self.requested = Some(now);
        self.retries.earn(self.retry_limits(), now);
        if !self.rows.iter().any(|r| r.state == State::Live) {
            return Admission::Refuse(self.no_upstream());
        }
        if self.is_timed() {
            return self.admit_timed(req, now, rng);
        }
        if self.too_close(req, Duration::ZERO, now) {
            return Admission::Refuse(self.refusal(Code::DeadlineTooClose));
        }
        if self.queue.ahead(req.priority) == 0
            && self.room(req, now)
            && let Some(target) = self.start(&[], now, rng)
        {
            return Admission::Run(target);
        }
        self.enqueue(req, now)
    }

    /// Decides on another attempt for an idempotent request, to an upstream that is not in `tried`.
    /// Returns nothing if the retry budget is spent or no upstream is left.
    pub fn next_attempt(
        &mut self,
        why: NextAttempt,
        tried: &[UpstreamId],
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<Target> {
        let limits = self.retry_limits();
        if !self.retries.ready(limits, now) {
            return None;
        }
        let id = self.choose(tried, now, rng)?;
        if why == NextAttempt::Hedge && !self.better(id, tried.last(), now) {
            return None;
        }
        self.retries.spend(limits, now);
        self.run(id, now)
    }

    /// Decides on another attempt for a request, as [`Self::next_attempt`] does, with what is known of it.
    pub fn next_attempt_for(
        &mut self,
        req: &Request,
        why: NextAttempt,
        tried: &[UpstreamId],
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<Target> {
        if !self.is_timed() {
            return self.next_attempt(why, tried, now, rng);
        }
        let limits = self.retry_limits();
        if !self.retries.ready(limits, now) {
            return None;
        }
        let target = self.again_timed(why == NextAttempt::Hedge, req, tried, now, rng)?;
        self.retries.spend(limits, now);
        Some(target)
    }

    /// Tells whether the retry budget allows another attempt.
    pub fn may_retry(&mut self, now: Time) -> bool {
        let limits = self.retry_limits();
        self.retries.ready(limits, now)
    }

    /// Forgets a request that waits; its caller has gone.
    pub fn abandon_request(&mut self, ticket: Ticket) {
        if !self.queue.remove(ticket) {
            self.evicted.retain(|t| *t != ticket);
        }
    }

    /// Decides on requests that wait: after each [`Self::finish_attempt`] and each tick.
    pub fn release(&mut self, now: Time, rng: &mut impl Rng) -> Vec<(Ticket, Admission)> {
        if self.queue.is_empty() && self.evicted.is_empty() {
            return Vec::new();
        }
        if self.is_timed() && self.rows.iter().any(|r| r.state == State::Live) {
            return self.release_timed(now, rng);
        }
        let mut out = Vec::new();
        self.refuse(now, &mut out);
        while let Some(decided) = self.next(now, rng) {
            out.push(decided);
        }
        out
    }

    /// Returns the time after which a hedge is due, or nothing if none is of use.
    pub fn hedge_delay(&self, id: UpstreamId, now: Time) -> Option<Duration> {
        if self.is_timed() {
            return self.late_timed(id, now);
        }
        let late = Duration::from_micros(self.baseline.late()? as u64);
        let live = self.rows.iter().filter(|r| r.state == State::Live);
        (live.count() > 1).then(|| late.max(HEDGE_FLOOR))
    }

    /// Tells whether the deadline leaves no time for an answer after `wait`.
    fn too_close(&self, req: &Request, wait: Duration, now: Time) -> bool {
        let quickest = self.baseline.quickest(now).unwrap_or_default();
        now + wait + quickest >= req.deadline
    }

    /// Tells whether one more request like `req` may be in flight.
    fn room(&mut self, req: &Request, now: Time) -> bool {
        let (rows, cfg, baseline) = (&mut self.rows, &self.cfg, &self.baseline);
        let fleet = Fleet { size_max: self.facts.fleet_size_max, others: self.others };
        self.capacity.refresh(rows, cfg, baseline, fleet, now);
        let limit = match req.wait_until > now {
            true => self.capacity.limit(req.priority),
            false => self.capacity.limit_without_wait(req.priority),
        };
        self.in_flight < limit
    }

    fn enqueue(&mut self, req: &Request, now: Time) -> Admission {
        let wait = self.wait(self.queue.ahead(req.priority), req.priority);
        if self.too_close(req, wait, now) {
            return Admission::Refuse(self.refusal(Code::DeadlineTooClose));
        }
        if now + wait >= req.wait_until {
            return Admission::Refuse(self.refusal(Code::Overloaded));
        }
        if self.queue.len() >= self.facts.waiting_max {
            // What is pushed out takes room until the next release too.
            let may_push_out = self.evicted.len() < self.facts.waiting_max;
            let Some(waiter) = may_push_out.then(|| self.queue.pop_below(req.priority)).flatten()
            else {
                return Admission::Refuse(self.refusal(Code::Overloaded));
            };
            self.evicted.push(waiter.ticket);
        }
        Admission::Wait(self.queue.push(*req))
    }

    /// Returns the time that a request waits with `ahead` others before it.
    fn wait(&self, ahead: usize, priority: Priority) -> Duration {
        let rounds = ahead as f32 / self.capacity.limit(priority) as f32;
        Duration::from_micros((rounds * self.baseline.mean()) as u64)
    }

    /// Refuses the requests that wait and have no prospect of running.
    fn refuse(&mut self, now: Time, out: &mut Vec<(Ticket, Admission)>) {
        let overloaded = self.refusal(Code::Overloaded);
        out.extend(self.evicted.drain(..).map(|t| (t, Admission::Refuse(overloaded))));
        if !self.rows.iter().any(|r| r.state == State::Live) {
            let refusal = Admission::Refuse(self.no_upstream());
            out.extend(self.queue.drain().map(|w| (w.ticket, refusal.clone())));
            return;
        }
        let quickest = self.baseline.quickest(now).unwrap_or_default();
        let late = self.queue.expire(now, |req| expired(req, quickest, now).is_some());
        out.extend(late.iter().filter_map(|w| self.late(w, now)));
    }

    /// Returns the refusal of a request that has waited too long.
    fn late(&self, waiter: &Waiter, now: Time) -> Option<(Ticket, Admission)> {
        let quickest = self.baseline.quickest(now).unwrap_or_default();
        let code = expired(&waiter.req, quickest, now)?;
        Some((waiter.ticket, Admission::Refuse(self.refusal(code))))
    }

    /// Decides on the request that goes next, if it is late or may run.
    fn next(&mut self, now: Time, rng: &mut impl Rng) -> Option<(Ticket, Admission)> {
        let waiter = *self.queue.front()?;
        let decided = match self.late(&waiter, now) {
            Some(refused) => refused,
            None if !self.room(&waiter.req, now) => return None,
            None => (waiter.ticket, Admission::Run(self.start(&[], now, rng)?)),
        };
        self.queue.pop();
        Some(decided)
    }

    fn start(&mut self, tried: &[UpstreamId], now: Time, rng: &mut impl Rng) -> Option<Target> {
        let id = self.choose(tried, now, rng)?;
        self.run(id, now)
    }

    fn choose(
        &mut self,
        tried: &[UpstreamId],
        now: Time,
        rng: &mut dyn RngCore,
    ) -> Option<UpstreamId> {
        let cold_start = Duration::from_millis(self.cfg.cold_start_ms);
        balancing::collect(&self.rows, tried, cold_start, now, rng, &mut self.open);
        let view = View {
            rows: &self.rows,
            open: &self.open,
            baseline: &self.baseline,
            slots: self.cfg.slots,
            now,
        };
        balancing::choose(self.facts.policy, &view, rng)
    }

    fn run(&mut self, id: UpstreamId, now: Time) -> Option<Target> {
        self.choices += 1;
        self.in_flight += 1;
        let row = upstream::find_mut(&mut self.rows, id)?;
        row.chosen = self.choices;
        row.started(now);
        Some(target(row))
    }

    /// Tells whether a hedge to `id` is likely to answer before the attempt at `late`: it is idle
    /// and no slower, or the other one is far worse.
    fn better(&self, id: UpstreamId, late: Option<&UpstreamId>, now: Time) -> bool {
        let cost = |r: &Row| r.cost(&self.baseline, self.cfg.slots, 0.0, now);
        let slowness = |r: &Row| r.slowness(&self.baseline, now);
        let Some(row) = upstream::find(&self.rows, id) else { return false };
        let idle = row.expected(&self.baseline, now) < self.cfg.slots as f32;
        let Some(late) = late.and_then(|id| upstream::find(&self.rows, *id)) else { return idle };
        idle && slowness(row) <= slowness(late) || cost(row) * HEDGE_FACTOR < cost(late)
    }

    fn refusal(&self, code: Code) -> Refusal {
        let ahead = self.queue.len() + self.in_flight as usize;
        let drained = self.wait(ahead, Priority::Normal);
        Refusal { code, retry_after: drained.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX) }
    }

    fn no_upstream(&self) -> Refusal {
        Refusal { code: Code::NoUpstream, retry_after: RETRY_AFTER_NO_UPSTREAM }
    }
}

/// Returns why a request that waits can't run any more, if it can't.
fn expired(req: &Request, quickest: Duration, now: Time) -> Option<Code> {
    match () {
        () if now + quickest >= req.deadline => Some(Code::DeadlineTooClose),
        () if now >= req.wait_until => Some(Code::WaitedTooLong),
        () => None,
    }
}
