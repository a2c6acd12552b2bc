//! Requests that wait for a decision.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::decide::admit::{Admission, Ticket};

/// The requests that wait, sorted by service and ticket.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    rows: Mutex<Vec<Waiter>>,
}

#[derive(Debug)]
struct Waiter {
    service: Arc<str>,
    ticket: Ticket,
    tx: oneshot::Sender<Admission>,
}

impl Waiter {
    fn key(&self) -> (&str, Ticket) {
        (&self.service, self.ticket)
    }
}

impl Waiting {
    /// Registers a request. The caller holds the tables' lock, so that no decision is missed.
    pub(crate) fn register(
        &self,
        service: &Arc<str>,
        ticket: Ticket,
    ) -> oneshot::Receiver<Admission> {
        let (tx, rx) = oneshot::channel();
        let mut rows = self.rows.lock();
        let at = rows.partition_point(|w| w.key() < (&**service, ticket));
        rows.insert(at, Waiter { service: service.clone(), ticket, tx });
        rx
    }

    /// Hands a decision to the request that waits for it. Returns the decision if the request has
    /// gone.
    pub(crate) fn deliver(
        &self,
        service: &str,
        ticket: Ticket,
        admission: Admission,
    ) -> Option<Admission> {
        let mut rows = self.rows.lock();
        let found = rows.binary_search_by(|w| w.key().cmp(&(service, ticket)));
        let Ok(at) = found else { return Some(admission) };
        rows.remove(at).tx.send(admission).err()
    }

    /// Returns how many requests of a service wait.
    pub(crate) fn count(&self, service: &str) -> usize {
        let rows = self.rows.lock();
        let from = rows.partition_point(|w| *w.service < *service);
        rows[from..].partition_point(|w| *w.service <= *service)
    }

    #[allow(dead_code, reason = "the request path takes it into use")]
    /// Forgets a request that no longer waits.
    pub(crate) fn forget(&self, service: &str, ticket: Ticket) {
        let mut rows = self.rows.lock();
        let found = rows.binary_search_by(|w| w.key().cmp(&(service, ticket)));
        if let Ok(at) = found {
            rows.remove(at);
        }
    }
}
