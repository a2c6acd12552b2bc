//! A stand-in for the deployment platform's store: keys with revisions over HTTP and JSON.

use std::collections::BTreeMap;
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

/// A running stand-in.
#[derive(Debug)]
pub struct Registry {
    /// Where it serves.
    pub address: SocketAddr,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Every change, in order: the key, the revision, and the value or nothing if it was removed.
    history: Vec<(String, u64, Option<Vec<u8>>)>,
    /// The revision up to which the history was discarded.
    forgotten: u64,
    refuses: bool,
    reads: u64,
    refused: u64,
    granted: u64,
    renewed: u64,
    slow: Duration,
}

#[derive(Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    /// The lease with which it ends, 0 for none. No lease ends by itself here.
    lease: u64,
}

impl Registry {
    /// Starts a stand-in without any key.
    pub async fn start(address: SocketAddr) -> Arc<Registry> {
        let listener = TcpListener::bind(address).await.expect("bind");
        let address = listener.local_addr().expect("bound");
        let registry = Arc::new(Registry { address, state: Mutex::default() });
        let served = registry.clone();
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let registry = served.clone();
                let service = service_fn(move |req| answer(registry.clone(), req));
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        registry
    }

    /// Stores a value.
    pub fn put(&self, key: &str, value: &str) {
        self.state.lock().change(key, Some(value.as_bytes().to_vec()), 0);
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.state.lock().change(key, None, 0);
    }

    /// Discards the history.
    pub fn discard_history(&self) {
        let mut state = self.state.lock();
        state.forgotten = state.revision;
        state.history.clear();
    }

    /// Has every call refused, or none.
    pub fn set_refusing(&self, refuses: bool) {
        self.state.lock().refuses = refuses;
    }

    /// Returns the keys under a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock();
        state.items.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    /// Adds a time to every answer.
    pub fn set_delay(&self, by: Duration) {
        self.state.lock().slow = by;
    }

    /// Returns the calls that were refused.
    pub fn refused(&self) -> u64 {
        self.state.lock().refused
    }

    /// Returns the leases that were granted.
    pub fn leases_granted(&self) -> u64 {
        self.state.lock().granted
    }

    /// Returns the renewals of leases.
    pub fn leases_renewed(&self) -> u64 {
        self.state.lock().renewed
    }

    /// Returns the reads that were answered.
    pub fn reads(&self) -> u64 {
        self.state.lock().reads
    }
}

impl State {
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

    fn range(&self, prefix: &str, after: &str) -> Value {
        let within = |k: &&String| k.starts_with(prefix) && k.as_str() > after;
        let items = self.items.iter().filter(|(k, _)| within(k));
        let item = |(key, item): (&String, &Item)| {
            let value = STANDARD.encode(&item.value);
            json!({"key": key, "value": value, "revision": item.revision, "lease": item.lease})
        };
        let items: Vec<Value> = items.map(item).collect();
        json!({"items": items, "hasMore": false, "currentRev": self.revision})
    }

    fn watch(&self, prefix: &str, after: u64) -> Option<Value> {
        if after < self.forgotten {
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

async fn answer(
    registry: Arc<Registry>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (parts, body) = req.into_parts();
    let body = body.collect().await.map(|b| b.to_bytes()).unwrap_or_default();
    let query = parts.uri.query().unwrap_or_default();
    let query: Vec<(String, String)> = serde_urlencoded::from_str(query).unwrap_or_default();
    let of = |name: &str| {
        let found = query.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, value)| value.as_str())
    };
    let slow = registry.state.lock().slow;
    tokio::time::sleep(slow).await;
    let mut state = registry.state.lock();
    if state.refuses {
        state.refused += 1;
        return Ok(response(StatusCode::SERVICE_UNAVAILABLE, &json!({})));
    }
    let path = parts.uri.path();
    Ok(match (&parts.method, path) {
        (&Method::GET, "/api/kv-range") => {
            state.reads += 1;
            response(StatusCode::OK, &state.range(of("pathPrefix"), of("after")))
        }
        (&Method::GET, "/api/kv-watch") => {
            state.reads += 1;
            match state.watch(of("pathPrefix"), of("after").parse().unwrap_or(0)) {
                Some(events) => response(StatusCode::OK, &events),
                None => response(StatusCode::GONE, &json!({})),
            }
        }
        (&Method::POST, "/api/kv-lease") => {
            state.granted += 1;
            response(StatusCode::OK, &json!({"lease": state.granted, "ttlS_time": 30}))
        }
        (&Method::POST, "/api/kv-txn") => {
            let txn: Value = serde_json::from_slice(&body).unwrap_or_default();
            for put in txn["puts"].as_array().into_iter().flatten() {
                let value = STANDARD.decode(put["value"].as_str().unwrap_or_default());
                let lease = put["lease"].as_u64().unwrap_or(0);
                state.change(put["key"].as_str().unwrap_or_default(), value.ok(), lease);
            }
            response(StatusCode::OK, &json!({"revision": state.revision}))
        }
        (&Method::POST, _) if path.starts_with("/api/kv-keep/") => {
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
