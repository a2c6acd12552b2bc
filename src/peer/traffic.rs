//! The byte budget of the control traffic with peers.

use std::cell::Cell;
use std::time::Duration;

use crate::time::Time;

/// This host's budget of control traffic in bytes per second, sent and received together.
const BYTES_PER_SECOND: f64 = 7_000.0;

/// The budget in bytes that a host can save up while idle, and the debt that it can run up.
const BURST_BYTES: f64 = 7_000.0;

/// The part of the saved-up budget that the loads of upstreams may not use, so that heartbeats and
/// versions can go out.
const HEARTBEAT_RESERVE_BYTES: f64 = 2_000.0;

/// The size of the load of one upstream in a digest, in bytes.
const LOAD_BYTES: f64 = 8.0;

/// The number of upstreams whose load a digest may hold.
const LOADS_MAX: f64 = 64.0;

/// The time between two exchanges on a link.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// The time between two exchanges on a link in a large fleet.
const EXCHANGE_INTERVAL_LARGE: Duration = Duration::from_millis(1_000);

/// The same time while the budget is overdrawn. A neighbour counts as dead only after several of
/// them.
const EXCHANGE_INTERVAL_OVERDRAWN: Duration = Duration::from_millis(1_300);

/// The minimum time between two exchanges on a link, however frequent the changes.
const EXCHANGE_INTERVAL_MIN: Duration = Duration::from_millis(20);

/// The same time in a large fleet, where each host has more links and there are more changes. A
/// change still crosses the fleet in half a second.
const EXCHANGE_INTERVAL_MIN_LARGE: Duration = Duration::from_millis(100);

/// A token bucket of bytes that can be overdrawn. Heartbeats and versions are sent in any case; a
/// debt is paid off with the loads of fewer upstreams and, in a large fleet, with longer intervals
/// between exchanges.
#[derive(Debug)]
pub(crate) struct TrafficBudget {
    tokens: Cell<f64>,
    refilled: Cell<Time>,
}

impl TrafficBudget {
    /// Creates an empty budget.
    pub(crate) fn new(now: Time) -> TrafficBudget {
        TrafficBudget { tokens: Cell::new(0.0), refilled: Cell::new(now) }
    }

    /// Charges bytes sent or received to the budget.
    pub(crate) fn spend(&self, bytes: usize) {
        self.tokens.set((self.tokens.get() - bytes as f64).max(-BURST_BYTES));
    }

    /// Returns the number of upstreams whose load the next digest may hold.
    pub(crate) fn max_loads(&self, now: Time) -> usize {
        let spare = self.tokens_at(now) - HEARTBEAT_RESERVE_BYTES;
        (spare / LOAD_BYTES).clamp(0.0, LOADS_MAX) as usize
    }

    /// Returns the time until the next exchange on a link. A small fleet always keeps the short
    /// interval, since its hosts are considered dead sooner.
    pub(crate) fn exchange_interval(&self, is_large: bool, now: Time) -> Duration {
        match is_large {
            false => EXCHANGE_INTERVAL,
            true if self.tokens_at(now) < 0.0 => EXCHANGE_INTERVAL_OVERDRAWN,
            true => EXCHANGE_INTERVAL_LARGE,
        }
    }

    /// Returns the minimum time between two exchanges on a link.
    pub(crate) fn exchange_interval_min(&self, is_large: bool) -> Duration {
        if is_large { EXCHANGE_INTERVAL_MIN_LARGE } else { EXCHANGE_INTERVAL_MIN }
    }

    fn tokens_at(&self, now: Time) -> f64 {
        let gained = now.since(self.refilled.get()).as_secs_f64() * BYTES_PER_SECOND;
        self.refilled.set(self.refilled.get().max(now));
        self.tokens.set((self.tokens.get() + gained).min(BURST_BYTES));
        self.tokens.get()
    }
}
