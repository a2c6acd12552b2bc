//! What requests log, and how much of it.

use std::time::{Duration, SystemTime};

use serde_json::Value;

use super::{LINES_PER_SECOND, LogEntry, LogLimiter, RequestLog, SAMPLED, Summary};
use crate::event::EventCode;
use crate::time::Time;

const NOW: Time = Time::from_millis(10_000);

fn end(in_time: bool) -> Summary<'static> {
    Summary { host: "entry-1", request: "r-1", service: "s", in_time, now: NOW }
}

fn chain(codes: &[EventCode]) -> RequestLog {
    let chain = RequestLog::default();
    codes.iter().for_each(|code| chain.add(LogEntry::new(NOW, *code)));
    chain
}

fn lines(chain: &RequestLog, in_time: bool, number: u64) -> usize {
    chain.lines(&end(in_time), number, SystemTime::UNIX_EPOCH).len()
}

#[test]
fn ordinary_requests_are_sampled_and_all_others_logged_whole() {
    let plain = [EventCode::Accepted, EventCode::Sent, EventCode::CallerAnswered];
    let ordinary = chain(&plain);
    let logged = (1..=SAMPLED * 3).filter(|n| lines(&ordinary, true, *n) > 0).count();
    assert_eq!(logged, 3);
    assert_eq!(lines(&ordinary, false, 1), 3, "late or failed");
    let hedged = chain(&[plain[0], plain[1], EventCode::Hedged, plain[1], plain[2]]);
    assert_eq!(lines(&hedged, true, 1), 5);
}

#[test]
fn the_lines_of_a_request_bear_their_place_and_number() {
    let chain = chain(&[EventCode::Accepted, EventCode::Refused, EventCode::CallerAnswered]);
    for (i, line) in chain.lines(&end(false), 1, SystemTime::UNIX_EPOCH).iter().enumerate() {
        let line: Value = serde_json::from_str(line).expect("JSON");
        assert_eq!((line["step"].as_u64(), line["steps"].as_u64()), (Some(i as u64 + 1), Some(3)));
        assert_eq!(line["request"], "r-1");
    }
}

#[test]
fn requests_log_no_more_lines_than_allowed() {
    let mut allowance = LogLimiter::new(NOW);
    let mut logged = 0;
    for ms in 0..5_000 {
        let now = NOW + Duration::from_millis(ms);
        logged += if allowance.take(4, now) { 4 } else { 0 };
        logged += if allowance.take(7, now) { 7 } else { 0 };
    }
    let bound = LINES_PER_SECOND * (5.0 + 1.0);
    assert!(f64::from(logged) <= bound, "{logged} lines");
    assert!(f64::from(logged) > bound * 0.95, "{logged} lines");
}
