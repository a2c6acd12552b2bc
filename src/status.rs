//! What a host says of itself, as `/status` shows it.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::decide::balancing::Policy;
use crate::decide::catalog::RecordKind;
use crate::decide::member::MemberState;
use crate::decide::upstream::State;

/// The state of one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The host's name.
    pub host: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Where it is between start and exit.
    pub phase: Phase,
    /// How it chooses an upstream.
    pub policy: Policy,
    /// The records in force, sorted by kind and name.
    pub records: Vec<RecordStatus>,
    /// The services in force, sorted by name.
    pub services: Vec<ServiceStatus>,
    /// The other hosts that it knows, sorted by name.
    pub members: Vec<MemberStatus>,
    /// Its events.
    pub events: EventStatus,
}

/// Where a host is between start and exit.
#[derive(
    Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
#[repr(u8)]
pub enum Phase {
    /// It has not yet learnt the newest records.
    #[display("starting")]
    Starting,
    /// It serves.
    #[display("ready")]
    Ready,
    /// It fails its readiness check and still serves.
    #[display("draining")]
    Draining,
    /// It accepts no more and finishes what is in flight.
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
    /// Whether the newest version that the host has seen can be read.
    pub readable: bool,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Its name.
    pub name: Arc<str>,
    /// Requests that wait for a slot on this host.
    pub waiting: usize,
    /// Requests that one upstream runs at a time.
    pub slots: u32,
    /// What measuring costs.
    pub measuring: ProbeUsage,
    /// Its upstreams.
    pub upstreams: Vec<UpstreamStatus>,
}

/// A host's use of a service's measuring budget.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProbeUsage {
    /// Probes a second that the whole fleet may send.
    pub fleet_per_second: f64,
    /// Probes a second that this host may send.
    pub host_per_second: f64,
    /// Probes that this host has sent since its start.
    pub sent: u64,
    /// Probes that this host was allowed since its start, at most.
    pub allowed: f64,
}

/// One upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Its name.
    pub name: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Whether it takes new work.
    pub state: State,
    /// This host's attempts in flight there.
    pub in_flight: u32,
    /// The newest load that it reported.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub load: Option<u32>,
    /// Milliseconds since that load was true.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub load_age_ms: Option<u64>,
}

/// Another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub host: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Its peer address.
    pub address: SocketAddr,
    /// The number of its process's start.
    pub incarnation: u64,
    /// Its state in the answering host's view.
    #[serde(rename = "standing")]
    pub state: MemberState,
    /// Milliseconds since its newest heartbeat was sent.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub heard_age_ms: Option<u64>,
}

/// The event ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventStatus {
    /// Events that the ring holds.
    pub held: usize,
    /// Events that it no longer holds.
    pub dropped: u64,
}
