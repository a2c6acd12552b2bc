//! The settings of a daemon: one JSON file, of which all faults are reported at once.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::config::{Profile, Service, Treatment};
use crate::decide::balancing::Policy;
use crate::decide::shedding::Shedding;
use crate::document::SocketAddrSchema;
pub use crate::document::{Fault, invalid_document, parse_document};
use crate::error::{Code, Error};

/// Upper limit of both [`Limits::events`] and [`Limits::waiting`].
const COUNT_MAX: usize = 1_000_000;
/// Maximum deadline and wait of a treatment, in milliseconds: one day.
const TIME_MAX_MS: u64 = 86_400_000;

/// Maximum bandwidth of a network link, in Mbit/s.
const LINK_MAX_MBPS: f64 = 10_000_000.0;

/// The settings of one entry host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The host's name, unique in the fleet.
    pub host: Arc<str>,
    /// The data centre of the host.
    pub data_centre: Arc<str>,
    /// The address on which callers connect.
    #[schemars(with = "SocketAddrSchema")]
    pub caller: SocketAddr,
    /// The address of the admin interface: health, status, metrics and events.
    #[schemars(with = "SocketAddrSchema")]
    pub admin: SocketAddr,
    /// The address on which peers connect.
    #[serde(default)]
    #[schemars(with = "Option<SocketAddrSchema>")]
    pub peer: Option<SocketAddr>,
    /// The bandwidth of this host's network link, in Mbit/s; 0 if unknown. Hosts with wide links read the
    /// registry for the others.
    #[serde(default)]
    pub link_mbps: f64,
    /// The port, at the IP address of [`Settings::peer`], on which peers pass on requests whose
    /// upstreams they can't reach themselves. The same on all hosts; without it none are passed on.
    #[serde(default)]
    pub relay_port: Option<u16>,
    /// The maximum number of entry hosts that the fleet may ever have. The connections that an
    /// upstream accepts are divided by it, and so are fleet-wide budgets unless
    /// [`Settings::registry`] provides the number of hosts.
    #[serde(default = "default_fleet_size_max")]
    pub fleet_size_max: u32,
    /// Whether upstreams to which a connection is idle are preferred in services with many upstreams,
    /// and connections are kept for as long as upstreams say.
    #[serde(default)]
    pub prefer_open_connections: bool,
    /// Peers known from the start, in addition to those of the host list.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// The platform's key-value service and host list; absent for a host that uses neither.
    #[serde(default)]
    pub platform: Option<Platform>,
    /// The registry: the deployment platform's store of config and upstreams; absent where there is
    /// none.
    #[serde(default)]
    pub registry: Option<Registry>,
    /// Peer addresses to try while no peer is known; some may be out of date.
    #[serde(default)]
    #[schemars(with = "Vec<SocketAddrSchema>")]
    pub seeds: Vec<SocketAddr>,
    /// An address on which metrics are served in addition to the admin address.
    #[serde(default)]
    #[schemars(with = "Option<SocketAddrSchema>")]
    pub metrics: Option<SocketAddr>,
    /// Seconds after SIGTERM at which the process is ended in any case; absent if it isn't. Requests that
    /// can't be expected to finish by then are refused.
    #[serde(default)]
    pub stop_s: Option<f64>,
    /// Services defined in this file, with version 0.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Profiles defined in this file, with version 0.
    #[serde(default)]
    pub profiles: Vec<Profile>,
    /// Limits and timeouts of the process.
    #[serde(default)]
    pub limits: Limits,
    /// The load balancing policy.
    #[serde(default)]
    pub policy: Policy,
}

fn default_fleet_size_max() -> u32 {
    18
}

/// A peer: another entry host of the fleet.
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

/// Access to the platform's services: the key-value service, which stores records, and the host
/// list.
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
    /// The common prefix of all keys.
    #[serde(default = "default_prefix")]
    pub prefix: String,
    /// Maximum rate of this host's calls to the platform, per second.
    #[serde(default = "default_calls_per_second")]
    pub calls_per_second: f64,
    /// Maximum rate at which this host claims idempotency keys in the key-value service, per
    /// second.
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

/// Access to the registry, the deployment platform's store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Registry {
    /// Its address.
    #[schemars(with = "SocketAddrSchema")]
    pub address: SocketAddr,
    /// The prefix of the keys that entry hosts write.
    #[serde(default = "default_registry_prefix")]
    pub prefix: String,
    /// Maximum rate of this host's calls to the registry, per second.
    #[serde(default = "default_registry_calls_per_second")]
    pub calls_per_second: f64,
    /// Maximum retries and hedges as a fraction of requests, from 0 to 1.
    #[serde(default = "default_registry_retry_share")]
    pub retry_share: f64,
    /// Retries that the whole fleet may make beyond that fraction within
    /// [`Registry::retry_window_s`].
    #[serde(default)]
    pub retry_slack: f64,
    /// Length in seconds of the window in which retries are counted.
    #[serde(default = "default_registry_retry_window_s")]
    pub retry_window_s: f64,
    /// Maximum rate of probes that the whole fleet sends to one upstream, per second.
    #[serde(default = "default_registry_probes_per_second")]
    pub probes_per_second: f64,
    /// Time in seconds within which a change of the registry must be in force on every host.
    #[serde(default = "default_registry_apply_s")]
    pub apply_s: f64,
}

/// The default of [`Registry::apply_s`].
pub(crate) const DEFAULT_APPLY_S: f64 = 2.0;

fn default_registry_apply_s() -> f64 {
    DEFAULT_APPLY_S
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

/// Fraction of the probe budget that is used. The rest is a reserve, because hosts that have just
/// started know fewer peers than there are and take too large a share.
const PROBE_BUDGET_SHARE: f64 = 0.8;

impl Registry {
    /// Sets the fleet's retry and probe budgets in a service.
    pub(crate) fn set_budgets(&self, service: &mut Service) {
        service.retry_share = self.retry_share;
        service.retry_slack = self.retry_slack;
        service.retry_window_ms = (self.retry_window_s * 1_000.0).max(1.0) as u64;
        service.measure.probes_per_second = 0.0;
        service.measure.probes_per_upstream = self.probes_per_second * PROBE_BUDGET_SHARE;
    }
}

fn default_registry_prefix() -> String {
    "cornelferry/".to_owned()
}

fn default_registry_calls_per_second() -> f64 {
    20.0
}

/// Limits and timeouts of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Number of worker threads that serve callers.
    pub workers: usize,
    /// Milliseconds between failing the readiness check and refusing connections at shutdown.
    pub grace_ms: u64,
    /// Milliseconds after a response for which a connection is considered alive.
    pub proof_age_ms: u64,
    /// Timeout for opening a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Maximum number of requests that wait for a slot, over all services.
    pub waiting: usize,
    /// How requests are chosen that are delayed or refused where upstreams report their occupancy.
    pub shedding: Shedding,
    /// Maximum total size of the request and response bodies in memory, in bytes.
    pub body_bytes: u64,
    /// Capacity of the event ring buffer.
    pub events: usize,
    /// Maximum number of header fields in a request.
    pub headers: usize,
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum number of open caller connections.
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
            shedding: Shedding::default(),
            body_bytes: 32 << 20,
            events: 8_192,
            headers: 64,
            head_bytes: 32 << 10,
            caller_connections: 8_192,
        }
    }
}

impl Settings {
    /// Returns the bandwidth of this host's network link in whole Mbit/s, at least 1 if it is known.
    pub(crate) fn link_mbps(&self) -> u32 {
        self.link_mbps.ceil() as u32
    }

    /// Returns the address on which peers pass on requests, if there is one.
    pub(crate) fn relay_address(&self) -> Option<SocketAddr> {
        let (peer, port) = (self.peer?, self.relay_port?);
        Some(SocketAddr::new(peer.ip(), port))
    }

    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`Code::Unreadable`] if the file can't be read, and [`Code::Invalid`] with every
    /// fault of the document, each on a line of its own.
    pub fn load(path: &Path) -> Result<Settings, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| Error::new(Code::Unreadable, format!("{}: {e}", path.display())))?;
        Settings::parse(&text)
            .map_err(|faults| invalid_document(&path.display().to_string(), &faults))
    }

    /// Parses and validates a settings document.
    ///
    /// # Errors
    ///
    /// Returns every fault of the document.
    pub fn parse(text: &str) -> Result<Settings, Vec<Fault>> {
        let settings: Settings = parse_document(text)?;
        let faults = settings.faults();
        if faults.is_empty() { Ok(settings) } else { Err(faults) }
    }

    /// Returns the faults that deserialization does not detect.
    fn faults(&self) -> Vec<Fault> {
        let mut out = Vec::new();
        if self.host.is_empty() {
            out.push(fault("/host", "must not be empty"));
        }
        if !(0.0..=LINK_MAX_MBPS).contains(&self.link_mbps) {
            out.push(fault("/link_mbps", "must be from 0 to 10000000"));
        }
        let is_relay_port_taken = |port| port == 0 || self.peer.is_none_or(|p| p.port() == port);
        if self.relay_port.is_some_and(is_relay_port_taken) {
            out.push(fault("/relay_port", "needs a peer address and must differ from its port"));
        }
        if self.stop_s.is_some_and(|s| !Duration::try_from_secs_f64(s).is_ok_and(|d| !d.is_zero()))
        {
            out.push(fault("/stop_s", "must be a positive number of seconds"));
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
            let exists = self.profiles.iter().any(|p| p.name == service.profile);
            if !exists && self.platform.is_none() && self.registry.is_none() {
                let reason = format!("profile {:?} does not exist", service.profile);
                out.push(fault(&format!("{}/profile", at(i)), &reason));
            }
        }
        for (i, profile) in self.profiles.iter().enumerate() {
            out.extend(profile_faults(profile, &format!("/profiles/{i}")));
        }
        out.extend(duplicate_names("/services", self.services.iter().map(|s| &*s.name)));
        out.extend(duplicate_names("/profiles", self.profiles.iter().map(|p| &*p.name)));
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
    let is_non_negative = |r: f64| r.is_finite() && r >= 0.0;
    let (calls, claims) = (platform.calls_per_second, platform.claims_per_second);
    check(!platform.key_value.is_empty(), "key_value", "must not be empty");
    check(is_non_negative(calls) && calls >= 1.0, "calls_per_second", "must be at least 1");
    check(is_non_negative(claims), "claims_per_second", "must be 0 or more");
    out
}

fn registry_faults(registry: &Registry) -> Vec<Fault> {
    let mut out = Vec::new();
    let mut check = |ok: bool, field: &str, reason: &str| {
        if !ok {
            out.push(fault(&format!("/registry/{field}"), reason));
        }
    };
    let is_non_negative = |r: f64| r.is_finite() && r >= 0.0;
    let calls = registry.calls_per_second;
    check(is_non_negative(calls) && calls >= 1.0, "calls_per_second", "must be at least 1");
    check((0.0..=1.0).contains(&registry.retry_share), "retry_share", "must be from 0 to 1");
    check(is_non_negative(registry.retry_slack), "retry_slack", "must be 0 or more");
    let window = registry.retry_window_s;
    check(is_non_negative(window) && window > 0.0, "retry_window_s", "must be more than 0");
    check((0.5..=60.0).contains(&registry.apply_s), "apply_s", "must be from 0.5 to 60");
    check(is_non_negative(registry.probes_per_second), "probes_per_second", "must be 0 or more");
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

/// Returns the faults of a service record that deserialization does not detect. `pointer` is the
/// JSON pointer to the record in its document.
pub fn service_faults(service: &Service, pointer: &str) -> Vec<Fault> {
    let mut out = Vec::new();
    let mut check = |ok: bool, field: &str, reason: &str| {
        if !ok {
            out.push(fault(&format!("{pointer}/{field}"), reason));
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
    let warm_up = service.warm_up_per_second;
    check(warm_up.is_finite() && warm_up >= 0.0, "warm_up_per_second", "must be 0 or more");
    for (i, refusal) in service.refusals.iter().enumerate() {
        let is_error = (400..600).contains(&refusal.status);
        check(is_error, &format!("refusals/{i}/status"), "must be from 400 to 599");
        check(!refusal.header.is_empty(), &format!("refusals/{i}/header"), "must not be empty");
    }
    let names = service.upstreams.iter().map(|u| &*u.name);
    out.extend(duplicate_names(&format!("{pointer}/upstreams"), names));
    out
}

/// Returns the faults of a profile that deserialization does not detect. `pointer` is the JSON
/// pointer to the profile in its document.
pub fn profile_faults(profile: &Profile, pointer: &str) -> Vec<Fault> {
    let mut out = Vec::new();
    if profile.name.is_empty() {
        out.push(fault(&format!("{pointer}/name"), "must not be empty"));
    }
    for (i, rule) in profile.rules.iter().enumerate() {
        let pointer = format!("{pointer}/rules/{i}");
        if !rule.path.starts_with(['/', '*']) {
            out.push(fault(&format!("{pointer}/path"), "must begin with / or *"));
        }
        out.extend(treatment_faults(&rule.treatment, &format!("{pointer}/treatment")));
    }
    out.extend(treatment_faults(&profile.otherwise, &format!("{pointer}/otherwise")));
    out
}

fn treatment_faults(treatment: &Treatment, pointer: &str) -> Vec<Fault> {
    let mut out = Vec::new();
    if treatment.deadline_ms == 0 {
        out.push(fault(&format!("{pointer}/deadline_ms"), "must be at least 1"));
    }
    for (field, ms) in [("deadline_ms", treatment.deadline_ms), ("wait_ms", treatment.wait_ms)] {
        if ms > TIME_MAX_MS {
            let reason = format!("must be at most {TIME_MAX_MS}");
            out.push(fault(&format!("{pointer}/{field}"), &reason));
        }
    }
    if treatment.attempts == 0 {
        out.push(fault(&format!("{pointer}/attempts"), "must be at least 1"));
    }
    if treatment.hedge && !treatment.idempotent {
        out.push(fault(&format!("{pointer}/hedge"), "only idempotent requests may be hedged"));
    }
    out
}

fn fault(pointer: &str, reason: &str) -> Fault {
    Fault::new(pointer, reason)
}

/// Returns a fault for each name that repeats an earlier one in a list.
fn duplicate_names<'a>(pointer: &str, names: impl Iterator<Item = &'a str>) -> Vec<Fault> {
    let mut seen: Vec<&str> = Vec::new();
    let mut out = Vec::new();
    for (i, name) in names.enumerate() {
        match seen.binary_search(&name) {
            Ok(_) => {
                out.push(fault(&format!("{pointer}/{i}/name"), &format!("duplicate name {name:?}")))
            }
            Err(at) => seen.insert(at, name),
        }
    }
    out
}
