//! Decides on the requests of teams with an allowance that arrive at this host.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::config::Team;
use crate::decide::allowance::{Grant, Limit};
use crate::time::Time;

/// The longest time, in seconds, for which a host asks for no more of an allowance that is used up.
/// It refuses requests at once meanwhile, and asks for as many as have come at the end.
const HOLD_TIME_MAX: f64 = 0.25;
/// The shortest such time, in seconds, for a team whose allowance hardly saves anything up.
const HOLD_TIME_MIN: f64 = 0.075;
/// The part of the time in which the allowance would fill up that is spent so at most.
const HOLD_PART: f64 = 0.75;
/// The longest wait for room in an allowance that isn't a refusal.
const PATIENCE: Duration = Duration::from_millis(60);
/// The longest wait for an answer of the owner.
const WAIT_MAX: Duration = Duration::from_millis(400);
/// The part of a request's remaining time that it may wait.
const WAIT_DIVISOR: u32 = 3;
/// The part of the allowance that all hosts together use while they reach no owner, though one that
/// they don't reach may be granting the whole.
const FALLBACK_PART: f64 = 0.125;
/// The time after which a fallback that hasn't been used begins anew.
const FALLBACK_MEMORY: Duration = Duration::from_secs(10);
/// The time after which a request that reached no owner may return.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The time for which a team counts as at its limit after a refusal.
const AT_LIMIT_TIME: Duration = Duration::from_secs(5);
/// The time between two reports that a team is at its limit.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// The most tokens that are asked for at once.
const WANTED_MAX: u32 = 1 << 20;

/// The decision on a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Arrival {
    /// It is within the allowance.
    Granted,
    /// It is beyond the allowance, and may return after this time.
    Refused(Duration),
    /// It waits for the owner's answer, under this number, until this time at the latest.
    Wait(u64, Time),
}

/// The decision on a request that has waited, by its number. `None` if it is within the allowance,
/// else the time after which it may return.
pub(crate) type Release = (u64, Option<Duration>);

/// A question to the owner of an allowance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Ask {
    /// The team.
    pub(crate) team: Arc<str>,
    /// The tokens wanted.
    pub(crate) wanted: u32,
}

/// A team's use of its allowance at this host.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TeamStatus {
    /// The team.
    pub(crate) team: Arc<str>,
    /// The requests per second that it may send to all hosts.
    pub(crate) per_second: f64,
    /// Requests of it that this host has let pass.
    pub(crate) granted: u64,
    /// Requests of it that this host has refused.
    pub(crate) refused: u64,
    /// The age of the owner's last answer; `None` if there was none.
    pub(crate) answer_age: Option<Duration>,
}

/// The requests of a team that this host decides on.
#[derive(Debug)]
struct TeamState {
    team: Arc<str>,
    limit: Limit,
    /// The numbers of the waiting requests.
    waiting: VecDeque<u64>,
    /// The tokens asked for in the question that is under way.
    asked: Option<u32>,
    /// When the owner may be asked next.
    ask_at: Time,
    /// Whether requests are refused until then.
    is_dry: bool,
    /// Requests refused since the last question.
    refused_since: u32,
    retry_after: Duration,
    /// Tokens granted for requests to come.
    spare: u32,
    spare_until: Time,
    /// Whether the last question reached no owner.
    is_cut_off: bool,
    fallback: Fallback,
    answered: Option<Time>,
    last_refusal: Option<Time>,
    /// When this host last reported that the team is at its limit.
    reported: Option<Time>,
    granted: u64,
    refused: u64,
}

/// This host's share of a part of an allowance.
#[derive(Clone, Copy, Debug, Default)]
struct Fallback {
    tokens: f64,
    used: Option<Time>,
}

/// The requests of teams with an allowance that this host decides on, sorted by team.
#[derive(Debug, Default)]
pub(crate) struct Asker {
    teams: Vec<TeamState>,
    last_number: u64,
}

impl Asker {
    /// Decides on a request of a team with an allowance. `spread` is a random number in [0, 1).
    pub(crate) fn arrive(
        &mut self,
        team: &Team,
        limit: Limit,
        deadline: Time,
        now: Time,
        spread: f64,
    ) -> Arrival {
        let at = match self.find(&team.name) {
            Ok(at) => at,
            Err(at) => {
                self.teams.insert(at, TeamState::new(team.name.clone(), limit));
                at
            }
        };
        let state = &mut self.teams[at];
        state.limit = limit;
        if state.take_spare(now) {
            return Arrival::Granted;
        }
        if state.is_dry && now < state.ask_at {
            state.refused_since = state.refused_since.saturating_add(1);
            return Arrival::Refused(state.refuse(now, spread));
        }
        self.last_number += 1;
        state.waiting.push_back(self.last_number);
        let wait = (now.until(deadline) / WAIT_DIVISOR).min(WAIT_MAX);
        Arrival::Wait(self.last_number, now + wait)
    }

    /// Returns the questions to ask now, at most one at a time for each team.
    pub(crate) fn take_asks(&mut self, now: Time) -> Vec<Ask> {
        let is_due =
            |t: &&mut TeamState| t.asked.is_none() && !t.waiting.is_empty() && now >= t.ask_at;
        let ask = |state: &mut TeamState| {
            let waiting = u32::try_from(state.waiting.len()).unwrap_or(u32::MAX);
            let wanted = waiting.saturating_add(std::mem::take(&mut state.refused_since));
            let wanted = wanted.min(WANTED_MAX);
            state.asked = Some(wanted);
            Ask { team: state.team.clone(), wanted }
        };
        self.teams.iter_mut().filter(is_due).map(ask).collect()
    }

    /// Returns when the next question is due, if one is waiting for its time.
    pub(crate) fn next_ask(&self) -> Option<Time> {
        let is_waiting = |t: &&TeamState| t.asked.is_none() && !t.waiting.is_empty();
        self.teams.iter().filter(is_waiting).map(|t| t.ask_at).min()
    }

    /// Applies an owner's answer, and returns the requests that are decided by it. `spread` returns
    /// random numbers in [0, 1).
    pub(crate) fn answer(
        &mut self,
        team: &str,
        grant: Grant,
        now: Time,
        mut spread: impl FnMut() -> f64,
    ) -> Vec<Release> {
        let Ok(at) = self.find(team) else { return Vec::new() };
        let state = &mut self.teams[at];
        let Some(wanted) = state.asked.take() else { return Vec::new() };
        (state.answered, state.is_cut_off) = (Some(now), false);
        state.retry_after = grant.retry_after;
        let count = state.waiting.len().min(grant.granted as usize);
        let mut out: Vec<Release> = state.waiting.drain(..count).map(|n| (n, None)).collect();
        state.granted += count as u64;
        state.spare = grant.granted - count as u32;
        state.spare_until = now + grant.spare_time;
        state.is_dry = grant.granted < wanted && grant.retry_after > PATIENCE;
        state.ask_at = match grant.granted < wanted {
            false => now,
            true if state.is_dry => now + state.hold_time(),
            true => now + grant.retry_after,
        };
        if state.is_dry {
            let refused: Vec<u64> = state.waiting.drain(..).collect();
            out.extend(refused.into_iter().map(|n| (n, Some(state.refuse(now, spread())))));
        }
        out
    }

    /// Records that a question reached no owner, who may be asked again at `retry_at`. Returns the
    /// requests that pass within this host's share of the fallback; the others go on waiting.
    /// `hosts` is the number of known hosts.
    pub(crate) fn fail(
        &mut self,
        team: &str,
        hosts: usize,
        retry_at: Time,
        now: Time,
        mut spread: impl FnMut() -> f64,
    ) -> Vec<Release> {
        let Ok(at) = self.find(team) else { return Vec::new() };
        let state = &mut self.teams[at];
        if state.asked.take().is_none() {
            return Vec::new();
        }
        (state.is_cut_off, state.is_dry, state.ask_at) = (true, false, retry_at);
        let mut out = Vec::new();
        while !state.waiting.is_empty() && state.fallback.take(state.limit, hosts, now, spread()) {
            out.extend(state.waiting.pop_front().map(|number| (number, None)));
            state.granted += 1;
        }
        out
    }

    /// Removes a request that has waited for as long as it may. Returns when it may return, or `None`
    /// if it is decided already.
    pub(crate) fn abandon(
        &mut self,
        team: &str,
        number: u64,
        now: Time,
        spread: f64,
    ) -> Option<Duration> {
        let at = self.find(team).ok()?;
        let state = &mut self.teams[at];
        let position = state.waiting.iter().position(|n| *n == number)?;
        state.waiting.remove(position);
        if state.is_cut_off || state.answered.is_none() {
            state.retry_after = UNREACHABLE_RETRY_AFTER;
        }
        Some(state.refuse(now, spread))
    }

    /// Forgets the teams that have no allowance any more and no waiting requests. `teams` is sorted by
    /// name.
    pub(crate) fn retain(&mut self, teams: &[Arc<Team>]) {
        let has_allowance = |s: &TeamState| teams.binary_search_by(|t| t.name.cmp(&s.team)).is_ok();
        self.teams.retain(|s| !s.waiting.is_empty() || has_allowance(s));
    }

    /// Returns the use of a team's allowance at this host.
    pub(crate) fn status(&self, team: &str, now: Time) -> Option<TeamStatus> {
        self.find(team).ok().map(|at| self.teams[at].status(now))
    }

    /// Returns the teams of which this host has refused requests of late.
    pub(crate) fn at_limit(&self, now: Time) -> Vec<TeamStatus> {
        let is_at_limit =
            |t: &&TeamState| t.last_refusal.is_some_and(|at| now.since(at) < AT_LIMIT_TIME);
        self.teams.iter().filter(is_at_limit).map(|t| t.status(now)).collect()
    }

    /// Returns whether it is time to report that a team is at its limit.
    pub(crate) fn take_report(&mut self, team: &str, now: Time) -> bool {
        let Ok(at) = self.find(team) else { return false };
        let reported = &mut self.teams[at].reported;
        let is_due = reported.is_none_or(|at| now.since(at) >= REPORT_INTERVAL);
        if is_due {
            *reported = Some(now);
        }
        is_due
    }

    fn find(&self, team: &str) -> Result<usize, usize> {
        self.teams.binary_search_by(|s| (*s.team).cmp(team))
    }
}

impl TeamState {
    fn new(team: Arc<str>, limit: Limit) -> TeamState {
        TeamState {
            team,
            limit,
            waiting: VecDeque::new(),
            asked: None,
            ask_at: Time::ZERO,
            is_dry: false,
            refused_since: 0,
            retry_after: Duration::ZERO,
            spare: 0,
            spare_until: Time::ZERO,
            is_cut_off: false,
            fallback: Fallback::default(),
            answered: None,
            last_refusal: None,
            reported: None,
            granted: 0,
            refused: 0,
        }
    }

    fn take_spare(&mut self, now: Time) -> bool {
        let has_spare = self.spare > 0 && now < self.spare_until;
        if has_spare {
            self.spare -= 1;
            self.granted += 1;
        }
        has_spare
    }

    /// Counts a refusal, and returns the time after which the request may return: the time until the
    /// allowance has room, varied so that requests refused together don't return together.
    fn refuse(&mut self, now: Time, spread: f64) -> Duration {
        self.refused += 1;
        self.last_refusal = Some(now);
        self.retry_after.mul_f64(0.5 + spread)
    }

    fn hold_time(&self) -> Duration {
        let seconds = HOLD_PART * self.limit.burst / self.limit.per_second;
        Duration::from_secs_f64(seconds.clamp(HOLD_TIME_MIN, HOLD_TIME_MAX))
    }

    fn status(&self, now: Time) -> TeamStatus {
        TeamStatus {
            team: self.team.clone(),
            per_second: self.limit.per_second,
            granted: self.granted,
            refused: self.refused,
            answer_age: self.answered.map(|at| now.since(at)),
        }
    }
}

impl Fallback {
    /// Takes a token of this host's share. A host that begins has a random part of one token, so that
    /// all of them together have as many as the shares add up to.
    fn take(&mut self, limit: Limit, hosts: usize, now: Time, spread: f64) -> bool {
        let share = limit.scaled(FALLBACK_PART / hosts.max(1) as f64);
        let used = self.used.filter(|at| now.since(*at) < FALLBACK_MEMORY);
        self.tokens = match used {
            Some(at) => self.tokens + now.since(at).as_secs_f64() * share.per_second,
            None => spread,
        };
        self.tokens = self.tokens.min(1.0 + share.burst);
        self.used = Some(now);
        let passes = self.tokens >= 1.0;
        if passes {
            self.tokens -= 1.0;
        }
        passes
    }
}
