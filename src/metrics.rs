//! Counters and histograms, as `/metrics` shows them.

use prometheus::{IntCounterVec, Opts, Registry, TextEncoder};

use crate::error::Code;

/// The metrics of one daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let registry = Registry::new();
        let opts = Opts::new("cornelferry_requests_total", "Requests answered");
        let requests = IntCounterVec::new(opts, &["service", "code"]).expect("constant options");
        registry.register(Box::new(requests.clone())).expect("registered once");
        Metrics { registry, requests }
    }
}

impl Metrics {
    /// Counts an answered request.
    pub(crate) fn answered(&self, service: &str, code: Code) {
        self.requests.with_label_values(&[service, &code.number().to_string()]).inc();
    }

    /// Returns all metrics in the text format.
    pub(crate) fn text(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
