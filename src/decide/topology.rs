//! Which entry hosts talk to each other.
//!
//! The hosts of a data centre form a circulant graph over the order of their hashes, and so do the
//! data centres: a host links to hosts a few fixed distances away. The degree grows with the logarithm
//! of the fleet and is even over the hosts, and every host computes the same graph from the same
//! members. A host that joins or leaves shifts the others of its data centre by one place.

use std::sync::Arc;

/// A host's place in the graph.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Vertex {
    /// The hash of the data centre's name.
    pub data_centre: u64,
    /// The hash of the host's name.
    pub hash: u64,
    /// The host's name.
    pub host: Arc<str>,
}

/// Groups up to this size are a full mesh.
const MESH_SIZE_MAX: usize = 5;

/// Groups up to this size link over distances 1 and 2, which reaches every member in two hops.
const TWO_HOP_SIZE_MAX: usize = 8;

/// Hosts of a data centre that dial over one distance between data centres: enough that some pair is
/// left when a third of the hosts can't be reached, and few, as bytes between data centres cost most.
const BRIDGES: usize = 6;

/// The factor between two distances in larger groups.
const DISTANCE_FACTOR: usize = 3;

/// Returns the names of the hosts that `host` exchanges digests with. The relation is symmetric:
/// given the same places, two hosts always name each other or neither.
pub fn neighbours(places: &[Vertex], host: &str) -> Vec<Arc<str>> {
    let mut places = places.to_vec();
    places.sort();
    places.dedup();
    let groups: Vec<&[Vertex]> = places.chunk_by(|a, b| a.data_centre == b.data_centre).collect();
    let position = |g: &&[Vertex]| g.iter().position(|p| *p.host == *host);
    let found = groups.iter().enumerate().find_map(|(i, g)| Some((i, position(g)?)));
    let Some((group, at)) = found else { return Vec::new() };
    let own = groups[group];
    let mut out: Vec<Arc<str>> =
        around(own.len(), at).into_iter().map(|i| own[i].host.clone()).collect();
    out.extend(abroad(&groups, group, at));
    out.sort();
    out.dedup();
    out
}

/// Returns the distances over which the members of a group link.
fn distances(size: usize) -> Vec<usize> {
    if size <= MESH_SIZE_MAX {
        return (1..=size / 2).collect();
    }
    if size <= TWO_HOP_SIZE_MAX {
        return vec![1, 2];
    }
    let farther = |d: &usize| Some(d * DISTANCE_FACTOR);
    std::iter::successors(Some(1), farther).take_while(|d| *d <= size / 2).collect()
}

/// Returns the positions that the member at `at` links to within its group.
fn around(size: usize, at: usize) -> Vec<usize> {
    let both = |d: usize| [(at + d) % size, (at + size - d) % size];
    distances(size).into_iter().flat_map(both).filter(|i| *i != at).collect()
}

/// Returns the hosts of other data centres that a host links to: the one that it dials, and those
/// that dial it.
fn abroad(groups: &[&[Vertex]], group: usize, at: usize) -> Vec<Arc<str>> {
    let mut out: Vec<Arc<str>> = Vec::new();
    out.extend(partner(groups, group, at));
    let own = &groups[group][at].host;
    for (other, members) in groups.iter().enumerate().filter(|(i, _)| *i != group) {
        let dials = |i: &usize| partner(groups, other, *i).is_some_and(|p| p == *own);
        out.extend((0..members.len()).filter(dials).map(|i| members[i].host.clone()));
    }
    out
}

/// Returns the host of another data centre that the host at `at` of `group` dials. Members at even
/// distances take the distances between data centres in turn.
fn partner(groups: &[&[Vertex]], group: usize, at: usize) -> Option<Arc<str>> {
    let distances = distances(groups.len());
    let size = groups[group].len();
    let bridges = size.min(BRIDGES * distances.len());
    let bridge = (0..bridges).find(|i| i * size / bridges == at)?;
    let distance = distances[bridge % distances.len()];
    let other = groups[(group + distance) % groups.len()];
    let opposite = at * other.len() / size;
    Some(other[opposite].host.clone())
}
