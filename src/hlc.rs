//! A hybrid logical clock: wall time where clocks agree, cause before effect where they don't.
//!
//! Published in Kulkarni and others, "Logical Physical Clocks", OPODIS 2014.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use derive_more::Display;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// How far ahead of the wall clock a remote stamp may take this one.
///
/// One host whose clock is years ahead would otherwise drag the whole fleet along for good. Events of
/// such a host sort after their effects elsewhere until its clock is set.
pub const MAX_OFFSET: Duration = Duration::from_secs(60);

/// A reading of the hybrid logical clock.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{millis}.{count:04}")]
pub struct Timestamp {
    /// Milliseconds since the Unix epoch: the largest wall time heard of.
    pub millis: u64,
    /// Count of events within that millisecond.
    pub count: u32,
}

/// The clock of one process.
#[derive(Debug)]
pub struct Hlc {
    last: Mutex<Timestamp>,
    wall: fn() -> u64,
}

impl Default for Hlc {
    fn default() -> Hlc {
        Hlc::new(wall_millis)
    }
}

impl Hlc {
    /// Makes a clock over a source of wall time in milliseconds since the Unix epoch.
    pub fn new(wall: fn() -> u64) -> Hlc {
        Hlc { last: Mutex::new(Timestamp::default()), wall }
    }

    /// Stamps a local event or a message to be sent.
    pub fn tick(&self) -> Timestamp {
        let wall = (self.wall)();
        let mut last = self.last.lock();
        *last = after(*last, wall);
        *last
    }

    /// Takes note of a stamp received from another process, and returns the receipt's stamp. A stamp
    /// further ahead than [`MAX_OFFSET`] is left out.
    pub fn observe(&self, remote: Timestamp) -> Timestamp {
        let wall = (self.wall)();
        let furthest = wall.saturating_add(MAX_OFFSET.as_millis() as u64);
        let remote = if remote.millis > furthest { Timestamp::default() } else { remote };
        let mut last = self.last.lock();
        *last = after((*last).max(remote), wall);
        *last
    }
}

fn after(seen: Timestamp, wall: u64) -> Timestamp {
    if wall > seen.millis {
        return Timestamp { millis: wall, count: 0 };
    }
    Timestamp { millis: seen.millis, count: seen.count.saturating_add(1) }
}

fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
