//! Drives a request to its final answer: admission, attempts, hedges, and giving up.

use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use tokio::time::sleep_until;

use crate::decide::admission::{Admission, Refusal, Target};
use crate::decide::attempt::{AttemptLimits, AttemptNumber, Attempts, Event, RequestResult, Step};
use crate::decide::service::NextAttempt;
use crate::decide::upstream::UpstreamId;
use crate::dispatch::Dispatch;
use crate::entry::waiting::Waiter;
use crate::error::Code;
use crate::event::{EventCode, Subject};
use crate::forward::BufferedRequest;
use crate::forward::attempt::{Attempt, AttemptHandle, AttemptResult};
use crate::forward::probe;
use crate::forward::response::ProxyResponse;
use crate::node::Node;
use crate::request_log::LogEntry;
use crate::time::Time;

/// The part of the time left after which an idempotent request whose answer is late is sent again.
const LATE_SHARE: u32 = 2;

/// Looks for a place for a retry before it is given up.
const RETRY_LOOKS: u32 = 6;
/// Time between two of them: that of two probes.
const RETRY_LOOK_INTERVAL: Duration = Duration::from_millis(15);
/// Looks at a late attempt within its request's objective.
const HEDGE_LOOKS: u64 = 8;

/// Runs a request to its final answer. `gone` completes when the caller has gone away.
pub(crate) async fn run(
    node: &Arc<Node>,
    job: &BufferedRequest,
    gone: impl Future<Output = ()>,
) -> ProxyResponse {
    let mut gone = pin!(gone);
    if job.service.probe_before_send {
        probe::refresh(node, job).await;
    }
    match admitted(node, job, gone.as_mut()).await {
        Ok(target) => Drive::new(node, job).run(target, gone).await,
        Err(answer) => *answer,
    }
}

async fn admitted(
    node: &Arc<Node>,
    job: &BufferedRequest,
    gone: Pin<&mut impl Future<Output = ()>>,
) -> Result<Target, Box<ProxyResponse>> {
    let req = job.admission_request(node.clock.now());
    match node.admit(&job.service.name, &req) {
        Ok(Dispatch::Run(target)) => Ok(target),
        Ok(Dispatch::Refuse(refusal)) => Err(refused(node, job, &refusal)),
        Ok(Dispatch::Wait(waiter)) => waited(node, job, waiter, gone).await,
        Err(code) => Err(Box::new(ProxyResponse::local(code))),
    }
}

async fn waited(
    node: &Arc<Node>,
    job: &BufferedRequest,
    mut waiter: Waiter,
    gone: Pin<&mut impl Future<Output = ()>>,
) -> Result<Target, Box<ProxyResponse>> {
    record(node, job, EventCode::Queued);
    tokio::select! {
        biased;
        admission = waiter.decision() => match admission {
            Some(Admission::Run(target)) => Ok(target),
            Some(Admission::Refuse(refusal)) => Err(refused(node, job, &refusal)),
            _ => Err(Box::new(ProxyResponse::local(Code::Overloaded))),
        },
        () = sleep_until(node.clock.instant(job.deadline).into()) => {
            Err(Box::new(ProxyResponse::local(Code::DeadlineTooClose)))
        }
        () = gone => {
            record(node, job, EventCode::CallerDisconnected);
            Err(Box::new(ProxyResponse::local(Code::CallerGone)))
        }
    }
}

fn refused(node: &Node, job: &BufferedRequest, refusal: &Refusal) -> Box<ProxyResponse> {
    let note = LogEntry::new(node.clock.now(), EventCode::Refused);
    let after = u64::try_from(refusal.retry_after.as_millis()).ok();
    job.log.add(LogEntry { value: after, ..note });
    let retry_after = Some(refusal.retry_after);
    Box::new(ProxyResponse { retry_after, ..ProxyResponse::local(refusal.code) })
}

fn record(node: &Node, job: &BufferedRequest, code: EventCode) {
    job.log.add(LogEntry::new(node.clock.now(), code));
    node.events.record(code, subject(job), None);
}

fn subject(job: &BufferedRequest) -> Subject {
    let (request, service) = (Some(job.id.clone()), Some(job.service.name.clone()));
    Subject { request, service, ..Subject::default() }
}

/// An attempt that is open.
struct Open {
    number: AttemptNumber,
    track: Rc<AttemptHandle>,
}

/// A request that has been admitted.
struct Drive<'a> {
    node: &'a Arc<Node>,
    job: &'a BufferedRequest,
    attempts: Attempts,
    running: FuturesUnordered<LocalBoxFuture<'a, AttemptResult>>,
    open: Vec<Open>,
    tried: Vec<UpstreamId>,
    answers: Vec<(AttemptNumber, ProxyResponse)>,
    late: Option<Late>,
}

/// When the newest attempt is late.
#[derive(Clone, Copy)]
struct Late {
    at: Time,
    /// Whether its connection may be dead then.
    suspect: bool,
}

impl<'a> Drive<'a> {
    fn new(node: &'a Arc<Node>, job: &'a BufferedRequest) -> Drive<'a> {
        let treatment = &job.treatment;
        let plan =
            AttemptLimits { idempotent: treatment.idempotent, max_attempts: treatment.attempts };
        Drive {
            node,
            job,
            attempts: Attempts::new(plan),
            running: FuturesUnordered::new(),
            open: Vec::new(),
            tried: Vec::new(),
            answers: Vec::new(),
            late: None,
        }
    }

    async fn run(
        mut self,
        target: Target,
        mut gone: Pin<&mut impl Future<Output = ()>>,
    ) -> ProxyResponse {
        if self.node.clock.now() >= self.job.deadline {
            self.node.cancel_attempt(&self.job.service.name, &target);
            return ProxyResponse::local(Code::DeadlineTooClose);
        }
        self.launch(target);
        let mut deadline = pin!(sleep_until(self.node.clock.instant(self.job.deadline).into()));
        loop {
            let late_at = self.late.map(|l| l.at);
            let event = tokio::select! {
                biased;
                Some(finished) = self.running.next() => self.ended(finished),
                () = &mut deadline => self.deadline(),
                () = sleep_to(self.node, late_at) => self.late(),
                () = &mut gone => self.caller_gone(),
            };
            if let Some(verdict) = self.on(event).await {
                return self.answer(verdict);
            }
        }
    }

    /// Carries out what follows from an event. Returns the verdict when there is one.
    async fn on(&mut self, event: Event) -> Option<RequestResult> {
        let (why, code) = match self.attempts.on(event) {
            Step::Wait => return None,
            Step::Finish(verdict) => return Some(verdict),
            Step::Retry => (NextAttempt::Retry, EventCode::Retried),
            Step::Hedge => (NextAttempt::Hedge, EventCode::Hedged),
        };
        let target = match why {
            NextAttempt::Retry => self.retry_target().await,
            NextAttempt::Hedge => self.next_target(why).await,
        };
        let now = self.node.clock.now();
        let Some(target) = target else {
            if now >= self.job.deadline {
                let event = self.deadline();
                return self.finish(event);
            }
            if why == NextAttempt::Hedge {
                self.late = self.later(now);
            }
            return self.finish(Event::NoTarget);
        };
        record(self.node, self.job, code);
        self.launch(target);
        None
    }

    /// Returns where another attempt may go at present.
    async fn next_target(&self, why: NextAttempt) -> Option<Target> {
        if self.job.service.probe_before_send {
            probe::refresh(self.node, self.job).await;
        }
        let now = self.node.clock.now();
        let req = self.job.admission_request(now);
        let in_time = now < self.job.deadline;
        let service = &self.job.service.name;
        in_time.then(|| self.node.admit_attempt(service, &req, why, &self.tried)).flatten()
    }

    /// Looks for a place a few times: where upstreams tell their occupancy, one may come free or tell
    /// of a free slot a moment later.
    async fn retry_target(&self) -> Option<Target> {
        let looks = if self.job.service.probe_before_send { RETRY_LOOKS } else { 1 };
        for look in 0..looks {
            if look > 0 {
                tokio::time::sleep(RETRY_LOOK_INTERVAL).await;
            }
            let target = self.next_target(NextAttempt::Retry).await;
            let is_over = self.node.clock.now() >= self.job.deadline;
            if target.is_some() || is_over || !self.node.may_retry(&self.job.service.name) {
                return target;
            }
        }
        None
    }

    /// Carries out an event after which no attempt follows.
    fn finish(&mut self, event: Event) -> Option<RequestResult> {
        match self.attempts.on(event) {
            Step::Finish(verdict) => Some(verdict),
            _ => None,
        }
    }

    /// Returns when to look again whether a hedge is of use.
    fn later(&self, now: Time) -> Option<Late> {
        let after = Duration::from_millis(self.job.treatment.objective_ms / HEDGE_LOOKS);
        (!after.is_zero()).then(|| Late { at: now + after, suspect: false })
    }

    fn launch(&mut self, target: Target) {
        let (number, track) = (self.attempts.start(), Rc::new(AttemptHandle::default()));
        self.late = self.late_after(target.id);
        self.tried.push(target.id);
        let attempt = Attempt::new(self.node, self.job, target, track.clone());
        self.open.push(Open { number, track });
        self.running.push(Box::pin(attempt.run(self.job, number)));
    }

    fn late_after(&self, id: UpstreamId) -> Option<Late> {
        if !self.job.treatment.idempotent {
            return None;
        }
        let now = self.node.clock.now();
        let half = now.until(self.job.deadline) / LATE_SHARE;
        let hedge = self.job.treatment.hedge;
        let hedge = hedge.then(|| self.node.hedge_after(&self.job.service.name, id)).flatten();
        let after = hedge.map_or(half, |h| h.min(half));
        Some(Late { at: now + after, suspect: after == half })
    }

    fn ended(&mut self, finished: AttemptResult) -> Event {
        let AttemptResult { number, ending, answer } = finished;
        self.open.retain(|o| o.number != number);
        self.answers.extend(answer.map(|a| (number, a)));
        Event::Ended(number, ending)
    }

    fn late(&mut self) -> Event {
        if self.late.take().is_some_and(|l| l.suspect) {
            self.open.iter().for_each(|o| o.track.set_late());
        }
        Event::Overdue
    }

    fn deadline(&mut self) -> Event {
        self.open.iter().for_each(|o| o.track.set_late());
        self.revoke();
        Event::Deadline
    }

    fn caller_gone(&mut self) -> Event {
        record(self.node, self.job, EventCode::CallerDisconnected);
        self.revoke();
        Event::CallerGone
    }

    /// Keeps what has not been sent from being sent, and reports what has.
    fn revoke(&mut self) {
        for open in &self.open {
            if open.track.revoke() {
                self.attempts.on(Event::Sent(open.number));
            }
        }
    }

    fn answer(mut self, verdict: RequestResult) -> ProxyResponse {
        let passed_on = verdict.response.and_then(|number| {
            let at = self.answers.iter().position(|(n, _)| *n == number)?;
            Some(self.answers.swap_remove(at).1)
        });
        passed_on.unwrap_or_else(|| ProxyResponse::local(verdict.code))
    }
}

async fn sleep_to(node: &Node, at: Option<Time>) {
    match at {
        Some(at) => sleep_until(node.clock.instant(at).into()).await,
        None => std::future::pending().await,
    }
}
