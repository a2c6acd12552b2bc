//! Matching of requests with services.

use std::sync::Arc;

use cornelferry::config::{Profile, Service};
use cornelferry::matching::Routes;
use proptest::prelude::*;

fn service(name: &str, hosts: &[&str], prefix: &str) -> Arc<Service> {
    Arc::new(Service {
        name: name.into(),
        profile: "p".into(),
        hosts: hosts.iter().map(|&h| h.to_owned()).collect(),
        path_prefix: prefix.to_owned(),
        ..Service::default()
    })
}

fn routes() -> Routes {
    let services = [
        service("any", &[], "/"),
        service("any-tides", &[], "/tides"),
        service("port", &["Dispatch.example"], "/"),
        service("port-book", &["dispatch.example"], "/book/"),
        service("six", &["[::1]"], "/"),
    ];
    let profile = Profile { name: "p".into(), ..Profile::default() };
    Routes::new(&services, &[Arc::new(profile)])
}

#[test]
fn a_listed_host_is_preferred_and_then_the_longest_prefix_of_whole_segments() {
    let cases = [
        ("dispatch.example", "/tides/1", "port"),
        ("DISPATCH.example:8080", "/book", "port-book"),
        ("dispatch.example", "/book/7", "port-book"),
        ("dispatch.example", "/booking", "port"),
        ("other.example", "/tides", "any-tides"),
        ("other.example:80", "/tides/x", "any-tides"),
        ("", "/tidesx", "any"),
        ("[::1]:8080", "/tides", "six"),
        ("[::1]", "/", "six"),
        ("::1", "/", "six"),
        ("[::2]", "/", "any"),
    ];
    let routes = routes();
    for (host, path, expected) in cases {
        let found = routes.find(host, "GET", path).expect("a service");
        assert_eq!(&*found.service.name, expected, "{host} {path}");
    }
}

proptest! {
    #[test]
    fn any_host_and_path_match_a_service_that_serves_them(host in ".{0,20}", path in "/.{0,20}") {
        let routes = routes();
        let found = routes.find(&host, "GET", &path).expect("the service for every host and path");
        let prefix = found.service.path_prefix.trim_end_matches('/');
        let rest = path.strip_prefix(prefix).expect("a path under the service's prefix");
        prop_assert!(rest.is_empty() || rest.starts_with('/'));
    }
}
