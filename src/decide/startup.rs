//! When a caller may come back that a host has refused because it is still starting.

use std::time::Duration;

/// The shortest time: another host may serve the caller at once.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
/// The longest time.
const RETRY_AFTER_MAX: Duration = Duration::from_millis(500);
/// The random factor, so that refused callers don't return together.
const SPREAD: std::ops::RangeInclusive<f64> = 0.8..=1.4;

/// Returns the `Retry-After` time of a host that has been starting for `elapsed`. A start that has
/// taken long is likely to take as long again: when a whole fleet has lost power, a caller that
/// returns sooner finds no host ready, and has used up its retry. `spread` is a random number from 0
/// to 1.
pub fn retry_after(elapsed: Duration, spread: f64) -> Duration {
    let factor = SPREAD.start() + (SPREAD.end() - SPREAD.start()) * spread.clamp(0.0, 1.0);
    elapsed.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX).mul_f64(factor)
}
