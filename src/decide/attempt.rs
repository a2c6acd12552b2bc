//! Retry and hedge decisions for one request, and the result that its caller gets.
//!
//! [`Attempts`] is the state machine of one request. The driver reports what happens as an
//! [`Event`] and carries out the returned [`Step`].

use derive_more::Display;

use crate::error::Code;

/// The limits on the attempts of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// Whether running it twice has the same effect as running it once.
    pub idempotent: bool,
    /// The most attempts, hedges included.
    pub max_attempts: u32,
}

/// The number of an attempt within its request, from 1.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNumber(u32);

impl AttemptNumber {
    /// Returns the number, from 1.
    pub const fn get(self) -> u32 {
        self.0
    }

    fn index(self) -> usize {
        self.0 as usize - 1
    }
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte of the request was given to a connection.
    NotSent,
    /// A complete response that is not a server error.
    Answered,
    /// A complete response with a server error that the service doesn't declare as a refusal.
    ServerError,
    /// A response that the service declares as proof that the request was not run.
    Refused,
    /// The connection failed after a byte of the request may have been sent.
    Lost,
    /// The response ended early.
    TruncatedResponse,
    /// The response is not valid HTTP.
    InvalidResponse,
}

impl AttemptOutcome {
    /// Returns the result code of a request whose last attempt ended in this way.
    pub const fn code(self) -> Code {
        match self {
            AttemptOutcome::NotSent => Code::ConnectFailed,
            AttemptOutcome::Answered => Code::Answered,
            AttemptOutcome::ServerError => Code::UpstreamError,
            AttemptOutcome::Refused => Code::Refused,
            AttemptOutcome::Lost => Code::ConnectionLost,
            AttemptOutcome::TruncatedResponse => Code::AnswerCut,
            AttemptOutcome::InvalidResponse => Code::BadAnswer,
        }
    }

    /// Returns whether the upstream provably did not run the request.
    pub const fn proves_not_run(self) -> bool {
        matches!(self, AttemptOutcome::NotSent | AttemptOutcome::Refused)
    }
}

/// An event that the driver reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A byte of the attempt's request may have been sent.
    Sent(AttemptNumber),
    /// An attempt ended.
    Ended(AttemptNumber, AttemptOutcome),
    /// The open attempt has taken so long that a hedge may start.
    HedgeDue,
    /// No upstream is available for the retry or hedge that the last step asked for.
    NoTarget,
    /// The deadline passed. The driver must have reported every earlier [`Event::Sent`].
    Deadline,
    /// The caller disconnected. The driver must have reported every earlier [`Event::Sent`].
    CallerGone,
}

/// The next step of the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait for the next event.
    Wait,
    /// Start an attempt at another upstream in place of the failed one.
    Retry,
    /// Start an attempt at another upstream beside the open one.
    Hedge,
    /// Cancel the open attempts and answer the caller.
    Finish(RequestResult),
}

/// The final result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestResult {
    /// The result code.
    pub code: Code,
    /// The attempt whose response is passed on to the caller. If absent, cornelferry writes the
    /// response itself.
    pub response: Option<AttemptNumber>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Pending,
    Sent,
    Ended(AttemptOutcome),
}

impl State {
    fn is_open(self) -> bool {
        matches!(self, State::Pending | State::Sent)
    }

    fn may_have_run(self) -> bool {
        match self {
            State::Pending => false,
            State::Sent => true,
            State::Ended(outcome) => !outcome.proves_not_run(),
        }
    }

    fn was_sent(self) -> bool {
        !matches!(self, State::Pending | State::Ended(AttemptOutcome::NotSent))
    }
}

/// The state machine of one request's attempts.
#[derive(Clone, Debug)]
pub struct Attempts {
    limits: AttemptLimits,
    states: Vec<State>,
    finished: bool,
}

/// Outcomes without a response to pass on. If attempts ended in several of them, the first one here
/// gives the result code, as it tells the caller most.
const OUTCOMES_WITHOUT_RESPONSE: [AttemptOutcome; 4] = [
    AttemptOutcome::TruncatedResponse,
    AttemptOutcome::InvalidResponse,
    AttemptOutcome::Lost,
    AttemptOutcome::Refused,
];

impl Attempts {
    /// Creates the state machine of a request that has not been sent.
    pub fn new(limits: AttemptLimits) -> Attempts {
        Attempts { limits, states: Vec::with_capacity(1), finished: false }
    }

    /// Starts the first attempt, or one that a [`Step`] asked for, and returns its number.
    pub fn start(&mut self) -> AttemptNumber {
        self.states.push(State::Pending);
        AttemptNumber(self.states.len() as u32)
    }

    /// Handles an event and returns the next step. Once a request has finished, every event is
    /// ignored with [`Step::Wait`].
    ///
    /// # Panics
    ///
    /// Panics if the event is of an attempt that [`Self::start`] has not returned.
    pub fn on(&mut self, event: Event) -> Step {
        if self.finished {
            return Step::Wait;
        }
        let step = match event {
            Event::Sent(number) => self.on_sent(number),
            Event::Ended(number, outcome) => self.on_ended(number, outcome),
            Event::HedgeDue if self.may_hedge() => Step::Hedge,
            Event::HedgeDue => Step::Wait,
            Event::NoTarget => self.wait_or_finish(),
            Event::Deadline => self.give_up(Code::DeadlineTooClose, Code::DeadlineAfterSend),
            Event::CallerGone => self.give_up(Code::CallerGone, Code::CallerGoneAfterSend),
        };
        self.finished = matches!(step, Step::Finish(_));
        step
    }

    fn on_sent(&mut self, number: AttemptNumber) -> Step {
        let state = &mut self.states[number.index()];
        if *state == State::Pending {
            *state = State::Sent;
        }
        Step::Wait
    }

    fn on_ended(&mut self, number: AttemptNumber, outcome: AttemptOutcome) -> Step {
        let state = &mut self.states[number.index()];
        if !state.is_open() {
            return Step::Wait;
        }
        let outcome = match (*state, outcome) {
            // A byte may have been sent, so the request may have run.
            (State::Sent, AttemptOutcome::NotSent) => AttemptOutcome::Lost,
            _ => outcome,
        };
        *state = State::Ended(outcome);
        if outcome == AttemptOutcome::Answered {
            return Step::Finish(RequestResult { code: Code::Answered, response: Some(number) });
        }
        if self.has_open() {
            return Step::Wait;
        }
        if self.may_start() { Step::Retry } else { self.wait_or_finish() }
    }

    fn has_open(&self) -> bool {
        self.states.iter().any(|s| s.is_open())
    }

    /// Returns whether another attempt may start. Bytes of a request that is not idempotent are
    /// sent in one attempt at most.
    fn may_start(&self) -> bool {
        let has_attempts_left = self.states.len() < self.limits.max_attempts as usize;
        has_attempts_left && (self.limits.idempotent || !self.states.iter().any(|s| s.was_sent()))
    }

    fn may_hedge(&self) -> bool {
        let open = self.states.iter().filter(|s| s.is_open()).count();
        self.limits.idempotent && self.may_start() && open == 1
    }

    fn wait_or_finish(&self) -> Step {
        if self.has_open() { Step::Wait } else { Step::Finish(self.result()) }
    }

    /// Finishes before all attempts have ended, with `unknown` if one of them may have run.
    fn give_up(&self, not_run: Code, unknown: Code) -> Step {
        let may_have_run = self.states.iter().any(|s| s.may_have_run());
        let code = if may_have_run { unknown } else { not_run };
        Step::Finish(RequestResult { code, response: None })
    }

    fn result(&self) -> RequestResult {
        let last = |outcome| self.states.iter().rposition(|s| *s == State::Ended(outcome));
        if let Some(i) = last(AttemptOutcome::ServerError) {
            let response = Some(AttemptNumber(i as u32 + 1));
            return RequestResult { code: Code::UpstreamError, response };
        }
        let outcome = OUTCOMES_WITHOUT_RESPONSE.into_iter().find(|o| last(*o).is_some());
        RequestResult { code: outcome.unwrap_or(AttemptOutcome::NotSent).code(), response: None }
    }
}
