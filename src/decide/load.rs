//! How loaded and how slow an upstream is expected to be.
//!
//! Every figure about an upstream is older than the decision that uses it, so each is weighed by
//! its age, measured in typical latencies: what other hosts do at an upstream changes as fast as
//! requests come and go there.

use std::sync::Arc;
use std::time::Duration;

use crate::decide::baseline::{Baseline, OVERDUE_FACTOR, micros};
use crate::decide::upstream::{AttemptReport, LoadReading, Row, UpstreamOutcome};
use crate::time::Time;

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    pub(crate) at: Time,
    /// This host's attempts in flight at the upstream before it.
    pub(crate) before: u32,
    /// What was expected of it, at an upstream that tells its occupancy.
    pub(crate) timing: Option<Timing>,
}

/// What was expected of an attempt when it was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    /// The kind of its request.
    pub(crate) kind: u64,
    /// The time that it takes on an upstream of usual speed.
    pub(crate) work: Duration,
    /// How many times slower than usual the upstream was expected to be.
    pub(crate) slowdown: f32,
    /// The requests expected there before it.
    pub(crate) load: f32,
    /// Whether the upstream's report was fresh.
    pub(crate) fresh: bool,
}

/// What another host said about an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Word {
    pub(crate) host: Arc<str>,
    pub(crate) in_flight: u32,
    pub(crate) leaving: bool,
    pub(crate) at: Time,
}

/// Requests of other hosts in flight at an upstream at some time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Others {
    pub(crate) value: f32,
    pub(crate) at: Time,
}

/// Weight of an ordinary answer in an upstream's latency.
const LATENCY_GAIN: f32 = 1.0 / 8.0;
/// Weight of an overdue answer in an upstream's latency.
const OVERDUE_GAIN: f32 = 1.0 / 2.0;
/// The shortest time without answers over which half of an upstream's excess latency is forgotten.
const HALF_LIFE_MIN: Duration = Duration::from_millis(400);
/// That time in mean latencies, where they are long.
const HALF_LIFE_LATENCIES: f32 = 20.0;
/// Multiple of the mean latency up to which an upstream isn't considered slow.
const SLOW_FACTOR: f32 = 1.5;
/// Typical latencies after which a figure weighs as much as the mean over all upstreams.
const READING_LATENCIES: f32 = 2.0;
/// The largest weight of a figure against the mean.
const WEIGHT_MAX: f32 = 16.0;
/// Age after which what another host said is dropped.
const WORD_AGE_MAX: Duration = Duration::from_secs(2);
/// Weight in an upstream's latency of the time by which an attempt in flight exceeds the mean.
const IN_FLIGHT_GAIN: f32 = 1.0 / 4.0;
/// Time constant of figures before any latency is known, in microseconds.
const UNKNOWN_LATENCY: f32 = 10_000.0;
/// Part of the difference between an upstream's and the mean load by other hosts that a choice
/// makes up for.
const CORRECTION: f32 = 0.3;
/// Cost of one busy slot's share while slots are free, against a whole service time.
const BUSY_COST: f32 = 0.2;

impl Row {
    /// Takes note of an attempt that starts.
    pub(crate) fn started(&mut self, now: Time) {
        self.sent.push(Sent { at: now, before: self.in_flight, timing: None });
        self.in_flight += 1;
    }

    /// Takes note of the end of an attempt that took `latency`, and returns the attempt whose
    /// start fits best. Returns nothing if none is in flight.
    pub(crate) fn ended(&mut self, latency: Duration, now: Time) -> Option<Sent> {
        let start = now.as_micros().saturating_sub(micros_u64(latency));
        let distance = |s: &Sent| s.at.as_micros().abs_diff(start);
        let (at, _) = self.sent.iter().enumerate().min_by_key(|(_, s)| distance(s))?;
        self.in_flight -= 1;
        Some(self.sent.remove(at))
    }

    /// Takes note of the time that an attempt took. One that was cancelled when overdue took at
    /// least that long; an error is never a good latency.
    pub(crate) fn learn(&mut self, report: &AttemptReport, baseline: &Baseline, now: Time) {
        let overdue = baseline.overdue().is_some_and(|limit| micros(report.latency) > limit);
        match report.outcome {
            UpstreamOutcome::Answered => self.timed(report.latency, baseline, now),
            UpstreamOutcome::Cancelled if overdue => self.timed(report.latency, baseline, now),
            _ => {}
        }
    }

    /// Takes note of a load that the upstream reported, of which `own` are this host's. Returns
    /// the other hosts' part.
    pub(crate) fn read(&mut self, value: u32, own: u32, at: Time) -> f32 {
        let others = value.saturating_sub(own) as f32;
        self.load = Some(LoadReading { value, at });
        self.reading = Some(Others { value: others, at });
        others
    }

    fn timed(&mut self, latency: Duration, baseline: &Baseline, now: Time) {
        let sample = micros(latency);
        let overdue = baseline.overdue().is_some_and(|limit| sample > limit);
        let gain = if overdue { OVERDUE_GAIN } else { LATENCY_GAIN };
        let known = if self.latency == 0.0 { sample } else { self.latency(baseline, now) };
        self.latency = known + (sample - known) * gain;
        self.answered = now;
    }

    /// Returns the latency in microseconds expected of the upstream. Without answers it goes back
    /// to the mean over all upstreams.
    pub(crate) fn latency(&self, baseline: &Baseline, now: Time) -> f32 {
        if self.latency == 0.0 {
            return baseline.mean();
        }
        let idle = age(self.answered, now);
        let half = micros(HALF_LIFE_MIN).max(baseline.mean() * HALF_LIFE_LATENCIES);
        baseline.mean() + (self.latency - baseline.mean()) * half / (half + idle)
    }

    /// Returns how many times slower than usual the upstream is, at least 1. Attempts in flight that
    /// take longer than usual count at once, and one that is overdue on its own.
    pub(crate) fn slowness(&self, baseline: &Baseline, now: Time) -> f32 {
        let Some(late) = baseline.late() else { return 1.0 };
        let mean = baseline.mean();
        let oldest = self.sent.first().map_or(0.0, |s| age(s.at, now));
        if oldest <= mean && self.latency <= mean * SLOW_FACTOR {
            return 1.0;
        }
        let past = self.latency(baseline, now);
        if oldest <= mean {
            return (past / (mean * SLOW_FACTOR)).max(1.0);
        }
        let beyond: f32 = self.sent.iter().map(|s| (age(s.at, now) - mean).max(0.0)).sum();
        let overdue = if oldest > late * OVERDUE_FACTOR { oldest / late } else { 1.0 };
        ((past + beyond * IN_FLIGHT_GAIN) / (mean * SLOW_FACTOR)).max(overdue).max(1.0)
    }

    /// Returns the requests that other hosts are expected to have in flight here: the mean over
    /// all upstreams, the newest reading and what the other hosts said, by weight of age.
    pub(crate) fn others(&self, baseline: &Baseline, now: Time) -> f32 {
        weigh([self.reading, self.said], baseline, now)
    }

    /// Returns what [`Self::others`] does from what the other hosts said alone.
    pub(crate) fn others_said(&self, baseline: &Baseline, now: Time) -> f32 {
        weigh([self.said, None], baseline, now)
    }

    /// Takes the estimate of other hosts' requests anew, for [`Self::cost`], and returns it.
    pub(crate) fn estimate_others(&mut self, baseline: &Baseline, scale: f32, now: Time) -> f32 {
        let said = self.said.map(|s| Others { value: s.value * scale, at: s.at });
        self.others_estimate = weigh([self.reading, said], baseline, now);
        self.others_estimate
    }

    /// Returns the requests expected in flight here, this host's own included.
    pub(crate) fn expected(&self, baseline: &Baseline, now: Time) -> f32 {
        self.in_flight as f32 + self.others(baseline, now)
    }

    /// Returns the time that a new request is expected to take here, in mean latencies, with
    /// `extra` requests more than are known.
    ///
    /// All hosts see nearly the same old figures about each other. If each made up for a difference
    /// in whole, together they would overshoot it many times before the next figures come.
    pub(crate) fn cost(&self, baseline: &Baseline, slots: u32, extra: f32, now: Time) -> f32 {
        let slots = slots.max(1) as f32;
        let usual = baseline.others();
        let others = usual + (self.others_estimate - usual) * CORRECTION;
        let expected = self.in_flight as f32 + others + extra;
        let queued = (expected + 1.0 - slots).max(0.0) / slots;
        self.slowness(baseline, now) * (1.0 + queued + BUSY_COST * expected / slots)
    }

    /// Takes note of what another host said. One that no longer says that the upstream is leaving
    /// has seen that it is back.
    pub(crate) fn said(&mut self, word: Word, now: Time) {
        self.words.retain(|w| w.leaving || now.since(w.at) < WORD_AGE_MAX);
        match self.words.binary_search_by(|w| w.host.cmp(&word.host)) {
            Ok(at) => {
                if self.words[at].leaving && !word.leaving && self.drain.is_set() {
                    self.welcome(now);
                }
                self.words[at] = word;
            }
            Err(at) => self.words.insert(at, word),
        }
        self.sum_words();
    }

    /// Takes the upstream back after it was leaving. Its share of work starts anew.
    pub(crate) fn welcome(&mut self, now: Time) {
        self.drain.clear();
        self.health.growing = Some(now);
    }

    /// Forgets what a host said. That the upstream is leaving stays known.
    pub(crate) fn forget(&mut self, host: &str) {
        let Ok(at) = self.words.binary_search_by(|w| (*w.host).cmp(host)) else { return };
        if self.words.remove(at).leaving && !self.drain.is_set() {
            self.drain.signal();
        }
        self.sum_words();
    }

    /// Returns the other hosts whose requests in flight here are known.
    pub(crate) fn hosts_heard(&self) -> usize {
        self.words.iter().filter(|w| !w.leaving || w.in_flight > 0).count()
    }

    fn sum_words(&mut self) {
        let value = self.words.iter().map(|w| w.in_flight).sum::<u32>() as f32;
        let micros = self.words.iter().map(|w| w.at.as_micros()).sum::<u64>();
        let mean = micros.checked_div(self.words.len() as u64);
        self.said = mean.map(|at| Others { value, at: Time::from_micros(at) });
    }
}

/// Weighs figures by age against the mean over all upstreams.
fn weigh(figures: [Option<Others>; 2], baseline: &Baseline, now: Time) -> f32 {
    let span = match baseline.mean() {
        mean if mean > 0.0 => mean * READING_LATENCIES,
        _ => UNKNOWN_LATENCY,
    };
    let (mut sum, mut weights) = (baseline.others(), 1.0);
    for figure in figures.into_iter().flatten() {
        let weight = (span / age(figure.at, now).max(1.0)).min(WEIGHT_MAX);
        sum += figure.value * weight;
        weights += weight;
    }
    sum / weights
}

/// Returns the age of a figure in microseconds.
fn age(at: Time, now: Time) -> f32 {
    now.as_micros().saturating_sub(at.as_micros()) as f32
}

fn micros_u64(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}
