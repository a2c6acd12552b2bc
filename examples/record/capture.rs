//! Captures a daemon's trace while it is recorded, and adds entries that the daemon can't know.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use cornelferry::Time;
use cornelferry::event::EventCode;
use cornelferry::trace::{Entry, Line};
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use parking_lot::Mutex;

/// The time within which an awaited condition must come true.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A trace that is being captured: the lines so far.
#[derive(Clone, Debug, Default)]
pub struct TraceCapture {
    lines: Arc<Mutex<Vec<Line>>>,
}

impl TraceCapture {
    /// Starts to capture the trace of the daemon with this admin address, and waits for its header.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon doesn't respond or sends no trace.
    pub async fn open(admin: SocketAddr) -> Result<TraceCapture> {
        let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
        let res = client.get(format!("http://{admin}/trace").parse()?).await?;
        ensure!(res.status().is_success(), "{admin}/trace: {}", res.status());
        let trace = TraceCapture::default();
        let lines = trace.lines.clone();
        let mut body = res.into_body();
        tokio::spawn(async move {
            let _client = client;
            let mut buffer = Vec::new();
            while let Some(Ok(frame)) = body.frame().await {
                buffer.extend_from_slice(frame.data_ref().map_or(&[], |d| d));
                let complete = buffer.iter().rposition(|b| *b == b'\n').map_or(0, |i| i + 1);
                let text: Vec<u8> = buffer.drain(..complete).collect();
                let parsed = text.split(|b| *b == b'\n').filter(|l| !l.is_empty());
                lines.lock().extend(parsed.filter_map(|l| serde_json::from_slice::<Line>(l).ok()));
            }
        });
        trace.wait_until("the trace's header", |lines| !lines.is_empty()).await?;
        Ok(trace)
    }

    /// Appends an entry with the time of the newest line.
    pub fn add(&self, entry: Entry) {
        let mut lines = self.lines.lock();
        let at = lines.last().map_or(Time::ZERO, |l| l.at);
        lines.push(Line { at, entry });
    }

    /// Waits until `count` requests have their final response.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes longer than [`TIMEOUT`].
    pub async fn wait_until_answered(&self, count: usize) -> Result<()> {
        let answered = |l: &&Line| matches!(&l.entry, Entry::Event(e) if e.code == EventCode::CallerAnswered.number());
        let all = |lines: &[Line]| lines.iter().filter(answered).count() >= count;
        self.wait_until("the final response to every request", all).await
    }

    /// Writes the trace as JSON Lines.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be written.
    pub fn write(&self, path: &Path) -> Result<()> {
        let mut out = Vec::new();
        for line in &*self.lines.lock() {
            serde_json::to_writer(&mut out, line)?;
            out.push(b'\n');
        }
        std::fs::write(path, out).with_context(|| path.display().to_string())
    }

    /// Waits until a condition on the lines holds; `what` names it in the error.
    async fn wait_until(&self, what: &str, holds: impl Fn(&[Line]) -> bool) -> Result<()> {
        let mut waited = Duration::ZERO;
        while !holds(&self.lines.lock()) {
            ensure!(waited < TIMEOUT, "timed out waiting for {what}");
            tokio::time::sleep(POLL_INTERVAL).await;
            waited += POLL_INTERVAL;
        }
        Ok(())
    }
}
