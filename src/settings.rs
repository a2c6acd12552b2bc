//! A daemon's settings: one JSON file, checked whole at start-up.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::config::{Profile, Service, Treatment};
use crate::decide::balancing::Policy;
use crate::document::SocketAddrSchema;
pub use crate::document::{Fault, invalid_document, parse_document};
use crate::error::{Code, Error};

/// The largest number of events held or requests waiting.
const COUNT_MAX: usize = 1_000_000;
/// The longest deadline and wait, in milliseconds: a day.
const TIME_MAX_MS: u64 = 86_400_000;

/// The settings of one entry host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The host's name, unique in the fleet.
    pub host: Arc<str>,
    /// The data centre that the host stands in.
    pub data_centre: Arc<str>,
    /// Where callers connect.
    #[schemars(with = "SocketAddrSchema")]
    pub caller: SocketAddr,
    /// Where operators connect: health, status, metrics and events.
    #[schemars(with = "SocketAddrSchema")]
    pub admin: SocketAddr,
    /// Where other entry hosts connect.
    #[serde(default)]
    #[schemars(with = "Option<SocketAddrSchema>")]
    pub peer: Option<SocketAddr>,
    /// The most entry hosts that the fleet may ever have; it divides the measuring budget.
    #[serde(default = "default_fleet_size_max")]
    pub fleet_size_max: u32,
    /// Other entry hosts known from the start, beside those that the host list names.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// The platform's services; absent for a host that runs on this file alone.
    #[serde(default)]
    pub platform: Option<Platform>,
    /// The store of the deployment platform, in which it keeps config and upstreams; absent where
    /// there is none.
    #[serde(default)]
    pub registry: Option<Registry>,
    /// Peer addresses to try while no other entry host is known; some may be out of date.
    #[serde(default)]
    #[schemars(with = "Vec<SocketAddrSchema>")]
    pub seeds: Vec<SocketAddr>,
    /// Where metrics are served beside the admin address.
    #[serde(default)]
    #[schemars(with = "Option<SocketAddrSchema>")]
    pub metrics: Option<SocketAddr>,
    /// Services given in this file, as version 0.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Profiles given in this file, as version 0.
    #[serde(default)]
    pub profiles: Vec<Profile>,
    /// Bounds and times of the process.
    #[serde(default)]
    pub limits: Limits,
    /// How an upstream is chosen.
    #[serde(default)]
    pub policy: Policy,
}

fn default_fleet_size_max() -> u32 {
    18
}

/// Another entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// The host's name.
    pub host: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Its peer address.
    #[schemars(with = "SocketAddrSchema")]
    pub address: SocketAddr,
}

/// Where the platform's services are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Addresses of the key-value service's JSON gateway, tried in turn.
    #[schemars(with = "Vec<SocketAddrSchema>")]
    pub key_value: Vec<SocketAddr>,
    /// The address of the host list.
    #[serde(default)]
    #[schemars(with = "Option<SocketAddrSchema>")]
    pub host_list: Option<SocketAddr>,
    /// The prefix of every key.
    #[serde(default = "default_prefix")]
    pub prefix: String,
    /// Calls a second that this host may make to the platform.
    #[serde(default = "default_calls_per_second")]
    pub calls_per_second: f64,
    /// Idempotency keys a second that this host may claim in the key-value service.
    #[serde(default = "default_claims_per_second")]
    pub claims_per_second: f64,
}

fn default_prefix() -> String {
    "/cornelferry/".to_owned()
}

fn default_calls_per_second() -> f64 {
    5.0
}

fn default_claims_per_second() -> f64 {
    10.0
}

/// The store of the deployment platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Registry {
    /// Its address.
    #[schemars(with = "SocketAddrSchema")]
    pub address: SocketAddr,
    /// The prefix of the keys that entry hosts write.
    #[serde(default = "default_registry_prefix")]
    pub prefix: String,
    /// Calls a second that this host may make.
    #[serde(default = "default_registry_calls_per_second")]
    pub calls_per_second: f64,
    /// Retries and hedges as a share of requests, from 0 to 1.
    #[serde(default = "default_registry_retry_share")]
    pub retry_share: f64,
    /// Retries of the whole fleet beyond that share, within [`Registry::retry_window_s`].
    #[serde(default)]
    pub retry_slack: f64,
    /// Seconds over which retries are counted.
    #[serde(default = "default_registry_retry_window_s")]
    pub retry_window_s: f64,
    /// Probes a second that the whole fleet may send to one upstream.
    #[serde(default = "default_registry_probes_per_second")]
    pub probes_per_second: f64,
}

fn default_registry_retry_share() -> f64 {
    0.1
}

fn default_registry_retry_window_s() -> f64 {
    10.0
}

fn default_registry_probes_per_second() -> f64 {
    10.0
}

/// Part of the probes that an upstream is allowed. The rest is for hosts that have just started and
/// count fewer others than there are.
const PROBES_SHARE: f64 = 0.8;

impl Registry {
    /// Puts the fleet's budgets into a service.
    pub(crate) fn set_budgets(&self, service: &mut Service) {
        service.retry_share = self.retry_share;
        service.retry_slack = self.retry_slack;
        service.retry_window_ms = (self.retry_window_s * 1_000.0).max(1.0) as u64;
        service.measure.probes_per_second = 0.0;
        service.measure.probes_per_upstream = self.probes_per_second * PROBES_SHARE;
    }
}

fn default_registry_prefix() -> String {
    "cornelferry/".to_owned()
}

fn default_registry_calls_per_second() -> f64 {
    20.0
}

/// Bounds and times of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Worker threads that serve callers.
    pub workers: usize,
    /// Milliseconds from failing readiness to refusing connections.
    pub grace_ms: u64,
    /// Milliseconds for which a connection that has answered counts as alive.
    pub proof_age_ms: u64,
    /// Milliseconds allowed for a new connection.
    pub connect_timeout_ms: u64,
    /// Requests that may wait for a slot, over all services.
    pub waiting: usize,
    /// Bytes of request and answer bodies that may be held at once.
    pub body_bytes: u64,
    /// Events that the ring holds.
    pub events: usize,
    /// Header fields that a request may have.
    pub headers: usize,
    /// Bytes that a request head may have.
    pub head_bytes: usize,
    /// Caller connections that may be open at once.
    pub caller_connections: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            workers: 1,
            grace_ms: 2_000,
            proof_age_ms: 200,
            connect_timeout_ms: 250,
            waiting: 4_096,
            body_bytes: 32 << 20,
            events: 8_192,
            headers: 64,
            head_bytes: 32 << 10,
            caller_connections: 8_192,
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`Code::Unreadable`] if the file can't be read, [`Code::Invalid`] with every fault of the
    /// document, each on a line of its own.
    pub fn load(path: &Path) -> Result<Settings, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| Error::new(Code::Unreadable, format!("{}: {e}", path.display())))?;
        Settings::parse(&text)
            .map_err(|faults| invalid_document(&path.display().to_string(), &faults))
    }

    /// Parses and checks a settings document.
    ///
    /// # Errors
    ///
    /// Every fault of the document.
    pub fn parse(text: &str) -> Result<Settings, Vec<Fault>> {
        let settings: Settings = parse_document(text)?;
        let faults = settings.faults();
        if faults.is_empty() { Ok(settings) } else { Err(faults) }
    }

    fn faults(&self) -> Vec<Fault> {
        let mut out = Vec::new();
        if self.host.is_empty() {
            out.push(fault("/host", "must not be empty"));
        }
        if self.fleet_size_max == 0 {
            out.push(fault("/fleet_size_max", "must be at least 1"));
        }
        out.extend(limits_faults(&self.limits));
        out.extend(self.platform.iter().flat_map(platform_faults));
        out.extend(self.registry.iter().flat_map(registry_faults));
        let at = |i: usize| format!("/services/{i}");
        for (i, service) in self.services.iter().enumerate() {
            out.extend(service_faults(service, &at(i)));
            let known = self.profiles.iter().any(|p| p.name == service.profile);
            if !known && self.platform.is_none() && self.registry.is_none() {
                let reason = format!("profile {:?} does not exist", service.profile);
                out.push(fault(&format!("{}/profile", at(i)), &reason));
            }
        }
        for (i, profile) in self.profiles.iter().enumerate() {
            out.extend(profile_faults(profile, &format!("/profiles/{i}")));
        }
        out.extend(repeated("/services", self.services.iter().map(|s| &*s.name)));
        out.extend(repeated("/profiles", self.profiles.iter().map(|p| &*p.name)));
        out
    }
}

fn platform_faults(platform: &Platform) -> Vec<Fault> {
    let mut out = Vec::new();
    let mut check = |ok: bool, field: &str, reason: &str| {
        if !ok {
            out.push(fault(&format!("/platform/{field}"), reason));
        }
    };
    let rate = |r: f64| r.is_finite() && r >= 0.0;
    let (calls, claims) = (platform.calls_per_second, platform.claims_per_second);
    check(!platform.key_value.is_empty(), "key_value", "must not be empty");
    check(rate(calls) && calls >= 1.0, "calls_per_second", "must be at least 1");
    check(rate(claims), "claims_per_second", "must be 0 or more");
    out
}

fn registry_faults(registry: &Registry) -> Vec<Fault> {
    let mut out = Vec::new();
    let mut check = |ok: bool, field: &str, reason: &str| {
        if !ok {
            out.push(fault(&format!("/registry/{field}"), reason));
        }
    };
    let rate = |r: f64| r.is_finite() && r >= 0.0;
    let calls = registry.calls_per_second;
    check(rate(calls) && calls >= 1.0, "calls_per_second", "must be at least 1");
    check((0.0..=1.0).contains(&registry.retry_share), "retry_share", "must be from 0 to 1");
    check(rate(registry.retry_slack), "retry_slack", "must be 0 or more");
    let window = registry.retry_window_s;
    check(rate(window) && window > 0.0, "retry_window_s", "must be more than 0");
    check(rate(registry.probes_per_second), "probes_per_second", "must be 0 or more");
    out
}

fn limits_faults(limits: &Limits) -> Vec<Fault> {
    let mut out = Vec::new();
    if limits.workers == 0 {
        out.push(fault("/limits/workers", "must be at least 1"));
    }
    for (field, count) in [("events", limits.events), ("waiting", limits.waiting)] {
        if count > COUNT_MAX {
            let reason = format!("must be at most {COUNT_MAX}");
            out.push(fault(&format!("/limits/{field}"), &reason));
        }
    }
    out
}

/// Returns the faults of a service record that its types don't rule out.
pub fn service_faults(service: &Service, place: &str) -> Vec<Fault> {
    let mut out = Vec::new();
    let mut check = |ok: bool, field: &str, reason: &str| {
        if !ok {
            out.push(fault(&format!("{place}/{field}"), reason));
        }
    };
    check(!service.name.is_empty(), "name", "must not be empty");
    check(!service.profile.is_empty(), "profile", "must not be empty");
    check(service.path_prefix.starts_with('/'), "path_prefix", "must begin with /");
    check(service.slots > 0, "slots", "must be at least 1");
    check(service.connections > 0, "connections", "must be at least 1");
    check((0.0..=1.0).contains(&service.retry_share), "retry_share", "must be from 0 to 1");
    let probes = service.measure.probes_per_second;
    check(probes.is_finite() && probes >= 0.0, "measure/probes_per_second", "must be 0 or more");
    for (i, refusal) in service.refusals.iter().enumerate() {
        let status = (400..600).contains(&refusal.status);
        check(status, &format!("refusals/{i}/status"), "must be from 400 to 599");
        check(!refusal.header.is_empty(), &format!("refusals/{i}/header"), "must not be empty");
    }
    let names = service.upstreams.iter().map(|u| &*u.name);
    out.extend(repeated(&format!("{place}/upstreams"), names));
    out
}

/// Returns the faults of a profile that its types don't rule out.
pub fn profile_faults(profile: &Profile, place: &str) -> Vec<Fault> {
    let mut out = Vec::new();
    if profile.name.is_empty() {
        out.push(fault(&format!("{place}/name"), "must not be empty"));
    }
    for (i, rule) in profile.rules.iter().enumerate() {
        let place = format!("{place}/rules/{i}");
        if !rule.path.starts_with(['/', '*']) {
            out.push(fault(&format!("{place}/path"), "must begin with / or *"));
        }
        out.extend(treatment_faults(&rule.treatment, &format!("{place}/treatment")));
    }
    out.extend(treatment_faults(&profile.otherwise, &format!("{place}/otherwise")));
    out
}

fn treatment_faults(treatment: &Treatment, place: &str) -> Vec<Fault> {
    let mut out = Vec::new();
    if treatment.deadline_ms == 0 {
        out.push(fault(&format!("{place}/deadline_ms"), "must be at least 1"));
    }
    for (field, ms) in [("deadline_ms", treatment.deadline_ms), ("wait_ms", treatment.wait_ms)] {
        if ms > TIME_MAX_MS {
            let reason = format!("must be at most {TIME_MAX_MS}");
            out.push(fault(&format!("{place}/{field}"), &reason));
        }
    }
    if treatment.attempts == 0 {
        out.push(fault(&format!("{place}/attempts"), "must be at least 1"));
    }
    if treatment.hedge && !treatment.idempotent {
        out.push(fault(&format!("{place}/hedge"), "only idempotent requests may be hedged"));
    }
    out
}

fn fault(place: &str, reason: &str) -> Fault {
    Fault::new(place, reason)
}

fn repeated<'a>(place: &str, names: impl Iterator<Item = &'a str>) -> Vec<Fault> {
    let mut seen: Vec<&str> = Vec::new();
    let mut out = Vec::new();
    for (i, name) in names.enumerate() {
        match seen.binary_search(&name) {
            Ok(_) => {
                out.push(fault(&format!("{place}/{i}/name"), &format!("{name:?} stands twice")))
            }
            Err(at) => seen.insert(at, name),
        }
    }
    out
}
