//! The bytes of one upstream connection, and the certainty about which request left on them.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::time::{Clock, Time};

#[cfg(test)]
mod tests;

/// No request may be written.
const IDLE: u8 = 0;
/// A request may be written; no byte of it has been.
const ARMED: u8 = 1;
/// A write of the first bytes is under way.
const WRITING: u8 = 2;
/// Bytes of the request have left.
const SENT: u8 = 3;
/// The request was given up on before a byte left; none will.
const REVOKED: u8 = 4;

/// What is known of the request on a connection.
#[derive(Debug)]
pub(crate) struct SendGate {
    clock: Clock,
    state: AtomicU8,
    deadline: AtomicU64,
    received: AtomicBool,
}

impl SendGate {
    /// Makes the state of a connection that carries no request.
    pub(crate) fn new(clock: Clock) -> SendGate {
        SendGate {
            clock,
            state: AtomicU8::new(IDLE),
            deadline: AtomicU64::new(0),
            received: AtomicBool::new(false),
        }
    }

    /// Allows a request to be written, if its first byte leaves before `deadline`.
    pub(crate) fn arm(&self, deadline: Time) {
        self.deadline.store(deadline.as_micros(), Ordering::Relaxed);
        self.received.store(false, Ordering::Relaxed);
        self.state.store(ARMED, Ordering::Release);
    }

    /// Notes that the request's answer is whole.
    pub(crate) fn disarm(&self) {
        self.state.store(IDLE, Ordering::Release);
    }

    /// Gives the request up, so that no byte of it leaves from now on if none has. Returns whether
    /// one may have left.
    pub(crate) fn revoke(&self) -> bool {
        let swap = self.state.compare_exchange(ARMED, REVOKED, Ordering::AcqRel, Ordering::Acquire);
        matches!(swap, Err(WRITING | SENT))
    }

    /// Tells whether a byte of the request may have left.
    pub(crate) fn may_have_sent(&self) -> bool {
        matches!(self.state.load(Ordering::Acquire), WRITING | SENT)
    }

    /// Tells whether any byte has come back since the request was armed.
    pub(crate) fn has_received(&self) -> bool {
        self.received.load(Ordering::Relaxed)
    }

    /// Takes note that the first write is about to happen. Returns whether it is the first.
    fn begin(&self) -> io::Result<bool> {
        match self.state.load(Ordering::Acquire) {
            SENT => return Ok(false),
            ARMED => {}
            _ => return Err(io::Error::other("no request may be written")),
        }
        if self.clock.now().as_micros() >= self.deadline.load(Ordering::Relaxed) {
            self.revoke();
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.state
            .compare_exchange(ARMED, WRITING, Ordering::AcqRel, Ordering::Acquire)
            .map(|_| true)
            .map_err(|_| io::Error::other("the request was given up"))
    }

    fn end(&self, written: &Poll<io::Result<usize>>) {
        let state = match written {
            Poll::Ready(Ok(_)) => SENT,
            Poll::Ready(Err(_)) => REVOKED,
            Poll::Pending => ARMED,
        };
        self.state.store(state, Ordering::Release);
    }
}

/// A connection whose reads and writes are noted.
#[derive(Debug)]
pub(crate) struct GatedStream {
    stream: TcpStream,
    gate: Arc<SendGate>,
}

impl GatedStream {
    /// Watches a connection.
    pub(crate) fn new(stream: TcpStream, gate: Arc<SendGate>) -> GatedStream {
        GatedStream { stream, gate }
    }

    fn write(
        &mut self,
        cx: &mut Context<'_>,
        write: impl FnOnce(Pin<&mut TcpStream>, &mut Context<'_>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let first = match self.gate.begin() {
            Ok(first) => first,
            Err(e) => return Poll::Ready(Err(e)),
        };
        let written = write(Pin::new(&mut self.stream), cx);
        if first {
            self.gate.end(&written);
        }
        written
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.gate.received.store(true, Ordering::Relaxed);
        }
        read
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.write(cx, |stream, cx| stream.poll_write(cx, buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(cx, |stream, cx| stream.poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
