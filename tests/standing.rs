//! Upstreams that join, leave, come back and go are told once each.

use std::sync::Arc;

use cornelferry::Time;
use cornelferry::config::{Service, Upstream};
use cornelferry::event::EventCode;
use cornelferry::route::Policy;
use cornelferry::service::{HostFacts, ServiceTable};
use cornelferry::standing::Standings;
use cornelferry::upstream::State;

fn upstream(name: &str) -> Upstream {
    let address = "127.0.0.1:1".parse().expect("address");
    Upstream { name: name.into(), address, data_centre: "a".into() }
}

#[test]
fn every_change_is_told_once() {
    let cfg = Service { name: "s".into(), upstreams: vec![upstream("u")], ..Service::default() };
    let facts = HostFacts {
        host: "entry-1".into(),
        data_centre: "a".into(),
        fleet_size_max: 1,
        policy: Policy::default(),
        waiting_max: 1,
    };
    let now = Time::from_millis(1);
    let mut table = ServiceTable::new(Arc::new(cfg), facts, now);
    let mut standings = Standings::default();
    let mut look = |table: &ServiceTable| -> Vec<EventCode> {
        let changes = standings.look(std::slice::from_ref(table), now);
        assert!(changes.iter().all(|c| (&*c.service, &*c.upstream) == ("s", "u")));
        changes.into_iter().map(|c| c.code).collect()
    };
    assert_eq!(look(&table), [EventCode::UpstreamJoined]);
    assert_eq!(look(&table), []);
    table.set_state("u", State::Leaving, now);
    assert_eq!(look(&table), [EventCode::UpstreamLeaving]);
    table.set_state("u", State::Live, now);
    assert_eq!(look(&table), [EventCode::UpstreamRestored]);
    table.set_upstreams(&[], now);
    assert_eq!(look(&table), [EventCode::UpstreamGone]);
    assert_eq!(look(&table), []);
}
