//! The budget for retries and hedges.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// A budget that limits the retries of every window to a share of the requests plus this host's part
/// of a fixed slack.
///
/// The fleet's budget counts the requests of a window or of the one before it, whichever has more,
/// summed over all hosts. A host of a fleet takes the mean of its own two counts: the sum of the
/// hosts' means never exceeds the larger sum, while the sum of their maxima may. So all hosts together
/// stay within the budget whatever they know of each other. A host that is alone takes the larger.
///
/// A host may have taken the place of one that has used its part of the slack, so it has none until
/// the windows that it started in are over.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    since: Time,
    /// Counts per interval of the last two windows, oldest first.
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
    /// Whether no other host shares the budget.
    pub(crate) is_alone: bool,
}

/// What a [`RetryBudget`] has counted in the window that leaves the least room, and what it grants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RetryUsage {
    /// Requests that count for the window.
    pub(crate) requests: f64,
    /// Retries and hedges of the window.
    pub(crate) retries: u32,
    /// Retries that this host may make beyond its share of the requests; none after its start.
    pub(crate) slack: f64,
}

impl RetryUsage {
    /// Returns how many more retries are within the limits; negative if there were too many.
    fn remaining(&self, limits: RetryLimits) -> f64 {
        self.requests * limits.share.clamp(0.0, 1.0) + self.slack - f64::from(self.retries)
    }
}

/// Intervals per window.
const INTERVALS: u32 = 100;
/// Intervals that a retry may take to arrive at its upstream, or a request from its caller to this
/// host.
const TRANSIT_INTERVALS: u32 = 1;

impl RetryBudget {
    /// Creates the budget of a host that has counted nothing before `now`.
    pub(crate) fn new(now: Time) -> RetryBudget {
        RetryBudget { since: now, intervals: VecDeque::new() }
    }

    pub(crate) fn record_request(&mut self, limits: RetryLimits, now: Time) {
        self.current_interval(limits, now).requests += 1;
    }

    /// Returns whether one more retry is within the budget.
    pub(crate) fn allows_retry(&mut self, limits: RetryLimits, now: Time) -> bool {
        self.usage(limits, now).remaining(limits) >= 1.0
    }

    /// Returns the use of the window that leaves the least room, among those that a retry made now
    /// falls into.
    pub(crate) fn usage(&mut self, limits: RetryLimits, now: Time) -> RetryUsage {
        self.current_interval(limits, now);
        let (length, transit) = (interval_length(limits), transit_time(limits));
        let windows_start = now.before(limits.window + transit);
        let slack = self.slack(limits, now);
        // Counts from the start of each window, and from the start of the one before it.
        let mut retries: u32 = self.intervals.iter().map(|i| i.retries).sum();
        let mut in_window: u32 = self.intervals.iter().map(|i| i.requests).sum();
        let mut in_both = in_window;
        let mut oldest = self.intervals.iter().peekable();
        let mut tightest: Option<RetryUsage> = None;
        for interval in &self.intervals {
            let end = interval.start + length;
            // All retries of the interval count, though a window may begin at its end.
            let counted_since = (end + transit).before(limits.window);
            while let Some(outside) = oldest.next_if(|i| i.start < counted_since) {
                in_both -= outside.requests;
            }
            let requests = requests_of_window(in_both, in_window, limits);
            let usage = RetryUsage { requests, retries, slack };
            if end > windows_start
                && tightest.is_none_or(|t| usage.remaining(limits) < t.remaining(limits))
            {
                tightest = Some(usage);
            }
            retries -= interval.retries;
            in_window -= interval.requests;
        }
        tightest.unwrap_or(RetryUsage { requests: 0.0, retries: 0, slack })
    }

    pub(crate) fn record_retry(&mut self, limits: RetryLimits, now: Time) {
        self.current_interval(limits, now).retries += 1;
    }

    /// Returns the part of the slack that this host has already.
    fn slack(&self, limits: RetryLimits, now: Time) -> f64 {
        let first_windows = limits.window + transit_time(limits) * 2;
        match limits.is_alone || now.since(self.since) > first_windows {
            true => limits.slack,
            false => 0.0,
        }
    }

    /// Drops the intervals that concern no window any more, and returns the current one.
    fn current_interval(&mut self, limits: RetryLimits, now: Time) -> &mut Interval {
        let length = interval_length(limits);
        let kept = limits.window * 2 + length;
        while self.intervals.front().is_some_and(|i| now.since(i.start) > kept) {
            self.intervals.pop_front();
        }
        if self.intervals.back().is_none_or(|i| now.since(i.start) >= length) {
            self.intervals.push_back(Interval { start: now, requests: 0, retries: 0 });
        }
        self.intervals.back_mut().expect("pushed above")
    }
}

/// Returns how many requests count for a window that has had `in_window` until now, and
/// `in_both - in_window` in the window before it.
fn requests_of_window(in_both: u32, in_window: u32, limits: RetryLimits) -> f64 {
    match limits.is_alone {
        true => f64::from(in_window.max(in_both.saturating_sub(in_window))),
        false => f64::from(in_both) / 2.0,
    }
}

fn interval_length(limits: RetryLimits) -> Duration {
    (limits.window / INTERVALS).max(Duration::from_millis(1))
}

fn transit_time(limits: RetryLimits) -> Duration {
    interval_length(limits) * TRANSIT_INTERVALS
}
