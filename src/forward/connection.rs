//! One HTTP/1.1 connection to an upstream.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::Display;
use http::{HeaderMap, HeaderValue, Request, Response};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout_at;

use crate::decide::attempt::AttemptOutcome;
use crate::forward::body::ResponseBody;
use crate::forward::fields;
use crate::forward::gate::{GatedStream, SendGate};
use crate::forward::pool::{ConnectionPermit, IDLE_TIMEOUT};
use crate::time::{Clock, Time};

/// Maximum size of the head of a response, in bytes, which also bounds the read buffer of a
/// connection.
const HEAD_MAX_BYTES: usize = 64 << 10;

/// The statuses of final responses (RFC 9110, section 15). The HTTP layer lets others pass.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Time before the end of an upstream's idle timeout at which this host closes a connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);
/// The longest time that an idle connection is kept, whatever its upstream says.
const IDLE_TIMEOUT_MAX: Duration = Duration::from_secs(30);

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
    /// Whether it was idle in the pool before, so that it may have delivered a response.
    pub(crate) is_used: bool,
    /// When the connection was opened or last delivered a complete response.
    pub(crate) last_alive: Time,
    /// Time after which this host closes it if it is idle.
    pub(crate) idle_timeout: Duration,
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
        Ok(Connection {
            tx,
            gate,
            is_used: false,
            last_alive: clock.now(),
            idle_timeout: IDLE_TIMEOUT,
            task,
            _permit: permit,
        })
    }

    /// Returns the send state of the request on this connection.
    pub(crate) fn gate(&self) -> &Arc<SendGate> {
        &self.gate
    }

    /// Returns whether the connection can take a request.
    pub(crate) fn is_ready(&self) -> bool {
        self.tx.is_ready()
    }

    /// Keeps the connection as long as the upstream says in the `Keep-Alive` field of a response, less
    /// a margin within which a request could cross the upstream's close.
    pub(crate) fn observe_keep_alive(&mut self, headers: &HeaderMap) {
        let Some(timeout) = headers.get("keep-alive").and_then(keep_alive_timeout) else { return };
        self.idle_timeout = idle_timeout(timeout);
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }

    /// Sends a request and returns the head of the response. No first byte is sent after
    /// `deadline`.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended if no head of a final response was received.
    pub(crate) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
        deadline: Time,
    ) -> Result<Response<ResponseBody>, AttemptOutcome> {
        self.gate.arm(deadline);
        if self.tx.ready().await.is_err() {
            self.gate.revoke();
            return Err(AttemptOutcome::NotSent);
        }
        let sent = self.tx.try_send_request(req).await;
        let res = sent.map_err(|e| match () {
            () if !self.gate.revoke() => AttemptOutcome::NotSent,
            () if e.error().is_parse() => AttemptOutcome::InvalidResponse,
            () if self.gate.is_head_too_long() => AttemptOutcome::InvalidResponse,
            () => AttemptOutcome::Lost,
        })?;
        self.gate.end_head();
        let is_final = FINAL_STATUSES.contains(&res.status().as_u16());
        match is_final && fields::is_framing_known(res.headers()) {
            true => Ok(res.map(|body| ResponseBody::new(body, self.gate.clone()))),
            false => Err(AttemptOutcome::InvalidResponse),
        }
    }
}

/// Returns how long to keep an idle connection that its upstream closes after `timeout`.
fn idle_timeout(timeout: Duration) -> Duration {
    timeout.saturating_sub(KEEP_ALIVE_MARGIN).min(IDLE_TIMEOUT_MAX)
}

/// Parses the `timeout` parameter of a `Keep-Alive` field, in seconds.
fn keep_alive_timeout(value: &HeaderValue) -> Option<Duration> {
    let mut parameters = value.to_str().ok()?.split(',').map(str::trim);
    let seconds = parameters.find_map(|p| p.strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.parse().ok()?))
}

#[cfg(test)]
mod tests;
