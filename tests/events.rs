//! The event ring, its filter, and the order of events of several hosts.

use std::sync::Arc;

use cornelferry::event::{Event, EventCode, Filter, RingBuffer, Subject};
use cornelferry::hlc::{Hlc, Timestamp};

fn about(request: &str) -> Subject {
    Subject { request: Some(request.into()), ..Subject::default() }
}

fn of_request(request: &str) -> Filter {
    Filter { request: Some(request.to_owned()), ..Filter::default() }
}

#[test]
fn the_ring_keeps_the_newest_and_counts_the_rest() {
    let ring = RingBuffer::new(4, Arc::default());
    (0..10).for_each(|i| ring.record(EventCode::Accepted, about("r"), Some(i)));
    let page = ring.page("a".into(), &Filter { limit: Some(3), ..of_request("r") });
    let values: Vec<_> = page.events.iter().filter_map(|e| e.value).collect();
    assert_eq!((values, page.dropped, page.omitted), (vec![7, 8, 9], 6, 1));
    assert_eq!(ring.size(), (4, 6));
    assert!(ring.page("a".into(), &of_request("other")).events.is_empty());
}

#[test]
fn a_ring_of_no_size_still_holds_an_event() {
    let ring = RingBuffer::new(0, Arc::default());
    (0..3).for_each(|_| ring.record(EventCode::Started, Subject::default(), None));
    assert_eq!(ring.size(), (1, 2));
}

#[test]
fn stamps_rise_with_the_sequence_when_threads_record_at_once() {
    let ring = Arc::new(RingBuffer::new(10_000, Arc::default()));
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                (0..500).for_each(|i| ring.record(EventCode::Sent, about("r"), Some(i)));
            });
        }
    });
    let (events, _) = ring.read(|_| true);
    let rises = |w: &[Event]| w[0].stamp < w[1].stamp && w[0].seq + 1 == w[1].seq;
    assert!(events.windows(2).all(rises));
}

#[test]
fn a_cause_stands_before_its_effect_with_clocks_ten_seconds_apart() {
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
    let (first, effect) = (a.read(|_| true).0, b.read(|_| true).0);
    assert!(first[0].stamp < effect[0].stamp && effect[0].stamp < first[1].stamp);
}

#[test]
fn an_event_reads_back_from_json_as_it_was() {
    let ring = RingBuffer::new(1, Arc::default());
    ring.record(EventCode::CallerAnswered, about("r-1"), Some(1000));
    let (events, _) = ring.read(|_| true);
    let text = serde_json::to_string(&events).expect("json");
    assert_eq!(serde_json::from_str::<Vec<Event>>(&text).expect("event"), events);
    assert_eq!(events[0].details(), " request=r-1 code=1000");
}
