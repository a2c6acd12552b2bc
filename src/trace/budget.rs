//! The check that probes stay within their budget.

use std::sync::Arc;

use crate::time::Time;

/// Excess over the budget that is ascribed to rounding errors, in probes.
const ROUNDING_TOLERANCE: f64 = 0.001;

/// A leaky bucket (Turner, 1986) for the probes of one service. Each probe raises the level by one,
/// and the level falls at the host's probe rate.
#[derive(Debug)]
struct LeakyBucket {
    service: Arc<str>,
    per_second: f64,
    /// The level as of `at`, in probes.
    level: f64,
    at: Time,
}

/// The probe budgets of all services, sorted by service name.
#[derive(Debug, Default)]
pub(crate) struct ProbeBudgets {
    buckets: Vec<LeakyBucket>,
}

impl ProbeBudgets {
    /// Sets the rate at which the recording host may probe a service, in probes per second.
    pub(crate) fn set_rate(&mut self, service: &Arc<str>, per_second: f64, at: Time) {
        match self.buckets.binary_search_by(|b| b.service.cmp(service)) {
            Ok(i) => self.buckets[i].per_second = per_second,
            Err(i) => {
                let service = service.clone();
                self.buckets.insert(i, LeakyBucket { service, per_second, level: 0.0, at });
            }
        }
    }

    /// Counts a probe, and returns a description of the breach if it exceeds the budget or its
    /// service is unknown. `burst` is the number of probes that may be sent at once.
    pub(crate) fn count_probe(&mut self, service: &str, burst: f64, at: Time) -> Option<String> {
        let Ok(i) = self.buckets.binary_search_by(|b| (*b.service).cmp(service)) else {
            return Some(format!("probe of the unknown service {service}"));
        };
        let bucket = &mut self.buckets[i];
        let emptied = at.since(bucket.at).as_secs_f64() * bucket.per_second;
        bucket.level = (bucket.level - emptied).max(0.0) + 1.0;
        bucket.at = at;
        let over = bucket.level > burst + ROUNDING_TOLERANCE;
        let rate = bucket.per_second;
        over.then(|| format!("{service} was probed more than {rate:.3} times a second"))
    }
}
