//! The upstream side: connections, attempts and probes.

pub(crate) mod attempt;
pub(crate) mod connection;
pub(crate) mod driver;
pub(crate) mod gate;
pub(crate) mod memory;
pub(crate) mod pool;
pub(crate) mod probe;
pub(crate) mod response;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};

use crate::config::{Service, Treatment};
use crate::decide::admission;
use crate::decide::kinds::LatencyGoal;
use crate::forward::memory::Reservation;
use crate::request_log::RequestLog;
use crate::time::Time;

/// A caller's request, taken in whole.
#[derive(Debug)]
pub(crate) struct BufferedRequest {
    pub(crate) id: Arc<str>,
    pub(crate) service: Arc<Service>,
    pub(crate) treatment: Treatment,
    pub(crate) deadline: Time,
    /// What the caller wants of the time of the answer, where its route says so.
    pub(crate) aim: Option<LatencyGoal>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The decisions on it.
    pub(crate) log: Rc<RequestLog>,
    /// The memory that the body holds.
    pub(crate) _held: Reservation,
}

impl BufferedRequest {
    /// Returns what decisions need to know of the request.
    pub(crate) fn admission_request(&self, now: Time) -> admission::Request {
        let wait = Duration::from_millis(self.treatment.wait_ms);
        let wait_until = (now + wait).min(self.deadline);
        let req = admission::Request::new(self.treatment.priority, self.deadline, wait_until);
        admission::Request { latency_goal: self.aim, ..req }
    }
}
