//! Holds requests of teams with an allowance until it is decided whether they are within it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, oneshot};
use tokio::time::sleep_until;

use crate::config::{Routing, Team};
use crate::decide::allowance::{
    Arrival, Asker, FleetView, Grant, Inquiry, Limit, Ownership, Release, Reply, Step,
};
use crate::error::Code;
use crate::event::{EventCode, Subject};
use crate::forward::BufferedRequest;
use crate::forward::response::ProxyResponse;
use crate::node::Node;
use crate::request_log::LogEntry;
use crate::time::Time;

/// Receives the decision on a request that waits.
type Waiter = oneshot::Sender<Option<Duration>>;

/// The state of the allowances on this host.
#[derive(Debug)]
pub(crate) struct Allowances {
    /// The teams that have an allowance by the routes in force, sorted by name.
    teams: RwLock<Arc<Vec<Arc<Team>>>>,
    /// The names of the teams that have none, sorted.
    unlimited: RwLock<Vec<Arc<str>>>,
    /// The version of those routes.
    version: AtomicU64,
    pub(crate) ownership: Mutex<Ownership>,
    requests: Mutex<Requests>,
    /// Notified when there is a question to ask, and when the teams may have changed.
    pub(crate) asked: Notify,
}

#[derive(Debug, Default)]
struct Requests {
    asker: Asker,
    /// The waiting requests, sorted by number.
    waiters: Vec<(u64, Waiter)>,
}

impl Allowances {
    /// Creates the state of a host that knows no teams yet.
    pub(crate) fn new(host: Arc<str>) -> Allowances {
        Allowances {
            teams: RwLock::default(),
            unlimited: RwLock::default(),
            version: AtomicU64::new(0),
            ownership: Mutex::new(Ownership::new(host)),
            requests: Mutex::default(),
            asked: Notify::new(),
        }
    }

    /// Applies the routes in force.
    pub(crate) fn set_routing(&self, routing: &Routing, version: u64) {
        let all = routing.teams.iter().flatten().cloned();
        let (mut teams, unlimited): (Vec<Arc<Team>>, Vec<Arc<Team>>) =
            all.partition(|t| Limit::of(t).is_some());
        teams.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        let mut unlimited: Vec<Arc<str>> = unlimited.iter().map(|t| t.name.clone()).collect();
        unlimited.sort_unstable();
        *self.unlimited.write() = unlimited;
        self.requests.lock().asker.retain(&teams);
        *self.teams.write() = Arc::new(teams);
        self.version.store(version, Ordering::Relaxed);
        self.asked.notify_one();
    }

    /// Returns the teams that have an allowance, sorted by name.
    pub(crate) fn teams(&self) -> Arc<Vec<Arc<Team>>> {
        self.teams.read().clone()
    }

    /// Returns the version of the routes from which the teams are.
    pub(crate) fn version(&self) -> u64 {
        self.version.load(Ordering::Relaxed)
    }

    /// Returns the allowance of a team, if it has one.
    pub(crate) fn limit(&self, team: &str) -> Option<Limit> {
        let teams = self.teams.read();
        let at = teams.binary_search_by(|t| (*t.name).cmp(team)).ok()?;
        Limit::of(&teams[at])
    }

    /// Returns whether a team has no allowance and may send what it wants. A team that has been withdrawn
    /// may not.
    pub(crate) fn is_unlimited(&self, team: &str) -> bool {
        self.unlimited.read().binary_search_by(|name| (**name).cmp(team)).is_ok()
    }

    /// Applies a change to the waiting requests, and tells those that it decides on.
    pub(crate) fn decide(&self, change: impl FnOnce(&mut Asker) -> Vec<Release>) {
        let mut requests = self.requests.lock();
        for (number, decision) in change(&mut requests.asker) {
            if let Ok(at) = requests.waiters.binary_search_by_key(&number, |(n, _)| *n) {
                // Its caller may have left.
                let _ = requests.waiters.remove(at).1.send(decision);
            }
        }
    }

    /// Returns a view of the state of the waiting requests.
    pub(crate) fn with_asker<T>(&self, read: impl FnOnce(&mut Asker) -> T) -> T {
        read(&mut self.requests.lock().asker)
    }

    /// Removes a request that has waited for as long as it may.
    fn abandon(&self, node: &Node, team: &str, number: u64) -> Option<Duration> {
        let now = node.clock.now();
        let mut requests = self.requests.lock();
        if let Ok(at) = requests.waiters.binary_search_by_key(&number, |(n, _)| *n) {
            requests.waiters.remove(at);
        }
        requests.asker.abandon(team, number, now, rand::random())
    }
}

/// Returns the refusal of a request that is beyond its team's allowance, or `None` if it may run.
/// A request that a peer passes on has been charged there.
pub(crate) async fn check(node: &Node, request: &BufferedRequest) -> Option<ProxyResponse> {
    let team = request.team.as_ref().filter(|_| !request.is_relayed)?;
    let limit = Limit::of(team)?;
    let retry_after = decide(node, team, limit, request.deadline).await;
    node.metrics.count_allowance(&team.name, retry_after.is_none());
    Some(refuse(node, request, team, retry_after?))
}

/// Returns the time after which a request of a team may return, or `None` if it may run.
pub(crate) async fn decide(
    node: &Node,
    team: &Team,
    limit: Limit,
    deadline: Time,
) -> Option<Duration> {
    let allowances = &node.allowances;
    let now = node.clock.now();
    let (number, until, rx) = {
        let mut requests = allowances.requests.lock();
        let arrival = requests.asker.arrive(team, limit, deadline, now, rand::random());
        match arrival {
            Arrival::Granted => return None,
            Arrival::Refused(after) => return Some(after),
            Arrival::Wait(number, until) => {
                let (tx, rx) = oneshot::channel();
                requests.waiters.push((number, tx));
                (number, until, rx)
            }
        }
    };
    let _guard = Waiting { node, team: &team.name, number };
    match node.settings.peer {
        Some(_) => allowances.asked.notify_one(),
        None => answer_alone(node),
    }
    tokio::select! {
        biased;
        decision = rx => decision.unwrap_or(Some(Duration::ZERO)),
        () = sleep_until(node.clock.instant(until).into()) => {
            allowances.abandon(node, &team.name, number)
        }
    }
}

/// A guard that removes a request that is not decided yet, as when its caller leaves.
struct Waiting<'a> {
    node: &'a Node,
    team: &'a str,
    number: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.node.allowances.abandon(self.node, self.team, self.number);
    }
}

/// Answers the questions of a host without peers.
fn answer_alone(node: &Node) {
    let now = node.clock.now();
    let allowances = &node.allowances;
    let mut ownership = allowances.ownership.lock();
    if !ownership.keeps_any() {
        let alive = vec![(0, node.settings.host.clone())];
        let view = FleetView { alive, known: 1, may_own: true, ..FleetView::default() };
        ownership.update(view, &allowances.teams(), now);
    }
    for ask in allowances.with_asker(|asker| asker.take_asks(now)) {
        let step = match allowances.limit(&ask.team) {
            Some(limit) => {
                Inquiry::new(ask.team.clone(), limit, ask.wanted, 0).next(&mut ownership, now)
            }
            None if allowances.is_unlimited(&ask.team) => {
                Step::Done(Reply::Granted(Grant::unlimited(ask.wanted)))
            }
            None => Step::Done(Reply::Unreachable),
        };
        allowances.decide(|asker| match step {
            Step::Done(Reply::Granted(grant)) => {
                asker.answer(&ask.team, grant, now, rand::random::<f64>)
            }
            _ => asker.fail(&ask.team, 1, now, now, rand::random::<f64>),
        });
    }
}

/// Records that a request is refused, and returns the response.
fn refuse(
    node: &Node,
    request: &BufferedRequest,
    team: &Arc<Team>,
    retry_after: Duration,
) -> ProxyResponse {
    let now = node.clock.now();
    let (status, is_report_due) = node
        .allowances
        .with_asker(|asker| (asker.status(&team.name, now), asker.take_report(&team.name, now)));
    if is_report_due {
        let subject = Subject { team: Some(team.name.clone()), ..Subject::default() };
        let refused = status.as_ref().map(|s| s.refused);
        node.events.record(EventCode::TeamAtLimit, subject, refused);
    }
    let value = u64::try_from(retry_after.as_millis()).ok();
    let entry = LogEntry::new(now, EventCode::BeyondAllowance);
    request.log.add(LogEntry { value, allowance: status.map(Box::new), ..entry });
    let response = ProxyResponse::local(Code::BeyondAllowance);
    ProxyResponse { retry_after: Some(retry_after), ..response }
}
