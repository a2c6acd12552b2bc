//! Puts what the platform says into the tables.

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
    /// Offers stored records to the catalog. Versions that this release can't read are noted and
    /// leave the older ones in force.
    pub(crate) fn offer_entries(&self, keys: &Keys, entries: &[Entry]) {
        let mut readable = Vec::new();
        for entry in entries {
            let Some((kind, name)) = keys.parse(&entry.key) else { continue };
            match stored::read(kind, name, &entry.value) {
                StoredRecord::Readable(record) => readable.push(record),
                StoredRecord::Unreadable(unreadable) => self.note_unreadable(unreadable),
            }
        }
        self.offer(readable);
    }

    /// Puts the hosts that stand under records of their own into force.
    pub(crate) fn apply_host_records(&self) {
        let catalog = self.catalog.lock();
        let entry_hosts = self.entry_hosts.lock();
        let hosts: Vec<Host> =
            catalog.hosts().chain(entry_hosts.iter()).map(|h| Host::clone(h)).collect();
        drop((catalog, entry_hosts));
        let version = self.host_list.lock().version + 1;
        self.apply_hosts(HostList { version, hosts });
    }

    /// Replaces the registered entry hosts.
    pub(crate) fn set_entry_hosts(&self, hosts: Vec<Arc<Host>>) {
        *self.entry_hosts.lock() = hosts;
        self.apply_host_records();
    }

    /// Puts a newer host list into force. Returns whether it was newer.
    pub(crate) fn apply_hosts(&self, list: HostList) -> bool {
        let catalog = self.catalog.lock();
        let mut held = self.host_list.lock();
        if !list.replaces(&held) {
            return false;
        }
        let now = self.clock.now();
        let mut peers = list.peers(&self.settings.host);
        let listed = |p: &Peer| list.hosts.iter().any(|h| h.name == p.host);
        peers.extend(self.settings.peers.iter().filter(|p| !listed(p)).cloned());
        self.members.lock().set_listed(&peers, now);
        let mut tables = self.tables.lock();
        if self.settings.registry.is_some() {
            tables.set_registered_hosts(list.entry_host_count());
        }
        for service in catalog.all_services() {
            let complete = self.complete(&list, &service);
            let same = |t: &mut _| Self::has_upstreams(t, &complete);
            if !tables.service(&service.name).is_some_and(same) {
                self.put_table(&mut tables, Arc::new(complete), now);
            }
            let Some(table) = tables.service(&service.name) else { continue };
            for host in list.changed_upstreams(&held, &service.name) {
                self.set_state(table, &host.name, host.state, now);
            }
        }
        *held = list;
        true
    }

    /// Puts a record that came into force into the tables. A deleted service keeps its table
    /// without upstreams, so that requests in flight can end.
    pub(crate) fn apply_record(&self, record: &Record) {
        let now = self.clock.now();
        let held = self.host_list.lock();
        let mut tables = self.tables.lock();
        match &record.body {
            Body::Service(service) => {
                let complete = self.complete(&held, service);
                self.put_complete(&mut tables, &held, complete, now);
            }
            Body::Deleted(RecordKind::Service) => {
                let Some(table) = tables.service(&record.name) else { return };
                let cfg = Service::clone(table.cfg());
                let emptied = Service { upstreams: Vec::new(), ..cfg };
                self.put_complete(&mut tables, &held, emptied, now);
            }
            Body::Routing(routing) => {
                for service in &routing.services {
                    let complete = self.complete(&held, service);
                    let same = tables.service(&service.name).is_some_and(|t| **t.cfg() == complete);
                    if !same {
                        self.put_complete(&mut tables, &held, complete, now);
                    }
                }
            }
            Body::Profile(_) | Body::Host(_) | Body::Deleted(_) => {}
        }
    }

    /// Puts the budgets of newer settings into every service.
    pub(crate) fn apply_budgets(&self) {
        let catalog = self.catalog.lock();
        let held = self.host_list.lock();
        let mut tables = self.tables.lock();
        let now = self.clock.now();
        for service in catalog.all_services() {
            let complete = self.complete(&held, &service);
            self.put_complete(&mut tables, &held, complete, now);
        }
    }

    /// Returns a service record with the upstreams of a host list and the budgets of the settings.
    fn complete(&self, list: &HostList, service: &Service) -> Service {
        let mut complete = list.with_listed_upstreams(service);
        if let Some(registry) = &self.latest_settings().registry {
            registry.set_budgets(&mut complete);
        }
        complete
    }

    /// Puts a service into the tables, with what the host list says of its upstreams' states.
    fn put_complete(
        &self,
        tables: &mut ServiceTables,
        held: &HostList,
        service: Service,
        now: Time,
    ) {
        let name = service.name.clone();
        self.put_table(tables, Arc::new(service), now);
        let Some(table) = tables.service(&name) else { return };
        let nothing = HostList::default();
        let leaving = held.changed_upstreams(&nothing, &name);
        leaving.for_each(|h| self.set_state(table, &h.name, h.state, now));
    }

    /// Takes note of a version that this release can't read.
    pub(crate) fn note_unreadable(&self, unreadable: UnreadableVersion) {
        let subject = Subject {
            record: Some(format!("{}/{}", unreadable.kind, unreadable.name).into()),
            ..Subject::default()
        };
        let version = unreadable.version;
        if self.catalog.lock().record_unreadable(unreadable) == OfferOutcome::Unreadable {
            self.events.record(EventCode::RecordUnreadable, subject, version);
        }
    }

    fn has_upstreams(table: &crate::decide::service::ServiceTable, complete: &Service) -> bool {
        table.cfg().upstreams == complete.upstreams
    }
}
