//! Tests of the recorder.

use crate::time::Clock;
use crate::trace::Entry;
use crate::trace::recorder::{CHANNEL_CAPACITY, Recorder};

fn tick() -> Entry {
    Entry::Tick { probes: Vec::new() }
}

#[test]
fn entries_are_built_only_while_the_trace_has_a_reader() {
    let recorder = Recorder::new(Clock::start());
    recorder.record(|| unreachable!("no reader"));
    let rx = recorder.start().expect("the first reader");
    assert!(recorder.start().is_none());
    drop(rx);
    recorder.record(|| unreachable!("the reader was dropped"));
    assert!(recorder.start().is_some());
}

#[test]
fn a_slow_reader_gets_the_number_of_dropped_entries() {
    let recorder = Recorder::new(Clock::start());
    let mut rx = recorder.start().expect("the first reader");
    (0..CHANNEL_CAPACITY + 3).for_each(|_| recorder.record(tick));
    for _ in 0..CHANNEL_CAPACITY {
        assert_eq!(rx.try_recv().expect("a line").entry, tick());
    }
    recorder.record(tick);
    assert_eq!(rx.try_recv().expect("a line").entry, Entry::Dropped { count: 3 });
    assert_eq!(rx.try_recv().expect("a line").entry, tick());
}
