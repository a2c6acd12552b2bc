use crate::time::Clock;
use crate::trace::Entry;
use crate::trace::recorder::{Recorder, WAITING_LINES};

fn tick() -> Entry {
    Entry::Tick { probes: Vec::new() }
}

#[test]
fn nothing_is_made_while_nobody_reads() {
    let recorder = Recorder::new(Clock::start());
    recorder.record(|| unreachable!("nobody reads"));
    let rx = recorder.start().expect("the first reader");
    assert!(recorder.start().is_none());
    drop(rx);
    recorder.record(|| unreachable!("the reader has gone"));
    assert!(recorder.start().is_some());
}

#[test]
fn a_reader_that_is_too_slow_is_told_how_much_it_missed() {
    let recorder = Recorder::new(Clock::start());
    let mut rx = recorder.start().expect("the first reader");
    (0..WAITING_LINES + 3).for_each(|_| recorder.record(tick));
    for _ in 0..WAITING_LINES {
        assert_eq!(rx.try_recv().expect("a line").entry, tick());
    }
    recorder.record(tick);
    assert_eq!(rx.try_recv().expect("a line").entry, Entry::Lost { count: 3 });
    assert_eq!(rx.try_recv().expect("a line").entry, tick());
}
