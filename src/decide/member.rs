//! Fleet membership: which entry hosts are alive, and which of them owns each shared duty. A duty
//! is a task that one host does for the whole fleet or for its data centre, identified by a name.
//!
//! A host counts as alive while its newest heartbeat, received directly or relayed by a peer, is
//! younger than [`Members::dead_after`]. A host whose view may be incomplete, because it has just
//! started or was paused, owns no duty.

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

/// The counterpart of [`DEAD_AFTER`] for a fleet of more than [`SMALL_FLEET_MAX`] hosts, where
/// heartbeats take more hops.
pub const DEAD_AFTER_LARGE: Duration = Duration::from_millis(4_000);

/// The minimum time between two heartbeats of one host that a link relays in a large fleet. Each
/// host receives the heartbeats of every other over several links, at different times.
const RELAY_INTERVAL_LARGE: Duration = Duration::from_millis(2_500);

/// The number of hosts up to which a fleet counts as small and [`DEAD_AFTER`] applies.
pub const SMALL_FLEET_MAX: usize = 30;

/// The time between two ticks above which the process is taken to have been paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_000);

/// A host that is not listed is removed once its newest heartbeat is older than this.
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
    /// The counter of its newest heartbeat.
    pub counter: u32,
    /// When its newest heartbeat was sent, by this host's clock.
    pub last_heartbeat: Option<Time>,
    /// Whether it has announced that it is shutting down.
    pub left: bool,
    /// Whether the settings or the host list name it.
    pub listed: bool,
    /// Whether this host has fetched all of the peer's records. Cleared when the peer restarts and
    /// when this host was paused.
    pub synced: bool,
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
        }
    }

    fn new(process: &Process, listed: bool) -> Member {
        Member {
            host: process.host.clone(),
            data_centre: process.data_centre.clone(),
            address: process.address,
            incarnation: process.incarnation,
            counter: 0,
            last_heartbeat: None,
            left: false,
            listed,
            synced: false,
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
        self.counter = 0;
        self.last_heartbeat = None;
        self.left = false;
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
    /// Its newest heartbeat is at least that old.
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
    /// It is the newest heartbeat of its process. The first heartbeat of a host that is not a
    /// member yet is also of this kind.
    Newer,
    /// It is the first from a later process of a member, or the first to announce a shutdown.
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
    leaving: bool,
    members: Vec<Member>,
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
            leaving: false,
            members: Vec::new(),
            last_tick: Time::ZERO,
            view_reset: Time::ZERO,
        }
    }

    /// Returns all known peers, alive or not, sorted by name.
    pub fn members(&self) -> &[Member] {
        &self.members
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
                    };
                    self.members.insert(at, Member::new(&process, true));
                }
            }
        }
        self.members.retain(|m| m.listed || m.last_heartbeat.is_some());
    }

    /// Records a heartbeat, and adds its host if that is not a member yet.
    pub fn record_heartbeat(
        &mut self,
        process: &Process,
        heartbeat: Heartbeat,
    ) -> HeartbeatOutcome {
        if process.host == self.host {
            return HeartbeatOutcome::OwnName;
        }
        let at = match self.find(&process.host) {
            Ok(at) => at,
            Err(at) => {
                self.members.insert(at, Member::new(process, false));
                at
            }
        };
        let member = &mut self.members[at];
        if process.incarnation < member.incarnation {
            return HeartbeatOutcome::Superseded;
        }
        let changed = process.incarnation > member.incarnation || heartbeat.left && !member.left;
        if process.incarnation > member.incarnation {
            member.replace_process(process);
        }
        member.left |= heartbeat.left;
        if member.last_heartbeat.is_some() && heartbeat.counter <= member.counter {
            return if changed { HeartbeatOutcome::Changed } else { HeartbeatOutcome::NotNewer };
        }
        member.counter = heartbeat.counter;
        member.last_heartbeat = member.last_heartbeat.max(Some(heartbeat.at));
        if changed { HeartbeatOutcome::Changed } else { HeartbeatOutcome::Newer }
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

    /// Updates the state of every member and returns the changes. Resets the view if the last tick
    /// is longer ago than [`PAUSE_THRESHOLD`], and removes members that are not listed and whose
    /// newest heartbeat is more than 30 s old.
    pub fn tick(&mut self, now: Time) -> Vec<MemberChange> {
        if now.since(self.last_tick) > PAUSE_THRESHOLD {
            self.reset_view(now);
        }
        self.last_tick = now;
        let is_expired = |m: &Member| m.last_heartbeat.is_some_and(|t| now.since(t) > FORGET_AFTER);
        self.members.retain(|m| m.listed || !is_expired(m));
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

    /// Returns the minimum time between two heartbeats of one host that a link relays.
    pub fn relay_interval(&self) -> Duration {
        if self.is_large() { RELAY_INTERVAL_LARGE } else { Duration::ZERO }
    }

    fn state_of(&self, member: &Member, now: Time) -> MemberState {
        match member.last_heartbeat {
            None => MemberState::Unknown,
            Some(_) if member.left => MemberState::Left,
            Some(_) if self.is_fresh(member, now) => MemberState::Alive,
            Some(at) if at < self.view_reset && !self.is_view_complete(now) => MemberState::Unknown,
            Some(_) => MemberState::Dead,
        }
    }

    fn is_alive(&self, member: &Member, now: Time) -> bool {
        !member.left && self.is_fresh(member, now)
    }

    fn is_fresh(&self, member: &Member, now: Time) -> bool {
        let max_age = self.dead_after();
        member.last_heartbeat.is_some_and(|t| t >= self.view_reset && now.since(t) < max_age)
    }

    fn find(&self, host: &str) -> Result<usize, usize> {
        self.members.binary_search_by(|m| (*m.host).cmp(host))
    }
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
