//! The choice of the peer to which a host passes on a request whose upstreams it can't reach.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::decide::member::Member;
use crate::time::Time;

/// The time for which a peer that couldn't help with a service gets no further requests to it.
const UNAVAILABLE_PERIOD: Duration = Duration::from_secs(1);

/// The peers that could not help with requests to a service lately.
#[derive(Debug, Default)]
pub(crate) struct RelayPeers {
    /// Sorted by service and host.
    unavailable: Vec<Unavailable>,
}

#[derive(Debug)]
struct Unavailable {
    service: Arc<str>,
    host: Arc<str>,
    until: Time,
}

/// A peer to which a request may be passed on.
#[derive(Clone, Debug)]
pub(crate) struct RelayPeer {
    pub(crate) host: Arc<str>,
    pub(crate) ip: IpAddr,
}

impl RelayPeers {
    /// Chooses one of the peers `alive` at random, without those that are shutting down and those
    /// that could not help with this service lately.
    pub(crate) fn choose<'a>(
        &mut self,
        service: &str,
        alive: impl Iterator<Item = &'a Member>,
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<RelayPeer> {
        self.unavailable.retain(|u| u.until > now);
        let is_available = |m: &&Member| !m.left && self.find(service, &m.host).is_err();
        let chosen = alive.filter(is_available).choose(rng)?;
        Some(RelayPeer { host: chosen.host.clone(), ip: chosen.address.ip() })
    }

    /// Records that a peer could not help with a request to a service.
    pub(crate) fn set_unavailable(&mut self, service: &Arc<str>, host: &Arc<str>, now: Time) {
        let until = now + UNAVAILABLE_PERIOD;
        match self.find(service, host) {
            Ok(at) => self.unavailable[at].until = until,
            Err(at) => {
                let (service, host) = (service.clone(), host.clone());
                self.unavailable.insert(at, Unavailable { service, host, until });
            }
        }
    }

    fn find(&self, service: &str, host: &str) -> Result<usize, usize> {
        self.unavailable.binary_search_by(|u| (&*u.service, &*u.host).cmp(&(service, host)))
    }
}
