//! Versions of upstreams' registrations, which depend only on what the upstreams say themselves.
//!
//! An upstream writes its registration again with every heartbeat, so the registry's revisions tell
//! neither what has changed nor, once the registry has returned from an older copy, what is newer.
//! A version derived from the upstream's own words is the same on every host that reads the
//! registration, whenever it does, and orders changes across such a return:
//!
//! - A later process of the upstream replaces an earlier one.
//! - For one process, live is followed by leaving, and leaving by gone.
//! - A process that says otherwise later than that, such as one that registers again after its
//!   registration lapsed, begins a new round.
//!
//! Later means at a later revision of the registry, not later at the host that reads: a read may be
//! answered before a change and applied after a peer has told of it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::decide::hosts::Host;
use crate::decide::upstream::State;

/// A point in the registry's history. The order of the fields is that of history: the registry begins
/// a new era when it returns from an older copy, and then gives out numbers again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// The registry's era.
    pub era: u32,
    /// The registry's revision within the era.
    pub number: u64,
}

impl Revision {
    /// Returns whether `known` stems from this point of an era or a later one.
    fn is_covered_by(self, known: Option<Revision>) -> bool {
        known.is_some_and(|known| known.era == self.era && known.number >= self.number)
    }
}

/// The number of bits for the step within a round.
const STEP_BITS: u32 = 2;
/// The number of bits for the round.
const ROUND_BITS: u32 = 10;

/// The latest start of a process, in milliseconds since the Unix epoch, that a version can hold.
pub const BORN_MAX: u64 = (1 << (u64::BITS - ROUND_BITS - STEP_BITS)) - 1;

/// The place of a registration in its upstream's history. The order of the fields is that of
/// history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RegistrationVersion {
    /// When the upstream's process started, in milliseconds since the Unix epoch, at most
    /// [`BORN_MAX`]; 0 if unknown.
    pub born: u64,
    /// The number of times that the process has taken back that it is leaving or gone.
    pub round: u64,
    /// The step within the round.
    pub step: Step,
}

/// A step in the life of an upstream's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// It takes requests.
    Live,
    /// It is leaving.
    Leaving,
    /// Its registration has ended.
    Gone,
}

impl Step {
    /// Returns the step of a registered upstream.
    pub fn of(state: State) -> Step {
        match state {
            State::Live => Step::Live,
            State::Leaving => Step::Leaving,
        }
    }
}

impl RegistrationVersion {
    /// Returns the version as a number that keeps the order.
    pub fn number(self) -> u64 {
        // One more than zero, the version of records from a settings file.
        let step = self.step as u64 + 1;
        let round = self.round.min((1 << ROUND_BITS) - 1);
        (self.born << ROUND_BITS | round) << STEP_BITS | step
    }

    /// Returns the version that [`RegistrationVersion::number`] has turned into a number.
    pub fn from_number(number: u64) -> RegistrationVersion {
        let step = match number & ((1 << STEP_BITS) - 1) {
            0 | 1 => Step::Live,
            2 => Step::Leaving,
            _ => Step::Gone,
        };
        let round = number >> STEP_BITS & ((1 << ROUND_BITS) - 1);
        RegistrationVersion { born: number >> (STEP_BITS + ROUND_BITS), round, step }
    }
}

/// How a registration was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// As a change, so that the upstream has just written it.
    Written,
    /// In a listing, which may contain what an older copy of the registry has brought back.
    Listed,
}

/// What a host knows of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Known<'a> {
    /// The version in force.
    pub version: RegistrationVersion,
    /// The upstream, unless it is gone.
    pub host: Option<&'a Host>,
    /// The point in the registry's history at which this was read, if that is known.
    pub revision: Option<Revision>,
}

/// Returns the version of a registration that was written at `revision` if it replaces what is known.
pub fn next_version(
    known: Option<Known<'_>>,
    registered: &Host,
    reading: Reading,
    revision: Revision,
) -> Option<RegistrationVersion> {
    let born = registered.born.unwrap_or(0);
    let first = RegistrationVersion { born, round: 0, step: Step::of(registered.state) };
    let Some(Known { version, host, revision: known_at }) = known else { return Some(first) };
    if born != version.born {
        return (born > version.born).then_some(first);
    }
    if host == Some(registered) || revision.is_covered_by(known_at) {
        return None;
    }
    let same_round = RegistrationVersion { step: first.step, ..version };
    if same_round > version {
        return Some(same_round);
    }
    // Without a start time, a listing is the only sign of a process that has started again.
    let is_news = reading == Reading::Written || registered.born.is_none();
    is_news.then_some(RegistrationVersion { round: version.round + 1, ..same_round })
}

/// Returns the version by which an upstream is gone whose registration is missing from the registry
/// as of `revision`. `None` if it is known to be gone, or has registered later than that.
pub fn gone_version(known: Known<'_>, revision: Revision) -> Option<RegistrationVersion> {
    let is_registered_since =
        known.revision.is_some_and(|at| at.era == revision.era && at.number > revision.number);
    let is_news = known.host.is_some() && !is_registered_since;
    is_news.then_some(RegistrationVersion { step: Step::Gone, ..known.version })
}

/// The registrations that a host has read, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct SeenRegistrations {
    rows: Vec<SeenRegistration>,
}

/// What a host has read of one registration.
#[derive(Clone, Debug)]
struct SeenRegistration {
    name: Arc<str>,
    born: Option<u64>,
    /// The number of the newest heartbeat.
    sequence: Option<u64>,
    /// Whether the registry contains the registration, as of the last read.
    is_registered: bool,
}

/// The number of registrations that have ended above which they are forgotten.
const ENDED_MAX: usize = 20_000;

impl SeenRegistrations {
    /// Begins a new listing of the registry. Registrations that it doesn't show have ended.
    pub fn begin_listing(&mut self) {
        if self.rows.len() > ENDED_MAX {
            self.rows.retain(|r| r.is_registered);
        }
        self.rows.iter_mut().for_each(|r| r.is_registered = false);
    }

    /// Records a registration and the number of its heartbeat. Returns false if a later heartbeat of
    /// the same process has been read before: a write may take effect late.
    pub fn record(&mut self, name: &Arc<str>, born: Option<u64>, sequence: Option<u64>) -> bool {
        let at = self.find(name).unwrap_or_else(|at| {
            let name = name.clone();
            self.rows
                .insert(at, SeenRegistration { name, born, sequence: None, is_registered: true });
            at
        });
        let row = &mut self.rows[at];
        row.is_registered = true;
        let is_same_process = born.is_some() && row.born == born;
        let is_late = is_same_process && sequence.is_some() && sequence < row.sequence;
        if !is_late {
            (row.born, row.sequence) = (born, sequence);
        }
        !is_late
    }

    /// Returns whether a heartbeat of a process has been read before.
    pub fn is_repeat(&self, name: &str, born: Option<u64>, sequence: Option<u64>) -> bool {
        let row = self.find(name).map(|at| &self.rows[at]);
        sequence.is_some() && row.is_ok_and(|r| r.born == born && r.sequence == sequence)
    }

    /// Records that a registration has ended.
    pub fn remove(&mut self, name: &str) {
        if let Ok(at) = self.find(name) {
            self.rows[at].is_registered = false;
        }
    }

    /// Returns whether the registry contains a registration, as of the last read.
    pub fn is_registered(&self, name: &str) -> bool {
        self.find(name).is_ok_and(|at| self.rows[at].is_registered)
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|r| (*r.name).cmp(name))
    }
}
