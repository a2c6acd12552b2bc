//! Decides which hosts to dial, and keeps a link to each.

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
use crate::peer::local::Local;
use crate::time::Time;

/// The time between two looks at the members.
const CHECK: Duration = Duration::from_millis(100);

/// The time after which a neighbour that should dial this host, and doesn't, is dialled.
const DIALLED_MAX_AGE: Duration = Duration::from_millis(1_500);

/// The same for a host that has just started, whose neighbours may not know that.
const DIALLED_GRACE: Duration = Duration::from_millis(300);

/// The time for which a dead host is tried before the next one is.
const TRY: Duration = Duration::from_millis(1_000);

/// A link that is kept.
struct Link {
    host: Arc<str>,
    address: SocketAddr,
    _task: AbortOnDropHandle<()>,
}

/// A host to dial.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Target {
    host: Arc<str>,
    address: SocketAddr,
}

/// Keeps links to the neighbours for the life of the process, and to one dead host after the other
/// in case it is back. After a pause every link is made anew, which exchanges everything in full.
pub(crate) async fn keep(local: Rc<Local>) {
    let mut links: Vec<Link> = Vec::new();
    let mut trial = Trial::default();
    let mut started = local.node.clock.now();
    let mut pauses = 0;
    loop {
        sleep(CHECK).await;
        let now = local.node.clock.now();
        local.refresh(now);
        let found = local.node.pause_detector.lock().pause_count();
        if found != pauses {
            pauses = found;
            started = now;
            links.clear();
        }
        let mut targets = neighbours(&local, started, now);
        targets.extend(trial.next(&local, now));
        links.retain(|l| targets.iter().any(|t| t.host == l.host && t.address == l.address));
        for target in targets {
            if !links.iter().any(|l| l.host == target.host) {
                links.push(open(&local, target));
            }
        }
    }
}

fn open(local: &Rc<Local>, target: Target) -> Link {
    let task = spawn_local(dial::keep(local.clone(), target.host.clone(), target.address));
    Link { host: target.host, address: target.address, _task: AbortOnDropHandle::new(task) }
}

/// Returns the neighbours that this host has to dial: those whose names come after its own, and
/// those that should have dialled this host and did not.
fn neighbours(local: &Local, started: Time, now: Time) -> Vec<Target> {
    let members = local.node.members.lock();
    let neighbours = members.neighbours(now);
    let dials =
        |host: &str| *local.node.settings.host < *host || is_overdue(local, host, started, now);
    let named = |host: &str| neighbours.binary_search_by(|n| (**n).cmp(host)).is_ok();
    let due = members.members().iter().filter(|m| named(&m.host) && dials(&m.host));
    due.map(|m| Target { host: m.host.clone(), address: m.address }).collect()
}

fn is_overdue(local: &Local, host: &str, started: Time, now: Time) -> bool {
    match local.dialled_at(host).filter(|t| *t >= started) {
        Some(at) => now.since(at) > DIALLED_MAX_AGE,
        None => now.since(started) > DIALLED_GRACE,
    }
}

/// Tries dead hosts, and seeds while no host is known to be alive, one after the other, so that the two sides of a mended network meet again.
#[derive(Default)]
struct Trial {
    target: Option<Target>,
    since: Time,
}

impl Trial {
    fn next(&mut self, local: &Local, now: Time) -> Option<Target> {
        if now.since(self.since) >= TRY {
            self.since = now;
            self.target = dead(local, now);
        }
        self.target.clone()
    }
}

fn dead(local: &Local, now: Time) -> Option<Target> {
    let members = local.node.members.lock();
    let is_dead = |host: &str| {
        matches!(members.state(host, now), Some(MemberState::Dead | MemberState::Unknown))
    };
    let rng = &mut rand::rng();
    if members.alive(now).next().is_none()
        && let Some(&address) = local.node.latest_settings().seeds.iter().choose(rng)
        && Some(address) != local.node.settings.peer
    {
        return Some(Target { host: address.to_string().into(), address });
    }
    let member = members.members().iter().filter(|m| is_dead(&m.host)).choose(rng)?;
    Some(Target { host: member.host.clone(), address: member.address })
}
