//! Gossip between entry hosts: exchanges of digests over capnp-rpc.
//!
//! Each host dials some of its neighbours and is dialled by the others. Which hosts are neighbours
//! is decided by [`crate::decide::topology`] alone; nothing here depends on the shape of that
//! graph.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::node::Node;

mod accept;
mod allowance;
mod codec;
pub(crate) mod deflate;
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

/// The timeout of a call to a peer. A connection on which a call times out is closed.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Accepts and dials peers until the process exits. Must run on a [`tokio::task::LocalSet`].
///
/// # Errors
///
/// Returns an error if the listener can't be registered with the runtime.
pub(crate) async fn run(node: Arc<Node>, listener: std::net::TcpListener) -> Result<()> {
    listener.set_nonblocking(true).context("can't use the peer listener")?;
    let listener = TcpListener::from_std(listener).context("can't use the peer listener")?;
    let address = listener.local_addr().context("can't use the peer listener")?;
    serve(node, listener, address).await;
    Ok(())
}

/// Accepts and dials peers, and announces `address` to them as the one to dial.
async fn serve(node: Arc<Node>, listener: TcpListener, address: SocketAddr) {
    let local = Rc::new(local::LocalState::new(node, address));
    spawn_local(links::maintain(local.clone()));
    spawn_local(allowance::maintain(local.clone()));
    accept::run(local, listener).await;
}

#[cfg(test)]
mod tests;
