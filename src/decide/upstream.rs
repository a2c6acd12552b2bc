//! The upstreams of a service: identity, state, load and health.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::config;
use crate::decide::drain::Drain;
use crate::decide::health::Health;
use crate::decide::limit::RateLimit;
use crate::decide::load::{AttemptInFlight, PeerLoad, PeerReport};
use crate::decide::warmup::WarmUp;
use crate::event::EventCode;
use crate::time::Time;

/// The identity of an upstream within its service, for the life of the process.
#[derive(
    Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct UpstreamId(u32);

/// The state of an upstream, which decides whether it gets new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It takes new requests.
    #[default]
    Live,
    /// It is leaving: requests in flight finish, and new ones go elsewhere.
    Leaving,
}

/// The outcome of an attempt or probe, as far as the upstream's health and load are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamOutcome {
    /// With a response that is not a server error.
    Answered,
    /// With a refusal that the service declares.
    Refused,
    /// With a server error that the service doesn't declare as a refusal.
    Failed,
    /// Without a connection.
    #[serde(rename = "unconnected")]
    ConnectFailed,
    /// With a connection reset or an invalid response.
    Lost,
    /// Without a response in time.
    #[serde(rename = "silent")]
    TimedOut,
    /// Cancelled by this host: the caller disconnected, or another attempt finished first.
    Cancelled,
}

impl UpstreamOutcome {
    /// Returns whether the upstream answered without a server error or refused as declared.
    pub(crate) fn is_healthy(self) -> bool {
        matches!(self, UpstreamOutcome::Answered | UpstreamOutcome::Refused)
    }
}

/// The report of an attempt or probe on its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// How it ended.
    #[serde(rename = "ended")]
    pub outcome: UpstreamOutcome,
    /// The time from the first byte sent to the end.
    pub latency: Duration,
    /// The requests in flight that the upstream reported with its response.
    pub load: Option<u32>,
    /// Whether the upstream signalled that it is leaving.
    pub draining: bool,
}

/// A host's knowledge about an upstream, as it is shared with peers in digests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamSummary {
    /// The service's name.
    pub service: Arc<str>,
    /// The upstream's name.
    pub upstream: Arc<str>,
    /// The sender's own requests in flight there.
    pub in_flight: u32,
    /// The newest load reported in a header or by a probe, with its age when sent.
    pub load: Option<(u32, Duration)>,
    /// Whether the sender itself observes that the upstream is leaving.
    pub leaving: bool,
}

/// The occupancy that an upstream reports.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Occupancy {
    /// Requests that it runs.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it can run at a time.
    pub slots: u32,
    /// The time that work takes there at present, relative to the nominal time: 1 at nominal speed.
    pub slowdown: f32,
}

/// A reported [`Occupancy`] with its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct OccupancyReading {
    pub(crate) occupancy: Occupancy,
    pub(crate) at: Time,
    /// This host's attempts in flight at the time.
    pub(crate) own: u32,
}

/// A reported load with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReading {
    /// Requests in flight at the upstream.
    pub value: u32,
    /// When the load was reported.
    pub at: Time,
}

/// A change of an upstream's state that is recorded as an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamChange {
    /// The upstream's name.
    pub upstream: Arc<str>,
    /// The event's code.
    pub code: EventCode,
}

/// An upstream and what is known about it.
#[derive(Clone, Debug)]
pub struct Row {
    /// The upstream's id.
    pub id: UpstreamId,
    /// The name in the service record or host list.
    pub name: Arc<str>,
    /// The IP address and port.
    pub address: SocketAddr,
    /// The data centre that it is in.
    pub data_centre: Arc<str>,
    /// Whether it takes new requests.
    pub state: State,
    /// When it was added.
    pub joined: Time,
    /// This host's attempts in flight.
    pub in_flight: u32,
    /// The last load that the upstream reported.
    pub load: Option<LoadReading>,
    /// The last occupancy that the upstream reported.
    pub(crate) occupancy_reading: Option<OccupancyReading>,
    /// Whether the service record or host list names it.
    pub(crate) configured: bool,
    /// Whether the host list marks it as leaving.
    pub(crate) listed_leaving: bool,
    /// Whether it signalled its own drain, and whether it has been replaced since.
    pub(crate) drain: Drain,
    /// The last report of each peer, sorted by peer.
    pub(crate) peer_reports: Vec<PeerReport>,
    /// The sum of the peers' requests in flight, from their reports.
    pub(crate) reported_peer_load: Option<PeerLoad>,
    /// The peers' requests in flight, from the last load that the upstream reported.
    pub(crate) measured_peer_load: Option<PeerLoad>,
    /// The peers' requests in flight, as estimated by `Capacity::refresh`.
    pub(crate) peer_load_estimate: f32,
    /// The attempts in flight, oldest first.
    pub(crate) attempts: Vec<AttemptInFlight>,
    /// Mean latency of recent responses, in microseconds; 0 before the first.
    pub(crate) latency: f32,
    /// When it last responded.
    pub(crate) last_response: Time,
    /// When it was last probed.
    pub(crate) last_probe: Time,
    /// Value of `ServiceTable::choice_count` when it was last chosen.
    pub(crate) last_chosen: u64,
    pub(crate) health: Health,
    pub(crate) limit: RateLimit,
    pub(crate) warm_up: WarmUp,
    /// Whether its data centre is evacuated.
    pub(crate) evacuated: bool,
}

impl Row {
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
            occupancy_reading: None,
            configured: true,
            listed_leaving: false,
            drain: Drain::default(),
            peer_reports: Vec::new(),
            reported_peer_load: None,
            measured_peer_load: None,
            peer_load_estimate: 0.0,
            attempts: Vec::new(),
            latency: 0.0,
            last_response: now,
            last_probe: Time::ZERO,
            last_chosen: 0,
            health: Health::default(),
            limit: RateLimit::default(),
            warm_up: WarmUp::default(),
            evacuated: false,
        }
    }

    /// Returns whether the upstream may be sent new requests as far as its state and its data centre
    /// are concerned.
    pub(crate) fn takes_requests(&self) -> bool {
        self.state == State::Live && !self.evacuated
    }

    /// Returns whether this host itself observes that the upstream is leaving. Only this is passed
    /// on, so that hosts don't keep confirming to each other what is no longer true.
    pub(crate) fn is_leaving_first_hand(&self) -> bool {
        self.drain.is_set() || self.listed_leaving || !self.configured
    }

    /// Returns whether the upstream is to be sent nothing now: it has refused a request just now or
    /// asked for a pause, or its rate limit or its warm-up leaves no room.
    pub(crate) fn is_closed(&self, now: Time) -> bool {
        !self.is_askable(now) || self.warm_up.is_closed(now)
    }

    /// Returns whether the upstream may be probed now: its warm-up aside, it is not to be sent nothing.
    pub(crate) fn is_askable(&self, now: Time) -> bool {
        !self.health.is_refusing(now) && !self.limit.is_closed(now)
    }

    /// Counts a request that this host sends to the upstream.
    pub(crate) fn take_permit(&mut self, now: Time) {
        self.limit.take(now);
        self.warm_up.take(now);
    }

    /// Returns when the upstream may next be sent a request as far as pauses, its rate limit and its
    /// warm-up are concerned, which may be a past time. `None` if this host may send it nothing.
    pub(crate) fn opens_at(&self, now: Time) -> Option<Time> {
        Some(self.limit.opens_at(now)?.max(self.resumes_at(now)))
    }

    /// Returns when the pause that the upstream has asked for ends and its warm-up leaves room, which
    /// may be a past time.
    pub(crate) fn resumes_at(&self, now: Time) -> Time {
        self.health.paused_until().max(self.warm_up.opens_at(now))
    }

    /// Updates the state from what is known, and adds a change of it to `changes`.
    pub(crate) fn update_state(&mut self, changes: &mut Vec<UpstreamChange>) {
        let is_leaving =
            self.is_leaving_first_hand() || self.peer_reports.iter().any(|r| r.leaving);
        let state = if is_leaving { State::Leaving } else { State::Live };
        if state == self.state {
            return;
        }
        self.state = state;
        changes.push(self.change(match state {
            State::Live => EventCode::UpstreamRestored,
            State::Leaving => EventCode::UpstreamLeaving,
        }));
    }

    pub(crate) fn change(&self, code: EventCode) -> UpstreamChange {
        UpstreamChange { upstream: self.name.clone(), code }
    }
}

/// Finds a row by id in a table sorted by id.
pub fn find(rows: &[Row], id: UpstreamId) -> Option<&Row> {
    rows.binary_search_by_key(&id, |r| r.id).ok().map(|i| &rows[i])
}

/// Finds a row by id in a table sorted by id, for modification.
pub fn find_mut(rows: &mut [Row], id: UpstreamId) -> Option<&mut Row> {
    rows.binary_search_by_key(&id, |r| r.id).ok().map(|i| &mut rows[i])
}
