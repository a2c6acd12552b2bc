//! The rollout of a record's version to the live entry hosts.

use std::time::Duration;

use serde::Deserialize;
use tokio::time::Instant;

use crate::cli::FleetArgs;
use crate::decide::catalog::{Record, RecordKind};
use crate::entry::admin::announce;
use crate::error::{Code, Error};
use crate::status::RecordStatus;
use crate::tool::fleet::{self, EntryHost, FleetResponses, Progress};
use crate::tool::publish::VersionInForce;

/// Time between two polls of all hosts.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The part of a host's status that names the versions in force.
#[derive(Debug, Deserialize)]
pub(crate) struct HostRecords {
    host: String,
    #[serde(default)]
    records: Vec<RecordStatus>,
}

impl HostRecords {
    /// Returns the version of a record that the host has in force; 0 if it has none.
    fn version(&self, kind: RecordKind, name: &str) -> u64 {
        let found = self.records.iter().find(|r| r.kind == kind && *r.name == *name);
        found.map_or(0, |r| r.version)
    }
}

/// Returns the newest version of a record that any responding host has in force, if one has it.
///
/// # Errors
///
/// Returns the errors of [`fleet::get_from`].
pub(crate) async fn newest_in_force(
    hosts: &[EntryHost],
    kind: RecordKind,
    name: &str,
) -> Result<Option<VersionInForce>, Error> {
    let statuses = get_statuses(hosts).await?;
    let versions = statuses.responses.iter().map(|h| (h.version(kind, name), &h.host));
    let newest = versions.max().filter(|(version, _)| *version > 0);
    Ok(newest.map(|(version, host)| VersionInForce { host: host.clone(), version }))
}

/// Announces a version that was just stored to some hosts. They read it from the key-value service,
/// or use the announced record itself if the service has gone down in the meantime.
pub(crate) async fn announce(hosts: &[EntryHost], record: &Record) {
    if let Ok(body) = serde_json::to_string(record) {
        fleet::announce(hosts, announce::PATH, &body).await;
    }
}

/// Waits until every live host has a record's version or a newer one in force, and returns the
/// number of live hosts.
///
/// # Errors
///
/// Returns [`Code::NotInForce`] with the hosts that don't have it once `timeout` has passed.
pub(crate) async fn wait(
    args: &FleetArgs,
    mut hosts: Vec<EntryHost>,
    record: &Record,
    timeout: Duration,
) -> Result<usize, Error> {
    let deadline = Instant::now() + timeout;
    let mut progress = Progress::new();
    loop {
        if let Ok(listed) = fleet::hosts(args).await {
            hosts = listed;
        }
        let rollout = get_statuses(&hosts).await.map(|statuses| Rollout::of(&statuses, record));
        if let Ok(rollout) = &rollout {
            if rollout.pending.is_empty() {
                return Ok(rollout.total);
            }
            progress.show(&format!("{} {:?}: {rollout}", record.kind(), record.name));
        }
        if Instant::now() + POLL_INTERVAL > deadline {
            return Err(not_in_force(record, rollout));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The live hosts that have a version in force, and those that don't.
#[derive(Debug, derive_more::Display)]
#[display("version {version} in force on {} of {total} live hosts", total - pending.len())]
struct Rollout {
    version: u64,
    /// The number of live hosts.
    total: usize,
    /// A line of text for each live host that doesn't have the version in force or can't be
    /// reached.
    pending: Vec<String>,
}

impl Rollout {
    /// Evaluates the statuses of all hosts. An unreachable host counts as live unless it has the
    /// state `leaving` in the host list.
    fn of(statuses: &FleetResponses<HostRecords>, record: &Record) -> Rollout {
        let (kind, name, version) = (record.kind(), &record.name, record.version);
        let outdated = statuses.responses.iter().filter(|h| h.version(kind, name) < version);
        let outdated = outdated.map(|h| format!("{}: version {}", h.host, h.version(kind, name)));
        let unreachable =
            statuses.unreachable.iter().filter(|h| !h.leaving).map(ToString::to_string);
        let pending: Vec<String> = outdated.chain(unreachable).collect();
        let leaving = statuses.unreachable.iter().filter(|h| h.leaving).count();
        let total = statuses.responses.len() + statuses.unreachable.len() - leaving;
        Rollout { version, total, pending }
    }
}

/// Returns the error for a version that isn't in force everywhere in time.
fn not_in_force(record: &Record, rollout: Result<Rollout, Error>) -> Error {
    let (kind, name) = (record.kind(), &record.name);
    let detail = match rollout {
        Ok(rollout) => {
            let lines: Vec<String> = rollout.pending.iter().map(|l| format!("\n  {l}")).collect();
            format!("{kind} {name:?}: {rollout}{}", lines.concat())
        }
        Err(e) => format!("{kind} {name:?}: version {} is stored; {}", record.version, e.detail),
    };
    Error::new(Code::NotInForce, detail)
}

async fn get_statuses(hosts: &[EntryHost]) -> Result<FleetResponses<HostRecords>, Error> {
    fleet::get_from(hosts.to_vec(), "/status").await
}
