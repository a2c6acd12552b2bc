//! Profiles, services and their versions; which version is in force.

use std::cmp::Ordering;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

use crate::config::{Profile, Routing, Service};
use crate::decide::hosts::Host;
use crate::decide::stored::UnreadableVersion;

/// The kind of a record.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum RecordKind {
    /// A profile.
    #[display("profile")]
    Profile,
    /// A service.
    #[display("service")]
    Service,
    /// The routes of a fleet.
    #[display("routing")]
    Routing,
    /// A host of the platform's list.
    #[display("host")]
    Host,
}

/// What a record holds.
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
    /// The record was deleted; its version stays, so that no older one comes back.
    Deleted(RecordKind),
}

/// One version of a profile or service, as the key-value service and digests carry it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The name, unique among records of its kind.
    pub name: Arc<str>,
    /// The version, from 1; 0 for records given in a settings file.
    pub version: u64,
    /// The id of the change that made the version.
    pub change: Arc<str>,
    /// Who published it.
    pub author: Arc<str>,
    /// What it holds.
    pub body: Body,
}

impl Record {
    /// Returns what orders the versions of a record.
    pub(crate) fn precedence(&self) -> (u64, &str) {
        (self.version, &self.change)
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

/// What became of an offered record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OfferOutcome {
    /// It is newer and now in force.
    InForce,
    /// The version is in force already.
    Same,
    /// A newer version is in force.
    Older,
    /// It is newer and can't be read, so the old one stays.
    Unreadable,
}

/// The records in force, sorted by kind and name, and the newer versions that can't be read.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    records: Vec<Record>,
    unreadable: Vec<UnreadableVersion>,
}

/// Deletions of hosts that are remembered: several times the hosts that the largest fleet replaces
/// while its members disagree.
const DELETED_HOSTS_MAX: usize = 2_000;

impl Catalog {
    /// Puts a record into force if it is newer than the one that is.
    ///
    /// Two records of one version exist only where the key-value service was restored from an
    /// older copy and written to again. The greater change id wins on every host, so that hosts
    /// agree whatever order they learn them in.
    pub fn offer(&mut self, record: Record) -> OfferOutcome {
        let (kind, name) = (record.kind(), record.name.clone());
        let found = self.find(kind, &name);
        match found.map(|at| (at, record.precedence().cmp(&self.records[at].precedence()))) {
            Ok((_, Ordering::Less)) => return OfferOutcome::Older,
            Ok((_, Ordering::Equal)) => return OfferOutcome::Same,
            Ok((at, Ordering::Greater)) => self.records[at] = record,
            Err(at) => self.records.insert(at, record),
        }
        if kind == RecordKind::Host {
            self.prune_deleted_hosts();
        }
        self.forget_unreadable(kind, &name);
        OfferOutcome::InForce
    }

    /// Takes note of a version that can't be read.
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

    /// Returns the newer versions that can't be read, sorted by kind and name.
    pub fn unreadable(&self) -> &[UnreadableVersion] {
        &self.unreadable
    }

    /// Returns a hash over kind, name, version and change of every record. Equal catalogs agree
    /// on it.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = XxHash64::default();
        let identity = |r: &Record| (r.kind(), r.name.clone(), r.version, r.change.clone());
        self.records.iter().for_each(|r| identity(r).hash(&mut hasher));
        hasher.finish()
    }

    /// Finds the record in force.
    pub fn get(&self, kind: RecordKind, name: &str) -> Option<&Record> {
        self.find(kind, name).ok().map(|at| &self.records[at])
    }

    /// Returns the records in force.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Returns the services in force that stand under records of their own.
    pub fn services(&self) -> Vec<Arc<Service>> {
        let service = |r: &Record| match &r.body {
            Body::Service(s) => Some(s.clone()),
            _ => None,
        };
        self.records.iter().filter_map(service).collect()
    }

    /// Returns all services in force, also those that come with routes.
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

    /// Returns the routes in force.
    pub fn routing(&self) -> Option<&Arc<Routing>> {
        self.records.iter().find_map(|r| match &r.body {
            Body::Routing(routing) => Some(routing),
            _ => None,
        })
    }

    /// Returns the hosts in force that stand under records of their own.
    pub fn hosts(&self) -> impl Iterator<Item = &Arc<Host>> {
        self.records.iter().filter_map(|r| match &r.body {
            Body::Host(host) => Some(host),
            _ => None,
        })
    }

    /// Returns the same with their versions.
    pub(crate) fn hosts_with_versions(&self) -> Vec<(Arc<Host>, u64)> {
        let host = |r: &Record| match &r.body {
            Body::Host(host) => Some((host.clone(), r.version)),
            _ => None,
        };
        self.records.iter().filter_map(host).collect()
    }

    /// Forgets the older half of the deletions of hosts when there are many, so that they don't
    /// gather for ever.
    fn prune_deleted_hosts(&mut self) {
        let deleted = |r: &&Record| matches!(r.body, Body::Deleted(RecordKind::Host));
        let mut versions: Vec<u64> =
            self.records.iter().filter(deleted).map(|r| r.version).collect();
        if versions.len() <= DELETED_HOSTS_MAX {
            return;
        }
        versions.sort_unstable();
        let oldest_kept = versions[versions.len() / 2];
        self.records.retain(|r| !deleted(&r) || r.version >= oldest_kept);
    }

    fn find(&self, kind: RecordKind, name: &str) -> Result<usize, usize> {
        self.records.binary_search_by(|r| (r.kind(), &*r.name).cmp(&(kind, name)))
    }

    fn forget_unreadable(&mut self, kind: RecordKind, name: &str) {
        let in_force = self.get(kind, name).map(|r| r.version);
        let overtaken = |u: &UnreadableVersion| {
            u.kind == kind && *u.name == *name && (u.version.is_none() || u.version <= in_force)
        };
        self.unreadable.retain(|u| !overtaken(u));
    }
}
