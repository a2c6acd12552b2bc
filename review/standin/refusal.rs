//! Case REFUSED: a target sends the refusal of a health check a second time, where the answer to a
//! consumer's request is due.

mod common;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{Conn, Daemon, Folder, HostSettings, Record, Store};

const HOSTS: usize = 3;
const TARGETS: usize = 4;
const SLOTS: u32 = 6;
const CLIENTS: usize = 12;
/// The pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(60);
/// What a target works on a request.
const WORK: Duration = Duration::from_millis(20);
/// Other callers keep a target full for this long in each period.
const FULL: Duration = Duration::from_millis(60);
const PERIOD: Duration = Duration::from_millis(200);
/// The dose of `garble` with `extra late` in the site file: `share`, `x` and `for_s`.
const GARBLED_SHARE: f64 = 0.6;
const GARBLED_ANSWERS: f64 = 0.03;
const GARBLED_TIME: Duration = Duration::from_secs(5);
/// The disruption comes more than once, with calm between.
const TIMES: usize = 6;
const CALM: Duration = Duration::from_secs(3);

/// What consumers and targets have seen of one request.
#[derive(Clone, Debug, Default)]
struct Seen {
    runs: Vec<String>,
    status: u16,
}

struct World {
    record: Arc<Record>,
    start: Instant,
    garbles: AtomicBool,
    requests: Mutex<BTreeMap<String, Seen>>,
    second_copies: AtomicU64,
}

struct Target {
    name: String,
    /// When in each period other callers begin to fill it.
    phase: Duration,
    may_garble: bool,
    answers: AtomicU64,
    copies: AtomicU64,
    world: Arc<World>,
}

impl Target {
    fn is_full(&self) -> bool {
        let at = self.world.start.elapsed().as_micros() + (PERIOD - self.phase).as_micros();
        at % PERIOD.as_micros() < FULL.as_micros()
    }

    /// Returns whether one more second copy is within the dose.
    fn may_repeat(&self) -> bool {
        let allowed = self.answers.load(Ordering::SeqCst) as f64 * GARBLED_ANSWERS;
        let is_on = self.may_garble && self.world.garbles.load(Ordering::SeqCst);
        is_on && (self.copies.load(Ordering::SeqCst) + 1) as f64 <= allowed
    }

    fn serve(&self, mut conn: Conn) {
        // The refusal of a health check, if that was the last answer on the connection.
        let mut last_refusal: Option<Vec<u8>> = None;
        while let Ok(head) = conn.head() {
            let Ok(_) = conn.body(&head) else { return };
            if self.world.garbles.load(Ordering::SeqCst) {
                self.answers.fetch_add(1, Ordering::SeqCst);
            }
            let id = head.get("x-attempt-id").map(str::to_owned);
            let echo = id.as_ref().map_or(String::new(), |id| format!("X-Attempt-Id: {id}\r\n"));
            let is_check = head.word(1) == "/health";
            if !is_check && head.get("x-expect-instance").is_some_and(|v| v != self.name) {
                let fields = format!("{echo}X-Instance-Id: {}\r\n", self.name);
                if conn.send(&common::response("421 Misdirected Request", &fields, "")).is_err() {
                    return;
                }
                last_refusal = None;
                continue;
            }
            if self.is_full() {
                let fields = format!("{echo}X-Not-Executed: 1\r\nKeep-Alive: timeout=10\r\n");
                let refusal = common::response("429 Too Many Requests", &fields, "");
                if conn.send(&refusal).is_err() {
                    return;
                }
                last_refusal = is_check.then_some(refusal);
                continue;
            }
            let id = match id {
                Some(id) if !is_check => id,
                _ => {
                    let fields =
                        format!("X-Instance-Id: {}\r\nKeep-Alive: timeout=10\r\n", self.name);
                    if conn.send(&common::response("200 OK", &fields, "ok")).is_err() {
                        return;
                    }
                    last_refusal = None;
                    continue;
                }
            };
            self.world.record.line(&format!("{} runs {id}", self.name));
            let mut requests = self.world.requests.lock().unwrap();
            requests.entry(id.clone()).or_default().runs.push(self.name.clone());
            drop(requests);
            if let Some(refusal) = last_refusal.take().filter(|_| self.may_repeat()) {
                self.copies.fetch_add(1, Ordering::SeqCst);
                self.world.second_copies.fetch_add(1, Ordering::SeqCst);
                let text = format!(
                    "{} sends its last refusal of a health check again while {id} runs",
                    self.name
                );
                self.world.record.line(&text);
                if conn.send(&refusal).is_err() {
                    return;
                }
            }
            thread::sleep(WORK);
            let fields =
                format!("{echo}X-Response-Signature: s.{id}\r\nKeep-Alive: timeout=10\r\n");
            if conn.send(&common::response("200 OK", &fields, "done")).is_err() {
                return;
            }
        }
    }
}

/// Sends requests to a machine until told to stop, each as one consumer attempt of its own.
fn send_requests(host: &HostSettings, world: &World, next: &AtomicU64, stop: &AtomicBool) {
    let mut kept: Option<Conn> = None;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(PAUSE);
        let connect = || Conn::connect(&host.caller, Duration::from_secs(4)).ok();
        let Some(mut conn) = kept.take().or_else(connect) else { continue };
        let id = format!("{:016x}", next.fetch_add(1, Ordering::SeqCst));
        let text = format!(
            "POST /pufi791/{id} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1500\r\nContent-Length: 4\r\n\r\nslot"
        );
        let answered = conn.send(text.as_bytes()).and_then(|()| {
            let head = conn.head()?;
            conn.body(&head)?;
            Ok(head)
        });
        let status = answered.as_ref().map_or(0, |h| h.status());
        world.record.line(&format!("client sent {id} to {}: {status}", host.name));
        world.requests.lock().unwrap().entry(id).or_default().status = status;
        if answered.is_ok_and(|h| h.get("connection") != Some("close")) {
            kept = Some(conn);
        }
    }
}

fn config() -> &'static str {
    r#"{"version":7,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},
"listeners":[{"host":"ficu95.example","rules":[{"name":"r-i9n73hh","kind":"non_idempotent","latencyGoalS":0.3,"priority":1,"match":{"pathPrefix":"/pufi791/"},"action":{"service":"huvo11a","timeoutS":0.8,"maxAttempts":2}}]}],
"clusters":[{"name":"huvo11a","healthPath":"/health","maxConnections":220,"protocol":"h1","tls":false}]}"#
}

fn main() {
    let record = Record::create();
    let folder = Folder::given();
    let store = Arc::new(Store::default());
    store.put("op/config", config());
    let world = Arc::new(World {
        record: record.clone(),
        start: Instant::now(),
        garbles: AtomicBool::new(false),
        requests: Mutex::default(),
        second_copies: AtomicU64::new(0),
    });
    let garbled = (TARGETS as f64 * GARBLED_SHARE) as usize;
    let targets: Vec<(String, String)> = (0..TARGETS)
        .map(|i| {
            let name = format!("i-{i:08x}");
            let target = Target {
                name: name.clone(),
                phase: PERIOD * i as u32 / TARGETS as u32,
                may_garble: i < garbled,
                answers: AtomicU64::new(0),
                copies: AtomicU64::new(0),
                world: world.clone(),
            };
            let listener = common::listen();
            let address = listener.local_addr().unwrap().to_string();
            common::serve(listener, move |stream| target.serve(Conn::new(stream)));
            (name, address)
        })
        .collect();
    common::keep_registered(&store, "huvo11a", "palermo", SLOTS, targets);

    let store_address = store.serve(Arc::new(|_, value| value.to_vec()));
    let mut hosts: Vec<HostSettings> = (1..=HOSTS)
        .map(|i| HostSettings::new(&format!("edge-palermo-{i}"), "palermo", &store_address))
        .collect();
    let seeds: Vec<String> = hosts.iter().map(|h| h.peer.clone()).collect();
    hosts.iter_mut().for_each(|h| h.seeds = seeds.clone());
    let daemons: Vec<Daemon> = hosts.iter().map(|h| Daemon::start(&folder, h.clone())).collect();
    daemons.iter().for_each(Daemon::wait_until_ready);
    thread::sleep(Duration::from_secs(4));

    let (next, stop) = (Arc::new(AtomicU64::new(1)), Arc::new(AtomicBool::new(false)));
    let mut clients = Vec::new();
    for i in 0..CLIENTS {
        let host = hosts[i % HOSTS].clone();
        let (world, next, stop) = (world.clone(), next.clone(), stop.clone());
        clients.push(thread::spawn(move || send_requests(&host, &world, &next, &stop)));
    }
    for _ in 0..TIMES {
        thread::sleep(CALM);
        world.garbles.store(common::has_trouble(), Ordering::SeqCst);
        thread::sleep(GARBLED_TIME);
        world.garbles.store(false, Ordering::SeqCst);
    }
    thread::sleep(CALM);
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| c.join().unwrap());
    if daemons.iter().any(Daemon::has_ended) {
        common::cannot_run("a daemon has ended by itself");
    }

    let requests = world.requests.lock().unwrap();
    let served = requests.values().filter(|s| s.status == 200).count();
    let refused: Vec<&String> = requests
        .iter()
        .filter(|(_, s)| matches!(s.status, 408 | 421 | 429 | 503) && !s.runs.is_empty())
        .map(|(id, _)| id)
        .collect();
    let twice: Vec<&String> =
        requests.iter().filter(|(_, s)| s.runs.len() > 1).map(|(id, _)| id).collect();
    for id in refused.iter().chain(&twice) {
        let Seen { runs, status } = &requests[*id];
        record.line(&format!("broken: {id} was answered {status}; run by {runs:?}"));
    }
    let verdict = format!(
        "{} requests, {served} served, {} refusals of health checks sent again; refused though run: {}, run twice: {}",
        requests.len(),
        world.second_copies.load(Ordering::SeqCst),
        refused.len(),
        twice.len()
    );
    record.line(&verdict);
    println!("{verdict}");
    if served == 0 {
        common::cannot_run("nothing was served");
    }
    common::finish(i32::from(!refused.is_empty() || !twice.is_empty()));
}
