//! The decisions on one request, logged together when it has its answer.
//!
//! A request that was not simply answered in time is logged whole; of the others one in
//! [`SAMPLED`]. The lines of a chain bear its length, so that a reader sees what is missing.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use serde_json::{Map, Value, json};

use crate::decide::admission::PlacementEstimate;
use crate::decide::bucket::TokenBucket;
use crate::event::{self, EventCode};
use crate::logs;
use crate::time::Time;

/// Of so many requests that were simply answered in time, one is logged.
const SAMPLED: u64 = 64;
/// Lines a second that requests may log on one host. More chains are dropped whole and counted.
pub(crate) const LINES_PER_SECOND: f64 = 200.0;
/// Notes of one request that are kept.
const NOTES_MAX: usize = 64;

/// One decision on a request, or what came of it.
#[derive(Clone, Debug)]
pub(crate) struct LogEntry {
    /// When.
    pub(crate) at: Time,
    /// What.
    pub(crate) code: EventCode,
    /// The upstream that it is about.
    pub(crate) upstream: Option<Arc<str>>,
    /// A number with it, as the catalogue of events names it.
    pub(crate) value: Option<u64>,
    /// What a choice of upstream was made from.
    pub(crate) choice: Option<PlacementEstimate>,
    /// How many times slower than usual the upstream said it was when it answered.
    pub(crate) slowdown: Option<f32>,
}

impl LogEntry {
    /// Makes a note that says no more than its kind.
    pub(crate) fn new(at: Time, code: EventCode) -> LogEntry {
        LogEntry { at, code, upstream: None, value: None, choice: None, slowdown: None }
    }
}

/// The decisions on one request.
#[derive(Debug, Default)]
pub(crate) struct RequestLog {
    notes: RefCell<Vec<LogEntry>>,
    /// Whether anything happened that is worth a line whatever the answer is.
    notable: Cell<bool>,
}

/// The end of a chain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Summary<'a> {
    pub(crate) host: &'a str,
    pub(crate) request: &'a str,
    pub(crate) service: &'a str,
    /// Whether the caller was answered by an upstream, and in time.
    pub(crate) in_time: bool,
    pub(crate) now: Time,
}

impl RequestLog {
    /// Adds a note.
    pub(crate) fn add(&self, note: LogEntry) {
        let ordinary = matches!(
            note.code,
            EventCode::Accepted
                | EventCode::Sent
                | EventCode::AttemptAnswered
                | EventCode::CallerAnswered
        );
        if !ordinary {
            self.notable.set(true);
        }
        let mut notes = self.notes.borrow_mut();
        if notes.len() < NOTES_MAX {
            notes.push(note);
        }
    }

    /// Returns the lines to log: all notes, or none if the request is an ordinary one that is not
    /// sampled. `number` counts the host's requests.
    pub(crate) fn lines(&self, end: &Summary<'_>, number: u64, wall: SystemTime) -> Vec<String> {
        let ordinary = end.in_time && !self.notable.get();
        if ordinary && !number.is_multiple_of(SAMPLED) {
            return Vec::new();
        }
        let notes = self.notes.borrow();
        let line = |(i, note): (usize, &LogEntry)| {
            let mut out = object(note, end, wall);
            out.insert("step".to_owned(), json!(i + 1));
            out.insert("steps".to_owned(), json!(notes.len()));
            if ordinary {
                out.insert("sampled".to_owned(), json!(SAMPLED));
            }
            Value::Object(out).to_string()
        };
        notes.iter().enumerate().map(line).collect()
    }
}

fn object(note: &LogEntry, end: &Summary<'_>, wall: SystemTime) -> Map<String, Value> {
    let at = wall.checked_sub(end.now.since(note.at)).unwrap_or(wall);
    let mut out = event::base_fields(note.code, log::Level::Info, end.host, at, note.value);
    let mut put = |name: &str, value: Value| {
        out.insert(name.to_owned(), value);
    };
    put("request", json!(end.request));
    put("service", json!(end.service));
    if let Some(upstream) = &note.upstream {
        put("upstream", json!(upstream));
    }
    if let Some(slowdown) = note.slowdown {
        put("slowdown", json!(rounded(slowdown)));
    }
    if let Some(choice) = note.choice {
        put("load", json!(rounded(choice.load)));
        put("slowdown", json!(rounded(choice.slowdown)));
        put("report_age_ms", json!(choice.report_age.map(millis)));
        put("expected_ms", json!(millis(choice.expected)));
    }
    out
}

fn rounded(figure: f32) -> f64 {
    (f64::from(figure) * 100.0).round() / 100.0
}

fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}

/// Bounds what requests log.
#[derive(Debug)]
pub(crate) struct LogLimiter {
    bucket: TokenBucket,
    number: u64,
}

impl LogLimiter {
    /// Makes an allowance of which nothing is used.
    pub(crate) fn new(now: Time) -> LogLimiter {
        LogLimiter { bucket: TokenBucket::new(LINES_PER_SECOND, now), number: 0 }
    }

    /// Counts a request and returns its number.
    pub(crate) fn count(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Tells whether so many lines may be logged.
    pub(crate) fn take(&mut self, lines: usize, now: Time) -> bool {
        self.bucket.take_many(lines as f64, now)
    }
}

/// Logs lines that are JSON objects.
pub(crate) fn log(lines: &[String]) {
    for line in lines {
        log::info!(target: logs::JSON_TARGET, "{line}");
    }
}
