//! What watchers of a host are told of its upstreams.

use std::sync::Arc;

use cornelferry::change::{Changes, Standing};
use cornelferry::config::{Service, Upstream};
use cornelferry::route::Policy;
use cornelferry::service::HostFacts;
use cornelferry::tick::Tables;
use cornelferry::upstream::State;
use cornelferry::{Time, change::Change};

fn service(names: &[&str], port: u16) -> Arc<Service> {
    let upstream = |name: &&str| Upstream {
        name: (*name).into(),
        address: ([127, 0, 0, 1], port).into(),
        data_centre: "palermo".into(),
    };
    let upstreams = names.iter().map(upstream).collect();
    Arc::new(Service { name: "s".into(), upstreams, ..Service::default() })
}

fn told(changes: Vec<Change>) -> Vec<(String, Option<Standing>, Standing)> {
    changes.into_iter().map(|c| (c.upstream.to_string(), c.before, c.now)).collect()
}

#[test]
fn each_change_is_told_once() {
    let facts = HostFacts {
        host: "entry-1".into(),
        data_centre: "palermo".into(),
        fleet_size_max: 18,
        policy: Policy::default(),
        waiting_max: 10,
    };
    let (mut tables, mut changes, now) = (Tables::new(facts), Changes::default(), Time::ZERO);
    let mut look = |tables: &Tables| told(changes.look(tables.services(), now));
    tables.put(service(&["a", "b"], 1), now);
    let joined = |name: &str| (name.to_owned(), None, Standing::Open);
    assert_eq!(look(&tables), [joined("a"), joined("b")]);
    assert_eq!(look(&tables), []);
    for (state, before, after) in [
        (State::Leaving, Standing::Open, Standing::Leaving),
        (State::Live, Standing::Leaving, Standing::Open),
    ] {
        tables.service("s").expect("the service").set_state("a", state, now);
        assert_eq!(look(&tables), [("a".to_owned(), Some(before), after)]);
        assert_eq!(look(&tables), []);
    }
    tables.put(service(&["b"], 2), now);
    let gone = |name: &str| (name.to_owned(), Some(Standing::Open), Standing::Gone);
    assert_eq!(look(&tables), [joined("b"), gone("a"), gone("b")]);
    assert_eq!(look(&tables), []);
}
