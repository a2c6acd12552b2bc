//! Properties of a request's state machine, over any sequence of events.

use cornelferry::attempt::{AttemptLimits, AttemptNumber, AttemptOutcome, Attempts, Event, Step};
use cornelferry::error::{Code, Outcome};
use proptest::prelude::*;

#[derive(Clone, Copy, Debug)]
enum Chance {
    Sent(usize),
    Ended(usize, AttemptOutcome),
    Late,
    Deadline,
    CallerGone,
}

fn chance() -> impl Strategy<Value = Chance> {
    use AttemptOutcome::*;
    let ending = prop::sample::select(vec![
        NotSent,
        Answered,
        ServerError,
        Refused,
        Lost,
        TruncatedResponse,
        InvalidResponse,
    ]);
    prop_oneof![
        4 => (0..4usize).prop_map(Chance::Sent),
        6 => (0..4usize, ending).prop_map(|(i, e)| Chance::Ended(i, e)),
        2 => Just(Chance::Late),
        1 => Just(Chance::Deadline),
        1 => Just(Chance::CallerGone),
    ]
}

/// What really happened to one attempt.
#[derive(Debug, Default)]
struct Truth {
    left: bool,
    ended: Option<AttemptOutcome>,
}

/// A driver that keeps the truth beside the machine.
struct Driver {
    machine: Attempts,
    attempts: Vec<(AttemptNumber, Truth)>,
}

impl Driver {
    fn start(&mut self) {
        let number = self.machine.start();
        self.attempts.push((number, Truth::default()));
    }

    fn event(&mut self, chance: Chance) -> Option<Event> {
        match chance {
            Chance::Sent(i) => {
                let (number, truth) =
                    self.attempts.get_mut(i).filter(|(_, t)| t.ended.is_none())?;
                truth.left = true;
                Some(Event::Sent(*number))
            }
            Chance::Ended(i, ending) => {
                let (number, truth) =
                    self.attempts.get_mut(i).filter(|(_, t)| t.ended.is_none())?;
                truth.left |= ending != AttemptOutcome::NotSent;
                truth.ended = Some(ending);
                Some(Event::Ended(*number, ending))
            }
            Chance::Late => Some(Event::Overdue),
            Chance::Deadline => Some(Event::Deadline),
            Chance::CallerGone => Some(Event::CallerGone),
        }
    }

    fn open(&self) -> usize {
        self.attempts.iter().filter(|(_, t)| t.ended.is_none()).count()
    }

    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|(_, t)| t.left && t.ended != Some(AttemptOutcome::Refused))
    }
}

proptest! {
    #[test]
    fn promises_hold_over_any_events(
        idempotent: bool,
        attempts in 1u32..5,
        chances in prop::collection::vec((chance(), any::<bool>()), 1..24),
    ) {
        let machine = Attempts::new(AttemptLimits { idempotent, max_attempts: attempts });
        let mut driver = Driver { machine, attempts: Vec::new() };
        driver.start();
        let mut finished = false;
        for (chance, has_target) in chances {
            let Some(event) = driver.event(chance) else { continue };
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
            if let Step::Finish(verdict) = step {
                finished = true;
                let outcome = verdict.code.outcome();
                prop_assert!(outcome != Outcome::NotRun || !driver.may_have_run());
                prop_assert!(outcome != Outcome::Unknown || driver.may_have_run());
                let passed_on = verdict.response.map(|n| driver.attempts[n.get() as usize - 1].1.ended);
                match verdict.code {
                    Code::Answered => prop_assert_eq!(passed_on, Some(Some(AttemptOutcome::Answered))),
                    Code::UpstreamError => prop_assert_eq!(passed_on, Some(Some(AttemptOutcome::ServerError))),
                    _ => prop_assert_eq!(passed_on, None),
                }
                continue;
            }
            prop_assert!(driver.open() > 0, "nothing is open and nothing was decided");
            prop_assert!(driver.attempts.len() <= attempts as usize);
            let left = driver.attempts.iter().filter(|(_, t)| t.left).count();
            prop_assert!(idempotent || left <= 1, "sent {left} times");
        }
    }
}
