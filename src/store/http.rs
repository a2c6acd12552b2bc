//! JSON over HTTP to one of several addresses: counted, rate-limited, with timeouts.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{Method, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::decide::bucket::TokenBucket;
use crate::store::call::{CallError, CallKind};
use crate::time::Clock;

/// Time allowed for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time allowed for a whole answer, or for the head of a watch's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an unused connection is closed, shorter than usual idle limits of services.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Bytes that an answer may have.
const ANSWER_MAX_BYTES: usize = 64 << 20;

/// Counts a call by kind.
pub(crate) type CallCounter = Box<dyn Fn(CallKind) + Send + Sync>;

/// What to ask a service.
#[derive(Debug)]
pub(crate) struct Request<'a> {
    /// The method.
    pub(crate) method: Method,
    /// The path with its query.
    pub(crate) path: &'a str,
    /// The body, sent as JSON.
    pub(crate) body: Option<&'a Value>,
}

impl<'a> Request<'a> {
    /// Makes a POST of a body, or a GET without one.
    fn new(path: &'a str, body: Option<&'a Value>) -> Request<'a> {
        let method = if body.is_some() { Method::POST } else { Method::GET };
        Request { method, path, body }
    }
}

/// A client of a service that answers at several addresses.
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    addresses: Vec<SocketAddr>,
    current: AtomicUsize,
    clock: Clock,
    bucket: Mutex<TokenBucket>,
    count: CallCounter,
}

impl HttpClient {
    /// Makes a client that makes at most `calls_per_second`.
    pub(crate) fn new(
        addresses: Vec<SocketAddr>,
        calls_per_second: f64,
        count: CallCounter,
    ) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let clock = Clock::start();
        HttpClient {
            client: Client::builder(TokioExecutor::new())
                .pool_idle_timeout(IDLE_TIMEOUT)
                .pool_timer(TokioTimer::new())
                .build(connector),
            addresses,
            current: AtomicUsize::new(0),
            clock,
            bucket: Mutex::new(TokenBucket::new(calls_per_second, clock.now())),
            count,
        }
    }

    /// Makes a call that may be repeated, at each address until one answers.
    ///
    /// # Errors
    ///
    /// The last address's [`CallError`].
    pub(crate) async fn read<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        body: Option<&Value>,
    ) -> Result<T, CallError> {
        let mut failure = CallError::NotSent("no address is known".to_owned());
        for _ in &self.addresses {
            match self.once(kind, path, body).await {
                Err(CallError::Refused(reason)) => return Err(CallError::Refused(reason)),
                Err(e) => failure = e,
                done => return done,
            }
        }
        Err(failure)
    }

    /// Makes a call that takes effect, at each address until one may have been reached.
    ///
    /// # Errors
    ///
    /// [`CallError::OutcomeUnknown`] if the call may have taken effect.
    pub(crate) async fn write<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        body: &Value,
    ) -> Result<T, CallError> {
        let mut failure = CallError::NotSent("no address is known".to_owned());
        for _ in &self.addresses {
            match self.once(kind, path, Some(body)).await {
                Err(CallError::NotSent(reason)) => failure = CallError::NotSent(reason),
                done => return done,
            }
        }
        Err(failure)
    }

    /// Starts a call whose answer has no end.
    ///
    /// # Errors
    ///
    /// A [`CallError`] if the answer doesn't begin.
    pub(crate) async fn open(
        &self,
        kind: CallKind,
        path: &str,
        body: &Value,
    ) -> Result<Response<Incoming>, CallError> {
        self.permitted(kind).await;
        let at = self.current.load(Ordering::Relaxed);
        let req = Request::new(path, Some(body));
        let res =
            within(ANSWER_TIMEOUT, self.send(at, &req)).await.inspect_err(|_| self.turn(at))?;
        if res.status().is_success() {
            return Ok(res);
        }
        Err(CallError::Refused(format!("{path}: status {}", res.status())))
    }

    async fn once<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        body: Option<&Value>,
    ) -> Result<T, CallError> {
        self.permitted(kind).await;
        let at = self.current.load(Ordering::Relaxed);
        let answer = within(ANSWER_TIMEOUT, self.whole(at, path, body)).await;
        let text = answer.inspect_err(|e| self.turn_on(at, e))?;
        serde_json::from_slice(&text).map_err(|e| CallError::OutcomeUnknown(format!("{path}: {e}")))
    }

    /// Makes one call and returns its status and body, whatever the status is.
    ///
    /// # Errors
    ///
    /// A [`CallError`] if there is no whole answer within `timeout`.
    pub(crate) async fn call(
        &self,
        kind: CallKind,
        req: &Request<'_>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        self.permitted(kind).await;
        let at = self.current.load(Ordering::Relaxed);
        let answer = within(timeout, self.received(at, req)).await;
        answer.inspect_err(|e| self.turn_on(at, e))
    }

    async fn received(
        &self,
        at: usize,
        req: &Request<'_>,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let res = self.send(at, req).await?;
        let status = res.status();
        let body = Limited::new(res.into_body(), ANSWER_MAX_BYTES).collect().await;
        let text =
            body.map_err(|e| CallError::OutcomeUnknown(format!("{}: {e}", req.path)))?.to_bytes();
        Ok((status, text))
    }

    async fn whole(&self, at: usize, path: &str, body: Option<&Value>) -> Result<Bytes, CallError> {
        let (status, text) = self.received(at, &Request::new(path, body)).await?;
        if status.is_success() {
            return Ok(text);
        }
        let reason = format!("{path}: status {status}: {}", String::from_utf8_lossy(&text).trim());
        Err(if status.is_client_error() {
            CallError::Refused(reason)
        } else {
            CallError::OutcomeUnknown(reason)
        })
    }

    async fn send(&self, at: usize, req: &Request<'_>) -> Result<Response<Incoming>, CallError> {
        let Some(address) = self.addresses.get(at % self.addresses.len().max(1)) else {
            return Err(CallError::NotSent("no address is known".to_owned()));
        };
        let uri = format!("http://{address}{}", req.path);
        let text = req.body.map(ToString::to_string).unwrap_or_default();
        let mut builder = http::Request::builder().method(req.method.clone()).uri(&uri);
        if req.body.is_some() {
            builder = builder.header(CONTENT_TYPE, "application/json");
        }
        let req = builder.body(Full::new(Bytes::from(text)));
        let req = req.map_err(|e| CallError::NotSent(format!("{uri}: {e}")))?;
        self.client.request(req).await.map_err(|e| {
            let reason = format!("{uri}: {e}");
            if e.is_connect() {
                CallError::NotSent(reason)
            } else {
                CallError::OutcomeUnknown(reason)
            }
        })
    }

    /// Counts a call and waits for its turn.
    async fn permitted(&self, kind: CallKind) {
        let wait = self.bucket.lock().reserve(self.clock.now());
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        (self.count)(kind);
    }

    fn turn_on(&self, at: usize, failure: &CallError) {
        if !matches!(failure, CallError::Refused(_)) {
            self.turn(at);
        }
    }

    /// Turns to the next address, unless another call has done so.
    fn turn(&self, from: usize) {
        let next = from.wrapping_add(1);
        let _ = self.current.compare_exchange(from, next, Ordering::Relaxed, Ordering::Relaxed);
    }
}

async fn within<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    let lost = || CallError::OutcomeUnknown(format!("no answer within {} ms", timeout.as_millis()));
    tokio::time::timeout(timeout, call).await.unwrap_or_else(|_| Err(lost()))
}
