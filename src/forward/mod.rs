//! The upstream side: connections, attempts and probes.

pub(crate) mod answer;
pub(crate) mod connection;
pub(crate) mod drive;
pub(crate) mod exchange;
pub(crate) mod memory;
pub(crate) mod pool;
pub(crate) mod probe;
pub(crate) mod wire;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};

use crate::chain::Chain;
use crate::config::{Service, Treatment};
use crate::decide::admission;
use crate::decide::kinds::LatencyGoal;
use crate::forward::memory::Share;
use crate::time::Time;

/// A caller's request, taken in whole.
#[derive(Debug)]
pub(crate) struct Job {
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
    pub(crate) chain: Rc<Chain>,
    /// The memory that the body holds.
    pub(crate) _held: Share,
}

impl Job {
    /// Returns what decisions need to know of the request.
    pub(crate) fn to_decide(&self, now: Time) -> admission::Request {
        let wait = Duration::from_millis(self.treatment.wait_ms);
        let wait_until = (now + wait).min(self.deadline);
        let req = admission::Request::new(self.treatment.priority, self.deadline, wait_until);
        admission::Request { latency_goal: self.aim, ..req }
    }
}
