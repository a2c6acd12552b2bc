//! Load-balancing policies: the choice of an upstream for a request.
//!
//! Each policy is a plain function over the candidates, so that drains, cold starts, refusals and
//! outliers are handled alike under all of them.

use std::time::Duration;

use derive_more::Display;
use rand::{Rng, RngCore};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::decide::baseline::Baseline;
use crate::decide::upstream::{Row, UpstreamId};
use crate::time::Time;

/// The load-balancing policies.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Any upstream.
    #[display("random")]
    Random,
    /// The upstream that was chosen least recently.
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
    /// Every policy, in the order of the documentation.
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

/// The input of a policy: the upstreams and what is known about them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct View<'a> {
    pub(crate) rows: &'a [Row],
    /// Indices into `rows`.
    pub(crate) candidates: &'a [u32],
    pub(crate) baseline: &'a Baseline,
    /// Slots of each upstream.
    pub(crate) slots: u32,
    pub(crate) now: Time,
}

impl<'a> View<'a> {
    fn candidate_rows(&self) -> impl Iterator<Item = &'a Row> + use<'a> {
        let rows = self.rows;
        self.candidates.iter().map(move |&index| &rows[index as usize])
    }

    fn random_row(&self, rng: &mut dyn RngCore) -> &'a Row {
        &self.rows[self.candidates[rng.random_range(0..self.candidates.len())] as usize]
    }

    /// Returns two different candidates, or the same one twice if there is only one.
    fn random_pair(&self, rng: &mut dyn RngCore) -> (&'a Row, &'a Row) {
        let first = rng.random_range(0..self.candidates.len());
        let step = rng.random_range(1..self.candidates.len().max(2));
        let second = (first + step) % self.candidates.len();
        (&self.rows[self.candidates[first] as usize], &self.rows[self.candidates[second] as usize])
    }

    /// Returns the candidate with the least cost. The search starts at a random one, which decides
    /// between equals.
    fn least(
        &self,
        rng: &mut dyn RngCore,
        mut cost: impl FnMut(&Row, &mut dyn RngCore) -> f32,
    ) -> &'a Row {
        let start = rng.random_range(0..self.candidates.len());
        let (before, after) = self.candidates.split_at(start);
        let mut best = &self.rows[self.candidates[start] as usize];
        let mut best_cost = f32::INFINITY;
        for &index in after.iter().chain(before) {
            let row = &self.rows[index as usize];
            let cost = cost(row, rng);
            if cost < best_cost {
                (best, best_cost) = (row, cost);
            }
        }
        best
    }
}

type ChooseFn = for<'a> fn(&View<'a>, &mut dyn RngCore) -> &'a Row;

/// Chooses one of the view's candidates. Returns `None` if there is none.
pub(crate) fn choose(policy: Policy, view: &View<'_>, rng: &mut dyn RngCore) -> Option<UpstreamId> {
    let choose: ChooseFn = match policy {
        _ if view.candidates.is_empty() => return None,
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
    view.random_row(rng)
}

fn round_robin<'a>(view: &View<'a>, rng: &mut dyn RngCore) -> &'a Row {
    let first = view.random_row(rng);
    view.candidate_rows()
        .fold(first, |best, r| if r.last_chosen < best.last_chosen { r } else { best })
}

/// Chooses by the power of two choices (Mitzenmacher, 2001).
fn two_local<'a>(view: &View<'a>, rng: &mut dyn RngCore) -> &'a Row {
    let (first, second) = view.random_pair(rng);
    if second.in_flight < first.in_flight { second } else { first }
}

/// Chooses by peak EWMA over two choices, as in Finagle: latency times requests in flight.
fn peak_ewma<'a>(view: &View<'a>, rng: &mut dyn RngCore) -> &'a Row {
    let cost = |r: &Row| {
        let latency = r.latency(view.baseline, view.now) * r.slowness(view.baseline, view.now);
        latency.max(1.0) * (r.in_flight as f32 + 1.0)
    };
    let (first, second) = view.random_pair(rng);
    if cost(second) < cost(first) { second } else { first }
}

/// Upstreams above this quantile of requests in flight are hot.
const HOT_QUANTILE: f32 = 0.84;
/// The largest number of upstreams that the quantile is computed from.
const HOT_COLD_SAMPLE: usize = 16;

/// Chooses by the hot-cold lexicographic rule (Wydrowski and others, "Load is not what you should
/// balance: Introducing Prequal", NSDI 2024): the cold upstream with the least latency or, if all
/// are hot, the one with the fewest requests in flight.
fn hot_cold<'a>(view: &View<'a>, rng: &mut dyn RngCore) -> &'a Row {
    let expected = |r: &Row| r.expected_in_flight(view.baseline, view.now);
    let mut sample = [0.0; HOT_COLD_SAMPLE];
    let len = view.candidates.len().min(HOT_COLD_SAMPLE);
    sample.iter_mut().zip(view.candidate_rows()).for_each(|(slot, r)| *slot = expected(r));
    sample[..len].sort_unstable_by(f32::total_cmp);
    let hot = sample[((len - 1) as f32 * HOT_QUANTILE) as usize];
    view.least(rng, |r, _| match expected(r) {
        load if load > hot => HOT_COST + load,
        _ => r.latency(view.baseline, view.now),
    })
}

/// Cost in microseconds that sorts every hot upstream after every cold one.
const HOT_COST: f32 = 1e9;

fn two_shared<'a>(view: &View<'a>, rng: &mut dyn RngCore) -> &'a Row {
    let load = |r: &Row| r.in_flight as f32 + r.peer_load_from_reports(view.baseline, view.now);
    let (first, second) = view.random_pair(rng);
    if load(second) < load(first) { second } else { first }
}

/// Chooses by the least expected time: this host's requests in flight, corrected by what is known
/// of the peers' requests and of the upstream's speed. The correction is usually less than one
/// request, and the random fraction that is added turns it from a strict order into a preference.
fn least_expected<'a>(view: &View<'a>, rng: &mut dyn RngCore) -> &'a Row {
    view.least(rng, |r, rng| r.cost(view.baseline, view.slots, rng.random(), view.now))
}

/// The largest number of rows that are all considered.
const FULL_SEARCH_MAX: usize = 64;
/// Number of rows that are drawn at random, with repetition, from a larger table.
const DRAWS: usize = 24;

/// Collects the indices of the rows that a request may go to: live, not tried before, not ejected,
/// not refusing and, during a cold start, drawn for its reduced share. If there is none, collects
/// every live row that was not tried and isn't refusing.
pub(crate) fn collect_candidates(
    rows: &[Row],
    tried: &[UpstreamId],
    cold_start: Duration,
    now: Time,
    rng: &mut dyn RngCore,
    candidates: &mut Vec<u32>,
) {
    candidates.clear();
    let draws: [u32; DRAWS] = match rows.len() {
        0..=FULL_SEARCH_MAX => [0; DRAWS],
        len => std::array::from_fn(|_| rng.random_range(0..len as u32)),
    };
    let is_available = |r: &Row| r.takes_requests() && !r.is_closed(now) && !tried.contains(&r.id);
    let mut is_usable = |index: u32| {
        let row = &rows[index as usize];
        is_available(row) && !row.health.is_ejected(now) && {
            let share = row.health.ramp_up_share(cold_start, now);
            share >= 1.0 || rng.random::<f32>() < share
        }
    };
    let all = 0..rows.len() as u32;
    if rows.len() <= FULL_SEARCH_MAX {
        candidates.extend(all.clone().filter(|&index| is_usable(index)));
    } else {
        candidates.extend(draws.into_iter().filter(|&index| is_usable(index)));
    }
    if candidates.is_empty() {
        candidates.extend(all.filter(|&index| is_available(&rows[index as usize])));
    }
}
