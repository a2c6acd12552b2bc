//! The feed of changes to send to peers at once, such as records that have come into force and the
//! shutdown of a host.

use std::collections::VecDeque;

use parking_lot::Mutex;
use tokio::sync::watch;

use crate::decide::digest::RecordVersion;

/// The number of record versions that the feed remembers.
const RECENT_MAX: usize = 512;

/// The record versions that came into force last, and a notification for every change. Each change
/// has a sequence number, from 1.
#[derive(Debug)]
pub(crate) struct ChangeFeed {
    recent: Mutex<VecDeque<(u64, RecordVersion)>>,
    newest_seq: watch::Sender<u64>,
}

impl Default for ChangeFeed {
    fn default() -> ChangeFeed {
        ChangeFeed { recent: Mutex::default(), newest_seq: watch::Sender::new(0) }
    }
}

impl ChangeFeed {
    /// Publishes a record version that has come into force.
    pub(crate) fn publish(&self, version: RecordVersion) {
        let mut recent = self.recent.lock();
        let seq = *self.newest_seq.borrow() + 1;
        if recent.len() == RECENT_MAX {
            recent.pop_front();
        }
        recent.push_back((seq, version));
        self.newest_seq.send_replace(seq);
    }

    /// Notifies the receivers of a change other than a record, such as the shutdown of this host.
    pub(crate) fn notify(&self) {
        // Without the lock, `publish` could assign the same sequence number.
        let _recent = self.recent.lock();
        self.newest_seq.send_modify(|seq| *seq += 1);
    }

    /// Returns a receiver of the newest sequence number.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.newest_seq.subscribe()
    }

    /// Returns the newest sequence number, and the remembered record versions after `seq`.
    pub(crate) fn since(&self, seq: u64) -> (u64, Vec<RecordVersion>) {
        let recent = self.recent.lock();
        let newest_seq = *self.newest_seq.borrow();
        let after = recent.iter().filter(|(s, _)| *s > seq).map(|(_, v)| v.clone()).collect();
        (newest_seq, after)
    }
}
