//! Requests to a service, and the decisions on them: run, wait or refuse.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

use crate::config::Priority;
use crate::decide::kinds::{LatencyGoal, RequestEstimate};
use crate::decide::upstream::UpstreamId;
use crate::error::Code;
use crate::time::Time;

/// The properties of a request that admission depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Its priority in the queue.
    pub priority: Priority,
    /// The time after which a response is of no use.
    pub deadline: Time,
    /// Until when it may wait in the queue.
    pub wait_until: Time,
    /// The caller's latency goal, if it is known.
    #[serde(rename = "aim", default, skip_serializing_if = "Option::is_none")]
    pub latency_goal: Option<LatencyGoal>,
    /// The team of its caller, if callers identify themselves.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamId>,
    /// Whether a peer has passed it on, whose retry budget counts it.
    #[serde(skip)]
    pub(crate) is_relayed: bool,
    /// The estimate that was made when it arrived.
    #[serde(skip)]
    pub(crate) estimate: Option<RequestEstimate>,
}

impl Request {
    /// Creates a request without a latency goal.
    pub fn new(priority: Priority, deadline: Time, wait_until: Time) -> Request {
        Request {
            priority,
            deadline,
            wait_until,
            latency_goal: None,
            team: None,
            is_relayed: false,
            estimate: None,
        }
    }
}

/// Identifies a team within a host, as a hash of its name.
#[derive(
    Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TeamId(u64);

impl TeamId {
    /// Returns the id of the team with this name.
    pub fn of(name: &str) -> TeamId {
        TeamId(XxHash64::oneshot(0, name.as_bytes()))
    }
}

/// The id of a queued request.
#[derive(
    Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ticket(u64);

/// The upstream that an attempt or probe goes to. For an attempt, its in-flight count is already
/// raised.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The upstream's id.
    pub id: UpstreamId,
    /// The upstream's name.
    pub name: Arc<str>,
    /// The upstream's address.
    pub address: SocketAddr,
    /// What was expected of the attempt, where upstreams report their occupancy.
    pub estimate: Option<PlacementEstimate>,
}

/// The estimates for an attempt, made when its upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementEstimate {
    /// Requests expected at the upstream before it.
    pub load: f32,
    /// How many times longer than nominal its work was expected to take.
    pub slowdown: f32,
    /// The age of the upstream's last report, if there was one.
    pub report_age: Option<Duration>,
    /// The time that the response was expected to take.
    pub expected: Duration,
}

/// The final refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub code: Code,
    /// The time after which the caller may try again.
    pub retry_after: Duration,
}

/// The decision on a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// It runs now on this upstream.
    Run(Target),
    /// It waits in the queue until [`release`](crate::decide::service::ServiceTable::release)
    /// decides on it.
    Wait(Ticket),
    /// It is refused.
    Refuse(Refusal),
}
