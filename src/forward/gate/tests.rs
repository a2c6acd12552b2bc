//! No byte of a request leaves after it was given up, or after its deadline.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::{GatedStream, SendGate};
use crate::time::{Clock, Time};

async fn pair(clock: Clock) -> (GatedStream, TcpStream, Arc<SendGate>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("bind");
    let address = listener.local_addr().expect("bound");
    let (near, far) = tokio::join!(TcpStream::connect(address), listener.accept());
    let gate = Arc::new(SendGate::new(clock));
    (GatedStream::new(near.expect("connect"), gate.clone()), far.expect("accept").0, gate)
}

async fn received(near: GatedStream, mut far: TcpStream) -> String {
    drop(near);
    let mut out = String::new();
    far.read_to_string(&mut out).await.expect("read");
    out
}

#[tokio::test]
async fn a_request_leaves_while_it_is_armed() {
    let clock = Clock::start();
    let (mut near, far, gate) = pair(clock).await;
    near.write_all(b"early").await.expect_err("no request is armed");
    gate.arm(clock.now() + Duration::from_secs(60));
    near.write_all(b"ab").await.expect("in time");
    assert!(gate.may_have_sent() && gate.revoke(), "given up too late");
    near.write_all(b"cd").await.expect("the rest of a request that has left");
    assert_eq!(received(near, far).await, "abcd");
}

#[tokio::test]
async fn nothing_leaves_after_the_request_was_given_up() {
    let clock = Clock::start();
    let (mut near, far, gate) = pair(clock).await;
    gate.arm(clock.now() + Duration::from_secs(60));
    assert!(!gate.revoke());
    near.write_all(b"late").await.expect_err("given up");
    assert!(!gate.may_have_sent() && !gate.revoke());
    assert_eq!(received(near, far).await, "");
}

#[tokio::test]
async fn nothing_leaves_after_the_deadline() {
    let clock = Clock::start();
    let (mut near, far, gate) = pair(clock).await;
    gate.arm(Time::ZERO);
    near.write_all(b"late").await.expect_err("too late");
    assert!(!gate.may_have_sent() && !gate.revoke());
    assert_eq!(received(near, far).await, "");
}
