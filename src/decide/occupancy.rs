//! How long a request is expected to take at an upstream that tells its occupancy.
//!
//! Upstreams share their machines: for a part of the time work takes several times as long as
//! usual, and that changes about twice a second. So a report is worth much when it is fresh and
//! soon little more than the average over all upstreams.

use std::time::Duration;

use crate::decide::upstream::{Occupancy, OccupancyReading, Row};
use crate::time::Time;

/// Age up to which a report is as good as a new one: a tenth of the time for which a speed lasts.
const FRESH_REPORT: Duration = Duration::from_millis(50);
/// Age over which a report of the speed loses most of its weight (a factor of e).
const SLOWDOWN_LIFE: Duration = Duration::from_millis(500);
/// The same for a report of the requests that other hosts have there: about the time that one takes.
const LOAD_LIFE: Duration = Duration::from_millis(250);
/// Part of the slots that is expected to be in use where nothing recent is known.
const FILL_MEAN: f32 = 0.4;
/// Cost of the last free slot, against a whole work time: upstreams turn slower as they fill.
const FILL_COST: f32 = 0.25;

impl Row {
    /// Takes note of what the upstream said of its load.
    pub(crate) fn record_occupancy(&mut self, occupancy: &Occupancy, now: Time) {
        let own = self.in_flight;
        self.occupancy_reading = Some(OccupancyReading { occupancy: *occupancy, at: now, own });
    }

    /// Returns the age of the newest report.
    pub(crate) fn occupancy_age(&self, now: Time) -> Option<Duration> {
        self.occupancy_reading.map(|o| now.since(o.at))
    }

    /// Tells whether the newest report is as good as a new one.
    pub(crate) fn has_fresh_report(&self, now: Time) -> bool {
        self.occupancy_age(now).is_some_and(|age| age < FRESH_REPORT)
    }

    /// Returns the requests expected at the upstream, this host's own included.
    pub(crate) fn expected_load(&self, slots: u32, now: Time) -> f32 {
        let mean = slots as f32 * FILL_MEAN;
        let own = self.in_flight as f32;
        let Some(told) = self.occupancy_reading else { return own.max(mean) };
        let total = told.occupancy.running as f32 + told.occupancy.waiting as f32;
        let others = (total - told.own as f32).max(0.0);
        let weight = weight(now.since(told.at), LOAD_LIFE);
        own + others * weight + mean * (1.0 - weight)
    }

    /// Returns how many times longer than usual work is expected to take, at least 1, where `mean` is
    /// that of all upstreams.
    pub(crate) fn expected_slowdown(&self, mean: f32, now: Time) -> f32 {
        let Some(told) = self.occupancy_reading else { return mean };
        mean + (told.occupancy.slowdown - mean) * weight(now.since(told.at), SLOWDOWN_LIFE)
    }

    /// Returns the time that one more request is expected to take, in usual work times.
    pub(crate) fn expected_time(&self, slots: u32, mean: f32, now: Time) -> f32 {
        let slots = self.slots(slots) as f32;
        let load = self.expected_load(slots as u32, now);
        let ahead = (load + 1.0 - slots).max(0.0) / slots;
        let fill = (load / slots).min(1.0);
        (1.0 + ahead + FILL_COST * fill * fill) * self.expected_slowdown(mean, now)
    }

    /// Returns the requests that the upstream runs at a time, as it said itself, else `usual`.
    pub(crate) fn slots(&self, usual: u32) -> u32 {
        self.occupancy_reading.map_or(usual, |o| o.occupancy.slots).max(1)
    }
}

fn weight(age: Duration, life: Duration) -> f32 {
    (-age.as_secs_f32() / life.as_secs_f32()).exp()
}
