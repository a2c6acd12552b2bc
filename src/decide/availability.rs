//! Averages over a service's upstreams from the reports that probes return: how slow they are, and
//! how many could run one more request at their nominal speed.

use crate::decide::upstream::Occupancy;

/// Slowdown from which an upstream counts as slow.
pub(crate) const SLOW_THRESHOLD: f32 = 2.5;

/// Mean slowdown before any report: as if work took five times as long for a quarter of the time.
const INITIAL_SLOWDOWN: f32 = 2.0;
/// Share of upstreams with a free slot at nominal speed before any report.
const INITIAL_FREE_SHARE: f32 = 0.5;
/// Share of upstreams with a free slot at nominal speed below which such slots are scarce.
const SCARCE_SHARE: f32 = 0.3;
/// Weight of a new report: about the reciprocal of the probes that a host of a small fleet sends in
/// a second.
const GAIN: f32 = 1.0 / 24.0;
/// Accepted probability that none of the probed upstreams has a free slot at nominal speed.
const MISS_PROBABILITY: f32 = 0.15;
/// Number of upstreams that may be probed before a request is sent.
const PROBE_COUNT: std::ops::RangeInclusive<usize> = 3..=6;

/// Running means over the reports that probes return.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Availability {
    slowdown: f32,
    free_share: f32,
}

impl Default for Availability {
    fn default() -> Availability {
        Availability { slowdown: INITIAL_SLOWDOWN, free_share: INITIAL_FREE_SHARE }
    }
}

impl Availability {
    /// Adds a report of an upstream that runs at most `limit` requests at a time.
    pub(crate) fn observe(&mut self, occupancy: &Occupancy, limit: u32) {
        let is_free = occupancy.running.saturating_add(occupancy.waiting) < limit;
        let is_available = is_free && occupancy.slowdown < SLOW_THRESHOLD;
        self.slowdown += (occupancy.slowdown.max(1.0) - self.slowdown) * GAIN;
        self.free_share += (if is_available { 1.0 } else { 0.0 } - self.free_share) * GAIN;
    }

    /// Returns the mean slowdown relative to nominal speed, at least 1.
    pub(crate) fn slowdown(&self) -> f32 {
        self.slowdown
    }

    /// Returns whether few upstreams have a free slot at nominal speed.
    pub(crate) fn is_scarce(&self) -> bool {
        self.free_share < SCARCE_SHARE
    }

    /// Returns how many upstreams to probe so that one of them probably has a free slot at nominal
    /// speed.
    pub(crate) fn probe_count(&self) -> usize {
        let count = MISS_PROBABILITY.ln() / (1.0 - self.free_share.clamp(0.01, 0.99)).ln();
        (count.ceil() as usize).clamp(*PROBE_COUNT.start(), *PROBE_COUNT.end())
    }
}
