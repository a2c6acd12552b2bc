//! The number of requests that an upstream should run at a time.
//!
//! Some upstreams get slower as they fill, so that using their last slots lowers their throughput.
//! The limit is the concurrency with the highest throughput, learnt from the response times at each
//! concurrency.

/// Response times by concurrency.
#[derive(Clone, Debug, Default)]
pub(crate) struct Concurrency {
    /// The level of concurrency `n` is at index `n - 1`.
    levels: Vec<Level>,
}

/// Responses to requests that ran at one concurrency, themselves included.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    /// Mean response time, relative to the nominal work time of the request's kind.
    time: f32,
    samples: u32,
}

/// The highest concurrency that is observed. Upstreams with more slots use all of them.
const LEVELS_MAX: usize = 64;
/// Weight of a new response in the mean of a level.
const GAIN: f32 = 1.0 / 32.0;
/// Number of responses that the initial time of a level counts for.
const INITIAL_SAMPLES: u32 = 6;
/// Initial time of levels with nearly all slots in use, relative to that of lower levels.
const INITIAL_FULL_TIME: f32 = 1.35;
/// Share of the slots above which nearly all of them are in use.
const NEARLY_FULL: f32 = 0.8;
/// Factor by which the throughput at a lower concurrency must exceed that with all slots in use, as
/// response times vary by chance.
const RATE_MARGIN: f32 = 1.05;

impl Concurrency {
    /// Adds a response that took `time` relative to the nominal while the upstream ran `level`
    /// requests and had `slots` slots.
    pub(crate) fn observe(&mut self, level: u32, slots: u32, time: f32) {
        let index = level as usize;
        if index == 0 || index > LEVELS_MAX || !time.is_finite() {
            return;
        }
        for n in self.levels.len() as u32 + 1..=level {
            let is_full = n as f32 > slots as f32 * NEARLY_FULL;
            let time = if is_full { INITIAL_FULL_TIME } else { 1.0 };
            self.levels.push(Level { time, samples: INITIAL_SAMPLES });
        }
        let level = &mut self.levels[index - 1];
        level.samples = level.samples.saturating_add(1);
        let gain = GAIN.max(1.0 / level.samples as f32);
        level.time += (time - level.time) * gain;
    }

    /// Returns how many requests an upstream of `slots` slots should run at a time, at least 1.
    pub(crate) fn limit(&self, slots: u32) -> u32 {
        let slots = slots.max(1);
        let level_at = |n: u32| self.levels.get(n as usize - 1);
        let Some(full) = level_at(slots) else { return slots };
        let mut best = (slots, slots as f32 / full.time * RATE_MARGIN);
        for n in (1..slots).rev() {
            let Some(level) = level_at(n) else { break };
            let rate = n as f32 / level.time;
            if rate > best.1 {
                best = (n, rate);
            }
        }
        best.0
    }
}
