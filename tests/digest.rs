//! Digests as deltas: what one side tells over a connection is what the other side hears.

use std::sync::Arc;
use std::time::Duration;

use cornelferry::Time;
use cornelferry::digest::{
    DeltaDecoder, DeltaEncoder, Digest, RelayedHeartbeat, UpstreamLoad, UpstreamName,
};
use cornelferry::leaving::{LeavingObservations, OBSERVATION_AGE_MAX};
use cornelferry::member::{Heartbeat, Members, Process};
use cornelferry::upstream::UpstreamSummary;
use proptest::collection::vec;
use proptest::prelude::*;

fn process(host: &str, incarnation: u64) -> Process {
    let address = "127.0.0.1:1".parse().unwrap();
    Process { host: host.into(), data_centre: "dc".into(), address, incarnation }
}

fn shared(upstream: usize, in_flight: u32, leaving: bool) -> UpstreamSummary {
    let service: Arc<str> = format!("service-{}", upstream % 2).into();
    let upstream = format!("u{upstream}").into();
    UpstreamSummary { service, upstream, in_flight, load: None, leaving }
}

proptest! {
    #[test]
    fn the_other_side_ends_up_with_every_figure(
        rounds in vec((vec((0_u32..4, any::<bool>()), 6), 0_usize..4), 1..20)
    ) {
        let (mut out, mut incoming) = (DeltaEncoder::default(), DeltaDecoder::default());
        let mut view: Vec<Option<UpstreamSummary>> = vec![None; 6];
        let mut figures = Vec::new();
        let mut now = Time::ZERO;
        for (values, max) in rounds.into_iter().chain([(vec![(9, false); 6], 6)]) {
            now = now + Duration::from_millis(500);
            let figure = |(i, (n, leaving)): (usize, &(u32, bool))| shared(i, *n, *leaving);
            figures = values.iter().enumerate().map(figure).collect();
            let mut digest = Digest::default();
            out.introduce(&process("a", 1), &mut digest);
            out.share(&figures, now, max, &mut digest);
            prop_assert!(digest.loads.len() <= max);
            let taken = incoming.take(&digest, now).unwrap();
            prop_assert_eq!(&*taken.sender.host, "a");
            for s in taken.shared {
                let at = figures.iter().position(|f| f.upstream == s.upstream).unwrap();
                view[at] = Some(s);
            }
        }
        let expected: Vec<Option<UpstreamSummary>> = figures.into_iter().map(Some).collect();
        prop_assert_eq!(view, expected);
        let mut again = Digest::default();
        out.share(&expected_figures(), now, 6, &mut again);
        prop_assert!(again.loads.is_empty(), "unchanged figures are told once");
    }

    #[test]
    fn figures_on_what_was_never_named_are_left_out(
        beats in vec((any::<u16>(), any::<u32>()), 0..8),
        loads in vec((any::<u16>(), any::<u16>()), 0..8),
    ) {
        let mut digest = Digest { processes: vec![process("a", 1)], ..Digest::default() };
        digest.beats.extend(beats.iter().map(|(process, counter)| {
            RelayedHeartbeat { process: *process, counter: *counter, age: Duration::ZERO, left: false }
        }));
        digest.loads.extend(loads.iter().map(|(upstream, in_flight)| {
            UpstreamLoad { upstream: *upstream, in_flight: *in_flight, load: None, leaving: false }
        }));
        let taken = DeltaDecoder::default().take(&digest, Time::ZERO).unwrap();
        prop_assert!(taken.beats.iter().all(|(p, _)| &*p.host == "a"));
        prop_assert!(taken.shared.is_empty());
    }
}

fn expected_figures() -> Vec<UpstreamSummary> {
    (0..6).map(|i| shared(i, 9, false)).collect()
}

#[test]
fn a_digest_without_an_introduction_is_refused() {
    assert!(DeltaDecoder::default().take(&Digest::default(), Time::ZERO).is_none());
}

#[test]
fn a_relayed_heartbeat_grows_no_younger_and_is_told_once() {
    let mut members = Members::new("a".into(), "dc".into());
    let heard = Time::from_millis(1_000);
    members.record_heartbeat(&process("c", 7), Heartbeat { counter: 4, at: heard, left: false });
    let (mut out, mut incoming) = (DeltaEncoder::default(), DeltaDecoder::default());
    let now = Time::from_millis(1_600);
    let mut relay = |known: Option<u32>| {
        let mut digest = Digest::default();
        out.introduce(&process("a", 1), &mut digest);
        out.relay(members.members().iter(), |_| known, Duration::ZERO, now, &mut digest);
        digest
    };
    let first = relay(Some(4));
    assert!(first.beats.is_empty(), "the other side told it itself");
    assert!(incoming.take(&first, now).is_some());
    // The other side's clock has another origin.
    let taken = incoming.take(&relay(None), Time::from_millis(90_000)).unwrap();
    let (host, beat) = &taken.beats[1];
    assert_eq!((&*host.host, host.incarnation, beat.counter), ("c", 7, 4));
    assert_eq!(beat.at, Time::from_millis(89_400));
    assert!(relay(None).beats.is_empty());
}

#[test]
fn heartbeats_are_relayed_a_gap_apart_and_a_farewell_at_once() {
    let gap = Duration::from_secs(2);
    let mut members = Members::new("a".into(), "dc".into());
    let mut out = DeltaEncoder::default();
    let mut told = |counter: u32, millis: u64, left: bool| {
        let now = Time::from_millis(millis);
        members.record_heartbeat(&process("c", 7), Heartbeat { counter, at: now, left });
        let mut digest = Digest::default();
        out.relay(members.members().iter(), |_| None, gap, now, &mut digest);
        digest.beats.len()
    };
    assert_eq!(told(1, 100, false), 1);
    assert_eq!(told(2, 600, false), 0);
    assert_eq!(told(3, 2_100, false), 1);
    assert_eq!(told(4, 2_200, true), 1);
    assert_eq!(told(5, 2_300, true), 0);
}

#[test]
fn hosts_do_not_confirm_each_other_in_a_sighting() {
    let name = UpstreamName { service: "s".into(), name: "u".into() };
    let (mut a, mut b) = (LeavingObservations::default(), LeavingObservations::default());
    let (mut to_a, mut to_b) = (DeltaEncoder::default(), DeltaEncoder::default());
    let (mut from_a, mut from_b) = (DeltaDecoder::default(), DeltaDecoder::default());
    assert!(a.observe(&name, Time::ZERO));
    let pass = |out: &mut DeltaEncoder,
                heard: &mut DeltaDecoder,
                of: &LeavingObservations,
                to: &mut LeavingObservations,
                now| {
        let mut digest = Digest::default();
        out.introduce(&process("x", 1), &mut digest);
        out.pass_on(of.rows(), now, &mut digest);
        let taken = heard.take(&digest, now).unwrap();
        for sighting in taken.leaves {
            to.observe(&sighting.name, sighting.at);
        }
    };
    let mut now = Time::ZERO;
    while now < Time::ZERO + OBSERVATION_AGE_MAX {
        pass(&mut to_b, &mut from_a, &a, &mut b, now);
        pass(&mut to_a, &mut from_b, &b, &mut a, now);
        assert!(a.expire(now).is_empty() && b.expire(now).is_empty());
        now = now + Duration::from_millis(250);
    }
    assert_eq!((a.expire(now), b.expire(now)), (vec![name.clone()], vec![name]));
}
