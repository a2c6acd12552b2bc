//! The bytes that control traffic with other hosts takes, and what it may take.

use std::cell::Cell;
use std::time::Duration;

use crate::time::Time;

/// Bytes a second that the host may spend on its peers, sent and received together.
const BYTES_PER_SECOND: f64 = 7_000.0;

/// Bytes that an idle host may gather.
const BURST_BYTES: f64 = 7_000.0;

/// Bytes that are kept for heartbeats and versions when load figures are shared.
const HEARTBEAT_RESERVE_BYTES: f64 = 2_000.0;

/// Bytes that one load figure takes in a digest.
const LOAD_BYTES: f64 = 8.0;

/// Load figures that one digest may hold.
const LOADS_MAX: f64 = 64.0;

/// Time between two exchanges over one link.
const INTERVAL: Duration = Duration::from_millis(500);

/// The same in a large fleet while the host is over its bytes a second.
const INTERVAL_OVERSPENT: Duration = Duration::from_millis(900);

/// A token bucket of bytes that may be overdrawn: heartbeats and versions go out in any case, and
/// what they take is saved on load figures and, in a large fleet, on the interval.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    tokens: Cell<f64>,
    filled: Cell<Time>,
}

impl Traffic {
    /// Counts bytes sent or received.
    pub(crate) fn spend(&self, bytes: usize) {
        self.tokens.set((self.tokens.get() - bytes as f64).max(-BURST_BYTES));
    }

    /// Returns how many load figures the next digest may hold.
    pub(crate) fn loads_max(&self, now: Time) -> usize {
        let spare = self.tokens_at(now) - HEARTBEAT_RESERVE_BYTES;
        (spare / LOAD_BYTES).clamp(0.0, LOADS_MAX) as usize
    }

    /// Returns the time until the next exchange. A small fleet keeps to its interval in any case, as
    /// its hosts are soon considered dead.
    pub(crate) fn interval(&self, is_large: bool, now: Time) -> Duration {
        if is_large && self.tokens_at(now) < 0.0 { INTERVAL_OVERSPENT } else { INTERVAL }
    }

    fn tokens_at(&self, now: Time) -> f64 {
        let gained = now.since(self.filled.get()).as_secs_f64() * BYTES_PER_SECOND;
        self.filled.set(self.filled.get().max(now));
        self.tokens.set((self.tokens.get() + gained).min(BURST_BYTES));
        self.tokens.get()
    }
}
