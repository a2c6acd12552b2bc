//! The key-value service as the rest of the program sees it.

use std::sync::Arc;

use crate::settings;
use crate::store::call::{CallError, Entry, KvService, Range};
use crate::store::etcd;
use crate::store::http::{CallCounter, HttpClient};
use crate::store::keys::Keys;

/// Entries asked for in one call.
const PAGE_ENTRIES: u64 = 200;

/// The calls of the key-value service, and the keys under which things are stored there.
pub(crate) struct Client {
    /// The calls.
    pub(crate) kv: KvService,
    /// The keys.
    pub(crate) keys: Keys,
}

/// Everything that a range held.
#[derive(Debug, Default)]
pub(crate) struct RangeContents {
    /// The entries, sorted by key.
    pub(crate) entries: Vec<Entry>,
    /// The revision up to which the entries are complete.
    pub(crate) revision: u64,
}

impl Client {
    /// Makes a client. No connection is opened until the first call.
    pub(crate) fn connect(cfg: &settings::Platform, count: CallCounter) -> Client {
        let http = HttpClient::new(cfg.key_value.clone(), cfg.calls_per_second, count);
        Client { kv: etcd::kv(Arc::new(http)), keys: Keys::new(&cfg.prefix) }
    }

    /// Reads a range of any size, page by page.
    ///
    /// # Errors
    ///
    /// The first page's [`CallError`] that was not answered.
    pub(crate) async fn read_range(&self, range: Range) -> Result<RangeContents, CallError> {
        let mut range = Range { limit: PAGE_ENTRIES, ..range };
        let mut out = RangeContents::default();
        loop {
            let page = (self.kv.range)(range.clone()).await?;
            if out.revision == 0 {
                out.revision = page.revision;
            }
            out.entries.extend(page.entries);
            let Some(last) = out.entries.last().filter(|_| page.more) else { return Ok(out) };
            range.key = format!("{}\0", last.key);
        }
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// A [`CallError`] if there is no answer.
    pub(crate) async fn get(&self, key: String) -> Result<Option<Entry>, CallError> {
        let page = (self.kv.range)(Range { key, limit: 1, ..Range::default() }).await?;
        Ok(page.entries.into_iter().next())
    }
}
