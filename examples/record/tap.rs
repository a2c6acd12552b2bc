//! Takes in a daemon's trace as it happens, and writes it with what the daemon can't know.

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

/// Time after which the daemon is taken to answer no more.
const HANG: Duration = Duration::from_secs(30);
/// Time between two looks at a condition.
const PAUSE: Duration = Duration::from_millis(20);

/// The lines so far.
#[derive(Clone, Debug, Default)]
pub struct Tap {
    lines: Arc<Mutex<Vec<Line>>>,
}

impl Tap {
    /// Begins to take in the trace of a daemon.
    ///
    /// # Errors
    ///
    /// If the daemon doesn't answer.
    pub async fn open(admin: SocketAddr) -> Result<Tap> {
        let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
        let res = client.get(format!("http://{admin}/trace").parse()?).await?;
        ensure!(res.status().is_success(), "{admin}/trace: {}", res.status());
        let tap = Tap::default();
        let lines = tap.lines.clone();
        let mut body = res.into_body();
        tokio::spawn(async move {
            let _client = client;
            let mut begun = Vec::new();
            while let Some(Ok(frame)) = body.frame().await {
                begun.extend_from_slice(frame.data_ref().map_or(&[], |d| d));
                let whole = begun.iter().rposition(|b| *b == b'\n').map_or(0, |i| i + 1);
                let text: Vec<u8> = begun.drain(..whole).collect();
                let parsed = text.split(|b| *b == b'\n').filter(|l| !l.is_empty());
                lines.lock().extend(parsed.filter_map(|l| serde_json::from_slice::<Line>(l).ok()));
            }
        });
        tap.until("the trace's header", |lines| !lines.is_empty()).await?;
        Ok(tap)
    }

    /// Adds an entry after the newest line.
    pub fn add(&self, entry: Entry) {
        let mut lines = self.lines.lock();
        let at = lines.last().map_or(Time::ZERO, |l| l.at);
        lines.push(Line { at, entry });
    }

    /// Waits until every accepted request has its answer.
    ///
    /// # Errors
    ///
    /// If one has none for a long time.
    pub async fn until_answered(&self, count: usize) -> Result<()> {
        let answered = |l: &&Line| matches!(&l.entry, Entry::Event(e) if e.code == EventCode::CallerAnswered.number());
        let all = |lines: &[Line]| lines.iter().filter(answered).count() >= count;
        self.until("every answer", all).await
    }

    /// Writes the trace.
    ///
    /// # Errors
    ///
    /// If the file can't be written.
    pub fn write(&self, path: &Path) -> Result<()> {
        let mut out = Vec::new();
        for line in &*self.lines.lock() {
            serde_json::to_writer(&mut out, line)?;
            out.push(b'\n');
        }
        std::fs::write(path, out).with_context(|| path.display().to_string())
    }

    async fn until(&self, what: &str, holds: impl Fn(&[Line]) -> bool) -> Result<()> {
        let mut waited = Duration::ZERO;
        while !holds(&self.lines.lock()) {
            ensure!(waited < HANG, "{what} has not come");
            tokio::time::sleep(PAUSE).await;
            waited += PAUSE;
        }
        Ok(())
    }
}
