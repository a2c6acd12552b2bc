//! The requests of one service that wait for a slot.

use std::collections::VecDeque;
use std::time::Duration;

use crate::config::Priority;
use crate::decide::admission::{Request, Ticket};
use crate::time::Time;

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiter {
    pub(crate) ticket: Ticket,
    pub(crate) req: Request,
}

/// The requests that wait, by priority and then by arrival.
#[derive(Debug)]
pub(crate) struct Queue {
    lanes: [VecDeque<Waiter>; LANES],
    next: u64,
    earliest: Time,
}

/// Number of priorities.
const LANES: usize = 3;
/// Time between two searches for requests that have waited too long.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(1);
/// A time that never comes.
const NEVER: Time = Time::from_micros(u64::MAX);

impl Default for Queue {
    fn default() -> Queue {
        Queue { lanes: Default::default(), next: 0, earliest: NEVER }
    }
}

impl Queue {
    /// Returns the number of requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.lanes.iter().map(VecDeque::len).sum()
    }

    /// Returns the requests that wait, by priority and then by arrival.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Waiter> {
        self.lanes.iter().flatten()
    }

    /// Tells whether none waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.lanes.iter().all(VecDeque::is_empty)
    }

    /// Returns the number of requests that go before a new one of `priority`.
    pub(crate) fn ahead(&self, priority: Priority) -> usize {
        self.lanes[..=lane(priority)].iter().map(VecDeque::len).sum()
    }

    /// Adds a request at the end of its priority.
    pub(crate) fn push(&mut self, req: Request) -> Ticket {
        let ticket = Ticket::from(self.next);
        self.next += 1;
        self.earliest = self.earliest.min(last_start(&req));
        self.lanes[lane(req.priority)].push_back(Waiter { ticket, req });
        ticket
    }

    /// Returns the request that goes next.
    pub(crate) fn front(&self) -> Option<&Waiter> {
        self.lanes.iter().find_map(VecDeque::front)
    }

    /// Removes the request that goes next.
    pub(crate) fn pop(&mut self) -> Option<Waiter> {
        self.lanes.iter_mut().find_map(VecDeque::pop_front)
    }

    /// Removes all requests, in order.
    pub(crate) fn drain(&mut self) -> impl Iterator<Item = Waiter> + '_ {
        self.lanes.iter_mut().flat_map(|lane| lane.drain(..))
    }

    /// Removes the newest request of the lowest priority, if that is below `priority`.
    pub(crate) fn pop_below(&mut self, priority: Priority) -> Option<Waiter> {
        self.lanes[lane(priority) + 1..].iter_mut().rev().find_map(VecDeque::pop_back)
    }

    /// Removes a request. Tells whether it waited.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> bool {
        for lane in &mut self.lanes {
            if let Ok(at) = lane.binary_search_by_key(&ticket, |w| w.ticket) {
                lane.remove(at);
                return true;
            }
        }
        false
    }

    /// Removes the requests for which `expired` holds and returns them. Looks only if one may have
    /// waited too long.
    pub(crate) fn expire(&mut self, now: Time, expired: impl Fn(&Request) -> bool) -> Vec<Waiter> {
        if now < self.earliest {
            return Vec::new();
        }
        let mut out = Vec::new();
        let mut earliest = NEVER;
        for lane in &mut self.lanes {
            lane.retain(|w| {
                let gone = expired(&w.req);
                match gone {
                    true => out.push(*w),
                    false => earliest = earliest.min(last_start(&w.req)),
                }
                !gone
            });
        }
        self.earliest = earliest.max(now + EXPIRY_INTERVAL);
        out
    }
}

fn last_start(req: &Request) -> Time {
    req.wait_until.min(req.deadline)
}

fn lane(priority: Priority) -> usize {
    match priority {
        Priority::Urgent => 0,
        Priority::Normal => 1,
        Priority::Deferrable => 2,
    }
}
