//! A stand-in for an upstream, with a number of slots, a service time and configurable faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_stream::StreamExt;

/// The request header by which a load generator sets the service time, in microseconds.
pub const SERVICE_TIME_HEADER: &str = "x-standin-us";

/// The behaviour of the stand-in, which may be changed while it runs.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// The time for which a request holds its slot.
    pub service_time: Duration,
    /// The factor on the service time; above 1 for a straggler.
    pub slowdown: f64,
    /// The status with which every request is answered at once, without running.
    pub fail_status: Option<u16>,
    /// Whether responses carry the drain header.
    pub draining: bool,
    /// The fault that is injected on every request.
    pub fault: Option<Fault>,
    /// Whether the health endpoint returns status 503.
    pub unhealthy: bool,
}

/// A fault that is injected on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The request is refused with status 503 and the header `x-refused`, without running.
    Refuse,
    /// The connection is reset as soon as it is accepted.
    ResetOnAccept,
    /// The request is read, and the connection is closed without running it.
    CloseBeforeRun,
    /// The request runs, and the connection is closed without a response.
    CloseAfterRun,
    /// The request runs, and the connection is closed in the middle of the response's body.
    CutBody,
    /// The request runs and never gets a response.
    NoResponse,
    /// The request runs, and the response isn't valid HTTP.
    InvalidHttp,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        let service_time = Duration::from_millis(5);
        Behaviour {
            service_time,
            slowdown: 1.0,
            fail_status: None,
            draining: false,
            fault: None,
            unhealthy: false,
        }
    }
}

/// A running stand-in for an upstream.
#[derive(Debug)]
pub struct Upstream {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The present behaviour.
    pub behaviour: Mutex<Behaviour>,
    /// The ids of the requests that ran, in the order in which they got a slot.
    pub runs: Mutex<Vec<String>>,
    /// The values of the deadline header of the requests that ran, in milliseconds.
    pub deadlines: Mutex<Vec<u64>>,
    /// The number of requests that ended without a response, as when their connection was closed.
    pub cancelled: AtomicU32,
    /// The number of connections that were accepted.
    pub connections: AtomicU32,
    /// The largest number of connections that were open at the same time.
    pub max_open: AtomicU32,
    open: AtomicU32,
    /// Requests on connections up to this number neither run nor get a response.
    pub silent_up_to: AtomicU32,
    slots: Semaphore,
    in_flight: AtomicU32,
    /// The time by which past requests have held their slots too long, because timers are as coarse
    /// as a millisecond. Later requests hold theirs for less time in return.
    oversleep: Mutex<Duration>,
}

impl Upstream {
    /// Starts a stand-in on the current runtime.
    ///
    /// # Panics
    ///
    /// Panics if the address can't be bound.
    pub async fn start(address: SocketAddr, slots: usize, behaviour: Behaviour) -> Arc<Upstream> {
        let listener = TcpListener::bind(address).await.expect("stand-in address");
        let upstream = Arc::new(Upstream {
            address: listener.local_addr().expect("bound"),
            behaviour: Mutex::new(behaviour),
            runs: Mutex::default(),
            deadlines: Mutex::default(),
            cancelled: AtomicU32::new(0),
            connections: AtomicU32::new(0),
            max_open: AtomicU32::new(0),
            open: AtomicU32::new(0),
            silent_up_to: AtomicU32::new(0),
            slots: Semaphore::new(slots),
            in_flight: AtomicU32::new(0),
            oversleep: Mutex::default(),
        });
        tokio::spawn(accept(upstream.clone(), listener));
        upstream
    }

    /// Returns the number of times that a request ran.
    pub fn runs_of(&self, id: &str) -> usize {
        self.runs.lock().iter().filter(|r| *r == id).count()
    }

    /// Sets or clears the fault that is injected on every request.
    pub fn set_fault(&self, fault: Option<Fault>) {
        self.behaviour.lock().fault = fault;
    }

    /// Makes all connections accepted so far silent for good. New connections work.
    pub fn silence_connections(&self) {
        self.silent_up_to.store(self.connections.load(Ordering::SeqCst), Ordering::SeqCst);
    }
}

/// The body of a response: complete, or truncated after its first part.
type ResponseBody = BoxBody<Bytes, std::io::Error>;

/// A guard that counts a request as in flight until it is dropped, and then as cancelled unless it
/// is answered.
struct InFlight<'a> {
    upstream: &'a Upstream,
    answered: bool,
}

impl<'a> InFlight<'a> {
    fn new(upstream: &'a Upstream) -> InFlight<'a> {
        upstream.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight { upstream, answered: false }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.upstream.in_flight.fetch_sub(1, Ordering::Relaxed);
        if !self.answered {
            self.upstream.cancelled.fetch_add(1, Ordering::SeqCst);
        }
    }
}

async fn accept(upstream: Arc<Upstream>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let upstream = upstream.clone();
        let _ = stream.set_nodelay(true);
        let number = upstream.connections.fetch_add(1, Ordering::SeqCst) + 1;
        if upstream.behaviour.lock().fault == Some(Fault::ResetOnAccept) {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            continue;
        }
        tokio::spawn(async move {
            if upstream.behaviour.lock().fault == Some(Fault::InvalidHttp) {
                return send_invalid_http(&upstream, stream).await;
            }
            let open = upstream.open.fetch_add(1, Ordering::SeqCst) + 1;
            upstream.max_open.fetch_max(open, Ordering::SeqCst);
            let shared = upstream.clone();
            let service = service_fn(move |req| serve(shared.clone(), number, req));
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            upstream.open.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

/// Reads a request from a new connection, counts it as run, and sends a response that isn't valid
/// HTTP.
async fn send_invalid_http(upstream: &Upstream, mut stream: TcpStream) {
    let mut buf = [0; 4096];
    let read = stream.read(&mut buf).await.unwrap_or(0);
    let head = String::from_utf8_lossy(&buf[..read]).into_owned();
    let id = head.lines().find_map(|l| l.strip_prefix("x-request-id: ")).unwrap_or_default();
    upstream.runs.lock().push(id.to_owned());
    let _ = stream.write_all(b"no http at all\r\n\r\n").await;
}

impl Upstream {
    /// Sleeps for a service time, shortened by the oversleep of past ones, so that the mean is
    /// exact.
    async fn sleep_for(&self, service_time: Duration) {
        let (start, sleep) = {
            let mut oversleep = self.oversleep.lock();
            let sleep = service_time.saturating_sub(*oversleep);
            *oversleep -= service_time - sleep;
            (Instant::now(), sleep)
        };
        tokio::time::sleep(sleep).await;
        *self.oversleep.lock() += start.elapsed().saturating_sub(sleep);
    }
}

/// Returns the service time that the request sets, if it does.
fn requested_service_time(headers: &HeaderMap) -> Option<Duration> {
    let micros = headers.get(SERVICE_TIME_HEADER)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_micros(micros))
}

/// Serves one request, with the behaviour of the time when it arrives. `connection` is the number
/// of its connection.
async fn serve(
    upstream: Arc<Upstream>,
    connection: u32,
    req: Request<Incoming>,
) -> Result<Response<ResponseBody>, std::io::Error> {
    let behaviour = upstream.behaviour.lock().clone();
    let header = |name: &str| req.headers().get(name).and_then(|v| v.to_str().ok());
    let id = header("x-request-id").unwrap_or_default().to_owned();
    let deadline: Option<u64> = header("x-cornelferry-deadline-ms").and_then(|v| v.parse().ok());
    let service_time = requested_service_time(req.headers()).unwrap_or(behaviour.service_time);
    let probe = req.uri().path() == "/healthz";
    let load = upstream.in_flight.load(Ordering::Relaxed);
    let status = behaviour.fail_status.and_then(|s| StatusCode::from_u16(s).ok());
    let mut body = Bytes::from(format!("{id}\n"));
    if connection <= upstream.silent_up_to.load(Ordering::SeqCst) {
        std::future::pending::<()>().await;
    }
    let refused = behaviour.fault == Some(Fault::Refuse);
    if behaviour.fault == Some(Fault::CloseBeforeRun) {
        return Err(std::io::Error::other("closed before the run"));
    }
    if !probe && !refused && status.is_none() {
        let mut in_flight = InFlight::new(&upstream);
        let slot = upstream.slots.acquire().await;
        upstream.runs.lock().push(id);
        upstream.deadlines.lock().extend(deadline);
        let request_body =
            req.into_body().collect().await.map(|b| b.to_bytes()).unwrap_or_default();
        if !request_body.is_empty() {
            body = request_body;
        }
        upstream.sleep_for(service_time.mul_f64(behaviour.slowdown)).await;
        drop(slot);
        match behaviour.fault {
            Some(Fault::CloseAfterRun) => {
                return Err(std::io::Error::other("closed after the run"));
            }
            Some(Fault::NoResponse) => std::future::pending().await,
            _ => in_flight.answered = true,
        }
    }
    let mut res = match behaviour.fault {
        Some(Fault::CutBody) => truncated(&body),
        _ => Response::new(Full::new(body).map_err(|e| match e {}).boxed()),
    };
    let status =
        status.or((probe && behaviour.unhealthy).then_some(StatusCode::SERVICE_UNAVAILABLE));
    let refusal = refused.then_some(StatusCode::SERVICE_UNAVAILABLE);
    *res.status_mut() = refusal.or(status).unwrap_or(StatusCode::OK);
    res.headers_mut().insert("x-load", load.into());
    if refused {
        res.headers_mut().insert("x-refused", 1.into());
    }
    if behaviour.draining {
        res.headers_mut().insert("x-draining", 1.into());
    }
    Ok(res)
}

/// Builds a response whose body ends before its announced length.
fn truncated(body: &Bytes) -> Response<ResponseBody> {
    let parts = [Ok(Frame::data(body.clone())), Err(std::io::Error::other("cut"))];
    let parts = tokio_stream::iter(parts).then(async |part| {
        tokio::time::sleep(Duration::from_millis(5)).await;
        part
    });
    let mut res = Response::new(BodyExt::boxed(StreamBody::new(Box::pin(parts))));
    res.headers_mut().insert("content-length", (body.len() + 100_000).into());
    res
}
