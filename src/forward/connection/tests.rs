//! Tests of the idle timeout that an upstream names, and of what counts as a response.

use std::net::Ipv4Addr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::{Connection, idle_timeout, keep_alive_timeout};
use crate::decide::attempt::AttemptOutcome;
use crate::forward::pool::Pool;
use crate::time::Clock;

/// Sends a request to an upstream that answers any with `response`.
async fn send(response: String) -> Result<Response<Incoming>, AttemptOutcome> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("bind");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept");
        let mut buf = [0; 1_024];
        let _ = stream.read(&mut buf).await;
        let _ = stream.write_all(response.as_bytes()).await;
        let _ = stream.read(&mut buf).await;
    });
    let clock = Clock::start();
    let deadline = clock.now() + Duration::from_secs(10);
    let permit = Pool::default().reserve(address, 1).expect("a permit");
    let until = clock.instant(deadline);
    let mut conn = Connection::open(address, clock, until, permit).await.expect("connect");
    conn.send(Request::new(Full::new(Bytes::new())), deadline).await
}

/// Guards against such an answer on each path that sends requests: to upstreams, to their health checks
/// and to peers.
#[tokio::test]
async fn only_a_final_status_makes_a_response() {
    for status in ["101", "600", "999", "000", "2000"] {
        let res = send(format!("HTTP/1.1 {status} \r\ncontent-length: 0\r\n\r\n")).await;
        assert_eq!(res.map(|_| ()), Err(AttemptOutcome::InvalidResponse), "{status}");
    }
    for status in [200, 299, 308, 499, 599] {
        let res = send(format!("HTTP/1.1 {status} \r\ncontent-length: 0\r\n\r\n")).await;
        assert_eq!(res.map(|r| r.status().as_u16()), Ok(status));
    }
}

fn timeout(value: &'static str) -> Option<Duration> {
    keep_alive_timeout(&HeaderValue::from_static(value))
}

#[test]
fn the_timeout_is_read_among_other_parameters() {
    assert_eq!(timeout("timeout=10"), Some(Duration::from_secs(10)));
    assert_eq!(timeout("max=100, timeout=5"), Some(Duration::from_secs(5)));
}

#[test]
fn values_without_a_timeout_in_whole_seconds_say_nothing() {
    for value in ["", "max=3", "timeout=", "timeout=1.5", "timeout=-1", "10"] {
        assert_eq!(timeout(value), None, "{value:?}");
    }
}

#[test]
fn a_connection_is_closed_before_its_upstream_closes_it() {
    let kept = |seconds| idle_timeout(Duration::from_secs(seconds)).as_secs();
    assert_eq!([kept(0), kept(1), kept(2), kept(10), kept(3_600)], [0, 0, 1, 9, 30]);
}
