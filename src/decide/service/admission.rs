//! Admission, queueing, and retries and hedges of requests.

use std::time::Duration;

use rand::{Rng, RngCore};

use super::{NextAttempt, ServiceTable, target};
use crate::config::Priority;
use crate::decide::admission::{Admission, Refusal, Request, Target, Ticket};
use crate::decide::balancing::{self, View};
use crate::decide::capacity::Fleet;
use crate::decide::queue::QueuedRequest;
use crate::decide::retry::RetryUsage;
use crate::decide::upstream::{self, Row, UpstreamId};
use crate::error::Code;
use crate::time::Time;

/// The shortest time after which a hedge may start.
const HEDGE_DELAY_MIN: Duration = Duration::from_millis(2);
/// A hedge goes to a busy or slower upstream only if its cost times this factor is below that of
/// the hedged attempt's upstream.
const HEDGE_FACTOR: f32 = 2.0;
/// The shortest retry-after time of a refusal.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
/// The longest retry-after time of a refusal.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(10);
/// Retry-after time of a refusal if the service has no live upstream.
const RETRY_AFTER_NO_UPSTREAM: Duration = Duration::from_secs(1);

/// The refusal of a request whose upstreams don't respond to this host. Another host may serve it at
/// once.
const UNREACHABLE: Refusal =
    Refusal { code: Code::UpstreamsUnreachable, retry_after: RETRY_AFTER_MIN };

impl ServiceTable {
    /// Runs, queues or refuses a new request.
    pub fn admit(&mut self, req: &Request, now: Time, rng: &mut impl Rng) -> Admission {
        self.last_request = Some(now);
        if !req.is_relayed {
            self.retry_budget.record_request(self.retry_limits(), now);
        }
        if self.is_cut_off(now) {
            return Admission::Refuse(UNREACHABLE);
        }
        if !self.rows.iter().any(|r| r.takes_requests()) {
            return Admission::Refuse(self.no_upstream_refusal());
        }
        if self.uses_occupancy() {
            return self.admit_by_occupancy(req, now, rng);
        }
        if self.misses_deadline(req, Duration::ZERO, now)
            || self.opens_at(now).is_none_or(|at| at >= req.deadline)
        {
            let mut refusal = self.refusal(Code::DeadlineTooClose);
            if self.has_warm_up() {
                refusal.retry_after += now.until(self.resumes_at(now));
            }
            return Admission::Refuse(refusal);
        }
        if self.queue.ahead(req.priority) == 0
            && self.has_capacity(req, now)
            && let Some(target) = self.start_attempt(&[], now, rng)
        {
            return Admission::Run(target);
        }
        self.enqueue(req, now)
    }

    /// Starts another attempt of an idempotent request at an upstream that is not in `tried`. For a
    /// hedge, the last entry of `tried` is the hedged attempt's upstream. Returns `None` if the
    /// retry budget is spent or no suitable upstream is left.
    pub fn next_attempt(
        &mut self,
        reason: NextAttempt,
        tried: &[UpstreamId],
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<Target> {
        let limits = self.retry_limits();
        if !self.retry_budget.allows_retry(limits, now) {
            return None;
        }
        let id = self.choose_upstream(tried, now, rng)?;
        if reason == NextAttempt::Hedge && !self.is_better_hedge(id, tried.last(), now) {
            return None;
        }
        self.retry_budget.record_retry(limits, now);
        self.assign(id, now)
    }

    /// Starts another attempt like [`Self::next_attempt`], and takes the request's deadline and
    /// latency goal into account where upstreams report their occupancy.
    pub fn next_attempt_for(
        &mut self,
        req: &Request,
        reason: NextAttempt,
        tried: &[UpstreamId],
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<Target> {
        if !self.uses_occupancy() {
            return self.next_attempt(reason, tried, now, rng);
        }
        let limits = self.retry_limits();
        if !self.retry_budget.allows_retry(limits, now) {
            return None;
        }
        let target =
            self.next_attempt_by_occupancy(reason == NextAttempt::Hedge, req, tried, now, rng)?;
        self.retry_budget.record_retry(limits, now);
        Some(target)
    }

    /// Starts an attempt in place of one at `unsent` that was not sent and is yet to be finished, at
    /// another upstream. It needs no retry budget, as no upstream has received the request. Returns
    /// `None` if no suitable upstream is left.
    pub fn reassign(
        &mut self,
        req: &Request,
        unsent: UpstreamId,
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<Target> {
        match self.uses_occupancy() {
            true => self.next_attempt_by_occupancy(false, req, &[unsent], now, rng),
            false => self.start_attempt(&[unsent], now, rng),
        }
    }

    /// Returns whether the retry budget allows another attempt.
    pub fn may_retry(&mut self, now: Time) -> bool {
        let limits = self.retry_limits();
        self.retry_budget.allows_retry(limits, now)
    }

    /// Returns what the retry budget has counted.
    pub(crate) fn retry_usage(&mut self, now: Time) -> RetryUsage {
        let limits = self.retry_limits();
        self.retry_budget.usage(limits, now)
    }

    /// Removes a queued request whose caller has disconnected.
    pub fn abandon_request(&mut self, ticket: Ticket) {
        if !self.queue.remove(ticket) {
            self.evicted.retain(|t| *t != ticket);
        }
    }

    /// Runs or refuses queued requests. Must be called after each [`Self::finish_attempt`] and on
    /// each tick.
    pub fn release(&mut self, now: Time, rng: &mut impl Rng) -> Vec<(Ticket, Admission)> {
        if self.queue.is_empty() && self.evicted.is_empty() {
            return Vec::new();
        }
        if self.is_cut_off(now) {
            let queued = self.queue.drain().map(|q| q.ticket);
            let tickets = queued.chain(self.evicted.drain(..));
            return tickets.map(|t| (t, Admission::Refuse(UNREACHABLE))).collect();
        }
        if self.uses_occupancy() && self.rows.iter().any(|r| r.takes_requests()) {
            return self.release_by_occupancy(now, rng);
        }
        let mut out = Vec::new();
        self.refuse_expired(now, &mut out);
        while let Some(decision) = self.decide_next(now, rng) {
            out.push(decision);
        }
        out
    }

    /// Returns the time after which a hedge may start beside the attempt just sent to `id`, or
    /// `None` if none should start.
    pub fn hedge_delay(&self, id: UpstreamId, now: Time) -> Option<Duration> {
        if self.uses_occupancy() {
            return self.hedge_delay_by_occupancy(id, now);
        }
        let high_latency = Duration::from_micros(self.baseline.high_latency()? as u64);
        let live = self.rows.iter().filter(|r| r.takes_requests());
        (live.count() > 1).then(|| high_latency.max(HEDGE_DELAY_MIN))
    }

    /// Returns the time that few responses of the service exceed; zero before there were enough.
    pub fn high_latency(&self) -> Duration {
        Duration::from_micros(self.baseline.high_latency().unwrap_or_default() as u64)
    }

    /// Returns whether a request that waits for `wait` first can't get a response before its
    /// deadline.
    fn misses_deadline(&self, req: &Request, wait: Duration, now: Time) -> bool {
        let low_latency = self.baseline.low_latency(now).unwrap_or_default();
        now + wait + low_latency >= req.deadline
    }

    /// Returns whether one more request like `req` may be in flight.
    fn has_capacity(&mut self, req: &Request, now: Time) -> bool {
        let (rows, cfg, baseline) = (&mut self.rows, &self.cfg, &self.baseline);
        let fleet = Fleet { size_max: self.host_info.fleet_size_max, live_peers: self.live_peers };
        self.capacity.refresh(rows, cfg, baseline, fleet, now);
        let limit = match req.wait_until > now {
            true => self.capacity.limit(req.priority),
            false => self.capacity.limit_without_wait(req.priority),
        };
        self.in_flight < limit
    }

    fn enqueue(&mut self, req: &Request, now: Time) -> Admission {
        let wait = self.queue_delay(self.queue.ahead(req.priority), req.priority);
        if self.misses_deadline(req, wait, now) {
            return Admission::Refuse(self.refusal(Code::DeadlineTooClose));
        }
        if now + wait >= req.wait_until {
            return Admission::Refuse(self.refusal(Code::Overloaded));
        }
        if self.queue.len() >= self.host_info.waiting_max {
            // Evicted requests stay in memory until the next release, so their number is limited
            // too.
            let may_evict = self.evicted.len() < self.host_info.waiting_max;
            let Some(queued) = may_evict.then(|| self.queue.pop_below(req.priority)).flatten()
            else {
                return Admission::Refuse(self.refusal(Code::Overloaded));
            };
            self.evicted.push(queued.ticket);
        }
        Admission::Wait(self.queue.push(*req))
    }

    /// Returns the expected wait of a request with `ahead` requests before it in the queue.
    fn queue_delay(&self, ahead: usize, priority: Priority) -> Duration {
        let rounds = ahead as f32 / self.capacity.limit(priority) as f32;
        Duration::from_micros((rounds * self.baseline.mean()) as u64)
    }

    /// Refuses the evicted requests and the expired ones, or all queued ones if no upstream is
    /// live.
    fn refuse_expired(&mut self, now: Time, out: &mut Vec<(Ticket, Admission)>) {
        let overloaded = self.refusal(Code::Overloaded);
        out.extend(self.evicted.drain(..).map(|t| (t, Admission::Refuse(overloaded))));
        if !self.rows.iter().any(|r| r.takes_requests()) {
            let refusal = Admission::Refuse(self.no_upstream_refusal());
            out.extend(self.queue.drain().map(|q| (q.ticket, refusal.clone())));
            return;
        }
        let low_latency = self.baseline.low_latency(now).unwrap_or_default();
        let expired = self.queue.expire(now, |req| expiry_code(req, low_latency, now).is_some());
        out.extend(expired.iter().filter_map(|q| self.expiry_refusal(q, now)));
    }

    /// Returns the refusal of a queued request if it has expired.
    fn expiry_refusal(&self, queued: &QueuedRequest, now: Time) -> Option<(Ticket, Admission)> {
        let low_latency = self.baseline.low_latency(now).unwrap_or_default();
        let code = expiry_code(&queued.req, low_latency, now)?;
        Some((queued.ticket, Admission::Refuse(self.refusal(code))))
    }

    /// Decides on the request at the head of the queue if it has expired or may run.
    fn decide_next(&mut self, now: Time, rng: &mut impl Rng) -> Option<(Ticket, Admission)> {
        let queued = *self.queue.front()?;
        let decision = match self.expiry_refusal(&queued, now) {
            Some(refused) => refused,
            None if !self.has_capacity(&queued.req, now) => return None,
            None => (queued.ticket, Admission::Run(self.start_attempt(&[], now, rng)?)),
        };
        self.queue.pop();
        Some(decision)
    }

    fn start_attempt(
        &mut self,
        tried: &[UpstreamId],
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<Target> {
        let id = self.choose_upstream(tried, now, rng)?;
        self.assign(id, now)
    }

    fn choose_upstream(
        &mut self,
        tried: &[UpstreamId],
        now: Time,
        rng: &mut dyn RngCore,
    ) -> Option<UpstreamId> {
        let cold_start = Duration::from_millis(self.cfg.cold_start_ms);
        balancing::collect_candidates(
            &self.rows,
            tried,
            cold_start,
            now,
            rng,
            &mut self.candidates,
        );
        let view = View {
            rows: &self.rows,
            candidates: &self.candidates,
            baseline: &self.baseline,
            slots: self.cfg.slots,
            now,
        };
        balancing::choose(self.host_info.policy, &view, rng)
    }

    /// Starts an attempt at an upstream.
    fn assign(&mut self, id: UpstreamId, now: Time) -> Option<Target> {
        self.choice_count += 1;
        self.in_flight += 1;
        let row = upstream::find_mut(&mut self.rows, id)?;
        row.last_chosen = self.choice_count;
        row.take_permit(now);
        row.begin_attempt(now);
        Some(target(row))
    }

    /// Returns whether a hedge at `id` is likely to finish before the attempt at `hedged`:
    /// its upstream has a free slot and is no slower, or the other one costs far more.
    fn is_better_hedge(&self, id: UpstreamId, hedged: Option<&UpstreamId>, now: Time) -> bool {
        let cost = |r: &Row| r.cost(&self.baseline, self.cfg.slots, 0.0, now);
        let slowness = |r: &Row| r.slowness(&self.baseline, now);
        let Some(row) = upstream::find(&self.rows, id) else { return false };
        let has_free_slot = row.expected_in_flight(&self.baseline, now) < self.cfg.slots as f32;
        let Some(hedged) = hedged.and_then(|id| upstream::find(&self.rows, *id)) else {
            return has_free_slot;
        };
        has_free_slot && slowness(row) <= slowness(hedged)
            || cost(row) * HEDGE_FACTOR < cost(hedged)
    }

    fn refusal(&self, code: Code) -> Refusal {
        let ahead = self.queue.len() + self.in_flight as usize;
        let drain_time = self.queue_delay(ahead, Priority::Normal);
        Refusal { code, retry_after: drain_time.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX) }
    }

    fn no_upstream_refusal(&self) -> Refusal {
        Refusal { code: Code::NoUpstream, retry_after: RETRY_AFTER_NO_UPSTREAM }
    }
}

/// Returns the code with which a queued request is refused if it has expired.
fn expiry_code(req: &Request, low_latency: Duration, now: Time) -> Option<Code> {
    match () {
        () if now + low_latency >= req.deadline => Some(Code::DeadlineTooClose),
        () if now >= req.wait_until => Some(Code::WaitedTooLong),
        () => None,
    }
}
