//! What two entry hosts tell each other: digests as deltas over one connection.
//!
//! [`DeltaEncoder`] remembers what has been told, [`DeltaDecoder`] what has been heard. Both last as long as
//! the connection, which delivers in order or ends; so a new connection starts in full.

use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use twox_hash::XxHash64;

use crate::decide::catalog::{Catalog, Record, RecordKind};
use crate::decide::leaving::LeavingObservation;
use crate::decide::member::{Heartbeat, Member, Process};
use crate::decide::upstream::UpstreamSummary;
use crate::hlc::Timestamp;
use crate::time::Time;

/// Processes that a connection may name.
const PROCESSES_MAX: usize = 4_096;

/// Observations of leaving upstreams that a digest may hold.
const LEAVES_MAX: usize = 32;

/// Upstreams that a connection may name.
const UPSTREAMS_MAX: usize = u16::MAX as usize;

/// The time after which an unchanged load reading is told again if it was renewed.
const RENEW_AFTER: Duration = Duration::from_millis(1_000);

/// Names a version of a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version {
    /// The record's kind.
    pub kind: RecordKind,
    /// Its name.
    pub name: Arc<str>,
    /// Its version.
    pub version: u64,
}

/// The state of a whole catalog in two numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CatalogSummary {
    /// The catalog's fingerprint.
    pub fingerprint: u64,
    /// The sum of the versions in force.
    pub versions: u64,
}

impl CatalogSummary {
    /// Returns the summary of a catalog. Records that a settings file gives stay at their host and are
    /// left out.
    pub fn of(catalog: &Catalog) -> CatalogSummary {
        let mut hasher = XxHash64::default();
        let mut versions = 0_u64;
        for r in catalog.records().iter().filter(|r| r.version > 0) {
            (r.kind(), &r.name, r.version).hash(&mut hasher);
            versions = versions.wrapping_add(r.version);
        }
        CatalogSummary { fingerprint: hasher.finish(), versions }
    }
}

/// Returns the versions of a catalog's records that are of use to other hosts.
pub fn published_versions(catalog: &Catalog) -> Vec<Version> {
    let version = |r: &Record| Version { kind: r.kind(), name: r.name.clone(), version: r.version };
    catalog.records().iter().filter(|r| r.version > 0).map(version).collect()
}

/// Returns those of `offered` that are newer than the records in force.
pub fn newer_versions(catalog: &Catalog, offered: Vec<Version>) -> Vec<Version> {
    let known = |v: &Version| catalog.get(v.kind, &v.name).map(|r| r.version);
    offered.into_iter().filter(|v| known(v).is_none_or(|own| own < v.version)).collect()
}

/// A relayed heartbeat. The process is a position in the connection's list of processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayedHeartbeat {
    /// Whose it is.
    pub process: u16,
    /// Its counter.
    pub counter: u32,
    /// Its age when the digest was made.
    pub age: Duration,
    /// Whether the process leaves.
    pub left: bool,
}

/// Names an upstream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamName {
    /// The service.
    pub service: Arc<str>,
    /// The upstream's name in it.
    pub name: Arc<str>,
}

/// What the sender knows of an upstream, which is a position in the connection's list of upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Which upstream.
    pub upstream: u16,
    /// The sender's own requests in flight.
    pub in_flight: u16,
    /// The newest figure of the upstream's own, with its age.
    pub load: Option<(u16, Duration)>,
    /// Whether it leaves.
    pub leaving: bool,
}

/// An upstream that leaves, which is a position in the connection's list of upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeavingUpstream {
    /// Which upstream.
    pub upstream: u16,
    /// The time since some host has seen it itself.
    pub age: Duration,
}

/// One digest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Digest {
    /// The sender's hybrid logical clock.
    pub stamp: Timestamp,
    /// The sender's own heartbeat counter.
    pub beat: u32,
    /// Whether the sender leaves.
    pub leaving: bool,
    /// Whether the sender was paused and has not heard of the newest records.
    pub stale: bool,
    /// The age of what the sender knows of the platform's registry, if it follows one.
    pub registry_age: Option<Duration>,
    /// The sender's records in force.
    pub summary: CatalogSummary,
    /// Processes named for the first time; the connection's first one is the sender.
    pub processes: Vec<Process>,
    /// Heartbeats of others.
    pub beats: Vec<RelayedHeartbeat>,
    /// Upstreams named for the first time.
    pub upstreams: Vec<UpstreamName>,
    /// Upstreams whose figures have changed.
    pub loads: Vec<UpstreamLoad>,
    /// Upstreams that some host has seen to be leaving.
    pub leaves: Vec<LeavingUpstream>,
    /// Records that have come into force.
    pub recent: Vec<Version>,
}

/// What one side has told the other on a connection.
#[derive(Debug, Default)]
pub struct DeltaEncoder {
    processes: Vec<Told<Process>>,
    upstreams: Vec<Told<UpstreamSummary>>,
    /// Positions in `upstreams`, sorted by service and name.
    order: Vec<u16>,
}

#[derive(Debug)]
struct Told<T> {
    what: T,
    counter: u32,
    at: Time,
    left: bool,
}

impl DeltaEncoder {
    /// Names the sender, if it isn't named yet.
    pub fn introduce(&mut self, sender: &Process, digest: &mut Digest) {
        if self.processes.is_empty() {
            self.name(sender, digest);
        }
    }

    /// Tells the sender of the other side that a later process runs under its name.
    pub fn supersede(&mut self, member: &Member, digest: &mut Digest) {
        let Some(at) = self.position(&member.process(), digest) else { return };
        digest.beats.push(RelayedHeartbeat {
            process: at as u16,
            counter: member.counter,
            age: Duration::MAX,
            left: member.left,
        });
    }

    /// Adds the heartbeats that are newer than the ones told. `known` returns the counter that the
    /// other side has itself told of a process. The heartbeats of one process are told `gap` apart at
    /// least, unless it has begun to leave.
    pub fn relay<'a>(
        &mut self,
        members: impl Iterator<Item = &'a Member>,
        known: impl Fn(&Process) -> Option<u32>,
        gap: Duration,
        now: Time,
        digest: &mut Digest,
    ) {
        for member in members {
            let Some(heard) = member.last_heartbeat else { continue };
            let process = member.process();
            let newer = known(&process).is_none_or(|c| c < member.counter);
            let Some(at) = self.position(&process, digest).filter(|_| newer) else { continue };
            let told = &mut self.processes[at];
            let is_due = told.counter < member.counter && now.since(told.at) >= gap;
            let is_first = told.counter == 0;
            if !is_due && !is_first && told.left == member.left {
                continue;
            }
            told.counter = member.counter;
            told.at = now;
            told.left = member.left;
            digest.beats.push(RelayedHeartbeat {
                process: at as u16,
                counter: member.counter,
                age: now.since(heard),
                left: member.left,
            });
        }
    }

    /// Adds the figures that differ from the ones told, those that leave first, at most `max`.
    pub fn share(
        &mut self,
        figures: &[UpstreamSummary],
        now: Time,
        max: usize,
        digest: &mut Digest,
    ) {
        let mut due: Vec<(bool, Time, &UpstreamSummary)> = Vec::new();
        for shared in figures {
            match self.find(shared).ok().map(|at| &self.upstreams[at]) {
                None => due.push((!shared.leaving, Time::ZERO, shared)),
                Some(told) if differs(told, shared, now) => {
                    let is_calm = !shared.leaving || told.what.leaving;
                    due.push((is_calm, told.at, shared));
                }
                Some(_) => {}
            }
        }
        due.sort_by_key(|(calm, at, _)| (*calm, *at));
        for (_, _, shared) in due.into_iter().take(max) {
            self.tell(shared, now, digest);
        }
    }

    /// Adds the newest sightings of upstreams that leave, up to a bound.
    pub fn pass_on(&mut self, sightings: &[LeavingObservation], now: Time, digest: &mut Digest) {
        let mut newest: Vec<&LeavingObservation> = sightings.iter().collect();
        newest.sort_by_key(|s| std::cmp::Reverse(s.at));
        for sighting in newest.into_iter().take(LEAVES_MAX) {
            let what = UpstreamSummary {
                service: sighting.name.service.clone(),
                upstream: sighting.name.name.clone(),
                in_flight: 0,
                load: None,
                leaving: false,
            };
            let Some(at) = self.place(&what, now, digest) else { continue };
            digest
                .leaves
                .push(LeavingUpstream { upstream: at as u16, age: now.since(sighting.at) });
        }
    }

    fn tell(&mut self, shared: &UpstreamSummary, now: Time, digest: &mut Digest) {
        let Some(at) = self.place(shared, now, digest) else { return };
        self.upstreams[at].what = shared.clone();
        self.upstreams[at].at = now;
        digest.loads.push(UpstreamLoad {
            upstream: at as u16,
            in_flight: shared.in_flight.min(u32::from(u16::MAX)) as u16,
            load: shared.load.map(|(value, age)| (value.min(u32::from(u16::MAX)) as u16, age)),
            leaving: shared.leaving,
        });
    }

    /// Returns the position of an upstream, which is named if it isn't yet.
    fn place(&mut self, shared: &UpstreamSummary, now: Time, digest: &mut Digest) -> Option<usize> {
        match self.find(shared) {
            Ok(at) => Some(at),
            Err(_) if self.upstreams.len() == UPSTREAMS_MAX => None,
            Err(place) => {
                self.order.insert(place, self.upstreams.len() as u16);
                let (service, name) = (shared.service.clone(), shared.upstream.clone());
                digest.upstreams.push(UpstreamName { service, name });
                self.upstreams.push(Told {
                    what: shared.clone(),
                    counter: 0,
                    at: now,
                    left: false,
                });
                Some(self.upstreams.len() - 1)
            }
        }
    }

    /// Returns the position of an upstream, or the place in `order` where it would stand.
    fn find(&self, shared: &UpstreamSummary) -> Result<usize, usize> {
        let key = (&*shared.service, &*shared.upstream);
        let key_at = |at: &u16| {
            let told = &self.upstreams[usize::from(*at)].what;
            (&*told.service, &*told.upstream)
        };
        let found = self.order.binary_search_by(|at| key_at(at).cmp(&key));
        found.map(|place| usize::from(self.order[place]))
    }

    fn position(&mut self, process: &Process, digest: &mut Digest) -> Option<usize> {
        let same = |t: &Told<Process>| {
            t.what.incarnation == process.incarnation && t.what.host == process.host
        };
        match self.processes.iter().position(same) {
            Some(at) => Some(at),
            None if self.processes.len() == PROCESSES_MAX => None,
            None => Some(self.name(process, digest)),
        }
    }

    fn name(&mut self, process: &Process, digest: &mut Digest) -> usize {
        digest.processes.push(process.clone());
        let told = Told { what: process.clone(), counter: 0, at: Time::ZERO, left: false };
        self.processes.push(told);
        self.processes.len() - 1
    }
}

/// What one side has heard from the other on a connection.
#[derive(Debug, Default)]
pub struct DeltaDecoder {
    processes: Vec<(Process, u32)>,
    upstreams: Vec<UpstreamName>,
}

/// A digest in terms of hosts and upstreams.
#[derive(Debug)]
pub struct DecodedDigest {
    /// The sender.
    pub sender: Process,
    /// The sender's own heartbeat, then those that it relays.
    pub beats: Vec<(Process, Heartbeat)>,
    /// What the sender knows of upstreams.
    pub shared: Vec<UpstreamSummary>,
    /// Upstreams that some host has seen to be leaving.
    pub leaves: Vec<LeavingObservation>,
}

impl DeltaDecoder {
    /// Returns the sender, once it has introduced itself.
    pub fn sender(&self) -> Option<&Process> {
        self.processes.first().map(|(p, _)| p)
    }

    /// Returns the newest counter that the other side has told of a process.
    pub fn counter_of(&self, process: &Process) -> Option<u32> {
        let same = |p: &&(Process, u32)| {
            p.0.incarnation == process.incarnation && p.0.host == process.host
        };
        self.processes.iter().find(same).map(|(_, counter)| *counter)
    }

    /// Takes a digest in. `None` if the sender has not introduced itself, or names too much. Figures
    /// on anything that was never named are left out.
    pub fn take(&mut self, digest: &Digest, now: Time) -> Option<DecodedDigest> {
        let processes = self.processes.len() + digest.processes.len();
        let upstreams = self.upstreams.len() + digest.upstreams.len();
        if processes > PROCESSES_MAX || upstreams > UPSTREAMS_MAX {
            return None;
        }
        self.processes.extend(digest.processes.iter().map(|p| (p.clone(), 0)));
        self.upstreams.extend(digest.upstreams.iter().cloned());
        let sender = self.sender()?.clone();
        let own = Heartbeat { counter: digest.beat, at: now, left: digest.leaving };
        let mut beats = vec![(sender.clone(), own)];
        for beat in &digest.beats {
            let Some(named) = self.processes.get_mut(usize::from(beat.process)) else { continue };
            named.1 = named.1.max(beat.counter);
            let at = before(now, beat.age);
            beats.push((named.0.clone(), Heartbeat { counter: beat.counter, at, left: beat.left }));
        }
        let shared = digest.loads.iter().filter_map(|l| self.shared(l)).collect();
        let leaves = digest.leaves.iter().filter_map(|l| self.sighting(l, now)).collect();
        Some(DecodedDigest { sender, beats, shared, leaves })
    }

    fn sighting(&self, leave: &LeavingUpstream, now: Time) -> Option<LeavingObservation> {
        let name = self.upstreams.get(usize::from(leave.upstream))?.clone();
        Some(LeavingObservation { name, at: before(now, leave.age) })
    }

    fn shared(&self, load: &UpstreamLoad) -> Option<UpstreamSummary> {
        let named = self.upstreams.get(usize::from(load.upstream))?;
        Some(UpstreamSummary {
            service: named.service.clone(),
            upstream: named.name.clone(),
            in_flight: load.in_flight.into(),
            load: load.load.map(|(value, age)| (value.into(), age)),
            leaving: load.leaving,
        })
    }
}

fn differs(told: &Told<UpstreamSummary>, shared: &UpstreamSummary, now: Time) -> bool {
    let value = |s: &UpstreamSummary| s.load.map(|(value, _)| value);
    let changed = told.what.in_flight != shared.in_flight
        || told.what.leaving != shared.leaving
        || value(&told.what) != value(shared);
    let since = now.since(told.at);
    let renewed = shared.load.is_some_and(|(_, age)| age < since) && since >= RENEW_AFTER;
    changed || renewed
}

fn before(now: Time, age: Duration) -> Time {
    Time::from_micros(now.as_micros().saturating_sub(micros(age)))
}

fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}
