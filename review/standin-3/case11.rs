//! A target's answer is spoiled: after a sound head, bytes that are no answer come without end until
//! the host closes the connection. The platform kills a process that exceeds its memory.
//!
//! Exits with 1 if processes on two hosts ended by themselves three times each.

#[path = "platform.rs"]
mod platform;

use std::io::{self, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use platform::{Daemon, Handler, Message, Record, Store, Target, TargetInfo};

const CONFIG: &str = r#"{"version":7,
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},
 "listeners":[{"host":"ficu95.example","rules":[
  {"name":"r-archive","kind":"idempotent","latencyGoalS":1,"priority":2,"match":{"pathPrefix":"/pufi791/"},
   "action":{"service":"huvo11a","timeoutS":4,"maxAttempts":1}}]}],
 "clusters":[{"name":"huvo11a","healthPath":"/health","maxConnections":220,"protocol":"h1","tls":false}]}"#;

/// The memory of a machine of scogliera-sic.
const MEMORY_KB: u64 = 260 * 1024;
const TARGETS: usize = 11;
/// The targets that spoil answers, less than half of them, and how many of its answers each has to give for
/// one that it spoils: a part of 0.02. Both are those of `garble`.
const SPOILING_TARGETS: usize = 5;
const ANSWERS_PER_SPOILED: u64 = 50;
/// Ordinary consumers of one host.
const CONSUMERS: usize = 6;
/// Requests that are sent until one gets a spoiled answer.
const TRIES_MAX: usize = 60;
const SLOTS: u32 = 6;
const HOSTS: usize = 3;
const ROUNDS: usize = 3;
/// The time budget of `inspection-archive` on scogliera-sic.
const BUDGET_MS: u64 = 4_000;
/// The link of a target's machine: 1,000 Mbit/s.
const LINK_BYTES_PER_S: f64 = 125e6;

/// A chunk of one byte whose size is written with many zeros.
fn piece() -> Vec<u8> {
    let mut piece = vec![b'0'; 8_000];
    piece.extend_from_slice(b"1\r\nx\r\n");
    piece
}

/// Writes a sound head, and then bytes without end until the host closes the connection.
fn spoil(info: &TargetInfo, req: &Message, out: &mut TcpStream, record: &Record) -> io::Result<bool> {
    let id = req.field("x-attempt-id").unwrap_or("").to_owned();
    record.add(format!("{} runs {id} and spoils its answer", info.id));
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
         X-Instance-Load: {}\r\nTransfer-Encoding: chunked\r\n\r\n",
        info.load()
    );
    out.write_all(head.as_bytes())?;
    let (piece, start, mut sent) = (piece(), Instant::now(), 0.0);
    loop {
        if let Err(e) = out.write_all(&piece) {
            let megabytes = sent / 1e6;
            record.add(format!("{}: the host closed {id} after {megabytes:.0} MB ({e})", info.id));
            return Ok(false);
        }
        sent += piece.len() as f64;
        let due = Duration::from_secs_f64(sent / LINK_BYTES_PER_S);
        if let Some(wait) = due.checked_sub(start.elapsed()) {
            thread::sleep(wait);
        }
    }
}

fn request(id: &str, path: &str) -> String {
    format!(
        "GET /pufi791/{path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: {BUDGET_MS}\r\n\r\n"
    )
}

/// The counts of the ordinary consumers.
#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    cut: AtomicU64,
}

fn main() {
    let has_trouble = platform::has_trouble();
    let record = Record::new();
    let folder = platform::temporary_folder("case11");
    let store = Store::start();
    store.put("op/config", CONFIG);
    let target_record = record.clone();
    let spoiled_by = Arc::new(Mutex::new(vec![(0_u64, 0_u64); TARGETS]));
    let spoiled = Arc::new(AtomicU64::new(0));
    let _targets: Vec<Target> = (0..TARGETS)
        .map(|i| {
            let (record, counts, spoiled) = (target_record.clone(), spoiled_by.clone(), spoiled.clone());
            let handler: Arc<Handler> = Arc::new(move |info, req, out| {
                let may_spoil = {
                    let (answers, bad) = &mut counts.lock().unwrap()[i];
                    *answers += 1;
                    let is_asked = req.target().contains("/spoiled-");
                    let may_spoil = has_trouble
                        && is_asked
                        && i < SPOILING_TARGETS
                        && (*bad + 1) * ANSWERS_PER_SPOILED <= *answers;
                    *bad += u64::from(may_spoil);
                    may_spoil
                };
                if may_spoil {
                    spoiled.fetch_add(1, Ordering::Relaxed);
                    return spoil(info, req, out, &record);
                }
                thread::sleep(Duration::from_millis(60));
                platform::answer(info, req, out, b"the archive's entry")
            });
            Target::start(&store, &format!("i-{i:02}"), "huvo11a", "zone-a", SLOTS, handler)
        })
        .collect();
    let fleet = Daemon::start_fleet(&folder, &store, HOSTS as u8, "");
    if !fleet.iter().all(|d| d.wait_ready(Duration::from_secs(10))) {
        println!("the hosts didn't become ready");
        exit(2);
    }
    thread::sleep(Duration::from_secs(1));

    let counts: Arc<Vec<Counts>> = Arc::new((0..HOSTS).map(|_| Counts::default()).collect());
    let stop = Arc::new(AtomicBool::new(false));
    let mut consumers = Vec::new();
    for (i, daemon) in fleet.iter().enumerate() {
        for c in 0..CONSUMERS {
            let (address, counts, stop) = (daemon.caller, counts.clone(), stop.clone());
            consumers.push(thread::spawn(move || {
                let (counts, mut n) = (&counts[i], 0);
                let mut kept = None;
                while !stop.load(Ordering::Relaxed) {
                    n += 1;
                    let started = Instant::now();
                    let conn = kept.take();
                    let conn = conn.or_else(|| platform::consumer(address, Duration::from_secs(5)).ok());
                    if let Some(mut conn) = conn {
                        counts.sent.fetch_add(1, Ordering::Relaxed);
                        let text = request(&format!("plain-{i}-{c}-{n}"), &format!("plain-{n}"));
                        let sent = conn.stream.write_all(text.as_bytes());
                        match sent.and_then(|()| conn.read_response("GET")) {
                            Ok(res) if res.status() == 200 => {
                                counts.served.fetch_add(1, Ordering::Relaxed);
                                kept = Some(conn);
                            }
                            Ok(_) => drop(counts.refused.fetch_add(1, Ordering::Relaxed)),
                            Err(_) => drop(counts.cut.fetch_add(1, Ordering::Relaxed)),
                        }
                    }
                    thread::sleep(Duration::from_millis(100).saturating_sub(started.elapsed()));
                }
            }));
        }
    }

    // Until a target has given enough answers for one that it spoils.
    thread::sleep(Duration::from_secs(6));
    let ends = Arc::new(Mutex::new(vec![0; HOSTS]));
    let mut fleet = fleet;
    for round in 0..ROUNDS {
        for i in 0..2 {
            let daemon = &mut fleet[i];
            for attempt in 0..TRIES_MAX {
                let id = format!("spoiled-{i}-{round}-{attempt}");
                let (before, used) = (spoiled.load(Ordering::Relaxed), daemon.memory_kb("VmRSS") / 1024);
                let (address, text) = (daemon.caller, request(&id, &id));
                let consumer = thread::spawn(move || {
                    let mut conn = platform::consumer(address, Duration::from_secs(6))?;
                    conn.stream.write_all(text.as_bytes())?;
                    conn.read_response("GET")
                });
                let mut highest = 0;
                while !consumer.is_finished() {
                    let used = daemon.memory_kb("VmRSS");
                    highest = highest.max(used);
                    if used > MEMORY_KB {
                        record.add(format!("{} uses {} MB and is killed", daemon.name, used / 1024));
                        daemon.kill();
                        ends.lock().unwrap()[i] += 1;
                        break;
                    }
                    thread::sleep(Duration::from_millis(5));
                }
                let result = consumer.join().expect("a consumer ends");
                let (got, highest) = (platform::outcome(&result), highest / 1024);
                record.add(format!("{id} to {}, which used {used} MB: {got}; highest {highest} MB", daemon.name));
                if spoiled.load(Ordering::Relaxed) > before || !has_trouble {
                    break;
                }
                thread::sleep(Duration::from_millis(100));
            }
            if !daemon.runs() {
                thread::sleep(Duration::from_millis(500));
                daemon.restart();
                if !daemon.wait_ready(Duration::from_secs(10)) {
                    println!("a host didn't become ready again");
                    exit(2);
                }
                record.add(format!("{} is ready again", daemon.name));
            }
            thread::sleep(Duration::from_millis(1_500));
        }
    }
    stop.store(true, Ordering::Relaxed);
    consumers.into_iter().for_each(|c| c.join().expect("a consumer ends"));
    let total = |of: fn(&Counts) -> &AtomicU64| -> u64 {
        counts.iter().map(|c| of(c).load(Ordering::Relaxed)).sum()
    };
    record.add(format!(
        "ordinary requests: {} sent, {} served, {} refused or failed, {} cut off; spoiled and all answers by target: {}",
        total(|c| &c.sent),
        total(|c| &c.served),
        total(|c| &c.refused),
        total(|c| &c.cut),
        spoiled_by.lock().unwrap().iter().map(|(all, bad)| format!("{bad}/{all}")).collect::<Vec<_>>().join(" ")
    ));
    let ends = ends.lock().unwrap();
    record.add(format!("processes that ended for their memory, by host: {ends:?}"));
    let is_broken = ends.iter().filter(|n| **n >= 3).count() >= 2;
    record.add(if is_broken { "the rule is broken" } else { "the rule held" });
    record.write(Path::new("review/11/record.txt"));
    drop(fleet);
    let _ = std::fs::remove_dir_all(&folder);
    exit(i32::from(is_broken));
}
