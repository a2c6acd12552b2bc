use std::time::Duration;

use proptest::prelude::*;

use super::*;
use crate::config::Priority;
use crate::decide::admission::Ticket;

const NOW: Time = Time::from_millis(10_000);
const RATES: Rates = Rates { start: 1.0, offered: [0.0; 3] };

fn item(number: u64, priority: Priority, work_ms: u64, goal_ms: u64, deadline_ms: u64) -> Item {
    Item {
        ticket: Some(Ticket::from(number)),
        priority,
        work: work_ms as f32 / 1_000.0,
        start_by: NOW + Duration::from_millis(goal_ms.saturating_sub(work_ms)),
        last_start: NOW + Duration::from_millis(deadline_ms.saturating_sub(work_ms)),
        standing: Standing::Usual,
        team_excess: 0,
    }
}

#[test]
fn a_request_that_can_wait_waits_for_one_that_cannot() {
    let items = [
        item(0, Priority::Normal, 120, 2_500, 4_000),
        item(1, Priority::Deferrable, 120, 300, 1_500),
    ];
    assert_eq!(plan(&items, &RATES, NOW).on_time, [1, 0]);
}

#[test]
fn the_more_urgent_request_is_on_time_if_only_one_can_be() {
    let items =
        [item(0, Priority::Normal, 120, 200, 1_500), item(1, Priority::Urgent, 120, 200, 1_500)];
    let plan = plan(&items, &RATES, NOW);
    assert_eq!((plan.on_time, plan.late, plan.refused), (vec![1], vec![0], vec![]));
}

#[test]
fn four_short_requests_go_before_a_long_one() {
    let mut items = vec![item(0, Priority::Normal, 460, 700, 4_000)];
    items.extend((1..5).map(|i| item(i, Priority::Normal, 120, 600, 1_500)));
    let plan = plan(&items, &RATES, NOW);
    assert_eq!((plan.on_time, plan.late), (vec![1, 2, 3, 4], vec![0]));
}

#[test]
fn a_request_that_cannot_be_started_before_its_deadline_is_refused_at_once() {
    let mut items: Vec<Item> =
        (0..20).map(|i| item(i, Priority::Urgent, 120, 2_500, 4_000)).collect();
    items.push(item(20, Priority::Normal, 120, 400, 1_500));
    assert_eq!(plan(&items, &RATES, NOW).refused, [20]);
}

#[test]
fn among_equals_the_team_with_less_recent_work_is_on_time() {
    let mut items: Vec<Item> = (0..3).map(|i| item(i, Priority::Urgent, 120, 250, 1_500)).collect();
    items[0].team_excess = 2;
    items[1].team_excess = 1;
    let plan = plan(&items, &RATES, NOW);
    assert!(plan.on_time.contains(&2) && !plan.on_time.contains(&0));
}

#[test]
fn a_late_request_of_a_kind_below_its_floor_goes_first() {
    let mut items =
        [item(0, Priority::Urgent, 120, 250, 1_500), item(1, Priority::Deferrable, 120, 0, 140)];
    items[1].standing = Standing::Starved;
    items[1].start_by = NOW.before(Duration::from_millis(1));
    assert_eq!(plan(&items, &RATES, NOW).on_time, [1, 0]);
}

fn items() -> impl Strategy<Value = Vec<Item>> {
    let standing = prop_oneof![
        4 => Just(Standing::Usual),
        1 => Just(Standing::Overtaken),
        1 => Just(Standing::Behind),
        1 => Just(Standing::Starved)
    ];
    let priority =
        prop_oneof![Just(Priority::Urgent), Just(Priority::Normal), Just(Priority::Deferrable)];
    let one = (priority, 20..500_u64, 0..3_000_u64, 0..2_000_u64, standing, 0..4_u32);
    proptest::collection::vec(one, 0..40).prop_map(|all| {
        let numbered = (0..).zip(all);
        let make = |(i, (priority, work, goal, more, standing, team_excess))| Item {
            standing,
            team_excess,
            ..item(i, priority, work, goal, goal + more)
        };
        numbered.map(make).collect()
    })
}

proptest! {
    /// Each request has one place in a plan, and what is planned on time can be started in time.
    #[test]
    fn plans_are_feasible(items in items(), start in 0.1_f32..8.0, offered in 0.0_f32..4.0) {
        let rates = Rates { start, offered: [offered, 0.0, 0.0] };
        let plan = plan(&items, &rates, NOW);
        let mut all: Vec<usize> = plan.order().collect();
        all.sort_unstable();
        prop_assert_eq!(all, (0..items.len()).collect::<Vec<_>>());
        prop_assert!(plan.refused.iter().all(|i| plan.late.contains(i)));
        let mut ahead = 0.0;
        for &index in &plan.on_time {
            let due = items[index].start_by.max(items[index].last_start);
            let is_usual = items[index].standing == Standing::Usual;
            let due = if is_usual { items[index].start_by } else { due };
            prop_assert!(ahead / start <= NOW.until(due).as_secs_f32() + 0.001);
            ahead += items[index].work;
        }
    }

    /// A request that is planned late couldn't be put among those that are more valuable.
    #[test]
    fn what_can_be_on_time_alone_is(items in items(), start in 0.1_f32..8.0) {
        let rates = Rates { start, offered: [0.0; 3] };
        let on_time = plan(&items, &rates, NOW).on_time;
        prop_assert!(items.iter().all(|i| NOW > i.start_by) || !on_time.is_empty());
        let best = (0..items.len())
            .filter(|&i| NOW <= items[i].start_by)
            .min_by_key(|&i| (value_rank(&items[i], NOW), items[i].ticket));
        let has_late = items.iter().any(|i| i.standing > Standing::Usual);
        prop_assert!(has_late || best.is_none_or(|i| on_time.contains(&i)));
    }

    /// With enough room, nothing is refused that can still be started in time.
    #[test]
    fn nothing_is_refused_while_there_is_room(items in items()) {
        let rates = Rates { start: 1e6, offered: [1.0; 3] };
        let plan = plan(&items, &rates, NOW);
        prop_assert!(plan.refused.iter().all(|&i| NOW > items[i].last_start
            || NOW.until(items[i].last_start) < Duration::from_millis(1)));
    }
}
