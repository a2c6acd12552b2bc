//! Allowances over real sockets.

use super::*;
use crate::config::{Routing, Team};
use crate::decide::allowance::Limit;
use crate::entry::allowance;

/// Starts hosts whose routes hold a team with an allowance, and waits until each lets requests pass.
fn start(size: usize, per_second: f64, burst: f64) -> (Vec<Host>, Vec<Peer>, Team) {
    let (hosts, peers) = fleet(size);
    let team = Team { name: "chapters".into(), per_second, burst, ..Team::default() };
    for host in &hosts {
        host.node.offer(vec![routes(&team)]);
    }
    wait_until("requests pass at each host", || hosts.iter().all(|h| send(h, &team).is_none()));
    wait_until("one owner", || hosts.iter().filter(|h| keeps(h)).count() == 1);
    (hosts, peers, team)
}

/// Returns whether a host owns the allowance.
fn keeps(host: &Host) -> bool {
    host.node.allowances.ownership.lock().keeps_any()
}

fn routes(team: &Team) -> Record {
    let routing = Routing { teams: Some(vec![Arc::new(team.clone())]), ..Routing::default() };
    Record {
        name: "routes".into(),
        version: 1,
        change: "change-1".into(),
        author: "test".into(),
        revision: None,
        body: Body::Routing(Arc::new(routing)),
    }
}

/// Sends one request. Returns the time after which it may return, or `None` if it passes.
fn send(host: &Host, team: &Team) -> Option<Duration> {
    send_many(host, team, 1)[0]
}

/// Sends requests at the same time.
fn send_many(host: &Host, team: &Team, count: usize) -> Vec<Option<Duration>> {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let limit = Limit::of(team).unwrap();
    let deadline = host.node.clock.now() + TIMEOUT;
    let one = || allowance::decide(&host.node, team, limit, deadline);
    rt.block_on(futures_util::future::join_all((0..count).map(|_| one())))
}

#[test]
fn all_hosts_together_stay_within_the_allowance() {
    let begin = Instant::now();
    let (hosts, _, team) = start(4, 50.0, 50.0);
    let results: Vec<Option<Duration>> = std::thread::scope(|scope| {
        let team = &team;
        let flood = |host| scope.spawn(move || send_many(host, team, 500));
        let running: Vec<_> = hosts.iter().map(flood).collect();
        running.into_iter().flat_map(|r| r.join().unwrap()).collect()
    });
    let passed = results.iter().filter(|r| r.is_none()).count() as f64;
    let seconds = begin.elapsed().as_secs_f64();
    assert!(passed <= (50.0 * seconds + 50.0) * 1.1 + 20.0, "{passed} passed in {seconds} s");
    assert!(passed > 0.0);
    let refused: Vec<Duration> = results.into_iter().flatten().collect();
    assert!(refused.len() > 500);
    assert!(refused.iter().all(|after| !after.is_zero()));
}

/// Guards against a team that may send without limit for as long as hosts learn that it is withdrawn: its
/// allowance counted as lifted.
#[test]
fn the_allowance_of_a_withdrawn_team_is_not_lifted() {
    let begin = Instant::now();
    let (hosts, _, team) = start(3, 50.0, 50.0);
    let offer_teams = |version, teams| {
        let routing = Routing { teams, ..Routing::default() };
        let body = Body::Routing(Arc::new(routing));
        let owner = hosts.iter().find(|h| keeps(h)).unwrap_or(&hosts[0]);
        owner.node.offer(vec![Record { version, body, ..routes(&team) }]);
    };
    offer_teams(2, Some(Vec::new()));
    let passed = |count| {
        let results: Vec<Option<Duration>> =
            hosts.iter().flat_map(|h| send_many(h, &team, count)).collect();
        results.iter().filter(|r| r.is_none()).count()
    };
    let sent = passed(500) as f64;
    let seconds = begin.elapsed().as_secs_f64();
    assert!(sent <= (50.0 * seconds + 50.0) * 1.1 + 20.0, "{sent} passed in {seconds} s");
    // A team that has no limit any more may send what it wants.
    let unlimited = Team { per_second: 0.0, burst: 0.0, ..team.clone() };
    offer_teams(3, Some(vec![Arc::new(unlimited)]));
    wait_until("the limit is lifted", || passed(100) == 300);
}

#[test]
fn another_host_takes_an_allowance_over_when_its_owner_ends() {
    let (mut hosts, _, team) = start(4, 50.0, 50.0);
    let owner = hosts.iter().position(keeps).unwrap();
    drop(hosts.remove(owner));
    wait_until("requests pass", || hosts.iter().all(|h| send(h, &team).is_none()));
    assert!(hosts.iter().any(keeps));
}

#[test]
fn requests_pass_when_a_paused_owner_runs_again() {
    let (hosts, _, team) = start(3, 50.0, 50.0);
    let owner = hosts.iter().position(keeps).unwrap();
    hosts[owner].paused.store(true, Ordering::Relaxed);
    let other = &hosts[(owner + 1) % 3];
    wait_until("another owner", || {
        send(other, &team).is_none() && keeps(other) || { keeps(&hosts[(owner + 2) % 3]) }
    });
    hosts[owner].paused.store(false, Ordering::Relaxed);
    wait_until("requests pass", || hosts.iter().all(|h| send(h, &team).is_none()));
}
