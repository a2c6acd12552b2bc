//! The runs that are recorded: whose workload, and which faults when.

use std::time::Duration;

use clap::ValueEnum;

/// A run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// An upstream becomes a straggler without warning.
    Straggler,
    /// Two upstreams drain under load.
    Drain,
    /// An upstream fails every request at once.
    FailFast,
    /// The open connections to every third upstream go silent.
    SilentConnections,
    /// The key-value service is down over changes of a profile.
    OutageOverChange,
    /// The answer to a write of a profile is lost.
    LostAnswer,
    /// Connections are cut in the middle of requests and of answers.
    Cuts,
    /// Nothing fails here; whoever starts the daemon pauses it.
    PausedHost,
    /// A straggler and silent connections at the same time.
    TwoFaults,
}

/// A service's size and load.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// The service's name.
    pub service: &'static str,
    /// Its upstreams.
    pub upstreams: usize,
    /// The slots of each.
    pub slots: usize,
    /// Time that a request holds a slot.
    pub service_time: Duration,
    /// Time between two requests.
    pub gap: Duration,
}

/// Scogliera's crew-dispatch, with some 60 % of its slots taken.
const SCOGLIERA: Size = Size {
    service: "crew-dispatch",
    upstreams: 12,
    slots: 6,
    service_time: Duration::from_millis(500),
    gap: Duration::from_millis(12),
};
/// Fjordbrev's saksbrev, with some 60 % of its slots taken.
const FJORDBREV: Size = Size {
    service: "saksbrev",
    upstreams: 20,
    slots: 3,
    service_time: Duration::from_millis(430),
    gap: Duration::from_millis(12),
};

/// What a step of a run changes.
#[derive(Clone, Copy, Debug)]
pub enum Change {
    /// Multiplies an upstream's service time.
    Slow(usize, f64),
    /// Makes an upstream say that it is leaving.
    Drain(usize),
    /// Makes an upstream answer at once with a status.
    FailWith(usize, u16),
    /// Makes the open connections of every so many upstreams silent.
    Silence(usize),
    /// Makes an upstream close connections after a request has run.
    CloseAfterRun(usize),
    /// Makes an upstream close connections in the middle of answers.
    CutBody(usize),
    /// Ends an upstream's cuts.
    Mend(usize),
    /// Takes the key-value service down once the next write has been answered.
    DownAfterWrite,
    /// Brings the key-value service up.
    Up,
    /// Loses the answers to the next writes.
    LoseAnswers(u32),
    /// Publishes a profile as the version after this one.
    Publish(u64),
}

/// A change at a time from the first request.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// When.
    pub at: Duration,
    /// What.
    pub change: Change,
}

const fn at(ms: u64, change: Change) -> Step {
    Step { at: Duration::from_millis(ms), change }
}

impl Scenario {
    /// Returns the size and load.
    pub fn size(self) -> Size {
        match self {
            Scenario::FailFast
            | Scenario::SilentConnections
            | Scenario::LostAnswer
            | Scenario::TwoFaults => FJORDBREV,
            _ => SCOGLIERA,
        }
    }

    /// Returns the steps, in order of time.
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

    /// Tells whether the run has a platform.
    pub fn has_platform(self) -> bool {
        matches!(self, Scenario::OutageOverChange | Scenario::LostAnswer)
    }
}
