//! Which entry hosts are alive, and who does which shared duty.
//!
//! A host is alive while its heartbeats, heard directly or relayed, are younger than a bound. A
//! host that can't be sure of its own view, because it has just started or was paused, owns no duty.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use twox_hash::XxHash64;

use serde::{Deserialize, Serialize};

use crate::decide::topology::{self, Vertex};
use crate::settings::Peer;
use crate::time::Time;

/// The age of the newest heartbeat at which a host counts as dead.
pub const DEAD_AFTER: Duration = Duration::from_millis(1_800);

/// The same for fleets above [`SMALL_FLEET_MAX`], whose heartbeats take more hops.
pub const DEAD_AFTER_LARGE: Duration = Duration::from_millis(4_000);

/// The least time between two heartbeats of one host that a link relays in such a fleet. Each host
/// hears of every other over several links, at different times.
const RELAY_GAP_LARGE: Duration = Duration::from_millis(2_500);

/// Hosts up to which [`DEAD_AFTER`] applies.
pub const SMALL_FLEET_MAX: usize = 30;

/// The time without a tick after which a host takes itself for paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_000);

/// The time after which a dead host that no list names is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// The owner of a duty while a host is not sure of its view.
const NO_OWNER: &str = "";

/// One run of the daemon on an entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Process {
    /// The host's name.
    pub host: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Its peer address.
    pub address: SocketAddr,
    /// Rises with each start of the host's process.
    pub incarnation: u64,
}

/// A heartbeat of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Rises while the process runs.
    pub counter: u32,
    /// When the process sent it, by this host's clock.
    pub at: Time,
    /// Whether the process leaves in order.
    pub left: bool,
}

/// What is known of another entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub host: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Its peer address.
    pub address: SocketAddr,
    /// Rises with each start of the host's process; 0 before the first heartbeat.
    pub incarnation: u64,
    /// The newest heartbeat's counter.
    pub counter: u32,
    /// When the newest heartbeat was sent, by this host's clock.
    pub last_heartbeat: Option<Time>,
    /// Whether the host has said that it leaves.
    pub left: bool,
    /// Whether the settings or the host list name it.
    pub listed: bool,
    /// Whether its records have been taken in whole since this host started or was paused.
    pub synced: bool,
    hash: u64,
    state: MemberState,
}

impl Member {
    /// Returns the process whose heartbeats are taken in.
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

    fn restarted(&mut self, process: &Process) {
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

/// How a member stands in this host's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// No heartbeat was heard since this host started or was paused.
    Unknown,
    /// Its heartbeats are young enough.
    Alive,
    /// Its heartbeats are too old.
    Dead,
    /// It has said that it leaves.
    Left,
}

/// A member whose state has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// The host's name.
    pub host: Arc<str>,
    /// Its new state.
    pub state: MemberState,
}

/// What became of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// It is the newest of its host.
    Newer,
    /// It is the first of a new process, or the process now leaves.
    Changed,
    /// As new a one is known.
    Same,
    /// A later process runs under the host's name.
    Superseded,
    /// It bears this host's own name.
    Own,
}

/// The entry hosts that this host knows, itself left out, sorted by name.
#[derive(Clone, Debug)]
pub struct Members {
    host: Arc<str>,
    data_centre: Arc<str>,
    hash: u64,
    leaving: bool,
    members: Vec<Member>,
    ticked: Time,
    resumed: Time,
}

impl Members {
    /// Makes the table of a host that knows no other.
    pub fn new(host: Arc<str>, data_centre: Arc<str>) -> Members {
        let hash = hash(&host);
        Members {
            host,
            data_centre,
            hash,
            leaving: false,
            members: Vec::new(),
            ticked: Time::ZERO,
            resumed: Time::ZERO,
        }
    }

    /// Returns the other hosts that are known, alive or not.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Finds another host by name.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.find(host).ok().map(|at| &self.members[at])
    }

    /// Replaces the hosts that the settings and the host list name. A host that is no longer named
    /// stays for as long as it is heard, and a host that is heard keeps the address that it told.
    pub fn set_listed(&mut self, hosts: &[Peer], now: Time) {
        self.members.iter_mut().for_each(|m| m.listed = false);
        for peer in hosts.iter().filter(|p| p.host != self.host) {
            match self.find(&peer.host) {
                Ok(at) => {
                    let is_heard = self.is_fresh(&self.members[at], now);
                    let member = &mut self.members[at];
                    member.listed = true;
                    if !is_heard {
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

    /// Takes in a heartbeat. A host that no list names yet is added.
    pub fn record_heartbeat(&mut self, process: &Process, beat: Heartbeat) -> HeartbeatOutcome {
        if process.host == self.host {
            return HeartbeatOutcome::Own;
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
        let changed = process.incarnation > member.incarnation || beat.left && !member.left;
        if process.incarnation > member.incarnation {
            member.restarted(process);
        }
        member.left |= beat.left;
        if member.last_heartbeat.is_some() && beat.counter <= member.counter {
            return if changed { HeartbeatOutcome::Changed } else { HeartbeatOutcome::Same };
        }
        member.counter = beat.counter;
        member.last_heartbeat = member.last_heartbeat.max(Some(beat.at));
        if changed { HeartbeatOutcome::Changed } else { HeartbeatOutcome::Newer }
    }

    /// Takes note that all records of a member are known here.
    pub fn set_synced(&mut self, host: &str) {
        if let Ok(at) = self.find(host) {
            self.members[at].synced = true;
        }
    }

    /// Takes this host out of every duty, for good.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Forgets how old everything is: this host was paused and its view is worth nothing.
    pub fn reset_view(&mut self, now: Time) {
        self.ticked = now;
        self.resumed = now;
        self.members.iter_mut().for_each(|m| m.synced = false);
    }

    /// Moves members between states. Returns those that have changed.
    pub fn tick(&mut self, now: Time) -> Vec<MemberChange> {
        if now.since(self.ticked) > PAUSE_THRESHOLD {
            self.reset_view(now);
        }
        self.ticked = now;
        let gone = |m: &Member| m.last_heartbeat.is_some_and(|t| now.since(t) > FORGET_AFTER);
        self.members.retain(|m| m.listed || !gone(m));
        let states: Vec<MemberState> = self.members.iter().map(|m| self.state_of(m, now)).collect();
        let mut out = Vec::new();
        for (member, state) in self.members.iter_mut().zip(states) {
            if member.state != state {
                member.state = state;
                out.push(MemberChange { host: member.host.clone(), state });
            }
        }
        out
    }

    /// Returns how a member stands; `None` if it isn't known.
    pub fn state(&self, host: &str, now: Time) -> Option<MemberState> {
        let at = self.find(host).ok()?;
        Some(self.state_of(&self.members[at], now))
    }

    /// Returns the other hosts that are alive.
    pub fn alive(&self, now: Time) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(move |m| self.is_alive(m, now))
    }

    /// Returns the other hosts that are heard of, also those that leave.
    pub fn recently_heard(&self, now: Time) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(move |m| self.is_fresh(m, now))
    }

    /// Tells whether this host has had the time to hear all others since it started or was paused.
    pub fn has_complete_view(&self, now: Time) -> bool {
        let heard = now.since(self.resumed) >= self.dead_after();
        self.members.is_empty() || (heard && now.since(self.ticked) <= PAUSE_THRESHOLD)
    }

    /// Returns the name of the host that owns `duty` among the hosts that are alive, this one
    /// included, by rendezvous hashing (Thaler and Ravishankar, 1998). Empty while this host is not
    /// certain of its view, and when every host leaves.
    pub fn owner(&self, duty: &str, now: Time) -> &str {
        if !self.has_complete_view(now) {
            return NO_OWNER;
        }
        let duty = hash(duty);
        let own = (!self.leaving).then_some((mix(self.hash, duty), &*self.host));
        let others = self.alive(now).map(|m| (mix(m.hash, duty), &*m.host));
        own.into_iter().chain(others).max().map_or(NO_OWNER, |(_, host)| host)
    }

    /// Returns how many live peers' records this host has taken in whole since it started or last
    /// resynchronised.
    pub fn synced_count(&self) -> usize {
        let alive = |m: &&Member| self.is_alive(m, self.ticked);
        self.members.iter().filter(|m| m.synced).filter(alive).count()
    }

    /// Tells whether this host owns `duty`.
    pub fn owns(&self, duty: &str, now: Time) -> bool {
        self.owner(duty, now) == &*self.host
    }

    /// Tells whether this host is one of its data centre's `count` owners of `duty`. True as well
    /// while this host is not certain of its view: such duties are harmless when done twice.
    pub fn owns_in_data_centre(&self, duty: &str, count: usize, now: Time) -> bool {
        if !self.has_complete_view(now) {
            return true;
        }
        let duty = hash(duty);
        let own = (mix(self.hash, duty), &*self.host);
        let ahead = self
            .alive(now)
            .filter(|m| m.data_centre == self.data_centre)
            .filter(|m| (mix(m.hash, duty), &*m.host) > own);
        !self.leaving && ahead.count() < count
    }

    /// Returns the names of the hosts that this host should exchange digests with.
    pub fn neighbours(&self, now: Time) -> Vec<Arc<str>> {
        let waiting = now.since(self.resumed) < self.dead_after();
        let reachable = self.members.iter().filter(|m| waiting || self.is_fresh(m, now));
        let mut places: Vec<Vertex> =
            reachable.map(|m| place(&m.host, m.hash, &m.data_centre)).collect();
        places.push(place(&self.host, self.hash, &self.data_centre));
        topology::neighbours(&places, &self.host)
    }

    /// Tells whether the fleet has more than [`SMALL_FLEET_MAX`] hosts, this one included.
    pub fn is_large(&self) -> bool {
        self.members.len() >= SMALL_FLEET_MAX
    }

    /// Returns the age at which a heartbeat is too old.
    pub fn dead_after(&self) -> Duration {
        if self.is_large() { DEAD_AFTER_LARGE } else { DEAD_AFTER }
    }

    /// Returns the least time between two heartbeats of one host that a link relays.
    pub fn relay_gap(&self) -> Duration {
        if self.is_large() { RELAY_GAP_LARGE } else { Duration::ZERO }
    }

    fn state_of(&self, member: &Member, now: Time) -> MemberState {
        match member.last_heartbeat {
            None => MemberState::Unknown,
            Some(_) if member.left => MemberState::Left,
            Some(_) if self.is_fresh(member, now) => MemberState::Alive,
            Some(at) if at < self.resumed && !self.has_complete_view(now) => MemberState::Unknown,
            Some(_) => MemberState::Dead,
        }
    }

    fn is_alive(&self, member: &Member, now: Time) -> bool {
        !member.left && self.is_fresh(member, now)
    }

    fn is_fresh(&self, member: &Member, now: Time) -> bool {
        let bound = self.dead_after();
        member.last_heartbeat.is_some_and(|t| t >= self.resumed && now.since(t) < bound)
    }

    fn find(&self, host: &str) -> Result<usize, usize> {
        self.members.binary_search_by(|m| (*m.host).cmp(host))
    }
}

fn place(host: &Arc<str>, hashed: u64, data_centre: &str) -> Vertex {
    Vertex { data_centre: hash(data_centre), hash: hashed, host: host.clone() }
}

fn hash(text: &str) -> u64 {
    XxHash64::oneshot(0, text.as_bytes())
}

/// Combines two hashes by the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
fn mix(a: u64, b: u64) -> u64 {
    let z = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
