//! Publication of a new version of a record, by compare-and-swap. It may be repeated safely.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use crate::decide::catalog::{Body, Record, RecordKind};
use crate::decide::stored::{self, StoredRecord};
use crate::error::{Code, Error};
use crate::store::backoff::Backoff;
use crate::store::call::{CallError, Compare, Entry, Op, Txn};
use crate::store::client::Client;
use crate::tool::document;

/// Maximum number of versions in a record's history.
pub(crate) const HISTORY_VERSIONS: u64 = 20;

/// A change of a record that an operator publishes.
#[derive(Clone, Debug)]
pub(crate) struct Draft {
    pub(crate) kind: RecordKind,
    pub(crate) name: Arc<str>,
    /// The record's new content.
    pub(crate) body: Body,
    /// The version that the change is based on; 0 for a new record.
    pub(crate) expect: u64,
    /// The change's id, by which a repeated command recognises it.
    pub(crate) change: Arc<str>,
    pub(crate) author: Arc<str>,
    /// The newest version that an entry host has in force; `None` if none has the record or none
    /// could be asked.
    pub(crate) in_force: Option<VersionInForce>,
}

/// A version of a record and an entry host that has it in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct VersionInForce {
    pub(crate) host: String,
    pub(crate) version: u64,
}

/// Publishes a change and returns the record that results. If the change has been published before,
/// nothing is written and the record of that time is returned.
///
/// If the response to a write is lost, the record is read back, and the same compare-and-swap is
/// tried until this change or another one is found stored. The write can succeed only once, even if
/// it takes effect late.
///
/// # Errors
///
/// Returns [`Code::Conflict`] with the differences if the current version isn't the expected one.
/// If the service refuses a call or `timeout` has passed: [`Code::Unreachable`] if nothing can have
/// been stored, [`Code::PublishUnknown`] if that is unknown.
pub(crate) async fn publish(
    client: &Client,
    draft: &Draft,
    timeout: Duration,
    rng: &mut impl Rng,
) -> Result<Record, Error> {
    let deadline = Instant::now() + timeout;
    let mut backoff = Backoff::default();
    let mut uncertain = false;
    loop {
        let failure = match try_publish(client, draft, &mut uncertain).await {
            Ok(TryResult::Published(record)) => return Ok(record),
            Ok(TryResult::Conflict(error)) => return Err(error),
            Ok(TryResult::Raced) => continue,
            Err(failure @ CallError::Refused(_)) => return Err(draft.give_up(uncertain, &failure)),
            Err(failure) => failure,
        };
        let delay = backoff.next_delay(rng);
        if Instant::now() + delay > deadline {
            return Err(draft.give_up(uncertain, &failure));
        }
        tokio::time::sleep(delay).await;
    }
}

/// The result of one read and one compare-and-swap.
enum TryResult {
    Published(Record),
    Conflict(Error),
    /// The record changed between the read and the write.
    Raced,
}

/// Reads the record and tries to replace it once. `uncertain` is set if the response to the write
/// is lost.
async fn try_publish(
    client: &Client,
    draft: &Draft,
    uncertain: &mut bool,
) -> Result<TryResult, CallError> {
    let entry = client.get(client.keys.record(draft.kind, &draft.name)).await?;
    let current = entry.as_ref().map(|e| stored::read(draft.kind, &draft.name, &e.value));
    if let Some(record) = find_published(client, draft, current.as_ref()).await? {
        return Ok(TryResult::Published(record));
    }
    if let Some(error) = draft.conflict(current.as_ref()) {
        return Ok(TryResult::Conflict(error));
    }
    let record = draft.record();
    let txn = (client.kv.txn)(compare_and_swap(client, entry.as_ref(), &record));
    match txn.await {
        Ok(done) if done.succeeded => Ok(TryResult::Published(record)),
        Ok(_) => Ok(TryResult::Raced),
        Err(failure) => {
            *uncertain |= matches!(failure, CallError::OutcomeUnknown(_));
            Err(failure)
        }
    }
}

/// Returns the record that the change resulted in if it has been published before, also if newer
/// versions have followed.
async fn find_published(
    client: &Client,
    draft: &Draft,
    current: Option<&StoredRecord>,
) -> Result<Option<Record>, CallError> {
    let of_change = |s: &StoredRecord| match s {
        StoredRecord::Readable(r) if r.change == draft.change => Some(r.clone()),
        _ => None,
    };
    let Some(current) = current else { return Ok(None) };
    if let Some(record) = of_change(current) {
        return Ok(Some(record));
    }
    let history = history(client, draft.kind, &draft.name).await?;
    Ok(history.iter().find_map(of_change))
}

/// Reads the versions in a record's history, oldest first.
///
/// # Errors
///
/// Returns a [`CallError`] if the call fails.
pub(crate) async fn history(
    client: &Client,
    kind: RecordKind,
    name: &str,
) -> Result<Vec<StoredRecord>, CallError> {
    let loaded = client.read_range(client.keys.versions(kind, name)).await?;
    Ok(loaded.entries.iter().map(|e| stored::read(kind, name, &e.value)).collect())
}

/// Builds the transaction that stores a record and adds it to the history, of which it keeps the
/// newest [`HISTORY_VERSIONS`]. It succeeds only if the record hasn't changed since `current` was
/// read.
fn compare_and_swap(client: &Client, current: Option<&Entry>, record: &Record) -> Txn {
    let keys = &client.keys;
    let (kind, name) = (record.kind(), &record.name);
    let key = keys.record(kind, name);
    let value = serde_json::to_vec(record).unwrap_or_default();
    let version = keys.version(kind, name, record.version);
    let mut ops = vec![Op::Put(key.clone(), value.clone(), None), Op::Put(version, value, None)];
    if record.version > HISTORY_VERSIONS {
        let oldest_kept = record.version - HISTORY_VERSIONS + 1;
        let first = keys.version(kind, name, 0);
        ops.push(Op::Delete(first, Some(keys.version(kind, name, oldest_kept))));
    }
    Txn { compare: vec![Compare::Revision(key, current.map_or(0, |e| e.revision))], ops }
}

impl Draft {
    /// Returns kind and name, for messages.
    fn label(&self) -> String {
        format!("{} {:?}", self.kind, self.name)
    }

    /// Returns the record that the change results in.
    fn record(&self) -> Record {
        Record {
            name: self.name.clone(),
            version: self.expect + 1,
            change: self.change.clone(),
            author: self.author.clone(),
            revision: None,
            body: self.body.clone(),
        }
    }

    /// Returns an error if the newest version, stored or in force on a host, isn't the expected
    /// one.
    fn conflict(&self, current: Option<&StoredRecord>) -> Option<Error> {
        let version = match current {
            None => 0,
            Some(StoredRecord::Readable(record)) => record.version,
            // An unknown version is never the expected one.
            Some(StoredRecord::Unreadable(unreadable)) => unreadable.version.unwrap_or(u64::MAX),
        };
        let ahead = self.in_force.as_ref().filter(|i| i.version > version);
        let newest = ahead.map_or(version, |i| i.version);
        if newest == self.expect {
            return None;
        }
        let detail = match (ahead, current) {
            (Some(ahead), _) => self.store_behind_detail(ahead, version),
            (None, Some(StoredRecord::Readable(record))) => self.diff_detail(record),
            (None, Some(StoredRecord::Unreadable(_))) => {
                format!(
                    "{}: version {version} is stored and can't be read by this release",
                    self.label()
                )
            }
            (None, None) => {
                format!("{} does not exist, version {} was expected", self.label(), self.expect)
            }
        };
        Some(Error::new(Code::Conflict, detail))
    }

    /// Describes the difference between the stored record and this change.
    fn diff_detail(&self, current: &Record) -> String {
        let Record { version, author, change, .. } = current;
        let (theirs, mine) = (document::text(&current.body), document::text(&self.body));
        let stored = format!("version {version} by {author}");
        let diff = document::diff((&stored, &theirs), ("yours", &mine));
        format!(
            "{} is at version {version} by {author} (change {change}), version {} was expected\n{diff}",
            self.label(),
            self.expect,
        )
    }

    /// Describes a key-value service that holds an older version than a host has in force.
    fn store_behind_detail(&self, ahead: &VersionInForce, version: u64) -> String {
        format!(
            "{}: host {:?} has version {} in force and the key-value service holds version \
             {version}, as if restored from an older copy; publish with --expect {}",
            self.label(),
            ahead.host,
            ahead.version,
            ahead.version,
        )
    }

    /// Returns the error for a publication that is given up after a failed call.
    fn give_up(&self, uncertain: bool, failure: &CallError) -> Error {
        let (kind, name, change) = (self.kind, &self.name, &self.change);
        if !uncertain {
            let detail = format!("{}: nothing was stored: {failure}", self.label());
            return Error::new(Code::Unreachable, detail);
        }
        let detail = format!(
            "{}: {failure}; run the same command with --change {change} again, which publishes \
             it at most once, or look for the change in `cornelferry {kind} history {name}`",
            self.label(),
        );
        Error::new(Code::PublishUnknown, detail)
    }
}
