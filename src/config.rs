//! Profiles and services: what operators write, in JSON.
//!
//! The types here are plain data. [`crate::settings`] checks a daemon's file, and
//! [`crate::decide::profile`] decides which version of a record is in force.

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
    pub measure: Measure,
    /// The largest request body, in bytes.
    pub body_max_bytes: u64,
    /// The largest answer held until complete, in bytes; larger ones are streamed.
    pub answer_buffer_bytes: u64,
    /// Retries and hedges as a share of requests, from 0 to 1.
    pub retry_share: f64,
    /// Milliseconds over which a new upstream's share of work grows to its full size.
    pub cold_start_ms: u64,
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
            measure: Measure::default(),
            body_max_bytes: 1 << 20,
            answer_buffer_bytes: 256 << 10,
            retry_share: 0.1,
            cold_start_ms: 3_000,
            keyed_claims: false,
        }
    }
}

/// One upstream of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The upstream's name, unique in its service.
    pub name: Arc<str>,
    /// The IP address and port.
    #[schemars(with = "crate::document::Address")]
    pub address: std::net::SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: Arc<str>,
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
pub struct Measure {
    /// Probes a second that the whole fleet may send to the service's upstreams.
    pub probes_per_second: f64,
    /// The path of the health and load endpoint; empty for no probes.
    pub path: String,
    /// Milliseconds after which a probe is given up on.
    pub timeout_ms: u64,
}

impl Default for Measure {
    fn default() -> Measure {
        Measure { probes_per_second: 10.0, path: "/healthz".to_owned(), timeout_ms: 500 }
    }
}
