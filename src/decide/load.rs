//! Estimates of an upstream's load and speed.
//!
//! A figure about an upstream is always older than the decision that uses it, so it is weighted by
//! its age, in units of the typical latency: the requests that peers have at an upstream change at
//! the rate at which requests come and go there.

use std::sync::Arc;
use std::time::Duration;

use crate::decide::baseline::{Baseline, OVERDUE_FACTOR, micros};
use crate::decide::upstream::{AttemptReport, LoadReading, Row, UpstreamOutcome};
use crate::time::Time;

/// An attempt in flight at an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptInFlight {
    pub(crate) started: Time,
    /// This host's attempts in flight at the upstream before this one.
    pub(crate) in_flight_before: u32,
    /// What was expected of it, where upstreams report their occupancy.
    pub(crate) estimate: Option<AttemptEstimate>,
}

/// The estimates for an attempt, made when it was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptEstimate {
    /// The kind of its request.
    pub(crate) kind: u64,
    /// The time that its work takes on an upstream of nominal speed.
    pub(crate) work: Duration,
    /// How many times longer than nominal its work was expected to take.
    pub(crate) slowdown: f32,
    /// Requests expected at the upstream before it.
    pub(crate) load: f32,
    /// Whether the upstream's last report was fresh.
    pub(crate) fresh: bool,
}

/// A peer's last report about an upstream.
#[derive(Clone, Debug)]
pub(crate) struct PeerReport {
    pub(crate) host: Arc<str>,
    pub(crate) in_flight: u32,
    pub(crate) leaving: bool,
    pub(crate) at: Time,
}

/// The requests that peers had in flight at an upstream, and when.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerLoad {
    pub(crate) value: f32,
    pub(crate) at: Time,
}

/// Weight of a response that is not overdue in an upstream's mean latency.
const LATENCY_GAIN: f32 = 1.0 / 8.0;
/// Weight of an overdue response in an upstream's mean latency.
const OVERDUE_GAIN: f32 = 1.0 / 2.0;
/// The shortest time without responses after which half of an upstream's excess latency is
/// forgotten.
const EXCESS_HALF_LIFE_MIN: Duration = Duration::from_millis(400);
/// The same time in mean latencies, which applies if it is longer.
const EXCESS_HALF_LIFE_LATENCIES: f32 = 20.0;
/// Multiple of the mean latency up to which an upstream counts as no slower than the others.
const SLOW_FACTOR: f32 = 1.5;
/// Age, in mean latencies, at which a figure has the same weight as the mean over all upstreams.
const EQUAL_WEIGHT_LATENCIES: f32 = 2.0;
/// The largest weight of a figure relative to the mean.
const WEIGHT_MAX: f32 = 16.0;
/// Age after which a peer's report is dropped, unless it says that the upstream is leaving.
const PEER_REPORT_AGE_MAX: Duration = Duration::from_secs(2);
/// Weight in an upstream's latency of the time by which its attempts in flight exceed the mean.
const IN_FLIGHT_GAIN: f32 = 1.0 / 4.0;
/// The age in microseconds at which a figure has the same weight as the mean before any latency is
/// known.
const INITIAL_EQUAL_WEIGHT_AGE: f32 = 10_000.0;
/// Part of the difference between an upstream's peer load and the mean that a choice takes into
/// account.
const PEER_LOAD_CORRECTION: f32 = 0.3;
/// Cost of a fully occupied upstream beside the time in its queue, relative to a whole service
/// time. A partly occupied one costs its share of this.
const BUSY_COST: f32 = 0.2;

impl Row {
    pub(crate) fn begin_attempt(&mut self, now: Time) {
        self.attempts.push(AttemptInFlight {
            started: now,
            in_flight_before: self.in_flight,
            estimate: None,
        });
        self.in_flight += 1;
    }

    /// Removes an attempt that took `latency` and returns it, or `None` if none is in flight.
    /// Attempts are told apart by their start time only, so the closest one is taken.
    pub(crate) fn end_attempt(&mut self, latency: Duration, now: Time) -> Option<AttemptInFlight> {
        let start = now.as_micros().saturating_sub(micros_u64(latency));
        let distance = |a: &AttemptInFlight| a.started.as_micros().abs_diff(start);
        let (index, _) = self.attempts.iter().enumerate().min_by_key(|(_, a)| distance(a))?;
        self.in_flight -= 1;
        Some(self.attempts.remove(index))
    }

    /// Updates the mean latency from an attempt's end. A cancelled attempt counts if it was
    /// overdue, as it would have taken at least that long. Errors don't count, so that quick
    /// failures don't make an upstream look fast.
    pub(crate) fn record_latency(
        &mut self,
        report: &AttemptReport,
        baseline: &Baseline,
        now: Time,
    ) {
        let overdue = baseline.overdue_after().is_some_and(|limit| micros(report.latency) > limit);
        match report.outcome {
            UpstreamOutcome::Answered => self.observe_latency(report.latency, baseline, now),
            UpstreamOutcome::Cancelled if overdue => {
                self.observe_latency(report.latency, baseline, now)
            }
            _ => {}
        }
    }

    /// Records a load that the upstream reported, of which `own` requests are this host's, and
    /// returns the peers' part of it.
    pub(crate) fn record_load(&mut self, value: u32, own: u32, at: Time) -> f32 {
        let peer_load = value.saturating_sub(own) as f32;
        self.load = Some(LoadReading { value, at });
        self.measured_peer_load = Some(PeerLoad { value: peer_load, at });
        peer_load
    }

    fn observe_latency(&mut self, latency: Duration, baseline: &Baseline, now: Time) {
        let sample = micros(latency);
        let overdue = baseline.overdue_after().is_some_and(|limit| sample > limit);
        let gain = if overdue { OVERDUE_GAIN } else { LATENCY_GAIN };
        let previous = if self.latency == 0.0 { sample } else { self.latency(baseline, now) };
        self.latency = previous + (sample - previous) * gain;
        self.last_response = now;
    }

    /// Returns the expected latency in microseconds. Without new responses it converges to the mean
    /// over all upstreams.
    pub(crate) fn latency(&self, baseline: &Baseline, now: Time) -> f32 {
        if self.latency == 0.0 {
            return baseline.mean();
        }
        let since_response = age(self.last_response, now);
        let half_life =
            micros(EXCESS_HALF_LIFE_MIN).max(baseline.mean() * EXCESS_HALF_LIFE_LATENCIES);
        baseline.mean()
            + (self.latency - baseline.mean()) * half_life / (half_life + since_response)
    }

    /// Returns the upstream's latency relative to `SLOW_FACTOR` times the mean, at least 1.
    /// Attempts in flight count as soon as they exceed the mean latency, and an overdue one
    /// suffices on its own.
    pub(crate) fn slowness(&self, baseline: &Baseline, now: Time) -> f32 {
        let Some(high) = baseline.high_latency() else { return 1.0 };
        let mean = baseline.mean();
        let oldest = self.attempts.first().map_or(0.0, |a| age(a.started, now));
        if oldest <= mean && self.latency <= mean * SLOW_FACTOR {
            return 1.0;
        }
        let latency = self.latency(baseline, now);
        if oldest <= mean {
            return (latency / (mean * SLOW_FACTOR)).max(1.0);
        }
        let excess: f32 = self.attempts.iter().map(|a| (age(a.started, now) - mean).max(0.0)).sum();
        let overdue = if oldest > high * OVERDUE_FACTOR { oldest / high } else { 1.0 };
        ((latency + excess * IN_FLIGHT_GAIN) / (mean * SLOW_FACTOR)).max(overdue).max(1.0)
    }

    /// Returns the expected number of peers' requests in flight: the average, weighted by age, of
    /// the mean over all upstreams, the last load that the upstream reported and the peers'
    /// reports.
    pub(crate) fn peer_load(&self, baseline: &Baseline, now: Time) -> f32 {
        weighted_mean([self.measured_peer_load, self.reported_peer_load], baseline, now)
    }

    /// Returns [`Self::peer_load`] without the load that the upstream reported.
    pub(crate) fn peer_load_from_reports(&self, baseline: &Baseline, now: Time) -> f32 {
        weighted_mean([self.reported_peer_load, None], baseline, now)
    }

    /// Updates the estimate of the peers' requests that [`Self::cost`] uses, and returns it.
    /// `scale` extrapolates from the reporting peers to all peers.
    pub(crate) fn estimate_peer_load(&mut self, baseline: &Baseline, scale: f32, now: Time) -> f32 {
        let reported =
            self.reported_peer_load.map(|l| PeerLoad { value: l.value * scale, at: l.at });
        self.peer_load_estimate = weighted_mean([self.measured_peer_load, reported], baseline, now);
        self.peer_load_estimate
    }

    /// Returns the expected number of requests in flight, this host's own included.
    pub(crate) fn expected_in_flight(&self, baseline: &Baseline, now: Time) -> f32 {
        self.in_flight as f32 + self.peer_load(baseline, now)
    }

    /// Returns the expected time of a new request, in mean latencies, if there are `extra` requests
    /// more than known.
    ///
    /// All hosts see nearly the same old figures about each other. If each one corrected a
    /// difference in full, together they would overshoot it many times before the next figures
    /// arrive.
    pub(crate) fn cost(&self, baseline: &Baseline, slots: u32, extra: f32, now: Time) -> f32 {
        let slots = slots.max(1) as f32;
        let mean_peer_load = baseline.peer_load();
        let peer_load =
            mean_peer_load + (self.peer_load_estimate - mean_peer_load) * PEER_LOAD_CORRECTION;
        let expected = self.in_flight as f32 + peer_load + extra;
        let queued = (expected + 1.0 - slots).max(0.0) / slots;
        self.slowness(baseline, now) * (1.0 + queued + BUSY_COST * expected / slots)
    }

    /// Records a peer's report. A peer that reported the upstream as leaving and no longer does has
    /// seen it return, so this ends a drain here as well.
    pub(crate) fn record_peer_report(&mut self, report: PeerReport, now: Time) {
        self.peer_reports.retain(|r| r.leaving || now.since(r.at) < PEER_REPORT_AGE_MAX);
        match self.peer_reports.binary_search_by(|r| r.host.cmp(&report.host)) {
            Ok(index) => {
                if self.peer_reports[index].leaving && !report.leaving && self.drain.is_set() {
                    self.readmit(now);
                }
                self.peer_reports[index] = report;
            }
            Err(index) => self.peer_reports.insert(index, report),
        }
        self.sum_peer_reports();
    }

    /// Returns a leaving upstream to service, starting with a reduced share of the requests.
    pub(crate) fn readmit(&mut self, now: Time) {
        self.drain.clear();
        self.health.ramp_up_start = Some(now);
    }

    /// Forgets a peer's report. If it says that the upstream is leaving, the upstream's drain is
    /// set instead, so that this stays known.
    pub(crate) fn forget_peer(&mut self, peer: &str) {
        let Ok(index) = self.peer_reports.binary_search_by(|r| (*r.host).cmp(peer)) else { return };
        if self.peer_reports.remove(index).leaving && !self.drain.is_set() {
            self.drain.signal();
        }
        self.sum_peer_reports();
    }

    /// Returns the number of peers whose requests in flight are known. A report that only relays
    /// that the upstream is leaving has none.
    pub(crate) fn reporting_peers(&self) -> usize {
        self.peer_reports.iter().filter(|r| !r.leaving || r.in_flight > 0).count()
    }

    /// Sums the peers' requests in flight, and dates the sum by the mean time of their reports.
    fn sum_peer_reports(&mut self) {
        let value = self.peer_reports.iter().map(|r| r.in_flight).sum::<u32>() as f32;
        let micros = self.peer_reports.iter().map(|r| r.at.as_micros()).sum::<u64>();
        let mean = micros.checked_div(self.peer_reports.len() as u64);
        self.reported_peer_load = mean.map(|at| PeerLoad { value, at: Time::from_micros(at) });
    }
}

/// Returns the average of the figures and the mean over all upstreams, weighted by age.
fn weighted_mean(figures: [Option<PeerLoad>; 2], baseline: &Baseline, now: Time) -> f32 {
    let equal_weight_age = match baseline.mean() {
        mean if mean > 0.0 => mean * EQUAL_WEIGHT_LATENCIES,
        _ => INITIAL_EQUAL_WEIGHT_AGE,
    };
    let (mut sum, mut weights) = (baseline.peer_load(), 1.0);
    for figure in figures.into_iter().flatten() {
        let weight = (equal_weight_age / age(figure.at, now).max(1.0)).min(WEIGHT_MAX);
        sum += figure.value * weight;
        weights += weight;
    }
    sum / weights
}

/// Returns the time since `at` in microseconds.
fn age(at: Time, now: Time) -> f32 {
    now.as_micros().saturating_sub(at.as_micros()) as f32
}

fn micros_u64(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}
