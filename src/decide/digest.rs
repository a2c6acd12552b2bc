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
use crate::decide::evacuation::EvacuationOrder;
use crate::decide::leaving::LeavingObservation;
use crate::decide::limit::LimitObservation;
use crate::decide::member::{Heartbeat, Member, Process};
use crate::decide::poison::{Fingerprint, PoisonRequests, RequestEvent, RequestReport};
use crate::decide::upstream::UpstreamSummary;
use crate::hlc::Timestamp;
use crate::time::Time;

/// The number of processes that may be named on a connection.
const PROCESSES_MAX: usize = 4_096;

/// The number of leaving upstreams that a digest may list.
const LEAVING_MAX: usize = 32;

/// The number of heartbeats that a digest may relay.
const HEARTBEATS_MAX: usize = 64;

/// The number of upstreams that may be named on a connection.
const UPSTREAMS_MAX: usize = u16::MAX as usize;

/// The number of rate limits that a digest may hold.
const LIMITS_MAX: usize = 64;

/// The number of cold upstreams that a digest may hold.
const COLD_MAX: usize = 32;

/// The time by which an upstream stays cold longer than last sent from which this is sent again.
const COLD_CHANGE_MIN: Duration = Duration::from_secs(1);

/// The number of reports on requests that a digest may hold.
const REQUEST_REPORTS_MAX: usize = 32;

/// The time after which an unchanged rate limit is sent again if it has been seen since.
const LIMIT_RESEND_AFTER: Duration = Duration::from_secs(10);

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
    /// Whether a neighbour has declared the process dead.
    pub dead: bool,
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

/// The rate limit of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamLimit {
    /// The index of the upstream among those named on the connection.
    pub upstream: u16,
    /// Requests per second from all hosts together; `None` if the limit has ended.
    pub per_second: Option<f64>,
    /// The time since a host saw this in a response.
    pub age: Duration,
}

/// A cold upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdUpstream {
    /// The index of the upstream among those named on the connection.
    pub upstream: u16,
    /// The time until it is warm again.
    pub remaining: Duration,
}

/// RequestReport on a request under which upstreams have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayedReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// What a host has seen of it.
    pub event: RequestEvent,
    /// The time since then.
    pub age: Duration,
    /// The time from the sending of the request until then.
    pub took: Duration,
}

/// The message that one host sends a peer in one exchange: its own state and the leaving upstreams
/// in full, everything else as the changes since the last digest on the connection.
#[derive(Clone, Debug, Default, PartialEq)]
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
    /// The newest era of the platform's registry that the sender knows of.
    pub registry_era: u32,
    /// The summary of the sender's records in force.
    pub summary: CatalogSummary,
    /// A hash over the processes that the sender knows, its own included, see
    /// [`Members::fingerprint`](crate::decide::member::Members::fingerprint).
    pub members_fingerprint: u64,
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
    /// Upstreams whose rate limit is new to the receiver or was seen again.
    pub limits: Vec<UpstreamLimit>,
    /// Upstreams that are cold and new to the receiver as such.
    pub cold: Vec<ColdUpstream>,
    /// RequestReport that is new to the receiver.
    pub request_reports: Vec<RelayedReport>,
    /// Orders to evacuate data centres that are new to the receiver.
    pub evacuations: Vec<EvacuationOrder>,
    /// Records that have recently come into force.
    pub recent: Vec<RecordVersion>,
}

/// The encoder of one connection's digests, which builds them from what has been sent before.
#[derive(Debug, Default)]
pub struct DeltaEncoder {
    processes: Vec<Sent<Process>>,
    /// Indices into `processes`, sorted by host and incarnation.
    sorted_processes: Vec<u16>,
    upstreams: Vec<Sent<UpstreamSummary>>,
    /// Indices into `upstreams`, sorted by service and name.
    sorted: Vec<u16>,
    /// The rate limits last sent, with the time of sending, sorted by the index of the upstream.
    limits: Vec<(u16, LimitObservation, Time)>,
    /// Until when upstreams are cold, as last sent, sorted by the index of the upstream.
    cold: Vec<(u16, Time)>,
    /// The numbers of the reports on requests that were sent, sorted.
    sent_request_reports: Vec<u64>,
    /// The number up to which all reports on requests were sent.
    request_reports_up_to: u64,
    /// The evacuation orders last sent, sorted by data centre.
    evacuations: Vec<EvacuationOrder>,
    /// When the first digest was built.
    opened: Option<Time>,
}

/// What a sender knows of the receiver's view of the fleet.
pub struct ReceiverView<'a> {
    /// Returns the counter that the receiver itself has sent for a process.
    pub counter_of: &'a dyn Fn(&Process) -> Option<u32>,
    /// Whether the receiver may lack processes that the sender knows.
    pub differs: bool,
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
    /// Whether the shutdown or the death of a process was sent.
    is_over: bool,
}

impl DeltaEncoder {
    /// Names the sender in its first digest on the connection.
    pub fn add_sender(&mut self, sender: &Process, digest: &mut Digest) {
        if self.processes.is_empty() {
            self.add_process(sender, digest);
        }
    }

    /// Adds a heartbeat of the newest known process on the receiver's host, which tells the receiver
    /// that it has been superseded or is taken for dead. The age is the highest possible one; the
    /// receiver uses only the incarnation.
    pub fn add_newest_process(&mut self, member: &Member, digest: &mut Digest) {
        let Some(at) = self.process_index(&member.process(), digest) else { return };
        digest.heartbeats.push(RelayedHeartbeat {
            process: at as u16,
            counter: member.counter,
            age: Duration::MAX,
            left: member.left,
            dead: member.dead,
        });
    }

    /// Adds the heartbeats of `members` that are newer than those sent before, at most 64: first
    /// those of the processes that changed last. With `relay`, every newer
    /// heartbeat is due. Without it, only one that announces a shutdown or a death, and the first one
    /// of a process on the connection if the receiver's view differs or if the process has changed
    /// since the connection was opened.
    pub fn add_heartbeats<'a>(
        &mut self,
        members: impl Iterator<Item = &'a Member>,
        receiver: &ReceiverView<'_>,
        relay: bool,
        now: Time,
        digest: &mut Digest,
    ) {
        let opened = *self.opened.get_or_insert(now);
        let is_due = |m: &&Member| {
            let sent = self.find_process(&m.host, m.incarnation).ok();
            let sent = sent.map(|at| &self.processes[at]).filter(|s| s.counter > 0);
            match sent {
                Some(s) if s.is_over != (m.left || m.dead) => true,
                Some(s) => relay && s.counter < m.counter,
                None => relay || receiver.differs || m.changed >= opened,
            }
        };
        let is_newer = |m: &&Member| {
            let known = (receiver.counter_of)(&m.process());
            known.is_none_or(|c| c < m.counter || m.left || m.dead)
        };
        let heard = members.filter(|m| m.last_heartbeat.is_some());
        let mut due: Vec<&Member> = heard.filter(is_due).filter(is_newer).collect();
        due.sort_by_key(|m| std::cmp::Reverse(m.changed));
        for member in due.into_iter().take(HEARTBEATS_MAX) {
            self.add_heartbeat(member, now, digest);
        }
    }

    fn add_heartbeat(&mut self, member: &Member, now: Time, digest: &mut Digest) {
        let Some(last_heartbeat) = member.last_heartbeat else { return };
        let Some(at) = self.process_index(&member.process(), digest) else { return };
        let sent = &mut self.processes[at];
        sent.counter = member.counter;
        sent.at = now;
        sent.is_over = member.left || member.dead;
        digest.heartbeats.push(RelayedHeartbeat {
            process: at as u16,
            counter: member.counter,
            age: now.since(last_heartbeat),
            left: member.left,
            dead: member.dead,
        });
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

    /// Adds the rate limits that are new to the receiver, and those seen again a while after they
    /// were last sent, up to a limit.
    pub fn add_limits(
        &mut self,
        observations: &[(UpstreamName, LimitObservation)],
        now: Time,
        digest: &mut Digest,
    ) {
        for (name, observation) in observations {
            if digest.limits.len() == LIMITS_MAX {
                return;
            }
            let summary = UpstreamSummary {
                service: name.service.clone(),
                upstream: name.name.clone(),
                in_flight: 0,
                load: None,
                leaving: false,
            };
            let Some(at) = self.upstream_index(&summary, now, digest) else { continue };
            if self.is_limit_due(at as u16, observation, now) {
                digest.limits.push(UpstreamLimit {
                    upstream: at as u16,
                    per_second: observation.per_second,
                    age: now.since(observation.at),
                });
            }
        }
    }

    /// Returns whether a rate limit is to be sent, and then counts it as sent.
    fn is_limit_due(&mut self, upstream: u16, observation: &LimitObservation, now: Time) -> bool {
        let found = self.limits.binary_search_by_key(&upstream, |(at, ..)| *at);
        let is_due = found.is_err()
            || found.is_ok_and(|i| {
                let (_, sent, at) = &self.limits[i];
                let is_confirmed = observation.at > sent.at && now.since(*at) >= LIMIT_RESEND_AFTER;
                observation.differs_from(sent) || is_confirmed
            });
        match found {
            _ if !is_due => {}
            Ok(i) => self.limits[i] = (upstream, *observation, now),
            Err(i) => self.limits.insert(i, (upstream, *observation, now)),
        }
        is_due
    }

    /// Adds the cold upstreams that are new to the receiver or stay cold longer than it knows, up to a
    /// limit.
    pub fn add_cold_upstreams(
        &mut self,
        cold: &[(UpstreamName, Duration)],
        now: Time,
        digest: &mut Digest,
    ) {
        for (name, remaining) in cold {
            if digest.cold.len() == COLD_MAX {
                return;
            }
            let summary = UpstreamSummary {
                service: name.service.clone(),
                upstream: name.name.clone(),
                in_flight: 0,
                load: None,
                leaving: false,
            };
            let Some(at) = self.upstream_index(&summary, now, digest) else { continue };
            let (upstream, remaining, until) = (at as u16, *remaining, now + *remaining);
            match self.cold.binary_search_by_key(&upstream, |(at, _)| *at) {
                Ok(i) if until < self.cold[i].1 + COLD_CHANGE_MIN => continue,
                Ok(i) => self.cold[i].1 = until,
                Err(i) => self.cold.insert(i, (upstream, until)),
            }
            digest.cold.push(ColdUpstream { upstream, remaining });
        }
    }

    /// Adds the reports on requests that were not sent before, up to a limit.
    pub fn add_request_reports(
        &mut self,
        suspects: &PoisonRequests,
        now: Time,
        digest: &mut Digest,
    ) {
        if self.request_reports_up_to == suspects.newest() {
            return;
        }
        let all = suspects.reports();
        let mut numbers: Vec<u64> = all.iter().map(|(number, _)| *number).collect();
        numbers.sort_unstable();
        self.sent_request_reports.retain(|sent| numbers.binary_search(sent).is_ok());
        for (number, report) in all {
            let Err(at) = self.sent_request_reports.binary_search(&number) else { continue };
            if digest.request_reports.len() == REQUEST_REPORTS_MAX {
                return;
            }
            self.sent_request_reports.insert(at, number);
            digest.request_reports.push(RelayedReport {
                fingerprint: report.fingerprint,
                event: report.event,
                age: now.since(report.at),
                took: report.at.since(report.sent),
            });
        }
        self.request_reports_up_to = suspects.newest();
    }

    /// Adds the evacuation orders that differ from those sent before.
    pub fn add_evacuations<'a>(
        &mut self,
        orders: impl Iterator<Item = &'a EvacuationOrder>,
        digest: &mut Digest,
    ) {
        for order in orders {
            match self.evacuations.binary_search_by(|o| o.data_centre.cmp(&order.data_centre)) {
                Ok(at) if self.evacuations[at] == *order => continue,
                Ok(at) => self.evacuations[at] = order.clone(),
                Err(at) => self.evacuations.insert(at, order.clone()),
            }
            digest.evacuations.push(order.clone());
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
                    is_over: false,
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
        match self.find_process(&process.host, process.incarnation) {
            Ok(at) => Some(at),
            Err(_) if self.processes.len() == PROCESSES_MAX => None,
            Err(_) => Some(self.add_process(process, digest)),
        }
    }

    /// Returns the index of a process, or if it isn't named yet, the position in `sorted_processes`
    /// at which to insert it.
    fn find_process(&self, host: &str, incarnation: u64) -> Result<usize, usize> {
        let found = self.sorted_processes.binary_search_by(|at| {
            let named = &self.processes[usize::from(*at)].item;
            (&*named.host, named.incarnation).cmp(&(host, incarnation))
        });
        found.map(|position| usize::from(self.sorted_processes[position]))
    }

    fn add_process(&mut self, process: &Process, digest: &mut Digest) -> usize {
        digest.processes.push(process.clone());
        if let Err(position) = self.find_process(&process.host, process.incarnation) {
            self.sorted_processes.insert(position, self.processes.len() as u16);
        }
        let sent = Sent { item: process.clone(), counter: 0, at: Time::ZERO, is_over: false };
        self.processes.push(sent);
        self.processes.len() - 1
    }
}

/// The decoder of one connection's digests, which resolves them by what has been received before.
#[derive(Debug, Default)]
pub struct DeltaDecoder {
    /// The processes named so far, with the newest counter received for each.
    processes: Vec<(Process, u32)>,
    /// Indices into `processes`, sorted by host and incarnation.
    sorted: Vec<u16>,
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
    /// Rate limits of upstreams.
    pub limits: Vec<(UpstreamName, LimitObservation)>,
    /// Cold upstreams, with the time until each is warm again.
    pub cold: Vec<(UpstreamName, Duration)>,
    /// RequestReport on requests under which upstreams have ended.
    pub request_reports: Vec<RequestReport>,
    /// Orders to evacuate data centres.
    pub evacuations: Vec<EvacuationOrder>,
}

impl DeltaDecoder {
    /// Returns the sender's process, or `None` before the first digest that names it.
    pub fn sender(&self) -> Option<&Process> {
        self.processes.first().map(|(p, _)| p)
    }

    /// Returns the newest heartbeat counter that the sender has sent for a process.
    pub fn counter_of(&self, process: &Process) -> Option<u32> {
        let position = self.position(process).ok()?;
        Some(self.processes[usize::from(self.sorted[position])].1)
    }

    /// Returns the position of a process in `sorted`, or the one at which to insert it.
    fn position(&self, process: &Process) -> Result<usize, usize> {
        self.sorted.binary_search_by(|at| {
            let named = &self.processes[usize::from(*at)].0;
            (&*named.host, named.incarnation).cmp(&(&*process.host, process.incarnation))
        })
    }

    fn add_process(&mut self, process: &Process) {
        if let Err(position) = self.position(process) {
            self.sorted.insert(position, self.processes.len() as u16);
        }
        self.processes.push((process.clone(), 0));
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
        digest.processes.iter().for_each(|p| self.add_process(p));
        self.upstreams.extend(digest.upstreams.iter().cloned());
        let sender = self.sender()?.clone();
        let (counter, left) = (digest.heartbeat, digest.left);
        let own = Heartbeat { counter, at: now, left, dead: false };
        let mut heartbeats = vec![(sender.clone(), own)];
        for entry in &digest.heartbeats {
            let Some(named) = self.processes.get_mut(usize::from(entry.process)) else { continue };
            named.1 = named.1.max(entry.counter);
            let at = before(now, entry.age);
            heartbeats.push((
                named.0.clone(),
                Heartbeat { counter: entry.counter, at, left: entry.left, dead: entry.dead },
            ));
        }
        let loads = digest.loads.iter().filter_map(|l| self.load(l)).collect();
        let leaving_upstreams =
            digest.leaving_upstreams.iter().filter_map(|l| self.observation(l, now)).collect();
        let limits = digest.limits.iter().filter_map(|l| self.limit(l, now)).collect();
        let cold = |c: &ColdUpstream| {
            Some((self.upstreams.get(usize::from(c.upstream))?.clone(), c.remaining))
        };
        let cold = digest.cold.iter().filter_map(cold).collect();
        let report = |r: &RelayedReport| {
            let at = before(now, r.age);
            let (fingerprint, event) = (r.fingerprint, r.event);
            RequestReport { fingerprint, event, sent: at.before(r.took), at }
        };
        let request_reports = digest.request_reports.iter().map(report).collect();
        Some(DecodedDigest {
            sender,
            heartbeats,
            loads,
            leaving_upstreams,
            limits,
            cold,
            request_reports,
            evacuations: digest.evacuations.clone(),
        })
    }

    fn limit(&self, limit: &UpstreamLimit, now: Time) -> Option<(UpstreamName, LimitObservation)> {
        let name = self.upstreams.get(usize::from(limit.upstream))?.clone();
        let at = before(now, limit.age);
        Some((name, LimitObservation { per_second: limit.per_second, at }))
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
