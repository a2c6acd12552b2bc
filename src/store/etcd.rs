//! The key-value service by the etcd v3 JSON gateway.

use std::sync::Arc;

use bytes::{Buf, BytesMut};
use futures_util::future::BoxFuture;
use futures_util::{FutureExt, StreamExt, stream};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::store::call::{
    CallError, CallKind, KvService, LeaseId, Page, Range, Txn, TxnResult, Watch, WatchStream,
    WatchUpdate,
};
use crate::store::gateway::{self, LeaseGrantResponse, RangeResponse, TxnResponse, WatchMessage};
use crate::store::http::HttpClient;

/// Bytes that one message of a watch may have.
const MESSAGE_MAX_BYTES: usize = 64 << 20;

/// Makes the calls of a service that speaks the gateway's JSON.
pub(crate) fn kv(http: Arc<HttpClient>) -> KvService {
    let (a, b, c, d) = (http.clone(), http.clone(), http.clone(), http);
    KvService {
        range: Box::new(move |req| range(a.clone(), req).boxed()),
        txn: Box::new(move |req| txn(b.clone(), req).boxed()),
        watch: Box::new(move |req| watch(c.clone(), req).boxed()),
        grant: Box::new(move |ttl| {
            let http = d.clone();
            let granted = async move {
                let body = gateway::grant(ttl);
                let path = gateway::GRANT_PATH;
                let answer: LeaseGrantResponse = http.write(CallKind::Lease, path, &body).await?;
                Ok(LeaseId::from(answer))
            };
            granted.boxed()
        }),
    }
}

async fn range(http: Arc<HttpClient>, req: Range) -> Result<Page, CallError> {
    let body = gateway::range(&req);
    let path = gateway::RANGE_PATH;
    let answer: RangeResponse = http.read(CallKind::Range, path, Some(&body)).await?;
    Ok(Page::from(answer))
}

async fn txn(http: Arc<HttpClient>, req: Txn) -> Result<TxnResult, CallError> {
    let body = gateway::txn(&req);
    let answer: TxnResponse = http.write(CallKind::Txn, gateway::TXN_PATH, &body).await?;
    Ok(TxnResult { succeeded: answer.succeeded })
}

async fn watch(http: Arc<HttpClient>, req: Watch) -> Result<WatchStream, CallError> {
    let body = gateway::watch(&req);
    let res = http.open(CallKind::Watch, gateway::WATCH_PATH, &body).await?;
    let lines = Lines { body: res.into_body(), buf: BytesMut::new() };
    let updates = stream::try_unfold(lines, |mut lines| async move {
        let Some(update) = lines.next_update().await? else { return Ok(None) };
        Ok(Some((update, lines)))
    });
    Ok(updates.boxed())
}

/// The messages of a watch, one a line.
struct Lines {
    body: Incoming,
    buf: BytesMut,
}

impl Lines {
    /// Returns the next update, or nothing when the service has ended the watch.
    fn next_update(&mut self) -> BoxFuture<'_, Result<Option<WatchUpdate>, CallError>> {
        async move {
            let Some(line) = self.next_line().await? else { return Ok(None) };
            let message: WatchMessage =
                serde_json::from_slice(&line).map_err(|e| lost(&e.to_string()))?;
            let result = message.result.filter(|r| !r.canceled);
            Ok(result.map(WatchUpdate::from))
        }
        .boxed()
    }

    async fn next_line(&mut self) -> Result<Option<BytesMut>, CallError> {
        let mut searched = 0;
        loop {
            if let Some(at) = self.buf[searched..].iter().position(|b| *b == b'\n') {
                let line = self.buf.split_to(searched + at);
                self.buf.advance(1);
                return Ok(Some(line));
            }
            searched = self.buf.len();
            if searched > MESSAGE_MAX_BYTES {
                return Err(lost("message too long"));
            }
            let Some(frame) = self.body.frame().await else { return Ok(None) };
            let frame = frame.map_err(|e| lost(&e.to_string()))?;
            if let Ok(data) = frame.into_data() {
                self.buf.extend_from_slice(&data);
            }
        }
    }
}

fn lost(reason: &str) -> CallError {
    CallError::OutcomeUnknown(format!("{}: {reason}", gateway::WATCH_PATH))
}
