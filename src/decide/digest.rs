//! The digests that peers exchange, delta-encoded per connection.
//!
//! A process or an upstream is named once on a connection, and later entries refer to it by an
//! index, its position in the order of naming.
//!
//! [`DeltaEncoder`] keeps what has been sent on a connection, [`DeltaDecoder`] what has been
//! received. A connection either delivers in order or ends, so both live exactly as long as it
//! does, and a new connection starts with a full digest.

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

/// The number of processes that may be named on a connection.
const PROCESSES_MAX: usize = 4_096;

/// The number of leaving upstreams that a digest may list.
const LEAVING_MAX: usize = 32;

/// The number of upstreams that may be named on a connection.
const UPSTREAMS_MAX: usize = u16::MAX as usize;

/// The time after which an unchanged load reading is sent again if the upstream has confirmed it
/// since.
const RESEND_AFTER: Duration = Duration::from_millis(1_000);

/// The identity of one version of a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordVersion {
    /// The record's kind.
    pub kind: RecordKind,
    /// The record's name.
    pub name: Arc<str>,
    /// The version number.
    pub version: u64,
}

/// A summary of a whole catalog, by which two hosts can tell whether their records differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CatalogSummary {
    /// A hash over kind, name and version of every published record. Unlike
    /// [`Catalog::fingerprint`], it doesn't cover the change ids.
    pub fingerprint: u64,
    /// The sum of the version numbers in force.
    pub version_sum: u64,
}

impl CatalogSummary {
    /// Returns the summary of the published records of a catalog, see [`published_versions`].
    pub fn of(catalog: &Catalog) -> CatalogSummary {
        let mut hasher = XxHash64::default();
        let mut version_sum = 0_u64;
        for r in catalog.records().iter().filter(|r| r.version > 0) {
            (r.kind(), &r.name, r.version).hash(&mut hasher);
            version_sum = version_sum.wrapping_add(r.version);
        }
        CatalogSummary { fingerprint: hasher.finish(), version_sum }
    }
}

/// Returns the versions of all published records of a catalog. The records of a settings file
/// (version 0) are local to their host and are left out.
pub fn published_versions(catalog: &Catalog) -> Vec<RecordVersion> {
    let version =
        |r: &Record| RecordVersion { kind: r.kind(), name: r.name.clone(), version: r.version };
    catalog.records().iter().filter(|r| r.version > 0).map(version).collect()
}

/// Returns the versions in `offered` that are newer than the records in force.
pub fn newer_versions(catalog: &Catalog, offered: Vec<RecordVersion>) -> Vec<RecordVersion> {
    let in_force = |v: &RecordVersion| catalog.get(v.kind, &v.name).map(|r| r.version);
    offered.into_iter().filter(|v| in_force(v).is_none_or(|own| own < v.version)).collect()
}

/// A heartbeat that the sender passes on for another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayedHeartbeat {
    /// The index of its process among those named on the connection.
    pub process: u16,
    /// The heartbeat counter.
    pub counter: u32,
    /// The age of the heartbeat when the digest was built.
    pub age: Duration,
    /// Whether the process has announced that it is shutting down.
    pub left: bool,
}

/// The identity of an upstream across services.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamName {
    /// The service that the upstream belongs to.
    pub service: Arc<str>,
    /// The upstream's name within the service.
    pub name: Arc<str>,
}

/// The load of an upstream, as far as the sender knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// The index of the upstream among those named on the connection.
    pub upstream: u16,
    /// The sender's own requests in flight to the upstream.
    pub in_flight: u16,
    /// The newest load that the upstream itself has reported, and the age of that report.
    pub load: Option<(u16, Duration)>,
    /// Whether the sender itself observes that the upstream is leaving.
    pub leaving: bool,
}

/// An observation that an upstream is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeavingUpstream {
    /// The index of the upstream among those named on the connection.
    pub upstream: u16,
    /// The time since any host last observed this directly.
    pub age: Duration,
}

/// The message that one host sends a peer in one exchange: its own state and the leaving upstreams
/// in full, everything else as the changes since the last digest on the connection.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Digest {
    /// The sender's hybrid logical clock.
    pub stamp: Timestamp,
    /// The sender's own heartbeat counter.
    pub heartbeat: u32,
    /// Whether the sender is shutting down.
    pub left: bool,
    /// Whether the sender was paused and may lack the newest records.
    pub stale: bool,
    /// The age of the sender's copy of the platform's registry, if it follows one.
    pub registry_age: Option<Duration>,
    /// The summary of the sender's records in force.
    pub summary: CatalogSummary,
    /// Processes named for the first time. The first one on a connection is the sender.
    pub processes: Vec<Process>,
    /// Heartbeats of other hosts.
    pub heartbeats: Vec<RelayedHeartbeat>,
    /// Upstreams named for the first time.
    pub upstreams: Vec<UpstreamName>,
    /// Upstreams whose load has changed.
    pub loads: Vec<UpstreamLoad>,
    /// Upstreams that some host has observed to be leaving.
    pub leaving_upstreams: Vec<LeavingUpstream>,
    /// Records that have recently come into force.
    pub recent: Vec<RecordVersion>,
}

/// The encoder of one connection's digests, which builds them from what has been sent before.
#[derive(Debug, Default)]
pub struct DeltaEncoder {
    processes: Vec<Sent<Process>>,
    upstreams: Vec<Sent<UpstreamSummary>>,
    /// Indices into `upstreams`, sorted by service and name.
    sorted: Vec<u16>,
}

/// An item named on the connection, with what was last sent about it.
#[derive(Debug)]
struct Sent<T> {
    item: T,
    /// The newest heartbeat counter sent for a process; 0 before the first, and for upstreams.
    counter: u32,
    /// When anything but its name was last sent about the item. Until then, zero for a process, and
    /// the time of its naming for an upstream.
    at: Time,
    /// Whether the shutdown of a process was sent.
    left: bool,
}

impl DeltaEncoder {
    /// Names the sender in its first digest on the connection.
    pub fn add_sender(&mut self, sender: &Process, digest: &mut Digest) {
        if self.processes.is_empty() {
            self.add_process(sender, digest);
        }
    }

    /// Adds a heartbeat of a later process on the receiver's host, which tells the receiver that it
    /// has been superseded. The age is the highest possible one; the receiver uses only the
    /// incarnation.
    pub fn add_superseding_process(&mut self, member: &Member, digest: &mut Digest) {
        let Some(at) = self.process_index(&member.process(), digest) else { return };
        digest.heartbeats.push(RelayedHeartbeat {
            process: at as u16,
            counter: member.counter,
            age: Duration::MAX,
            left: member.left,
        });
    }

    /// Adds the heartbeats of `members` that are newer than those sent before. `known` returns the
    /// counter that the receiver itself has sent for a process. Heartbeats of one process are at
    /// least `interval` apart, except for the one that announces its shutdown.
    pub fn add_heartbeats<'a>(
        &mut self,
        members: impl Iterator<Item = &'a Member>,
        known: impl Fn(&Process) -> Option<u32>,
        interval: Duration,
        now: Time,
        digest: &mut Digest,
    ) {
        for member in members {
            let Some(last_heartbeat) = member.last_heartbeat else { continue };
            let process = member.process();
            let newer = known(&process).is_none_or(|c| c < member.counter);
            let Some(at) = self.process_index(&process, digest).filter(|_| newer) else { continue };
            let sent = &mut self.processes[at];
            let is_due = sent.counter < member.counter && now.since(sent.at) >= interval;
            let is_first = sent.counter == 0;
            if !is_due && !is_first && sent.left == member.left {
                continue;
            }
            sent.counter = member.counter;
            sent.at = now;
            sent.left = member.left;
            digest.heartbeats.push(RelayedHeartbeat {
                process: at as u16,
                counter: member.counter,
                age: now.since(last_heartbeat),
                left: member.left,
            });
        }
    }

    /// Adds at most `max` of the upstreams whose summary differs from the one last sent: first
    /// those that have begun to leave, then those that were sent least recently.
    pub fn add_loads(
        &mut self,
        summaries: &[UpstreamSummary],
        now: Time,
        max: usize,
        digest: &mut Digest,
    ) {
        let mut due: Vec<(bool, Time, &UpstreamSummary)> = Vec::new();
        for summary in summaries {
            match self.find(summary).ok().map(|at| &self.upstreams[at]) {
                None => due.push((!summary.leaving, Time::ZERO, summary)),
                Some(sent) if needs_sending(sent, summary, now) => {
                    let is_routine = !summary.leaving || sent.item.leaving;
                    due.push((is_routine, sent.at, summary));
                }
                Some(_) => {}
            }
        }
        due.sort_by_key(|(is_routine, at, _)| (*is_routine, *at));
        for (_, _, summary) in due.into_iter().take(max) {
            self.add_load(summary, now, digest);
        }
    }

    /// Adds the newest observations of leaving upstreams, up to a limit.
    pub fn add_leaving_upstreams(
        &mut self,
        observations: &[LeavingObservation],
        now: Time,
        digest: &mut Digest,
    ) {
        let mut newest: Vec<&LeavingObservation> = observations.iter().collect();
        newest.sort_by_key(|o| std::cmp::Reverse(o.at));
        for observation in newest.into_iter().take(LEAVING_MAX) {
            let summary = UpstreamSummary {
                service: observation.name.service.clone(),
                upstream: observation.name.name.clone(),
                in_flight: 0,
                load: None,
                leaving: false,
            };
            let Some(at) = self.upstream_index(&summary, now, digest) else { continue };
            digest
                .leaving_upstreams
                .push(LeavingUpstream { upstream: at as u16, age: now.since(observation.at) });
        }
    }

    fn add_load(&mut self, summary: &UpstreamSummary, now: Time, digest: &mut Digest) {
        let Some(at) = self.upstream_index(summary, now, digest) else { return };
        self.upstreams[at].item = summary.clone();
        self.upstreams[at].at = now;
        digest.loads.push(UpstreamLoad {
            upstream: at as u16,
            in_flight: summary.in_flight.min(u32::from(u16::MAX)) as u16,
            load: summary.load.map(|(value, age)| (value.min(u32::from(u16::MAX)) as u16, age)),
            leaving: summary.leaving,
        });
    }

    /// Returns the index of an upstream, and names it on the connection first if necessary. Returns
    /// `None` if too many are named already.
    fn upstream_index(
        &mut self,
        summary: &UpstreamSummary,
        now: Time,
        digest: &mut Digest,
    ) -> Option<usize> {
        match self.find(summary) {
            Ok(at) => Some(at),
            Err(_) if self.upstreams.len() == UPSTREAMS_MAX => None,
            Err(position) => {
                self.sorted.insert(position, self.upstreams.len() as u16);
                let (service, name) = (summary.service.clone(), summary.upstream.clone());
                digest.upstreams.push(UpstreamName { service, name });
                self.upstreams.push(Sent {
                    item: summary.clone(),
                    counter: 0,
                    at: now,
                    left: false,
                });
                Some(self.upstreams.len() - 1)
            }
        }
    }

    /// Returns the index of an upstream, or if it isn't named yet, the position in `sorted` at
    /// which to insert it.
    fn find(&self, summary: &UpstreamSummary) -> Result<usize, usize> {
        let key = (&*summary.service, &*summary.upstream);
        let key_at = |at: &u16| {
            let named = &self.upstreams[usize::from(*at)].item;
            (&*named.service, &*named.upstream)
        };
        let found = self.sorted.binary_search_by(|at| key_at(at).cmp(&key));
        found.map(|position| usize::from(self.sorted[position]))
    }

    /// Returns the index of a process, and names it on the connection first if necessary. Returns
    /// `None` if too many are named already.
    fn process_index(&mut self, process: &Process, digest: &mut Digest) -> Option<usize> {
        let is_same = |s: &Sent<Process>| {
            s.item.incarnation == process.incarnation && s.item.host == process.host
        };
        match self.processes.iter().position(is_same) {
            Some(at) => Some(at),
            None if self.processes.len() == PROCESSES_MAX => None,
            None => Some(self.add_process(process, digest)),
        }
    }

    fn add_process(&mut self, process: &Process, digest: &mut Digest) -> usize {
        digest.processes.push(process.clone());
        let sent = Sent { item: process.clone(), counter: 0, at: Time::ZERO, left: false };
        self.processes.push(sent);
        self.processes.len() - 1
    }
}

/// The decoder of one connection's digests, which resolves them by what has been received before.
#[derive(Debug, Default)]
pub struct DeltaDecoder {
    /// The processes named so far, with the newest counter received for each.
    processes: Vec<(Process, u32)>,
    upstreams: Vec<UpstreamName>,
}

/// A digest whose indices are resolved to processes and upstreams.
#[derive(Debug)]
pub struct DecodedDigest {
    /// The sender's process.
    pub sender: Process,
    /// The sender's own heartbeat, followed by those that it relays.
    pub heartbeats: Vec<(Process, Heartbeat)>,
    /// What the sender knows about the load of upstreams.
    pub loads: Vec<UpstreamSummary>,
    /// Upstreams that some host has observed to be leaving.
    pub leaving_upstreams: Vec<LeavingObservation>,
}

impl DeltaDecoder {
    /// Returns the sender's process, or `None` before the first digest that names it.
    pub fn sender(&self) -> Option<&Process> {
        self.processes.first().map(|(p, _)| p)
    }

    /// Returns the newest heartbeat counter that the sender has sent for a process.
    pub fn counter_of(&self, process: &Process) -> Option<u32> {
        let is_same = |p: &&(Process, u32)| {
            p.0.incarnation == process.incarnation && p.0.host == process.host
        };
        self.processes.iter().find(is_same).map(|(_, counter)| *counter)
    }

    /// Decodes the next digest, which arrives at `now`. Entries with an unknown index are left out.
    /// Returns `None` if no digest has named the sender yet, or if too many processes or upstreams
    /// are named on the connection.
    pub fn decode(&mut self, digest: &Digest, now: Time) -> Option<DecodedDigest> {
        let processes = self.processes.len() + digest.processes.len();
        let upstreams = self.upstreams.len() + digest.upstreams.len();
        if processes > PROCESSES_MAX || upstreams > UPSTREAMS_MAX {
            return None;
        }
        self.processes.extend(digest.processes.iter().map(|p| (p.clone(), 0)));
        self.upstreams.extend(digest.upstreams.iter().cloned());
        let sender = self.sender()?.clone();
        let own = Heartbeat { counter: digest.heartbeat, at: now, left: digest.left };
        let mut heartbeats = vec![(sender.clone(), own)];
        for entry in &digest.heartbeats {
            let Some(named) = self.processes.get_mut(usize::from(entry.process)) else { continue };
            named.1 = named.1.max(entry.counter);
            let at = before(now, entry.age);
            heartbeats.push((
                named.0.clone(),
                Heartbeat { counter: entry.counter, at, left: entry.left },
            ));
        }
        let loads = digest.loads.iter().filter_map(|l| self.load(l)).collect();
        let leaving_upstreams =
            digest.leaving_upstreams.iter().filter_map(|l| self.observation(l, now)).collect();
        Some(DecodedDigest { sender, heartbeats, loads, leaving_upstreams })
    }

    fn observation(&self, leaving: &LeavingUpstream, now: Time) -> Option<LeavingObservation> {
        let name = self.upstreams.get(usize::from(leaving.upstream))?.clone();
        Some(LeavingObservation { name, at: before(now, leaving.age) })
    }

    fn load(&self, load: &UpstreamLoad) -> Option<UpstreamSummary> {
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

/// Returns whether the summary differs from the one last sent, the age of its load reading aside,
/// or whether an unchanged reading has been confirmed since and is due for resending.
fn needs_sending(sent: &Sent<UpstreamSummary>, summary: &UpstreamSummary, now: Time) -> bool {
    let value = |s: &UpstreamSummary| s.load.map(|(value, _)| value);
    let changed = sent.item.in_flight != summary.in_flight
        || sent.item.leaving != summary.leaving
        || value(&sent.item) != value(summary);
    let since = now.since(sent.at);
    let confirmed = summary.load.is_some_and(|(_, age)| age < since) && since >= RESEND_AFTER;
    changed || confirmed
}

fn before(now: Time, age: Duration) -> Time {
    Time::from_micros(now.as_micros().saturating_sub(micros(age)))
}

fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}
