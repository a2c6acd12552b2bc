//! Tests of claims against the stand-in platform, over real sockets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::{Claim, Claims, Holder};
use crate::settings;
use crate::standin::platform::Platform;
use crate::store::call::CallError;

async fn start_platform() -> Arc<Platform> {
    Platform::start(SocketAddr::from(([127, 0, 0, 1], 0))).await
}

fn claims_of_host(platform: &Platform, name: &str, claims_per_second: f64) -> Claims {
    let cfg = settings::Platform {
        key_value: vec![platform.address],
        host_list: None,
        prefix: "/cf/".to_owned(),
        calls_per_second: 1.0,
        claims_per_second,
    };
    Claims::connect(&cfg, &name.into(), Box::new(|_| ()))
}

/// Creates a claim on one key for a copy of one request.
fn claim_for_copy(claims: &Claims) -> Claim {
    claims.new_claim("s", b"key/\xff", "request-1")
}

async fn acquire(claims: &Claims, claim: &Claim) -> Result<Holder, CallError> {
    claims.acquire(claim, Instant::now() + Duration::from_secs(20)).await
}

#[tokio::test]
async fn only_one_of_two_hosts_acquires_a_key() {
    let platform = start_platform().await;
    platform.with_faults(|f| f.delay = Duration::from_millis(10));
    let (a, b) = (claims_of_host(&platform, "a", 1e3), claims_of_host(&platform, "b", 1e3));
    let (first, second) = (claim_for_copy(&a), claim_for_copy(&b));
    let (first, second) = tokio::join!(acquire(&a, &first), acquire(&b, &second));
    let mut holders = [first.expect("a response"), second.expect("a response")];
    holders.sort_by_key(|c| *c == Holder::Other);
    assert_eq!(holders, [Holder::This, Holder::Other]);
}

#[tokio::test]
async fn a_claim_whose_response_was_lost_is_recognized() {
    let platform = start_platform().await;
    let (a, b) = (claims_of_host(&platform, "a", 1e3), claims_of_host(&platform, "b", 1e3));
    platform.with_faults(|f| f.lose_responses = 1);
    assert_eq!(acquire(&a, &claim_for_copy(&a)).await, Ok(Holder::This));
    assert_eq!(
        acquire(&a, &claim_for_copy(&a)).await,
        Ok(Holder::Other),
        "a copy at the same host"
    );
    assert_eq!(acquire(&b, &claim_for_copy(&b)).await, Ok(Holder::Other));
}

#[tokio::test]
async fn releasing_a_claim_frees_its_key_and_leaves_the_claims_of_others() {
    let platform = start_platform().await;
    let (a, b) = (claims_of_host(&platform, "a", 1e3), claims_of_host(&platform, "b", 1e3));
    let (first, second) = (claim_for_copy(&a), claim_for_copy(&b));
    assert_eq!(acquire(&a, &first).await, Ok(Holder::This));
    b.release(&second).await;
    assert_eq!(acquire(&b, &second).await, Ok(Holder::Other));
    a.release(&first).await;
    assert_eq!(acquire(&b, &second).await, Ok(Holder::This));
}

#[tokio::test]
async fn claims_share_a_lease_and_an_expired_lease_is_replaced() {
    let platform = start_platform().await;
    let claims = claims_of_host(&platform, "a", 1e3);
    for key in ["k1", "k2"] {
        let claim = claims.new_claim("s", key.as_bytes(), "r");
        assert_eq!(acquire(&claims, &claim).await, Ok(Holder::This));
    }
    assert_eq!(platform.calls().lease, 1);
    platform.with_store(|s| s.expire_leases());
    let claim = claims.new_claim("s", b"k3", "r");
    assert_eq!(acquire(&claims, &claim).await, Ok(Holder::This));
    assert_eq!(platform.calls().lease, 2);
}

#[tokio::test]
async fn claims_above_the_rate_limit_are_refused_without_a_call() {
    let platform = start_platform().await;
    let claims = claims_of_host(&platform, "a", 1e-6);
    let claim = claim_for_copy(&claims);
    assert_eq!(acquire(&claims, &claim).await, Ok(Holder::This));
    let calls = platform.calls();
    assert!(matches!(acquire(&claims, &claim).await, Err(CallError::NotSent(_))));
    assert_eq!(platform.calls(), calls);
}
