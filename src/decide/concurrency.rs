//! How many requests an upstream should run at a time.
//!
//! Some upstreams turn slower as they fill, so that the last slots cost more than they bring. The
//! limit is the number of requests with the highest rate of answers, learnt from how long answers
//! take at each number.

/// What was learnt of the answers at each number of requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Concurrency {
    levels: Vec<Level>,
}

/// Answers that came while an upstream ran so many requests, its own included.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    /// Mean time of an answer, against the usual time of its kind.
    time: f32,
    samples: u32,
}

/// The largest number of requests that is looked at; more slots are all used.
const LEVELS_MAX: usize = 64;
/// Weight of a new answer.
const GAIN: f32 = 1.0 / 32.0;
/// Answers that the guess at a level's time counts for.
const GUESS_SAMPLES: u32 = 6;
/// The guess at the time while nearly all slots are in use, against that while few are.
const FULL_TIME: f32 = 1.35;
/// Part of the slots from which nearly all are in use.
const NEARLY_FULL: f32 = 0.8;
/// Part by which the rate of answers has to be higher with fewer requests, as times vary by chance.
const RATE_MARGIN: f32 = 1.05;

impl Concurrency {
    /// Takes note of an answer that took `time` against the usual while `level` of `slots` requests
    /// ran.
    pub(crate) fn answered(&mut self, level: u32, slots: u32, time: f32) {
        let at = level as usize;
        if at == 0 || at > LEVELS_MAX || !time.is_finite() {
            return;
        }
        for n in self.levels.len() as u32 + 1..=level {
            let is_full = n as f32 > slots as f32 * NEARLY_FULL;
            let time = if is_full { FULL_TIME } else { 1.0 };
            self.levels.push(Level { time, samples: GUESS_SAMPLES });
        }
        let level = &mut self.levels[at - 1];
        level.samples = level.samples.saturating_add(1);
        let gain = GAIN.max(1.0 / level.samples as f32);
        level.time += (time - level.time) * gain;
    }

    /// Returns how many requests an upstream of `slots` slots should run at a time, at least one.
    pub(crate) fn limit(&self, slots: u32) -> u32 {
        let slots = slots.max(1);
        let known = |n: u32| self.levels.get(n as usize - 1);
        let Some(full) = known(slots) else { return slots };
        let mut best = (slots, slots as f32 / full.time * RATE_MARGIN);
        for n in (1..slots).rev() {
            let Some(level) = known(n) else { break };
            let rate = n as f32 / level.time;
            if rate > best.1 {
                best = (n, rate);
            }
        }
        best.0
    }
}
