//! Dials one neighbour and exchanges digests with it.

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
use crate::peer::local::Local;
use crate::peer::session::{NoExchange, Session};
use crate::time::Time;

/// The time allowed for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The first wait before a host is dialled again, doubled with each failure.
const BACK_OFF: Duration = Duration::from_millis(50);

/// The longest wait before a host is dialled again.
const BACK_OFF_MAX: Duration = Duration::from_millis(400);

/// The least time between two exchanges, however much news there is.
const EXCHANGE_GAP: Duration = Duration::from_millis(20);

/// The share by which a wait varies to either side.
const JITTER: f64 = 0.1;

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    /// No connection could be had.
    Unconnected,
    /// The other side closed it or refused.
    Closed,
    /// A call had no answer in time.
    Silent,
}

/// Keeps a link to a host for as long as it is polled.
pub(crate) async fn keep(local: Rc<Local>, host: Arc<str>, address: SocketAddr) {
    let mut silent = false;
    let mut back_off = BACK_OFF;
    loop {
        let mut exchanges = 0_u64;
        let ended = connect(&local, address, |first| {
            exchanges += 1;
            if first && silent {
                let subject = Subject { peer: Some(host.clone()), ..Subject::default() };
                local.node.events.record(EventCode::PeerLinkReplaced, subject, None);
                silent = false;
            }
        })
        .await;
        silent |= ended == Ended::Silent;
        back_off = if exchanges > 0 { BACK_OFF } else { (back_off * 2).min(BACK_OFF_MAX) };
        sleep(jittered(back_off)).await;
    }
}

async fn connect(local: &Rc<Local>, address: SocketAddr, answered: impl FnMut(bool)) -> Ended {
    let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
        return Ended::Unconnected;
    };
    let (session, carrier) = Session::open(local, stream, Side::Client);
    let carrier = AbortOnDropHandle::new(spawn_local(carrier));
    let closing = Closing(session.clone());
    let ended = exchange(&session, answered).await;
    drop(closing);
    drop(carrier);
    ended
}

/// Closes a session, also when the task that holds it is aborted.
struct Closing(Rc<Session>);

impl Drop for Closing {
    fn drop(&mut self) {
        self.0.close();
    }
}

async fn exchange(session: &Rc<Session>, mut answered: impl FnMut(bool)) -> Ended {
    let local = &session.local;
    let mut news = local.node.change_feed.subscribe();
    let mut registry = local.node.registry_freshness.subscribe();
    let mut first = true;
    loop {
        news.mark_unchanged();
        registry.mark_unchanged();
        // What the other side asked for an exchange for comes with its answer.
        let _ = session.nudged.notified().now_or_never();
        match session.exchange().await {
            Err(NoExchange::Silent) => return Ended::Silent,
            Err(NoExchange::Failed(e)) => {
                log::debug!("exchange with peer: {e}");
                return Ended::Closed;
            }
            Ok(()) => {}
        }
        answered(first);
        first = false;
        sleep(EXCHANGE_GAP).await;
        let wait = jittered(interval(local));
        tokio::select! {
            () = sleep(wait.saturating_sub(EXCHANGE_GAP)) => {}
            _ = news.changed() => {}
            () = progress(&mut registry, session) => {}
            () = session.nudged.notified() => {}
        }
    }
}

/// Completes when this host's knowledge of the registry is well ahead of the other side's.
async fn progress(registry: &mut watch::Receiver<Time>, session: &Session) {
    while !session.is_ahead() {
        if registry.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

fn interval(local: &Local) -> Duration {
    let is_large = local.node.members.lock().is_large();
    local.traffic.interval(is_large, local.node.clock.now())
}

fn jittered(wait: Duration) -> Duration {
    wait.mul_f64(rand::rng().random_range(1.0 - JITTER..1.0 + JITTER))
}
