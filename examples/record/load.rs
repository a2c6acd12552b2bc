//! The callers: they send requests at a constant rate and keep their results.

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

/// One of this many requests is a write.
const WRITE_EVERY: usize = 3;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Sends `count` requests at intervals of `request_interval`, and returns the results that the
/// callers got.
pub async fn run(caller: SocketAddr, count: usize, request_interval: Duration) -> Vec<Entry> {
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let mut interval = tokio::time::interval(request_interval);
    interval.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut requests = JoinSet::new();
    for i in 0..count {
        interval.tick().await;
        requests.spawn(send(client.clone(), caller, i));
    }
    requests.join_all().await.into_iter().flatten().collect()
}

/// Sends a request. Returns `None` if its caller got no response.
async fn send(client: HttpClient, caller: SocketAddr, number: usize) -> Option<Entry> {
    let write = number.is_multiple_of(WRITE_EVERY);
    let id = format!("{}{number}", if write { "w" } else { "r" });
    let req = Request::builder()
        .method(if write { Method::POST } else { Method::GET })
        .uri(format!("http://{caller}/{}", if write { "bookings" } else { "tides/1" }))
        .header(header::REQUEST_ID, &id)
        .body(Full::new(Bytes::new()))
        .expect("a request");
    let res = client.request(req).await.ok()?;
    let result = caller_result(&id, !write, res.headers());
    let _ = res.into_body().collect().await;
    result
}

/// Returns the entry for the result that response headers state.
fn caller_result(id: &str, idempotent: bool, headers: &HeaderMap) -> Option<Entry> {
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
