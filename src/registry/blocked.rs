//! The blocked requests in the registry, from which hosts learn of them after a restart of the whole
//! fleet.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::sleep;

use crate::decide::poison::{Fingerprint, SUSPICION_PERIOD};
use crate::node::Node;
use crate::platform::Client;
use crate::settings;
use crate::store::call::{CallError, LeaseId};
use crate::time::Time;

use super::shared_retry_delay;

/// The key prefix of blocked requests, below the prefix in the settings.
const PREFIX: &str = "blocked/";
/// The time between two comparisons of the registry with what is blocked.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The time between two renewals of an entry's lease, a third of its time to live.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(200);

/// An entry that this host keeps in the registry.
#[derive(Debug)]
struct Entry {
    fingerprint: Fingerprint,
    lease: LeaseId,
    renewed: Time,
}

/// Keeps an entry in the registry for each blocked request that this host owns. An entry ends with
/// its lease, soon after the request is no longer blocked.
pub(super) async fn run(node: &Arc<Node>, cfg: &settings::Registry, client: &Client) {
    let mut rng = SmallRng::from_os_rng();
    let mut entries: Vec<Entry> = Vec::new();
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = node.clock.now();
        let owned = owned(node, now);
        if let Err(e) = update(client, &cfg.prefix, &mut entries, &owned, now).await {
            log::info!("registry: can't store the blocked requests: {e}");
            sleep(shared_retry_delay(node, &mut rng)).await;
        }
    }
}

/// Returns the blocked requests whose entries this host has to keep, sorted.
fn owned(node: &Node, now: Time) -> Vec<Fingerprint> {
    let blocked: Vec<Fingerprint> = node.poison_requests.lock().blocked(now).collect();
    let members = node.members.lock();
    let is_owned = |f: &Fingerprint| members.owns(&format!("{PREFIX}{f}"), now);
    blocked.into_iter().filter(is_owned).collect()
}

/// Stores the entries that are missing, renews the others, and ends those that are not needed.
async fn update(
    client: &Client,
    prefix: &str,
    entries: &mut Vec<Entry>,
    owned: &[Fingerprint],
    now: Time,
) -> Result<(), CallError> {
    while let Some(at) = entries.iter().position(|e| owned.binary_search(&e.fingerprint).is_err()) {
        client.revoke(entries[at].lease).await?;
        entries.remove(at);
    }
    let due = |e: &Entry| now.since(e.renewed) >= RENEWAL_INTERVAL;
    while let Some(at) = entries.iter().position(due) {
        match client.renew(entries[at].lease).await? {
            true => entries[at].renewed = now,
            false => drop(entries.remove(at)),
        }
    }
    for &fingerprint in owned {
        if entries.iter().any(|e| e.fingerprint == fingerprint) {
            continue;
        }
        let lease = client.grant(SUSPICION_PERIOD).await?;
        if client.put(&key(prefix, fingerprint), b"{}", lease).await? {
            entries.push(Entry { fingerprint, lease, renewed: now });
        }
    }
    Ok(())
}

fn key(prefix: &str, fingerprint: Fingerprint) -> String {
    format!("{prefix}{PREFIX}{fingerprint}")
}

/// Returns the request that a key of the registry lists as blocked.
pub(super) fn fingerprint(prefix: &str, key: &str) -> Option<Fingerprint> {
    let hex = key.strip_prefix(prefix)?.strip_prefix(PREFIX)?;
    u64::from_str_radix(hex, 16).ok().map(Fingerprint)
}
