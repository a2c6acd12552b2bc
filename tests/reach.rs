//! A host that none of a service's upstreams responds to refuses the service's requests at once.

use std::sync::Arc;
use std::time::Duration;

use cornelferry::Time;
use cornelferry::admission::{Admission, Request};
use cornelferry::balancing::Policy;
use cornelferry::config::{Priority, ProbeConfig, Service, Upstream};
use cornelferry::error::Code;
use cornelferry::service::{HostInfo, ServiceTable};
use cornelferry::upstream::{AttemptReport, UpstreamId, UpstreamOutcome};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const START: Time = Time::from_millis(10_000);

fn table(upstreams: u16, measure: ProbeConfig) -> ServiceTable {
    let upstream = |i: u16| Upstream {
        name: format!("u{i}").into(),
        address: ([127, 0, 0, 1], 9_000 + i).into(),
        data_centre: "palermo".into(),
    };
    let service = Service {
        name: "s".into(),
        upstreams: (0..upstreams).map(upstream).collect(),
        measure,
        ..Service::default()
    };
    let host_info = HostInfo {
        host: "entry-1".into(),
        data_centre: "palermo".into(),
        fleet_size_max: 1,
        policy: Policy::default(),
        waiting_max: 100,
    };
    ServiceTable::new(Arc::new(service), host_info, START)
}

fn report(outcome: UpstreamOutcome) -> AttemptReport {
    AttemptReport { outcome, latency: Duration::from_millis(10), load: None, draining: false }
}

fn admit(table: &mut ServiceTable, now: Time) -> Admission {
    let deadline = now + Duration::from_secs(5);
    table.admit(&Request::new(Priority::Normal, deadline, deadline), now, &mut rng())
}

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(1)
}

fn ids(table: &ServiceTable) -> Vec<UpstreamId> {
    table.rows().iter().map(|r| r.id).collect()
}

/// Lets probes of the first `count` upstreams fail.
fn fail_probes(table: &mut ServiceTable, count: usize, now: Time) {
    for id in ids(table).into_iter().take(count) {
        table.finish_probe(id, &report(UpstreamOutcome::TimedOut), now);
    }
}

fn is_unreachable(admission: &Admission) -> bool {
    matches!(admission, Admission::Refuse(r) if r.code == Code::UpstreamsUnreachable)
}

#[test]
fn requests_are_refused_at_once_while_no_upstream_responds() {
    let mut table = table(4, ProbeConfig::default());
    let answered = ids(&table)[3];
    table.finish_probe(answered, &report(UpstreamOutcome::Answered), START);
    let at = |ms| START + Duration::from_millis(ms);
    fail_probes(&mut table, 3, at(300));
    assert!(matches!(admit(&mut table, at(300)), Admission::Run(_)), "too early");
    assert!(is_unreachable(&admit(&mut table, at(450))));
    table.finish_probe(answered, &report(UpstreamOutcome::Answered), at(500));
    assert!(matches!(admit(&mut table, at(500)), Admission::Run(_)), "one responds again");
}

#[test]
fn queued_requests_are_refused_when_no_upstream_responds() {
    let mut table = table(4, ProbeConfig::default());
    let mut waiting = Vec::new();
    for _ in 0..200 {
        match admit(&mut table, START) {
            Admission::Wait(ticket) => waiting.push(ticket),
            Admission::Run(_) => {}
            Admission::Refuse(_) => break,
        }
    }
    assert!(!waiting.is_empty(), "nothing waits");
    let now = START + Duration::from_millis(500);
    fail_probes(&mut table, 4, now);
    let released = table.release(now, &mut rng());
    assert!(released.iter().all(|(_, admission)| is_unreachable(admission)), "{released:?}");
    let tickets: Vec<_> = released.iter().map(|(ticket, _)| *ticket).collect();
    assert!(waiting.iter().all(|ticket| tickets.contains(ticket)));
    assert_eq!(table.waiting(), 0);
}

#[test]
fn a_service_of_which_some_upstreams_fail_is_served() {
    let mut table = table(4, ProbeConfig::default());
    fail_probes(&mut table, 2, START + Duration::from_millis(500));
    assert!(matches!(admit(&mut table, START + Duration::from_secs(1)), Admission::Run(_)));
}

/// Nothing would find out that such a service can be reached again.
#[test]
fn a_service_without_probes_is_always_tried() {
    let without_path = ProbeConfig { path: String::new(), ..ProbeConfig::default() };
    let without_budget = ProbeConfig { probes_per_second: 0.0, ..ProbeConfig::default() };
    for measure in [without_path, without_budget] {
        let mut table = table(4, measure);
        fail_probes(&mut table, 4, START + Duration::from_millis(500));
        assert!(matches!(admit(&mut table, START + Duration::from_secs(1)), Admission::Run(_)));
    }
}
