//! An open-loop load program: sends requests at a fixed rate and reports latencies.
//!
//! Each request names its own service time, so that the floor (one queue, perfect knowledge) is
//! worked out for the very same arrivals and service times.

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

/// Sends requests at a fixed rate to addresses on loopback, in turn.
#[derive(Debug, Parser)]
struct Args {
    /// The first port
    #[arg(long, default_value_t = 18100)]
    port: u16,
    /// How many ports, one apart
    #[arg(long, default_value_t = 1)]
    count: u16,
    /// Requests a second
    #[arg(long, default_value_t = 1_000.0)]
    rate: f64,
    /// Seconds measured
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Seconds before that, not measured
    #[arg(long, default_value_t = 1.0)]
    warm_up: f64,
    /// Mean service time in microseconds, drawn from an exponential distribution; 0 for none
    #[arg(long, default_value_t = 20_000)]
    mean_us: u64,
    /// Slots that the floor reckons with; 0 for no floor
    #[arg(long, default_value_t = 0)]
    slots: usize,
    /// Share of requests that are POSTs and so not idempotent
    #[arg(long, default_value_t = 0.1)]
    posts: f64,
    /// A label printed with the row
    #[arg(long, default_value = "")]
    label: String,
    /// The seed of arrivals and service times
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// One planned request.
#[derive(Clone, Copy, Debug)]
struct Call {
    at: Duration,
    service_time: Duration,
    post: bool,
}

#[derive(Debug)]
struct Totals {
    latency: Histogram<u64>,
    errors: u64,
    unfinished: u64,
}

type Sender = Client<HttpConnector, Full<Bytes>>;

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let calls = plan(&args);
    let rt = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client: Sender = Client::builder(TokioExecutor::new()).build(connector);
    let totals = Arc::new(Mutex::new(Totals {
        latency: Histogram::new_with_bounds(1, 60_000_000, 3)?,
        errors: 0,
        unfinished: 0,
    }));
    let start = Instant::now();
    for (i, call) in calls.iter().enumerate() {
        let due = start + call.at;
        sleep_until(due);
        let port = args.port + u16::try_from(i % usize::from(args.count))?;
        let measured = call.at.as_secs_f64() >= args.warm_up;
        rt.spawn(send(client.clone(), port, i, *call, due, measured.then(|| totals.clone())));
    }
    let planned = calls.iter().filter(|c| c.at.as_secs_f64() >= args.warm_up).count() as u64;
    wait(&totals, planned);
    report(&args, &calls, &mut totals.lock(), planned);
    rt.shutdown_background();
    Ok(())
}

/// Draws arrivals (a Poisson process) and service times (exponential).
fn plan(args: &Args) -> Vec<Call> {
    let mut rng = SmallRng::seed_from_u64(args.seed);
    let mut at = 0.0;
    let mut calls = Vec::new();
    while at < args.warm_up + args.seconds {
        let service = args.mean_us as f64 * exponential(&mut rng);
        calls.push(Call {
            at: Duration::from_secs_f64(at),
            service_time: Duration::from_micros(service as u64),
            post: rng.random_bool(args.posts),
        });
        at += exponential(&mut rng) / args.rate;
    }
    calls
}

fn exponential(rng: &mut SmallRng) -> f64 {
    -f64::ln(1.0 - rng.random::<f64>())
}

/// Sleeps until shortly before `due`, then spins: the timers of the runtime are too coarse.
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

async fn send(
    client: Sender,
    port: u16,
    number: usize,
    call: Call,
    due: Instant,
    totals: Option<Arc<Mutex<Totals>>>,
) {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    let req = Request::builder()
        .method(if call.post { "POST" } else { "GET" })
        .uri(format!("http://{address}/tides/{number}"))
        .header("x-standin-us", call.service_time.as_micros().to_string())
        .body(Full::new(if call.post { Bytes::from_static(b"booking") } else { Bytes::new() }))
        .expect("well-formed");
    let whole = match client.request(req).await {
        Ok(res) if res.status().is_success() => res.into_body().collect().await.is_ok(),
        _ => false,
    };
    let Some(totals) = totals else { return };
    let micros = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
    let mut totals = totals.lock();
    totals.latency.saturating_record(micros.max(1));
    totals.errors += u64::from(!whole);
}

fn wait(totals: &Mutex<Totals>, planned: u64) {
    const PATIENCE: Duration = Duration::from_secs(12);
    let start = Instant::now();
    while totals.lock().latency.len() < planned && start.elapsed() < PATIENCE {
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn report(args: &Args, calls: &[Call], totals: &mut Totals, planned: u64) {
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
        let floor = floor::latencies(calls, args.slots, args.warm_up);
        let floor_ms = |q: f64| floor.value_at_quantile(q) as f64 / 1_000.0;
        print!(" {:.2} | {:.2} |", floor_ms(0.99), ms(0.99) / floor_ms(0.99));
    }
    println!();
}
