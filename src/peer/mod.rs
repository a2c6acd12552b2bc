//! The link between entry hosts: digests over capnp-rpc.
//!
//! Every host dials some of its neighbours and is dialled by the others. Who talks to whom is decided
//! by [`crate::decide::topology`] alone; nothing here depends on it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::node::Node;

mod accept;
mod codec;
mod dial;
pub(crate) mod feed;
mod links;
mod local;
#[rustfmt::skip]
#[allow(missing_docs, unreachable_pub, dead_code, clippy::all, reason = "generated")]
mod peer_capnp;
mod pull;
mod server;
mod session;
mod traffic;

/// The time after which a call that has no answer is given up on, and its connection with it.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Serves and dials peers for the life of the process. Runs on a single-threaded local set.
///
/// # Errors
///
/// If the listener can't be served.
pub(crate) async fn run(node: Arc<Node>, listener: std::net::TcpListener) -> Result<()> {
    listener.set_nonblocking(true).context("peer listener")?;
    let listener = TcpListener::from_std(listener).context("peer listener")?;
    let address = listener.local_addr().context("peer listener")?;
    serve(node, listener, address).await;
    Ok(())
}

/// Serves and dials peers that are told to dial `address`.
async fn serve(node: Arc<Node>, listener: TcpListener, address: SocketAddr) {
    let local = Rc::new(local::Local::new(node, address));
    spawn_local(links::keep(local.clone()));
    accept::run(local, listener).await;
}

#[cfg(test)]
mod tests;
