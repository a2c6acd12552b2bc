//! The key-value service by the etcd v3 JSON gateway.

use std::sync::Arc;

use bytes::{Buf, BytesMut};
use futures_util::future::BoxFuture;
use futures_util::{FutureExt, StreamExt, stream};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::store::call::{
    CallKind, Changes, Committed, Failure, LeaseId, Page, Platform, Range, Txn, Update, Watch,
};
use crate::store::gateway::{self, GrantAnswer, RangeAnswer, TxnAnswer, WatchMessage};
use crate::store::http::Http;

/// Bytes that one message of a watch may have.
const MESSAGE_MAX_BYTES: usize = 64 << 20;

/// Makes the calls of a service that speaks the gateway's JSON.
pub(crate) fn platform(http: Arc<Http>) -> Platform {
    let (a, b, c, d) = (http.clone(), http.clone(), http.clone(), http);
    Platform {
        range: Box::new(move |req| range(a.clone(), req).boxed()),
        txn: Box::new(move |req| txn(b.clone(), req).boxed()),
        watch: Box::new(move |req| watch(c.clone(), req).boxed()),
        grant: Box::new(move |ttl| {
            let http = d.clone();
            let granted = async move {
                let body = gateway::grant(ttl);
                let path = gateway::GRANT_PATH;
                let answer: GrantAnswer = http.write(CallKind::Lease, path, &body).await?;
                Ok(LeaseId::from(answer))
            };
            granted.boxed()
        }),
    }
}

async fn range(http: Arc<Http>, req: Range) -> Result<Page, Failure> {
    let body = gateway::range(&req);
    let path = gateway::RANGE_PATH;
    let answer: RangeAnswer = http.read(CallKind::Range, path, Some(&body)).await?;
    Ok(Page::from(answer))
}

async fn txn(http: Arc<Http>, req: Txn) -> Result<Committed, Failure> {
    let body = gateway::txn(&req);
    let answer: TxnAnswer = http.write(CallKind::Txn, gateway::TXN_PATH, &body).await?;
    Ok(Committed { succeeded: answer.succeeded })
}

async fn watch(http: Arc<Http>, req: Watch) -> Result<Changes, Failure> {
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
    fn next_update(&mut self) -> BoxFuture<'_, Result<Option<Update>, Failure>> {
        async move {
            let Some(line) = self.next_line().await? else { return Ok(None) };
            let message: WatchMessage =
                serde_json::from_slice(&line).map_err(|e| lost(&e.to_string()))?;
            let result = message.result.filter(|r| !r.canceled);
            Ok(result.map(Update::from))
        }
        .boxed()
    }

    async fn next_line(&mut self) -> Result<Option<BytesMut>, Failure> {
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

fn lost(reason: &str) -> Failure {
    Failure::Lost(format!("{}: {reason}", gateway::WATCH_PATH))
}
