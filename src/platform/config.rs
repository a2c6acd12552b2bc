//! Decodes the config document that the platform's operator publishes in the registry.

use std::sync::Arc;

use serde::Deserialize;
use serde_json::Value;

use crate::config::{
    Priority, ProbeConfig, Route, Routing, Service, Team, Treatment, WeightedService,
};
use crate::decide::teams;
use crate::document::{self, Fault};
use crate::platform::headers;

/// Key of the document in the registry.
pub(crate) const KEY: &str = "op/config";

#[derive(Deserialize)]
struct Document {
    version: u64,
    limits: Limits,
    listeners: Vec<Listener>,
    clusters: Vec<Cluster>,
    /// The teams, decoded by [`decode_teams`]: an error of the parser would quote keys.
    #[serde(default, deserialize_with = "document::present")]
    tenants: Option<Value>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    max_header_bytes: u64,
    max_body_bytes: u64,
}

#[derive(Deserialize)]
struct Listener {
    host: String,
    rules: Vec<Rule>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Rule {
    name: Arc<str>,
    kind: RequestKind,
    #[serde(default)]
    latency_goal_s: f64,
    #[serde(default)]
    priority: u32,
    #[serde(default)]
    public: bool,
    r#match: Match,
    action: Action,
}

#[derive(Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RequestKind {
    #[serde(alias = "download")]
    Idempotent,
    #[serde(other)]
    NonIdempotent,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Match {
    path_prefix: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Action {
    service: Option<Arc<str>>,
    #[serde(default)]
    traffic_split: Vec<WeightedService>,
    timeout_s: f64,
    max_attempts: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Cluster {
    name: Arc<str>,
    health_path: String,
    max_connections: u32,
    #[serde(default, rename = "warmupPerS")]
    warm_up_per_second: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Tenant {
    name: Arc<str>,
    #[serde(default)]
    api_keys: Vec<Arc<str>>,
    priority: Option<u32>,
    rate_per_s: Option<f64>,
    burst: Option<f64>,
}

/// Decodes the document into its version and the routing that it describes.
///
/// # Errors
///
/// Returns the first fault if the value is not a valid document. No fault contains a key.
pub(crate) fn decode(value: &[u8]) -> Result<(u64, Routing), Fault> {
    let document: Document =
        serde_json::from_slice(value).map_err(|e| Fault::new("", &e.to_string()))?;
    let teams = document.tenants.map(decode_teams).transpose()?;
    let body_max = document.limits.max_body_bytes;
    let services = document.clusters.into_iter().map(|c| c.into_service(body_max));
    let routes = document.listeners.into_iter().flat_map(Listener::into_routes);
    let routing = Routing {
        routes: routes.collect(),
        services: services.collect(),
        head_max_bytes: document.limits.max_header_bytes,
        teams,
    };
    Ok((document.version, routing))
}

impl Listener {
    fn into_routes(self) -> impl Iterator<Item = Route> {
        let host = self.host;
        self.rules.into_iter().map(move |rule| rule.into_route(host.clone()))
    }
}

impl Rule {
    fn into_route(self, host: String) -> Route {
        let deadline_ms = millis(self.action.timeout_s).max(1);
        let idempotent = self.kind == RequestKind::Idempotent;
        let split = match self.action.service {
            Some(service) => vec![WeightedService { service, weight: 1.0 }],
            None => self.action.traffic_split,
        };
        Route {
            name: self.name,
            host,
            path_prefix: self.r#match.path_prefix,
            treatment: Treatment {
                idempotent,
                deadline_ms,
                wait_ms: deadline_ms,
                priority: priority(self.priority),
                hedge: idempotent,
                attempts: self.action.max_attempts.max(1),
                objective_ms: millis(self.latency_goal_s),
            },
            split,
            public: self.public,
        }
    }
}

/// Decodes the list of teams.
fn decode_teams(value: Value) -> Result<Vec<Arc<Team>>, Fault> {
    let Value::Array(tenants) = value else { return Err(malformed("/tenants".to_owned())) };
    let decode = |(i, value): (usize, Value)| match Tenant::deserialize(value) {
        Ok(tenant) => Ok(Arc::new(tenant.into_team())),
        Err(_) => Err(malformed(format!("/tenants/{i}"))),
    };
    let teams = tenants.into_iter().enumerate().map(decode).collect::<Result<Vec<_>, _>>()?;
    match teams::faults(&teams, "/tenants").into_iter().next() {
        Some(fault) => {
            let pointer = fault.pointer.replace("/keys/", "/apiKeys/");
            Err(Fault { pointer: pointer.replace("/per_second", "/ratePerS"), ..fault })
        }
        None => Ok(teams),
    }
}

fn malformed(pointer: String) -> Fault {
    Fault::new(&pointer, "malformed")
}

impl Tenant {
    fn into_team(self) -> Team {
        Team {
            name: self.name,
            keys: self.api_keys,
            priority: self.priority.map(priority),
            per_second: self.rate_per_s.unwrap_or(0.0),
            burst: self.burst.unwrap_or(0.0),
        }
    }
}

impl Cluster {
    fn into_service(self, body_max_bytes: u64) -> Service {
        let mut service = Service {
            profile: self.name.clone(),
            name: self.name,
            connections: self.max_connections.max(1),
            body_max_bytes,
            probe_before_send: true,
            warm_up_per_second: self.warm_up_per_second.max(0.0),
            measure: ProbeConfig { path: self.health_path, ..ProbeConfig::default() },
            ..Service::default()
        };
        headers::configure(&mut service);
        service
    }
}

/// Converts a priority of the platform: a number, of which 0 is the highest.
fn priority(level: u32) -> Priority {
    match level {
        0 => Priority::Urgent,
        1 => Priority::Normal,
        _ => Priority::Deferrable,
    }
}

fn millis(seconds: f64) -> u64 {
    (seconds * 1_000.0).round() as u64
}
