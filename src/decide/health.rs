//! Health of an upstream: outlier ejection, backoff after declared refusals, and cold starts.

use std::time::Duration;

use crate::decide::upstream::{Row, UpstreamOutcome};
use crate::time::Time;

/// The health of an upstream, as attempts and probes revealed it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    failures: u32,
    refusals: u32,
    ejections: u32,
    error_share: f32,
    ejected_until: Time,
    refused_until: Time,
    paused_until: Time,
    awaiting_restore: bool,
    /// When the ramp-up of a new, ejected or readmitted upstream began or will begin. `None` for
    /// one that was added while the service had no live upstream.
    pub(crate) ramp_up_start: Option<Time>,
}

/// Consecutive failures after which an upstream is an outlier. One failure to connect suffices.
const FAILURES_MAX: u32 = 2;
/// Error share above which an upstream is an outlier.
const ERROR_SHARE_MAX: f32 = 0.4;
/// Weight of a new attempt in the error share.
const ERROR_GAIN: f32 = 1.0 / 8.0;
/// Duration of the first ejection. It doubles with each further one.
const EJECTION_BASE: Duration = Duration::from_millis(250);
/// The longest ejection, and the time after which earlier ejections no longer count.
const EJECTION_MAX: Duration = Duration::from_secs(16);
/// Backoff after a refusal. It doubles with each further one in a row.
const REFUSAL_BASE: Duration = Duration::from_millis(5);
/// The longest backoff after a refusal.
const REFUSAL_MAX: Duration = Duration::from_millis(500);
/// The longest pause that an upstream is granted. A longer one is taken for a fault.
const PAUSE_MAX: Duration = Duration::from_secs(600);
/// Share of the requests at the beginning of a ramp-up.
const RAMP_UP_SHARE_MIN: f32 = 0.05;

impl Health {
    /// Records the outcome of an attempt or of a failed probe. Returns whether the upstream is now
    /// an outlier.
    pub(crate) fn observe(&mut self, outcome: UpstreamOutcome, now: Time) -> bool {
        match outcome {
            UpstreamOutcome::Cancelled => return false,
            UpstreamOutcome::Refused => {
                self.refused_until = now + backoff(REFUSAL_BASE, self.refusals, REFUSAL_MAX);
                self.refusals += 1;
                return false;
            }
            UpstreamOutcome::Answered => {
                (self.failures, self.refusals) = (0, 0);
                self.error_share -= self.error_share * ERROR_GAIN;
                return false;
            }
            UpstreamOutcome::ConnectFailed => {
                self.failures = self.failures.max(FAILURES_MAX - 1) + 1
            }
            UpstreamOutcome::Failed | UpstreamOutcome::Lost | UpstreamOutcome::TimedOut => {
                self.failures += 1
            }
        }
        self.error_share += (1.0 - self.error_share) * ERROR_GAIN;
        self.failures >= FAILURES_MAX || self.error_share > ERROR_SHARE_MAX
    }

    /// Ejects the upstream for a time that doubles with each ejection.
    fn eject(&mut self, now: Time) {
        if now.since(self.ejected_until) > EJECTION_MAX {
            self.ejections = 0;
        }
        self.ejected_until = now + backoff(EJECTION_BASE, self.ejections, EJECTION_MAX);
        self.ejections += 1;
        self.awaiting_restore = true;
        self.ramp_up_start = Some(self.ejected_until);
    }

    pub(crate) fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Returns whether the upstream has responded since its ejection ended. Returns `true` once per
    /// recovery.
    pub(crate) fn take_restored(&mut self, now: Time) -> bool {
        let is_restored = self.awaiting_restore && self.failures == 0 && !self.is_ejected(now);
        self.awaiting_restore &= !is_restored;
        is_restored
    }

    /// Returns whether the upstream is in its backoff after a refusal, or has asked for a pause.
    pub(crate) fn is_refusing(&self, now: Time) -> bool {
        now < self.refused_until.max(self.paused_until)
    }

    /// Records that the upstream has asked to be sent nothing for `pause`.
    pub(crate) fn pause(&mut self, pause: Duration, now: Time) {
        self.paused_until = self.paused_until.max(now + pause.min(PAUSE_MAX));
    }

    /// Returns when the pause that the upstream has asked for ends; a past time if there is none.
    pub(crate) fn paused_until(&self) -> Time {
        self.paused_until
    }

    /// Returns the share of recent attempts that failed.
    pub(crate) fn error_share(&self) -> f32 {
        self.error_share
    }

    /// Returns the share of its regular requests that the upstream gets during its ramp-up, from
    /// `RAMP_UP_SHARE_MIN` to 1.
    pub(crate) fn ramp_up_share(&self, cold_start: Duration, now: Time) -> f32 {
        let Some(start) = self.ramp_up_start else { return 1.0 };
        let progress = now.since(start).as_secs_f32() / cold_start.as_secs_f32().max(f32::EPSILON);
        progress.clamp(RAMP_UP_SHARE_MIN, 1.0)
    }
}

/// Ejects an upstream unless it is already ejected or half of the live ones, rounded down, are.
/// Returns whether it was ejected now.
pub(crate) fn try_eject(rows: &mut [Row], index: usize, now: Time) -> bool {
    if rows[index].health.is_ejected(now) {
        return false;
    }
    let live = rows.iter().filter(|r| r.takes_requests());
    let (n, ejected) = live
        .fold((0, 0), |(n, ejected), r| (n + 1, ejected + usize::from(r.health.is_ejected(now))));
    let is_allowed = ejected < n / 2;
    if is_allowed {
        rows[index].health.eject(now);
    }
    is_allowed
}

fn backoff(base: Duration, times: u32, max: Duration) -> Duration {
    base.saturating_mul(1 << times.min(16)).min(max)
}
