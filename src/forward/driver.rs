//! Drives a request to its final response: admission, attempts, retries, hedges, and cancellation.

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
use crate::decide::poison::{BlockDecision, Fingerprint};
use crate::decide::service::NextAttempt;
use crate::decide::upstream::UpstreamId;
use crate::dispatch::Dispatch;
use crate::entry::waiting::Waiter;
use crate::error::Code;
use crate::event::{EventCode, Subject};
use crate::forward::BufferedRequest;
use crate::forward::attempt::{Attempt, AttemptHandle, AttemptResult};
use crate::forward::response::ProxyResponse;
use crate::forward::{probe, relay};
use crate::node::Node;
use crate::request_log::LogEntry;
use crate::time::Time;

/// A hedge of an idempotent request may start after the remaining time divided by this number, if
/// not earlier. The connections of attempts that are still open by then may be dead.
const HEDGE_DIVISOR: u32 = 2;

/// Number of searches for a retry target before the retry is abandoned.
const RETRY_TARGET_TRIES: u32 = 6;
/// Time between two searches for a retry target. Equals the probe interval of the service tables
/// while requests are queued.
const RETRY_TARGET_INTERVAL: Duration = Duration::from_millis(15);
/// A hedge that found no target is tried again after the latency objective divided by this number.
const HEDGE_RECHECK_DIVISOR: u64 = 8;

/// The `Retry-After` time of a blocked request: the time until a copy is sent on trial.
const BLOCKED_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Drives a request to its final response. `disconnected` completes when the caller closes its
/// connection. A request whose upstreams this host can't reach is passed on to a peer.
pub(crate) async fn run(
    node: &Arc<Node>,
    request: &BufferedRequest,
    disconnected: impl Future<Output = ()>,
) -> ProxyResponse {
    let mut disconnected = pin!(disconnected);
    let response = run_here(node, request, disconnected.as_mut()).await;
    if !relay::is_wanted(node, request, &response) {
        return response;
    }
    relay::run(node, request, response, disconnected).await
}

/// Drives a request to its final response with this host's own upstreams.
async fn run_here(
    node: &Arc<Node>,
    request: &BufferedRequest,
    mut disconnected: Pin<&mut impl Future<Output = ()>>,
) -> ProxyResponse {
    let decision = node.decide_block(request.fingerprints);
    if decision == BlockDecision::Refuse {
        return *blocked_response(node, request);
    }
    if request.is_relayed && !probe::confirm_reach(node, request).await {
        return ProxyResponse::local(Code::UpstreamsUnreachable);
    }
    if request.service.probe_before_send && !node.is_cut_off(&request.service.name) {
        probe::refresh_loads(node, request).await;
    }
    match admit(node, request, disconnected.as_mut()).await {
        Ok(target) if !node.may_send(&request.service.name, &target, request.deadline) => {
            node.cancel_attempt(&request.service.name, &target);
            ProxyResponse::local(Code::Stopping)
        }
        // It may have been blocked while it waited.
        Ok(target)
            if decision == BlockDecision::Allow
                && node.blocking(request.fingerprints).is_some() =>
        {
            node.cancel_attempt(&request.service.name, &target);
            *blocked_response(node, request)
        }
        Ok(target) => RequestDriver::new(node, request).run(target, disconnected).await,
        Err(response) => *response,
    }
}

async fn admit(
    node: &Arc<Node>,
    request: &BufferedRequest,
    disconnected: Pin<&mut impl Future<Output = ()>>,
) -> Result<Target, Box<ProxyResponse>> {
    let req = request.admission_request(node.clock.now());
    match node.admit(&request.service.name, &req) {
        Ok(Dispatch::Run(target)) => Ok(target),
        Ok(Dispatch::Refuse(refusal)) => Err(shed_response(node, request, &refusal)),
        Ok(Dispatch::Wait(waiter)) => wait_for_admission(node, request, waiter, disconnected).await,
        Err(code) => Err(Box::new(ProxyResponse::local(code))),
    }
}

async fn wait_for_admission(
    node: &Arc<Node>,
    request: &BufferedRequest,
    mut waiter: Waiter,
    disconnected: Pin<&mut impl Future<Output = ()>>,
) -> Result<Target, Box<ProxyResponse>> {
    record(node, request, EventCode::Queued);
    count_shed(node, request, None);
    tokio::select! {
        biased;
        admission = waiter.decision() => match admission {
            Some(Admission::Run(target)) => Ok(target),
            Some(Admission::Refuse(refusal)) => Err(shed_response(node, request, &refusal)),
            _ => Err(Box::new(ProxyResponse::local(Code::Overloaded))),
        },
        () = sleep_until(node.clock.instant(request.deadline).into()) => {
            Err(Box::new(ProxyResponse::local(Code::DeadlineTooClose)))
        }
        () = disconnected => {
            record(node, request, EventCode::CallerDisconnected);
            Err(Box::new(ProxyResponse::local(Code::CallerGone)))
        }
    }
}

/// Returns the response to a request that is blocked.
fn blocked_response(node: &Node, request: &BufferedRequest) -> Box<ProxyResponse> {
    let refusal = Refusal { code: Code::Blocked, retry_after: BLOCKED_RETRY_AFTER };
    refusal_response(node, request, &refusal, node.blocking(request.fingerprints))
}

/// Counts and returns the response to a request that admission has refused.
fn shed_response(node: &Node, request: &BufferedRequest, refusal: &Refusal) -> Box<ProxyResponse> {
    count_shed(node, request, Some(refusal.code));
    refusal_response(node, request, refusal, None)
}

fn count_shed(node: &Node, request: &BufferedRequest, refused: Option<Code>) {
    node.metrics.count_shed(&request.service.name, request.treatment.priority, refused);
}

/// Returns the response to a refused request. `fingerprint` is the one under which it is blocked, if it
/// is.
fn refusal_response(
    node: &Node,
    request: &BufferedRequest,
    refusal: &Refusal,
    fingerprint: Option<Fingerprint>,
) -> Box<ProxyResponse> {
    let entry = LogEntry::new(node.clock.now(), EventCode::Refused);
    let after = u64::try_from(refusal.retry_after.as_millis()).ok();
    request.log.add(LogEntry { value: after, fingerprint, ..entry });
    let retry_after = Some(refusal.retry_after);
    Box::new(ProxyResponse { retry_after, ..ProxyResponse::local(refusal.code) })
}

fn record(node: &Node, request: &BufferedRequest, code: EventCode) {
    request.log.add(LogEntry::new(node.clock.now(), code));
    node.events.record(code, subject(request), None);
}

fn subject(request: &BufferedRequest) -> Subject {
    let (request, service) = (Some(request.id.clone()), Some(request.service.name.clone()));
    Subject { request, service, ..Subject::default() }
}

/// An attempt in progress, as its request's driver tracks it.
struct OpenAttempt {
    number: AttemptNumber,
    handle: Rc<AttemptHandle>,
}

/// The state of an admitted request.
struct RequestDriver<'a> {
    node: &'a Arc<Node>,
    request: &'a BufferedRequest,
    attempts: Attempts,
    running: FuturesUnordered<LocalBoxFuture<'a, AttemptResult>>,
    open_attempts: Vec<OpenAttempt>,
    tried: Vec<UpstreamId>,
    responses: Vec<(AttemptNumber, ProxyResponse)>,
    hedge_timer: Option<HedgeTimer>,
}

/// The timer after which a hedge may start.
#[derive(Clone, Copy)]
struct HedgeTimer {
    due: Time,
    /// Whether the connections of attempts still open at that time may be dead.
    suspect_connection: bool,
}

impl<'a> RequestDriver<'a> {
    fn new(node: &'a Arc<Node>, request: &'a BufferedRequest) -> RequestDriver<'a> {
        let treatment = &request.treatment;
        let limits =
            AttemptLimits { idempotent: treatment.idempotent, max_attempts: treatment.attempts };
        RequestDriver {
            node,
            request,
            attempts: Attempts::new(limits),
            running: FuturesUnordered::new(),
            open_attempts: Vec::new(),
            tried: Vec::new(),
            responses: Vec::new(),
            hedge_timer: None,
        }
    }

    async fn run(
        mut self,
        target: Target,
        mut disconnected: Pin<&mut impl Future<Output = ()>>,
    ) -> ProxyResponse {
        if self.node.clock.now() >= self.request.deadline {
            self.node.cancel_attempt(&self.request.service.name, &target);
            return ProxyResponse::local(Code::DeadlineTooClose);
        }
        self.start_attempt(target);
        let mut deadline = pin!(sleep_until(self.node.clock.instant(self.request.deadline).into()));
        loop {
            let hedge_at = self.hedge_timer.map(|t| t.due);
            let event = tokio::select! {
                biased;
                Some(finished) = self.running.next() => self.on_finished(finished),
                () = &mut deadline => self.on_deadline(),
                () = sleep_until_or_forever(self.node, hedge_at) => self.on_hedge_due(),
                () = &mut disconnected => self.on_disconnect(),
            };
            if let Some(result) = self.handle_event(event).await {
                return self.into_response(result);
            }
        }
    }

    /// Handles an event and carries out the step that follows from it. Returns the result if the
    /// request is finished.
    async fn handle_event(&mut self, event: Event) -> Option<RequestResult> {
        let (reason, code) = match self.attempts.on(event) {
            Step::Wait => return None,
            Step::Finish(result) => return Some(result),
            Step::Retry => (NextAttempt::Retry, EventCode::Retried),
            Step::Hedge => (NextAttempt::Hedge, EventCode::Hedged),
        };
        if self.node.blocking(self.request.fingerprints).is_some() {
            return self.finish_with(Event::NoTarget);
        }
        let target = match reason {
            NextAttempt::Retry => self.retry_target().await,
            NextAttempt::Hedge => self.next_target(reason).await,
        };
        let now = self.node.clock.now();
        let (service, deadline) = (&self.request.service.name, self.request.deadline);
        let target = target.filter(|target| {
            let may_send = self.node.may_send(service, target, deadline);
            if !may_send {
                self.node.cancel_attempt(service, target);
            }
            may_send
        });
        let Some(target) = target else {
            let is_denied = !self.node.may_retry(&self.request.service.name);
            if reason == NextAttempt::Retry && is_denied {
                self.record_retry(EventCode::RetryDenied);
            }
            if now >= self.request.deadline {
                let event = self.on_deadline();
                return self.finish_with(event);
            }
            if reason == NextAttempt::Hedge {
                self.hedge_timer = self.recheck_timer(now);
            }
            return self.finish_with(Event::NoTarget);
        };
        self.record_retry(code);
        self.start_attempt(target);
        None
    }

    /// Records a retry or hedge, or that none was allowed, with the use of the retry budget.
    fn record_retry(&self, code: EventCode) {
        let (node, service) = (self.node, &self.request.service.name);
        let retry_usage = node.retry_usage(service);
        self.request.log.add(LogEntry { retry_usage, ..LogEntry::new(node.clock.now(), code) });
        node.events.record(code, subject(self.request), None);
        node.metrics.count_retry(service, code != EventCode::RetryDenied);
    }

    /// Returns an upstream for a retry or hedge, if one is available and the retry budget permits
    /// it.
    async fn next_target(&self, reason: NextAttempt) -> Option<Target> {
        if self.request.service.probe_before_send {
            probe::refresh_loads(self.node, self.request).await;
        }
        let now = self.node.clock.now();
        let req = self.request.admission_request(now);
        let in_time = now < self.request.deadline;
        let service = &self.request.service.name;
        in_time.then(|| self.node.admit_attempt(service, &req, reason, &self.tried)).flatten()
    }

    /// Looks for a retry target, several times if the service probes before each request: a slot
    /// may become free, or be reported as free, a moment later.
    async fn retry_target(&self) -> Option<Target> {
        let tries = if self.request.service.probe_before_send { RETRY_TARGET_TRIES } else { 1 };
        for round in 0..tries {
            if round > 0 {
                tokio::time::sleep(RETRY_TARGET_INTERVAL).await;
            }
            let target = self.next_target(NextAttempt::Retry).await;
            let is_over = self.node.clock.now() >= self.request.deadline;
            if target.is_some() || is_over || !self.node.may_retry(&self.request.service.name) {
                return target;
            }
        }
        None
    }

    /// Handles an event that leads to no further attempt.
    fn finish_with(&mut self, event: Event) -> Option<RequestResult> {
        match self.attempts.on(event) {
            Step::Finish(result) => Some(result),
            _ => None,
        }
    }

    /// Returns the timer after which to try a hedge again that found no target, or `None` if the
    /// delay is zero, as it is without a latency objective.
    fn recheck_timer(&self, now: Time) -> Option<HedgeTimer> {
        let after =
            Duration::from_millis(self.request.treatment.objective_ms / HEDGE_RECHECK_DIVISOR);
        (!after.is_zero()).then(|| HedgeTimer { due: now + after, suspect_connection: false })
    }

    fn start_attempt(&mut self, target: Target) {
        let (number, handle) = (self.attempts.start(), Rc::new(AttemptHandle::default()));
        self.hedge_timer = self.hedge_timer_for(target.id);
        self.tried.push(target.id);
        let attempt = Attempt::new(self.node, self.request, target, handle.clone());
        self.open_attempts.push(OpenAttempt { number, handle });
        self.running.push(Box::pin(attempt.run(self.request, number)));
    }

    /// Returns the timer of a hedge beside the attempt just sent to `id`, or `None` if the request
    /// is not idempotent.
    fn hedge_timer_for(&self, id: UpstreamId) -> Option<HedgeTimer> {
        if !self.request.treatment.idempotent {
            return None;
        }
        let now = self.node.clock.now();
        let half = now.until(self.request.deadline) / HEDGE_DIVISOR;
        let hedge = self.request.treatment.hedge;
        let hedge = hedge.then(|| self.node.hedge_delay(&self.request.service.name, id)).flatten();
        let after = hedge.map_or(half, |h| h.min(half));
        Some(HedgeTimer { due: now + after, suspect_connection: after == half })
    }

    fn on_finished(&mut self, finished: AttemptResult) -> Event {
        let AttemptResult { number, outcome, response } = finished;
        self.open_attempts.retain(|a| a.number != number);
        self.responses.extend(response.map(|r| (number, r)));
        Event::Ended(number, outcome)
    }

    fn on_hedge_due(&mut self) -> Event {
        if self.hedge_timer.take().is_some_and(|t| t.suspect_connection) {
            self.open_attempts.iter().for_each(|a| a.handle.set_connection_suspect());
        }
        Event::HedgeDue
    }

    fn on_deadline(&mut self) -> Event {
        self.open_attempts.iter().for_each(|a| a.handle.set_connection_suspect());
        self.revoke();
        Event::Deadline
    }

    fn on_disconnect(&mut self) -> Event {
        record(self.node, self.request, EventCode::CallerDisconnected);
        self.revoke();
        Event::CallerGone
    }

    /// Prevents unsent attempts from being sent, and reports to the state machine those that may
    /// have been sent.
    fn revoke(&mut self) {
        for open in &self.open_attempts {
            if open.handle.revoke() {
                self.attempts.on(Event::Sent(open.number));
            }
        }
    }

    fn into_response(mut self, result: RequestResult) -> ProxyResponse {
        let response = result.response.and_then(|number| {
            let at = self.responses.iter().position(|(n, _)| *n == number)?;
            Some(self.responses.swap_remove(at).1)
        });
        response.unwrap_or_else(|| ProxyResponse::local(result.code))
    }
}

async fn sleep_until_or_forever(node: &Node, at: Option<Time>) {
    match at {
        Some(at) => sleep_until(node.clock.instant(at).into()).await,
        None => std::future::pending().await,
    }
}
