//! `cornelferry status`: the state of every host.

use anyhow::Result;
use comfy_table::Table;
use serde::Serialize;

use crate::cli::StatusArgs;
use crate::decide::member::MemberState;
use crate::status::{MemberStatus, ServiceStatus, Status, UpstreamStatus};
use crate::tool::fleet::{self, Answers, Silent};
use crate::tool::table;

#[derive(Debug, Serialize)]
struct Report {
    hosts: Vec<Status>,
    unreachable: Vec<Silent>,
}

/// Prints the state of every host, and names those that can't be reached.
///
/// # Errors
///
/// If no host can be reached.
pub(crate) async fn run(args: &StatusArgs) -> Result<()> {
    let Answers { given: mut hosts, silent }: Answers<Status> =
        fleet::ask(&args.fleet, "/status").await?;
    hosts.sort_by(|a, b| a.host.cmp(&b.host));
    silent.iter().for_each(|s| eprintln!("{s}"));
    if args.json {
        let report = Report { hosts, unreachable: silent };
        println!("{}", serde_json::to_string_pretty(&report)?);
        return Ok(());
    }
    println!("{}\n", host_table(&hosts));
    println!("{}\n", record_table(&hosts));
    println!("{}", upstream_table(&hosts));
    Ok(())
}

fn host_table(hosts: &[Status]) -> Table {
    let mut out = table::with_header(&[
        "HOST",
        "DATA CENTRE",
        "PHASE",
        "WAITING",
        "IN FLIGHT",
        "PEERS",
        "PROBES",
        "EVENTS",
        "DROPPED",
    ]);
    for host in hosts {
        let waiting: usize = host.services.iter().map(|s| s.waiting).sum();
        let upstreams = host.services.iter().flat_map(|s| &s.upstreams);
        let in_flight: u64 = upstreams.map(|u| u64::from(u.in_flight)).sum();
        out.add_row([
            host.host.to_string(),
            host.data_centre.to_string(),
            host.phase.to_string(),
            waiting.to_string(),
            in_flight.to_string(),
            peers(&host.members),
            probes(&host.services),
            host.events.held.to_string(),
            host.events.dropped.to_string(),
        ]);
    }
    out
}

fn peers(members: &[MemberStatus]) -> String {
    let alive = members.iter().filter(|m| m.state == MemberState::Alive).count();
    format!("{alive}/{}", members.len())
}

fn probes(services: &[ServiceStatus]) -> String {
    let sent: u64 = services.iter().map(|s| s.measuring.sent).sum();
    let allowed: f64 = services.iter().map(|s| s.measuring.allowed).sum();
    format!("{sent}/{allowed:.0}")
}

/// A record's version and the hosts that have it in force.
#[derive(Debug)]
struct Held<'a> {
    record: String,
    version: u64,
    readable: bool,
    hosts: Vec<&'a str>,
}

/// Makes a row for each record; hosts that have the same version in force share one.
fn record_table(hosts: &[Status]) -> Table {
    let mut out = table::with_header(&["RECORD", "VERSION", "HOSTS", "WHICH"]);
    for held in held(hosts) {
        let note = if held.readable { "" } else { " (a newer one can't be read)" };
        let all = held.hosts.len() == hosts.len();
        out.add_row([
            held.record,
            format!("{}{note}", held.version),
            format!("{}/{}", held.hosts.len(), hosts.len()),
            if all { "all".to_owned() } else { held.hosts.join(" ") },
        ]);
    }
    out
}

fn held(hosts: &[Status]) -> Vec<Held<'_>> {
    let mut out: Vec<Held<'_>> = Vec::new();
    for host in hosts {
        for r in &host.records {
            let record = format!("{}/{}", r.kind, r.name);
            let key = (&record, r.version, r.readable);
            match out.binary_search_by(|h| (&h.record, h.version, h.readable).cmp(&key)) {
                Ok(at) => out[at].hosts.push(&host.host),
                Err(at) => {
                    let (version, readable) = (r.version, r.readable);
                    out.insert(at, Held { record, version, readable, hosts: vec![&host.host] });
                }
            }
        }
    }
    out
}

fn upstream_table(hosts: &[Status]) -> Table {
    let mut out = table::with_header(&[
        "SERVICE",
        "UPSTREAM",
        "SEEN BY",
        "STATE",
        "IN FLIGHT",
        "LOAD",
        "AGE",
        "ADDRESS",
    ]);
    for host in hosts {
        for service in &host.services {
            service.upstreams.iter().for_each(|u| {
                out.add_row(upstream_row(host, service, u));
            });
        }
    }
    out
}

fn upstream_row(host: &Status, service: &ServiceStatus, u: &UpstreamStatus) -> [String; 8] {
    let shown = |n: Option<u64>, unit: &str| n.map_or("-".to_owned(), |n| format!("{n}{unit}"));
    [
        service.name.to_string(),
        u.name.to_string(),
        host.host.to_string(),
        format!("{:?}", u.state).to_lowercase(),
        format!("{}/{}", u.in_flight, service.slots),
        shown(u.load.map(u64::from), ""),
        shown(u.load_age_ms, " ms"),
        u.address.to_string(),
    ]
}
