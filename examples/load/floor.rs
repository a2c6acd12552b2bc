//! The latency floor: the latencies of an ideal balancer, which has one first-come, first-served
//! queue in front of the slots of all upstreams and always knows which slot is free.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::PlannedRequest;

/// Simulates the ideal balancer and returns the latencies of the requests planned after the
/// warm-up, in microseconds. `warm_up` is in seconds.
///
/// # Panics
///
/// Panics if `slots` is 0.
pub(crate) fn latencies(requests: &[PlannedRequest], slots: usize, warm_up: f64) -> Histogram<u64> {
    let mut out = Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid bounds");
    let mut free_at: BinaryHeap<Reverse<Duration>> = vec![Reverse(Duration::ZERO); slots].into();
    for request in requests {
        let Reverse(free) = free_at.pop().expect("at least one slot");
        let end = free.max(request.at) + request.service_time;
        free_at.push(Reverse(end));
        if request.at.as_secs_f64() >= warm_up {
            let micros = u64::try_from((end - request.at).as_micros()).unwrap_or(u64::MAX);
            out.saturating_record(micros.max(1));
        }
    }
    out
}
