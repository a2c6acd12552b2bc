//! The recorder of a running daemon's trace.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use parking_lot::Mutex;
use tokio::sync::mpsc::{self, Receiver, Sender};

use crate::time::{Clock, Time};
use crate::trace::{Entry, Line};

/// Maximum number of lines that wait for the reader. Further ones are dropped, and their number is
/// recorded as [`Entry::Dropped`].
pub(super) const CHANNEL_CAPACITY: usize = 65_536;

/// A recorder that passes entries to the reader of the trace, if there is one. Without a reader, an
/// entry costs one atomic load and isn't built.
#[derive(Debug)]
pub(crate) struct Recorder {
    clock: Clock,
    /// Whether a reader was present at the last entry.
    active: AtomicBool,
    /// The number of entries dropped since the last [`Entry::Dropped`].
    dropped: AtomicU64,
    tx: Mutex<Option<Sender<Line>>>,
}

impl Recorder {
    /// Creates a recorder without a reader.
    pub(crate) fn new(clock: Clock) -> Arc<Recorder> {
        Arc::new(Recorder {
            clock,
            active: AtomicBool::new(false),
            dropped: AtomicU64::new(0),
            tx: Mutex::new(None),
        })
    }

    /// Starts recording. Returns `None` if the trace has a reader already.
    ///
    /// The calling code holds the lock of the tables and records their state next, so that the
    /// trace begins with a consistent state.
    pub(crate) fn start(&self) -> Option<Receiver<Line>> {
        let mut sender = self.tx.lock();
        if sender.as_ref().is_some_and(|tx| !tx.is_closed()) {
            return None;
        }
        let (tx, rx) = mpsc::channel(CHANNEL_CAPACITY);
        *sender = Some(tx);
        self.dropped.store(0, Ordering::Relaxed);
        self.active.store(true, Ordering::Release);
        Some(rx)
    }

    /// Records the entry that `make` returns, with the current time. `make` is called only if the
    /// trace has a reader.
    ///
    /// The calling code still holds the lock under which the change was made, so that entries are
    /// in the order of the changes.
    pub(crate) fn record(&self, make: impl FnOnce() -> Entry) {
        if self.active.load(Ordering::Acquire) {
            self.record_at(self.clock.now(), make);
        }
    }

    /// Records the entry that `make` returns, with the time `now`. `make` is called only if the
    /// trace has a reader.
    pub(crate) fn record_at(&self, now: Time, make: impl FnOnce() -> Entry) {
        if !self.active.load(Ordering::Acquire) {
            return;
        }
        let mut sender = self.tx.lock();
        let Some(tx) = sender.as_ref() else { return };
        if tx.is_closed() {
            self.active.store(false, Ordering::Release);
            *sender = None;
            return;
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let line = Line { at: now, entry: Entry::Dropped { count: dropped } };
        if dropped > 0 && tx.try_send(line).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
            return;
        }
        if tx.try_send(Line { at: now, entry: make() }).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}
