//! Which requests a host that is stopping still sends to upstreams.
//!
//! The platform ends the process some time after it has asked it to stop. A request whose response
//! can't be expected by then is better refused: another host serves it at once, and nobody has to find
//! out whether it has run.

use std::time::Duration;

use crate::time::Time;

/// The part of the time between the signal and the end of the process that is left for the response to
/// reach the caller.
const MARGIN_DIVISOR: u32 = 6;
/// The part of that time after which only requests are sent whose deadline comes before its end.
const STRICT_DIVISOR: u32 = 2;
/// The multiple of its expected time that a response may take.
const EXPECTED_FACTOR: u32 = 2;

/// The time in which a host that is stopping may still finish requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopWindow {
    began: Time,
    length: Duration,
}

impl StopWindow {
    /// Creates the window of a host that was asked to stop at `began`, and whose process ends `length`
    /// later at the latest.
    pub fn new(began: Time, length: Duration) -> StopWindow {
        StopWindow { began, length }
    }

    /// Returns whether a request may be sent to an upstream at `now`: its response, which is expected to
    /// take `expected`, comes before the process ends, or `deadline` does, after which nobody waits for
    /// it.
    pub fn allows(&self, expected: Duration, deadline: Time, now: Time) -> bool {
        let end = self.began + (self.length - self.length / MARGIN_DIVISOR);
        let is_strict = now.since(self.began) >= self.length / STRICT_DIVISOR;
        deadline <= end || !is_strict && now + expected * EXPECTED_FACTOR <= end
    }
}
