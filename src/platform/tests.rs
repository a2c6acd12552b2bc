//! Tests of decoding the platform's documents: examples from its documentation and malformed ones.

use proptest::prelude::*;

use super::{config, registration};
use crate::config::Priority;
use crate::decide::upstream::State;

const CONFIG: &str = r#"{"version":7,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,
"headerTimeoutS":3,"idleTimeoutS":15},"listeners":[{"host":"ficu95.example","rules":[
{"name":"r-i9n73hh","kind":"non_idempotent","latencyGoalS":0.3,"priority":1,
"match":{"pathPrefix":"/pufi791/"},"action":{"service":"huvo11a","timeoutS":0.8,"maxAttempts":2}},
{"name":"r-x73d3zj","kind":"idempotent","latencyGoalS":0.25,"priority":2,
"match":{"pathPrefix":"/lohu930/"},"action":{"trafficSplit":[{"service":"huvo11a","weight":90},
{"service":"wuno96b","weight":10}],"timeoutS":1.2,"maxAttempts":2}}]}],"clusters":[
{"name":"huvo11a","healthPath":"/health","maxConnections":220,"protocol":"h1","tls":false},
{"name":"wuno96b","healthPath":"/health","maxConnections":220,"protocol":"h1","tls":false}]}"#;

const REGISTRATION: &str = r#"{"service":"huvo11a","address":"10.128.0.9:8080","zone":"palermo",
"version":"v1","slots":6,"state":"ready","coldRemainingS":0,"sequence":4,"born":1796342400000}"#;

#[test]
fn every_field_of_a_config_is_decoded() {
    let (version, routing) = config::decode(CONFIG.as_bytes()).expect("config");
    assert_eq!(version, 7);
    assert_eq!(routing.head_max_bytes, 16_384);
    let [booking, report] = &routing.routes[..] else { panic!("two routes") };
    assert_eq!((&*booking.host, &*booking.path_prefix), ("ficu95.example", "/pufi791/"));
    assert!(!booking.treatment.idempotent && !booking.treatment.hedge);
    assert_eq!((booking.treatment.deadline_ms, booking.treatment.objective_ms), (800, 300));
    assert_eq!(booking.treatment.priority, Priority::Normal);
    assert!(report.treatment.idempotent);
    assert_eq!(report.treatment.attempts, 2);
    let weights: Vec<f64> = report.split.iter().map(|s| s.weight).collect();
    assert_eq!(weights, [90.0, 10.0]);
    let [service, _] = &routing.services[..] else { panic!("two services") };
    assert_eq!((service.connections, &*service.measure.path), (220, "/health"));
}

#[test]
fn a_service_whose_upstreams_warm_up_says_so() {
    let (_, routing) = config::decode(CONFIG.as_bytes()).expect("config");
    let [plain, _] = &routing.services[..] else { panic!("two services") };
    assert_eq!((plain.warm_up_per_second, &*plain.warm_up_header), (0.0, ""));
    let text = CONFIG.replacen(r#""tls":false"#, r#""tls":false,"warmupS":12,"warmupPerS":7.8"#, 1);
    let (_, routing) = config::decode(text.as_bytes()).expect("config");
    let [warming, plain_still] = &routing.services[..] else { panic!("two services") };
    assert_eq!(warming.warm_up_per_second, 7.8);
    assert_eq!(warming.warm_up_header, "x-cold-remaining-ms");
    assert_eq!(plain_still.warm_up_per_second, 0.0);
}

#[test]
fn a_rule_of_unknown_kind_is_not_idempotent() {
    let text = CONFIG.replace(r#""kind":"idempotent""#, r#""kind":"of-another-release""#);
    let (_, routing) = config::decode(text.as_bytes()).expect("config");
    assert!(routing.routes.iter().all(|r| !r.treatment.idempotent));
}

#[test]
fn a_registration_is_decoded_into_an_upstream() {
    let (host, beat) =
        registration::decode("servers/i-7f3a91c2", REGISTRATION.as_bytes()).expect("registration");
    assert_eq!((&*host.name, host.slots, host.state), ("i-7f3a91c2", 6, State::Live));
    assert_eq!(host.service.as_deref(), Some("huvo11a"));
    assert_eq!((host.born, beat.sequence), (Some(1_796_342_400_000), Some(4)));
    assert_eq!(beat.cold_seconds, Some(0.0));
    let cold = REGISTRATION.replace(r#""coldRemainingS":0"#, r#""coldRemainingS":7.25"#);
    let (same, beat) =
        registration::decode("servers/i-7f3a91c2", cold.as_bytes()).expect("registration");
    assert_eq!((same, beat.cold_seconds), (host.clone(), Some(7.25)));
    let draining = REGISTRATION.replace("ready", "draining");
    let (host, _) =
        registration::decode("servers/i-7f3a91c2", draining.as_bytes()).expect("registration");
    assert_eq!(host.state, State::Leaving);
}

#[test]
fn a_malformed_registration_is_ignored() {
    let malformed = [
        REGISTRATION.replace(r#""state":"ready""#, r#""state":"resting""#),
        REGISTRATION.replace(r#""state":"ready","#, ""),
        REGISTRATION.replace("10.128.0.9:8080", "palermo-9"),
        REGISTRATION.replace(r#""slots":6"#, r#""slots":"six""#),
        REGISTRATION[..40].to_owned(),
        "null".to_owned(),
    ];
    for text in malformed {
        assert_eq!(registration::decode("servers/i-1", text.as_bytes()), None, "{text}");
    }
    assert_eq!(registration::decode("servers/", REGISTRATION.as_bytes()), None);
    assert_eq!(registration::decode("op/config", REGISTRATION.as_bytes()), None);
}

proptest! {
    #[test]
    fn decoding_any_bytes_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = config::decode(&bytes);
        let _ = registration::decode("servers/i-1", &bytes);
    }

    #[test]
    fn decoding_a_damaged_config_never_panics(at in 0..CONFIG.len(), byte: u8) {
        let mut bytes = CONFIG.as_bytes().to_vec();
        bytes[at] = byte;
        let _ = config::decode(&bytes);
        let _ = config::decode(&bytes[..at]);
    }
}
