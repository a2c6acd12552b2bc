//! How many requests this host may have in flight at a service.
//!
//! Upstreams queue what exceeds their slots in order of arrival. What is sent too early can't be
//! overtaken any more by something urgent, so what exceeds the free slots by much waits here.

use std::time::Duration;

use crate::config::{Priority, Service};
use crate::decide::baseline::Baseline;
use crate::decide::upstream::{Row, State};
use crate::time::Time;

/// An estimate of the slots that are this host's to use.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Capacity {
    slots: f32,
    at: Time,
    valid: bool,
}

/// Age after which the estimate is made anew.
const AGE_MAX: Duration = Duration::from_millis(1);

/// Returns the part of the slots that requests of a priority may fill. Above 1 they queue at the
/// upstreams, so that a slot that comes free there is never idle.
fn fill(priority: Priority) -> f32 {
    match priority {
        Priority::Urgent => 2.0,
        Priority::Normal => 1.5,
        Priority::Deferrable => 0.8,
    }
}

impl Capacity {
    /// Makes the estimate anew if it is old.
    pub(crate) fn refresh(
        &mut self,
        rows: &[Row],
        cfg: &Service,
        baseline: &Baseline,
        fleet_size_max: u32,
        now: Time,
    ) {
        if self.valid && now.since(self.at) < AGE_MAX {
            return;
        }
        *self = Capacity {
            slots: slots(rows, cfg, baseline, fleet_size_max, now),
            at: now,
            valid: true,
        };
    }

    /// Has the estimate made anew at the next use.
    pub(crate) fn invalidate(&mut self) {
        self.valid = false;
    }

    /// Returns the requests of `priority` and above that may be in flight, at least one.
    pub(crate) fn limit(&self, priority: Priority) -> u32 {
        ((self.slots * fill(priority)) as u32).max(1)
    }
}

/// Returns the slots that other hosts leave free, or this host's even share if that is more.
fn slots(rows: &[Row], cfg: &Service, baseline: &Baseline, fleet_size_max: u32, now: Time) -> f32 {
    let cold_start = Duration::from_millis(cfg.cold_start_ms);
    let (mut all, mut others, mut peers) = (0.0, 0.0, 0);
    for row in rows.iter().filter(|r| r.state == State::Live && !r.health.ejected(now)) {
        all += cfg.slots.max(1) as f32 * row.health.share(cold_start, now);
        others += row.others(baseline, now);
        peers = peers.max(row.words.len());
    }
    let hosts = if peers > 0 { peers as f32 + 1.0 } else { fleet_size_max.max(1) as f32 };
    (all - others).max(all / hosts)
}
