//! Numbered result codes and the outcome that each implies for the request.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The execution status of a request, as its response states it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An upstream ran the request and made the response.
    #[display("answered")]
    Answered,
    /// No upstream has run the request, and none will.
    #[display("not-run")]
    NotRun,
    /// An upstream may have run the request.
    #[display("unknown")]
    Unknown,
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $outcome:ident, $text:literal;)*) => {
        /// A numbered result code. `docs/RESULTS.md` holds the same table with the action to take
        /// for each.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(u16)]
        pub enum Code {
            $($(#[$doc])* $name = $number,)*
        }

        impl Code {
            /// All codes, in ascending order.
            pub const ALL: &'static [Code] = &[$(Code::$name),*];

            /// Returns the HTTP status of a response with this code that cornelferry itself makes.
            pub const fn status(self) -> u16 {
                match self { $(Code::$name => $status,)* }
            }

            /// Returns the outcome that the code implies for the request.
            pub const fn outcome(self) -> Outcome {
                match self { $(Code::$name => Outcome::$outcome,)* }
            }

            /// Returns the code's description.
            pub const fn text(self) -> &'static str {
                match self { $(Code::$name => $text,)* }
            }
        }
    };
}

codes! {
    /// The upstream's response was returned.
    Answered = 1000, 200, Answered, "answered by the upstream";
    /// The request is malformed.
    BadRequest = 2001, 400, NotRun, "the request is malformed";
    /// No service matches host and path.
    NoService = 2002, 404, NotRun, "no service matches host and path";
    /// The request head is over the limit.
    HeadTooLarge = 2003, 431, NotRun, "the request head is over the limit";
    /// The request body is over the service's limit.
    BodyTooLarge = 2004, 413, NotRun, "the request body is over the limit";
    /// No slot is free and the request can't wait, or it was removed from the queue in favour of
    /// others. Also used when a limit on memory or caller connections is reached.
    Overloaded = 2005, 503, NotRun, "no slot is free and the request may not wait";
    /// The request waited for a slot as long as its treatment allows.
    WaitedTooLong = 2006, 503, NotRun, "no slot came free within the wait limit";
    /// The deadline can't be met.
    DeadlineTooClose = 2007, 503, NotRun, "the deadline can't be met";
    /// The service has no upstream that accepts requests.
    NoUpstream = 2008, 503, NotRun, "the service has no upstream that takes work";
    /// The upstream refused the request with a response that its service declares as a refusal.
    Refused = 2009, 503, NotRun, "the upstream refused the request";
    /// No connection to an upstream could be opened, so no byte was sent.
    ConnectFailed = 2010, 503, NotRun, "no connection to an upstream could be had";
    /// The host is stopping.
    Stopping = 2011, 503, NotRun, "the host is stopping";
    /// The host has not yet loaded the newest records.
    NotReady = 2012, 503, NotRun, "the host is not ready";
    /// The caller disconnected before the request was sent to an upstream.
    CallerGone = 2013, 499, NotRun, "the caller went away before anything was sent";
    /// The idempotency key can't be claimed at present.
    KeyUnclaimed = 2015, 503, NotRun, "the idempotency key can't be claimed now";
    /// The request's deadline header is malformed.
    BadDeadline = 2016, 400, NotRun, "the deadline header is malformed";
    /// The caller stopped sending before the request's body was complete.
    BodyCut = 2017, 400, NotRun, "the request body ended early";
    /// No known route matches, and the known routes may be outdated.
    RoutesOutdated = 2018, 503, NotRun, "no known route matches and the known ones may be outdated";
    /// Upstreams have ended under copies of the request, so it is no longer sent to any.
    Blocked = 2019, 503, NotRun, "upstreams have ended under copies of the request";
    /// No upstream of the service responds to this host, nor to the peers that were asked.
    UpstreamsUnreachable = 2020, 503, NotRun, "no upstream of the service responds to this host";
    /// The request needs the key of a team, and has none that a team holds.
    Unauthorized = 2021, 401, NotRun, "no team holds the request's key";
    /// The request is beyond what its team may send to all hosts together.
    BeyondAllowance = 2022, 429, NotRun, "the team's allowance is used up";
    /// The host can't keep up with its work, and refuses a part of the requests.
    HostOverloaded = 2023, 503, NotRun, "the host can't keep up with its work";
    /// The deadline passed after the request was sent.
    DeadlineAfterSend = 3001, 504, Unknown, "the deadline passed after the request was sent";
    /// The connection failed after a byte was sent.
    ConnectionLost = 3002, 502, Unknown, "the connection failed after the request was sent";
    /// The upstream responded with an error that is not a declared refusal.
    UpstreamError = 3003, 502, Unknown, "the upstream answered with an undeclared error";
    /// The upstream's response ended early.
    AnswerCut = 3004, 502, Unknown, "the upstream's answer ended early";
    /// The caller disconnected after the request was sent.
    CallerGoneAfterSend = 3005, 499, Unknown, "the caller went away after the request was sent";
    /// The upstream's response is not valid HTTP.
    BadAnswer = 3006, 502, Unknown, "the upstream's answer is no valid HTTP";
    /// A request with the same idempotency key is in flight or has run. This copy was not run, but
    /// the other one may have been.
    DuplicateKey = 3007, 409, Unknown, "a request with the same idempotency key was accepted before";
    /// A settings file, profile or service record has faults.
    Invalid = 4001, 400, NotRun, "the document has faults";
    /// A file can't be read.
    Unreadable = 4002, 400, NotRun, "the file can't be read";
    /// The record was changed by another publisher in the meantime.
    Conflict = 5001, 409, NotRun, "the record was changed by somebody else";
    /// The platform or an entry host can't be reached.
    Unreachable = 5002, 503, NotRun, "the service can't be reached";
    /// A change may or may not have been stored.
    PublishUnknown = 5003, 504, Unknown, "the change may or may not have been stored";
    /// The record does not exist.
    NoRecord = 5004, 404, NotRun, "the record does not exist";
    /// Not all hosts confirmed within the timeout that the change is in force.
    NotInForce = 5005, 504, Answered, "the change is stored and not yet in force everywhere";
    /// A replayed trace breaches an invariant.
    Breach = 5006, 500, Answered, "the trace breaches a stated outcome";
}

impl Code {
    /// Returns the code's number.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns the code with the given number, if one exists.
    pub fn from_number(number: u16) -> Option<Code> {
        Code::ALL.iter().copied().find(|c| c.number() == number)
    }
}

impl std::fmt::Display for Code {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.number(), self.text())
    }
}

/// An error of the command-line tool or at the start of the daemon: a result code and details.
#[derive(Clone, Debug, Display, derive_more::Error)]
#[display("{code}: {detail}")]
pub struct Error {
    /// The numbered code.
    pub code: Code,
    /// What failed and where, such as a file name or an address.
    pub detail: String,
}

impl Error {
    /// Creates an error.
    pub fn new(code: Code, detail: impl Into<String>) -> Error {
        Error { code, detail: detail.into() }
    }
}
