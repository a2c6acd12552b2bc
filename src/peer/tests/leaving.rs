//! Reports of peers that an upstream is leaving.

use super::*;
use crate::decide::upstream::UpstreamSummary;
use crate::peer::local::LocalState;

/// A host that has heard from a neighbour that the only upstream of a service is leaving.
struct Informed {
    local: LocalState,
    neighbour: Arc<str>,
    service: Arc<str>,
    start: Time,
}

impl Informed {
    fn new() -> Informed {
        let (_, address) = bind();
        let local = LocalState::new(node("entry-0", address, &[]), address);
        let upstream = Upstream {
            name: "u".into(),
            address: "127.0.0.1:9".parse().unwrap(),
            data_centre: "dc".into(),
        };
        let service: Arc<str> = "s".into();
        let cfg =
            Service { name: service.clone(), upstreams: vec![upstream], ..Service::default() };
        let start = local.node.clock.now();
        local.node.tables.lock().put(Arc::new(cfg), start);
        let informed = Informed { local, neighbour: "entry-1".into(), service, start };
        informed.hear_of_neighbour(start);
        informed.report("entry-1", true);
        informed.local.record_exchange(&informed.neighbour, start);
        informed
    }

    fn at(&self, seconds: u64) -> Time {
        self.start + Duration::from_secs(seconds)
    }

    /// Records a heartbeat of the neighbour, as another host passes it on.
    fn hear_of_neighbour(&self, now: Time) {
        let process = Process {
            host: self.neighbour.clone(),
            data_centre: "dc".into(),
            address: "127.0.0.1:9".parse().unwrap(),
            incarnation: 1,
            link_mbps: 0,
        };
        let counter = now.as_micros() as u32;
        let heartbeat = Heartbeat { counter, at: now, left: false, dead: false };
        self.local.node.members.lock().record_heartbeat(&process, heartbeat, now);
    }

    fn report(&self, host: &str, leaving: bool) {
        let summary = UpstreamSummary {
            service: self.service.clone(),
            upstream: "u".into(),
            in_flight: 0,
            load: None,
            leaving,
        };
        let node = &self.local.node;
        node.import_shared(&mut node.tables.lock(), host, &summary, self.start);
    }

    fn state(&self) -> State {
        self.local.node.tables.lock().service(&self.service).unwrap().rows()[0].state
    }
}

#[test]
fn a_leaving_report_ends_some_seconds_after_the_last_digest_of_its_host() {
    let host = Informed::new();
    for seconds in 1..=20 {
        host.hear_of_neighbour(host.at(seconds));
        host.local.withdraw_lost_reports(host.start, host.at(seconds));
        let expected = if seconds < 5 { State::Leaving } else { State::Live };
        assert_eq!(host.state(), expected, "after {seconds} s");
    }
}

#[test]
fn a_leaving_report_lasts_while_digests_of_its_host_come() {
    let host = Informed::new();
    for seconds in 1..=20 {
        host.hear_of_neighbour(host.at(seconds));
        host.local.record_exchange(&host.neighbour, host.at(seconds));
        host.local.withdraw_lost_reports(host.start, host.at(seconds));
        assert_eq!(host.state(), State::Leaving, "after {seconds} s");
    }
    host.report("entry-1", false);
    assert_eq!(host.state(), State::Live);
}

#[test]
fn a_leaving_report_of_a_silent_host_lasts() {
    let host = Informed::new();
    for seconds in 1..=20 {
        host.local.withdraw_lost_reports(host.start, host.at(seconds));
        assert_eq!(host.state(), State::Leaving, "after {seconds} s");
    }
}

#[test]
fn a_leaving_report_lasts_for_some_seconds_after_a_pause() {
    let host = Informed::new();
    let resumed = host.at(30);
    for (seconds, expected) in [(31, State::Leaving), (34, State::Leaving), (35, State::Live)] {
        host.hear_of_neighbour(host.at(seconds));
        host.local.withdraw_lost_reports(resumed, host.at(seconds));
        assert_eq!(host.state(), expected, "after {seconds} s");
    }
}

#[test]
fn a_known_drain_does_not_end_with_the_report_of_a_neighbour() {
    let host = Informed::new();
    let other: Arc<str> = "entry-2".into();
    host.report(&other, true);
    // The host keeps what a dead neighbour had seen as if it had seen it itself.
    host.local.node.forget_peer(&mut host.local.node.tables.lock(), &other);
    for seconds in 1..=20 {
        host.hear_of_neighbour(host.at(seconds));
        host.local.withdraw_lost_reports(host.start, host.at(seconds));
        assert_eq!(host.state(), State::Leaving, "after {seconds} s");
    }
}
