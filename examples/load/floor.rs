//! The floor: latencies of one first-come queue before all slots, with perfect knowledge.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::Call;

/// Returns the latencies in microseconds of the calls after the warm-up.
pub(crate) fn latencies(calls: &[Call], slots: usize, warm_up: f64) -> Histogram<u64> {
    let mut out = Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid bounds");
    let mut free: BinaryHeap<Reverse<Duration>> = vec![Reverse(Duration::ZERO); slots].into();
    for call in calls {
        let Reverse(slot) = free.pop().expect("at least one slot");
        let end = slot.max(call.at) + call.service_time;
        free.push(Reverse(end));
        if call.at.as_secs_f64() >= warm_up {
            let micros = u64::try_from((end - call.at).as_micros()).unwrap_or(u64::MAX);
            out.saturating_record(micros.max(1));
        }
    }
    out
}
