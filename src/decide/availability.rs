//! What probes say of a service's upstreams as a whole: how slow they are on the mean, and how many
//! of them could run one more request at their usual speed.

use crate::decide::upstream::Occupancy;

/// Slowdown from which an upstream counts as slow.
pub(crate) const SLOW: f32 = 2.5;

/// Mean slowdown expected before any report: a quarter of the time five times the usual.
const SLOWDOWN_GUESS: f32 = 2.0;
/// Share of upstreams with a free slot at usual speed expected before any report.
const OPEN_GUESS: f32 = 0.5;
/// Weight of a new report: about the probes of a second on a host of a small fleet.
const GAIN: f32 = 1.0 / 24.0;
/// Probability that none of the upstreams that are asked has a free slot at usual speed.
const MISS: f32 = 0.15;
/// Upstreams that are asked before a request is sent.
const CANDIDATES: std::ops::RangeInclusive<usize> = 3..=6;

/// Running means over the reports that probes brought.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Availability {
    slowdown: f32,
    open: f32,
}

impl Default for Availability {
    fn default() -> Availability {
        Availability { slowdown: SLOWDOWN_GUESS, open: OPEN_GUESS }
    }
}

impl Availability {
    /// Adds a report of an upstream that runs `limit` requests at a time at best.
    pub(crate) fn observe(&mut self, occupancy: &Occupancy, limit: u32) {
        let is_free = occupancy.running.saturating_add(occupancy.waiting) < limit;
        let is_open = is_free && occupancy.slowdown < SLOW;
        self.slowdown += (occupancy.slowdown.max(1.0) - self.slowdown) * GAIN;
        self.open += (if is_open { 1.0 } else { 0.0 } - self.open) * GAIN;
    }

    /// Returns how many times longer than usual work takes on the mean.
    pub(crate) fn slowdown(&self) -> f32 {
        self.slowdown
    }

    /// Returns how many upstreams to ask, so that one of them probably has a free slot at usual speed.
    pub(crate) fn candidates(&self) -> usize {
        let needed = MISS.ln() / (1.0 - self.open.clamp(0.01, 0.99)).ln();
        (needed.ceil() as usize).clamp(*CANDIDATES.start(), *CANDIDATES.end())
    }
}
