//! Tests of the hybrid logical clock: the receipt of a message has a later timestamp than its
//! sending, whatever the wall clocks show.

use cornelferry::hlc::{Hlc, OFFSET_MAX, Timestamp};
use proptest::collection::vec;
use proptest::prelude::*;

/// Wall clocks that differ by seconds, and one that is stuck at 0.
const WALLS: [fn() -> u64; 4] = [|| 1_000_000, || 1_007_000, || 994_500, || 0];

proptest! {
    #[test]
    fn receipt_is_stamped_after_sending(
        messages in vec((0_usize..4, 0_usize..4), 1..200)
    ) {
        let clocks: Vec<Hlc> = WALLS.iter().map(|w| Hlc::new(*w)).collect();
        let mut last = [Timestamp::default(); 4];
        for (from, to) in messages {
            let sent = clocks[from].tick();
            prop_assert!(sent > last[from]);
            last[from] = sent;
            // The others are ahead of the clock at 0 by more than the maximum offset, so it ignores
            // their timestamps.
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
fn a_clock_years_ahead_does_not_advance_others() {
    let wall = 1_000_000;
    let local = Hlc::new(|| 1_000_000);
    let far = Timestamp { millis: wall + 365 * 86_400_000, count: 3 };
    let after = local.observe(far);
    assert!(after.millis <= wall + OFFSET_MAX.as_millis() as u64);
    assert!(local.tick() > after);
}
