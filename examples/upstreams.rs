//! Runs a set of stand-in upstreams on loopback, with faults that begin after a given time.

use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

use anyhow::Context;
use clap::Parser;

mod standin;

use standin::upstream::{Behaviour, Upstream};

/// Runs stand-in upstreams on consecutive ports until the time is over or it is interrupted.
#[derive(Debug, Parser)]
struct Args {
    /// The first port
    #[arg(long, default_value_t = 19000)]
    port: u16,
    /// The number of upstreams
    #[arg(long, default_value_t = 12)]
    count: u16,
    /// The slots of each upstream
    #[arg(long, default_value_t = 6)]
    slots: usize,
    /// The service time of requests that don't set one, in microseconds
    #[arg(long, default_value_t = 5_000)]
    service_us: u64,
    /// A fault of one upstream, as KIND:INDEX@MILLISECONDS, where KIND is straggler, failing or
    /// cold; may be repeated
    #[arg(long)]
    fault: Vec<Fault>,
    /// The time after which the program ends, in seconds
    #[arg(long, default_value_t = 600)]
    seconds: u64,
}

/// The time that a cold upstream takes to reach full speed.
const WARM_UP: Duration = Duration::from_secs(2);
/// The factor by which service times of a straggler are longer, and those of a cold upstream at its
/// start.
const SLOWDOWN: f64 = 10.0;
/// The number of steps in which a cold upstream gains speed.
const WARM_UP_STEPS: u32 = 20;

#[derive(Clone, Copy, Debug)]
enum Kind {
    /// Every request takes [`SLOWDOWN`] times as long.
    Straggler,
    /// Every request is answered at once with status 500.
    Failing,
    /// The upstream starts late and gains speed over [`WARM_UP`].
    Cold,
}

#[derive(Clone, Copy, Debug)]
struct Fault {
    kind: Kind,
    index: u16,
    /// The time before the fault, counted from the upstream's previous fault or, for its first one
    /// and for a cold start, from the start of the program.
    after: Duration,
}

impl FromStr for Fault {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Fault> {
        let (kind, rest) = text.split_once(':').context("expected KIND:INDEX@MILLISECONDS")?;
        let (index, millis) = rest.split_once('@').context("expected KIND:INDEX@MILLISECONDS")?;
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

/// Runs an upstream and its faults, in order.
async fn run(address: SocketAddr, slots: usize, behaviour: Behaviour, faults: Vec<Fault>) {
    if let Some(cold) = faults.iter().find(|f| matches!(f.kind, Kind::Cold)) {
        tokio::time::sleep(cold.after).await;
    }
    let upstream = Upstream::start(address, slots, behaviour).await;
    for fault in faults {
        match fault.kind {
            Kind::Straggler => {
                tokio::time::sleep(fault.after).await;
                upstream.behaviour.lock().slowdown = SLOWDOWN;
            }
            Kind::Failing => {
                tokio::time::sleep(fault.after).await;
                upstream.behaviour.lock().fail_status = Some(500);
            }
            Kind::Cold => warm_up(&upstream).await,
        }
    }
}

/// Brings an upstream from [`SLOWDOWN`] to full speed in equal steps.
async fn warm_up(upstream: &Upstream) {
    for step in (0..=WARM_UP_STEPS).rev() {
        let share = f64::from(step) / f64::from(WARM_UP_STEPS);
        upstream.behaviour.lock().slowdown = 1.0 + (SLOWDOWN - 1.0) * share;
        tokio::time::sleep(WARM_UP / WARM_UP_STEPS).await;
    }
}
