//! Builds the status report of a host from its shared state.

use std::time::Duration;

use crate::decide::allowance::TeamStatus;
use crate::decide::catalog::{Catalog, RecordKind};
use crate::decide::evacuation::Evacuation;
use crate::decide::member::{Member, MemberState};
use crate::decide::service::ServiceTable;
use crate::decide::tick::ServiceTables;
use crate::decide::upstream::Row;
use crate::node::{self, Node};
use crate::status::{
    EvacuationStatus, EventStatus, MemberStatus, Phase, ProbeUsage, RecordStatus, ServiceStatus,
    Status, TeamAtLimit, UpstreamStatus,
};
use crate::time::{CLOCK_START, Time};

/// Returns the status of a host. Holds only one lock at a time, except for the
/// evacuations.
pub(crate) fn snapshot(node: &Node) -> Status {
    let now = node.clock.now();
    let records = records(&node.catalog.lock());
    let services = node.tables.lock().services().iter().map(|s| service(node, s, now)).collect();
    let members = members(node, now);
    Status {
        host: node.settings.host.clone(),
        data_centre: node.settings.data_centre.clone(),
        phase: phase(node),
        policy: node.settings.policy,
        records,
        services,
        evacuations: evacuations(node, now),
        members,
        teams_at_limit: teams_at_limit(node, now),
        events: events(node),
    }
}

fn teams_at_limit(node: &Node, now: Time) -> Vec<TeamAtLimit> {
    let teams = node.allowances.with_asker(|asker| asker.at_limit(now));
    let status = |t: TeamStatus| TeamAtLimit {
        team: t.team,
        per_second: t.per_second,
        granted: t.granted,
        refused: t.refused,
    };
    teams.into_iter().map(status).collect()
}

/// Updates the gauges among a host's metrics.
pub(crate) fn update_gauges(node: &Node) {
    let now = node.clock.now();
    let age = node.registry_freshness.as_of().map(|at| now.since(at));
    let routing = node
        .catalog
        .lock()
        .records()
        .iter()
        .find(|r| r.kind() == RecordKind::Routing)
        .map(|r| r.version);
    let members = node.members.lock().alive(now).count();
    node.metrics.set_fleet_gauges(age, members, routing.unwrap_or(0));
    let evacuations = evacuations(node, now);
    let in_flight = evacuations.iter().map(|e| e.in_flight).sum();
    node.metrics.set_evacuation_gauges(evacuations.len(), in_flight);
    for service in node.tables.lock().services() {
        let name = &service.cfg().name;
        let in_flight = service.rows().iter().map(|r| u64::from(r.in_flight)).sum();
        node.metrics.set_service_gauges(name, node.waiting.count(name), in_flight);
        if service.has_warm_up() {
            node.metrics.set_cold_upstreams(name, service.cold_count(now));
        }
    }
}

/// Returns the phase of a host as the status report names it.
pub(crate) fn phase(node: &Node) -> Phase {
    match node.phase() {
        node::Phase::Starting => Phase::Starting,
        node::Phase::Ready => Phase::Ready,
        node::Phase::Draining => Phase::Draining,
        node::Phase::Stopping => Phase::Stopping,
    }
}

fn events(node: &Node) -> EventStatus {
    let (held, dropped) = node.events.size();
    EventStatus { held, dropped }
}

/// Returns the records in force. A record without any readable version is listed as version 0.
fn records(catalog: &Catalog) -> Vec<RecordStatus> {
    let unreadable = catalog.unreadable();
    let readable =
        |kind, name: &str| !unreadable.iter().any(|u| u.kind == kind && *u.name == *name);
    let in_force = catalog.records().iter().map(|r| RecordStatus {
        kind: r.kind(),
        name: r.name.clone(),
        version: r.version,
        readable: readable(r.kind(), &r.name),
    });
    let unreadable_only = unreadable.iter().filter(|u| catalog.get(u.kind, &u.name).is_none());
    let unreadable_only = unreadable_only.map(|u| RecordStatus {
        kind: u.kind,
        name: u.name.clone(),
        version: 0,
        readable: false,
    });
    in_force.chain(unreadable_only).collect()
}

fn service(node: &Node, table: &ServiceTable, now: Time) -> ServiceStatus {
    let cfg = table.cfg();
    let fleet_per_second = cfg.measure.probes_per_second;
    let host_per_second = fleet_per_second / f64::from(node.settings.fleet_size_max.max(1));
    ServiceStatus {
        name: cfg.name.clone(),
        waiting: node.waiting.count(&cfg.name),
        slots: cfg.slots,
        measuring: ProbeUsage {
            fleet_per_second,
            host_per_second,
            sent: node.metrics.completed_probes(&cfg.name),
            allowed: host_per_second * now.since(CLOCK_START).as_secs_f64(),
        },
        upstreams: table.rows().iter().map(|r| upstream(r, now)).collect(),
    }
}

fn upstream(row: &Row, now: Time) -> UpstreamStatus {
    UpstreamStatus {
        name: row.name.clone(),
        address: row.address,
        data_centre: row.data_centre.clone(),
        state: row.state,
        evacuated: row.evacuated,
        in_flight: row.in_flight,
        load: row.load.map(|l| l.value),
        load_age_ms: row.load.map(|l| millis(now.since(l.at))),
    }
}

fn evacuations(node: &Node, now: Time) -> Vec<EvacuationStatus> {
    let evacuations = node.evacuations.lock();
    let tables = node.tables.lock();
    evacuations.active().map(|e| evacuation(e, &tables, now)).collect()
}

fn evacuation(evacuation: &Evacuation, tables: &ServiceTables, now: Time) -> EvacuationStatus {
    let data_centre = &evacuation.order.data_centre;
    let rows = tables.services().iter().flat_map(|s| s.rows());
    let rows: Vec<&Row> = rows.filter(|r| r.data_centre == *data_centre).collect();
    EvacuationStatus {
        data_centre: data_centre.clone(),
        age_ms: millis(now.since(evacuation.since)),
        upstreams: rows.len(),
        in_flight: rows.iter().map(|r| u64::from(r.in_flight)).sum(),
    }
}

fn members(node: &Node, now: Time) -> Vec<MemberStatus> {
    let members = node.members.lock();
    let state = |m: &Member| members.state(&m.host, now).unwrap_or(MemberState::Unknown);
    members.members().iter().map(|m| member(m, state(m), now)).collect()
}

fn member(member: &Member, state: MemberState, now: Time) -> MemberStatus {
    MemberStatus {
        state,
        host: member.host.clone(),
        data_centre: member.data_centre.clone(),
        address: member.address,
        incarnation: member.incarnation,
        heard_age_ms: member.last_heartbeat.map(|at| millis(now.since(at))),
    }
}

fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
