//! Tests of the event ring buffer, its filter, and the order of events of several hosts.

use std::sync::Arc;

use cornelferry::event::{Event, EventCode, Filter, RingBuffer, Subject};
use cornelferry::hlc::{Hlc, Timestamp};

fn request_subject(request: &str) -> Subject {
    Subject { request: Some(request.into()), ..Subject::default() }
}

fn request_filter(request: &str) -> Filter {
    Filter { request: Some(request.to_owned()), ..Filter::default() }
}

#[test]
fn the_buffer_keeps_the_newest_events_and_counts_the_dropped_ones() {
    let buffer = RingBuffer::new(4, Arc::default());
    (0..10).for_each(|i| buffer.record(EventCode::Accepted, request_subject("r"), Some(i)));
    let page = buffer.page("a".into(), &Filter { limit: Some(3), ..request_filter("r") });
    let values: Vec<_> = page.events.iter().filter_map(|e| e.value).collect();
    assert_eq!((values, page.dropped, page.omitted), (vec![7, 8, 9], 6, 1));
    assert_eq!(buffer.size(), (4, 6));
    assert!(buffer.page("a".into(), &request_filter("other")).events.is_empty());
}

#[test]
fn a_buffer_of_capacity_zero_holds_one_event() {
    let buffer = RingBuffer::new(0, Arc::default());
    (0..3).for_each(|_| buffer.record(EventCode::Started, Subject::default(), None));
    assert_eq!(buffer.size(), (1, 2));
}

#[test]
fn timestamps_increase_with_the_sequence_under_concurrent_recording() {
    let buffer = Arc::new(RingBuffer::new(10_000, Arc::default()));
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                (0..500)
                    .for_each(|i| buffer.record(EventCode::Sent, request_subject("r"), Some(i)));
            });
        }
    });
    let (events, _) = buffer.read(|_| true);
    let increases = |w: &[Event]| w[0].stamp < w[1].stamp && w[0].seq + 1 == w[1].seq;
    assert!(events.windows(2).all(increases));
}

#[test]
fn a_cause_precedes_its_effect_with_clocks_ten_seconds_apart() {
    let ahead = Arc::new(Hlc::new(|| 20_000));
    let behind = Arc::new(Hlc::new(|| 10_000));
    let (a, b) = (RingBuffer::new(8, ahead.clone()), RingBuffer::new(8, behind.clone()));
    a.record(EventCode::InForce, Subject::default(), Some(1));
    let message: Timestamp = ahead.tick();
    behind.observe(message);
    b.record(EventCode::InForce, Subject::default(), Some(1));
    let reply = behind.tick();
    ahead.observe(reply);
    a.record(EventCode::PeerJoined, Subject::default(), None);
    let (causes, effects) = (a.read(|_| true).0, b.read(|_| true).0);
    assert!(causes[0].stamp < effects[0].stamp && effects[0].stamp < causes[1].stamp);
}

#[test]
fn an_event_survives_a_round_trip_through_json() {
    let buffer = RingBuffer::new(1, Arc::default());
    buffer.record(EventCode::CallerAnswered, request_subject("r-1"), Some(1000));
    let (events, _) = buffer.read(|_| true);
    let text = serde_json::to_string(&events).expect("json");
    assert_eq!(serde_json::from_str::<Vec<Event>>(&text).expect("event"), events);
    assert_eq!(events[0].details(), " request=r-1 code=1000");
}
