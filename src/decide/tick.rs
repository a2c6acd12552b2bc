//! The tables of all services, and their periodic work.

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
    host_info: HostInfo,
    live_peers: u32,
    /// Number of entry hosts that are known, this one included; `None` for a fleet whose size the
    /// settings limit.
    known_hosts: Option<u32>,
    services: Vec<ServiceTable>,
    /// When each service is next due, in the order of `services`. Kept apart from the tables, so
    /// that a tick touches little memory of a service without requests.
    due: Vec<Time>,
}

/// The number of known entry hosts divided by this, rounded up, is added to it, for hosts that have
/// started and are not yet heard from.
const FLEET_MARGIN_DIVISOR: u32 = 4;
/// Time between two ticks of a service without requests.
const QUIET_INTERVAL: Duration = Duration::from_millis(100);

/// The decisions of a tick.
#[derive(Debug, Default)]
pub struct TickOutput {
    /// Decisions on queued requests, each with its service's name.
    pub released: Vec<(Arc<str>, Ticket, Admission)>,
    /// Changes of upstreams, each with its service's name.
    pub changes: Vec<(Arc<str>, UpstreamChange)>,
    /// Probes to send, each with its service's record.
    pub probes: Vec<(Arc<Service>, Target)>,
}

impl ServiceTables {
    /// Creates an empty set of tables.
    pub fn new(host_info: HostInfo) -> ServiceTables {
        ServiceTables {
            host_info,
            live_peers: 0,
            known_hosts: None,
            services: Vec::new(),
            due: Vec::new(),
        }
    }

    /// Returns the tables, sorted by the services' names.
    pub fn services(&self) -> &[ServiceTable] {
        &self.services
    }

    /// Returns the table of a service by its name, and makes it due at the next tick.
    pub fn service(&mut self, name: &str) -> Option<&mut ServiceTable> {
        let index = self.services.binary_search_by(|s| (*s.cfg().name).cmp(name)).ok()?;
        self.due[index] = Time::ZERO;
        Some(&mut self.services[index])
    }

    /// Adds or replaces a service record.
    pub fn put(&mut self, cfg: Arc<Service>, now: Time) {
        match self.services.binary_search_by(|s| s.cfg().name.cmp(&cfg.name)) {
            Ok(index) => {
                self.services[index].reconfigure(cfg.clone(), now);
                self.services[index].set_upstreams(&cfg.upstreams, now);
                self.due[index] = Time::ZERO;
            }
            Err(index) => {
                let mut table = ServiceTable::new(cfg, self.host_info.clone(), now);
                table.set_live_peers(self.live_peers);
                self.services.insert(index, table);
                self.due.insert(index, Time::ZERO);
            }
        }
    }

    /// Returns the number of live peers; 0 if it is unknown.
    pub fn live_peers(&self) -> u32 {
        self.live_peers
    }

    /// Sets the number of live peers.
    pub fn set_live_peers(&mut self, live_peers: u32) {
        self.live_peers = live_peers;
        self.services.iter_mut().for_each(|s| s.set_live_peers(live_peers));
    }

    /// Returns the number of entry hosts by which fleet-wide budgets are divided.
    pub fn fleet_size(&self) -> u32 {
        self.host_info.fleet_size_max
    }

    /// Sets the number of entry hosts that are known, this one included, whether alive or not: a
    /// host that is cut off must not take over the others' shares of the budgets.
    pub fn set_known_hosts(&mut self, hosts: u32) {
        if self.known_hosts == Some(hosts) {
            return;
        }
        self.known_hosts = Some(hosts);
        let size_max = hosts.saturating_add(hosts.div_ceil(FLEET_MARGIN_DIVISOR));
        if size_max != self.host_info.fleet_size_max {
            self.host_info.fleet_size_max = size_max;
            self.services.iter_mut().for_each(|s| s.set_fleet_size(size_max));
        }
    }

    /// Updates which rate limits this host owns. `is_owner` returns whether it is one of a number of
    /// owners of the limit of an upstream, which is given by its service and its name.
    pub fn update_limits(&mut self, now: Time, is_owner: impl Fn(&str, &str, usize) -> bool) {
        let live_hosts = self.live_peers as usize + 1;
        for table in &mut self.services {
            let service = table.cfg().name.clone();
            table.update_limits(live_hosts, now, |upstream, owners| {
                is_owner(&service, upstream, owners)
            });
        }
    }

    /// Forgets the reports of a peer that died.
    pub fn forget_peer(&mut self, host: &str) {
        self.services.iter_mut().for_each(|s| s.forget_peer(host));
        self.due.fill(Time::ZERO);
    }

    /// Runs the periodic work of every table that is due. `owned` returns whether an upstream of a
    /// service, each given by name, is assigned to this host for probing.
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
            let waiting_probes = service.probe_candidates_while_waiting(now, rng);
            out.probes.extend(probes.into_iter().chain(waiting_probes).map(|t| (cfg.clone(), t)));
            *due = if service.is_quiet(now) { now + QUIET_INTERVAL } else { Time::ZERO };
        }
        out
    }
}
