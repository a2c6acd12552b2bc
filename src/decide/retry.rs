//! The budget for retries and hedges.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// A budget that counts requests and retries over a sliding window, and limits the retries to a
/// share of the requests plus this host's part of a fixed slack.
///
/// Each host keeps within its own part of the fleet's budget, so that all hosts together stay
/// within it whatever they know of each other.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    /// Counts per interval of the window, oldest first.
    intervals: VecDeque<Interval>,
}

/// Counts of one interval of the window.
#[derive(Clone, Copy, Debug)]
struct Interval {
    start: Time,
    requests: u32,
    retries: u32,
}

/// The limits of a [`RetryBudget`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryLimits {
    /// Retries as a share of requests.
    pub(crate) share: f64,
    /// Retries beyond that share that this host may make within the window.
    pub(crate) slack: f64,
    /// Length of the window.
    pub(crate) window: Duration,
}

/// What a [`RetryBudget`] has counted, and the part of the slack that it grants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RetryUsage {
    /// Requests that are counted.
    pub(crate) requests: u32,
    /// Retries and hedges that are counted.
    pub(crate) retries: u32,
    /// Retries that this host may make beyond its share of the requests.
    pub(crate) slack: f64,
}

/// Intervals per window. Retries count for at most one interval longer than the window.
const INTERVALS: u32 = 20;

impl RetryBudget {
    pub(crate) fn new() -> RetryBudget {
        RetryBudget { intervals: VecDeque::new() }
    }

    pub(crate) fn record_request(&mut self, limits: RetryLimits, now: Time) {
        self.current_interval(limits, now).requests += 1;
    }

    /// Returns whether one more retry is within the budget.
    pub(crate) fn allows_retry(&mut self, limits: RetryLimits, now: Time) -> bool {
        let usage = self.usage(limits, now);
        f64::from(usage.retries) + 1.0
            <= f64::from(usage.requests) * limits.share.clamp(0.0, 1.0) + usage.slack
    }

    /// Returns what is counted at present.
    pub(crate) fn usage(&mut self, limits: RetryLimits, now: Time) -> RetryUsage {
        self.current_interval(limits, now);
        RetryUsage {
            requests: self.intervals.iter().map(|i| i.requests).sum(),
            retries: self.intervals.iter().map(|i| i.retries).sum(),
            slack: limits.slack,
        }
    }

    pub(crate) fn record_retry(&mut self, limits: RetryLimits, now: Time) {
        self.current_interval(limits, now).retries += 1;
    }

    /// Drops the intervals older than the window, and returns the current one.
    fn current_interval(&mut self, limits: RetryLimits, now: Time) -> &mut Interval {
        let length = (limits.window / INTERVALS).max(Duration::from_millis(1));
        while self.intervals.front().is_some_and(|i| now.since(i.start) > limits.window + length) {
            self.intervals.pop_front();
        }
        if self.intervals.back().is_none_or(|i| now.since(i.start) >= length) {
            self.intervals.push_back(Interval { start: now, requests: 0, retries: 0 });
        }
        self.intervals.back_mut().expect("pushed above")
    }
}
