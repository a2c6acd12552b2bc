//! What an upstream's own word that it is leaving is worth, and for how long.
//!
//! A host list that lags still names an upstream that has begun to drain, and a health endpoint may
//! call it healthy. So the word holds until the host list first agrees and then takes the upstream
//! back, or until a new process is seen in the old one's place: nobody listened, and then somebody
//! answered.

use crate::decide::upstream::UpstreamOutcome;

/// Whether an upstream said that it is leaving, and what was seen of it since.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Drain {
    signaled: bool,
    unreachable: bool,
    responses: u32,
}

/// Answers to probes that show that a new process has taken a leaving one's place.
const RESPONSES_MIN: u32 = 2;

impl Drain {
    /// Tells whether the upstream is leaving by its own word.
    pub(crate) fn is_set(&self) -> bool {
        self.signaled
    }

    /// Takes note that the upstream says that it is leaving.
    pub(crate) fn signal(&mut self) {
        *self = Drain { signaled: true, unreachable: false, responses: 0 };
    }

    /// Takes the upstream back.
    pub(crate) fn clear(&mut self) {
        *self = Drain::default();
    }

    /// Takes note that an attempt or probe found nobody who listens.
    pub(crate) fn observe_failure(&mut self, ended: UpstreamOutcome) {
        if self.signaled && ended == UpstreamOutcome::ConnectFailed {
            (self.unreachable, self.responses) = (true, 0);
        }
    }

    /// Takes note of a probe's answer without the word. Returns whether a new process is there.
    pub(crate) fn observe_response(&mut self) -> bool {
        if !self.unreachable {
            return false;
        }
        self.responses += 1;
        let back = self.responses >= RESPONSES_MIN;
        if back {
            self.clear();
        }
        back
    }
}
