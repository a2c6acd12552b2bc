//! What is usual for each kind of request of a service: the work, and the time that callers give.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Time;

/// What a caller wants of the time of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyGoal {
    /// Identifies the kind of request.
    pub kind: u64,
    /// The time within which an answer to a first try has its full value.
    pub objective: Duration,
    /// When the request came.
    #[serde(rename = "at")]
    pub arrived: Time,
    /// The time that the caller had left then.
    #[serde(rename = "left")]
    pub time_left: Duration,
}

/// What is usual for each kind, sorted by kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct Kinds {
    rows: Vec<Kind>,
}

#[derive(Clone, Copy, Debug)]
struct Kind {
    kind: u64,
    /// Median work time in microseconds, on an upstream of usual speed.
    work: f32,
    /// The longest time that a caller had left: that of a first try.
    whole: Duration,
}

/// What is expected of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Expected {
    /// The time that it takes on an upstream of usual speed.
    pub(crate) work: Duration,
    /// Until when its answer has its full value.
    pub(crate) objective: Time,
}

impl Expected {
    /// Tells whether no answer can come within the objective any more.
    pub(crate) fn is_late(&self, now: Time) -> bool {
        now + self.work > self.objective
    }
}

/// Part of its objective that a request of which nothing is known is expected to take.
const WORK_SHARE: f32 = 0.4;
/// Step of the median, as part of itself.
const STEP: f32 = 0.04;

impl Kinds {
    /// Returns what is expected of a request, and learns the time that callers have for it.
    pub(crate) fn expect(&mut self, aim: &LatencyGoal) -> Expected {
        let row = self.row(aim);
        row.whole = row.whole.max(aim.time_left);
        let passed = row.whole.saturating_sub(aim.time_left);
        let work = Duration::from_micros(row.work as u64);
        Expected { work, objective: aim.arrived + aim.objective.saturating_sub(passed) }
    }

    /// Takes note of the time that a request took, as on an upstream of usual speed.
    pub(crate) fn took(&mut self, kind: u64, time: Duration) {
        if let Ok(at) = self.rows.binary_search_by_key(&kind, |r| r.kind) {
            let work = &mut self.rows[at].work;
            let step = if time.as_micros() as f32 > *work { STEP } else { -STEP };
            *work *= 1.0 + step;
        }
    }

    fn row(&mut self, aim: &LatencyGoal) -> &mut Kind {
        let at = self.rows.binary_search_by_key(&aim.kind, |r| r.kind).unwrap_or_else(|at| {
            let work = (aim.objective.as_micros() as f32 * WORK_SHARE).max(1.0);
            self.rows.insert(at, Kind { kind: aim.kind, work, whole: Duration::ZERO });
            at
        });
        &mut self.rows[at]
    }
}
