//! The idle connections to upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::forward::connection::Connection;
use crate::time::Time;

/// Time after which an idle connection is closed: upstreams close theirs after some seconds, and each
/// holds a buffer.
const IDLE_MAX: Duration = Duration::from_secs(4);

/// Time after an unasked answer for which an upstream's connections carry one request each: such
/// faults last for seconds.
const DISTRUST: Duration = Duration::from_secs(5);

/// The idle connections of all upstreams, sorted by address.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    rows: Mutex<Vec<Row>>,
}

#[derive(Debug)]
struct Row {
    address: SocketAddr,
    open: Arc<Open>,
    /// Until when a connection carries one request only.
    distrusted_until: Time,
    /// In the order in which they were last alive.
    idle: Vec<Connection>,
}

/// The connections that are open to one upstream.
#[derive(Debug, Default)]
struct Open {
    count: AtomicU32,
    freed: Notify,
}

impl Pool {
    /// Takes the idle connection that was alive last, if it was alive at `alive_since` or later.
    pub(crate) fn take(&self, address: SocketAddr, alive_since: Time) -> Option<Connection> {
        let mut rows = self.rows.lock();
        let row = row(&mut rows, address);
        row.idle.retain(|c| !c.is_closed());
        let at = row.idle.iter().rposition(Connection::is_ready)?;
        (row.idle[at].alive >= alive_since).then(|| row.idle.remove(at))
    }

    /// Takes the right to open a connection, of which an upstream may have `max`. Closes an idle
    /// one to make room if there is one.
    pub(crate) fn reserve(&self, address: SocketAddr, max: u32) -> Option<ConnectionPermit> {
        let mut rows = self.rows.lock();
        let row = row(&mut rows, address);
        if row.open.count.load(Ordering::Acquire) >= max && !row.idle.is_empty() {
            row.idle.remove(0);
        }
        if row.open.count.load(Ordering::Acquire) >= max {
            return None;
        }
        row.open.count.fetch_add(1, Ordering::AcqRel);
        Some(ConnectionPermit(row.open.clone()))
    }

    /// Completes when a connection has been given back or closed. May complete early.
    pub(crate) async fn freed(&self, address: SocketAddr) {
        let open = row(&mut self.rows.lock(), address).open.clone();
        open.freed.notified().await;
    }

    /// Gives back a connection that has just given a whole answer.
    pub(crate) fn put(&self, address: SocketAddr, mut conn: Connection, now: Time) {
        conn.gate().disarm();
        conn.alive = now;
        if conn.is_closed() {
            return;
        }
        let mut rows = self.rows.lock();
        let row = row(&mut rows, address);
        if now < row.distrusted_until {
            return;
        }
        row.idle.push(conn);
        row.open.freed.notify_one();
    }

    /// Notes that an upstream sends answers that nobody asked for. For a while its connections
    /// carry one request each, so that no such answer meets a later request.
    pub(crate) fn distrust(&self, address: SocketAddr, now: Time) {
        let mut rows = self.rows.lock();
        let row = row(&mut rows, address);
        row.distrusted_until = now + DISTRUST;
        row.idle.clear();
    }

    /// Closes the idle connections that haven't been alive after `alive`, because one of that age
    /// went silent. Returns how many.
    pub(crate) fn suspect(&self, address: SocketAddr, alive: Time) -> usize {
        let mut rows = self.rows.lock();
        let idle = &mut row(&mut rows, address).idle;
        let before = idle.len();
        idle.retain(|c| c.alive > alive);
        before - idle.len()
    }

    /// Closes connections that have been idle for long, and forgets upstreams without any.
    pub(crate) fn expire(&self, now: Time) {
        let mut rows = self.rows.lock();
        for row in rows.iter_mut() {
            row.idle.retain(|c| !c.is_closed() && now.since(c.alive) < IDLE_MAX);
        }
        rows.retain(|r| Arc::strong_count(&r.open) > 1 || now < r.distrusted_until);
    }
}

fn row(rows: &mut Vec<Row>, address: SocketAddr) -> &mut Row {
    let at = rows.binary_search_by_key(&address, |r| r.address).unwrap_or_else(|at| {
        rows.insert(
            at,
            Row { address, open: Arc::default(), distrusted_until: Time::ZERO, idle: Vec::new() },
        );
        at
    });
    &mut rows[at]
}

/// The right to have one connection open.
#[derive(Debug)]
pub(crate) struct ConnectionPermit(Arc<Open>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::AcqRel);
        self.0.freed.notify_one();
    }
}
