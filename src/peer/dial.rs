//! Dials a peer and exchanges digests with it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use futures_util::FutureExt;
use rand::Rng;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

use crate::event::{EventCode, Subject};
use crate::peer::local::LocalState;
use crate::peer::session::{ExchangeError, Session};
use crate::time::Time;

/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The delay before a peer is dialled again after a connection on which digests were exchanged. It
/// doubles with each attempt that fails before an exchange, the first one included.
const BACKOFF_MIN: Duration = Duration::from_millis(50);

/// The maximum delay before a peer is dialled again.
const BACKOFF_MAX: Duration = Duration::from_millis(400);

/// The fraction by which a delay varies randomly in either direction.
const JITTER: f64 = 0.1;

/// The reason why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DisconnectReason {
    /// No connection could be established.
    ConnectFailed,
    /// The connection was closed, the peer rejected a call, or its digest was rejected.
    Closed,
    /// A call timed out.
    TimedOut,
}

/// Maintains a connection to a peer for as long as the future is polled.
pub(crate) async fn maintain(local: Rc<LocalState>, host: Arc<str>, address: SocketAddr) {
    let mut timed_out = false;
    let mut backoff = BACKOFF_MIN;
    loop {
        let mut exchanges = 0_u64;
        let reason = connect(&local, address, |is_first| {
            exchanges += 1;
            if is_first && timed_out {
                let subject = Subject { peer: Some(host.clone()), ..Subject::default() };
                local.node.events.record(EventCode::PeerLinkReplaced, subject, None);
                timed_out = false;
            }
        })
        .await;
        timed_out |= reason == DisconnectReason::TimedOut;
        backoff = if exchanges > 0 { BACKOFF_MIN } else { (backoff * 2).min(BACKOFF_MAX) };
        sleep(jittered(backoff)).await;
    }
}

/// Connects to a peer and exchanges digests until the connection ends. `on_exchange` is called
/// after each exchange, with whether it was the first one.
async fn connect(
    local: &Rc<LocalState>,
    address: SocketAddr,
    on_exchange: impl FnMut(bool),
) -> DisconnectReason {
    let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
        return DisconnectReason::ConnectFailed;
    };
    let (session, rpc_task) = Session::open(local, stream, Side::Client);
    let rpc_task = AbortOnDropHandle::new(spawn_local(rpc_task));
    let close_guard = CloseOnDrop(session.clone());
    let reason = run_exchanges(&session, on_exchange).await;
    drop(close_guard);
    drop(rpc_task);
    reason
}

/// A guard that closes the session when dropped, which includes the case that its task is aborted.
struct CloseOnDrop(Rc<Session>);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// Exchanges digests at intervals, and at once when there is something to send or the peer asks for
/// it.
async fn run_exchanges(
    session: &Rc<Session>,
    mut on_exchange: impl FnMut(bool),
) -> DisconnectReason {
    let local = &session.local;
    let mut changes = local.node.change_feed.subscribe();
    let mut freshness = local.node.registry_freshness.subscribe();
    let mut is_first = true;
    loop {
        changes.mark_unchanged();
        freshness.mark_unchanged();
        // This exchange also serves an earlier nudge.
        let _ = session.nudged.notified().now_or_never();
        match session.exchange().await {
            Err(ExchangeError::TimedOut) => return DisconnectReason::TimedOut,
            Err(ExchangeError::Failed(e)) => {
                log::debug!("digest exchange with peer failed: {e}");
                return DisconnectReason::Closed;
            }
            Ok(()) => {}
        }
        on_exchange(is_first);
        is_first = false;
        let is_large = local.node.members.lock().is_large();
        let min = local.traffic.exchange_interval_min(is_large);
        sleep(min).await;
        let wait = local.traffic.exchange_interval(is_large, local.node.clock.now());
        tokio::select! {
            () = sleep(jittered(wait).saturating_sub(min)) => {}
            _ = changes.changed() => {}
            () = wait_for_registry_lead(&mut freshness, session) => {}
            () = session.nudged.notified() => {}
        }
    }
}

/// Completes once this host's copy of the registry is well ahead of the peer's.
async fn wait_for_registry_lead(freshness: &mut watch::Receiver<Time>, session: &Session) {
    while !session.is_registry_ahead() {
        if freshness.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

fn jittered(delay: Duration) -> Duration {
    delay.mul_f64(rand::rng().random_range(1.0 - JITTER..1.0 + JITTER))
}
