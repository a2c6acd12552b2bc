//! Traces: every check fails when it should, and the recorded ones hold.

use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};

use cornelferry::error::Code;
use cornelferry::trace::{Invariant, Trace, check_recording, check_rerun};
use proptest::prelude::*;
use serde_json::{Value, json};

fn read(lines: &[Value]) -> Trace {
    let text: Vec<String> = lines.iter().map(|l| format!("{l}\n")).collect();
    Trace::read(text.concat().as_bytes()).expect("a trace")
}

fn header(outcomes: Value) -> Value {
    let host = json!({
        "host": "entry-1", "data_centre": "palermo", "fleet_size_max": 1,
        "policy": "random", "waiting_max": 100
    });
    json!({"at": 0, "header": {"format": 1, "host": host, "outcomes": outcomes}})
}

fn put(upstreams: Value) -> Value {
    let service = json!({
        "name": "s", "profile": "p", "upstreams": upstreams,
        "measure": {"probes_per_second": 1.0, "path": "/healthz", "timeout_ms": 500}
    });
    json!({"at": 10_000, "put": {"service": service}})
}

fn u1() -> Value {
    json!([{"name": "u1", "address": "127.0.0.1:1", "data_centre": "palermo"}])
}

fn offer(version: u64) -> Value {
    let service = json!({"name": "s", "profile": "p", "upstreams": u1()});
    let record = json!({
        "name": "s", "version": version, "change": "c", "author": "a",
        "body": {"service": service}
    });
    json!({"at": 0, "offer": {"record": record, "offered": "in-force"}})
}

fn event(at: u64, code: u16, value: Option<u64>) -> Value {
    let stamp = json!({"millis": 1, "count": 0});
    let event = json!({"seq": 1, "stamp": stamp, "code": code, "request": "r", "value": value});
    json!({"at": at, "event": event})
}

fn admit(at: u64, deadline: u64) -> Value {
    let request = json!({"priority": "normal", "deadline": deadline, "wait_until": deadline});
    json!({"at": at, "admit": {"service": "s", "request": request, "decision": {"run": "u1"}}})
}

fn finish(at: u64, draining: bool) -> Value {
    let latency = json!({"secs": 0, "nanos": 1_000_000});
    let report =
        json!({"ended": "answered", "latency": latency, "load": null, "draining": draining});
    json!({"at": at, "finish": {"service": "s", "upstream": "u1", "report": report}})
}

fn probe(at: u64) -> Value {
    json!({"at": at, "tick": {"probes": [{"service": "s", "upstream": "u1"}]}})
}

fn ran(times: u32) -> Value {
    json!({"at": 0, "ran": {"request": "r", "upstream": "u1", "times": times}})
}

fn told(idempotent: bool, outcome: &str) -> Value {
    let told = json!({"request": "r", "idempotent": idempotent, "outcome": outcome, "code": 1000});
    json!({"at": 0, "told": told})
}

/// A run in which everything holds.
fn sound() -> Vec<Value> {
    vec![
        header(json!({})),
        offer(1),
        put(u1()),
        event(1_000, 2001, Some(500)),
        admit(1_000, 501_000),
        event(2_000, 2003, Some(1)),
        finish(9_000, false),
        event(9_000, 2007, Some(1000)),
        ran(1),
        told(false, "answered"),
    ]
}

fn rules(lines: &[Value]) -> Vec<Invariant> {
    check_recording(&read(lines)).iter().map(|b| b.invariant).collect()
}

/// Returns the rules that the sound run breaches once lines have been added to it.
fn with(more: &[Value]) -> Vec<Invariant> {
    rules(&[&sound(), more].concat())
}

#[test]
fn a_sound_run_breaches_nothing() {
    assert_eq!(rules(&sound()), []);
    assert_eq!(check_rerun(&read(&sound()), 1), []);
}

#[test]
fn a_write_that_ran_twice_is_found_on_its_line() {
    let lines = [&sound()[..], &[ran(1)]].concat();
    let breaches = check_recording(&read(&lines));
    assert_eq!(
        (breaches.len(), breaches[0].line, breaches[0].invariant),
        (1, 10, Invariant::AtMostOnce)
    );
}

#[test]
fn a_read_may_run_twice() {
    let mut lines = sound();
    lines[9] = told(true, "answered");
    lines.push(ran(1));
    assert_eq!(rules(&lines), []);
}

#[test]
fn what_ran_may_not_be_called_not_run() {
    assert_eq!(with(&[told(true, "not-run")]), [Invariant::NotRun]);
}

#[test]
fn new_work_for_a_leaving_upstream_is_a_breach_after_the_bound_only() {
    let drained = finish(10_000, true);
    assert_eq!(with(&[drained.clone(), admit(2_010_000, 9_000_000)]), []);
    assert_eq!(with(&[drained, admit(2_010_001, 9_000_000)]), [Invariant::Leaving]);
    let leaves = json!({"at": 10_000, "leaves": {"service": "s", "upstream": "u1"}});
    assert_eq!(with(&[leaves, admit(3_000_000, 9_000_000)]), [Invariant::Leaving]);
    let listed = json!({"at": 10_000, "state":
        {"service": "s", "upstream": "u1", "state": "leaving"}});
    let back = json!({"at": 20_000, "state": {"service": "s", "upstream": "u1", "state": "live"}});
    assert_eq!(with(&[listed.clone(), admit(3_000_000, 9_000_000)]), [Invariant::Leaving]);
    assert_eq!(with(&[listed, back, admit(3_000_000, 9_000_000)]), []);
    assert_eq!(with(&[put(json!([])), admit(3_000_000, 9_000_000)]), [Invariant::Leaving]);
}

#[test]
fn a_peer_may_say_and_unsay_that_an_upstream_is_leaving() {
    let import = |leaving: bool| {
        let shared = json!({
            "service": "s", "upstream": "u1", "in_flight": 0, "load": null, "leaving": leaving
        });
        json!({"at": 10_000, "import": {"host": "entry-2", "shared": shared}})
    };
    let forget = json!({"at": 10_000, "forget": {"host": "entry-2"}});
    let late = admit(3_000_000, 9_000_000);
    assert_eq!(with(&[import(true), late.clone()]), [Invariant::Leaving]);
    assert_eq!(with(&[import(true), import(false), late.clone()]), []);
    assert_eq!(with(&[import(true), forget, late]), []);
}

#[test]
fn a_drained_upstream_is_new_once_nobody_listened_and_then_somebody_answered() {
    let probed = |ended: &str| {
        let latency = json!({"secs": 0, "nanos": 0});
        let report = json!({"ended": ended, "latency": latency, "load": null, "draining": false});
        json!({"at": 20_000, "probed": {"service": "s", "upstream": "u1", "report": report}})
    };
    let (drained, late) = (finish(10_000, true), admit(3_000_000, 9_000_000));
    let answered = [drained.clone(), probed("answered"), late.clone()];
    assert_eq!(with(&answered), [Invariant::Leaving]);
    assert_eq!(with(&[drained, probed("unconnected"), probed("answered"), late]), []);
}

#[test]
fn probes_beyond_the_rate_are_a_breach() {
    assert_eq!(with(&[probe(1_000_000), probe(2_000_000), probe(3_000_000)]), []);
    assert_eq!(with(&[probe(1_000_000), probe(1_900_000)]), [Invariant::ProbeBudget]);
}

#[test]
fn a_version_that_does_not_rise_is_a_breach() {
    assert_eq!(with(&[offer(2)]), []);
    assert_eq!(with(&[offer(2), offer(1)]), [Invariant::Version]);
}

#[test]
fn an_attempt_after_the_deadline_is_a_breach() {
    assert_eq!(with(&[event(500_000, 2003, Some(2))]), []);
    assert_eq!(with(&[event(520_000, 2003, Some(2))]), [Invariant::Deadline]);
    assert_eq!(with(&[admit(2_000, 1_000)]), [Invariant::Deadline]);
}

#[test]
fn an_accepted_request_has_one_answer() {
    assert_eq!(with(&[event(9_000, 2007, Some(1000))]), [Invariant::OneAnswer]);
    let mut lines = sound();
    lines.remove(7);
    assert_eq!(rules(&lines), [Invariant::OneAnswer]);
}

#[test]
fn a_trace_with_lost_lines_proves_nothing() {
    assert_eq!(with(&[json!({"at": 0, "lost": {"count": 3}})]), [Invariant::Complete]);
}

#[test]
fn a_rerun_holds_the_library_to_the_stated_outcomes() {
    let mut lines = sound();
    lines[0] = header(json!({"probe_burst": 0.0}));
    let put_at = lines.iter().position(|l| l.get("put").is_some()).expect("a put line");
    let mut two = u1();
    let other = json!({"name": "u2", "address": "127.0.0.1:2", "data_centre": "palermo"});
    two.as_array_mut().expect("array").push(other);
    lines[put_at] = put(two);
    lines.extend((1..300).map(|i| json!({"at": i * 10_000, "tick": {}})));
    lines.extend((0..20).map(|i| admit(3_000_000 + i, 9_000_000)));
    lines.push(json!({"at": 3_100_000, "tick": {}}));
    let breaches = check_rerun(&read(&lines), 7);
    assert!(!breaches.is_empty() && breaches.iter().all(|b| b.invariant == Invariant::ProbeBudget));
    assert_eq!(breaches, check_rerun(&read(&lines), 7));
}

/// Returns the recorded traces.
fn traces() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("traces");
    let files = folder.read_dir().expect("traces").map(|e| e.expect("a file").path());
    files.filter(|p| p.extension().is_some_and(|e| e == "jsonl")).collect()
}

#[test]
fn a_write_that_runs_again_is_found_in_every_recorded_trace() {
    assert!(traces().len() >= 9);
    for path in traces() {
        let text = std::fs::read_to_string(&path).expect("a file");
        let write = |l: &&str| l.contains("\"ran\":{\"request\":\"w");
        let again = text.lines().find(write).expect("a write");
        let trace = Trace::read(format!("{text}{again}\n").as_bytes()).expect("a trace");
        let rules: Vec<Invariant> = check_recording(&trace).iter().map(|b| b.invariant).collect();
        assert_eq!(rules, [Invariant::AtMostOnce], "{}", path.display());
    }
}

#[test]
fn every_recorded_trace_holds() {
    for path in traces() {
        let trace = Trace::read(BufReader::new(File::open(&path).expect("a file")));
        let trace = trace.unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        assert_eq!(check_recording(&trace), [], "{}", path.display());
        for seed in 1..=5 {
            assert_eq!(check_rerun(&trace, seed), [], "{} with seed {seed}", path.display());
        }
    }
}

#[test]
fn what_is_no_trace_is_refused_with_its_line() {
    let refused = |text: &str| Trace::read(text.as_bytes()).expect_err("refused");
    let first = header(json!({}));
    assert!(refused("").detail.contains("header is absent"));
    assert!(refused("{\"at\":0,\"tick\":{}}\n").detail.contains("line 1"));
    assert!(refused(&format!("{first}\n[]\n")).detail.contains("line 2"));
    assert!(
        refused(&first.to_string().replace("\"format\":1", "\"format\":9")).code == Code::Invalid
    );
    let deep = format!("{first}\n{}", "[".repeat(100_000));
    assert_eq!(refused(&deep).code, Code::Invalid);
    let long = format!("{first}\n\"{}", "x".repeat(2 << 20));
    assert!(refused(&long).detail.contains("size limits"));
}

proptest! {
    #[test]
    fn reading_arbitrary_bytes_never_panics(bytes: Vec<u8>) {
        let _ = Trace::read(&bytes[..]);
    }

    #[test]
    fn a_damaged_trace_never_panics(at in 0_usize..2_000, byte: u8, seed: u64) {
        let lines: Vec<String> = sound().iter().map(|l| format!("{l}\n")).collect();
        let mut bytes = lines.concat().into_bytes();
        let at = at % bytes.len();
        bytes[at] = byte;
        if let Ok(trace) = Trace::read(&bytes[..]) {
            check_recording(&trace);
            check_rerun(&trace, seed);
        }
    }

    #[test]
    fn lines_in_any_order_never_panic(order in Just(sound()).prop_shuffle(), seed: u64) {
        let lines = [vec![header(json!({}))], order].concat();
        let trace = read(&lines);
        check_recording(&trace);
        check_rerun(&trace, seed);
    }
}
