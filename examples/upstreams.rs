//! Runs a set of stand-in upstreams on loopback until it is stopped.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use clap::Parser;

mod standin;

use standin::upstream::{Behaviour, Upstream};

/// Runs stand-in upstreams on consecutive ports.
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
    /// Service time in microseconds
    #[arg(long, default_value_t = 5_000)]
    service_us: u64,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    for port in args.port..args.port + args.count {
        let service_time = Duration::from_micros(args.service_us);
        let behaviour = Behaviour { service_time, ..Behaviour::default() };
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Upstream::start(address, args.slots, behaviour).await;
    }
    tokio::signal::ctrl_c().await?;
    Ok(())
}
