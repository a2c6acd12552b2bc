//! Counters and histograms, as `/metrics` shows them.

use prometheus::{IntCounter, IntCounterVec, Opts, Registry, TextEncoder};

use crate::error::Code;

/// The metrics of one daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    control_bytes: IntCounterVec,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let registry = Registry::new();
        let opts = Opts::new("cornelferry_requests_total", "Requests answered");
        let requests = IntCounterVec::new(opts, &["service", "code"]).expect("constant options");
        registry.register(Box::new(requests.clone())).expect("registered once");
        let opts = Opts::new("cornelferry_control_bytes_total", "Bytes exchanged with peers");
        let control_bytes = IntCounterVec::new(opts, &["direction"]).expect("constant options");
        registry.register(Box::new(control_bytes.clone())).expect("registered once");
        Metrics { registry, requests, control_bytes }
    }
}

impl Metrics {
    /// Counts an answered request.
    pub(crate) fn answered(&self, service: &str, code: Code) {
        self.requests.with_label_values(&[service, &code.number().to_string()]).inc();
    }

    /// Returns the counter of bytes exchanged with peers, `sent` or `received`.
    pub(crate) fn control_bytes(&self, direction: &str) -> IntCounter {
        self.control_bytes.with_label_values(&[direction])
    }

    /// Returns all metrics in the text format.
    pub(crate) fn text(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
