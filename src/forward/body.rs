//! The body of an upstream's response as it arrives.

use std::error::Error as _;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use derive_more::{Display, Error, From};
use hyper::body::{Body, Incoming};

use crate::forward::gate::SendGate;

/// The body of a response. Each way of reading it tells the connection how much of what arrives is
/// payload: one whose framing takes many times its payload is given up as malformed.
#[derive(Debug)]
pub(crate) struct ResponseBody {
    incoming: Incoming,
    gate: Arc<SendGate>,
}

/// The reason why a body was not read to its end.
#[derive(Debug, Display, Error, From)]
pub(crate) enum DiscardError {
    /// It is longer than it may be.
    #[from(ignore)]
    #[display("the body is too long")]
    TooLong,
    /// It ended early.
    Cut(hyper::Error),
}

impl ResponseBody {
    /// Creates the body of the response that arrives on the connection with a gate.
    pub(crate) fn new(incoming: Incoming, gate: Arc<SendGate>) -> ResponseBody {
        ResponseBody { incoming, gate }
    }

    /// Returns the length, if the response states it.
    pub(crate) fn length(&self) -> Option<u64> {
        self.incoming.size_hint().exact()
    }

    /// Polls for the next part of the payload. The part may keep a whole read buffer in memory.
    pub(crate) fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<hyper::Result<Bytes>>> {
        loop {
            let data = match ready!(Pin::new(&mut self.incoming).poll_frame(cx)?) {
                None => return Poll::Ready(None),
                Some(frame) => frame.into_data(),
            };
            // Trailers are not passed on.
            let Ok(data) = data else { continue };
            self.gate.record_payload(data.len());
            return Poll::Ready(Some(Ok(data)));
        }
    }

    /// Returns the next part of the payload, like [`ResponseBody::poll_data`].
    pub(crate) async fn data(&mut self) -> Option<hyper::Result<Bytes>> {
        poll_fn(|cx| self.poll_data(cx)).await
    }

    /// Reads the body to its end and keeps nothing of it.
    ///
    /// # Errors
    ///
    /// Returns an error if the body ends early or is longer than `max` bytes.
    pub(crate) async fn discard(mut self, max: usize) -> Result<(), DiscardError> {
        let mut remaining = max;
        while let Some(data) = self.data().await {
            remaining = remaining.checked_sub(data?.len()).ok_or(DiscardError::TooLong)?;
        }
        Ok(())
    }
}

/// Returns whether a body ended early since what arrived is no body, rather than since its
/// connection was lost.
pub(crate) fn is_malformed(e: &hyper::Error) -> bool {
    let cause = e.source().and_then(|e| e.downcast_ref::<io::Error>());
    let is_invalid =
        |kind| matches!(kind, io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput);
    cause.is_some_and(|e| is_invalid(e.kind()))
}

#[cfg(test)]
mod tests;
