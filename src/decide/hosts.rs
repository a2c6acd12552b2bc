//! The platform's list of upstreams and entry hosts, and which of them are leaving.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::{Service, Upstream};
use crate::decide::upstream::State;
use crate::settings::Peer;

/// The role of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It runs cornelferry.
    Entry,
    /// It runs an upstream.
    Upstream,
}

/// A host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The host's name.
    pub name: Arc<str>,
    /// The address on which it serves requests.
    pub address: SocketAddr,
    /// The host's data centre.
    pub data_centre: Arc<str>,
    /// Whether it is an entry host or an upstream.
    pub role: Role,
    /// The service that an upstream belongs to.
    #[serde(default)]
    pub service: Option<Arc<str>>,
    /// Whether it is live or leaving.
    #[serde(default)]
    pub state: State,
    /// The number of requests that an upstream runs concurrently; 0 if only its service's record
    /// states it.
    #[serde(default)]
    pub slots: u32,
    /// The address on which an entry host accepts peers.
    #[serde(default)]
    pub peer: Option<SocketAddr>,
    /// The admin address of an entry host.
    #[serde(default)]
    pub admin: Option<SocketAddr>,
    /// When an upstream's process started, in milliseconds since the Unix epoch, if it says so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<u64>,
}

/// A version of the host list. The list lags behind the real state of the hosts, and an older
/// version may arrive after a newer one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Increases with each change.
    pub version: u64,
    /// The hosts of this version.
    pub hosts: Vec<Host>,
}

impl HostList {
    /// Returns whether this version replaces `current`: it is newer, and doesn't drop every host,
    /// which is taken for a fault of the platform.
    pub fn replaces(&self, current: &HostList) -> bool {
        let drops_all = self.hosts.is_empty() && !current.hosts.is_empty();
        self.version > current.version && !drops_all
    }

    /// Returns the entry hosts that have a peer address, except the one named `own`.
    pub fn peers(&self, own: &str) -> Vec<Peer> {
        let peer = |h: &Host| {
            let address = h.peer.filter(|_| h.role == Role::Entry && *h.name != *own)?;
            Some(Peer { host: h.name.clone(), data_centre: h.data_centre.clone(), address })
        };
        self.hosts.iter().filter_map(peer).collect()
    }

    /// Returns the number of entry hosts.
    pub fn entry_host_count(&self) -> u32 {
        let listed = self.hosts.iter().filter(|h| h.role == Role::Entry).count();
        u32::try_from(listed).unwrap_or(u32::MAX)
    }

    /// Returns a service with the upstreams of the list added to its own. If both contain an
    /// upstream of the same name, the one of the list is used. The service's number of slots is
    /// replaced by the largest one that the list states for an upstream of the service, if any.
    pub fn with_listed_upstreams(&self, service: &Service) -> Service {
        let listed: Vec<Upstream> = self.upstreams_of(&service.name).map(upstream).collect();
        let own = service.upstreams.iter().filter(|u| listed.iter().all(|l| l.name != u.name));
        let upstreams = own.cloned().chain(listed.iter().cloned()).collect();
        let slots = self.upstreams_of(&service.name).map(|h| h.slots).max().unwrap_or(0);
        let slots = if slots > 0 { slots } else { service.slots };
        Service { upstreams, slots, ..service.clone() }
    }

    /// Returns the listed upstreams of a service.
    pub fn upstreams_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Host> {
        let is_upstream =
            move |h: &&Host| h.role == Role::Upstream && h.service.as_deref() == Some(service);
        self.hosts.iter().filter(is_upstream)
    }

    /// Returns the upstreams of a service that have another start time than in `previous`, so that
    /// a new process runs under the same name.
    pub fn restarted_upstreams<'a>(
        &'a self,
        previous: &'a HostList,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Host> {
        let mut born: Vec<(&str, u64)> =
            previous.upstreams_of(service).filter_map(|h| Some((&*h.name, h.born?))).collect();
        born.sort_unstable();
        self.upstreams_of(service).filter(move |h| {
            let before = born.binary_search_by_key(&&*h.name, |(name, _)| name);
            before.is_ok_and(|at| h.born.is_some_and(|b| b != born[at].1))
        })
    }

    /// Returns the upstreams of a service whose state differs from the one in `previous`. Upstreams
    /// that `previous` doesn't contain count as live there.
    pub fn changed_upstreams<'a>(
        &'a self,
        previous: &'a HostList,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Host> {
        let mut known: Vec<(&str, State)> =
            previous.upstreams_of(service).map(|h| (&*h.name, h.state)).collect();
        known.sort_unstable_by_key(|(name, _)| *name);
        let state = move |name: &str| {
            let found = known.binary_search_by_key(&name, |(name, _)| name);
            found.map_or(State::Live, |at| known[at].1)
        };
        self.upstreams_of(service).filter(move |h| h.state != state(&h.name))
    }
}

fn upstream(host: &Host) -> Upstream {
    Upstream {
        name: host.name.clone(),
        address: host.address,
        data_centre: host.data_centre.clone(),
    }
}
