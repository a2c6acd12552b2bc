//! Upstreams of a service that are cold or may be.

use std::sync::Arc;
use std::time::Duration;

use super::{QUIET_AFTER, ServiceTable};
use crate::decide::upstream::{self, Row, UpstreamChange, UpstreamId};
use crate::decide::warmup::{Division, WarmUpChange};
use crate::event::EventCode;
use crate::time::Time;

/// Time between two updates of which cold upstreams this host may send to.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which an upstream in doubt is probed again.
const DOUBT_PROBE_INTERVAL: Duration = Duration::from_millis(250);

impl ServiceTable {
    /// Returns whether the service's upstreams are to be warmed up.
    pub(crate) fn has_warm_up(&self) -> bool {
        self.cfg.warm_up_per_second > 0.0
    }

    /// Records how long an upstream stays cold according to its response to a probe that was sent at
    /// `sent`: zero if it is warm. An unknown `id` is ignored. Returns whether it has become cold.
    pub fn observe_warm_up(
        &mut self,
        id: UpstreamId,
        remaining: Duration,
        sent: Time,
        now: Time,
    ) -> bool {
        if !self.has_warm_up() {
            return false;
        }
        let Some(row) = upstream::find_mut(&mut self.rows, id) else { return false };
        row.warm_up.observe_response(remaining, sent, now);
        record_change(row, &mut self.changes, now)
    }

    /// Records how long an upstream stays cold according to its registration, which was read at `now`.
    /// An unknown name is ignored. Returns whether it has become cold.
    pub fn observe_registered_warm_up(
        &mut self,
        name: &str,
        remaining: Duration,
        now: Time,
    ) -> bool {
        self.observe_by_name(name, now, |row| row.warm_up.observe_registration(remaining, now))
    }

    /// Records how long an upstream stays cold according to a peer. An unknown name is ignored. Returns
    /// whether it has become cold.
    pub fn import_warm_up(&mut self, name: &str, remaining: Duration, now: Time) -> bool {
        self.observe_by_name(name, now, |row| {
            row.warm_up.observe_relayed(remaining, now);
        })
    }

    /// Returns what to tell peers of cold upstreams: the name of each, and how long it stays cold.
    pub fn cold_upstreams(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, Duration)> {
        let is_told = self.has_warm_up();
        let told = self.rows.iter().filter(move |r| is_told && r.configured);
        told.filter_map(move |r| Some((&r.name, r.warm_up.remaining(now)?)))
    }

    /// Takes the upstreams of a data centre for cold, each until a response to a later probe says
    /// otherwise, since they may have become cold while they got no requests.
    pub fn distrust_warmth(&mut self, data_centre: &str, now: Time) {
        self.doubt_warmth(now, true, |row| *row.data_centre == *data_centre);
    }

    /// Takes upstreams for cold until they prove otherwise. Without probes they never could, so nothing
    /// is done then.
    pub(super) fn doubt_warmth(
        &mut self,
        now: Time,
        needs_response: bool,
        is_doubted: impl Fn(&Row) -> bool,
    ) {
        let measure = &self.cfg.measure;
        let has_probes = measure.probes_per_second + measure.probes_per_upstream > 0.0;
        if !self.has_warm_up() || measure.path.is_empty() || !has_probes {
            return;
        }
        for row in self.rows.iter_mut().filter(|r| is_doubted(r)) {
            row.warm_up.doubt(needs_response, now);
        }
    }

    /// Updates which of the cold upstreams this host may send to, and records which have become warm.
    /// `is_owner` returns whether it is one of a number of hosts that may send to an upstream, out of
    /// `hosts` known ones, this one included.
    pub fn update_warm_up(
        &mut self,
        hosts: usize,
        now: Time,
        is_owner: impl Fn(&str, usize) -> bool,
    ) {
        if !self.has_warm_up() || now < self.next_warm_up_update_at {
            return;
        }
        self.next_warm_up_update_at = now + UPDATE_INTERVAL;
        let division = Division::new(self.cfg.warm_up_per_second, hosts);
        for row in &mut self.rows {
            let is_owned = row.warm_up.is_cold(now) && is_owner(&row.name, division.owners);
            row.warm_up.set_owned(is_owned, division, now);
            record_change(row, &mut self.changes, now);
        }
    }

    /// Returns whether an upstream is taken for cold.
    pub fn is_cold(&self, id: UpstreamId, now: Time) -> bool {
        self.has_warm_up() && upstream::find(&self.rows, id).is_some_and(|r| r.warm_up.is_cold(now))
    }

    /// Returns the number of live upstreams that are taken for cold.
    pub fn cold_count(&self, now: Time) -> usize {
        let is_cold = |r: &&Row| r.takes_requests() && r.warm_up.is_cold(now);
        if self.has_warm_up() { self.rows.iter().filter(is_cold).count() } else { 0 }
    }

    /// Returns whether warm-up keeps this host from sending a request to any upstream.
    pub(crate) fn is_held_by_warm_up(&self, now: Time) -> bool {
        let mut live = self.rows.iter().filter(|r| r.takes_requests()).peekable();
        self.has_warm_up() && live.peek().is_some() && live.all(|r| r.warm_up.is_closed(now))
    }

    /// Returns the upstream in doubt to probe next, if there is one: of those that this host may send
    /// to, or of all if it doesn't probe those that a request would go to, the one that was probed
    /// least recently.
    pub(super) fn doubtful_upstream(&self, now: Time) -> Option<&Row> {
        let is_asked = |r: &&Row| {
            r.warm_up.is_doubtful()
                && r.takes_requests()
                && !r.health.is_ejected(now)
                && r.is_askable(now)
                && (r.warm_up.is_owned() || !self.cfg.probe_before_send)
                && now.since(r.last_probe) >= DOUBT_PROBE_INTERVAL
        };
        let doubtful = self.rows.iter().filter(is_asked);
        if self.has_warm_up() { doubtful.min_by_key(|r| r.last_probe) } else { None }
    }

    /// Returns whether an upstream in doubt is to be probed, as requests may need it.
    pub(super) fn is_doubt_due(&self, now: Time) -> bool {
        let is_used = self.last_request.is_some_and(|at| now.since(at) < QUIET_AFTER);
        is_used && self.doubtful_upstream(now).is_some()
    }

    fn observe_by_name(&mut self, name: &str, now: Time, observe: impl FnOnce(&mut Row)) -> bool {
        if !self.has_warm_up() {
            return false;
        }
        let Some(row) = self.rows.iter_mut().find(|r| r.configured && *r.name == *name) else {
            return false;
        };
        observe(row);
        record_change(row, &mut self.changes, now)
    }
}

/// Records that an upstream has become cold or warm. Returns whether it has become cold.
fn record_change(row: &mut Row, changes: &mut Vec<UpstreamChange>, now: Time) -> bool {
    let Some(change) = row.warm_up.take_change(now) else { return false };
    changes.push(row.change(match change {
        WarmUpChange::Cold => EventCode::UpstreamCold,
        WarmUpChange::Warm => EventCode::UpstreamWarm,
    }));
    change == WarmUpChange::Cold
}
