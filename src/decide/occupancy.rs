//! The expected time of a request at an upstream that reports its occupancy.
//!
//! Upstreams share their machines: for part of the time work takes several times as long as
//! nominal, and this changes about twice a second. So a fresh report is worth much, and an old one
//! is worth little more than the average over all upstreams.

use std::time::Duration;

use crate::decide::upstream::{Occupancy, OccupancyReading, Row};
use crate::time::Time;

/// Age up to which a report is as good as a new one: a tenth of the time for which an upstream's
/// speed lasts.
const FRESH_REPORT_AGE_MAX: Duration = Duration::from_millis(50);
/// Time constant (decay by a factor of e) of the weight of a reported slowdown.
const SLOWDOWN_TIME_CONSTANT: Duration = Duration::from_millis(500);
/// Time constant of the weight of the peers' requests in a report: about the time that a request
/// takes.
const LOAD_TIME_CONSTANT: Duration = Duration::from_millis(250);
/// Share of the slots that is expected to be in use where nothing recent is known.
const EXPECTED_FILL: f32 = 0.4;
/// Cost of the last free slot, relative to a whole work time, as upstreams get slower while they
/// fill.
const FILL_COST: f32 = 0.25;

impl Row {
    pub(crate) fn record_occupancy(&mut self, occupancy: &Occupancy, now: Time) {
        let own = self.in_flight;
        self.occupancy_reading = Some(OccupancyReading { occupancy: *occupancy, at: now, own });
    }

    /// Returns the age of the last report.
    pub(crate) fn occupancy_age(&self, now: Time) -> Option<Duration> {
        self.occupancy_reading.map(|o| now.since(o.at))
    }

    /// Returns whether the last report is as good as a new one.
    pub(crate) fn has_fresh_report(&self, now: Time) -> bool {
        self.occupancy_age(now).is_some_and(|age| age < FRESH_REPORT_AGE_MAX)
    }

    /// Returns the expected number of requests at the upstream, this host's own included.
    pub(crate) fn expected_load(&self, slots: u32, now: Time) -> f32 {
        let mean = slots as f32 * EXPECTED_FILL;
        let own = self.in_flight as f32;
        let Some(reading) = self.occupancy_reading else { return own.max(mean) };
        let total = reading.occupancy.running as f32 + reading.occupancy.waiting as f32;
        let peer_load = (total - reading.own as f32).max(0.0);
        let weight = decay(now.since(reading.at), LOAD_TIME_CONSTANT);
        own + peer_load * weight + mean * (1.0 - weight)
    }

    /// Returns how many times longer than nominal work is expected to take, normally at least 1.
    /// `mean` is the average over all upstreams.
    pub(crate) fn expected_slowdown(&self, mean: f32, now: Time) -> f32 {
        let Some(reading) = self.occupancy_reading else { return mean };
        mean + (reading.occupancy.slowdown - mean)
            * decay(now.since(reading.at), SLOWDOWN_TIME_CONSTANT)
    }

    /// Returns the expected time of one more request, in nominal work times.
    pub(crate) fn expected_time(&self, slots: u32, mean: f32, now: Time) -> f32 {
        let slots = self.slots(slots) as f32;
        let load = self.expected_load(slots as u32, now);
        let ahead = (load + 1.0 - slots).max(0.0) / slots;
        let fill = (load / slots).min(1.0);
        (1.0 + ahead + FILL_COST * fill * fill) * self.expected_slowdown(mean, now)
    }

    /// Returns the number of requests that the upstream runs at a time: the reported one, or else
    /// the configured one. At least 1.
    pub(crate) fn slots(&self, configured: u32) -> u32 {
        self.occupancy_reading.map_or(configured, |o| o.occupancy.slots).max(1)
    }
}

fn decay(age: Duration, time_constant: Duration) -> f32 {
    (-age.as_secs_f32() / time_constant.as_secs_f32()).exp()
}
