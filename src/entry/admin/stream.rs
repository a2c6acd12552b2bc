//! A trace as a streamed response body.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use tokio::sync::mpsc::Receiver;
use xitca_web::body::{Body, Frame};

use crate::trace::Line;

/// Maximum number of lines in one body frame.
const LINES_PER_FRAME_MAX: usize = 256;

/// A body that streams the lines of a trace as they are recorded.
#[derive(Debug)]
pub(crate) struct TraceBody {
    rx: Receiver<Line>,
    batch: Vec<Line>,
}

impl TraceBody {
    /// Creates the body from a recorder's channel.
    pub(crate) fn new(rx: Receiver<Line>) -> TraceBody {
        TraceBody { rx, batch: Vec::new() }
    }
}

impl Body for TraceBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let TraceBody { rx, batch } = self.get_mut();
        match rx.poll_recv_many(cx, batch, LINES_PER_FRAME_MAX) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(0) => Poll::Ready(None),
            Poll::Ready(_) => Poll::Ready(Some(encode(batch))),
        }
    }
}

fn encode(lines: &mut Vec<Line>) -> Result<Frame<Bytes>, io::Error> {
    let mut buf = Vec::new();
    for line in lines.drain(..) {
        serde_json::to_writer(&mut buf, &line)?;
        buf.push(b'\n');
    }
    Ok(Frame::Data(buf.into()))
}
