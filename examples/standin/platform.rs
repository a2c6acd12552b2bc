//! A stand-in for the platform: the key-value service with etcd's v3 JSON gateway, and the host
//! list.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures_util::stream;
use http::{Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::store::{Op, Store};

type Body = UnsyncBoxBody<Bytes, Infallible>;

/// The faults of the stand-in, which may be changed while it runs.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Whether connections are closed without a response and before any effect.
    pub down: bool,
    /// The time by which each response is delayed.
    pub delay: Duration,
    /// The number of next writes that take effect and get no response.
    pub lose_responses: u32,
    /// Whether the service goes down after the next write has taken effect.
    pub down_after_write: bool,
    /// Whether open and new watches deliver nothing after the confirmation.
    pub silent_watches: bool,
}

/// The number of calls of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Reads of a key or a range.
    pub range: u64,
    /// Transactions and single puts.
    pub txn: u64,
    /// Watches that were opened.
    pub watch: u64,
    /// Grants, renewals and revocations of leases.
    pub lease: u64,
    /// Reads of the host list.
    pub hosts: u64,
}

/// A running stand-in for the platform.
#[derive(Debug)]
pub struct Platform {
    /// The address that it listens on.
    pub address: SocketAddr,
    faults: watch::Sender<Faults>,
    store: watch::Sender<Store>,
    hosts: Mutex<Value>,
    calls: Mutex<Calls>,
}

impl Platform {
    /// Starts a stand-in on the current runtime, with an empty store and an empty host list.
    ///
    /// # Panics
    ///
    /// Panics if the address can't be bound.
    pub async fn start(address: SocketAddr) -> Arc<Platform> {
        let listener = TcpListener::bind(address).await.expect("stand-in address");
        let platform = Arc::new(Platform {
            address: listener.local_addr().expect("bound"),
            faults: watch::Sender::default(),
            store: watch::Sender::default(),
            hosts: Mutex::new(json!({ "version": 1, "hosts": [] })),
            calls: Mutex::default(),
        });
        tokio::spawn(accept(platform.clone(), listener));
        platform
    }

    /// Calls `change` on the faults. Watches end when the service goes down.
    pub fn with_faults(&self, change: impl FnOnce(&mut Faults)) {
        self.faults.send_modify(change);
    }

    /// Calls `change` on the store and returns its result. Watches deliver the changes.
    pub fn with_store<R>(&self, change: impl FnOnce(&mut Store) -> R) -> R {
        let mut out = None;
        self.store.send_modify(|store| out = Some(change(store)));
        out.expect("the change was called")
    }

    /// Replaces the host list, without a check of its version.
    pub fn set_hosts(&self, hosts: Value) {
        *self.hosts.lock() = hosts;
    }

    /// Returns the number of open watches.
    pub fn open_watches(&self) -> usize {
        self.store.receiver_count()
    }

    /// Returns the number of calls of each kind since the start.
    pub fn calls(&self) -> Calls {
        *self.calls.lock()
    }

    /// Executes a call and returns its response, or `None` if the response is to be lost.
    fn execute(&self, path: &str, req: &Value) -> Option<Value> {
        let mut calls = self.calls.lock();
        match path {
            "/v3/kv/range" => {
                calls.range += 1;
                Some(self.store.borrow().range(req))
            }
            "/v3/kv/txn" => {
                calls.txn += 1;
                self.after_write(self.with_store(|s| s.txn(req)))
            }
            "/v3/kv/put" => {
                calls.txn += 1;
                self.after_write(self.with_store(|s| s.apply_one(&Op::Put(req.clone()))))
            }
            "/v3/lease/grant" => {
                calls.lease += 1;
                Some(self.with_store(|s| s.grant(req)))
            }
            "/v3/lease/keepalive" => {
                calls.lease += 1;
                Some(json!({ "result": self.store.borrow().keep_alive(req) }))
            }
            "/v3/lease/revoke" => {
                calls.lease += 1;
                Some(self.with_store(|s| s.revoke(req)))
            }
            "/hosts" => {
                calls.hosts += 1;
                Some(self.hosts.lock().clone())
            }
            _ => Some(json!({ "error": "not found", "code": 5 })),
        }
    }

    /// Applies the faults that follow a write. Returns `None` if its response is to be lost.
    fn after_write(&self, response: Value) -> Option<Value> {
        let mut lost = false;
        self.faults.send_modify(|f| {
            lost = f.lose_responses > 0;
            f.lose_responses = f.lose_responses.saturating_sub(1);
            f.down |= f.down_after_write;
        });
        (!lost).then_some(response)
    }
}

async fn accept(platform: Arc<Platform>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        if platform.faults.borrow().down {
            continue;
        }
        let platform = platform.clone();
        let _ = stream.set_nodelay(true);
        tokio::spawn(async move {
            let service = service_fn(move |req| serve(platform.clone(), req));
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn serve(
    platform: Arc<Platform>,
    req: Request<Incoming>,
) -> Result<Response<Body>, std::io::Error> {
    let closed = || std::io::Error::other("closed by the stand-in");
    let path = req.uri().path().to_owned();
    let body = req.into_body().collect().await.map_err(|_| closed())?.to_bytes();
    let faults = platform.faults.borrow().clone();
    tokio::time::sleep(faults.delay).await;
    if faults.down {
        return Err(closed());
    }
    let req: Value = serde_json::from_slice(&body).unwrap_or_default();
    if path == "/v3/watch" {
        platform.calls.lock().watch += 1;
        return Ok(Response::new(watch_body(&platform, &req["create_request"])));
    }
    let response = platform.execute(&path, &req).ok_or_else(closed)?;
    let status = if response.get("error").is_some() { 400 } else { 200 };
    let mut res = Response::new(Full::new(Bytes::from(response.to_string())).boxed_unsync());
    *res.status_mut() = http::StatusCode::from_u16(status).expect("constant");
    Ok(res)
}

/// An open watch.
struct Watch {
    platform: Arc<Platform>,
    store: watch::Receiver<Store>,
    faults: watch::Receiver<Faults>,
    /// The first key of the watched range.
    key: Vec<u8>,
    /// The end of the watched range, exclusive; empty if only `key` is watched.
    end: Vec<u8>,
    /// The revision from which changes are still to be delivered.
    next: u64,
    /// The store's epoch when the watch was opened; it changes when the store is restored.
    epoch: u64,
    /// Whether the watch was cancelled.
    cancelled: bool,
}

/// Opens a watch and returns the body that delivers it: a confirmation, and then messages as JSON
/// lines.
fn watch_body(platform: &Arc<Platform>, req: &Value) -> Body {
    let store = platform.store.subscribe();
    let (revision, epoch) = (store.borrow().revision(), store.borrow().epoch());
    let start = parse_integer(&req["start_revision"]);
    let watch = Watch {
        platform: platform.clone(),
        faults: platform.faults.subscribe(),
        store,
        key: decode_base64(&req["key"]),
        end: decode_base64(&req["range_end"]),
        next: if start == 0 { revision + 1 } else { start },
        epoch,
        cancelled: false,
    };
    let header = json!({ "revision": revision.to_string() });
    let created = json!({ "result": { "header": header, "created": true } });
    let first = stream::iter([Ok(frame(&created))]);
    let rest = stream::unfold(watch, |mut w| async move {
        let message = w.next_message().await?;
        Some((Ok(frame(&message)), w))
    });
    BodyExt::boxed_unsync(StreamBody::new(stream::StreamExt::chain(first, rest)))
}

impl Watch {
    /// Waits for the next message. Returns `None` when the watch has ended.
    async fn next_message(&mut self) -> Option<Value> {
        loop {
            if self.cancelled || self.faults.borrow_and_update().down {
                return None;
            }
            if !self.platform.faults.borrow().silent_watches
                && let Some(message) = self.pending()
            {
                return Some(message);
            }
            tokio::select! {
                changed = self.store.changed() => changed.ok()?,
                changed = self.faults.changed() => changed.ok()?,
            }
        }
    }

    /// Returns a message if there are changes to deliver or the watch must be cancelled.
    fn pending(&mut self) -> Option<Value> {
        let store = self.store.borrow_and_update();
        let header = json!({ "revision": store.revision().to_string() });
        if store.epoch() != self.epoch {
            self.cancelled = true;
            return Some(json!({ "result": { "header": header, "canceled": true } }));
        }
        if self.next <= store.compacted() {
            self.cancelled = true;
            let compacted = store.compacted().to_string();
            let result =
                json!({ "header": header, "canceled": true, "compact_revision": compacted });
            return Some(json!({ "result": result }));
        }
        let events = store.events(self.next, &self.key, &self.end);
        self.next = self.next.max(store.revision() + 1);
        (!events.is_empty()).then(|| json!({ "result": { "header": header, "events": events } }))
    }
}

fn frame(message: &Value) -> Frame<Bytes> {
    Frame::data(Bytes::from(format!("{message}\n")))
}

/// Decodes a base64 field; a missing or malformed one gives no bytes.
pub fn decode_base64(value: &Value) -> Vec<u8> {
    STANDARD.decode(value.as_str().unwrap_or_default()).unwrap_or_default()
}

/// Parses an integer that is written as a number or, as etcd does, as a string; a missing or
/// malformed one gives 0.
pub fn parse_integer(value: &Value) -> u64 {
    value.as_u64().or_else(|| value.as_str()?.parse().ok()).unwrap_or_default()
}

/// Encodes bytes as base64.
pub fn encode_base64(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Returns the entries of a map whose keys lie in `[key, end)`. If `end` is empty, the range is the
/// key alone.
pub fn range_entries<'a, V>(
    map: &'a BTreeMap<Vec<u8>, V>,
    key: &'a [u8],
    end: &'a [u8],
) -> impl Iterator<Item = (&'a Vec<u8>, &'a V)> {
    let matches = move |k: &[u8]| if end.is_empty() { k == key } else { k >= key && k < end };
    map.iter().filter(move |(k, _)| matches(k))
}
