//! Tests of merging events, and of formatting their times.

use std::sync::Arc;

use crate::event::{Event, Page, Subject};
use crate::hlc::Timestamp;
use crate::tool::timeline::{Timeline, merge, time_of_day};

fn page(host: &str, dropped: u64, timestamps: &[(u64, u32)]) -> Page {
    let event = |(seq, (millis, count)): (u64, &(u64, u32))| Event {
        seq,
        stamp: Timestamp { millis: *millis, count: *count },
        code: 2001,
        subject: Subject::default(),
        value: None,
    };
    let events = (1..).zip(timestamps).map(event).collect();
    Page { host: host.into(), dropped, omitted: 0, events }
}

#[test]
fn events_are_ordered_by_timestamp_and_then_by_host() {
    let pages = vec![page("b", 0, &[(1, 0), (2, 0), (9, 0)]), page("a", 7, &[(2, 0), (2, 1)])];
    let Timeline { events, gaps, .. } = merge(pages, Vec::new());
    let order: Vec<(Arc<str>, u64)> =
        events.iter().map(|l| (l.host.clone(), l.event.seq)).collect();
    let expected = [("b", 1), ("a", 1), ("b", 2), ("a", 2), ("b", 3)];
    assert_eq!(order, expected.map(|(host, seq)| (host.into(), seq)));
    assert_eq!((gaps.len(), &*gaps[0].host, gaps[0].dropped), (1, "a", 7));
}

#[test]
fn timestamps_of_any_size_are_formatted() {
    assert_eq!(time_of_day(Timestamp { millis: 3_723_004, count: 0 }), "01:02:03.004");
    assert_eq!(time_of_day(Timestamp { millis: u64::MAX, count: 2 }), "23:59:59.999+2");
}
