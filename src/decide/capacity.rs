//! The number of requests that this host may have in flight at a service.
//!
//! Upstreams queue what exceeds their slots in order of arrival. A request that is sent too early
//! can't be overtaken by an urgent one there, so requests far beyond the free slots wait in this
//! host's queue.

use std::time::Duration;

use crate::config::{Priority, Service};
use crate::decide::baseline::Baseline;
use crate::decide::upstream::Row;
use crate::time::Time;

/// An estimate of the slots that this host may use.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Capacity {
    /// Slots of all upstreams that take requests.
    slots: f32,
    /// Peers' requests in flight there.
    peer_in_flight: f32,
    /// Entry hosts that use the service.
    hosts: f32,
    at: Time,
    valid: bool,
}

/// The known size of the fleet.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Fleet {
    /// The largest number of entry hosts.
    pub(crate) size_max: u32,
    /// The number of live peers; 0 if it is unknown.
    pub(crate) live_peers: u32,
}

impl Fleet {
    /// Returns the factor that extrapolates from the `reporting` peers to all live peers, as only
    /// neighbours report their requests in flight.
    fn scale(self, reporting: usize) -> f32 {
        (self.live_peers as f32 / reporting.max(1) as f32).max(1.0)
    }

    /// Returns the number of entry hosts that use a service.
    fn hosts(self, reporting: usize) -> f32 {
        match self.live_peers.max(reporting as u32) {
            0 => self.size_max.max(1) as f32,
            peers => peers as f32 + 1.0,
        }
    }
}

/// Age after which the estimate is updated.
const ESTIMATE_AGE_MAX: Duration = Duration::from_millis(1);

/// Returns the share of the slots up to which requests of a priority may be in flight.
///
/// Above 1, requests queue at the upstreams, so that no slot idles because of an outdated estimate
/// while a request waits here. Below 1, slots are kept free for more urgent requests.
fn fill_factor(priority: Priority) -> f32 {
    match priority {
        Priority::Urgent => 3.0,
        Priority::Normal => 2.5,
        Priority::Deferrable => 0.85,
    }
}

impl Capacity {
    /// Updates the estimate, and the rows' estimates of peer load, if it is outdated.
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
        let reporting = rows.iter().map(Row::reporting_peers).max().unwrap_or(0);
        let (mut slots, mut peer_in_flight) = (0.0, 0.0);
        for row in rows.iter_mut() {
            let estimate = row.estimate_peer_load(baseline, fleet.scale(reporting), now);
            if !row.takes_requests() || row.health.is_ejected(now) {
                continue;
            }
            slots += cfg.slots.max(1) as f32 * row.health.ramp_up_share(cold_start, now);
            peer_in_flight += estimate;
        }
        *self =
            Capacity { slots, peer_in_flight, hosts: fleet.hosts(reporting), at: now, valid: true };
    }

    /// Causes an update of the estimate at its next use.
    pub(crate) fn invalidate(&mut self) {
        self.valid = false;
    }

    /// Returns the number of requests that may be in flight if one more of `priority` starts: what
    /// the peers leave free, or this host's even share if that is more. At least 1.
    pub(crate) fn limit(&self, priority: Priority) -> u32 {
        self.limit_at(fill_factor(priority))
    }

    /// Returns [`Self::limit`] for a request that may not wait, not even in an upstream's queue,
    /// and thus needs a free slot.
    pub(crate) fn limit_without_wait(&self, priority: Priority) -> u32 {
        self.limit_at(fill_factor(priority).min(1.0))
    }

    fn limit_at(&self, fill: f32) -> u32 {
        let all = self.slots * fill;
        ((all - self.peer_in_flight).max(all / self.hosts.max(1.0)) as u32).max(1)
    }
}
