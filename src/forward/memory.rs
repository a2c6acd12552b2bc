//! Limits the memory taken by the bodies that are buffered at the same time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The number of bytes that buffered bodies hold, and its limit.
#[derive(Clone, Debug)]
pub(crate) struct MemoryBudget {
    used: Arc<AtomicU64>,
    max: u64,
}

impl MemoryBudget {
    /// Creates the budget of a process that may buffer `max` bytes.
    pub(crate) fn new(max: u64) -> MemoryBudget {
        MemoryBudget { used: Arc::default(), max }
    }

    /// Returns an empty reservation.
    pub(crate) fn reservation(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }
}

/// The bytes reserved for one body. Dropping it releases them.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: MemoryBudget,
    bytes: u64,
}

impl Reservation {
    /// Reserves `more` bytes. Returns false and reserves nothing if the budget would be exceeded.
    #[must_use]
    pub(crate) fn try_grow(&mut self, more: u64) -> bool {
        let used = self.budget.used.fetch_add(more, Ordering::Relaxed);
        if used.saturating_add(more) > self.budget.max {
            self.budget.used.fetch_sub(more, Ordering::Relaxed);
            return false;
        }
        self.bytes += more;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
