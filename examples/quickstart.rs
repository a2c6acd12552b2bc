//! Starts stand-in upstreams and an entry host in one process, and sends requests over sockets.
//!
//! In the second phase one upstream is ten times slower, in the third another one also drains. The
//! program prints the outcomes and latencies that callers saw, and how many bookings were run more
//! than once.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use bytes::Bytes;
use comfy_table::Table;
use cornelferry::header;
use cornelferry::settings::Settings;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use serde_json::json;

mod standin;

use standin::upstream::{Behaviour, Upstream};

/// The number of upstreams, as in Scogliera's crew-dispatch.
const UPSTREAMS: usize = 12;
/// The slots of each upstream, as in Scogliera's crew-dispatch.
const SLOTS: usize = 6;
/// Requests sent in each phase.
const REQUESTS: usize = 1_000;
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(2);

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// The result of a request, as its caller saw it.
#[derive(Debug)]
struct CallerResult {
    request: &'static str,
    outcome: String,
    code: String,
    latency: Duration,
}

#[tokio::main]
async fn main() -> Result<()> {
    let local = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut upstreams = Vec::new();
    for _ in 0..UPSTREAMS {
        upstreams.push(Upstream::start(local, SLOTS, Behaviour::default()).await);
    }
    let caller = free_address()?;
    let settings = settings(caller, free_address()?, &upstreams)?;
    std::thread::spawn(move || cornelferry::daemon::run(settings));
    let client = Client::builder(TokioExecutor::new()).build_http();
    wait_until_ready(&client, caller).await?;

    println!("{UPSTREAMS} upstreams with {SLOTS} slots each, callers at {caller}\n");
    let mut table = Table::new();
    table.set_header(["phase", "request", "outcome", "code", "count", "p50 ms", "p99 ms"]);
    add_rows(&mut table, "all well", send_all(&client, caller).await);
    upstreams[0].behaviour.lock().slowdown = 10.0;
    add_rows(&mut table, "one straggles", send_all(&client, caller).await);
    upstreams[1].behaviour.lock().draining = true;
    add_rows(&mut table, "and one drains", send_all(&client, caller).await);
    println!("{table}\n");

    tokio::time::sleep(Duration::from_secs(1)).await;
    let repeated = repeated_bookings(&upstreams);
    println!("bookings run more than once: {repeated}");
    anyhow::ensure!(repeated == 0, "{repeated} bookings were run more than once");
    Ok(())
}

/// Returns a loopback address whose port is free at present.
fn free_address() -> Result<SocketAddr> {
    Ok(std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?)
}

/// Returns the settings of the entry host.
fn settings(
    caller: SocketAddr,
    admin: SocketAddr,
    upstreams: &[Arc<Upstream>],
) -> Result<Settings> {
    let upstream = |(i, u): (usize, &Arc<Upstream>)| json!({ "name": format!("dispatch-{i}"), "address": u.address, "data_centre": "palermo" });
    let upstreams: Vec<_> = upstreams.iter().enumerate().map(upstream).collect();
    let document = json!({
        "host": "entry-1", "data_centre": "palermo", "caller": caller, "admin": admin,
        "services": [{
            "name": "crew-dispatch", "profile": "dispatch", "slots": SLOTS, "upstreams": upstreams,
        }],
        "profiles": [{
            "name": "dispatch",
            "rules": [{ "methods": ["GET"], "path": "/tides/*", "treatment": {
                "idempotent": true, "deadline_ms": 500, "wait_ms": 100,
                "priority": "urgent", "hedge": true,
            }}],
            "otherwise": { "idempotent": false, "deadline_ms": 2_000, "wait_ms": 200 },
        }],
    });
    Settings::parse(&document.to_string()).map_err(|faults| anyhow::anyhow!("{faults:?}"))
}

/// Waits until the entry host forwards requests successfully.
async fn wait_until_ready(client: &HttpClient, caller: SocketAddr) -> Result<()> {
    for _ in 0..100 {
        let res = client.get(format!("http://{caller}/tides/0").parse()?).await;
        if res.is_ok_and(|r| r.status().is_success()) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    anyhow::bail!("no response from the entry host at {caller}")
}

/// Sends the requests of a phase and returns the results of those that got a response.
async fn send_all(client: &HttpClient, caller: SocketAddr) -> Vec<CallerResult> {
    let mut sent = Vec::new();
    for i in 0..REQUESTS {
        sent.push(tokio::spawn(send(client.clone(), caller, i)));
        tokio::time::sleep(INTERVAL).await;
    }
    let mut results = Vec::new();
    for request in sent {
        results.extend(request.await.ok().and_then(Result::ok));
    }
    results
}

/// Sends one request: every tenth is a booking, the others are lookups.
async fn send(client: HttpClient, caller: SocketAddr, number: usize) -> Result<CallerResult> {
    let booking = number.is_multiple_of(10);
    let (request, method, path) =
        if booking { ("booking", "POST", "bookings") } else { ("lookup", "GET", "tides") };
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{caller}/{path}/{number}"))
        .header(header::REQUEST_ID, format!("{request}-{:016x}", rand::random::<u64>()))
        .body(Full::new(Bytes::new()))?;
    let start = Instant::now();
    let res = client.request(req).await?;
    let field = |name| {
        let value = res.headers().get(name).context("response header is missing")?;
        anyhow::Ok(value.to_str()?.to_owned())
    };
    let (outcome, code) = (field(header::OUTCOME)?, field(header::CODE)?);
    res.into_body().collect().await?;
    Ok(CallerResult { request, outcome, code, latency: start.elapsed() })
}

/// Adds a row with count and latencies for each kind of request, outcome and code.
fn add_rows(table: &mut Table, phase: &str, results: Vec<CallerResult>) {
    let mut groups: BTreeMap<(&str, String, String), Histogram<u64>> = BTreeMap::new();
    for r in results {
        let new = || Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds");
        let group = groups.entry((r.request, r.outcome, r.code)).or_insert_with(new);
        group.saturating_record(u64::try_from(r.latency.as_micros()).unwrap_or(u64::MAX));
    }
    for ((request, outcome, code), latency) in groups {
        let ms = |q| format!("{:.1}", latency.value_at_quantile(q) as f64 / 1_000.0);
        let count = latency.len().to_string();
        table.add_row([phase, request, &outcome, &code, &count, &ms(0.5), &ms(0.99)]);
    }
}

/// Returns how many times a booking was run again.
fn repeated_bookings(upstreams: &[Arc<Upstream>]) -> usize {
    let mut runs: Vec<String> = upstreams.iter().flat_map(|u| u.runs.lock().clone()).collect();
    runs.retain(|id| id.starts_with("booking"));
    runs.sort_unstable();
    runs.windows(2).filter(|pair| pair[0] == pair[1]).count()
}
