//! Limits the memory taken by the bodies that are buffered at the same time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;

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

/// The least capacity of a [`BodyBuffer`] that holds anything, in bytes.
const CAPACITY_MIN: usize = 512;

/// The part of a body that was read, in a buffer of its own, so that it keeps no read buffer alive.
/// What the buffer takes is reserved, filled or not.
#[derive(Debug)]
pub(crate) struct BodyBuffer {
    buf: Vec<u8>,
    reservation: Reservation,
}

impl BodyBuffer {
    /// Creates an empty buffer.
    pub(crate) fn new(budget: &MemoryBudget) -> BodyBuffer {
        BodyBuffer { buf: Vec::new(), reservation: budget.reservation() }
    }

    /// Returns the number of bytes that it holds.
    pub(crate) fn len(&self) -> usize {
        self.buf.len()
    }

    /// Reserves the memory for `more` bytes. Returns false if the budget would be exceeded.
    #[must_use]
    pub(crate) fn try_reserve(&mut self, more: usize) -> bool {
        let (capacity, needed) = (self.buf.capacity(), self.buf.len().saturating_add(more));
        if needed <= capacity {
            return true;
        }
        let roomy = needed.max(capacity.saturating_mul(2)).max(CAPACITY_MIN);
        let mut fits = |to: &usize| self.reservation.try_grow((to - capacity) as u64);
        let Some(to) = [roomy, needed].into_iter().find(|to| fits(to)) else { return false };
        self.buf.reserve_exact(to - self.buf.len());
        true
    }

    /// Appends bytes. Returns false and appends nothing if the budget would be exceeded.
    #[must_use]
    pub(crate) fn try_append(&mut self, data: &[u8]) -> bool {
        let fits = self.try_reserve(data.len());
        if fits {
            self.buf.extend_from_slice(data);
        }
        fits
    }

    /// Appends the last bytes, whether the budget allows it or not: they have been read already.
    pub(crate) fn append_last(&mut self, data: &[u8]) {
        self.buf.extend_from_slice(data);
    }

    /// Returns the bytes and the reservation of their memory.
    pub(crate) fn into_parts(self) -> (Bytes, Reservation) {
        (Bytes::from(self.buf), self.reservation)
    }
}

#[cfg(test)]
mod tests;
