//! Layout of the keys of records, their version history, and claims on idempotency keys.

use crate::decide::catalog::RecordKind;
use crate::store::call::Range;

/// The layout of keys under a common prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Keys {
    prefix: String,
}

impl Keys {
    /// Creates the layout of the keys under `prefix`.
    pub(crate) fn new(prefix: &str) -> Keys {
        Keys { prefix: prefix.to_owned() }
    }

    /// Returns the key of a record.
    pub(crate) fn record(&self, kind: RecordKind, name: &str) -> String {
        format!("{}{kind}/{name}", self.prefix)
    }

    /// Returns the key of a version in a record's history. The version is zero-padded, so that keys
    /// sort by version.
    pub(crate) fn version(&self, kind: RecordKind, name: &str, version: u64) -> String {
        format!("{}history/{kind}/{name}/{version:020}", self.prefix)
    }

    /// Returns the key of a claim on an idempotency key, which may hold any bytes and is encoded in
    /// base64.
    pub(crate) fn claim(&self, service: &str, key: &[u8]) -> String {
        use base64::Engine;
        let key = base64::engine::general_purpose::URL_SAFE_NO_PAD.encode(key);
        format!("{}claim/{service}/{key}", self.prefix)
    }

    /// Returns the range of all profiles and services, the kinds of record that are read from the
    /// service. Neither history nor claims lie in it.
    pub(crate) fn records(&self) -> Range {
        let (first, last) = (RecordKind::Profile, RecordKind::Service);
        self.range(format!("{first}/"), format!("{last}0"))
    }

    /// Returns the range of all records of a kind.
    pub(crate) fn records_of(&self, kind: RecordKind) -> Range {
        self.range(format!("{kind}/"), format!("{kind}0"))
    }

    /// Returns the range of a record's version history.
    pub(crate) fn versions(&self, kind: RecordKind, name: &str) -> Range {
        self.range(format!("history/{kind}/{name}/"), format!("history/{kind}/{name}0"))
    }

    /// Returns the kind and name of the profile or service with the given key, or `None` for any
    /// other key.
    pub(crate) fn parse<'a>(&self, key: &'a str) -> Option<(RecordKind, &'a str)> {
        let (kind, name) = key.strip_prefix(&self.prefix)?.split_once('/')?;
        let kinds = [RecordKind::Profile, RecordKind::Service];
        let kind = kinds.into_iter().find(|k| k.to_string() == kind)?;
        Some((kind, name))
    }

    /// Returns the range from `first` to `end` under the prefix. `0` follows `/` in byte order, so
    /// an end of `name0` covers every key below `name/`.
    fn range(&self, first: String, end: String) -> Range {
        let (key, end) = (format!("{}{first}", self.prefix), format!("{}{end}", self.prefix));
        Range { key, end, ..Range::default() }
    }
}
