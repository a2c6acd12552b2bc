//! Callers with keys: whose requests run, and what upstreams, peers, logs and events learn of them.

mod harness;
#[path = "../examples/standin/mod.rs"]
mod standin;

use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use serde_json::{Value, json};
use tokio::net::TcpSocket;

use harness::signing::{SigningUpstream, config, field, signed};
use harness::{Caller, Daemon, code, event_count, live_peers, send_raw, status_of, wait_until};
use standin::registry::Registry;

const NO_SERVICE: u16 = 2002;
const ROUTES_OUTDATED: u16 = 2018;
const UNAUTHORIZED: u16 = 2021;
/// Event that no upstream of a service responds.
const UNREACHABLE: u16 = 3014;

const HARBOUR_KEY: &str = "rjvz48wuakn2ftimaj3n";
const HARBOUR_SECOND_KEY: &str = "r26tta828m82thhkmgjq";
const SALT_KEY: &str = "w5m1cn02bq8x7e4tzy6d";
const UNKNOWN_KEY: &str = "never0held0by0anyone";
const ALL_KEYS: [&str; 4] = [HARBOUR_KEY, HARBOUR_SECOND_KEY, SALT_KEY, UNKNOWN_KEY];

/// The keys of the teams `harbour` and `salt`.
type Keys<'a> = (&'a [&'a str], &'a [&'a str]);

const KEYS: Keys<'_> = (&[HARBOUR_KEY, HARBOUR_SECOND_KEY], &[SALT_KEY]);

/// Returns a config with teams: writes below `/book/`, reads and downloads below it, and public
/// requests below `/open/`.
fn config_with_keys(version: u64, (harbour, salt): Keys<'_>) -> String {
    let mut doc: Value = serde_json::from_str(&config(version, "/book/")).expect("config");
    doc["tenants"] = json!([
        {"name": "harbour", "apiKeys": harbour, "priority": 0, "ratePerS": 5000, "burst": 5000},
        {"name": "salt", "apiKeys": salt},
    ]);
    let rules = doc["listeners"][0]["rules"].as_array_mut().expect("rules");
    let mut add = |name: &str, kind: &str, prefix: &str, public: bool| {
        let mut rule = rules[0].clone();
        rule["name"] = json!(name);
        rule["kind"] = json!(kind);
        rule["public"] = json!(public);
        rule["match"]["pathPrefix"] = json!(prefix);
        rules.push(rule);
    };
    add("load", "download", "/book/load/", false);
    add("open", "idempotent", "/open/", true);
    doc.to_string()
}

/// The heads of the requests that an upstream has run, in lower case.
type Heads = Arc<Mutex<Vec<String>>>;

/// Starts an upstream that signs its responses, and keeps the heads of requests.
fn upstream(id: &'static str) -> (SigningUpstream, Heads) {
    let heads = Heads::default();
    let kept = heads.clone();
    let upstream = SigningUpstream::start(id, move |head| {
        kept.lock().expect("heads").push(head.to_owned());
        signed(head)
    });
    (upstream, heads)
}

fn last(heads: &Heads) -> String {
    heads.lock().expect("heads").last().cloned().expect("a request")
}

fn settings(registry: SocketAddr) -> Value {
    json!({
        "host": "entry-1", "data_centre": "a", "peer": harness::FREE_ADDRESS,
        "registry": {
            "address": registry, "retry_share": 0.2, "retry_slack": 56.0, "probes_per_second": 60.0,
        },
    })
}

/// A registry and a daemon that follows it.
struct Fleet {
    registry: Arc<Registry>,
    settings: Value,
    daemon: Daemon,
}

impl Fleet {
    async fn start(config: &str, upstreams: &[(&str, &SigningUpstream)]) -> Fleet {
        Fleet::start_with(config, upstreams, json!({})).await
    }

    async fn start_with(
        config: &str,
        upstreams: &[(&str, &SigningUpstream)],
        more_settings: Value,
    ) -> Fleet {
        let registry = start_registry(config, upstreams).await;
        let mut settings = settings(registry.address);
        let more = more_settings.as_object().cloned().unwrap_or_default();
        settings.as_object_mut().expect("object").extend(more);
        Fleet { registry, daemon: Daemon::run(&settings), settings }
    }

    async fn call(&self, path: &str, fields: &[(&str, &str)]) -> Response<Bytes> {
        call(self.daemon.caller, path, fields).await
    }

    /// Calls until a response has the status.
    async fn wait_for(&self, path: &str, fields: &[(&str, &str)], status: u16) {
        let start = Instant::now();
        while self.call(path, fields).await.status() != status {
            assert!(start.elapsed() < harness::TIMEOUT, "{path} gets no {status}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

async fn start_registry(config: &str, upstreams: &[(&str, &SigningUpstream)]) -> Arc<Registry> {
    let registry = Registry::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await;
    registry.put("op/config", config);
    for (id, upstream) in upstreams {
        registry.put(&format!("servers/{id}"), &upstream.heartbeat("ready", 7, 1));
    }
    registry
}

fn request(path: &str, fields: &[(&str, &str)]) -> Request<Full<Bytes>> {
    let mut req = Request::builder().method("GET").uri(path).header("host", "port.example");
    req = req.header("x-attempt-id", "r-1").header("x-deadline-ms", "1500");
    for (name, value) in fields {
        req = req.header(*name, *value);
    }
    req.body(Full::default()).expect("request")
}

async fn call(address: SocketAddr, path: &str, fields: &[(&str, &str)]) -> Response<Bytes> {
    let mut caller = Caller::connect(address).await.expect("connect");
    caller.send(request(path, fields)).await.expect("response")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_learns_the_team_from_the_host_alone_and_never_the_key() {
    let (upstream, heads) = upstream("u-1");
    let fleet = Fleet::start(&config_with_keys(3, KEYS), &[("u-1", &upstream)]).await;
    let (harbour, salt) = (("x-key", HARBOUR_KEY), ("x-key", SALT_KEY));
    let cases: [(&[(&str, &str)], &str); 8] = [
        (&[harbour], "harbour"),
        (&[("X-KEY", HARBOUR_SECOND_KEY)], "harbour"),
        (&[salt], "salt"),
        (&[salt, ("x-tenant-name", "harbour")], "salt"),
        (&[salt, ("X-Tenant-Name", "a"), ("x-tenant-name", "b")], "salt"),
        (&[salt, ("x_tenant_name", "harbour"), ("x_key", HARBOUR_KEY)], "salt"),
        (&[salt, ("connection", "x-tenant-name, x-key")], "salt"),
        (&[salt, ("x-cornelferry-relayed-team", "harbour"), ("x-cornelferry-team", "b")], "salt"),
    ];
    for (fields, team) in cases {
        let res = fleet.call("/book/read/7", fields).await;
        assert_eq!(code(&res), 1000, "{fields:?}");
        let head = last(&heads);
        assert_eq!(field(&head, "x-tenant-name"), team, "{fields:?}");
        assert_eq!(head.matches("tenant").count(), 1, "{head}");
        assert!(!head.contains("x-cornelferry-relayed-team"), "{head}");
        assert!(ALL_KEYS.iter().all(|k| !head.contains(k)), "{head}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_without_exactly_one_known_key_is_rejected() {
    let (upstream, _) = upstream("u-1");
    let fleet = Fleet::start(&config_with_keys(3, KEYS), &[("u-1", &upstream)]).await;
    let known = ("x-key", HARBOUR_KEY);
    let list = format!("{HARBOUR_KEY}, {SALT_KEY}");
    let bearer = format!("Bearer {HARBOUR_KEY}");
    let cases: [&[(&str, &str)]; 10] = [
        &[],
        &[("x-key", "")],
        &[("x-key", UNKNOWN_KEY)],
        &[("x-key", &HARBOUR_KEY[1..])],
        &[known, known],
        &[known, ("x-key", UNKNOWN_KEY)],
        &[("x-key", &list)],
        &[("x-key", &bearer)],
        &[("x_key", HARBOUR_KEY), ("authorization", HARBOUR_KEY)],
        &[("x-tenant-name", "harbour"), ("x-cornelferry-relayed-team", "harbour")],
    ];
    for fields in cases {
        let res = fleet.call("/book/7", fields).await;
        assert_eq!((res.status().as_u16(), code(&res)), (401, UNAUTHORIZED), "{fields:?}");
        assert_eq!(res.headers()["x-cornelferry-outcome"], "not-run");
        let res = fleet.call("/elsewhere/", fields).await;
        assert_eq!((res.status().as_u16(), code(&res)), (404, NO_SERVICE), "{fields:?}");
    }
    assert_eq!(upstream.runs(), 0);
    let mut caller = Caller::connect(fleet.daemon.caller).await.expect("connect");
    for (fields, status) in [(&[][..], 401), (&[known][..], 200), (&[][..], 401)] {
        let res = caller.send(request("/book/7", fields)).await.expect("response");
        assert_eq!(res.status(), status, "on a kept connection");
    }
    let metrics = admin(&fleet.daemon, "/metrics");
    let counter = r#"cornelferry_requests_total{code="2021",service=""} 12"#;
    assert!(metrics.contains(counter), "{metrics}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_public_route_needs_no_key_and_passes_none_on() {
    let (upstream, heads) = upstream("u-1");
    let fleet = Fleet::start(&config_with_keys(3, KEYS), &[("u-1", &upstream)]).await;
    let cases: [(&[(&str, &str)], &str); 4] = [
        (&[], ""),
        (&[("x-tenant-name", "harbour")], ""),
        (&[("x-key", UNKNOWN_KEY), ("x-tenant-name", "harbour")], ""),
        (&[("x-key", SALT_KEY), ("x-tenant-name", "harbour")], "salt"),
    ];
    for (fields, team) in cases {
        assert_eq!(code(&fleet.call("/open/7", fields).await), 1000, "{fields:?}");
        let head = last(&heads);
        assert_eq!(field(&head, "x-tenant-name"), team, "{fields:?}");
        assert!(ALL_KEYS.iter().all(|k| !head.contains(k)), "{head}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_teams_the_fields_pass_through() {
    let (upstream, heads) = upstream("u-1");
    let fleet = Fleet::start(&config(3, "/book/"), &[("u-1", &upstream)]).await;
    let fields = [("x-key", UNKNOWN_KEY), ("x-tenant-name", "anyone")];
    assert_eq!(code(&fleet.call("/book/7", &fields).await), 1000);
    let head = last(&heads);
    assert_eq!((field(&head, "x-key"), field(&head, "x-tenant-name")), (UNKNOWN_KEY, "anyone"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_are_added_moved_and_withdrawn_by_new_versions() {
    let (upstream, heads) = upstream("u-1");
    let only: Keys<'_> = (&[HARBOUR_KEY], &[SALT_KEY]);
    let fleet = Fleet::start(&config_with_keys(3, only), &[("u-1", &upstream)]).await;
    let (first, second, salt) =
        ([("x-key", HARBOUR_KEY)], [("x-key", HARBOUR_SECOND_KEY)], [("x-key", SALT_KEY)]);
    assert_eq!(code(&fleet.call("/book/7", &second).await), UNAUTHORIZED);
    // A key is rotated: both are valid for a time.
    fleet.registry.put("op/config", &config_with_keys(4, KEYS));
    fleet.wait_for("/book/7", &second, 200).await;
    assert_eq!(code(&fleet.call("/book/7", &first).await), 1000);
    // It moves to another team, and the other key is withdrawn, also from a kept connection.
    let mut kept = Caller::connect(fleet.daemon.caller).await.expect("connect");
    assert_eq!(code(&kept.send(request("/book/7", &first)).await.expect("response")), 1000);
    let moved: Keys<'_> = (&[], &[SALT_KEY, HARBOUR_SECOND_KEY]);
    fleet.registry.put("op/config", &config_with_keys(6, moved));
    fleet.wait_for("/book/7", &first, 401).await;
    assert_eq!(code(&kept.send(request("/book/7", &first)).await.expect("response")), UNAUTHORIZED);
    assert_eq!(code(&fleet.call("/book/7", &second).await), 1000);
    assert_eq!(field(&last(&heads), "x-tenant-name"), "salt");
    // Faulty versions stay without effect: a key that two teams hold, and an empty one.
    fleet.registry.put("op/config", &config_with_keys(7, (&[SALT_KEY], &[SALT_KEY])));
    fleet.registry.put("op/config", &config_with_keys(8, (&[HARBOUR_KEY, ""], &[])));
    fleet.registry.put("op/config", &config_with_keys(9, (&[SALT_KEY], &[])));
    fleet.wait_for("/book/7", &second, 401).await;
    assert_eq!(code(&fleet.call("/book/7", &salt).await), 1000);
    assert_eq!(field(&last(&heads), "x-tenant-name"), "harbour");
    drop(fleet.daemon);
    let daemon = Daemon::run(&fleet.settings);
    assert_eq!(code(&call(daemon.caller, "/book/7", &salt).await), 1000);
    for withdrawn in [first, second] {
        assert_eq!(code(&call(daemon.caller, "/book/7", &withdrawn).await), UNAUTHORIZED);
    }
}

/// Returns the config of [`config_with_keys`] with another list of teams.
fn config_with_list(version: u64, teams: &Value) -> String {
    let mut doc: Value = serde_json::from_str(&config_with_keys(version, KEYS)).expect("config");
    doc["tenants"] = teams.clone();
    doc.to_string()
}

/// The ways to withdraw the last key: it alone, its team, and the whole list at once.
fn withdrawals() -> [Vec<Value>; 3] {
    let only = json!([{"name": "harbour", "apiKeys": [HARBOUR_KEY]}]);
    let without_keys = json!([{"name": "harbour", "apiKeys": []}]);
    let both = json!([
        {"name": "harbour", "apiKeys": [HARBOUR_KEY]}, {"name": "salt", "apiKeys": [SALT_KEY]}
    ]);
    [
        vec![only.clone(), without_keys.clone()],
        vec![only, without_keys, json!([])],
        vec![both, json!([])],
    ]
}

/// Asserts that a host whose config holds no key runs requests on public routes alone, and passes on no
/// key and nothing that callers say of their team.
async fn assert_closed(host: SocketAddr, heads: &Heads, allowed: &[u16]) {
    let before = heads.lock().expect("heads").len();
    let made_up = ("x-tenant-name", "harbour");
    for fields in [
        &[][..],
        &[made_up],
        &[("x-key", ""), made_up],
        &[("x-key", HARBOUR_KEY), made_up],
        &[("x-key", SALT_KEY), made_up],
        &[("x-key", UNKNOWN_KEY), made_up],
    ] {
        let refused = code(&call(host, "/book/7", fields).await);
        assert!(allowed.contains(&refused), "{refused} for {fields:?}");
    }
    assert_eq!(heads.lock().expect("heads").len(), before, "a request has run");
    let res = call(host, "/open/7", &[("x-key", HARBOUR_KEY), made_up]).await;
    assert_eq!(code(&res), 1000);
    let head = last(heads);
    assert_eq!(field(&head, "x-tenant-name"), "", "{head}");
    assert!(ALL_KEYS.iter().all(|k| !head.contains(k)), "{head}");
}

/// Guards against a config that lets every key through since its last one is gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn once_the_last_key_is_withdrawn_nobody_gets_through() {
    for versions in withdrawals() {
        let (upstream, heads) = upstream("u-1");
        let first = config_with_list(3, &versions[0]);
        let fleet = Fleet::start(&first, &[("u-1", &upstream)]).await;
        let key = [("x-key", HARBOUR_KEY)];
        assert_eq!(code(&fleet.call("/book/7", &key).await), 1000);
        for (version, teams) in (4..).zip(&versions[1..]) {
            fleet.registry.put("op/config", &config_with_list(version, teams));
        }
        fleet.wait_for("/book/7", &key, 401).await;
        let newest = format!("cornelferry_config_version {}", versions.len() + 2);
        wait_until("the newest version", || admin(&fleet.daemon, "/metrics").contains(&newest));
        assert_closed(fleet.daemon.caller, &heads, &[UNAUTHORIZED]).await;
        drop(fleet.daemon);
        let daemon = Daemon::run(&fleet.settings);
        assert_closed(daemon.caller, &heads, &[UNAUTHORIZED]).await;
    }
}

/// Guards against the same on a host that learns of the withdrawal from a peer alone: as a change of the
/// config that it holds, and as a whole config after its start.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_without_the_registry_lets_nobody_through_once_the_last_key_is_withdrawn() {
    for versions in withdrawals() {
        let (upstream, heads) = upstream("u-1");
        let first = config_with_list(3, &versions[0]);
        let registries = [
            start_registry(&first, &[("u-1", &upstream)]).await,
            start_registry(&first, &[("u-1", &upstream)]).await,
        ];
        let Pair { hosts, settings, .. } = start_pair(&registries);
        registries[0].set_refusing(true);
        for (version, teams) in (4..).zip(&versions[1..]) {
            registries[1].put("op/config", &config_with_list(version, teams));
        }
        let newest = format!("cornelferry_config_version {}", versions.len() + 2);
        wait_until("the newest version", || admin(&hosts[0], "/metrics").contains(&newest));
        assert_closed(hosts[0].caller, &heads, &[UNAUTHORIZED, ROUTES_OUTDATED]).await;
        let mut hosts = hosts.into_iter();
        let restarted = hosts.next().expect("two hosts").restart(&settings[0]);
        assert_closed(restarted.caller, &heads, &[UNAUTHORIZED, ROUTES_OUTDATED]).await;
    }
}

/// Guards against a false 401 for a key that was added while the host couldn't read the registry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_with_outdated_keys_does_not_return_401() {
    let (upstream, _) = upstream("u-1");
    let fleet = Fleet::start(&config_with_keys(3, KEYS), &[("u-1", &upstream)]).await;
    let unknown = [("x-key", UNKNOWN_KEY)];
    assert_eq!(code(&fleet.call("/book/7", &unknown).await), UNAUTHORIZED);
    fleet.registry.set_refusing(true);
    fleet.wait_for("/book/7", &unknown, 503).await;
    let res = fleet.call("/book/7", &unknown).await;
    assert_eq!(code(&res), ROUTES_OUTDATED);
    assert!(res.headers().contains_key("retry-after"));
    assert_eq!(code(&fleet.call("/book/7", &[("x-key", SALT_KEY)]).await), 1000);
    fleet.registry.set_refusing(false);
    fleet.wait_for("/book/7", &unknown, 401).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_download_is_retried_under_its_team() {
    static IS_FAILING: AtomicBool = AtomicBool::new(false);
    let bad = SigningUpstream::start("u-1", |head| match IS_FAILING.load(Ordering::SeqCst) {
        true => String::new(),
        false => signed(head),
    });
    let (good, heads) = upstream("u-2");
    let config = config_with_keys(3, KEYS);
    let fleet = Fleet::start(&config, &[("u-1", &bad), ("u-2", &good)]).await;
    let fields = [("x-key", SALT_KEY)];
    let mut caller = Caller::connect(fleet.daemon.caller).await.expect("connect");
    // Earns the retries that a host of a fleet lacks after its start.
    for _ in 0..100 {
        let res = caller.send(request("/book/load/7", &fields)).await.expect("response");
        assert_eq!(code(&res), 1000);
    }
    IS_FAILING.store(true, Ordering::SeqCst);
    let runs_before = bad.runs();
    for _ in 0..2_000 {
        let res = caller.send(request("/book/load/7", &fields)).await.expect("response");
        assert_eq!(code(&res), 1000);
        if bad.runs() > runs_before {
            let head = last(&heads);
            assert_eq!(field(&head, "x-tenant-name"), "salt", "{head}");
            return;
        }
    }
    panic!("no request fails");
}

/// Returns a port that is free on all of the addresses.
fn common_port(addresses: &[Ipv4Addr]) -> u16 {
    let is_free = |port: &u16| addresses.iter().all(|a| TcpListener::bind((*a, *port)).is_ok());
    let mut ports = (0..50).map(|_| harness::free_address().port());
    ports.find(is_free).expect("a port that is free on all addresses")
}

/// Two hosts that know each other, each with a registry of its own.
struct Pair {
    hosts: Vec<Daemon>,
    settings: Vec<Value>,
    /// The address at which the second one takes requests of the first.
    relay: SocketAddr,
}

fn start_pair(registries: &[Arc<Registry>; 2]) -> Pair {
    let addresses = [Ipv4Addr::new(127, 0, 0, 2), Ipv4Addr::new(127, 0, 0, 3)];
    let (peer_port, relay_port) = (common_port(&addresses), common_port(&addresses));
    let settings_of = |i: usize| {
        let mut settings = settings(registries[i].address);
        settings["host"] = json!(format!("entry-{i}"));
        settings["peer"] = json!(SocketAddr::from((addresses[i], peer_port)));
        settings["relay_port"] = json!(relay_port);
        settings["peers"] = json!([{
            "host": format!("entry-{}", 1 - i), "data_centre": "a",
            "address": SocketAddr::from((addresses[1 - i], peer_port)),
        }]);
        settings
    };
    let settings: Vec<Value> = (0..2).map(settings_of).collect();
    let hosts: Vec<Daemon> = settings.iter().map(Daemon::run).collect();
    wait_until("the hosts know each other", || hosts.iter().all(|d| live_peers(d) == 1));
    Pair { hosts, settings, relay: SocketAddr::from((addresses[1], relay_port)) }
}

/// A host without a path to the registry learns of added, moved and withdrawn keys from its peer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_without_the_registry_learns_of_keys_from_a_peer() {
    let (upstream, heads) = upstream("u-1");
    let config = config_with_keys(3, (&[HARBOUR_KEY], &[SALT_KEY]));
    let registries = [
        start_registry(&config, &[("u-1", &upstream)]).await,
        start_registry(&config, &[("u-1", &upstream)]).await,
    ];
    let Pair { hosts, .. } = start_pair(&registries);
    registries[0].set_refusing(true);
    registries[1].put("op/config", &config_with_keys(5, (&[SALT_KEY], &[HARBOUR_SECOND_KEY])));
    let start = Instant::now();
    let (added, withdrawn) = ([("x-key", HARBOUR_SECOND_KEY)], [("x-key", HARBOUR_KEY)]);
    while call(hosts[0].caller, "/book/7", &added).await.status() != 200 {
        assert!(start.elapsed() < harness::TIMEOUT, "the added key stays unknown");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(field(&last(&heads), "x-tenant-name"), "salt");
    assert_eq!(code(&call(hosts[0].caller, "/book/7", &[("x-key", SALT_KEY)]).await), 1000);
    assert_eq!(field(&last(&heads), "x-tenant-name"), "harbour");
    let refused = code(&call(hosts[0].caller, "/book/7", &withdrawn).await);
    assert!([UNAUTHORIZED, ROUTES_OUTDATED].contains(&refused), "{refused}");
}

/// A request that a host passes on to a peer keeps its team; the peer gets no key.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_relayed_request_keeps_its_team() {
    let (reachable, heads) = upstream("u-1");
    // Connections are refused as long as the socket lives, and nobody else gets its port.
    let closed = TcpSocket::new_v4().expect("socket");
    closed.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).expect("bind");
    let closed_address = closed.local_addr().expect("bound");
    // Of the same version, so that the hosts don't tell each other the other address.
    let unreachable = reachable
        .heartbeat("ready", 7, 1)
        .replace(&reachable.address.to_string(), &closed_address.to_string());
    let config = config_with_keys(3, KEYS);
    let registries =
        [start_registry(&config, &[]).await, start_registry(&config, &[("u-1", &reachable)]).await];
    registries[0].put("servers/u-1", &unreachable);
    let Pair { hosts, relay, .. } = start_pair(&registries);
    let fields = [("x-key", SALT_KEY), ("x-tenant-name", "harbour")];
    let start = Instant::now();
    while event_count(&hosts[0], UNREACHABLE) == 0 {
        call(hosts[0].caller, "/book/read/7", &fields).await;
        assert!(start.elapsed() < harness::TIMEOUT, "the host doesn't notice that it is cut off");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for (path, fields, team) in
        [("/book/7", &fields[..], "salt"), ("/open/7", &fields[..], "salt"), ("/open/7", &[], "")]
    {
        let res = call(hosts[0].caller, path, fields).await;
        assert_eq!(code(&res), 1000, "{path}");
        let head = last(&heads);
        assert_eq!(field(&head, "x-tenant-name"), team, "{path}");
        assert!(ALL_KEYS.iter().all(|k| !head.contains(k)), "{head}");
        assert!(!head.contains("x-cornelferry-relayed-team"), "{head}");
    }
    assert_eq!(code(&call(hosts[0].caller, "/book/7", &[]).await), UNAUTHORIZED);
    // The peer refuses a team that it doesn't know, and asks for a key where none is named.
    for (team, expected) in [("salt", 1000), ("harbour", 1000), ("other", ROUTES_OUTDATED)] {
        let fields = [("x-cornelferry-relayed-team", team), ("x-cornelferry-routes-version", "3")];
        assert_eq!(code(&call(relay, "/book/7", &fields).await), expected, "{team}");
    }
    assert_eq!(code(&call(relay, "/book/7", &[]).await), ROUTES_OUTDATED);
    // Hosts of an earlier release pass the key on instead.
    assert_eq!(code(&call(relay, "/book/7", &[("x-key", HARBOUR_KEY)]).await), 1000);
    assert_eq!(field(&last(&heads), "x-tenant-name"), "harbour");
}

/// A daemon whose standard output goes to a file, with every log line there is.
struct LoggedDaemon {
    child: Child,
    caller: SocketAddr,
    admin: SocketAddr,
}

impl LoggedDaemon {
    /// Starts a daemon and waits until it is ready.
    fn start(settings: &Value, log: &Path) -> LoggedDaemon {
        // Another program may have taken a port since it was found free.
        (0..10).find_map(|_| LoggedDaemon::try_start(settings, log)).expect("a daemon")
    }

    fn try_start(settings: &Value, log: &Path) -> Option<LoggedDaemon> {
        let (caller, admin) = (harness::free_address(), harness::free_address());
        let mut settings = settings.clone();
        settings["caller"] = json!(caller);
        settings["admin"] = json!(admin);
        settings["peer"] = json!(harness::free_address());
        let file = log.with_extension("json");
        std::fs::write(&file, settings.to_string()).expect("settings");
        let out = File::create(log).expect("log");
        let child = Command::new(env!("CARGO_BIN_EXE_cornelferryd"))
            .arg("--settings")
            .arg(&file)
            .env("RUST_LOG", "trace")
            .stderr(out.try_clone().expect("log"))
            .stdout(out)
            .spawn()
            .expect("daemon");
        let mut daemon = LoggedDaemon { child, caller, admin };
        let get = b"GET /readyz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        let start = Instant::now();
        while !send_raw(admin, get).is_ok_and(|r| status_of(&r) == Some(200)) {
            if daemon.child.try_wait().expect("wait").is_some() {
                return None;
            }
            assert!(start.elapsed() < harness::TIMEOUT, "the daemon does not become ready");
            std::thread::sleep(Duration::from_millis(5));
        }
        Some(daemon)
    }
}

impl Drop for LoggedDaemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads a daemon's trace for as long as the daemon runs.
fn read_trace(admin: SocketAddr) -> Arc<Mutex<String>> {
    let mut stream = TcpStream::connect(admin).expect("connect");
    stream.write_all(b"GET /trace HTTP/1.1\r\nhost: a\r\n\r\n").expect("request");
    let text = Arc::new(Mutex::new(String::new()));
    let out = text.clone();
    std::thread::spawn(move || {
        let mut buf = [0; 4_096];
        while let Ok(count @ 1..) = stream.read(&mut buf) {
            out.lock().expect("trace").push_str(&String::from_utf8_lossy(&buf[..count]));
        }
    });
    text
}

fn get(admin: SocketAddr, path: &str) -> String {
    let req = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    send_raw(admin, req.as_bytes()).expect("response")
}

fn admin(daemon: &Daemon, path: &str) -> String {
    get(daemon.admin, path)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_key_is_found_in_logs_events_metrics_status_and_traces() {
    let (upstream, _) = upstream("u-1");
    let registry = start_registry(&config_with_keys(3, KEYS), &[("u-1", &upstream)]).await;
    let log =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("keys-{}.log", std::process::id()));
    let daemon = LoggedDaemon::start(&settings(registry.address), &log);
    let trace = read_trace(daemon.admin);
    for key in ALL_KEYS {
        for path in ["/book/7", "/book/read/7", "/open/7", "/elsewhere/"] {
            call(daemon.caller, path, &[("x-key", key), ("x-key", key)]).await;
            call(daemon.caller, path, &[("x-key", key)]).await;
        }
    }
    // Faulty versions and one that takes force.
    registry.put("op/config", &config_with_keys(4, (&[SALT_KEY], &[SALT_KEY])));
    registry.put("op/config", &config_with_keys(5, KEYS).replace("[\"w5m", "[[\"w5m"));
    let misplaced = json!({"version": 6, "tenants": HARBOUR_KEY, "limits": {}});
    registry.put("op/config", &misplaced.to_string());
    let logs = || std::fs::read_to_string(&log).expect("log");
    wait_until("a faulty config is logged", || logs().contains("keeping the config in force"));
    registry.put("op/config", &config_with_keys(7, (&[HARBOUR_KEY], &[SALT_KEY])));
    let start = Instant::now();
    while call(daemon.caller, "/book/7", &[("x-key", HARBOUR_SECOND_KEY)]).await.status() != 401 {
        assert!(start.elapsed() < harness::TIMEOUT, "the key is not withdrawn");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    wait_until("the trace contains the newest config", || {
        trace.lock().expect("trace").contains(r#""version":7,"#)
    });
    let trace = trace.lock().expect("trace").clone();
    let shown: Vec<(&str, String)> = ["/events", "/status", "/metrics"]
        .map(|path| (path, get(daemon.admin, path)))
        .into_iter()
        .chain([("logs", logs()), ("trace", trace)])
        .collect();
    for (what, text) in &shown {
        for key in ALL_KEYS {
            let at = text.find(key);
            let near = at.map(|at| &text[at.saturating_sub(200)..at]);
            assert_eq!(at, None, "{what} contains a key after {near:?}");
        }
        assert!(text.len() > 200, "{what}: {text}");
    }
    assert!(logs().contains(r#""team":"harbour""#), "the logs name the team");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ten_thousand_keys_come_into_force() {
    let (upstream, heads) = upstream("u-1");
    let key = |i: usize| format!("{i:05}kuakn2ftimaj3n");
    let many: Vec<String> = (0..10_000).map(key).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    let fleet = Fleet::start(&config_with_keys(3, KEYS), &[("u-1", &upstream)]).await;
    fleet.registry.put("op/config", &config_with_keys(4, (&many, &[SALT_KEY])));
    for (key, team) in [(many[0], "harbour"), (many[9_999], "harbour"), (SALT_KEY, "salt")] {
        fleet.wait_for("/book/7", &[("x-key", key)], 200).await;
        assert_eq!(field(&last(&heads), "x-tenant-name"), team);
    }
    let unknown = key(10_000);
    assert_eq!(code(&fleet.call("/book/7", &[("x-key", &unknown)]).await), UNAUTHORIZED);
}
