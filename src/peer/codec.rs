//! Converts digests to and from the messages of `schema/peer.capnp`.

use std::sync::Arc;
use std::time::Duration;

use capnp::Error;

use crate::decide::catalog::RecordKind;
use crate::decide::digest::{
    CatalogSummary, ColdUpstream, Digest, LeavingUpstream, RecordVersion, RelayedHeartbeat,
    RelayedReport, UpstreamLimit, UpstreamLoad, UpstreamName,
};
use crate::decide::evacuation::EvacuationOrder;
use crate::decide::member::Process;
use crate::decide::poison::{Fingerprint, RequestEvent};
use crate::decide::registered::Revision;
use crate::hlc::Timestamp;
use crate::peer::peer_capnp as wire;

/// The unit of the age of a heartbeat and of a leaving observation.
const HEARTBEAT_AGE_UNIT: Duration = Duration::from_millis(20);

/// The unit of the age of a load reading.
const LOAD_AGE_UNIT: Duration = Duration::from_millis(20);

/// The age above which a load reading is too old to be worth sending. It is the largest age that
/// the message can hold.
const LOAD_AGE_MAX: Duration = Duration::from_millis(20 * u8::MAX as u64);

/// The value that stands for a missing load reading.
const NO_LOAD: u16 = u16::MAX;

/// The rate that stands for a limit that has ended.
const NO_LIMIT: f64 = -1.0;

/// The hash that stands for an answer, in place of that of an upstream that has ended.
const ANSWERED: u64 = 0;

/// The hash that stands for a block.
const BLOCKED: u64 = 1;

/// Writes a digest into a message.
pub(crate) fn write(digest: &Digest, mut out: wire::digest::Builder<'_>) {
    out.set_millis(digest.stamp.millis);
    out.set_count(digest.stamp.count);
    out.set_beat(digest.heartbeat);
    out.set_leaving(digest.left);
    out.set_stale(digest.stale);
    out.set_registry_age(digest.registry_age.map_or(0, registry_age_units));
    out.set_fingerprint(digest.summary.fingerprint);
    out.set_versions(digest.summary.version_sum);
    out.set_members(digest.members_fingerprint);
    out.set_registry_era(digest.registry_era);
    write_processes(&digest.processes, &mut out);
    write_heartbeats(&digest.heartbeats, &mut out);
    write_upstreams(&digest.upstreams, &mut out);
    write_loads(&digest.loads, &mut out);
    write_leaving_upstreams(&digest.leaving_upstreams, &mut out);
    write_limits(&digest.limits, &mut out);
    write_cold(&digest.cold, &mut out);
    write_request_reports(&digest.request_reports, &mut out);
    write_evacuations(&digest.evacuations, &mut out);
    if !digest.recent.is_empty() {
        write_versions(&digest.recent, out.init_recent(digest.recent.len() as u32));
    }
}

/// Reads a digest from a message.
///
/// # Errors
///
/// Returns an error if the message is malformed.
pub(crate) fn read(digest: wire::digest::Reader<'_>) -> Result<Digest, Error> {
    let stamp = Timestamp { millis: digest.get_millis(), count: digest.get_count() };
    let fingerprint = digest.get_fingerprint();
    let summary = CatalogSummary { fingerprint, version_sum: digest.get_versions() };
    Ok(Digest {
        stamp,
        heartbeat: digest.get_beat(),
        left: digest.get_leaving(),
        stale: digest.get_stale(),
        registry_age: registry_age(digest.get_registry_age()),
        registry_era: digest.get_registry_era(),
        summary,
        members_fingerprint: digest.get_members(),
        processes: digest.get_processes()?.iter().map(read_process).collect::<Result<_, _>>()?,
        heartbeats: digest.get_beats()?.iter().map(read_heartbeat).collect(),
        upstreams: digest.get_upstreams()?.iter().map(read_upstream).collect::<Result<_, _>>()?,
        loads: digest.get_loads()?.iter().map(read_load).collect(),
        leaving_upstreams: digest.get_leaves()?.iter().map(read_leaving_upstream).collect(),
        limits: digest.get_limits()?.iter().map(read_limit).collect(),
        cold: digest.get_cold()?.iter().map(read_cold).collect(),
        request_reports: digest.get_request_reports()?.iter().map(read_request_report).collect(),
        evacuations: digest
            .get_evacuations()?
            .iter()
            .map(read_evacuation)
            .collect::<Result<_, _>>()?,
        recent: read_versions(digest.get_recent()?)?,
    })
}

/// Encodes an age as milliseconds plus one, since 0 stands for no age. An age too large for the
/// field becomes the largest value, which is decoded as no age.
fn registry_age_units(age: Duration) -> u16 {
    u16::try_from(age.as_millis() + 1).unwrap_or(u16::MAX)
}

/// Decodes an age that [`registry_age_units`] has encoded.
fn registry_age(units: u16) -> Option<Duration> {
    let millis = units.checked_sub(1).filter(|ms| *ms < u16::MAX - 1)?;
    Some(Duration::from_millis(millis.into()))
}

/// Writes record versions into a message.
pub(crate) fn write_versions(
    versions: &[RecordVersion],
    mut out: capnp::struct_list::Builder<'_, wire::version::Owned>,
) {
    for (i, version) in versions.iter().enumerate() {
        let mut row = out.reborrow().get(i as u32);
        row.set_kind(match version.kind {
            RecordKind::Profile => wire::Kind::Profile,
            RecordKind::Service => wire::Kind::Service,
            RecordKind::Routing => wire::Kind::Routing,
            RecordKind::Host => wire::Kind::Host,
        });
        row.set_version(version.version);
        row.set_name(&*version.name);
    }
}

/// Reads record versions from a message. Versions of an unknown kind are skipped.
///
/// # Errors
///
/// Returns an error if the message is malformed.
pub(crate) fn read_versions(
    versions: capnp::struct_list::Reader<'_, wire::version::Owned>,
) -> Result<Vec<RecordVersion>, Error> {
    let mut known = Vec::new();
    for row in versions.iter() {
        let kind = match row.get_kind() {
            Ok(wire::Kind::Profile) => RecordKind::Profile,
            Ok(wire::Kind::Service) => RecordKind::Service,
            Ok(wire::Kind::Routing) => RecordKind::Routing,
            Ok(wire::Kind::Host) => RecordKind::Host,
            Err(_) => continue,
        };
        known.push(RecordVersion {
            kind,
            name: text(row.get_name()?)?,
            version: row.get_version(),
        });
    }
    Ok(known)
}

fn write_processes(processes: &[Process], out: &mut wire::digest::Builder<'_>) {
    if processes.is_empty() {
        return;
    }
    let mut rows = out.reborrow().init_processes(processes.len() as u32);
    for (i, process) in processes.iter().enumerate() {
        let mut row = rows.reborrow().get(i as u32);
        row.set_host(&*process.host);
        row.set_data_centre(&*process.data_centre);
        row.set_address(process.address.to_string());
        row.set_incarnation(process.incarnation);
        row.set_link_mbps(process.link_mbps);
    }
}

fn read_process(row: wire::process::Reader<'_>) -> Result<Process, Error> {
    let address = text(row.get_address()?)?;
    Ok(Process {
        host: text(row.get_host()?)?,
        data_centre: text(row.get_data_centre()?)?,
        address: address
            .parse()
            .map_err(|e| Error::failed(format!("peer address {address:?}: {e}")))?,
        incarnation: row.get_incarnation(),
        link_mbps: row.get_link_mbps(),
    })
}

fn write_heartbeats(heartbeats: &[RelayedHeartbeat], out: &mut wire::digest::Builder<'_>) {
    if heartbeats.is_empty() {
        return;
    }
    let mut rows = out.reborrow().init_beats(heartbeats.len() as u32);
    for (i, heartbeat) in heartbeats.iter().enumerate() {
        let mut row = rows.reborrow().get(i as u32);
        row.set_process(heartbeat.process);
        row.set_counter(heartbeat.counter);
        row.set_age(age_units(heartbeat.age, HEARTBEAT_AGE_UNIT));
        row.set_left(heartbeat.left);
        row.set_dead(heartbeat.dead);
    }
}

fn read_heartbeat(row: wire::beat::Reader<'_>) -> RelayedHeartbeat {
    RelayedHeartbeat {
        process: row.get_process(),
        counter: row.get_counter(),
        age: HEARTBEAT_AGE_UNIT * u32::from(row.get_age()),
        left: row.get_left(),
        dead: row.get_dead(),
    }
}

fn write_upstreams(upstreams: &[UpstreamName], out: &mut wire::digest::Builder<'_>) {
    if upstreams.is_empty() {
        return;
    }
    let mut rows = out.reborrow().init_upstreams(upstreams.len() as u32);
    for (i, upstream) in upstreams.iter().enumerate() {
        let mut row = rows.reborrow().get(i as u32);
        row.set_service(&*upstream.service);
        row.set_name(&*upstream.name);
    }
}

fn read_upstream(row: wire::upstream::Reader<'_>) -> Result<UpstreamName, Error> {
    Ok(UpstreamName { service: text(row.get_service()?)?, name: text(row.get_name()?)? })
}

fn write_loads(loads: &[UpstreamLoad], out: &mut wire::digest::Builder<'_>) {
    if loads.is_empty() {
        return;
    }
    let mut rows = out.reborrow().init_loads(loads.len() as u32);
    for (i, load) in loads.iter().enumerate() {
        let mut row = rows.reborrow().get(i as u32);
        let reading = load.load.filter(|(_, age)| *age <= LOAD_AGE_MAX);
        row.set_upstream(load.upstream);
        row.set_in_flight(load.in_flight);
        row.set_load(reading.map_or(NO_LOAD, |(value, _)| value.min(NO_LOAD - 1)));
        row.set_age(reading.map_or(0, |(_, age)| age_units(age, LOAD_AGE_UNIT)));
        row.set_leaving(load.leaving);
    }
}

fn read_load(row: wire::load::Reader<'_>) -> UpstreamLoad {
    let age = LOAD_AGE_UNIT * u32::from(row.get_age());
    let value = row.get_load();
    UpstreamLoad {
        upstream: row.get_upstream(),
        in_flight: row.get_in_flight(),
        load: (value != NO_LOAD).then_some((value, age)),
        leaving: row.get_leaving(),
    }
}

fn write_leaving_upstreams(leaving: &[LeavingUpstream], out: &mut wire::digest::Builder<'_>) {
    if leaving.is_empty() {
        return;
    }
    let mut rows = out.reborrow().init_leaves(leaving.len() as u32);
    for (i, upstream) in leaving.iter().enumerate() {
        let mut row = rows.reborrow().get(i as u32);
        row.set_upstream(upstream.upstream);
        row.set_age(age_units(upstream.age, HEARTBEAT_AGE_UNIT));
    }
}

fn read_leaving_upstream(row: wire::leave::Reader<'_>) -> LeavingUpstream {
    LeavingUpstream {
        upstream: row.get_upstream(),
        age: HEARTBEAT_AGE_UNIT * u32::from(row.get_age()),
    }
}

fn write_limits(limits: &[UpstreamLimit], out: &mut wire::digest::Builder<'_>) {
    if limits.is_empty() {
        return;
    }
    let mut rows = out.reborrow().init_limits(limits.len() as u32);
    for (i, limit) in limits.iter().enumerate() {
        let mut row = rows.reborrow().get(i as u32);
        row.set_upstream(limit.upstream);
        row.set_per_second(limit.per_second.unwrap_or(NO_LIMIT));
        row.set_age_ms(age_millis(limit.age));
    }
}

/// Reads a rate limit. Anything but a finite number that is not negative stands for none.
fn read_limit(row: wire::limit::Reader<'_>) -> UpstreamLimit {
    let rate = row.get_per_second();
    UpstreamLimit {
        upstream: row.get_upstream(),
        per_second: (rate.is_finite() && rate >= 0.0).then_some(rate),
        age: Duration::from_millis(row.get_age_ms().into()),
    }
}

fn write_cold(cold: &[ColdUpstream], out: &mut wire::digest::Builder<'_>) {
    if cold.is_empty() {
        return;
    }
    let mut rows = out.reborrow().init_cold(cold.len() as u32);
    for (i, upstream) in cold.iter().enumerate() {
        let mut row = rows.reborrow().get(i as u32);
        row.set_upstream(upstream.upstream);
        row.set_remaining_ms(age_millis(upstream.remaining));
    }
}

fn read_cold(row: wire::cold::Reader<'_>) -> ColdUpstream {
    let remaining = Duration::from_millis(row.get_remaining_ms().into());
    ColdUpstream { upstream: row.get_upstream(), remaining }
}

fn write_request_reports(reports: &[RelayedReport], out: &mut wire::digest::Builder<'_>) {
    if reports.is_empty() {
        return;
    }
    let mut rows = out.reborrow().init_request_reports(reports.len() as u32);
    for (i, report) in reports.iter().enumerate() {
        let mut row = rows.reborrow().get(i as u32);
        row.set_fingerprint(report.fingerprint.0);
        row.set_upstream(match report.event {
            RequestEvent::UpstreamCrashed(upstream) => upstream,
            RequestEvent::Answered => ANSWERED,
            RequestEvent::Blocked => BLOCKED,
        });
        row.set_age_ms(age_millis(report.age));
        row.set_took_ms(age_millis(report.took));
    }
}

fn read_request_report(row: wire::request_report::Reader<'_>) -> RelayedReport {
    RelayedReport {
        fingerprint: Fingerprint(row.get_fingerprint()),
        event: match row.get_upstream() {
            ANSWERED => RequestEvent::Answered,
            BLOCKED => RequestEvent::Blocked,
            upstream => RequestEvent::UpstreamCrashed(upstream),
        },
        age: Duration::from_millis(row.get_age_ms().into()),
        took: Duration::from_millis(row.get_took_ms().into()),
    }
}

fn write_evacuations(orders: &[EvacuationOrder], out: &mut wire::digest::Builder<'_>) {
    if orders.is_empty() {
        return;
    }
    let mut rows = out.reborrow().init_evacuations(orders.len() as u32);
    for (i, order) in orders.iter().enumerate() {
        let mut row = rows.reborrow().get(i as u32);
        row.set_data_centre(&*order.data_centre);
        row.set_active(order.active);
        row.set_era(order.version.era);
        row.set_revision(order.version.number);
    }
}

fn read_evacuation(row: wire::evacuation::Reader<'_>) -> Result<EvacuationOrder, Error> {
    Ok(EvacuationOrder {
        data_centre: text(row.get_data_centre()?)?,
        active: row.get_active(),
        version: Revision { era: row.get_era(), number: row.get_revision() },
    })
}

/// Converts an age to milliseconds, rounded up. An age too large for the field becomes the largest
/// value.
fn age_millis(age: Duration) -> u32 {
    u32::try_from(age.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}

/// Converts an age to whole units, rounded up so that an age never shrinks from relay to relay. An
/// age too large for the field becomes the largest value.
fn age_units(age: Duration, unit: Duration) -> u8 {
    u8::try_from(age.as_micros().div_ceil(unit.as_micros())).unwrap_or(u8::MAX)
}

fn text(text: capnp::text::Reader<'_>) -> Result<Arc<str>, Error> {
    Ok(text.to_str()?.into())
}
