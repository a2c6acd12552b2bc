//! Whether this host reaches the upstreams of a service at all.
//!
//! An upstream that doesn't respond may have failed. If none responds, it is more likely that this
//! host has lost its path to them, while other hosts still have theirs.

use std::time::Duration;

use crate::decide::upstream::{UpstreamId, UpstreamOutcome};
use crate::time::Time;

/// The time without a response after which a service counts as unreachable. Longer than a probe
/// takes whose packets are lost and sent again once.
const SILENCE_MIN: Duration = Duration::from_millis(400);
/// The number of upstreams that must have failed to respond, or all if the service has fewer.
const SILENT_UPSTREAMS_MIN: usize = 3;

/// Age up to which a response proves that this host reaches the service.
const PROOF_AGE_MAX: Duration = Duration::from_millis(250);

/// What this host has heard of the upstreams of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reach {
    /// When an upstream last responded to this host; [`Time::ZERO`] if none has yet.
    last_response: Time,
    /// The upstreams that have failed to respond since then, sorted.
    silent: Vec<UpstreamId>,
    is_lost: bool,
}

impl Reach {
    /// Records that an upstream has responded.
    pub(crate) fn record_response(&mut self, now: Time) {
        self.last_response = now;
        self.silent.clear();
    }

    /// Records how an attempt or a probe ended. One that was sent before the last response says
    /// nothing.
    pub(crate) fn record(
        &mut self,
        id: UpstreamId,
        outcome: UpstreamOutcome,
        sent: Time,
        now: Time,
    ) {
        match outcome {
            UpstreamOutcome::Answered | UpstreamOutcome::Refused | UpstreamOutcome::Failed => {
                self.record_response(now);
            }
            UpstreamOutcome::ConnectFailed | UpstreamOutcome::Lost | UpstreamOutcome::TimedOut => {
                if let Err(at) = self.silent.binary_search(&id)
                    && sent >= self.last_response
                {
                    self.silent.insert(at, id);
                }
            }
            UpstreamOutcome::Cancelled => {}
        }
    }

    /// Returns whether none of `upstreams` upstreams responds to this host.
    pub(crate) fn is_lost(&self, upstreams: usize, now: Time) -> bool {
        let enough = upstreams.clamp(1, SILENT_UPSTREAMS_MIN);
        upstreams > 0 && self.silent.len() >= enough && now.since(self.last_response) >= SILENCE_MIN
    }

    /// Returns whether an upstream has responded a moment ago.
    pub(crate) fn is_proven(&self, now: Time) -> bool {
        self.last_response > Time::ZERO && now.since(self.last_response) < PROOF_AGE_MAX
    }

    /// Returns the new state if it has changed since the last call.
    pub(crate) fn take_change(&mut self, upstreams: usize, now: Time) -> Option<bool> {
        let is_lost = self.is_lost(upstreams, now);
        let is_change = std::mem::replace(&mut self.is_lost, is_lost) != is_lost;
        is_change.then_some(is_lost)
    }
}
