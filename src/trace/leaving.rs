//! Which upstreams are leaving, and since when, read off a trace.

use std::sync::Arc;
use std::time::Duration;

use crate::config::Upstream;
use crate::decide::upstream::{AttemptReport, State, UpstreamOutcome, UpstreamSummary};
use crate::time::Time;

/// Since when an upstream is leaving, by each source that says so.
#[derive(Clone, Debug)]
struct Row {
    service: Arc<str>,
    upstream: Arc<str>,
    listed: Option<Time>,
    drained: Option<Time>,
    /// Whether nobody listened since it said so.
    gone: bool,
    unnamed: Option<Time>,
    words: Vec<Word>,
}

/// A peer's word that an upstream is leaving.
#[derive(Clone, Debug)]
struct Word {
    host: Arc<str>,
    at: Time,
}

impl Row {
    fn new(service: &str, upstream: &str) -> Row {
        Row {
            service: service.into(),
            upstream: upstream.into(),
            listed: None,
            drained: None,
            gone: false,
            unnamed: None,
            words: Vec::new(),
        }
    }

    fn key(&self) -> (&str, &str) {
        (&self.service, &self.upstream)
    }

    fn since(&self) -> Option<Time> {
        let words = self.words.iter().map(|w| w.at);
        let own = [self.listed, self.drained, self.unnamed];
        own.into_iter().flatten().chain(words).min()
    }
}

/// The upstreams of a trace, sorted by service and name.
#[derive(Debug, Default)]
pub(crate) struct Leaving {
    rows: Vec<Row>,
}

impl Leaving {
    /// Takes note of what the host list says. An upstream that it takes back is live again.
    pub(crate) fn set_state(&mut self, service: &str, upstream: &str, state: State, at: Time) {
        let row = self.row(service, upstream);
        match state {
            State::Leaving => row.listed = row.listed.or(Some(at)),
            State::Live if row.listed.take().is_some() => row.drained = None,
            State::Live => {}
        }
    }

    /// Takes note that an upstream began to leave, whether or not the host has learnt it.
    pub(crate) fn begin(&mut self, service: &str, upstream: &str, at: Time) {
        let row = self.row(service, upstream);
        (row.drained, row.gone) = (row.drained.or(Some(at)), false);
    }

    /// Takes note of an attempt's end. An upstream that says that it is leaving is.
    pub(crate) fn finish(
        &mut self,
        service: &str,
        upstream: &str,
        report: &AttemptReport,
        at: Time,
    ) {
        if report.draining {
            self.begin(service, upstream, at);
        }
        self.row(service, upstream).gone |= report.outcome == UpstreamOutcome::ConnectFailed;
    }

    /// Takes note of a probe's end. An upstream that answers after nobody listened is a new one.
    pub(crate) fn probed(
        &mut self,
        service: &str,
        upstream: &str,
        report: &AttemptReport,
        at: Time,
    ) {
        self.finish(service, upstream, report, at);
        let row = self.row(service, upstream);
        if report.outcome == UpstreamOutcome::Answered && !report.draining && row.gone {
            (row.drained, row.gone) = (None, false);
        }
    }

    /// Takes note of what a peer says.
    pub(crate) fn import(&mut self, host: &Arc<str>, shared: &UpstreamSummary, at: Time) {
        let words = &mut self.row(&shared.service, &shared.upstream).words;
        let known = words.iter().position(|w| w.host == *host);
        match (known, shared.leaving) {
            (None, true) => words.push(Word { host: host.clone(), at }),
            (Some(i), false) => _ = words.swap_remove(i),
            _ => {}
        }
    }

    /// Forgets what a peer said.
    pub(crate) fn forget(&mut self, host: &str) {
        self.rows.iter_mut().for_each(|r| r.words.retain(|w| *w.host != *host));
    }

    /// Takes note of the set of a service's upstreams.
    pub(crate) fn set_upstreams(&mut self, service: &str, named: &[Upstream], at: Time) {
        for row in self.rows.iter_mut().filter(|r| *r.service == *service) {
            if !named.iter().any(|u| u.name == row.upstream) {
                row.unnamed = row.unnamed.or(Some(at));
            } else if row.unnamed.take().is_some() {
                row.drained = None;
            }
        }
        for upstream in named {
            self.row(service, &upstream.name);
        }
    }

    /// Returns what is wrong with giving new work to an upstream, if anything is.
    pub(crate) fn fault(
        &self,
        service: &str,
        upstream: &str,
        at: Time,
        bound: Duration,
    ) -> Option<String> {
        let found = self.rows.binary_search_by(|r| r.key().cmp(&(service, upstream)));
        let since = self.rows[found.ok()?].since()?;
        let age = at.since(since);
        let late = format!("{service}/{upstream} got work {age:?} after it began to leave");
        (age > bound).then_some(late)
    }

    fn row(&mut self, service: &str, upstream: &str) -> &mut Row {
        let found = self.rows.binary_search_by(|r| r.key().cmp(&(service, upstream)));
        let at = found.unwrap_or_else(|at| {
            self.rows.insert(at, Row::new(service, upstream));
            at
        });
        &mut self.rows[at]
    }
}
