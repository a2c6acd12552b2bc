//! Occupancy reports of upstreams: when to ask for them, and what is learnt from them.

use std::time::Duration;

use rand::Rng;

use super::{ServiceTable, target};
use crate::decide::admission::Target;
use crate::decide::load::AttemptEstimate;
use crate::decide::upstream::{self, Occupancy, Row, UpstreamId};
use crate::decide::working_set::WorkingSet;
use crate::time::Time;

/// A report younger than this came with the response that is being recorded.
const CURRENT_REPORT_AGE_MAX: Duration = Duration::from_millis(1);
/// Relative difference up to which two slowdowns count as equal.
const SLOWDOWN_TOLERANCE: f32 = 0.2;
/// Random spread of the cost, in nominal work times, so that hosts with the same knowledge probe
/// different upstreams.
const CANDIDATE_SPREAD: f32 = 0.3;
/// Cost of sending a request to another data centre, in nominal work times, for the round trip and
/// the traffic.
const DISTANCE_COST: f32 = 0.5;
/// Time after an upstream has joined in which it counts like those of the working set, so that it
/// soon gets its share.
const NEWCOMER_TIME: Duration = Duration::from_secs(10);
/// Time between two searches for a free slot while requests are queued.
const WAITING_PROBE_INTERVAL: Duration = Duration::from_millis(15);

impl ServiceTable {
    /// Records the occupancy that an upstream reported. An unknown `id` is ignored.
    pub fn update_occupancy(&mut self, id: UpstreamId, occupancy: &Occupancy, now: Time) {
        if let Some(row) = upstream::find_mut(&mut self.rows, id) {
            row.record_occupancy(occupancy, now);
            self.reach.record_response(now);
        }
    }

    /// Returns the upstreams that the next request would probably go to and that have no fresh
    /// report, within the probe budget.
    pub fn probe_candidates(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Target> {
        self.probe_candidates_in(WorkingSet::default(), now, rng)
    }

    /// Returns the same, and prefers the upstreams of a working set. While requests are queued, all
    /// upstreams count alike: those of the set may have no free slot.
    pub fn probe_candidates_in(
        &mut self,
        working_set: WorkingSet<'_>,
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<Target> {
        let working_set = match self.queue.is_empty() {
            true => working_set.for_service(self.rows.len()),
            false => WorkingSet::default(),
        };
        let mut best: Vec<(f32, usize)> = Vec::with_capacity(self.rows.len());
        for (index, row) in self.rows.iter().enumerate() {
            let may_open = !row.is_closed(now) || row.warm_up.is_doubtful() && row.is_askable(now);
            if row.takes_requests() && !row.health.is_ejected(now) && may_open {
                let connection_cost = match has_joined_lately(row, now) {
                    true => 0.0,
                    false => working_set.connection_cost(&row.address),
                };
                let cost = self.placement_cost(row, now) + connection_cost;
                best.push((cost + rng.random::<f32>() * CANDIDATE_SPREAD, index));
            }
        }
        best.sort_by(|a, b| a.0.total_cmp(&b.0));
        best.truncate(self.availability.probe_count());
        let rows = &self.rows;
        let stale = best.into_iter().map(|(_, index)| index);
        let is_unsettled = |r: &Row| r.warm_up.is_doubtful() || !r.has_fresh_report(now);
        let stale: Vec<usize> = stale.filter(|&index| is_unsettled(&rows[index])).collect();
        let mut out = Vec::with_capacity(stale.len());
        for index in stale {
            if !self.probe_budget.try_take(now) {
                break;
            }
            self.rows[index].last_probe = now;
            out.push(target(&self.rows[index]));
        }
        out
    }

    /// Returns the upstreams to probe for a free slot while requests are queued.
    pub fn probe_candidates_while_waiting(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Target> {
        let is_due =
            self.uses_occupancy() && !self.queue.is_empty() && now >= self.next_candidate_probe_at;
        if !is_due {
            return Vec::new();
        }
        self.next_candidate_probe_at = now + WAITING_PROBE_INTERVAL;
        self.probe_candidates(now, rng)
    }

    /// Returns the expected time of one more request at an upstream plus the cost of the distance,
    /// in nominal work times.
    pub(crate) fn placement_cost(&self, row: &Row, now: Time) -> f32 {
        let is_local = row.data_centre == self.host_info.data_centre;
        let distance = if is_local { 0.0 } else { DISTANCE_COST };
        row.expected_time(self.cfg.slots, self.availability.slowdown(), now) + distance
    }

    /// Adds the report that has come with a probe to the averages over all upstreams.
    pub(super) fn observe_availability(&mut self, index: usize, now: Time) {
        if let Some(reading) =
            self.rows[index].occupancy_reading.filter(|o| now.since(o.at) < CURRENT_REPORT_AGE_MAX)
        {
            let limit = self.concurrency.limit(reading.occupancy.slots);
            self.availability.observe(&reading.occupancy, limit);
        }
    }

    /// Learns the nominal work time of a kind of request and the effect of concurrency from a
    /// response, if the upstream's speed was the same when the request was sent and when it ended.
    /// The work time is learnt only from upstreams with at most half of their slots in use.
    pub(super) fn record_work_time(
        &mut self,
        index: usize,
        estimate: AttemptEstimate,
        latency: Duration,
        now: Time,
    ) {
        let Some(reading) =
            self.rows[index].occupancy_reading.filter(|o| now.since(o.at) < CURRENT_REPORT_AGE_MAX)
        else {
            return;
        };
        let is_steady =
            (reading.occupancy.slowdown / estimate.slowdown - 1.0).abs() < SLOWDOWN_TOLERANCE;
        if !estimate.fresh || !is_steady {
            return;
        }
        let nominal = latency.div_f32(reading.occupancy.slowdown);
        let level = (estimate.load.round() as u32 + 1).max(reading.occupancy.running);
        let slots = reading.occupancy.slots;
        self.concurrency.observe(level, slots, nominal.as_secs_f32() / estimate.work.as_secs_f32());
        if level * 2 <= reading.occupancy.slots.max(2) {
            self.kinds.record_work(estimate.kind, nominal);
        }
    }
}

/// Returns whether an upstream has joined a service that had others already.
fn has_joined_lately(row: &Row, now: Time) -> bool {
    row.health.ramp_up_start.is_some_and(|at| now.since(at) < NEWCOMER_TIME)
}
