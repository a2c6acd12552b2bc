//! An open-loop load generator: sends requests at a fixed mean rate and reports latencies.
//!
//! Each request carries its own service time, so that the latency floor (see [`floor`]) can be
//! computed for the same arrivals and service times.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clap::Parser;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

mod floor;

/// Sends requests at a fixed mean rate to addresses on loopback, in turn.
#[derive(Debug, Parser)]
struct Args {
    /// The first port
    #[arg(long, default_value_t = 18100)]
    port: u16,
    /// The number of consecutive ports
    #[arg(long, default_value_t = 1)]
    count: u16,
    /// Mean requests per second
    #[arg(long, default_value_t = 1_000.0)]
    rate: f64,
    /// The length of the measurement, in seconds
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// The length of the warm-up before it, in seconds
    #[arg(long, default_value_t = 1.0)]
    warm_up: f64,
    /// The mean of the exponentially distributed service times, in microseconds; 0 for none
    #[arg(long, default_value_t = 20_000)]
    mean_us: u64,
    /// The slots of all upstreams, for the latency floor; 0 to leave it out
    #[arg(long, default_value_t = 0)]
    slots: usize,
    /// The share of requests that are POSTs, which are not idempotent
    #[arg(long, default_value_t = 0.1)]
    posts: f64,
    /// A label for the printed table row
    #[arg(long, default_value = "")]
    label: String,
    /// The seed for arrivals, service times and methods
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// A planned request.
#[derive(Clone, Copy, Debug)]
struct PlannedRequest {
    /// The arrival time, from the start.
    at: Duration,
    service_time: Duration,
    post: bool,
}

/// The results of the measured requests.
#[derive(Debug)]
struct Totals {
    /// Latencies in microseconds, of failed requests too.
    latency: Histogram<u64>,
    /// Requests without a complete response of a success status.
    errors: u64,
    /// Requests that hadn't ended when the program stopped waiting.
    unfinished: u64,
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let requests = plan(&args);
    let rt = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client: HttpClient = Client::builder(TokioExecutor::new()).build(connector);
    let totals = Arc::new(Mutex::new(Totals {
        latency: Histogram::new_with_bounds(1, 60_000_000, 3)?,
        errors: 0,
        unfinished: 0,
    }));
    let start = Instant::now();
    for (i, request) in requests.iter().enumerate() {
        let due = start + request.at;
        sleep_until(due);
        let port = args.port + u16::try_from(i % usize::from(args.count))?;
        let measured = request.at.as_secs_f64() >= args.warm_up;
        rt.spawn(send(client.clone(), port, i, *request, due, measured.then(|| totals.clone())));
    }
    let planned = requests.iter().filter(|r| r.at.as_secs_f64() >= args.warm_up).count() as u64;
    wait_for_results(&totals, planned);
    report(&args, &requests, &mut totals.lock(), planned);
    rt.shutdown_background();
    Ok(())
}

/// Draws arrivals (a Poisson process) and service times (exponential).
fn plan(args: &Args) -> Vec<PlannedRequest> {
    let mut rng = SmallRng::seed_from_u64(args.seed);
    let mut at = 0.0;
    let mut requests = Vec::new();
    while at < args.warm_up + args.seconds {
        let service_us = args.mean_us as f64 * exponential(&mut rng);
        requests.push(PlannedRequest {
            at: Duration::from_secs_f64(at),
            service_time: Duration::from_micros(service_us as u64),
            post: rng.random_bool(args.posts),
        });
        at += exponential(&mut rng) / args.rate;
    }
    requests
}

/// Draws from the exponential distribution with mean 1.
fn exponential(rng: &mut SmallRng) -> f64 {
    -f64::ln(1.0 - rng.random::<f64>())
}

/// Sleeps until shortly before `due` and then spins, because timers are too coarse.
fn sleep_until(due: Instant) {
    const SPIN: Duration = Duration::from_micros(100);
    let left = due.saturating_duration_since(Instant::now());
    if left > SPIN {
        std::thread::sleep(left - SPIN);
    }
    while Instant::now() < due {
        std::hint::spin_loop();
    }
}

/// Sends a request, and adds its result to `totals` if it is a measured one. Its latency counts
/// from the time when it was due.
async fn send(
    client: HttpClient,
    port: u16,
    number: usize,
    request: PlannedRequest,
    due: Instant,
    totals: Option<Arc<Mutex<Totals>>>,
) {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    let req = Request::builder()
        .method(if request.post { "POST" } else { "GET" })
        .uri(format!("http://{address}/tides/{number}"))
        .header("x-standin-us", request.service_time.as_micros().to_string())
        .body(Full::new(if request.post { Bytes::from_static(b"booking") } else { Bytes::new() }))
        .expect("well-formed");
    let success = match client.request(req).await {
        Ok(res) if res.status().is_success() => res.into_body().collect().await.is_ok(),
        _ => false,
    };
    let Some(totals) = totals else { return };
    let micros = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
    let mut totals = totals.lock();
    totals.latency.saturating_record(micros.max(1));
    totals.errors += u64::from(!success);
}

/// Waits until all measured requests have ended or the time limit has passed.
fn wait_for_results(totals: &Mutex<Totals>, planned: u64) {
    const TIMEOUT: Duration = Duration::from_secs(12);
    let start = Instant::now();
    while totals.lock().latency.len() < planned && start.elapsed() < TIMEOUT {
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Prints a row of a Markdown table: label, requests, p50, p99 and p99.9 in milliseconds, errors
/// and unfinished requests; with `--slots` also the floor's p99 and the ratio to it.
fn report(args: &Args, requests: &[PlannedRequest], totals: &mut Totals, planned: u64) {
    totals.unfinished = planned - totals.latency.len();
    let ms = |q: f64| totals.latency.value_at_quantile(q) as f64 / 1_000.0;
    print!(
        "| {} | {planned} | {:.2} | {:.2} | {:.2} | {} | {} |",
        args.label,
        ms(0.5),
        ms(0.99),
        ms(0.999),
        totals.errors,
        totals.unfinished
    );
    if args.slots > 0 {
        let floor = floor::latencies(requests, args.slots, args.warm_up);
        let floor_ms = |q: f64| floor.value_at_quantile(q) as f64 / 1_000.0;
        print!(" {:.2} | {:.2} |", floor_ms(0.99), ms(0.99) / floor_ms(0.99));
    }
    println!();
}
