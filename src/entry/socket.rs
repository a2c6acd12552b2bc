//! One caller's connection, as the HTTP layer reads and writes it.

use std::cell::{Cell, OnceCell};
use std::io;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::Instant;
use xitca_io::io::{AsyncBufRead, AsyncBufWrite, BoundedBuf, BoundedBufMut};

/// Time without progress of a write after which a caller counts as gone.
const WRITE_STALL: Duration = Duration::from_secs(30);
/// Time allowed to a caller to close its side after the last answer.
const CLOSE_LINGER: Duration = Duration::from_secs(1);
/// Bytes that are read and dropped at most while a caller closes its side.
const CLOSE_DISCARD_MAX: usize = 1 << 20;

tokio::task_local! {
    /// The connection whose request is being answered.
    pub(crate) static CALLER_CONNECTION: Rc<CallerConnection>;
}

/// What is known of a caller's connection.
#[derive(Debug, Default)]
pub(crate) struct CallerConnection {
    stream: OnceCell<TcpStream>,
    answered: Cell<bool>,
    busy: Cell<bool>,
    partial: Cell<bool>,
    ended: Cell<bool>,
    last: Cell<bool>,
    writing: Cell<Option<Instant>>,
}

impl CallerConnection {
    /// Takes over the connection that [`CALLER_CONNECTION`] is to describe.
    ///
    /// # Errors
    ///
    /// If the connection can't be registered with the runtime.
    pub(crate) fn attach(stream: xitca_io::net::TcpStream) -> io::Result<CallerSocket> {
        let stream = TcpStream::from_std(stream.into_std()?)?;
        stream.set_nodelay(true)?;
        let caller = CALLER_CONNECTION.with(Rc::clone);
        caller.stream.set(stream).expect("attached once");
        Ok(CallerSocket(caller))
    }

    fn stream(&self) -> &TcpStream {
        self.stream.get().expect("attached before it is read or written")
    }

    /// Notes that a request is being answered, until the guard is dropped.
    pub(crate) fn begin(self: &Rc<CallerConnection>) -> Busy {
        self.busy.set(true);
        Busy(self.clone())
    }

    /// Notes that the present answer is the connection's last: no later request is taken.
    pub(crate) fn set_last(&self) {
        self.last.set(true);
    }

    /// Tells whether the connection's last answer has been given.
    pub(crate) fn is_last(&self) -> bool {
        self.last.get()
    }

    /// Tells whether the caller has closed its side or the connection has failed.
    pub(crate) fn has_ended(&self) -> bool {
        self.ended.get()
    }

    /// Tells whether the connection has had an answer.
    pub(crate) fn has_answered(&self) -> bool {
        self.answered.get()
    }

    /// Tells whether the caller takes no more bytes in.
    pub(crate) fn is_stalled(&self) -> bool {
        self.writing.get().is_some_and(|since| since.elapsed() > WRITE_STALL)
    }

    /// Ends the reading of requests unless one has begun to arrive or is being answered. An answer
    /// that is being written goes on.
    pub(crate) fn close_idle(&self) {
        if self.busy.get() || self.partial.get() {
            return;
        }
        if let Some(stream) = self.stream.get() {
            let _ = SockRef::from(stream).shutdown(Shutdown::Read);
        }
    }

    /// Completes when the caller closes its side, or never if it has sent a further request.
    pub(crate) async fn gone(&self) {
        let mut byte = [0];
        match self.stream().peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            Ok(_) => std::future::pending().await,
        }
    }
}

/// Marks a connection as busy while it exists.
#[derive(Debug)]
pub(crate) struct Busy(Rc<CallerConnection>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.answered.set(true);
        self.0.busy.set(false);
    }
}

/// The connection as the HTTP layer owns it.
#[derive(Debug)]
pub(crate) struct CallerSocket(pub(crate) Rc<CallerConnection>);

impl AsyncBufRead for CallerSocket {
    async fn read<B: BoundedBufMut>(&self, buf: B) -> (io::Result<usize>, B) {
        let (res, buf) = self.0.stream().read(buf).await;
        match res {
            Ok(0) | Err(_) => self.0.ended.set(true),
            Ok(_) => self.0.partial.set(true),
        }
        (res, buf)
    }
}

impl AsyncBufWrite for CallerSocket {
    async fn write<B: BoundedBuf>(&self, buf: B) -> (io::Result<usize>, B) {
        self.0.partial.set(false);
        self.0.writing.set(Some(Instant::now()));
        let written = self.0.stream().write(buf).await;
        self.0.writing.set(None);
        written
    }

    /// Sends the end of the stream, and waits a little for the caller's, so that unread bytes don't
    /// make the kernel reset the connection before the caller has read its answer.
    async fn shutdown(self, _direction: Shutdown) -> io::Result<()> {
        SockRef::from(self.0.stream()).shutdown(Shutdown::Write)?;
        if !self.0.ended.get() {
            let _ = tokio::time::timeout(CLOSE_LINGER, discard(self.0.stream())).await;
        }
        Ok(())
    }
}

async fn discard(stream: &TcpStream) -> io::Result<()> {
    let mut buf = [0; 4096];
    let mut left = CLOSE_DISCARD_MAX;
    while left > 0 {
        stream.readable().await?;
        match stream.try_read(&mut buf) {
            Ok(0) => return Ok(()),
            Ok(n) => left = left.saturating_sub(n),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
