//! Runs a stand-in platform on loopback until it is interrupted.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use anyhow::Context;
use clap::Parser;

mod standin;

use standin::platform::Platform;

/// Runs a stand-in key-value service and host list on one port.
#[derive(Debug, Parser)]
struct Args {
    /// The port to listen on
    #[arg(long, default_value_t = 18900)]
    port: u16,
    /// A file with the host list to serve, in JSON; without it, the list is empty
    #[arg(long, value_name = "FILE")]
    hosts: Option<PathBuf>,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, args.port));
    let platform = Platform::start(address).await;
    if let Some(path) = &args.hosts {
        let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
        platform.set_hosts(serde_json::from_str(&text)?);
    }
    tokio::signal::ctrl_c().await?;
    Ok(())
}
