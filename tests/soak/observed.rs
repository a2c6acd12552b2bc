//! What the upstreams and callers of the soak test observe, and the guarantees checked against it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::upstream::{LIMIT, PAUSE};

/// Time within which a drain, a new route or a removed one must be known to all hosts, as the
/// users' deployments require.
pub const PROPAGATION_TIME: Duration = Duration::from_secs(2);
/// Time without faults that could delay a host, of the registry or of the host itself. A time limit
/// is checked only after it.
const FAULT_FREE_PERIOD: Duration = Duration::from_secs(3);
/// Probes per second that the fleet may send to each upstream. Lower than the users' limit, so that
/// the load of this test reaches it.
pub const PROBES_PER_SECOND: f64 = 20.0;
/// Retry budget of the fleet: a share of the requests plus a fixed number in any window. Lower than
/// the users' limit, so that faults of a few seconds reach it.
pub const RETRY_SHARE: f64 = 0.01;
pub const RETRY_SLACK: f64 = 2.0;
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Time after an upstream asked for a pause in which requests may still be on their way to it.
const PAUSE_TOLERANCE: Duration = Duration::from_millis(500);

/// Time after a host has passed on a rate limit in which requests may still be on their way.
const LIMIT_TOLERANCE: Duration = Duration::from_millis(500);
/// The window in which requests are counted against a rate limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// How often a request under which three upstreams have ended may still be sent.
const BLOCKED_SENDS_MAX: usize = 3;

/// A request that reached an upstream.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub upstream: String,
    pub at: Instant,
}

/// A request and the response that its caller received.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub idempotent: bool,
    pub host: usize,
    pub sent: Instant,
    /// When the response was received or the connection ended.
    pub received: Instant,
    /// The config version that introduced the route of the request; 0 for a route that always
    /// exists.
    pub route: u64,
    /// `None` if the connection ended without a response.
    pub response: Option<ReceivedResponse>,
}

/// The parts of a response that are checked.
#[derive(Clone, Debug)]
pub struct ReceivedResponse {
    pub status: u16,
    pub signature: String,
    pub body: String,
}

/// Everything observed during a run.
#[derive(Debug, Default)]
pub struct Observed {
    /// The requests that upstreams ran.
    pub arrivals: Mutex<Vec<Attempt>>,
    /// All requests that reached upstreams, and whether each was answered with a pause.
    pub attempts: Mutex<Vec<(Attempt, bool)>>,
    /// For each request answered with the announcement that an upstream is leaving, the upstream.
    pub announcements: Mutex<BTreeMap<String, String>>,
    /// For each request answered with a rate limit, the upstream.
    pub limits: Mutex<BTreeMap<String, String>>,
    /// The paths of requests under which upstreams have ended, the hosts that sent them, and when.
    pub crashes: Mutex<Vec<(String, usize, Instant)>>,
    pub outcomes: Mutex<Vec<Outcome>>,
    /// When the registry acknowledged that an upstream is draining.
    pub drained_at: Mutex<BTreeMap<String, Instant>>,
    /// An upstream in a data centre that is evacuated, and when the registry acknowledged the order.
    pub evacuation: Mutex<Option<(String, Instant)>>,
    /// When the registry acknowledged a config version.
    pub versions: Mutex<BTreeMap<u64, Instant>>,
    /// Periods in which the registry or the path to it was impaired.
    pub registry_faults: Mutex<Vec<(Instant, Instant)>>,
    /// Periods in which a host was frozen, or was killed and restarting.
    pub host_faults: Mutex<Vec<(usize, Instant, Instant)>>,
    /// When a host received SIGTERM, and when its next process was ready.
    pub graceful_stops: Mutex<Vec<(usize, Instant, Instant)>>,
    pub probes: Mutex<BTreeMap<String, u64>>,
}

impl Observed {
    /// Returns a description of each breach of a guarantee.
    pub fn breaches(&self, start: Instant, end: Instant) -> Vec<String> {
        let mut out = Vec::new();
        let runs = self.runs();
        for outcome in self.outcomes.lock().iter() {
            let count = runs.get(outcome.id.as_str()).copied().unwrap_or(0);
            if !outcome.idempotent && count > 1 {
                out.push(format!("DUPLICATE: {} ran {count} times", outcome.id));
            }
            let Some(response) = &outcome.response else {
                out.extend(self.lost_request(outcome, count));
                continue;
            };
            if !outcome.idempotent && matches!(response.status, 408 | 421 | 429 | 503) && count > 0
            {
                out.push(format!(
                    "REFUSED: {} ran but was answered with {}",
                    outcome.id, response.status
                ));
            }
            let (signature, body) =
                (format!("s.{}", outcome.id), format!("body of {}", outcome.id));
            if response.status == 200 && (response.signature != signature || response.body != body)
            {
                out.push(format!("MISMATCH: {} received {response:?}", outcome.id));
            }
            out.extend(self.outdated_route(outcome, response));
        }
        out.extend(self.requests_after_drain());
        out.extend(self.requests_in_evacuation());
        out.extend(self.requests_after_announcement());
        out.extend(self.requests_in_pauses());
        out.extend(self.requests_over_limits());
        out.extend(self.blocked_requests_sent());
        out.extend(self.retry_budget_breach());
        let seconds = end.duration_since(start).as_secs_f64();
        for (upstream, probes) in self.probes.lock().iter() {
            if *probes as f64 > PROBES_PER_SECOND * seconds {
                out.push(format!("PROBES: {upstream} was probed {probes} times in {seconds} s"));
            }
        }
        out
    }

    fn runs(&self) -> BTreeMap<String, u64> {
        let mut runs = BTreeMap::new();
        for arrival in self.arrivals.lock().iter() {
            *runs.entry(arrival.id.clone()).or_default() += 1;
        }
        runs
    }

    /// Checks for a request that an upstream ran and that got no response, although its host only
    /// stopped gracefully.
    fn lost_request(&self, outcome: &Outcome, runs: u64) -> Option<String> {
        let until = outcome.sent + PROPAGATION_TIME;
        let was_stopped = self.graceful_stops.lock().iter().any(|(host, at, ready)| {
            *host == outcome.host && *at <= until && outcome.sent <= *ready
        });
        let faults = self.host_faults.lock();
        let is_fault_free =
            has_no_overlap(&faults, outcome.host, outcome.sent - FAULT_FREE_PERIOD, until);
        (was_stopped && is_fault_free && runs > 0)
            .then(|| format!("LOST: {} ran, no response", outcome.id))
    }

    /// Checks for a route that was not found although it had been published long enough ago.
    fn outdated_route(&self, outcome: &Outcome, response: &ReceivedResponse) -> Option<String> {
        let published = *self.versions.lock().get(&outcome.route)?;
        let is_due = outcome.sent.checked_duration_since(published)? > PROPAGATION_TIME;
        let (from, to) = (outcome.sent - FAULT_FREE_PERIOD, outcome.sent);
        let is_fault_free = self.is_registry_fault_free(from, to)
            && self.is_host_fault_free(outcome.host, from, to);
        let is_rejected = response.status == 404 && is_due && is_fault_free;
        is_rejected
            .then(|| format!("CONFIG: {} got 404, route version {}", outcome.id, outcome.route))
    }

    /// Checks for requests that reached an upstream too long after the registry acknowledged its
    /// drain.
    fn requests_after_drain(&self) -> Vec<String> {
        let drained_at = self.drained_at.lock();
        let hosts: BTreeMap<String, usize> =
            self.outcomes.lock().iter().map(|o| (o.id.clone(), o.host)).collect();
        let is_late = |a: &&Attempt| {
            let Some(drained) = drained_at.get(&a.upstream) else { return false };
            let Some(host) = hosts.get(&a.id) else { return false };
            let is_due = a.at.saturating_duration_since(*drained) > PROPAGATION_TIME;
            let from = *drained - FAULT_FREE_PERIOD;
            is_due
                && self.is_registry_fault_free(from, a.at)
                && self.is_host_fault_free(*host, from, a.at)
        };
        let arrivals = self.arrivals.lock();
        arrivals
            .iter()
            .filter(is_late)
            .map(|a| format!("DRAIN: {} ran at {}", a.id, a.upstream))
            .collect()
    }

    /// Checks for requests that reached the upstream in the evacuated data centre too long after the
    /// order, from hosts that could know of it.
    fn requests_in_evacuation(&self) -> Vec<String> {
        let Some((upstream, given)) = self.evacuation.lock().clone() else {
            return Vec::new();
        };
        let hosts: BTreeMap<String, usize> =
            self.outcomes.lock().iter().map(|o| (o.id.clone(), o.host)).collect();
        let is_late = |a: &&Attempt| {
            let Some(host) = hosts.get(&a.id) else { return false };
            let from = a.at - FAULT_FREE_PERIOD;
            a.upstream == upstream
                && a.at.saturating_duration_since(given) > PROPAGATION_TIME
                && self.is_registry_fault_free(from, a.at)
                && self.is_host_fault_free(*host, from, a.at)
        };
        let arrivals = self.arrivals.lock();
        let late = arrivals.iter().filter(is_late);
        late.map(|a| format!("EVACUATED: {} ran at {}", a.id, a.upstream)).collect()
    }

    /// Checks for requests that reached an upstream from a host that had passed on its announcement
    /// to leave before the request was sent.
    fn requests_after_announcement(&self) -> Vec<String> {
        let outcomes = self.outcomes.lock();
        let announcements = self.announcements.lock();
        let announced = |o: &Outcome| {
            let upstream = announcements.get(&o.id)?;
            let is_passed_on = o.response.as_ref().is_some_and(|r| r.status == 200);
            is_passed_on.then(|| (upstream.clone(), o.host, o.received))
        };
        let announced: Vec<(String, usize, Instant)> =
            outcomes.iter().filter_map(announced).collect();
        let by_id: BTreeMap<&str, &Outcome> = outcomes.iter().map(|o| (o.id.as_str(), o)).collect();
        let is_late = |a: &&Attempt| {
            let Some(outcome) = by_id.get(a.id.as_str()) else { return false };
            announced.iter().any(|(upstream, host, at)| {
                (upstream, *host) == (&a.upstream, outcome.host)
                    && outcome.sent.saturating_duration_since(*at) > PROPAGATION_TIME
                    && self.is_host_fault_free(*host, *at, a.at)
            })
        };
        let arrivals = self.arrivals.lock();
        let late = arrivals.iter().filter(is_late);
        late.map(|a| format!("LEAVING: {} ran at {}", a.id, a.upstream)).collect()
    }

    /// Checks for more than two requests that reached an upstream from one host between half a
    /// second after it asked for a pause and the end of the pause.
    fn requests_in_pauses(&self) -> Vec<String> {
        let hosts: BTreeMap<String, usize> =
            self.outcomes.lock().iter().map(|o| (o.id.clone(), o.host)).collect();
        let attempts = self.attempts.lock();
        let mut out = Vec::new();
        for (asked, _) in attempts.iter().filter(|(_, is_pause)| *is_pause) {
            let Some(host) = hosts.get(&asked.id) else { continue };
            let (from, to) = (asked.at + PAUSE_TOLERANCE, asked.at + PAUSE);
            let is_within = |a: &Attempt| {
                a.upstream == asked.upstream
                    && hosts.get(&a.id) == Some(host)
                    && (from..to).contains(&a.at)
            };
            let count = attempts.iter().filter(|(a, _)| is_within(a)).count();
            if count > 2 && self.is_host_fault_free(*host, asked.at, to) {
                out.push(format!(
                    "PAUSE: {count} requests at {} after {}",
                    asked.upstream, asked.id
                ));
            }
        }
        out
    }

    /// Checks for more requests in a window than an upstream's rate limit permits, from hosts that
    /// had passed on the limit before.
    fn requests_over_limits(&self) -> Vec<String> {
        let outcomes = self.outcomes.lock();
        let limits = self.limits.lock();
        let by_id: BTreeMap<&str, &Outcome> = outcomes.iter().map(|o| (o.id.as_str(), o)).collect();
        // For each upstream and host, when the host first passed on the limit.
        let mut told: BTreeMap<(&str, usize), Instant> = BTreeMap::new();
        for (id, upstream) in limits.iter() {
            let Some(outcome) = by_id.get(id.as_str()) else { continue };
            if outcome.response.as_ref().is_some_and(|r| r.status == 200) {
                let at = told.entry((upstream, outcome.host)).or_insert(outcome.received);
                *at = (*at).min(outcome.received);
            }
        }
        let mut out = Vec::new();
        let upstreams: std::collections::BTreeSet<&String> = limits.values().collect();
        for upstream in upstreams {
            let of_upstream = told.iter().filter(|((u, _), _)| u == upstream);
            let Some(first) = of_upstream.map(|(_, at)| *at).min() else { continue };
            let attempts = self.attempts.lock();
            let is_counted = |a: &&Attempt| {
                let Some(host) = by_id.get(a.id.as_str()).map(|o| o.host) else { return false };
                let told = told.get(&(upstream.as_str(), host));
                a.upstream == **upstream
                    && told.is_some_and(|told| a.at >= *told + LIMIT_TOLERANCE)
                    && self.is_host_fault_free(host, a.at - LIMIT_WINDOW, a.at)
            };
            let counted: Vec<Instant> =
                attempts.iter().map(|(a, _)| a).filter(is_counted).map(|a| a.at).collect();
            let most = counted
                .iter()
                .filter(|end| **end >= first + FAULT_FREE_PERIOD)
                .map(|end| counted.iter().filter(|at| **at <= *end && **at + LIMIT_WINDOW > *end))
                .map(Iterator::count)
                .max();
            let allowed = 1.5 * LIMIT * LIMIT_WINDOW.as_secs_f64() + 5.0;
            if most.is_some_and(|most| most as f64 > allowed) {
                out.push(format!("LIMIT: {most:?} requests in 4 s at {upstream}"));
            }
        }
        out
    }

    /// Checks for requests under which upstreams have ended that were sent more than three times
    /// later than hosts have to know.
    fn blocked_requests_sent(&self) -> Vec<String> {
        let crashes = self.crashes.lock();
        let paths: std::collections::BTreeSet<&String> = crashes.iter().map(|(p, ..)| p).collect();
        let mut out = Vec::new();
        for path in paths {
            let of_path: Vec<_> = crashes.iter().filter(|(p, ..)| p == path).collect();
            let Some((_, _, third)) = of_path.get(2) else { continue };
            let is_late = |(_, host, at): &&&(String, usize, Instant)| {
                *at > *third + FAULT_FREE_PERIOD
                    && self.is_host_fault_free(*host, *at - FAULT_FREE_PERIOD, *at)
            };
            let late = of_path.iter().filter(is_late).count();
            if late > BLOCKED_SENDS_MAX {
                out.push(format!("BLOCKED: {path} sent {late} times after three upstreams ended"));
            }
        }
        out
    }

    /// Checks whether the arrivals after the first of each request exceed the retry budget in any
    /// window.
    fn retry_budget_breach(&self) -> Option<String> {
        let mut seen = std::collections::BTreeSet::new();
        let mut retries: Vec<Instant> = Vec::new();
        for arrival in self.arrivals.lock().iter() {
            if !seen.insert(arrival.id.clone()) {
                retries.push(arrival.at);
            }
        }
        let outcomes = self.outcomes.lock();
        for (i, end) in retries.iter().enumerate() {
            let within = |at: &Instant| *at <= *end && end.duration_since(*at) < RETRY_WINDOW;
            let count = retries[..=i].iter().filter(|at| within(at)).count() as f64;
            // Outcomes are sorted by the end of their requests.
            let requests = outcomes.iter().filter(|o| within(&o.sent)).count() as f64;
            if count > requests * RETRY_SHARE + RETRY_SLACK {
                return Some(format!("BUDGET: {count} retries for {requests} requests"));
            }
        }
        None
    }

    fn is_registry_fault_free(&self, from: Instant, to: Instant) -> bool {
        !self.registry_faults.lock().iter().any(|(start, end)| *start <= to && *end >= from)
    }

    fn is_host_fault_free(&self, host: usize, from: Instant, to: Instant) -> bool {
        has_no_overlap(&self.host_faults.lock(), host, from, to)
            && has_no_overlap(&self.graceful_stops.lock(), host, from, to)
    }
}

/// Returns whether none of a host's periods overlaps the time between `from` and `to`.
fn has_no_overlap(
    spans: &[(usize, Instant, Instant)],
    host: usize,
    from: Instant,
    to: Instant,
) -> bool {
    !spans.iter().any(|(h, start, end)| *h == host && *start <= to && *end >= from)
}
