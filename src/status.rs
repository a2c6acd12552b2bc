//! The status document of a host, as `/status` serves it.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::decide::balancing::Policy;
use crate::decide::catalog::RecordKind;
use crate::decide::member::MemberState;
use crate::decide::upstream::State;

/// The status of one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The host's name.
    pub host: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// The phase of its life cycle.
    pub phase: Phase,
    /// Its load balancing policy.
    pub policy: Policy,
    /// The records in force, sorted by kind and name.
    pub records: Vec<RecordStatus>,
    /// The services in force, sorted by name.
    pub services: Vec<ServiceStatus>,
    /// The data centres that are evacuated, sorted by name.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub evacuations: Vec<EvacuationStatus>,
    /// The peers that it knows, sorted by name.
    pub members: Vec<MemberStatus>,
    /// The teams of which it has refused requests in the last seconds, as they were beyond their
    /// allowances, sorted by name.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub teams_at_limit: Vec<TeamAtLimit>,
    /// The size of its event ring buffer.
    pub events: EventStatus,
}

/// A phase in the life cycle of a host.
#[derive(
    Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
#[repr(u8)]
pub enum Phase {
    /// It has not yet loaded the newest records.
    #[display("starting")]
    Starting,
    /// It serves requests.
    #[display("ready")]
    Ready,
    /// It fails its readiness check and still serves requests.
    #[display("draining")]
    Draining,
    /// It accepts no more requests and finishes those in flight.
    #[display("stopping")]
    Stopping,
}

/// One record in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordStatus {
    /// Its kind.
    pub kind: RecordKind,
    /// Its name.
    pub name: Arc<str>,
    /// The version in force.
    pub version: u64,
    /// Whether the host can read the newest version that it has seen.
    pub readable: bool,
}

/// The status of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Its name.
    pub name: Arc<str>,
    /// Number of requests that wait for a slot on this host.
    pub waiting: usize,
    /// Number of requests that one upstream runs at a time.
    pub slots: u32,
    /// The use of the probe budget.
    pub measuring: ProbeUsage,
    /// Its upstreams.
    pub upstreams: Vec<UpstreamStatus>,
}

/// A host's use of a service's probe budget.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProbeUsage {
    /// Rate of probes that the whole fleet may send to the service's upstreams, per second. Leaves
    /// out the additional rate per upstream.
    pub fleet_per_second: f64,
    /// This host's share of that rate, per second.
    pub host_per_second: f64,
    /// Number of this host's probes that have completed since its start.
    pub sent: u64,
    /// Number of probes that [`ProbeUsage::host_per_second`] allowed since the host's start.
    pub allowed: f64,
}

/// The status of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Its name.
    pub name: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Whether it accepts new requests.
    pub state: State,
    /// Whether its data centre is evacuated, so that it gets no new requests.
    #[serde(skip_serializing_if = "std::ops::Not::not", default)]
    pub evacuated: bool,
    /// Number of this host's attempts in flight to it.
    pub in_flight: u32,
    /// The number of requests in flight that it reported last.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub load: Option<u32>,
    /// Age of that load, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub load_age_ms: Option<u64>,
}

/// The status of a data centre whose upstreams get no new requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationStatus {
    /// The data centre.
    pub data_centre: Arc<str>,
    /// Time since the host learnt of the order, in milliseconds.
    pub age_ms: u64,
    /// Number of upstreams there, of all services; 0 for a data centre that the host doesn't know.
    pub upstreams: usize,
    /// Number of this host's attempts in flight to them.
    pub in_flight: u64,
}

/// The status of a peer, as the host sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub host: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Its peer address.
    pub address: SocketAddr,
    /// The incarnation of its process, which grows with each start; 0 before the first heartbeat.
    pub incarnation: u64,
    /// Its membership state.
    #[serde(rename = "standing")]
    pub state: MemberState,
    /// Time since its newest heartbeat was sent, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub heard_age_ms: Option<u64>,
}

/// The size of the event ring buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventStatus {
    /// Number of events that it holds.
    pub held: usize,
    /// Number of events that it has dropped.
    pub dropped: u64,
}

/// A team of which a host has refused requests of late, as they were beyond its allowance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamAtLimit {
    /// Its name.
    pub team: Arc<str>,
    /// Requests per second that it may send to all hosts together.
    pub per_second: f64,
    /// Number of its requests that this host has let pass since its start.
    pub granted: u64,
    /// Number of its requests that this host has refused since its start.
    pub refused: u64,
}
