//! Fleet membership: which entry hosts are alive, and which of them owns each shared duty. A duty
//! is a task that one host does for the whole fleet or for its data centre, identified by a name.
//!
//! In a small fleet, a host counts as alive while its newest heartbeat, received directly or relayed
//! by a peer, is younger than [`Members::dead_after`]. In a large one, only its neighbours watch it,
//! and the first one that finds it silent declares it dead, which all hosts tell each other. So a
//! fleet without changes tells nothing of its members, whatever its size. A process that learns of
//! its own death raises its incarnation, by which it is alive again (as in SWIM by Das, Gupta and
//! Motivala, 2002).
//!
//! A host whose view may be incomplete, because it has just started or was paused, owns no duty.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use twox_hash::XxHash64;

use serde::{Deserialize, Serialize};

use crate::decide::topology::{self, Vertex};
use crate::settings::Peer;
use crate::time::Time;

/// In a small fleet, a host counts as dead once its newest heartbeat is this old.
pub const DEAD_AFTER: Duration = Duration::from_millis(1_800);

/// The counterpart of [`DEAD_AFTER`] for a fleet of more than [`SMALL_FLEET_MAX`] hosts: the time
/// without an exchange after which a host declares a neighbour dead.
pub const DEAD_AFTER_LARGE: Duration = Duration::from_millis(4_000);

/// The number of hosts up to which a fleet counts as small and [`DEAD_AFTER`] applies.
pub const SMALL_FLEET_MAX: usize = 30;

/// The number of hosts up to which heartbeats are relayed. It is above [`SMALL_FLEET_MAX`], so that
/// a host that knows a few hosts less than its peers still receives the heartbeats that it needs.
const RELAY_FLEET_MAX: usize = 40;

/// The time between two ticks above which the process is taken to have been paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_000);

/// A host that is not listed is removed once it has counted as dead for this long.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// The result of [`Members::owner`] when no owner can be determined.
const NO_OWNER: &str = "";

/// A running instance of the daemon on an entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Process {
    /// The host's name.
    pub host: Arc<str>,
    /// The host's data centre.
    pub data_centre: Arc<str>,
    /// The address on which the host accepts peer connections.
    pub address: SocketAddr,
    /// Increases with each start of the daemon on this host.
    pub incarnation: u64,
    /// The bandwidth of the host's network link, in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
}

/// A heartbeat of a [`Process`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Increases over the lifetime of the process.
    pub counter: u32,
    /// When the process sent it, by the clock of the host that records it.
    pub at: Time,
    /// Whether the process has announced that it is shutting down.
    pub left: bool,
    /// Whether a neighbour has declared the process dead.
    pub dead: bool,
}

/// A peer, as this host knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The peer's host name.
    pub host: Arc<str>,
    /// The peer's data centre.
    pub data_centre: Arc<str>,
    /// The address on which it accepts peer connections.
    pub address: SocketAddr,
    /// The incarnation of its newest known process; 0 before the first heartbeat.
    pub incarnation: u64,
    /// The bandwidth of its network link, in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
    /// The counter of its newest heartbeat.
    pub counter: u32,
    /// When its newest heartbeat was sent, by this host's clock.
    pub last_heartbeat: Option<Time>,
    /// Whether it has announced that it is shutting down.
    pub left: bool,
    /// Whether a neighbour has declared its newest known process dead.
    pub dead: bool,
    /// Whether the settings or the registry name it.
    pub listed: bool,
    /// Whether this host has fetched all of the peer's records. Cleared when the peer restarts and
    /// when this host was paused.
    pub synced: bool,
    /// When this host learned of its newest process, or of its shutdown.
    pub changed: Time,
    hash: u64,
    state: MemberState,
}

impl Member {
    /// Returns the newest known process of this peer.
    pub fn process(&self) -> Process {
        Process {
            host: self.host.clone(),
            data_centre: self.data_centre.clone(),
            address: self.address,
            incarnation: self.incarnation,
            link_mbps: self.link_mbps,
        }
    }

    fn new(process: &Process, listed: bool) -> Member {
        Member {
            host: process.host.clone(),
            data_centre: process.data_centre.clone(),
            address: process.address,
            incarnation: process.incarnation,
            link_mbps: process.link_mbps,
            counter: 0,
            last_heartbeat: None,
            left: false,
            dead: false,
            listed,
            synced: false,
            changed: Time::ZERO,
            hash: hash(&process.host),
            state: MemberState::Unknown,
        }
    }

    fn replace_process(&mut self, process: &Process) {
        self.data_centre = process.data_centre.clone();
        if !process.address.ip().is_unspecified() {
            self.address = process.address;
        }
        self.incarnation = process.incarnation;
        self.link_mbps = process.link_mbps;
        self.counter = 0;
        self.last_heartbeat = None;
        self.left = false;
        self.dead = false;
        self.synced = false;
    }
}

/// The state of a peer as this host sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// No heartbeat of it is known, or the newest one is from before a pause of this host and the
    /// view is not complete yet.
    Unknown,
    /// Its newest heartbeat is younger than [`Members::dead_after`].
    Alive,
    /// Its newest heartbeat is at least that old, or it was declared dead.
    Dead,
    /// It has announced that it is shutting down.
    Left,
}

/// A change of a member's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// The member's host name.
    pub host: Arc<str>,
    /// Its new state.
    pub state: MemberState,
}

/// The result of recording a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// It is the newest heartbeat of its process.
    Newer,
    /// It is the first from a process, or the first to announce a shutdown or a death.
    Changed,
    /// A heartbeat at least as new is already known.
    NotNewer,
    /// It comes from an earlier process than the newest known one of that host.
    Superseded,
    /// It carries this host's own name.
    OwnName,
}

/// The table of this host's peers, sorted by name. This host itself is not in it.
#[derive(Clone, Debug)]
pub struct Members {
    host: Arc<str>,
    data_centre: Arc<str>,
    hash: u64,
    /// The bandwidth of this host's network link, in Mbit/s; 0 if unknown.
    link_mbps: u32,
    leaving: bool,
    members: Vec<Member>,
    /// The hosts that the registry names as known to some host, sorted.
    recorded: Vec<Arc<str>>,
    /// Those of them that this host hasn't heard of, with their hashes.
    unheard: Vec<(u64, Arc<str>)>,
    last_tick: Time,
    /// When this host started or last resumed from a pause; older heartbeats don't count.
    view_reset: Time,
}

impl Members {
    /// Creates the table of a host that knows no peers yet.
    pub fn new(host: Arc<str>, data_centre: Arc<str>) -> Members {
        let hash = hash(&host);
        Members {
            host,
            data_centre,
            hash,
            link_mbps: 0,
            leaving: false,
            members: Vec::new(),
            recorded: Vec::new(),
            unheard: Vec::new(),
            last_tick: Time::ZERO,
            view_reset: Time::ZERO,
        }
    }

    /// Sets the bandwidth of this host's network link, in Mbit/s.
    #[must_use]
    pub fn with_link(self, link_mbps: u32) -> Members {
        Members { link_mbps, ..self }
    }

    /// Returns all known peers, alive or not, sorted by name.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the number of known hosts, this one included and whether alive or not, with those
    /// that the registry names. `None` while no other is known although there may be some: a host
    /// that took itself for the only one would use the whole fleet's budgets.
    pub fn known_hosts(&self, may_have_peers: bool) -> Option<usize> {
        let others = self.members.len() + self.unheard.len();
        let is_unknown = others == 0 && may_have_peers;
        (!is_unknown).then_some(others + 1)
    }

    /// Sets the hosts that the registry names as known to some host, sorted.
    pub fn set_recorded(&mut self, hosts: Vec<Arc<str>>) {
        self.recorded = hosts;
        self.update_unheard();
    }

    /// Returns whether the registry names hosts that this host hasn't heard of.
    pub fn has_unheard(&self) -> bool {
        !self.unheard.is_empty()
    }

    fn update_unheard(&mut self) {
        let is_unheard = |h: &&Arc<str>| **h != self.host && self.find(h).is_err();
        let unheard = self.recorded.iter().filter(is_unheard);
        self.unheard = unheard.map(|h| (hash(h), h.clone())).collect();
    }

    /// Returns the peer with this name.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.find(host).ok().map(|at| &self.members[at])
    }

    /// Replaces the set of peers that the settings and the host list name. A peer that is no longer
    /// named and has sent heartbeats stays until [`Members::tick`] removes it. A peer whose
    /// heartbeats are recent keeps the address and data centre that it has announced itself.
    pub fn set_listed(&mut self, hosts: &[Peer], now: Time) {
        self.members.iter_mut().for_each(|m| m.listed = false);
        for peer in hosts.iter().filter(|p| p.host != self.host) {
            match self.find(&peer.host) {
                Ok(at) => {
                    let is_fresh = self.is_fresh(&self.members[at], now);
                    let member = &mut self.members[at];
                    member.listed = true;
                    if !is_fresh {
                        member.data_centre = peer.data_centre.clone();
                        member.address = peer.address;
                    }
                }
                Err(at) => {
                    let process = Process {
                        host: peer.host.clone(),
                        data_centre: peer.data_centre.clone(),
                        address: peer.address,
                        incarnation: 0,
                        link_mbps: 0,
                    };
                    self.members.insert(at, Member::new(&process, true));
                }
            }
        }
        self.members.retain(|m| m.listed || m.last_heartbeat.is_some());
        self.update_unheard();
    }

    /// Records a heartbeat that arrived at `now`, and adds its host if that is not a member yet.
    pub fn record_heartbeat(
        &mut self,
        process: &Process,
        heartbeat: Heartbeat,
        now: Time,
    ) -> HeartbeatOutcome {
        if process.host == self.host {
            return HeartbeatOutcome::OwnName;
        }
        let at = match self.find(&process.host) {
            Ok(at) => at,
            Err(at) => {
                self.members.insert(at, Member::new(process, false));
                self.unheard.retain(|(_, host)| *host != process.host);
                at
            }
        };
        let member = &mut self.members[at];
        if process.incarnation < member.incarnation {
            return HeartbeatOutcome::Superseded;
        }
        let is_first = process.incarnation > member.incarnation || member.last_heartbeat.is_none();
        let changed = is_first || heartbeat.left && !member.left || heartbeat.dead && !member.dead;
        if process.incarnation > member.incarnation {
            member.replace_process(process);
        }
        // Hosts of earlier releases pass a process on without it.
        member.link_mbps = member.link_mbps.max(process.link_mbps);
        member.left |= heartbeat.left;
        member.dead |= heartbeat.dead;
        if changed {
            member.changed = now;
        }
        if member.last_heartbeat.is_some() && heartbeat.counter <= member.counter {
            return if changed { HeartbeatOutcome::Changed } else { HeartbeatOutcome::NotNewer };
        }
        member.counter = heartbeat.counter;
        member.last_heartbeat = member.last_heartbeat.max(Some(heartbeat.at));
        if changed { HeartbeatOutcome::Changed } else { HeartbeatOutcome::Newer }
    }

    /// Declares a host dead that has been silent as a neighbour. Returns false if that was known.
    pub fn declare_dead(&mut self, host: &str, now: Time) -> bool {
        let Ok(at) = self.find(host) else { return false };
        let member = &mut self.members[at];
        let is_new = !member.dead && !member.left && member.last_heartbeat.is_some();
        if is_new {
            (member.dead, member.changed) = (true, now);
        }
        is_new
    }

    /// Marks a member as synced: this host has all of its records.
    pub fn set_synced(&mut self, host: &str) {
        if let Ok(at) = self.find(host) {
            self.members[at].synced = true;
        }
    }

    /// Gives up all duties of this host until the process exits.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Disregards all heartbeats and syncs so far, since this host was paused and can't tell what
    /// it has missed.
    pub fn reset_view(&mut self, now: Time) {
        self.last_tick = now;
        self.view_reset = now;
        self.members.iter_mut().for_each(|m| m.synced = false);
    }

    /// Records that the process has run since the last tick, however late this one is.
    pub fn keep_view(&mut self, now: Time) {
        self.last_tick = now;
    }

    /// Updates the state of every member and returns the changes. Resets the view if the last tick
    /// is longer ago than [`PAUSE_THRESHOLD`], and removes members that are not listed and have
    /// counted as dead for 30 s. A host that hears from less than half of its peers may itself be
    /// cut off, and removes none: it must neither lose the way back nor take over the others' shares
    /// of what the fleet may do.
    pub fn tick(&mut self, now: Time) -> Vec<MemberChange> {
        if now.since(self.last_tick) > PAUSE_THRESHOLD {
            self.reset_view(now);
        }
        self.last_tick = now;
        let forget_after = self.dead_after() + FORGET_AFTER;
        let is_large = self.is_large();
        let is_expired = |m: &Member| match m.last_heartbeat {
            Some(_) if is_large => (m.dead || m.left) && now.since(m.changed) > FORGET_AFTER,
            last => last.is_some_and(|t| now.since(t) > forget_after),
        };
        if self.recently_heard(now).count() * 2 >= self.members.len() {
            let count = self.members.len();
            self.members.retain(|m| m.listed || !is_expired(m));
            if self.members.len() < count {
                self.update_unheard();
            }
        }
        let states: Vec<MemberState> = self.members.iter().map(|m| self.state_of(m, now)).collect();
        let mut changes = Vec::new();
        for (member, state) in self.members.iter_mut().zip(states) {
            if member.state != state {
                member.state = state;
                changes.push(MemberChange { host: member.host.clone(), state });
            }
        }
        changes
    }

    /// Returns the state of a host, or `None` if it is not a member.
    pub fn state(&self, host: &str, now: Time) -> Option<MemberState> {
        let at = self.find(host).ok()?;
        Some(self.state_of(&self.members[at], now))
    }

    /// Returns the peers that are alive.
    pub fn alive(&self, now: Time) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(move |m| self.is_alive(m, now))
    }

    /// Returns the peers whose heartbeats are recent, including those that are shutting down.
    pub fn recently_heard(&self, now: Time) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(move |m| self.is_fresh(m, now))
    }

    /// Returns whether enough time has passed since this host started or was paused for a heartbeat
    /// of every live peer to have arrived. Always true without peers; otherwise false if the last
    /// tick is longer ago than [`PAUSE_THRESHOLD`].
    pub fn is_view_complete(&self, now: Time) -> bool {
        let waited = now.since(self.view_reset) >= self.dead_after();
        self.members.is_empty() || (waited && now.since(self.last_tick) <= PAUSE_THRESHOLD)
    }

    /// Returns the name of the host that owns `duty`, chosen among the live hosts, this one
    /// included, by rendezvous hashing (Thaler and Ravishankar, 1998). Returns an empty string
    /// while this host's view is incomplete, and when every host is shutting down.
    pub fn owner(&self, duty: &str, now: Time) -> &str {
        if !self.is_view_complete(now) {
            return NO_OWNER;
        }
        let duty = hash(duty);
        let own = (!self.leaving).then_some((mix(self.hash, duty), &*self.host));
        let others = self.alive(now).map(|m| (mix(m.hash, duty), &*m.host));
        own.into_iter().chain(others).max().map_or(NO_OWNER, |(_, host)| host)
    }

    /// Returns this host's rank among the live hosts for a duty that moves many bytes: the number of
    /// hosts that come before it, those with the widest links first. Unlike [`Members::owner`], it is also known while this host's view is
    /// incomplete, and may then be too low. `None` if this host is shutting down.
    pub fn rank(&self, duty: &str, now: Time) -> Option<usize> {
        let duty = hash(duty);
        let own = (self.link_mbps, mix(self.hash, duty), &*self.host);
        let is_before = |m: &&Member| (m.link_mbps, mix(m.hash, duty), &*m.host) > own;
        let before = self.alive(now).filter(is_before).count();
        (!self.leaving).then_some(before)
    }

    /// Returns a hash over the known processes and whether they have left or died, this host's own
    /// excluded. Hosts with the same view of the fleet have the same hash once
    /// [`process_fingerprint`] of their own processes is combined with it by an exclusive or.
    pub fn fingerprint(&self) -> u64 {
        let known = self.members.iter().filter(|m| m.last_heartbeat.is_some());
        let is_over = |m: &Member| m.left || m.dead;
        known.map(|m| process_fingerprint(&m.host, m.incarnation, is_over(m))).fold(0, |a, b| a ^ b)
    }

    /// Returns the number of live peers from which this host has fetched all records, see
    /// [`Member::synced`].
    pub fn synced_count(&self) -> usize {
        let is_alive = |m: &&Member| self.is_alive(m, self.last_tick);
        self.members.iter().filter(|m| m.synced).filter(is_alive).count()
    }

    /// Returns whether this host owns `duty`.
    pub fn owns(&self, duty: &str, now: Time) -> bool {
        self.owner(duty, now) == &*self.host
    }

    /// Returns whether this host is one of the `count` owners of `duty`; false while this host's view
    /// is incomplete, while it knows no peers though there may be some, and if it is shutting down.
    pub fn is_among_owners(
        &self,
        duty: &str,
        count: usize,
        may_have_peers: bool,
        now: Time,
    ) -> bool {
        let is_fleet_known = self.known_hosts(may_have_peers).is_some();
        let is_among_first = || self.rank(duty, now).is_some_and(|rank| rank < count);
        is_fleet_known && self.is_view_complete(now) && is_among_first()
    }

    /// Returns whether this host is one of the `count` owners of `duty` among all known hosts that have
    /// not left, whether alive or not: hosts that are cut off from each other don't take each other's
    /// part. Otherwise like [`Members::is_among_owners`].
    pub fn is_among_known_owners(
        &self,
        duty: &str,
        count: usize,
        may_have_peers: bool,
        now: Time,
    ) -> bool {
        let is_fleet_known = self.known_hosts(may_have_peers).is_some();
        let is_among_first = || {
            let duty = hash(duty);
            let own = (mix(self.hash, duty), &*self.host);
            let others = self.members.iter().filter(|m| !m.left).map(|m| (m.hash, &*m.host));
            let unheard = self.unheard.iter().map(|(h, host)| (*h, &**host));
            others.chain(unheard).filter(|(h, host)| (mix(*h, duty), *host) > own).count() < count
        };
        is_fleet_known && !self.leaving && self.is_view_complete(now) && is_among_first()
    }

    /// Returns whether this host is the one that may do what must not be done on both sides of a
    /// cut. While the owner is dead or beyond the cut, nobody may. Otherwise like
    /// [`Members::is_among_owners`].
    pub fn is_only_owner(&self, duty: &str, may_have_peers: bool, now: Time) -> bool {
        self.is_among_known_owners(duty, 1, may_have_peers, now)
    }

    /// Returns whether this host is one of the `count` owners of `duty` in its data centre; false
    /// if it is shutting down. Always true while this host's view is incomplete, since doing such a
    /// duty twice is harmless.
    pub fn owns_in_data_centre(&self, duty: &str, count: usize, now: Time) -> bool {
        if !self.is_view_complete(now) {
            return true;
        }
        let duty = hash(duty);
        let own = (mix(self.hash, duty), &*self.host);
        let higher_ranked = self
            .alive(now)
            .filter(|m| m.data_centre == self.data_centre)
            .filter(|m| (mix(m.hash, duty), &*m.host) > own);
        !self.leaving && higher_ranked.count() < count
    }

    /// Returns the names of the peers with which this host should exchange digests. Until this host
    /// has had time to receive every peer's heartbeat, peers without a recent one count as
    /// reachable.
    pub fn neighbours(&self, now: Time) -> Vec<Arc<str>> {
        let is_waiting = now.since(self.view_reset) < self.dead_after();
        let reachable = self.members.iter().filter(|m| is_waiting || self.is_fresh(m, now));
        let mut vertices: Vec<Vertex> =
            reachable.map(|m| vertex(&m.host, m.hash, &m.data_centre)).collect();
        vertices.push(vertex(&self.host, self.hash, &self.data_centre));
        topology::neighbours(&vertices, &self.host)
    }

    /// Returns whether the fleet has more than [`SMALL_FLEET_MAX`] hosts, this one included.
    pub fn is_large(&self) -> bool {
        self.members.len() >= SMALL_FLEET_MAX
    }

    /// Returns the age of the newest heartbeat at which a host counts as dead in this fleet.
    pub fn dead_after(&self) -> Duration {
        if self.is_large() { DEAD_AFTER_LARGE } else { DEAD_AFTER }
    }

    /// Returns whether links relay the heartbeats of other hosts, and not only their changes.
    pub fn relays_heartbeats(&self) -> bool {
        self.members.len() < RELAY_FLEET_MAX
    }

    fn state_of(&self, member: &Member, now: Time) -> MemberState {
        match member.last_heartbeat {
            None => MemberState::Unknown,
            Some(_) if member.left => MemberState::Left,
            Some(_) if member.dead => MemberState::Dead,
            Some(_) if self.is_fresh(member, now) => MemberState::Alive,
            Some(at) if at < self.view_reset && !self.is_view_complete(now) => MemberState::Unknown,
            Some(_) => MemberState::Dead,
        }
    }

    fn is_alive(&self, member: &Member, now: Time) -> bool {
        !member.left && self.is_fresh(member, now)
    }

    /// Returns whether a member's newest heartbeat is recent, or in a large fleet, whether it has
    /// not been declared dead.
    fn is_fresh(&self, member: &Member, now: Time) -> bool {
        let Some(at) = member.last_heartbeat else { return false };
        if member.dead || self.is_large() {
            return !member.dead;
        }
        at >= self.view_reset && now.since(at) < self.dead_after()
    }

    fn find(&self, host: &str) -> Result<usize, usize> {
        self.members.binary_search_by(|m| (*m.host).cmp(host))
    }
}

/// Returns a hash of a process and of whether it has left or died, see [`Members::fingerprint`].
pub fn process_fingerprint(host: &str, incarnation: u64, is_over: bool) -> u64 {
    mix(mix(hash(host), incarnation), u64::from(is_over))
}

fn vertex(host: &Arc<str>, host_hash: u64, data_centre: &str) -> Vertex {
    Vertex { data_centre: hash(data_centre), hash: host_hash, host: host.clone() }
}

fn hash(text: &str) -> u64 {
    XxHash64::oneshot(0, text.as_bytes())
}

/// Combines two hashes with the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
fn mix(a: u64, b: u64) -> u64 {
    let z = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
