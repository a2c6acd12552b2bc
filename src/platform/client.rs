//! Client of the registry, the deployment platform's store.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, StatusCode};
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, de};
use serde_json::{Value, json};

use crate::decide::registered::Revision;
use crate::store::backoff::AdaptiveTimeout;
use crate::store::call::{CallError, CallKind, LeaseId};
use crate::store::http::{CallCounter, HttpClient, Request};

/// Initial response timeout, which [`AdaptiveTimeout`] raises while the registry is slow. The
/// registry responds within milliseconds, and takes some 60 times as long when it is slow.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// The header field with the registry's era, which rises by one each time the registry returns from
/// a copy that lacks its newest changes. Revisions may then be given out again.
const ERA: HeaderName = HeaderName::from_static("store-era");

/// A callback that is given the era that a response states. Returns the era to take it for, or
/// `None` if a newer one is known.
pub(crate) type EraObserver = Box<dyn Fn(Option<u32>) -> Option<u32> + Send + Sync>;

/// A callback that returns the time that a response may take beyond its usual timeout, as this process
/// is late to read it.
pub(crate) type ResponseDelay = Box<dyn Fn() -> Duration + Send + Sync>;

/// A callback that is given the size of each response body, in bytes.
pub(crate) type SizeObserver = Box<dyn Fn(usize) + Send + Sync>;

/// What a client tells its owner and asks it.
pub(crate) struct ClientHooks {
    pub(crate) observe_era: EraObserver,
    pub(crate) response_delay: ResponseDelay,
    pub(crate) observe_size: SizeObserver,
}

#[cfg(test)]
impl ClientHooks {
    /// Returns hooks that take each response for one of the era that it states, and do nothing else.
    pub(crate) fn none() -> ClientHooks {
        ClientHooks {
            observe_era: Box::new(|era| Some(era.unwrap_or(0))),
            response_delay: Box::new(|| Duration::ZERO),
            observe_size: Box::new(|_| ()),
        }
    }
}

/// A client of the registry.
pub(crate) struct Client {
    http: HttpClient,
    timeout: Mutex<AdaptiveTimeout>,
    hooks: ClientHooks,
}

/// Whether a read may return what was true some seconds ago, which costs a tenth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Consistency {
    Linearizable,
    Stale,
}

/// A stored or removed key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Change {
    pub(crate) key: String,
    /// The value; `None` if the key was removed.
    pub(crate) value: Option<Vec<u8>>,
    /// The lease with whose expiry the key is removed.
    pub(crate) lease: Option<LeaseId>,
    /// The registry's revision of the change.
    pub(crate) revision: Revision,
}

/// The keys under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Items {
    /// The keys and their values, sorted by key.
    pub(crate) items: Vec<Change>,
    /// The registry's revision before the items were read.
    pub(crate) revision: Revision,
}

/// The changes under a prefix since a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WatchResponse {
    /// The changes, in order of revision, and the revision up to which they are complete.
    Changes(Vec<Change>, Revision),
    /// The registry has discarded that part of its history; everything has to be read again.
    Compacted,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RangeResponse {
    items: Vec<Item>,
    has_more: bool,
    current_rev: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct EventsResponse {
    events: Vec<Item>,
    current_rev: u64,
}

/// A key with its value, or, in a watch, a key that was removed.
#[derive(Deserialize)]
struct Item {
    key: String,
    #[serde(default, deserialize_with = "base64")]
    value: Vec<u8>,
    #[serde(default)]
    deleted: bool,
    /// The id of the lease; 0 for none.
    #[serde(default)]
    lease: u64,
    #[serde(default)]
    revision: u64,
}

impl Item {
    /// Converts an item that was read in an era.
    fn into_change(self, era: u32) -> Change {
        Change {
            key: self.key,
            value: (!self.deleted).then_some(self.value),
            lease: (self.lease > 0).then_some(LeaseId(self.lease)),
            revision: Revision { era, number: self.revision },
        }
    }
}

#[derive(Deserialize)]
struct LeaseResponse {
    lease: u64,
}

impl Client {
    /// Creates a client. No connection is opened until the first call.
    pub(crate) fn connect(
        address: SocketAddr,
        calls_per_second: f64,
        counter: CallCounter,
        hooks: ClientHooks,
    ) -> Client {
        let http = HttpClient::new(vec![address], calls_per_second, counter);
        let timeout = Mutex::new(AdaptiveTimeout::new(RESPONSE_TIMEOUT));
        Client { http, timeout, hooks }
    }

    /// Lists the keys under a prefix, page by page. A key that changes meanwhile may be read as it
    /// was before or after the change; [`Client::changes`] after the returned revision reports it.
    ///
    /// # Errors
    ///
    /// Returns the [`CallError`] of the first page that can't be read, or an error if the registry's
    /// era changes between two pages.
    pub(crate) async fn list(
        &self,
        prefix: &str,
        consistency: Consistency,
    ) -> Result<Items, CallError> {
        let mut out = Items::default();
        loop {
            let after = out.items.last().map_or("", |item| item.key.as_str());
            let mut query = vec![("pathPrefix", prefix)];
            if !after.is_empty() {
                query.push(("after", after));
            }
            if consistency == Consistency::Stale {
                query.push(("serializable", "1"));
            }
            let path = "/api/kv-range";
            let res = self.read(CallKind::Range, path, &query).await?;
            let era = res.era;
            let page: RangeResponse = parse(path, &res)?;
            if out.items.is_empty() {
                out.revision = Revision { era, number: page.current_rev };
            } else if out.revision.era != era {
                return Err(CallError::OutcomeUnknown(format!("{path}: the era has changed")));
            }
            let is_last = !page.has_more || page.items.is_empty();
            out.items.extend(page.items.into_iter().map(|item| item.into_change(era)));
            if is_last {
                return Ok(out);
            }
        }
    }

    /// Reads the changes under a prefix after a revision, without waiting for new ones.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if the call fails.
    pub(crate) async fn changes(
        &self,
        prefix: &str,
        after: Revision,
    ) -> Result<WatchResponse, CallError> {
        let number = after.number.to_string();
        let query = [("pathPrefix", prefix), ("after", &number), ("waitMs", "0")];
        let path = "/api/kv-watch";
        let res = self.read(CallKind::Watch, path, &query).await?;
        // Revisions of an earlier era mean nothing in this one, even if it has reached them.
        if res.status == StatusCode::GONE || res.era != after.era {
            return Ok(WatchResponse::Compacted);
        }
        let EventsResponse { events, current_rev } = parse(path, &res)?;
        let changes = events.into_iter().map(|item| item.into_change(after.era)).collect();
        Ok(WatchResponse::Changes(changes, Revision { number: current_rev, ..after }))
    }

    /// Grants a lease with a time to live.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if the call fails.
    pub(crate) async fn grant(&self, ttl: Duration) -> Result<LeaseId, CallError> {
        let body = json!({ "ttlS_time": ttl.as_secs_f64() });
        let path = "/api/kv-lease";
        let res = self.call(CallKind::Lease, Method::POST, path, Some(&body)).await?;
        let lease: LeaseResponse = parse(path, &res)?;
        Ok(LeaseId(lease.lease))
    }

    /// Renews a lease. Returns false if it has expired.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if the call fails.
    pub(crate) async fn renew(&self, lease: LeaseId) -> Result<bool, CallError> {
        let path = format!("/api/kv-keep/{}", lease.0);
        let res = self.call(CallKind::Lease, Method::POST, &path, None).await?;
        has_lease(&path, &res)
    }

    /// Ends a lease, with which its keys are removed. One that has expired counts as ended.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if the call fails.
    pub(crate) async fn revoke(&self, lease: LeaseId) -> Result<(), CallError> {
        let path = format!("/api/kv-lease-end/{}", lease.0);
        let res = self.call(CallKind::Lease, Method::DELETE, &path, None).await?;
        has_lease(&path, &res).map(drop)
    }

    /// Stores a value under a lease. Returns false if the lease has expired.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if the call fails; after [`CallError::OutcomeUnknown`] the value may
    /// have been stored.
    pub(crate) async fn put(
        &self,
        key: &str,
        value: &[u8],
        lease: LeaseId,
    ) -> Result<bool, CallError> {
        let put = json!({ "key": key, "value": STANDARD.encode(value), "lease": lease.0 });
        let body = json!({ "expected": [], "puts": [put], "remove": [] });
        let path = "/api/kv-txn";
        let res = self.call(CallKind::Txn, Method::POST, path, Some(&body)).await?;
        has_lease(path, &res)
    }

    async fn read(
        &self,
        kind: CallKind,
        path: &str,
        query: &[(&str, &str)],
    ) -> Result<RegistryResponse, CallError> {
        let query = serde_urlencoded::to_string(query)
            .map_err(|e| CallError::NotSent(format!("{path}: {e}")))?;
        self.call(kind, Method::GET, &format!("{path}?{query}"), None).await
    }

    /// Makes a call and adapts the timeout to how long the response took. A response from an earlier
    /// era than the newest one known is discarded.
    async fn call(
        &self,
        kind: CallKind,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<RegistryResponse, CallError> {
        let request = Request { method, path, body };
        let timeout = self.timeout.lock().current() + (self.hooks.response_delay)();
        let start = Instant::now();
        let response = self.http.call(kind, &request, timeout).await;
        let took = start.elapsed();
        match &response {
            Ok(_) => self.timeout.lock().record_response(took),
            Err(_) if took >= timeout => self.timeout.lock().record_timeout(),
            Err(_) => {}
        }
        let (head, body) = response?.into_parts();
        (self.hooks.observe_size)(body.len());
        let stated = era(&head.headers);
        let Some(era) = (self.hooks.observe_era)(stated) else {
            return Err(CallError::OutcomeUnknown(format!("{path}: response of era {stated:?}")));
        };
        Ok(RegistryResponse { status: head.status, era, body })
    }
}

/// A response of the registry.
struct RegistryResponse {
    status: StatusCode,
    era: u32,
    body: Bytes,
}

/// Returns the era that a response states, if it states one.
fn era(headers: &HeaderMap) -> Option<u32> {
    let value = headers.get(ERA)?;
    let era = value.to_str().ok().and_then(|v| v.trim().parse().ok());
    if era.is_none() {
        log::warn!("registry: unreadable {ERA} {value:?}");
    }
    era
}

/// Parses the body of a successful response.
fn parse<T: DeserializeOwned>(path: &str, res: &RegistryResponse) -> Result<T, CallError> {
    if !res.status.is_success() {
        return Err(refusal(path, res));
    }
    serde_json::from_slice(&res.body).map_err(|e| CallError::OutcomeUnknown(format!("{path}: {e}")))
}

/// Returns whether the lease that a call names exists, by the status of the response.
fn has_lease(path: &str, res: &RegistryResponse) -> Result<bool, CallError> {
    match res.status {
        StatusCode::NOT_FOUND => Ok(false),
        s if s.is_success() => Ok(true),
        _ => Err(refusal(path, res)),
    }
}

/// Returns the error of a response with an unexpected status.
fn refusal(path: &str, res: &RegistryResponse) -> CallError {
    let text = String::from_utf8_lossy(&res.body);
    CallError::Refused(format!("{path}: status {}: {}", res.status, text.trim()))
}

/// Deserializes bytes encoded in base64.
fn base64<'de, D: Deserializer<'de>>(de: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(de)?;
    STANDARD.decode(text).map_err(de::Error::custom)
}
