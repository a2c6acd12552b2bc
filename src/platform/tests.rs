//! Tests of decoding the platform's documents: examples from its documentation and malformed ones.

use std::time::Duration;

use proptest::prelude::*;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::{Client, ClientHooks, Consistency, config, registration};
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

const TENANTS: &str = r#""tenants":[
{"name":"huka270","apiKeys":["rjvz48wuakn2ftimaj3n","r26tta828m82thhkmgjq"],"priority":0,"ratePerS":283,
"burst":29.5},{"name":"kiva112","apiKeys":["w5m1cn02bq8x7e4tzy6d"]},{"name":"mote7","apiKeys":[]}],"#;

/// The config with teams.
fn config_with_teams() -> String {
    CONFIG.replacen(r#""limits""#, &format!(r#"{TENANTS}"limits""#), 1)
}

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
fn a_download_is_idempotent() {
    let text = CONFIG.replace(r#""kind":"non_idempotent""#, r#""kind":"download""#);
    let (_, routing) = config::decode(text.as_bytes()).expect("config");
    assert!(routing.routes.iter().all(|r| r.treatment.idempotent && r.treatment.hedge));
}

#[test]
fn teams_and_public_routes_are_decoded() {
    let (_, routing) = config::decode(CONFIG.as_bytes()).expect("config");
    assert!(routing.teams.is_none() && routing.routes.iter().all(|r| !r.public));
    let text = config_with_teams().replacen(r#""priority":2"#, r#""priority":2,"public":true"#, 1);
    let (_, routing) = config::decode(text.as_bytes()).expect("config");
    let public: Vec<bool> = routing.routes.iter().map(|r| r.public).collect();
    assert_eq!(public, [false, true]);
    let [large, plain, keyless] = &routing.teams.expect("a list")[..] else {
        panic!("three teams")
    };
    assert_eq!((&*large.name, large.priority), ("huka270", Some(Priority::Urgent)));
    assert_eq!((large.per_second, large.burst), (283.0, 29.5));
    assert_eq!(*large.keys[1], *"r26tta828m82thhkmgjq");
    assert_eq!((plain.priority, plain.per_second, plain.keys.len()), (None, 0.0, 1));
    assert_eq!((&*keyless.name, keyless.keys.len()), ("mote7", 0));
}

/// Guards against an empty list of teams that is taken for none, so that no request needs a key, and
/// against the same for what is no list.
#[test]
fn only_a_config_without_a_list_of_teams_needs_no_keys() {
    let with = |teams: &str| CONFIG.replacen(r#""limits""#, &format!("{teams}\"limits\""), 1);
    let teams = |text: &str| config::decode(text.as_bytes()).map(|(_, routing)| routing.teams);
    assert_eq!(teams(CONFIG), Ok(None));
    assert_eq!(teams(&with(r#""tenants":[],"#)), Ok(Some(Vec::new())));
    for no_list in ["null", "{}", "0", "false", r#""""#] {
        let fault = teams(&with(&format!(r#""tenants":{no_list},"#))).expect_err("a fault");
        assert_eq!(fault.pointer, "/tenants", "{no_list}");
    }
    for no_team in ["null", "{}", r#"{"name":"a","apiKeys":null}"#, r#"{"apiKeys":["k"]}"#] {
        let fault = teams(&with(&format!(r#""tenants":[{no_team}],"#))).expect_err("a fault");
        assert_eq!(fault.pointer, "/tenants/0", "{no_team}");
    }
    let keyless = teams(&with(r#""tenants":[{"name":"a"}],"#)).expect("a config");
    assert_eq!(keyless.map(|t| t[0].keys.len()), Some(0));
}

#[test]
fn a_config_with_faulty_teams_is_rejected_with_the_place_and_without_keys() {
    let replaced = |from: &str, to: &str| {
        let text = config_with_teams();
        assert!(text.contains(from), "{from}");
        text.replacen(from, to, 1)
    };
    let cases = [
        (replaced("w5m1cn02bq8x7e4tzy6d", "rjvz48wuakn2ftimaj3n"), "/tenants/1/apiKeys/0"),
        (replaced("r26tta828m82thhkmgjq", ""), "/tenants/0/apiKeys/1"),
        (replaced("r26tta828m82thhkmgjq", r"w5m1cn02bq8x7e4tzy6d\u0000"), "/tenants/0/apiKeys/1"),
        (replaced(r#"["w5m1cn02bq8x7e4tzy6d"]"#, r#""w5m1cn02bq8x7e4tzy6d""#), "/tenants/1"),
        (replaced(r#"["w5m1cn02bq8x7e4tzy6d"]"#, r#"{"w5m1cn02bq8x7e4tzy6d":1}"#), "/tenants/1"),
        (replaced(r#""priority":0"#, r#""priority":"w5m1cn02bq8x7e4tzy6d""#), "/tenants/0"),
        (replaced("283", "-1"), "/tenants/0/ratePerS"),
        (replaced("283", "1e300"), "/tenants/0/ratePerS"),
        (replaced("283", "1e999"), "/"),
        (replaced("29.5", "-0.1"), "/tenants/0/burst"),
        (replaced("kiva112", "huka270"), "/tenants/1/name"),
        (replaced(r#""tenants":["#, r#""tenants":"w5m1cn02bq8x7e4tzy6d","other":["#), "/tenants"),
    ];
    for (text, pointer) in cases {
        let fault = config::decode(text.as_bytes()).expect_err("a fault");
        assert_eq!(fault.pointer, pointer, "{fault}");
        assert!(!fault.to_string().contains("w5m1cn02bq8x7e4tzy6d"), "{fault}");
        assert!(!fault.to_string().contains("rjvz48wuakn2ftimaj3n"), "{fault}");
    }
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

    #[test]
    fn a_damaged_list_of_teams_never_panics_nor_gives_a_key_to_two(at in 0..TENANTS.len(), byte: u8) {
        let text = config_with_teams();
        let at = at + text.find(TENANTS).expect("teams");
        let mut bytes = text.into_bytes();
        bytes[at] = byte;
        if let Ok((_, routing)) = config::decode(&bytes) {
            let mut keys: Vec<&str> =
                routing.teams.iter().flatten().flat_map(|t| &t.keys).map(|k| &**k).collect();
            let count = keys.len();
            keys.sort_unstable();
            keys.dedup();
            prop_assert_eq!(keys.len(), count);
            prop_assert!(keys.iter().all(|k| !k.is_empty()));
        }
    }

    #[test]
    fn any_lists_of_keys_are_decoded_or_rejected_as_a_whole(
        lists in proptest::collection::vec(proptest::collection::vec("[ab]{0,2}", 0..4), 0..4),
    ) {
        let tenant = |(i, keys)| serde_json::json!({"name": format!("t{i}"), "apiKeys": keys});
        let tenants: Vec<_> = lists.iter().enumerate().map(tenant).collect();
        let list = format!(r#""tenants":{},"limits""#, serde_json::json!(tenants));
        let text = CONFIG.replacen(r#""limits""#, &list, 1);
        let mut keys: Vec<&String> = lists.iter().flatten().collect();
        keys.sort_unstable();
        let is_valid = keys.iter().all(|k| !k.is_empty()) && keys.windows(2).all(|k| k[0] != k[1]);
        prop_assert_eq!(config::decode(text.as_bytes()).is_ok(), is_valid);
    }
}

/// Guards against a large response that is given up although it arrives, and asked for again: on a link
/// of 10 Mbit/s a host never finished reading a config of many routes.
#[tokio::test]
async fn a_response_that_keeps_arriving_is_read_to_its_end() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let item = r#"{"key":"op/config","value":"aGVsbG8=","revision":7}"#;
    let body = format!(r#"{{"items":[{item}],"hasMore":false,"currentRev":7}}"#);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 1_024];
        assert!(stream.read(&mut buf).await.unwrap() > 0);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).await.unwrap();
        for piece in body.as_bytes().chunks(8) {
            tokio::time::sleep(Duration::from_millis(200)).await;
            stream.write_all(piece).await.unwrap();
        }
    });
    let client = Client::connect(address, 100.0, Box::new(|_| ()), ClientHooks::none());
    let read = client.list("", Consistency::Linearizable).await.expect("the whole response");
    assert_eq!(read.items[0].value.as_deref(), Some(&b"hello"[..]));
}
