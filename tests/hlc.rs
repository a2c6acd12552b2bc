//! Cause before effect by the hybrid logical clock, whatever the wall clocks say.

use cornelferry::hlc::{Hlc, MAX_OFFSET, Timestamp};
use proptest::collection::vec;
use proptest::prelude::*;

/// Wall clocks that are off by seconds, and one that stands still.
const WALLS: [fn() -> u64; 4] = [|| 1_000_000, || 1_007_000, || 994_500, || 0];

proptest! {
    #[test]
    fn every_message_is_received_after_it_was_sent(
        messages in vec((0_usize..4, 0_usize..4), 1..200)
    ) {
        let clocks: Vec<Hlc> = WALLS.iter().map(|w| Hlc::new(*w)).collect();
        let mut last = [Timestamp::default(); 4];
        for (from, to) in messages {
            let sent = clocks[from].tick();
            prop_assert!(sent > last[from]);
            last[from] = sent;
            // The clock that stands at 0 is further off than clocks are taken along.
            if to == 3 {
                continue;
            }
            let received = clocks[to].observe(sent);
            prop_assert!(received > sent && received > last[to]);
            last[to] = received;
        }
    }
}

#[test]
fn a_clock_years_ahead_takes_no_other_along() {
    let wall = 1_000_000;
    let sane = Hlc::new(|| 1_000_000);
    let far = Timestamp { millis: wall + 365 * 86_400_000, count: 3 };
    let after = sane.observe(far);
    assert!(after.millis <= wall + MAX_OFFSET.as_millis() as u64);
    assert!(sane.tick() > after);
}
