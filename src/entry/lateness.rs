//! Measures how late the loop runs that serves callers.

use crate::decide::overload::Loop;
use crate::event::{EventCode, Subject};
use crate::node::Node;

/// Lets the loop turn once, and records how long that took: new requests wait as long before anything
/// is done for them.
pub(crate) async fn measure(node: &Node) {
    let start = node.clock.now();
    tokio::task::yield_now().await;
    let now = node.clock.now();
    let late = now.since(start);
    node.metrics.observe_caller_lateness(late);
    node.observe_lateness(Loop::Callers, late);
    if node.late_caller_events.lock().observe(late, now) {
        let late = u64::try_from(late.as_millis()).ok();
        node.events.record(EventCode::CallersLate, Subject::default(), late);
    }
}
