//! The upstream side: connections, attempts and probes.

pub(crate) mod answer;
pub(crate) mod connection;
pub(crate) mod drive;
pub(crate) mod exchange;
pub(crate) mod memory;
pub(crate) mod pool;
pub(crate) mod probe;
pub(crate) mod wire;

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};

use crate::config::{Service, Treatment};
use crate::forward::memory::Share;
use crate::time::Time;

/// A caller's request, taken in whole.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: Arc<str>,
    pub(crate) service: Arc<Service>,
    pub(crate) treatment: Treatment,
    pub(crate) deadline: Time,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The memory that the body holds.
    pub(crate) _held: Share,
}
