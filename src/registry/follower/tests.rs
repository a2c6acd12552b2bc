//! Tests of how changes of the registry are applied, and of routing records of two releases.

use std::sync::Arc;

use tokio::sync::oneshot;

use super::{Follower, UNCLEAR_KEYS_INTERVAL, latest_changes, record};
use crate::config::{Routing, Treatment};
use crate::decide::catalog::{Body, Catalog, OfferOutcome, Record, RecordKind};
use crate::decide::registered::{Reading, Revision};
use crate::decide::stored::{self, StoredRecord};
use crate::decide::teams::Keys;
use crate::decide::upstream::State;
use crate::node::Node;
use crate::platform::{Change, Client, ClientHooks, config};
use crate::settings::Settings;
use crate::time::Time;

fn change(key: &str, value: Option<&str>) -> Change {
    let value = value.map(|v| v.as_bytes().to_vec());
    Change { key: key.to_owned(), value, lease: None, revision: Revision::default() }
}

/// Guards against a drain that is taken back: a host read in one go that an upstream had registered
/// again and that it was leaving. Peers had read the latter before, so that the former seemed to be
/// news.
#[test]
fn of_several_changes_of_a_key_only_the_last_one_counts() {
    let changes = [
        change("servers/a", Some("ready")),
        change("servers/b", Some("ready")),
        change("servers/a", None),
        change("servers/a", Some("draining")),
        change("servers/b", None),
    ];
    assert_eq!(latest_changes(&changes), [&changes[3], &changes[4]]);
}

const CONFIG: &str = r#"{"version":7,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536},
"tenants":[{"name":"huka270","apiKeys":["rjvz48wuakn2ftimaj3n"]}],
"listeners":[{"host":"ficu95.example","rules":[{"name":"r-1","kind":"download","public":true,
"match":{"pathPrefix":"/pufi791/"},"action":{"service":"huvo11a","timeoutS":0.8,"maxAttempts":2}}]}],
"clusters":[{"name":"huvo11a","healthPath":"/health","maxConnections":220}]}"#;

/// The record that the release before teams (4ac8a18) makes of [`CONFIG`], as it was recorded there.
const EARLIER_RECORD: &str = include_str!("earlier-record.json");

/// The routing record as the release before teams reads it.
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct EarlierRouting {
    #[serde(rename = "routes")]
    _routes: Vec<EarlierRoute>,
    #[serde(rename = "services")]
    _services: serde_json::Value,
    #[serde(rename = "head_max_bytes")]
    _head_max_bytes: u64,
}

#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(dead_code, reason = "only the names of its fields count")]
struct EarlierRoute {
    name: String,
    host: String,
    path_prefix: String,
    treatment: Treatment,
    split: serde_json::Value,
}

fn node(registry: &str) -> Arc<Node> {
    let settings = format!(
        r#"{{"host": "x", "data_centre": "dc", "caller": "127.0.0.1:0", "admin": "127.0.0.1:0"{registry}}}"#
    );
    Node::new(Settings::parse(&settings).expect("settings"))
}

fn own_record() -> Record {
    let (version, routing) = config::decode(CONFIG.as_bytes()).expect("config");
    record(config::KEY, version, Body::Routing(Arc::new(routing)))
}

fn earlier_record() -> Record {
    match stored::read(RecordKind::Routing, config::KEY, EARLIER_RECORD.as_bytes()) {
        StoredRecord::Readable(record) => record,
        StoredRecord::Unreadable(unreadable) => panic!("{unreadable:?}"),
    }
}

/// Returns the number of teams in force.
fn teams(node: &Node) -> usize {
    let catalog = node.catalog.lock();
    catalog.routing().and_then(|r| r.teams.as_ref()).map_or(0, Vec::len)
}

/// Guards against a host that lets every key through: a peer of the release before passes on the
/// same or a newer version of the config without its teams.
#[test]
fn a_record_of_an_earlier_release_never_replaces_or_precedes_one_with_teams() {
    let newer = Record { version: 8, ..earlier_record() };
    let node = node(r#", "registry": {"address": "127.0.0.1:3"}"#);
    for record in [earlier_record(), newer.clone()] {
        assert_eq!(node.offer(vec![record]), [OfferOutcome::Unreadable]);
        assert!(node.catalog.lock().routing().is_none());
    }
    assert_eq!(node.offer(vec![own_record()]), [OfferOutcome::InForce]);
    for record in [earlier_record(), newer] {
        assert_eq!(node.offer(vec![record]), [OfferOutcome::Unreadable]);
        assert_eq!((teams(&node), node.routes_version()), (1, 7));
        assert!(node.routes().keys().teams().is_some());
    }
}

#[test]
fn of_two_records_of_one_version_the_one_with_teams_wins() {
    let (own, earlier) = (own_record(), earlier_record());
    assert!(own.precedence() > earlier.precedence());
    for records in [[own.clone(), earlier.clone()], [earlier, own]] {
        let mut catalog = Catalog::default();
        for record in records {
            catalog.offer(record);
        }
        let teams = catalog.routing().and_then(|r| r.teams.as_ref());
        assert_eq!(teams.map(Vec::len), Some(1));
    }
}

/// Returns the routing record of [`CONFIG`] with another list of teams, as a release makes it that gives
/// it a change id.
fn record_of(change: &str, version: u64, teams: Option<&str>) -> Record {
    let list = r#""tenants":[{"name":"huka270","apiKeys":["rjvz48wuakn2ftimaj3n"]}],"#;
    let list_of = teams.map(|teams| format!(r#""tenants":{teams},"#)).unwrap_or_default();
    let text = CONFIG.replace(list, &list_of);
    let (_, routing) = config::decode(text.as_bytes()).expect("config");
    Record {
        change: change.into(),
        ..record(config::KEY, version, Body::Routing(Arc::new(routing)))
    }
}

/// Guards against a host that lets every key through since a peer of the release before passes an empty
/// list of teams on as none.
#[test]
fn a_config_of_the_release_before_without_a_list_of_teams_leaves_keys_unclear() {
    let follows = node(r#", "registry": {"address": "127.0.0.1:3"}"#);
    let told = record_of("1", 8, None);
    assert_eq!(follows.offer(vec![record_of("2", 7, Some("[]")), told.clone()]).len(), 2);
    assert!(matches!(follows.routes().keys(), Keys::Unclear));
    for (own, is_needed) in [(Some("[]"), true), (None, false)] {
        let node = node(r#", "registry": {"address": "127.0.0.1:3"}"#);
        node.offer(vec![told.clone()]);
        assert_eq!(node.offer(vec![record_of("2", 8, own)]), [OfferOutcome::InForce]);
        assert_eq!(matches!(node.routes().keys(), Keys::Needed(_)), is_needed);
        assert_eq!(matches!(node.routes().keys(), Keys::NotNeeded), !is_needed);
        assert_eq!(node.offer(vec![told.clone()]), [OfferOutcome::Older]);
    }
    let node = node(r#", "registry": {"address": "127.0.0.1:3"}"#);
    node.offer(vec![record_of("1", 8, Some(r#"[{"name":"a"}]"#))]);
    assert!(matches!(node.routes().keys(), Keys::Needed(_)), "its other lists are whole");
}

/// Guards against a host that refuses requests with a key for as long as its peers read for it.
#[test]
fn a_host_reads_for_itself_while_keys_are_unclear() {
    let node = node(r#", "registry": {"address": "127.0.0.1:3"}"#);
    let cfg = node.settings.registry.clone().expect("a registry");
    let address = "127.0.0.1:3".parse().expect("address");
    let client = Client::connect(address, 1.0, node.metrics.call_counter(), ClientHooks::none());
    let mut follower = Follower::new(&node, &cfg, &client, oneshot::channel().0);
    let now = Time::from_millis(10_000);
    follower.last_read = Some((Revision::default(), now));
    follower.finish_read(now, 0);
    node.offer(vec![record_of("2", 7, None)]);
    let usual = follower.next_read(now);
    node.offer(vec![record_of("1", 8, None)]);
    assert_eq!(follower.next_read(now), usual.min(now + UNCLEAR_KEYS_INTERVAL));
    assert!(follower.next_read(now) > now, "no read at once after the last one");
    let told = now + UNCLEAR_KEYS_INTERVAL * 2;
    node.registry_freshness.advance_to(told);
    assert!(follower.next_read(told) <= told);
    // A host that has started from a peer's word has never read.
    follower.last_read = None;
    assert!(follower.next_read(told) <= told);
}

/// Guards against hosts of two releases that compare their catalogs as long as both run.
#[test]
fn catalogs_of_two_releases_are_equal() {
    let fingerprint = |record| {
        let mut catalog = Catalog::default();
        catalog.offer(record);
        catalog.fingerprint()
    };
    assert_eq!(fingerprint(own_record()), fingerprint(earlier_record()));
}

/// An earlier release keeps its own record instead of one with teams. Records without teams and
/// public routes are passed on to it as before.
#[test]
fn an_earlier_release_can_not_read_a_record_with_teams() {
    let Body::Routing(routing) = own_record().body else { panic!("a routing") };
    let is_readable = |routing: &Routing| {
        serde_json::from_value::<EarlierRouting>(serde_json::to_value(routing).expect("JSON"))
            .is_ok()
    };
    let mut plain = Routing::clone(&routing);
    plain.teams = None;
    assert!(!is_readable(&routing) && !is_readable(&plain), "teams, and public routes");
    plain.routes[0].public = false;
    assert!(is_readable(&plain));
}

#[test]
fn a_record_with_faulty_teams_is_unreadable() {
    let Body::Routing(routing) = own_record().body else { panic!("a routing") };
    let mut routing = Routing::clone(&routing);
    let teams = routing.teams.as_mut().expect("a list");
    teams.push(teams[0].clone());
    let record = Record { body: Body::Routing(Arc::new(routing)), ..own_record() };
    let json = serde_json::to_vec(&record).expect("JSON");
    let read = stored::read(RecordKind::Routing, config::KEY, &json);
    assert!(matches!(read, StoredRecord::Unreadable(_)), "{read:?}");
}

#[test]
fn a_record_is_shown_without_keys() {
    let record = own_record();
    assert_eq!(record.without_keys().precedence(), record.precedence());
    let Body::Routing(routing) = &record.body else { panic!("a routing") };
    assert_eq!(routing.teams.as_ref().map(|t| t[0].keys.len()), Some(1));
    let shown = serde_json::to_string(&record.without_keys()).expect("JSON");
    for text in [shown, format!("{record:?}")] {
        assert!(text.contains("huka270") && !text.contains("rjvz48wuakn2ftimaj3n"), "{text}");
    }
}

const REGISTRATION: &str = r#"{"service":"huvo11a","address":"127.0.0.1:9","zone":"dc","slots":6,
"state":"ready","sequence":4,"born":1796342400000}"#;

/// Returns what two hosts know of an upstream, as version and state, after a peer has told the second
/// one that `later` happened and it applies a read that was answered with `earlier` before.
fn known_after_a_late_read(
    earlier: Option<&str>,
    later: Option<&str>,
) -> [Option<(u64, Option<State>)>; 2] {
    let nodes = [(), ()].map(|()| node(r#", "registry": {"address": "127.0.0.1:3"}"#));
    let [a, b] = &nodes;
    let client = |node: &Node| {
        let address = "127.0.0.1:3".parse().expect("address");
        Client::connect(address, 1.0, node.metrics.call_counter(), ClientHooks::none())
    };
    let cfg = a.settings.registry.clone().expect("a registry");
    let clients = [client(a), client(b)];
    let mut followers = [(a, &clients[0]), (b, &clients[1])]
        .map(|(node, client)| Follower::new(node, &cfg, client, oneshot::channel().0));
    let mut read = |host: usize, value: Option<&str>, number| {
        let revision = Revision { era: 0, number };
        let change = Change { revision, ..change("servers/u", value) };
        // Long after the start, when a missing registration counts as gone at once.
        let now = Time::from_millis(60_000 + number);
        followers[host].mark_readable(Time::from_millis(1));
        followers[host].apply_changes(&[change], Reading::Written, now);
    };
    (0..2).for_each(|host| read(host, Some(REGISTRATION), 1));
    read(0, later, 3);
    let told = a.catalog.lock().get(RecordKind::Host, "u").cloned().expect("a record");
    b.offer_from(Some("a".into()), vec![told]);
    read(1, earlier, 2);
    nodes.each_ref().map(|node| {
        let catalog = node.catalog.lock();
        let record = catalog.get(RecordKind::Host, "u")?;
        let state = match &record.body {
            Body::Host(host) => Some(host.state),
            _ => None,
        };
        Some((record.version, state))
    })
}

/// Guards against a drain that is taken back (DRAIN on tumar-gate-grown), and a removal likewise.
#[test]
fn a_late_read_does_not_take_back_what_a_peer_has_told() {
    let heartbeat = REGISTRATION.replace(r#""sequence":4"#, r#""sequence":5"#);
    let leaving = REGISTRATION.replace("ready", "draining").replace(":4,", ":6,");
    for later in [Some(&*leaving), None] {
        let [a, b] = known_after_a_late_read(Some(&heartbeat), later);
        assert_eq!(a, b);
        assert_eq!(a.and_then(|(_, state)| state), later.map(|_| State::Leaving));
    }
}

/// Guards against an upstream that is taken for gone because a read was answered before it registered
/// again.
#[test]
fn a_late_read_does_not_remove_an_upstream_that_has_registered_again() {
    let restarted = REGISTRATION.replace("1796342400000", "1796342400001");
    let [a, b] = known_after_a_late_read(None, Some(&restarted));
    assert_eq!(a, b);
    assert_eq!(a.and_then(|(_, state)| state), Some(State::Live));
}

/// Guards against a removal that all hosts withhold (DRAIN on tumar-gate-grown): the reader gave the
/// upstream time to register again, and the others took its copy for current.
#[test]
fn a_copy_is_not_passed_on_as_current_while_an_owner_has_time_to_register_again() {
    let node = node(r#", "registry": {"address": "127.0.0.1:3"}"#);
    let cfg = node.settings.registry.clone().expect("a registry");
    let address = "127.0.0.1:3".parse().expect("address");
    let client = Client::connect(address, 1.0, node.metrics.call_counter(), ClientHooks::none());
    let mut follower = Follower::new(&node, &cfg, &client, oneshot::channel().0);
    let mut read = |value: Option<&str>, millis, after_outage: bool| {
        let (now, revision) = (Time::from_millis(millis), Revision { era: 0, number: millis });
        if after_outage {
            follower.missing_registrations.record_failure();
        }
        follower.mark_readable(now);
        let change = Change { revision, ..change("servers/u", value) };
        follower.apply_changes(&[change], Reading::Written, now);
        follower.last_read = Some((revision, now));
        follower.finish_read(now, 0);
        let as_of = node.registry_freshness.as_of_for_peers();
        (as_of.map(|at| at.as_micros() / 1_000), node.catalog.lock().hosts().count())
    };
    assert_eq!(read(Some(REGISTRATION), 1_000, false), (Some(1_000), 1));
    assert_eq!(read(Some(REGISTRATION), 60_000, true), (Some(60_000), 1));
    assert_eq!(read(None, 61_000, false), (None, 1));
    assert_eq!(read(None, 63_000, false), (Some(63_000), 0));
}

/// Guards against upstreams that are taken for gone right after an outage, see `lapse.rs`.
#[test]
fn the_first_copy_after_an_outage_tells_its_end_whoever_has_read_it() {
    let freshness = node(r#", "registry": {"address": "127.0.0.1:3"}"#);
    let freshness = &freshness.registry_freshness;
    let ends = [1_000, 2_800, 9_000, 9_500].map(|millis| {
        freshness.advance_to(Time::from_millis(millis));
        freshness.outage_end()
    });
    let end = Time::from_millis(9_000);
    assert_eq!(ends, [Time::ZERO, Time::ZERO, end, end]);
}
