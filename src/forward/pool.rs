//! The pool of idle connections to upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::forward::connection::Connection;
use crate::time::Time;

/// Time after which an idle connection is closed if its upstream has named none. Upstreams close idle
/// connections after a few seconds, and each connection holds a buffer.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time for which an upstream's connections are not reused after it sent an unsolicited response.
/// Such faults last for seconds.
const REUSE_DISABLED_PERIOD: Duration = Duration::from_secs(5);

/// The idle connections of all upstreams, sorted by address.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    upstreams: Mutex<Vec<UpstreamPool>>,
}

#[derive(Debug)]
struct UpstreamPool {
    address: SocketAddr,
    open: Arc<OpenConnections>,
    /// Connections are used for a single request until this time.
    reuse_disabled_until: Time,
    /// Sorted by the time at which they were last alive.
    idle: Vec<Connection>,
}

/// The number of open connections to one upstream, shared with their permits.
#[derive(Debug, Default)]
struct OpenConnections {
    count: AtomicU32,
    released: Notify,
}

impl Pool {
    /// Takes the most recently alive idle connection, if it was alive at `alive_since` or later.
    pub(crate) fn take(&self, address: SocketAddr, alive_since: Time) -> Option<Connection> {
        let mut upstreams = self.upstreams.lock();
        let pool = upstream_pool(&mut upstreams, address);
        pool.idle.retain(|c| !c.is_closed());
        let at = pool.idle.iter().rposition(Connection::is_ready)?;
        (pool.idle[at].last_alive >= alive_since).then(|| pool.idle.remove(at))
    }

    /// Reserves one of the `max` connections that this host may open to an upstream. If all are
    /// open, closes the one that was idle for the longest time. Returns `None` if none is idle.
    pub(crate) fn reserve(&self, address: SocketAddr, max: u32) -> Option<ConnectionPermit> {
        let mut upstreams = self.upstreams.lock();
        let pool = upstream_pool(&mut upstreams, address);
        if pool.open.count.load(Ordering::Acquire) >= max && !pool.idle.is_empty() {
            pool.idle.remove(0);
        }
        if pool.open.count.load(Ordering::Acquire) >= max {
            return None;
        }
        pool.open.count.fetch_add(1, Ordering::AcqRel);
        Some(ConnectionPermit(pool.open.clone()))
    }

    /// Returns the addresses of the upstreams to which connections are idle, sorted.
    pub(crate) fn idle_addresses(&self) -> Vec<SocketAddr> {
        let has_idle = |p: &&UpstreamPool| p.idle.iter().any(|c| !c.is_closed());
        self.upstreams.lock().iter().filter(has_idle).map(|p| p.address).collect()
    }

    /// Completes when a connection was returned or closed. May complete spuriously.
    pub(crate) async fn released(&self, address: SocketAddr) {
        let open = upstream_pool(&mut self.upstreams.lock(), address).open.clone();
        open.released.notified().await;
    }

    /// Returns a connection to the pool after a complete response. Closes it instead while the
    /// upstream's connections are not reused.
    pub(crate) fn put(&self, address: SocketAddr, mut conn: Connection, now: Time) {
        conn.gate().disarm();
        conn.last_alive = now;
        conn.is_used = true;
        if conn.is_closed() {
            return;
        }
        let mut upstreams = self.upstreams.lock();
        let pool = upstream_pool(&mut upstreams, address);
        if now < pool.reuse_disabled_until {
            return;
        }
        pool.idle.push(conn);
        pool.open.released.notify_one();
    }

    /// Stops reusing an upstream's connections for a while, after it sent a response that no
    /// request asked for. With a single request per connection, such a response can't be taken for
    /// that of a later request.
    pub(crate) fn disable_reuse(&self, address: SocketAddr, now: Time) {
        let mut upstreams = self.upstreams.lock();
        let pool = upstream_pool(&mut upstreams, address);
        pool.reuse_disabled_until = now + REUSE_DISABLED_PERIOD;
        pool.idle.clear();
    }

    /// Closes the idle connections that were last alive at `last_alive` or earlier, because a
    /// connection of that age stopped responding. Returns how many were closed.
    pub(crate) fn close_stale_idle(&self, address: SocketAddr, last_alive: Time) -> usize {
        let mut upstreams = self.upstreams.lock();
        let idle = &mut upstream_pool(&mut upstreams, address).idle;
        let before = idle.len();
        idle.retain(|c| c.last_alive > last_alive);
        before - idle.len()
    }

    /// Closes connections whose idle timeout has passed, and removes upstreams without open
    /// connections unless their reuse is disabled.
    pub(crate) fn expire(&self, now: Time) {
        let mut upstreams = self.upstreams.lock();
        for pool in upstreams.iter_mut() {
            pool.idle.retain(|c| !c.is_closed() && now.since(c.last_alive) < c.idle_timeout);
        }
        upstreams.retain(|p| Arc::strong_count(&p.open) > 1 || now < p.reuse_disabled_until);
    }
}

/// Returns the pool of an upstream. Adds an empty one if there is none.
fn upstream_pool(upstreams: &mut Vec<UpstreamPool>, address: SocketAddr) -> &mut UpstreamPool {
    let at = upstreams.binary_search_by_key(&address, |p| p.address).unwrap_or_else(|at| {
        upstreams.insert(
            at,
            UpstreamPool {
                address,
                open: Arc::default(),
                reuse_disabled_until: Time::ZERO,
                idle: Vec::new(),
            },
        );
        at
    });
    &mut upstreams[at]
}

/// A permit for one open connection, returned when dropped.
#[derive(Debug)]
pub(crate) struct ConnectionPermit(Arc<OpenConnections>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::AcqRel);
        self.0.released.notify_one();
    }
}
