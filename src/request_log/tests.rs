//! Tests of which requests are logged, and of the limit on log lines.

use std::time::{Duration, SystemTime};

use serde_json::Value;

use super::{LINES_PER_SECOND, LogEntry, LogLimiter, RequestLog, RequestSummary, SAMPLE_INTERVAL};
use crate::event::EventCode;
use crate::time::Time;

const NOW: Time = Time::from_millis(10_000);

fn summary(in_time: bool) -> RequestSummary<'static> {
    RequestSummary { host: "entry-1", request: "r-1", service: "s", team: None, in_time, now: NOW }
}

fn request_log(codes: &[EventCode]) -> RequestLog {
    let log = RequestLog::default();
    codes.iter().for_each(|code| log.add(LogEntry::new(NOW, *code)));
    log
}

fn lines(log: &RequestLog, in_time: bool, number: u64) -> usize {
    log.lines(&summary(in_time), number, SystemTime::UNIX_EPOCH).len()
}

#[test]
fn ordinary_requests_are_sampled_and_all_others_are_logged() {
    let codes = [EventCode::Accepted, EventCode::Sent, EventCode::CallerAnswered];
    let ordinary = request_log(&codes);
    let logged = (1..=SAMPLE_INTERVAL * 3).filter(|n| lines(&ordinary, true, *n) > 0).count();
    assert_eq!(logged, 3);
    assert_eq!(lines(&ordinary, false, 1), 3, "a late or failed request is logged");
    let hedged = request_log(&[codes[0], codes[1], EventCode::Hedged, codes[1], codes[2]]);
    assert_eq!(lines(&hedged, true, 1), 5);
}

#[test]
fn lines_of_a_request_are_numbered() {
    let log = request_log(&[EventCode::Accepted, EventCode::Refused, EventCode::CallerAnswered]);
    for (i, line) in log.lines(&summary(false), 1, SystemTime::UNIX_EPOCH).iter().enumerate() {
        let line: Value = serde_json::from_str(line).expect("JSON");
        assert_eq!((line["step"].as_u64(), line["steps"].as_u64()), (Some(i as u64 + 1), Some(3)));
        assert_eq!(line["request"], "r-1");
        assert!(line.get("team").is_none());
    }
}

#[test]
fn lines_of_a_request_under_a_key_name_its_team() {
    let log = request_log(&[EventCode::Accepted, EventCode::Refused]);
    let summary = RequestSummary { team: Some("harbour"), ..summary(false) };
    for line in log.lines(&summary, 1, SystemTime::UNIX_EPOCH) {
        let line: Value = serde_json::from_str(&line).expect("JSON");
        assert_eq!(line["team"], "harbour");
    }
}

#[test]
fn the_rate_of_log_lines_is_limited() {
    let mut limiter = LogLimiter::new(NOW);
    let mut logged = 0;
    for ms in 0..5_000 {
        let now = NOW + Duration::from_millis(ms);
        logged += if limiter.try_take(4, now) { 4 } else { 0 };
        logged += if limiter.try_take(7, now) { 7 } else { 0 };
    }
    let max_lines = LINES_PER_SECOND * (5.0 + 1.0);
    assert!(f64::from(logged) <= max_lines, "{logged} lines were logged");
    assert!(f64::from(logged) > max_lines * 0.95, "{logged} lines were logged");
}
