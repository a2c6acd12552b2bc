//! The gossip topology: symmetry, reachability, diameter and degree.

use std::collections::BTreeSet;
use std::sync::Arc;

use cornelferry::topology::{Vertex, neighbours};
use proptest::collection::vec;
use proptest::prelude::*;

/// Returns the vertices of a fleet with the given numbers of hosts in its data centres.
fn fleet(sizes: &[usize]) -> Vec<Vertex> {
    let vertex = |dc: usize, i: usize| {
        let host: Arc<str> = format!("entry-{dc}-{i}").into();
        let seed = (dc * 1_000 + i) as u64 + 1;
        Vertex {
            data_centre: dc as u64 * 77 % 101,
            hash: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            host,
        }
    };
    let hosts = sizes.iter().enumerate().flat_map(|(dc, size)| (0..*size).map(move |i| (dc, i)));
    hosts.map(|(dc, i)| vertex(dc, i)).collect()
}

/// Returns the number of hosts at each distance from the first vertex, in hops.
fn hosts_by_distance(vertices: &[Vertex]) -> Vec<usize> {
    let mut seen = BTreeSet::from([vertices[0].host.clone()]);
    let mut frontier = vec![vertices[0].host.clone()];
    let mut counts = Vec::new();
    while !frontier.is_empty() {
        counts.push(frontier.len());
        let next = frontier.iter().flat_map(|h| neighbours(vertices, h));
        frontier = next.filter(|h| seen.insert(h.clone())).collect();
    }
    counts
}

proptest! {
    #[test]
    fn links_are_symmetric_and_reach_every_host(sizes in vec(1_usize..12, 1..9)) {
        let vertices = fleet(&sizes);
        for vertex in &vertices {
            for other in neighbours(&vertices, &vertex.host) {
                prop_assert_ne!(&other, &vertex.host);
                prop_assert!(neighbours(&vertices, &other).contains(&vertex.host));
            }
        }
        prop_assert_eq!(hosts_by_distance(&vertices).iter().sum::<usize>(), vertices.len());
    }
}

#[test]
fn a_fleet_of_three_times_six_has_diameter_three_and_degree_six() {
    let vertices = fleet(&[6, 6, 6]);
    assert!(vertices.iter().all(|v| neighbours(&vertices, &v.host).len() <= 6));
    assert!(vertices.iter().all(|v| {
        let mut starting_here = vertices.clone();
        starting_here.retain(|w| w.host != v.host);
        starting_here.insert(0, v.clone());
        hosts_by_distance(&starting_here).len() <= 4
    }));
}

#[test]
fn the_degree_grows_with_the_logarithm_of_the_fleet() {
    let degree = |vertices: &[Vertex]| {
        vertices.iter().map(|v| neighbours(vertices, &v.host).len()).max().unwrap_or(0)
    };
    assert_eq!(degree(&fleet(&[24, 24, 24])), 8);
    assert!(degree(&fleet(&[15; 28])) <= 8);
}
