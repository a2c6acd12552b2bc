//! The systems that run over the tables of all services each tick.

use std::sync::Arc;
use std::time::Duration;

use cornelferry::Time;
use cornelferry::admission::{Admission, Request};
use cornelferry::balancing::Policy;
use cornelferry::config::{Priority, Service, Upstream};
use cornelferry::error::Code;
use cornelferry::service::HostInfo;
use cornelferry::tick::ServiceTables;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const TICK: Duration = Duration::from_millis(10);

#[test]
fn a_quiet_service_is_looked_at_each_tick_once_it_is_used() {
    let facts = HostInfo {
        host: "entry-1".into(),
        data_centre: "palermo".into(),
        fleet_size_max: 1,
        policy: Policy::default(),
        waiting_max: 10,
    };
    let upstream = Upstream {
        name: "u0".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        data_centre: "palermo".into(),
    };
    let service =
        Service { name: "s".into(), slots: 1, upstreams: vec![upstream], ..Service::default() };
    let mut tables = ServiceTables::new(facts);
    let mut rng = SmallRng::seed_from_u64(3);
    let mut now = Time::from_millis(1);
    tables.put(Arc::new(service), now);
    for _ in 0..995 {
        now = now + TICK;
        assert!(tables.tick(now, &mut rng, |_, _| true).released.is_empty());
    }
    let req = Request::new(Priority::Normal, now + TICK * 100, now + TICK / 2);
    let table = tables.service("s").expect("put above");
    let waits = std::iter::repeat_with(|| table.admit(&req, now, &mut rng));
    let ticket = waits.take(10).find_map(|admission| match admission {
        Admission::Wait(ticket) => Some(ticket),
        _ => None,
    });
    now = now + TICK;
    let released = tables.tick(now, &mut rng, |_, _| true).released;
    let refused = released.iter().find(|(_, t, _)| Some(*t) == ticket).map(|(_, _, a)| a);
    let Some(Admission::Refuse(refusal)) = refused else { panic!("not refused: {released:?}") };
    assert_eq!(refusal.code, Code::WaitedTooLong);
}
