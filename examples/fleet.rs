//! Writes the settings files of a fleet on loopback, for `scripts/measure-fleet`.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use clap::Parser;
use serde_json::{Value, json};

/// Data centres that the hosts are spread over.
const DATA_CENTRES: [&str; 3] = ["palermo", "catania", "augusta"];

/// Ports that a host takes: caller, admin and peer.
const PORTS_PER_HOST: u16 = 3;

/// Writes one settings file for each host of a fleet.
#[derive(Debug, Parser)]
struct Args {
    /// The directory for the files
    #[arg(long)]
    dir: PathBuf,
    /// How many hosts
    #[arg(long, default_value_t = 18)]
    hosts: u16,
    /// The first host's caller port; admin and peer ports follow it
    #[arg(long, default_value_t = 21000)]
    port: u16,
    /// The first upstream's port
    #[arg(long, default_value_t = 19000)]
    upstream_port: u16,
    /// Upstreams of the first service
    #[arg(long, default_value_t = 12)]
    first: u16,
    /// Upstreams of the second service
    #[arg(long, default_value_t = 20)]
    second: u16,
    /// The platform's key-value service; none without it
    #[arg(long)]
    key_value: Option<SocketAddr>,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    std::fs::create_dir_all(&args.dir)?;
    for i in 0..args.hosts {
        let file = args.dir.join(format!("{}.json", name(i)));
        std::fs::write(file, serde_json::to_string_pretty(&settings(&args, i))?)?;
    }
    Ok(())
}

fn settings(args: &Args, i: u16) -> Value {
    let port = args.port + PORTS_PER_HOST * i;
    let others = (0..args.hosts).filter(|j| *j != i).map(|j| peer(args, j));
    json!({
        "host": name(i),
        "data_centre": data_centre(i),
        "caller": loopback(port),
        "admin": loopback(port + 1),
        "peer": loopback(port + 2),
        "fleet_size_max": args.hosts,
        "platform": args.key_value.map(|a| json!({ "key_value": [a] })),
        "peers": others.collect::<Vec<_>>(),
        "profiles": [{ "name": "standard" }],
        "services": [
            service("crew-dispatch", "/", args.upstream_port, args.first),
            service("saksbrev", "/saksbrev", args.upstream_port + args.first, args.second),
        ],
    })
}

fn service(name: &str, prefix: &str, port: u16, count: u16) -> Value {
    let upstream = |i: u16| {
        json!({
            "name": format!("{name}-{i}"),
            "address": loopback(port + i),
            "data_centre": data_centre(i),
        })
    };
    let upstreams: Vec<Value> = (0..count).map(upstream).collect();
    json!({
        "name": name, "profile": "standard", "path_prefix": prefix, "upstreams": upstreams
    })
}

fn peer(args: &Args, i: u16) -> Value {
    let address = loopback(args.port + PORTS_PER_HOST * i + 2);
    json!({ "host": name(i), "data_centre": data_centre(i), "address": address })
}

fn name(i: u16) -> String {
    format!("entry-{i:02}")
}

fn data_centre(i: u16) -> &'static str {
    DATA_CENTRES[usize::from(i) % DATA_CENTRES.len()]
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
