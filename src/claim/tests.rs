//! Tests of claims against the stand-in platform, over real sockets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::{Claim, Claimed, Claims};
use crate::settings;
use crate::standin::platform::Platform;
use crate::store::call::CallError;

async fn start() -> Arc<Platform> {
    Platform::start(SocketAddr::from(([127, 0, 0, 1], 0))).await
}

fn host(platform: &Platform, name: &str, claims_per_second: f64) -> Claims {
    let cfg = settings::Platform {
        key_value: vec![platform.address],
        host_list: None,
        prefix: "/cf/".to_owned(),
        calls_per_second: 1.0,
        claims_per_second,
    };
    Claims::connect(&cfg, &name.into(), Box::new(|_| ()))
}

/// Makes a claim on one key by a copy of one request.
fn copy(claims: &Claims) -> Claim {
    claims.claim("s", b"key/\xff", "request-1")
}

async fn acquire(claims: &Claims, claim: &Claim) -> Result<Claimed, CallError> {
    claims.acquire(claim, Instant::now() + Duration::from_secs(20)).await
}

#[tokio::test]
async fn of_copies_at_two_hosts_one_gets_the_key() {
    let platform = start().await;
    platform.with_faults(|f| f.delay = Duration::from_millis(10));
    let (a, b) = (host(&platform, "a", 1e3), host(&platform, "b", 1e3));
    let (first, second) = (copy(&a), copy(&b));
    let (first, second) = tokio::join!(acquire(&a, &first), acquire(&b, &second));
    let mut both = [first.expect("answered"), second.expect("answered")];
    both.sort_by_key(|c| *c == Claimed::Theirs);
    assert_eq!(both, [Claimed::Ours, Claimed::Theirs]);
}

#[tokio::test]
async fn a_claim_whose_answer_was_lost_is_known_for_its_own() {
    let platform = start().await;
    let (a, b) = (host(&platform, "a", 1e3), host(&platform, "b", 1e3));
    platform.with_faults(|f| f.lose_responses = 1);
    assert_eq!(acquire(&a, &copy(&a)).await, Ok(Claimed::Ours));
    assert_eq!(acquire(&a, &copy(&a)).await, Ok(Claimed::Theirs), "a copy at the same host");
    assert_eq!(acquire(&b, &copy(&b)).await, Ok(Claimed::Theirs));
}

#[tokio::test]
async fn a_release_frees_the_key_and_never_takes_it_from_another() {
    let platform = start().await;
    let (a, b) = (host(&platform, "a", 1e3), host(&platform, "b", 1e3));
    let (first, second) = (copy(&a), copy(&b));
    assert_eq!(acquire(&a, &first).await, Ok(Claimed::Ours));
    b.release(&second).await;
    assert_eq!(acquire(&b, &second).await, Ok(Claimed::Theirs));
    a.release(&first).await;
    assert_eq!(acquire(&b, &second).await, Ok(Claimed::Ours));
}

#[tokio::test]
async fn many_claims_share_a_lease_and_a_lost_lease_is_replaced() {
    let platform = start().await;
    let claims = host(&platform, "a", 1e3);
    for key in ["k1", "k2"] {
        let claim = claims.claim("s", key.as_bytes(), "r");
        assert_eq!(acquire(&claims, &claim).await, Ok(Claimed::Ours));
    }
    assert_eq!(platform.calls().lease, 1);
    platform.with_store(|s| s.expire_leases());
    let claim = claims.claim("s", b"k3", "r");
    assert_eq!(acquire(&claims, &claim).await, Ok(Claimed::Ours));
    assert_eq!(platform.calls().lease, 2);
}

#[tokio::test]
async fn claims_over_the_rate_are_refused_without_a_call() {
    let platform = start().await;
    let claims = host(&platform, "a", 1e-6);
    let claim = copy(&claims);
    assert_eq!(acquire(&claims, &claim).await, Ok(Claimed::Ours));
    let calls = platform.calls();
    assert!(matches!(acquire(&claims, &claim).await, Err(CallError::NotSent(_))));
    assert_eq!(platform.calls(), calls);
}
