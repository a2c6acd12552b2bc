//! Which upstream gets a request.

use derive_more::Display;
use rand::Rng;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::decide::upstream::{Row, State, UpstreamId};
use crate::time::Time;

/// The ways of choosing an upstream.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Any upstream.
    #[display("random")]
    Random,
    /// The less loaded of two, by this host's own requests in flight.
    #[default]
    #[display("two-local")]
    TwoLocal,
}

/// Chooses an upstream among the rows that take work and aren't excluded.
pub fn choose(
    policy: Policy,
    rows: &[Row],
    exclude: &[UpstreamId],
    _now: Time,
    rng: &mut impl Rng,
) -> Option<UpstreamId> {
    let open: Vec<&Row> =
        rows.iter().filter(|r| r.state == State::Live && !exclude.contains(&r.id)).collect();
    if open.is_empty() {
        return None;
    }
    let first = open[rng.random_range(0..open.len())];
    if policy == Policy::Random {
        return Some(first.id);
    }
    let second = open[rng.random_range(0..open.len())];
    let better = if second.in_flight < first.in_flight { second } else { first };
    Some(better.id)
}
