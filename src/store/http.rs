//! JSON client over HTTP for a service with several addresses: failover, timeouts, a rate limit and
//! call counting.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::CONTENT_TYPE;
use http::{Method, Response};
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

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for a complete response, or for the head of a watch's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time for a complete response that keeps arriving, several times what the largest value of a
/// key takes over a link of 10 Mbit/s.
const RESPONSE_MAX: Duration = Duration::from_secs(10);
/// Time after which an idle connection is closed; shorter than the usual idle timeouts of servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of a response body, in bytes.
const RESPONSE_MAX_BYTES: usize = 16 << 20;

/// A callback that counts a call by its kind.
pub(crate) type CallCounter = Box<dyn Fn(CallKind) + Send + Sync>;

/// A request to a service.
#[derive(Debug)]
pub(crate) struct Request<'a> {
    pub(crate) method: Method,
    /// The path and query.
    pub(crate) path: &'a str,
    /// The body, sent as JSON.
    pub(crate) body: Option<&'a Value>,
}

impl<'a> Request<'a> {
    /// Creates a POST request with a body, or a GET request without one.
    fn new(path: &'a str, body: Option<&'a Value>) -> Request<'a> {
        let method = if body.is_some() { Method::POST } else { Method::GET };
        Request { method, path, body }
    }
}

/// A client of a service that is reachable at several equivalent addresses.
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    addresses: Vec<SocketAddr>,
    /// Counts address switches; modulo the number of addresses, the index of the one in use.
    current: AtomicUsize,
    clock: Clock,
    bucket: Mutex<TokenBucket>,
    counter: CallCounter,
}

impl HttpClient {
    /// Creates a client of the service at `addresses` that makes at most `calls_per_second` calls a
    /// second.
    pub(crate) fn new(
        addresses: Vec<SocketAddr>,
        calls_per_second: f64,
        counter: CallCounter,
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
            counter,
        }
    }

    /// Makes an idempotent call: tries each address until one responds.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the first address that refuses, or else the last address's
    /// [`CallError`].
    pub(crate) async fn read<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        body: Option<&Value>,
    ) -> Result<T, CallError> {
        let mut failure = CallError::NotSent("no address is configured".to_owned());
        for _ in &self.addresses {
            match self.call_json(kind, path, body).await {
                Err(CallError::Refused(reason)) => return Err(CallError::Refused(reason)),
                Err(e) => failure = e,
                done => return done,
            }
        }
        Err(failure)
    }

    /// Makes a call that is not idempotent: tries the next address only while the request was not
    /// sent.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::OutcomeUnknown`] if the call may have taken effect, and any other
    /// [`CallError`] if it has not.
    pub(crate) async fn write<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        body: &Value,
    ) -> Result<T, CallError> {
        let mut failure = CallError::NotSent("no address is configured".to_owned());
        for _ in &self.addresses {
            match self.call_json(kind, path, Some(body)).await {
                Err(CallError::NotSent(reason)) => failure = CallError::NotSent(reason),
                done => return done,
            }
        }
        Err(failure)
    }

    /// Starts a call with a streamed response and returns once the response's head is received.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if no successful response head is received in time.
    pub(crate) async fn open(
        &self,
        kind: CallKind,
        path: &str,
        body: &Value,
    ) -> Result<Response<Incoming>, CallError> {
        self.throttle(kind).await;
        let at = self.current.load(Ordering::Relaxed);
        let req = Request::new(path, Some(body));
        let res = with_timeout(RESPONSE_TIMEOUT, self.send(at, &req))
            .await
            .inspect_err(|_| self.switch_from(at))?;
        if res.status().is_success() {
            return Ok(res);
        }
        Err(CallError::Refused(format!("{path}: status {}", res.status())))
    }

    /// Makes one call to the current address, and returns the body of a successful response.
    async fn call_json<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        body: Option<&Value>,
    ) -> Result<T, CallError> {
        self.throttle(kind).await;
        let at = self.current.load(Ordering::Relaxed);
        let response = with_timeout(RESPONSE_TIMEOUT, self.call_checked(at, path, body)).await;
        let text = response.inspect_err(|e| self.switch_after(at, e))?;
        serde_json::from_slice(&text).map_err(|e| CallError::OutcomeUnknown(format!("{path}: {e}")))
    }

    /// Makes one call to the current address, and returns any response.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if the response doesn't begin within `timeout`, if nothing more of it
    /// comes for as long, or if it takes more than [`RESPONSE_MAX`] in all. A large response that
    /// keeps arriving is worth waiting for: another call would ask for all of it again.
    pub(crate) async fn call(
        &self,
        kind: CallKind,
        req: &Request<'_>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        self.throttle(kind).await;
        let at = self.current.load(Ordering::Relaxed);
        let response = with_timeout(RESPONSE_MAX, self.call_steadily(at, req, timeout)).await;
        response.inspect_err(|e| self.switch_after(at, e))
    }

    /// Makes a call and buffers the response's body, each part of which may take `timeout`.
    async fn call_steadily(
        &self,
        at: usize,
        req: &Request<'_>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let failed = |e| CallError::OutcomeUnknown(format!("{}: {e}", req.path));
        let (head, body) = with_timeout(timeout, self.send(at, req)).await?.into_parts();
        let mut body = Limited::new(body, RESPONSE_MAX_BYTES);
        let mut buf = BytesMut::new();
        loop {
            let frame = with_timeout(timeout, async { Ok(body.frame().await) }).await?;
            let Some(frame) = frame else { return Ok(Response::from_parts(head, buf.freeze())) };
            if let Ok(data) = frame.map_err(failed)?.into_data() {
                buf.extend_from_slice(&data);
            }
        }
    }

    /// Makes a call and buffers the response's body.
    async fn call_buffered(
        &self,
        at: usize,
        req: &Request<'_>,
    ) -> Result<Response<Bytes>, CallError> {
        let (head, body) = self.send(at, req).await?.into_parts();
        let mut body = Limited::new(body, RESPONSE_MAX_BYTES);
        // The parts are copied, as each may keep a whole read buffer alive.
        let mut buf = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame =
                frame.map_err(|e| CallError::OutcomeUnknown(format!("{}: {e}", req.path)))?;
            buf.extend_from_slice(&frame.into_data().unwrap_or_default());
        }
        Ok(Response::from_parts(head, buf.freeze()))
    }

    /// Makes a call and checks the status: returns the body of a successful response. A client
    /// error is a refusal; after any other status the outcome is unknown.
    async fn call_checked(
        &self,
        at: usize,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Bytes, CallError> {
        let res = self.call_buffered(at, &Request::new(path, body)).await?;
        let (status, text) = (res.status(), res.into_body());
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

    /// Sends a request to the address at an index, and returns the response with its body unread.
    async fn send(&self, at: usize, req: &Request<'_>) -> Result<Response<Incoming>, CallError> {
        let Some(address) = self.addresses.get(at % self.addresses.len().max(1)) else {
            return Err(CallError::NotSent("no address is configured".to_owned()));
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

    /// Waits until the rate limit allows a call, and counts it.
    async fn throttle(&self, kind: CallKind) {
        let wait = self.bucket.lock().reserve(self.clock.now());
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        (self.counter)(kind);
    }

    /// Switches to the next address after a failed call. A refusal doesn't count as a failure here,
    /// as the address has responded.
    fn switch_after(&self, at: usize, failure: &CallError) {
        if !matches!(failure, CallError::Refused(_)) {
            self.switch_from(at);
        }
    }

    /// Switches to the next address, unless a concurrent call has already done so.
    fn switch_from(&self, from: usize) {
        let next = from.wrapping_add(1);
        let _ = self.current.compare_exchange(from, next, Ordering::Relaxed, Ordering::Relaxed);
    }
}

/// Runs a call. After a timeout, its outcome is unknown.
async fn with_timeout<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    let outcome_unknown =
        || CallError::OutcomeUnknown(format!("no response within {} ms", timeout.as_millis()));
    tokio::time::timeout(timeout, call).await.unwrap_or_else(|_| Err(outcome_unknown()))
}
