//! Accepts callers' connections, and closes them gracefully when the host stops.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anyhow::{Context, Result};
use futures_util::FutureExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio_util::task::TaskTracker;
use xitca_http::HttpServiceBuilder;
use xitca_http::config::HttpServiceConfig;
use xitca_web::service::{Service, ServiceExt, fn_service};

use crate::entry::handler;
use crate::entry::socket::{CALLER_CONNECTION, CallerConnection};
use crate::node::{Node, Phase};

/// Time after which an idle caller connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);
/// Maximum time between the first and the last byte of a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of a request head, in bytes, above which the HTTP layer itself rejects it.
const HEAD_MAX_BYTES: usize = 64 << 10;
/// Number of header fields above which the HTTP layer itself rejects a request.
const HEADER_FIELDS_MAX: usize = 128;
/// Time between checks of whether a caller has stopped reading.
const STALL_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Time between checks of the open connections while the host is stopping.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a connection without a response so far may still send its first request while the
/// host is stopping.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before accepting again after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The response to a connection above the connection limit.
const OVER_LIMIT_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    x-cornelferry-outcome: not-run\r\nx-cornelferry-code: 2005\r\nretry-after: 1\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

/// Serves callers until [`Phase::Stopping`] is reached and every connection is closed. Blocks the
/// calling thread.
///
/// # Errors
///
/// Returns an error if the listener can't be served.
///
/// # Panics
///
/// Panics if a worker panics.
pub(crate) fn run(
    node: &Arc<Node>,
    listener: std::net::TcpListener,
    relay: Option<std::net::TcpListener>,
) -> Result<()> {
    listener.set_nonblocking(true).context("can't set up the caller listener")?;
    let open_count = Arc::new(AtomicUsize::new(0));
    let relay_worker = relay.map(|relay| spawn_relay_worker(node, relay, &open_count));
    let relay_worker = relay_worker.transpose().context("can't start the relay worker")?;
    let workers: Vec<_> = (1..node.settings.limits.workers)
        .map(|i| {
            let (node, open_count, listener) =
                (node.clone(), open_count.clone(), listener.try_clone()?);
            let thread = std::thread::Builder::new().name(format!("caller-{i}"));
            thread.spawn(move || run_worker(&node, listener, &open_count, false))
        })
        .collect::<std::io::Result<_>>()
        .context("can't start a caller worker")?;
    let mut result = run_worker(node, listener, &open_count, false);
    for worker in workers.into_iter().chain(relay_worker) {
        result = result.and(worker.join().expect("a caller worker does not panic"));
    }
    result
}

/// Starts a thread that serves the requests that peers pass on.
fn spawn_relay_worker(
    node: &Arc<Node>,
    listener: std::net::TcpListener,
    open_count: &Arc<AtomicUsize>,
) -> std::io::Result<std::thread::JoinHandle<Result<()>>> {
    listener.set_nonblocking(true)?;
    let (node, open_count) = (node.clone(), open_count.clone());
    let thread = std::thread::Builder::new().name("relay".to_owned());
    thread.spawn(move || run_worker(&node, listener, &open_count, true))
}

/// Serves the connections of a listener; `is_relay` tells whether they are of peers that pass on
/// requests.
fn run_worker(
    node: &Arc<Node>,
    listener: std::net::TcpListener,
    open_count: &Arc<AtomicUsize>,
    is_relay: bool,
) -> Result<()> {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&rt, async {
        let listener =
            TcpListener::from_std(listener).context("can't set up the caller listener")?;
        accept_loop(node, listener, open_count, is_relay).await
    })
}

async fn accept_loop(
    node: &Arc<Node>,
    listener: TcpListener,
    open_count: &Arc<AtomicUsize>,
    is_relay: bool,
) -> Result<()> {
    let service = {
        let node = node.clone();
        let handler = fn_service(async move |req| handler::handle(&node, req, is_relay).await);
        let config = HttpServiceConfig::new()
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .request_head_timeout(HEAD_TIMEOUT)
            .max_read_buf_size::<HEAD_MAX_BYTES>()
            .max_request_headers::<HEADER_FIELDS_MAX>();
        // There is no TLS here. The TLS hook of the HTTP layer serves to wrap the stream.
        let attach = fn_service(async |stream| CallerConnection::attach(stream).map_err(drop));
        let http = HttpServiceBuilder::h1().config(config).with_tls(attach);
        let built = handler.enclosed(http).call(()).await;
        Rc::new(
            built
                .map_err(|e| anyhow::anyhow!("can't build the HTTP service for callers: {e:?}"))?,
        )
    };
    let connections = TaskTracker::new();
    let spawn_connection = |stream: TcpStream, peer| {
        let Some(permit) = CallerPermit::take(open_count, node.settings.limits.caller_connections)
        else {
            let _ = stream.try_write(OVER_LIMIT_RESPONSE);
            return;
        };
        let (node, service) = (node.clone(), service.clone());
        connections.spawn_local(async move {
            let _permit = permit;
            let caller = Rc::new(CallerConnection::default());
            let served = service.call((stream.into(), peer));
            tokio::select! {
                _ = CALLER_CONNECTION.scope(caller.clone(), served) => {}
                () = watch_connection(&node, &caller) => {}
            }
        });
    };
    loop {
        tokio::select! {
            biased;
            () = node.wait_for_phase(Phase::Stopping) => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => spawn_connection(stream, peer),
                Err(e) => {
                    log::warn!("accepting a caller connection failed: {e}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
    // Serves the connections that are already in the accept queue.
    while let Some(Ok((stream, peer))) = listener.accept().now_or_never() {
        spawn_connection(stream, peer);
    }
    drop(listener);
    connections.close();
    connections.wait().await;
    // This worker's runtime drives upstream connections that other workers may be using.
    while open_count.load(Ordering::Acquire) > 0 {
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
    }
    Ok(())
}

/// Completes when the caller has stopped reading its response. While the host is stopping, also
/// stops reading requests when the connection is idle.
async fn watch_connection(node: &Node, caller: &CallerConnection) {
    while tokio::time::timeout(STALL_CHECK_INTERVAL, node.wait_for_phase(Phase::Stopping))
        .await
        .is_err()
    {
        if caller.is_stalled() {
            return;
        }
    }
    let first_request_deadline = tokio::time::Instant::now() + FIRST_REQUEST_TIMEOUT;
    while !caller.is_stalled() {
        if caller.has_responded() || tokio::time::Instant::now() >= first_request_deadline {
            caller.close_idle();
        }
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
    }
}

/// A permit for one open caller connection, returned when dropped.
#[derive(Debug)]
struct CallerPermit(Arc<AtomicUsize>);

impl CallerPermit {
    fn take(open_count: &Arc<AtomicUsize>, max: usize) -> Option<CallerPermit> {
        let permit = CallerPermit(open_count.clone());
        (open_count.fetch_add(1, Ordering::AcqRel) < max).then_some(permit)
    }
}

impl Drop for CallerPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
