//! Counters, gauges and histograms, as `/metrics` serves them.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::RwLock;
use prometheus::core::Collector;
use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

use crate::config::Priority;
use crate::decide::upstream::UpstreamOutcome;
use crate::error::{Code, Outcome};
use crate::logs;
use crate::store::http::CallCounter;

/// Maximum number of services, and of teams, with a label of their own; the rest share [`OTHER`].
const LABELS_MAX: usize = 256;
/// The label of the services and teams beyond [`LABELS_MAX`].
const OTHER: &str = "other";
/// Upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BUCKETS: &[f64] =
    &[0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];

/// The metrics of one daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Services with a label of their own, sorted by name.
    services: RwLock<Vec<Arc<str>>>,
    /// Teams with a label of their own, sorted by name.
    teams: RwLock<Vec<Arc<str>>>,
    allowance_requests: IntCounterVec,
    allowance_asks: IntCounterVec,
    requests: IntCounterVec,
    latency: HistogramVec,
    attempts: IntCounterVec,
    probes: IntCounterVec,
    retries: IntCounterVec,
    shed: IntCounterVec,
    limited_attempts: IntCounterVec,
    warm_up: IntCounterVec,
    control_bytes: IntCounterVec,
    platform_calls: IntCounterVec,
    unlogged_requests: IntCounter,
    lines_dropped: IntGauge,
    received_bytes: IntCounterVec,
    registry_age_ms: IntGauge,
    registry_age: Histogram,
    registry_reads: HistogramVec,
    tick_lateness: Histogram,
    caller_lateness: Histogram,
    members: IntGauge,
    config_version: IntGauge,
    waiting: IntGaugeVec,
    in_flight: IntGaugeVec,
    cut_off: IntGaugeVec,
    cold: IntGaugeVec,
    evacuated: IntGauge,
    evacuated_in_flight: IntGauge,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let registry = Registry::new();
        let counter = |name, help, labels: &[&str]| {
            let made = IntCounterVec::new(Opts::new(name, help), labels);
            register(&registry, made.expect("constant options"))
        };
        let gauge = |name, help| {
            let made = IntGaugeVec::new(Opts::new(name, help), &["service"]);
            register(&registry, made.expect("constant options"))
        };
        let single = |name, help| {
            register(&registry, IntCounter::new(name, help).expect("constant options"))
        };
        let value =
            |name, help| register(&registry, IntGauge::new(name, help).expect("constant options"));
        Metrics {
            requests: counter(
                "cornelferry_requests_total",
                "Requests answered, by service and result code",
                &["service", "code"],
            ),
            latency: latency(&registry),
            attempts: counter(
                "cornelferry_attempts_total",
                "Attempts ended, by service and ending",
                &["service", "ended"],
            ),
            probes: counter(
                "cornelferry_probes_total",
                "Probes ended, by service and ending",
                &["service", "ended"],
            ),
            retries: counter(
                "cornelferry_retries_total",
                "Retries and hedges that were sent, and retries that the retry budget denied, by service",
                &["service", "decision"],
            ),
            shed: counter(
                "cornelferry_shed_total",
                "Requests that waited for a slot or were refused, by service, priority and reason",
                &["service", "priority", "reason"],
            ),
            limited_attempts: counter(
                "cornelferry_limited_attempts_total",
                "Attempts sent to upstreams that had named a rate limit, by service and order",
                &["service", "attempt"],
            ),
            warm_up: counter(
                "cornelferry_warm_up_requests_total",
                "Attempts sent to cold upstreams, and requests refused on arrival as all are, by service",
                &["service", "decision"],
            ),
            control_bytes: counter(
                "cornelferry_control_bytes_total",
                "Bytes exchanged with other entry hosts",
                &["direction"],
            ),
            platform_calls: counter(
                "cornelferry_platform_calls_total",
                "Calls to the platform's services, by kind",
                &["kind"],
            ),
            received_bytes: counter(
                "cornelferry_records_received_bytes_total",
                "Bytes of records as received, by source: peers or the platform's store",
                &["source"],
            ),
            unlogged_requests: single(
                "cornelferry_log_chains_dropped_total",
                "Requests whose decisions were not logged, as the bound on lines was reached",
            ),
            lines_dropped: value(
                "cornelferry_log_lines_dropped",
                "Log lines dropped since the start, as their reader was too slow",
            ),
            registry_age_ms: value(
                "cornelferry_registry_age_milliseconds",
                "Age of what is known of the platform's store; -1 if nothing is",
            ),
            registry_age: histogram(
                &registry,
                "cornelferry_registry_age_seconds",
                "Age of the copy of the platform's store, once for each tick of the control loop",
            ),
            registry_reads: reads(&registry),
            tick_lateness: histogram(
                &registry,
                "cornelferry_tick_lateness_seconds",
                "Time by which ticks of the control loop were late",
            ),
            caller_lateness: histogram(
                &registry,
                "cornelferry_caller_lateness_seconds",
                "Time by which the loop that serves callers was late",
            ),
            members: value("cornelferry_members", "Other entry hosts that are alive"),
            config_version: value("cornelferry_config_version", "Version of the routes in force"),
            evacuated: value(
                "cornelferry_evacuated_data_centres",
                "Data centres whose upstreams get no new requests",
            ),
            evacuated_in_flight: value(
                "cornelferry_evacuated_in_flight",
                "Attempts in flight to upstreams in evacuated data centres",
            ),
            waiting: gauge("cornelferry_waiting", "Requests that wait for a slot"),
            in_flight: gauge("cornelferry_in_flight", "Attempts in flight"),
            cut_off: gauge(
                "cornelferry_cut_off",
                "1 while no upstream of the service responds to this host, else 0",
            ),
            cold: gauge("cornelferry_cold_upstreams", "Upstreams that are taken for cold"),
            allowance_requests: counter(
                "cornelferry_allowance_requests_total",
                "Requests of teams with an allowance, by team and decision",
                &["team", "decision"],
            ),
            allowance_asks: counter(
                "cornelferry_allowance_asks_total",
                "Questions to owners of allowances, by whether an owner answered",
                &["result"],
            ),
            services: RwLock::default(),
            teams: RwLock::default(),
            registry,
        }
    }
}

impl Metrics {
    /// Counts a request whose decisions were not logged because of the limit on log lines.
    pub(crate) fn count_unlogged_request(&self) {
        self.unlogged_requests.inc();
    }

    /// Sets the gauges of the registry's age, the live peers, the routes in force and the dropped
    /// log lines.
    pub(crate) fn set_fleet_gauges(
        &self,
        registry_age: Option<Duration>,
        members: usize,
        version: u64,
    ) {
        let age = registry_age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
        self.registry_age_ms.set(age);
        self.members.set(i64::try_from(members).unwrap_or(i64::MAX));
        self.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.lines_dropped.set(i64::try_from(logs::dropped()).unwrap_or(i64::MAX));
    }

    /// Sets the gauges of the evacuated data centres and of the attempts in flight there.
    pub(crate) fn set_evacuation_gauges(&self, data_centres: usize, in_flight: u64) {
        self.evacuated.set(i64::try_from(data_centres).unwrap_or(i64::MAX));
        self.evacuated_in_flight.set(i64::try_from(in_flight).unwrap_or(i64::MAX));
    }

    /// Counts a completed request by its result code.
    pub(crate) fn count_request(&self, service: &str, code: Code) {
        let label = self.service_label(service);
        self.requests.with_label_values(&[&*label, &code.number().to_string()]).inc();
    }

    /// Records the time from a request's acceptance to its response.
    pub(crate) fn observe_latency(&self, service: &str, outcome: Outcome, time: Duration) {
        let label = self.service_label(service);
        let histogram = self.latency.with_label_values(&[&*label, outcome_label(outcome)]);
        histogram.observe(time.as_secs_f64());
    }

    /// Counts a completed attempt.
    pub(crate) fn count_attempt(&self, service: &str, outcome: UpstreamOutcome) {
        let label = self.service_label(service);
        self.attempts.with_label_values(&[&*label, result_label(outcome)]).inc();
    }

    /// Counts a retry or hedge that is sent, or a retry that the retry budget denied.
    pub(crate) fn count_retry(&self, service: &str, is_allowed: bool) {
        let decision = if is_allowed { "allowed" } else { "denied" };
        self.retries.with_label_values(&[&*self.service_label(service), decision]).inc();
    }

    /// Records the age of the copy of the registry at a tick.
    pub(crate) fn observe_registry_age(&self, age: Duration) {
        self.registry_age.observe(age.as_secs_f64());
    }

    /// Records the time that a read of the registry took.
    pub(crate) fn observe_registry_read(&self, time: Duration, is_ok: bool) {
        let result = if is_ok { "read" } else { "failed" };
        self.registry_reads.with_label_values(&[result]).observe(time.as_secs_f64());
    }

    /// Counts bytes of records received from peers.
    pub(crate) fn count_fetched_bytes(&self, bytes: usize) {
        self.received_bytes.with_label_values(&["peer"]).inc_by(bytes as u64);
    }

    /// Returns the number of bytes of records received from peers.
    #[cfg(test)]
    pub(crate) fn fetched_bytes(&self) -> u64 {
        self.received_bytes.with_label_values(&["peer"]).get()
    }

    /// Counts bytes received from the registry.
    pub(crate) fn count_read_bytes(&self, bytes: usize) {
        self.received_bytes.with_label_values(&["registry"]).inc_by(bytes as u64);
    }

    /// Records the time by which a tick of the control loop was late.
    pub(crate) fn observe_tick_lateness(&self, late: Duration) {
        self.tick_lateness.observe(late.as_secs_f64());
    }

    /// Records the time by which the loop that serves callers was late.
    pub(crate) fn observe_caller_lateness(&self, late: Duration) {
        self.caller_lateness.observe(late.as_secs_f64());
    }

    /// Counts a request that waits for a slot, or that is refused with a code.
    pub(crate) fn count_shed(&self, service: &str, priority: Priority, refused: Option<Code>) {
        let reason = match refused {
            None => "waits",
            Some(Code::Overloaded) => "overloaded",
            Some(Code::DeadlineTooClose) => "deadline",
            Some(Code::WaitedTooLong) => "waited",
            Some(Code::NoUpstream) => "no-upstream",
            Some(Code::UpstreamsUnreachable) => "unreachable",
            Some(_) => OTHER,
        };
        let labels = [&*self.service_label(service), &*priority.to_string(), reason];
        self.shed.with_label_values(&labels).inc();
    }

    /// Counts an attempt that is sent to an upstream with a rate limit.
    pub(crate) fn count_limited_attempt(&self, service: &str, is_repeat: bool) {
        let order = if is_repeat { "repeat" } else { "first" };
        self.limited_attempts.with_label_values(&[&*self.service_label(service), order]).inc();
    }

    /// Counts an attempt that is sent to a cold upstream, or a request that is refused because all
    /// upstreams are cold.
    pub(crate) fn count_warm_up(&self, service: &str, is_allowed: bool) {
        let decision = if is_allowed { "allowed" } else { "denied" };
        self.warm_up.with_label_values(&[&*self.service_label(service), decision]).inc();
    }

    /// Sets the gauge of a service's cold upstreams.
    pub(crate) fn set_cold_upstreams(&self, service: &str, count: usize) {
        let gauge = self.cold.with_label_values(&[&*self.service_label(service)]);
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts a request of a team with an allowance.
    pub(crate) fn count_allowance(&self, team: &str, is_granted: bool) {
        let decision = if is_granted { "granted" } else { "refused" };
        let label = label(&self.teams, team);
        self.allowance_requests.with_label_values(&[&*label, decision]).inc();
    }

    /// Counts a question to the owner of an allowance.
    pub(crate) fn count_allowance_ask(&self, is_answered: bool) {
        let result = if is_answered { "answered" } else { "unreachable" };
        self.allowance_asks.with_label_values(&[result]).inc();
    }

    /// Counts a completed probe.
    pub(crate) fn count_probe(&self, service: &str, outcome: UpstreamOutcome) {
        let label = self.service_label(service);
        self.probes.with_label_values(&[&*label, result_label(outcome)]).inc();
    }

    /// Sets the gauges of a service's waiting requests and of its attempts in flight.
    pub(crate) fn set_service_gauges(&self, service: &str, waiting: usize, in_flight: u64) {
        let label = self.service_label(service);
        let gauge = |vec: &IntGaugeVec, n: u64| {
            vec.with_label_values(&[&*label]).set(i64::try_from(n).unwrap_or(i64::MAX));
        };
        gauge(&self.waiting, waiting as u64);
        gauge(&self.in_flight, in_flight);
    }

    /// Sets whether this host is cut off from the upstreams of a service.
    pub(crate) fn set_cut_off(&self, service: &str, is_cut_off: bool) {
        self.cut_off.with_label_values(&[&*self.service_label(service)]).set(is_cut_off.into());
    }

    /// Returns the number of completed probes of a service.
    pub(crate) fn completed_probes(&self, service: &str) -> u64 {
        let label = self.service_label(service);
        let of = |outcome| self.probes.with_label_values(&[&*label, result_label(outcome)]).get();
        RESULT_LABELS.iter().map(|(outcome, _)| of(*outcome)).sum()
    }

    /// Returns a function that counts calls to the platform's services.
    pub(crate) fn call_counter(&self) -> CallCounter {
        let calls = self.platform_calls.clone();
        Box::new(move |kind| calls.with_label_values(&[kind.to_string()]).inc())
    }

    /// Returns the counter of bytes exchanged with peers in a direction, `sent` or `received`.
    pub(crate) fn control_bytes(&self, direction: &str) -> IntCounter {
        self.control_bytes.with_label_values(&[direction])
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }

    /// Returns the label of a service: its name, or [`OTHER`] if [`LABELS_MAX`] services already have
    /// labels.
    fn service_label(&self, name: &str) -> Arc<str> {
        label(&self.services, name)
    }
}

/// Returns the label of a name: the name itself, or [`OTHER`] if [`LABELS_MAX`] others already have
/// labels.
fn label(labels: &RwLock<Vec<Arc<str>>>, name: &str) -> Arc<str> {
    let known = |labels: &[Arc<str>]| {
        labels.binary_search_by(|s| (**s).cmp(name)).map(|at| labels[at].clone())
    };
    if let Ok(label) = known(&labels.read()) {
        return label;
    }
    let mut labels = labels.write();
    match labels.binary_search_by(|s| (**s).cmp(name)) {
        Ok(at) => labels[at].clone(),
        Err(_) if labels.len() >= LABELS_MAX => OTHER.into(),
        Err(at) => {
            labels.insert(at, name.into());
            labels[at].clone()
        }
    }
}

/// The label of each result of an attempt or a probe.
const RESULT_LABELS: &[(UpstreamOutcome, &str)] = &[
    (UpstreamOutcome::Answered, "answered"),
    (UpstreamOutcome::Refused, "refused"),
    (UpstreamOutcome::Failed, "failed"),
    (UpstreamOutcome::ConnectFailed, "unconnected"),
    (UpstreamOutcome::Lost, "lost"),
    (UpstreamOutcome::TimedOut, "silent"),
    (UpstreamOutcome::Cancelled, "cancelled"),
];

fn result_label(outcome: UpstreamOutcome) -> &'static str {
    RESULT_LABELS.iter().find(|(o, _)| *o == outcome).map_or(OTHER, |(_, label)| label)
}

fn outcome_label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    }
}

/// Creates and registers the latency histogram.
fn latency(registry: &Registry) -> HistogramVec {
    let help = "Time from acceptance to answer, by service and outcome";
    let opts = HistogramOpts::new("cornelferry_request_seconds", help);
    let opts = opts.buckets(LATENCY_BUCKETS.to_vec());
    let made = HistogramVec::new(opts, &["service", "outcome"]);
    register(registry, made.expect("constant options"))
}

/// Creates and registers the histogram of the registry's reads.
fn reads(registry: &Registry) -> HistogramVec {
    let help = "Time that reads of the platform's store took, by result";
    let opts = HistogramOpts::new("cornelferry_registry_read_seconds", help);
    let made = HistogramVec::new(opts.buckets(LATENCY_BUCKETS.to_vec()), &["result"]);
    register(registry, made.expect("constant options"))
}

/// Creates and registers a histogram of times without labels.
fn histogram(registry: &Registry, name: &str, help: &str) -> Histogram {
    let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
    register(registry, Histogram::with_opts(opts).expect("constant options"))
}

/// Registers a metric and returns it.
///
/// # Panics
///
/// Panics if a metric of the same name is registered already.
fn register<C: Collector + Clone + 'static>(registry: &Registry, metric: C) -> C {
    registry.register(Box::new(metric.clone())).expect("registered once");
    metric
}
