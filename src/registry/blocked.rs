//! The blocked requests in the registry, from which hosts learn of them after a restart of the whole
//! fleet.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::sleep;

use crate::decide::kept::{self, KeptKeys, WantedKey};
use crate::decide::poison::{Fingerprint, SUSPICION_PERIOD};
use crate::node::Node;
use crate::platform::Client;
use crate::settings;
use crate::time::Time;

use super::kept::update;
use super::shared_retry_delay;

/// The key prefix of blocked requests, below the prefix in the settings.
const PREFIX: &str = "blocked/";
/// The time between two comparisons of what this host keeps with what is blocked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Keeps an entry in the registry for each blocked request that this host owns. It ends when the
/// request is no longer blocked, or expires when another host owns it.
pub(super) async fn run(node: &Arc<Node>, cfg: &settings::Registry, client: &Client) {
    let mut rng = SmallRng::from_os_rng();
    let mut keys = KeptKeys::new(SUSPICION_PERIOD);
    let prefix = format!("{}{PREFIX}", cfg.prefix);
    loop {
        sleep(CHECK_INTERVAL).await;
        let wanted = wanted(node, &prefix, node.clock.now());
        if let Err(e) = update(node, client, &mut keys, &wanted, &prefix).await {
            log::info!("registry: can't store the blocked requests: {e}");
            sleep(shared_retry_delay(node, &mut rng)).await;
        }
    }
}

/// Returns the entries that this host has to keep.
fn wanted(node: &Node, prefix: &str, now: Time) -> Vec<WantedKey> {
    let blocked: Vec<Fingerprint> = node.poison_requests.lock().blocked(now).collect();
    let members = node.members.lock();
    let is_owner = |f: &str| members.owns(&format!("{PREFIX}{f}"), now);
    let facts = blocked.iter().map(Fingerprint::to_string);
    kept::keys_of_facts(prefix, facts, &node.settings.host, is_owner)
}

/// Returns the request that a key of the registry lists as blocked. The keys of earlier releases
/// don't name the host that keeps them.
pub(super) fn fingerprint(prefix: &str, key: &str) -> Option<Fingerprint> {
    let entry = key.strip_prefix(prefix)?.strip_prefix(PREFIX)?;
    let hex = entry.split_once('/').map_or(entry, |(hex, _)| hex);
    u64::from_str_radix(hex, 16).ok().map(Fingerprint)
}
