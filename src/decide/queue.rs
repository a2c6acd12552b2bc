//! The queue of a service's requests that wait for a slot.

use std::collections::VecDeque;
use std::time::Duration;

use crate::config::Priority;
use crate::decide::admission::{Request, Ticket};
use crate::time::Time;

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) ticket: Ticket,
    pub(crate) req: Request,
}

/// A queue ordered by priority and then by arrival.
#[derive(Debug)]
pub(crate) struct Queue {
    lanes: [VecDeque<QueuedRequest>; PRIORITIES],
    next_ticket: u64,
    /// When the next search for expired requests is due.
    next_expiry: Time,
}

const PRIORITIES: usize = 3;
/// The shortest time between two searches for expired requests.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(1);
const NEVER: Time = Time::from_micros(u64::MAX);

impl Default for Queue {
    fn default() -> Queue {
        Queue { lanes: Default::default(), next_ticket: 0, next_expiry: NEVER }
    }
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.lanes.iter().map(VecDeque::len).sum()
    }

    /// Returns the requests by priority and then by arrival.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.lanes.iter().flatten()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.lanes.iter().all(VecDeque::is_empty)
    }

    /// Returns the number of requests that a new one of `priority` would have before it.
    pub(crate) fn ahead(&self, priority: Priority) -> usize {
        self.lanes[..=lane(priority)].iter().map(VecDeque::len).sum()
    }

    /// Adds a request after those of its priority.
    pub(crate) fn push(&mut self, req: Request) -> Ticket {
        let ticket = Ticket::from(self.next_ticket);
        self.next_ticket += 1;
        self.next_expiry = self.next_expiry.min(expiry(&req));
        self.lanes[lane(req.priority)].push_back(QueuedRequest { ticket, req });
        ticket
    }

    /// Returns the request at the head.
    pub(crate) fn front(&self) -> Option<&QueuedRequest> {
        self.lanes.iter().find_map(VecDeque::front)
    }

    /// Removes the request at the head.
    pub(crate) fn pop(&mut self) -> Option<QueuedRequest> {
        self.lanes.iter_mut().find_map(VecDeque::pop_front)
    }

    /// Removes all requests, in order.
    pub(crate) fn drain(&mut self) -> impl Iterator<Item = QueuedRequest> + '_ {
        self.lanes.iter_mut().flat_map(|lane| lane.drain(..))
    }

    /// Removes the newest request of the lowest priority, if that is lower than `priority`.
    pub(crate) fn pop_below(&mut self, priority: Priority) -> Option<QueuedRequest> {
        self.lanes[lane(priority) + 1..].iter_mut().rev().find_map(VecDeque::pop_back)
    }

    /// Removes a request. Returns whether it was in the queue.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> bool {
        for lane in &mut self.lanes {
            if let Ok(index) = lane.binary_search_by_key(&ticket, |w| w.ticket) {
                lane.remove(index);
                return true;
            }
        }
        false
    }

    /// Removes and returns the requests for which `expired` holds. Does nothing before the earliest
    /// wait limit or deadline of a queued request has passed.
    pub(crate) fn expire(
        &mut self,
        now: Time,
        expired: impl Fn(&Request) -> bool,
    ) -> Vec<QueuedRequest> {
        if now < self.next_expiry {
            return Vec::new();
        }
        let mut removed = Vec::new();
        let mut next_expiry = NEVER;
        for lane in &mut self.lanes {
            lane.retain(|w| {
                let is_expired = expired(&w.req);
                match is_expired {
                    true => removed.push(*w),
                    false => next_expiry = next_expiry.min(expiry(&w.req)),
                }
                !is_expired
            });
        }
        self.next_expiry = next_expiry.max(now + EXPIRY_INTERVAL);
        removed
    }
}

fn expiry(req: &Request) -> Time {
    req.wait_until.min(req.deadline)
}

fn lane(priority: Priority) -> usize {
    match priority {
        Priority::Urgent => 0,
        Priority::Normal => 1,
        Priority::Deferrable => 2,
    }
}
