//! Keeps this host's copy of the platform's registry current, and its own registration alive. The
//! registry holds the operator's config, the upstreams and the hosts by which the fleet is found.
//!
//! A few hosts poll the changes, and the others receive them in digests, see
//! [`crate::decide::reads`]. Any host whose copy becomes too old reads for itself, whatever the
//! reason. This bounds the age of every copy without the need to detect that a reader has failed.

mod blocked;
mod evacuation;
mod fleet;
mod follower;
mod freshness;
mod kept;
mod registration;

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use tokio::sync::oneshot;

use crate::event::{EventCode, Subject};
use crate::node::Node;
use crate::platform::{Client, ClientHooks};
use crate::settings;

use follower::Follower;
pub(crate) use freshness::RegistryFreshness;

/// The rate of reads per second of the whole fleet while reads fail. The first one that succeeds
/// spreads to all hosts.
const RETRIES_PER_SECOND: f64 = 25.0;
/// The maximum delay after a failed read in a large fleet. A host that loses its peers in the
/// meantime gets no updates for that long.
const SHARED_RETRY_DELAY_MAX: Duration = Duration::from_millis(2_000);
/// The size of a response that is recorded as an event: 50 ms of a link of 10 Mbit/s.
const LARGE_RESPONSE_BYTES: usize = 64 << 10;
/// The key prefix of entry host registrations, below the prefix in the settings.
const HOSTS_PREFIX: &str = "hosts/";

/// Follows the registry and keeps this host registered until the process exits. Returns at once if
/// the settings name no registry.
pub(crate) async fn run(node: Arc<Node>) {
    let Some(cfg) = node.settings.registry.clone() else { return };
    let calls = node.metrics.call_counter();
    let client = Client::connect(cfg.address, cfg.calls_per_second, calls, client_hooks(&node));
    let (own_registration, previous) = oneshot::channel();
    let mut follower = Follower::new(&node, &cfg, &client, own_registration);
    tokio::join!(
        registration::run(&node, &cfg, &client, previous),
        blocked::run(&node, &cfg, &client),
        fleet::run(&node, &cfg, &client),
        follower.run()
    );
}

/// Returns the callbacks by which a client tells the node of the registry's era and of the size of
/// its responses, and learns how late this process is.
fn client_hooks(node: &Arc<Node>) -> ClientHooks {
    let (era_node, delay_node, size_node) = (node.clone(), node.clone(), node.clone());
    ClientHooks {
        observe_era: Box::new(move |stated| era_node.observe_registry_era(stated)),
        response_delay: Box::new(move || {
            delay_node.overload.lock().response_delay(delay_node.clock.now())
        }),
        observe_size: Box::new(move |bytes| {
            size_node.metrics.count_read_bytes(bytes);
            if bytes >= LARGE_RESPONSE_BYTES {
                let bytes = u64::try_from(bytes).ok();
                size_node.events.record(EventCode::LargeRead, Subject::default(), bytes);
            }
        }),
    }
}

fn registration_key(cfg: &settings::Registry, host: &str) -> String {
    format!("{}{HOSTS_PREFIX}{host}", cfg.prefix)
}

/// Returns a random delay after a failed call, at most [`SHARED_RETRY_DELAY_MAX`], by which the
/// live hosts together keep to [`RETRIES_PER_SECOND`].
fn shared_retry_delay(node: &Node, rng: &mut SmallRng) -> Duration {
    let alive = node.members.lock().alive(node.clock.now()).count() + 1;
    let delay = Duration::from_secs_f64(alive as f64 / RETRIES_PER_SECOND);
    delay.min(SHARED_RETRY_DELAY_MAX).mul_f64(rng.random_range(0.5..=1.0))
}
