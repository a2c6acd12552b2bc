//! A caller's connection, as the HTTP layer reads and writes it.

use std::cell::{Cell, OnceCell};
use std::io;
use std::net::{IpAddr, Shutdown};
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use xitca_io::io::{AsyncBufRead, AsyncBufWrite, BoundedBuf, BoundedBufMut};

use crate::decide::framing;

/// Time without progress of a write after which a caller is considered gone.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time that a caller has to close its side after the last response.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes that are read and discarded while waiting for a caller to close its
/// side.
const CLOSE_DISCARD_MAX_BYTES: usize = 1 << 20;
/// The bytes that are read from one connection before others get their turn. Reading them takes a
/// worker with a tenth of a core a few milliseconds.
const READ_TURN_BYTES: usize = 64 << 10;

tokio::task_local! {
    /// The connection of the request that is being handled.
    pub(crate) static CALLER_CONNECTION: Rc<CallerConnection>;
}

/// The state of a caller's connection.
#[derive(Debug, Default)]
pub(crate) struct CallerConnection {
    stream: OnceCell<TcpStream>,
    /// The address of the other side.
    address: Cell<Option<IpAddr>>,
    /// Whether any request has been handled.
    responded: Cell<bool>,
    /// Whether a request is being handled.
    busy: Cell<bool>,
    /// Whether bytes were received since the last write, so that a request may be incomplete.
    reading: Cell<bool>,
    /// Whether reading has reached the end or failed.
    read_closed: Cell<bool>,
    /// Whether the current or last response ends the connection.
    closing: Cell<bool>,
    /// When the write in progress started.
    write_started: Cell<Option<Instant>>,
    /// The bytes read since other connections last had their turn.
    turn_bytes: Cell<usize>,
    /// What was read of the chunked body that is being received.
    body: Cell<BodyBytes>,
    /// Notified when the framing of that body turns out to be excessive.
    excessive_framing: Notify,
}

/// The bytes received for a chunked body, and the payload among them.
#[derive(Clone, Copy, Debug, Default)]
struct BodyBytes {
    received: u64,
    payload: u64,
}

impl CallerConnection {
    /// Stores the stream in the current [`CALLER_CONNECTION`], and returns the socket for the HTTP
    /// layer.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream can't be registered with the runtime.
    ///
    /// # Panics
    ///
    /// Panics if the connection already has a stream.
    pub(crate) fn attach(stream: xitca_io::net::TcpStream) -> io::Result<CallerSocket> {
        let stream = TcpStream::from_std(stream.into_std()?)?;
        stream.set_nodelay(true)?;
        let caller = CALLER_CONNECTION.with(Rc::clone);
        caller.address.set(stream.peer_addr().ok().map(|a| a.ip()));
        caller.stream.set(stream).expect("attached once");
        Ok(CallerSocket(caller))
    }

    fn stream(&self) -> &TcpStream {
        self.stream.get().expect("attached before it is read or written")
    }

    /// Returns the address of the other side, if the connection still had one when it was accepted.
    pub(crate) fn address(&self) -> Option<IpAddr> {
        self.address.get()
    }

    /// Marks the connection as busy until the guard is dropped.
    pub(crate) fn begin_request(self: &Rc<CallerConnection>) -> RequestGuard {
        self.busy.set(true);
        RequestGuard(self.clone())
    }

    /// Marks the current response as the last on this connection. Further requests are rejected.
    pub(crate) fn set_closing(&self) {
        self.closing.set(true);
    }

    /// Returns whether the connection accepts no further requests.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Returns whether the caller has closed its side or the connection has failed.
    pub(crate) fn is_read_closed(&self) -> bool {
        self.read_closed.get()
    }

    /// Returns whether any request on the connection was answered.
    pub(crate) fn has_responded(&self) -> bool {
        self.responded.get()
    }

    /// Returns whether a write has made no progress for longer than [`WRITE_STALL_TIMEOUT`].
    pub(crate) fn is_stalled(&self) -> bool {
        self.write_started.get().is_some_and(|started| started.elapsed() > WRITE_STALL_TIMEOUT)
    }

    /// Stops reading requests, unless one is being received or handled. A response that is being
    /// written continues.
    pub(crate) fn close_idle(&self) {
        if self.busy.get() || self.reading.get() {
            return;
        }
        if let Some(stream) = self.stream.get() {
            let _ = SockRef::from(stream).shutdown(Shutdown::Read);
        }
    }

    /// Records that the chunked body of a request is going to be read.
    pub(crate) fn begin_chunked_body(&self) {
        self.body.set(BodyBytes::default());
    }

    /// Records that payload of a request's body was taken out of what was read.
    pub(crate) fn record_payload(&self, count: usize) {
        let body = self.body.get();
        self.body.set(BodyBytes { payload: body.payload + count as u64, ..body });
    }

    /// Completes when the framing of the chunked body that is being read takes many times its
    /// payload.
    pub(crate) async fn excessive_framing(&self) {
        while !self.is_framing_excessive() {
            self.excessive_framing.notified().await;
        }
    }

    fn is_framing_excessive(&self) -> bool {
        let BodyBytes { received, payload } = self.body.get();
        framing::is_excessive(received, payload)
    }

    /// Records that bytes were read.
    fn record_read(&self, count: usize) {
        self.reading.set(true);
        self.turn_bytes.set(self.turn_bytes.get() + count);
        let body = self.body.get();
        self.body.set(BodyBytes { received: body.received + count as u64, ..body });
        if self.is_framing_excessive() {
            self.excessive_framing.notify_one();
        }
    }

    /// Lets others have their turn if much has been read without a break, as from a caller that
    /// sends faster than this host reads.
    async fn end_turn(&self) {
        if self.turn_bytes.get() >= READ_TURN_BYTES {
            self.turn_bytes.set(0);
            tokio::task::yield_now().await;
        }
    }

    /// Completes when the caller closes its side. Never completes if the caller has sent another
    /// request.
    pub(crate) async fn disconnected(&self) {
        let mut byte = [0];
        match self.stream().peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            Ok(_) => std::future::pending().await,
        }
    }
}

/// A guard that keeps a connection marked as busy until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard(Rc<CallerConnection>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.responded.set(true);
        self.0.busy.set(false);
    }
}

/// The socket that the HTTP layer owns.
#[derive(Debug)]
pub(crate) struct CallerSocket(pub(crate) Rc<CallerConnection>);

impl AsyncBufRead for CallerSocket {
    async fn read<B: BoundedBufMut>(&self, buf: B) -> (io::Result<usize>, B) {
        self.0.end_turn().await;
        let (res, buf) = self.0.stream().read(buf).await;
        match res {
            Ok(0) | Err(_) => self.0.read_closed.set(true),
            Ok(count) => self.0.record_read(count),
        }
        (res, buf)
    }
}

impl AsyncBufWrite for CallerSocket {
    async fn write<B: BoundedBuf>(&self, buf: B) -> (io::Result<usize>, B) {
        self.0.reading.set(false);
        self.0.write_started.set(Some(Instant::now()));
        let written = self.0.stream().write(buf).await;
        self.0.write_started.set(None);
        written
    }

    /// Closes the sending side, and waits briefly for the caller to close the other. Otherwise
    /// unread bytes could make the kernel reset the connection before the caller has read the
    /// response.
    async fn shutdown(self, _direction: Shutdown) -> io::Result<()> {
        SockRef::from(self.0.stream()).shutdown(Shutdown::Write)?;
        if !self.0.read_closed.get() {
            let _ = tokio::time::timeout(CLOSE_TIMEOUT, discard(self.0.stream())).await;
        }
        Ok(())
    }
}

async fn discard(stream: &TcpStream) -> io::Result<()> {
    let mut buf = [0; 4096];
    let mut remaining = CLOSE_DISCARD_MAX_BYTES;
    while remaining > 0 {
        stream.readable().await?;
        match stream.try_read(&mut buf) {
            Ok(0) => return Ok(()),
            Ok(n) => remaining = remaining.saturating_sub(n),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
