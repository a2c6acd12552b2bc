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
    set: bool,
    gone: bool,
    answers: u32,
}

/// Answers to probes that show that a new process has taken a leaving one's place.
const ANSWERS_MIN: u32 = 2;

impl Drain {
    /// Tells whether the upstream is leaving by its own word.
    pub(crate) fn is_set(&self) -> bool {
        self.set
    }

    /// Takes note that the upstream says that it is leaving.
    pub(crate) fn signal(&mut self) {
        *self = Drain { set: true, gone: false, answers: 0 };
    }

    /// Takes the upstream back.
    pub(crate) fn clear(&mut self) {
        *self = Drain::default();
    }

    /// Takes note that an attempt or probe found nobody who listens.
    pub(crate) fn missed(&mut self, ended: UpstreamOutcome) {
        if self.set && ended == UpstreamOutcome::ConnectFailed {
            (self.gone, self.answers) = (true, 0);
        }
    }

    /// Takes note of a probe's answer without the word. Returns whether a new process is there.
    pub(crate) fn answered(&mut self) -> bool {
        if !self.gone {
            return false;
        }
        self.answers += 1;
        let back = self.answers >= ANSWERS_MIN;
        if back {
            self.clear();
        }
        back
    }
}
