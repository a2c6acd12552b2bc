//! Properties of the state machine of a request's attempts, over any sequence of events.

use cornelferry::attempt::{AttemptLimits, AttemptNumber, AttemptOutcome, Attempts, Event, Step};
use cornelferry::error::{Code, Outcome};
use proptest::prelude::*;

#[derive(Clone, Copy, Debug)]
enum Op {
    Sent(usize),
    Ended(usize, AttemptOutcome),
    HedgeDue,
    Deadline,
    CallerGone,
}

fn op() -> impl Strategy<Value = Op> {
    use AttemptOutcome::*;
    let outcome = prop::sample::select(vec![
        NotSent,
        Answered,
        ServerError,
        Refused,
        Lost,
        TruncatedResponse,
        InvalidResponse,
    ]);
    prop_oneof![
        4 => (0..4usize).prop_map(Op::Sent),
        6 => (0..4usize, outcome).prop_map(|(i, o)| Op::Ended(i, o)),
        2 => Just(Op::HedgeDue),
        1 => Just(Op::Deadline),
        1 => Just(Op::CallerGone),
    ]
}

/// The actual course of one attempt.
#[derive(Debug, Default)]
struct Actual {
    was_sent: bool,
    outcome: Option<AttemptOutcome>,
}

/// A driver that records what actually happened beside the state machine.
struct Driver {
    machine: Attempts,
    attempts: Vec<(AttemptNumber, Actual)>,
}

impl Driver {
    fn start(&mut self) {
        let number = self.machine.start();
        self.attempts.push((number, Actual::default()));
    }

    fn event(&mut self, op: Op) -> Option<Event> {
        match op {
            Op::Sent(i) => {
                let (number, actual) =
                    self.attempts.get_mut(i).filter(|(_, a)| a.outcome.is_none())?;
                actual.was_sent = true;
                Some(Event::Sent(*number))
            }
            Op::Ended(i, outcome) => {
                let (number, actual) =
                    self.attempts.get_mut(i).filter(|(_, a)| a.outcome.is_none())?;
                actual.was_sent |= outcome != AttemptOutcome::NotSent;
                actual.outcome = Some(outcome);
                Some(Event::Ended(*number, outcome))
            }
            Op::HedgeDue => Some(Event::HedgeDue),
            Op::Deadline => Some(Event::Deadline),
            Op::CallerGone => Some(Event::CallerGone),
        }
    }

    fn open_attempts(&self) -> usize {
        self.attempts.iter().filter(|(_, a)| a.outcome.is_none()).count()
    }

    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|(_, a)| a.was_sent && a.outcome != Some(AttemptOutcome::Refused))
    }
}

proptest! {
    #[test]
    fn results_match_the_attempts_sent_over_any_events(
        idempotent: bool,
        max_attempts in 1u32..5,
        ops in prop::collection::vec((op(), any::<bool>()), 1..24),
    ) {
        let machine = Attempts::new(AttemptLimits { idempotent, max_attempts });
        let mut driver = Driver { machine, attempts: Vec::new() };
        driver.start();
        let mut finished = false;
        for (op, has_target) in ops {
            let Some(event) = driver.event(op) else { continue };
            let mut step = driver.machine.on(event);
            if finished {
                prop_assert_eq!(step, Step::Wait);
                continue;
            }
            if matches!(step, Step::Retry | Step::Hedge) {
                prop_assert!(idempotent || step == Step::Retry);
                if has_target {
                    driver.start();
                } else {
                    step = driver.machine.on(Event::NoTarget);
                }
            }
            if let Step::Finish(result) = step {
                finished = true;
                let outcome = result.code.outcome();
                prop_assert!(outcome != Outcome::NotRun || !driver.may_have_run());
                prop_assert!(outcome != Outcome::Unknown || driver.may_have_run());
                let passed_on =
                    result.response.map(|n| driver.attempts[n.get() as usize - 1].1.outcome);
                match result.code {
                    Code::Answered => prop_assert_eq!(
                        passed_on,
                        Some(Some(AttemptOutcome::Answered))
                    ),
                    Code::UpstreamError => prop_assert_eq!(
                        passed_on,
                        Some(Some(AttemptOutcome::ServerError))
                    ),
                    _ => prop_assert_eq!(passed_on, None),
                }
                continue;
            }
            prop_assert!(
                driver.open_attempts() > 0,
                "no attempt is open and the request has not finished"
            );
            prop_assert!(driver.attempts.len() <= max_attempts as usize);
            let sent = driver.attempts.iter().filter(|(_, a)| a.was_sent).count();
            prop_assert!(idempotent || sent <= 1, "sent {sent} times");
        }
    }
}
