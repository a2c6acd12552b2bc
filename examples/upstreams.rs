//! Runs a set of stand-in upstreams on loopback, with faults that come up after a time.

use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

use anyhow::Context;
use clap::Parser;

mod standin;

use standin::upstream::{Behaviour, Upstream};

/// Runs stand-in upstreams on consecutive ports until it is stopped.
#[derive(Debug, Parser)]
struct Args {
    /// The first port
    #[arg(long, default_value_t = 19000)]
    port: u16,
    /// How many upstreams
    #[arg(long, default_value_t = 12)]
    count: u16,
    /// Slots of each
    #[arg(long, default_value_t = 6)]
    slots: usize,
    /// Service time in microseconds of requests that don't ask for one
    #[arg(long, default_value_t = 5_000)]
    service_us: u64,
    /// A fault of one upstream: KIND:INDEX@MILLISECONDS, where KIND is straggler, failing or cold
    #[arg(long)]
    fault: Vec<Fault>,
    /// Seconds after which the program ends by itself
    #[arg(long, default_value_t = 600)]
    seconds: u64,
}

/// The time over which a cold upstream reaches full speed.
const COLD_TIME: Duration = Duration::from_secs(2);
/// How many times slower a straggler, and a cold upstream at its start, is.
const SLOWNESS: f64 = 10.0;
/// Steps in which a cold upstream gains speed.
const COLD_STEPS: u32 = 20;

#[derive(Clone, Copy, Debug)]
enum Kind {
    Straggler,
    Failing,
    Cold,
}

#[derive(Clone, Copy, Debug)]
struct Fault {
    kind: Kind,
    index: u16,
    after: Duration,
}

impl FromStr for Fault {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Fault> {
        let (kind, rest) = text.split_once(':').context("KIND:INDEX@MILLISECONDS")?;
        let (index, millis) = rest.split_once('@').context("KIND:INDEX@MILLISECONDS")?;
        let kind = match kind {
            "straggler" => Kind::Straggler,
            "failing" => Kind::Failing,
            "cold" => Kind::Cold,
            _ => anyhow::bail!("fault kind {kind:?} does not exist"),
        };
        let after = Duration::from_millis(millis.parse()?);
        Ok(Fault { kind, index: index.parse()?, after })
    }
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    for index in 0..args.count {
        let faults = args.fault.iter().filter(|f| f.index == index).copied().collect();
        let service_time = Duration::from_micros(args.service_us);
        let behaviour = Behaviour { service_time, ..Behaviour::default() };
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, args.port + index));
        tokio::spawn(run(address, args.slots, behaviour, faults));
    }
    let end = tokio::time::sleep(Duration::from_secs(args.seconds));
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        () = end => {}
    }
    Ok(())
}

async fn run(address: SocketAddr, slots: usize, behaviour: Behaviour, faults: Vec<Fault>) {
    if let Some(cold) = faults.iter().find(|f| matches!(f.kind, Kind::Cold)) {
        tokio::time::sleep(cold.after).await;
    }
    let upstream = Upstream::start(address, slots, behaviour).await;
    for fault in faults {
        match fault.kind {
            Kind::Straggler => {
                tokio::time::sleep(fault.after).await;
                upstream.behaviour.lock().slowdown = SLOWNESS;
            }
            Kind::Failing => {
                tokio::time::sleep(fault.after).await;
                upstream.behaviour.lock().fail_status = Some(500);
            }
            Kind::Cold => warm_up(&upstream).await,
        }
    }
}

async fn warm_up(upstream: &Upstream) {
    for step in (0..=COLD_STEPS).rev() {
        let share = f64::from(step) / f64::from(COLD_STEPS);
        upstream.behaviour.lock().slowdown = 1.0 + (SLOWNESS - 1.0) * share;
        tokio::time::sleep(COLD_TIME / COLD_STEPS).await;
    }
}
