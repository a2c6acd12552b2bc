//! Decides which peers to dial, and maintains a link to each of them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

use crate::decide::member::MemberState;
use crate::peer::dial;
use crate::peer::local::LocalState;
use crate::time::Time;

/// The time between two updates of the links.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// The same time in a large fleet, whose topology takes longer to compute.
const UPDATE_INTERVAL_LARGE: Duration = Duration::from_millis(250);

/// The time for which exchanges with peers that are no longer neighbours are remembered.
const EXCHANGES_KEPT: Duration = Duration::from_secs(30);

/// The time without an exchange after which this host dials a neighbour that should have dialled
/// it.
const INCOMING_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The same timeout, counted from the start or the last pause of this host. It is shorter, since
/// the neighbours may not know that this host is back.
const INCOMING_TIMEOUT_AFTER_START: Duration = Duration::from_millis(300);

/// A host that hears from less than its neighbours divided by this number owns no allowance. It is
/// less than half, since half of the hosts may end at once.
const CUT_OFF_DIVISOR: usize = 4;

/// The time without an exchange with any neighbour after which a host takes itself for isolated.
/// Longer than the time between two exchanges with one of them, and shorter than that after which
/// it counts as dead.
const ISOLATED_AFTER: Duration = Duration::from_millis(700);

/// The same time in a large fleet, whose hosts have more neighbours and exchange digests less
/// often.
const ISOLATED_AFTER_LARGE: Duration = Duration::from_millis(1_400);

/// The time for which one unreachable host is dialled before the next one is.
const RECONNECT_SLICE: Duration = Duration::from_millis(1_000);

/// A maintained link. Dropping it closes the connection.
struct Link {
    host: Arc<str>,
    address: SocketAddr,
    _task: AbortOnDropHandle<()>,
}

/// A peer to dial.
#[derive(Clone, Debug, PartialEq, Eq)]
struct DialTarget {
    host: Arc<str>,
    address: SocketAddr,
}

/// Maintains links to the neighbours until the process exits, and to one unreachable host at a time
/// in case it is back. After a pause of the process, all links are replaced, so that they start
/// with full digests.
pub(crate) async fn maintain(local: Rc<LocalState>) {
    let mut links: Vec<Link> = Vec::new();
    let mut reconnect = Reconnect::default();
    let mut watched = WatchedNeighbours::default();
    let mut started = local.node.clock.now();
    let mut pauses = 0;
    loop {
        let is_large = local.node.members.lock().is_large();
        sleep(if is_large { UPDATE_INTERVAL_LARGE } else { UPDATE_INTERVAL }).await;
        let now = local.node.clock.now();
        local.update_observations(now);
        let pause_count = local.node.pause_detector.lock().pause_count();
        if pause_count != pauses {
            pauses = pause_count;
            started = now;
            links.clear();
        }
        local.withdraw_lost_reports(started, now);
        let neighbours = local.node.members.lock().neighbours(now);
        watched.update(&local, &neighbours, started, now);
        let mut targets = neighbours_to_dial(&local, &neighbours, started, now);
        targets.extend(reconnect.target(&local, now));
        links.retain(|l| targets.iter().any(|t| t.host == l.host && t.address == l.address));
        for target in targets {
            if !links.iter().any(|l| l.host == target.host) {
                links.push(open(&local, target));
            }
        }
    }
}

fn open(local: &Rc<LocalState>, target: DialTarget) -> Link {
    let task = spawn_local(dial::maintain(local.clone(), target.host.clone(), target.address));
    Link { host: target.host, address: target.address, _task: AbortOnDropHandle::new(task) }
}

/// Returns the neighbours that this host has to dial: those whose names sort after its own, and
/// those that should have dialled this host and have not. `started` is when this host started or
/// last resumed from a pause.
fn neighbours_to_dial(
    local: &LocalState,
    neighbours: &[Arc<str>],
    started: Time,
    now: Time,
) -> Vec<DialTarget> {
    let members = local.node.members.lock();
    let must_dial =
        |host: &str| *local.node.settings.host < *host || is_overdue(local, host, started, now);
    let is_neighbour = |host: &str| neighbours.binary_search_by(|n| (**n).cmp(host)).is_ok();
    let due = members.members().iter().filter(|m| is_neighbour(&m.host) && must_dial(&m.host));
    due.map(|m| DialTarget { host: m.host.clone(), address: m.address }).collect()
}

/// Returns whether a neighbour should have begun an exchange by now.
fn is_overdue(local: &LocalState, host: &str, started: Time, now: Time) -> bool {
    match local.last_incoming_exchange(host).filter(|t| *t >= started) {
        Some(at) => now.since(at) > INCOMING_TIMEOUT,
        None => now.since(started) > INCOMING_TIMEOUT_AFTER_START,
    }
}

/// The neighbours that this host watches in a large fleet, sorted by name, and since when.
#[derive(Default)]
struct WatchedNeighbours(Vec<(Arc<str>, Time)>);

impl WatchedNeighbours {
    /// Watches `neighbours` from now on, and declares those dead that have been silent for too long.
    /// A host that hears from less than half of its neighbours may itself be cut off, and declares
    /// none.
    fn update(&mut self, local: &LocalState, neighbours: &[Arc<str>], started: Time, now: Time) {
        let since = |host: &Arc<str>| {
            let found = self.0.binary_search_by(|(h, _)| h.cmp(host));
            found.map_or(now, |at| self.0[at].1.max(started))
        };
        self.0 = neighbours.iter().map(|h| (h.clone(), since(h))).collect();
        local.forget_exchanges(now.before(EXCHANGES_KEPT));
        let mut members = local.node.members.lock();
        let is_heard = |(host, _): &&(Arc<str>, Time)| {
            let dead_after = members.dead_after();
            local.last_exchange(host).is_some_and(|t| now.since(t) < dead_after)
        };
        let heard = self.0.iter().filter(is_heard).count();
        local.is_cut_off.set(heard * CUT_OFF_DIVISOR < self.0.len());
        let isolated_after = if members.is_large() { ISOLATED_AFTER_LARGE } else { ISOLATED_AFTER };
        let is_quiet = |(host, since): &(Arc<str>, Time)| {
            let last = local.last_exchange(host).max(Some(*since));
            last.is_some_and(|t| now.since(t) >= isolated_after)
        };
        local.is_isolated.set(!self.0.is_empty() && self.0.iter().all(is_quiet));
        if !members.is_large() {
            return;
        }
        let dead_after = members.dead_after();
        let last_sign = |host: &str, since: Time| local.last_exchange(host).max(Some(since));
        let is_silent =
            |host: &str, since| last_sign(host, since).is_some_and(|t| now.since(t) >= dead_after);
        let silent = self.0.iter().filter(|(host, since)| is_silent(host, *since));
        let silent: Vec<&Arc<str>> = silent.map(|(host, _)| host).collect();
        if heard * 2 < self.0.len() {
            return;
        }
        let declared: Vec<bool> =
            silent.into_iter().map(|host| members.declare_dead(host, now)).collect();
        drop(members);
        if declared.contains(&true) {
            local.node.change_feed.notify();
        }
    }
}

/// The choice of an unreachable host, or of a seed while no peer is alive, to dial for a while, so
/// that the two sides of a healed network partition reconnect.
#[derive(Default)]
struct Reconnect {
    current: Option<DialTarget>,
    since: Time,
}

impl Reconnect {
    /// Returns the host to dial now, if there is one. Picks again every [`RECONNECT_SLICE`].
    fn target(&mut self, local: &LocalState, now: Time) -> Option<DialTarget> {
        if now.since(self.since) >= RECONNECT_SLICE {
            self.since = now;
            self.current = pick_unreachable(local, now);
        }
        self.current.clone()
    }
}

/// Returns a random seed if no peer is alive, else a random peer that is dead or unknown.
fn pick_unreachable(local: &LocalState, now: Time) -> Option<DialTarget> {
    let members = local.node.members.lock();
    let is_unreachable = |host: &str| {
        matches!(members.state(host, now), Some(MemberState::Dead | MemberState::Unknown))
    };
    let rng = &mut rand::rng();
    if members.alive(now).next().is_none()
        && let Some(&address) = local.node.latest_settings().seeds.iter().choose(rng)
        && Some(address) != local.node.settings.peer
    {
        return Some(DialTarget { host: address.to_string().into(), address });
    }
    let member = members.members().iter().filter(|m| is_unreachable(&m.host)).choose(rng)?;
    Some(DialTarget { host: member.host.clone(), address: member.address })
}
