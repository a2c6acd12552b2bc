//! Evacuations of data centres: the operator's orders to send their upstreams nothing more.
//!
//! Any host may read of an order, and hosts tell each other what they know. Each host keeps the
//! newest order for each data centre, so that it doesn't matter in which order they arrive.

use std::sync::Arc;

use crate::decide::registered::Revision;
use crate::time::Time;

/// An order to evacuate a data centre, or the end of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationOrder {
    /// The data centre.
    pub data_centre: Arc<str>,
    /// Whether the evacuation is in force; `false` if it was taken back.
    pub active: bool,
    /// Where in the registry's history this was read.
    pub version: Revision,
}

impl EvacuationOrder {
    /// Returns whether this order replaces `other`. Of two with the same version, the one that is
    /// in force does.
    fn is_newer_than(&self, other: &EvacuationOrder) -> bool {
        (self.version, self.active) > (other.version, other.active)
    }
}

/// What a newer order changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The evacuation has begun.
    Began,
    /// The evacuation has ended. The upstreams may have become cold meanwhile.
    Ended,
    /// The state is the same, as of a later version.
    Renewed,
}

/// The newest order for a data centre, and since when its state is in force on this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// The order.
    pub order: EvacuationOrder,
    /// When this host learnt of the state.
    pub since: Time,
}

/// The evacuations that a host knows of, sorted by data centre. Those that have ended are kept, so
/// that an older order doesn't bring them back.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    rows: Vec<Evacuation>,
}

impl Evacuations {
    /// Records an order. Returns what it changes, or `None` if it is not newer than the one known.
    pub fn observe(&mut self, order: &EvacuationOrder, now: Time) -> Option<EvacuationChange> {
        let found = self.rows.binary_search_by(|r| r.order.data_centre.cmp(&order.data_centre));
        let was_active = match found {
            Ok(at) if !order.is_newer_than(&self.rows[at].order) => return None,
            Ok(at) => {
                let row = &mut self.rows[at];
                let was_active = row.order.active;
                row.order = order.clone();
                if was_active != order.active {
                    row.since = now;
                }
                was_active
            }
            Err(at) => {
                self.rows.insert(at, Evacuation { order: order.clone(), since: now });
                false
            }
        };
        Some(match (was_active, order.active) {
            (false, true) => EvacuationChange::Began,
            (true, false) => EvacuationChange::Ended,
            _ => EvacuationChange::Renewed,
        })
    }

    /// Returns the evacuations, sorted by data centre.
    pub fn rows(&self) -> &[Evacuation] {
        &self.rows
    }

    /// Returns the newest order for each data centre, sorted by data centre.
    pub fn orders(&self) -> impl Iterator<Item = &EvacuationOrder> {
        self.rows.iter().map(|r| &r.order)
    }

    /// Returns the evacuations in force, sorted by data centre.
    pub fn active(&self) -> impl Iterator<Item = &Evacuation> {
        self.rows.iter().filter(|r| r.order.active)
    }

    /// Returns the data centres whose evacuation is in force though the store, read at `read_at`,
    /// doesn't list it, sorted. `listed` holds the data centres that the store lists, sorted.
    ///
    /// An order from an earlier era is among them only if `is_settled`: the operator writes again
    /// what the store has lost, which takes some time.
    pub fn unlisted(
        &self,
        listed: &[Arc<str>],
        read_at: Revision,
        is_settled: bool,
    ) -> Vec<Arc<str>> {
        let is_unlisted = |order: &EvacuationOrder| {
            order.version < read_at
                && (is_settled || order.version.era == read_at.era)
                && listed.binary_search(&order.data_centre).is_err()
        };
        let orders = self.active().map(|r| &r.order).filter(|order| is_unlisted(order));
        orders.map(|order| order.data_centre.clone()).collect()
    }
}
