//! What changed about upstreams between two ticks, for those who watch a host.

use std::sync::Arc;

use crate::decide::service::ServiceTable;
use crate::decide::upstream::{Row, State, UpstreamId};
use crate::time::Time;

/// Whether an upstream gets work, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It gets work.
    Open,
    /// It failed where others did not and gets none for a time.
    Ejected,
    /// It is leaving.
    Leaving,
    /// Its row is gone.
    Gone,
}

/// A change of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The service.
    pub service: Arc<str>,
    /// The upstream.
    pub upstream: Arc<str>,
    /// How it stood before; nothing if it is new.
    pub before: Option<Standing>,
    /// How it stands now.
    pub now: Standing,
}

/// How an upstream stood at the last look.
#[derive(Clone, Debug)]
struct Seen {
    service: Arc<str>,
    id: UpstreamId,
    upstream: Arc<str>,
    standing: Standing,
    present: bool,
}

impl Seen {
    fn key(&self) -> (&str, UpstreamId) {
        (&self.service, self.id)
    }
}

/// How upstreams stood at the last look, sorted by service and identity.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    seen: Vec<Seen>,
}

impl Changes {
    /// Looks at the tables, and returns what has changed since the last look.
    pub fn look(&mut self, tables: &[ServiceTable], now: Time) -> Vec<Change> {
        let mut out = Vec::new();
        self.seen.iter_mut().for_each(|s| s.present = false);
        for table in tables {
            let service = &table.cfg().name;
            table.rows().iter().for_each(|row| out.extend(self.see(service, row, now)));
        }
        out.extend(self.seen.iter().filter(|s| !s.present).map(gone));
        self.seen.retain(|s| s.present);
        out
    }

    fn see(&mut self, service: &Arc<str>, row: &Row, now: Time) -> Option<Change> {
        let standing = standing(row, now);
        let upstream = &row.name;
        let change = |before| Change {
            service: service.clone(),
            upstream: upstream.clone(),
            before,
            now: standing,
        };
        match self.seen.binary_search_by(|s| s.key().cmp(&(service, row.id))) {
            Err(at) => {
                let (service, id, upstream) = (service.clone(), row.id, upstream.clone());
                self.seen.insert(at, Seen { service, id, upstream, standing, present: true });
                Some(change(None))
            }
            Ok(at) => {
                let seen = &mut self.seen[at];
                seen.present = true;
                let before = std::mem::replace(&mut seen.standing, standing);
                (before != standing).then(|| change(Some(before)))
            }
        }
    }
}

fn standing(row: &Row, now: Time) -> Standing {
    match row.state {
        State::Leaving => Standing::Leaving,
        State::Live if row.health.ejected(now) => Standing::Ejected,
        State::Live => Standing::Open,
    }
}

fn gone(seen: &Seen) -> Change {
    Change {
        service: seen.service.clone(),
        upstream: seen.upstream.clone(),
        before: Some(seen.standing),
        now: Standing::Gone,
    }
}
