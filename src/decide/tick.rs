//! The tables of all services, and their periodic work.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::config::Service;
use crate::decide::admission::{Admission, Target, Ticket};
use crate::decide::digest::UpstreamName;
use crate::decide::limit::{LimitChange, LimitObservation};
use crate::decide::service::{HostInfo, ServiceTable};
use crate::decide::shedding::Shedding;
use crate::decide::upstream::UpstreamChange;
use crate::time::Time;

/// The tables of all services, sorted by name.
#[derive(Debug)]
pub struct ServiceTables {
    host_info: HostInfo,
    shedding: Shedding,
    live_peers: u32,
    /// Number of entry hosts that are known, this one included; `None` for a fleet whose size the
    /// settings limit.
    known_hosts: Option<u32>,
    services: Vec<ServiceTable>,
    /// When each service is next due, in the order of `services`. Kept apart from the tables, so
    /// that a tick touches little memory of a service without requests.
    due: Vec<Time>,
    /// The rate limits of upstreams that the tables don't hold at present, sorted by upstream.
    absent_limits: Vec<(UpstreamName, LimitObservation)>,
    /// The data centres that are evacuated, sorted.
    evacuated: Vec<Arc<str>>,
}

/// The time for which the rate limit of an absent upstream is kept.
const ABSENT_LIMIT_AGE_MAX: Duration = Duration::from_secs(30);
/// The number of rate limits of absent upstreams that are kept.
const ABSENT_LIMITS_MAX: usize = 1_024;
/// The number of known entry hosts divided by this, rounded up, is added to it, for hosts that have
/// started and are not yet heard from.
const FLEET_MARGIN_DIVISOR: u32 = 4;
/// Time between two ticks of a service without requests.
const QUIET_INTERVAL: Duration = Duration::from_millis(100);

/// The decisions of a tick.
#[derive(Debug, Default)]
pub struct TickOutput {
    /// Services from whose upstreams this host is cut off since the last tick (`true`), or no longer.
    pub reach_changes: Vec<(Arc<str>, bool)>,
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
            shedding: Shedding::default(),
            live_peers: 0,
            known_hosts: None,
            services: Vec::new(),
            due: Vec::new(),
            absent_limits: Vec::new(),
            evacuated: Vec::new(),
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

    /// Adds or replaces a service record. An upstream that returns keeps its rate limit, and one that
    /// joins gets the one that peers have told.
    pub fn put(&mut self, cfg: Arc<Service>, now: Time) {
        let name = cfg.name.clone();
        if let Ok(index) = self.services.binary_search_by(|s| s.cfg().name.cmp(&name)) {
            let limits = self.services[index].limits(now);
            let limits: Vec<_> =
                limits.map(|(upstream, limit)| (upstream.clone(), limit)).collect();
            for (upstream, limit) in limits {
                self.keep_limit(&UpstreamName { service: name.clone(), name: upstream }, &limit);
            }
        }
        self.put_record(cfg, now);
        let absent = std::mem::take(&mut self.absent_limits);
        self.absent_limits = absent
            .into_iter()
            .filter(|(upstream, limit)| !self.apply_limit(upstream, limit))
            .collect();
    }

    /// Records what a peer has told of an upstream's rate limit. Returns the change, if there is one
    /// worth recording.
    pub fn import_limit(
        &mut self,
        name: &UpstreamName,
        observation: &LimitObservation,
    ) -> Option<LimitChange> {
        let table = self.service(&name.service);
        match table.filter(|t| t.has_upstream(&name.name)) {
            Some(table) => table.import_limit(&name.name, observation),
            None => {
                self.keep_limit(name, observation);
                None
            }
        }
    }

    /// Applies a kept rate limit. Returns whether its upstream is there.
    fn apply_limit(&mut self, name: &UpstreamName, observation: &LimitObservation) -> bool {
        let table = self.service(&name.service);
        let table = table.filter(|t| t.has_upstream(&name.name));
        table.map(|t| t.import_limit(&name.name, observation)).is_some()
    }

    /// Keeps the newest rate limit of an upstream that may be absent, and none that has ended.
    fn keep_limit(&mut self, name: &UpstreamName, observation: &LimitObservation) {
        let found = self.absent_limits.binary_search_by(|(n, _)| n.cmp(name));
        match found {
            Ok(at) if self.absent_limits[at].1.at >= observation.at => {}
            Ok(at) if observation.per_second.is_none() => drop(self.absent_limits.remove(at)),
            Ok(at) => self.absent_limits[at].1 = *observation,
            Err(_) if observation.per_second.is_none() => {}
            Err(_) if self.absent_limits.len() >= ABSENT_LIMITS_MAX => {}
            Err(at) => self.absent_limits.insert(at, (name.clone(), *observation)),
        }
    }

    fn put_record(&mut self, cfg: Arc<Service>, now: Time) {
        match self.services.binary_search_by(|s| s.cfg().name.cmp(&cfg.name)) {
            Ok(index) => {
                self.services[index].reconfigure(cfg.clone(), now);
                self.services[index].set_upstreams(&cfg.upstreams, now);
                self.due[index] = Time::ZERO;
            }
            Err(index) => {
                let mut table = ServiceTable::new(cfg, self.host_info.clone(), now);
                table.set_live_peers(self.live_peers);
                table.set_shedding(self.shedding);
                table.set_evacuated(&self.evacuated, now);
                self.services.insert(index, table);
                self.due.insert(index, Time::ZERO);
            }
        }
    }

    /// Returns the number of live peers; 0 if it is unknown.
    pub fn live_peers(&self) -> u32 {
        self.live_peers
    }

    /// Sets how requests are chosen that are delayed or refused where upstreams report their
    /// occupancy.
    pub fn set_shedding(&mut self, shedding: Shedding) {
        self.shedding = shedding;
        self.services.iter_mut().for_each(|s| s.set_shedding(shedding));
    }

    /// Sets the number of live peers.
    pub fn set_live_peers(&mut self, live_peers: u32) {
        self.live_peers = live_peers;
        self.services.iter_mut().for_each(|s| s.set_live_peers(live_peers));
    }

    /// Returns the data centres that are evacuated, sorted.
    pub fn evacuated(&self) -> &[Arc<str>] {
        &self.evacuated
    }

    /// Sets which data centres are evacuated, sorted by name: their upstreams get no new requests.
    pub fn set_evacuated(&mut self, data_centres: Vec<Arc<str>>, now: Time) {
        self.services.iter_mut().for_each(|s| s.set_evacuated(&data_centres, now));
        self.evacuated = data_centres;
        self.due.fill(Time::ZERO);
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
        self.absent_limits.retain(|(_, limit)| now.since(limit.at) < ABSENT_LIMIT_AGE_MAX);
        let live_hosts = self.live_peers as usize + 1;
        for table in &mut self.services {
            let service = table.cfg().name.clone();
            table.update_limits(live_hosts, now, |upstream, owners| {
                is_owner(&service, upstream, owners)
            });
        }
    }

    /// Updates which cold upstreams this host may send to. `is_owner` returns whether it is one of a
    /// number of hosts that may send to an upstream, which is given by its service and its name, out of
    /// `hosts` known ones, this one included.
    pub fn update_warm_up(
        &mut self,
        hosts: usize,
        now: Time,
        is_owner: impl Fn(&str, &str, usize) -> bool,
    ) {
        for table in self.services.iter_mut().filter(|t| t.has_warm_up()) {
            let service = table.cfg().name.clone();
            table.update_warm_up(hosts, now, |upstream, owners| {
                is_owner(&service, upstream, owners)
            });
        }
    }

    /// Takes the upstreams of a data centre for cold, see [`ServiceTable::distrust_warmth`].
    pub fn distrust_warmth(&mut self, data_centre: &str, now: Time) {
        self.services.iter_mut().for_each(|t| t.distrust_warmth(data_centre, now));
        self.due.fill(Time::ZERO);
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
            let reach_change = service.take_reach_change(now);
            out.reach_changes.extend(reach_change.map(|lost| (service.cfg().name.clone(), lost)));
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
