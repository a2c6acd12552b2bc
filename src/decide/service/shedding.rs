//! Admission and queueing by what delay and refusal cost callers.

use rand::Rng;

use super::ServiceTable;
use super::placement::{FAILED_TRIES_MAX, RETRY_AFTER_RANGE, RETRY_AFTER_SPREAD};
use crate::config::Priority;
use crate::decide::admission::{Admission, Refusal, Request, Ticket};
use crate::decide::kinds::RequestEstimate;
use crate::decide::queue::QueuedRequest;
use crate::decide::shedding::{self, Item, Outcome, Plan, Shedding, Standing};
use crate::error::Code;
use crate::time::Time;

impl ServiceTable {
    /// Sets how requests are chosen that are delayed or refused where upstreams report their
    /// occupancy.
    pub fn set_shedding(&mut self, shedding: Shedding) {
        self.shedding = shedding;
    }

    /// Runs, queues or refuses a new request.
    pub(super) fn admit_by_cost(
        &mut self,
        req: &Request,
        now: Time,
        rng: &mut impl Rng,
    ) -> Admission {
        let estimate = self.estimate_request(req, now);
        self.shedding_load.record_arrival(req, estimate, now);
        if self.opens_at(now).is_none_or(|at| at + estimate.work >= req.deadline) {
            return self.refuse_by_cost(req, Code::DeadlineTooClose, now, rng);
        }
        if self.queue.is_empty() {
            return match self.start_by_cost(req, estimate, false, now, rng) {
                Some(admission) => admission,
                None if self.host_info.waiting_max == 0 => {
                    self.refuse_by_cost(req, Code::Overloaded, now, rng)
                }
                None => self.enqueue_by_cost(req, estimate, now),
            };
        }
        let mut items = self.queued_items(now);
        let own = items.len();
        items.push(self.shedding_load.standings(now).item(None, req, estimate));
        let plan = shedding::plan(&items, &self.shedding_load.rates(now), now);
        let is_full = self.queue.len() >= self.host_info.waiting_max;
        let least = plan.order().next_back().filter(|_| is_full);
        let may_evict = self.evicted.len() < self.host_info.waiting_max;
        let is_refused = plan.refuses(own) || is_full && (least == Some(own) || !may_evict);
        // A slot that is free although requests are queued was of no use to them.
        if (is_refused || plan.order().next() == Some(own))
            && let Some(admission) =
                self.start_by_cost(req, estimate, may_be_late(&items, &plan, own), now, rng)
        {
            return admission;
        }
        if is_refused {
            return self.refuse_by_cost(req, Code::Overloaded, now, rng);
        }
        if let Some(evicted) = least.and_then(|index| items[index].ticket) {
            self.evict(evicted, now);
        }
        self.enqueue_by_cost(req, estimate, now)
    }

    /// Runs or refuses queued requests.
    pub(super) fn release_by_cost(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<(Ticket, Admission)> {
        let mut out = Vec::new();
        for ticket in std::mem::take(&mut self.evicted) {
            let refusal = self.refusal_by_cost(Priority::Deferrable, Code::Overloaded, now, rng);
            out.push((ticket, Admission::Refuse(refusal)));
        }
        if self.queue.is_empty() {
            return out;
        }
        self.shedding_load.record_waiting(now);
        let queued: Vec<QueuedRequest> = self.queue.iter().copied().collect();
        let items = self.queued_items(now);
        let plan = shedding::plan(&items, &self.shedding_load.rates(now), now);
        let mut is_decided = vec![false; queued.len()];
        for section in [&plan.on_time, &plan.late] {
            let mut failed_tries = 0;
            for &index in section {
                let queued = &queued[index];
                let estimate = self.estimate_request(&queued.req, now);
                let may_be_late = may_be_late(&items, &plan, index);
                match self.start_by_cost(&queued.req, estimate, may_be_late, now, rng) {
                    Some(admission) => {
                        self.queue.remove(queued.ticket);
                        is_decided[index] = true;
                        out.push((queued.ticket, admission));
                    }
                    None => failed_tries += 1,
                }
                if failed_tries == FAILED_TRIES_MAX {
                    break;
                }
            }
        }
        // What was started leaves more room than planned for, which the next release knows.
        let has_started = is_decided.contains(&true);
        let opens_at = self.opens_at(now);
        for (index, queued) in queued.iter().enumerate().filter(|(i, _)| !is_decided[*i]) {
            let work = self.estimate_request(&queued.req, now).work;
            let code = match () {
                () if opens_at.is_none_or(|at| at + work >= queued.req.deadline) => {
                    Code::DeadlineTooClose
                }
                () if !has_started && plan.refuses(index) => Code::Overloaded,
                () => continue,
            };
            self.queue.remove(queued.ticket);
            let refusal = self.refuse_by_cost(&queued.req, code, now, rng);
            out.push((queued.ticket, refusal));
        }
        out
    }

    /// Returns the queued requests as items of a plan, in the order of the queue.
    fn queued_items(&mut self, now: Time) -> Vec<Item> {
        let standings = self.shedding_load.standings(now);
        let queued: Vec<QueuedRequest> = self.queue.iter().copied().collect();
        let item = |q: QueuedRequest| {
            let estimate = self.estimate_request(&q.req, now);
            standings.item(Some(q.ticket), &q.req, estimate)
        };
        queued.into_iter().map(item).collect()
    }

    fn start_by_cost(
        &mut self,
        req: &Request,
        estimate: RequestEstimate,
        may_be_late: bool,
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<Admission> {
        let is_late = estimate.misses_objective(now);
        if is_late && !may_be_late && self.availability.is_scarce() {
            return None;
        }
        let target = self.try_start(req, estimate, now, rng)?;
        self.shedding_load.record_outcome(req, Outcome::Started(estimate.work), now);
        Some(Admission::Run(target))
    }

    fn enqueue_by_cost(
        &mut self,
        req: &Request,
        estimate: RequestEstimate,
        now: Time,
    ) -> Admission {
        if self.shedding_load.is_quiet(now) {
            let rate = self.fair_work_rate(now);
            self.shedding_load.record_first_queued(rate, now);
        }
        self.shedding_load.record_waiting(now);
        let req = Request { estimate: Some(estimate), ..*req };
        Admission::Wait(self.queue.push(req))
    }

    /// Removes a request from the queue in favour of another one. The next release refuses it.
    fn evict(&mut self, ticket: Ticket, now: Time) {
        let Some(req) = self.queue.iter().find(|q| q.ticket == ticket).map(|q| q.req) else {
            return;
        };
        self.queue.remove(ticket);
        self.evicted.push(ticket);
        self.shedding_load.record_outcome(&req, Outcome::Refused, now);
    }

    fn refuse_by_cost(
        &mut self,
        req: &Request,
        code: Code,
        now: Time,
        rng: &mut impl Rng,
    ) -> Admission {
        self.shedding_load.record_outcome(req, Outcome::Refused, now);
        Admission::Refuse(self.refusal_by_cost(req.priority, code, now, rng))
    }

    /// Returns a refusal whose retry-after time is the expected time until a request of the priority
    /// finds room, within the usual bounds and times a random factor, and counted from the time at
    /// which an upstream may be sent a request again.
    fn refusal_by_cost(
        &mut self,
        priority: Priority,
        code: Code,
        now: Time,
        rng: &mut impl Rng,
    ) -> Refusal {
        let ahead = self.queue.iter().filter(|q| q.req.priority <= priority);
        let ahead = ahead.filter_map(|q| q.req.estimate).map(|e| e.work.as_secs_f32()).sum();
        let time = self.shedding_load.rates(now).time_to_room(priority, ahead);
        let after = time.clamp(*RETRY_AFTER_RANGE.start(), *RETRY_AFTER_RANGE.end());
        let spread = rng.random_range(RETRY_AFTER_SPREAD);
        Refusal { code, retry_after: now.until(self.resumes_at(now)) + after.mul_f32(spread) }
    }

    /// Returns this host's part of the rate at which the upstreams can start work, in seconds of
    /// work per second.
    fn fair_work_rate(&self, now: Time) -> f32 {
        let usable = self.rows.iter().filter(|r| r.takes_requests() && !r.health.is_ejected(now));
        let slots: u32 = usable.map(|r| self.concurrency.limit(r.slots(self.cfg.slots))).sum();
        let hosts = self.host_info.fleet_size_max.max(1) as f32;
        slots as f32 / hosts / self.availability.slowdown()
    }
}

/// Returns whether a late request may take a slot at nominal speed while those are scarce: if its
/// kind or team is below its floor, or if a less urgent kind, which is served more often, would get
/// the slot otherwise.
fn may_be_late(items: &[Item], plan: &Plan, index: usize) -> bool {
    let item = &items[index];
    let is_less_urgent = |other: &usize| items[*other].priority > item.priority;
    match item.standing {
        Standing::Starved => true,
        Standing::Overtaken => plan.on_time.iter().any(is_less_urgent),
        Standing::Usual | Standing::Behind => false,
    }
}
