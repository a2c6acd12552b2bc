//! Counters and histograms, as `/metrics` shows them.

use prometheus::{IntCounterVec, Opts, Registry, TextEncoder};

use crate::error::Code;
use crate::platform::http::Count;

/// The metrics of one daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    platform_calls: IntCounterVec,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let registry = Registry::new();
        let opts = Opts::new("cornelferry_requests_total", "Requests answered");
        let requests = IntCounterVec::new(opts, &["service", "code"]).expect("constant options");
        registry.register(Box::new(requests.clone())).expect("registered once");
        let opts = Opts::new("cornelferry_platform_calls_total", "Calls to the platform");
        let platform_calls = IntCounterVec::new(opts, &["kind"]).expect("constant options");
        registry.register(Box::new(platform_calls.clone())).expect("registered once");
        Metrics { registry, requests, platform_calls }
    }
}

impl Metrics {
    /// Counts an answered request.
    pub(crate) fn answered(&self, service: &str, code: Code) {
        self.requests.with_label_values(&[service, &code.number().to_string()]).inc();
    }

    /// Returns a closure that counts calls to the platform.
    pub(crate) fn count_calls(&self) -> Count {
        let calls = self.platform_calls.clone();
        Box::new(move |kind| calls.with_label_values(&[kind.to_string()]).inc())
    }

    /// Returns all metrics in the text format.
    pub(crate) fn text(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
