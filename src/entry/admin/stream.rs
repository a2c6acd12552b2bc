//! A trace as the body of an answer.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use tokio::sync::mpsc::Receiver;
use xitca_web::body::{Body, Frame};

use crate::trace::Line;

/// Lines written as one piece of the body at most.
const LINES_AT_ONCE: usize = 256;

/// The lines of a trace, as they come.
#[derive(Debug)]
pub(crate) struct Lines {
    rx: Receiver<Line>,
    taken: Vec<Line>,
}

impl Lines {
    /// Makes the body of a recorder's lines.
    pub(crate) fn new(rx: Receiver<Line>) -> Lines {
        Lines { rx, taken: Vec::new() }
    }
}

impl Body for Lines {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let Lines { rx, taken } = self.get_mut();
        match rx.poll_recv_many(cx, taken, LINES_AT_ONCE) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(0) => Poll::Ready(None),
            Poll::Ready(_) => Poll::Ready(Some(piece(taken))),
        }
    }
}

fn piece(lines: &mut Vec<Line>) -> Result<Frame<Bytes>, io::Error> {
    let mut buf = Vec::new();
    for line in lines.drain(..) {
        serde_json::to_writer(&mut buf, &line)?;
        buf.push(b'\n');
    }
    Ok(Frame::Data(buf.into()))
}
