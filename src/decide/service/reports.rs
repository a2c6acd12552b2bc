//! What upstreams that tell their occupancy say, when they are asked, and what is learnt from it.

use std::time::Duration;

use rand::Rng;

use super::{ServiceTable, target};
use crate::decide::admission::Target;
use crate::decide::load::Timing;
use crate::decide::upstream::{self, Occupancy, Row, State, UpstreamId};
use crate::time::Time;

/// Age of a report that came with the answer that is looked at.
const JUST_NOW: Duration = Duration::from_millis(1);
/// Relative difference up to which two reports of an upstream's speed are the same.
const STEADY: f32 = 0.2;
/// Spread by which hosts that know the same ask different upstreams, in usual work times.
const CANDIDATE_SPREAD: f32 = 0.3;
/// What it costs to send a request to another data centre, in usual work times: the time there and
/// back, and the bytes.
const DISTANCE_COST: f32 = 0.5;
/// Time between two searches for a free slot while requests wait.
const WAITING_PROBE_INTERVAL: Duration = Duration::from_millis(15);

impl ServiceTable {
    /// Takes note of what an upstream said of its load.
    pub fn update_occupancy(&mut self, id: UpstreamId, occupancy: &Occupancy, now: Time) {
        if let Some(row) = upstream::find_mut(&mut self.rows, id) {
            row.occupied(occupancy, now);
        }
    }

    /// Returns the upstreams that the next request would go to as far as is known, and of which
    /// nothing recent is known, within the measuring budget.
    pub fn probe_candidates(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Target> {
        let mut best: Vec<(f32, usize)> = Vec::with_capacity(self.rows.len());
        for (at, row) in self.rows.iter().enumerate() {
            if row.state == State::Live && !row.health.ejected(now) && !row.health.refusing(now) {
                let cost = self.cost_of(row, now);
                best.push((cost + rng.random::<f32>() * CANDIDATE_SPREAD, at));
            }
        }
        best.sort_by(|a, b| a.0.total_cmp(&b.0));
        best.truncate(self.supply.candidates());
        let rows = &self.rows;
        let stale = best.into_iter().map(|(_, at)| at);
        let stale: Vec<usize> = stale.filter(|&at| !rows[at].has_fresh_report(now)).collect();
        let mut out = Vec::with_capacity(stale.len());
        for at in stale {
            if !self.probes.take(now) {
                break;
            }
            self.rows[at].probed = now;
            out.push(target(&self.rows[at]));
        }
        out
    }

    /// Returns the upstreams to ask for a free slot while requests wait.
    pub fn probe_candidates_while_waiting(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Target> {
        let is_due = self.is_timed() && !self.queue.is_empty() && now >= self.reports_sought;
        if !is_due {
            return Vec::new();
        }
        self.reports_sought = now + WAITING_PROBE_INTERVAL;
        self.probe_candidates(now, rng)
    }

    /// Returns the time that one more request is expected to take at an upstream that tells its
    /// occupancy, in usual work times, with what the distance costs.
    pub(crate) fn cost_of(&self, row: &Row, now: Time) -> f32 {
        let is_near = row.data_centre == self.facts.data_centre;
        let distance = if is_near { 0.0 } else { DISTANCE_COST };
        row.expected_time(self.cfg.slots, self.supply.slowdown(), now) + distance
    }

    /// Adds the report that a probe has just brought to what is known of all upstreams.
    pub(super) fn observe_supply(&mut self, at: usize, now: Time) {
        if let Some(told) = self.rows[at].occupied.filter(|o| now.since(o.at) < JUST_NOW) {
            let limit = self.concurrency.limit(told.occupancy.slots);
            self.supply.observe(&told.occupancy, limit);
        }
    }

    /// Learns from the time of an answer, if the upstream's speed was the same at its beginning and
    /// its end.
    pub(super) fn learn_time(&mut self, at: usize, timing: Timing, took: Duration, now: Time) {
        let Some(told) = self.rows[at].occupied.filter(|o| now.since(o.at) < JUST_NOW) else {
            return;
        };
        let steady = (told.occupancy.slowdown / timing.slowdown - 1.0).abs() < STEADY;
        if !timing.fresh || !steady {
            return;
        }
        let usual = took.div_f32(told.occupancy.slowdown);
        let level = (timing.load.round() as u32 + 1).max(told.occupancy.running);
        let slots = told.occupancy.slots;
        self.concurrency.answered(level, slots, usual.as_secs_f32() / timing.work.as_secs_f32());
        if level * 2 <= told.occupancy.slots.max(2) {
            self.kinds.took(timing.kind, usual);
        }
    }
}
