//! Whether an upstream is to be left alone for a while: outliers, declared refusals, cold starts.

use std::time::Duration;

use crate::decide::upstream::{Row, State, UpstreamOutcome};
use crate::time::Time;

/// What attempts taught about an upstream's health.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    failures: u32,
    refusals: u32,
    ejections: u32,
    errors: f32,
    ejected_until: Time,
    refused_until: Time,
    out: bool,
    /// When its share of work began to grow; nothing once it has its full share.
    pub(crate) growing: Option<Time>,
}

/// Failures in a row after which an upstream is ejected.
const FAILURES_MAX: u32 = 2;
/// Share of recent attempts that failed from which an upstream is ejected.
const ERROR_SHARE_MAX: f32 = 0.4;
/// Weight of a new attempt in the share of failures.
const ERROR_GAIN: f32 = 1.0 / 8.0;
/// The first ejection of an upstream; each further one doubles it.
const EJECTION_BASE: Duration = Duration::from_millis(250);
/// The longest ejection, and the time after which earlier ones are forgotten.
const EJECTION_MAX: Duration = Duration::from_secs(16);
/// The time for which an upstream is left alone after a refusal; a further one doubles it.
const REFUSAL_BASE: Duration = Duration::from_millis(5);
/// The longest time for which an upstream is left alone after a refusal.
const REFUSAL_MAX: Duration = Duration::from_millis(500);
/// The smallest share of work of an upstream that has just joined.
const SHARE_MIN: f32 = 0.05;

impl Health {
    /// Takes note of the end of an attempt. Returns whether the upstream is an outlier that should
    /// be ejected.
    pub(crate) fn observe(&mut self, ended: UpstreamOutcome, now: Time) -> bool {
        match ended {
            UpstreamOutcome::Cancelled => return false,
            UpstreamOutcome::Refused => {
                self.refused_until = now + doubled(REFUSAL_BASE, self.refusals, REFUSAL_MAX);
                self.refusals += 1;
                return false;
            }
            UpstreamOutcome::Answered => {
                (self.failures, self.refusals) = (0, 0);
                self.errors -= self.errors * ERROR_GAIN;
                return false;
            }
            UpstreamOutcome::ConnectFailed => {
                self.failures = self.failures.max(FAILURES_MAX - 1) + 1
            }
            UpstreamOutcome::Failed | UpstreamOutcome::Lost | UpstreamOutcome::TimedOut => {
                self.failures += 1
            }
        }
        self.errors += (1.0 - self.errors) * ERROR_GAIN;
        self.failures >= FAILURES_MAX || self.errors > ERROR_SHARE_MAX
    }

    /// Ejects the upstream for a time that doubles with each ejection.
    fn eject(&mut self, now: Time) {
        if now.since(self.ejected_until) > EJECTION_MAX {
            self.ejections = 0;
        }
        self.ejected_until = now + doubled(EJECTION_BASE, self.ejections, EJECTION_MAX);
        self.ejections += 1;
        self.out = true;
        self.growing = Some(self.ejected_until);
    }

    /// Tells whether the upstream is ejected.
    pub(crate) fn ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Tells, once, whether an upstream that was ejected has answered again since.
    pub(crate) fn restored(&mut self, now: Time) -> bool {
        let restored = self.out && self.failures == 0 && !self.ejected(now);
        self.out &= !restored;
        restored
    }

    /// Tells whether the upstream refused a request a short time ago.
    pub(crate) fn refusing(&self, now: Time) -> bool {
        now < self.refused_until
    }

    /// Returns the share of recent attempts that failed.
    pub(crate) fn errors(&self) -> f32 {
        self.errors
    }

    /// Returns the share of its full work that a starting upstream gets, from `SHARE_MIN` to 1.
    pub(crate) fn share(&self, cold_start: Duration, now: Time) -> f32 {
        let Some(start) = self.growing else { return 1.0 };
        let grown = now.since(start).as_secs_f32() / cold_start.as_secs_f32().max(f32::EPSILON);
        grown.clamp(SHARE_MIN, 1.0)
    }
}

/// Ejects an upstream, unless it is ejected already or half of the live ones are. Tells whether it
/// did.
pub(crate) fn eject(rows: &mut [Row], at: usize, now: Time) -> bool {
    if rows[at].health.ejected(now) {
        return false;
    }
    let live = rows.iter().filter(|r| r.state == State::Live);
    let (all, ejected) = live
        .fold((0, 0), |(all, ejected), r| (all + 1, ejected + usize::from(r.health.ejected(now))));
    let room = ejected < all / 2;
    if room {
        rows[at].health.eject(now);
    }
    room
}

fn doubled(base: Duration, times: u32, max: Duration) -> Duration {
    base.saturating_mul(1 << times.min(16)).min(max)
}
