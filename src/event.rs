//! Numbered events and the ring buffer that holds a process's newest ones, from which timelines are
//! made.

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
            /// All kinds, in ascending order of number.
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
    /// A pause of the process was detected; the host resynchronises.
    Paused = 1005, "pause detected, resynchronising";
    /// Changed settings were loaded.
    Reloaded = 1006, "settings reloaded";
    /// Changed settings have faults, so the old ones stay in effect.
    ReloadRejected = 1007, "settings have faults, old ones stay";
    /// The control loop ran late, and with it reads, gossip and decisions on waiting requests.
    ControlLate = 1008, "control loop late";
    /// The loop that serves callers ran late, and with it every request.
    CallersLate = 1009, "loop of callers late";
    /// A loop runs late, so the host refuses a part of the requests.
    OverloadBegan = 1010, "host overloaded, refusing requests";
    /// No loop has run late for a while, and the host takes up all requests again.
    OverloadEnded = 1011, "host no longer overloaded";
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
    /// A response was returned to the caller.
    CallerAnswered = 2007, "caller answered";
    /// The caller disconnected.
    CallerDisconnected = 2008, "caller went away";
    /// An accepted request was refused by admission or while it was queued.
    Refused = 2009, "request refused";
    /// A request was rejected before it was accepted, such as a malformed one.
    Rejected = 2010, "request not taken in";
    /// An attempt's response was received completely.
    AttemptAnswered = 2011, "attempt answered";
    /// A retry was due, but the retry budget is spent.
    RetryDenied = 2012, "no further attempt, retry budget spent";
    /// The request is passed on to a peer, as this host reaches none of its upstreams.
    Relayed = 2013, "request passed on to a peer";
    /// A request is beyond its team's allowance.
    BeyondAllowance = 2014, "request refused, team's allowance used up";
    /// An upstream is leaving and gets no new requests.
    UpstreamLeaving = 3001, "upstream leaving";
    /// An upstream was ejected for a time.
    UpstreamEjected = 3002, "upstream ejected";
    /// An upstream gets requests again.
    UpstreamRestored = 3003, "upstream restored";
    /// A connection was abandoned because the upstream had gone silent.
    ConnectionSilent = 3004, "connection silent";
    /// An upstream joined.
    UpstreamJoined = 3005, "upstream joined";
    /// An upstream was removed.
    UpstreamGone = 3006, "upstream gone";
    /// A response was discarded because it does not belong to the request.
    AnswerDiscarded = 3007, "answer discarded, not this request's";
    /// An upstream has asked this host to send it nothing for some time.
    UpstreamPaused = 3008, "upstream asked for a pause";
    /// An upstream has named the requests per second that it takes from all hosts together.
    UpstreamLimited = 3009, "upstream named a rate limit";
    /// An upstream no longer names a rate limit.
    UpstreamUnlimited = 3010, "upstream named no rate limit any more";
    /// An upstream's process has ended with a request in flight.
    UpstreamCrashed = 3011, "upstream ended under a request";
    /// A request is blocked, because upstreams have ended under it.
    RequestBlocked = 3012, "request blocked, upstreams end under it";
    /// A request is no longer blocked, because an upstream has answered it.
    RequestUnblocked = 3013, "request no longer blocked";
    /// None of a service's upstreams has responded to this host for some time.
    UpstreamsUnreachable = 3014, "no upstream of the service responds";
    /// An upstream of the service responds to this host again.
    UpstreamsReachable = 3015, "upstreams of the service respond again";
    /// An upstream is cold and gets few requests.
    UpstreamCold = 3101, "upstream cold";
    /// An upstream that was cold is warm.
    UpstreamWarm = 3102, "upstream warm";
    /// A record version came into force.
    InForce = 4001, "record version in force";
    /// A newer record can't be read, so the old one stays in force.
    RecordUnreadable = 4002, "newer record unreadable, old one stays";
    /// An older version of a record was ignored.
    StaleVersion = 4003, "older record version ignored";
    /// The first records came into force, too many to name each.
    RecordsLoaded = 4004, "first records in force";
    /// The operator has ordered that the upstreams of a data centre get no new requests.
    EvacuationBegan = 4005, "evacuation of a data centre in force";
    /// The operator has taken back the evacuation of a data centre.
    EvacuationEnded = 4006, "evacuation of a data centre taken back";
    /// The platform has become unreachable.
    PlatformDown = 5001, "platform unreachable";
    /// The platform is reachable again.
    PlatformUp = 5002, "platform reachable";
    /// A watch was lost and will be reopened.
    WatchLost = 5003, "watch lost";
    /// The registry has returned from a copy that lacks its newest changes.
    RegistryRewound = 5004, "registry returned from an older copy";
    /// A read of the registry failed.
    ReadFailed = 5005, "read of the registry failed";
    /// This host's copy of the registry is older than the time in which a change must be in force.
    CopyOutdated = 5006, "copy of the registry outdated";
    /// This host's copy of the registry is young enough again.
    CopyCurrent = 5007, "copy of the registry current again";
    /// The registry has sent much at once, such as a config of many routes.
    LargeRead = 5008, "large response of the registry";
    /// A peer joined.
    PeerJoined = 6001, "peer joined";
    /// A peer was declared dead.
    PeerDead = 6002, "peer dead";
    /// A peer left gracefully.
    PeerLeft = 6003, "peer left";
    /// A link to a peer was silent and is being replaced.
    PeerLinkReplaced = 6004, "peer link replaced";
    /// Fetching records from a peer has failed.
    FetchFailed = 6005, "fetching records from a peer failed";
    /// A peer has sent much at once, such as a config of many routes.
    LargeFetch = 6006, "large records fetched from a peer";
    /// Requests of a team are refused because its allowance is used up.
    TeamAtLimit = 7001, "team at its limit";
}

/// Lowest number of the events of single requests.
const REQUESTS_START: u16 = 2000;
/// Lowest number of the events of upstreams, the next group.
const UPSTREAMS_START: u16 = 3000;

impl EventCode {
    /// Returns the kind's number.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns the kind with the given number, if there is one.
    pub fn from_number(number: u16) -> Option<EventCode> {
        EventCode::ALL.iter().copied().find(|c| c.number() == number)
    }

    /// Returns the name of the value of events of this kind, as log lines show it.
    pub const fn value_name(self) -> &'static str {
        match self {
            EventCode::Accepted => "deadline_ms",
            EventCode::Sent => "attempt",
            EventCode::Refused | EventCode::BeyondAllowance => "retry_after_ms",
            EventCode::TeamAtLimit | EventCode::OverloadEnded => "refused",
            EventCode::AttemptAnswered => "took_ms",
            EventCode::UpstreamPaused => "pause_ms",
            EventCode::UpstreamLimited => "per_1000_s",
            EventCode::RegistryRewound => "era",
            EventCode::ControlLate | EventCode::CallersLate => "late_ms",
            EventCode::ReadFailed | EventCode::FetchFailed => "took_ms",
            EventCode::LargeRead | EventCode::LargeFetch => "bytes",
            EventCode::CopyOutdated | EventCode::CopyCurrent => "age_ms",
            EventCode::RecordsLoaded => "records",
            EventCode::EvacuationBegan | EventCode::EvacuationEnded => "upstreams",
            EventCode::AttemptFailed | EventCode::CallerAnswered | EventCode::Rejected => "code",
            EventCode::InForce | EventCode::RecordUnreadable | EventCode::StaleVersion => "version",
            _ => "value",
        }
    }

    /// Returns the level at which events of this kind are logged: debug for those of single
    /// requests, else info.
    pub const fn level(self) -> log::Level {
        match self.number() {
            REQUESTS_START..UPSTREAMS_START => log::Level::Debug,
            _ => log::Level::Info,
        }
    }
}

/// The objects that an event concerns. Fields that don't apply are `None`.
#[derive(Clone, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display(
    "{}{}{}{}{}{}{}{}",
    field("request", request),
    field("fingerprint", fingerprint),
    field("service", service),
    field("upstream", upstream),
    field("record", record),
    field("state", state),
    field("peer", peer),
    field("team", team)
)]
#[serde(default)]
pub struct Subject {
    /// The request id.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<Arc<str>>,
    /// The fingerprint of the request, by which its copies are recognised.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fingerprint: Option<Arc<str>>,
    /// The service name.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<Arc<str>>,
    /// The upstream name.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub upstream: Option<Arc<str>>,
    /// The kind and name of the record, as `kind/name`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub record: Option<Arc<str>>,
    /// What the record of an upstream says of it: `live`, `leaving` or `gone`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub state: Option<Arc<str>>,
    /// The peer host name.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peer: Option<Arc<str>>,
    /// The team name.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub team: Option<Arc<str>>,
}

/// Returns ` name=value`, or an empty string without a value.
fn field(name: &str, value: &Option<Arc<str>>) -> String {
    value.as_ref().map_or_else(String::new, |v| format!(" {name}={v}"))
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Position in this process's sequence of events, from 1 without gaps.
    pub seq: u64,
    /// Time of the event by the hybrid logical clock.
    pub stamp: Timestamp,
    /// The kind's number.
    pub code: u16,
    /// The objects concerned.
    #[serde(flatten)]
    pub subject: Subject,
    /// A number whose meaning depends on the kind, such as a result code, a version, an HTTP status
    /// or a count; see [`EventCode::value_name`].
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub value: Option<u64>,
}

impl Event {
    /// Returns the text of the event's kind.
    pub fn text(&self) -> &'static str {
        EventCode::from_number(self.code).map_or("event of an unknown kind", EventCode::text)
    }

    /// Returns the event's subject and value as text, ` name=value` for each field that is set.
    pub fn details(&self) -> String {
        let value = EventCode::from_number(self.code).map(|code| value_field(code, self.value));
        format!("{}{}", self.subject, value.unwrap_or_default())
    }
}

/// Returns the value of an event as ` name=value`, or an empty string without a value.
fn value_field(code: EventCode, value: Option<u64>) -> String {
    value.map_or_else(String::new, |v| format!(" {}={v}", code.value_name()))
}

/// The criteria by which `/events` selects events, given in its query string. A field that is
/// `None` matches every event.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Filter {
    /// Only events of the last so many milliseconds, by the clock of the host that responds.
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
    /// Only this many of the newest matching events; at most [`PAGE_MAX`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<usize>,
}

/// Maximum number of events in a page.
pub const PAGE_MAX: usize = 10_000;

impl Filter {
    /// Returns whether an event's subject matches. Ignores [`Filter::since_ms`] and
    /// [`Filter::limit`].
    pub fn matches(&self, subject: &Subject) -> bool {
        let is_match = |wanted: &Option<String>, value: &Option<Arc<str>>| {
            wanted.as_deref().is_none_or(|w| value.as_deref() == Some(w))
        };
        is_match(&self.request, &subject.request)
            && is_match(&self.service, &subject.service)
            && is_match(&self.upstream, &subject.upstream)
            && is_match(&self.record, &subject.record)
            && is_match(&self.peer, &subject.peer)
    }
}

/// Events of one process, as `/events` serves them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The host on which they were recorded.
    pub host: Arc<str>,
    /// Number of events that the ring buffer has dropped.
    pub dropped: u64,
    /// Number of older matching events left out because of the limit.
    pub omitted: u64,
    /// The events, oldest first.
    pub events: Vec<Event>,
}

/// Returns the log line of an event as a JSON object.
fn log_line(code: EventCode, subject: &Subject, value: Option<u64>) -> Value {
    let mut out = base_fields(code, code.level(), logs::host(), SystemTime::now(), value);
    if let Ok(Value::Object(fields)) = serde_json::to_value(subject) {
        out.extend(fields);
    }
    Value::Object(out)
}

/// Returns the fields that log lines of all events share; those of the subject come after.
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

/// A callback that is called with each recorded event.
type Observer = Box<dyn Fn(&Event) + Send + Sync>;

/// A ring buffer of a process's newest events.
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
    /// Sequence number of the next event.
    next_seq: u64,
    events: VecDeque<Event>,
}

impl RingBuffer {
    /// Creates a ring buffer that holds the newest `capacity` events, at least one.
    pub fn new(capacity: usize, hlc: Arc<Hlc>) -> RingBuffer {
        let capacity = capacity.max(1);
        let inner = Inner { capacity, next_seq: 1, events: VecDeque::new() };
        RingBuffer { hlc, observer: OnceLock::new(), inner: Mutex::new(inner) }
    }

    /// Sets a callback that is called with each event recorded from now on, in order. Has no effect
    /// if one is set already.
    pub fn set_observer(&self, observer: impl Fn(&Event) + Send + Sync + 'static) {
        let _ = self.observer.set(Box::new(observer));
    }

    /// Records an event, and logs it when `log` is enabled for its level.
    pub fn record(&self, code: EventCode, subject: Subject, value: Option<u64>) {
        if log::log_enabled!(target: logs::JSON_TARGET, code.level()) {
            let line = log_line(code, &subject, value);
            log::log!(target: logs::JSON_TARGET, code.level(), "{line}");
        }
        let mut inner = self.inner.lock();
        let stamp = self.hlc.tick();
        let seq = inner.next_seq;
        inner.next_seq += 1;
        if inner.events.len() == inner.capacity {
            inner.events.pop_front();
        }
        let event = Event { seq, stamp, code: code.number(), subject, value };
        if let Some(observer) = self.observer.get() {
            observer(&event);
        }
        inner.events.push_back(event);
    }

    /// Returns the events for which `keep` returns true, oldest first, and the number of events
    /// that were dropped.
    pub fn read(&self, keep: impl Fn(&Event) -> bool) -> (Vec<Event>, u64) {
        let inner = self.inner.lock();
        let dropped = inner.events.front().map_or(0, |e| e.seq - 1);
        (inner.events.iter().filter(|e| keep(e)).cloned().collect(), dropped)
    }

    /// Returns the number of events held and the number of events that were dropped.
    pub fn size(&self) -> (usize, u64) {
        let inner = self.inner.lock();
        (inner.events.len(), inner.events.front().map_or(0, |e| e.seq - 1))
    }

    /// Returns the newest events that match a filter, at most as many as its limit and
    /// [`PAGE_MAX`] allow.
    pub fn page(&self, host: Arc<str>, filter: &Filter) -> Page {
        let oldest = filter.since_ms.map_or(0, |ms| self.hlc.tick().millis.saturating_sub(ms));
        let limit = filter.limit.unwrap_or(PAGE_MAX).min(PAGE_MAX);
        let (mut events, dropped) =
            self.read(|e| e.stamp.millis >= oldest && filter.matches(&e.subject));
        let omitted = events.len().saturating_sub(limit);
        events.drain(..omitted);
        Page { host, dropped, omitted: omitted as u64, events }
    }
}
