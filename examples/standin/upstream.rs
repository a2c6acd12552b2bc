//! A stand-in upstream: a number of slots, a service time, and faults on request.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// The request header by which a load program sets the service time, in microseconds.
pub const SERVICE_TIME_HEADER: &str = "x-standin-us";

/// How the stand-in behaves; may be changed while it runs.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// The time that a request holds its slot.
    pub service_time: Duration,
    /// Multiplies the service time; above 1 for a straggler.
    pub slowness: f64,
    /// The status given at once to every request, without running it.
    pub fail_with: Option<u16>,
    /// Whether answers carry the drain header.
    pub draining: bool,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        let service_time = Duration::from_millis(5);
        Behaviour { service_time, slowness: 1.0, fail_with: None, draining: false }
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
    slots: Semaphore,
    in_flight: AtomicU32,
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
            slots: Semaphore::new(slots),
            in_flight: AtomicU32::new(0),
        });
        tokio::spawn(accept(upstream.clone(), listener));
        upstream
    }

    /// Returns how many times a request was run.
    pub fn runs_of(&self, id: &str) -> usize {
        self.runs.lock().iter().filter(|r| *r == id).count()
    }
}

async fn accept(upstream: Arc<Upstream>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let upstream = upstream.clone();
        let _ = stream.set_nodelay(true);
        tokio::spawn(async move {
            let service = service_fn(move |req| serve(upstream.clone(), req));
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Returns the service time that a load program asks for, in microseconds.
fn asked_for(headers: &HeaderMap) -> Option<Duration> {
    let micros = headers.get(SERVICE_TIME_HEADER)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_micros(micros))
}

async fn serve(
    upstream: Arc<Upstream>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let behaviour = upstream.behaviour.lock().clone();
    let id = req.headers().get("x-request-id").and_then(|v| v.to_str().ok());
    let id = id.unwrap_or_default().to_owned();
    let probe = req.uri().path() == "/healthz";
    let load = upstream.in_flight.load(Ordering::Relaxed);
    let service_time = asked_for(req.headers()).unwrap_or(behaviour.service_time);
    let status = behaviour.fail_with.and_then(|s| StatusCode::from_u16(s).ok());
    let mut body = Bytes::from(format!("{id}\n"));
    if !probe && status.is_none() {
        upstream.in_flight.fetch_add(1, Ordering::Relaxed);
        let slot = upstream.slots.acquire().await;
        upstream.runs.lock().push(id);
        let sent = req.into_body().collect().await.map(|b| b.to_bytes()).unwrap_or_default();
        if !sent.is_empty() {
            body = sent;
        }
        tokio::time::sleep(service_time.mul_f64(behaviour.slowness)).await;
        drop(slot);
        upstream.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
    let mut res = Response::new(Full::new(body));
    *res.status_mut() = status.unwrap_or(StatusCode::OK);
    res.headers_mut().insert("x-load", load.into());
    if behaviour.draining {
        res.headers_mut().insert("x-draining", 1.into());
    }
    Ok(res)
}
