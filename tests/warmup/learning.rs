//! How a host learns that an upstream is cold or warm, and what it sends to it.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use cornelferry::Time;
use cornelferry::admission::{Admission, Refusal, Request, Target};
use cornelferry::balancing::Policy;
use cornelferry::config::{LoadFormat, Priority, ProbeConfig, Service, Upstream};
use cornelferry::digest::{DeltaDecoder, DeltaEncoder, Digest, UpstreamName};
use cornelferry::event::EventCode;
use cornelferry::service::{HostInfo, NextAttempt, ServiceTable};
use cornelferry::tick::ServiceTables;
use cornelferry::upstream::{AttemptReport, Occupancy, UpstreamId, UpstreamOutcome};
use cornelferry::warmup::{WarmUp, WarmUpChange};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::harness;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const FORMATS: [LoadFormat; 2] = [LoadFormat::Occupancy, LoadFormat::InFlight];
/// The warm-up of an upstream that has just started.
const WARM_UP: Duration = ms(10_000);
/// How much longer an upstream is taken for cold than it says.
const ROUNDING: Duration = ms(100);

struct Fixture {
    table: ServiceTable,
    rng: SmallRng,
    now: Time,
}

fn upstream(i: u16) -> Upstream {
    Upstream {
        name: format!("u-{i}").into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000 + i)),
        data_centre: if i.is_multiple_of(2) { "a".into() } else { "b".into() },
    }
}

fn service(upstreams: u16, per_second: f64, format: LoadFormat) -> Arc<Service> {
    Arc::new(Service {
        name: "s".into(),
        upstreams: (0..upstreams).map(upstream).collect(),
        load_format: format,
        probe_before_send: format == LoadFormat::Occupancy,
        retry_share: 1.0,
        retry_slack: 1_000.0,
        warm_up_per_second: per_second,
        measure: ProbeConfig { probes_per_upstream: 60.0, ..ProbeConfig::default() },
        ..Service::default()
    })
}

fn host_info() -> HostInfo {
    HostInfo {
        host: "entry-1".into(),
        data_centre: "a".into(),
        fleet_size_max: 1,
        policy: Policy::default(),
        waiting_max: 1_000,
    }
}

impl Fixture {
    /// Creates the table of a service whose upstreams all have said that they are warm.
    fn new(upstreams: u16, per_second: f64, format: LoadFormat) -> Fixture {
        let now = Time::from_millis(60_000);
        let table = ServiceTable::new(service(upstreams, per_second, format), host_info(), now);
        let mut fixture = Fixture { table, rng: SmallRng::seed_from_u64(3), now };
        (0..upstreams).for_each(|i| {
            fixture.table.observe_registered_warm_up(&format!("u-{i}"), Duration::ZERO, now);
        });
        fixture
    }

    fn is_cold(&self, index: u32) -> bool {
        self.table.is_cold(UpstreamId::from(index), self.now)
    }

    /// Records a response to a probe that was sent 5 ms ago.
    fn probe(&mut self, index: u32, remaining: Duration) {
        let id = UpstreamId::from(index);
        self.table.observe_warm_up(id, remaining, self.now.before(ms(5)), self.now);
    }

    fn advance(&mut self, by: Duration) {
        self.now = self.now + by;
        self.report_free();
    }

    fn report_free(&mut self) {
        for id in self.table.rows().iter().map(|r| r.id).collect::<Vec<_>>() {
            let occupancy = Occupancy { running: 0, waiting: 0, slots: 100, slowdown: 1.0 };
            self.table.update_occupancy(id, &occupancy, self.now);
        }
    }

    /// Updates what this host may send, as the only one.
    fn update(&mut self) {
        self.table.update_warm_up(1, self.now, |_, _| true);
    }

    fn request(&self) -> Request {
        Request::new(Priority::Normal, self.now + ms(700), self.now)
    }

    fn admit(&mut self) -> Option<Target> {
        let req = self.request();
        match self.table.admit(&req, self.now, &mut self.rng) {
            Admission::Run(target) => Some(target),
            Admission::Wait(ticket) => {
                self.table.abandon_request(ticket);
                None
            }
            Admission::Refuse(_) => None,
        }
    }

    fn again(&mut self, reason: NextAttempt, tried: &[UpstreamId]) -> Option<Target> {
        let req = self.request();
        self.table.next_attempt_for(&req, reason, tried, self.now, &mut self.rng)
    }

    fn finish(&mut self, target: &Target) {
        let report = AttemptReport {
            outcome: UpstreamOutcome::Answered,
            latency: ms(1),
            load: None,
            draining: false,
        };
        self.table.finish_attempt(target.id, &report, self.now);
    }

    fn changes(&mut self, code: EventCode) -> usize {
        self.table.take_changes().iter().filter(|c| c.code == code).count()
    }
}

#[test]
fn each_source_makes_an_upstream_cold_and_time_makes_it_warm() {
    let sources: [fn(&mut Fixture) -> bool; 3] = [
        |f| f.table.observe_warm_up(UpstreamId::from(0), WARM_UP, f.now, f.now),
        |f| f.table.observe_registered_warm_up("u-0", WARM_UP, f.now),
        |f| f.table.import_warm_up("u-0", WARM_UP, f.now),
    ];
    for (i, learn) in sources.iter().enumerate() {
        let mut f = Fixture::new(2, 4.0, LoadFormat::Occupancy);
        assert!(!f.is_cold(0), "source {i}");
        assert!(learn(&mut f) && !learn(&mut f), "source {i}: it is news once");
        assert!(f.is_cold(0) && !f.is_cold(1), "source {i}");
        assert_eq!(f.changes(EventCode::UpstreamCold), 1, "source {i}");
        f.now = f.now + (WARM_UP - ms(1));
        assert!(f.is_cold(0), "source {i}");
        f.now = f.now + ms(1_001);
        assert!(!f.is_cold(0), "source {i}");
        f.update();
        assert_eq!(f.changes(EventCode::UpstreamWarm), 1, "source {i}");
    }
}

#[test]
fn the_worst_source_counts_until_a_later_response() {
    let at = Time::from_millis;
    let mut warm_up = WarmUp::default();
    warm_up.observe_registration(ms(9_000), at(1_000));
    warm_up.observe_registration(Duration::ZERO, at(2_000));
    assert!(warm_up.is_cold(at(10_099)) && !warm_up.is_cold(at(10_100)));
    // Sent before the registration was read.
    warm_up.observe_response(Duration::ZERO, at(900), at(2_100));
    assert!(warm_up.is_cold(at(9_999)));
    warm_up.observe_response(ms(3_000), at(2_200), at(2_210));
    assert!(warm_up.is_cold(at(5_309)) && !warm_up.is_cold(at(5_310)));
    warm_up.observe_response(Duration::ZERO, at(2_300), at(2_310));
    assert!(!warm_up.is_cold(at(2_310)));
    // It may become cold again at any moment.
    warm_up.observe_response(ms(3_000), at(7_000), at(7_010));
    assert!(warm_up.is_cold(at(7_011)));
    assert_eq!(warm_up.take_change(at(7_011)), Some(WarmUpChange::Cold));
    assert_eq!(warm_up.take_change(at(7_012)), None);
    assert_eq!(warm_up.take_change(at(10_110)), Some(WarmUpChange::Warm));
}

/// Guards against a warm-up that never ends, as hosts keep telling each other of it.
#[test]
fn what_peers_tell_each_other_does_not_prolong_a_warm_up() {
    let mut hosts = [WarmUp::default(), WarmUp::default(), WarmUp::default()];
    let start = Time::from_millis(1_000);
    hosts[0].observe_response(WARM_UP, start, start);
    let delay = ms(300);
    let mut now = start;
    for step in 0..200 {
        let (teller, hearer) = (step % 3, (step + 1) % 3);
        let remaining = hosts[teller].remaining(now);
        now = now + delay;
        if let Some(remaining) = remaining {
            hosts[hearer].observe_relayed(remaining, now);
        }
    }
    let (last, end) = (start + (WARM_UP - ms(1)), start + WARM_UP + ms(2_000));
    assert!(hosts.iter().all(|h| h.is_cold(last) && !h.is_cold(end)));
}

#[test]
fn an_upstream_that_joins_returns_or_restarts_counts_as_cold_until_it_is_heard() {
    for format in FORMATS {
        let cfg = service(2, 4.0, format);
        let more = service(3, 4.0, format);
        let mut f = Fixture::new(2, 4.0, format);
        f.table.set_upstreams(&more.upstreams, f.now);
        assert!(f.is_cold(2) && !f.is_cold(0), "{format:?}: joined");
        f.probe(2, Duration::ZERO);
        assert!(f.is_cold(2), "{format:?}: the probe was sent before");
        f.now = f.now + ms(5);
        f.probe(2, Duration::ZERO);
        assert!(!f.is_cold(2), "{format:?}: heard");

        f.table.restart("u-2", f.now);
        assert!(f.is_cold(2), "{format:?}: restarted");
        f.table.observe_registered_warm_up("u-2", Duration::ZERO, f.now);
        assert!(!f.is_cold(2), "{format:?}: registered");
        f.table.restart("u-2", f.now);
        f.table.observe_registered_warm_up("u-2", WARM_UP, f.now);
        assert!(f.is_cold(2), "{format:?}: registered as cold");
        f.now = f.now + WARM_UP + ROUNDING;
        assert!(!f.is_cold(2), "{format:?}: warmed up");

        f.table.set_upstreams(&cfg.upstreams, f.now);
        f.table.set_upstreams(&more.upstreams, f.now);
        let returned = f.table.rows().last().expect("row");
        assert!(f.table.is_cold(returned.id, f.now), "{format:?}: returned");
    }
}

#[test]
fn an_upstream_without_a_connection_counts_as_cold_until_it_responds() {
    let mut f = Fixture::new(2, 4.0, LoadFormat::Occupancy);
    let report = AttemptReport {
        outcome: UpstreamOutcome::ConnectFailed,
        latency: ms(1),
        load: None,
        draining: false,
    };
    f.table.finish_probe(UpstreamId::from(0), &report, f.now);
    assert!(f.is_cold(0) && !f.is_cold(1));
    f.table.observe_registered_warm_up("u-0", Duration::ZERO, f.now);
    assert!(f.is_cold(0), "the registration may be older");
    f.now = f.now + ms(10);
    f.probe(0, Duration::ZERO);
    assert!(!f.is_cold(0));
}

#[test]
fn an_upstream_that_is_distrusted_counts_as_cold_until_a_later_response() {
    let mut f = Fixture::new(4, 4.0, LoadFormat::Occupancy);
    f.table.distrust_warmth("b", f.now);
    assert_eq!(f.table.cold_count(f.now), 2);
    // Of a probe that was sent before, and of the registration.
    f.probe(1, Duration::ZERO);
    f.table.observe_registered_warm_up("u-1", Duration::ZERO, f.now);
    assert!(f.is_cold(1) && f.is_cold(3));
    f.now = f.now + ms(100);
    f.probe(1, Duration::ZERO);
    f.probe(3, WARM_UP);
    assert!(!f.is_cold(1) && f.is_cold(3));
    f.now = f.now + WARM_UP + ROUNDING;
    assert!(!f.is_cold(3));
}

#[test]
fn an_upstream_in_doubt_is_probed_first() {
    for format in FORMATS {
        let mut f = Fixture::new(40, 4.0, format);
        f.advance(ms(1_000));
        f.admit();
        f.table.distrust_warmth("b", f.now);
        f.update();
        let mut asked = Vec::new();
        for _ in 0..40 {
            f.advance(ms(60));
            asked.extend(f.table.probes(f.now, |_| false).into_iter().map(|t| t.id));
            for id in asked.clone() {
                f.table.observe_warm_up(id, Duration::ZERO, f.now, f.now);
            }
        }
        let in_b =
            |id: &UpstreamId| f.table.rows().iter().any(|r| r.id == *id && &*r.data_centre == "b");
        assert!(asked.iter().take(20).all(in_b), "{format:?}");
        assert_eq!(f.table.cold_count(f.now), 0, "{format:?}");
    }
}

#[test]
fn requests_probe_upstreams_in_doubt() {
    let mut f = Fixture::new(2, 4.0, LoadFormat::Occupancy);
    f.advance(ms(1_000));
    f.table.distrust_warmth("a", f.now);
    f.table.distrust_warmth("b", f.now);
    assert!(f.admit().is_none(), "this host owns no part");
    let targets = f.table.probe_candidates(f.now, &mut f.rng);
    assert_eq!(targets.len(), 2);
    f.advance(ms(10));
    f.probe(0, Duration::ZERO);
    assert!(f.admit().is_some_and(|t| &*t.name == "u-0"));
}

/// Sends as many requests, retries and hedges as upstreams take for some seconds, and returns when they
/// reached `u-0`.
fn send_all(f: &mut Fixture, time: Duration) -> Vec<Time> {
    let end = f.now + time;
    let mut arrivals = Vec::new();
    while f.now < end {
        f.advance(ms(10));
        f.update();
        let mut targets: Vec<Target> = f.admit().into_iter().collect();
        let tried: Vec<UpstreamId> = targets.iter().map(|t| t.id).collect();
        targets.extend(f.again(NextAttempt::Retry, &tried));
        let tried: Vec<UpstreamId> = targets.iter().map(|t| t.id).collect();
        if !tried.is_empty() {
            targets.extend(f.again(NextAttempt::Hedge, &tried));
        }
        arrivals.extend(targets.iter().filter(|t| &*t.name == "u-0").map(|_| f.now));
        targets.iter().for_each(|t| f.finish(t));
    }
    arrivals
}

fn most_in_a_second(arrivals: &[Time]) -> usize {
    let until = |i: usize| arrivals.partition_point(|at| *at < arrivals[i] + ms(1_000));
    (0..arrivals.len()).map(|i| until(i) - i).max().unwrap_or(0)
}

#[test]
fn requests_retries_and_hedges_all_count() {
    for format in FORMATS {
        let mut f = Fixture::new(2, 2.0, format);
        f.probe(0, WARM_UP);
        let arrivals = send_all(&mut f, ms(8_000));
        let most = most_in_a_second(&arrivals);
        assert!(most <= 4, "{format:?}: {most} in a second");
        assert!(arrivals.len() >= 8, "{format:?}: only {}", arrivals.len());
        f.probe(0, Duration::ZERO);
        assert!(send_all(&mut f, ms(1_000)).len() > 50, "{format:?}: it is warm");
    }
}

#[test]
fn a_host_that_is_no_owner_sends_nothing_and_says_when_the_warm_up_ends() {
    for format in FORMATS {
        let mut f = Fixture::new(2, 4.0, format);
        f.probe(0, ms(5_000));
        f.probe(1, ms(4_000));
        f.advance(ms(500));
        f.table.update_warm_up(141, f.now, |_, _| false);
        let req = f.request();
        let admission = f.table.admit(&req, f.now, &mut f.rng);
        let Admission::Refuse(refusal) = admission else { panic!("{format:?}: {admission:?}") };
        let Refusal { retry_after, .. } = refusal;
        assert!((ms(3_500)..ms(7_000)).contains(&retry_after), "{format:?}: {retry_after:?}");
        f.advance(ms(3_500) + ROUNDING);
        assert!(f.admit().is_some_and(|t| &*t.name == "u-1"), "{format:?}");
    }
}

#[test]
fn without_a_rate_nothing_changes() {
    for format in FORMATS {
        let mut f = Fixture::new(2, 0.0, format);
        f.probe(0, WARM_UP);
        f.table.observe_registered_warm_up("u-0", WARM_UP, f.now);
        f.table.import_warm_up("u-0", WARM_UP, f.now);
        f.table.distrust_warmth("a", f.now);
        f.table.restart("u-0", f.now);
        assert!(!f.is_cold(0), "{format:?}");
        assert_eq!(f.table.cold_upstreams(f.now).count(), 0, "{format:?}");
        assert_eq!(f.changes(EventCode::UpstreamCold), 0, "{format:?}");
        f.advance(ms(5_000));
        assert!(send_all(&mut f, ms(1_000)).len() > 50, "{format:?}");
    }
}

#[test]
fn a_rate_that_a_new_record_sets_or_takes_back_takes_effect() {
    let mut f = Fixture::new(2, 0.0, LoadFormat::Occupancy);
    f.table.reconfigure(service(2, 4.0, LoadFormat::Occupancy), f.now);
    assert!(f.is_cold(0) && f.is_cold(1));
    f.advance(ms(100));
    f.probe(0, Duration::ZERO);
    f.probe(1, WARM_UP);
    assert!(!f.is_cold(0) && f.is_cold(1));
    f.table.reconfigure(service(2, 0.0, LoadFormat::Occupancy), f.now);
    assert!(!f.is_cold(1));
    assert!(!f.table.rows().is_empty());
}

#[test]
fn without_probes_nothing_is_doubted() {
    let mut cfg = Service::clone(&service(1, 4.0, LoadFormat::InFlight));
    cfg.measure.path = String::new();
    let table = ServiceTable::new(Arc::new(cfg), host_info(), Time::from_millis(1));
    assert!(!table.is_cold(UpstreamId::from(0), Time::from_millis(1)));
}

#[test]
fn tables_distrust_a_data_centre_of_every_service() {
    let now = Time::from_millis(60_000);
    let mut tables = ServiceTables::new(host_info());
    tables.put(service(2, 4.0, LoadFormat::Occupancy), now);
    for id in [0, 1] {
        let table = tables.service("s").expect("table");
        table.observe_warm_up(UpstreamId::from(id), Duration::ZERO, now, now);
        assert!(!table.is_cold(UpstreamId::from(id), now));
    }
    tables.distrust_warmth("b", now);
    let table = tables.service("s").expect("table");
    assert!(!table.is_cold(UpstreamId::from(0), now) && table.is_cold(UpstreamId::from(1), now));
}

#[test]
fn peers_learn_of_a_cold_upstream_once() {
    let at = Time::from_millis;
    let name = UpstreamName { service: "s".into(), name: "u-0".into() };
    let sender = harness::process("entry-1");
    let (mut encoder, mut decoder) = (DeltaEncoder::default(), DeltaDecoder::default());
    let mut send = |remaining: Option<Duration>, now: Time| {
        let mut digest = Digest::default();
        encoder.add_sender(&sender, &mut digest);
        let cold: Vec<_> = remaining.map(|r| (name.clone(), r)).into_iter().collect();
        encoder.add_cold_upstreams(&cold, now, &mut digest);
        decoder.decode(&digest, now).expect("sender").cold
    };
    assert_eq!(send(Some(ms(5_000)), at(1_000)), [(name.clone(), ms(5_000))]);
    assert!(send(Some(ms(4_000)), at(2_000)).is_empty());
    assert!(send(Some(ms(3_900)), at(3_000)).is_empty(), "0.9 s more are no news");
    assert!(send(None, at(7_000)).is_empty());
    assert_eq!(send(Some(ms(5_000)), at(20_000)).len(), 1, "cold again");
}
