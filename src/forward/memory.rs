//! The bound on the bytes of bodies that are held at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts the bytes of bodies that are held.
#[derive(Clone, Debug)]
pub(crate) struct MemoryBudget {
    used: Arc<AtomicU64>,
    max: u64,
}

impl MemoryBudget {
    /// Makes the count of a process that may hold `max` bytes.
    pub(crate) fn new(max: u64) -> MemoryBudget {
        MemoryBudget { used: Arc::default(), max }
    }

    /// Returns a share that holds nothing yet.
    pub(crate) fn reservation(&self) -> Reservation {
        Reservation { memory: self.clone(), held: 0 }
    }
}

/// The bytes that one body holds; they are given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: MemoryBudget,
    held: u64,
}

impl Reservation {
    /// Adds `more` bytes. Returns false, and adds nothing, if the process holds too many.
    #[must_use]
    pub(crate) fn grow(&mut self, more: u64) -> bool {
        let used = self.memory.used.fetch_add(more, Ordering::Relaxed);
        if used.saturating_add(more) > self.memory.max {
            self.memory.used.fetch_sub(more, Ordering::Relaxed);
            return false;
        }
        self.held += more;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.held, Ordering::Relaxed);
    }
}
