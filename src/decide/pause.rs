//! Detects pauses of the process, after which its records may be stale.
//!
//! A process that is short of processor time isn't paused: its loops run late, but it goes on taking in
//! what it is told. To resynchronise would only add to its work. So all loops of the process
//! show that it runs, and only a time in which none did counts as a pause.

use std::time::Duration;

use crate::decide::member::PAUSE_THRESHOLD;
use crate::time::Time;

/// A detector of pauses, by the time between signs that the process runs, that also tracks whether
/// the process has resynchronised since the last one.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseDetector {
    last_sign: Option<Time>,
    pauses: u64,
    /// When records cease to count as stale at the latest; `None` if they are current.
    stale_until: Option<Time>,
}

/// How long after the detection of a pause records count as stale if the process doesn't
/// resynchronise.
pub const RESYNC_TIMEOUT: Duration = Duration::from_millis(500);

impl PauseDetector {
    /// Records that the process is running, as any of its loops finds. A pause is left to the next tick,
    /// which has to act on it.
    pub fn record_running(&mut self, now: Time) {
        if !self.is_late(now) {
            self.last_sign = self.last_sign.max(Some(now));
        }
    }

    /// Records a tick of the control loop. Returns whether the process has been paused since the last
    /// sign that it was running.
    pub fn tick(&mut self, now: Time) -> bool {
        let was_paused = self.is_late(now);
        self.last_sign = self.last_sign.max(Some(now));
        if was_paused {
            self.pauses += 1;
            self.stale_until = Some(now + RESYNC_TIMEOUT);
        }
        self.stale_until = self.stale_until.filter(|t| *t > now);
        was_paused
    }

    /// Returns the number of pauses detected.
    pub fn pause_count(&self) -> u64 {
        self.pauses
    }

    /// Marks the records as current, after a fetch that began when [`PauseDetector::pause_count`]
    /// was `pauses`. Ignored if another pause has been detected since.
    pub fn mark_resynced(&mut self, pauses: u64) {
        self.stale_until = self.stale_until.filter(|_| pauses != self.pauses);
    }

    /// Returns whether records may be stale because the process was paused and has not
    /// resynchronised yet. This includes a pause that no tick has detected so far.
    pub fn is_stale(&self, now: Time) -> bool {
        self.stale_until.is_some_and(|t| t > now) || self.is_late(now)
    }

    /// Returns whether the time since the last sign shows a pause.
    fn is_late(&self, now: Time) -> bool {
        self.last_sign.is_some_and(|t| now.since(t) > PAUSE_THRESHOLD)
    }
}
