//! End-to-end tests of the operators' view of running hosts: the tool and the admin interface.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

use serde_json::{Value, json};

#[path = "../examples/standin/mod.rs"]
mod standin;

mod harness;

use harness::{Daemon, call, send_raw, status_of};
use standin::upstream::{Behaviour, Upstream};

/// An address on which nothing listens.
const UNUSED_ADDRESS: &str = "127.0.0.1:1";

/// Starts a daemon with one stand-in upstream.
async fn start_daemon() -> Daemon {
    let local = "127.0.0.1:0".parse().expect("an address");
    let upstream = Upstream::start(local, 4, Behaviour::default()).await;
    let address = upstream.address;
    let start = move || Daemon::start(&[address], json!({}), json!({}), json!({}));
    tokio::task::spawn_blocking(start).await.expect("a daemon")
}

fn tool(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cornelferry"));
    command.args(args).output().expect("the tool")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn document(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).expect("a document")
}

fn get(daemon: &Daemon, path: &str) -> String {
    let req = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    send_raw(daemon.admin, req.as_bytes()).expect("a response")
}

#[tokio::test(flavor = "multi_thread")]
async fn status_shows_hosts_and_names_unreachable_ones() {
    let daemon = start_daemon().await;
    call(&daemon, "GET", "/", "r1").await;
    let admin = daemon.admin.to_string();
    let output = tool(&["status", "--admin", &admin, "--admin", UNUSED_ADDRESS]);
    assert_eq!(output.status.code(), Some(0));
    let (table, errors) = (text(&output.stdout), text(&output.stderr));
    assert!(table.lines().all(|l| l.chars().count() <= 100), "{table}");
    assert!(table.contains("entry-1") && table.contains("service/s") && table.contains("u0"));
    assert!(errors.contains(UNUSED_ADDRESS), "{errors}");
    let status =
        document(&tool(&["status", "--json", "--admin", &admin, "--admin", UNUSED_ADDRESS]));
    let upstream = &status["hosts"][0]["services"][0]["upstreams"][0];
    assert_eq!((&upstream["state"], &upstream["in_flight"]), (&json!("live"), &json!(0)));
    assert_eq!(status["hosts"][0]["phase"], json!("ready"));
    assert_eq!(status["unreachable"][0]["admin"], json!(UNUSED_ADDRESS));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_timeline_shows_one_request_from_acceptance_to_response() {
    let daemon = start_daemon().await;
    for id in ["r1", "r2"] {
        call(&daemon, "GET", "/", id).await;
    }
    let admin = daemon.admin.to_string();
    let args = ["timeline", "--admin", &admin, "--admin", UNUSED_ADDRESS, "--request", "r2"];
    let output = tool(&args);
    let table = text(&output.stdout);
    assert!(table.lines().all(|l| l.chars().count() <= 100), "{table}");
    assert!(table.contains("request accepted") && !table.contains("request=r1"));
    assert!(text(&output.stderr).contains(UNUSED_ADDRESS));
    let timeline = document(&tool(&[&args[..], &["--json", "--since", "5m"]].concat()));
    let events = timeline["events"].as_array().expect("events");
    let codes: Vec<u64> = events.iter().filter_map(|e| e["code"].as_u64()).collect();
    assert_eq!((codes.first(), codes.last()), (Some(&2001), Some(&2007)));
    assert!(events.iter().all(|e| e["request"] == json!("r2")));
}

#[test]
fn the_exit_status_tells_why_a_command_failed() {
    for command in ["status", "timeline"] {
        assert_eq!(tool(&[command, "--admin", UNUSED_ADDRESS]).status.code(), Some(5));
        assert_eq!(tool(&[command, "--host-list", UNUSED_ADDRESS]).status.code(), Some(5));
        assert_eq!(tool(&[command]).status.code(), Some(2));
    }
    assert_eq!(tool(&["replay", "absent.jsonl"]).status.code(), Some(2));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_admin_address_serves_metrics_and_rejects_unknown_filters() {
    let daemon = start_daemon().await;
    call(&daemon, "GET", "/", "r1").await;
    let bad = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
                x-cornelferry-deadline-ms: soon\r\n\r\n";
    assert_eq!(status_of(&send_raw(daemon.caller, bad).expect("a response")), Some(400));
    let metrics = get(&daemon, "/metrics");
    for line in [
        "cornelferry_requests_total{code=\"1000\",service=\"s\"} 1",
        "cornelferry_requests_total{code=\"2016\",service=\"\"} 1",
        "cornelferry_attempts_total{ended=\"answered\",service=\"s\"} 1",
        "cornelferry_request_seconds_count{outcome=\"answered\",service=\"s\"} 1",
        "cornelferry_in_flight{service=\"s\"} 0",
        "cornelferry_waiting{service=\"s\"} 0",
    ] {
        assert!(metrics.contains(line), "{line}\n{metrics}");
    }
    assert_eq!(status_of(&get(&daemon, "/events?limit=1")), Some(200));
    assert_eq!(status_of(&get(&daemon, "/events?colour=red")), Some(400));
    assert_eq!(status_of(&get(&daemon, "/events?limit=-1")), Some(400));
    assert_eq!(status_of(&get(&daemon, "/healthz")), Some(200));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_trace_is_recorded_for_a_single_reader_and_can_be_replayed() {
    let daemon = start_daemon().await;
    let mut reader = Command::new(env!("CARGO_BIN_EXE_cornelferry"))
        .args(["trace", "--admin", &daemon.admin.to_string(), "--for", "1m"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the tool");
    let mut lines = BufReader::new(reader.stdout.take().expect("a pipe"));
    let mut trace = Vec::new();
    lines.read_until(b'\n', &mut trace).expect("the header");
    assert_eq!(status_of(&get(&daemon, "/trace")), Some(409));
    for id in ["r1", "r2"] {
        call(&daemon, "GET", "/", id).await;
    }
    while text(&trace).matches("\"code\":2007").count() < 2 {
        assert_ne!(lines.read_until(b'\n', &mut trace).expect("a line"), 0);
    }
    reader.kill().expect("the tool");
    reader.wait().expect("the tool");
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("recorded.jsonl");
    let replay = |trace: &[u8]| {
        std::fs::write(&path, trace).expect("a file");
        tool(&["replay", path.to_str().expect("text"), "--seed", "7"])
    };
    let output = replay(&trace);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stdout));
    let upstream_runs = "{\"at\":0,\"ran\":{\"request\":\"r1\",\"upstream\":\"u0\",\"times\":2}}\n";
    let caller_result = "{\"at\":0,\"told\":{\"request\":\"r1\",\"idempotent\":false,\
                \"outcome\":\"unknown\",\"code\":3001}}\n";
    let output = replay(&[&trace, upstream_runs.as_bytes(), caller_result.as_bytes()].concat());
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stdout).contains("at-most-once: request r1 ran 2 times"));
    assert!(text(&output.stderr).starts_with("5006: "));
}
