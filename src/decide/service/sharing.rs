//! What hosts tell each other about a service's upstreams.

use std::sync::Arc;
use std::time::Duration;

use super::ServiceTable;
use crate::decide::load::Word;
use crate::decide::upstream::{Row, UpstreamSummary};
use crate::time::Time;

impl ServiceTable {
    /// Returns what other hosts should know: nothing where upstreams tell their occupancy, which is
    /// asked for before each request.
    pub fn export(&self, now: Time) -> Vec<UpstreamSummary> {
        if self.is_timed() {
            return Vec::new();
        }
        let shared = |r: &Row| UpstreamSummary {
            service: self.cfg.name.clone(),
            upstream: r.name.clone(),
            in_flight: r.in_flight,
            load: r.load.map(|l| (l.value, now.since(l.at))),
            leaving: r.leaving_first_hand(),
        };
        self.rows.iter().map(shared).collect()
    }

    /// Returns the names of the upstreams that this host has itself seen to be leaving.
    pub fn observed_leaving(&self) -> impl Iterator<Item = &Arc<str>> {
        self.rows.iter().filter(|r| r.leaving_first_hand()).map(|r| &r.name)
    }

    /// Takes note of what another host knows.
    pub fn import(&mut self, host: &str, shared: &UpstreamSummary, now: Time) {
        let named = |r: &&mut Row| r.named && r.name == shared.upstream;
        let Some(row) = self.rows.iter_mut().find(named) else { return };
        let word = Word {
            host: host.into(),
            in_flight: shared.in_flight,
            leaving: shared.leaving,
            at: now,
        };
        row.said(word, now);
        row.refresh(&mut self.changes);
        if let (None, Some(said)) = (row.reading, row.said) {
            self.baseline.read(said.value);
        }
        let Some((value, age)) = shared.load else { return };
        let at = before(now, age);
        if row.load.is_none_or(|l| l.at < at) {
            row.read(value, row.in_flight, at);
        }
    }

    /// Forgets what a host that died or left had shared.
    pub fn forget_peer(&mut self, host: &str) {
        for row in &mut self.rows {
            row.forget(host);
            row.refresh(&mut self.changes);
        }
        self.capacity.invalidate();
    }
}

fn before(now: Time, age: Duration) -> Time {
    let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
    Time::from_micros(now.as_micros().saturating_sub(age))
}
