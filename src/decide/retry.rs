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
    parts: VecDeque<Part>,
}

/// What is counted in one part of the window.
#[derive(Clone, Copy, Debug)]
struct Part {
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
const PARTS: u32 = 20;

impl RetryBudget {
    /// Makes a budget of which nothing is spent.
    pub(crate) fn new() -> RetryBudget {
        RetryBudget { parts: VecDeque::new() }
    }

    /// Takes note of a request.
    pub(crate) fn earn(&mut self, limits: RetryLimits, now: Time) {
        self.part(limits, now).requests += 1;
    }

    /// Tells whether a retry is within the budget.
    pub(crate) fn ready(&mut self, limits: RetryLimits, now: Time) -> bool {
        self.part(limits, now);
        let requests: u32 = self.parts.iter().map(|p| p.requests).sum();
        let retries: u32 = self.parts.iter().map(|p| p.retries).sum();
        f64::from(retries) + 1.0
            <= f64::from(requests) * limits.share.clamp(0.0, 1.0) + limits.slack
    }

    /// Takes note of a retry.
    pub(crate) fn spend(&mut self, limits: RetryLimits, now: Time) {
        self.part(limits, now).retries += 1;
    }

    /// Forgets what is older than the window, and returns the present part.
    fn part(&mut self, limits: RetryLimits, now: Time) -> &mut Part {
        let length = (limits.window / PARTS).max(Duration::from_millis(1));
        while self.parts.front().is_some_and(|p| now.since(p.start) > limits.window + length) {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|p| now.since(p.start) >= length) {
            self.parts.push_back(Part { start: now, requests: 0, retries: 0 });
        }
        self.parts.back_mut().expect("pushed above")
    }
}
