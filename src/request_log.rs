//! The log of the decisions on one request, written when the response is complete.
//!
//! All entries of a request are logged unless an upstream answered it in time and nothing notable
//! happened; one in [`SAMPLE_INTERVAL`] of those ordinary requests is logged too. Each line has its
//! number and the number of lines of the request, so that readers can tell whether lines are
//! missing.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use serde_json::{Map, Value, json};

use crate::decide::admission::PlacementEstimate;
use crate::decide::allowance::TeamStatus;
use crate::decide::bucket::TokenBucket;
use crate::decide::poison::Fingerprint;
use crate::decide::retry::RetryUsage;
use crate::event::{self, EventCode};
use crate::logs;
use crate::time::Time;

/// The bytes of a request id that log lines show. Callers may send longer ones.
const ID_SHOWN_MAX: usize = 256;
/// One in this many ordinary requests is logged.
const SAMPLE_INTERVAL: u64 = 64;
/// Number of lines per second that a host may log for all its requests. A request whose lines would
/// exceed the limit is not logged, but counted.
pub(crate) const LINES_PER_SECOND: f64 = 200.0;
/// Maximum number of entries that are kept for a request.
const ENTRIES_MAX: usize = 64;

/// A decision on a request, or its result.
#[derive(Clone, Debug)]
pub(crate) struct LogEntry {
    pub(crate) at: Time,
    pub(crate) code: EventCode,
    pub(crate) upstream: Option<Arc<str>>,
    /// A number whose meaning depends on the code, see [`EventCode::value_name`].
    pub(crate) value: Option<u64>,
    /// The estimate on which the choice of upstream was based.
    pub(crate) estimate: Option<PlacementEstimate>,
    /// The slowdown that the upstream reported in its response, where 1 is its usual speed.
    pub(crate) slowdown: Option<f32>,
    /// The use of the retry budget, on the entries of retries and hedges and of denied ones.
    pub(crate) retry_usage: Option<RetryUsage>,
    /// The request's fingerprint, on the entry of its acceptance.
    pub(crate) fingerprint: Option<Fingerprint>,
    /// The use of the team's allowance, on the entry of a refusal by it.
    pub(crate) allowance: Option<Box<TeamStatus>>,
}

impl LogEntry {
    /// Creates an entry without details.
    pub(crate) fn new(at: Time, code: EventCode) -> LogEntry {
        LogEntry {
            at,
            code,
            upstream: None,
            value: None,
            estimate: None,
            slowdown: None,
            retry_usage: None,
            fingerprint: None,
            allowance: None,
        }
    }
}

/// The log entries of one request.
#[derive(Debug, Default)]
pub(crate) struct RequestLog {
    entries: RefCell<Vec<LogEntry>>,
    /// Whether an entry requires that the request be logged, whatever the response.
    is_notable: Cell<bool>,
}

/// The fields that the log lines of a request have in common.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestSummary<'a> {
    pub(crate) host: &'a str,
    pub(crate) request: &'a str,
    pub(crate) service: &'a str,
    /// The name of the caller's team, if there are teams.
    pub(crate) team: Option<&'a str>,
    /// Whether an upstream answered the request, and in time.
    pub(crate) in_time: bool,
    pub(crate) now: Time,
}

impl RequestLog {
    /// Causes the request to be logged, whatever the response.
    pub(crate) fn mark_notable(&self) {
        self.is_notable.set(true);
    }

    /// Adds an entry, unless the log is full.
    pub(crate) fn add(&self, entry: LogEntry) {
        let is_ordinary = matches!(
            entry.code,
            EventCode::Accepted
                | EventCode::Sent
                | EventCode::AttemptAnswered
                | EventCode::CallerAnswered
        );
        if !is_ordinary {
            self.is_notable.set(true);
        }
        let mut entries = self.entries.borrow_mut();
        if entries.len() < ENTRIES_MAX {
            entries.push(entry);
        }
    }

    /// Returns the number of lines to log: one for each entry, or none for an ordinary request that is
    /// not sampled. `number` is the number of the request on this host.
    pub(crate) fn line_count(&self, summary: &RequestSummary<'_>, number: u64) -> usize {
        match self.is_ordinary(summary) && !number.is_multiple_of(SAMPLE_INTERVAL) {
            true => 0,
            false => self.entries.borrow().len(),
        }
    }

    fn is_ordinary(&self, summary: &RequestSummary<'_>) -> bool {
        summary.in_time && !self.is_notable.get()
    }

    /// Returns the lines to log, as many as [`RequestLog::line_count`] says.
    pub(crate) fn lines(
        &self,
        summary: &RequestSummary<'_>,
        number: u64,
        wall: SystemTime,
    ) -> Vec<String> {
        if self.line_count(summary, number) == 0 {
            return Vec::new();
        }
        let is_ordinary = self.is_ordinary(summary);
        let entries = self.entries.borrow();
        let line = |(i, entry): (usize, &LogEntry)| {
            let mut out = json_object(entry, summary, wall);
            out.insert("step".to_owned(), json!(i + 1));
            out.insert("steps".to_owned(), json!(entries.len()));
            if is_ordinary {
                out.insert("sampled".to_owned(), json!(SAMPLE_INTERVAL));
            }
            Value::Object(out).to_string()
        };
        entries.iter().enumerate().map(line).collect()
    }
}

fn json_object(
    entry: &LogEntry,
    summary: &RequestSummary<'_>,
    wall: SystemTime,
) -> Map<String, Value> {
    let wall_time = wall.checked_sub(summary.now.since(entry.at)).unwrap_or(wall);
    let mut out =
        event::base_fields(entry.code, log::Level::Info, summary.host, wall_time, entry.value);
    let mut set = |name: &str, value: Value| {
        out.insert(name.to_owned(), value);
    };
    set("request", json!(shown_id(summary.request)));
    set("service", json!(summary.service));
    if let Some(team) = summary.team {
        set("team", json!(team));
    }
    if let Some(upstream) = &entry.upstream {
        set("upstream", json!(upstream));
    }
    if let Some(fingerprint) = entry.fingerprint {
        set("fingerprint", json!(fingerprint.to_string()));
    }
    if let Some(slowdown) = entry.slowdown {
        set("slowdown", json!(round_to_hundredths(slowdown)));
    }
    if let Some(usage) = &entry.allowance {
        set("team", json!(usage.team));
        set("per_second", json!(usage.per_second));
        set("granted_here", json!(usage.granted));
        set("refused_here", json!(usage.refused));
        set("answer_age_ms", json!(usage.answer_age.map(millis)));
    }
    if let Some(usage) = entry.retry_usage {
        set("retries_counted", json!(usage.retries));
        set("requests_counted", json!(usage.requests.floor()));
        set("slack", json!((usage.slack * 100.0).round() / 100.0));
    }
    if let Some(estimate) = entry.estimate {
        set("load", json!(round_to_hundredths(estimate.load)));
        set("slowdown", json!(round_to_hundredths(estimate.slowdown)));
        set("report_age_ms", json!(estimate.report_age.map(millis)));
        set("expected_ms", json!(millis(estimate.expected)));
    }
    out
}

/// Returns as much of a request id, which is ASCII, as a line shows.
pub(crate) fn shown_id(id: &str) -> &str {
    id.get(..ID_SHOWN_MAX).unwrap_or(id)
}

fn round_to_hundredths(value: f32) -> f64 {
    (f64::from(value) * 100.0).round() / 100.0
}

fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}

/// A limiter of the rate of the log lines that requests write.
#[derive(Debug)]
pub(crate) struct LogLimiter {
    bucket: TokenBucket,
    last_number: u64,
}

impl LogLimiter {
    /// Creates a limiter with its full budget.
    pub(crate) fn new(now: Time) -> LogLimiter {
        LogLimiter { bucket: TokenBucket::new(LINES_PER_SECOND, now), last_number: 0 }
    }

    /// Counts a request and returns its number.
    pub(crate) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Takes the budget for `lines` lines. Returns whether they may be logged.
    pub(crate) fn try_take(&mut self, lines: usize, now: Time) -> bool {
        self.bucket.try_take_many(lines as f64, now)
    }
}

/// Logs lines that are JSON objects.
pub(crate) fn log(lines: &[String]) {
    for line in lines {
        log::info!(target: logs::JSON_TARGET, "{line}");
    }
}
