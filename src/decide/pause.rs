//! Detects that the process was paused, and tells when its records may be stale.

use std::time::Duration;

use crate::decide::member::PAUSE_THRESHOLD;
use crate::time::Time;

/// When the process last ran, and whether it has resynchronised since its last pause.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseDetector {
    ticked: Option<Time>,
    pauses: u64,
    stale_until: Option<Time>,
}

/// The longest time for which records count as stale after a pause, when nobody answers.
pub const RESYNC_TIMEOUT: Duration = Duration::from_millis(500);

impl PauseDetector {
    /// Takes note that the process runs. Returns whether it was paused before.
    pub fn tick(&mut self, now: Time) -> bool {
        let paused = self.is_late(now);
        self.ticked = self.ticked.max(Some(now));
        if paused {
            self.pauses += 1;
            self.stale_until = Some(now + RESYNC_TIMEOUT);
        }
        self.stale_until = self.stale_until.filter(|t| *t > now);
        paused
    }

    /// Returns how many pauses were found.
    pub fn pause_count(&self) -> u64 {
        self.pauses
    }

    /// Takes note that the newest records were heard of after the pause numbered `pauses`.
    pub fn mark_resynced(&mut self, pauses: u64) {
        self.stale_until = self.stale_until.filter(|_| pauses != self.pauses);
    }

    /// Tells whether records may be stale: the process was paused, found out or not, and has not
    /// resynchronised.
    pub fn is_stale(&self, now: Time) -> bool {
        self.stale_until.is_some_and(|t| t > now) || self.is_late(now)
    }

    fn is_late(&self, now: Time) -> bool {
        self.ticked.is_some_and(|t| now.since(t) > PAUSE_THRESHOLD)
    }
}
