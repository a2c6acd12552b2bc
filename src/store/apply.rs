//! Applies records and host lists to the catalog, the member list and the service tables.

use std::sync::Arc;

use crate::config::Service;
use crate::decide::catalog::{Body, OfferOutcome, Record, RecordKind};
use crate::decide::hosts::{Host, HostList};
use crate::decide::stored::{self, StoredRecord, UnreadableVersion};
use crate::decide::tick::ServiceTables;
use crate::event::{EventCode, Subject};
use crate::node::Node;
use crate::settings::Peer;
use crate::store::call::Entry;
use crate::store::keys::Keys;
use crate::time::Time;

impl Node {
    /// Offers stored records to the catalog. A version that this release can't read is recorded as
    /// such and leaves the older one in force.
    pub(crate) fn offer_entries(&self, keys: &Keys, entries: &[Entry]) {
        let mut readable = Vec::new();
        for entry in entries {
            let Some((kind, name)) = keys.parse(&entry.key) else { continue };
            match stored::read(kind, name, &entry.value) {
                StoredRecord::Readable(record) => readable.push(record),
                StoredRecord::Unreadable(unreadable) => self.record_unreadable(unreadable),
            }
        }
        self.offer(readable);
    }

    /// Applies a host list made of the host records in the catalog and the registered entry hosts.
    pub(crate) fn apply_host_records(&self) {
        let catalog = self.catalog.lock();
        let entry_hosts = self.entry_hosts.lock();
        let hosts: Vec<Host> =
            catalog.hosts().chain(entry_hosts.iter()).map(|h| Host::clone(h)).collect();
        drop((catalog, entry_hosts));
        let version = self.host_list.lock().version + 1;
        self.apply_hosts(HostList { version, hosts });
    }

    /// Replaces the registered entry hosts and applies the resulting host list.
    pub(crate) fn set_entry_hosts(&self, hosts: Vec<Arc<Host>>) {
        *self.entry_hosts.lock() = hosts;
        self.apply_host_records();
    }

    /// Applies a host list to the members and the service tables if it replaces the current one
    /// (see [`HostList::replaces`]). Returns whether it does.
    pub(crate) fn apply_hosts(&self, list: HostList) -> bool {
        let catalog = self.catalog.lock();
        let mut current = self.host_list.lock();
        if !list.replaces(&current) {
            return false;
        }
        let now = self.clock.now();
        let mut peers = list.peers(&self.settings.host);
        let listed = |p: &Peer| list.hosts.iter().any(|h| h.name == p.host);
        peers.extend(self.settings.peers.iter().filter(|p| !listed(p)).cloned());
        self.members.lock().set_listed(&peers, now);
        let mut tables = self.tables.lock();
        for service in catalog.all_services() {
            let complete = self.complete_service(&list, &service);
            let is_unchanged = |t: &mut _| Self::has_upstreams(t, &complete);
            if !tables.service(&service.name).is_some_and(is_unchanged) {
                self.put_table(&mut tables, Arc::new(complete), now);
            }
            let Some(table) = tables.service(&service.name) else { continue };
            for host in list.restarted_upstreams(&current, &service.name) {
                table.restart(&host.name, now);
            }
            for host in list.changed_upstreams(&current, &service.name) {
                self.set_state(table, &host.name, host.state, now);
            }
        }
        *current = list;
        true
    }

    /// Applies a record that came into force to the service tables. A deleted service keeps its
    /// table without upstreams, so that requests in flight can finish.
    pub(crate) fn apply_record(&self, record: &Record) {
        let now = self.clock.now();
        let current = self.host_list.lock();
        let mut tables = self.tables.lock();
        match &record.body {
            Body::Service(service) => {
                let complete = self.complete_service(&current, service);
                self.update_table(&mut tables, &current, complete, now);
            }
            Body::Deleted(RecordKind::Service) => {
                let Some(table) = tables.service(&record.name) else { return };
                let cfg = Service::clone(table.cfg());
                let without_upstreams = Service { upstreams: Vec::new(), ..cfg };
                self.update_table(&mut tables, &current, without_upstreams, now);
            }
            Body::Routing(routing) => {
                for service in &routing.services {
                    let complete = self.complete_service(&current, service);
                    let is_unchanged =
                        tables.service(&service.name).is_some_and(|t| **t.cfg() == complete);
                    if !is_unchanged {
                        self.update_table(&mut tables, &current, complete, now);
                    }
                }
            }
            Body::Profile(_) | Body::Host(_) | Body::Deleted(_) => {}
        }
    }

    /// Applies the budgets of reloaded settings to every service.
    pub(crate) fn apply_budgets(&self) {
        let catalog = self.catalog.lock();
        let current = self.host_list.lock();
        let mut tables = self.tables.lock();
        let now = self.clock.now();
        for service in catalog.all_services() {
            let complete = self.complete_service(&current, &service);
            self.update_table(&mut tables, &current, complete, now);
        }
    }

    /// Returns a service record with the upstreams of a host list added and the budgets of the
    /// settings.
    fn complete_service(&self, list: &HostList, service: &Service) -> Service {
        let mut complete = list.with_listed_upstreams(service);
        if let Some(registry) = &self.latest_settings().registry {
            registry.set_budgets(&mut complete);
        }
        complete
    }

    /// Updates a service's table, and sets the states of its upstreams from the host list.
    fn update_table(
        &self,
        tables: &mut ServiceTables,
        current: &HostList,
        service: Service,
        now: Time,
    ) {
        let name = service.name.clone();
        self.put_table(tables, Arc::new(service), now);
        let Some(table) = tables.service(&name) else { return };
        let empty = HostList::default();
        let not_live = current.changed_upstreams(&empty, &name);
        not_live.for_each(|h| self.set_state(table, &h.name, h.state, now));
    }

    /// Records a newer version that this release can't read, with an event the first time.
    pub(crate) fn record_unreadable(&self, unreadable: UnreadableVersion) {
        let subject = Subject {
            record: Some(format!("{}/{}", unreadable.kind, unreadable.name).into()),
            ..Subject::default()
        };
        let version = unreadable.version;
        if self.catalog.lock().record_unreadable(unreadable) == OfferOutcome::Unreadable {
            self.events.record(EventCode::RecordUnreadable, subject, version);
        }
    }

    /// Returns whether a table already has the upstreams of a service record.
    fn has_upstreams(table: &crate::decide::service::ServiceTable, complete: &Service) -> bool {
        table.cfg().upstreams == complete.upstreams
    }
}
