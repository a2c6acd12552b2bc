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
use crate::forward::exchange::Attempt;
use crate::forward::memory::{Memory, Share};

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
pub(crate) struct Answer {
    pub(crate) code: Code,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: AnswerBody,
    pub(crate) retry_after: Option<Duration>,
}

impl Answer {
    /// Makes an answer of cornelferry's own. A server error says when to come back.
    pub(crate) fn own(code: Code) -> Answer {
        let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        Answer {
            code,
            status,
            headers,
            body: AnswerBody::Whole { bytes: Bytes::from(format!("{code}\n")), _held: None },
            retry_after: status.is_server_error().then(|| retry_after(code)),
        }
    }
}

/// The body of an answer.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// None, as after a HEAD request.
    Empty,
    /// A whole one, with the memory that it holds.
    Whole { bytes: Bytes, _held: Option<Share> },
    /// One that is passed on as it comes.
    Streamed(Box<Streamed>),
}

/// A body that is passed on as it comes, with the attempt that it belongs to.
#[derive(Debug)]
pub(crate) struct Streamed {
    head: Option<Bytes>,
    rest: Incoming,
    length: Option<u64>,
    deadline: Pin<Box<Sleep>>,
    attempt: Attempt,
    _held: Share,
}

/// The end of a body that is not whole. It cuts the caller's connection.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the upstream's answer ended early")]
pub(crate) struct Truncated;

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match &mut *self {
            AnswerBody::Empty => Poll::Ready(None),
            AnswerBody::Whole { bytes, .. } => {
                let bytes = std::mem::take(bytes);
                *self = AnswerBody::Empty;
                Poll::Ready(Some(Ok(Frame::Data(bytes))))
            }
            AnswerBody::Streamed(streamed) => streamed.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Empty)
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Empty => SizeHint::None,
            AnswerBody::Whole { bytes, .. } => SizeHint::Exact(bytes.len() as u64),
            AnswerBody::Streamed(s) => s.length.map_or(SizeHint::Unknown, SizeHint::Exact),
        }
    }
}

impl Streamed {
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
pub(crate) enum Taken {
    /// All of it.
    Whole(Bytes, Share),
    /// Its beginning; the rest is to be streamed.
    Part(Bytes, Share),
}

impl Taken {
    /// Makes the body of an answer, whose rest is streamed until the deadline if it isn't whole.
    pub(crate) fn into_body(
        self,
        rest: Incoming,
        length: Option<u64>,
        deadline: std::time::Instant,
        attempt: Attempt,
    ) -> AnswerBody {
        match self {
            Taken::Whole(bytes, held) => AnswerBody::Whole { bytes, _held: Some(held) },
            Taken::Part(bytes, held) => AnswerBody::Streamed(Box::new(Streamed {
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
    memory: &Memory,
) -> hyper::Result<Taken> {
    let mut held = memory.share();
    let mut parts: Vec<Bytes> = Vec::new();
    let exact = body.size_hint().exact();
    let mut room = max;
    if let Some(length) = exact
        && (length > max || !held.grow(length))
    {
        return Ok(Taken::Part(Bytes::new(), held));
    }
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        let len = data.len() as u64;
        let fits = len <= room && (exact.is_some() || held.grow(len));
        room = room.saturating_sub(len);
        parts.push(data);
        if !fits {
            return Ok(Taken::Part(joined(parts), held));
        }
    }
    Ok(Taken::Whole(joined(parts), held))
}

fn joined(mut parts: Vec<Bytes>) -> Bytes {
    if parts.len() <= 1 {
        return parts.pop().unwrap_or_default();
    }
    let mut out = BytesMut::with_capacity(parts.iter().map(Bytes::len).sum());
    parts.iter().for_each(|p| out.extend_from_slice(p));
    out.freeze()
}
