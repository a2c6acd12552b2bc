//! Requests that wait for a decision.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

use crate::decide::admission::{Admission, Ticket};
use crate::node::Node;

/// The requests that wait, sorted by service and ticket.
#[derive(Debug, Default)]
pub(crate) struct WaitingRequests {
    rows: Mutex<Vec<Row>>,
    queued: Notify,
}

#[derive(Debug)]
struct Row {
    service: Arc<str>,
    ticket: Ticket,
    tx: oneshot::Sender<Admission>,
}

impl Row {
    fn key(&self) -> (&str, Ticket) {
        (&self.service, self.ticket)
    }
}

impl WaitingRequests {
    /// Registers a request. The caller holds the tables' lock, so that no decision is missed.
    pub(crate) fn register(
        &self,
        service: &Arc<str>,
        ticket: Ticket,
    ) -> oneshot::Receiver<Admission> {
        let (tx, rx) = oneshot::channel();
        let mut rows = self.rows.lock();
        let at = rows.partition_point(|w| w.key() < (&**service, ticket));
        rows.insert(at, Row { service: service.clone(), ticket, tx });
        self.queued.notify_one();
        rx
    }

    /// Tells whether no request waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.rows.lock().is_empty()
    }

    /// Completes when a request has begun to wait. May complete early.
    pub(crate) async fn queued(&self) {
        self.queued.notified().await;
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

    /// Forgets a request that no longer waits.
    pub(crate) fn forget(&self, service: &str, ticket: Ticket) {
        let mut rows = self.rows.lock();
        let found = rows.binary_search_by(|w| w.key().cmp(&(service, ticket)));
        if let Ok(at) = found {
            rows.remove(at);
        }
    }
}

/// A request that waits. Dropping it gives back what was decided and not taken up.
#[derive(Debug)]
pub(crate) struct Waiter {
    node: Arc<Node>,
    service: Arc<str>,
    ticket: Ticket,
    rx: oneshot::Receiver<Admission>,
    decided: bool,
}

impl Waiter {
    /// Takes over a ticket and the place where its decision comes.
    pub(crate) fn new(
        node: &Arc<Node>,
        service: &Arc<str>,
        ticket: Ticket,
        rx: oneshot::Receiver<Admission>,
    ) -> Waiter {
        Waiter { node: node.clone(), service: service.clone(), ticket, rx, decided: false }
    }

    /// Returns the decision, or nothing if none will come.
    pub(crate) async fn decision(&mut self) -> Option<Admission> {
        let decision = (&mut self.rx).await.ok();
        self.decided = true;
        decision
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if self.decided {
            return;
        }
        self.rx.close();
        match self.rx.try_recv() {
            Ok(Admission::Run(target)) => self.node.cancel_attempt(&self.service, &target),
            Ok(_) => {}
            Err(_) => self.node.abandon_request(&self.service, self.ticket),
        }
    }
}
