//! The platform's list of hosts: which upstreams and entry hosts there are, and which are leaving.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::{Service, Upstream};
use crate::decide::upstream::State;
use crate::settings::Peer;

/// What a host does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It runs cornelferry.
    Entry,
    /// It runs an upstream of a service.
    Upstream,
}

/// One host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub name: Arc<str>,
    /// Where it serves.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// What it does.
    pub role: Role,
    /// The service of an upstream.
    #[serde(default)]
    pub service: Option<Arc<str>>,
    /// Whether it is leaving.
    #[serde(default)]
    pub state: State,
    /// Requests that an upstream runs at a time; 0 if only its service tells.
    #[serde(default)]
    pub slots: u32,
    /// Where an entry host listens for other entry hosts.
    #[serde(default)]
    pub peer: Option<SocketAddr>,
    /// Where an entry host listens for operators.
    #[serde(default)]
    pub admin: Option<SocketAddr>,
}

/// A version of the list. The list lags behind the hosts, and an older version may come late.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Rises with each change.
    pub version: u64,
    /// The hosts.
    pub hosts: Vec<Host>,
}

impl HostList {
    /// Tells whether this version takes the place of `held`. A list that has lost every host is
    /// taken for a fault of the platform.
    pub fn replaces(&self, held: &HostList) -> bool {
        let emptied = self.hosts.is_empty() && !held.hosts.is_empty();
        self.version > held.version && !emptied
    }

    /// Returns the entry hosts that can be reached by others, but for `own`.
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

    /// Returns a service record with the upstreams of the list beside its own. Where both name
    /// one, the list is right.
    pub fn with_listed_upstreams(&self, service: &Service) -> Service {
        let listed: Vec<Upstream> = self.upstreams_of(&service.name).map(upstream).collect();
        let own = service.upstreams.iter().filter(|u| listed.iter().all(|l| l.name != u.name));
        let upstreams = own.cloned().chain(listed.iter().cloned()).collect();
        let slots = self.upstreams_of(&service.name).map(|h| h.slots).max().unwrap_or(0);
        let slots = if slots > 0 { slots } else { service.slots };
        Service { upstreams, slots, ..service.clone() }
    }

    /// Returns the upstreams of a service.
    pub fn upstreams_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Host> {
        let mine =
            move |h: &&Host| h.role == Role::Upstream && h.service.as_deref() == Some(service);
        self.hosts.iter().filter(mine)
    }

    /// Returns the upstreams of a service whose state differs from what `held` says. Upstreams
    /// that `held` doesn't know count as live there.
    pub fn changed_upstreams<'a>(
        &'a self,
        held: &'a HostList,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Host> {
        let state = |name: &str| {
            let known = held.upstreams_of(service).find(|h| *h.name == *name);
            known.map_or(State::Live, |h| h.state)
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
