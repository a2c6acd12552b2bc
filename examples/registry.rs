//! Runs a stand-in registry with a config and upstreams on loopback until it is interrupted.

use std::net::{Ipv4Addr, SocketAddr};

use clap::Parser;
use serde_json::json;

mod standin;

use standin::registry::Registry;

/// Runs a stand-in registry that lists the upstreams of two services.
#[derive(Debug, Parser)]
struct Args {
    /// The port to listen on
    #[arg(long, default_value_t = 18800)]
    port: u16,
    /// The port of the first upstream; the others follow
    #[arg(long, default_value_t = 19000)]
    upstream_port: u16,
    /// The number of upstreams
    #[arg(long, default_value_t = 32)]
    upstreams: u16,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let registry = Registry::start(SocketAddr::from((Ipv4Addr::LOCALHOST, args.port))).await;
    registry.put("op/config", &config());
    for i in 0..args.upstreams {
        registry.put(&format!("servers/i-{i:08x}"), &registration(&args, i));
    }
    tokio::signal::ctrl_c().await?;
    Ok(())
}

fn config() -> String {
    let rule = |service: &str| {
        json!({
            "name": service, "kind": "idempotent", "latencyGoalS": 1.0, "priority": 1,
            "match": {"pathPrefix": format!("/{service}/")},
            "action": {"service": service, "timeoutS": 3.0, "maxAttempts": 2},
        })
    };
    let cluster = |service: &str| {
        json!({
            "name": service, "healthPath": "/health", "maxConnections": 3600,
            "protocol": "h1", "tls": false,
        })
    };
    json!({
        "version": 1,
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        },
        "listeners": [{"host": "port.example", "rules": [rule("dispatch"), rule("records")]}],
        "clusters": [cluster("dispatch"), cluster("records")],
    })
    .to_string()
}

fn registration(args: &Args, i: u16) -> String {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, args.upstream_port + i));
    let service = if i.is_multiple_of(2) { "dispatch" } else { "records" };
    json!({
        "service": service, "address": address, "zone": "palermo", "version": "v1", "slots": 6,
        "state": "ready", "coldRemainingS": 0, "sequence": 1, "born": 1_796_342_400_000_u64,
    })
    .to_string()
}
