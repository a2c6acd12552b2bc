//! Which upstream gets a request.
//!
//! Each way of choosing is a plain function over the upstreams that are open to the request, so
//! that draining, cold starts, refusals and outliers are treated alike under all of them.

use std::time::Duration;

use derive_more::Display;
use rand::{Rng, RngCore};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::decide::baseline::Baseline;
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
    /// The upstream whose last turn is longest ago.
    #[display("round-robin")]
    RoundRobin,
    /// The less loaded of two, by this host's own requests in flight.
    #[display("two-local")]
    TwoLocal,
    /// The less costly of two, by latency times this host's own requests in flight.
    #[display("peak-ewma")]
    PeakEwma,
    /// The quickest of those that aren't among the most loaded.
    #[display("hot-cold")]
    HotCold,
    /// The less loaded of two, by all hosts' requests in flight.
    #[display("two-shared")]
    TwoShared,
    /// The one with the least expected time, by load from all sources and latency.
    #[default]
    #[display("least-expected")]
    LeastExpected,
}

impl Policy {
    /// Every way, in the order of the documentation.
    pub const ALL: &'static [Policy] = &[
        Policy::Random,
        Policy::RoundRobin,
        Policy::TwoLocal,
        Policy::PeakEwma,
        Policy::HotCold,
        Policy::TwoShared,
        Policy::LeastExpected,
    ];
}

/// What a choice is made from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct View<'a> {
    pub(crate) rows: &'a [Row],
    pub(crate) open: &'a [u32],
    pub(crate) baseline: &'a Baseline,
    pub(crate) slots: u32,
    pub(crate) now: Time,
}

impl<'a> View<'a> {
    fn open(&self) -> impl Iterator<Item = &'a Row> + use<'a> {
        let rows = self.rows;
        self.open.iter().map(move |&at| &rows[at as usize])
    }

    fn any(&self, rng: &mut dyn RngCore) -> &'a Row {
        &self.rows[self.open[rng.random_range(0..self.open.len())] as usize]
    }

    fn two(&self, rng: &mut dyn RngCore) -> (&'a Row, &'a Row) {
        let first = rng.random_range(0..self.open.len());
        let step = rng.random_range(1..self.open.len().max(2));
        let second = (first + step) % self.open.len();
        (&self.rows[self.open[first] as usize], &self.rows[self.open[second] as usize])
    }

    /// Returns the open row with the least cost, the first of equals from a random start.
    fn least(
        &self,
        rng: &mut dyn RngCore,
        mut cost: impl FnMut(&Row, &mut dyn RngCore) -> f32,
    ) -> &'a Row {
        let start = rng.random_range(0..self.open.len());
        let (before, after) = self.open.split_at(start);
        let mut best = &self.rows[self.open[start] as usize];
        let mut best_cost = f32::INFINITY;
        for &at in after.iter().chain(before) {
            let row = &self.rows[at as usize];
            let cost = cost(row, rng);
            if cost < best_cost {
                (best, best_cost) = (row, cost);
            }
        }
        best
    }
}

type Choose = for<'a> fn(&View<'a>, &mut dyn RngCore) -> &'a Row;

/// Chooses among the open rows of a view. Returns nothing if there is none.
pub(crate) fn choose(policy: Policy, view: &View<'_>, rng: &mut dyn RngCore) -> Option<UpstreamId> {
    let choose: Choose = match policy {
        _ if view.open.is_empty() => return None,
        Policy::Random => random,
        Policy::RoundRobin => round_robin,
        Policy::TwoLocal => two_local,
        Policy::PeakEwma => peak_ewma,
        Policy::HotCold => hot_cold,
        Policy::TwoShared => two_shared,
        Policy::LeastExpected => least_expected,
    };
    Some(choose(view, rng).id)
}

fn random<'a>(view: &View<'a>, rng: &mut dyn RngCore) -> &'a Row {
    view.any(rng)
}

fn round_robin<'a>(view: &View<'a>, rng: &mut dyn RngCore) -> &'a Row {
    let first = view.any(rng);
    view.open().fold(first, |best, r| if r.chosen < best.chosen { r } else { best })
}

/// Power of two choices (Mitzenmacher, 2001).
fn two_local<'a>(view: &View<'a>, rng: &mut dyn RngCore) -> &'a Row {
    let (first, second) = view.two(rng);
    if second.in_flight < first.in_flight { second } else { first }
}

/// Peak-EWMA over two choices, as in Finagle: latency times requests in flight.
fn peak_ewma<'a>(view: &View<'a>, rng: &mut dyn RngCore) -> &'a Row {
    let cost = |r: &Row| {
        let latency = r.latency(view.baseline, view.now) * r.slowness(view.baseline, view.now);
        latency.max(1.0) * (r.in_flight as f32 + 1.0)
    };
    let (first, second) = view.two(rng);
    if cost(second) < cost(first) { second } else { first }
}

/// Upstreams above this quantile of requests in flight are hot.
const HOT_QUANTILE: f32 = 0.84;
/// Upstreams that the hot-cold rule compares.
const HOT_COLD_POOL: usize = 16;

/// The hot-cold lexicographic rule (Wydrowski and others, "Load is not what you should balance:
/// Introducing Prequal", NSDI 2024): of the cold upstreams the one with the least latency, or of
/// the hot ones the one with the fewest requests in flight.
fn hot_cold<'a>(view: &View<'a>, rng: &mut dyn RngCore) -> &'a Row {
    let expected = |r: &Row| r.expected(view.baseline, view.now);
    let mut pool = [0.0; HOT_COLD_POOL];
    let len = view.open.len().min(HOT_COLD_POOL);
    pool.iter_mut().zip(view.open()).for_each(|(slot, r)| *slot = expected(r));
    pool[..len].sort_unstable_by(f32::total_cmp);
    let hot = pool[((len - 1) as f32 * HOT_QUANTILE) as usize];
    view.least(rng, |r, _| match expected(r) {
        load if load > hot => HOT_COST + load,
        _ => r.latency(view.baseline, view.now),
    })
}

/// Puts every hot upstream after every cold one, in microseconds.
const HOT_COST: f32 = 1e9;

fn two_shared<'a>(view: &View<'a>, rng: &mut dyn RngCore) -> &'a Row {
    let load = |r: &Row| r.in_flight as f32 + r.others_said(view.baseline, view.now);
    let (first, second) = view.two(rng);
    if load(second) < load(first) { second } else { first }
}

/// The least expected time: this host's requests in flight, corrected by what is known of other
/// hosts' and of the upstream's speed. The correction is less than one request as a rule, and the
/// fraction that is added at random turns it into a preference instead of an order.
fn least_expected<'a>(view: &View<'a>, rng: &mut dyn RngCore) -> &'a Row {
    view.least(rng, |r, rng| r.cost(view.baseline, view.slots, rng.random(), view.now))
}

/// The largest table that is searched whole.
const SEARCH_MAX: usize = 64;
/// Rows drawn from a larger table.
const DRAWS: usize = 24;

/// Collects the rows that are open to a request: live, not tried before, not ejected, not refusing,
/// and, while they start, by their share. If none is, every live row that wasn't tried is open,
/// but for those that refuse.
pub(crate) fn collect(
    rows: &[Row],
    tried: &[UpstreamId],
    cold_start: Duration,
    now: Time,
    rng: &mut dyn RngCore,
    open: &mut Vec<u32>,
) {
    open.clear();
    let draws: [u32; DRAWS] = match rows.len() {
        0..=SEARCH_MAX => [0; DRAWS],
        len => std::array::from_fn(|_| rng.random_range(0..len as u32)),
    };
    let live =
        |r: &Row| r.state == State::Live && !r.health.refusing(now) && !tried.contains(&r.id);
    let mut usable = |at: u32| {
        let row = &rows[at as usize];
        live(row) && !row.health.ejected(now) && {
            let share = row.health.share(cold_start, now);
            share >= 1.0 || rng.random::<f32>() < share
        }
    };
    let all = 0..rows.len() as u32;
    if rows.len() <= SEARCH_MAX {
        open.extend(all.clone().filter(|&at| usable(at)));
    } else {
        open.extend(draws.into_iter().filter(|&at| usable(at)));
    }
    if open.is_empty() {
        open.extend(all.filter(|&at| live(&rows[at as usize])));
    }
}
