//! The changes of upstreams between taking work, being ejected, leaving and being gone.

use std::sync::Arc;

use crate::decide::service::ServiceTable;
use crate::decide::upstream::{Row, State, UpstreamId};
use crate::event::EventCode;
use crate::time::Time;

/// Whether an upstream takes new work, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    Live,
    Ejected,
    Leaving,
}

impl Standing {
    fn of(row: &Row, now: Time) -> Standing {
        match row.state {
            State::Leaving => Standing::Leaving,
            State::Live if row.health.ejected(now) => Standing::Ejected,
            State::Live => Standing::Live,
        }
    }

    const fn code(self) -> EventCode {
        match self {
            Standing::Live => EventCode::UpstreamRestored,
            Standing::Ejected => EventCode::UpstreamEjected,
            Standing::Leaving => EventCode::UpstreamLeaving,
        }
    }
}

/// A change of one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// What became of it.
    pub code: EventCode,
    /// The service's name.
    pub service: Arc<str>,
    /// The upstream's name.
    pub upstream: Arc<str>,
}

#[derive(Clone, Debug)]
struct Seen {
    service: Arc<str>,
    id: UpstreamId,
    upstream: Arc<str>,
    standing: Standing,
}

impl Seen {
    fn key(&self) -> (&str, UpstreamId) {
        (&self.service, self.id)
    }

    fn change(&self, code: EventCode) -> Change {
        Change { code, service: self.service.clone(), upstream: self.upstream.clone() }
    }
}

/// What was last seen of every upstream, sorted by service and identity.
#[derive(Debug, Default)]
pub struct Standings {
    seen: Vec<Seen>,
}

impl Standings {
    /// Looks at all services, sorted by name, and returns what has changed since the last look.
    pub fn look(&mut self, services: &[ServiceTable], now: Time) -> Vec<Change> {
        let rows = services.iter().flat_map(|s| s.rows().iter().map(move |r| (s, r)));
        let seen: Vec<Seen> = rows
            .map(|(service, row)| Seen {
                service: service.cfg().name.clone(),
                id: row.id,
                upstream: row.name.clone(),
                standing: Standing::of(row, now),
            })
            .collect();
        let last = std::mem::replace(&mut self.seen, seen);
        let mut out = Vec::new();
        for new in &self.seen {
            let old = find(&last, new).map(|old| old.standing);
            if old.is_none() {
                out.push(new.change(EventCode::UpstreamJoined));
            }
            if new.standing != old.unwrap_or(Standing::Live) {
                out.push(new.change(new.standing.code()));
            }
        }
        let gone = last.iter().filter(|old| find(&self.seen, old).is_none());
        out.extend(gone.map(|old| old.change(EventCode::UpstreamGone)));
        out
    }
}

fn find<'a>(seen: &'a [Seen], wanted: &Seen) -> Option<&'a Seen> {
    seen.binary_search_by(|s| s.key().cmp(&wanted.key())).ok().map(|i| &seen[i])
}
