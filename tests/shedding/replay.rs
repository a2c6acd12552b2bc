//! Replays of loads on service tables that share stand-in upstreams, without a network.

use std::sync::Arc;
use std::time::Duration;

use cornelferry::Time;
use cornelferry::admission::{Admission, Request, Target, TeamId, Ticket};
use cornelferry::balancing::Policy;
use cornelferry::config::{self, LoadFormat, Priority, ProbeConfig, Service};
use cornelferry::kinds::LatencyGoal;
use cornelferry::service::{HostInfo, ServiceTable};
use cornelferry::shedding::Shedding;
use cornelferry::upstream::{AttemptReport, Occupancy, UpstreamId, UpstreamOutcome};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A kind of request, as its callers see it.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub name: &'static str,
    pub priority: Priority,
    pub per_second: f32,
    pub work_ms: f32,
    pub objective_ms: u64,
    pub deadline_ms: u64,
    pub worth: f32,
    pub late_worth: f32,
}

/// A load, and the upstreams that serve it.
pub struct Scenario {
    pub kinds: Vec<Kind>,
    pub hosts: usize,
    pub upstreams: usize,
    pub slots: u32,
    pub retries: u32,
    /// Number of teams of equal size.
    pub teams: u64,
    pub length_ms: u64,
    /// Factor on the rate of a kind and a team at a time.
    pub factor: fn(&Kind, u64, u64) -> f32,
    /// Factor on the work at an upstream at a time, beside the noise.
    pub slowdown: fn(usize, u64) -> f32,
    /// Number of upstreams that run at a time.
    pub live: fn(u64) -> usize,
    /// The time that the callers' results are counted in.
    pub counted: std::ops::Range<u64>,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            kinds: Vec::new(),
            hosts: 10,
            upstreams: 13,
            slots: 4,
            retries: 1,
            teams: 20,
            length_ms: 20_000,
            factor: |_, _, _| 1.0,
            slowdown: |_, _| 1.0,
            live: |_| usize::MAX,
            counted: 0..u64::MAX,
        }
    }
}

/// What became of a group of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    pub sent: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    /// Refused after they had waited for more than half of their time.
    pub refused_late: u32,
    pub lost: u32,
    pub worth: f32,
    pub owed: f32,
}

impl Count {
    pub fn served(&self) -> f32 {
        (self.in_time + self.late) as f32 / self.sent.max(1) as f32
    }

    fn add(&mut self, other: &Count) {
        self.sent += other.sent;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.refused_late += other.refused_late;
        self.lost += other.lost;
        self.worth += other.worth;
        self.owed += other.owed;
    }
}

/// What became of all requests, by kind and team.
pub struct Report {
    kinds: Vec<Kind>,
    counts: Vec<Vec<Count>>,
}

impl Report {
    fn new(scenario: &Scenario) -> Report {
        let teams = vec![Count::default(); scenario.teams as usize];
        Report { kinds: scenario.kinds.clone(), counts: vec![teams; scenario.kinds.len()] }
    }

    /// Adds another run of the same scenario.
    pub fn add(&mut self, other: &Report) {
        let counts = self.counts.iter_mut().flatten().zip(other.counts.iter().flatten());
        counts.for_each(|(count, other)| count.add(other));
    }

    pub fn worth(&self) -> f32 {
        let all = self.all();
        all.worth / all.owed
    }

    pub fn kind(&self, name: &str) -> Count {
        let index = self.kinds.iter().position(|k| k.name == name).expect("a kind");
        sum(self.counts[index].iter())
    }

    /// Returns what became of the requests of the teams in a range.
    pub fn teams(&self, teams: std::ops::Range<u64>) -> Count {
        sum(teams.map(|t| self.team(t)).collect::<Vec<_>>().iter())
    }

    pub fn team(&self, team: u64) -> Count {
        sum(self.counts.iter().map(|teams| &teams[team as usize]))
    }

    pub fn all(&self) -> Count {
        sum(self.counts.iter().flatten())
    }

    /// Prints a line for each kind.
    pub fn print(&self, title: &str) {
        let all = self.all();
        println!("{title}: worth {:.3} of what is owed", self.worth());
        for kind in &self.kinds {
            let c = self.kind(kind.name);
            println!(
                "  {:<18}{:>6} sent{:>6} in time{:>5} late{:>5} refused ({} late){:>5} lost",
                kind.name, c.sent, c.in_time, c.late, c.refused, c.refused_late, c.lost
            );
        }
        let teams = 0..self.counts[0].len() as u64;
        let served = teams.map(|t| self.team(t).served()).fold(1.0, f32::min);
        println!("  least served team {served:.3}, all {:.3}", all.served());
    }
}

fn sum<'a>(counts: impl Iterator<Item = &'a Count>) -> Count {
    let mut out = Count::default();
    counts.for_each(|c| out.add(c));
    out
}

/// A caller's request.
#[derive(Clone, Copy, Debug)]
struct Call {
    kind: usize,
    team: u64,
    /// Its work at nominal speed, in milliseconds.
    work: f32,
    first: u64,
    /// When the current attempt was sent.
    sent: u64,
    retries: u32,
}

struct Run {
    call: Call,
    host: usize,
    target: UpstreamId,
    started: u64,
    left: f32,
}

#[derive(Default)]
struct Upstream {
    runs: Vec<Run>,
    noise: f32,
}

/// A run of a scenario.
pub struct Replay<'a> {
    scenario: &'a Scenario,
    tables: Vec<ServiceTable>,
    upstreams: Vec<Upstream>,
    waiting: Vec<(usize, Ticket, Call)>,
    /// Calls to be sent, with their times.
    due: Vec<(u64, Call)>,
    arrivals: SmallRng,
    noise: SmallRng,
    rng: SmallRng,
    now: u64,
    report: Report,
}

const NOISE_SHARE: f32 = 0.3;
const NOISE_FACTOR: f32 = 7.0;
const NOISE_PERIOD_MS: u64 = 500;
const NOISE_SEED: u64 = 1_000;
const TICK_MS: u64 = 5;
const START_MS: u64 = 10_000;

/// Replays a scenario.
pub fn replay(scenario: &Scenario, shedding: Shedding, seed: u64) -> Report {
    let upstream = |i: usize| config::Upstream {
        name: format!("u{i}").into(),
        address: format!("127.0.0.1:{}", 9_000 + i).parse().expect("address"),
        data_centre: "a".into(),
    };
    let service = Arc::new(Service {
        name: "s".into(),
        upstreams: (0..scenario.upstreams).map(upstream).collect(),
        slots: scenario.slots,
        load_format: LoadFormat::Occupancy,
        probe_before_send: true,
        measure: ProbeConfig {
            probes_per_second: 0.0,
            probes_per_upstream: 33.0,
            path: "/health".to_owned(),
            ..ProbeConfig::default()
        },
        ..Service::default()
    });
    let table = |i: usize| {
        let host_info = HostInfo {
            host: format!("entry-{i}").into(),
            data_centre: "a".into(),
            fleet_size_max: scenario.hosts as u32,
            policy: Policy::default(),
            waiting_max: 1_000,
        };
        let mut table = ServiceTable::new(service.clone(), host_info, Time::ZERO);
        table.set_shedding(shedding);
        table
    };
    let mut replay = Replay {
        scenario,
        tables: (0..scenario.hosts).map(table).collect(),
        upstreams: (0..scenario.upstreams).map(|_| Upstream::default()).collect(),
        waiting: Vec::new(),
        due: Vec::new(),
        arrivals: SmallRng::seed_from_u64(seed),
        noise: SmallRng::seed_from_u64(seed + NOISE_SEED),
        rng: SmallRng::seed_from_u64(seed),
        now: 0,
        report: Report::new(scenario),
    };
    for ms in 0..scenario.length_ms + 10_000 {
        replay.now = ms;
        replay.step();
    }
    replay.report
}

impl Replay<'_> {
    fn time(&self) -> Time {
        Time::from_millis(START_MS + self.now)
    }

    fn step(&mut self) {
        self.advance_upstreams();
        for call in arrivals(self.scenario, self.now, &mut self.arrivals) {
            self.due.push((self.now, call));
        }
        let due: Vec<Call> =
            self.due.extract_if(.., |(at, _)| *at <= self.now).map(|(_, call)| call).collect();
        due.into_iter().for_each(|call| self.send(call));
        if self.now.is_multiple_of(TICK_MS) {
            for host in 0..self.tables.len() {
                let now = self.time();
                let probes = self.tables[host].probe_candidates_while_waiting(now, &mut self.rng);
                let probes = [probes, self.tables[host].probes(now, |_| true)].concat();
                probes.iter().for_each(|target| self.probe(host, target));
                self.release(host);
            }
        }
    }

    fn advance_upstreams(&mut self) {
        if self.now.is_multiple_of(NOISE_PERIOD_MS) {
            for upstream in &mut self.upstreams {
                let is_noisy = self.noise.random::<f32>() < NOISE_SHARE;
                upstream.noise = if is_noisy { NOISE_FACTOR } else { 1.0 };
            }
        }
        let mut ended = Vec::new();
        for index in 0..self.upstreams.len() {
            let speed = 1.0 / self.slowdown(index);
            let slots = self.scenario.slots as usize;
            let upstream = &mut self.upstreams[index];
            upstream.runs.iter_mut().take(slots).for_each(|r| r.left -= speed);
            ended.extend(upstream.runs.extract_if(.., |r| r.left <= 0.0));
        }
        for run in ended {
            self.report_occupancy(run.host, run.target);
            let latency = Duration::from_millis(self.now - run.started);
            self.finish(run.host, run.target, UpstreamOutcome::Answered, latency);
            self.answer(&run.call);
            self.release(run.host);
        }
    }

    fn slowdown(&self, index: usize) -> f32 {
        self.upstreams[index].noise.max((self.scenario.slowdown)(index, self.now))
    }

    fn finish(&mut self, host: usize, id: UpstreamId, outcome: UpstreamOutcome, took: Duration) {
        let report = AttemptReport { outcome, latency: took, load: None, draining: false };
        let now = self.time();
        self.tables[host].finish_attempt(id, &report, now);
    }

    fn index(&self, host: usize, id: UpstreamId) -> usize {
        let rows = self.tables[host].rows();
        let row = rows.iter().find(|r| r.id == id).expect("an upstream");
        row.name[1..].parse().expect("a number")
    }

    fn is_live(&self, index: usize) -> bool {
        index < (self.scenario.live)(self.now)
    }

    fn report_occupancy(&mut self, host: usize, id: UpstreamId) {
        let index = self.index(host, id);
        if !self.is_live(index) {
            return;
        }
        let requests = self.upstreams[index].runs.len() as u32;
        let running = requests.min(self.scenario.slots);
        let slowdown = self.slowdown(index);
        let slots = self.scenario.slots;
        let occupancy = Occupancy { running, waiting: requests - running, slots, slowdown };
        let now = self.time();
        self.tables[host].update_occupancy(id, &occupancy, now);
    }

    fn probe(&mut self, host: usize, target: &Target) {
        let is_live = self.is_live(self.index(host, target.id));
        self.report_occupancy(host, target.id);
        let outcome = match is_live {
            true => UpstreamOutcome::Answered,
            false => UpstreamOutcome::ConnectFailed,
        };
        let latency = Duration::from_millis(1);
        let report = AttemptReport { outcome, latency, load: None, draining: false };
        let now = self.time();
        self.tables[host].finish_probe(target.id, &report, now);
    }

    fn send(&mut self, mut call: Call) {
        call.sent = self.now;
        let host = self.rng.random_range(0..self.tables.len());
        let kind = self.scenario.kinds[call.kind];
        let deadline = Time::from_millis(START_MS + call.first + kind.deadline_ms);
        let now = self.time();
        let mut req = Request::new(kind.priority, deadline, deadline);
        req.team = Some(TeamId::of(&format!("team-{}", call.team)));
        req.latency_goal = Some(LatencyGoal {
            kind: call.kind as u64 + 1,
            objective: Duration::from_millis(kind.objective_ms),
            arrived: now,
            time_left: now.until(deadline),
        });
        let probes = self.tables[host].probe_candidates(now, &mut self.rng);
        probes.iter().for_each(|target| self.probe(host, target));
        let admission = self.tables[host].admit(&req, now, &mut self.rng);
        match admission {
            Admission::Wait(ticket) => self.waiting.push((host, ticket, call)),
            decided => self.decide(host, call, decided),
        }
        if self.tables[host].has_evicted_requests() {
            self.release(host);
        }
    }

    fn release(&mut self, host: usize) {
        let now = self.time();
        let released = self.tables[host].release(now, &mut self.rng);
        for (ticket, admission) in released {
            let found = self.waiting.iter().position(|(h, t, _)| (*h, *t) == (host, ticket));
            let (_, _, call) = self.waiting.swap_remove(found.expect("a queued request"));
            self.decide(host, call, admission);
        }
    }

    fn decide(&mut self, host: usize, call: Call, admission: Admission) {
        let kind = self.scenario.kinds[call.kind];
        let time_left = (call.first + kind.deadline_ms).saturating_sub(self.now);
        match admission {
            Admission::Run(target) => {
                let index = self.index(host, target.id);
                if !self.is_live(index) {
                    let none = Duration::ZERO;
                    self.finish(host, target.id, UpstreamOutcome::ConnectFailed, none);
                    return self.send(call);
                }
                let run = Run { call, host, target: target.id, started: self.now, left: call.work };
                self.upstreams[index].runs.push(run);
            }
            Admission::Refuse(refusal) if call.retries > 0 && time_left > 10 => {
                let after = refusal.retry_after.as_millis() as u64;
                let at = self.now + after.min(time_left / 3).max(1);
                self.due.push((at, Call { retries: call.retries - 1, ..call }));
            }
            Admission::Refuse(_) => {
                let is_late = self.now - call.sent > kind.deadline_ms / 2;
                self.count(&call, |c| {
                    c.refused += 1;
                    c.refused_late += u32::from(is_late);
                });
            }
            Admission::Wait(_) => unreachable!("a decision is final"),
        }
    }

    fn answer(&mut self, call: &Call) {
        let kind = self.scenario.kinds[call.kind];
        let took = self.now - call.first;
        self.count(call, |c| record_answer(c, &kind, took));
    }

    fn count(&mut self, call: &Call, record: impl FnOnce(&mut Count)) {
        count(&mut self.report, self.scenario, call, record);
    }
}

fn record_answer(count: &mut Count, kind: &Kind, took: u64) {
    if took <= kind.objective_ms {
        count.in_time += 1;
        count.worth += kind.worth;
    } else if took <= kind.deadline_ms {
        count.late += 1;
        count.worth += kind.late_worth;
    } else {
        count.lost += 1;
    }
}

fn count(report: &mut Report, scenario: &Scenario, call: &Call, record: impl FnOnce(&mut Count)) {
    if scenario.counted.contains(&call.first) {
        let count = &mut report.counts[call.kind][call.team as usize];
        count.sent += 1;
        count.owed += scenario.kinds[call.kind].worth;
        record(count);
    }
}

/// Returns the calls of one millisecond.
fn arrivals(scenario: &Scenario, now: u64, rng: &mut SmallRng) -> Vec<Call> {
    let mut out = Vec::new();
    if now >= scenario.length_ms {
        return out;
    }
    for (index, kind) in scenario.kinds.iter().enumerate() {
        for team in 0..scenario.teams {
            let per_second = kind.per_second * (scenario.factor)(kind, team, now);
            if rng.random::<f32>() < per_second / scenario.teams as f32 / 1_000.0 {
                let spread = 1.0 + 0.3 * (rng.random::<f32>() + rng.random::<f32>() - 1.0) * 1.7;
                let (work, retries) = (kind.work_ms * spread, scenario.retries);
                out.push(Call { kind: index, team, work, first: now, sent: now, retries });
            }
        }
    }
    out
}

/// Replays a scenario with perfect knowledge: one queue for all hosts, whose most valuable request
/// for the time that it takes gets the fastest free slot.
pub fn reference(scenario: &Scenario, seed: u64) -> Report {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut noise_rng = SmallRng::seed_from_u64(seed + NOISE_SEED);
    let mut report = Report::new(scenario);
    let mut upstreams: Vec<Vec<(f32, Call)>> =
        (0..scenario.upstreams).map(|_| Vec::new()).collect();
    let mut noise = vec![1.0; scenario.upstreams];
    let mut queue: Vec<Call> = Vec::new();
    for now in 0..scenario.length_ms + 10_000 {
        if now.is_multiple_of(NOISE_PERIOD_MS) {
            let draw = |n: &mut f32| {
                *n = if noise_rng.random::<f32>() < NOISE_SHARE { NOISE_FACTOR } else { 1.0 };
            };
            noise.iter_mut().for_each(draw);
        }
        let slowdown = |i: usize| noise[i].max((scenario.slowdown)(i, now));
        for (index, runs) in upstreams.iter_mut().enumerate() {
            runs.iter_mut().for_each(|(left, _)| *left -= 1.0 / slowdown(index));
            for (_, call) in runs.extract_if(.., |(left, _)| *left <= 0.0) {
                let kind = scenario.kinds[call.kind];
                count(&mut report, scenario, &call, |c| record_answer(c, &kind, now - call.first));
            }
        }
        queue.extend(arrivals(scenario, now, &mut rng));
        let live = (scenario.live)(now).min(scenario.upstreams);
        let mut order: Vec<usize> = (0..live).collect();
        order.sort_by(|a, b| slowdown(*a).total_cmp(&slowdown(*b)));
        for index in order {
            while upstreams[index].len() < scenario.slots as usize {
                let density = |call: &Call| {
                    let kind = scenario.kinds[call.kind];
                    let ends = now - call.first + (call.work * slowdown(index)) as u64;
                    let worth = match () {
                        () if ends <= kind.objective_ms => kind.worth,
                        () if ends <= kind.deadline_ms
                            && now - call.first + call.work as u64 > kind.objective_ms =>
                        {
                            kind.late_worth
                        }
                        () => 0.0,
                    };
                    worth / kind.work_ms
                };
                let best = (0..queue.len()).max_by(|&a, &b| {
                    let due =
                        |i: usize| queue[i].first + scenario.kinds[queue[i].kind].objective_ms;
                    let order = density(&queue[a]).total_cmp(&density(&queue[b]));
                    order.then(due(b).cmp(&due(a)))
                });
                let Some(best) = best.filter(|&i| density(&queue[i]) > 0.0) else { break };
                let call = queue.swap_remove(best);
                upstreams[index].push((call.work, call));
            }
        }
        let is_lost = |call: &mut Call| now - call.first > scenario.kinds[call.kind].deadline_ms;
        for call in queue.extract_if(.., is_lost) {
            count(&mut report, scenario, &call, |c| c.refused += 1);
        }
    }
    report
}
