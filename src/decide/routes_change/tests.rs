//! Tests of changes of the routes, and of what is remembered of them.

use proptest::collection::vec;
use proptest::option::of;
use proptest::prelude::*;

use super::*;
use crate::config::{Service, Team, Treatment, WeightedService};
use crate::decide::catalog::RecordKind;
use crate::decide::stored::{self, StoredRecord};

/// Returns a record whose routes have the given deadlines, and whose only service has a size limit.
fn record(version: u64, deadlines: &[u64], body_max_bytes: u64) -> Record {
    let route = |&deadline_ms: &u64| Route {
        name: format!("r-{deadline_ms}").into(),
        host: "shop.example".into(),
        path_prefix: format!("/{deadline_ms}/"),
        treatment: Treatment { deadline_ms, ..Treatment::default() },
        split: vec![WeightedService { service: "orders".into(), weight: 1.0 }],
        public: false,
    };
    let services = vec![Service { name: "orders".into(), body_max_bytes, ..Service::default() }];
    let routes = deadlines.iter().map(route).collect();
    Record {
        name: "routes".into(),
        version,
        change: "1".into(),
        author: "".into(),
        revision: None,
        body: Body::Routing(Arc::new(Routing { routes, services, ..Routing::default() })),
    }
}

fn routing(record: &Record) -> &Routing {
    let Body::Routing(routing) = &record.body else { panic!("a routing record") };
    routing
}

fn digest(record: &Record) -> RoutesDigest {
    RoutesDigest::of(record).expect("a routing record")
}

fn change(from: &Record, to: &Record) -> RoutesChange {
    RoutesChange::between(&digest(from), routing(from), &digest(to), to).expect("a routing record")
}

proptest! {
    #[test]
    fn a_change_makes_the_same_record_on_every_host(
        from in vec(0_u64..12, 0..12), to in vec(0_u64..12, 0..12), sizes in any::<[u8; 2]>(),
    ) {
        let from = record(1, &from, sizes[0].into());
        let to = record(2, &to, sizes[1].into());
        let json = serde_json::to_vec(&change(&from, &to)).unwrap();
        let change: RoutesChange = serde_json::from_slice(&json).unwrap();
        let made = change.apply(&digest(&from), routing(&from));
        prop_assert_eq!(made, Ok((to.clone(), digest(&to))));
    }

    #[test]
    fn a_change_is_not_applied_to_other_routes(
        lists in vec(vec(0_u64..6, 0..6), 3), version in 1_u64..3,
    ) {
        let from = record(1, &lists[0], 1);
        let other = record(version, &lists[2], 1);
        prop_assume!(from != other);
        let change = change(&from, &record(3, &lists[1], 1));
        prop_assert_eq!(change.apply(&digest(&other), routing(&other)), Err(ChangeError::OtherBase));
    }
}

/// Returns a record with a list of teams, each with as many keys as it says, or without a list.
fn with_teams(version: u64, sizes: Option<Vec<usize>>) -> Record {
    let team = |(i, &count): (usize, &usize)| {
        let keys = (0..count).map(|k| format!("key-{i}-{k}").into()).collect();
        Arc::new(Team { name: format!("team-{i}").into(), keys, ..Team::default() })
    };
    let teams = sizes.map(|sizes| sizes.iter().enumerate().map(team).collect());
    let plain = record(1, &[1], 1);
    let routing = Routing { teams, services: Vec::new(), ..routing(&plain).clone() };
    Record { body: Body::Routing(Arc::new(routing)), ..record(version, &[], 1) }
}

proptest! {
    /// Guards against an empty list of teams that becomes none on its way between hosts or into a store,
    /// so that no request needs a key.
    #[test]
    fn a_list_of_teams_travels_whole(
        from in of(vec(0_usize..2, 0..3)), to in of(vec(0_usize..2, 0..3)),
    ) {
        let (from, to) = (with_teams(1, from), with_teams(2, to));
        let json = serde_json::to_vec(&change(&from, &to)).unwrap();
        let change: RoutesChange = serde_json::from_slice(&json).unwrap();
        let made = change.apply(&digest(&from), routing(&from));
        prop_assert_eq!(made.as_ref(), Ok(&(to.clone(), digest(&to))));
        let json = serde_json::to_vec(&to).unwrap();
        let read = stored::read(RecordKind::Routing, &to.name, &json);
        prop_assert_eq!(read, StoredRecord::Readable(to.clone()));
        let shown = to.without_keys();
        let (own, shown) = (&routing(&to).teams, &routing(&shown).teams);
        prop_assert_eq!(own.as_ref().map(Vec::len), shown.as_ref().map(Vec::len));
    }
}

/// Guards against a null that is read as the lack of a list of teams.
#[test]
fn a_record_whose_list_of_teams_is_null_is_unreadable() {
    let mut json = serde_json::to_value(with_teams(1, Some(Vec::new()))).unwrap();
    let teams = json.pointer_mut("/body/routing/teams").expect("an empty list");
    *teams = serde_json::Value::Null;
    let read = stored::read(RecordKind::Routing, "routes", json.to_string().as_bytes());
    assert!(matches!(read, StoredRecord::Unreadable(_)), "{read:?}");
}

#[test]
fn a_change_of_one_route_holds_one_route() {
    let deadlines: Vec<u64> = (0..1_400).collect();
    let mut later = deadlines.clone();
    later[700] = 5_000;
    let (from, to) = (record(1, &deadlines, 1), record(2, &later, 1));
    let change = change(&from, &to);
    let new: usize =
        change.parts.iter().map(|p| if let Part::New(r) = p { r.len() } else { 0 }).sum();
    assert_eq!((new, change.rest), (1, None));
}

#[test]
fn a_change_that_is_forged_makes_no_routes() {
    let (from, to) = (record(1, &[1, 2], 1), record(2, &[1, 3], 1));
    let honest = change(&from, &to);
    let out_of_range = vec![Part::Kept(0..9)];
    let backwards = vec![Part::Kept(Range { start: 2, end: 1 })];
    let shorter = vec![Part::Kept(0..1)];
    for parts in [out_of_range, backwards, shorter] {
        let forged = RoutesChange { parts, ..honest.clone() };
        assert_eq!(forged.apply(&digest(&from), routing(&from)), Err(ChangeError::OtherResult));
    }
}

fn bytes(size: usize) -> Arc<[u8]> {
    vec![0; size].into()
}

/// A host that fell behind by several versions gets all changes that it lacks at once; one that is
/// further behind than is remembered, or holds something else, gets the whole record.
#[test]
fn a_peer_gets_the_changes_that_it_lacks() {
    let versions: Vec<Record> = (1..=100).map(|v| record(v, &[v], 1)).collect();
    let mut history = RoutesHistory::default();
    history.advance(digest(&versions[0]), Some(bytes(10)));
    for (i, version) in versions.iter().enumerate().skip(1) {
        history.advance(digest(version), Some(bytes(i)));
    }
    let whole = bytes(100_000);
    let mut update = |held: u64| history.update_from(held, || Some(whole.clone())).expect("routes");
    let held = |version: usize| digest(&versions[version - 1]).fingerprint();
    assert_eq!(update(held(98)), RoutesUpdate::Changes(vec![bytes(98), bytes(99)]));
    assert_eq!(update(held(100)), RoutesUpdate::Whole(whole.clone()));
    assert_eq!(update(held(2)), RoutesUpdate::Whole(whole.clone()));
    assert_eq!(update(0), RoutesUpdate::Whole(whole.clone()));
    assert!(
        matches!(update(held(100 - STEPS_MAX)), RoutesUpdate::Changes(c) if c.len() == STEPS_MAX)
    );
}

#[test]
fn the_whole_record_is_sent_if_it_is_smaller_than_the_changes() {
    let versions: Vec<Record> = (1..=3).map(|v| record(v, &[v], 1)).collect();
    let mut history = RoutesHistory::default();
    versions.iter().for_each(|v| history.advance(digest(v), Some(bytes(600))));
    let held = digest(&versions[0]).fingerprint();
    let changes = RoutesUpdate::Changes(vec![bytes(600), bytes(600)]);
    assert_eq!(history.update_from(held, || None), Some(changes));
    assert!(history.update_from(0, || None).is_none());
    let whole = Some(RoutesUpdate::Whole(bytes(1_000)));
    assert_eq!(history.update_from(0, || Some(bytes(1_000))), whole);
    assert_eq!(history.update_from(held, || None), whole);
}
