//! Profiles, services and routes, which operators write in JSON.
//!
//! The types are plain data. [`crate::settings`] checks a daemon's file, and
//! [`crate::decide::catalog`] decides which version of a record is in force.

use std::sync::Arc;

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::document;

/// A named set of rules that assign treatments to requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// The profile's name, unique in the fleet.
    pub name: Arc<str>,
    /// The rules, of which the first that matches a request applies.
    #[serde(default)]
    pub rules: Vec<Rule>,
    /// The treatment of requests that no rule matches.
    #[serde(default)]
    pub otherwise: Treatment,
}

/// A rule that assigns a treatment to requests by method and path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The HTTP methods in capitals; empty for every method.
    #[serde(default)]
    pub methods: Vec<String>,
    /// The path pattern, in which `*` matches any sequence of characters and `?` exactly one.
    pub path: String,
    /// The treatment.
    pub treatment: Treatment,
}

/// The deadline, priority and retry policy of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Treatment {
    /// Whether running the request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Milliseconds from acceptance to the deadline of the response.
    pub deadline_ms: u64,
    /// Milliseconds for which the request may wait for a slot; 0 if it may not wait.
    pub wait_ms: u64,
    /// The priority among waiting requests.
    pub priority: Priority,
    /// Whether an idempotent request is also sent to another upstream when an attempt is late.
    pub hedge: bool,
    /// Maximum number of attempts of an idempotent request, hedges included.
    pub attempts: u32,
    /// Latency objective in milliseconds, within which a response has its full value; 0 if only the
    /// deadline counts.
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

/// The priority of a request among those that wait for a slot.
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
    /// Served before all other requests.
    #[display("urgent")]
    Urgent,
    /// Served when no urgent request waits.
    #[default]
    #[display("normal")]
    Normal,
    /// Served when no other request waits.
    #[display("deferrable")]
    Deferrable,
}

/// A named set of upstreams, the requests that are routed to them, and the limits that apply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Service {
    /// The service's name, unique in the fleet.
    pub name: Arc<str>,
    /// The name of the profile for the service's requests.
    pub profile: Arc<str>,
    /// The `Host` values that match, without port; empty for every host.
    pub hosts: Vec<String>,
    /// The path prefix that matches, by whole segments. The longest match wins.
    pub path_prefix: String,
    /// The upstreams, in addition to those of the platform's host list.
    pub upstreams: Vec<Upstream>,
    /// Number of requests that one upstream runs at a time.
    pub slots: u32,
    /// Number of connections that one upstream accepts from the whole fleet.
    pub connections: u32,
    /// The responses by which an upstream proves that it did not run a request.
    pub refusals: Vec<DeclaredRefusal>,
    /// The response header in which an upstream reports its load; empty for none.
    pub load_header: String,
    /// The response header by which an upstream announces that it is leaving; empty for none.
    pub drain_header: String,
    /// The response header in which an upstream names the requests per second that it takes from all
    /// hosts together, as a decimal number; empty for none.
    pub limit_header: String,
    /// The response header to a probe that names the upstream that responds; empty for none. A
    /// response with another name comes from an upstream that has taken over the address.
    pub identity_header: String,
    /// How the upstreams are probed.
    pub measure: ProbeConfig,
    /// The response header to a probe in which an upstream names the milliseconds for which it stays
    /// cold; empty for none.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub warm_up_header: String,
    /// Maximum size of a request body, in bytes.
    pub body_max_bytes: u64,
    /// Maximum size of a response that is buffered until complete, in bytes; larger ones are
    /// streamed.
    pub answer_buffer_bytes: u64,
    /// Maximum retries and hedges as a fraction of requests, from 0 to 1.
    pub retry_share: f64,
    /// Milliseconds over which the load on a new upstream grows to its full share.
    pub cold_start_ms: u64,
    /// Requests per second that a cold upstream takes from the whole fleet; 0 if a cold one takes as
    /// many as a warm one.
    #[serde(skip_serializing_if = "is_zero")]
    pub warm_up_per_second: f64,
    /// The format of [`Service::load_header`].
    pub load_format: LoadFormat,
    /// The response header that proves that an upstream made the response; empty for none. A
    /// successful response without it, or with a `Content-Encoding`, is discarded.
    pub signature_header: String,
    /// The response header that repeats the request's id; empty for none. A response with another
    /// id is discarded.
    pub echo_header: String,
    /// The request header that names the upstream that the request is addressed to; empty for none.
    pub instance_header: String,
    /// Retries and hedges that the whole fleet may make within [`Service::retry_window_ms`]
    /// beyond [`Service::retry_share`].
    pub retry_slack: f64,
    /// Length in milliseconds of the window in which retries are counted.
    pub retry_window_ms: u64,
    /// Whether the candidate upstreams are probed before a request is sent.
    pub probe_before_send: bool,
    /// Whether a request that is not idempotent and carries an `Idempotency-Key` is run only after
    /// its key was claimed in the key-value service, so that copies received by other hosts don't
    /// run.
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
            limit_header: "x-rate-limit".to_owned(),
            identity_header: String::new(),
            warm_up_header: String::new(),
            measure: ProbeConfig::default(),
            body_max_bytes: 1 << 20,
            answer_buffer_bytes: 256 << 10,
            retry_share: 0.1,
            cold_start_ms: 3_000,
            warm_up_per_second: 0.0,
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

/// The format in which upstreams report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LoadFormat {
    /// The number of requests in flight.
    #[default]
    InFlight,
    /// Requests running, requests waiting, slots, and optionally the current service time in
    /// percent of the usual one, separated by commas.
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
    /// Its data centre.
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
    /// Maximum size of a request head, in bytes; 0 for the host's own limit.
    pub head_max_bytes: u64,
    /// The teams whose callers identify themselves by a key. If there is a list, even an empty one,
    /// every request needs a key of it except on public routes. `None` if no request needs a key.
    #[serde(deserialize_with = "document::present", skip_serializing_if = "Option::is_none")]
    pub teams: Option<Vec<Arc<Team>>>,
}

impl Routing {
    /// Returns the routing as it may be shown: without the keys of teams.
    pub fn without_keys(&self) -> Routing {
        let without_keys = |t: &Arc<Team>| Arc::new(Team { keys: Vec::new(), ..Team::clone(t) });
        let teams = self.teams.as_ref().map(|teams| teams.iter().map(without_keys).collect());
        Routing { teams, ..self.clone() }
    }
}

/// A team: a customer whose callers share keys, a priority and an allowance.
#[derive(Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema, derive_more::Debug)]
#[serde(deny_unknown_fields, default)]
pub struct Team {
    /// The team's name, unique in the fleet.
    pub name: Arc<str>,
    /// The keys by which its callers identify themselves.
    #[debug("{} keys", keys.len())]
    pub keys: Vec<Arc<str>>,
    /// The priority of its requests, which takes precedence over the route's.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<Priority>,
    /// Requests per second that it may send to the whole fleet; 0 for no limit.
    #[serde(skip_serializing_if = "is_zero")]
    pub per_second: f64,
    /// Requests that it may send at once beyond that rate.
    #[serde(skip_serializing_if = "is_zero")]
    pub burst: f64,
}

fn is_zero(value: &f64) -> bool {
    *value == 0.0
}

/// A route: the requests that it matches, their treatment and their destination.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The `Host` value that matches, without port.
    pub host: String,
    /// The path prefix that matches, which begins and ends with a slash. The longest match wins.
    pub path_prefix: String,
    /// The treatment of its requests.
    pub treatment: Treatment,
    /// The services among which its requests are distributed.
    pub split: Vec<WeightedService>,
    /// Whether its requests need no key.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
}

/// A service with its weight in a route's traffic split.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// The service's name.
    pub service: Arc<str>,
    /// Its weight, relative to those of the route's other services.
    pub weight: f64,
}

/// A response by which an upstream proves that it did not run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DeclaredRefusal {
    /// The HTTP status.
    pub status: u16,
    /// The response header that must be present.
    pub header: String,
    /// The value that the header must have; any value if absent.
    #[serde(default)]
    pub value: Option<String>,
}

/// How a service's upstreams are probed for health and load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct ProbeConfig {
    /// Rate of probes that the whole fleet may send to the service's upstreams, per second.
    pub probes_per_second: f64,
    /// Additional rate of probes that the whole fleet may send for each upstream, per second.
    pub probes_per_upstream: f64,
    /// The path of the health and load endpoint; empty to send no probes.
    pub path: String,
    /// Timeout of a probe, in milliseconds.
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
