//! Which service a request belongs to, and how it is treated.

use std::sync::Arc;

use wildmatch::WildMatch;

use crate::config::{Profile, Service, Treatment};

/// The services and profiles in force, in the order in which requests are matched.
#[derive(Debug, Default)]
pub struct Routes {
    routes: Vec<Route>,
}

#[derive(Debug)]
struct Route {
    service: Arc<Service>,
    rules: Vec<(Vec<String>, WildMatch, Treatment)>,
    otherwise: Treatment,
}

/// A request's service and treatment.
#[derive(Clone, Debug)]
pub struct Match<'a> {
    /// The service.
    pub service: &'a Arc<Service>,
    /// The treatment.
    pub treatment: &'a Treatment,
}

impl Routes {
    /// Builds the routes of the services whose profile is known.
    pub fn new(services: &[Arc<Service>], profiles: &[Arc<Profile>]) -> Routes {
        let find = |name: &str| profiles.iter().find(|p| *p.name == *name);
        let mut routes: Vec<Route> =
            services.iter().filter_map(|s| Some(route(s, find(&s.profile)?))).collect();
        routes.sort_by_key(|r| {
            let prefix = r.service.path_prefix.trim_end_matches('/').len();
            std::cmp::Reverse((!r.service.hosts.is_empty(), prefix))
        });
        Routes { routes }
    }

    /// Finds the service with the longest path prefix among those that name the host, else among
    /// those for every host, and the first rule that matches. `host` may carry a port.
    pub fn find(&self, host: &str, method: &str, path: &str) -> Option<Match<'_>> {
        let host = without_port(host);
        let route = self.routes.iter().find(|r| serves(&r.service, host, path))?;
        let rule = route.rules.iter().find(|(methods, pattern, _)| {
            (methods.is_empty() || methods.iter().any(|m| m == method)) && pattern.matches(path)
        });
        let treatment = rule.map_or(&route.otherwise, |(_, _, treatment)| treatment);
        Some(Match { service: &route.service, treatment })
    }
}

fn route(service: &Arc<Service>, profile: &Profile) -> Route {
    let rules = profile.rules.iter();
    Route {
        service: service.clone(),
        rules: rules
            .map(|r| (r.methods.clone(), WildMatch::new(&r.path), r.treatment.clone()))
            .collect(),
        otherwise: profile.otherwise.clone(),
    }
}

/// Returns a host name or address without a port, and without the brackets of an IPv6 address.
fn without_port(host: &str) -> &str {
    if let Some(rest) = host.strip_prefix('[') {
        return rest.split(']').next().unwrap_or(rest);
    }
    match host.split_once(':') {
        Some((name, port)) if !port.contains(':') => name,
        _ => host,
    }
}

fn serves(service: &Service, host: &str, path: &str) -> bool {
    let named = service.hosts.is_empty()
        || service.hosts.iter().any(|h| without_port(h).eq_ignore_ascii_case(host));
    named && under(path, service.path_prefix.trim_end_matches('/'))
}

fn under(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
