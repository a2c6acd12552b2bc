//! The cost of one decision and of one tick, at the present size of a fleet and at its target size.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use cornelferry::Time;
use cornelferry::admission::{Admission, Request};
use cornelferry::balancing::Policy;
use cornelferry::config::{Priority, Service, Upstream};
use cornelferry::service::{HostInfo, ServiceTable};
use cornelferry::tick::ServiceTables;
use cornelferry::upstream::{AttemptReport, UpstreamOutcome, UpstreamSummary};
use criterion::{Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Peers whose load reports are imported.
const PEERS: usize = 14;
/// Number of services and of upstreams of each service: the present size, and the target size of
/// 12,000 upstreams.
const SIZES: &[(usize, u16)] = &[(1, 12), (1_500, 8)];

fn host_info(policy: Policy) -> HostInfo {
    HostInfo {
        host: "entry-1".into(),
        data_centre: "palermo".into(),
        fleet_size_max: 18,
        policy,
        waiting_max: 1_000,
    }
}

fn service(name: String, upstreams: u16) -> Arc<Service> {
    let upstream = |i: u16| Upstream {
        name: format!("u{i}").into(),
        address: ([127, 0, 0, 1], 9_000 + i).into(),
        data_centre: "palermo".into(),
    };
    let upstreams = (0..upstreams).map(upstream).collect();
    Arc::new(Service { name: name.into(), upstreams, ..Service::default() })
}

/// Runs one request to its end.
fn request(table: &mut ServiceTable, now: &mut Time, rng: &mut SmallRng) {
    *now = *now + Duration::from_micros(100);
    let deadline = *now + Duration::from_secs(1);
    let req = Request::new(Priority::Normal, deadline, deadline);
    if let Admission::Run(target) = table.admit(&req, *now, rng) {
        let latency = Duration::from_millis(5);
        let report = AttemptReport {
            outcome: UpstreamOutcome::Answered,
            latency,
            load: Some(4),
            draining: false,
        };
        table.finish_attempt(target.id, &report, *now);
        black_box(table.release(*now, rng));
    }
}

fn import(table: &mut ServiceTable, now: Time) {
    let names: Vec<Arc<str>> = table.rows().iter().map(|r| r.name.clone()).collect();
    for name in &names {
        for peer in 0..PEERS {
            let summary = UpstreamSummary {
                service: table.cfg().name.clone(),
                upstream: name.clone(),
                in_flight: 1,
                load: None,
                leaving: false,
            };
            table.import(&format!("entry-{peer}"), &summary, now);
        }
    }
}

fn decisions(c: &mut Criterion) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut now = Time::from_millis(1);
    for &policy in Policy::ALL {
        let mut table = ServiceTable::new(service("s".to_owned(), 20), host_info(policy), now);
        import(&mut table, now);
        c.bench_function(&format!("request/20 upstreams/{policy}"), |b| {
            b.iter(|| request(&mut table, &mut now, &mut rng))
        });
    }
    for &(services, upstreams) in SIZES {
        let (mut tables, now) = (fleet(services, upstreams), &mut now);
        let total = services * usize::from(upstreams);
        let name = format!("request/{total} upstreams in {services} services");
        c.bench_function(&name, |b| {
            b.iter(|| request(tables.service("service-0").unwrap(), now, &mut rng))
        });
    }
}

fn fleet(services: usize, upstreams: u16) -> ServiceTables {
    let mut tables = ServiceTables::new(host_info(Policy::default()));
    for i in 0..services {
        tables.put(service(format!("service-{i}"), upstreams), Time::ZERO);
    }
    tables
}

fn ticks(c: &mut Criterion) {
    let mut rng = SmallRng::seed_from_u64(1);
    for &(services, upstreams) in SIZES {
        let mut tables = fleet(services, upstreams);
        let mut now = Time::from_millis(1);
        for i in 0..services {
            let table = tables.service(&format!("service-{i}")).unwrap();
            request(table, &mut now, &mut rng);
        }
        let total = services * usize::from(upstreams);
        c.bench_function(&format!("tick/{total} upstreams in {services} services"), |b| {
            b.iter(|| {
                now = now + Duration::from_millis(10);
                black_box(tables.tick(now, &mut rng, |_, _| false))
            })
        });
    }
}

criterion_group!(benches, decisions, ticks);
criterion_main!(benches);
