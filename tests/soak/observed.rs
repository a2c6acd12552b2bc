//! What the soak's upstreams and callers see, and the promises that it is held against.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Time within which a drain, a new route or the end of one is known everywhere: the bound of the
/// users' deployments.
pub const IN_FORCE: Duration = Duration::from_secs(2);
/// Time without faults of the kinds that excuse a late host, before a bound holds.
const CALM: Duration = Duration::from_secs(3);
/// Probes a second and upstream that the fleet may send: less than the users allow, so that the load here
/// reaches it.
pub const PROBES_PER_SECOND: f64 = 20.0;
/// Retries of the fleet: a share of the requests and so many more in any window. Less than the users
/// allow, so that faults of some seconds reach it.
pub const RETRY_SHARE: f64 = 0.01;
pub const RETRY_SLACK: f64 = 2.0;
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// One arrival of a request at an upstream.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub upstream: String,
    pub at: Instant,
}

/// What a caller was told of one request.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub idempotent: bool,
    pub host: usize,
    pub sent: Instant,
    /// The route's version that the request's path needs; 0 for a route that is always there.
    pub route: u64,
    /// Nothing if the connection ended without an answer.
    pub answer: Option<Answer>,
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub signature: String,
    pub body: String,
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct Observed {
    pub arrivals: Mutex<Vec<Arrival>>,
    pub outcomes: Mutex<Vec<Outcome>>,
    /// When the store acknowledged that an upstream leaves.
    pub left: Mutex<BTreeMap<String, Instant>>,
    /// When the store acknowledged a version of the config.
    pub versions: Mutex<BTreeMap<u64, Instant>>,
    /// Spans in which the store, or a path to it, was impaired.
    pub store_faults: Mutex<Vec<(Instant, Instant)>>,
    /// Spans in which a host was frozen, or was killed and starting.
    pub host_faults: Mutex<Vec<(usize, Instant, Instant)>>,
    /// When a host was asked to stop in order, and when the next process was ready.
    pub terms: Mutex<Vec<(usize, Instant, Instant)>>,
    pub probes: Mutex<BTreeMap<String, u64>>,
}

impl Observed {
    /// Returns each promise that was broken, with what shows it.
    pub fn breaches(&self, began: Instant, ended: Instant) -> Vec<String> {
        let mut out = Vec::new();
        let runs = self.runs();
        for outcome in self.outcomes.lock().iter() {
            let count = runs.get(outcome.id.as_str()).copied().unwrap_or(0);
            if !outcome.idempotent && count > 1 {
                out.push(format!("TWICE: {} ran {count} times", outcome.id));
            }
            let Some(answer) = &outcome.answer else {
                out.extend(self.lost(outcome, count));
                continue;
            };
            if !outcome.idempotent && matches!(answer.status, 408 | 421 | 429 | 503) && count > 0 {
                out.push(format!("REFUSED: {} was told {} and ran", outcome.id, answer.status));
            }
            let (signature, body) =
                (format!("s.{}", outcome.id), format!("body of {}", outcome.id));
            if answer.status == 200 && (answer.signature != signature || answer.body != body) {
                out.push(format!("MIXED: {} got {answer:?}", outcome.id));
            }
            out.extend(self.outdated(outcome, answer));
        }
        out.extend(self.drains());
        out.extend(self.retries());
        let seconds = ended.duration_since(began).as_secs_f64();
        for (upstream, probes) in self.probes.lock().iter() {
            if *probes as f64 > PROBES_PER_SECOND * seconds {
                out.push(format!("PROBES: {upstream} was asked {probes} times in {seconds} s"));
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

    /// A request that an upstream ran was cut off although its host only stopped in order.
    fn lost(&self, outcome: &Outcome, runs: u64) -> Option<String> {
        let until = outcome.sent + IN_FORCE;
        let was_asked = self.terms.lock().iter().any(|(host, at, ready)| {
            *host == outcome.host && *at <= until && outcome.sent <= *ready
        });
        let faults = self.host_faults.lock();
        let is_calm = is_calm(&faults, outcome.host, outcome.sent - CALM, until);
        (was_asked && is_calm && runs > 0).then(|| format!("LOST: {} ran, no answer", outcome.id))
    }

    /// A route that was long in force was not found.
    fn outdated(&self, outcome: &Outcome, answer: &Answer) -> Option<String> {
        let known = *self.versions.lock().get(&outcome.route)?;
        let is_due = outcome.sent.checked_duration_since(known)? > IN_FORCE;
        let (from, to) = (outcome.sent - CALM, outcome.sent);
        let is_calm = self.is_store_calm(from, to) && self.is_host_calm(outcome.host, from, to);
        let is_denied = answer.status == 404 && is_due && is_calm;
        is_denied.then(|| format!("CONFIG: {} denied, version {}", outcome.id, outcome.route))
    }

    /// A request came to an upstream long after the store had acknowledged that it leaves.
    fn drains(&self) -> Vec<String> {
        let left = self.left.lock();
        let hosts: BTreeMap<String, usize> =
            self.outcomes.lock().iter().map(|t| (t.id.clone(), t.host)).collect();
        let late = |a: &&Arrival| {
            let Some(left) = left.get(&a.upstream) else { return false };
            let Some(host) = hosts.get(&a.id) else { return false };
            let is_due = a.at.saturating_duration_since(*left) > IN_FORCE;
            let from = *left - CALM;
            is_due && self.is_store_calm(from, a.at) && self.is_host_calm(*host, from, a.at)
        };
        let arrivals = self.arrivals.lock();
        arrivals
            .iter()
            .filter(late)
            .map(|a| format!("DRAIN: {} ran at {}", a.id, a.upstream))
            .collect()
    }

    /// Arrivals beyond the first of each request exceed the budget in some window.
    fn retries(&self) -> Option<String> {
        let mut seen = std::collections::BTreeSet::new();
        let mut repeats: Vec<Instant> = Vec::new();
        for arrival in self.arrivals.lock().iter() {
            if !seen.insert(arrival.id.clone()) {
                repeats.push(arrival.at);
            }
        }
        let outcomes = self.outcomes.lock();
        for (i, end) in repeats.iter().enumerate() {
            let within = |at: &Instant| *at <= *end && end.duration_since(*at) < RETRY_WINDOW;
            let count = repeats[..=i].iter().filter(|at| within(at)).count() as f64;
            // The list is in the order of the ends of requests.
            let requests = outcomes.iter().filter(|t| within(&t.sent)).count() as f64;
            if count > requests * RETRY_SHARE + RETRY_SLACK {
                return Some(format!("BUDGET: {count} repeats of {requests} requests"));
            }
        }
        None
    }

    fn is_store_calm(&self, from: Instant, to: Instant) -> bool {
        !self.store_faults.lock().iter().any(|(start, end)| *start <= to && *end >= from)
    }

    fn is_host_calm(&self, host: usize, from: Instant, to: Instant) -> bool {
        is_calm(&self.host_faults.lock(), host, from, to)
            && is_calm(&self.terms.lock(), host, from, to)
    }
}

/// Tells whether no span of a host touches the time between `from` and `to`.
fn is_calm(spans: &[(usize, Instant, Instant)], host: usize, from: Instant, to: Instant) -> bool {
    !spans.iter().any(|(h, start, end)| *h == host && *start <= to && *end >= from)
}
