//! Tests of the checks on traces: each invariant is breached by a trace made for it, and holds in
//! the traces under `traces/`.

use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};

use cornelferry::error::Code;
use cornelferry::trace::{Invariant, Trace, check_recording, check_rerun};
use proptest::prelude::*;
use serde_json::{Value, json};

/// Reads a trace from lines that the functions below build. Times in them are in microseconds.
fn read(lines: &[Value]) -> Trace {
    let text: Vec<String> = lines.iter().map(|l| format!("{l}\n")).collect();
    Trace::read(text.concat().as_bytes()).expect("a trace")
}

fn header(limits: Value) -> Value {
    let host = json!({
        "host": "entry-1", "data_centre": "palermo", "fleet_size_max": 1,
        "policy": "random", "waiting_max": 100
    });
    json!({"at": 0, "header": {"format": 1, "host": host, "outcomes": limits}})
}

fn put(upstreams: Value) -> Value {
    let service = json!({
        "name": "s", "profile": "p", "upstreams": upstreams,
        "measure": {"probes_per_second": 1.0, "path": "/healthz", "timeout_ms": 500}
    });
    json!({"at": 10_000, "put": {"service": service}})
}

fn one_upstream() -> Value {
    json!([{"name": "u1", "address": "127.0.0.1:1", "data_centre": "palermo"}])
}

fn offer(version: u64) -> Value {
    let service = json!({"name": "s", "profile": "p", "upstreams": one_upstream()});
    let record = json!({
        "name": "s", "version": version, "change": "c", "author": "a",
        "body": {"service": service}
    });
    json!({"at": 0, "offer": {"record": record, "offered": "in-force"}})
}

/// Returns an event of request `r`: code 2001 is its acceptance, 2003 an attempt that is sent, and
/// 2007 the response to its caller.
fn event(at: u64, code: u16, value: Option<u64>) -> Value {
    let timestamp = json!({"millis": 1, "count": 0});
    let event = json!({"seq": 1, "stamp": timestamp, "code": code, "request": "r", "value": value});
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

fn upstream_runs(times: u32) -> Value {
    json!({"at": 0, "ran": {"request": "r", "upstream": "u1", "times": times}})
}

fn caller_result(idempotent: bool, outcome: &str) -> Value {
    let result =
        json!({"request": "r", "idempotent": idempotent, "outcome": outcome, "code": 1000});
    json!({"at": 0, "told": result})
}

/// Returns a run in which every invariant holds.
fn valid_run() -> Vec<Value> {
    vec![
        header(json!({})),
        offer(1),
        put(one_upstream()),
        event(1_000, 2001, Some(500)),
        admit(1_000, 501_000),
        event(2_000, 2003, Some(1)),
        finish(9_000, false),
        event(9_000, 2007, Some(1000)),
        upstream_runs(1),
        caller_result(false, "answered"),
    ]
}

/// Returns the invariants that a recorded run breaches.
fn breached(lines: &[Value]) -> Vec<Invariant> {
    check_recording(&read(lines)).iter().map(|b| b.invariant).collect()
}

/// Returns the invariants that the valid run breaches with `more` lines at its end.
fn breached_with(more: &[Value]) -> Vec<Invariant> {
    breached(&[&valid_run(), more].concat())
}

#[test]
fn a_valid_run_has_no_breach() {
    assert_eq!(breached(&valid_run()), []);
    assert_eq!(check_rerun(&read(&valid_run()), 1), []);
}

#[test]
fn a_write_that_ran_twice_is_a_breach_on_the_line_of_its_result() {
    let lines = [&valid_run()[..], &[upstream_runs(1)]].concat();
    let breaches = check_recording(&read(&lines));
    assert_eq!(
        (breaches.len(), breaches[0].line, breaches[0].invariant),
        (1, 10, Invariant::AtMostOnce)
    );
}

#[test]
fn a_read_may_run_twice() {
    let mut lines = valid_run();
    lines[9] = caller_result(true, "answered");
    lines.push(upstream_runs(1));
    assert_eq!(breached(&lines), []);
}

#[test]
fn a_request_that_ran_must_not_be_answered_not_run() {
    assert_eq!(breached_with(&[caller_result(true, "not-run")]), [Invariant::NotRun]);
}

#[test]
fn new_work_for_a_leaving_upstream_is_a_breach_only_after_the_bound() {
    let drained = finish(10_000, true);
    assert_eq!(breached_with(&[drained.clone(), admit(2_010_000, 9_000_000)]), []);
    assert_eq!(breached_with(&[drained, admit(2_010_001, 9_000_000)]), [Invariant::Leaving]);
    let leaves = json!({"at": 10_000, "leaves": {"service": "s", "upstream": "u1"}});
    assert_eq!(breached_with(&[leaves, admit(3_000_000, 9_000_000)]), [Invariant::Leaving]);
    let listed = json!({"at": 10_000, "state":
        {"service": "s", "upstream": "u1", "state": "leaving"}});
    let back = json!({"at": 20_000, "state": {"service": "s", "upstream": "u1", "state": "live"}});
    assert_eq!(breached_with(&[listed.clone(), admit(3_000_000, 9_000_000)]), [Invariant::Leaving]);
    assert_eq!(breached_with(&[listed, back, admit(3_000_000, 9_000_000)]), []);
    assert_eq!(breached_with(&[put(json!([])), admit(3_000_000, 9_000_000)]), [Invariant::Leaving]);
}

#[test]
fn a_peer_may_report_and_retract_that_an_upstream_is_leaving() {
    let import = |leaving: bool| {
        let shared = json!({
            "service": "s", "upstream": "u1", "in_flight": 0, "load": null, "leaving": leaving
        });
        json!({"at": 10_000, "import": {"host": "entry-2", "shared": shared}})
    };
    let forget = json!({"at": 10_000, "forget": {"host": "entry-2"}});
    let late_work = admit(3_000_000, 9_000_000);
    assert_eq!(breached_with(&[import(true), late_work.clone()]), [Invariant::Leaving]);
    assert_eq!(breached_with(&[import(true), import(false), late_work.clone()]), []);
    assert_eq!(breached_with(&[import(true), forget, late_work]), []);
}

#[test]
fn a_drained_upstream_is_live_again_once_it_refused_a_connection_and_then_answered() {
    let probed = |ended: &str| {
        let latency = json!({"secs": 0, "nanos": 0});
        let report = json!({"ended": ended, "latency": latency, "load": null, "draining": false});
        json!({"at": 20_000, "probed": {"service": "s", "upstream": "u1", "report": report}})
    };
    let (drained, late_work) = (finish(10_000, true), admit(3_000_000, 9_000_000));
    let answered = [drained.clone(), probed("answered"), late_work.clone()];
    assert_eq!(breached_with(&answered), [Invariant::Leaving]);
    assert_eq!(breached_with(&[drained, probed("unconnected"), probed("answered"), late_work]), []);
}

#[test]
fn probes_beyond_the_rate_are_a_breach() {
    assert_eq!(breached_with(&[probe(1_000_000), probe(2_000_000), probe(3_000_000)]), []);
    assert_eq!(breached_with(&[probe(1_000_000), probe(1_900_000)]), [Invariant::ProbeBudget]);
}

#[test]
fn a_version_that_does_not_rise_is_a_breach() {
    assert_eq!(breached_with(&[offer(2)]), []);
    assert_eq!(breached_with(&[offer(2), offer(1)]), [Invariant::Version]);
}

#[test]
fn an_attempt_after_the_deadline_is_a_breach() {
    assert_eq!(breached_with(&[event(500_000, 2003, Some(2))]), []);
    assert_eq!(breached_with(&[event(520_000, 2003, Some(2))]), [Invariant::Deadline]);
    assert_eq!(breached_with(&[admit(2_000, 1_000)]), [Invariant::Deadline]);
}

#[test]
fn an_accepted_request_has_exactly_one_response() {
    assert_eq!(breached_with(&[event(9_000, 2007, Some(1000))]), [Invariant::OneResponse]);
    let mut lines = valid_run();
    lines.remove(7);
    assert_eq!(breached(&lines), [Invariant::OneResponse]);
}

#[test]
fn lost_lines_are_a_breach() {
    assert_eq!(breached_with(&[json!({"at": 0, "lost": {"count": 3}})]), [Invariant::Complete]);
}

#[test]
fn a_rerun_checks_the_decisions_of_the_library() {
    let mut lines = valid_run();
    lines[0] = header(json!({"probe_burst": 0.0}));
    let put_at = lines.iter().position(|l| l.get("put").is_some()).expect("a put line");
    let mut upstreams = one_upstream();
    let other = json!({"name": "u2", "address": "127.0.0.1:2", "data_centre": "palermo"});
    upstreams.as_array_mut().expect("array").push(other);
    lines[put_at] = put(upstreams);
    lines.extend((1..300).map(|i| json!({"at": i * 10_000, "tick": {}})));
    lines.extend((0..20).map(|i| admit(3_000_000 + i, 9_000_000)));
    lines.push(json!({"at": 3_100_000, "tick": {}}));
    let breaches = check_rerun(&read(&lines), 7);
    assert!(!breaches.is_empty() && breaches.iter().all(|b| b.invariant == Invariant::ProbeBudget));
    assert_eq!(breaches, check_rerun(&read(&lines), 7));
}

/// Returns the paths of the recorded traces.
fn trace_paths() -> Vec<PathBuf> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("traces");
    let files = dir.read_dir().expect("traces").map(|e| e.expect("a file").path());
    files.filter(|p| p.extension().is_some_and(|e| e == "jsonl")).collect()
}

#[test]
fn a_second_run_of_a_write_is_found_in_every_recorded_trace() {
    // `examples/record` has nine scenarios.
    assert!(trace_paths().len() >= 9);
    for path in trace_paths() {
        let text = std::fs::read_to_string(&path).expect("a file");
        let write = |l: &&str| l.contains("\"ran\":{\"request\":\"w");
        let second_run = text.lines().find(write).expect("a write");
        let trace = Trace::read(format!("{text}{second_run}\n").as_bytes()).expect("a trace");
        let breached: Vec<Invariant> =
            check_recording(&trace).iter().map(|b| b.invariant).collect();
        assert_eq!(breached, [Invariant::AtMostOnce], "{}", path.display());
    }
}

#[test]
fn recorded_traces_have_no_breach() {
    for path in trace_paths() {
        let trace = Trace::read(BufReader::new(File::open(&path).expect("a file")));
        let trace = trace.unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        assert_eq!(check_recording(&trace), [], "{}", path.display());
        for seed in 1..=5 {
            assert_eq!(check_rerun(&trace, seed), [], "{} with seed {seed}", path.display());
        }
    }
}

#[test]
fn malformed_traces_are_rejected_with_the_line_number() {
    let error = |text: &str| Trace::read(text.as_bytes()).expect_err("malformed");
    let first = header(json!({}));
    assert!(error("").detail.contains("header is absent"));
    assert!(error("{\"at\":0,\"tick\":{}}\n").detail.contains("line 1"));
    assert!(error(&format!("{first}\n[]\n")).detail.contains("line 2"));
    assert!(
        error(&first.to_string().replace("\"format\":1", "\"format\":9")).code == Code::Invalid
    );
    let deep = format!("{first}\n{}", "[".repeat(100_000));
    assert_eq!(error(&deep).code, Code::Invalid);
    let long = format!("{first}\n\"{}", "x".repeat(2 << 20));
    assert!(error(&long).detail.contains("size limits"));
}

proptest! {
    #[test]
    fn reading_arbitrary_bytes_never_panics(bytes: Vec<u8>) {
        let _ = Trace::read(&bytes[..]);
    }

    #[test]
    fn a_damaged_trace_never_panics(at in 0_usize..2_000, byte: u8, seed: u64) {
        let lines: Vec<String> = valid_run().iter().map(|l| format!("{l}\n")).collect();
        let mut bytes = lines.concat().into_bytes();
        let at = at % bytes.len();
        bytes[at] = byte;
        if let Ok(trace) = Trace::read(&bytes[..]) {
            check_recording(&trace);
            check_rerun(&trace, seed);
        }
    }

    #[test]
    fn lines_in_any_order_never_panic(order in Just(valid_run()).prop_shuffle(), seed: u64) {
        let lines = [vec![header(json!({}))], order].concat();
        let trace = read(&lines);
        check_recording(&trace);
        check_rerun(&trace, seed);
    }
}
