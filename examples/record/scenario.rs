//! The scenarios that are recorded: the workload, and the faults with their times.

use std::time::Duration;

use clap::ValueEnum;

/// A scenario to record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// An upstream suddenly becomes a straggler.
    Straggler,
    /// Two upstreams drain under load.
    Drain,
    /// An upstream fails every request immediately.
    FailFast,
    /// The open connections to every third upstream become silent.
    SilentConnections,
    /// The key-value service goes down right after a change of a profile, and is up again before
    /// the next one.
    OutageOverChange,
    /// The response to a write of a profile is lost.
    LostAnswer,
    /// Two upstreams close connections: one after running a request, one in the middle of a
    /// response.
    Cuts,
    /// The daemon is paused by the script that starts it; nothing else fails.
    PausedHost,
    /// A straggler and silent connections occur together.
    TwoFaults,
}

/// The size and load of a service.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// The service's name.
    pub service: &'static str,
    /// The number of upstreams.
    pub upstreams: usize,
    /// The slots of each upstream.
    pub slots: usize,
    /// The time for which a request holds a slot.
    pub service_time: Duration,
    /// Time between two requests.
    pub request_interval: Duration,
}

/// Scogliera's crew-dispatch, with some 60 % of its slots in use.
const SCOGLIERA: Size = Size {
    service: "crew-dispatch",
    upstreams: 12,
    slots: 6,
    service_time: Duration::from_millis(500),
    request_interval: Duration::from_millis(12),
};
/// Fjordbrev's saksbrev, with some 60 % of its slots in use.
const FJORDBREV: Size = Size {
    service: "saksbrev",
    upstreams: 20,
    slots: 3,
    service_time: Duration::from_millis(430),
    request_interval: Duration::from_millis(12),
};

/// The change that a step makes.
#[derive(Clone, Copy, Debug)]
pub enum Change {
    /// Multiplies an upstream's service time.
    Slow(usize, f64),
    /// Makes an upstream announce that it is leaving.
    Drain(usize),
    /// Makes an upstream answer every request immediately with a status.
    FailWith(usize, u16),
    /// Makes the open connections of every n-th upstream silent.
    Silence(usize),
    /// Makes an upstream close connections after running a request.
    CloseAfterRun(usize),
    /// Makes an upstream close connections in the middle of responses.
    CutBody(usize),
    /// Ends the fault that makes an upstream close connections.
    Mend(usize),
    /// Takes the key-value service down after the next write has taken effect.
    DownAfterWrite,
    /// Ends all faults of the key-value service.
    Up,
    /// Loses the responses to the given number of next writes.
    LoseAnswers(u32),
    /// Publishes the profile as the version after this one, which is the expected current version.
    Publish(u64),
}

/// A change and its time.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// The time from the start of the run.
    pub at: Duration,
    /// The change.
    pub change: Change,
}

const fn at(ms: u64, change: Change) -> Step {
    Step { at: Duration::from_millis(ms), change }
}

impl Scenario {
    /// Returns the size and load of the service.
    pub fn size(self) -> Size {
        match self {
            Scenario::FailFast
            | Scenario::SilentConnections
            | Scenario::LostAnswer
            | Scenario::TwoFaults => FJORDBREV,
            _ => SCOGLIERA,
        }
    }

    /// Returns the steps in order of time.
    pub fn steps(self) -> &'static [Step] {
        match self {
            Scenario::Straggler => const { &[at(700, Change::Slow(0, 5.0))] },
            Scenario::Drain => const { &[at(300, Change::Drain(0)), at(400, Change::Drain(5))] },
            Scenario::FailFast => const { &[at(500, Change::FailWith(3, 500))] },
            Scenario::SilentConnections => const { &[at(700, Change::Silence(3))] },
            Scenario::OutageOverChange => {
                const {
                    &[
                        at(300, Change::DownAfterWrite),
                        at(350, Change::Publish(0)),
                        at(1_500, Change::Up),
                        at(1_900, Change::Publish(1)),
                    ]
                }
            }
            Scenario::LostAnswer => {
                const { &[at(300, Change::LoseAnswers(1)), at(350, Change::Publish(0))] }
            }
            Scenario::Cuts => {
                const {
                    &[
                        at(300, Change::CloseAfterRun(1)),
                        at(300, Change::CutBody(2)),
                        at(1_500, Change::Mend(1)),
                        at(1_500, Change::Mend(2)),
                    ]
                }
            }
            Scenario::PausedHost => &[],
            Scenario::TwoFaults => {
                const { &[at(600, Change::Slow(0, 5.0)), at(700, Change::Silence(4))] }
            }
        }
    }

    /// Returns whether the scenario needs a platform.
    pub fn has_platform(self) -> bool {
        matches!(self, Scenario::OutageOverChange | Scenario::LostAnswer)
    }
}
