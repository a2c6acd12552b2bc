//! Records a running daemon, while somebody reads the trace.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use parking_lot::Mutex;
use tokio::sync::mpsc::{self, Receiver, Sender};

use crate::time::{Clock, Time};
use crate::trace::{Entry, Line};

/// Lines that wait for the reader; more are lost, and the loss is recorded.
pub(super) const WAITING_LINES: usize = 65_536;

/// Hands entries to the reader of a trace, if there is one. Costs one load if there is none.
#[derive(Debug)]
pub(crate) struct Recorder {
    clock: Clock,
    on: AtomicBool,
    lost: AtomicU64,
    tx: Mutex<Option<Sender<Line>>>,
}

impl Recorder {
    /// Makes a recorder that nobody reads.
    pub(crate) fn new(clock: Clock) -> Arc<Recorder> {
        Arc::new(Recorder {
            clock,
            on: AtomicBool::new(false),
            lost: AtomicU64::new(0),
            tx: Mutex::new(None),
        })
    }

    /// Starts recording. Returns nothing if somebody reads already.
    ///
    /// The caller holds the tables' lock, and notes the state of the tables next.
    pub(crate) fn start(&self) -> Option<Receiver<Line>> {
        let mut slot = self.tx.lock();
        if slot.as_ref().is_some_and(|tx| !tx.is_closed()) {
            return None;
        }
        let (tx, rx) = mpsc::channel(WAITING_LINES);
        *slot = Some(tx);
        self.lost.store(0, Ordering::Relaxed);
        self.on.store(true, Ordering::Release);
        Some(rx)
    }

    /// Records what `make` returns, which is called only if somebody reads.
    ///
    /// The caller holds the lock under which the entry became true, so that entries stand in order.
    pub(crate) fn record(&self, make: impl FnOnce() -> Entry) {
        if self.on.load(Ordering::Acquire) {
            self.record_at(self.clock.now(), make);
        }
    }

    /// Records what `make` returns as of `now`.
    pub(crate) fn record_at(&self, now: Time, make: impl FnOnce() -> Entry) {
        if !self.on.load(Ordering::Acquire) {
            return;
        }
        let mut slot = self.tx.lock();
        let Some(tx) = slot.as_ref() else { return };
        if tx.is_closed() {
            self.on.store(false, Ordering::Release);
            *slot = None;
            return;
        }
        let lost = self.lost.swap(0, Ordering::Relaxed);
        let loss = Line { at: now, entry: Entry::Lost { count: lost } };
        if lost > 0 && tx.try_send(loss).is_err() {
            self.lost.fetch_add(lost + 1, Ordering::Relaxed);
            return;
        }
        if tx.try_send(Line { at: now, entry: make() }).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }
}
