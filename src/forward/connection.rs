//! One HTTP/1.1 connection to an upstream.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, response};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// A failed attempt.
#[derive(Debug)]
pub(crate) struct Failure {
    /// Whether it is certain that no byte of the request went out.
    pub(crate) unsent: bool,
}

/// Sends a request on a new connection and takes the whole answer in.
///
/// # Errors
///
/// If no connection can be had, or it fails before the answer is whole.
pub(crate) async fn send(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
) -> Result<(response::Parts, Bytes), Failure> {
    let stream = TcpStream::connect(address).await.map_err(|_| Failure { unsent: true })?;
    stream.set_nodelay(true).map_err(|_| Failure { unsent: true })?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut tx, conn) = handshake.map_err(|_| Failure { unsent: true })?;
    tokio::spawn(conn);
    let sent = tx.try_send_request(req).await;
    let res = sent.map_err(|mut e| Failure { unsent: e.take_message().is_some() })?;
    let (head, body) = res.into_parts();
    let whole = body.collect().await.map_err(|_| Failure { unsent: false })?;
    Ok((head, whole.to_bytes()))
}
