//! Who runs now, who waits, who is refused.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::config::Priority;
use crate::decide::kinds::{Expected, LatencyGoal};
use crate::decide::upstream::UpstreamId;
use crate::error::Code;
use crate::time::Time;

/// What admission needs to know of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Its place among those that wait.
    pub priority: Priority,
    /// When its answer is too late.
    pub deadline: Time,
    /// Until when it may wait for a slot.
    pub wait_until: Time,
    /// What its caller wants of the time of the answer, where that is known.
    #[serde(rename = "aim", default, skip_serializing_if = "Option::is_none")]
    pub latency_goal: Option<LatencyGoal>,
    /// What was expected of it when it came.
    #[serde(skip)]
    pub(crate) expected: Option<Expected>,
}

impl Request {
    /// Makes a request of which no more is known than its deadline and the wait it may have.
    pub fn new(priority: Priority, deadline: Time, wait_until: Time) -> Request {
        Request { priority, deadline, wait_until, latency_goal: None, expected: None }
    }
}

/// Identifies a request that waits.
#[derive(
    Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ticket(u64);

/// The upstream that an attempt goes to. Its in-flight count is already raised.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The upstream's identity.
    pub id: UpstreamId,
    /// Its name.
    pub name: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// What the choice was made from, where upstreams tell their occupancy.
    pub estimate: Option<PlacementEstimate>,
}

/// What a choice of upstream was made from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementEstimate {
    /// The requests expected there.
    pub load: f32,
    /// How many times slower than usual it was expected to be.
    pub slowdown: f32,
    /// The age of its report; nothing if there was none.
    pub report_age: Option<Duration>,
    /// The time that the answer was expected to take.
    pub expected: Duration,
}

/// A refusal, final and at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub code: Code,
    /// When to come back.
    pub retry_after: Duration,
}

/// The decision on a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// It runs now.
    Run(Target),
    /// It waits; [`release`](crate::decide::service::ServiceTable::release) decides later.
    Wait(Ticket),
    /// It is refused.
    Refuse(Refusal),
}
