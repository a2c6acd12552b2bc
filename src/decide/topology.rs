//! The gossip topology: which entry hosts are neighbours.
//!
//! The hosts of a data centre, ordered by hash, form a circulant graph: each host links to the
//! hosts at a few fixed distances around the ring. The data centres form such a graph as well. The
//! degree is about the same for all hosts and grows with the logarithm of the fleet size, and every
//! host computes the same graph from the same members. A host that joins or leaves shifts the
//! others of its data centre by one position.

use std::sync::Arc;

/// A host as a vertex of the graph. The order of vertices is that of the rings.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Vertex {
    /// The hash of the data centre's name.
    pub data_centre: u64,
    /// The hash of the host's name.
    pub hash: u64,
    /// The host's name.
    pub host: Arc<str>,
}

/// The size up to which a ring is a full mesh.
const MESH_SIZE_MAX: usize = 5;

/// The size up to which a ring links over the distances 1 and 2, which reaches every member in two
/// hops.
const TWO_HOP_SIZE_MAX: usize = 8;

/// For each distance between data centres, the number of bridges: hosts of a data centre that
/// select a host of the data centre at that distance to link to. Enough that some link is left when
/// a third of the hosts can't be reached, and few, since traffic between data centres costs most.
const BRIDGES_PER_DISTANCE: usize = 6;

/// The factor between consecutive distances in larger rings.
const DISTANCE_FACTOR: usize = 3;

/// Returns the names of the hosts with which `host` exchanges digests, sorted; none if `host` is
/// not a vertex. The relation is symmetric: given the same vertices, two hosts are either each
/// other's neighbours or neither is the other's.
pub fn neighbours(vertices: &[Vertex], host: &str) -> Vec<Arc<str>> {
    let mut vertices = vertices.to_vec();
    vertices.sort();
    vertices.dedup();
    let groups: Vec<&[Vertex]> = vertices.chunk_by(|a, b| a.data_centre == b.data_centre).collect();
    let position = |g: &&[Vertex]| g.iter().position(|v| *v.host == *host);
    let found = groups.iter().enumerate().find_map(|(i, g)| Some((i, position(g)?)));
    let Some((group, at)) = found else { return Vec::new() };
    let own = groups[group];
    let mut out: Vec<Arc<str>> =
        ring_neighbours(own.len(), at).into_iter().map(|i| own[i].host.clone()).collect();
    out.extend(remote_neighbours(&groups, group, at));
    out.sort();
    out.dedup();
    out
}

/// Returns the distances over which the members of a ring of `size` members link.
fn distances(size: usize) -> Vec<usize> {
    if size <= MESH_SIZE_MAX {
        return (1..=size / 2).collect();
    }
    if size <= TWO_HOP_SIZE_MAX {
        return vec![1, 2];
    }
    let next = |d: &usize| Some(d * DISTANCE_FACTOR);
    std::iter::successors(Some(1), next).take_while(|d| *d <= size / 2).collect()
}

/// Returns the positions to which the member at position `at` links within its ring.
fn ring_neighbours(size: usize, at: usize) -> Vec<usize> {
    let both_directions = |d: usize| [(at + d) % size, (at + size - d) % size];
    distances(size).into_iter().flat_map(both_directions).filter(|i| *i != at).collect()
}

/// Returns the hosts of other data centres to which a host links: the one that it selects if it is
/// a bridge, and the bridges that select it.
fn remote_neighbours(groups: &[&[Vertex]], group: usize, at: usize) -> Vec<Arc<str>> {
    let mut out: Vec<Arc<str>> = Vec::new();
    out.extend(bridge_target(groups, group, at));
    let own = &groups[group][at].host;
    for (other, members) in groups.iter().enumerate().filter(|(i, _)| *i != group) {
        let selects_own = |i: &usize| bridge_target(groups, other, *i).is_some_and(|t| t == *own);
        out.extend((0..members.len()).filter(selects_own).map(|i| members[i].host.clone()));
    }
    out
}

/// Returns the host of another data centre that the host at position `at` of `group` selects, if it
/// is a bridge. The bridges are evenly spaced and take the distances between data centres in turn.
fn bridge_target(groups: &[&[Vertex]], group: usize, at: usize) -> Option<Arc<str>> {
    let distances = distances(groups.len());
    let size = groups[group].len();
    let bridges = size.min(BRIDGES_PER_DISTANCE * distances.len());
    let bridge = (0..bridges).find(|i| i * size / bridges == at)?;
    let distance = distances[bridge % distances.len()];
    let other = groups[(group + distance) % groups.len()];
    let opposite = at * other.len() / size;
    Some(other[opposite].host.clone())
}
