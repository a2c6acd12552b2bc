//! Tests of bodies that are forwarded as they arrive.

use std::future::poll_fn;
use std::net::Ipv4Addr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use xitca_web::body::Body as _;

use super::{BodySource, Buffered, Truncated};
use crate::forward::connection::Connection;
use crate::forward::memory::MemoryBudget;
use crate::forward::pool::Pool;
use crate::time::Clock;

/// The time after which something that should have ended counts as hanging.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against an upstream connection that stays open for as long as its caller reads slowly or not
/// at all, and against a body that looks complete then.
#[tokio::test]
async fn a_body_that_nobody_reads_ends_at_its_deadline() {
    for framing in ["transfer-encoding: chunked\r\n", "content-length: 9000000000\r\n", ""] {
        LocalSet::new().run_until(read_nothing(framing)).await;
    }
}

async fn read_nothing(framing: &str) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("bind");
    let address = listener.local_addr().expect("bound");
    let head = format!("HTTP/1.1 200 OK\r\n{framing}\r\n");
    let upstream = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept");
        let _ = stream.read(&mut [0; 1_024]).await;
        let _ = stream.write_all(head.as_bytes()).await;
        let chunk = format!("1000\r\n{}\r\n", "a".repeat(4_096));
        while stream.write_all(chunk.as_bytes()).await.is_ok() {}
    });
    let clock = Clock::start();
    let until = clock.instant(clock.now() + HANG_TIMEOUT);
    let permit = Pool::default().reserve(address, 1).expect("a permit");
    let mut conn = Connection::open(address, clock, until, permit).await.expect("connect");
    let req = Request::new(Full::new(Bytes::new()));
    let res = conn.send(req, clock.now() + HANG_TIMEOUT).await.expect("a response");
    let reservation = MemoryBudget::new(1 << 20).reservation();
    let buffered = Buffered::Partial(Bytes::from_static(b"begin"), reservation);
    let deadline = clock.instant(clock.now() + Duration::from_millis(50));
    let source = BodySource::Peer { _conn: conn };
    let mut body = buffered.into_body(res.into_body(), None, deadline, source);
    let ended = tokio::time::timeout(HANG_TIMEOUT, upstream).await;
    assert!(ended.is_ok(), "the connection is still open with {framing:?}");
    let mut next = async || poll_fn(|cx| std::pin::Pin::new(&mut body).poll_frame(cx)).await;
    let first = next().await.map(|f| f.map(|f| f.into_data().ok()));
    assert!(matches!(first, Some(Ok(Some(data))) if *data == *b"begin"));
    assert!(matches!(next().await, Some(Err(Truncated))), "{framing:?}");
}
