//! Drains that an upstream signals itself, and when they end.
//!
//! An outdated host list still names an upstream that has begun to drain, and a health endpoint may
//! still call it healthy. So a signalled drain lasts until the host list removes the upstream or
//! marks it as leaving, and then lists it as live again, or until a new process has taken its
//! place: connections fail, and then probes are answered. It also ends when a peer that reported
//! the upstream as leaving no longer does.

use crate::decide::upstream::UpstreamOutcome;

/// The state of a drain: whether the upstream has signalled it, and whether the upstream seems to
/// have been replaced since.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Drain {
    signalled: bool,
    unreachable: bool,
    responses: u32,
}

/// Responses to probes, after a failed connection, that show that a new process has taken the place
/// of the leaving one.
const RESPONSES_MIN: u32 = 2;

impl Drain {
    /// Returns whether the upstream has signalled its drain.
    pub(crate) fn is_set(&self) -> bool {
        self.signalled
    }

    /// Records that the upstream signals its drain.
    pub(crate) fn signal(&mut self) {
        *self = Drain { signalled: true, unreachable: false, responses: 0 };
    }

    /// Ends the drain.
    pub(crate) fn clear(&mut self) {
        *self = Drain::default();
    }

    /// Records that an attempt or probe could not connect. Other outcomes are ignored.
    pub(crate) fn observe_failure(&mut self, outcome: UpstreamOutcome) {
        if self.signalled && outcome == UpstreamOutcome::ConnectFailed {
            (self.unreachable, self.responses) = (true, 0);
        }
    }

    /// Records a response to a probe without the drain signal. Returns whether a new process has
    /// taken the upstream's place, which ends the drain.
    pub(crate) fn observe_response(&mut self) -> bool {
        if !self.unreachable {
            return false;
        }
        self.responses += 1;
        let is_replaced = self.responses >= RESPONSES_MIN;
        if is_replaced {
            self.clear();
        }
        is_replaced
    }
}
