//! Tests of publishing against the stand-in platform, over real sockets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::document;
use super::explain;
use super::publish::{self, Draft, HISTORY_VERSIONS, InForce};
use crate::decide::catalog::{Record, RecordKind};
use crate::decide::stored::{self, StoredRecord};
use crate::error::{Code, Error};
use crate::settings;
use crate::standin::platform::Platform;
use crate::store::client::Client;

/// Long enough for any read-back, so that only a test of giving up sets a shorter one.
const PATIENCE: Duration = Duration::from_secs(20);

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
    publish_within(client, draft, PATIENCE).await
}

async fn publish_within(
    client: &Client,
    draft: &Draft,
    patience: Duration,
) -> Result<Record, Error> {
    publish::publish(client, draft, patience, &mut SmallRng::seed_from_u64(1)).await
}

fn versions(platform: &Platform) -> Vec<String> {
    platform.with_store(|s| s.keys("/cf/history/profile/p/"))
}

#[tokio::test]
async fn of_two_operators_at_once_one_is_accepted_and_the_other_sees_what_differs() {
    let (platform, client) = start().await;
    publish(&client, &draft(1, 0, "first")).await.expect("published");
    platform.with_faults(|f| f.delay = Duration::from_millis(20));
    let (a, b) = (draft(100, 1, "anna"), draft(200, 1, "bjorn"));
    let (a, b) = tokio::join!(publish(&client, &a), publish(&client, &b));
    let (won, lost) = if a.is_ok() { (a, b) } else { (b, a) };
    let (won, lost) = (won.expect("one is accepted"), lost.expect_err("one is refused"));
    assert_eq!((won.version, lost.code), (2, Code::Conflict));
    assert!(lost.detail.contains(&format!("version 2 by {}", won.author)), "{lost}");
    assert!(lost.detail.contains("-    \"deadline_ms\": "), "{lost}");
    assert!(lost.detail.contains("+    \"deadline_ms\": "), "{lost}");
    assert_eq!(versions(&platform).len(), 2);
}

#[tokio::test]
async fn a_lost_answer_is_read_back_and_nothing_is_published_twice() {
    let (platform, client) = start().await;
    platform.with_faults(|f| f.lose_answers = 1);
    let first = publish(&client, &draft(1, 0, "a")).await.expect("published");
    publish(&client, &draft(2, 1, "b")).await.expect("published");
    let again = publish(&client, &draft(1, 0, "a")).await.expect("repeated, though overtaken");
    assert_eq!(again, first);
    assert_eq!(versions(&platform).len(), 2);
}

#[tokio::test]
async fn an_outage_after_the_write_is_unknown_and_the_same_command_is_safe_to_repeat() {
    let (platform, client) = start().await;
    platform.with_faults(|f| {
        f.lose_answers = 1;
        f.down_after_write = true;
    });
    let patience = Duration::from_millis(500);
    let unknown = publish_within(&client, &draft(1, 0, "a"), patience).await.expect_err("outage");
    assert_eq!(unknown.code, Code::PublishUnknown);
    assert!(unknown.detail.contains("--change a"), "{unknown}");
    platform.with_faults(|f| *f = Default::default());
    let record = publish(&client, &draft(1, 0, "a")).await.expect("found");
    assert_eq!((record.version, versions(&platform).len()), (1, 1));
}

#[tokio::test]
async fn an_outage_before_the_write_says_that_nothing_was_stored() {
    let (platform, client) = start().await;
    platform.with_faults(|f| f.down = true);
    let patience = Duration::from_millis(200);
    let failed = publish_within(&client, &draft(1, 0, "a"), patience).await.expect_err("outage");
    assert_eq!(failed.code, Code::Unreachable);
    assert!(versions(&platform).is_empty());
}

#[tokio::test]
async fn a_version_not_above_what_hosts_have_in_force_is_not_published() {
    let (platform, client) = start().await;
    publish(&client, &draft(1, 0, "a")).await.expect("published");
    let in_force = Some(InForce { host: "entry-7".to_owned(), version: 5 });
    let behind = Draft { in_force: in_force.clone(), ..draft(2, 1, "b") };
    let refused = publish(&client, &behind).await.expect_err("hosts are ahead");
    assert_eq!(refused.code, Code::Conflict);
    assert!(refused.detail.contains(r#"host "entry-7" has version 5"#), "{refused}");
    assert!(refused.detail.contains("--expect 5"), "{refused}");
    let ahead = Draft { in_force, ..draft(2, 5, "b") };
    assert_eq!(publish(&client, &ahead).await.expect("published").version, 6);
    assert_eq!(versions(&platform).len(), 2);
}

#[tokio::test]
async fn the_history_keeps_the_newest_versions() {
    let (platform, client) = start().await;
    for version in 0..HISTORY_VERSIONS + 5 {
        let change = format!("c{version}");
        publish(&client, &draft(version + 1, version, &change)).await.expect("published");
    }
    assert_eq!(versions(&platform).len() as u64, HISTORY_VERSIONS);
    let held = platform.with_store(|s| s.value("/cf/profile/p")).expect("stored");
    let StoredRecord::Readable(held) = stored::read(RecordKind::Profile, "p", held.as_bytes())
    else {
        panic!("unreadable: {held}");
    };
    assert_eq!(held.version, HISTORY_VERSIONS + 5);
}

const LOG: &str = r#"
 -1.20 entry-1 {"time":"2026-12-04T01:00:00.000Z","host":"entry-1","event":3002,"message":"upstream ejected","service":"s","upstream":"u1"}
  0.10 entry-1 {"time":"2026-12-04T01:00:01.000Z","host":"entry-1","event":2001,"message":"request accepted","request":"r-1","step":1,"steps":3,"deadline_ms":800}
  0.10 entry-2 {"time":"2026-12-04T01:00:01.000Z","host":"entry-2","event":2001,"message":"request accepted","request":"r-2","step":1,"steps":2,"deadline_ms":800}
  0.90 entry-1 {"time":"2026-12-04T01:00:01.800Z","host":"entry-1","event":2007,"message":"caller answered","request":"r-1","step":3,"steps":3,"code":3001}
  0.11 entry-1 {"time":"2026-12-04T01:00:01.002Z","host":"entry-1","event":2003,"message":"attempt sent","request":"r-1","step":2,"steps":3,"upstream":"u1","load":2.0}
  a line of another program
"#;

#[test]
fn a_request_is_explained_in_order_with_what_else_happened_to_its_upstream() {
    let lines = explain::read(LOG.as_bytes()).expect("log");
    let found = explain::explain("r-1", &lines);
    let texts: Vec<String> = found.lines.iter().map(explain::Line::text).collect();
    assert_eq!(
        texts,
        [
            "2026-12-04T01:00:00.000Z entry-1 3002 upstream ejected service=s upstream=u1",
            "2026-12-04T01:00:01.000Z entry-1 2001 request accepted deadline_ms=800",
            "2026-12-04T01:00:01.002Z entry-1 2003 attempt sent load=2.0 upstream=u1",
            "2026-12-04T01:00:01.800Z entry-1 2007 caller answered code=3001",
        ]
    );
    assert!(found.missing.is_empty());
}

#[test]
fn a_line_that_was_dropped_is_named() {
    let without: String =
        LOG.lines().filter(|l| !l.contains("2003")).map(|l| l.to_owned() + "\n").collect();
    let found = explain::explain("r-1", &explain::read(without.as_bytes()).expect("log"));
    assert_eq!(found.missing, ["step 2 of 3"]);
    assert!(explain::explain("r-9", &[]).lines.is_empty());
}
