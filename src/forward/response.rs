//! What a caller is told, and the body that goes with it.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::time::Sleep;
use xitca_web::body::{Body, Frame, SizeHint};

use crate::decide::upstream::UpstreamOutcome;
use crate::error::Code;
use crate::forward::attempt::Attempt;
use crate::forward::memory::{MemoryBudget, Reservation};

/// When to come back after an answer of cornelferry's own.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);
/// The same where another host, or another upstream, may serve the request at once.
const RETRY_AFTER_ELSEWHERE: Duration = Duration::from_millis(50);

const fn retry_after(code: Code) -> Duration {
    match code {
        Code::Refused
        | Code::ConnectFailed
        | Code::Stopping
        | Code::NotReady
        | Code::RoutesOutdated => RETRY_AFTER_ELSEWHERE,
        _ => RETRY_AFTER,
    }
}

/// What the caller is told.
#[derive(Debug)]
pub(crate) struct ProxyResponse {
    pub(crate) code: Code,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: ProxyBody,
    pub(crate) retry_after: Option<Duration>,
}

impl ProxyResponse {
    /// Makes an answer of cornelferry's own. A server error says when to come back.
    pub(crate) fn local(code: Code) -> ProxyResponse {
        let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        ProxyResponse {
            code,
            status,
            headers,
            body: ProxyBody::Whole { bytes: Bytes::from(format!("{code}\n")), _held: None },
            retry_after: status.is_server_error().then(|| retry_after(code)),
        }
    }
}

/// The body of an answer.
#[derive(Debug)]
pub(crate) enum ProxyBody {
    /// None, as after a HEAD request.
    Empty,
    /// A whole one, with the memory that it holds.
    Whole { bytes: Bytes, _held: Option<Reservation> },
    /// One that is passed on as it comes.
    Streamed(Box<StreamedBody>),
}

/// A body that is passed on as it comes, with the attempt that it belongs to.
#[derive(Debug)]
pub(crate) struct StreamedBody {
    head: Option<Bytes>,
    rest: Incoming,
    length: Option<u64>,
    deadline: Pin<Box<Sleep>>,
    attempt: Attempt,
    _held: Reservation,
}

/// The end of a body that is not whole. It cuts the caller's connection.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the upstream's answer ended early")]
pub(crate) struct Truncated;

impl Body for ProxyBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match &mut *self {
            ProxyBody::Empty => Poll::Ready(None),
            ProxyBody::Whole { bytes, .. } => {
                let bytes = std::mem::take(bytes);
                *self = ProxyBody::Empty;
                Poll::Ready(Some(Ok(Frame::Data(bytes))))
            }
            ProxyBody::Streamed(streamed) => streamed.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ProxyBody::Empty)
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ProxyBody::Empty => SizeHint::None,
            ProxyBody::Whole { bytes, .. } => SizeHint::Exact(bytes.len() as u64),
            ProxyBody::Streamed(s) => s.length.map_or(SizeHint::Unknown, SizeHint::Exact),
        }
    }
}

impl StreamedBody {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        if let Some(bytes) = self.head.take() {
            return Poll::Ready(Some(Ok(Frame::Data(bytes))));
        }
        if self.deadline.as_mut().poll(cx).is_ready() {
            self.attempt.close(UpstreamOutcome::Cancelled);
            return Poll::Ready(Some(Err(Truncated)));
        }
        loop {
            match ready!(Pin::new(&mut self.rest).poll_frame(cx)) {
                None => {
                    self.attempt.succeed();
                    return Poll::Ready(None);
                }
                Some(Err(_)) => {
                    self.attempt.close(UpstreamOutcome::Lost);
                    return Poll::Ready(Some(Err(Truncated)));
                }
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    return Poll::Ready(Some(Ok(Frame::Data(data))));
                }
            }
        }
    }
}

/// A body, as far as it was taken in.
#[derive(Debug)]
pub(crate) enum BufferedBody {
    /// All of it.
    Whole(Bytes, Reservation),
    /// Its beginning; the rest is to be streamed.
    Part(Bytes, Reservation),
}

impl BufferedBody {
    /// Makes the body of an answer, whose rest is streamed until the deadline if it isn't whole.
    pub(crate) fn into_body(
        self,
        rest: Incoming,
        length: Option<u64>,
        deadline: std::time::Instant,
        attempt: Attempt,
    ) -> ProxyBody {
        match self {
            BufferedBody::Whole(bytes, held) => ProxyBody::Whole { bytes, _held: Some(held) },
            BufferedBody::Part(bytes, held) => ProxyBody::Streamed(Box::new(StreamedBody {
                head: (!bytes.is_empty()).then_some(bytes),
                rest,
                length,
                deadline: Box::pin(tokio::time::sleep_until(deadline.into())),
                attempt,
                _held: held,
            })),
        }
    }
}

/// Takes a body in, up to `max` bytes and the memory that is left.
///
/// # Errors
///
/// If the body ends early.
pub(crate) async fn take_in(
    body: &mut Incoming,
    max: u64,
    memory: &MemoryBudget,
) -> hyper::Result<BufferedBody> {
    let mut held = memory.reservation();
    let mut parts: Vec<Bytes> = Vec::new();
    let exact = body.size_hint().exact();
    let mut room = max;
    if let Some(length) = exact
        && (length > max || !held.grow(length))
    {
        return Ok(BufferedBody::Part(Bytes::new(), held));
    }
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        let len = data.len() as u64;
        let fits = len <= room && (exact.is_some() || held.grow(len));
        room = room.saturating_sub(len);
        parts.push(data);
        if !fits {
            return Ok(BufferedBody::Part(joined(parts), held));
        }
    }
    Ok(BufferedBody::Whole(joined(parts), held))
}

fn joined(mut parts: Vec<Bytes>) -> Bytes {
    if parts.len() <= 1 {
        return parts.pop().unwrap_or_default();
    }
    let mut out = BytesMut::with_capacity(parts.iter().map(Bytes::len).sum());
    parts.iter().for_each(|p| out.extend_from_slice(p));
    out.freeze()
}
