//! Generates the settings files of a fleet on loopback, for `scripts/measure-fleet`.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use clap::Parser;
use serde_json::{Value, json};

/// Data centres that hosts and upstreams are assigned to in turn.
const DATA_CENTRES: [&str; 3] = ["palermo", "catania", "augusta"];

/// Consecutive ports of a host: caller, admin and peer.
const PORTS_PER_HOST: u16 = 3;

/// Writes one settings file for each host of a fleet.
#[derive(Debug, Parser)]
struct Args {
    /// The directory to write to; created if it doesn't exist
    #[arg(long)]
    dir: PathBuf,
    /// The number of hosts
    #[arg(long, default_value_t = 18)]
    hosts: u16,
    /// The caller port of the first host; its admin and peer ports and the other hosts' ports
    /// follow
    #[arg(long, default_value_t = 21000)]
    port: u16,
    /// The port of the first upstream; the others follow
    #[arg(long, default_value_t = 19000)]
    upstream_port: u16,
    /// The number of upstreams of the first service
    #[arg(long, default_value_t = 12)]
    first: u16,
    /// The number of upstreams of the second service
    #[arg(long, default_value_t = 20)]
    second: u16,
    /// The address of the platform's key-value service; without it, hosts use none
    #[arg(long)]
    key_value: Option<SocketAddr>,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    std::fs::create_dir_all(&args.dir)?;
    for i in 0..args.hosts {
        let file = args.dir.join(format!("{}.json", host_name(i)));
        std::fs::write(file, serde_json::to_string_pretty(&settings(&args, i))?)?;
    }
    Ok(())
}

/// Returns the settings of the host with index `i`.
fn settings(args: &Args, i: u16) -> Value {
    let port = args.port + PORTS_PER_HOST * i;
    let peers = (0..args.hosts).filter(|j| *j != i).map(|j| peer(args, j));
    json!({
        "host": host_name(i),
        "data_centre": data_centre(i),
        "caller": loopback(port),
        "admin": loopback(port + 1),
        "peer": loopback(port + 2),
        "fleet_size_max": args.hosts,
        "platform": args.key_value.map(|a| json!({ "key_value": [a] })),
        "peers": peers.collect::<Vec<_>>(),
        "profiles": [{ "name": "standard" }],
        "services": [
            service("crew-dispatch", "/", args.upstream_port, args.first),
            service("saksbrev", "/saksbrev", args.upstream_port + args.first, args.second),
        ],
    })
}

/// Returns a service with `count` upstreams on consecutive ports.
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

/// Returns the entry for the host with index `i` in the settings of its peers.
fn peer(args: &Args, i: u16) -> Value {
    let address = loopback(args.port + PORTS_PER_HOST * i + 2);
    json!({ "host": host_name(i), "data_centre": data_centre(i), "address": address })
}

fn host_name(i: u16) -> String {
    format!("entry-{i:02}")
}

fn data_centre(i: u16) -> &'static str {
    DATA_CENTRES[usize::from(i) % DATA_CENTRES.len()]
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
