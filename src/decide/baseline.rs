//! Latency, errors and peer load over all upstreams of a service.

use std::time::Duration;

use crate::time::Time;

/// Running estimates over all upstreams of a service. Latencies are in microseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Baseline {
    mean_latency: f32,
    low_latency: f32,
    high_latency: f32,
    samples: u32,
    last_sample: Time,
    peer_load: f32,
    load_samples: u32,
    error_share: f32,
}

/// Weight of a new response in the mean latency.
const MEAN_GAIN: f32 = 1.0 / 32.0;
/// Weight of a new figure in the mean peer load.
const PEER_LOAD_GAIN: f32 = 1.0 / 16.0;
/// Weight of an attempt in the error share.
const ERROR_GAIN: f32 = 1.0 / 64.0;
/// The largest relative step of a quantile estimate.
const QUANTILE_STEP: f32 = 0.1;
/// The quantile that `Baseline::low_latency` estimates.
const LOW_QUANTILE: f32 = 0.1;
/// The quantile that `Baseline::high_latency` estimates.
const HIGH_QUANTILE: f32 = 0.95;
/// Number of responses from which the quantiles are used.
const SAMPLES_MIN: u32 = 16;
/// Age of the last response after which the low quantile is not used.
const SAMPLE_AGE_MAX: Duration = Duration::from_secs(1);
/// Multiple of the high quantile from which an attempt counts as overdue in load estimates.
pub(crate) const OVERDUE_FACTOR: f32 = 2.0;

impl Baseline {
    /// Adds the latency of a response.
    pub(crate) fn observe_latency(&mut self, latency: Duration, now: Time) {
        let micros = micros(latency).max(1.0);
        if self.samples == 0 {
            (self.mean_latency, self.low_latency, self.high_latency) = (micros, micros, micros);
        }
        self.mean_latency += (micros - self.mean_latency) * MEAN_GAIN;
        step_quantile(&mut self.low_latency, LOW_QUANTILE, micros);
        step_quantile(&mut self.high_latency, HIGH_QUANTILE, micros);
        self.samples = self.samples.saturating_add(1);
        self.last_sample = now;
    }

    /// Adds the number of peers' requests in flight at one upstream.
    pub(crate) fn observe_peer_load(&mut self, peer_load: f32) {
        let gain = if self.load_samples == 0 { 1.0 } else { PEER_LOAD_GAIN };
        self.peer_load += (peer_load - self.peer_load) * gain;
        self.load_samples = self.load_samples.saturating_add(1);
    }

    /// Adds the outcome of an attempt or of a failed probe.
    pub(crate) fn observe_attempt(&mut self, failed: bool) {
        self.error_share += (f32::from(u8::from(failed)) - self.error_share) * ERROR_GAIN;
    }

    /// Returns the share of recent attempts that failed.
    pub(crate) fn error_share(&self) -> f32 {
        self.error_share
    }

    /// Returns the mean latency in microseconds, or zero before the first response.
    pub(crate) fn mean(&self) -> f32 {
        self.mean_latency
    }

    /// Returns the mean number of peers' requests in flight at one upstream.
    pub(crate) fn peer_load(&self) -> f32 {
        self.peer_load
    }

    /// Returns the high latency quantile in microseconds, which few responses exceed, once there
    /// have been enough of them.
    pub(crate) fn high_latency(&self) -> Option<f32> {
        (self.samples >= SAMPLES_MIN).then_some(self.high_latency)
    }

    /// Returns the age in microseconds from which an attempt counts as overdue in the estimate of
    /// its upstream's speed. A hedge may start earlier, see `ServiceTable::hedge_delay`.
    pub(crate) fn overdue_after(&self) -> Option<f32> {
        Some(self.high_latency()? * OVERDUE_FACTOR)
    }

    /// Returns the low latency quantile, which nearly every request exceeds, if there have been
    /// enough responses and the last one is recent.
    ///
    /// It is not used without recent responses: requests whose deadline is closer than this are
    /// refused, and after a slow period every request could otherwise be refused for good.
    pub(crate) fn low_latency(&self, now: Time) -> Option<Duration> {
        let is_known = self.samples >= SAMPLES_MIN && now.since(self.last_sample) < SAMPLE_AGE_MAX;
        is_known.then(|| Duration::from_micros(self.low_latency as u64))
    }
}

/// Moves a quantile estimate by stochastic approximation (Robbins and Monro, 1951), in steps
/// relative to the estimate.
fn step_quantile(estimate: &mut f32, quantile: f32, sample: f32) {
    let direction = if sample > *estimate { quantile } else { quantile - 1.0 };
    *estimate *= 1.0 + QUANTILE_STEP * direction;
}

pub(crate) fn micros(d: Duration) -> f32 {
    d.as_micros() as f32
}
