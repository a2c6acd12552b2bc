//! Profiles, services and their versions; which version is in force.

use std::hash::{Hash, Hasher};
use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

use crate::config::{Profile, Service};

/// The kind of a record.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A profile.
    #[display("profile")]
    Profile,
    /// A service.
    #[display("service")]
    Service,
}

/// What a record holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Body {
    /// A profile.
    Profile(Arc<Profile>),
    /// A service.
    Service(Arc<Service>),
    /// The record was deleted; its version stays, so that no older one comes back.
    Deleted(Kind),
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
    /// Returns the record's kind.
    pub fn kind(&self) -> Kind {
        match &self.body {
            Body::Profile(_) => Kind::Profile,
            Body::Service(_) => Kind::Service,
            Body::Deleted(kind) => *kind,
        }
    }
}

/// What became of an offered record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Offered {
    /// It is newer and now in force.
    InForce,
    /// The version is in force already.
    Same,
    /// A newer version is in force.
    Older,
}

/// The records in force, sorted by kind and name.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    records: Vec<Record>,
}

impl Catalog {
    /// Puts a record into force if it is newer than the one that is.
    pub fn offer(&mut self, record: Record) -> Offered {
        let key = |r: &Record| (r.kind(), r.name.clone());
        match self.records.binary_search_by_key(&key(&record), key) {
            Err(at) => self.records.insert(at, record),
            Ok(at) if self.records[at].version > record.version => return Offered::Older,
            Ok(at) if self.records[at].version == record.version => return Offered::Same,
            Ok(at) => self.records[at] = record,
        }
        Offered::InForce
    }

    /// Returns a hash over kind, name and version of every record. Equal catalogs agree on it.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = XxHash64::default();
        self.records.iter().for_each(|r| (r.kind(), &r.name, r.version).hash(&mut hasher));
        hasher.finish()
    }

    /// Finds the record in force.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Record> {
        let found = self.records.binary_search_by(|r| (r.kind(), &*r.name).cmp(&(kind, name)));
        found.ok().map(|at| &self.records[at])
    }

    /// Returns the records in force.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Returns the services in force.
    pub fn services(&self) -> Vec<Arc<Service>> {
        let service = |r: &Record| match &r.body {
            Body::Service(s) => Some(s.clone()),
            _ => None,
        };
        self.records.iter().filter_map(service).collect()
    }

    /// Returns the profiles in force.
    pub fn profiles(&self) -> Vec<Arc<Profile>> {
        let profile = |r: &Record| match &r.body {
            Body::Profile(p) => Some(p.clone()),
            _ => None,
        };
        self.records.iter().filter_map(profile).collect()
    }
}
