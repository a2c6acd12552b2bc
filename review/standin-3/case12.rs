//! Targets spoil some of their answers: the `Content-Length` of these names the right length twice.
//!
//! Exits with 1 if more than 5 + one in 500 of all requests, which are proper, are ended with a 4xx of the hosts'
//! own.

#[path = "platform.rs"]
mod platform;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use platform::{Conn, Daemon, Handler, Message, Record, Store, Target};

const CONFIG: &str = r#"{"version":7,
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},
 "listeners":[{"host":"ficu95.example","rules":[
  {"name":"r-booking","kind":"non_idempotent","latencyGoalS":0.3,"priority":1,"match":{"pathPrefix":"/pufi791/"},
   "action":{"service":"huvo11a","timeoutS":1.5,"maxAttempts":2}},
  {"name":"r-read","kind":"idempotent","latencyGoalS":0.25,"priority":2,"match":{"pathPrefix":"/lohu930/"},
   "action":{"service":"huvo11a","timeoutS":1.2,"maxAttempts":2}}]}],
 "clusters":[{"name":"huvo11a","healthPath":"/health","maxConnections":220,"protocol":"h1","tls":false}]}"#;

const HOSTS: u8 = 3;
/// `crew-dispatch` of scogliera-sic: its targets and their slots, its requests, their work and rates a second.
const TARGETS: usize = 13;
const SLOTS: u32 = 6;
const READ_WORK: Duration = Duration::from_millis(90);
const BOOKING_WORK: Duration = Duration::from_millis(120);
const READERS: usize = 36;
const READ_GAP: Duration = Duration::from_millis(277);
const BOOKERS: usize = 12;
const BOOKING_GAP: Duration = Duration::from_millis(261);

/// The targets that spoil answers: a share of 0.46. Each has to give so many answers meanwhile for each that
/// it spoils, a part of 0.02. Both are within those of `garble`, as is the time.
const SPOILING_TARGETS: usize = 6;
const ANSWERS_PER_SPOILED: u64 = 50;
const SPOILING: Duration = Duration::from_millis(5_500);
const CALM: Duration = Duration::from_millis(3_000);
const ROUNDS: usize = 3;

/// The answers of each target while it spoils some, and how many it has spoiled.
type Spoiled = Mutex<Vec<(u64, u64)>>;

#[derive(Default)]
struct Seen {
    /// The answers by status, and whether they bear a target's signature.
    answers: BTreeMap<(u16, bool), u64>,
    sent: u64,
    /// The bookings that were ended with a 4xx of the host's own.
    denied_bookings: BTreeSet<String>,
}

fn request(conn: &mut Conn, is_booking: bool, id: &str) -> io::Result<Message> {
    let text = match is_booking {
        true => format!(
            "POST /pufi791/{id} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: 1500\r\nContent-Length: 5\r\n\r\nberth"
        ),
        false => format!(
            "GET /lohu930/{id} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: 1200\r\n\r\n"
        ),
    };
    conn.stream.write_all(text.as_bytes())?;
    conn.read_response(if is_booking { "POST" } else { "GET" })
}

/// Sends requests on kept connections until `stop`.
fn consume(
    address: SocketAddr,
    name: &str,
    is_booking: bool,
    stop: &AtomicBool,
    seen: &Mutex<Seen>,
    record: &Record,
) {
    let gap = if is_booking { BOOKING_GAP } else { READ_GAP };
    let (mut kept, mut due) = (None, Instant::now());
    for n in 0_u64.. {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if stop.load(Ordering::Relaxed) {
            return;
        }
        due += gap;
        let conn = kept.take().or_else(|| platform::consumer(address, Duration::from_secs(3)).ok());
        let Some(mut conn) = conn else { continue };
        let id = format!("{name}-{n}");
        seen.lock().unwrap().sent += 1;
        let result = request(&mut conn, is_booking, &id);
        let (status, is_signed, ends) = match &result {
            Ok(res) => {
                let ends = res.field("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
                (res.status(), res.field("x-response-signature").is_some(), ends)
            }
            Err(_) => (0, false, true),
        };
        let mut seen = seen.lock().unwrap();
        *seen.answers.entry((status, is_signed)).or_default() += 1;
        if !(200..300).contains(&status) {
            record.add(format!("{id}: {}, signed: {is_signed}", platform::outcome(&result)));
        }
        if is_denied(status, is_signed) && is_booking {
            seen.denied_bookings.insert(id);
        }
        if !ends {
            kept = Some(conn);
        }
    }
}

/// Returns whether an answer is a 3xx or 4xx of the host's own that counts for the rule.
fn is_denied(status: u16, is_signed: bool) -> bool {
    (300..500).contains(&status) && !is_signed && ![408, 421, 429].contains(&status)
}

fn main() {
    let has_trouble = platform::has_trouble();
    let record = Record::new();
    let folder = platform::temporary_folder("case12");
    let store = Store::start();
    store.put("op/config", CONFIG);
    let spoiling = Arc::new(AtomicBool::new(false));
    let spoiled: Arc<Spoiled> = Arc::new(Mutex::new(vec![(0, 0); TARGETS]));
    let ran: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let _targets: Vec<Target> = (0..TARGETS)
        .map(|i| {
            let (spoiling, spoiled, ran) = (spoiling.clone(), spoiled.clone(), ran.clone());
            let record = record.clone();
            let handler: Arc<Handler> = Arc::new(move |info, req, out| {
                let id = req.field("x-attempt-id").unwrap_or("").to_owned();
                let is_booking = req.method() == "POST";
                if is_booking {
                    ran.lock().unwrap().insert(id.clone());
                }
                thread::sleep(if is_booking { BOOKING_WORK } else { READ_WORK });
                let spoils = {
                    let (answers, bad) = &mut spoiled.lock().unwrap()[i];
                    let counts = spoiling.load(Ordering::Relaxed) && i < SPOILING_TARGETS;
                    *answers += u64::from(counts);
                    let spoils = counts && (*bad + 1) * ANSWERS_PER_SPOILED <= *answers;
                    *bad += u64::from(spoils);
                    spoils
                };
                if !spoils {
                    return platform::answer(info, req, out, b"done");
                }
                record.add(format!("{} ran {id} and spoils its answer", info.id));
                let text = format!(
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n\
                     X-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Instance-Load: {}\r\n\
                     Content-Length: 4, 4\r\n\r\ndone",
                    info.load()
                );
                out.write_all(text.as_bytes()).map(|()| true)
            });
            Target::start(&store, &format!("i-{i:02}"), "huvo11a", "zone-a", SLOTS, handler)
        })
        .collect();
    let mut fleet = Daemon::start_fleet(&folder, &store, HOSTS, "");
    if !fleet.iter().all(|d| d.wait_ready(Duration::from_secs(10))) {
        println!("the hosts didn't become ready");
        exit(2);
    }
    thread::sleep(Duration::from_secs(4));

    let (stop, seen) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Seen::default())));
    let mut consumers = Vec::new();
    for c in 0..READERS + BOOKERS {
        let address = fleet[c % fleet.len()].caller;
        let (stop, seen, record) = (stop.clone(), seen.clone(), record.clone());
        let is_booking = c < BOOKERS;
        let name = format!("{}-{c}", if is_booking { "booking" } else { "read" });
        consumers.push(thread::spawn(move || consume(address, &name, is_booking, &stop, &seen, &record)));
        thread::sleep(Duration::from_millis(5));
    }
    for _ in 0..ROUNDS {
        thread::sleep(CALM);
        spoiling.store(has_trouble, Ordering::Relaxed);
        thread::sleep(SPOILING);
        spoiling.store(false, Ordering::Relaxed);
    }
    thread::sleep(CALM);
    stop.store(true, Ordering::Relaxed);
    consumers.into_iter().for_each(|c| c.join().expect("a consumer ends"));
    for daemon in &mut fleet {
        if !daemon.runs() {
            println!("a daemon has ended by itself");
            exit(2);
        }
    }

    let (seen, ran) = (seen.lock().unwrap(), ran.lock().unwrap());
    let by_target: Vec<String> =
        spoiled.lock().unwrap().iter().map(|(all, bad)| format!("{bad}/{all}")).collect();
    record.add(format!("spoiled and all answers by target, while some were spoiled: {}", by_target.join(" ")));
    record.add(format!("answers by status and whether they are signed (0: none): {:?}", seen.answers));
    let denied: u64 = seen.answers.iter().filter(|((s, signed), _)| is_denied(*s, *signed)).map(|(_, n)| n).sum();
    let ran_denied = seen.denied_bookings.intersection(&ran).count();
    let allowed = 5 + seen.sent / 500;
    record.add(format!(
        "{} requests, {denied} ended with a 4xx of the hosts' own, {allowed} are allowed; {ran_denied} of them \
         are bookings that ran",
        seen.sent
    ));
    let is_broken = denied > allowed;
    record.add(if is_broken { "the rule is broken" } else { "the rule held" });
    record.write(Path::new("review/12/record.txt"));
    drop(fleet);
    let _ = std::fs::remove_dir_all(&folder);
    exit(i32::from(is_broken));
}
