//! Estimates for each kind of request of a service: its work time, and the time that callers allow
//! for a first try.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Time;

/// The time within which a caller wants a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyGoal {
    /// Identifies the kind of request, as [`Match::kind`](crate::decide::matching::Match::kind)
    /// does.
    pub kind: u64,
    /// The time within which a response to a first try has its full value.
    pub objective: Duration,
    /// When the request arrived.
    #[serde(rename = "at")]
    pub arrived: Time,
    /// The time until the caller's deadline, at arrival.
    #[serde(rename = "left")]
    pub time_left: Duration,
}

/// The estimates of all kinds, sorted by kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct KindEstimates {
    rows: Vec<KindEstimate>,
}

#[derive(Clone, Copy, Debug)]
struct KindEstimate {
    kind: u64,
    /// Median work time in microseconds, on an upstream of nominal speed.
    work: f32,
    /// The longest time that a caller had left on arrival, taken as the time allowed for a first
    /// try.
    first_try_time: Duration,
}

/// The estimates for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestEstimate {
    /// The time that it takes on an upstream of nominal speed.
    pub(crate) work: Duration,
    /// Until when a response has its full value.
    pub(crate) objective_at: Time,
}

impl RequestEstimate {
    /// Returns whether a response can no longer come within the objective.
    pub(crate) fn misses_objective(&self, now: Time) -> bool {
        now + self.work > self.objective_at
    }
}

/// Initial work time of a kind, as a share of its objective.
const INITIAL_WORK_SHARE: f32 = 0.4;
/// Relative step of the median estimate.
const STEP: f32 = 0.04;

impl KindEstimates {
    /// Estimates a request from its goal, and learns the time allowed for a first try. A caller
    /// that retries has less time left than at first, and its objective counts from the first try.
    pub(crate) fn estimate(&mut self, goal: &LatencyGoal) -> RequestEstimate {
        let entry = self.entry(goal);
        entry.first_try_time = entry.first_try_time.max(goal.time_left);
        let elapsed = entry.first_try_time.saturating_sub(goal.time_left);
        let work = Duration::from_micros(entry.work as u64);
        RequestEstimate {
            work,
            objective_at: goal.arrived + goal.objective.saturating_sub(elapsed),
        }
    }

    /// Moves the median work time of a kind towards the time that a request took, scaled to an
    /// upstream of nominal speed.
    pub(crate) fn record_work(&mut self, kind: u64, time: Duration) {
        if let Ok(index) = self.rows.binary_search_by_key(&kind, |r| r.kind) {
            let work = &mut self.rows[index].work;
            let step = if time.as_micros() as f32 > *work { STEP } else { -STEP };
            *work *= 1.0 + step;
        }
    }

    fn entry(&mut self, goal: &LatencyGoal) -> &mut KindEstimate {
        let index =
            self.rows.binary_search_by_key(&goal.kind, |r| r.kind).unwrap_or_else(|index| {
                let work = (goal.objective.as_micros() as f32 * INITIAL_WORK_SHARE).max(1.0);
                self.rows.insert(
                    index,
                    KindEstimate { kind: goal.kind, work, first_try_time: Duration::ZERO },
                );
                index
            });
        &mut self.rows[index]
    }
}
