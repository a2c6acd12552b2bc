//! Traces: the inputs to a host's decisions and the decisions themselves, as JSON Lines.
//!
//! A daemon streams its trace from its admin address for as long as a client reads it, and stores
//! nothing. The test setup appends entries that the daemon can't know, such as how many times a
//! stand-in upstream ran a request.
//!
//! A trace is checked in two layers. [`check_recording`] checks the recorded run itself against the
//! invariants. [`check_rerun`] feeds the recorded inputs to the decision library again, with a
//! seeded random generator, and checks the new decisions against those invariants that decisions
//! alone determine.

mod budget;
mod hooks;
mod leaving;
pub(crate) mod recorder;
mod recording;
mod rerun;
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
use crate::decide::shedding::Shedding;
use crate::decide::upstream::{AttemptReport, Occupancy, State, UpstreamSummary};
use crate::error::{Code, Outcome};
use crate::event::Event;
use crate::time::Time;

pub use recording::check_recording;
pub use rerun::check_rerun;

/// The version of the trace format.
pub const FORMAT: u32 = 1;
/// Lines of this length or longer, including the line break, are rejected, in bytes.
const LINE_MAX_BYTES: u64 = 1 << 20;
/// Maximum number of lines in a trace.
const LINES_MAX: usize = 1_000_000;

/// One line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Time of the entry on the recording host's monotonic clock, in microseconds.
    pub at: Time,
    /// The entry, under the name of its kind.
    #[serde(flatten)]
    pub entry: Entry,
}

/// An input, a decision or an observation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// The first line: the recording host, and the limits that the invariants use.
    Header(Header),
    /// A record was offered to the catalog.
    Offer {
        /// The record.
        record: Record,
        /// Whether it came into force, or why it didn't.
        offered: OfferOutcome,
    },
    /// A service's table, which holds its upstreams and queued requests, was created or updated.
    Put {
        /// The service, with the upstreams of its record and of the host list.
        service: Arc<Service>,
    },
    /// The host list reported an upstream's state.
    State {
        /// The service.
        service: Arc<str>,
        /// The upstream.
        upstream: Arc<str>,
        /// The reported state.
        state: State,
    },
    /// A peer's digest carried data about an upstream.
    Import {
        /// The peer's host name.
        host: Arc<str>,
        /// The data.
        shared: UpstreamSummary,
    },
    /// All data that a peer had shared was dropped.
    Forget {
        /// The peer's host name.
        host: Arc<str>,
    },
    /// The data centres that are evacuated changed.
    Evacuated {
        /// The data centres, sorted.
        data_centres: Vec<Arc<str>>,
    },
    /// The number of other entry hosts that are alive changed.
    #[serde(rename = "fleet")]
    LivePeers {
        /// The new number, without the recording host.
        others: u32,
    },
    /// A new request was admitted, queued or refused.
    Admit {
        /// The service.
        service: Arc<str>,
        /// The request's priority and time limits.
        request: Request,
        /// The decision.
        decision: Decision,
    },
    /// An upstream was chosen for a retry or a hedge.
    #[serde(rename = "again")]
    NextAttempt {
        /// The service.
        service: Arc<str>,
        /// Whether the attempt is a hedge rather than a retry.
        hedge: bool,
        /// The upstreams that earlier attempts went to.
        tried: Vec<Arc<str>>,
        /// The chosen upstream; absent if there is none.
        upstream: Option<Arc<str>>,
    },
    /// A queued request was admitted or refused.
    Release {
        /// The service.
        service: Arc<str>,
        /// The request's ticket.
        ticket: Ticket,
        /// The decision.
        decision: Decision,
    },
    /// A queued request was removed without an attempt.
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
        /// The attempt's result.
        report: AttemptReport,
    },
    /// A probe ended.
    Probed {
        /// The service.
        service: Arc<str>,
        /// The upstream.
        upstream: Arc<str>,
        /// The probe's result.
        report: AttemptReport,
    },
    /// An upstream reported its occupancy.
    #[serde(rename = "occupied")]
    OccupancyReport {
        /// The service.
        service: Arc<str>,
        /// The upstream.
        upstream: Arc<str>,
        /// The reported occupancy.
        occupancy: Occupancy,
    },
    /// An upstream asked to be sent nothing for some time.
    Pause {
        /// The service.
        service: Arc<str>,
        /// The upstream.
        upstream: Arc<str>,
        /// The time in milliseconds.
        millis: u64,
    },
    /// The periodic work on the tables ran.
    Tick {
        /// The probes to send as a result.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        probes: Vec<Probe>,
    },
    /// The daemon recorded an event.
    Event(Event),
    /// Entries were dropped because the trace's reader was too slow.
    #[serde(rename = "lost")]
    Dropped {
        /// The number of entries.
        count: u64,
    },
    /// The test setup injected a fault. Informational; no check uses it.
    Fault {
        /// The fault, as text.
        what: String,
    },
    /// An upstream began to drain, as observed at the upstream.
    #[serde(rename = "leaves")]
    DrainStarted {
        /// The service.
        service: Arc<str>,
        /// The upstream.
        upstream: Arc<str>,
    },
    /// How many times an upstream ran a request, as observed at the upstream.
    #[serde(rename = "ran")]
    UpstreamRuns {
        /// The request id.
        request: Arc<str>,
        /// The upstream.
        upstream: Arc<str>,
        /// The number of runs.
        times: u32,
    },
    /// The result of a request, as observed at the caller.
    #[serde(rename = "told")]
    CallerResult {
        /// The request id.
        request: Arc<str>,
        /// Whether the request may be run more than once.
        idempotent: bool,
        /// The outcome that the response states.
        outcome: Outcome,
        /// The number of the result code.
        code: u16,
    },
}

/// A probe that is to be sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// The service.
    pub service: Arc<str>,
    /// The upstream.
    pub upstream: Arc<str>,
}

/// The decision on a request, in the form that a trace stores.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// It is sent to this upstream.
    Run(Arc<str>),
    /// It is queued under this ticket.
    Wait(Ticket),
    /// It is refused with the result code of this number.
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

/// The first entry of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The version of the trace format.
    pub format: u32,
    /// The recording host.
    pub host: RecordedHost,
    /// The limits that the invariants use.
    #[serde(rename = "outcomes")]
    pub limits: InvariantLimits,
}

/// The settings of the recording host that its decisions depend on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedHost {
    /// The host's name.
    pub host: Arc<str>,
    /// The host's data centre.
    pub data_centre: Arc<str>,
    /// Maximum number of entry hosts that the fleet may ever have.
    pub fleet_size_max: u32,
    /// The policy by which upstreams are chosen.
    pub policy: Policy,
    /// Maximum number of requests that may wait in one service.
    pub waiting_max: usize,
    /// How requests were chosen that were delayed or refused.
    #[serde(default, skip_serializing_if = "Shedding::is_default")]
    pub shedding: Shedding,
}

impl From<RecordedHost> for HostInfo {
    fn from(recorded: RecordedHost) -> HostInfo {
        HostInfo {
            host: recorded.host,
            data_centre: recorded.data_centre,
            fleet_size_max: recorded.fleet_size_max,
            policy: recorded.policy,
            waiting_max: recorded.waiting_max,
        }
    }
}

/// The limits that the invariants use.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct InvariantLimits {
    /// Maximum number of times that a request that is not idempotent may be run.
    pub runs_max: u32,
    /// Time after which an upstream that is leaving gets no new work, in milliseconds.
    pub leaving_ms: u64,
    /// The burst of the probe budget: probes that may be sent at once after an idle time.
    pub probe_burst: f64,
    /// Maximum time between the check of a deadline and the recording of the event that follows
    /// from it, in milliseconds.
    pub clock_slack_ms: u64,
}

impl Default for InvariantLimits {
    fn default() -> InvariantLimits {
        InvariantLimits { runs_max: 1, leaving_ms: 2_000, probe_burst: 1.0, clock_slack_ms: 10 }
    }
}

impl InvariantLimits {
    pub(crate) fn leaving_bound(&self) -> Duration {
        Duration::from_millis(self.leaving_ms)
    }

    pub(crate) fn clock_slack(&self) -> Duration {
        Duration::from_millis(self.clock_slack_ms)
    }
}

/// A property that every run must have.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A request that is not idempotent runs at most [`InvariantLimits::runs_max`] times, normally
    /// once.
    #[display("at-most-once")]
    AtMostOnce,
    /// A request with the outcome `not-run` did not run.
    #[display("not-run")]
    NotRun,
    /// An upstream that is leaving gets no new work once [`InvariantLimits::leaving_ms`] have
    /// passed.
    #[display("leaving")]
    Leaving,
    /// Each service's probes stay within the host's share of the probe budget.
    #[display("probe-budget")]
    ProbeBudget,
    /// Each version of a record that comes into force is newer than the one before.
    #[display("version")]
    Version,
    /// No attempt is sent after its request's deadline.
    #[display("deadline")]
    Deadline,
    /// Every accepted request has exactly one final response.
    #[display("one-answer")]
    OneResponse,
    /// The trace has no gaps: no entries were dropped while it was recorded.
    #[display("whole")]
    Complete,
}

/// A place in a trace where an invariant does not hold.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("line {line}: {invariant}: {detail}")]
pub struct Breach {
    /// The line number, from 1.
    pub line: usize,
    /// The invariant.
    pub invariant: Invariant,
    /// What the trace shows, for the operator.
    pub detail: String,
}

impl Breach {
    pub(crate) fn new(line: usize, invariant: Invariant, detail: impl Into<String>) -> Breach {
        Breach { line, invariant, detail: detail.into() }
    }
}

/// A trace in memory.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// The header.
    pub header: Header,
    /// All lines; the first is the header.
    pub lines: Vec<Line>,
}

impl Trace {
    /// Reads and checks the form of a trace.
    ///
    /// # Errors
    ///
    /// Returns [`Code::Unreadable`] if reading fails; [`Code::Invalid`] if a line is too long or
    /// malformed, if there are too many lines, or if the header is missing or of another format
    /// version.
    pub fn read(mut reader: impl BufRead) -> Result<Trace, crate::error::Error> {
        let mut lines: Vec<Line> = Vec::new();
        let mut buf = Vec::new();
        loop {
            buf.clear();
            let number = lines.len() + 1;
            let result = reader.by_ref().take(LINE_MAX_BYTES).read_until(b'\n', &mut buf);
            let read = result.map_err(|e| line_error(Code::Unreadable, number, &e.to_string()))?;
            if read == 0 {
                break;
            }
            if read as u64 == LINE_MAX_BYTES || number > LINES_MAX {
                return Err(line_error(Code::Invalid, number, "the trace is over the size limits"));
            }
            let line = serde_json::from_slice(&buf);
            lines.push(line.map_err(|e| line_error(Code::Invalid, number, &e.to_string()))?);
        }
        match lines.first().map(|l| &l.entry) {
            Some(Entry::Header(header)) if header.format == FORMAT => {
                Ok(Trace { header: header.clone(), lines })
            }
            Some(Entry::Header(header)) => {
                let reason = format!("format {} is not {FORMAT}", header.format);
                Err(line_error(Code::Invalid, 1, &reason))
            }
            _ => Err(line_error(Code::Invalid, 1, "the header is absent")),
        }
    }

    /// Returns the lines with their line numbers, which start at 1.
    pub(crate) fn numbered(&self) -> impl Iterator<Item = (usize, &Line)> {
        self.lines.iter().enumerate().map(|(i, line)| (i + 1, line))
    }
}

fn line_error(code: Code, line: usize, reason: &str) -> crate::error::Error {
    crate::error::Error::new(code, format!("trace line {line}: {reason}"))
}
