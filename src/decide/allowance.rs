//! Allowances of teams: how many requests a team may send to all hosts together.
//!
//! Each allowance is kept as a token bucket by one host at a time, its owner. [`Ownership`] decides
//! which host that is, and holds the buckets that this host keeps. [`Asker`] decides on the
//! requests that arrive at this host: it gathers them, asks the owner for as many tokens, and falls
//! back on a small part of the allowance while no owner can be reached. [`Inquiry`] is the way of
//! such a question to the owner.

mod asker;
mod bucket;
mod inquiry;
mod ownership;

#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::config::Team;

pub(crate) use asker::{Arrival, Ask, Asker, Release, TeamStatus};
pub(crate) use inquiry::{AskError, HOPS_MAX, Inquiry, Step};
pub(crate) use ownership::{FleetView, Ownership};

/// The time for which a host may use tokens that it was granted for requests to come. Part of what
/// the allowance's window may be overrun by.
const SPARE_TIME: Duration = Duration::from_millis(250);

/// What a team may send to all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Limit {
    /// Requests per second.
    pub(crate) per_second: f64,
    /// Requests that it may have saved up.
    pub(crate) burst: f64,
}

impl Limit {
    /// Returns the limit of a team, or `None` if it has none.
    pub(crate) fn of(team: &Team) -> Option<Limit> {
        let limit = Limit { per_second: team.per_second, burst: team.burst.max(0.0) };
        (team.per_second > 0.0).then_some(limit)
    }

    /// Returns the limit that holds for a part of the fleet.
    fn scaled(self, part: f64) -> Limit {
        Limit { per_second: self.per_second * part, burst: self.burst * part }
    }
}

/// The part of an allowance that an owner grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Grant {
    /// Requests that may be sent. May exceed what was asked for.
    pub(crate) granted: u32,
    /// The time until there is room for a request that comes now, if less was granted than asked for.
    pub(crate) retry_after: Duration,
    /// The time for which tokens granted beyond the waiting requests may be used.
    pub(crate) spare_time: Duration,
}

impl Grant {
    /// Returns a grant of all that is wanted, without limit.
    pub(crate) fn unlimited(wanted: u32) -> Grant {
        Grant { granted: wanted, retry_after: Duration::ZERO, spare_time: SPARE_TIME }
    }
}

/// The reply of a host that was asked for a part of an allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reply {
    /// The decision of the allowance's owner.
    Granted(Grant),
    /// The host doesn't keep allowances at present and grants nothing.
    NotOwner,
    /// The owner is another host, which can't be reached.
    Unreachable,
}
