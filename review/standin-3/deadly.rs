//! Targets that end under one request, and the consumers that send it. The cases on such a request
//! include this file as a module, beside `platform`.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::platform::{self, Conn, Record, Store};

pub const CONFIG: &str = r#"{"version":7,
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},
 "listeners":[{"host":"ficu95.example","rules":[
  {"name":"r-book","kind":"non_idempotent","latencyGoalS":0.3,"priority":1,"match":{"pathPrefix":"/pufi791/"},
   "action":{"service":"huvo11a","timeoutS":1,"maxAttempts":2}}]}],
 "clusters":[{"name":"huvo11a","healthPath":"/health","maxConnections":220,"protocol":"h1","tls":false}]}"#;

/// The bound `contactS`, and the retries that the rule allows.
pub const CONTACT: Duration = Duration::from_secs(3);
pub const RETRIES_MAX: usize = 3;
pub const TARGETS: usize = 13;
const SLOTS: u32 = 6;
const WORK: Duration = Duration::from_millis(60);
/// The time after which a target that has ended is back.
const DOWN: Duration = Duration::from_secs(3);
const BEAT: Duration = Duration::from_millis(1_500);
/// The time between two copies of the deadly request.
pub const COPY_GAP: Duration = Duration::from_millis(250);
pub const DEADLY_PATH: &str = "/pufi791/report";
pub const DEADLY_BODY: &str = "from=1970&to=2099";

/// What is seen of the targets.
#[derive(Default)]
pub struct Seen {
    /// The copies of the deadly request that reached targets.
    pub deadly: Mutex<Vec<(String, Instant)>>,
    pub ended: Mutex<Vec<Instant>>,
}

fn unix_millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

/// Runs a target, in one process after another under its id and address.
pub fn start_target(store: &Store, id: String, seen: &Arc<Seen>, record: &Arc<Record>) {
    let first = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = first.local_addr().expect("bound");
    let born = Arc::new(AtomicU64::new(unix_millis() as u64));
    let (beat_store, beat_id, beat_born) = (store.clone(), id.clone(), born.clone());
    thread::spawn(move || {
        let (mut sequence, mut last) = (0, 0);
        loop {
            let born = beat_born.load(Ordering::SeqCst);
            if born > 0 {
                sequence = if born == last { sequence + 1 } else { 1 };
                last = born;
                let entry = format!(
                    "{{\"service\":\"huvo11a\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
                     \"slots\":{SLOTS},\"state\":\"ready\",\"coldRemainingS\":0,\"sequence\":{sequence},\"born\":{born}}}"
                );
                beat_store.put(&format!("servers/{beat_id}"), &entry);
            }
            thread::sleep(BEAT);
        }
    });
    let (seen, record) = (seen.clone(), record.clone());
    thread::spawn(move || {
        let mut next = Some(first);
        loop {
            let listener = next.take().unwrap_or_else(|| {
                loop {
                    match TcpListener::bind(address) {
                        Ok(listener) => break listener,
                        Err(_) => thread::sleep(Duration::from_millis(20)),
                    }
                }
            });
            born.store(unix_millis() as u64, Ordering::SeqCst);
            run_process(&listener, &id, &seen, &record);
            born.store(0, Ordering::SeqCst);
            drop(listener);
            thread::sleep(DOWN);
        }
    });
}

/// Serves connections until the deadly request comes.
fn run_process(listener: &TcpListener, id: &str, seen: &Arc<Seen>, record: &Arc<Record>) {
    let has_ended = Arc::new(AtomicBool::new(false));
    let running = Arc::new(AtomicU64::new(0));
    let streams: Mutex<Vec<TcpStream>> = Mutex::default();
    listener.set_nonblocking(true).expect("a listener that doesn't block");
    while !has_ended.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(Duration::from_millis(1));
            continue;
        };
        stream.set_nonblocking(false).expect("a stream that blocks");
        streams.lock().unwrap().push(stream.try_clone().expect("a handle"));
        let (id, seen, record) = (id.to_owned(), seen.clone(), record.clone());
        let (has_ended, running) = (has_ended.clone(), running.clone());
        thread::spawn(move || {
            let mut conn = Conn::new(stream);
            while let Ok(Some(req)) = conn.read_message() {
                if has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let load = format!("{},0,{SLOTS},100", running.load(Ordering::SeqCst));
                let attempt = req.field("x-attempt-id").unwrap_or("").to_owned();
                let own = [("X-Instance-Id", id.as_str()), ("X-Instance-Load", &load)];
                let served = if req.target() == platform::HEALTH_PATH {
                    platform::respond(&mut conn.stream, "200 OK", &own, b"")
                } else if req.field("x-expect-instance").is_some_and(|name| name != id) {
                    platform::respond(&mut conn.stream, "421 Misdirected Request", &own, b"")
                } else {
                    running.fetch_add(1, Ordering::SeqCst);
                    if req.target() == DEADLY_PATH {
                        seen.deadly.lock().unwrap().push((attempt.clone(), Instant::now()));
                        thread::sleep(Duration::from_millis(10));
                        if !has_ended.swap(true, Ordering::SeqCst) {
                            seen.ended.lock().unwrap().push(Instant::now());
                            record.add(format!("{id} runs {attempt} and ends"));
                        }
                        return;
                    }
                    thread::sleep(WORK);
                    running.fetch_sub(1, Ordering::SeqCst);
                    if has_ended.load(Ordering::SeqCst) {
                        return;
                    }
                    let signature = ("X-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1");
                    let fields = [("X-Attempt-Id", attempt.as_str()), signature, ("X-Instance-Load", &load)];
                    platform::respond(&mut conn.stream, "200 OK", &fields, b"done")
                };
                if served.is_err() {
                    return;
                }
            }
        });
    }
    streams.lock().unwrap().drain(..).for_each(|s| drop(s.shutdown(Shutdown::Both)));
}

/// Sends a request as one consumer attempt on a connection of its own, and returns the status.
pub fn send(address: SocketAddr, path: &str, id: &str, body: &str) -> u16 {
    let sent = platform::consumer(address, Duration::from_secs(4)).and_then(|mut conn| {
        let text = format!(
            "POST {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1500\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        conn.stream.write_all(text.as_bytes())?;
        conn.read_response("POST")
    });
    sent.map_or(0, |res| res.status())
}
