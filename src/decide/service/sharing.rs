//! Exchange of upstream load and state with peers.

use std::sync::Arc;
use std::time::Duration;

use super::ServiceTable;
use crate::decide::load::PeerReport;
use crate::decide::upstream::{Row, UpstreamSummary};
use crate::time::Time;

impl ServiceTable {
    /// Returns the summaries to send to peers. There are none where upstreams report their
    /// occupancy, as each host requests these reports itself before it sends a request.
    pub fn export(&self, now: Time) -> Vec<UpstreamSummary> {
        if self.uses_occupancy() {
            return Vec::new();
        }
        let summary = |r: &Row| UpstreamSummary {
            service: self.cfg.name.clone(),
            upstream: r.name.clone(),
            in_flight: r.in_flight,
            load: r.load.map(|l| (l.value, now.since(l.at))),
            leaving: r.is_leaving_first_hand(),
        };
        self.rows.iter().map(summary).collect()
    }

    /// Returns the names of the upstreams that this host itself observes to be leaving.
    pub fn observed_leaving(&self) -> impl Iterator<Item = &Arc<str>> {
        // What the registry says of upstreams reaches all hosts as records.
        let is_news =
            |r: &&Row| r.drain.is_set() || !self.uses_occupancy() && r.is_leaving_first_hand();
        self.rows.iter().filter(is_news).map(|r| &r.name)
    }

    /// Returns the upstreams that a peer has reported as leaving, each with that peer. Those that have
    /// signalled their drain are left out, as they leave whatever the peer says.
    pub fn leaving_reports(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<str>)> {
        let undecided = self.rows.iter().filter(|r| !r.drain.is_set());
        undecided.flat_map(|r| {
            r.peer_reports.iter().filter(|p| p.leaving).map(move |p| (&p.host, &r.name))
        })
    }

    /// Records a peer's summary of an upstream. Upstreams that are not configured are ignored.
    pub fn import(&mut self, peer: &str, summary: &UpstreamSummary, now: Time) {
        let is_match = |r: &&mut Row| r.configured && r.name == summary.upstream;
        let Some(row) = self.rows.iter_mut().find(is_match) else { return };
        let report = PeerReport {
            host: peer.into(),
            in_flight: summary.in_flight,
            leaving: summary.leaving,
            at: now,
        };
        row.record_peer_report(report, now);
        row.update_state(&mut self.changes);
        // Before the upstream has reported a load itself, the peers' reports are the only figure.
        if let (None, Some(reported)) = (row.measured_peer_load, row.reported_peer_load) {
            self.baseline.observe_peer_load(reported.value);
        }
        let Some((value, age)) = summary.load else { return };
        let at = before(now, age);
        if row.load.is_none_or(|l| l.at < at) {
            row.record_load(value, row.in_flight, at);
        }
    }

    /// Forgets the reports of a peer that died.
    pub fn forget_peer(&mut self, peer: &str) {
        for row in &mut self.rows {
            row.forget_peer(peer);
            row.update_state(&mut self.changes);
        }
        self.capacity.invalidate();
    }
}

fn before(now: Time, age: Duration) -> Time {
    let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
    Time::from_micros(now.as_micros().saturating_sub(age))
}
