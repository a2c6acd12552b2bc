//! The upstream side: connections, attempts, retries and probes.

pub(crate) mod attempt;
pub(crate) mod body;
pub(crate) mod connection;
pub(crate) mod crash;
pub(crate) mod driver;
pub(crate) mod fields;
pub(crate) mod gate;
pub(crate) mod memory;
pub(crate) mod pool;
pub(crate) mod probe;
pub(crate) mod relay;
pub(crate) mod response;

use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};

use crate::config::{Service, Team, Treatment};
use crate::decide::admission::{self, TeamId};
use crate::decide::kinds::LatencyGoal;
use crate::decide::poison::Fingerprints;
use crate::forward::memory::Reservation;
use crate::request_log::RequestLog;
use crate::time::Time;

/// A caller's request whose body has been read completely.
#[derive(Debug)]
pub(crate) struct BufferedRequest {
    pub(crate) id: Arc<str>,
    pub(crate) service: Arc<Service>,
    pub(crate) treatment: Treatment,
    pub(crate) deadline: Time,
    /// The latency objective of the route, if it has one, and the caller's remaining time.
    pub(crate) latency_goal: Option<LatencyGoal>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) fingerprints: Fingerprints,
    /// Whether a peer has passed it on.
    pub(crate) is_relayed: bool,
    /// The team of its caller, if callers identify themselves.
    pub(crate) team: Option<Arc<Team>>,
    /// The address of its caller, unless a peer that doesn't tell has passed it on.
    pub(crate) caller_address: Option<IpAddr>,
    /// The log of the decisions on this request.
    pub(crate) log: Rc<RequestLog>,
    /// The memory reserved for the body.
    pub(crate) _memory: Reservation,
}

impl BufferedRequest {
    /// Returns the request as admission control sees it at `now`.
    pub(crate) fn admission_request(&self, now: Time) -> admission::Request {
        let wait = Duration::from_millis(self.treatment.wait_ms);
        let wait_until = (now + wait).min(self.deadline);
        let req = admission::Request::new(self.treatment.priority, self.deadline, wait_until);
        admission::Request {
            latency_goal: self.latency_goal,
            is_relayed: self.is_relayed,
            team: self.team.as_ref().map(|t| TeamId::of(&t.name)),
            ..req
        }
    }
}
