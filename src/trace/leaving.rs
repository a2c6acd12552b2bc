//! Which upstreams are leaving, and since when, read off a trace.

use std::sync::Arc;
use std::time::Duration;

use crate::config::Upstream;
use crate::decide::upstream::State;
use crate::time::Time;

/// Since when an upstream is leaving, by each source that says so.
#[derive(Clone, Debug)]
struct Row {
    service: Arc<str>,
    upstream: Arc<str>,
    listed: Option<Time>,
    drained: Option<Time>,
    unnamed: Option<Time>,
}

impl Row {
    fn key(&self) -> (&str, &str) {
        (&self.service, &self.upstream)
    }

    fn since(&self) -> Option<Time> {
        [self.listed, self.drained, self.unnamed].into_iter().flatten().min()
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

    /// Takes note that an upstream said itself, or a peer said of it, that it is leaving.
    pub(crate) fn drain(&mut self, service: &str, upstream: &str, at: Time) {
        let row = self.row(service, upstream);
        row.drained = row.drained.or(Some(at));
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

    /// Takes note of a newer service record: the upstreams that it names start afresh.
    pub(crate) fn reconfigure(&mut self, service: &str, named: &[Upstream]) {
        named.iter().for_each(|u| self.row(service, &u.name).drained = None);
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
            let (service, upstream) = (service.into(), upstream.into());
            let row = Row { service, upstream, listed: None, drained: None, unnamed: None };
            self.rows.insert(at, row);
            at
        });
        &mut self.rows[at]
    }
}
