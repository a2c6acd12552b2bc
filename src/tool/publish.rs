//! Publishing a version of a record: by compare-and-swap, and safe to repeat.

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

/// Versions of a record that are kept.
pub(crate) const HISTORY_VERSIONS: u64 = 20;

/// A change that an operator wants.
#[derive(Clone, Debug)]
pub(crate) struct Draft {
    /// The kind.
    pub(crate) kind: RecordKind,
    /// The name.
    pub(crate) name: Arc<str>,
    /// What the record is to hold.
    pub(crate) body: Body,
    /// The version that the operator saw; 0 for none.
    pub(crate) expect: u64,
    /// The id by which the change is known when the command is repeated.
    pub(crate) change: Arc<str>,
    /// Who publishes it.
    pub(crate) author: Arc<str>,
    /// The newest version that a host has in force.
    pub(crate) in_force: Option<InForce>,
}

/// The newest version that a host has in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct InForce {
    /// The host.
    pub(crate) host: String,
    /// The version.
    pub(crate) version: u64,
}

/// Publishes a change and returns the record that holds it. If the change was published before,
/// nothing is written and the record of then is returned.
///
/// An answer that was lost is resolved by reading back: the same compare-and-swap is tried until
/// either the change is found stored or another one is. It can succeed once only, whenever it
/// takes effect.
///
/// # Errors
///
/// [`Code::Conflict`] with what differs if the version isn't the one expected;
/// [`Code::Unreachable`] if nothing can have been stored; [`Code::PublishUnknown`] if that could
/// not be found out by `patience`.
pub(crate) async fn publish(
    client: &Client,
    draft: &Draft,
    patience: Duration,
    rng: &mut impl Rng,
) -> Result<Record, Error> {
    let until = Instant::now() + patience;
    let mut backoff = Backoff::default();
    let mut sent = false;
    loop {
        let failure = match step(client, draft, &mut sent).await {
            Ok(Step::Done(record)) => return Ok(record),
            Ok(Step::Conflict(error)) => return Err(error),
            Ok(Step::Overtaken) => continue,
            Err(failure @ CallError::Refused(_)) => return Err(draft.given_up(sent, &failure)),
            Err(failure) => failure,
        };
        let pause = backoff.next_delay(rng);
        if Instant::now() + pause > until {
            return Err(draft.given_up(sent, &failure));
        }
        tokio::time::sleep(pause).await;
    }
}

enum Step {
    Done(Record),
    Conflict(Error),
    /// The record changed between the read and the write.
    Overtaken,
}

async fn step(client: &Client, draft: &Draft, sent: &mut bool) -> Result<Step, CallError> {
    let entry = client.get(client.keys.record(draft.kind, &draft.name)).await?;
    let held = entry.as_ref().map(|e| stored::read(draft.kind, &draft.name, &e.value));
    if let Some(record) = published_before(client, draft, held.as_ref()).await? {
        return Ok(Step::Done(record));
    }
    if let Some(error) = draft.conflict(held.as_ref()) {
        return Ok(Step::Conflict(error));
    }
    let record = draft.record();
    let txn = (client.kv.txn)(swap(client, entry.as_ref(), &record));
    match txn.await {
        Ok(done) if done.succeeded => Ok(Step::Done(record)),
        Ok(_) => Ok(Step::Overtaken),
        Err(failure) => {
            *sent |= matches!(failure, CallError::OutcomeUnknown(_));
            Err(failure)
        }
    }
}

/// Finds the record that the change made, also if newer ones followed.
async fn published_before(
    client: &Client,
    draft: &Draft,
    held: Option<&StoredRecord>,
) -> Result<Option<Record>, CallError> {
    let mine = |s: &StoredRecord| match s {
        StoredRecord::Readable(r) if r.change == draft.change => Some(r.clone()),
        _ => None,
    };
    let Some(held) = held else { return Ok(None) };
    if let Some(record) = mine(held) {
        return Ok(Some(record));
    }
    let history = history(client, draft.kind, &draft.name).await?;
    Ok(history.iter().find_map(mine))
}

/// Reads the kept versions of a record, oldest first.
///
/// # Errors
///
/// A [`CallError`] if there is no answer.
pub(crate) async fn history(
    client: &Client,
    kind: RecordKind,
    name: &str,
) -> Result<Vec<StoredRecord>, CallError> {
    let loaded = client.read_range(client.keys.versions(kind, name)).await?;
    Ok(loaded.entries.iter().map(|e| stored::read(kind, name, &e.value)).collect())
}

/// Stores a record and its place in the history, and drops the oldest version, if nobody has
/// changed the record since it was read.
fn swap(client: &Client, held: Option<&Entry>, record: &Record) -> Txn {
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
    Txn { compare: vec![Compare::Revision(key, held.map_or(0, |e| e.revision))], ops }
}

impl Draft {
    fn id(&self) -> String {
        format!("{} {:?}", self.kind, self.name)
    }

    fn record(&self) -> Record {
        Record {
            name: self.name.clone(),
            version: self.expect + 1,
            change: self.change.clone(),
            author: self.author.clone(),
            body: self.body.clone(),
        }
    }

    /// Returns the conflict with what is stored or in force, if there is one.
    fn conflict(&self, held: Option<&StoredRecord>) -> Option<Error> {
        let version = match held {
            None => 0,
            Some(StoredRecord::Readable(record)) => record.version,
            Some(StoredRecord::Unreadable(unreadable)) => unreadable.version.unwrap_or(u64::MAX),
        };
        let ahead = self.in_force.as_ref().filter(|i| i.version > version);
        let newest = ahead.map_or(version, |i| i.version);
        if newest == self.expect {
            return None;
        }
        let detail = match (ahead, held) {
            (Some(ahead), _) => self.behind(ahead, version),
            (None, Some(StoredRecord::Readable(record))) => self.differs(record),
            (None, Some(StoredRecord::Unreadable(_))) => {
                format!(
                    "{}: version {version} is stored and can't be read by this release",
                    self.id()
                )
            }
            (None, None) => {
                format!("{} does not exist, version {} was expected", self.id(), self.expect)
            }
        };
        Some(Error::new(Code::Conflict, detail))
    }

    fn differs(&self, held: &Record) -> String {
        let Record { version, author, change, .. } = held;
        let (theirs, mine) = (document::text(&held.body), document::text(&self.body));
        let stored = format!("version {version} by {author}");
        let diff = document::diff((&stored, &theirs), ("yours", &mine));
        format!(
            "{} is at version {version} by {author} (change {change}), version {} was expected\n{diff}",
            self.id(),
            self.expect,
        )
    }

    fn behind(&self, ahead: &InForce, version: u64) -> String {
        format!(
            "{}: host {:?} has version {} in force and the key-value service holds version \
             {version}, as if restored from an older copy; publish with --expect {}",
            self.id(),
            ahead.host,
            ahead.version,
            ahead.version,
        )
    }

    fn given_up(&self, sent: bool, failure: &CallError) -> Error {
        let (kind, name, change) = (self.kind, &self.name, &self.change);
        if !sent {
            let detail = format!("{}: nothing was stored: {failure}", self.id());
            return Error::new(Code::Unreachable, detail);
        }
        let detail = format!(
            "{}: {failure}; run the same command with --change {change} again, which publishes \
             once at most, or look for the change in `cornelferry {kind} history {name}`",
            self.id(),
        );
        Error::new(Code::PublishUnknown, detail)
    }
}
