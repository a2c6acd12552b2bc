//! A hybrid logical clock: timestamps stay close to wall time, and a cause is always stamped before
//! its effect, even if the clocks of the hosts differ.
//!
//! See Kulkarni et al., "Logical Physical Clocks", OPODIS 2014.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use derive_more::Display;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Maximum time by which a remote timestamp may be ahead of the local wall clock and still advance
/// this clock.
///
/// Without a limit, one host whose clock is years ahead would advance the clocks of the whole fleet
/// permanently. Events of such a host sort after their effects on other hosts until its clock is
/// corrected.
pub const OFFSET_MAX: Duration = Duration::from_secs(60);

/// A timestamp of the hybrid logical clock.
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
    /// Milliseconds since the Unix epoch: the latest wall time seen by this process or in a
    /// message.
    pub millis: u64,
    /// Logical counter that orders events with the same `millis`.
    pub count: u32,
}

/// The hybrid logical clock of one process.
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
    /// Creates a clock from a function that returns the wall time in milliseconds since the Unix
    /// epoch.
    pub fn new(wall: fn() -> u64) -> Hlc {
        Hlc { last: Mutex::new(Timestamp::default()), wall }
    }

    /// Returns the timestamp of a local event or of a message to be sent.
    pub fn tick(&self) -> Timestamp {
        let wall = (self.wall)();
        let mut last = self.last.lock();
        *last = after(*last, wall);
        *last
    }

    /// Advances the clock past a timestamp received from another process, and returns the timestamp
    /// of the receipt. A timestamp that is more than [`OFFSET_MAX`] ahead of the wall clock is
    /// ignored.
    pub fn observe(&self, remote: Timestamp) -> Timestamp {
        let wall = (self.wall)();
        let latest_accepted = wall.saturating_add(OFFSET_MAX.as_millis() as u64);
        let remote = if remote.millis > latest_accepted { Timestamp::default() } else { remote };
        let mut last = self.last.lock();
        *last = after((*last).max(remote), wall);
        *last
    }
}

/// Returns the timestamp that follows `seen` at a wall time.
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
