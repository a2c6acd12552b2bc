//! Tests of the send gate: no byte of a request is sent after it was revoked or after its deadline.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::{GatedStream, SendGate};
use crate::time::{Clock, Time};

async fn connect(clock: Clock) -> (GatedStream, TcpStream, Arc<SendGate>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("bind");
    let address = listener.local_addr().expect("bound");
    let (gated, peer) = tokio::join!(TcpStream::connect(address), listener.accept());
    let gate = Arc::new(SendGate::new(clock));
    (GatedStream::new(gated.expect("connect"), gate.clone()), peer.expect("accept").0, gate)
}

async fn received(gated: GatedStream, mut peer: TcpStream) -> String {
    drop(gated);
    let mut out = String::new();
    peer.read_to_string(&mut out).await.expect("read");
    out
}

#[tokio::test]
async fn requests_are_written_while_armed() {
    let clock = Clock::start();
    let (mut gated, peer, gate) = connect(clock).await;
    gated.write_all(b"early").await.expect_err("no request is armed");
    gate.arm(clock.now() + Duration::from_secs(60));
    gated.write_all(b"ab").await.expect("written before the deadline");
    assert!(gate.may_have_sent() && gate.revoke(), "the request was already sent");
    gated.write_all(b"cd").await.expect("the rest of a sent request");
    assert_eq!(received(gated, peer).await, "abcd");
}

#[tokio::test]
async fn nothing_is_written_after_the_request_was_revoked() {
    let clock = Clock::start();
    let (mut gated, peer, gate) = connect(clock).await;
    gate.arm(clock.now() + Duration::from_secs(60));
    assert!(!gate.revoke());
    gated.write_all(b"late").await.expect_err("the request was revoked");
    assert!(!gate.may_have_sent() && !gate.revoke());
    assert_eq!(received(gated, peer).await, "");
}

#[tokio::test]
async fn nothing_is_written_after_the_deadline() {
    let clock = Clock::start();
    let (mut gated, peer, gate) = connect(clock).await;
    gate.arm(Time::ZERO);
    gated.write_all(b"late").await.expect_err("the deadline has passed");
    assert!(!gate.may_have_sent() && !gate.revoke());
    assert_eq!(received(gated, peer).await, "");
}
