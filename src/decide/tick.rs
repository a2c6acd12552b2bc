//! The tables of all services, and the systems that run over them each tick.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::config::Service;
use crate::decide::admission::{Admission, Target, Ticket};
use crate::decide::service::{HostInfo, ServiceTable};
use crate::decide::upstream::UpstreamChange;
use crate::time::Time;

/// The tables of all services, sorted by name.
#[derive(Debug)]
pub struct ServiceTables {
    facts: HostInfo,
    others: u32,
    /// Entry hosts that a registry lists; nothing for a fleet whose size the settings bound.
    registered: Option<u32>,
    services: Vec<ServiceTable>,
    /// When each service is next looked at, in the order of the services. Kept apart, so that a tick
    /// touches little of a service without requests.
    due: Vec<Time>,
}

/// A quarter of the entry hosts may have started, and not be listed or heard yet.
const FLEET_MARGIN_DIVISOR: u32 = 4;
/// Time between two looks at a service without requests.
const QUIET_INTERVAL: Duration = Duration::from_millis(100);

/// What a tick decided.
#[derive(Debug, Default)]
pub struct TickOutput {
    /// Decisions on requests that waited, with the service's name.
    pub released: Vec<(Arc<str>, Ticket, Admission)>,
    /// Changes of upstreams, with the service's name.
    pub changes: Vec<(Arc<str>, UpstreamChange)>,
    /// Probes to send, with the service's record.
    pub probes: Vec<(Arc<Service>, Target)>,
}

impl ServiceTables {
    /// Makes an empty set of tables.
    pub fn new(facts: HostInfo) -> ServiceTables {
        ServiceTables { facts, others: 0, registered: None, services: Vec::new(), due: Vec::new() }
    }

    /// Returns all services, sorted by name.
    pub fn services(&self) -> &[ServiceTable] {
        &self.services
    }

    /// Finds a service by name.
    pub fn service(&mut self, name: &str) -> Option<&mut ServiceTable> {
        let at = self.services.binary_search_by(|s| (*s.cfg().name).cmp(name)).ok()?;
        self.due[at] = Time::ZERO;
        Some(&mut self.services[at])
    }

    /// Puts a service record into force.
    pub fn put(&mut self, cfg: Arc<Service>, now: Time) {
        match self.services.binary_search_by(|s| s.cfg().name.cmp(&cfg.name)) {
            Ok(at) => {
                self.services[at].reconfigure(cfg.clone(), now);
                self.services[at].set_upstreams(&cfg.upstreams, now);
                self.due[at] = Time::ZERO;
            }
            Err(at) => {
                let mut table = ServiceTable::new(cfg, self.facts.clone(), now);
                table.set_live_peers(self.others);
                self.services.insert(at, table);
                self.due.insert(at, Time::ZERO);
            }
        }
    }

    /// Returns how many other entry hosts are alive, as far as it is known; else 0.
    pub fn live_peers(&self) -> u32 {
        self.others
    }

    /// Takes note of how many other entry hosts are alive.
    pub fn set_live_peers(&mut self, others: u32) {
        let is_new = self.others != others;
        self.others = others;
        self.services.iter_mut().for_each(|s| s.set_live_peers(others));
        if is_new {
            self.estimate_fleet();
        }
    }

    /// Sets how many entry hosts a registry lists.
    pub fn set_registered_hosts(&mut self, hosts: u32) {
        self.registered = Some(hosts);
        self.estimate_fleet();
    }

    /// Estimates the most entry hosts that there may be from those that are listed and those that are
    /// heard, whichever are more: a host that the registry refuses knows the others all the same.
    fn estimate_fleet(&mut self) {
        let Some(registered) = self.registered.filter(|n| *n > 0 || self.others > 0) else {
            return;
        };
        let known = registered.max(self.others.saturating_add(1));
        let most = known.saturating_add(known.div_ceil(FLEET_MARGIN_DIVISOR));
        if most != self.facts.fleet_size_max {
            self.facts.fleet_size_max = most;
            self.services.iter_mut().for_each(|s| s.set_fleet_size(most));
        }
    }

    /// Forgets what a host that died had shared.
    pub fn forget_peer(&mut self, host: &str) {
        self.services.iter_mut().for_each(|s| s.forget_peer(host));
        self.due.fill(Time::ZERO);
    }

    /// Runs the systems over every table. `owned` tells which upstreams of which service are this
    /// host's to probe.
    pub fn tick(
        &mut self,
        now: Time,
        rng: &mut impl Rng,
        owned: impl Fn(&str, &str) -> bool,
    ) -> TickOutput {
        let mut out = TickOutput::default();
        for (service, due) in self.services.iter_mut().zip(&mut self.due) {
            if now < *due {
                continue;
            }
            service.tick(now);
            for change in service.take_changes() {
                out.changes.push((service.cfg().name.clone(), change));
            }
            for (ticket, admission) in service.release(now, rng) {
                out.released.push((service.cfg().name.clone(), ticket, admission));
            }
            let cfg = service.cfg().clone();
            let probes = service.probes(now, |upstream| owned(&cfg.name, upstream));
            let asked = service.probe_candidates_while_waiting(now, rng);
            out.probes.extend(probes.into_iter().chain(asked).map(|t| (cfg.clone(), t)));
            *due = if service.is_quiet(now) { now + QUIET_INTERVAL } else { Time::ZERO };
        }
        out
    }
}
