//! Interface to the key-value service: requests, responses, and a struct of closures that makes the
//! calls.

use std::time::Duration;

use derive_more::Display;
use futures_util::future::BoxFuture;
use futures_util::stream::BoxStream;

/// A closure that makes a call: takes the request and returns the response.
pub(crate) type Call<Req, Res> =
    Box<dyn Fn(Req) -> BoxFuture<'static, Result<Res, CallError>> + Send + Sync>;

/// The updates of a watch, in order of revision. The watch is lost when the stream ends.
pub(crate) type WatchStream = BoxStream<'static, Result<WatchUpdate, CallError>>;

/// The calls of a key-value service. Each protocol has its own constructor of this struct, such as
/// [`crate::store::etcd::kv`].
pub(crate) struct KvService {
    /// Reads a key or a range of keys.
    pub(crate) range: Call<Range, Page>,
    /// Runs a transaction: applies its operations atomically if all its comparisons hold.
    pub(crate) txn: Call<Txn, TxnResult>,
    /// Watches a range of keys.
    pub(crate) watch: Call<Watch, WatchStream>,
    /// Grants a lease with a time to live.
    pub(crate) grant: Call<Duration, LeaseId>,
}

/// The kind of a call, as the label of the call counter.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CallKind {
    /// A read of a range of keys.
    #[display("range")]
    Range,
    #[display("txn")]
    Txn,
    /// The opening of a watch, or a read of the registry's changes.
    #[display("watch")]
    Watch,
    /// A lease grant or renewal.
    #[display("lease")]
    Lease,
    /// A read of the host list.
    #[display("hosts")]
    Hosts,
}

/// The reason why a call failed, by whether the request can have taken effect.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(crate) enum CallError {
    /// The request did not reach the service.
    #[display("not sent: {_0}")]
    NotSent(String),
    /// No usable response was received, so the request may have taken effect.
    #[display("outcome unknown: {_0}")]
    OutcomeUnknown(String),
    /// The service refused the request, which had no effect.
    #[display("refused: {_0}")]
    Refused(String),
}

/// The id of a lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LeaseId(pub(crate) u64);

/// A stored key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) value: Vec<u8>,
    /// Revision of its last modification.
    pub(crate) revision: u64,
}

/// A read of a key or a range of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Range {
    /// The key, or the first key of the range.
    pub(crate) key: String,
    /// The exclusive end of the range; empty to read one key.
    pub(crate) end: String,
    /// Maximum number of entries in the response; 0 for no limit.
    pub(crate) limit: u64,
    /// Omits entries that were last modified before this revision; 0 for no filter.
    pub(crate) min_revision: u64,
}

/// The response to a [`Range`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Page {
    /// The entries, sorted by key.
    pub(crate) entries: Vec<Entry>,
    /// Whether the limit was reached and more entries follow.
    pub(crate) more: bool,
    /// The service's revision when it responded.
    pub(crate) revision: u64,
}

/// A precondition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Compare {
    /// The key was last modified at this revision; 0 for a key that does not exist.
    Revision(String, u64),
    /// The key has this value.
    Value(String, Vec<u8>),
}

/// A write operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Op {
    /// Stores a value under a key. With a lease, the key is deleted when the lease expires.
    Put(String, Vec<u8>, Option<LeaseId>),
    /// Deletes a key, or the range of keys up to an exclusive end.
    Delete(String, Option<String>),
}

/// A transaction: write operations that are applied atomically if all preconditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Txn {
    /// The preconditions.
    pub(crate) compare: Vec<Compare>,
    /// The write operations.
    pub(crate) ops: Vec<Op>,
}

/// The response to a [`Txn`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TxnResult {
    /// Whether the preconditions held and the operations were applied.
    pub(crate) succeeded: bool,
}

/// A request to watch a range of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Watch {
    /// The first key of the range.
    pub(crate) key: String,
    /// The exclusive end of the range.
    pub(crate) end: String,
    /// The first revision to report.
    pub(crate) start_revision: u64,
}

/// One message of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct WatchUpdate {
    /// The entries that were stored. Deletions are omitted, as a record is deleted by storing a
    /// newer version that says so.
    pub(crate) puts: Vec<Entry>,
    /// The service's revision when it sent the message.
    pub(crate) revision: u64,
}
