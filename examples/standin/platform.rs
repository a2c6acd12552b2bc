//! A stand-in platform: the key-value service by the etcd v3 JSON gateway, and the host list.

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

/// Faults of the stand-in; may be changed while it runs.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Whether connections are closed without an answer, before any effect.
    pub down: bool,
    /// Time added to each answer.
    pub delay: Duration,
    /// How many of the next writes take effect and lose their answer.
    pub lose_answers: u32,
    /// Whether the service goes down once the next write has been answered.
    pub down_after_write: bool,
    /// Whether open and new watches stay silent.
    pub silent_watches: bool,
}

/// How often each kind of call was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Range reads.
    pub range: u64,
    /// Transactions.
    pub txn: u64,
    /// Watches opened.
    pub watch: u64,
    /// Lease calls.
    pub lease: u64,
    /// Host list reads.
    pub hosts: u64,
}

/// A running stand-in.
#[derive(Debug)]
pub struct Platform {
    /// Where it listens.
    pub address: SocketAddr,
    faults: watch::Sender<Faults>,
    store: watch::Sender<Store>,
    hosts: Mutex<Value>,
    calls: Mutex<Calls>,
}

impl Platform {
    /// Starts a stand-in on the current runtime.
    ///
    /// # Panics
    ///
    /// If the address can't be bound.
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

    /// Changes the faults. Watches end when the service goes down.
    pub fn with_faults(&self, change: impl FnOnce(&mut Faults)) {
        self.faults.send_modify(change);
    }

    /// Changes the store: copies, restorations, expiries, compactions.
    pub fn with_store<R>(&self, change: impl FnOnce(&mut Store) -> R) -> R {
        let mut out = None;
        self.store.send_modify(|store| out = Some(change(store)));
        out.expect("ran")
    }

    /// Replaces the host list, whatever its version.
    pub fn set_hosts(&self, hosts: Value) {
        *self.hosts.lock() = hosts;
    }

    /// Returns how many watches are open.
    pub fn open_watches(&self) -> usize {
        self.store.receiver_count()
    }

    /// Returns how often each kind of call was made.
    pub fn calls(&self) -> Calls {
        *self.calls.lock()
    }

    /// Applies a call's effect and returns its answer, or nothing if the answer is lost.
    fn answer(&self, path: &str, req: &Value) -> Option<Value> {
        let mut calls = self.calls.lock();
        match path {
            "/v3/kv/range" => {
                calls.range += 1;
                Some(self.store.borrow().range(req))
            }
            "/v3/kv/txn" => {
                calls.txn += 1;
                self.written(self.with_store(|s| s.txn(req)))
            }
            "/v3/kv/put" => {
                calls.txn += 1;
                self.written(self.with_store(|s| s.apply_one(&Op::Put(req.clone()))))
            }
            "/v3/lease/grant" => {
                calls.lease += 1;
                Some(self.with_store(|s| s.grant(req)))
            }
            "/v3/lease/keepalive" => {
                calls.lease += 1;
                Some(json!({ "result": self.store.borrow().lease(req) }))
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

    fn written(&self, answer: Value) -> Option<Value> {
        let mut lost = false;
        self.faults.send_modify(|f| {
            lost = f.lose_answers > 0;
            f.lose_answers = f.lose_answers.saturating_sub(1);
            f.down |= f.down_after_write;
        });
        (!lost).then_some(answer)
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
    let answer = platform.answer(&path, &req).ok_or_else(closed)?;
    let status = if answer.get("error").is_some() { 400 } else { 200 };
    let mut res = Response::new(Full::new(Bytes::from(answer.to_string())).boxed_unsync());
    *res.status_mut() = http::StatusCode::from_u16(status).expect("constant");
    Ok(res)
}

struct Watching {
    platform: Arc<Platform>,
    store: watch::Receiver<Store>,
    faults: watch::Receiver<Faults>,
    key: Vec<u8>,
    end: Vec<u8>,
    next: u64,
    epoch: u64,
    over: bool,
}

fn watch_body(platform: &Arc<Platform>, req: &Value) -> Body {
    let store = platform.store.subscribe();
    let (revision, epoch) = (store.borrow().revision(), store.borrow().epoch());
    let asked = number(&req["start_revision"]);
    let watching = Watching {
        platform: platform.clone(),
        faults: platform.faults.subscribe(),
        store,
        key: bytes_of(&req["key"]),
        end: bytes_of(&req["range_end"]),
        next: if asked == 0 { revision + 1 } else { asked },
        epoch,
        over: false,
    };
    let header = json!({ "revision": revision.to_string() });
    let created = json!({ "result": { "header": header, "created": true } });
    let first = stream::iter([Ok(frame(&created))]);
    let rest = stream::unfold(watching, |mut w| async move {
        let message = w.next_message().await?;
        Some((Ok(frame(&message)), w))
    });
    BodyExt::boxed_unsync(StreamBody::new(stream::StreamExt::chain(first, rest)))
}

impl Watching {
    async fn next_message(&mut self) -> Option<Value> {
        loop {
            if self.over || self.faults.borrow_and_update().down {
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

    fn pending(&mut self) -> Option<Value> {
        let store = self.store.borrow_and_update();
        let header = json!({ "revision": store.revision().to_string() });
        if store.epoch() != self.epoch {
            self.over = true;
            return Some(json!({ "result": { "header": header, "canceled": true } }));
        }
        if self.next <= store.compacted() {
            self.over = true;
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

/// Reads a base64 field; absent is empty.
pub fn bytes_of(value: &Value) -> Vec<u8> {
    STANDARD.decode(value.as_str().unwrap_or_default()).unwrap_or_default()
}

/// Reads an integer written as a string or a number; absent is zero.
pub fn number(value: &Value) -> u64 {
    value.as_u64().or_else(|| value.as_str()?.parse().ok()).unwrap_or_default()
}

/// Writes bytes as base64.
pub fn text_of(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Returns the pairs of a map whose keys lie in `[key, end)`; an empty `end` is the key alone.
pub fn within<'a, V>(
    map: &'a BTreeMap<Vec<u8>, V>,
    key: &'a [u8],
    end: &'a [u8],
) -> impl Iterator<Item = (&'a Vec<u8>, &'a V)> {
    let matches = move |k: &[u8]| if end.is_empty() { k == key } else { k >= key && k < end };
    map.iter().filter(move |(k, _)| matches(k))
}
