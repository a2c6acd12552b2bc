//! Whether probes stay within their budget.

use std::sync::Arc;

use crate::time::Time;

/// Share of a probe by which rounding may exceed the budget.
const ROUNDING: f64 = 0.001;

/// A leaky bucket (Turner, 1986): each probe fills it by one, and it empties at the host's rate.
#[derive(Debug)]
struct Bucket {
    service: Arc<str>,
    per_second: f64,
    level: f64,
    at: Time,
}

/// The buckets of all services, sorted by name.
#[derive(Debug, Default)]
pub(crate) struct Probing {
    buckets: Vec<Bucket>,
}

impl Probing {
    /// Sets a service's rate on one host.
    pub(crate) fn set_rate(&mut self, service: &Arc<str>, per_second: f64, at: Time) {
        match self.buckets.binary_search_by(|b| b.service.cmp(service)) {
            Ok(i) => self.buckets[i].per_second = per_second,
            Err(i) => {
                let service = service.clone();
                self.buckets.insert(i, Bucket { service, per_second, level: 0.0, at });
            }
        }
    }

    /// Counts a probe, and returns what is wrong with it, if anything is.
    pub(crate) fn fault(&mut self, service: &str, burst: f64, at: Time) -> Option<String> {
        let Ok(i) = self.buckets.binary_search_by(|b| (*b.service).cmp(service)) else {
            return Some(format!("a probe of {service}, which is not known"));
        };
        let bucket = &mut self.buckets[i];
        let emptied = at.since(bucket.at).as_secs_f64() * bucket.per_second;
        bucket.level = (bucket.level - emptied).max(0.0) + 1.0;
        bucket.at = at;
        let over = bucket.level > burst + ROUNDING;
        let rate = bucket.per_second;
        over.then(|| format!("{service} was probed more than {rate:.3} times a second"))
    }
}
