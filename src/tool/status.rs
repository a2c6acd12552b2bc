//! `cornelferry status`: the state of every entry host.

use anyhow::Result;
use comfy_table::Table;
use serde::Serialize;

use crate::cli::StatusArgs;
use crate::decide::member::MemberState;
use crate::status::{EvacuationStatus, MemberStatus, ServiceStatus, Status, UpstreamStatus};
use crate::tool::fleet::{self, FleetResponses, UnreachableHost};
use crate::tool::table;

/// The output in JSON.
#[derive(Debug, Serialize)]
struct Report {
    hosts: Vec<Status>,
    unreachable: Vec<UnreachableHost>,
}

/// Prints the state of every entry host, and lists those that can't be reached on standard error.
///
/// # Errors
///
/// Returns an error if no host can be reached.
pub(crate) async fn run(args: &StatusArgs) -> Result<()> {
    let FleetResponses { responses: mut hosts, unreachable }: FleetResponses<Status> =
        fleet::get_from_all(&args.fleet, "/status").await?;
    hosts.sort_by(|a, b| a.host.cmp(&b.host));
    unreachable.iter().for_each(|h| eprintln!("{h}"));
    if args.json {
        let report = Report { hosts, unreachable };
        println!("{}", serde_json::to_string_pretty(&report)?);
        return Ok(());
    }
    println!("{}\n", host_table(&hosts));
    println!("{}\n", record_table(&hosts));
    if hosts.iter().any(|h| !h.evacuations.is_empty()) {
        println!("{}\n", evacuation_table(&hosts));
    }
    println!("{}", upstream_table(&hosts));
    if hosts.iter().any(|h| !h.teams_at_limit.is_empty()) {
        println!("\n{}", team_table(&hosts));
    }
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
            peer_counts(&host.members),
            probe_counts(&host.services),
            host.events.held.to_string(),
            host.events.dropped.to_string(),
        ]);
    }
    out
}

/// Formats the number of live peers and that of all known ones.
fn peer_counts(members: &[MemberStatus]) -> String {
    let alive = members.iter().filter(|m| m.state == MemberState::Alive).count();
    format!("{alive}/{}", members.len())
}

/// Formats the numbers of probes completed and allowed since the host's start, summed over the
/// services.
fn probe_counts(services: &[ServiceStatus]) -> String {
    let sent: u64 = services.iter().map(|s| s.measuring.sent).sum();
    let allowed: f64 = services.iter().map(|s| s.measuring.allowed).sum();
    format!("{sent}/{allowed:.0}")
}

/// A version of a record and the hosts that have it in force.
#[derive(Debug)]
struct VersionRow<'a> {
    record: String,
    version: u64,
    /// Whether the newest version that the hosts have seen can be read.
    readable: bool,
    hosts: Vec<&'a str>,
}

/// Returns a table with a row for each record and version in force.
fn record_table(hosts: &[Status]) -> Table {
    let mut out = table::with_header(&["RECORD", "VERSION", "HOSTS", "WHICH"]);
    for row in version_rows(hosts) {
        let note = if row.readable { "" } else { " (a newer one can't be read)" };
        let all = row.hosts.len() == hosts.len();
        out.add_row([
            row.record,
            format!("{}{note}", row.version),
            format!("{}/{}", row.hosts.len(), hosts.len()),
            if all { "all".to_owned() } else { row.hosts.join(" ") },
        ]);
    }
    out
}

/// Groups the hosts by record, version and readability, sorted by these.
fn version_rows(hosts: &[Status]) -> Vec<VersionRow<'_>> {
    let mut out: Vec<VersionRow<'_>> = Vec::new();
    for host in hosts {
        for r in &host.records {
            let record = format!("{}/{}", r.kind, r.name);
            let key = (&record, r.version, r.readable);
            match out.binary_search_by(|v| (&v.record, v.version, v.readable).cmp(&key)) {
                Ok(at) => out[at].hosts.push(&host.host),
                Err(at) => {
                    let (version, readable) = (r.version, r.readable);
                    out.insert(
                        at,
                        VersionRow { record, version, readable, hosts: vec![&host.host] },
                    );
                }
            }
        }
    }
    out
}

/// Returns a table with a row for each evacuated data centre: how many hosts have the order, how long
/// the first and the last of them have had it, and what is still in flight there.
fn evacuation_table(hosts: &[Status]) -> Table {
    let mut out = table::with_header(&["EVACUATED", "HOSTS", "FOR", "UPSTREAMS", "IN FLIGHT"]);
    let all: Vec<&EvacuationStatus> = hosts.iter().flat_map(|h| &h.evacuations).collect();
    let mut names: Vec<&str> = all.iter().map(|e| &*e.data_centre).collect();
    names.sort_unstable();
    names.dedup();
    for name in names {
        let told: Vec<_> = all.iter().filter(|e| *e.data_centre == *name).collect();
        let ages = || told.iter().map(|e| e.age_ms);
        let (last, first) = (ages().min().unwrap_or(0), ages().max().unwrap_or(0));
        let upstreams = told.iter().map(|e| e.upstreams).max().unwrap_or(0);
        let in_flight: u64 = told.iter().map(|e| e.in_flight).sum();
        out.add_row([
            name.to_owned(),
            format!("{}/{}", told.len(), hosts.len()),
            format!("{first} to {last} ms"),
            upstreams.to_string(),
            in_flight.to_string(),
        ]);
    }
    out
}

/// Returns a table with a row for each upstream on each host, because hosts may differ.
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

/// Returns a table with a row for each team at its limit and each host that has refused requests of
/// it.
fn team_table(hosts: &[Status]) -> Table {
    let header = ["TEAM AT ITS LIMIT", "PER SECOND", "SEEN BY", "GRANTED", "REFUSED"];
    let mut out = table::with_header(&header);
    for host in hosts {
        for team in &host.teams_at_limit {
            out.add_row([
                team.team.to_string(),
                team.per_second.to_string(),
                host.host.to_string(),
                team.granted.to_string(),
                team.refused.to_string(),
            ]);
        }
    }
    out
}

fn upstream_row(host: &Status, service: &ServiceStatus, u: &UpstreamStatus) -> [String; 8] {
    let or_dash = |n: Option<u64>, unit: &str| n.map_or("-".to_owned(), |n| format!("{n}{unit}"));
    [
        service.name.to_string(),
        u.name.to_string(),
        host.host.to_string(),
        match u.evacuated {
            true => "evacuated".to_owned(),
            false => format!("{:?}", u.state).to_lowercase(),
        },
        format!("{}/{}", u.in_flight, service.slots),
        or_dash(u.load.map(u64::from), ""),
        or_dash(u.load_age_ms, " ms"),
        u.address.to_string(),
    ]
}
