//! A stand-in for the registry, the deployment platform's store: keys with revisions over HTTP and
//! JSON.

use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::net::TcpListener;

/// A running stand-in for the registry.
#[derive(Debug)]
pub struct Registry {
    /// The address that it listens on.
    pub address: SocketAddr,
    state: Mutex<State>,
}

/// The keys, the faults and the counters.
#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes in order: the key, the revision, and the value or `None` for a removal.
    history: Vec<(String, u64, Option<Vec<u8>>)>,
    /// The revision up to which the history was discarded.
    discarded_up_to: u64,
    /// Whether calls are refused.
    refusing: bool,
    /// The number of reads and watches that were answered.
    reads: u64,
    /// The number of calls that were refused.
    refused: u64,
    /// The number of leases granted, which is also the id of the newest one.
    granted: u64,
    /// The leases that have not ended.
    leases: BTreeSet<u64>,
    /// The number of lease renewals.
    renewed: u64,
    /// The time by which each response is delayed.
    delay: Duration,
    /// The number of times that the registry has returned from a copy.
    era: u32,
    copy: Copy,
    /// Whether reads that may be old return the copy taken last.
    serves_copy: bool,
}

/// A copy of the registry.
#[derive(Clone, Debug, Default)]
struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
    granted: u64,
    leases: BTreeSet<u64>,
}

/// The value of a key.
#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    /// The revision of the newest change.
    revision: u64,
    /// The id of the lease that the key is attached to; 0 for none. Leases don't expire here.
    lease: u64,
}

impl Registry {
    /// Starts a stand-in without any keys on the current runtime.
    ///
    /// # Panics
    ///
    /// Panics if the address can't be bound.
    pub async fn start(address: SocketAddr) -> Arc<Registry> {
        let listener = TcpListener::bind(address).await.expect("bind");
        let address = listener.local_addr().expect("bound");
        let registry = Arc::new(Registry { address, state: Mutex::default() });
        let shared = registry.clone();
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let registry = shared.clone();
                let service = service_fn(move |req| serve_with_era(registry.clone(), req));
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        registry
    }

    /// Stores a value without a lease.
    pub fn put(&self, key: &str, value: &str) {
        self.state.lock().change(key, Some(value.as_bytes().to_vec()), 0);
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.state.lock().change(key, None, 0);
    }

    /// Discards the history, so that watches from an older revision get status 410.
    pub fn discard_history(&self) {
        let mut state = self.state.lock();
        state.discarded_up_to = state.revision;
        state.history.clear();
    }

    /// Takes a copy, to which [`Registry::rewind`] returns.
    pub fn take_copy(&self) {
        let mut state = self.state.lock();
        state.copy = Copy {
            revision: state.revision,
            items: state.items.clone(),
            granted: state.granted,
            leases: state.leases.clone(),
        };
    }

    /// Returns to the copy taken last: what was written since is gone, leases too, and its
    /// revisions and the ids of its leases are given out again in a new era.
    pub fn rewind(&self) {
        let mut state = self.state.lock();
        let Copy { revision, items, granted, leases } = state.copy.clone();
        state.history.retain(|(_, r, _)| *r <= revision);
        (state.revision, state.items) = (revision, items);
        (state.granted, state.leases) = (granted, leases);
        state.era += 1;
    }

    /// Sets whether reads that may be seconds old return the copy taken last.
    pub fn serve_copy(&self, serves_copy: bool) {
        self.state.lock().serves_copy = serves_copy;
    }

    /// Sets whether all calls are refused with status 503.
    pub fn set_refusing(&self, refusing: bool) {
        self.state.lock().refusing = refusing;
    }

    /// Grants a lease, as to another host.
    pub fn grant(&self) -> u64 {
        let mut state = self.state.lock();
        state.granted += 1;
        let lease = state.granted;
        state.leases.insert(lease);
        lease
    }

    /// Stores a value under a lease.
    pub fn put_leased(&self, key: &str, value: &str, lease: u64) {
        self.state.lock().change(key, Some(value.as_bytes().to_vec()), lease);
    }

    /// Ends a lease, with which its keys are removed.
    pub fn end_lease(&self, lease: u64) {
        self.state.lock().end_lease(lease);
    }

    /// Returns the keys that begin with `prefix` and are attached to a lease.
    pub fn leased_keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock();
        let leased = state.items.iter().filter(|(k, item)| k.starts_with(prefix) && item.lease > 0);
        leased.map(|(key, _)| key.clone()).collect()
    }

    /// Returns the keys that begin with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock();
        state.items.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    /// Sets the time by which each response is delayed.
    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().delay = delay;
    }

    /// Returns the number of calls that were refused.
    pub fn refused(&self) -> u64 {
        self.state.lock().refused
    }

    /// Returns the number of leases that were granted.
    pub fn leases_granted(&self) -> u64 {
        self.state.lock().granted
    }

    /// Returns the number of lease renewals.
    pub fn leases_renewed(&self) -> u64 {
        self.state.lock().renewed
    }

    /// Returns the number of reads and watches that were answered.
    pub fn reads(&self) -> u64 {
        self.state.lock().reads
    }
}

impl State {
    /// Stores a value or, without one, removes the key.
    fn change(&mut self, key: &str, value: Option<Vec<u8>>, lease: u64) {
        self.revision += 1;
        match &value {
            Some(value) => {
                let item = Item { value: value.clone(), revision: self.revision, lease };
                self.items.insert(key.to_owned(), item);
            }
            None => {
                self.items.remove(key);
            }
        }
        self.history.push((key.to_owned(), self.revision, value));
    }

    /// Removes the keys that are attached to a lease.
    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let attached = self.items.iter().filter(|(_, item)| item.lease == lease && lease > 0);
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.change(key, None, 0));
    }

    /// Returns the keys that begin with `prefix` and come after `after`.
    fn range(&self, prefix: &str, after: &str, may_be_old: bool) -> Value {
        let matches = |k: &&String| k.starts_with(prefix) && k.as_str() > after;
        let (revision, items) = match may_be_old && self.serves_copy {
            true => (self.copy.revision, &self.copy.items),
            false => (self.revision, &self.items),
        };
        let items = items.iter().filter(|(k, _)| matches(k));
        let item = |(key, item): (&String, &Item)| {
            let value = STANDARD.encode(&item.value);
            json!({"key": key, "value": value, "revision": item.revision, "lease": item.lease})
        };
        let items: Vec<Value> = items.map(item).collect();
        json!({"items": items, "hasMore": false, "currentRev": revision})
    }

    /// Returns the changes that follow revision `after`, or `None` if they were discarded. Returns
    /// immediately even if there are none.
    fn watch(&self, prefix: &str, after: u64) -> Option<Value> {
        if after < self.discarded_up_to || after > self.revision {
            return None;
        }
        let newer = self.history.iter().filter(|(k, r, _)| *r > after && k.starts_with(prefix));
        let event = |(k, r, v): &(String, u64, Option<Vec<u8>>)| match v {
            Some(v) => json!({"key": k, "value": STANDARD.encode(v), "revision": r}),
            None => json!({"key": k, "revision": r, "deleted": true}),
        };
        let events: Vec<Value> = newer.map(event).collect();
        Some(json!({"events": events, "currentRev": self.revision}))
    }
}

/// Executes a call and returns its response.
async fn serve(
    registry: Arc<Registry>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (parts, body) = req.into_parts();
    let body = body.collect().await.map(|b| b.to_bytes()).unwrap_or_default();
    let query = parts.uri.query().unwrap_or_default();
    let query: Vec<(String, String)> = serde_urlencoded::from_str(query).unwrap_or_default();
    let param = |name: &str| {
        let found = query.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, value)| value.as_str())
    };
    let delay = registry.state.lock().delay;
    tokio::time::sleep(delay).await;
    let mut state = registry.state.lock();
    if state.refusing {
        state.refused += 1;
        return Ok(response(StatusCode::SERVICE_UNAVAILABLE, &json!({})));
    }
    let path = parts.uri.path();
    Ok(match (&parts.method, path) {
        (&Method::GET, "/api/kv-range") => {
            state.reads += 1;
            let may_be_old = param("serializable") == "1";
            response(StatusCode::OK, &state.range(param("pathPrefix"), param("after"), may_be_old))
        }
        (&Method::GET, "/api/kv-watch") => {
            state.reads += 1;
            match state.watch(param("pathPrefix"), param("after").parse().unwrap_or(0)) {
                Some(events) => response(StatusCode::OK, &events),
                None => response(StatusCode::GONE, &json!({})),
            }
        }
        (&Method::POST, "/api/kv-lease") => {
            state.granted += 1;
            let lease = state.granted;
            state.leases.insert(lease);
            response(StatusCode::OK, &json!({"lease": lease, "ttlS_time": 30}))
        }
        (&Method::POST, "/api/kv-txn") => {
            let txn: Value = serde_json::from_slice(&body).unwrap_or_default();
            let puts: Vec<&Value> = txn["puts"].as_array().into_iter().flatten().collect();
            let lease_of = |put: &Value| put["lease"].as_u64().unwrap_or(0);
            let has_lease =
                |put: &&Value| lease_of(put) == 0 || state.leases.contains(&lease_of(put));
            if !puts.iter().all(has_lease) {
                return Ok(response(StatusCode::NOT_FOUND, &json!({})));
            }
            for put in puts {
                let value = STANDARD.decode(put["value"].as_str().unwrap_or_default());
                let key = put["key"].as_str().unwrap_or_default();
                state.change(key, value.ok(), lease_of(put));
            }
            response(StatusCode::OK, &json!({"revision": state.revision}))
        }
        (&Method::DELETE, _) if path.starts_with("/api/kv-lease-end/") => {
            let lease = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
            state.end_lease(lease);
            response(StatusCode::OK, &json!({}))
        }
        (&Method::POST, _) if path.starts_with("/api/kv-keep/") => {
            let lease = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
            if !state.leases.contains(&lease) {
                return Ok(response(StatusCode::NOT_FOUND, &json!({})));
            }
            state.renewed += 1;
            response(StatusCode::OK, &json!({"ttlS_time": 30}))
        }
        _ => response(StatusCode::BAD_REQUEST, &json!({})),
    })
}

fn response(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(Bytes::from(body.to_string())));
    *res.status_mut() = status;
    res
}

/// Executes a call and returns its response with the era.
async fn serve_with_era(
    registry: Arc<Registry>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut res = serve(registry.clone(), req).await?;
    let era = registry.state.lock().era;
    res.headers_mut().insert("store-era", era.into());
    Ok(res)
}
