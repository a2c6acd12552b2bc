//! Callers: requests at a steady rate, and what they are told.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cornelferry::error::Outcome;
use cornelferry::header;
use cornelferry::trace::Entry;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

/// Of so many requests, one is a write.
const WRITE_EVERY: usize = 3;

type Sender = Client<HttpConnector, Full<Bytes>>;

/// Sends requests at a steady rate, and returns what their callers were told.
pub async fn run(caller: SocketAddr, count: usize, gap: Duration) -> Vec<Entry> {
    let client: Sender = Client::builder(TokioExecutor::new()).build_http();
    let mut interval = tokio::time::interval(gap);
    interval.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut calls = JoinSet::new();
    for i in 0..count {
        interval.tick().await;
        calls.spawn(call(client.clone(), caller, i));
    }
    calls.join_all().await.into_iter().flatten().collect()
}

/// Sends one request. Returns nothing if its caller was told nothing.
async fn call(client: Sender, caller: SocketAddr, number: usize) -> Option<Entry> {
    let write = number.is_multiple_of(WRITE_EVERY);
    let id = format!("{}{number}", if write { "w" } else { "r" });
    let req = Request::builder()
        .method(if write { Method::POST } else { Method::GET })
        .uri(format!("http://{caller}/{}", if write { "bookings" } else { "tides/1" }))
        .header(header::REQUEST_ID, &id)
        .body(Full::new(Bytes::new()))
        .expect("a request");
    let res = client.request(req).await.ok()?;
    let told = told(&id, !write, res.headers());
    let _ = res.into_body().collect().await;
    told
}

fn told(id: &str, idempotent: bool, headers: &HeaderMap) -> Option<Entry> {
    let field = |name| headers.get(name).and_then(|v| v.to_str().ok());
    let outcome = match field(header::OUTCOME)? {
        "answered" => Outcome::Answered,
        "not-run" => Outcome::NotRun,
        _ => Outcome::Unknown,
    };
    let code = field(header::CODE)?.parse().ok()?;
    let request: Arc<str> = id.into();
    Some(Entry::CallerResult { request, idempotent, outcome, code })
}
