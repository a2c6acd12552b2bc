//! How far a version has spread over the live entry hosts.

use std::time::Duration;

use serde::Deserialize;
use tokio::time::Instant;

use crate::cli::FleetArgs;
use crate::decide::catalog::{Record, RecordKind};
use crate::entry::admin::announce;
use crate::error::{Code, Error};
use crate::status::RecordStatus;
use crate::tool::fleet::{self, Answers, Asked, Progress};
use crate::tool::publish::InForce;

/// Time between two rounds of questions.
const POLL: Duration = Duration::from_millis(200);

/// What a host says about its records.
#[derive(Debug, Deserialize)]
pub(crate) struct HostRecords {
    host: String,
    #[serde(default)]
    records: Vec<RecordStatus>,
}

impl HostRecords {
    fn version(&self, kind: RecordKind, name: &str) -> u64 {
        let found = self.records.iter().find(|r| r.kind == kind && *r.name == *name);
        found.map_or(0, |r| r.version)
    }
}

/// Returns the newest version that a host has in force, of the hosts that answer.
///
/// # Errors
///
/// As [`fleet::ask_hosts`].
pub(crate) async fn newest(
    hosts: &[Asked],
    kind: RecordKind,
    name: &str,
) -> Result<Option<InForce>, Error> {
    let answers = ask(hosts).await?;
    let versions = answers.given.iter().map(|h| (h.version(kind, name), &h.host));
    let newest = versions.max().filter(|(version, _)| *version > 0);
    Ok(newest.map(|(version, host)| InForce { host: host.clone(), version }))
}

/// Tells some hosts of a version that was just stored. They read it from the key-value service, or
/// take it as it is if that has gone down meanwhile.
pub(crate) async fn announce(hosts: &[Asked], record: &Record) {
    if let Ok(body) = serde_json::to_string(record) {
        fleet::tell(hosts, announce::PATH, &body).await;
    }
}

/// Waits until every live host has a version in force, or a newer one, and returns how many.
///
/// # Errors
///
/// [`Code::NotInForce`] with the hosts that lack it when `timeout` has passed.
pub(crate) async fn wait(
    args: &FleetArgs,
    mut hosts: Vec<Asked>,
    record: &Record,
    timeout: Duration,
) -> Result<usize, Error> {
    let until = Instant::now() + timeout;
    let mut progress = Progress::new();
    loop {
        if let Ok(listed) = fleet::hosts(args).await {
            hosts = listed;
        }
        let spread = ask(&hosts).await.map(|answers| Spread::of(&answers, record));
        if let Ok(spread) = &spread {
            if spread.lacking.is_empty() {
                return Ok(spread.total);
            }
            progress.show(&format!("{} {:?}: {spread}", record.kind(), record.name));
        }
        if Instant::now() + POLL > until {
            return Err(late(record, spread));
        }
        tokio::time::sleep(POLL).await;
    }
}

/// How many of the live hosts have a version in force.
#[derive(Debug, derive_more::Display)]
#[display("version {version} in force on {} of {total} live hosts", total - lacking.len())]
struct Spread {
    version: u64,
    total: usize,
    /// A line for each host that lacks it.
    lacking: Vec<String>,
}

impl Spread {
    fn of(answers: &Answers<HostRecords>, record: &Record) -> Spread {
        let (kind, name, version) = (record.kind(), &record.name, record.version);
        let old = answers.given.iter().filter(|h| h.version(kind, name) < version);
        let old = old.map(|h| format!("{}: version {}", h.host, h.version(kind, name)));
        let silent = answers.silent.iter().filter(|s| !s.leaving).map(ToString::to_string);
        let lacking: Vec<String> = old.chain(silent).collect();
        let leaving = answers.silent.iter().filter(|s| s.leaving).count();
        let total = answers.given.len() + answers.silent.len() - leaving;
        Spread { version, total, lacking }
    }
}

fn late(record: &Record, spread: Result<Spread, Error>) -> Error {
    let (kind, name) = (record.kind(), &record.name);
    let detail = match spread {
        Ok(spread) => {
            let lines: Vec<String> = spread.lacking.iter().map(|l| format!("\n  {l}")).collect();
            format!("{kind} {name:?}: {spread}{}", lines.concat())
        }
        Err(e) => format!("{kind} {name:?}: version {} is stored; {}", record.version, e.detail),
    };
    Error::new(Code::NotInForce, detail)
}

async fn ask(hosts: &[Asked]) -> Result<Answers<HostRecords>, Error> {
    fleet::ask_hosts(hosts.to_vec(), "/status").await
}
