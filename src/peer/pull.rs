//! Fetches records that a peer has and this host lacks.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use capnp::Error;
use tokio::task::spawn_local;

use crate::decide::digest::{Version, newer_versions};
use crate::decide::fetch;
use crate::decide::stored::{self, StoredRecord};
use crate::peer::codec;
use crate::peer::local::Local;
use crate::peer::session::Session;
use crate::time::Time;

/// The time after which a fetch that has no answer is given up on.
const FETCH_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Records asked for in one call.
const BATCH: usize = 64;

/// The time between two comparisons of whole catalogs over one connection.
const COMPARE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Comparisons of whole catalogs that one host makes at a time, so that what a host without records
/// fetches doesn't fill its link: one, and one more in case the first peer is silent.
const COMPARISONS_MAX: usize = 2;

/// The time for which the other side may seem to be behind before catalogs are compared.
const BEHIND_MAX: Duration = Duration::from_millis(2_000);

/// What a connection's fetches have come to.
#[derive(Debug, Default)]
pub(crate) struct Pulls {
    running: Cell<bool>,
    compared: Cell<Option<Time>>,
    differs_since: Cell<Option<Time>>,
}

/// Fetches `wanted`, and compares the whole catalogs if they still differ after that. What can't be
/// fetched now, because another peer or this connection is at it, is fetched later if it is still
/// lacking then.
pub(crate) fn start(session: &Rc<Session>, wanted: Vec<Version>, pauses: u64) {
    if session.pulls.running.replace(true) {
        return start_later(session, wanted, pauses);
    }
    let now = session.local.node.clock.now();
    let mut fetches = session.local.fetches.borrow_mut();
    let (wanted, later): (Vec<Version>, Vec<Version>) =
        wanted.into_iter().partition(|v| fetches.begin(v, now));
    drop(fetches);
    start_later(session, later, pauses);
    let session = session.clone();
    spawn_local(async move {
        if let Err(e) = pull(&session, wanted, pauses).await {
            log::debug!("fetch from peer: {e}");
        }
        session.pulls.running.set(false);
    });
}

fn start_later(session: &Rc<Session>, wanted: Vec<Version>, pauses: u64) {
    if wanted.is_empty() {
        return;
    }
    let session = session.clone();
    spawn_local(async move {
        tokio::time::sleep(fetch::AGAIN_AFTER).await;
        let lacking = newer_versions(&session.local.node.catalog.lock(), wanted);
        if !lacking.is_empty() && session.remote().is_ok() {
            start(&session, lacking, pauses);
        }
    });
}

async fn pull(session: &Session, wanted: Vec<Version>, pauses: u64) -> Result<(), Error> {
    fetch(session, wanted).await?;
    if is_comparison_due(session) {
        let _comparison = Comparison::begin(&session.local);
        let remote = session.remote()?;
        let reply = in_time(remote.versions_request().send().promise).await?;
        let offered = codec::read_versions(reply.get()?.get_versions()?)?;
        let wanted = newer_versions(&session.local.node.catalog.lock(), offered);
        fetch(session, wanted).await?;
        session.pulls.compared.set(Some(session.local.node.clock.now()));
    } else if !session.has_equal_records() {
        return Ok(());
    }
    if let Some(host) = session.host().filter(|_| !session.is_stale.get()) {
        session.local.node.members.lock().set_synced(&host);
        session.local.node.mark_resynced(pauses);
    }
    Ok(())
}

/// A comparison of whole catalogs that is under way.
struct Comparison<'a>(&'a Local);

impl Comparison<'_> {
    fn begin(local: &Local) -> Comparison<'_> {
        local.comparisons.set(local.comparisons.get() + 1);
        Comparison(local)
    }
}

impl Drop for Comparison<'_> {
    fn drop(&mut self) {
        self.0.comparisons.set(self.0.comparisons.get() - 1);
    }
}

/// Tells whether the two catalogs differ in a way that single fetches did not mend: at once for a host
/// that has no records yet or was paused, else after a while, as what comes into force reaches hosts
/// at different times.
fn is_comparison_due(session: &Session) -> bool {
    let pulls = &session.pulls;
    let now = session.local.node.clock.now();
    let Some(theirs) = session.theirs.get().filter(|_| !session.has_equal_records()) else {
        pulls.differs_since.set(None);
        return false;
    };
    let since = pulls.differs_since.get().unwrap_or(now);
    pulls.differs_since.set(Some(since));
    if session.local.comparisons.get() >= COMPARISONS_MAX {
        return false;
    }
    let is_behind = session.local.summary().versions == 0
        || session.local.node.pause_detector.lock().is_stale(now);
    if is_behind && pulls.compared.get().is_none() {
        return true;
    }
    let compared = pulls.compared.get().unwrap_or(since);
    let ahead = theirs.versions > session.local.summary().versions;
    now.since(compared) >= COMPARE_INTERVAL && (ahead || now.since(since) >= BEHIND_MAX)
}

async fn fetch(session: &Session, wanted: Vec<Version>) -> Result<(), Error> {
    let readable = |v: &Version| !session.local.unreadable.borrow().contains(v);
    let wanted: Vec<Version> = wanted.into_iter().filter(readable).collect();
    let mut left = wanted.as_slice();
    while !left.is_empty() {
        let batch = &left[..left.len().min(BATCH)];
        let mut req = session.remote()?.records_request();
        codec::write_versions(batch, req.get().init_wanted(batch.len() as u32));
        let reply = in_time(req.send().promise).await?;
        let records = reply.get()?.get_records()?;
        let count = (records.len() as usize).min(batch.len());
        if count == 0 {
            return Err(Error::failed("peer returns no record".into()));
        }
        for (i, version) in batch.iter().take(count).enumerate() {
            offer(&session.local, version, records.get(i as u32)?);
        }
        left = &left[count..];
    }
    Ok(())
}

fn offer(local: &Local, version: &Version, json: &[u8]) {
    if json.is_empty() {
        return;
    }
    match stored::read(version.kind, &version.name, json) {
        StoredRecord::Readable(record) => {
            local.node.offer(vec![record]);
        }
        StoredRecord::Unreadable(unreadable) => {
            local.node.note_unreadable(unreadable);
            local.unreadable.borrow_mut().push(version.clone());
        }
    }
}

async fn in_time<T>(call: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    tokio::time::timeout(FETCH_TIMEOUT, call)
        .await
        .unwrap_or_else(|_| Err(Error::overloaded("no answer in time".into())))
}
