//! Tests of publication against the stand-in platform, over real sockets, and of `explain`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::document;
use super::explain;
use super::publish::{self, Draft, HISTORY_VERSIONS, VersionInForce};
use crate::config::{Routing, Team};
use crate::decide::catalog::{Body, Record, RecordKind};
use crate::decide::stored::{self, StoredRecord};
use crate::error::{Code, Error};
use crate::settings;
use crate::standin::platform::Platform;
use crate::store::client::Client;

/// Long enough for a publication to succeed after a lost response. Tests in which the tool gives up
/// use shorter times.
const TIMEOUT: Duration = Duration::from_secs(20);

async fn start() -> (Arc<Platform>, Client) {
    let platform = Platform::start(SocketAddr::from(([127, 0, 0, 1], 0))).await;
    let cfg = settings::Platform {
        key_value: vec![platform.address],
        host_list: None,
        prefix: "/cf/".to_owned(),
        calls_per_second: 1e6,
        claims_per_second: 0.0,
    };
    (platform, Client::connect(&cfg, Box::new(|_| ())))
}

/// Returns a change of profile `p` with `change` as its id and author.
fn draft(deadline_ms: u64, expect: u64, change: &str) -> Draft {
    let text = format!(r#"{{"name": "p", "otherwise": {{"deadline_ms": {deadline_ms}}}}}"#);
    let document = document::parse(RecordKind::Profile, &text).expect("document");
    Draft {
        kind: RecordKind::Profile,
        name: document.name,
        body: document.body,
        expect,
        change: change.into(),
        author: change.into(),
        in_force: None,
    }
}

async fn publish(client: &Client, draft: &Draft) -> Result<Record, Error> {
    publish_within(client, draft, TIMEOUT).await
}

async fn publish_within(
    client: &Client,
    draft: &Draft,
    timeout: Duration,
) -> Result<Record, Error> {
    publish::publish(client, draft, timeout, &mut SmallRng::seed_from_u64(1)).await
}

/// Returns the keys of the history of profile `p`.
fn history_keys(platform: &Platform) -> Vec<String> {
    platform.with_store(|s| s.keys("/cf/history/profile/p/"))
}

#[tokio::test]
async fn of_two_concurrent_publications_one_succeeds_and_the_other_gets_the_diff() {
    let (platform, client) = start().await;
    publish(&client, &draft(1, 0, "first")).await.expect("published");
    platform.with_faults(|f| f.delay = Duration::from_millis(20));
    let (a, b) = (draft(100, 1, "anna"), draft(200, 1, "bjorn"));
    let (a, b) = tokio::join!(publish(&client, &a), publish(&client, &b));
    let (winner, loser) = if a.is_ok() { (a, b) } else { (b, a) };
    let (winner, loser) = (winner.expect("one succeeds"), loser.expect_err("one fails"));
    assert_eq!((winner.version, loser.code), (2, Code::Conflict));
    assert!(loser.detail.contains(&format!("version 2 by {}", winner.author)), "{loser}");
    assert!(loser.detail.contains("-    \"deadline_ms\": "), "{loser}");
    assert!(loser.detail.contains("+    \"deadline_ms\": "), "{loser}");
    assert_eq!(history_keys(&platform).len(), 2);
}

#[tokio::test]
async fn a_lost_response_is_resolved_by_reading_back_and_nothing_is_published_twice() {
    let (platform, client) = start().await;
    platform.with_faults(|f| f.lose_responses = 1);
    let first = publish(&client, &draft(1, 0, "a")).await.expect("published");
    publish(&client, &draft(2, 1, "b")).await.expect("published");
    let repeated = publish(&client, &draft(1, 0, "a")).await.expect("found in the history");
    assert_eq!(repeated, first);
    assert_eq!(history_keys(&platform).len(), 2);
}

#[tokio::test]
async fn after_an_outage_following_the_write_the_result_is_unknown_and_a_repetition_is_safe() {
    let (platform, client) = start().await;
    platform.with_faults(|f| {
        f.lose_responses = 1;
        f.down_after_write = true;
    });
    let timeout = Duration::from_millis(500);
    let unknown = publish_within(&client, &draft(1, 0, "a"), timeout).await.expect_err("outage");
    assert_eq!(unknown.code, Code::PublishUnknown);
    assert!(unknown.detail.contains("--change a"), "{unknown}");
    platform.with_faults(|f| *f = Default::default());
    let record = publish(&client, &draft(1, 0, "a")).await.expect("found");
    assert_eq!((record.version, history_keys(&platform).len()), (1, 1));
}

#[tokio::test]
async fn after_an_outage_before_the_write_nothing_is_stored() {
    let (platform, client) = start().await;
    platform.with_faults(|f| f.down = true);
    let timeout = Duration::from_millis(200);
    let failed = publish_within(&client, &draft(1, 0, "a"), timeout).await.expect_err("outage");
    assert_eq!(failed.code, Code::Unreachable);
    assert!(history_keys(&platform).is_empty());
}

#[tokio::test]
async fn a_version_that_is_not_newer_than_those_in_force_is_not_published() {
    let (platform, client) = start().await;
    publish(&client, &draft(1, 0, "a")).await.expect("published");
    let in_force = Some(VersionInForce { host: "entry-7".to_owned(), version: 5 });
    let behind = Draft { in_force: in_force.clone(), ..draft(2, 1, "b") };
    let refused = publish(&client, &behind).await.expect_err("hosts are ahead");
    assert_eq!(refused.code, Code::Conflict);
    assert!(refused.detail.contains(r#"host "entry-7" has version 5"#), "{refused}");
    assert!(refused.detail.contains("--expect 5"), "{refused}");
    let ahead = Draft { in_force, ..draft(2, 5, "b") };
    assert_eq!(publish(&client, &ahead).await.expect("published").version, 6);
    assert_eq!(history_keys(&platform).len(), 2);
}

#[tokio::test]
async fn the_history_keeps_only_the_newest_versions() {
    let (platform, client) = start().await;
    for version in 0..HISTORY_VERSIONS + 5 {
        let change = format!("c{version}");
        publish(&client, &draft(version + 1, version, &change)).await.expect("published");
    }
    assert_eq!(history_keys(&platform).len() as u64, HISTORY_VERSIONS);
    let current = platform.with_store(|s| s.value("/cf/profile/p")).expect("stored");
    let StoredRecord::Readable(current) =
        stored::read(RecordKind::Profile, "p", current.as_bytes())
    else {
        panic!("unreadable: {current}");
    };
    assert_eq!(current.version, HISTORY_VERSIONS + 5);
}

/// Lines of two requests on two hosts, out of order and with text before their JSON objects.
const LOG: &str = r#"
 -1.20 entry-1 {"time":"2026-12-04T01:00:00.000Z","host":"entry-1","event":3002,"message":"upstream ejected","service":"s","upstream":"u1"}
  0.10 entry-1 {"time":"2026-12-04T01:00:01.000Z","host":"entry-1","event":2001,"message":"request accepted","request":"r-1","step":1,"steps":3,"deadline_ms":800}
  0.10 entry-2 {"time":"2026-12-04T01:00:01.000Z","host":"entry-2","event":2001,"message":"request accepted","request":"r-2","step":1,"steps":2,"deadline_ms":800}
  0.90 entry-1 {"time":"2026-12-04T01:00:01.800Z","host":"entry-1","event":2007,"message":"caller answered","request":"r-1","step":3,"steps":3,"code":3001}
  0.11 entry-1 {"time":"2026-12-04T01:00:01.002Z","host":"entry-1","event":2003,"message":"attempt sent","request":"r-1","step":2,"steps":3,"upstream":"u1","load":2.0}
  a line of another program
"#;

#[test]
fn the_lines_of_a_request_and_the_events_of_its_upstream_are_in_order_of_time() {
    let lines = explain::read(LOG.as_bytes()).expect("log");
    let explanation = explain::explain("r-1", &lines);
    let texts: Vec<String> = explanation.lines.iter().map(explain::Line::text).collect();
    assert_eq!(
        texts,
        [
            "2026-12-04T01:00:00.000Z entry-1 3002 upstream ejected service=s upstream=u1",
            "2026-12-04T01:00:01.000Z entry-1 2001 request accepted deadline_ms=800",
            "2026-12-04T01:00:01.002Z entry-1 2003 attempt sent load=2.0 upstream=u1",
            "2026-12-04T01:00:01.800Z entry-1 2007 caller answered code=3001",
        ]
    );
    assert!(explanation.missing.is_empty());
}

#[test]
fn missing_steps_are_listed() {
    let without: String =
        LOG.lines().filter(|l| !l.contains("2003")).map(|l| l.to_owned() + "\n").collect();
    let explanation = explain::explain("r-1", &explain::read(without.as_bytes()).expect("log"));
    assert_eq!(explanation.missing, ["step 2 of 3"]);
    assert!(explain::explain("r-9", &[]).lines.is_empty());
}

#[test]
fn a_routing_is_shown_without_keys() {
    let team = Team { name: "harbour".into(), keys: vec!["secret".into()], ..Team::default() };
    let routing = Routing { teams: Some(vec![Arc::new(team)]), ..Routing::default() };
    let text = document::text(&Body::Routing(Arc::new(routing)));
    assert!(text.contains("harbour") && !text.contains("secret"), "{text}");
}
