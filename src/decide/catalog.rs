//! The catalog of versioned records, and the rules by which a record version comes into force.

use std::cmp::Ordering;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

use crate::config::{Profile, Routing, Service};
use crate::decide::hosts::Host;
use crate::decide::registered::Revision;
use crate::decide::stored::UnreadableVersion;
use crate::decide::upstream::State;

/// The change id of routing records of releases that decode an empty list of teams as none.
const EMPTY_LIST_LOST_FORMAT: &str = "1";

/// The kind of a [`Record`].
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum RecordKind {
    /// How requests of some kind of traffic are treated, see [`Profile`].
    #[display("profile")]
    Profile,
    /// A service and its upstreams, see [`Service`].
    #[display("service")]
    Service,
    /// The routes of a fleet.
    #[display("routing")]
    Routing,
    /// A host of the platform's list.
    #[display("host")]
    Host,
}

/// The content of a [`Record`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Body {
    /// A profile.
    Profile(Arc<Profile>),
    /// A service.
    Service(Arc<Service>),
    /// The routes of a fleet.
    Routing(Arc<Routing>),
    /// A host of the platform's list.
    Host(Arc<Host>),
    /// The record is deleted. Its version is kept, so that no older version comes back.
    Deleted(RecordKind),
}

impl Body {
    /// Returns what the body says of an upstream: `live`, `leaving` or `gone`. `None` if it is not
    /// about an upstream.
    pub(crate) fn upstream_state(&self) -> Option<&'static str> {
        match self {
            Body::Host(host) if host.state == State::Leaving => Some("leaving"),
            Body::Host(_) => Some("live"),
            Body::Deleted(RecordKind::Host) => Some("gone"),
            _ => None,
        }
    }
}

/// One version of a record, as it is stored and as peers send it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The name, unique within its kind.
    pub name: Arc<str>,
    /// The version, from 1; 0 for a record from a settings file.
    pub version: u64,
    /// The id of the change that created this version.
    pub change: Arc<str>,
    /// Who published this version.
    pub author: Arc<str>,
    /// The point in the history of the platform's registry at which this version was read; `None` if
    /// it doesn't come from there, or if a release that didn't tell has read it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// The content.
    pub body: Body,
}

impl Record {
    /// Returns the key by which versions of a record are ordered: the version, then the change id.
    pub(crate) fn precedence(&self) -> (u64, &str) {
        (self.version, &self.change)
    }

    /// Returns whether this is a routing record of a release that couldn't read teams, so that its
    /// lack of teams means nothing.
    pub(crate) fn is_of_earlier_format(&self) -> bool {
        matches!(self.body, Body::Routing(_)) && self.change.is_empty()
    }

    /// Returns whether this is a routing record without a list of teams of a release that passes an empty
    /// list on as none.
    pub(crate) fn may_lack_teams(&self) -> bool {
        let Body::Routing(routing) = &self.body else { return false };
        routing.teams.is_none() && &*self.change == EMPTY_LIST_LOST_FORMAT
    }

    /// Returns the record as it may be shown: without the keys of teams.
    pub fn without_keys(&self) -> Record {
        match &self.body {
            Body::Routing(routing) if routing.teams.is_some() => {
                Record { body: Body::Routing(Arc::new(routing.without_keys())), ..self.clone() }
            }
            _ => self.clone(),
        }
    }

    /// Returns the record's kind.
    pub fn kind(&self) -> RecordKind {
        match &self.body {
            Body::Profile(_) => RecordKind::Profile,
            Body::Service(_) => RecordKind::Service,
            Body::Routing(_) => RecordKind::Routing,
            Body::Host(_) => RecordKind::Host,
            Body::Deleted(kind) => *kind,
        }
    }
}

/// The result of offering a record to the catalog.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OfferOutcome {
    /// It is newer than the version in force before, and is now in force.
    InForce,
    /// The same version is already in force.
    Same,
    /// A newer version is in force.
    Older,
    /// This release can't read it, and no version at least as new is known to be in force. The
    /// version in force stays.
    Unreadable,
}

/// The records in force, and the newer versions that this release can't read, each sorted by kind
/// and name.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    records: Vec<Record>,
    unreadable: Vec<UnreadableVersion>,
}

/// The number of deleted hosts that are remembered: several times the number of hosts that the
/// largest fleet replaces while its members still have different catalogs.
const DELETED_HOSTS_MAX: usize = 2_000;

impl Catalog {
    /// Puts a record into force if it is newer than the version in force.
    ///
    /// Two different records have the same version only if the key-value service was restored from
    /// an older backup and then written to. The greater change id wins then, so that all hosts
    /// agree, regardless of the order in which they receive the records.
    pub fn offer(&mut self, record: Record) -> OfferOutcome {
        let (kind, name) = (record.kind(), record.name.clone());
        let is_deletion = matches!(record.body, Body::Deleted(RecordKind::Host));
        let found = self.find(kind, &name);
        match found.map(|at| (at, record.precedence().cmp(&self.records[at].precedence()))) {
            Ok((_, Ordering::Less)) => return OfferOutcome::Older,
            Ok((_, Ordering::Equal)) => return OfferOutcome::Same,
            Ok((at, Ordering::Greater)) => self.records[at] = record,
            Err(at) => self.records.insert(at, record),
        }
        if is_deletion {
            self.prune_deleted_hosts();
        }
        self.forget_unreadable(kind, &name);
        OfferOutcome::InForce
    }

    /// Records a version that this release can't read. Returns [`OfferOutcome::Older`] if a version
    /// at least as new is in force, and [`OfferOutcome::Same`] if it is recorded already.
    pub fn record_unreadable(&mut self, unreadable: UnreadableVersion) -> OfferOutcome {
        let in_force = self.get(unreadable.kind, &unreadable.name).map(|r| r.version);
        if unreadable.version.is_some_and(|v| in_force >= Some(v)) {
            return OfferOutcome::Older;
        }
        let key = |u: &UnreadableVersion| (u.kind, u.name.clone());
        match self.unreadable.binary_search_by_key(&key(&unreadable), key) {
            Ok(at) if self.unreadable[at] == unreadable => return OfferOutcome::Same,
            Ok(at) => self.unreadable[at] = unreadable,
            Err(at) => self.unreadable.insert(at, unreadable),
        }
        OfferOutcome::Unreadable
    }

    /// Returns the newer versions that this release can't read, sorted by kind and name.
    pub fn unreadable(&self) -> &[UnreadableVersion] {
        &self.unreadable
    }

    /// Returns a hash over kind, name, version and change id of every record in force. The change id
    /// of a routing record names only the release that decoded it and is left out, so that hosts of
    /// two releases don't compare their catalogs again and again.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = XxHash64::default();
        for record in &self.records {
            let change = match record.kind() {
                RecordKind::Routing => "",
                _ => &*record.change,
            };
            (record.kind(), &*record.name, record.version, change).hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Returns the record in force with this kind and name.
    pub fn get(&self, kind: RecordKind, name: &str) -> Option<&Record> {
        self.find(kind, name).ok().map(|at| &self.records[at])
    }

    /// Returns the records in force, sorted by kind and name.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Returns the services in force that have records of their own.
    pub fn services(&self) -> Vec<Arc<Service>> {
        let service = |r: &Record| match &r.body {
            Body::Service(s) => Some(s.clone()),
            _ => None,
        };
        self.records.iter().filter_map(service).collect()
    }

    /// Returns all services in force, including those defined in the routing record.
    pub fn all_services(&self) -> Vec<Arc<Service>> {
        let routed = self.routing().into_iter().flat_map(|r| &r.services);
        self.services().into_iter().chain(routed.cloned().map(Arc::new)).collect()
    }

    /// Returns the profiles in force.
    pub fn profiles(&self) -> Vec<Arc<Profile>> {
        let profile = |r: &Record| match &r.body {
            Body::Profile(p) => Some(p.clone()),
            _ => None,
        };
        self.records.iter().filter_map(profile).collect()
    }

    /// Returns the routing in force.
    pub fn routing(&self) -> Option<&Arc<Routing>> {
        self.routing_record().and_then(|r| match &r.body {
            Body::Routing(routing) => Some(routing),
            _ => None,
        })
    }

    /// Returns the routing record in force.
    pub(crate) fn routing_record(&self) -> Option<&Record> {
        self.records.iter().find(|r| matches!(r.body, Body::Routing(_)))
    }

    /// Returns the hosts in force.
    pub fn hosts(&self) -> impl Iterator<Item = &Arc<Host>> {
        self.records.iter().filter_map(|r| match &r.body {
            Body::Host(host) => Some(host),
            _ => None,
        })
    }

    /// Drops the older half of the deleted hosts if there are more than [`DELETED_HOSTS_MAX`], so
    /// that they don't accumulate.
    fn prune_deleted_hosts(&mut self) {
        let is_deleted_host = |r: &&Record| matches!(r.body, Body::Deleted(RecordKind::Host));
        let mut versions: Vec<u64> =
            self.records.iter().filter(is_deleted_host).map(|r| r.version).collect();
        if versions.len() <= DELETED_HOSTS_MAX {
            return;
        }
        versions.sort_unstable();
        let oldest_kept = versions[versions.len() / 2];
        self.records.retain(|r| !is_deleted_host(&r) || r.version >= oldest_kept);
    }

    fn find(&self, kind: RecordKind, name: &str) -> Result<usize, usize> {
        self.records.binary_search_by(|r| (r.kind(), &*r.name).cmp(&(kind, name)))
    }

    /// Drops the unreadable version of a record if the version in force is at least as new, or if
    /// the number of the unreadable version is unknown.
    fn forget_unreadable(&mut self, kind: RecordKind, name: &str) {
        let in_force = self.get(kind, name).map(|r| r.version);
        let is_obsolete = |u: &UnreadableVersion| {
            u.kind == kind && *u.name == *name && (u.version.is_none() || u.version <= in_force)
        };
        self.unreadable.retain(|u| !is_obsolete(u));
    }
}
