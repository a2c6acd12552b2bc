//! Client of the key-value service: its calls, its key layout, and paged reads.

use std::sync::Arc;

use crate::settings;
use crate::store::call::{CallError, Entry, KvService, Range};
use crate::store::etcd;
use crate::store::http::{CallCounter, HttpClient};
use crate::store::keys::Keys;

/// Maximum number of entries per range call.
const PAGE_ENTRIES_MAX: u64 = 200;

/// The calls of the key-value service and the layout of its keys.
pub(crate) struct Client {
    pub(crate) kv: KvService,
    pub(crate) keys: Keys,
}

/// The entries of a range, read page by page.
#[derive(Debug, Default)]
pub(crate) struct RangeContents {
    /// The entries, sorted by key.
    pub(crate) entries: Vec<Entry>,
    /// The revision up to which the entries are complete: that of the first page.
    pub(crate) revision: u64,
}

impl Client {
    /// Creates a client. No connection is opened until the first call.
    pub(crate) fn connect(cfg: &settings::Platform, counter: CallCounter) -> Client {
        let http = HttpClient::new(cfg.key_value.clone(), cfg.calls_per_second, counter);
        Client { kv: etcd::kv(Arc::new(http)), keys: Keys::new(&cfg.prefix) }
    }

    /// Reads a range of any size, page by page.
    ///
    /// # Errors
    ///
    /// Returns the [`CallError`] of the first page that can't be read.
    pub(crate) async fn read_range(&self, range: Range) -> Result<RangeContents, CallError> {
        let mut range = Range { limit: PAGE_ENTRIES_MAX, ..range };
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
    /// Returns a [`CallError`] if the call fails.
    pub(crate) async fn get(&self, key: String) -> Result<Option<Entry>, CallError> {
        let page = (self.kv.range)(Range { key, limit: 1, ..Range::default() }).await?;
        Ok(page.entries.into_iter().next())
    }
}
