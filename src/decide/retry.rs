//! The budget for retries and hedges.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// Counts requests and retries over a sliding window, and bounds the retries by a share of the
/// requests and this host's part of a slack.
///
/// Each host keeps to its own share of the fleet's budget, so the fleet's sum keeps to it whatever
/// the hosts know of each other.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    /// Counts by part of the window, oldest first.
    intervals: VecDeque<Interval>,
}

/// What is counted in one part of the window.
#[derive(Clone, Copy, Debug)]
struct Interval {
    start: Time,
    requests: u32,
    retries: u32,
}

/// What the budget is at present.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryLimits {
    /// Retries as a share of requests.
    pub(crate) share: f64,
    /// Retries of this host beyond that share within the window.
    pub(crate) slack: f64,
    /// The window.
    pub(crate) window: Duration,
}

/// Parts of a window. Retries are counted for up to one part longer than the window.
const INTERVALS: u32 = 20;

impl RetryBudget {
    /// Makes a budget of which nothing is spent.
    pub(crate) fn new() -> RetryBudget {
        RetryBudget { intervals: VecDeque::new() }
    }

    /// Takes note of a request.
    pub(crate) fn record_request(&mut self, limits: RetryLimits, now: Time) {
        self.current_interval(limits, now).requests += 1;
    }

    /// Tells whether a retry is within the budget.
    pub(crate) fn allows_retry(&mut self, limits: RetryLimits, now: Time) -> bool {
        self.current_interval(limits, now);
        let requests: u32 = self.intervals.iter().map(|p| p.requests).sum();
        let retries: u32 = self.intervals.iter().map(|p| p.retries).sum();
        f64::from(retries) + 1.0
            <= f64::from(requests) * limits.share.clamp(0.0, 1.0) + limits.slack
    }

    /// Takes note of a retry.
    pub(crate) fn record_retry(&mut self, limits: RetryLimits, now: Time) {
        self.current_interval(limits, now).retries += 1;
    }

    /// Forgets what is older than the window, and returns the present part.
    fn current_interval(&mut self, limits: RetryLimits, now: Time) -> &mut Interval {
        let length = (limits.window / INTERVALS).max(Duration::from_millis(1));
        while self.intervals.front().is_some_and(|p| now.since(p.start) > limits.window + length) {
            self.intervals.pop_front();
        }
        if self.intervals.back().is_none_or(|p| now.since(p.start) >= length) {
            self.intervals.push_back(Interval { start: now, requests: 0, retries: 0 });
        }
        self.intervals.back_mut().expect("pushed above")
    }
}
