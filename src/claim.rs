//! Claims on idempotency keys, so that of the copies of a request one runs at most.
//!
//! `docs/notes/keyed-copies.md` says what this promises and what it does not.

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

/// Time for which a claim lasts at least.
const CLAIM_LASTS: Duration = Duration::from_secs(24 * 3600);
/// Time for which one lease takes new claims.
const LEASE_TAKES: Duration = Duration::from_secs(3600);
/// Time allowed for a claim, within the request's deadline.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a claim that was not needed is tried to be released.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes that a key may have.
const KEY_MAX_BYTES: usize = 255;
/// Calls that one claim may take: the claim, its read-back, and its release.
const CALLS_PER_CLAIM: f64 = 3.0;
/// Calls a second that claims may take however few there are, so that one is not slowed down.
const CALLS_MIN: f64 = 5.0;

/// The claims of one host.
pub(crate) struct Claims {
    client: Client,
    host: Arc<str>,
    clock: Clock,
    bucket: Mutex<TokenBucket>,
    lease: tokio::sync::Mutex<Option<Lease>>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    id: LeaseId,
    granted: Time,
}

/// A claim that may be held: the key, and a token that no other acceptance has.
#[derive(Clone, Debug)]
struct Claim {
    key: String,
    token: Vec<u8>,
}

/// What became of an attempt to claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Claimed {
    Ours,
    Theirs,
}

/// Runs a request under a claim on its idempotency key if its service asks for that, and releases
/// the claim if the request was not run.
pub(crate) async fn guard(
    node: &Arc<Node>,
    job: &BufferedRequest,
    run: impl Future<Output = ProxyResponse>,
) -> ProxyResponse {
    if !job.service.keyed_claims || job.treatment.idempotent {
        return run.await;
    }
    let key = match key(&job.headers) {
        Ok(Some(key)) => key,
        Ok(None) => return run.await,
        Err(code) => return ProxyResponse::local(code),
    };
    let Some(claims) = &node.claims else {
        return ProxyResponse::local(Code::KeyUnclaimed);
    };
    let claim = claims.claim(&job.service.name, key, &job.id);
    let now = node.clock.now();
    let patience = CLAIM_TIMEOUT.min(now.until(job.deadline));
    match claims.acquire(&claim, Instant::now() + patience).await {
        Ok(Claimed::Ours) => {}
        Ok(Claimed::Theirs) => return ProxyResponse::local(Code::DuplicateKey),
        Err(failure) => {
            log::debug!("claim on {}: {failure}", claim.key);
            if matches!(failure, CallError::OutcomeUnknown(_)) {
                release(node, claim);
            }
            return ProxyResponse::local(Code::KeyUnclaimed);
        }
    }
    let answer = run.await;
    if answer.code.outcome() == Outcome::NotRun {
        release(node, claim);
    }
    answer
}

fn release(node: &Arc<Node>, claim: Claim) {
    let node = node.clone();
    tokio::spawn(async move {
        if let Some(claims) = &node.claims {
            claims.release(&claim).await;
        }
    });
}

/// Returns the request's key.
fn key(headers: &HeaderMap) -> Result<Option<&[u8]>, Code> {
    let mut values = headers.get_all(header::IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let sound = !value.is_empty() && value.len() <= KEY_MAX_BYTES && values.next().is_none();
    if sound { Ok(Some(value.as_bytes())) } else { Err(Code::BadRequest) }
}

impl Claims {
    /// Makes the claims of a host. No connection is opened until the first one.
    pub(crate) fn connect(cfg: &settings::Platform, host: &Arc<str>, count: CallCounter) -> Claims {
        let clock = Clock::start();
        let calls_per_second = CALLS_MIN.max(cfg.claims_per_second * CALLS_PER_CLAIM);
        let cfg_of_claims = settings::Platform { calls_per_second, ..cfg.clone() };
        Claims {
            client: Client::connect(&cfg_of_claims, count),
            host: host.clone(),
            clock,
            bucket: Mutex::new(TokenBucket::new(cfg.claims_per_second, clock.now())),
            lease: tokio::sync::Mutex::default(),
        }
    }

    /// Makes a claim. The token is random, since copies may carry one request id.
    fn claim(&self, service: &str, key: &[u8], request: &str) -> Claim {
        let token = format!("{}/{request}/{:032x}", self.host, rand::random::<u128>());
        Claim { key: self.client.keys.claim(service, key), token: token.into_bytes() }
    }

    /// Stores a claim if the key has none. A lost answer is read back.
    ///
    /// # Errors
    ///
    /// [`CallError::OutcomeUnknown`] if the claim may have been stored.
    async fn acquire(&self, claim: &Claim, until: Instant) -> Result<Claimed, CallError> {
        if !self.bucket.lock().take(self.clock.now()) {
            return Err(CallError::NotSent("claims are over their rate".to_owned()));
        }
        let mut backoff = Backoff::default();
        let mut lost = None;
        loop {
            let failure = match timeout_at(until, self.try_acquire(claim)).await {
                Ok(Ok(Some(claimed))) => return Ok(claimed),
                Ok(Ok(None)) => {
                    CallError::OutcomeUnknown("another's claim was released".to_owned())
                }
                Ok(Err(failure)) => failure,
                Err(_) => return Err(CallError::OutcomeUnknown("no answer in time".to_owned())),
            };
            if matches!(failure, CallError::OutcomeUnknown(_)) {
                lost = Some(failure.clone());
            }
            let pause = backoff.next_delay(&mut rand::rng());
            if Instant::now() + pause > until {
                return Err(lost.unwrap_or(failure));
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Reads first who holds the key only where the write says that somebody does; the read tells
    /// an earlier write of this claim, whose answer was lost, from another's.
    async fn try_acquire(&self, claim: &Claim) -> Result<Option<Claimed>, CallError> {
        let lease = self.lease().await?;
        let txn = Txn {
            compare: vec![Compare::Revision(claim.key.clone(), 0)],
            ops: vec![Op::Put(claim.key.clone(), claim.token.clone(), Some(lease))],
        };
        match (self.client.kv.txn)(txn).await {
            Ok(done) if done.succeeded => return Ok(Some(Claimed::Ours)),
            Ok(_) => {}
            Err(failure @ CallError::Refused(_)) => {
                self.forget(lease).await;
                return Err(failure);
            }
            Err(failure) => return Err(failure),
        }
        let held = self.client.get(claim.key.clone()).await?;
        Ok(held.map(|e| if e.value == claim.token { Claimed::Ours } else { Claimed::Theirs }))
    }

    /// Deletes a claim if it is this one.
    async fn release(&self, claim: &Claim) {
        let until = Instant::now() + RELEASE_TIMEOUT;
        let mut backoff = Backoff::default();
        loop {
            let txn = Txn {
                compare: vec![Compare::Value(claim.key.clone(), claim.token.clone())],
                ops: vec![Op::Delete(claim.key.clone(), None)],
            };
            let Err(failure) = (self.client.kv.txn)(txn).await else { return };
            let pause = backoff.next_delay(&mut rand::rng());
            if Instant::now() + pause > until {
                log::warn!("claim on {} is not released: {failure}", claim.key);
                return;
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Returns the lease of new claims. Many claims share one, which is never renewed.
    async fn lease(&self) -> Result<LeaseId, CallError> {
        let now = self.clock.now();
        let mut lease = self.lease.lock().await;
        if let Some(lease) = lease.filter(|l| now.since(l.granted) < LEASE_TAKES) {
            return Ok(lease.id);
        }
        let grant: &Call<Duration, LeaseId> = &self.client.kv.grant;
        let id = grant(CLAIM_LASTS + LEASE_TAKES).await?;
        *lease = Some(Lease { id, granted: now });
        Ok(id)
    }

    /// Forgets a lease that the service doesn't know, so that the next claim gets another.
    async fn forget(&self, id: LeaseId) {
        let mut lease = self.lease.lock().await;
        if lease.is_some_and(|l| l.id == id) {
            *lease = None;
        }
    }
}
