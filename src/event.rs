//! Numbered events, and the bounded ring that a time line is read from.

use std::collections::VecDeque;
use std::sync::Arc;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::hlc::{Hlc, Stamp};

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
    Finished = 2007, "caller answered";
    /// The caller went away.
    CallerLeft = 2008, "caller went away";
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
    /// A record version came into force.
    InForce = 4001, "record version in force";
    /// A newer record can't be read and the old one stays.
    RecordUnreadable = 4002, "newer record unreadable, old one stays";
    /// An older version was offered and ignored.
    OlderIgnored = 4003, "older record version ignored";
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

impl EventCode {
    /// Returns the kind's number.
    pub const fn number(self) -> u16 {
        self as u16
    }
}

/// What an event is about. Empty fields don't apply.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
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

/// One event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Position in this process's sequence of events, from 1 without gaps.
    pub seq: u64,
    /// When, by the hybrid logical clock.
    pub stamp: Stamp,
    /// The kind's number.
    pub code: u16,
    /// What it is about.
    #[serde(flatten)]
    pub subject: Subject,
    /// A number with it: a result code, a version, an HTTP status, or a count.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub value: Option<u64>,
}

/// The bounded ring of a process's newest events.
#[derive(Debug)]
pub struct Ring {
    hlc: Arc<Hlc>,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    capacity: usize,
    next: u64,
    events: VecDeque<Event>,
}

impl Ring {
    /// Makes a ring that holds the newest `capacity` events.
    pub fn new(capacity: usize, hlc: Arc<Hlc>) -> Ring {
        let inner = Inner { capacity, next: 1, events: VecDeque::with_capacity(capacity) };
        Ring { hlc, inner: Mutex::new(inner) }
    }

    /// Records an event, and logs it when `log` is enabled for its level.
    pub fn record(&self, code: EventCode, subject: Subject, value: Option<u64>) {
        let stamp = self.hlc.tick();
        log::debug!("{} {} {:?} {:?}", code.number(), code.text(), subject, value);
        let mut inner = self.inner.lock();
        let seq = inner.next;
        inner.next += 1;
        if inner.events.len() == inner.capacity {
            inner.events.pop_front();
        }
        inner.events.push_back(Event { seq, stamp, code: code.number(), subject, value });
    }

    /// Returns the events that `keep` accepts, oldest first, and how many the ring has dropped.
    pub fn read(&self, keep: impl Fn(&Event) -> bool) -> (Vec<Event>, u64) {
        let inner = self.inner.lock();
        let dropped = inner.events.front().map_or(0, |e| e.seq - 1);
        (inner.events.iter().filter(|e| keep(e)).cloned().collect(), dropped)
    }
}
