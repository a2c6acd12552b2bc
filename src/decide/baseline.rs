//! What is usual in a service: latency and the work that other hosts have in flight.

use std::time::Duration;

use crate::time::Time;

/// Running estimates over all upstreams of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Baseline {
    mean: f32,
    low: f32,
    high: f32,
    samples: u32,
    last_sample: Time,
    others: f32,
    readings: u32,
    errors: f32,
}

/// Weight of a new answer in the mean latency.
const MEAN_GAIN: f32 = 1.0 / 32.0;
/// Weight of a new reading in the mean load by other hosts.
const OTHERS_GAIN: f32 = 1.0 / 16.0;
/// Weight of an attempt in the share of failures.
const ERROR_GAIN: f32 = 1.0 / 64.0;
/// Largest relative step of a quantile estimate.
const QUANTILE_STEP: f32 = 0.1;
/// The quantile that stands for the quickest answers.
const LOW: f32 = 0.1;
/// The quantile that stands for late answers.
const HIGH: f32 = 0.95;
/// Answers before quantiles are relied on.
const SAMPLES_MIN: u32 = 16;
/// Age after which the quickest answers say nothing about the present.
const SAMPLE_AGE_MAX: Duration = Duration::from_secs(1);
/// Multiple of the late quantile after which an attempt in flight is overdue.
pub(crate) const OVERDUE_FACTOR: f32 = 2.0;

impl Baseline {
    /// Takes note of an answer.
    pub(crate) fn observe_latency(&mut self, latency: Duration, now: Time) {
        let micros = micros(latency).max(1.0);
        if self.samples == 0 {
            (self.mean, self.low, self.high) = (micros, micros, micros);
        }
        self.mean += (micros - self.mean) * MEAN_GAIN;
        step_quantile(&mut self.low, LOW, micros);
        step_quantile(&mut self.high, HIGH, micros);
        self.samples = self.samples.saturating_add(1);
        self.last_sample = now;
    }

    /// Takes note of the requests that other hosts had in flight at one upstream.
    pub(crate) fn observe_peer_load(&mut self, others: f32) {
        let gain = if self.readings == 0 { 1.0 } else { OTHERS_GAIN };
        self.others += (others - self.others) * gain;
        self.readings = self.readings.saturating_add(1);
    }

    /// Takes note of an attempt that failed or didn't.
    pub(crate) fn observe_attempt(&mut self, failed: bool) {
        self.errors += (f32::from(u8::from(failed)) - self.errors) * ERROR_GAIN;
    }

    /// Returns the share of recent attempts that failed.
    pub(crate) fn error_share(&self) -> f32 {
        self.errors
    }

    /// Returns the mean latency in microseconds, or zero if no answer has come yet.
    pub(crate) fn mean(&self) -> f32 {
        self.mean
    }

    /// Returns the mean number of requests that other hosts have in flight at one upstream.
    pub(crate) fn peer_load(&self) -> f32 {
        self.others
    }

    /// Returns the latency in microseconds that few answers exceed, once enough have come.
    pub(crate) fn high_latency(&self) -> Option<f32> {
        (self.samples >= SAMPLES_MIN).then_some(self.high)
    }

    /// Returns the age in microseconds from which an attempt in flight is overdue.
    pub(crate) fn overdue_after(&self) -> Option<f32> {
        Some(self.high_latency()? * OVERDUE_FACTOR)
    }

    /// Returns the latency that nearly every request takes, if recent answers tell.
    ///
    /// Nothing recent means nothing known, so that a past slow spell can't refuse requests for
    /// good.
    pub(crate) fn low_latency(&self, now: Time) -> Option<Duration> {
        let known = self.samples >= SAMPLES_MIN && now.since(self.last_sample) < SAMPLE_AGE_MAX;
        known.then(|| Duration::from_micros(self.low as u64))
    }
}

/// Moves a quantile estimate by stochastic approximation (Robbins and Monro, 1951), in steps
/// relative to the estimate.
fn step_quantile(estimate: &mut f32, quantile: f32, sample: f32) {
    let direction = if sample > *estimate { quantile } else { quantile - 1.0 };
    *estimate *= 1.0 + QUANTILE_STEP * direction;
}

/// Returns a duration in microseconds.
pub(crate) fn micros(d: Duration) -> f32 {
    d.as_micros() as f32
}
