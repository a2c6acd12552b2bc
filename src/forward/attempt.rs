//! A single attempt: one request sent to one upstream, and its response.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::response::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use tokio::task::spawn_local;

use crate::config::{DeclaredRefusal, LoadFormat, Service};
use crate::decide::admission::Target;
use crate::decide::attempt::{AttemptNumber, AttemptOutcome};
use crate::decide::poison::Fingerprints;
use crate::decide::upstream::{AttemptReport, Occupancy, UpstreamOutcome};
use crate::decide::warmup;
use crate::event::{EventCode, Subject};
use crate::forward::BufferedRequest;
use crate::forward::body::{self, ResponseBody};
use crate::forward::connection::{ConnectError, Connection};
use crate::forward::crash::{self, Crash};
use crate::forward::fields;
use crate::forward::gate::SendGate;
use crate::forward::probe;
use crate::forward::response::{self, BodySource, Buffered, ProxyBody, ProxyResponse};
use crate::header::{self, FieldNames};
use crate::node::Node;
use crate::request_log::{LogEntry, RequestLog};
use crate::time::Time;

/// The driver's view of an attempt in progress.
#[derive(Debug, Default)]
pub(crate) struct AttemptHandle {
    gate: RefCell<Option<Arc<SendGate>>>,
    connection_suspect: Cell<bool>,
}

impl AttemptHandle {
    /// Prevents the request from being sent if no byte of it has been written yet. Returns whether
    /// a byte may have been sent.
    pub(crate) fn revoke(&self) -> bool {
        self.gate.borrow().as_ref().is_some_and(|g| g.revoke())
    }

    /// Marks the attempt's connection as suspect: if the attempt still has no response when it is
    /// dropped, the connection may be dead.
    pub(crate) fn set_connection_suspect(&self) {
        self.connection_suspect.set(true);
    }

    fn may_have_sent(&self) -> bool {
        self.gate.borrow().as_ref().is_some_and(|g| g.may_have_sent())
    }
}

/// The result of a finished attempt. `response` is set if the upstream answered and its response
/// may be forwarded.
#[derive(Debug)]
pub(crate) struct AttemptResult {
    pub(crate) number: AttemptNumber,
    pub(crate) outcome: AttemptOutcome,
    pub(crate) response: Option<ProxyResponse>,
}

/// An attempt in progress. It reports its outcome to the service tables exactly once: when it ends
/// or when it is dropped.
#[derive(Debug)]
pub(crate) struct Attempt {
    node: Arc<Node>,
    service: Arc<Service>,
    request_id: Arc<str>,
    fingerprints: Fingerprints,
    log: Rc<RequestLog>,
    target: Target,
    started: Time,
    load_report: LoadReport,
    /// The outcome to report once the response has been read completely.
    upstream_outcome: UpstreamOutcome,
    conn: Option<Connection>,
    handle: Rc<AttemptHandle>,
    reported: bool,
}

impl Attempt {
    /// Creates an attempt at a target whose in-flight count has already been raised.
    pub(crate) fn new(
        node: &Arc<Node>,
        request: &BufferedRequest,
        target: Target,
        handle: Rc<AttemptHandle>,
    ) -> Attempt {
        Attempt {
            node: node.clone(),
            service: request.service.clone(),
            request_id: request.id.clone(),
            fingerprints: request.fingerprints,
            log: request.log.clone(),
            target,
            started: node.clock.now(),
            load_report: LoadReport::default(),
            upstream_outcome: UpstreamOutcome::Answered,
            conn: None,
            handle,
            reported: false,
        }
    }

    /// Sends the request and reads the response.
    pub(crate) async fn run(
        mut self,
        request: &BufferedRequest,
        number: AttemptNumber,
    ) -> AttemptResult {
        let (outcome, response) = match self.send(request, number).await {
            Ok(res) => self.receive(request, res).await,
            Err(outcome) => (outcome, None),
        };
        AttemptResult { number, outcome, response }
    }

    /// Reports that the response was read completely, and returns the connection to the pool.
    pub(crate) fn complete(&mut self) {
        let now = self.node.clock.now();
        let took = now.since(self.started).as_millis();
        self.log.add(LogEntry {
            upstream: Some(self.target.name.clone()),
            value: u64::try_from(took).ok(),
            slowdown: self.load_report.occupancy.map(|o| o.slowdown),
            ..LogEntry::new(now, EventCode::AttemptAnswered)
        });
        self.report(self.upstream_outcome);
        if let Some(conn) = self.conn.take() {
            self.node.pool.put(self.target.address, conn, self.node.clock.now());
        }
    }

    /// Reports the outcome and closes the connection instead of returning it to the pool.
    pub(crate) fn close(&mut self, upstream_outcome: UpstreamOutcome) {
        self.report(upstream_outcome);
        self.conn = None;
    }

    fn fail(
        &mut self,
        outcome: AttemptOutcome,
        upstream_outcome: UpstreamOutcome,
    ) -> AttemptOutcome {
        self.record(EventCode::AttemptFailed, Some(outcome.code().number().into()));
        self.close(upstream_outcome);
        outcome
    }

    fn report(&mut self, upstream_outcome: UpstreamOutcome) {
        if std::mem::replace(&mut self.reported, true) {
            return;
        }
        let latency = self.node.clock.now().since(self.started);
        let LoadReport { load, draining, occupancy, pause, .. } = self.load_report;
        if let Some(occupancy) = occupancy {
            self.node.update_occupancy(&self.service.name, self.target.id, &occupancy);
        }
        if let Some(pause) = pause {
            self.node.pause_upstream(&self.service.name, &self.target, pause);
        }
        let report = AttemptReport { outcome: upstream_outcome, latency, load, draining };
        self.node.finish_attempt(&self.service.name, self.target.id, &report);
        match upstream_outcome {
            UpstreamOutcome::Answered => self.node.record_answer(self.fingerprints),
            UpstreamOutcome::Lost => self.check_upstream(),
            _ => {}
        }
    }

    /// Checks whether the upstream has ended under the request, whose connection was lost.
    fn check_upstream(&self) {
        let crash = Crash {
            service: self.service.clone(),
            target: self.target.clone(),
            request_id: self.request_id.clone(),
            fingerprints: self.fingerprints,
            sent: self.started,
            lost: self.node.clock.now(),
        };
        spawn_local(crash::check(self.node.clone(), crash));
    }

    fn record(&self, code: EventCode, value: Option<u64>) {
        self.log.add(LogEntry {
            upstream: Some(self.target.name.clone()),
            value,
            estimate: self.target.estimate.filter(|_| code == EventCode::Sent),
            ..LogEntry::new(self.node.clock.now(), code)
        });
        let subject = Subject {
            request: Some(self.request_id.clone()),
            service: Some(self.service.name.clone()),
            upstream: Some(self.target.name.clone()),
            ..Subject::default()
        };
        self.node.events.record(code, subject, value);
    }

    /// Records the rate limit in a response, or that it has none. A misdirected request was answered
    /// by another upstream.
    fn observe_limit(&self, head: &Parts) {
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            let limit = self.load_report.limit;
            self.node.observe_limit(&self.service.name, &self.target, limit, self.started);
        }
    }

    /// Sends the request on an idle connection, or on a new one if there is none. Tries another
    /// connection if an idle one turns out to be closed before a byte was sent.
    async fn send(
        &mut self,
        request: &BufferedRequest,
        number: AttemptNumber,
    ) -> Result<Response<ResponseBody>, AttemptOutcome> {
        loop {
            let (conn, is_new) = match self.connection(request).await {
                Ok(found) => found,
                Err(ConnectError::Failed) if self.node.clock.now() < request.deadline => {
                    return Err(self.fail(AttemptOutcome::NotSent, UpstreamOutcome::ConnectFailed));
                }
                Err(_) => {
                    return Err(self.fail(AttemptOutcome::NotSent, UpstreamOutcome::Cancelled));
                }
            };
            // The request may have waited for the connection while the evacuation began.
            if self.node.is_evacuated(&self.service.name, self.target.id) {
                if !self.reassign(request).await {
                    return Err(self.fail(AttemptOutcome::NotSent, UpstreamOutcome::Cancelled));
                }
                continue;
            }
            match self.send_on(conn, request, number).await {
                Err(AttemptOutcome::NotSent) if !is_new => self.conn = None,
                Err(AttemptOutcome::NotSent) => {
                    return Err(self.fail(AttemptOutcome::NotSent, UpstreamOutcome::Cancelled));
                }
                Err(outcome) => return Err(self.fail(outcome, UpstreamOutcome::Lost)),
                Ok(res) => return Ok(res),
            }
        }
    }

    /// Looks for another upstream for a request that was not sent. Returns whether there is one.
    async fn reassign(&mut self, request: &BufferedRequest) -> bool {
        if self.service.probe_before_send {
            probe::refresh_loads(&self.node, request).await;
        }
        let now = self.node.clock.now();
        let req = request.admission_request(now);
        let target = (now < request.deadline)
            .then(|| self.node.reassign_attempt(&self.service.name, &req, &self.target))
            .flatten();
        let Some(target) = target else { return false };
        (self.target, self.started) = (target, now);
        true
    }

    async fn send_on(
        &mut self,
        conn: Connection,
        request: &BufferedRequest,
        number: AttemptNumber,
    ) -> Result<Response<ResponseBody>, AttemptOutcome> {
        *self.handle.gate.borrow_mut() = Some(conn.gate().clone());
        self.record(EventCode::Sent, Some(number.get().into()));
        if self.node.is_limited(&self.service.name, self.target.id) {
            self.log.mark_notable();
            self.node.metrics.count_limited_attempt(&self.service.name, number.get() > 1);
        }
        if self.service.warm_up_per_second > 0.0 {
            self.node.count_if_cold(&self.service.name, self.target.id);
        }
        self.started = self.node.clock.now();
        let req =
            upstream_request(&self.node.header_names, request, &self.target, number, self.started);
        self.conn.insert(conn).send(req, request.deadline).await
    }

    /// Returns a connection and whether it is new. Waits for one while all connections that this
    /// host may open to the upstream are in use. Their number is this host's equal share of those
    /// that the upstream accepts from the fleet.
    async fn connection(
        &self,
        request: &BufferedRequest,
    ) -> Result<(Connection, bool), ConnectError> {
        let limits = &self.node.settings.limits;
        let limit = Duration::from_millis(limits.connect_timeout_ms);
        let until = (self.node.clock.now() + limit).min(request.deadline);
        let until = self.node.clock.instant(until);
        let max = self.node.connections_max(&self.service);
        let address = self.target.address;
        loop {
            if self.node.clock.now() >= request.deadline {
                return Err(ConnectError::TooLate);
            }
            if let Some(conn) = self.idle_connection(request) {
                return Ok((conn, false));
            }
            if let Some(permit) = self.node.pool.reserve(address, max) {
                let conn = Connection::open(address, self.node.clock, until, permit).await?;
                return Ok((conn, true));
            }
            let released = tokio::time::timeout_at(until.into(), self.node.pool.released(address));
            released.await.map_err(|_| ConnectError::Full)?;
        }
    }

    /// Takes an idle connection from the pool. A request that is not idempotent gets only one that
    /// was alive within the last `proof_age_ms`.
    fn idle_connection(&self, request: &BufferedRequest) -> Option<Connection> {
        let proof_age = Duration::from_millis(self.node.settings.limits.proof_age_ms);
        let alive_since = match request.treatment.idempotent {
            true => Time::ZERO,
            false => self.node.clock.now().before(proof_age),
        };
        self.node.pool.take(self.target.address, alive_since)
    }

    async fn receive(
        mut self,
        request: &BufferedRequest,
        res: Response<ResponseBody>,
    ) -> (AttemptOutcome, Option<ProxyResponse>) {
        let (head, mut body) = res.into_parts();
        if let Some(conn) =
            self.conn.as_mut().filter(|_| self.node.settings.prefer_open_connections)
        {
            conn.observe_keep_alive(&head.headers);
        }
        if !is_response_to(&self.service, &request.id, &head) {
            self.record(EventCode::AnswerDiscarded, Some(head.status.as_u16().into()));
            self.node.pool.disable_reuse(self.target.address, self.node.clock.now());
            return (self.fail(AttemptOutcome::InvalidResponse, UpstreamOutcome::Lost), None);
        }
        self.load_report = LoadReport::new(&self.service, head.status, &head.headers);
        self.observe_limit(&head);
        let may_recur = is_anonymous_refusal(&self.service, &head);
        // Where upstreams name the request, stray bytes after an earlier response may look like a refusal
        // that names none.
        let is_used = self.conn.as_ref().is_none_or(|c| c.is_used);
        let names_requests = !self.service.echo_header.is_empty();
        if may_recur && names_requests && is_used && !request.treatment.idempotent {
            self.record(EventCode::AnswerDiscarded, Some(head.status.as_u16().into()));
            return (self.fail(AttemptOutcome::InvalidResponse, UpstreamOutcome::Refused), None);
        }
        let (outcome, upstream_outcome) = classify(&self.service, &head);
        self.upstream_outcome = upstream_outcome;
        let length = body.length();
        let max = self.service.answer_buffer_bytes;
        let buffered = match response::buffer_body(&mut body, max, &self.node.memory).await {
            Ok(buffered) => buffered,
            Err(e) => {
                let outcome = match body::is_malformed(&e) {
                    true => AttemptOutcome::InvalidResponse,
                    false => AttemptOutcome::TruncatedResponse,
                };
                return (self.fail(outcome, UpstreamOutcome::Lost), None);
            }
        };
        if outcome != AttemptOutcome::Answered {
            self.record(EventCode::AttemptFailed, Some(outcome.code().number().into()));
        }
        if outcome == AttemptOutcome::ServerError && implies_not_run(&self.service, head.status) {
            self.close(UpstreamOutcome::Failed);
            return (outcome, None);
        }
        match &buffered {
            Buffered::Complete(..) if may_recur => self.close(upstream_outcome),
            Buffered::Complete(..) => self.complete(),
            Buffered::Partial(..) => {}
        }
        let deadline = self.node.clock.instant(request.deadline);
        let body = match is_bodiless(&request.method, head.status) {
            true => ProxyBody::Empty,
            false => {
                let source = BodySource::Attempt(Box::new(self));
                buffered.into_body(body, length, deadline, source)
            }
        };
        let response = ProxyResponse::forwarded(outcome.code(), request, head, body);
        (outcome, Some(response))
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.reported {
            return;
        }
        if !self.handle.connection_suspect.get() || !self.handle.may_have_sent() {
            return self.close(UpstreamOutcome::Cancelled);
        }
        if let Some(conn) = self.conn.take_if(|c| !c.gate().has_received()) {
            self.record(EventCode::ConnectionSilent, None);
            self.node.pool.close_stale_idle(self.target.address, conn.last_alive);
        }
        self.close(UpstreamOutcome::TimedOut);
    }
}

/// What the headers of a response say about its upstream: its load, and whether it is draining.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadReport {
    pub(crate) load: Option<u32>,
    pub(crate) draining: bool,
    pub(crate) occupancy: Option<Occupancy>,
    /// How long the upstream asks this host to send it nothing.
    pub(crate) pause: Option<Duration>,
    /// The requests per second that the upstream takes from all hosts together.
    pub(crate) limit: Option<f64>,
    /// How long the upstream stays cold; zero if it names no time.
    pub(crate) cold: Duration,
}

impl LoadReport {
    /// Reads the header fields that the service's configuration names, and how long a response with
    /// status 429 or 503 asks this host to wait.
    pub(crate) fn new(service: &Service, status: StatusCode, headers: &HeaderMap) -> LoadReport {
        let value = |name: &str| headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim);
        let says_no = |v: &str| v == "0" || v.eq_ignore_ascii_case("false");
        let load = value(&service.load_header);
        let occupancy = match service.load_format {
            LoadFormat::InFlight => None,
            LoadFormat::Occupancy => load.and_then(parse_occupancy),
        };
        let in_flight = occupancy.map(|o| o.running.saturating_add(o.waiting));
        LoadReport {
            load: in_flight.or_else(|| load.and_then(|v| v.parse().ok())),
            draining: value(&service.drain_header).is_some_and(|v| !says_no(v)),
            occupancy,
            pause: matches!(
                status,
                StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
            )
            .then(|| value(RETRY_AFTER.as_str()).and_then(parse_pause))
            .flatten(),
            limit: value(&service.limit_header).and_then(parse_limit),
            cold: value(&service.warm_up_header).map_or(Duration::ZERO, parse_warm_up),
        }
    }
}

/// Parses a rate limit in requests per second.
fn parse_limit(text: &str) -> Option<f64> {
    let limit = text.parse::<f64>().ok().filter(|l| l.is_finite() && *l >= 0.0);
    if limit.is_none() {
        log::debug!("ignoring the rate limit {text:?} of an upstream");
    }
    limit
}

/// Parses the milliseconds for which an upstream stays cold. If they are no number, it is taken for
/// cold until it names one.
fn parse_warm_up(text: &str) -> Duration {
    match text.parse::<f64>().ok().filter(|ms| !ms.is_nan()) {
        Some(millis) => warmup::duration(millis / 1_000.0),
        None => {
            log::debug!("an upstream names a warm-up time {text:?}");
            warmup::UNKNOWN
        }
    }
}

/// Parses a `Retry-After` time in seconds, with or without fractions. A date is not supported, since
/// it depends on two hosts' clocks.
fn parse_pause(text: &str) -> Option<Duration> {
    let seconds = text.parse::<f64>().ok();
    let pause = seconds.filter(|s| *s >= 0.0).map(Duration::try_from_secs_f64);
    match pause {
        Some(pause) => Some(pause.unwrap_or(Duration::MAX)),
        None => {
            log::debug!("ignoring Retry-After {text:?} of an upstream");
            None
        }
    }
}

/// The range to which a reported slowdown is clamped, in percent of the usual processing time. 100
/// means usual speed.
const SLOWDOWN_PERCENT: std::ops::RangeInclusive<f32> = 100.0..=100_000.0;

/// Parses `running,waiting,slots[,percent]`, where `percent` is the current processing time
/// relative to the usual one. Without it, usual speed is assumed.
fn parse_occupancy(text: &str) -> Option<Occupancy> {
    let mut fields = text.split(',').map(str::trim);
    let mut count = || fields.next()?.parse::<u32>().ok();
    let (running, waiting, slots) = (count()?, count()?, count()?);
    let usual = *SLOWDOWN_PERCENT.start();
    let percent = match fields.next() {
        Some(text) => text.parse::<f32>().ok().filter(|p| p.is_finite())?,
        None => usual,
    };
    let slowdown = percent.clamp(usual, *SLOWDOWN_PERCENT.end()) / usual;
    Some(Occupancy { running, waiting, slots, slowdown })
}

/// Returns whether the response belongs to this request. The echoed request id reveals a late
/// response to an earlier request on the same connection. The signature and the encoding reveal a
/// response that an intermediary generated or changed.
fn is_response_to(service: &Service, id: &str, head: &Parts) -> bool {
    let has = |name: &str| head.headers.contains_key(name);
    let value = |name: &str| fields::only_value(&head.headers, name).map(HeaderValue::as_bytes);
    let id_matches = service.echo_header.is_empty()
        || match has(&service.echo_header) {
            true => value(&service.echo_header) == Some(id.as_bytes()),
            false => service.refusals.iter().any(|r| is_refusal(r, head)),
        };
    let is_signed = service.signature_header.is_empty()
        || !head.status.is_success()
        || value(&service.signature_header).is_some() && !has("content-encoding");
    id_matches && is_signed
}

/// Returns whether callers would take the status as proof that the request was not executed. For
/// services that sign their responses, they take 408 and the statuses of declared refusals as such.
/// An upstream's response that is not a declared refusal proves nothing, so it must not be
/// forwarded with one of these statuses.
fn implies_not_run(service: &Service, status: StatusCode) -> bool {
    let refusal = service.refusals.iter().any(|r| r.status == status.as_u16());
    !service.signature_header.is_empty() && (refusal || status == StatusCode::REQUEST_TIMEOUT)
}

fn classify(service: &Service, head: &Parts) -> (AttemptOutcome, UpstreamOutcome) {
    if service.refusals.iter().any(|r| is_refusal(r, head)) {
        return (AttemptOutcome::Refused, UpstreamOutcome::Refused);
    }
    if head.status.is_server_error() || implies_not_run(service, head.status) {
        return (AttemptOutcome::ServerError, UpstreamOutcome::Failed);
    }
    (AttemptOutcome::Answered, UpstreamOutcome::Answered)
}

/// Returns whether a response is a refusal that names no request. The upstream may write it again, in
/// place of a later response, and it would be taken for one. So its connection is used no more.
pub(crate) fn is_anonymous_refusal(service: &Service, head: &Parts) -> bool {
    service.refusals.iter().any(|r| is_refusal(r, head))
        && !head.headers.contains_key(&service.echo_header)
}

fn is_refusal(refusal: &DeclaredRefusal, head: &Parts) -> bool {
    let has = |v: &HeaderValue| refusal.value.as_ref().is_none_or(|want| v == want.as_str());
    head.status == refusal.status && head.headers.get(&refusal.header).is_some_and(has)
}

fn is_bodiless(method: &Method, status: StatusCode) -> bool {
    method == Method::HEAD || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

fn upstream_request(
    names: &FieldNames,
    request: &BufferedRequest,
    target: &Target,
    number: AttemptNumber,
    now: Time,
) -> Request<Full<Bytes>> {
    let left_ms = u64::try_from(now.until(request.deadline).as_millis()).unwrap_or(u64::MAX);
    let mut req = Request::new(Full::new(request.body.clone()));
    *req.method_mut() = request.method.clone();
    *req.uri_mut() = request.uri.clone();
    *req.headers_mut() = request.headers.clone();
    let headers = req.headers_mut();
    headers.insert(&names.deadline, left_ms.into());
    let instance = HeaderName::try_from(request.service.instance_header.as_str()).ok();
    if let (Some(name), Ok(value)) = (instance, HeaderValue::from_str(&target.name)) {
        headers.insert(name, value);
    }
    headers.insert(header::ATTEMPT, number.get().into());
    req
}
