//! Tests of the search for the team of a request.

use std::sync::Arc;

use proptest::collection::{btree_set, vec};
use proptest::prelude::*;

use super::{TeamTable, UnknownKey, faults, is_equal, treatment};
use crate::config::{Priority, Team, Treatment};

fn team(name: &str, keys: &[&str]) -> Arc<Team> {
    let keys = keys.iter().map(|&k| k.into()).collect();
    Arc::new(Team { name: name.into(), keys, ..Team::default() })
}

fn pointers(teams: &[Arc<Team>]) -> Vec<String> {
    faults(teams, "/teams").into_iter().map(|f| f.pointer).collect()
}

#[test]
fn a_request_needs_exactly_one_known_key_except_on_a_public_route() {
    let table = TeamTable::new(&[team("harbour", &["k1", "k2"]), team("salt", &[])], 7);
    let name = |is_public, keys: &[&str]| {
        let found = table.identify(is_public, keys.iter().map(|k| k.as_bytes()));
        found.map(|t| t.map(|t| t.name.to_string()))
    };
    let harbour = Some("harbour".to_owned());
    for is_public in [false, true] {
        assert_eq!(name(is_public, &["k2"]), Ok(harbour.clone()));
    }
    for keys in [&[][..], &[""], &["k3"], &["k"], &["k11"], &["K1"], &["k1", "k1"], &["k1,k2"]] {
        assert_eq!(name(false, keys), Err(UnknownKey), "{keys:?}");
        assert_eq!(name(true, keys), Ok(None), "{keys:?}");
    }
}

/// Guards against a list that lets every key through since its last team, or its last key, is gone.
#[test]
fn a_list_without_any_key_lets_nobody_through() {
    for teams in [&[][..], &[team("salt", &[])]] {
        let table = TeamTable::new(teams, 7);
        for key in [&b""[..], b"k1", b"salt"] {
            assert_eq!(table.identify(false, [key]), Err(UnknownKey), "{teams:?}");
            assert_eq!(table.identify(true, [key]), Ok(None), "{teams:?}");
        }
        assert_eq!(table.identify(false, []), Err(UnknownKey), "{teams:?}");
    }
}

#[test]
fn the_priority_of_a_team_takes_precedence() {
    let route = Treatment { priority: Priority::Deferrable, ..Treatment::default() };
    let urgent = Team { priority: Some(Priority::Urgent), ..Team::default() };
    assert_eq!(treatment(&route, Some(&urgent)).priority, Priority::Urgent);
    assert_eq!(treatment(&route, Some(&Team::default())), route);
    assert_eq!(treatment(&route, None), route);
}

#[test]
fn a_table_is_kept_only_for_the_same_version() {
    let teams = [team("harbour", &["k1"]), team("salt", &["k2"])];
    let table = TeamTable::new(&teams, 7);
    assert!(table.is_of(&teams));
    assert!(!table.is_of(&teams[..1]));
    assert!(!table.is_of(&[team("harbour", &["k1"]), teams[1].clone()]));
}

#[test]
fn faults_name_their_place_and_no_key() {
    let rates = |per_second, burst| {
        Arc::new(Team { per_second, burst, ..Team::clone(&team("rates", &["k9"])) })
    };
    let cases = [
        (vec![team("a", &["k1"]), team("b", &["k2", "k1"])], "/teams/1/keys/1"),
        (vec![team("a", &["k1", "k1"])], "/teams/0/keys/1"),
        (vec![team("a", &["k1", ""])], "/teams/0/keys/1"),
        (vec![team("a", &["k1\r\nx: y"])], "/teams/0/keys/0"),
        (vec![team("a", &[" k1"])], "/teams/0/keys/0"),
        (vec![team("a", &[&"k".repeat(5_000)])], "/teams/0/keys/0"),
        (vec![team("", &["k1"])], "/teams/0/name"),
        (vec![team("a\n", &["k1"])], "/teams/0/name"),
        (vec![team("a", &["k1"]), team("a", &["k2"])], "/teams/1/name"),
        (vec![rates(-1.0, 0.0)], "/teams/0/per_second"),
        (vec![rates(f64::NAN, 0.0)], "/teams/0/per_second"),
        (vec![rates(f64::INFINITY, 0.0)], "/teams/0/per_second"),
        (vec![rates(1e12, 0.0)], "/teams/0/per_second"),
        (vec![rates(5.0, -0.5)], "/teams/0/burst"),
    ];
    for (teams, pointer) in cases {
        assert_eq!(pointers(&teams), [pointer]);
        let text = format!("{:?} {teams:?}", faults(&teams, "/teams"));
        assert!(!text.contains("k1"), "{text}");
    }
    assert_eq!(pointers(&[team("a", &["k1"]), rates(0.0, 0.0), team("z", &[])]), [""; 0]);
}

#[test]
fn many_keys_are_all_found() {
    let key = |i: usize| format!("key-{i}");
    let teams: Vec<Arc<Team>> = (0..100)
        .map(|t| {
            let keys: Vec<String> = (0..100).map(|k| key(t * 100 + k)).collect();
            team(&format!("team-{t}"), &keys.iter().map(String::as_str).collect::<Vec<_>>())
        })
        .collect();
    assert_eq!(pointers(&teams), [""; 0]);
    let table = TeamTable::new(&teams, 7);
    for i in 0..10_000 {
        let found = table.find(key(i).as_bytes()).expect("a team");
        assert_eq!(*found.name, *format!("team-{}", i / 100));
    }
    assert_eq!(table.find(key(10_000).as_bytes()), None);
    assert!(!format!("{table:?}").contains("key-"), "{table:?}");
}

proptest! {
    /// Over any series of versions, a request never gets a team under a key that none of them held,
    /// and otherwise only that of the version in force.
    #[test]
    fn only_the_holder_of_a_key_is_found(
        versions in vec(vec(btree_set("[a-d]{1,3}", 0..6), 0..5), 1..5),
        asked in "[a-e]{0,4}",
        seed: u64,
    ) {
        for lists in versions {
            let mut taken: Vec<String> = Vec::new();
            let mut teams = Vec::new();
            for (i, list) in lists.into_iter().enumerate() {
                let keys: Vec<String> = list.into_iter().filter(|k| !taken.contains(k)).collect();
                taken.extend(keys.iter().cloned());
                let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
                teams.push(team(&i.to_string(), &keys));
            }
            prop_assert!(faults(&teams, "").is_empty());
            let table = TeamTable::new(&teams, seed);
            let holder = teams.iter().find(|t| t.keys.iter().any(|k| **k == *asked));
            prop_assert_eq!(table.find(asked.as_bytes()), holder);
        }
    }

    #[test]
    fn keys_are_equal_as_strings_are(a in vec(0..3u8, 0..4), b in vec(0..3u8, 0..4)) {
        prop_assert_eq!(is_equal(&a, &b), a == b);
    }

    #[test]
    fn every_repeated_key_is_a_fault(lists in vec(vec("[ab]{1,2}", 0..4), 0..4)) {
        let teams: Vec<Arc<Team>> = lists
            .iter()
            .enumerate()
            .map(|(i, l)| {
                team(&i.to_string(), &l.iter().map(String::as_str).collect::<Vec<_>>())
            })
            .collect();
        let mut keys: Vec<&String> = lists.iter().flatten().collect();
        let count = keys.len();
        keys.sort_unstable();
        keys.dedup();
        prop_assert_eq!(faults(&teams, "").len(), count - keys.len());
    }
}
