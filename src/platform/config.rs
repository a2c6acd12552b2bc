//! Decodes the config document that the platform's operator publishes in the registry.

use std::sync::Arc;

use serde::Deserialize;

use crate::config::{Priority, ProbeConfig, Route, Routing, Service, Treatment, WeightedService};
use crate::platform::headers;

/// Key of the document in the registry.
pub(crate) const KEY: &str = "op/config";

#[derive(Deserialize)]
struct Document {
    version: u64,
    limits: Limits,
    listeners: Vec<Listener>,
    clusters: Vec<Cluster>,
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
    r#match: Match,
    action: Action,
}

#[derive(Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RequestKind {
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

/// Decodes the document into its version and the routing that it describes.
///
/// # Errors
///
/// Returns an error if the value is not a valid document.
pub(crate) fn decode(value: &[u8]) -> Result<(u64, Routing), serde_json::Error> {
    let document: Document = serde_json::from_slice(value)?;
    let body_max = document.limits.max_body_bytes;
    let services = document.clusters.into_iter().map(|c| c.into_service(body_max));
    let routes = document.listeners.into_iter().flat_map(Listener::into_routes);
    let routing = Routing {
        routes: routes.collect(),
        services: services.collect(),
        head_max_bytes: document.limits.max_header_bytes,
        teams: Vec::new(),
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
            public: false,
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
