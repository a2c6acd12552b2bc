//! An upstream that signs its responses, reports its occupancy, and counts the requests that it
//! runs.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::observed::{Attempt, Observed};
use crate::proxy::Proxy;

/// Number of requests that an upstream runs at the same time.
const SLOTS: u32 = 4;
/// The processing time of a request.
const WORK_TIME: Duration = Duration::from_millis(25);

/// The fault of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Runs requests, and closes the connection without a response.
    NoResponse,
    /// Responds with the id of another request.
    WrongId,
    /// Closes the connection within the response body.
    TruncatedBody,
    /// Takes ten times as long.
    Slow,
    /// Refuses requests and asks for a pause.
    Pausing,
    /// Responds with bytes without end.
    Endless,
}

/// The pause that a pausing upstream asks for.
pub const PAUSE: Duration = Duration::from_millis(1_500);
/// The limit that a limited upstream names, in requests per second.
pub const LIMIT: f64 = 3.0;
/// The time for which an upstream is gone that ended under a request.
const RESTART_TIME: Duration = Duration::from_millis(700);
/// The beginning of the paths of requests under which upstreams end.
pub const POISON: &str = "/read/poison/";
/// The mark after which a response is repeated until the host closes the connection.
const ENDLESS: &str = "<endless>";

/// A running upstream behind a proxy.
#[derive(Debug)]
pub struct Upstream {
    pub id: String,
    data_centre: &'static str,
    pub proxy: Arc<Proxy>,
    fault: Mutex<Fault>,
    /// Whether its responses say that it is leaving.
    leaving: AtomicBool,
    /// Whether its responses name [`LIMIT`].
    limited: AtomicBool,
    running: AtomicU32,
    observed: Arc<Observed>,
}

impl Upstream {
    /// Starts an upstream in the hosts' data centre.
    pub async fn start(id: &str, observed: &Arc<Observed>) -> Arc<Upstream> {
        Upstream::start_in("a", id, observed).await
    }

    /// Starts an upstream in a data centre.
    pub async fn start_in(
        data_centre: &'static str,
        id: &str,
        observed: &Arc<Observed>,
    ) -> Arc<Upstream> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("bind");
        let address: SocketAddr = listener.local_addr().expect("bound");
        let upstream = Arc::new(Upstream {
            id: id.to_owned(),
            data_centre,
            proxy: Proxy::start(address).await,
            fault: Mutex::new(Fault::None),
            leaving: AtomicBool::new(false),
            limited: AtomicBool::new(false),
            running: AtomicU32::new(0),
            observed: observed.clone(),
        });
        let server = upstream.clone();
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let upstream = server.clone();
                tokio::spawn(async move {
                    // Errors are expected: hosts close connections, and the proxy resets them.
                    let _ = upstream.serve(stream).await;
                });
            }
        });
        upstream
    }

    /// Sets the fault from now on.
    pub fn set_fault(&self, fault: Fault) {
        *self.fault.lock() = fault;
    }

    /// Lets all responses say from now on that the upstream is leaving.
    pub fn announce_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Returns whether its responses say that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Lets all responses name a rate limit from now on.
    pub fn name_limit(&self) {
        self.limited.store(true, Ordering::SeqCst);
    }

    /// Returns whether its responses name a rate limit.
    pub fn is_limited(&self) -> bool {
        self.limited.load(Ordering::SeqCst)
    }

    /// Ends the process for a while.
    fn crash(&self, path: &str, id: &str) {
        let host = id.split('-').nth(1).and_then(|host| host.parse().ok()).unwrap_or(0);
        self.observed.crashes.lock().push((path.to_owned(), host, Instant::now()));
        let proxy = self.proxy.clone();
        proxy.set_ended(true);
        tokio::spawn(async move {
            tokio::time::sleep(RESTART_TIME).await;
            proxy.set_ended(false);
        });
    }

    /// Returns the upstream's entry in the registry.
    pub fn registration(&self, state: &str) -> String {
        json!({
            "service": "dispatch", "address": self.proxy.address, "zone": self.data_centre,
            "version": "v1", "slots": SLOTS, "state": state, "coldRemainingS": 0, "sequence": 1, "born": 7,
        })
        .to_string()
    }

    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut buf = Vec::new();
        let mut chunk = [0; 4096];
        loop {
            let read = stream.read(&mut chunk).await?;
            if read == 0 {
                return Ok(());
            }
            buf.extend_from_slice(&chunk[..read]);
            let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") else { continue };
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            buf.drain(..end + 4);
            let Some(response) = self.respond(&head).await else { return Ok(()) };
            if let Some((once, repeated)) = response.split_once(ENDLESS) {
                stream.write_all(once.as_bytes()).await?;
                loop {
                    stream.write_all(repeated.as_bytes()).await?;
                }
            }
            stream.write_all(response.as_bytes()).await?;
            // A truncated body is followed by the end of the connection.
            if response.ends_with("body") {
                return Ok(());
            }
        }
    }

    /// Returns the response to a request, or `None` if the connection ends without one.
    async fn respond(&self, head: &str) -> Option<String> {
        let load = |running: u32| format!("x-instance-load: {running},0,{SLOTS},100");
        if head.starts_with("GET /health ") {
            *self.observed.probes.lock().entry(self.id.clone()).or_default() += 1;
            let load = load(self.running.load(Ordering::SeqCst));
            return Some(format!("HTTP/1.1 200 OK\r\n{load}\r\ncontent-length: 0\r\n\r\n"));
        }
        let id = header_field(head, "x-attempt-id").to_owned();
        if header_field(head, "x-expect-instance") != self.id {
            return Some("HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n".to_owned());
        }
        let path = head.split(' ').nth(1).unwrap_or("");
        if path.starts_with(POISON) {
            self.crash(path, &id);
            return None;
        }
        let is_pausing = *self.fault.lock() == Fault::Pausing;
        let attempt = Attempt { id: id.clone(), upstream: self.id.clone(), at: Instant::now() };
        self.observed.attempts.lock().push((attempt, is_pausing));
        if is_pausing {
            let after = PAUSE.as_secs_f64();
            return Some(format!(
                "HTTP/1.1 503 Pausing\r\nx-not-executed: 1\r\nretry-after: {after}\r\n\
                 content-length: 0\r\n\r\n"
            ));
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let refusal = "HTTP/1.1 503 Full\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
            return Some(refusal.to_owned());
        }
        let arrival = Attempt { id: id.clone(), upstream: self.id.clone(), at: Instant::now() };
        self.observed.arrivals.lock().push(arrival);
        let fault = *self.fault.lock();
        tokio::time::sleep(if fault == Fault::Slow { WORK_TIME * 10 } else { WORK_TIME }).await;
        let running = self.running.fetch_sub(1, Ordering::SeqCst);
        let body = format!("body of {id}");
        let (echo, is_truncated) = match fault {
            Fault::NoResponse => return None,
            Fault::WrongId => ("another", false),
            Fault::TruncatedBody => (id.as_str(), true),
            Fault::Endless => {
                return Some(format!("HTTP/1.1 200 OK\r\nx-noise: {ENDLESS}{}", "a".repeat(4_096)));
            }
            Fault::None | Fault::Slow | Fault::Pausing => (id.as_str(), false),
        };
        let leaving = self.is_leaving();
        if leaving {
            self.observed.announcements.lock().insert(id.clone(), self.id.clone());
        }
        let limit = if self.is_limited() {
            self.observed.limits.lock().insert(id.clone(), self.id.clone());
            format!("server-limit: {LIMIT}\r\n")
        } else {
            String::new()
        };
        let leaving = if leaving { "server-leaving: 1\r\n" } else { "" };
        let sent = if is_truncated { "body" } else { body.as_str() };
        let (load, length) = (load(running), body.len());
        Some(format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {echo}\r\nx-response-signature: s.{echo}\r\n{load}\r\n\
             {leaving}{limit}content-length: {length}\r\n\r\n{sent}"
        ))
    }
}

fn header_field<'a>(head: &'a str, name: &str) -> &'a str {
    let value = |line: &'a str| {
        let (name_found, value) = line.split_once(':')?;
        name_found.eq_ignore_ascii_case(name).then(|| value.trim())
    };
    head.lines().find_map(value).unwrap_or("")
}
