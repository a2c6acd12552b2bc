//! Serves the connections that other hosts dial.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::peer::CALL_TIMEOUT;
use crate::peer::local::Local;
use crate::peer::session::Session;

/// Connections that may be open at once.
const CONNECTIONS_MAX: usize = 256;

/// The time without an exchange after which a connection is given up on.
const SILENCE_MAX: Duration = Duration::from_millis(3_000);

/// The time between two looks at a connection's silence.
const SILENCE_CHECK: Duration = Duration::from_millis(1_000);

/// The time to wait when the operating system can't give a connection.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// Accepts connections for the life of the process.
pub(crate) async fn run(local: Rc<Local>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY).await;
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

async fn serve(local: &Rc<Local>, stream: TcpStream) {
    let (session, carrier) = Session::open(local, stream, Side::Server);
    tokio::select! {
        _ = carrier => {}
        () = silence(&session) => {}
        () = nudge(&session) => {}
        () = ask(&session) => {}
    }
    session.close();
}

/// Returns when the other side has been silent for too long.
async fn silence(session: &Session) {
    while session.local.node.clock.now().since(session.exchanged()) < SILENCE_MAX {
        sleep(SILENCE_CHECK).await;
    }
}

/// Exchanges digests whenever the other side seems to know more of the registry. Returns if it
/// doesn't answer.
async fn ask(session: &Rc<Session>) {
    loop {
        session.nudged.notified().await;
        if let Err(e) = session.exchange().await {
            log::debug!("exchange with peer: {e}");
            return;
        }
    }
}

/// Asks the other side for an exchange whenever there is something to tell it. Returns if it doesn't
/// answer.
async fn nudge(session: &Session) {
    let mut news = session.local.node.change_feed.subscribe();
    let mut registry = session.local.node.registry_freshness.subscribe();
    loop {
        tokio::select! {
            _ = news.changed() => {}
            _ = registry.changed() => {}
        }
        if !session.has_news() && !session.is_ahead() {
            continue;
        }
        let Ok(remote) = session.remote() else { return };
        let call = remote.nudge_request().send().promise;
        if !matches!(timeout(CALL_TIMEOUT, call).await, Ok(Ok(_))) {
            return;
        }
    }
}
