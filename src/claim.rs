//! Claims on idempotency keys, which ensure that at most one copy of a request is executed.
//!
//! `docs/notes/keyed-copies.md` describes what is guaranteed and what is not.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use parking_lot::Mutex;
use tokio::time::{Instant, timeout_at};

use crate::decide::bucket::TokenBucket;
use crate::error::{Code, Outcome};
use crate::forward::BufferedRequest;
use crate::forward::response::ProxyResponse;
use crate::header;
use crate::node::Node;
use crate::settings;
use crate::store::backoff::Backoff;
use crate::store::call::{Call, CallError, Compare, LeaseId, Op, Txn};
use crate::store::client::Client;
use crate::store::http::CallCounter;
use crate::time::{Clock, Time};

#[cfg(test)]
mod tests;

/// Minimum time for which a claim is kept.
const CLAIM_TTL_MIN: Duration = Duration::from_secs(24 * 3600);
/// Time for which new claims are attached to the same lease.
const LEASE_SHARE_PERIOD: Duration = Duration::from_secs(3600);
/// Time limit for acquiring a claim, within the request's deadline.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for releasing a claim that is not needed.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum length of an idempotency key, in bytes.
const KEY_MAX_BYTES: usize = 255;
/// Calls to the key-value service that one claim may need: the claim itself, reading it back, and
/// releasing it.
const CALLS_PER_CLAIM: f64 = 3.0;
/// Calls per second that are always allowed, so that a low claim rate does not delay a single
/// claim.
const CALLS_PER_SECOND_MIN: f64 = 5.0;

/// The claims of one host, with the means to acquire and release them.
pub(crate) struct Claims {
    client: Client,
    host: Arc<str>,
    clock: Clock,
    rate_limiter: Mutex<TokenBucket>,
    lease: tokio::sync::Mutex<Option<Lease>>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    id: LeaseId,
    granted: Time,
}

/// A claim: its storage key, and a token that is unique to one acceptance of a request.
#[derive(Clone, Debug)]
struct Claim {
    key: String,
    token: Vec<u8>,
}

/// The holder of a key after an attempt to claim it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Holder {
    /// The claim being acquired.
    This,
    /// The claim of another request.
    Other,
}

/// Runs a request under a claim on its idempotency key, if its service is configured to do so.
/// Releases the claim if the request was not executed.
pub(crate) async fn run_claimed(
    node: &Arc<Node>,
    request: &BufferedRequest,
    run: impl Future<Output = ProxyResponse>,
) -> ProxyResponse {
    if !request.service.keyed_claims || request.treatment.idempotent {
        return run.await;
    }
    let key = match idempotency_key(&request.headers) {
        Ok(Some(key)) => key,
        Ok(None) => return run.await,
        Err(code) => return ProxyResponse::local(code),
    };
    let Some(claims) = &node.claims else {
        return ProxyResponse::local(Code::KeyUnclaimed);
    };
    let claim = claims.new_claim(&request.service.name, key, &request.id);
    let now = node.clock.now();
    let time_limit = CLAIM_TIMEOUT.min(now.until(request.deadline));
    match claims.acquire(&claim, Instant::now() + time_limit).await {
        Ok(Holder::This) => {}
        Ok(Holder::Other) => return ProxyResponse::local(Code::DuplicateKey),
        Err(failure) => {
            log::debug!("claim on {} failed: {failure}", claim.key);
            if matches!(failure, CallError::OutcomeUnknown(_)) {
                release(node, claim);
            }
            return ProxyResponse::local(Code::KeyUnclaimed);
        }
    }
    let response = run.await;
    if response.code.outcome() == Outcome::NotRun {
        release(node, claim);
    }
    response
}

fn release(node: &Arc<Node>, claim: Claim) {
    let node = node.clone();
    tokio::spawn(async move {
        if let Some(claims) = &node.claims {
            claims.release(&claim).await;
        }
    });
}

/// Returns the request's idempotency key, if there is one.
///
/// # Errors
///
/// Returns [`Code::BadRequest`] if the key is empty, too long, or given more than once.
fn idempotency_key(headers: &HeaderMap) -> Result<Option<&[u8]>, Code> {
    let mut values = headers.get_all(header::IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let is_valid = !value.is_empty() && value.len() <= KEY_MAX_BYTES && values.next().is_none();
    if is_valid { Ok(Some(value.as_bytes())) } else { Err(Code::BadRequest) }
}

impl Claims {
    /// Creates the claims of a host. Connects to the key-value service on the first claim.
    pub(crate) fn connect(cfg: &settings::Platform, host: &Arc<str>, count: CallCounter) -> Claims {
        let clock = Clock::start();
        let calls_per_second = CALLS_PER_SECOND_MIN.max(cfg.claims_per_second * CALLS_PER_CLAIM);
        let client_cfg = settings::Platform { calls_per_second, ..cfg.clone() };
        Claims {
            client: Client::connect(&client_cfg, count),
            host: host.clone(),
            clock,
            rate_limiter: Mutex::new(TokenBucket::new(cfg.claims_per_second, clock.now())),
            lease: tokio::sync::Mutex::default(),
        }
    }

    /// Creates a claim. Its token is random, since copies of a request may have the same request
    /// id.
    fn new_claim(&self, service: &str, key: &[u8], request_id: &str) -> Claim {
        let token = format!("{}/{request_id}/{:032x}", self.host, rand::random::<u128>());
        Claim { key: self.client.keys.claim(service, key), token: token.into_bytes() }
    }

    /// Stores a claim if the key has none. If the response to the write is lost, reads the key
    /// back.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::OutcomeUnknown`] if the claim may have been stored.
    async fn acquire(&self, claim: &Claim, deadline: Instant) -> Result<Holder, CallError> {
        if !self.rate_limiter.lock().try_take(self.clock.now()) {
            return Err(CallError::NotSent("the claim rate limit is exceeded".to_owned()));
        }
        let mut backoff = Backoff::default();
        let mut unknown_outcome = None;
        loop {
            let failure = match timeout_at(deadline, self.try_acquire(claim)).await {
                Ok(Ok(Some(holder))) => return Ok(holder),
                Ok(Ok(None)) => CallError::OutcomeUnknown("a competing claim ended".to_owned()),
                Ok(Err(failure)) => failure,
                Err(_) => return Err(CallError::OutcomeUnknown("the claim timed out".to_owned())),
            };
            if matches!(failure, CallError::OutcomeUnknown(_)) {
                unknown_outcome = Some(failure.clone());
            }
            let delay = backoff.next_delay(&mut rand::rng());
            if Instant::now() + delay > deadline {
                return Err(unknown_outcome.unwrap_or(failure));
            }
            tokio::time::sleep(delay).await;
        }
    }

    /// Writes the claim, and reads the key only if the write finds it taken. The read tells a claim
    /// stored by an earlier write of this one, whose response was lost, from another request's
    /// claim. Returns `None` if the key no longer had a claim when it was read.
    async fn try_acquire(&self, claim: &Claim) -> Result<Option<Holder>, CallError> {
        let lease = self.current_lease().await?;
        let txn = Txn {
            compare: vec![Compare::Revision(claim.key.clone(), 0)],
            ops: vec![Op::Put(claim.key.clone(), claim.token.clone(), Some(lease))],
        };
        match (self.client.kv.txn)(txn).await {
            Ok(result) if result.succeeded => return Ok(Some(Holder::This)),
            Ok(_) => {}
            Err(failure @ CallError::Refused(_)) => {
                self.discard_lease(lease).await;
                return Err(failure);
            }
            Err(failure) => return Err(failure),
        }
        let entry = self.client.get(claim.key.clone()).await?;
        Ok(entry.map(|e| if e.value == claim.token { Holder::This } else { Holder::Other }))
    }

    /// Deletes the claim if the key still holds this claim's token.
    async fn release(&self, claim: &Claim) {
        let deadline = Instant::now() + RELEASE_TIMEOUT;
        let mut backoff = Backoff::default();
        loop {
            let txn = Txn {
                compare: vec![Compare::Value(claim.key.clone(), claim.token.clone())],
                ops: vec![Op::Delete(claim.key.clone(), None)],
            };
            let Err(failure) = (self.client.kv.txn)(txn).await else { return };
            let delay = backoff.next_delay(&mut rand::rng());
            if Instant::now() + delay > deadline {
                log::warn!("claim on {} could not be released: {failure}", claim.key);
                return;
            }
            tokio::time::sleep(delay).await;
        }
    }

    /// Returns the lease for new claims. Many claims share one lease, which is never renewed.
    async fn current_lease(&self) -> Result<LeaseId, CallError> {
        let now = self.clock.now();
        let mut lease = self.lease.lock().await;
        if let Some(lease) = lease.filter(|l| now.since(l.granted) < LEASE_SHARE_PERIOD) {
            return Ok(lease.id);
        }
        let grant: &Call<Duration, LeaseId> = &self.client.kv.grant;
        let id = grant(CLAIM_TTL_MIN + LEASE_SHARE_PERIOD).await?;
        *lease = Some(Lease { id, granted: now });
        Ok(id)
    }

    /// Discards a lease that the key-value service does not know, so that the next claim requests a
    /// new one.
    async fn discard_lease(&self, id: LeaseId) {
        let mut lease = self.lease.lock().await;
        if lease.is_some_and(|l| l.id == id) {
            *lease = None;
        }
    }
}
