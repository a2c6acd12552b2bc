//! Requests that are waiting for admission.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

use crate::decide::admission::{Admission, Ticket};
use crate::node::Node;

/// The waiting requests, sorted by service and ticket.
#[derive(Debug, Default)]
pub(crate) struct WaitingRequests {
    entries: Mutex<Vec<Entry>>,
    queued: Notify,
}

#[derive(Debug)]
struct Entry {
    service: Arc<str>,
    ticket: Ticket,
    tx: oneshot::Sender<Admission>,
}

impl Entry {
    fn key(&self) -> (&str, Ticket) {
        (&self.service, self.ticket)
    }
}

impl WaitingRequests {
    /// Registers a request. The service tables must be locked, so that no decision is missed.
    pub(crate) fn register(
        &self,
        service: &Arc<str>,
        ticket: Ticket,
    ) -> oneshot::Receiver<Admission> {
        let (tx, rx) = oneshot::channel();
        let mut entries = self.entries.lock();
        let at = entries.partition_point(|e| e.key() < (&**service, ticket));
        entries.insert(at, Entry { service: service.clone(), ticket, tx });
        self.queued.notify_one();
        rx
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.lock().is_empty()
    }

    /// Completes when a request was registered. May complete spuriously.
    pub(crate) async fn queued(&self) {
        self.queued.notified().await;
    }

    /// Delivers a decision to a waiting request. Returns the decision if the request is gone.
    pub(crate) fn deliver(
        &self,
        service: &str,
        ticket: Ticket,
        admission: Admission,
    ) -> Option<Admission> {
        let mut entries = self.entries.lock();
        let found = entries.binary_search_by(|e| e.key().cmp(&(service, ticket)));
        let Ok(at) = found else { return Some(admission) };
        entries.remove(at).tx.send(admission).err()
    }

    /// Returns the number of waiting requests of a service.
    pub(crate) fn count(&self, service: &str) -> usize {
        let entries = self.entries.lock();
        let from = entries.partition_point(|e| *e.service < *service);
        entries[from..].partition_point(|e| *e.service <= *service)
    }

    /// Removes a request that no longer waits.
    pub(crate) fn remove(&self, service: &str, ticket: Ticket) {
        let mut entries = self.entries.lock();
        let found = entries.binary_search_by(|e| e.key().cmp(&(service, ticket)));
        if let Ok(at) = found {
            entries.remove(at);
        }
    }
}

/// The receiving end of a waiting request's decision. Dropping it before the decision was taken
/// releases the slot or the place in the queue.
#[derive(Debug)]
pub(crate) struct Waiter {
    node: Arc<Node>,
    service: Arc<str>,
    ticket: Ticket,
    rx: oneshot::Receiver<Admission>,
    decided: bool,
}

impl Waiter {
    pub(crate) fn new(
        node: &Arc<Node>,
        service: &Arc<str>,
        ticket: Ticket,
        rx: oneshot::Receiver<Admission>,
    ) -> Waiter {
        Waiter { node: node.clone(), service: service.clone(), ticket, rx, decided: false }
    }

    /// Waits for the decision. Returns `None` if the request was removed.
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
