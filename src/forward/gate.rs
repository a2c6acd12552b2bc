//! Controls when the bytes of a request may be written to an upstream connection, so that it is
//! known whether a cancelled request was sent.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::decide::framing;
use crate::time::{Clock, Time};

#[cfg(test)]
mod tests;

/// The bytes that may be received until the head of a response is complete: several times the longest
/// head, for interim responses and for the part of the body that comes with the head.
const HEAD_MAX_BYTES: usize = 256 << 10;

/// No request may be written.
const IDLE: u8 = 0;
/// A request may be written, and no byte of it has been.
const ARMED: u8 = 1;
/// The first write is in progress.
const WRITING: u8 = 2;
/// At least one byte of the request was sent.
const SENT: u8 = 3;
/// The request was cancelled before a byte was sent, and may no longer be written.
const REVOKED: u8 = 4;

/// The send state of the request on a connection.
#[derive(Debug)]
pub(crate) struct SendGate {
    clock: Clock,
    state: AtomicU8,
    /// In microseconds on the host's clock.
    deadline: AtomicU64,
    /// The bytes received since the request was armed, as long as they may belong to the head of its
    /// response or to interim responses.
    head_bytes: AtomicUsize,
    /// Whether the head of the response is complete.
    has_head: AtomicBool,
    /// The bytes received since then.
    body_bytes: AtomicU64,
    /// The bytes of the response's body that were taken out of them.
    payload_bytes: AtomicU64,
}

impl SendGate {
    /// Creates the state of a connection that carries no request.
    pub(crate) fn new(clock: Clock) -> SendGate {
        SendGate {
            clock,
            state: AtomicU8::new(IDLE),
            deadline: AtomicU64::new(0),
            head_bytes: AtomicUsize::new(0),
            has_head: AtomicBool::new(false),
            body_bytes: AtomicU64::new(0),
            payload_bytes: AtomicU64::new(0),
        }
    }

    /// Allows a request to be written if its first byte is sent before `deadline`.
    pub(crate) fn arm(&self, deadline: Time) {
        self.deadline.store(deadline.as_micros(), Ordering::Relaxed);
        self.head_bytes.store(0, Ordering::Relaxed);
        self.has_head.store(false, Ordering::Relaxed);
        self.body_bytes.store(0, Ordering::Relaxed);
        self.payload_bytes.store(0, Ordering::Relaxed);
        self.state.store(ARMED, Ordering::Release);
    }

    /// Marks the request as finished, after its response was read completely.
    pub(crate) fn disarm(&self) {
        self.state.store(IDLE, Ordering::Release);
    }

    /// Cancels the request: if no byte of it has been sent, none will be. Returns whether a byte
    /// may have been sent.
    pub(crate) fn revoke(&self) -> bool {
        let swap = self.state.compare_exchange(ARMED, REVOKED, Ordering::AcqRel, Ordering::Acquire);
        matches!(swap, Err(WRITING | SENT))
    }

    /// Returns whether a byte of the request may have been sent.
    pub(crate) fn may_have_sent(&self) -> bool {
        matches!(self.state.load(Ordering::Acquire), WRITING | SENT)
    }

    /// Returns whether any byte was received since the request was armed.
    pub(crate) fn has_received(&self) -> bool {
        self.head_bytes.load(Ordering::Relaxed) > 0
    }

    /// Records that the head of the response is complete. From then on, what may be received goes
    /// by the payload.
    pub(crate) fn end_head(&self) {
        self.has_head.store(true, Ordering::Relaxed);
    }

    /// Returns whether the response was given up since its head, with the interim responses before it,
    /// was longer than [`HEAD_MAX_BYTES`].
    pub(crate) fn is_head_too_long(&self) -> bool {
        self.head_bytes.load(Ordering::Relaxed) > HEAD_MAX_BYTES
            && !self.has_head.load(Ordering::Relaxed)
    }

    /// Records that payload of the response's body was taken out of what was received.
    pub(crate) fn record_payload(&self, count: usize) {
        self.payload_bytes.fetch_add(count as u64, Ordering::Relaxed);
    }

    /// Returns whether the framing of the response's body takes many times its payload.
    fn is_framing_excessive(&self) -> bool {
        let received = self.body_bytes.load(Ordering::Relaxed);
        framing::is_excessive(received, self.payload_bytes.load(Ordering::Relaxed))
    }

    /// Records that bytes were received.
    ///
    /// # Errors
    ///
    /// Returns an error if the head of the response is too long, or the framing of its body
    /// excessive.
    fn record_received(&self, count: usize) -> io::Result<()> {
        if self.has_head.load(Ordering::Relaxed) {
            self.body_bytes.fetch_add(count as u64, Ordering::Relaxed);
            return match self.is_framing_excessive() {
                true => Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "the framing of a response takes many times its payload",
                )),
                false => Ok(()),
            };
        }
        self.head_bytes.fetch_add(count, Ordering::Relaxed);
        match self.is_head_too_long() {
            true => Err(io::Error::other("the head of a response has no end")),
            false => Ok(()),
        }
    }

    /// Starts a write. Returns whether it is the first of the request; if so, its result must be
    /// passed to [`SendGate::end_write`].
    ///
    /// # Errors
    ///
    /// Returns an error if no request is armed, if it was cancelled, or if its deadline has passed.
    fn begin_write(&self) -> io::Result<bool> {
        match self.state.load(Ordering::Acquire) {
            SENT => return Ok(false),
            ARMED => {}
            _ => return Err(io::Error::other("write without an armed request")),
        }
        if self.clock.now().as_micros() >= self.deadline.load(Ordering::Relaxed) {
            self.revoke();
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.state
            .compare_exchange(ARMED, WRITING, Ordering::AcqRel, Ordering::Acquire)
            .map(|_| true)
            .map_err(|_| io::Error::other("the request was cancelled before it was sent"))
    }

    /// Ends the first write. Unless it succeeded, no byte was sent: a pending write may be
    /// repeated, a failed one may not.
    fn end_write(&self, written: &Poll<io::Result<usize>>) {
        let state = match written {
            Poll::Ready(Ok(_)) => SENT,
            Poll::Ready(Err(_)) => REVOKED,
            Poll::Pending => ARMED,
        };
        self.state.store(state, Ordering::Release);
    }
}

/// A TCP stream that writes only what its [`SendGate`] permits, and records what it receives.
#[derive(Debug)]
pub(crate) struct GatedStream {
    stream: TcpStream,
    gate: Arc<SendGate>,
}

impl GatedStream {
    pub(crate) fn new(stream: TcpStream, gate: Arc<SendGate>) -> GatedStream {
        GatedStream { stream, gate }
    }

    fn write(
        &mut self,
        cx: &mut Context<'_>,
        write: impl FnOnce(Pin<&mut TcpStream>, &mut Context<'_>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let is_first = match self.gate.begin_write() {
            Ok(is_first) => is_first,
            Err(e) => return Poll::Ready(Err(e)),
        };
        let written = write(Pin::new(&mut self.stream), cx);
        if is_first {
            self.gate.end_write(&written);
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
        if let Err(e) = self.gate.record_received(buf.filled().len() - before) {
            return Poll::Ready(Err(e));
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
