//! Accepts connections from peers and serves them.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::peer::CALL_TIMEOUT;
use crate::peer::local::LocalState;
use crate::peer::session::Session;

/// The number of accepted connections that may be open at a time. Further ones are closed
/// immediately.
const CONNECTIONS_MAX: usize = 256;

/// The time without a digest from the peer after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The time without a question about allowances after which a connection that serves for them is
/// closed. Longer than the time after which the peer closes it.
const IDLE_TIMEOUT_ASKS: Duration = Duration::from_secs(40);

/// The time between two checks for an idle connection.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// The delay before accepting again after the operating system has returned an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts connections until the process exits.
pub(crate) async fn run(local: Rc<LocalState>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if open.get() == CONNECTIONS_MAX {
            continue;
        }
        open.set(open.get() + 1);
        let (local, open) = (local.clone(), open.clone());
        spawn_local(async move {
            serve(&local, stream).await;
            open.set(open.get() - 1);
        });
    }
}

/// Serves a connection until it is closed, idle, or a call to the peer fails.
async fn serve(local: &Rc<LocalState>, stream: TcpStream) {
    let (session, rpc_task) = Session::open(local, stream, Side::Server);
    tokio::select! {
        _ = rpc_task => {}
        () = wait_until_idle(&session) => {}
        () = nudge_on_changes(&session) => {}
        () = exchange_when_nudged(&session) => {}
    }
    session.close();
}

/// Completes once no digest has arrived from the peer for [`IDLE_TIMEOUT`], nor a question about
/// allowances for [`IDLE_TIMEOUT_ASKS`].
async fn wait_until_idle(session: &Session) {
    let is_in_use = || {
        let now = session.local.node.clock.now();
        now.since(session.last_digest()) < IDLE_TIMEOUT
            || session.last_ask().is_some_and(|at| now.since(at) < IDLE_TIMEOUT_ASKS)
    };
    while is_in_use() {
        sleep(IDLE_CHECK_INTERVAL).await;
    }
}

/// Exchanges digests whenever the session is nudged, because the peer's copy of the registry seems
/// to be newer. Returns if an exchange fails.
async fn exchange_when_nudged(session: &Rc<Session>) {
    loop {
        session.nudged.notified().await;
        if let Err(e) = session.exchange().await {
            log::debug!("digest exchange with peer failed: {e}");
            return;
        }
    }
}

/// Asks the peer to begin an exchange whenever there is something to send to it. Returns if a call
/// fails.
async fn nudge_on_changes(session: &Session) {
    let mut changes = session.local.node.change_feed.subscribe();
    let mut freshness = session.local.node.registry_freshness.subscribe();
    loop {
        tokio::select! {
            _ = changes.changed() => {}
            _ = freshness.changed() => {}
        }
        let is_for_digests = session.last_ask().is_none();
        if !is_for_digests || !session.has_unsent_changes() && !session.is_registry_ahead() {
            continue;
        }
        let Ok(client) = session.client() else { return };
        let call = client.nudge_request().send().promise;
        if !matches!(session.while_received(CALL_TIMEOUT, call).await, Some(Ok(_))) {
            return;
        }
    }
}
