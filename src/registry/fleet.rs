//! The record of the fleet in the registry, from which a process that starts behind a cut learns
//! how many hosts there are.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::sleep;

use crate::decide::kept::{KeptKeys, WantedKey};
use crate::node::Node;
use crate::platform::{Change, Client, Consistency};
use crate::settings;
use crate::store::call::CallError;
use crate::time::{CLOCK_START, Time};

use super::{kept, shared_retry_delay};

/// The key prefix of the records, below the prefix in the settings.
const PREFIX: &str = "fleet/";
/// The duty of keeping the record.
const DUTY: &str = "fleet";
/// The time between two comparisons of the record with the hosts that this host knows.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The time to live of a record's lease. Longer than the time in which another host takes the duty
/// over, and shorter than that for which a host remembers one that has gone.
const LEASE_TTL: Duration = Duration::from_secs(10);
/// The least time between two changes of a record.
const CHANGE_INTERVAL: Duration = Duration::from_secs(5);

/// Keeps a record of the hosts that this host knows, while that is its duty: one host has it on
/// each side of a cut. Reads the records of others for as long as they name hosts that this host
/// hasn't heard of.
pub(super) async fn run(node: &Arc<Node>, cfg: &settings::Registry, client: &Client) {
    let mut rng = SmallRng::from_os_rng();
    let mut keys = KeptKeys::new(LEASE_TTL);
    let prefix = format!("{}{PREFIX}", cfg.prefix);
    // Each process has a record of its own, as one that has started anew may know less than the one
    // before.
    let key = format!("{prefix}{}/{:016x}", node.settings.host, rand::random::<u64>());
    loop {
        sleep(CHECK_INTERVAL).await;
        let wanted = wanted(node, &key, &keys, node.clock.now());
        let updated = match kept::update(node, client, &mut keys, &wanted, &prefix).await {
            Ok(()) => read_if_due(node, client, &prefix, &key).await,
            Err(e) => Err(e),
        };
        if let Err(e) = updated {
            log::info!("registry: can't update the record of the fleet: {e}");
            sleep(shared_retry_delay(node, &mut rng)).await;
        }
    }
}

/// Returns the record that this host is to keep: its own, or one that it has kept so far and that
/// expires.
fn wanted(node: &Node, key: &str, keys: &KeptKeys, now: Time) -> Vec<WantedKey> {
    let may_have_peers = node.is_looking_for_peers(now);
    let members = node.members.lock();
    // A host that has just started may know nobody yet, and would be one of many owners.
    let has_looked = now.since(CLOCK_START) >= members.dead_after();
    let is_owned = has_looked && members.is_among_owners(DUTY, 1, may_have_peers, now);
    let last = keys.get(key);
    if !is_owned && last.is_none() {
        return Vec::new();
    }
    let changed_lately = last.filter(|(_, put)| !is_owned || now.since(*put) < CHANGE_INTERVAL);
    let value = match changed_lately {
        Some((value, _)) => value.to_vec(),
        None => {
            let known = members.members().iter().map(|m| &*m.host);
            let mut hosts: Vec<&str> = known.chain([&*node.settings.host]).collect();
            hosts.sort_unstable();
            serde_json::to_vec(&hosts).expect("names can be serialized")
        }
    };
    vec![WantedKey { key: key.to_owned(), value, is_owned }]
}

/// Reads the records, if they name hosts that this host hasn't heard of and weren't read a moment
/// ago.
async fn read_if_due(
    node: &Node,
    client: &Client,
    prefix: &str,
    own_key: &str,
) -> Result<(), CallError> {
    let now = node.clock.now();
    if !node.members.lock().has_unheard() || !node.roster.lock().is_read_due(now) {
        return Ok(());
    }
    let records = client.list(prefix, Consistency::Stale).await?;
    begin_listing(node, now);
    records.items.iter().filter(|r| r.key != own_key).for_each(|r| apply_to_roster(node, r));
    publish(node);
    Ok(())
}

/// Begins a listing of the registry, which contains every record.
pub(super) fn begin_listing(node: &Node, now: Time) {
    node.roster.lock().begin_listing(now);
}

/// Applies a change of the registry, if it is that of a record. Returns whether it is.
pub(super) fn apply(node: &Node, prefix: &str, change: &Change) -> bool {
    let is_record = change.key.strip_prefix(prefix).is_some_and(|rest| rest.starts_with(PREFIX));
    if is_record {
        apply_to_roster(node, change);
    }
    is_record
}

fn apply_to_roster(node: &Node, change: &Change) {
    let hosts = change.value.as_ref().and_then(|value| {
        let hosts = serde_json::from_slice::<Vec<Arc<str>>>(value);
        hosts.inspect_err(|e| log::info!("registry: {} can't be read: {e}", change.key)).ok()
    });
    node.roster.lock().apply(&change.key, hosts);
}

/// Tells the members which hosts the records name.
pub(super) fn publish(node: &Node) {
    let hosts = node.roster.lock().hosts();
    node.members.lock().set_recorded(hosts);
}
