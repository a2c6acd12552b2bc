//! Properties of record versions: publications, restarts, pauses, partitions, outages, old peers
//! and a key-value service restored from an older copy, in any order.

use std::sync::Arc;

use cornelferry::catalog::{Body, Catalog, OfferOutcome, Record, RecordKind};
use cornelferry::config::Profile;
use cornelferry::stored::{self, StoredRecord, UnreadableVersion};
use proptest::prelude::*;

const HOSTS: usize = 4;
const NAMES: usize = 2;

#[derive(Clone, Copy, Debug)]
enum Op {
    /// An operator publishes; the tool asks the hosts or can't reach them.
    Publish {
        name: usize,
        asks_hosts: bool,
    },
    /// A host reads the key-value service, and mends it where it is behind.
    Load {
        host: usize,
    },
    /// A host takes in a peer's records.
    Pull {
        host: usize,
        from: usize,
    },
    /// A host takes in what a paused sender, an old peer or a late watch had sent long ago.
    Late {
        host: usize,
        message: prop::sample::Index,
    },
    /// A host is replaced by one that knows nothing and loads before it is ready.
    Restart {
        host: usize,
        from: usize,
    },
    /// A copy of the key-value service is made, or the newest copy takes its place.
    Copy,
    Restore,
    Outage {
        down: bool,
    },
    /// A newer release publishes what these hosts can't read.
    Unreadable {
        host: usize,
        name: usize,
    },
}

fn op() -> impl Strategy<Value = Op> {
    let (host, name) = (0..HOSTS, 0..NAMES);
    prop_oneof![
        4 => (name.clone(), any::<bool>())
            .prop_map(|(name, asks_hosts)| Op::Publish { name, asks_hosts }),
        4 => host.clone().prop_map(|host| Op::Load { host }),
        4 => (host.clone(), host.clone()).prop_map(|(host, from)| Op::Pull { host, from }),
        3 => (host.clone(), any::<prop::sample::Index>())
            .prop_map(|(host, message)| Op::Late { host, message }),
        1 => (host.clone(), host.clone()).prop_map(|(host, from)| Op::Restart { host, from }),
        1 => Just(Op::Copy),
        1 => Just(Op::Restore),
        1 => any::<bool>().prop_map(|down| Op::Outage { down }),
        1 => (host, name).prop_map(|(host, name)| Op::Unreadable { host, name }),
    ]
}

#[derive(Default)]
struct World {
    store: Vec<Option<Record>>,
    copy: Vec<Option<Record>>,
    down: bool,
    changes: usize,
    sent: Vec<Record>,
    hosts: Vec<Catalog>,
}

fn order(record: Option<&Record>) -> Option<(u64, Arc<str>)> {
    record.map(|r| (r.version, r.change.clone()))
}

fn name(at: usize) -> String {
    format!("p{at}")
}

impl World {
    fn new() -> World {
        World {
            store: vec![None; NAMES],
            copy: vec![None; NAMES],
            hosts: vec![Catalog::default(); HOSTS],
            ..World::default()
        }
    }

    fn in_force(&self, host: usize, at: usize) -> Option<(u64, Arc<str>)> {
        order(self.hosts[host].get(RecordKind::Profile, &name(at)))
    }

    /// Offers a record by the bytes that are stored and sent.
    fn offer(&mut self, host: usize, record: &Record) {
        let bytes = serde_json::to_vec(record).expect("json");
        match stored::read(RecordKind::Profile, &record.name, &bytes) {
            StoredRecord::Readable(read) => self.hosts[host].offer(read),
            StoredRecord::Unreadable(_) => panic!("unreadable: {record:?}"),
        };
    }

    fn publish(&mut self, at: usize, asks_hosts: bool) {
        let stored = self.store[at].as_ref().map_or(0, |r| r.version);
        let hosts = self.hosts.iter().filter_map(|h| h.get(RecordKind::Profile, &name(at)));
        let ahead = hosts.map(|r| r.version).max().filter(|_| asks_hosts).unwrap_or(0);
        self.changes += 1;
        let name: Arc<str> = name(at).into();
        let record = Record {
            name: name.clone(),
            version: stored.max(ahead) + 1,
            change: format!("{:x}", self.changes * 7_919 % 97).into(),
            author: "operator".into(),
            body: Body::Profile(Arc::new(Profile { name, ..Profile::default() })),
        };
        self.store[at] = Some(record.clone());
        self.sent.push(record);
    }

    fn load(&mut self, host: usize) {
        for at in 0..NAMES {
            if let Some(record) = self.store[at].clone() {
                self.offer(host, &record);
            }
            let held = self.hosts[host].get(RecordKind::Profile, &name(at)).cloned();
            if order(held.as_ref()) > order(self.store[at].as_ref()) {
                self.store[at] = held;
            }
        }
    }

    fn pull(&mut self, host: usize, from: usize) {
        for record in self.hosts[from].records().to_vec() {
            self.offer(host, &record);
        }
    }

    fn refuse(&mut self, host: usize, at: usize) {
        let before = self.in_force(host, at);
        let version = Some(before.as_ref().map_or(0, |b| b.0) + 1);
        let unreadable =
            UnreadableVersion { kind: RecordKind::Profile, name: name(at).into(), version };
        let refused = self.hosts[host].record_unreadable(unreadable.clone());
        assert!(matches!(refused, OfferOutcome::Unreadable | OfferOutcome::Same));
        assert!(self.hosts[host].unreadable().contains(&unreadable));
        assert_eq!(self.in_force(host, at), before);
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Publish { name, asks_hosts } if !self.down => self.publish(name, asks_hosts),
            Op::Load { host } if !self.down => self.load(host),
            Op::Pull { host, from } => self.pull(host, from),
            Op::Late { host, message } if !self.sent.is_empty() => {
                let record = message.get(&self.sent).clone();
                self.offer(host, &record);
            }
            Op::Restart { host, from } if !self.down && host != from => {
                self.hosts[host] = Catalog::default();
                self.load(host);
                self.pull(host, from);
            }
            Op::Copy => self.copy = self.store.clone(),
            Op::Restore => self.store = self.copy.clone(),
            Op::Outage { down } => self.down = down,
            Op::Unreadable { host, name } => self.refuse(host, name),
            Op::Publish { .. } | Op::Load { .. } | Op::Late { .. } | Op::Restart { .. } => {}
        }
    }
}

proptest! {
    #[test]
    fn no_host_goes_back_and_all_agree_once_everything_heals(
        ops in prop::collection::vec(op(), 1..80),
    ) {
        let mut world = World::new();
        for op in ops {
            let force = |w: &World, host| (0..NAMES).map(|n| w.in_force(host, n)).collect();
            let before: Vec<Vec<_>> = (0..HOSTS).map(|h| force(&world, h)).collect();
            world.apply(op);
            for (host, before) in before.iter().enumerate() {
                let restarted = matches!(op, Op::Restart { host: h, .. } if h == host);
                for (at, old) in before.iter().enumerate() {
                    prop_assert!(restarted || world.in_force(host, at) >= *old, "{op:?}");
                }
            }
            if let Op::Restart { host, from } = op && !world.down && host != from {
                for at in 0..NAMES {
                    prop_assert!(world.in_force(host, at) >= world.in_force(from, at));
                }
            }
            for catalog in &world.hosts {
                let overtaken = catalog.unreadable().iter().any(|u| {
                    catalog.get(u.kind, &u.name).map(|r| r.version) >= u.version
                });
                prop_assert!(!overtaken, "a version in force counts as unreadable");
            }
        }
        let newest: Vec<_> = (0..NAMES)
            .map(|at| {
                let hosts = (0..HOSTS).map(|h| world.in_force(h, at)).max().flatten();
                hosts.max(order(world.store[at].as_ref()))
            })
            .collect();
        world.down = false;
        (0..HOSTS).chain(0..HOSTS).for_each(|host| world.load(host));
        for host in 0..HOSTS {
            let held: Vec<_> = (0..NAMES).map(|at| world.in_force(host, at)).collect();
            prop_assert_eq!(&held, &newest);
            prop_assert_eq!(world.hosts[host].fingerprint(), world.hosts[0].fingerprint());
        }
    }
}
