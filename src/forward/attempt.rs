//! One attempt: a request to one upstream and its answer.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Body, Incoming};

use crate::config::{LoadFormat, Refusal, Service};
use crate::decide::admission::Target;
use crate::decide::attempt::{AttemptNumber, AttemptOutcome};
use crate::decide::upstream::{AttemptReport, Occupancy, UpstreamOutcome};
use crate::event::{EventCode, Subject};
use crate::forward::BufferedRequest;
use crate::forward::connection::{ConnectError, Connection};
use crate::forward::gate::SendGate;
use crate::forward::response::{self, BufferedBody, ProxyBody, ProxyResponse};
use crate::header::{self, FieldNames};
use crate::node::Node;
use crate::request_log::{LogEntry, RequestLog};
use crate::time::Time;

/// What the driver sees of an attempt that is under way.
#[derive(Debug, Default)]
pub(crate) struct AttemptHandle {
    gate: RefCell<Option<Arc<SendGate>>>,
    late: Cell<bool>,
}

impl AttemptHandle {
    /// Makes sure that no byte leaves from now on if none has. Returns whether one may have left.
    pub(crate) fn revoke(&self) -> bool {
        self.gate.borrow().as_ref().is_some_and(|w| w.revoke())
    }

    /// Notes that the attempt's answer is so late that its connection may be dead.
    pub(crate) fn set_late(&self) {
        self.late.set(true);
    }

    fn may_have_sent(&self) -> bool {
        self.gate.borrow().as_ref().is_some_and(|w| w.may_have_sent())
    }
}

/// The end of an attempt.
#[derive(Debug)]
pub(crate) struct AttemptResult {
    pub(crate) number: AttemptNumber,
    pub(crate) ending: AttemptOutcome,
    pub(crate) answer: Option<ProxyResponse>,
}

/// An attempt under way. It reports its end to the tables once: when it ends, or when dropped.
#[derive(Debug)]
pub(crate) struct Attempt {
    node: Arc<Node>,
    service: Arc<Service>,
    request: Arc<str>,
    log: Rc<RequestLog>,
    target: Target,
    started: Time,
    reading: LoadReport,
    /// The end to report when the answer is whole.
    ended: UpstreamOutcome,
    conn: Option<Connection>,
    track: Rc<AttemptHandle>,
    reported: bool,
}

impl Attempt {
    /// Takes over a target whose in-flight count is raised.
    pub(crate) fn new(
        node: &Arc<Node>,
        job: &BufferedRequest,
        target: Target,
        track: Rc<AttemptHandle>,
    ) -> Attempt {
        Attempt {
            node: node.clone(),
            service: job.service.clone(),
            request: job.id.clone(),
            log: job.log.clone(),
            target,
            started: node.clock.now(),
            reading: LoadReport::default(),
            ended: UpstreamOutcome::Answered,
            conn: None,
            track,
            reported: false,
        }
    }

    /// Carries the attempt out.
    pub(crate) async fn run(
        mut self,
        job: &BufferedRequest,
        number: AttemptNumber,
    ) -> AttemptResult {
        let (ending, answer) = match self.send(job, number).await {
            Ok(res) => self.receive(job, res).await,
            Err(ending) => (ending, None),
        };
        AttemptResult { number, ending, answer }
    }

    /// Reports that the answer is whole, and gives the connection back.
    pub(crate) fn succeed(&mut self) {
        let now = self.node.clock.now();
        let took = now.since(self.started).as_millis();
        self.log.add(LogEntry {
            upstream: Some(self.target.name.clone()),
            value: u64::try_from(took).ok(),
            slowdown: self.reading.occupancy.map(|o| o.slowdown),
            ..LogEntry::new(now, EventCode::AttemptAnswered)
        });
        self.report(self.ended);
        if let Some(conn) = self.conn.take() {
            self.node.pool.put(self.target.address, conn, self.node.clock.now());
        }
    }

    /// Reports that the answer was given up on or cut, and closes the connection.
    pub(crate) fn close(&mut self, ended: UpstreamOutcome) {
        self.report(ended);
        self.conn = None;
    }

    fn fail(&mut self, ending: AttemptOutcome, ended: UpstreamOutcome) -> AttemptOutcome {
        self.record(EventCode::AttemptFailed, Some(ending.code().number().into()));
        self.close(ended);
        ending
    }

    fn report(&mut self, ended: UpstreamOutcome) {
        if std::mem::replace(&mut self.reported, true) {
            return;
        }
        let latency = self.node.clock.now().since(self.started);
        let LoadReport { load, draining, occupancy } = self.reading;
        if let Some(occupancy) = occupancy {
            self.node.update_occupancy(&self.service.name, self.target.id, &occupancy);
        }
        let report = AttemptReport { outcome: ended, latency, load, draining };
        self.node.finish_attempt(&self.service.name, self.target.id, &report);
    }

    fn record(&self, code: EventCode, value: Option<u64>) {
        self.log.add(LogEntry {
            upstream: Some(self.target.name.clone()),
            value,
            choice: self.target.estimate.filter(|_| code == EventCode::Sent),
            ..LogEntry::new(self.node.clock.now(), code)
        });
        let subject = Subject {
            request: Some(self.request.clone()),
            service: Some(self.service.name.clone()),
            upstream: Some(self.target.name.clone()),
            ..Subject::default()
        };
        self.node.events.record(code, subject, value);
    }

    /// Sends the request on an idle connection, or on a new one if there is none or it turns out
    /// to have ended before a byte left.
    async fn send(
        &mut self,
        job: &BufferedRequest,
        number: AttemptNumber,
    ) -> Result<Response<Incoming>, AttemptOutcome> {
        loop {
            let (conn, is_new) = match self.connection(job).await {
                Ok(found) => found,
                Err(ConnectError::Failed) if self.node.clock.now() < job.deadline => {
                    return Err(self.fail(AttemptOutcome::NotSent, UpstreamOutcome::ConnectFailed));
                }
                Err(_) => {
                    return Err(self.fail(AttemptOutcome::NotSent, UpstreamOutcome::Cancelled));
                }
            };
            match self.send_on(conn, job, number).await {
                Err(AttemptOutcome::NotSent) if !is_new => self.conn = None,
                Err(AttemptOutcome::NotSent) => {
                    return Err(self.fail(AttemptOutcome::NotSent, UpstreamOutcome::Cancelled));
                }
                Err(ending) => return Err(self.fail(ending, UpstreamOutcome::Lost)),
                Ok(res) => return Ok(res),
            }
        }
    }

    async fn send_on(
        &mut self,
        conn: Connection,
        job: &BufferedRequest,
        number: AttemptNumber,
    ) -> Result<Response<Incoming>, AttemptOutcome> {
        *self.track.gate.borrow_mut() = Some(conn.gate().clone());
        self.record(EventCode::Sent, Some(number.get().into()));
        self.started = self.node.clock.now();
        let req = request(&self.node.header_names, job, &self.target, number, self.started);
        self.conn.insert(conn).send(req, job.deadline).await
    }

    /// Returns a connection, and whether it is new. Waits for one while this host's share of the
    /// upstream's connections is in use.
    async fn connection(&self, job: &BufferedRequest) -> Result<(Connection, bool), ConnectError> {
        let limits = &self.node.settings.limits;
        let limit = Duration::from_millis(limits.connect_timeout_ms);
        let until = (self.node.clock.now() + limit).min(job.deadline);
        let until = self.node.clock.instant(until);
        let max = self.service.connections / self.node.settings.fleet_size_max.max(1);
        let address = self.target.address;
        loop {
            if self.node.clock.now() >= job.deadline {
                return Err(ConnectError::TooLate);
            }
            if let Some(conn) = self.idle(job) {
                return Ok((conn, false));
            }
            if let Some(slot) = self.node.pool.reserve(address, max.max(1)) {
                let conn = Connection::open(address, self.node.clock, until, slot).await?;
                return Ok((conn, true));
            }
            let freed = tokio::time::timeout_at(until.into(), self.node.pool.freed(address));
            freed.await.map_err(|_| ConnectError::Full)?;
        }
    }

    /// Takes an idle connection. One for a request that is not idempotent has proved alive of late.
    fn idle(&self, job: &BufferedRequest) -> Option<Connection> {
        let proof = Duration::from_millis(self.node.settings.limits.proof_age_ms);
        let alive_since = match job.treatment.idempotent {
            true => Time::ZERO,
            false => self.node.clock.now().before(proof),
        };
        self.node.pool.take(self.target.address, alive_since)
    }

    async fn receive(
        mut self,
        job: &BufferedRequest,
        res: Response<Incoming>,
    ) -> (AttemptOutcome, Option<ProxyResponse>) {
        let (head, mut body) = res.into_parts();
        if head.status.is_informational() {
            return (self.fail(AttemptOutcome::InvalidResponse, UpstreamOutcome::Lost), None);
        }
        if !is_answer_to(&self.service, &job.id, &head) {
            self.record(EventCode::AnswerDiscarded, Some(head.status.as_u16().into()));
            self.node.pool.distrust(self.target.address, self.node.clock.now());
            return (self.fail(AttemptOutcome::InvalidResponse, UpstreamOutcome::Lost), None);
        }
        self.reading = LoadReport::new(&self.service, &head.headers);
        let (ending, ended) = classify(&self.service, &head);
        self.ended = ended;
        let length = body.size_hint().exact();
        let max = self.service.answer_buffer_bytes;
        let Ok(taken) = response::take_in(&mut body, max, &self.node.memory).await else {
            return (self.fail(AttemptOutcome::TruncatedResponse, UpstreamOutcome::Lost), None);
        };
        if ending != AttemptOutcome::Answered {
            self.record(EventCode::AttemptFailed, Some(ending.code().number().into()));
        }
        if ending == AttemptOutcome::ServerError && says_not_run(&self.service, head.status) {
            self.close(UpstreamOutcome::Failed);
            return (ending, None);
        }
        let whole = matches!(taken, BufferedBody::Whole(..));
        if whole {
            self.succeed();
        }
        let deadline = self.node.clock.instant(job.deadline);
        let body = match is_bodiless(&job.method, head.status) {
            true => ProxyBody::Empty,
            false => taken.into_body(body, length, deadline, self),
        };
        let Parts { status, headers, .. } = head;
        let answer =
            ProxyResponse { code: ending.code(), status, headers, body, retry_after: None };
        (ending, Some(answer))
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.reported {
            return;
        }
        if !self.track.late.get() || !self.track.may_have_sent() {
            return self.close(UpstreamOutcome::Cancelled);
        }
        if let Some(conn) = self.conn.take_if(|c| !c.gate().has_received()) {
            self.record(EventCode::ConnectionSilent, None);
            self.node.pool.suspect(self.target.address, conn.alive);
        }
        self.close(UpstreamOutcome::TimedOut);
    }
}

/// What an answer's header says of its upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadReport {
    pub(crate) load: Option<u32>,
    pub(crate) draining: bool,
    pub(crate) occupancy: Option<Occupancy>,
}

impl LoadReport {
    /// Reads the fields that the service names.
    pub(crate) fn new(service: &Service, headers: &HeaderMap) -> LoadReport {
        let value = |name: &str| headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim);
        let says_no = |v: &str| v == "0" || v.eq_ignore_ascii_case("false");
        let load = value(&service.load_header);
        let occupancy = match service.load_format {
            LoadFormat::InFlight => None,
            LoadFormat::Occupancy => load.and_then(occupancy),
        };
        let in_flight = occupancy.map(|o| o.running.saturating_add(o.waiting));
        LoadReport {
            load: in_flight.or_else(|| load.and_then(|v| v.parse().ok())),
            draining: value(&service.drain_header).is_some_and(|v| !says_no(v)),
            occupancy,
        }
    }
}

/// The slowdown that stands for the usual speed, and the largest one that is believed, in percent.
const SLOWDOWN_PERCENT: std::ops::RangeInclusive<f32> = 100.0..=100_000.0;

/// Reads running, waiting, slots and, if it is there, the present work time in percent.
fn occupancy(text: &str) -> Option<Occupancy> {
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

/// Tells whether an answer is an upstream's to this request, and not one that came late to an
/// earlier request on the connection or one that something between made.
fn is_answer_to(service: &Service, id: &str, head: &Parts) -> bool {
    let value = |name: &str| head.headers.get(name).map(HeaderValue::as_bytes);
    let echoes = service.echo_header.is_empty()
        || match value(&service.echo_header) {
            Some(echo) => echo == id.as_bytes(),
            None => service.refusals.iter().any(|r| is_refusal(r, head)),
        };
    let signed = service.signature_header.is_empty()
        || !head.status.is_success()
        || value(&service.signature_header).is_some() && value("content-encoding").is_none();
    echoes && signed
}

/// Tells whether callers take a status as proof that the request was not run, as they do where
/// answers are signed. An upstream's answer without a declared refusal proves nothing of the kind.
fn says_not_run(service: &Service, status: StatusCode) -> bool {
    let refusal = service.refusals.iter().any(|r| r.status == status.as_u16());
    !service.signature_header.is_empty() && (refusal || status == StatusCode::REQUEST_TIMEOUT)
}

fn classify(service: &Service, head: &Parts) -> (AttemptOutcome, UpstreamOutcome) {
    if service.refusals.iter().any(|r| is_refusal(r, head)) {
        return (AttemptOutcome::Refused, UpstreamOutcome::Refused);
    }
    if head.status.is_server_error() || says_not_run(service, head.status) {
        return (AttemptOutcome::ServerError, UpstreamOutcome::Failed);
    }
    (AttemptOutcome::Answered, UpstreamOutcome::Answered)
}

fn is_refusal(refusal: &Refusal, head: &Parts) -> bool {
    let has = |v: &HeaderValue| refusal.value.as_ref().is_none_or(|want| v == want.as_str());
    head.status == refusal.status && head.headers.get(&refusal.header).is_some_and(has)
}

fn is_bodiless(method: &Method, status: StatusCode) -> bool {
    method == Method::HEAD || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

fn request(
    names: &FieldNames,
    job: &BufferedRequest,
    target: &Target,
    number: AttemptNumber,
    now: Time,
) -> Request<Full<Bytes>> {
    let left = u64::try_from(now.until(job.deadline).as_millis()).unwrap_or(u64::MAX);
    let mut req = Request::new(Full::new(job.body.clone()));
    *req.method_mut() = job.method.clone();
    *req.uri_mut() = job.uri.clone();
    *req.headers_mut() = job.headers.clone();
    let headers = req.headers_mut();
    headers.insert(&names.deadline, left.into());
    let instance = HeaderName::try_from(job.service.instance_header.as_str()).ok();
    if let (Some(name), Ok(value)) = (instance, HeaderValue::from_str(&target.name)) {
        headers.insert(name, value);
    }
    headers.insert(header::ATTEMPT, number.get().into());
    req
}
