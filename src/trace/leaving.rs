//! The upstreams that are leaving, and since when, as far as a trace shows.

use std::sync::Arc;
use std::time::Duration;

use crate::config::Upstream;
use crate::decide::upstream::{AttemptReport, State, UpstreamOutcome, UpstreamSummary};
use crate::time::Time;

/// The times since which each source reports that an upstream is leaving; `None` if the source
/// doesn't.
#[derive(Clone, Debug)]
struct LeavingSince {
    service: Arc<str>,
    upstream: Arc<str>,
    /// When the host list changed its state to `leaving`.
    listed: Option<Time>,
    /// When the upstream first announced it, unless it has become live again since.
    announced: Option<Time>,
    /// Whether a connection attempt has failed since the upstream last announced it.
    connect_failed: bool,
    /// When the upstream was removed from the service.
    removed: Option<Time>,
    /// Peers that report it.
    peer_reports: Vec<PeerReport>,
}

/// A peer's report that an upstream is leaving, and when it came in.
#[derive(Clone, Debug)]
struct PeerReport {
    host: Arc<str>,
    at: Time,
}

impl LeavingSince {
    fn new(service: &str, upstream: &str) -> LeavingSince {
        LeavingSince {
            service: service.into(),
            upstream: upstream.into(),
            listed: None,
            announced: None,
            connect_failed: false,
            removed: None,
            peer_reports: Vec::new(),
        }
    }

    fn key(&self) -> (&str, &str) {
        (&self.service, &self.upstream)
    }

    /// Returns the earliest time since which a source reports that the upstream is leaving.
    fn since(&self) -> Option<Time> {
        let reports = self.peer_reports.iter().map(|r| r.at);
        let own = [self.listed, self.announced, self.removed];
        own.into_iter().flatten().chain(reports).min()
    }
}

/// A tracker of the upstreams that are leaving while the lines of a trace are read in order.
#[derive(Debug, Default)]
pub(crate) struct LeavingTracker {
    /// Sorted by service and upstream.
    upstreams: Vec<LeavingSince>,
}

impl LeavingTracker {
    /// Sets the state in the host list. An upstream that returns from `leaving` to `live` is live
    /// again, even if it had announced that it was leaving.
    pub(crate) fn set_state(&mut self, service: &str, upstream: &str, state: State, at: Time) {
        let entry = self.entry(service, upstream);
        match state {
            State::Leaving => entry.listed = entry.listed.or(Some(at)),
            State::Live if entry.listed.take().is_some() => entry.announced = None,
            State::Live => {}
        }
    }

    /// Records that an upstream announced that it is leaving, whether or not the recording host has
    /// received the announcement.
    pub(crate) fn announce(&mut self, service: &str, upstream: &str, at: Time) {
        let entry = self.entry(service, upstream);
        (entry.announced, entry.connect_failed) = (entry.announced.or(Some(at)), false);
    }

    /// Applies the result of an attempt, which may carry the upstream's announcement.
    pub(crate) fn finish_attempt(
        &mut self,
        service: &str,
        upstream: &str,
        report: &AttemptReport,
        at: Time,
    ) {
        if report.draining {
            self.announce(service, upstream, at);
        }
        self.entry(service, upstream).connect_failed |=
            report.outcome == UpstreamOutcome::ConnectFailed;
    }

    /// Applies the result of a probe. A response without an announcement after a failed connection
    /// attempt comes from a new process, which is not leaving.
    pub(crate) fn finish_probe(
        &mut self,
        service: &str,
        upstream: &str,
        report: &AttemptReport,
        at: Time,
    ) {
        self.finish_attempt(service, upstream, report, at);
        let entry = self.entry(service, upstream);
        if report.outcome == UpstreamOutcome::Answered && !report.draining && entry.connect_failed {
            (entry.announced, entry.connect_failed) = (None, false);
        }
    }

    /// Applies a peer's data about an upstream.
    pub(crate) fn import(&mut self, host: &Arc<str>, shared: &UpstreamSummary, at: Time) {
        let reports = &mut self.entry(&shared.service, &shared.upstream).peer_reports;
        let known = reports.iter().position(|r| r.host == *host);
        match (known, shared.leaving) {
            (None, true) => reports.push(PeerReport { host: host.clone(), at }),
            (Some(i), false) => _ = reports.swap_remove(i),
            _ => {}
        }
    }

    /// Drops all reports of a peer.
    pub(crate) fn forget_peer(&mut self, host: &str) {
        self.upstreams.iter_mut().for_each(|u| u.peer_reports.retain(|r| *r.host != *host));
    }

    /// Replaces the set of a service's upstreams. One that is no longer in it counts as leaving;
    /// one that comes back is live again.
    pub(crate) fn set_upstreams(&mut self, service: &str, current: &[Upstream], at: Time) {
        for entry in self.upstreams.iter_mut().filter(|r| *r.service == *service) {
            if !current.iter().any(|u| u.name == entry.upstream) {
                entry.removed = entry.removed.or(Some(at));
            } else if entry.removed.take().is_some() {
                entry.announced = None;
            }
        }
        for upstream in current {
            self.entry(service, &upstream.name);
        }
    }

    /// Checks that an upstream that gets new work at `at` hasn't been leaving for longer than
    /// `bound`, and returns a description of the breach otherwise.
    pub(crate) fn check_new_work(
        &self,
        service: &str,
        upstream: &str,
        at: Time,
        bound: Duration,
    ) -> Option<String> {
        let found = self.upstreams.binary_search_by(|r| r.key().cmp(&(service, upstream)));
        let since = self.upstreams[found.ok()?].since()?;
        let age = at.since(since);
        let detail = format!("{service}/{upstream} got work {age:?} after it began to leave");
        (age > bound).then_some(detail)
    }

    /// Returns the entry of an upstream; adds one if there is none.
    fn entry(&mut self, service: &str, upstream: &str) -> &mut LeavingSince {
        let found = self.upstreams.binary_search_by(|r| r.key().cmp(&(service, upstream)));
        let i = found.unwrap_or_else(|i| {
            self.upstreams.insert(i, LeavingSince::new(service, upstream));
            i
        });
        &mut self.upstreams[i]
    }
}
