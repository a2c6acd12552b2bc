//! Reads the operator's orders to evacuate data centres from the registry.

use std::sync::Arc;
use std::time::Duration;

use crate::decide::evacuation::EvacuationOrder;
use crate::decide::registered::Revision;
use crate::node::Node;
use crate::platform::{Change, Client, Consistency, evacuation};
use crate::store::call::CallError;
use crate::time::Time;

/// How long after the registry has returned from an older copy an order that the copy lacks stays in
/// force, for the operator to write it again.
const REWRITE_TIME: Duration = Duration::from_secs(5);

/// What a host has read of the operator's orders.
#[derive(Debug, Default)]
pub(super) struct EvacuationReader {
    /// The data centres whose evacuation the registry lists, as of the last read, sorted.
    listed: Vec<Arc<str>>,
    /// The registry's era, and when this host first listed the registry in it.
    era: Option<(u32, Time)>,
}

impl EvacuationReader {
    /// Begins a new listing of the registry, which contains every order.
    pub(super) fn begin_listing(&mut self, era: u32, now: Time) {
        self.listed.clear();
        if self.era.is_none_or(|(known, _)| known != era) {
            self.era = Some((era, now));
        }
    }

    /// Applies a change of the registry, if it concerns an order.
    pub(super) fn apply(&mut self, node: &Node, change: &Change) {
        let Some(data_centre) = evacuation::data_centre(&change.key) else { return };
        let active = change.value.is_some();
        match self.listed.binary_search_by(|d| (**d).cmp(data_centre)) {
            Err(at) if active => self.listed.insert(at, data_centre.into()),
            Ok(at) if !active => drop(self.listed.remove(at)),
            _ => {}
        }
        let version = change.revision;
        node.observe_evacuation(&EvacuationOrder {
            data_centre: data_centre.into(),
            active,
            version,
        });
    }

    /// Ends the evacuations that the registry, read up to `read_up_to`, no longer lists, such as
    /// those taken back while this host did not read. As the listing may be seconds old, reads the
    /// orders anew first.
    ///
    /// # Errors
    ///
    /// Returns the [`CallError`] if the orders can't be read.
    pub(super) async fn confirm(
        &mut self,
        node: &Node,
        client: &Client,
        read_up_to: Revision,
        now: Time,
    ) -> Result<(), CallError> {
        let is_settled = self.era.is_some_and(|(_, since)| now.since(since) >= REWRITE_TIME);
        let unlisted = node.evacuations.lock().unlisted(&self.listed, read_up_to, is_settled);
        if unlisted.is_empty() {
            return Ok(());
        }
        let orders = client.list(evacuation::PREFIX, Consistency::Linearizable).await?;
        if orders.revision.era != read_up_to.era {
            return Ok(());
        }
        orders.items.iter().for_each(|order| self.apply(node, order));
        for data_centre in unlisted {
            if self.listed.binary_search(&data_centre).is_err() {
                node.observe_evacuation(&EvacuationOrder {
                    data_centre,
                    active: false,
                    version: read_up_to,
                });
            }
        }
        Ok(())
    }
}
