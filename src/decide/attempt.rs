//! May a request be sent again, hedged or refused, and what may the caller be told.
//!
//! [`Attempts`] is the state machine of one request. The driver reports what happens as an
//! [`Event`] and carries out the [`Step`] that it gets back.

use derive_more::Display;

use crate::error::Code;

/// What the machine needs to know of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// Whether running it twice is the same as running it once.
    pub idempotent: bool,
    /// The most attempts, hedges included.
    pub max_attempts: u32,
}

/// The number of an attempt, from 1.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNumber(u32);

impl AttemptNumber {
    /// Returns the number.
    pub const fn get(self) -> u32 {
        self.0
    }

    fn index(self) -> usize {
        self.0 as usize - 1
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Before any byte of the request was given to a connection.
    NotSent,
    /// With a whole answer that is no server error.
    Answered,
    /// With a whole answer that is an undeclared server error.
    ServerError,
    /// With a refusal that the service declares as proof that the request was not run.
    Refused,
    /// With a failed connection.
    Lost,
    /// With an answer that ended early.
    TruncatedResponse,
    /// With bytes that are no valid HTTP.
    InvalidResponse,
}

impl AttemptOutcome {
    /// Returns the code that stands for the ending when it is the last.
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

    /// Tells whether the ending proves that the upstream did not run the request.
    pub const fn proves_not_run(self) -> bool {
        matches!(self, AttemptOutcome::NotSent | AttemptOutcome::Refused)
    }
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A byte of the request may have left on an attempt.
    Sent(AttemptNumber),
    /// An attempt ended.
    Ended(AttemptNumber, AttemptOutcome),
    /// The open attempt is late.
    Overdue,
    /// There is no upstream for the retry or hedge that was asked for.
    NoTarget,
    /// The deadline passed. Every [`Event::Sent`] due has been reported before.
    Deadline,
    /// The caller went away. Every [`Event::Sent`] due has been reported before.
    CallerGone,
}

/// What the driver does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It waits for the next event.
    Wait,
    /// It starts an attempt at another upstream in place of the one that failed.
    Retry,
    /// It starts an attempt at another upstream beside the one that is late.
    Hedge,
    /// It cancels what is open and tells the caller.
    Finish(RequestResult),
}

/// What the caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestResult {
    /// The result code.
    pub code: Code,
    /// The attempt whose answer is passed on; cornelferry writes the answer if absent.
    pub response: Option<AttemptNumber>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    NotSent,
    Sent,
    Ended(AttemptOutcome),
}

impl State {
    fn is_open(self) -> bool {
        matches!(self, State::NotSent | State::Sent)
    }

    fn may_have_run(self) -> bool {
        match self {
            State::NotSent => false,
            State::Sent => true,
            State::Ended(ending) => !ending.proves_not_run(),
        }
    }

    fn has_left(self) -> bool {
        !matches!(self, State::NotSent | State::Ended(AttemptOutcome::NotSent))
    }
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    plan: AttemptLimits,
    states: Vec<State>,
    finished: bool,
}

/// Endings that no answer is passed on for, those first that tell the caller most.
const SILENT_ENDINGS: [AttemptOutcome; 4] = [
    AttemptOutcome::TruncatedResponse,
    AttemptOutcome::InvalidResponse,
    AttemptOutcome::Lost,
    AttemptOutcome::Refused,
];

impl Attempts {
    /// Makes the machine of a request that has not been sent.
    pub fn new(plan: AttemptLimits) -> Attempts {
        Attempts { plan, states: Vec::with_capacity(1), finished: false }
    }

    /// Starts an attempt: the first, or one that a [`Step`] asked for.
    pub fn start(&mut self) -> AttemptNumber {
        self.states.push(State::NotSent);
        AttemptNumber(self.states.len() as u32)
    }

    /// Takes note of an event and returns what to do.
    pub fn on(&mut self, event: Event) -> Step {
        if self.finished {
            return Step::Wait;
        }
        let step = match event {
            Event::Sent(number) => self.sent(number),
            Event::Ended(number, ending) => self.ended(number, ending),
            Event::Overdue if self.may_hedge() => Step::Hedge,
            Event::Overdue => Step::Wait,
            Event::NoTarget => self.wait_or_finish(),
            Event::Deadline => self.give_up(Code::DeadlineTooClose, Code::DeadlineAfterSend),
            Event::CallerGone => self.give_up(Code::CallerGone, Code::CallerGoneAfterSend),
        };
        self.finished = matches!(step, Step::Finish(_));
        step
    }

    fn sent(&mut self, number: AttemptNumber) -> Step {
        let state = &mut self.states[number.index()];
        if *state == State::NotSent {
            *state = State::Sent;
        }
        Step::Wait
    }

    fn ended(&mut self, number: AttemptNumber, ending: AttemptOutcome) -> Step {
        let state = &mut self.states[number.index()];
        if !state.is_open() {
            return Step::Wait;
        }
        let ending = match (*state, ending) {
            (State::Sent, AttemptOutcome::NotSent) => AttemptOutcome::Lost,
            _ => ending,
        };
        *state = State::Ended(ending);
        if ending == AttemptOutcome::Answered {
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

    /// A request that is not idempotent leaves "not sent" at most once.
    fn may_start(&self) -> bool {
        let room = self.states.len() < self.plan.max_attempts as usize;
        room && (self.plan.idempotent || !self.states.iter().any(|s| s.has_left()))
    }

    fn may_hedge(&self) -> bool {
        let open = self.states.iter().filter(|s| s.is_open()).count();
        self.plan.idempotent && self.may_start() && open == 1
    }

    fn wait_or_finish(&self) -> Step {
        if self.has_open() { Step::Wait } else { Step::Finish(self.verdict()) }
    }

    fn give_up(&self, not_run: Code, unknown: Code) -> Step {
        let may_have_run = self.states.iter().any(|s| s.may_have_run());
        let code = if may_have_run { unknown } else { not_run };
        Step::Finish(RequestResult { code, response: None })
    }

    fn verdict(&self) -> RequestResult {
        let last = |ending| self.states.iter().rposition(|s| *s == State::Ended(ending));
        if let Some(i) = last(AttemptOutcome::ServerError) {
            let answer = Some(AttemptNumber(i as u32 + 1));
            return RequestResult { code: Code::UpstreamError, response: answer };
        }
        let ending = SILENT_ENDINGS.into_iter().find(|e| last(*e).is_some());
        RequestResult { code: ending.unwrap_or(AttemptOutcome::NotSent).code(), response: None }
    }
}
