//! Placement of requests on upstreams that report their occupancy.
//!
//! A request runs only where a slot is expected to be free, and waits in this host's queue
//! otherwise. In an upstream's queue it could neither be overtaken by a more urgent request nor
//! move to an upstream that has a free slot sooner.

use std::cmp::Reverse;
use std::time::Duration;

use rand::{Rng, RngCore};

use super::{ServiceTable, target};
use crate::config::{LoadFormat, Priority};
use crate::decide::admission::{Admission, PlacementEstimate, Refusal, Request, Target, Ticket};
use crate::decide::availability::SLOW_THRESHOLD;
use crate::decide::kinds::{LatencyGoal, RequestEstimate};
use crate::decide::load::AttemptEstimate;
use crate::decide::queue::QueuedRequest;
use crate::decide::shedding::Shedding;
use crate::decide::upstream::{self, Row, UpstreamId};
use crate::error::Code;
use crate::time::Time;

/// A slot counts as free if the expected load is at least this many requests below the limit.
/// Expected loads have fractions, as the weight of a report decays with its age.
const FREE_MARGIN: f32 = 0.5;
/// The longest time that a request waits for a fresh report while no upstream has one: what a slow
/// probe response takes.
const FRESH_REPORT_WAIT_MAX: Duration = Duration::from_millis(25);
/// The longest time that a request waits while no upstream responds to probes.
const PROBE_RESPONSE_WAIT_MAX: Duration = Duration::from_millis(150);
/// Age after which a probe without response no longer counts as pending.
const PROBE_AGE_MAX: Duration = Duration::from_millis(500);
/// Number of failures to place a queued request after which a release stops trying.
pub(super) const FAILED_TRIES_MAX: usize = 6;
/// Multiple of the expected time after which an attempt may be hedged.
const HEDGE_DELAY_FACTOR: f32 = 1.8;
/// Random factor on the retry-after time, so that refused callers don't return together.
pub(super) const RETRY_AFTER_SPREAD: std::ops::Range<f32> = 0.6..1.6;
/// Bounds of the retry-after time, before the random factor.
pub(super) const RETRY_AFTER_RANGE: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(40)..=Duration::from_secs(2);
/// Time constant (decay by a factor of e) of the rate at which work is started.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// The rate at which this host starts work, in seconds of work per second, as an exponentially
/// decaying sum.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WorkRate {
    rate: f32,
    at: Time,
}

impl WorkRate {
    fn record_start(&mut self, work: Duration, now: Time) {
        self.rate = self.rate_at(now) + work.as_secs_f32() / RATE_TIME_CONSTANT.as_secs_f32();
        self.at = now;
    }

    fn rate_at(&self, now: Time) -> f32 {
        self.rate * (-now.since(self.at).as_secs_f32() / RATE_TIME_CONSTANT.as_secs_f32()).exp()
    }

    /// Returns the time in which `work` is started at the current rate, or `None` if it overflows.
    fn time_to_start(&self, work: Duration, now: Time) -> Option<Duration> {
        let rate = self.rate_at(now).max(f32::EPSILON);
        Duration::try_from_secs_f32(work.as_secs_f32() / rate).ok()
    }
}

/// An upstream with a free slot, and what is expected of a request there.
#[derive(Clone, Copy, Debug)]
struct Placement {
    id: UpstreamId,
    /// Time until the response.
    time: Duration,
    slowdown: f32,
    load: f32,
}

/// The knowledge of an upstream's occupancy, from least to most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ReportStatus {
    /// A recent probe has had no response.
    Unanswered,
    /// The last report is old, or there is none.
    Stale,
    /// The last report is as good as a new one.
    Fresh,
}

fn report_status(row: &Row, now: Time) -> ReportStatus {
    if row.has_fresh_report(now) {
        return ReportStatus::Fresh;
    }
    let probe_age = now.since(row.last_probe);
    let is_pending =
        row.last_probe > Time::ZERO && row.occupancy_age(now).is_none_or(|age| probe_age < age);
    match is_pending && probe_age < PROBE_AGE_MAX {
        true => ReportStatus::Unanswered,
        false => ReportStatus::Stale,
    }
}

/// Returns what must be known of an upstream for a request that has waited for `waited`. A fresh
/// report is required while any upstream has one: to send without it would fill upstreams that are
/// already full. If none has one, less is required the longer the request has waited.
fn required_report_status(rows: &[&Row], waited: Duration, now: Time) -> ReportStatus {
    let best = rows.iter().map(|r| report_status(r, now)).max();
    match best {
        Some(ReportStatus::Fresh) => ReportStatus::Fresh,
        _ if waited < FRESH_REPORT_WAIT_MAX => ReportStatus::Fresh,
        Some(ReportStatus::Stale) => ReportStatus::Stale,
        _ if waited < PROBE_RESPONSE_WAIT_MAX => ReportStatus::Stale,
        _ => ReportStatus::Unanswered,
    }
}

/// Returns whether an upstream is not ejected and, during its cold start, whether this request
/// falls into its reduced share, at random.
fn is_eligible(row: &Row, cold_start: Duration, now: Time, rng: &mut dyn RngCore) -> bool {
    if row.health.is_ejected(now) {
        return false;
    }
    let share = row.health.ramp_up_share(cold_start, now);
    share >= 1.0 || rng.random::<f32>() < share
}

/// Returns how long a request has waited; zero if its arrival is unknown.
fn time_waited(req: &Request, now: Time) -> Duration {
    req.latency_goal.map_or(Duration::ZERO, |goal| now.since(goal.arrived))
}

impl ServiceTable {
    /// Returns whether the service's upstreams report their occupancy.
    pub(super) fn uses_occupancy(&self) -> bool {
        self.cfg.load_format == LoadFormat::Occupancy
    }

    /// Runs, queues or refuses a new request.
    pub(super) fn admit_by_occupancy(
        &mut self,
        req: &Request,
        now: Time,
        rng: &mut impl Rng,
    ) -> Admission {
        if self.shedding == Shedding::LeastCost {
            return self.admit_by_cost(req, now, rng);
        }
        let estimate = self.estimate_request(req, now);
        if self.opens_at(now).is_none_or(|at| at + estimate.work >= req.deadline) {
            return Admission::Refuse(self.refusal_by_occupancy(Code::DeadlineTooClose, now, rng));
        }
        if !self.is_outranked(req, estimate, now)
            && let Some(target) = self.try_start(req, estimate, now, rng)
        {
            return Admission::Run(target);
        }
        if self.cannot_meet_objective(req, estimate, now)
            || self.queue.len() >= self.host_info.waiting_max
        {
            return Admission::Refuse(self.refusal_by_occupancy(Code::Overloaded, now, rng));
        }
        let req = Request { estimate: Some(estimate), ..*req };
        Admission::Wait(self.queue.push(req))
    }

    /// Runs or refuses queued requests.
    pub(super) fn release_by_occupancy(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<(Ticket, Admission)> {
        if self.shedding == Shedding::LeastCost {
            return self.release_by_cost(now, rng);
        }
        let mut out = Vec::new();
        self.refuse_by_occupancy(now, rng, &mut out);
        let mut requests = self.queued_requests(now);
        requests.sort_by_key(|(q, estimate)| rank(&q.req, *estimate, now));
        let mut failed_tries = 0;
        for (queued, estimate) in requests {
            match self.try_start(&queued.req, estimate, now, rng) {
                Some(target) => {
                    self.queue.remove(queued.ticket);
                    out.push((queued.ticket, Admission::Run(target)));
                }
                None => failed_tries += 1,
            }
            if failed_tries == FAILED_TRIES_MAX {
                break;
            }
        }
        out
    }

    /// Starts another attempt at an upstream that is not in `tried`. A hedge is not sent while
    /// requests are queued, nor to a slow upstream.
    pub(super) fn next_attempt_by_occupancy(
        &mut self,
        is_hedge: bool,
        req: &Request,
        tried: &[UpstreamId],
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<Target> {
        let estimate = self.estimate_request(req, now);
        if is_hedge && !self.queue.is_empty() {
            return None;
        }
        let placement = self.find_placement(req, estimate, tried, now, rng)?;
        if now + placement.time >= req.deadline || is_hedge && placement.slowdown >= SLOW_THRESHOLD
        {
            return None;
        }
        self.start_at(&placement, req, estimate, now)
    }

    /// Returns the time after which the attempt just sent to `id` may be hedged.
    pub(super) fn hedge_delay_by_occupancy(&self, id: UpstreamId, now: Time) -> Option<Duration> {
        let row = upstream::find(&self.rows, id)?;
        let estimate = row.attempts.last()?.estimate?;
        let slowdown = row.expected_slowdown(self.availability.slowdown(), now);
        let slowdown = estimate.slowdown.min(slowdown).max(1.0);
        Some(estimate.work.mul_f32(slowdown * HEDGE_DELAY_FACTOR))
    }

    /// Returns the estimate that was made when the request arrived, or makes it now.
    pub(super) fn estimate_request(&mut self, req: &Request, now: Time) -> RequestEstimate {
        let time_left = now.until(req.deadline);
        let goal = req.latency_goal.unwrap_or(LatencyGoal {
            kind: 0,
            objective: time_left,
            arrived: now,
            time_left,
        });
        req.estimate.unwrap_or_else(|| self.kinds.estimate(&goal))
    }

    /// Starts a request at the upstream with the least cost if that is expected to respond within
    /// the request's objective, or within its deadline if the objective can't be met any more.
    pub(super) fn try_start(
        &mut self,
        req: &Request,
        estimate: RequestEstimate,
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<Target> {
        let placement = self.find_placement(req, estimate, &[], now, rng)?;
        let response_at = now + placement.time;
        let fits = response_at <= estimate.objective_at
            || estimate.misses_objective(now) && response_at < req.deadline;
        if !fits {
            return None;
        }
        self.start_at(&placement, req, estimate, now)
    }

    fn start_at(
        &mut self,
        placement: &Placement,
        req: &Request,
        estimate: RequestEstimate,
        now: Time,
    ) -> Option<Target> {
        self.work_rate.record_start(estimate.work, now);
        if self.shedding == Shedding::LeastCost {
            self.shedding_load.record_start(estimate.work, now);
        }
        self.choice_count += 1;
        self.in_flight += 1;
        let row = upstream::find_mut(&mut self.rows, placement.id)?;
        let report_age = row.occupancy_age(now);
        let fresh = row.has_fresh_report(now);
        row.last_chosen = self.choice_count;
        row.take_permit(now);
        row.begin_attempt(now);
        if let Some(attempt) = row.attempts.last_mut() {
            attempt.estimate = Some(AttemptEstimate {
                kind: req.latency_goal.map_or(0, |goal| goal.kind),
                work: estimate.work,
                slowdown: placement.slowdown,
                load: placement.load,
                fresh,
            });
        }
        let placement_estimate = PlacementEstimate {
            load: placement.load,
            slowdown: placement.slowdown,
            report_age,
            expected: placement.time,
        };
        Some(Target { estimate: Some(placement_estimate), ..target(row) })
    }

    /// Returns the placement with the least cost among the upstreams that have a free slot and of
    /// which enough is known. The search starts at a random one, which decides between equals.
    fn find_placement(
        &self,
        req: &Request,
        estimate: RequestEstimate,
        tried: &[UpstreamId],
        now: Time,
        rng: &mut dyn RngCore,
    ) -> Option<Placement> {
        let eligible = self.eligible_rows(tried, now, rng);
        let required = required_report_status(&eligible, time_waited(req, now), now);
        let mut best: Option<(f32, Placement)> = None;
        let start = rng.random_range(0..eligible.len().max(1));
        let (before, after) = eligible.split_at(start.min(eligible.len()));
        for &row in after.iter().chain(before) {
            if report_status(row, now) < required {
                continue;
            }
            let slots = row.slots(self.cfg.slots);
            let load = row.expected_load(slots, now);
            if load + FREE_MARGIN > self.concurrency.limit(slots) as f32 {
                continue;
            }
            let cost = self.placement_cost(row, now);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, self.placement_at(row, estimate, load, now)));
            }
        }
        best.map(|(_, placement)| placement)
    }

    fn placement_at(
        &self,
        row: &Row,
        estimate: RequestEstimate,
        load: f32,
        now: Time,
    ) -> Placement {
        let mean = self.availability.slowdown();
        let time = estimate.work.mul_f32(row.expected_time(self.cfg.slots, mean, now));
        let slowdown = row.expected_slowdown(mean, now);
        Placement { id: row.id, time, slowdown, load }
    }

    /// Returns the upstreams that may get the request. Ejections and cold starts are ignored if
    /// they leave no upstream.
    fn eligible_rows(&self, tried: &[UpstreamId], now: Time, rng: &mut dyn RngCore) -> Vec<&Row> {
        let cold_start = Duration::from_millis(self.cfg.cold_start_ms);
        let is_usable =
            |r: &&Row| r.takes_requests() && !r.is_closed(now) && !tried.contains(&r.id);
        let usable: Vec<&Row> = self.rows.iter().filter(is_usable).collect();
        let eligible: Vec<&Row> =
            usable.iter().copied().filter(|r| is_eligible(r, cold_start, now, rng)).collect();
        if eligible.is_empty() { usable } else { eligible }
    }

    /// Returns the queued requests with their estimates.
    fn queued_requests(&mut self, now: Time) -> Vec<(QueuedRequest, RequestEstimate)> {
        let requests: Vec<QueuedRequest> = self.queue.iter().copied().collect();
        requests.into_iter().map(|q| (q, self.estimate_request(&q.req, now))).collect()
    }

    /// Returns whether a queued request goes before a new one.
    fn is_outranked(&mut self, req: &Request, estimate: RequestEstimate, now: Time) -> bool {
        let own = rank(req, estimate, now);
        self.queued_requests(now).iter().any(|(q, estimate)| rank(&q.req, *estimate, now) < own)
    }

    /// Returns whether a request would miss its objective because queued requests of at least its
    /// priority, which can still meet theirs, take every slot before it.
    fn cannot_meet_objective(
        &mut self,
        req: &Request,
        estimate: RequestEstimate,
        now: Time,
    ) -> bool {
        let requests = self.queued_requests(now);
        let ahead = requests
            .iter()
            .filter(|(q, e)| q.req.priority <= req.priority && !e.misses_objective(now));
        let work: Duration = ahead.map(|(_, e)| e.work).sum();
        if work.is_zero() {
            return false;
        }
        let wait = self.work_rate.time_to_start(work, now).unwrap_or(Duration::MAX);
        now + wait.saturating_add(estimate.work) > estimate.objective_at
    }

    /// Refuses the queued requests that can't meet their deadline, and those that can't meet their
    /// objective while another one still can.
    fn refuse_by_occupancy(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        out: &mut Vec<(Ticket, Admission)>,
    ) {
        let mut requests = self.queued_requests(now);
        let opens_at = self.opens_at(now);
        let misses_deadline = |q: &QueuedRequest, estimate: &RequestEstimate| {
            opens_at.is_none_or(|at| at + estimate.work >= q.req.deadline)
        };
        let has_feasible =
            requests.iter().any(|(q, e)| !misses_deadline(q, e) && !e.misses_objective(now));
        requests.sort_by_key(|(q, _)| Reverse(q.ticket));
        for (queued, estimate) in requests {
            let code = match () {
                () if misses_deadline(&queued, &estimate) => Code::DeadlineTooClose,
                () if has_feasible && estimate.misses_objective(now) => Code::Overloaded,
                () => continue,
            };
            self.queue.remove(queued.ticket);
            let refusal = self.refusal_by_occupancy(code, now, rng);
            out.push((queued.ticket, Admission::Refuse(refusal)));
        }
    }

    /// Returns when the first upstream ends its pause and its warm-up leaves room: now, unless none
    /// does. Other hosts may have room in rate limits, so those don't count.
    pub(super) fn resumes_at(&self, now: Time) -> Time {
        let live = self.rows.iter().filter(|r| r.takes_requests());
        live.map(|r| r.resumes_at(now)).min().map_or(now, |until| until.max(now))
    }

    /// Returns a refusal whose retry-after time is the expected time until the queue is empty,
    /// within `RETRY_AFTER_RANGE` and times a random factor, and counted from the time at which an
    /// upstream may be sent a request again.
    fn refusal_by_occupancy(&mut self, code: Code, now: Time, rng: &mut impl Rng) -> Refusal {
        let work = self.queued_requests(now).iter().map(|(_, estimate)| estimate.work).sum();
        let drain_time =
            self.work_rate.time_to_start(work, now).unwrap_or(*RETRY_AFTER_RANGE.end());
        let after = drain_time.clamp(*RETRY_AFTER_RANGE.start(), *RETRY_AFTER_RANGE.end());
        let spread = rng.random_range(RETRY_AFTER_SPREAD);
        Refusal { code, retry_after: now.until(self.resumes_at(now)) + after.mul_f32(spread) }
    }
}

/// Returns the sort key of a request in the queue: those that can still meet their objective come
/// first, then the order is by priority and by earliest objective.
fn rank(req: &Request, estimate: RequestEstimate, now: Time) -> (bool, Priority, Time) {
    (estimate.misses_objective(now), req.priority, estimate.objective_at)
}
