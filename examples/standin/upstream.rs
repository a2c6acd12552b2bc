//! A stand-in upstream: a number of slots, a service time, and faults on request.

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

/// The request header by which a load program sets the service time, in microseconds.
pub const SERVICE_TIME_HEADER: &str = "x-standin-us";

/// How the stand-in behaves; may be changed while it runs.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// The time that a request holds its slot.
    pub service_time: Duration,
    /// Multiplies the service time; above 1 for a straggler.
    pub slowdown: f64,
    /// The status given at once to every request, without running it.
    pub fail_status: Option<u16>,
    /// Whether answers carry the drain header.
    pub draining: bool,
    /// What goes wrong with every request.
    pub fault: Option<Fault>,
    /// Whether the health endpoint answers 503.
    pub unhealthy: bool,
}

/// What goes wrong with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is refused with status 503 and the header `x-refused`, and not run.
    Refuse,
    /// The connection is reset as soon as it is accepted.
    ResetOnAccept,
    /// The request is read, not run, and the connection is closed.
    CloseBeforeRun,
    /// The request is run and the connection is closed without an answer.
    CloseAfterRun,
    /// The request is run and the connection is closed within the answer's body.
    CutBody,
    /// The request is run and never answered.
    NoAnswer,
    /// The request is run and the answer is no HTTP.
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

/// A running stand-in.
#[derive(Debug)]
pub struct Upstream {
    /// Where it listens.
    pub address: SocketAddr,
    /// How it behaves.
    pub behaviour: Mutex<Behaviour>,
    /// The request ids that it ran, in order of arrival.
    pub runs: Mutex<Vec<String>>,
    /// The deadlines in milliseconds that came with the requests that it ran.
    pub deadlines: Mutex<Vec<u64>>,
    /// Requests whose connection was closed before they were answered.
    pub cancelled: AtomicU32,
    /// Connections accepted.
    pub connections: AtomicU32,
    /// The most connections that were open at once.
    pub max_open: AtomicU32,
    open: AtomicU32,
    /// Connections up to this number swallow every request from now on, and run none.
    pub silent_up_to: AtomicU32,
    slots: Semaphore,
    in_flight: AtomicU32,
    /// Time by which past requests held their slots too long: timers are as coarse as a millisecond.
    overslept: Mutex<Duration>,
}

impl Upstream {
    /// Starts a stand-in on the current runtime.
    ///
    /// # Panics
    ///
    /// If the address can't be bound.
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
            overslept: Mutex::default(),
        });
        tokio::spawn(accept(upstream.clone(), listener));
        upstream
    }

    /// Returns how many times a request was run.
    pub fn runs_of(&self, id: &str) -> usize {
        self.runs.lock().iter().filter(|r| *r == id).count()
    }

    /// Replaces what goes wrong.
    pub fn set_fault(&self, fault: Option<Fault>) {
        self.behaviour.lock().fault = fault;
    }

    /// Makes every connection that is open silent for good; new ones work.
    pub fn silence_connections(&self) {
        self.silent_up_to.store(self.connections.load(Ordering::SeqCst), Ordering::SeqCst);
    }
}

/// An answer's body: whole, or cut after its first part.
type Answer = BoxBody<Bytes, std::io::Error>;

/// A request on the upstream: in flight, and counted as cancelled unless it is answered.
struct Running<'a> {
    upstream: &'a Upstream,
    answered: bool,
}

impl<'a> Running<'a> {
    fn new(upstream: &'a Upstream) -> Running<'a> {
        upstream.in_flight.fetch_add(1, Ordering::Relaxed);
        Running { upstream, answered: false }
    }
}

impl Drop for Running<'_> {
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
                return answer_garbage(&upstream, stream).await;
            }
            let open = upstream.open.fetch_add(1, Ordering::SeqCst) + 1;
            upstream.max_open.fetch_max(open, Ordering::SeqCst);
            let serving = upstream.clone();
            let service = service_fn(move |req| serve(serving.clone(), number, req));
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            upstream.open.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

async fn answer_garbage(upstream: &Upstream, mut stream: TcpStream) {
    let mut buf = [0; 4096];
    let read = stream.read(&mut buf).await.unwrap_or(0);
    let head = String::from_utf8_lossy(&buf[..read]).into_owned();
    let id = head.lines().find_map(|l| l.strip_prefix("x-request-id: ")).unwrap_or_default();
    upstream.runs.lock().push(id.to_owned());
    let _ = stream.write_all(b"no http at all\r\n\r\n").await;
}

impl Upstream {
    /// Sleeps for a service time, less what past ones took too long, so that the mean is exact.
    async fn hold(&self, service_time: Duration) {
        let (start, sleep) = {
            let mut overslept = self.overslept.lock();
            let sleep = service_time.saturating_sub(*overslept);
            *overslept -= service_time - sleep;
            (Instant::now(), sleep)
        };
        tokio::time::sleep(sleep).await;
        *self.overslept.lock() += start.elapsed().saturating_sub(sleep);
    }
}

/// Returns the service time that a load program asks for, in microseconds.
fn asked_for(headers: &HeaderMap) -> Option<Duration> {
    let micros = headers.get(SERVICE_TIME_HEADER)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_micros(micros))
}

async fn serve(
    upstream: Arc<Upstream>,
    connection: u32,
    req: Request<Incoming>,
) -> Result<Response<Answer>, std::io::Error> {
    let behaviour = upstream.behaviour.lock().clone();
    let text = |name: &str| req.headers().get(name).and_then(|v| v.to_str().ok());
    let id = text("x-request-id").unwrap_or_default().to_owned();
    let deadline: Option<u64> = text("x-cornelferry-deadline-ms").and_then(|v| v.parse().ok());
    let service_time = asked_for(req.headers()).unwrap_or(behaviour.service_time);
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
        let mut running = Running::new(&upstream);
        let slot = upstream.slots.acquire().await;
        upstream.runs.lock().push(id);
        upstream.deadlines.lock().extend(deadline);
        let sent = req.into_body().collect().await.map(|b| b.to_bytes()).unwrap_or_default();
        if !sent.is_empty() {
            body = sent;
        }
        upstream.hold(service_time.mul_f64(behaviour.slowdown)).await;
        drop(slot);
        match behaviour.fault {
            Some(Fault::CloseAfterRun) => {
                return Err(std::io::Error::other("closed after the run"));
            }
            Some(Fault::NoAnswer) => std::future::pending().await,
            _ => running.answered = true,
        }
    }
    let mut res = match behaviour.fault {
        Some(Fault::CutBody) => cut(&body),
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

/// Makes an answer whose body ends before its announced length.
fn cut(body: &Bytes) -> Response<Answer> {
    let parts = [Ok(Frame::data(body.clone())), Err(std::io::Error::other("cut"))];
    let parts = tokio_stream::iter(parts).then(async |part| {
        tokio::time::sleep(Duration::from_millis(5)).await;
        part
    });
    let mut res = Response::new(BodyExt::boxed(StreamBody::new(Box::pin(parts))));
    res.headers_mut().insert("content-length", (body.len() + 100_000).into());
    res
}
