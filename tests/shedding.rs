//! What is delayed or refused under loads for which there is too little room. Each test names the
//! load that it replays.

#[path = "shedding/replay.rs"]
mod replay;

use cornelferry::config::Priority;
use cornelferry::shedding::Shedding;

use replay::{Kind, Report, Scenario, reference, replay};

const LOOKUP: Kind = Kind {
    name: "lookup",
    priority: Priority::Urgent,
    per_second: 57.0,
    work_ms: 120.0,
    objective_ms: 250,
    deadline_ms: 1_500,
    worth: 1.3,
    late_worth: 0.054,
};
const COMMIT: Kind = Kind {
    name: "commit",
    priority: Priority::Normal,
    per_second: 19.0,
    work_ms: 150.0,
    objective_ms: 400,
    deadline_ms: 1_500,
    worth: 1.4,
    late_worth: 0.14,
};
const FETCH: Kind = Kind {
    name: "fetch",
    priority: Priority::Normal,
    per_second: 7.5,
    work_ms: 92.0,
    objective_ms: 1_000,
    deadline_ms: 2_500,
    worth: 0.7,
    late_worth: 0.07,
};
const PULL: Kind = Kind {
    name: "pull",
    priority: Priority::Deferrable,
    per_second: 9.0,
    work_ms: 460.0,
    objective_ms: 2_500,
    deadline_ms: 4_000,
    worth: 0.35,
    late_worth: 0.053,
};

const IMAGE: Kind = Kind {
    name: "image",
    priority: Priority::Normal,
    per_second: 23.0,
    work_ms: 140.0,
    objective_ms: 400,
    deadline_ms: 3_000,
    worth: 1.0,
    late_worth: 0.1,
};

const SEEDS: std::ops::Range<u64> = 1..7;

/// The sums over all seeds.
struct Reports {
    objective: Report,
    least_cost: Report,
}

/// Replays a load with both settings and with perfect knowledge, and prints the results.
fn replay_both(title: &str, scenario: &Scenario) -> Reports {
    let sum = |run: &dyn Fn(u64) -> Report| {
        let runs = SEEDS.map(run);
        runs.reduce(|mut all, other| {
            all.add(&other);
            all
        })
        .expect("a run")
    };
    let objective = sum(&|seed| replay(scenario, Shedding::Objective, seed));
    let least_cost = sum(&|seed| replay(scenario, Shedding::LeastCost, seed));
    println!("== {title}");
    objective.print("objective");
    least_cost.print("least-cost");
    sum(&|seed| reference(scenario, seed)).print("perfect knowledge");
    Reports { objective, least_cost }
}

fn in_burst(now: u64, length: u64) -> bool {
    (8_000..8_000 + length).contains(&now)
}

fn lookups() -> Scenario {
    Scenario { kinds: vec![LOOKUP, COMMIT], upstreams: 5, ..Scenario::default() }
}

fn archive() -> Scenario {
    Scenario { kinds: vec![FETCH, PULL], upstreams: 3, ..Scenario::default() }
}

/// Lookups, or pulls and fetches, fill two thirds of the slots that aren't slow.
#[test]
fn under_usual_load_less_is_refused() {
    let reports = replay_both("usual lookups", &lookups());
    let (before, after) = (reports.objective, reports.least_cost);
    assert!(after.worth() > before.worth());
    assert!(after.all().refused * 2 < before.all().refused);
    let reports = replay_both("usual fetches and pulls", &archive());
    assert!(reports.least_cost.worth() > reports.objective.worth() - 0.005);
}

/// Pulls, which take long and are the least urgent, come 2.4 times as often for 6 s.
#[test]
fn in_a_burst_of_the_long_kind_the_more_urgent_kind_is_in_time_more_often() {
    let factor = |kind: &Kind, _, now| match kind.name == "pull" && in_burst(now, 6_000) {
        true => 2.4,
        false => 1.0,
    };
    let reports = replay_both("burst of pulls", &Scenario { factor, ..archive() });
    let (before, after) = (reports.objective, reports.least_cost);
    assert!(after.kind("fetch").in_time > before.kind("fetch").in_time);
    assert!(after.kind("fetch").served() > after.kind("pull").served());
    assert!(after.worth() > before.worth() - 0.005);
}

/// Lookups, which are short and the most urgent, come 1.8 times as often for 3.5 s.
#[test]
fn in_a_burst_of_the_urgent_kind_less_is_refused() {
    let factor = |kind: &Kind, _, now| match kind.name == "lookup" && in_burst(now, 3_500) {
        true => 1.8,
        false => 1.0,
    };
    let reports = replay_both("burst of lookups", &Scenario { factor, ..lookups() });
    let (before, after) = (reports.objective, reports.least_cost);
    assert!(after.worth() > before.worth());
    assert!(after.all().refused < before.all().refused);
}

/// One of twenty equal teams sends 25 times its usual for 6 s.
#[test]
fn teams_that_send_their_usual_are_served_more_often_than_one_that_sends_far_more() {
    let factor = |_: &Kind, team, now| match team == 0 && in_burst(now, 6_000) {
        true => 25.0,
        false => 1.0,
    };
    let reports = replay_both("hot team", &Scenario { factor, ..lookups() });
    let (before, after) = (reports.objective, reports.least_cost);
    assert!(after.teams(1..20).in_time > before.teams(1..20).in_time);
    assert!(after.teams(1..20).refused < before.teams(1..20).refused);
    assert!(after.team(0).served() > after.all().served() / 4.0);
    assert!(after.worth() > before.worth());
}

/// Two of five upstreams take twelve times as long for 6 s.
#[test]
fn while_upstreams_are_slow_more_is_in_time() {
    let slowdown = |index, now| match index % 5 < 2 && in_burst(now, 6_000) {
        true => 12.0,
        false => 1.0,
    };
    let reports = replay_both("slow lookups", &Scenario { slowdown, ..lookups() });
    let (before, after) = (reports.objective, reports.least_cost);
    assert!(after.kind("lookup").in_time > before.kind("lookup").in_time);
    assert!(after.kind("commit").in_time > before.kind("commit").in_time);
    let reports = replay_both("slow fetches and pulls", &Scenario { slowdown, ..archive() });
    assert!(reports.least_cost.worth() > reports.objective.worth() - 0.005);
}

/// Services lose about half of their upstreams for 6 s.
#[test]
fn with_half_of_the_slots_more_is_in_time() {
    let live = |now| if in_burst(now, 6_000) { 3 } else { 5 };
    let reports = replay_both("half of the slots", &Scenario { live, ..lookups() });
    assert!(reports.least_cost.worth() > reports.objective.worth() + 0.01);
    let live = |now| if in_burst(now, 6_000) { 2 } else { 5 };
    let kinds = vec![IMAGE];
    let scenario = Scenario { kinds, upstreams: 5, slots: 2, retries: 2, live, ..lookups() };
    let reports = replay_both("half of the slots, two at an upstream", &scenario);
    assert!(reports.least_cost.worth() > reports.objective.worth() + 0.01);
}

/// Hosts that know nothing of the upstreams get three times the usual requests in their first 1.5 s.
#[test]
fn after_a_start_of_all_hosts_the_most_urgent_kind_is_served_most() {
    let factor = |_: &Kind, _, now| if now < 1_500 { 3.0 } else { 1.0 };
    let scenario = Scenario { factor, counted: 0..3_000, length_ms: 6_000, ..lookups() };
    let reports = replay_both("start of all hosts", &scenario);
    let (before, after) = (reports.objective, reports.least_cost);
    assert!(after.kind("lookup").served() > before.kind("lookup").served());
    assert!(after.kind("lookup").served() > after.kind("commit").served());
    assert!(before.kind("lookup").served() < before.kind("commit").served() * 1.05);
}

/// Four times the usual lookups for 8 s, more than twice of what there is room for.
#[test]
fn each_kind_keeps_a_floor_and_room_is_found_again_after_the_shortage() {
    let factor = |kind: &Kind, _, now| match kind.name == "lookup" && in_burst(now, 8_000) {
        true => 4.0,
        false => 1.0,
    };
    let during = Scenario { factor, counted: 8_000..16_000, ..lookups() };
    let reports = replay_both("four times the lookups", &during);
    let (before, after) = (reports.objective, reports.least_cost);
    for kind in ["lookup", "commit"] {
        assert!(after.kind(kind).served() > after.all().served() / 4.0, "{kind}");
    }
    let ratio = |r: &Report| r.kind("lookup").served() / r.kind("commit").served();
    assert!(ratio(&after) > ratio(&before));
    let later = Scenario { factor, counted: 17_000..20_000, ..lookups() };
    let reports = replay_both("a second after", &later);
    assert!(reports.least_cost.worth() > reports.objective.worth());
    assert!(reports.least_cost.all().served() > 0.97);
}
