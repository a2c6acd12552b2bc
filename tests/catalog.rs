//! Properties of record versions under any sequence of publications, restarts, pauses, partitions,
//! outages, messages of outdated peers and restores of the key-value service from a backup.

use std::sync::Arc;

use cornelferry::catalog::{Body, Catalog, OfferOutcome, Record, RecordKind};
use cornelferry::config::Profile;
use cornelferry::stored::{self, StoredRecord, UnreadableVersion};
use proptest::prelude::*;

const HOSTS: usize = 4;
const NAMES: usize = 2;

#[derive(Clone, Copy, Debug)]
enum Op {
    /// An operator publishes a record. The tool asks the hosts for their versions or can't reach
    /// them.
    Publish { name: usize, asks_hosts: bool },
    /// A host reads the key-value service, and restores newer records to it.
    Load { host: usize },
    /// A host fetches the records of a peer.
    Pull { host: usize, from: usize },
    /// A host receives an old message, from a paused sender, an outdated peer or a late watch.
    LateMessage { host: usize, message: prop::sample::Index },
    /// A host restarts without records, and reads the key-value service and a peer before it is
    /// ready.
    Restart { host: usize, from: usize },
    /// The key-value service is backed up.
    BackUp,
    /// The key-value service is restored from the last backup.
    Restore,
    /// An outage of the key-value service begins or ends.
    Outage { down: bool },
    /// A host receives a version from a newer release that it can't read.
    Unreadable { host: usize, name: usize },
}

fn op() -> impl Strategy<Value = Op> {
    let (host, name) = (0..HOSTS, 0..NAMES);
    prop_oneof![
        4 => (name.clone(), any::<bool>())
            .prop_map(|(name, asks_hosts)| Op::Publish { name, asks_hosts }),
        4 => host.clone().prop_map(|host| Op::Load { host }),
        4 => (host.clone(), host.clone()).prop_map(|(host, from)| Op::Pull { host, from }),
        3 => (host.clone(), any::<prop::sample::Index>())
            .prop_map(|(host, message)| Op::LateMessage { host, message }),
        1 => (host.clone(), host.clone()).prop_map(|(host, from)| Op::Restart { host, from }),
        1 => Just(Op::BackUp),
        1 => Just(Op::Restore),
        1 => any::<bool>().prop_map(|down| Op::Outage { down }),
        1 => (host, name).prop_map(|(host, name)| Op::Unreadable { host, name }),
    ]
}

#[derive(Default)]
struct Model {
    store: Vec<Option<Record>>,
    backup: Vec<Option<Record>>,
    down: bool,
    changes: usize,
    sent: Vec<Record>,
    hosts: Vec<Catalog>,
}

fn precedence(record: Option<&Record>) -> Option<(u64, Arc<str>)> {
    record.map(|r| (r.version, r.change.clone()))
}

fn name(index: usize) -> String {
    format!("p{index}")
}

impl Model {
    fn new() -> Model {
        Model {
            store: vec![None; NAMES],
            backup: vec![None; NAMES],
            hosts: vec![Catalog::default(); HOSTS],
            ..Model::default()
        }
    }

    fn in_force(&self, host: usize, index: usize) -> Option<(u64, Arc<str>)> {
        precedence(self.hosts[host].get(RecordKind::Profile, &name(index)))
    }

    /// Offers a record to a host after encoding and decoding it.
    fn offer(&mut self, host: usize, record: &Record) {
        let bytes = serde_json::to_vec(record).expect("json");
        match stored::read(RecordKind::Profile, &record.name, &bytes) {
            StoredRecord::Readable(decoded) => self.hosts[host].offer(decoded),
            StoredRecord::Unreadable(_) => panic!("unreadable: {record:?}"),
        };
    }

    fn publish(&mut self, index: usize, asks_hosts: bool) {
        let stored = self.store[index].as_ref().map_or(0, |r| r.version);
        let hosts = self.hosts.iter().filter_map(|h| h.get(RecordKind::Profile, &name(index)));
        let newest = hosts.map(|r| r.version).max().filter(|_| asks_hosts).unwrap_or(0);
        self.changes += 1;
        let name: Arc<str> = name(index).into();
        // A later change may have a smaller change id.
        let record = Record {
            name: name.clone(),
            version: stored.max(newest) + 1,
            change: format!("{:x}", self.changes * 7_919 % 97).into(),
            author: "operator".into(),
            revision: None,
            body: Body::Profile(Arc::new(Profile { name, ..Profile::default() })),
        };
        self.store[index] = Some(record.clone());
        self.sent.push(record);
    }

    fn load(&mut self, host: usize) {
        for index in 0..NAMES {
            if let Some(record) = self.store[index].clone() {
                self.offer(host, &record);
            }
            let held = self.hosts[host].get(RecordKind::Profile, &name(index)).cloned();
            if precedence(held.as_ref()) > precedence(self.store[index].as_ref()) {
                self.store[index] = held;
            }
        }
    }

    fn pull(&mut self, host: usize, from: usize) {
        for record in self.hosts[from].records().to_vec() {
            self.offer(host, &record);
        }
    }

    fn receive_unreadable(&mut self, host: usize, index: usize) {
        let before = self.in_force(host, index);
        let version = Some(before.as_ref().map_or(0, |b| b.0) + 1);
        let unreadable =
            UnreadableVersion { kind: RecordKind::Profile, name: name(index).into(), version };
        let outcome = self.hosts[host].record_unreadable(unreadable.clone());
        assert!(matches!(outcome, OfferOutcome::Unreadable | OfferOutcome::Same));
        assert!(self.hosts[host].unreadable().contains(&unreadable));
        assert_eq!(self.in_force(host, index), before);
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Publish { name, asks_hosts } if !self.down => self.publish(name, asks_hosts),
            Op::Load { host } if !self.down => self.load(host),
            Op::Pull { host, from } => self.pull(host, from),
            Op::LateMessage { host, message } if !self.sent.is_empty() => {
                let record = message.get(&self.sent).clone();
                self.offer(host, &record);
            }
            Op::Restart { host, from } if !self.down && host != from => {
                self.hosts[host] = Catalog::default();
                self.load(host);
                self.pull(host, from);
            }
            Op::BackUp => self.backup = self.store.clone(),
            Op::Restore => self.store = self.backup.clone(),
            Op::Outage { down } => self.down = down,
            Op::Unreadable { host, name } => self.receive_unreadable(host, name),
            Op::Publish { .. } | Op::Load { .. } | Op::LateMessage { .. } | Op::Restart { .. } => {}
        }
    }
}

proptest! {
    #[test]
    fn versions_never_decrease_and_all_hosts_agree_in_the_end(
        ops in prop::collection::vec(op(), 1..80),
    ) {
        let mut model = Model::new();
        for op in ops {
            let in_force = |m: &Model, host| (0..NAMES).map(|n| m.in_force(host, n)).collect();
            let before: Vec<Vec<_>> = (0..HOSTS).map(|h| in_force(&model, h)).collect();
            model.apply(op);
            for (host, before) in before.iter().enumerate() {
                let restarted = matches!(op, Op::Restart { host: h, .. } if h == host);
                for (index, old) in before.iter().enumerate() {
                    prop_assert!(restarted || model.in_force(host, index) >= *old, "{op:?}");
                }
            }
            if let Op::Restart { host, from } = op && !model.down && host != from {
                for index in 0..NAMES {
                    prop_assert!(model.in_force(host, index) >= model.in_force(from, index));
                }
            }
            for catalog in &model.hosts {
                let is_obsolete = catalog.unreadable().iter().any(|u| {
                    catalog.get(u.kind, &u.name).map(|r| r.version) >= u.version
                });
                prop_assert!(!is_obsolete, "a version in force counts as unreadable");
            }
        }
        let newest: Vec<_> = (0..NAMES)
            .map(|index| {
                let hosts = (0..HOSTS).map(|h| model.in_force(h, index)).max().flatten();
                hosts.max(precedence(model.store[index].as_ref()))
            })
            .collect();
        model.down = false;
        (0..HOSTS).chain(0..HOSTS).for_each(|host| model.load(host));
        for host in 0..HOSTS {
            let held: Vec<_> = (0..NAMES).map(|index| model.in_force(host, index)).collect();
            prop_assert_eq!(&held, &newest);
            prop_assert_eq!(model.hosts[host].fingerprint(), model.hosts[0].fingerprint());
        }
    }
}
