//! ChangeFeed that goes to peers at once: records that have come into force, and a host that leaves.

use std::collections::VecDeque;

use parking_lot::Mutex;
use tokio::sync::watch;

use crate::decide::digest::Version;

/// Records that are remembered as recent.
const RECENT_MAX: usize = 16;

/// The newest records in force, and a signal to those who spread them.
#[derive(Debug)]
pub(crate) struct ChangeFeed {
    recent: Mutex<VecDeque<(u64, Version)>>,
    newest: watch::Sender<u64>,
}

impl Default for ChangeFeed {
    fn default() -> ChangeFeed {
        ChangeFeed { recent: Mutex::default(), newest: watch::Sender::new(0) }
    }
}

impl ChangeFeed {
    /// Takes note that a record has come into force.
    pub(crate) fn publish(&self, version: Version) {
        let mut recent = self.recent.lock();
        let seq = *self.newest.borrow() + 1;
        if recent.len() == RECENT_MAX {
            recent.pop_front();
        }
        recent.push_back((seq, version));
        self.newest.send_replace(seq);
    }

    /// Signals news that is no record.
    pub(crate) fn notify(&self) {
        let _recent = self.recent.lock();
        self.newest.send_modify(|seq| *seq += 1);
    }

    /// Returns a receiver of the number of the newest piece.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.newest.subscribe()
    }

    /// Returns the number of the newest piece, and the records among the pieces after `seq`.
    pub(crate) fn since(&self, seq: u64) -> (u64, Vec<Version>) {
        let recent = self.recent.lock();
        let newest = *self.newest.borrow();
        let after = recent.iter().filter(|(s, _)| *s > seq).map(|(_, v)| v.clone()).collect();
        (newest, after)
    }
}
