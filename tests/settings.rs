//! Tests of the settings: all faults are reported at once, each with its location, and no input
//! makes the parser panic.

use std::process::Command;

use cornelferry::settings::Settings;
use cornelferry::shedding::Shedding;
use proptest::prelude::*;
use serde_json::{Value, json};

fn valid_settings() -> Value {
    serde_json::from_str(include_str!("../examples/entry.json")).expect("valid JSON")
}

/// Sets values in the valid settings, and returns the JSON pointers of the resulting faults,
/// sorted.
fn fault_pointers(changes: &[(&str, Value)]) -> Vec<String> {
    let mut document = valid_settings();
    for (pointer, value) in changes {
        let (parent, field) = pointer.rsplit_once('/').expect("a pointer");
        document.pointer_mut(parent).expect("an object")[field] = value.clone();
    }
    let faults = Settings::parse(&document.to_string()).expect_err("faults");
    let mut pointers: Vec<String> = faults.into_iter().map(|f| f.pointer).collect();
    pointers.sort();
    pointers
}

#[test]
fn the_example_has_no_faults() {
    assert!(Settings::parse(&valid_settings().to_string()).is_ok());
}

#[test]
fn schema_faults_are_reported_at_once() {
    let changes = [
        ("/caller", json!("nowhere")),
        ("/colour", json!("red")),
        ("/limits", json!({"workers": -1, "colour": 1})),
        ("/profiles/0/otherwise/priority", json!("high")),
        ("/services/0/upstreams/1/address", json!("127.0.0.1")),
        ("/services/0/slots", json!("six")),
    ];
    assert_eq!(
        fault_pointers(&changes),
        [
            "/caller",
            "/colour",
            "/limits/colour",
            "/limits/workers",
            "/profiles/0/otherwise/priority",
            "/services/0/slots",
            "/services/0/upstreams/1/address"
        ]
    );
}

#[test]
fn invalid_values_are_reported_at_once() {
    let changes = [
        ("/host", json!("")),
        ("/fleet_size_max", json!(0)),
        ("/limits", json!({"workers": 0, "events": u64::MAX})),
        ("/services/0/profile", json!("absent")),
        ("/services/0/retry_share", json!(1.5)),
        ("/services/0/upstreams/1/name", json!("dispatch-1")),
        ("/profiles/0/rules/0/path", json!("tides")),
        ("/profiles/0/otherwise/deadline_ms", json!(u64::MAX)),
        ("/profiles/0/otherwise/hedge", json!(true)),
    ];
    assert_eq!(
        fault_pointers(&changes),
        [
            "/fleet_size_max",
            "/host",
            "/limits/events",
            "/limits/workers",
            "/profiles/0/otherwise/deadline_ms",
            "/profiles/0/otherwise/hedge",
            "/profiles/0/rules/0/path",
            "/services/0/profile",
            "/services/0/retry_share",
            "/services/0/upstreams/1/name"
        ]
    );
}

#[test]
fn the_fault_of_a_number_out_of_range_has_its_location() {
    assert_eq!(fault_pointers(&[("/services/0/slots", json!(1e30))]), ["/services/0/slots"]);
}

#[test]
fn reasons_list_the_allowed_values_and_are_truncated() {
    let reason = |field: &str, value: Value| {
        let mut document = valid_settings();
        document[field] = value;
        let faults = Settings::parse(&document.to_string()).expect_err("a fault");
        faults[0].to_string()
    };
    assert!(reason("policy", json!("best")).contains("\"two-local\""));
    assert!(reason("host", json!(["x".repeat(100_000)])).chars().count() < 300);
}

#[test]
fn shedding_is_by_objective_unless_set() {
    let parse = |limits: Value| {
        let mut document = valid_settings();
        document["limits"] = limits;
        Settings::parse(&document.to_string()).map(|settings| settings.limits.shedding)
    };
    assert_eq!(parse(json!({})), Ok(Shedding::Objective));
    assert_eq!(parse(json!({"shedding": "least-cost"})), Ok(Shedding::LeastCost));
    let faults = parse(json!({"shedding": "least"})).expect_err("a fault");
    assert_eq!(faults[0].pointer, "/limits/shedding");
}

#[test]
fn deeply_nested_documents_are_rejected() {
    for text in ["[".repeat(100_000), "{\"a\":".repeat(100_000)] {
        assert!(Settings::parse(&text).is_err());
    }
}

#[test]
fn platform_faults_are_reported_at_once() {
    let platform = json!({ "key_value": [], "calls_per_second": 0, "claims_per_second": -1 });
    assert_eq!(
        fault_pointers(&[("/platform", platform)]),
        ["/platform/calls_per_second", "/platform/claims_per_second", "/platform/key_value"]
    );
}

#[test]
fn the_check_command_prints_every_fault_and_exits_with_2() {
    let dir = env!("CARGO_TARGET_TMPDIR");
    let path = format!("{dir}/faults.json");
    let mut document = valid_settings();
    document["host"] = json!("");
    document["fleet_size_max"] = json!(0);
    std::fs::write(&path, document.to_string()).expect("a file");
    let check = |path: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_cornelferry"));
        let output = command.args(["check", path]).output().expect("the tool");
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    let (status, printed) = check(&path);
    assert_eq!(status, Some(2));
    assert!(printed.starts_with("4001: "), "{printed}");
    assert!(printed.contains("\n  /host: ") && printed.contains("\n  /fleet_size_max: "));
    assert_eq!(check(&format!("{dir}/absent.json")).0, Some(2));
    assert_eq!(check("examples/entry.json"), (Some(0), String::new()));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn parsing_arbitrary_text_never_panics(text: String) {
        let _ = Settings::parse(&text);
    }

    #[test]
    fn parsing_a_damaged_document_never_panics(
        at in 0_usize..10_000,
        with in "[0-9a-z\"{}\\[\\],:.-]{0,3}"
    ) {
        let text = valid_settings().to_string();
        let at = at % text.len();
        let _ = Settings::parse(&format!("{}{with}{}", &text[..at], &text[at + 1..]));
    }
}
