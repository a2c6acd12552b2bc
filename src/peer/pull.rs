//! Fetches the records that a peer has and this host lacks.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use capnp::capability::Response;
use capnp::{Error, ErrorKind, data_list};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::decide::catalog::{Body, OfferOutcome, Record, RecordKind};
use crate::decide::digest::{RecordVersion, newer_versions};
use crate::decide::fetch;
use crate::decide::stored::{self, StoredRecord};
use crate::event::EventCode;
use crate::peer::local::LocalState;
use crate::peer::peer_capnp::peer;
use crate::peer::session::Session;
use crate::peer::{codec, deflate};
use crate::time::Time;

/// A peer's response with routes.
type RoutesResponse = Response<peer::routes_results::Owned>;

/// The fingerprint that stands for no routes.
const NO_ROUTES: u64 = 0;

/// The time without any bytes from the peer after which a call that fetches versions or records is
/// given up.
const FETCH_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The number of records requested in one call.
const BATCH_SIZE: usize = 64;

/// The size of fetched records that are recorded as an event: 13 ms of a link of 10 Mbit/s.
const LARGE_FETCH_BYTES: usize = 16 << 10;

/// The time between two checks whether routes have arrived from another peer.
const ROUTES_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The minimum time between two catalog comparisons on one connection.
const COMPARE_INTERVAL: Duration = Duration::from_millis(1_000);

/// The number of catalog comparisons that a host makes at a time: one, and a second one in case the
/// first peer doesn't respond. More of them could fill the network link of a host that starts
/// without records.
const COMPARISONS_MAX: usize = 2;

/// The time for which the catalogs may differ, while the peer's does not seem to be newer, before
/// they are compared.
const DIFFERENCE_MAX: Duration = Duration::from_millis(2_000);

/// The state of the fetches on one connection.
#[derive(Debug, Default)]
pub(crate) struct PullState {
    is_running: Cell<bool>,
    /// Whether the peer doesn't know the call that returns changes of the routes.
    lacks_routes_call: Cell<bool>,
    last_comparison: Cell<Option<Time>>,
    /// Since when the catalogs have differed; `None` if they were equal at the last check.
    differs_since: Cell<Option<Time>>,
}

/// Starts to fetch `wanted`, and to compare the whole catalogs afterwards if they still differ.
/// Versions that can't be fetched now, because a fetch on this connection is running or another
/// peer is sending them, are fetched later if they are still missing then. `pauses` is the number
/// of pauses of this host before the versions were announced.
pub(crate) fn start(session: &Rc<Session>, wanted: Vec<RecordVersion>, pauses: u64) {
    let is_routes = |v: &RecordVersion| v.kind == RecordKind::Routing;
    let (routes, wanted): (Vec<RecordVersion>, Vec<RecordVersion>) =
        wanted.into_iter().partition(is_routes);
    routes.into_iter().for_each(|version| start_routes(session, version, pauses));
    if session.pull_state.is_running.replace(true) {
        return retry_later(session, wanted, pauses);
    }
    let now = session.local.node.clock.now();
    let mut fetches = session.local.fetches.borrow_mut();
    let (wanted, later): (Vec<RecordVersion>, Vec<RecordVersion>) =
        wanted.into_iter().partition(|v| fetches.try_begin(v, now));
    drop(fetches);
    retry_later(session, later, pauses);
    let session = session.clone();
    spawn_local(async move {
        if let Err(e) = pull(&session, wanted, pauses).await {
            record_failure(&session, &e, now);
        }
        session.pull_state.is_running.set(false);
    });
}

/// Starts to fetch the routes. They are the largest record, so nothing else waits for them.
fn start_routes(session: &Rc<Session>, version: RecordVersion, pauses: u64) {
    if session.local.unreadable.borrow().contains(&version) {
        return;
    }
    let now = session.local.node.clock.now();
    if !session.local.fetches.borrow_mut().try_begin(&version, now) {
        return retry_later(session, vec![version], pauses);
    }
    let session = session.clone();
    spawn_local(async move {
        match fetch_routes(&session, &version).await {
            // This host may have all of the peer's records now.
            Ok(()) => start(&session, Vec::new(), pauses),
            Err(e) => record_failure(&session, &e, now),
        }
    });
}

fn record_failure(session: &Session, failure: &Error, began: Time) {
    log::debug!("fetching records from peer failed: {failure}");
    let node = &session.local.node;
    let took = u64::try_from(node.clock.now().since(began).as_millis()).ok();
    node.events.record(EventCode::FetchFailed, session.subject(), took);
}

fn retry_later(session: &Rc<Session>, wanted: Vec<RecordVersion>, pauses: u64) {
    if wanted.is_empty() {
        return;
    }
    let session = session.clone();
    spawn_local(async move {
        sleep(fetch::RETRY_DELAY).await;
        let missing = newer_versions(&session.local.node.catalog.lock(), wanted);
        if !missing.is_empty() && session.client().is_ok() {
            start(&session, missing, pauses);
        }
    });
}

/// Fetches `wanted`, compares the catalogs if that is due, and marks the peer as synced and this
/// host as resynchronised if it then has all of the peer's records. A peer that may lack the newest
/// records itself after a pause doesn't count.
async fn pull(session: &Session, wanted: Vec<RecordVersion>, pauses: u64) -> Result<(), Error> {
    fetch_records(session, wanted).await?;
    if is_comparison_due(session) {
        let _comparison = ComparisonGuard::new(&session.local);
        let client = session.client()?;
        let reply = with_timeout(session, client.versions_request().send().promise).await?;
        let offered = codec::read_versions(reply.get()?.get_versions()?)?;
        let wanted = newer_versions(&session.local.node.catalog.lock(), offered);
        fetch_records(session, wanted).await?;
        session.pull_state.last_comparison.set(Some(session.local.node.clock.now()));
    } else if !session.has_equal_records() {
        return Ok(());
    }
    if let Some(host) = session.host().filter(|_| !session.is_peer_stale.get()) {
        session.local.node.members.lock().set_synced(&host);
        session.local.node.mark_resynced(pauses);
    }
    Ok(())
}

/// A guard that counts a catalog comparison as in progress until it is dropped.
struct ComparisonGuard<'a>(&'a LocalState);

impl ComparisonGuard<'_> {
    fn new(local: &LocalState) -> ComparisonGuard<'_> {
        local.comparisons.set(local.comparisons.get() + 1);
        ComparisonGuard(local)
    }
}

impl Drop for ComparisonGuard<'_> {
    fn drop(&mut self) {
        self.0.comparisons.set(self.0.comparisons.get() - 1);
    }
}

/// Returns whether the whole catalogs should be compared because fetching the announced versions
/// has not made them equal, and keeps track of how long they have differed. A host that has no
/// records yet or was paused makes its first comparison on a connection at once. Otherwise it waits
/// for a while, since a new record reaches hosts at different times.
fn is_comparison_due(session: &Session) -> bool {
    let pull_state = &session.pull_state;
    let now = session.local.node.clock.now();
    let Some(theirs) = session.peer_summary.get().filter(|_| !session.has_equal_records()) else {
        pull_state.differs_since.set(None);
        return false;
    };
    let differs_since = pull_state.differs_since.get().unwrap_or(now);
    pull_state.differs_since.set(Some(differs_since));
    if session.local.comparisons.get() >= COMPARISONS_MAX {
        return false;
    }
    let is_behind = session.local.catalog_summary().version_sum == 0
        || session.local.node.pause_detector.lock().is_stale(now);
    if is_behind && pull_state.last_comparison.get().is_none() {
        return true;
    }
    let last_comparison = pull_state.last_comparison.get().unwrap_or(differs_since);
    let is_peer_ahead = theirs.version_sum > session.local.catalog_summary().version_sum;
    now.since(last_comparison) >= COMPARE_INTERVAL
        && (is_peer_ahead || now.since(differs_since) >= DIFFERENCE_MAX)
}

/// Fetches `wanted` in batches and offers the records to the catalog. Skips versions that were
/// fetched before and that this release can't read.
///
/// The routes come last, as the largest record, and as changes of those in force if possible.
async fn fetch_records(session: &Session, wanted: Vec<RecordVersion>) -> Result<(), Error> {
    let is_readable = |v: &RecordVersion| !session.local.unreadable.borrow().contains(v);
    let is_routes = |v: &RecordVersion| {
        v.kind == RecordKind::Routing && !session.pull_state.lacks_routes_call.get()
    };
    let (routes, wanted): (Vec<RecordVersion>, Vec<RecordVersion>) =
        wanted.into_iter().filter(is_readable).partition(is_routes);
    fetch_in_batches(session, wanted).await?;
    match routes.first() {
        Some(version) => await_routes(session, version).await,
        None => Ok(()),
    }
}

/// Fetches the routes, unless they are being fetched from another peer. Then waits for that.
async fn await_routes(session: &Session, version: &RecordVersion) -> Result<(), Error> {
    let node = &session.local.node;
    while !newer_versions(&node.catalog.lock(), vec![version.clone()]).is_empty() {
        if session.local.fetches.borrow_mut().try_begin(version, node.clock.now()) {
            return fetch_routes(session, version).await;
        }
        sleep(ROUTES_CHECK_INTERVAL).await;
    }
    Ok(())
}

/// Fetches `wanted` in batches and offers the records to the catalog.
async fn fetch_in_batches(session: &Session, wanted: Vec<RecordVersion>) -> Result<(), Error> {
    let mut remaining = wanted.as_slice();
    while !remaining.is_empty() {
        let batch = &remaining[..remaining.len().min(BATCH_SIZE)];
        let mut req = session.client()?.records_request();
        codec::write_versions(batch, req.get().init_wanted(batch.len() as u32));
        let reply = with_timeout(session, req.send().promise).await?;
        let records = reply.get()?.get_records()?;
        record_size(session, size(&records)?);
        let count = (records.len() as usize).min(batch.len());
        if count == 0 {
            return Err(Error::failed("peer returned no records".into()));
        }
        let mut readable = Vec::new();
        for (i, version) in batch.iter().take(count).enumerate() {
            readable.extend(parse(&session.local, version, records.get(i as u32)?));
        }
        offer(session, readable);
        remaining = &remaining[count..];
    }
    Ok(())
}

/// Fetches the changes of the routes since those in force, and applies them one after the other. If
/// one can't be applied, fetches the whole record.
async fn fetch_routes(session: &Session, version: &RecordVersion) -> Result<(), Error> {
    let node = &session.local.node;
    let held = node.routes_fingerprint();
    let response = match request_routes(session, version, held).await {
        Err(e) if e.kind == ErrorKind::Unimplemented => {
            session.pull_state.lacks_routes_call.set(true);
            return fetch_in_batches(session, vec![version.clone()]).await;
        }
        response => response?,
    };
    let response = response.get()?;
    let changes = response.get_changes()?;
    for i in 0..changes.len() {
        let Err(e) = node.offer_routes_change(session.host(), changes.get(i)?) else { continue };
        // This host may have read the same version, or a later one, in the meantime.
        if node.routes_version() >= version.version {
            return Ok(());
        }
        log::info!("routes: a peer's change: {e:#}; fetching all routes");
        let response = request_routes(session, version, NO_ROUTES).await?;
        return offer_whole(session, version, response.get()?.get_whole()?);
    }
    offer_whole(session, version, response.get_whole()?)
}

/// Requests the routes, of which this host holds those with the fingerprint `held`. No other peer is
/// asked for them while the response keeps arriving.
async fn request_routes(
    session: &Session,
    version: &RecordVersion,
    held: u64,
) -> Result<RoutesResponse, Error> {
    let mut req = session.client()?.routes_request();
    req.get().set_held(held);
    let mut call = pin!(with_timeout(session, req.send().promise));
    let response = loop {
        if let Ok(response) = timeout(fetch::RETRY_DELAY / 2, &mut call).await {
            break response?;
        }
        session.local.fetches.borrow_mut().renew(version, session.last_received());
    };
    let reader = response.get()?;
    record_size(session, size(&reader.get_changes()?)? + reader.get_whole()?.len());
    Ok(response)
}

/// Offers the whole routing record to the catalog, unless `deflated` is empty.
fn offer_whole(session: &Session, version: &RecordVersion, deflated: &[u8]) -> Result<(), Error> {
    if deflated.is_empty() {
        return Ok(());
    }
    let json = deflate::decode(deflated).map_err(|e| Error::failed(format!("routes: {e:#}")))?;
    offer(session, parse(&session.local, version, &json).into_iter().collect());
    Ok(())
}

fn size(data: &data_list::Reader<'_>) -> Result<usize, Error> {
    data.iter().map(|bytes| bytes.map(<[u8]>::len)).sum()
}

/// Counts the bytes of fetched records, and records the event of a large response.
fn record_size(session: &Session, bytes: usize) {
    let node = &session.local.node;
    node.metrics.count_fetched_bytes(bytes);
    if bytes >= LARGE_FETCH_BYTES {
        node.events.record(EventCode::LargeFetch, session.subject(), u64::try_from(bytes).ok());
    }
}

/// Offers fetched records to the catalog.
fn offer(session: &Session, records: Vec<Record>) {
    let is_upstream: Vec<bool> = records.iter().map(|r| matches!(r.body, Body::Host(_))).collect();
    let node = &session.local.node;
    let outcomes = node.offer_from(session.host(), records);
    let is_new =
        |(o, is_upstream): (&OfferOutcome, bool)| *o == OfferOutcome::InForce && is_upstream;
    if outcomes.iter().zip(is_upstream).any(is_new) {
        node.registry_freshness.doubt_own_read();
    }
}

/// Returns a fetched record, unless this release can't read it. An empty `json` means that the peer
/// no longer has the record.
fn parse(local: &LocalState, version: &RecordVersion, json: &[u8]) -> Option<Record> {
    if json.is_empty() {
        return None;
    }
    match stored::read(version.kind, &version.name, json) {
        StoredRecord::Readable(record) => Some(record),
        StoredRecord::Unreadable(unreadable) => {
            local.node.record_unreadable(unreadable);
            local.unreadable.borrow_mut().push(version.clone());
            None
        }
    }
}

/// Waits for a call as long as the peer sends anything, see [`Session::while_received`].
async fn with_timeout<T>(
    session: &Session,
    call: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let done = session.while_received(FETCH_TIMEOUT, call).await;
    done.unwrap_or_else(|| Err(Error::overloaded("timed out".into())))
}
