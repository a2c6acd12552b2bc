//! One HTTP/1.1 connection to an upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use derive_more::Display;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout_at;

use crate::decide::attempt::AttemptOutcome;
use crate::forward::gate::{GatedStream, SendGate};
use crate::forward::pool::ConnectionPermit;
use crate::time::{Clock, Time};

/// Maximum size of the head of a response, in bytes, which also bounds the read buffer of a
/// connection.
const HEAD_MAX_BYTES: usize = 64 << 10;

/// The reason why no connection is available.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum ConnectError {
    /// All connections that this host may open to the upstream are in use.
    #[display("all permitted connections are in use")]
    Full,
    /// The request's deadline has passed.
    #[display("the deadline has passed")]
    TooLate,
    /// The upstream could not be reached.
    #[display("connecting failed")]
    Failed,
}

/// An upstream connection. Dropping it closes it immediately, even with a request in progress.
#[derive(Debug)]
pub(crate) struct Connection {
    tx: SendRequest<Full<Bytes>>,
    gate: Arc<SendGate>,
    /// When the connection was opened or last delivered a complete response.
    pub(crate) last_alive: Time,
    task: JoinHandle<()>,
    _permit: ConnectionPermit,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection, waiting no longer than `until`.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectError::Failed`] if the upstream refuses the connection or does not accept
    /// it in time.
    pub(crate) async fn open(
        address: SocketAddr,
        clock: Clock,
        until: Instant,
        permit: ConnectionPermit,
    ) -> Result<Connection, ConnectError> {
        let connected = timeout_at(until.into(), TcpStream::connect(address)).await;
        let stream = connected.ok().and_then(Result::ok).ok_or(ConnectError::Failed)?;
        stream.set_nodelay(true).map_err(|_| ConnectError::Failed)?;
        let gate = Arc::new(SendGate::new(clock));
        let io = TokioIo::new(GatedStream::new(stream, gate.clone()));
        let handshake = http1::Builder::new().max_buf_size(HEAD_MAX_BYTES).handshake(io);
        let (tx, conn) = handshake.await.map_err(|_| ConnectError::Failed)?;
        let task = tokio::spawn(async move {
            let _ = conn.await;
        });
        Ok(Connection { tx, gate, last_alive: clock.now(), task, _permit: permit })
    }

    /// Returns the send state of the request on this connection.
    pub(crate) fn gate(&self) -> &Arc<SendGate> {
        &self.gate
    }

    /// Returns whether the connection can take a request.
    pub(crate) fn is_ready(&self) -> bool {
        self.tx.is_ready()
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }

    /// Sends a request and returns the head of the response. No first byte is sent after
    /// `deadline`.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended if no response head was received.
    pub(crate) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
        deadline: Time,
    ) -> Result<Response<Incoming>, AttemptOutcome> {
        self.gate.arm(deadline);
        if self.tx.ready().await.is_err() {
            self.gate.revoke();
            return Err(AttemptOutcome::NotSent);
        }
        let sent = self.tx.try_send_request(req).await;
        sent.map_err(|e| match () {
            () if !self.gate.revoke() => AttemptOutcome::NotSent,
            () if e.error().is_parse() => AttemptOutcome::InvalidResponse,
            () => AttemptOutcome::Lost,
        })
    }
}
