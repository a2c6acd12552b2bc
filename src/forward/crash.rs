//! Tells upstreams that have ended under a request from those that only lost a connection.

use std::sync::Arc;
use std::time::Duration;

use crate::config::Service;
use crate::decide::admission::Target;
use crate::decide::poison::{
    BlockDecision, Fingerprint, Fingerprints, RequestEvent, RequestReport, crash_hash,
};
use crate::event::{EventCode, Subject};
use crate::forward::connection::{ConnectError, Connection};
use crate::node::Node;
use crate::time::Time;

/// How long after the loss of a connection its upstream is checked. A process that ends closes its
/// connections before its listener, or after it.
const CHECK_DELAY: Duration = Duration::from_millis(20);

/// A request whose connection was lost, and the upstream that may have ended under it.
#[derive(Debug)]
pub(crate) struct Crash {
    pub(crate) service: Arc<Service>,
    pub(crate) target: Target,
    pub(crate) request_id: Arc<str>,
    pub(crate) fingerprints: Fingerprints,
    pub(crate) sent: Time,
    /// When the connection was lost.
    pub(crate) lost: Time,
}

/// Opens a connection to the upstream. If it accepts none, it has ended under the request.
pub(crate) async fn check(node: Arc<Node>, crash: Crash) {
    tokio::time::sleep(CHECK_DELAY).await;
    let address = crash.target.address;
    // Without a free permit, other connections to the upstream are open, so it runs.
    let Some(permit) = node.pool.reserve(address, node.connections_max(&crash.service)) else {
        return;
    };
    let limit = Duration::from_millis(node.settings.limits.connect_timeout_ms);
    let until = node.clock.instant(node.clock.now() + limit);
    match Connection::open(address, node.clock, until, permit).await {
        Ok(conn) => node.pool.put(address, conn, node.clock.now()),
        Err(ConnectError::Failed) => record(&node, &crash),
        Err(ConnectError::Full | ConnectError::TooLate) => {}
    }
}

fn record(node: &Node, crash: &Crash) {
    let subject = Subject {
        request: Some(crash.request_id.clone()),
        fingerprint: Some(crash.fingerprints.exact.to_string().into()),
        service: Some(crash.service.name.clone()),
        upstream: Some(crash.target.name.clone()),
        ..Subject::default()
    };
    node.events.record(EventCode::UpstreamCrashed, subject, None);
    // Callers may send several copies under one id.
    let (host, id, sent) = (&node.settings.host, &crash.request_id, crash.sent.as_micros());
    let copy = format!("{host}/{sent}/{id}");
    let hash = crash_hash(&crash.service.name, &crash.target.name, &copy);
    let event = RequestEvent::UpstreamCrashed(hash);
    let (sent, at) = (crash.sent, crash.lost);
    for fingerprint in crash.fingerprints.iter() {
        node.record_request_report(&RequestReport { fingerprint, event, sent, at });
    }
}

impl Node {
    /// Records a report on a request under which upstreams have ended, of this host or a peer.
    pub(crate) fn record_request_report(&self, report: &RequestReport) {
        let now = self.clock.now();
        let fingerprint = report.fingerprint;
        let (is_news, was_blocked, is_blocked) = {
            let mut suspects = self.poison_requests.lock();
            let was_blocked = suspects.is_blocked(fingerprint, now);
            let is_news = suspects.record(report, now);
            (is_news, was_blocked, suspects.is_blocked(fingerprint, now))
        };
        if is_news {
            self.change_feed.notify();
        }
        if was_blocked != is_blocked {
            // Peers may see the order of what they are told differently.
            if is_blocked && report.event != RequestEvent::Blocked {
                let event = RequestEvent::Blocked;
                self.record_request_report(&RequestReport { event, sent: now, at: now, ..*report });
            }
            let code = match is_blocked {
                true => EventCode::RequestBlocked,
                false => EventCode::RequestUnblocked,
            };
            let fingerprint = Some(fingerprint.to_string().into());
            self.events.record(code, Subject { fingerprint, ..Subject::default() }, None);
        }
    }

    /// Records that an upstream has answered a request. This matters only for suspects.
    pub(crate) fn record_answer(&self, fingerprints: Fingerprints) {
        for fingerprint in fingerprints.iter() {
            if self.poison_requests.lock().contains(fingerprint) {
                let at = self.clock.now();
                self.record_request_report(&RequestReport {
                    fingerprint,
                    event: RequestEvent::Answered,
                    sent: at,
                    at,
                });
            }
        }
    }

    /// Decides whether a request that has come may be sent to an upstream.
    pub(crate) fn decide_block(&self, fingerprints: Fingerprints) -> BlockDecision {
        let now = self.clock.now();
        let duty = || format!("trial/{}", fingerprints.any_query);
        let may_have_peers = self.is_looking_for_peers(now);
        let is_owner = || self.members.lock().is_only_owner(&duty(), may_have_peers, now);
        self.poison_requests.lock().decide(fingerprints, now, is_owner)
    }

    /// Returns the fingerprint under which a request is blocked, on trial or not, if it is.
    pub(crate) fn blocking(&self, fingerprints: Fingerprints) -> Option<Fingerprint> {
        self.poison_requests.lock().blocking(fingerprints, self.clock.now())
    }
}
