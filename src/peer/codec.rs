//! Digests to and from the messages of `schema/peer.capnp`.

use std::sync::Arc;
use std::time::Duration;

use capnp::Error;

use crate::decide::catalog::RecordKind;
use crate::decide::digest::{
    CatalogSummary, Digest, LeavingUpstream, RelayedHeartbeat, UpstreamLoad, UpstreamName, Version,
};
use crate::decide::member::Process;
use crate::hlc::Timestamp;
use crate::peer::peer_capnp as wire;

/// The unit of the age of a heartbeat and of a sighting.
const BEAT_AGE_UNIT: Duration = Duration::from_millis(20);

/// The unit of a load reading's age.
const LOAD_AGE_UNIT: Duration = Duration::from_millis(20);

/// The age above which a load reading is not worth telling.
const LOAD_AGE_MAX: Duration = Duration::from_millis(20 * u8::MAX as u64);

/// The figure that stands for no load reading.
const NO_LOAD: u16 = u16::MAX;

/// Writes a digest.
pub(crate) fn write(digest: &Digest, mut out: wire::digest::Builder<'_>) {
    out.set_millis(digest.stamp.millis);
    out.set_count(digest.stamp.count);
    out.set_beat(digest.beat);
    out.set_leaving(digest.leaving);
    out.set_stale(digest.stale);
    out.set_registry_age(digest.registry_age.map_or(0, registry_age_units));
    out.set_fingerprint(digest.summary.fingerprint);
    out.set_versions(digest.summary.versions);
    write_processes(&digest.processes, &mut out);
    write_beats(&digest.beats, &mut out);
    write_upstreams(&digest.upstreams, &mut out);
    write_loads(&digest.loads, &mut out);
    write_leaves(&digest.leaves, &mut out);
    if !digest.recent.is_empty() {
        write_versions(&digest.recent, out.init_recent(digest.recent.len() as u32));
    }
}

/// Reads a digest.
///
/// # Errors
///
/// If the message is malformed.
pub(crate) fn read(digest: wire::digest::Reader<'_>) -> Result<Digest, Error> {
    let stamp = Timestamp { millis: digest.get_millis(), count: digest.get_count() };
    let fingerprint = digest.get_fingerprint();
    let summary = CatalogSummary { fingerprint, versions: digest.get_versions() };
    Ok(Digest {
        stamp,
        beat: digest.get_beat(),
        leaving: digest.get_leaving(),
        stale: digest.get_stale(),
        registry_age: registry_age(digest.get_registry_age()),
        summary,
        processes: digest.get_processes()?.iter().map(read_process).collect::<Result<_, _>>()?,
        beats: digest.get_beats()?.iter().map(read_beat).collect(),
        upstreams: digest.get_upstreams()?.iter().map(read_upstream).collect::<Result<_, _>>()?,
        loads: digest.get_loads()?.iter().map(read_load).collect(),
        leaves: digest.get_leaves()?.iter().map(read_leave).collect(),
        recent: read_versions(digest.get_recent()?)?,
    })
}

/// Returns an age in milliseconds plus one; 0 stands for none.
fn registry_age_units(age: Duration) -> u16 {
    u16::try_from(age.as_millis() + 1).unwrap_or(u16::MAX)
}

fn registry_age(units: u16) -> Option<Duration> {
    let millis = units.checked_sub(1).filter(|ms| *ms < u16::MAX - 1)?;
    Some(Duration::from_millis(millis.into()))
}

/// Writes names of versions.
pub(crate) fn write_versions(
    versions: &[Version],
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

/// Reads names of versions. Those of an unknown kind are left out.
///
/// # Errors
///
/// If the message is malformed.
pub(crate) fn read_versions(
    versions: capnp::struct_list::Reader<'_, wire::version::Owned>,
) -> Result<Vec<Version>, Error> {
    let mut out = Vec::new();
    for row in versions.iter() {
        let kind = match row.get_kind() {
            Ok(wire::Kind::Profile) => RecordKind::Profile,
            Ok(wire::Kind::Service) => RecordKind::Service,
            Ok(wire::Kind::Routing) => RecordKind::Routing,
            Ok(wire::Kind::Host) => RecordKind::Host,
            Err(_) => continue,
        };
        out.push(Version { kind, name: text(row.get_name()?)?, version: row.get_version() });
    }
    Ok(out)
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
    })
}

fn write_beats(beats: &[RelayedHeartbeat], out: &mut wire::digest::Builder<'_>) {
    if beats.is_empty() {
        return;
    }
    let mut rows = out.reborrow().init_beats(beats.len() as u32);
    for (i, beat) in beats.iter().enumerate() {
        let mut row = rows.reborrow().get(i as u32);
        row.set_process(beat.process);
        row.set_counter(beat.counter);
        row.set_age(units(beat.age, BEAT_AGE_UNIT));
        row.set_left(beat.left);
    }
}

fn read_beat(row: wire::beat::Reader<'_>) -> RelayedHeartbeat {
    RelayedHeartbeat {
        process: row.get_process(),
        counter: row.get_counter(),
        age: BEAT_AGE_UNIT * u32::from(row.get_age()),
        left: row.get_left(),
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
        let told = load.load.filter(|(_, age)| *age <= LOAD_AGE_MAX);
        row.set_upstream(load.upstream);
        row.set_in_flight(load.in_flight);
        row.set_load(told.map_or(NO_LOAD, |(value, _)| value.min(NO_LOAD - 1)));
        row.set_age(told.map_or(0, |(_, age)| units(age, LOAD_AGE_UNIT)));
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

fn write_leaves(leaves: &[LeavingUpstream], out: &mut wire::digest::Builder<'_>) {
    if leaves.is_empty() {
        return;
    }
    let mut rows = out.reborrow().init_leaves(leaves.len() as u32);
    for (i, leave) in leaves.iter().enumerate() {
        let mut row = rows.reborrow().get(i as u32);
        row.set_upstream(leave.upstream);
        row.set_age(units(leave.age, BEAT_AGE_UNIT));
    }
}

fn read_leave(row: wire::leave::Reader<'_>) -> LeavingUpstream {
    LeavingUpstream { upstream: row.get_upstream(), age: BEAT_AGE_UNIT * u32::from(row.get_age()) }
}

/// Rounds an age up to whole units, so that no relay makes anything younger.
fn units(age: Duration, unit: Duration) -> u8 {
    u8::try_from(age.as_micros().div_ceil(unit.as_micros())).unwrap_or(u8::MAX)
}

fn text(text: capnp::text::Reader<'_>) -> Result<Arc<str>, Error> {
    Ok(text.to_str()?.into())
}
