//! How many requests this host may have in flight at a service.
//!
//! Upstreams queue what exceeds their slots in order of arrival. What is sent too early can't be
//! overtaken any more by something urgent, so what exceeds the free slots by much waits here.

use std::time::Duration;

use crate::config::{Priority, Service};
use crate::decide::baseline::Baseline;
use crate::decide::upstream::{Row, State};
use crate::time::Time;

/// An estimate of what this host may use.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Capacity {
    /// Slots of all upstreams that take work.
    slots: f32,
    /// Requests of other hosts in flight there.
    others: f32,
    /// Entry hosts that use the service.
    hosts: f32,
    at: Time,
    valid: bool,
}

/// What is known of the fleet's size.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Fleet {
    /// The most entry hosts that there may be.
    pub(crate) size_max: u32,
    /// The other entry hosts that are alive; 0 if that isn't known.
    pub(crate) live_peers: u32,
}

impl Fleet {
    /// Returns by how much the figures of the hosts that were heard fall short of all other hosts':
    /// only neighbours tell their requests in flight.
    fn scale(self, heard: usize) -> f32 {
        (self.live_peers as f32 / heard.max(1) as f32).max(1.0)
    }

    /// Returns the entry hosts that use a service.
    fn hosts(self, heard: usize) -> f32 {
        match self.live_peers.max(heard as u32) {
            0 => self.size_max.max(1) as f32,
            others => others as f32 + 1.0,
        }
    }
}

/// Age after which the estimate is made anew.
const ESTIMATE_AGE_MAX: Duration = Duration::from_millis(1);

/// Returns how many requests may be in flight against the slots, for one more of a priority.
///
/// Above 1 they queue at the upstreams, so that no slot is idle while a request waits here for an
/// estimate that is out of date. Below 1 slots are left free for what is more urgent.
fn fill_factor(priority: Priority) -> f32 {
    match priority {
        Priority::Urgent => 3.0,
        Priority::Normal => 2.5,
        Priority::Deferrable => 0.85,
    }
}

impl Capacity {
    /// Makes the estimate anew if it is old, and with it those of the rows.
    pub(crate) fn refresh(
        &mut self,
        rows: &mut [Row],
        cfg: &Service,
        baseline: &Baseline,
        fleet: Fleet,
        now: Time,
    ) {
        if self.valid && now.since(self.at) < ESTIMATE_AGE_MAX {
            return;
        }
        let cold_start = Duration::from_millis(cfg.cold_start_ms);
        let heard = rows.iter().map(Row::reporting_peers).max().unwrap_or(0);
        let (mut slots, mut others) = (0.0, 0.0);
        for row in rows.iter_mut() {
            let estimate = row.estimate_peer_load(baseline, fleet.scale(heard), now);
            if row.state == State::Leaving || row.health.is_ejected(now) {
                continue;
            }
            slots += cfg.slots.max(1) as f32 * row.health.ramp_up_share(cold_start, now);
            others += estimate;
        }
        *self = Capacity { slots, others, hosts: fleet.hosts(heard), at: now, valid: true };
    }

    /// Has the estimate made anew at the next use.
    pub(crate) fn invalidate(&mut self) {
        self.valid = false;
    }

    /// Returns the requests that may be in flight with one more of `priority`: what other hosts
    /// leave free, or this host's even share if that is more, and at least one.
    pub(crate) fn limit(&self, priority: Priority) -> u32 {
        self.limit_at(fill_factor(priority))
    }

    /// Returns the same for a request that may not wait, at an upstream neither: it needs a free
    /// slot.
    pub(crate) fn limit_without_wait(&self, priority: Priority) -> u32 {
        self.limit_at(fill_factor(priority).min(1.0))
    }

    fn limit_at(&self, fill: f32) -> u32 {
        let all = self.slots * fill;
        ((all - self.others).max(all / self.hosts.max(1.0)) as u32).max(1)
    }
}
