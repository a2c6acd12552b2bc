//! This host's registration as a contact, by which other hosts find the fleet.
//!
//! Hosts find each other by the seeds in their settings and by what their peers tell them. Only the
//! seeds, and hosts that found no peer, register. So the registry holds a few contacts, and not an
//! entry and a lease of every host.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::decide::hosts::{Host, Role};
use crate::decide::upstream::State;
use crate::node::Node;
use crate::platform::{Change, Client};
use crate::settings;
use crate::store::backoff::Backoff;
use crate::store::call::{CallError, LeaseId};

use super::{registration_key, shared_retry_delay};

/// How long a starting host waits for its first read before it registers. That read may show a
/// registration left by an earlier process of the host.
const FIRST_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a host that is not a seed looks for peers before it registers: several times what an
/// exchange with a seed takes. A random factor of up to 2 is added.
const PEER_SEARCH_TIME: Duration = Duration::from_secs(1);
/// The time between two checks whether this host has found a peer.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The time between two checks whether the registry has returned from an older copy.
const ERA_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The time to live of the lease of a host's registration.
const LEASE_TTL: Duration = Duration::from_secs(30);
/// The time between two renewals of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(10);
/// The maximum delay after a failed renewal. The lease of a registration is several times as long.
const RENEWAL_RETRY_DELAY_MAX: Duration = Duration::from_secs(5);

/// Keeps this host registered once it has to be, so that other hosts find it. An identical
/// registration left by an earlier process of the host is taken over with its lease. `previous`
/// receives this host's registration as the first full read shows it.
pub(super) async fn run(
    node: &Arc<Node>,
    cfg: &settings::Registry,
    client: &Client,
    previous: oneshot::Receiver<Option<Change>>,
) {
    let Some(peer) = node.settings.peer else { return };
    let host = Host {
        name: node.settings.host.clone(),
        address: node.settings.caller,
        data_centre: node.settings.data_centre.clone(),
        role: Role::Entry,
        service: None,
        state: State::Live,
        slots: 0,
        peer: Some(peer),
        admin: Some(node.settings.admin),
        born: None,
    };
    let key = registration_key(cfg, &host.name);
    let value = serde_json::to_vec(&host).expect("a host can be serialized");
    let (mut rng, mut backoff) = (SmallRng::from_os_rng(), Backoff::default());
    let previous = tokio::time::timeout(FIRST_READ_TIMEOUT, previous).await;
    let mut lease = match previous {
        Ok(Ok(Some(own))) if own.value.as_ref() == Some(&value) => own.lease,
        _ => None,
    };
    if lease.is_none() {
        wait_until_needed(node, &mut rng).await;
    }
    loop {
        let era = node.registry_freshness.era();
        let delay = match renew(client, &key, &value, lease).await {
            Ok(Some(renewed)) => {
                lease = Some(renewed);
                node.registered.lock().get_or_insert(node.clock.now());
                backoff.reset();
                RENEWAL_INTERVAL
            }
            Ok(None) => {
                log::info!("registration: the lease has expired, requesting a new one");
                lease = None;
                backoff.next_delay(&mut rng)
            }
            Err(e) => {
                log::debug!("registration failed: {e}");
                match lease {
                    Some(_) => RENEWAL_RETRY_DELAY_MAX.mul_f64(rng.random_range(0.5..=1.0)),
                    None => backoff.next_delay(&mut rng).max(shared_retry_delay(node, &mut rng)),
                }
            }
        };
        let rewound = wait_for_era_after(node, era);
        if tokio::time::timeout(delay, rewound).await.is_ok() {
            // The registry may lack the registration, and may have given the lease's id to another
            // host.
            lease = None;
        }
    }
}

/// Waits until the registry has returned from an older copy, in a later era than `era`.
async fn wait_for_era_after(node: &Node, era: u32) {
    while node.registry_freshness.era() <= era {
        sleep(ERA_CHECK_INTERVAL).await;
    }
}

/// Waits until this host turns out to be a seed, or has looked for peers in vain.
async fn wait_until_needed(node: &Node, rng: &mut SmallRng) {
    let search_until = node.clock.now() + PEER_SEARCH_TIME.mul_f64(rng.random_range(1.0..=2.0));
    loop {
        let now = node.clock.now();
        let is_seed = node.settings.peer.is_some_and(|p| node.latest_settings().seeds.contains(&p));
        let is_alone = || node.members.lock().alive(now).next().is_none();
        if is_seed || now >= search_until && is_alone() {
            return;
        }
        sleep(PEER_CHECK_INTERVAL).await;
    }
}

/// Renews the lease of a registration. If `lease` is `None`, creates the registration with a new
/// lease. Returns the lease, or `None` if it has expired.
async fn renew(
    client: &Client,
    key: &str,
    value: &[u8],
    lease: Option<LeaseId>,
) -> Result<Option<LeaseId>, CallError> {
    if let Some(lease) = lease {
        return Ok(client.renew(lease).await?.then_some(lease));
    }
    let lease = client.grant(LEASE_TTL).await?;
    Ok(client.put(key, value, lease).await?.then_some(lease))
}
