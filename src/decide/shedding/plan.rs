//! The order in which queued requests are served, and which of them are refused.

use std::cmp::Reverse;

use super::{Item, Rates, Standing, seconds};
use crate::time::Time;

/// A plan for queued requests, as indices of its items.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Plan {
    /// The requests that can be started in time, in the order of service.
    pub(crate) on_time: Vec<usize>,
    /// The other requests, in the order of service, which go after those.
    pub(crate) late: Vec<usize>,
    /// The requests among `late` that are to be refused unless one is started at once, sorted.
    pub(crate) refused: Vec<usize>,
}

impl Plan {
    /// Returns the requests in the order of service.
    pub(crate) fn order(&self) -> impl DoubleEndedIterator<Item = usize> + '_ {
        self.on_time.iter().chain(&self.late).copied()
    }

    /// Returns whether a request is to be refused.
    pub(crate) fn refuses(&self, index: usize) -> bool {
        self.refused.binary_search(&index).is_ok()
    }
}

/// The order in which requests are given room, the most valuable first: kinds and teams that are
/// served too seldom, then by priority, those on time before late ones, by the value of the time that they take, by their team's
/// recent work and by their latest start.
fn value_rank(item: &Item, now: Time) -> (bool, u8, bool, i32, u32, Time) {
    let is_usual = item.standing < Standing::Behind;
    // Works within a factor of 1.4 count as equal, so that teams decide between them.
    let work = item.work.max(f32::MIN_POSITIVE).log2().round() as i32;
    let is_late = now > item.start_by;
    (is_usual, item.priority as u8, is_late, work, item.team_excess, item.start_by)
}

/// Plans the service of requests while work is started at the given rate.
///
/// Room is given in the order of value to each request that can start in time without making one
/// chosen before it late. These are served by latest start, so that one that can wait does. What
/// is late goes after them in the order of value, and is refused if its turn would come too late.
pub(crate) fn plan(items: &[Item], rates: &Rates, now: Time) -> Plan {
    let due = |item: &Item| match item.standing {
        Standing::Starved => item.start_by.max(item.last_start),
        // Not to the end, as it may be in vain.
        Standing::Overtaken => item.start_by + item.start_by.until(item.last_start) / 2,
        _ => item.start_by,
    };
    let mut by_due: Vec<usize> = (0..items.len()).filter(|&i| now <= due(&items[i])).collect();
    by_due.sort_unstable_by_key(|&i| (due(&items[i]), items[i].ticket.is_none(), items[i].ticket));
    let mut by_value: Vec<usize> = (0..by_due.len()).collect();
    by_value.sort_unstable_by_key(|&p| (value_rank(&items[by_due[p]], now), p));
    let mut schedule = Schedule::new(by_due.len());
    for position in by_value {
        let item = &items[by_due[position]];
        let room = rates.start * now.until(due(item)).as_secs_f32();
        schedule.try_insert(position, item.work, room);
    }
    let is_chosen = |position: &usize| schedule.is_chosen(*position);
    let on_time: Vec<usize> =
        (0..by_due.len()).filter(is_chosen).map(|position| by_due[position]).collect();
    let mut is_late = vec![true; items.len()];
    on_time.iter().for_each(|&i| is_late[i] = false);
    let mut late: Vec<usize> = (0..items.len()).filter(|&i| is_late[i]).collect();
    late.sort_by_key(|&i| (Reverse(now <= items[i].last_start), value_rank(&items[i], now)));
    let mut ahead: f32 = on_time.iter().map(|&i| items[i].work).sum();
    let spare = rates.spare();
    let mut refused = Vec::new();
    for &index in &late {
        let item = &items[index];
        if now > item.last_start || now + seconds(ahead / spare) > item.last_start {
            refused.push(index);
        } else {
            ahead += item.work;
        }
    }
    refused.sort_unstable();
    Plan { on_time, late, refused }
}

/// The requests chosen so far, at their positions in the order of latest starts.
///
/// A request's slack is the work that can still be put before it.
struct Schedule {
    /// Least slack of the chosen requests below each node of a binary tree, less what is pending
    /// at the nodes above. Infinite where none is chosen.
    slack: Vec<f32>,
    /// Change of slack that applies to everything below a node.
    pending: Vec<f32>,
    /// Work of the chosen requests, as a Fenwick tree.
    work: Vec<f32>,
    leaves: usize,
}

impl Schedule {
    fn new(len: usize) -> Schedule {
        let leaves = len.next_power_of_two();
        Schedule {
            slack: vec![f32::INFINITY; 2 * leaves],
            pending: vec![0.0; 2 * leaves],
            work: vec![0.0; len + 1],
            leaves,
        }
    }

    /// Chooses a request that has `room` for work up to its latest start, unless it or one chosen
    /// before would be late.
    fn try_insert(&mut self, position: usize, work: f32, room: f32) {
        let slack = room - self.work_before(position);
        if slack < 0.0 || self.least_slack_from(position + 1) < work {
            return;
        }
        let mut node = self.leaves + position;
        // Pending changes above apply to the leaf as well, so they are taken out of its slack.
        let mut above = 0.0;
        let mut ancestor = node / 2;
        while ancestor > 0 {
            above += self.pending[ancestor];
            ancestor /= 2;
        }
        self.slack[node] = slack - above;
        self.pending[node] = 0.0;
        // The nodes to the right of the path from the leaf cover the positions after it.
        while node > 1 {
            if node.is_multiple_of(2) {
                self.slack[node + 1] -= work;
                self.pending[node + 1] -= work;
            }
            node /= 2;
        }
        self.update_above(self.leaves + position);
        let mut index = position + 1;
        while index < self.work.len() {
            self.work[index] += work;
            index += index & index.wrapping_neg();
        }
    }

    fn is_chosen(&self, position: usize) -> bool {
        self.slack[self.leaves + position].is_finite()
    }

    fn work_before(&self, position: usize) -> f32 {
        let (mut index, mut sum) = (position, 0.0);
        while index > 0 {
            sum += self.work[index];
            index &= index - 1;
        }
        sum
    }

    /// Returns the least slack of the chosen requests from a position on.
    fn least_slack_from(&self, position: usize) -> f32 {
        if position >= self.leaves {
            return f32::INFINITY;
        }
        let mut node = self.leaves + position;
        let mut least = self.slack[node];
        while node > 1 {
            if node.is_multiple_of(2) {
                least = least.min(self.slack[node + 1]);
            }
            node /= 2;
            least += self.pending[node];
        }
        least
    }

    fn update_above(&mut self, leaf: usize) {
        let mut node = leaf / 2;
        while node > 0 {
            self.slack[node] =
                self.slack[2 * node].min(self.slack[2 * node + 1]) + self.pending[node];
            node /= 2;
        }
    }
}

#[cfg(test)]
mod tests;
