//! Observations of upstreams that are cold, and the count of requests to them.

use std::time::Duration;

use crate::decide::admission::Target;
use crate::decide::digest::UpstreamName;
use crate::decide::service::ServiceTable;
use crate::decide::upstream::UpstreamId;
use crate::node::Node;
use crate::time::Time;

impl Node {
    /// Records how long an upstream stays cold according to its response to a probe that was sent at
    /// `sent`, and tells the peers if this is news.
    pub(crate) fn observe_warm_up(
        &self,
        service: &str,
        target: &Target,
        remaining: Duration,
        sent: Time,
    ) {
        self.update_warm_up(service, |table, now| {
            table.observe_warm_up(target.id, remaining, sent, now)
        });
    }

    /// Records how long an upstream stays cold according to its registration, which was read at `now`.
    pub(crate) fn observe_registered_warm_up(
        &self,
        service: &str,
        upstream: &str,
        remaining: Duration,
        now: Time,
    ) {
        self.update_warm_up(service, |table, _| {
            table.observe_registered_warm_up(upstream, remaining, now)
        });
    }

    /// Records how long an upstream stays cold according to a peer.
    pub(crate) fn import_warm_up(&self, name: &UpstreamName, remaining: Duration) {
        self.update_warm_up(&name.service, |table, now| {
            table.import_warm_up(&name.name, remaining, now)
        });
    }

    /// Applies an observation that returns whether an upstream has become cold, and tells the peers if
    /// so.
    fn update_warm_up(&self, service: &str, observe: impl FnOnce(&mut ServiceTable, Time) -> bool) {
        let now = self.clock.now();
        if self.tables.lock().service(service).is_some_and(|t| observe(t, now)) {
            self.change_feed.notify();
        }
    }

    /// Counts a request that is sent to an upstream if that is cold.
    pub(crate) fn count_if_cold(&self, service: &str, id: UpstreamId) {
        let now = self.clock.now();
        if self.tables.lock().service(service).is_some_and(|t| t.is_cold(id, now)) {
            self.metrics.count_warm_up(service, true);
        }
    }
}
