//! The interface to the key-value service: its calls as a plain struct of closures.

use std::time::Duration;

use derive_more::Display;
use futures_util::future::BoxFuture;
use futures_util::stream::BoxStream;

/// A call that answers once.
pub(crate) type Call<Req, Res> =
    Box<dyn Fn(Req) -> BoxFuture<'static, Result<Res, CallError>> + Send + Sync>;

/// The changes that a watch reports, in order of revision. Its end is the loss of the watch.
pub(crate) type WatchStream = BoxStream<'static, Result<WatchUpdate, CallError>>;

/// The calls of a key-value service. Another wire is another maker of this struct.
pub(crate) struct KvService {
    /// Reads a key or a range of keys.
    pub(crate) range: Call<Range, Page>,
    /// Compares and, if all comparisons hold, changes keys in one step.
    pub(crate) txn: Call<Txn, TxnResult>,
    /// Watches a range of keys.
    pub(crate) watch: Call<Watch, WatchStream>,
    /// Grants a lease that ends after a time.
    pub(crate) grant: Call<Duration, LeaseId>,
}

/// The kind of a call, for counting.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CallKind {
    /// A read of a range.
    #[display("range")]
    Range,
    /// A transaction.
    #[display("txn")]
    Txn,
    /// A watch, from its start to its end.
    #[display("watch")]
    Watch,
    /// A lease call.
    #[display("lease")]
    Lease,
    /// A read of the host list.
    #[display("hosts")]
    Hosts,
}

/// Why a call has no answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(crate) enum CallError {
    /// The request did not reach the service.
    #[display("not sent: {_0}")]
    NotSent(String),
    /// The request may have taken effect.
    #[display("answer lost: {_0}")]
    OutcomeUnknown(String),
    /// The service refused the request, which had no effect.
    #[display("refused: {_0}")]
    Refused(String),
}

/// The identity of a lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LeaseId(pub(crate) u64);

/// A stored key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Entry {
    /// The key.
    pub(crate) key: String,
    /// The value.
    pub(crate) value: Vec<u8>,
    /// The revision of its last change.
    pub(crate) revision: u64,
}

/// A read of a key or a range of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Range {
    /// The key, or the first key of the range.
    pub(crate) key: String,
    /// The end of the range, itself left out; empty to read one key.
    pub(crate) end: String,
    /// The most entries in the answer; 0 for all.
    pub(crate) limit: u64,
    /// Leaves out entries that were last changed before this revision.
    pub(crate) min_revision: u64,
}

/// The answer to a [`Range`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Page {
    /// The entries, sorted by key.
    pub(crate) entries: Vec<Entry>,
    /// Whether the limit cut entries off.
    pub(crate) more: bool,
    /// The revision of the service.
    pub(crate) revision: u64,
}

/// A comparison of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Compare {
    /// The key was last changed at this revision; 0 for a key that does not exist.
    Revision(String, u64),
    /// The key has this value.
    Value(String, Vec<u8>),
}

/// A change of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Op {
    /// Stores a value, until a lease ends if there is one.
    Put(String, Vec<u8>, Option<LeaseId>),
    /// Deletes a key, or a range of keys if there is an end.
    Delete(String, Option<String>),
}

/// A transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Txn {
    /// What must hold.
    pub(crate) compare: Vec<Compare>,
    /// The changes if it does.
    pub(crate) ops: Vec<Op>,
}

/// The answer to a [`Txn`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TxnResult {
    /// Whether the comparisons held and the changes were made.
    pub(crate) succeeded: bool,
}

/// A watch over a range of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Watch {
    /// The first key of the range.
    pub(crate) key: String,
    /// The end of the range, itself left out.
    pub(crate) end: String,
    /// The first revision to report.
    pub(crate) start_revision: u64,
}

/// One message of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct WatchUpdate {
    /// The keys stored. Deletions are left out: records are deleted by a newer version.
    pub(crate) puts: Vec<Entry>,
    /// The revision of the service.
    pub(crate) revision: u64,
}
