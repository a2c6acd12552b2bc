//! When it is worth an event that a loop of the process runs late.

use std::time::Duration;

use crate::time::Time;

/// The lateness that is recorded as an event.
const EVENT_LATENESS_MIN: Duration = Duration::from_millis(200);
/// The minimum time between two such events.
const EVENT_INTERVAL: Duration = Duration::from_secs(1);

/// Decides which late turns of a loop are recorded as events.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LateEvents {
    last: Option<Time>,
}

impl LateEvents {
    /// Takes how late a turn of the loop was. Returns whether to record an event.
    pub(crate) fn observe(&mut self, late: Duration, now: Time) -> bool {
        let is_recent = self.last.is_some_and(|at| now.since(at) < EVENT_INTERVAL);
        let is_due = late >= EVENT_LATENESS_MIN && !is_recent;
        if is_due {
            self.last = Some(now);
        }
        is_due
    }
}
