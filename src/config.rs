//! Profiles and services: what operators write, in JSON.
//!
//! The types here are plain data. [`crate::settings`] checks a daemon's file, and
//! [`crate::decide::catalog`] decides which version of a record is in force.

use std::sync::Arc;

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How a kind of traffic is treated.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// The profile's name, unique in the fleet.
    pub name: Arc<str>,
    /// Rules in order; the first that matches a request decides.
    #[serde(default)]
    pub rules: Vec<Rule>,
    /// The treatment of a request that no rule matches.
    #[serde(default)]
    pub otherwise: Treatment,
}

/// A treatment for requests of some methods and paths.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The HTTP methods in capitals; empty means every method.
    #[serde(default)]
    pub methods: Vec<String>,
    /// The path, with `*` for any run of characters and `?` for one.
    pub path: String,
    /// The treatment.
    pub treatment: Treatment,
}

/// How a request is treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Treatment {
    /// Whether running the request twice is the same as running it once.
    pub idempotent: bool,
    /// Milliseconds from acceptance until the answer is too late.
    pub deadline_ms: u64,
    /// Milliseconds that the request may wait for a slot; 0 for not at all.
    pub wait_ms: u64,
    /// The request's place among those that wait.
    pub priority: Priority,
    /// Whether a late attempt of an idempotent request is hedged on another upstream.
    pub hedge: bool,
    /// The most attempts that an idempotent request may take, hedges included.
    pub attempts: u32,
    /// Milliseconds within which an answer has its full value; 0 if only the deadline counts.
    pub objective_ms: u64,
}

impl Default for Treatment {
    fn default() -> Treatment {
        Treatment {
            idempotent: false,
            deadline_ms: 10_000,
            wait_ms: 1_000,
            priority: Priority::Normal,
            hedge: false,
            attempts: 3,
            objective_ms: 0,
        }
    }
}

/// The place of a request among those that wait. Urgent ones go first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Served before all others.
    #[display("urgent")]
    Urgent,
    /// Served when nothing urgent waits.
    #[default]
    #[display("normal")]
    Normal,
    /// Served when nothing else waits.
    #[display("deferrable")]
    Deferrable,
}

/// A set of upstreams behind one name, and how they are used.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Service {
    /// The service's name, unique in the fleet.
    pub name: Arc<str>,
    /// The profile that treats the service's requests.
    pub profile: Arc<str>,
    /// The `Host` values that match, without port; empty means every host.
    pub hosts: Vec<String>,
    /// The path prefix that matches, by whole segments; the longest match wins.
    pub path_prefix: String,
    /// The upstreams, beside those that the platform's host list names.
    pub upstreams: Vec<Upstream>,
    /// Requests that one upstream runs at a time.
    pub slots: u32,
    /// Connections that one upstream accepts from the whole fleet.
    pub connections: u32,
    /// Signals by which an upstream proves that it did not run a request.
    pub refusals: Vec<Refusal>,
    /// The answer header in which an upstream reports its requests in flight; empty for none.
    pub load_header: String,
    /// The answer header by which an upstream says that it is leaving; empty for none.
    pub drain_header: String,
    /// How upstreams are measured.
    pub measure: ProbeConfig,
    /// The largest request body, in bytes.
    pub body_max_bytes: u64,
    /// The largest answer held until complete, in bytes; larger ones are streamed.
    pub answer_buffer_bytes: u64,
    /// Retries and hedges as a share of requests, from 0 to 1.
    pub retry_share: f64,
    /// Milliseconds over which a new upstream's share of work grows to its full size.
    pub cold_start_ms: u64,
    /// How upstreams report their load in [`Service::load_header`].
    pub load_format: LoadFormat,
    /// The answer header that proves an upstream made the answer; empty if answers bear none. A
    /// successful answer without it is discarded.
    pub signature_header: String,
    /// The answer header that repeats the request's id; empty if answers bear none. An answer with
    /// another id is discarded.
    pub echo_header: String,
    /// The request header that names the upstream that is meant; empty for none.
    pub instance_header: String,
    /// Retries and hedges that the whole fleet may make within [`Service::retry_window_ms`]
    /// beyond [`Service::retry_share`].
    pub retry_slack: f64,
    /// Milliseconds over which retries are counted.
    pub retry_window_ms: u64,
    /// Whether a request is preceded by probes of the upstreams that it may go to.
    pub probe_before_send: bool,
    /// Whether a request that is not idempotent and carries an `Idempotency-Key` is run only after
    /// its key was claimed in the key-value service, so that copies at other hosts don't run.
    pub keyed_claims: bool,
}

impl Default for Service {
    fn default() -> Service {
        Service {
            name: "".into(),
            profile: "".into(),
            hosts: Vec::new(),
            path_prefix: "/".to_owned(),
            upstreams: Vec::new(),
            slots: 6,
            connections: 200,
            refusals: Vec::new(),
            load_header: "x-load".to_owned(),
            drain_header: "x-draining".to_owned(),
            measure: ProbeConfig::default(),
            body_max_bytes: 1 << 20,
            answer_buffer_bytes: 256 << 10,
            retry_share: 0.1,
            cold_start_ms: 3_000,
            load_format: LoadFormat::default(),
            signature_header: String::new(),
            echo_header: String::new(),
            instance_header: String::new(),
            retry_slack: 10.0,
            retry_window_ms: 10_000,
            probe_before_send: false,
            keyed_claims: false,
        }
    }
}

/// How an upstream reports its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LoadFormat {
    /// The number of requests in flight.
    #[default]
    InFlight,
    /// Running, waiting, slots, and optionally the present work time in percent of the usual one,
    /// separated by commas.
    Occupancy,
}

/// One upstream of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The upstream's name, unique in its service.
    pub name: Arc<str>,
    /// The IP address and port.
    #[schemars(with = "crate::document::SocketAddrSchema")]
    pub address: std::net::SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: Arc<str>,
}

/// Routes by host name and path, published as one document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Routing {
    /// The routes, in any order.
    pub routes: Vec<Route>,
    /// The services that the routes name.
    pub services: Vec<Service>,
    /// The largest request head, in bytes; 0 for the host's own limit.
    pub head_max_bytes: u64,
}

/// One route: which requests it takes, how they are treated, and where they go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The `Host` value that matches, without port.
    pub host: String,
    /// The path prefix that matches; it begins and ends with a slash. The longest match wins.
    pub path_prefix: String,
    /// How its requests are treated.
    pub treatment: Treatment,
    /// The services that its requests are distributed among.
    pub split: Vec<WeightedService>,
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// The service.
    pub service: Arc<str>,
    /// Its share, relative to the others of the route.
    pub weight: f64,
}

/// A signal by which an upstream proves that it did not run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    /// The HTTP status.
    pub status: u16,
    /// The answer header that must be there.
    pub header: String,
    /// The value that it must have; any value if absent.
    #[serde(default)]
    pub value: Option<String>,
}

/// How a service's upstreams are measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct ProbeConfig {
    /// Probes a second that the whole fleet may send to the service's upstreams.
    pub probes_per_second: f64,
    /// Probes a second that the whole fleet may send for each upstream, beside those.
    pub probes_per_upstream: f64,
    /// The path of the health and load endpoint; empty for no probes.
    pub path: String,
    /// Milliseconds after which a probe is given up on.
    pub timeout_ms: u64,
}

impl Default for ProbeConfig {
    fn default() -> ProbeConfig {
        ProbeConfig {
            probes_per_second: 10.0,
            probes_per_upstream: 0.0,
            path: "/healthz".to_owned(),
            timeout_ms: 500,
        }
    }
}
