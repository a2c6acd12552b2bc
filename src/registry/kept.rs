//! Carries out what keeps this host's keys in the registry.

use crate::decide::kept::{KeptKeys, Step, WantedKey};
use crate::node::Node;
use crate::platform::{Client, Consistency};
use crate::store::call::{CallError, LeaseId};

/// Brings the registry to the `wanted` keys, which are sorted and begin with `prefix`.
///
/// # Errors
///
/// Returns the [`CallError`] of the first call that fails. The rest is left to the next call of
/// this function.
pub(super) async fn update(
    node: &Node,
    client: &Client,
    keys: &mut KeptKeys,
    wanted: &[WantedKey],
    prefix: &str,
) -> Result<(), CallError> {
    loop {
        let era = node.registry_freshness.era();
        let now = node.clock.now();
        let Some(step) = keys.next(wanted, era, now) else { return Ok(()) };
        match step {
            Step::End(lease) => {
                client.revoke(LeaseId(lease)).await?;
                keys.on_ended(lease);
            }
            Step::Renew(lease) => {
                let exists = client.renew(LeaseId(lease)).await?;
                keys.on_renewed(lease, exists, now);
            }
            Step::Put(key, lease) => {
                let lease = match lease {
                    Some(lease) => LeaseId(lease),
                    None => client.grant(keys.ttl()).await?,
                };
                let is_put = client.put(&key.key, &key.value, lease).await?;
                if !is_put || node.registry_freshness.era() != era {
                    keys.on_ended(lease.0);
                    let reason = format!("{}: its lease has gone", key.key);
                    return Err(CallError::OutcomeUnknown(reason));
                }
                keys.on_put(&key, lease.0, era, now);
            }
            Step::List => {
                let listed = client.list(prefix, Consistency::Stale).await?;
                let items = listed.items.iter().map(|i| (&*i.key, i.lease.map(|l| l.0)));
                keys.on_listed(items, now);
            }
        }
    }
}
