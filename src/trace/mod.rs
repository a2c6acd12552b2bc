//! Traces: what went into a host's decisions and what came out, as JSON Lines.
//!
//! A daemon streams its trace from its admin address while somebody asks for it, and keeps none.
//! Whoever knows more, such as how often a stand-in upstream ran a request, appends it.
//!
//! A trace is checked in two layers. [`check_recording`] holds what the run itself did against the stated
//! outcomes. [`check_rerun`] feeds the recorded inputs to the decision library once more, with a seeded
//! random generator, and holds its new decisions against those outcomes that they decide.

mod hooks;
mod leaving;
mod outcome;
mod probing;
pub(crate) mod recorder;
mod replay;
#[cfg(test)]
mod tests;

use std::io::{BufRead, Read};
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::config::Service;
use crate::decide::admission::{Admission, Request, Ticket};
use crate::decide::balancing::Policy;
use crate::decide::catalog::{OfferOutcome, Record};
use crate::decide::service::HostInfo;
use crate::decide::upstream::{AttemptReport, Occupancy, State, UpstreamSummary};
use crate::error::{Code, Outcome};
use crate::event::Event;
use crate::time::Time;

pub use outcome::check_recording;
pub use replay::check_rerun;

/// The version of the format.
pub const FORMAT: u32 = 1;
/// The longest line, in bytes.
const LINE_MAX_BYTES: u64 = 1 << 20;
/// The most lines.
const LINES_MAX: usize = 1_000_000;

/// One line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// When, by the recording host's monotonic clock.
    pub at: Time,
    /// What.
    #[serde(flatten)]
    pub entry: Entry,
}

/// What a line says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// The first line: where the trace is from and what must hold.
    Header(Header),
    /// A record was offered.
    Offer {
        /// The record.
        record: Record,
        /// What became of it.
        offered: OfferOutcome,
    },
    /// A service was put into the tables, with the upstreams of its record and of the host list.
    Put {
        /// The service.
        service: Arc<Service>,
    },
    /// The host list said whether an upstream is leaving.
    State {
        /// The service.
        service: Arc<str>,
        /// The upstream.
        upstream: Arc<str>,
        /// What it said.
        state: State,
    },
    /// A peer shared what it knows of an upstream.
    Import {
        /// The peer.
        host: Arc<str>,
        /// What it knows.
        shared: UpstreamSummary,
    },
    /// What a peer had shared was forgotten.
    Forget {
        /// The peer.
        host: Arc<str>,
    },
    /// The number of other entry hosts that are alive changed.
    #[serde(rename = "fleet")]
    OtherHosts {
        /// The number.
        others: u32,
    },
    /// A new request was decided on.
    Admit {
        /// The service.
        service: Arc<str>,
        /// The request.
        request: Request,
        /// The decision.
        decision: Decision,
    },
    /// Another attempt was decided on.
    #[serde(rename = "again")]
    NextAttempt {
        /// The service.
        service: Arc<str>,
        /// Whether it is a hedge rather than a retry.
        hedge: bool,
        /// The upstreams tried before.
        tried: Vec<Arc<str>>,
        /// The upstream chosen.
        upstream: Option<Arc<str>>,
    },
    /// A request that waited was decided on.
    Release {
        /// The service.
        service: Arc<str>,
        /// The request's ticket.
        ticket: Ticket,
        /// The decision.
        decision: Decision,
    },
    /// A request that waited was forgotten.
    Abandon {
        /// The service.
        service: Arc<str>,
        /// The request's ticket.
        ticket: Ticket,
    },
    /// An attempt ended.
    Finish {
        /// The service.
        service: Arc<str>,
        /// The upstream.
        upstream: Arc<str>,
        /// What it taught.
        report: AttemptReport,
    },
    /// A probe ended.
    Probed {
        /// The service.
        service: Arc<str>,
        /// The upstream.
        upstream: Arc<str>,
        /// What it taught.
        report: AttemptReport,
    },
    /// An upstream told its occupancy.
    #[serde(rename = "occupied")]
    OccupancyReport {
        /// The service.
        service: Arc<str>,
        /// The upstream.
        upstream: Arc<str>,
        /// What it told.
        occupancy: Occupancy,
    },
    /// The systems ran over the tables.
    Tick {
        /// The probes that they decided on.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        probes: Vec<Probe>,
    },
    /// An event was recorded.
    Event(Event),
    /// Entries were lost, because the reader of the trace was too slow.
    Lost {
        /// How many.
        count: u64,
    },
    /// A fault was provoked. For the reader only.
    Fault {
        /// Which.
        what: String,
    },
    /// An upstream began to leave, as the upstream knows it.
    #[serde(rename = "leaves")]
    DrainStarted {
        /// The service.
        service: Arc<str>,
        /// The upstream.
        upstream: Arc<str>,
    },
    /// How often an upstream ran a request, as the upstream knows it.
    #[serde(rename = "ran")]
    UpstreamRuns {
        /// The request id.
        request: Arc<str>,
        /// The upstream.
        upstream: Arc<str>,
        /// How often.
        times: u32,
    },
    /// What a caller was told, as the caller knows it.
    #[serde(rename = "told")]
    CallerResult {
        /// The request id.
        request: Arc<str>,
        /// Whether running the request twice is the same as once.
        idempotent: bool,
        /// The outcome.
        outcome: Outcome,
        /// The number of the result code.
        code: u16,
    },
}

/// A probe that was decided on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// The service.
    pub service: Arc<str>,
    /// The upstream.
    pub upstream: Arc<str>,
}

/// A decision on a request, as a trace holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// It runs at this upstream.
    Run(Arc<str>),
    /// It waits.
    Wait(Ticket),
    /// It is refused with this result code.
    Refuse(u16),
}

impl From<&Admission> for Decision {
    fn from(admission: &Admission) -> Decision {
        match admission {
            Admission::Run(target) => Decision::Run(target.name.clone()),
            Admission::Wait(ticket) => Decision::Wait(*ticket),
            Admission::Refuse(refusal) => Decision::Refuse(refusal.code.number()),
        }
    }
}

/// Where a trace is from and what must hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The version of the format.
    pub format: u32,
    /// The facts of the recording host.
    pub host: RecordedHost,
    /// The stated outcomes.
    #[serde(rename = "outcomes")]
    pub limits: InvariantLimits,
}

/// What the decisions of a host depend on beside its tables.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedHost {
    /// The host's name.
    pub host: Arc<str>,
    /// The host's data centre.
    pub data_centre: Arc<str>,
    /// The most entry hosts that the fleet may ever have.
    pub fleet_size_max: u32,
    /// How an upstream is chosen.
    pub policy: Policy,
    /// Requests that may wait in one service.
    pub waiting_max: usize,
}

impl From<RecordedHost> for HostInfo {
    fn from(facts: RecordedHost) -> HostInfo {
        HostInfo {
            host: facts.host,
            data_centre: facts.data_centre,
            fleet_size_max: facts.fleet_size_max,
            policy: facts.policy,
            waiting_max: facts.waiting_max,
        }
    }
}

/// What must hold of a run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct InvariantLimits {
    /// The most times that a request that is not idempotent may be run.
    pub runs_max: u32,
    /// Milliseconds after which an upstream that is leaving gets no new work.
    pub leaving_ms: u64,
    /// Probes that may be sent at once after a pause.
    pub probe_burst: f64,
    /// Milliseconds between a deadline's check and the record of what followed.
    pub clock_slack_ms: u64,
}

impl Default for InvariantLimits {
    fn default() -> InvariantLimits {
        InvariantLimits { runs_max: 1, leaving_ms: 2_000, probe_burst: 1.0, clock_slack_ms: 10 }
    }
}

impl InvariantLimits {
    pub(crate) fn leaving(&self) -> Duration {
        Duration::from_millis(self.leaving_ms)
    }

    pub(crate) fn clock_slack(&self) -> Duration {
        Duration::from_millis(self.clock_slack_ms)
    }
}

/// A stated outcome.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A request that is not idempotent runs at most once.
    #[display("at-most-once")]
    AtMostOnce,
    /// What is called not run did not run.
    #[display("not-run")]
    NotRun,
    /// An upstream that is leaving gets no new work after its bound.
    #[display("leaving")]
    Leaving,
    /// Probes stay within their budget.
    #[display("probe-budget")]
    ProbeBudget,
    /// No record goes back to an older version.
    #[display("version")]
    Version,
    /// No attempt is sent after its request's deadline.
    #[display("deadline")]
    Deadline,
    /// Every accepted request has exactly one final answer.
    #[display("one-answer")]
    OneAnswer,
    /// The trace is whole.
    #[display("whole")]
    Complete,
}

/// A stated outcome that does not hold.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("line {line}: {invariant}: {detail}")]
pub struct Breach {
    /// The line, from 1.
    pub line: usize,
    /// Which outcome.
    pub invariant: Invariant,
    /// What was seen.
    pub detail: String,
}

impl Breach {
    pub(crate) fn new(line: usize, invariant: Invariant, detail: impl Into<String>) -> Breach {
        Breach { line, invariant, detail: detail.into() }
    }
}

/// A trace that has been read.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// Its header.
    pub header: Header,
    /// Its lines, the header included.
    pub lines: Vec<Line>,
}

impl Trace {
    /// Reads a trace.
    ///
    /// # Errors
    ///
    /// [`Code::Unreadable`] if the bytes can't be read, [`Code::Invalid`] if a line is too long or
    /// no trace line, if there are too many, or if the header is absent or of another format.
    pub fn read(mut from: impl BufRead) -> Result<Trace, crate::error::Error> {
        let mut lines: Vec<Line> = Vec::new();
        let mut buf = Vec::new();
        loop {
            buf.clear();
            let number = lines.len() + 1;
            let limited = from.by_ref().take(LINE_MAX_BYTES).read_until(b'\n', &mut buf);
            let read = limited.map_err(|e| fault(Code::Unreadable, number, &e.to_string()))?;
            if read == 0 {
                break;
            }
            if read as u64 == LINE_MAX_BYTES || number > LINES_MAX {
                return Err(fault(Code::Invalid, number, "the trace is over the size limits"));
            }
            let line = serde_json::from_slice(&buf);
            lines.push(line.map_err(|e| fault(Code::Invalid, number, &e.to_string()))?);
        }
        match lines.first().map(|l| &l.entry) {
            Some(Entry::Header(header)) if header.format == FORMAT => {
                Ok(Trace { header: header.clone(), lines })
            }
            Some(Entry::Header(header)) => {
                let reason = format!("format {} is not {FORMAT}", header.format);
                Err(fault(Code::Invalid, 1, &reason))
            }
            _ => Err(fault(Code::Invalid, 1, "the header is absent")),
        }
    }

    /// Returns the lines with their numbers, from 1.
    pub(crate) fn numbered(&self) -> impl Iterator<Item = (usize, &Line)> {
        self.lines.iter().enumerate().map(|(i, line)| (i + 1, line))
    }
}

fn fault(code: Code, line: usize, reason: &str) -> crate::error::Error {
    crate::error::Error::new(code, format!("trace line {line}: {reason}"))
}
