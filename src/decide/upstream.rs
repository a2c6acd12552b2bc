//! The table of a service's upstreams: state, load, and the age of what is known.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::config;
use crate::decide::drain::Drain;
use crate::decide::health::Health;
use crate::decide::load::{Others, Sent, Word};
use crate::event::EventCode;
use crate::time::Time;

/// Identifies an upstream within its service, for the life of the process.
#[derive(
    Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct UpstreamId(u32);

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It does.
    #[default]
    Live,
    /// It is leaving: requests in flight finish, new ones go elsewhere.
    Leaving,
}

/// How an attempt ended, as far as the choice of upstream is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamOutcome {
    /// With an answer that is no server error.
    Answered,
    /// With a declared refusal.
    Refused,
    /// With an undeclared server error.
    Failed,
    /// Without a connection.
    #[serde(rename = "unconnected")]
    ConnectFailed,
    /// With a reset or a broken answer.
    Lost,
    /// Without an answer in time.
    #[serde(rename = "silent")]
    TimedOut,
    /// By cornelferry: the caller left, or a hedge answered first.
    Cancelled,
}

impl UpstreamOutcome {
    /// Tells whether the upstream did what it should: it answered, or refused in the declared way.
    pub(crate) fn is_sound(self) -> bool {
        matches!(self, UpstreamOutcome::Answered | UpstreamOutcome::Refused)
    }
}

/// What an attempt taught about its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// How it ended.
    #[serde(rename = "ended")]
    pub outcome: UpstreamOutcome,
    /// The time from the first byte sent to the end.
    pub latency: Duration,
    /// The requests in flight that the upstream reported with its answer.
    pub load: Option<u32>,
    /// Whether the upstream said that it is leaving.
    pub draining: bool,
}

/// What other hosts know about an upstream, as digests carry it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamSummary {
    /// The service's name.
    pub service: Arc<str>,
    /// The upstream's name.
    pub upstream: Arc<str>,
    /// The sender's own requests in flight there.
    pub in_flight: u32,
    /// The newest load reading, by header or probe, with its age when sent.
    pub load: Option<(u32, Duration)>,
    /// Whether the sender knows that the upstream is leaving.
    pub leaving: bool,
}

/// What an upstream said of its load.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Occupancy {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it can run at a time.
    pub slots: u32,
    /// The time that work takes there at present, against the usual time; 1 is as usual.
    pub slowdown: f32,
}

/// An [`Occupancy`], when it was true, and this host's part of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Occupied {
    pub(crate) occupancy: Occupancy,
    pub(crate) at: Time,
    /// This host's attempts in flight at the time.
    pub(crate) own: u32,
}

/// A figure and the time at which it was true.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReading {
    /// The figure.
    pub value: u32,
    /// When it was true.
    pub at: Time,
}

/// A change of an upstream that operators see in the time line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamChange {
    /// The upstream's name.
    pub upstream: Arc<str>,
    /// What happened to it.
    pub code: EventCode,
}

/// One row of the table.
#[derive(Clone, Debug)]
pub struct Row {
    /// The row's identity.
    pub id: UpstreamId,
    /// The name in the service record or host list.
    pub name: Arc<str>,
    /// The IP address and port.
    pub address: SocketAddr,
    /// The data centre.
    pub data_centre: Arc<str>,
    /// Whether it takes new work.
    pub state: State,
    /// When it joined.
    pub joined: Time,
    /// This host's attempts in flight.
    pub in_flight: u32,
    /// The newest load that the upstream itself reported.
    pub load: Option<LoadReading>,
    /// The newest occupancy that the upstream itself reported.
    pub(crate) occupied: Option<Occupied>,
    /// Whether the service record or host list names it.
    pub(crate) named: bool,
    /// Whether the host list says that it is leaving.
    pub(crate) listed_leaving: bool,
    /// Whether it said itself that it is leaving, and what was seen of it since.
    pub(crate) drain: Drain,
    /// What other hosts said, sorted by host.
    pub(crate) words: Vec<Word>,
    /// The sum of what other hosts said.
    pub(crate) said: Option<Others>,
    /// Other hosts' requests in flight, from the newest load that the upstream reported.
    pub(crate) reading: Option<Others>,
    /// Other hosts' requests in flight, as estimated a short time ago.
    pub(crate) others_estimate: f32,
    /// The attempts in flight, oldest first.
    pub(crate) sent: Vec<Sent>,
    /// Mean latency of recent answers, in microseconds; 0 before the first.
    pub(crate) latency: f32,
    /// When it last answered.
    pub(crate) answered: Time,
    /// When it was last probed.
    pub(crate) probed: Time,
    /// The position in the order of choices of the last one that fell on it.
    pub(crate) chosen: u64,
    /// Its health.
    pub(crate) health: Health,
}

impl Row {
    /// Makes the row of an upstream that has just joined.
    pub(crate) fn new(id: UpstreamId, upstream: &config::Upstream, now: Time) -> Row {
        Row {
            id,
            name: upstream.name.clone(),
            address: upstream.address,
            data_centre: upstream.data_centre.clone(),
            state: State::Live,
            joined: now,
            in_flight: 0,
            load: None,
            occupied: None,
            named: true,
            listed_leaving: false,
            drain: Drain::default(),
            words: Vec::new(),
            said: None,
            reading: None,
            others_estimate: 0.0,
            sent: Vec::new(),
            latency: 0.0,
            answered: now,
            probed: Time::ZERO,
            chosen: 0,
            health: Health::default(),
        }
    }

    /// Tells whether this host knows of its own that the upstream is leaving. Only this is passed
    /// on, so that hosts don't confirm each other in what has ceased to be true.
    pub(crate) fn leaving_first_hand(&self) -> bool {
        self.drain.is_set() || self.listed_leaving || !self.named
    }

    /// Derives the state from what is known, and adds a change of it to `changes`.
    pub(crate) fn refresh(&mut self, changes: &mut Vec<UpstreamChange>) {
        let leaving = self.leaving_first_hand() || self.words.iter().any(|w| w.leaving);
        let state = if leaving { State::Leaving } else { State::Live };
        if state == self.state {
            return;
        }
        self.state = state;
        changes.push(self.changed(match state {
            State::Live => EventCode::UpstreamRestored,
            State::Leaving => EventCode::UpstreamLeaving,
        }));
    }

    /// Makes the note of a change.
    pub(crate) fn changed(&self, code: EventCode) -> UpstreamChange {
        UpstreamChange { upstream: self.name.clone(), code }
    }
}

/// Finds a row by identity in a table sorted by identity.
pub fn find(rows: &[Row], id: UpstreamId) -> Option<&Row> {
    rows.binary_search_by_key(&id, |r| r.id).ok().map(|i| &rows[i])
}

/// Finds a row to change by identity in a table sorted by identity.
pub fn find_mut(rows: &mut [Row], id: UpstreamId) -> Option<&mut Row> {
    rows.binary_search_by_key(&id, |r| r.id).ok().map(|i| &mut rows[i])
}
