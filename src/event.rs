//! Numbered events, and the bounded ring that a time line is read from.

use std::collections::VecDeque;
use std::sync::{Arc, OnceLock};
use std::time::SystemTime;

use derive_more::Display;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::hlc::{Hlc, Timestamp};
use crate::logs;

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $text:literal;)*) => {
        /// The kind of an event. `docs/EVENTS.md` holds the catalogue.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(u16)]
        pub enum EventCode {
            $($(#[$doc])* $name = $number,)*
        }

        impl EventCode {
            /// Every kind, in ascending order of number.
            pub const ALL: &'static [EventCode] = &[$(EventCode::$name),*];

            /// Returns the kind's text.
            pub const fn text(self) -> &'static str {
                match self { $(EventCode::$name => $text,)* }
            }
        }
    };
}

events! {
    /// The process has started.
    Started = 1001, "process started";
    /// The host is ready for callers.
    Ready = 1002, "host ready";
    /// The host has begun to stop.
    Stopping = 1003, "host stopping";
    /// The process is about to exit.
    Stopped = 1004, "host stopped";
    /// The process was paused and resynchronises.
    Paused = 1005, "pause detected, resynchronising";
    /// Newer settings were read.
    Reloaded = 1006, "settings reloaded";
    /// Newer settings have faults, and the old ones stay.
    ReloadRejected = 1007, "settings have faults, old ones stay";
    /// A request was accepted.
    Accepted = 2001, "request accepted";
    /// A request waits for a slot.
    Queued = 2002, "request waits for a slot";
    /// An attempt was sent to an upstream.
    Sent = 2003, "attempt sent";
    /// An attempt failed.
    AttemptFailed = 2004, "attempt failed";
    /// A request is retried.
    Retried = 2005, "request retried";
    /// A request is hedged.
    Hedged = 2006, "request hedged";
    /// The caller was answered.
    CallerAnswered = 2007, "caller answered";
    /// The caller went away.
    CallerDisconnected = 2008, "caller went away";
    /// A request is refused.
    Refused = 2009, "request refused";
    /// A request is not taken in.
    Rejected = 2010, "request not taken in";
    /// An attempt has its whole answer.
    AttemptAnswered = 2011, "attempt answered";
    /// An upstream takes no new work.
    UpstreamLeaving = 3001, "upstream leaving";
    /// An upstream is ejected for a time.
    UpstreamEjected = 3002, "upstream ejected";
    /// An upstream takes work again.
    UpstreamRestored = 3003, "upstream restored";
    /// A connection went silent and was given up on.
    ConnectionSilent = 3004, "connection silent";
    /// An upstream joined.
    UpstreamJoined = 3005, "upstream joined";
    /// An upstream is gone.
    UpstreamGone = 3006, "upstream gone";
    /// An answer was not the upstream's to this request.
    AnswerDiscarded = 3007, "answer discarded, not this request's";
    /// A record version came into force.
    InForce = 4001, "record version in force";
    /// A newer record can't be read and the old one stays.
    RecordUnreadable = 4002, "newer record unreadable, old one stays";
    /// An older version was offered and ignored.
    StaleVersion = 4003, "older record version ignored";
    /// The platform can't be reached.
    PlatformDown = 5001, "platform unreachable";
    /// The platform answers again.
    PlatformUp = 5002, "platform reachable";
    /// A watch was lost and is renewed.
    WatchLost = 5003, "watch lost";
    /// A peer joined.
    PeerJoined = 6001, "peer joined";
    /// A peer is considered dead.
    PeerDead = 6002, "peer dead";
    /// A peer left in order.
    PeerLeft = 6003, "peer left";
    /// A link to a peer was silent and is replaced.
    PeerLinkReplaced = 6004, "peer link replaced";
}

/// The first number of the events of single requests.
const FIRST_OF_REQUESTS: u16 = 2000;
/// The first number after them.
const FIRST_OF_UPSTREAMS: u16 = 3000;

impl EventCode {
    /// Returns the kind's number.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns the kind with the given number, if there is one.
    pub fn from_number(number: u16) -> Option<EventCode> {
        EventCode::ALL.iter().copied().find(|c| c.number() == number)
    }

    /// Returns what the number with an event of this kind is.
    pub const fn value_name(self) -> &'static str {
        match self {
            EventCode::Accepted => "deadline_ms",
            EventCode::Sent => "attempt",
            EventCode::Refused => "retry_after_ms",
            EventCode::AttemptAnswered => "took_ms",
            EventCode::AttemptFailed | EventCode::CallerAnswered | EventCode::Rejected => "code",
            EventCode::InForce | EventCode::RecordUnreadable | EventCode::StaleVersion => "version",
            _ => "value",
        }
    }

    /// Returns the level at which events of this kind are logged: those of single requests are
    /// for debugging.
    pub const fn level(self) -> log::Level {
        match self.number() {
            FIRST_OF_REQUESTS..FIRST_OF_UPSTREAMS => log::Level::Debug,
            _ => log::Level::Info,
        }
    }
}

/// What an event is about. Empty fields don't apply.
#[derive(Clone, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display(
    "{}{}{}{}{}",
    field("request", request),
    field("service", service),
    field("upstream", upstream),
    field("record", record),
    field("peer", peer)
)]
#[serde(default)]
pub struct Subject {
    /// The request id.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<Arc<str>>,
    /// The service name.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<Arc<str>>,
    /// The upstream name.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub upstream: Option<Arc<str>>,
    /// The profile or service record name, as `kind/name`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub record: Option<Arc<str>>,
    /// The peer host name.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peer: Option<Arc<str>>,
}

/// Returns ` name=value`, or nothing for an empty field.
fn field(name: &str, value: &Option<Arc<str>>) -> String {
    value.as_ref().map_or_else(String::new, |v| format!(" {name}={v}"))
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Position in this process's sequence of events, from 1 without gaps.
    pub seq: u64,
    /// When, by the hybrid logical clock.
    pub stamp: Timestamp,
    /// The kind's number.
    pub code: u16,
    /// What it is about.
    #[serde(flatten)]
    pub subject: Subject,
    /// A number with it: a result code, a version, an HTTP status, or a count.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub value: Option<u64>,
}

impl Event {
    /// Returns the text of the event's kind.
    pub fn text(&self) -> &'static str {
        EventCode::from_number(self.code).map_or("event of an unknown kind", EventCode::text)
    }

    /// Returns what the event is about, as ` name=value` for each field.
    pub fn details(&self) -> String {
        let value = EventCode::from_number(self.code).map(|code| value_field(code, self.value));
        format!("{}{}", self.subject, value.unwrap_or_default())
    }
}

fn value_field(code: EventCode, value: Option<u64>) -> String {
    value.map_or_else(String::new, |v| format!(" {}={v}", code.value_name()))
}

/// Which events to read. Empty fields accept every event.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Filter {
    /// Only events of the last so many milliseconds, by the answering host's clock.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub since_ms: Option<u64>,
    /// Only events of this request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// Only events of this service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Only events of this upstream.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub upstream: Option<String>,
    /// Only events of this record, as `kind/name`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub record: Option<String>,
    /// Only events of this peer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peer: Option<String>,
    /// Only the newest so many events that match; at most [`PAGE_MAX`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<usize>,
}

/// The most events that one page holds.
pub const PAGE_MAX: usize = 10_000;

impl Filter {
    /// Tells whether an event's subject matches.
    pub fn accepts(&self, subject: &Subject) -> bool {
        let same = |wanted: &Option<String>, value: &Option<Arc<str>>| {
            wanted.as_deref().is_none_or(|w| value.as_deref() == Some(w))
        };
        same(&self.request, &subject.request)
            && same(&self.service, &subject.service)
            && same(&self.upstream, &subject.upstream)
            && same(&self.record, &subject.record)
            && same(&self.peer, &subject.peer)
    }
}

/// Events of one process, oldest first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The host that they are of.
    pub host: Arc<str>,
    /// Events that the ring no longer holds.
    pub dropped: u64,
    /// Events that match and were left out for the limit.
    pub omitted: u64,
    /// The events.
    pub events: Vec<Event>,
}

/// Returns an event as its log line.
fn object(code: EventCode, subject: &Subject, value: Option<u64>) -> Value {
    let mut out = base_fields(code, code.level(), logs::host(), SystemTime::now(), value);
    if let Ok(Value::Object(fields)) = serde_json::to_value(subject) {
        out.extend(fields);
    }
    Value::Object(out)
}

/// Returns the fields that the log line of an event has whatever it is about.
pub(crate) fn base_fields(
    code: EventCode,
    level: log::Level,
    host: &str,
    at: SystemTime,
    value: Option<u64>,
) -> Map<String, Value> {
    let mut out = Map::new();
    let mut put = |name: &str, value: Value| {
        out.insert(name.to_owned(), value);
    };
    put("time", logs::timestamp(at));
    put("host", host.into());
    put("level", level.as_str().to_lowercase().into());
    put("event", code.number().into());
    put("message", code.text().into());
    if let Some(value) = value {
        put(code.value_name(), value.into());
    }
    out
}

/// What else takes note of each event.
type Observer = Box<dyn Fn(&Event) + Send + Sync>;

/// The bounded ring of a process's newest events.
#[derive(derive_more::Debug)]
pub struct RingBuffer {
    hlc: Arc<Hlc>,
    #[debug(skip)]
    observer: OnceLock<Observer>,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    capacity: usize,
    next: u64,
    events: VecDeque<Event>,
}

impl RingBuffer {
    /// Makes a ring that holds the newest `capacity` events, and at least one.
    pub fn new(capacity: usize, hlc: Arc<Hlc>) -> RingBuffer {
        let capacity = capacity.max(1);
        let inner = Inner { capacity, next: 1, events: VecDeque::new() };
        RingBuffer { hlc, observer: OnceLock::new(), inner: Mutex::new(inner) }
    }

    /// Shows each event from now on to `observer`, in order. Only the first observer counts.
    pub fn set_observer(&self, observer: impl Fn(&Event) + Send + Sync + 'static) {
        let _ = self.observer.set(Box::new(observer));
    }

    /// Records an event, and logs it when `log` is enabled for its level.
    pub fn record(&self, code: EventCode, subject: Subject, value: Option<u64>) {
        if log::log_enabled!(target: logs::JSON_TARGET, code.level()) {
            let line = object(code, &subject, value);
            log::log!(target: logs::JSON_TARGET, code.level(), "{line}");
        }
        let mut inner = self.inner.lock();
        let stamp = self.hlc.tick();
        let seq = inner.next;
        inner.next += 1;
        if inner.events.len() == inner.capacity {
            inner.events.pop_front();
        }
        let event = Event { seq, stamp, code: code.number(), subject, value };
        if let Some(observer) = self.observer.get() {
            observer(&event);
        }
        inner.events.push_back(event);
    }

    /// Returns the events that `keep` accepts, oldest first, and how many the ring has dropped.
    pub fn read(&self, keep: impl Fn(&Event) -> bool) -> (Vec<Event>, u64) {
        let inner = self.inner.lock();
        let dropped = inner.events.front().map_or(0, |e| e.seq - 1);
        (inner.events.iter().filter(|e| keep(e)).cloned().collect(), dropped)
    }

    /// Returns how many events the ring holds, and how many it has dropped.
    pub fn size(&self) -> (usize, u64) {
        let inner = self.inner.lock();
        (inner.events.len(), inner.events.front().map_or(0, |e| e.seq - 1))
    }

    /// Returns the newest events that a filter accepts.
    pub fn page(&self, host: Arc<str>, filter: &Filter) -> Page {
        let oldest = filter.since_ms.map_or(0, |ms| self.hlc.tick().millis.saturating_sub(ms));
        let limit = filter.limit.unwrap_or(PAGE_MAX).min(PAGE_MAX);
        let (mut events, dropped) =
            self.read(|e| e.stamp.millis >= oldest && filter.accepts(&e.subject));
        let omitted = events.len().saturating_sub(limit);
        events.drain(..omitted);
        Page { host, dropped, omitted: omitted as u64, events }
    }
}
