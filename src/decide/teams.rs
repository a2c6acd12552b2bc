//! Finds the team of a request by the key that its caller sends.

use std::fmt;
use std::hint::black_box;
use std::sync::Arc;

use derive_more::Display;
use twox_hash::XxHash64;

use crate::config::{Team, Treatment};
use crate::document::Fault;

/// The highest rate and the largest burst of a team. Anything beyond is a mistake.
const RATE_MAX: f64 = 1e9;
/// The longest key or name of a team, in bytes. Longer ones don't fit in a request head.
const TEXT_MAX_BYTES: usize = 4_096;

/// Whether requests need a key by one version of the routing.
#[derive(Clone, Debug, Default)]
pub enum Keys {
    /// No request needs a key.
    #[default]
    NotNeeded,
    /// Requests need a key of one of these teams, except on public routes. There may be no teams.
    Needed(Arc<TeamTable>),
    /// A peer of an earlier release has passed the version on, and its release passes an empty list of
    /// teams on as none.
    Unclear,
}

impl Keys {
    /// Returns the teams, if requests need a key of theirs.
    pub fn teams(&self) -> Option<&Arc<TeamTable>> {
        match self {
            Keys::Needed(teams) => Some(teams),
            Keys::NotNeeded | Keys::Unclear => None,
        }
    }
}

/// A request has no key, several, or one that no team holds.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("no team holds the request's key")]
pub struct UnknownKey;

/// A key, identified by its place in the list of teams.
#[derive(Clone, Copy)]
struct KeyEntry {
    hash: u64,
    team: u32,
    key: u32,
}

/// The teams of one version of the routing, with an index of their keys.
///
/// The index is sorted by a hash whose seed callers don't know, and keys with the same hash are
/// compared in a time that doesn't depend on where they differ, so that the time of a search tells
/// nothing about the keys.
#[derive(Clone, Default)]
pub struct TeamTable {
    teams: Vec<Arc<Team>>,
    seed: u64,
    keys: Vec<KeyEntry>,
}

impl TeamTable {
    /// Creates the table of teams without faults, see [`faults`]. `seed` must be random.
    pub fn new(teams: &[Arc<Team>], seed: u64) -> TeamTable {
        let index = |i: usize| u32::try_from(i).unwrap_or(u32::MAX);
        let keys_of = |(i, team): (usize, &Arc<Team>)| {
            let entry = move |(j, key): (usize, &Arc<str>)| KeyEntry {
                hash: XxHash64::oneshot(seed, key.as_bytes()),
                team: index(i),
                key: index(j),
            };
            team.keys.iter().enumerate().map(entry).collect::<Vec<_>>()
        };
        let mut keys: Vec<KeyEntry> = teams.iter().enumerate().flat_map(keys_of).collect();
        keys.sort_unstable_by_key(|k| k.hash);
        TeamTable { teams: teams.to_vec(), seed, keys }
    }

    /// Returns whether this is the table of exactly these teams.
    pub fn is_of(&self, teams: &[Arc<Team>]) -> bool {
        self.teams.len() == teams.len()
            && self.teams.iter().zip(teams).all(|(own, other)| Arc::ptr_eq(own, other))
    }

    /// Returns the team that holds a key.
    pub fn find(&self, key: &[u8]) -> Option<&Arc<Team>> {
        let hash = XxHash64::oneshot(self.seed, key);
        let first = self.keys.partition_point(|k| k.hash < hash);
        let same_hash = self.keys[first..].iter().take_while(|k| k.hash == hash);
        let mut found = None;
        for entry in same_hash {
            let team = &self.teams[entry.team as usize];
            if is_equal(team.keys[entry.key as usize].as_bytes(), key) {
                found = Some(team);
            }
        }
        found
    }

    /// Returns the team with a name.
    pub fn find_named(&self, name: &[u8]) -> Option<&Arc<Team>> {
        self.teams.iter().find(|t| t.name.as_bytes() == name)
    }

    /// Returns the team of a request by its key fields. A request on a public route may do without
    /// a key, and its key may be unknown; it has no team then.
    ///
    /// # Errors
    ///
    /// Returns [`UnknownKey`] if the route is not public and the request doesn't have exactly one key
    /// that a team holds.
    pub fn identify<'a>(
        &self,
        is_public: bool,
        keys: impl IntoIterator<Item = &'a [u8]>,
    ) -> Result<Option<&Arc<Team>>, UnknownKey> {
        let mut keys = keys.into_iter();
        let only = keys.next().filter(|_| keys.next().is_none());
        match only.and_then(|key| self.find(key)) {
            None if !is_public => Err(UnknownKey),
            team => Ok(team),
        }
    }
}

/// Returns the treatment of a request on a route: the team's priority takes precedence.
pub fn treatment(route: &Treatment, team: Option<&Team>) -> Treatment {
    let priority = team.and_then(|t| t.priority).unwrap_or(route.priority);
    Treatment { priority, ..route.clone() }
}

impl fmt::Debug for TeamTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TeamTable")
            .field("teams", &self.teams.len())
            .field("keys", &self.keys.len())
            .finish()
    }
}

/// Compares two strings of bytes in a time that depends only on their lengths.
fn is_equal(a: &[u8], b: &[u8]) -> bool {
    let difference = a.iter().zip(b).fold(0, |sum, (x, y)| black_box(sum | (x ^ y)));
    a.len() == b.len() && difference == 0
}

/// Returns the faults of a list of teams. None of them contains a key. `pointer` is the JSON pointer
/// to the list in its document.
pub fn faults(teams: &[Arc<Team>], pointer: &str) -> Vec<Fault> {
    let mut out = Vec::new();
    let mut check = |is_valid: bool, place: String, reason: &str| {
        if !is_valid {
            out.push(Fault { pointer: format!("{pointer}/{place}"), reason: reason.to_owned() });
        }
    };
    for (i, team) in teams.iter().enumerate() {
        check(is_field_value(&team.name), format!("{i}/name"), "must fit in a header field");
        for (j, key) in team.keys.iter().enumerate() {
            check(is_field_value(key), format!("{i}/keys/{j}"), "must fit in a header field");
        }
        let is_rate = |rate: f64| (0.0..=RATE_MAX).contains(&rate);
        check(is_rate(team.per_second), format!("{i}/per_second"), "must be from 0 to 1e9");
        check(is_rate(team.burst), format!("{i}/burst"), "must be from 0 to 1e9");
    }
    let names = teams.iter().enumerate().map(|(i, t)| (&*t.name, (i, 0)));
    for (_, (i, _)) in repeated(names.collect()) {
        check(false, format!("{i}/name"), "is the name of another team");
    }
    let keys = teams
        .iter()
        .enumerate()
        .flat_map(|(i, t)| t.keys.iter().enumerate().map(move |(j, key)| (&**key, (i, j))));
    for (_, (i, j)) in repeated(keys.collect()) {
        check(false, format!("{i}/keys/{j}"), "is held already");
    }
    out
}

/// Returns the texts that equal an earlier one, with their places.
fn repeated(mut texts: Vec<(&str, (usize, usize))>) -> Vec<(&str, (usize, usize))> {
    texts.sort_unstable();
    texts.windows(2).filter(|pair| pair[0].0 == pair[1].0).map(|pair| pair[1]).collect()
}

/// Returns whether a text arrives unchanged as the value of a header field.
fn is_field_value(text: &str) -> bool {
    let bytes = text.as_bytes();
    let is_allowed = |b: &u8| *b >= b' ' && *b != 0x7f;
    !text.is_empty()
        && text.len() <= TEXT_MAX_BYTES
        && bytes.iter().all(is_allowed)
        && bytes[0] != b' '
        && bytes[bytes.len() - 1] != b' '
}

#[cfg(test)]
mod tests;
