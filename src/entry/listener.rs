//! Accepts callers' connections, and ends them in order when the host stops.

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

/// Time for which an idle connection of a caller is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Time allowed from the first to the last byte of a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes of a request head beyond which the HTTP layer itself refuses it.
const HEAD_BYTES_MAX: usize = 64 << 10;
/// Header fields of a request beyond which the HTTP layer itself refuses it.
const HEADERS_MAX: usize = 128;
/// Time between two looks at a connection whose caller may have stopped reading.
const STALL_CHECK: Duration = Duration::from_secs(5);
/// Time between two looks at a connection while the host stops.
const STOP_CHECK: Duration = Duration::from_millis(20);
/// Time allowed to a connection without an answer yet to send its first request while the host
/// stops.
const FIRST_REQUEST_LINGER: Duration = Duration::from_secs(1);
/// Time to wait after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// The answer to a connection over the limit.
const OVER_LIMIT: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    x-cornelferry-outcome: not-run\r\nx-cornelferry-code: 2005\r\nretry-after: 1\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

/// Serves callers until [`Phase::Stopping`] and the end of every connection. Blocks its thread.
///
/// # Errors
///
/// If the listener can't be served.
pub(crate) fn run(node: &Arc<Node>, listener: std::net::TcpListener) -> Result<()> {
    listener.set_nonblocking(true).context("caller listener")?;
    let open = Arc::new(AtomicUsize::new(0));
    let workers: Vec<_> = (1..node.settings.limits.workers)
        .map(|i| {
            let (node, open, listener) = (node.clone(), open.clone(), listener.try_clone()?);
            let thread = std::thread::Builder::new().name(format!("caller-{i}"));
            thread.spawn(move || work(&node, listener, &open))
        })
        .collect::<std::io::Result<_>>()
        .context("caller worker")?;
    let mut done = work(node, listener, &open);
    for worker in workers {
        done = done.and(worker.join().expect("worker"));
    }
    done
}

fn work(node: &Arc<Node>, listener: std::net::TcpListener, open: &Arc<AtomicUsize>) -> Result<()> {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&rt, async {
        let listener = TcpListener::from_std(listener).context("caller listener")?;
        accept(node, listener, open).await
    })
}

async fn accept(node: &Arc<Node>, listener: TcpListener, open: &Arc<AtomicUsize>) -> Result<()> {
    let service = {
        let node = node.clone();
        let handler = fn_service(async move |req| handler::handle(&node, req).await);
        let config = HttpServiceConfig::new()
            .keep_alive_timeout(KEEP_ALIVE)
            .request_head_timeout(HEAD_TIMEOUT)
            .max_read_buf_size::<HEAD_BYTES_MAX>()
            .max_request_headers::<HEADERS_MAX>();
        let attach = fn_service(async |stream| CallerConnection::attach(stream).map_err(drop));
        let http = HttpServiceBuilder::h1().config(config).with_tls(attach);
        let built = handler.enclosed(http).call(()).await;
        Rc::new(built.map_err(|e| anyhow::anyhow!("caller service: {e:?}"))?)
    };
    let connections = TaskTracker::new();
    let start = |stream: TcpStream, peer| {
        let Some(permit) = ConnectionPermit::take(open, node.settings.limits.caller_connections)
        else {
            let _ = stream.try_write(OVER_LIMIT);
            return;
        };
        let (node, service) = (node.clone(), service.clone());
        connections.spawn_local(async move {
            let _permit = permit;
            let caller = Rc::new(CallerConnection::default());
            let served = service.call((stream.into(), peer));
            tokio::select! {
                _ = CALLER_CONNECTION.scope(caller.clone(), served) => {}
                () = watch(&node, &caller) => {}
            }
        });
    };
    loop {
        tokio::select! {
            biased;
            () = node.wait_for_phase(Phase::Stopping) => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => start(stream, peer),
                Err(e) => {
                    log::warn!("caller listener: {e}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
    while let Some(Ok((stream, peer))) = listener.accept().now_or_never() {
        start(stream, peer);
    }
    drop(listener);
    connections.close();
    connections.wait().await;
    // The runtime of this worker drives connections to upstreams that other workers may use.
    while open.load(Ordering::Acquire) > 0 {
        tokio::time::sleep(STOP_CHECK).await;
    }
    Ok(())
}

/// Completes when the caller has stopped taking its answer in. Ends the reading of requests when
/// the host stops.
async fn watch(node: &Node, caller: &CallerConnection) {
    while tokio::time::timeout(STALL_CHECK, node.wait_for_phase(Phase::Stopping)).await.is_err() {
        if caller.is_stalled() {
            return;
        }
    }
    let first_request = tokio::time::Instant::now() + FIRST_REQUEST_LINGER;
    while !caller.is_stalled() {
        if caller.has_answered() || tokio::time::Instant::now() >= first_request {
            caller.close_idle();
        }
        tokio::time::sleep(STOP_CHECK).await;
    }
}

/// One of the connections that may be open.
#[derive(Debug)]
struct ConnectionPermit(Arc<AtomicUsize>);

impl ConnectionPermit {
    fn take(open: &Arc<AtomicUsize>, max: usize) -> Option<ConnectionPermit> {
        let permit = ConnectionPermit(open.clone());
        (open.fetch_add(1, Ordering::AcqRel) < max).then_some(permit)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
