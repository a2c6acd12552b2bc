//! Which entry hosts talk to each other.

use std::collections::BTreeSet;
use std::sync::Arc;

use cornelferry::topology::{Vertex, neighbours};
use proptest::collection::vec;
use proptest::prelude::*;

/// Makes a fleet with the given numbers of hosts in its data centres.
fn fleet(sizes: &[usize]) -> Vec<Vertex> {
    let place = |dc: usize, i: usize| {
        let host: Arc<str> = format!("entry-{dc}-{i}").into();
        let seed = (dc * 1_000 + i) as u64 + 1;
        Vertex {
            data_centre: dc as u64 * 77 % 101,
            hash: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            host,
        }
    };
    let hosts = sizes.iter().enumerate().flat_map(|(dc, size)| (0..*size).map(move |i| (dc, i)));
    hosts.map(|(dc, i)| place(dc, i)).collect()
}

/// Returns how many hosts are at each distance from the first, by hops.
fn hops(places: &[Vertex]) -> Vec<usize> {
    let mut seen = BTreeSet::from([places[0].host.clone()]);
    let mut edge = vec![places[0].host.clone()];
    let mut out = Vec::new();
    while !edge.is_empty() {
        out.push(edge.len());
        let next = edge.iter().flat_map(|h| neighbours(places, h));
        edge = next.filter(|h| seen.insert(h.clone())).collect();
    }
    out
}

proptest! {
    #[test]
    fn links_are_mutual_and_reach_every_host(sizes in vec(1_usize..12, 1..9)) {
        let places = fleet(&sizes);
        for place in &places {
            for other in neighbours(&places, &place.host) {
                prop_assert_ne!(&other, &place.host);
                prop_assert!(neighbours(&places, &other).contains(&place.host));
            }
        }
        prop_assert_eq!(hops(&places).iter().sum::<usize>(), places.len());
    }
}

#[test]
fn todays_fleet_is_three_hops_wide_with_six_links_a_host() {
    let places = fleet(&[6, 6, 6]);
    assert!(places.iter().all(|p| neighbours(&places, &p.host).len() <= 6));
    assert!(places.iter().all(|p| {
        let mut from_here = places.clone();
        from_here.retain(|q| q.host != p.host);
        from_here.insert(0, p.clone());
        hops(&from_here).len() <= 4
    }));
}

#[test]
fn the_degree_grows_with_the_logarithm_of_the_fleet() {
    let degree = |places: &[Vertex]| {
        places.iter().map(|p| neighbours(places, &p.host).len()).max().unwrap_or(0)
    };
    assert_eq!(degree(&fleet(&[24, 24, 24])), 8);
    assert!(degree(&fleet(&[15; 28])) <= 8);
}
