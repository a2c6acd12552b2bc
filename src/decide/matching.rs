//! Matching of a request with its service and its treatment.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use twox_hash::XxHash64;
use wildmatch::WildMatch;

use crate::config::{self, Profile, Routing, Service, Treatment};
use crate::decide::teams::Keys;

/// The routes, services and profiles in force, in matching order.
#[derive(Debug, Default)]
pub struct Routes {
    /// Routes by host name, sorted by host and then from the longest path prefix to the shortest.
    hosts: Vec<HostRoute>,
    routes: Vec<ServiceRoute>,
    head_max_bytes: Option<usize>,
    keys: Keys,
}

/// A route of one host name.
#[derive(Debug)]
struct HostRoute {
    /// The host name in lower case.
    host: String,
    path_prefix: String,
    /// Identifies the kind of the route's requests. As a hash of the route's name, it stays the
    /// same in later versions of the routes.
    kind: u64,
    treatment: Treatment,
    is_public: bool,
    split: Split,
}

/// The weighted distribution of a route's requests over services.
#[derive(Debug)]
struct Split {
    /// Each service with the cumulative weight up to and including its own, from 0 to 1.
    parts: Vec<(f64, Arc<Service>)>,
    /// Number of requests distributed so far, plus a start that differs between hosts.
    count: AtomicU64,
}

/// Multiples of the golden ratio, modulo 1, cover the unit interval evenly at every length of the
/// sequence, so that shares are met more closely than by independent draws.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

impl Split {
    fn new(shares: &[config::WeightedService], services: &[Arc<Service>], start: u64) -> Split {
        let total: f64 = shares.iter().map(|s| s.weight.max(0.0)).sum();
        let mut sum = 0.0;
        let mut parts = Vec::with_capacity(shares.len());
        for share in shares.iter().filter(|s| s.weight > 0.0) {
            sum += share.weight / total;
            if let Some(service) = services.iter().find(|s| s.name == share.service) {
                parts.push((sum, service.clone()));
            }
        }
        Split { parts, count: AtomicU64::new(start) }
    }

    fn next(&self) -> Option<&Arc<Service>> {
        if let [(_, only)] = &self.parts[..] {
            return Some(only);
        }
        let count = self.count.fetch_add(1, Ordering::Relaxed);
        let point = (count as f64 * GOLDEN_RATIO).fract();
        let part = self.parts.iter().find(|(sum, _)| point < *sum).or(self.parts.last());
        part.map(|(_, service)| service)
    }
}

/// Exclusive bound of the hosts' starts in the sequence of a [`Split`].
const SEQUENCE_START_MAX: u64 = 1 << 20;

#[derive(Debug)]
struct ServiceRoute {
    service: Arc<Service>,
    /// The rules of the profile, in order: methods (none for all), path pattern and treatment.
    rules: Vec<(Vec<String>, WildMatch, Treatment)>,
    otherwise: Treatment,
}

/// A request's service and treatment.
#[derive(Clone, Debug)]
pub struct Match<'a> {
    /// The service that the request goes to.
    pub service: &'a Arc<Service>,
    /// How the request is treated.
    pub treatment: &'a Treatment,
    /// Identifies the kind of request: that of its route by host name, or 0 for all requests of a
    /// service that matched no such route.
    pub kind: u64,
    /// Whether its requests need no key where others need one.
    pub is_public: bool,
}

impl Routes {
    /// Creates the routes of the services whose profile is known.
    pub fn new(services: &[Arc<Service>], profiles: &[Arc<Profile>]) -> Routes {
        let find = |name: &str| profiles.iter().find(|p| *p.name == *name);
        let mut routes: Vec<ServiceRoute> =
            services.iter().filter_map(|s| Some(route(s, find(&s.profile)?))).collect();
        routes.sort_by_key(|r| {
            let prefix = r.service.path_prefix.trim_end_matches('/').len();
            std::cmp::Reverse((!r.service.hosts.is_empty(), prefix))
        });
        Routes { routes, ..Routes::default() }
    }

    /// Adds routes by host name, which are matched before the others. `start` determines where this
    /// host begins in each route's distribution sequence. Hosts with different starts don't send
    /// their requests to the same service in step.
    #[must_use]
    pub fn with_routing(mut self, routing: &Routing, start: u64) -> Routes {
        let services: Vec<Arc<Service>> = routing.services.iter().cloned().map(Arc::new).collect();
        let route = |r: &config::Route| HostRoute {
            host: without_port(&r.host).to_ascii_lowercase(),
            path_prefix: r.path_prefix.clone(),
            kind: XxHash64::oneshot(0, r.name.as_bytes()),
            treatment: r.treatment.clone(),
            is_public: r.public,
            split: Split::new(&r.split, &services, start % SEQUENCE_START_MAX),
        };
        self.hosts = routing.routes.iter().map(route).collect();
        self.hosts.sort_by(|a, b| {
            let lengths = b.path_prefix.len().cmp(&a.path_prefix.len());
            a.host.cmp(&b.host).then(lengths)
        });
        self.head_max_bytes = usize::try_from(routing.head_max_bytes).ok().filter(|&max| max > 0);
        self
    }

    /// Sets whether requests need a key, and of whom.
    #[must_use]
    pub fn with_keys(self, keys: Keys) -> Routes {
        Routes { keys, ..self }
    }

    /// Returns whether requests need a key, and of whom.
    pub fn keys(&self) -> &Keys {
        &self.keys
    }

    /// Returns the largest request head in bytes, if the routing limits it.
    pub fn head_max_bytes(&self) -> Option<usize> {
        self.head_max_bytes
    }

    fn find_host_route(&self, host: &str, path: &str) -> Option<&HostRoute> {
        if self.hosts.is_empty() {
            return None;
        }
        let host = host.to_ascii_lowercase();
        let first = self.hosts.partition_point(|r| r.host < host);
        let mut of_host = self.hosts[first..].iter().take_while(|r| r.host == host);
        of_host.find(|r| path.starts_with(&r.path_prefix))
    }

    /// Finds the route by host name, if one matches, and the next service in its distribution.
    /// Otherwise finds the service with the longest path prefix among those that name the host, or
    /// else among those for every host, and the first matching rule of its profile. `host` may
    /// carry a port.
    pub fn find(&self, host: &str, method: &str, path: &str) -> Option<Match<'_>> {
        let host = without_port(host);
        if let Some(route) = self.find_host_route(host, path) {
            return Some(Match {
                service: route.split.next()?,
                treatment: &route.treatment,
                kind: route.kind,
                is_public: route.is_public,
            });
        }
        let route = self.routes.iter().find(|r| is_served_by(&r.service, host, path))?;
        let rule = route.rules.iter().find(|(methods, pattern, _)| {
            (methods.is_empty() || methods.iter().any(|m| m == method)) && pattern.matches(path)
        });
        let treatment = rule.map_or(&route.otherwise, |(_, _, treatment)| treatment);
        Some(Match { service: &route.service, treatment, kind: 0, is_public: false })
    }
}

fn route(service: &Arc<Service>, profile: &Profile) -> ServiceRoute {
    let rules = profile.rules.iter();
    ServiceRoute {
        service: service.clone(),
        rules: rules
            .map(|r| (r.methods.clone(), WildMatch::new(&r.path), r.treatment.clone()))
            .collect(),
        otherwise: profile.otherwise.clone(),
    }
}

/// Removes the port, and the brackets of an IPv6 address, from a host name or address.
fn without_port(host: &str) -> &str {
    if let Some(rest) = host.strip_prefix('[') {
        return rest.split(']').next().unwrap_or(rest);
    }
    match host.split_once(':') {
        Some((name, port)) if !port.contains(':') => name,
        _ => host,
    }
}

fn is_served_by(service: &Service, host: &str, path: &str) -> bool {
    let names_host = service.hosts.is_empty()
        || service.hosts.iter().any(|h| without_port(h).eq_ignore_ascii_case(host));
    names_host && is_under_prefix(path, service.path_prefix.trim_end_matches('/'))
}

fn is_under_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
