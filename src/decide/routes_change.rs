//! What differs between two versions of the routes, so that a change of a few routes costs hosts what
//! it weighs and not all routes.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::hash::{Hash, Hasher};
use std::ops::Range;
use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use similar::{Algorithm, DiffOp, capture_diff_slices};
use twox_hash::XxHash64;

use crate::config::{Route, Routing};
use crate::decide::catalog::{Body, Record};
use crate::decide::registered::Revision;

/// The number of changes that a [`RoutesHistory`] remembers.
const STEPS_MAX: usize = 64;

/// The size of the changes that a [`RoutesHistory`] remembers, in bytes as sent. A change that alone
/// is larger is remembered all the same.
const STEPS_MAX_BYTES: usize = 128 << 10;

/// Hashes of the parts of one version of the routes. They tell whether two hosts hold the same, and
/// what differs between two versions, without the routes themselves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RoutesDigest {
    version: u64,
    change: Arc<str>,
    /// The hash of each route, in order.
    routes: Vec<u64>,
    /// The hash of everything but the routes.
    rest: u64,
}

impl RoutesDigest {
    /// Computes the digest of a record. `None` if it holds no routes.
    pub(crate) fn of(record: &Record) -> Option<RoutesDigest> {
        let Body::Routing(routing) = &record.body else { return None };
        Some(RoutesDigest {
            version: record.version,
            change: record.change.clone(),
            routes: routing.routes.iter().map(hash_of).collect(),
            rest: hash_of(&without_routes(routing)),
        })
    }

    /// Returns the hash that identifies the version and its content. It is never 0.
    pub(crate) fn fingerprint(&self) -> u64 {
        let mut hasher = XxHash64::default();
        (self.version, &self.change, &self.routes, self.rest).hash(&mut hasher);
        hasher.finish().max(1)
    }
}

/// A change from one version of the routes to a later one, as peers send it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RoutesChange {
    /// The fingerprint of the version that it changes.
    base: u64,
    /// The fingerprint of the version that it makes.
    result: u64,
    name: Arc<str>,
    version: u64,
    change: Arc<str>,
    author: Arc<str>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    revision: Option<Revision>,
    /// The parts of the new list of routes, in order.
    parts: Vec<Part>,
    /// Everything but the routes, if it has changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    rest: Option<Routing>,
}

/// A part of a changed list of routes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Part {
    /// Routes of the earlier list.
    Kept(Range<usize>),
    /// Routes that are new or have changed.
    New(Vec<Route>),
}

/// The reason why a [`RoutesChange`] can't be applied.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum ChangeError {
    /// It changes another version than the one in force.
    #[display("the change is of other routes than those in force")]
    OtherBase,
    /// It keeps routes that don't exist, or makes other routes than its sender's.
    #[display("the change makes other routes than its sender's")]
    OtherResult,
}

impl RoutesChange {
    /// Computes the change from the version with the digest `base` and the content `earlier` to
    /// `record`, whose digest is `digest`. `None` if `record` holds no routes.
    pub(crate) fn between(
        base: &RoutesDigest,
        earlier: &Routing,
        digest: &RoutesDigest,
        record: &Record,
    ) -> Option<RoutesChange> {
        let Body::Routing(routing) = &record.body else { return None };
        let new = |range: Range<usize>| Part::New(routing.routes[range].to_vec());
        let part = |op: &DiffOp| match *op {
            DiffOp::Equal { old_index, len, .. } => Some(Part::Kept(old_index..old_index + len)),
            DiffOp::Delete { .. } => None,
            DiffOp::Insert { new_index, new_len, .. }
            | DiffOp::Replace { new_index, new_len, .. } => {
                Some(new(new_index..new_index + new_len))
            }
        };
        let ops = capture_diff_slices(Algorithm::Myers, &base.routes, &digest.routes);
        let rest = without_routes(routing);
        Some(RoutesChange {
            base: base.fingerprint(),
            result: digest.fingerprint(),
            name: record.name.clone(),
            version: record.version,
            change: record.change.clone(),
            author: record.author.clone(),
            revision: record.revision,
            parts: ops.iter().filter_map(part).collect(),
            rest: (rest != without_routes(earlier)).then_some(rest),
        })
    }

    /// Applies the change to the version with the digest `base` and the content `earlier`. Returns
    /// the record that it makes, and its digest.
    ///
    /// # Errors
    ///
    /// Returns an error if the change is of another version, or makes other routes than its sender's.
    pub(crate) fn apply(
        self,
        base: &RoutesDigest,
        earlier: &Routing,
    ) -> Result<(Record, RoutesDigest), ChangeError> {
        if base.fingerprint() != self.base {
            return Err(ChangeError::OtherBase);
        }
        let mut routes = Vec::with_capacity(earlier.routes.len());
        let mut hashes = Vec::with_capacity(earlier.routes.len());
        for part in self.parts {
            match part {
                Part::Kept(range) => {
                    let kept = earlier.routes.get(range.clone()).zip(base.routes.get(range));
                    let (kept, kept_hashes) = kept.ok_or(ChangeError::OtherResult)?;
                    routes.extend_from_slice(kept);
                    hashes.extend_from_slice(kept_hashes);
                }
                Part::New(new) => {
                    hashes.extend(new.iter().map(hash_of));
                    routes.extend(new);
                }
            }
        }
        let rest_hash = self.rest.as_ref().map_or(base.rest, hash_of);
        let rest = self.rest.unwrap_or_else(|| without_routes(earlier));
        let digest = RoutesDigest {
            version: self.version,
            change: self.change.clone(),
            routes: hashes,
            rest: rest_hash,
        };
        if digest.fingerprint() != self.result {
            return Err(ChangeError::OtherResult);
        }
        let record = Record {
            name: self.name,
            version: self.version,
            change: self.change,
            author: self.author,
            revision: self.revision,
            body: Body::Routing(Arc::new(Routing { routes, ..rest })),
        };
        Ok((record, digest))
    }
}

/// The digest of the routes in force, and the last changes that led to them as sent to peers.
#[derive(Debug, Default)]
pub(crate) struct RoutesHistory {
    digest: Option<RoutesDigest>,
    /// From the earliest change to the latest. Each one changes the result of the one before it.
    steps: VecDeque<Step>,
    /// The whole record as sent to peers, once a peer has needed it.
    whole: Option<Arc<[u8]>>,
}

/// A remembered change.
#[derive(Debug)]
struct Step {
    /// The fingerprint of the version that it changes.
    base: u64,
    encoded: Arc<[u8]>,
}

/// Routes as they are sent to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RoutesUpdate {
    /// The changes from what the peer holds to what is in force, in order.
    Changes(Vec<Arc<[u8]>>),
    /// The whole record.
    Whole(Arc<[u8]>),
}

impl RoutesHistory {
    /// Returns the digest of the routes in force.
    pub(crate) fn digest(&self) -> Option<&RoutesDigest> {
        self.digest.as_ref()
    }

    /// Records that the version with the digest `digest` came into force. `step` is the change from
    /// the version before it as sent to peers; without it, the earlier changes are forgotten.
    pub(crate) fn advance(&mut self, digest: RoutesDigest, step: Option<Arc<[u8]>>) {
        match step.zip(self.digest.as_ref().map(RoutesDigest::fingerprint)) {
            Some((encoded, base)) => self.steps.push_back(Step { base, encoded }),
            None => self.steps.clear(),
        }
        self.digest = Some(digest);
        self.whole = None;
        while self.steps.len() > STEPS_MAX
            || self.steps.len() > 1 && size(self.steps.iter()) > STEPS_MAX_BYTES
        {
            self.steps.pop_front();
        }
    }

    /// Returns what brings a peer up to date that holds the version with the fingerprint `held`: the
    /// changes since, unless some are forgotten or the whole record is smaller. `encode` makes the
    /// whole record as sent to peers. `None` if it can't.
    pub(crate) fn update_from(
        &mut self,
        held: u64,
        encode: impl FnOnce() -> Option<Arc<[u8]>>,
    ) -> Option<RoutesUpdate> {
        let first = self.steps.iter().position(|s| s.base == held);
        let since = first.map(|at| self.steps.range(at..));
        if let Some(steps) = since.clone()
            && self.whole.as_ref().is_none_or(|whole| size(steps.clone()) <= whole.len())
        {
            return Some(RoutesUpdate::Changes(steps.map(|s| s.encoded.clone()).collect()));
        }
        if self.whole.is_none() {
            self.whole = encode();
        }
        self.whole.clone().map(RoutesUpdate::Whole)
    }
}

fn size<'a>(steps: impl Iterator<Item = &'a Step>) -> usize {
    steps.map(|s| s.encoded.len()).sum()
}

fn without_routes(routing: &Routing) -> Routing {
    Routing {
        routes: Vec::new(),
        services: routing.services.clone(),
        head_max_bytes: routing.head_max_bytes,
        teams: routing.teams.clone(),
    }
}

/// Returns a hash of a part of the routes as peers send it.
fn hash_of(part: &impl Serialize) -> u64 {
    let json = serde_json::to_vec(part).expect("routes can be serialized");
    XxHash64::oneshot(0, &json)
}
