//! The keys under which records, their history and claims are stored.

use crate::decide::catalog::RecordKind;
use crate::store::call::Range;

/// Makes keys under a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Keys {
    prefix: String,
}

impl Keys {
    /// Makes keys under `prefix`.
    pub(crate) fn new(prefix: &str) -> Keys {
        Keys { prefix: prefix.to_owned() }
    }

    /// Returns the key of a record.
    pub(crate) fn record(&self, kind: RecordKind, name: &str) -> String {
        format!("{}{kind}/{name}", self.prefix)
    }

    /// Returns the key under which a version of a record is kept. Keys sort by version.
    pub(crate) fn version(&self, kind: RecordKind, name: &str, version: u64) -> String {
        format!("{}history/{kind}/{name}/{version:020}", self.prefix)
    }

    /// Returns the key of a claim. `key` may hold any bytes.
    pub(crate) fn claim(&self, service: &str, key: &[u8]) -> String {
        use base64::Engine;
        let key = base64::engine::general_purpose::URL_SAFE_NO_PAD.encode(key);
        format!("{}claim/{service}/{key}", self.prefix)
    }

    /// Returns the range of all records of both kinds, and of nothing else.
    pub(crate) fn records(&self) -> Range {
        let (first, last) = (RecordKind::Profile, RecordKind::Service);
        self.range(format!("{first}/"), format!("{last}0"))
    }

    /// Returns the range of all records of a kind.
    pub(crate) fn records_of(&self, kind: RecordKind) -> Range {
        self.range(format!("{kind}/"), format!("{kind}0"))
    }

    /// Returns the range of the kept versions of a record.
    pub(crate) fn versions(&self, kind: RecordKind, name: &str) -> Range {
        self.range(format!("history/{kind}/{name}/"), format!("history/{kind}/{name}0"))
    }

    /// Returns the kind and name that a record's key stands for.
    pub(crate) fn parse<'a>(&self, key: &'a str) -> Option<(RecordKind, &'a str)> {
        let (kind, name) = key.strip_prefix(&self.prefix)?.split_once('/')?;
        let kinds = [RecordKind::Profile, RecordKind::Service];
        let kind = kinds.into_iter().find(|k| k.to_string() == kind)?;
        Some((kind, name))
    }

    /// `0` follows `/` in byte order, so it ends the range of what lies below a name.
    fn range(&self, first: String, end: String) -> Range {
        let (key, end) = (format!("{}{first}", self.prefix), format!("{}{end}", self.prefix));
        Range { key, end, ..Range::default() }
    }
}
