//! A request ends each target that runs it. When a copy of it is due on trial, one of four machines is
//! cut off from the others, in silence; the store, the targets and the consumers reach all of them.
//!
//! Exits with 1 if, later than `contactS` after the request has ended its third target, more than three
//! copies reach targets.

#[path = "cut.rs"]
mod cut;
#[path = "deadly.rs"]
mod deadly;
#[path = "platform.rs"]
mod platform;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use deadly::{
    CONFIG, CONTACT, COPY_GAP, DEADLY_BODY, DEADLY_PATH, RETRIES_MAX, Seen, TARGETS, send, start_target,
};
use platform::{Record, Store};

/// How long one of four machines is cut off.
const CUT: Duration = Duration::from_millis(5_500);
/// How long before a trial is due the cut begins: others are taken for dead by then.
const CUT_BEFORE: Duration = Duration::from_millis(3_200);
/// The times at which a daemon sends a copy on trial, after the last target has ended.
const TRIALS_AFTER: [Duration; 2] = [Duration::from_secs(10), Duration::from_secs(60)];
/// The other consumers, and the pause of each between two requests.
const CONSUMERS: usize = 8;
const PAUSE: Duration = Duration::from_millis(60);

fn main() {
    let has_trouble = platform::has_trouble();
    let record = Record::new();
    let folder = platform::temporary_folder("case12");
    let store = Store::start();
    store.put("op/config", CONFIG);
    let seen = Arc::new(Seen::default());
    for i in 0..TARGETS {
        start_target(&store, format!("i-{i:02}"), &seen, &record);
    }
    let is_cut = Arc::new(AtomicBool::new(false));
    let mut fleet = cut::start_hosts(&folder, &store, &is_cut);
    if !fleet.iter().all(|d| d.wait_ready(Duration::from_secs(10))) {
        println!("the hosts didn't become ready");
        exit(2);
    }
    thread::sleep(Duration::from_secs(4));

    let stop = Arc::new(AtomicBool::new(false));
    let statuses: Arc<Mutex<BTreeMap<u16, u64>>> = Arc::default();
    let addresses: Vec<SocketAddr> = fleet.iter().map(|d| d.caller).collect();
    let mut senders = Vec::new();
    for c in 0..CONSUMERS {
        let (address, stop, statuses) = (addresses[c % addresses.len()], stop.clone(), statuses.clone());
        senders.push(thread::spawn(move || {
            for n in 0_u64.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("c{c}n{n}");
                let status = send(address, &format!("/pufi791/{id}"), &id, "slot");
                *statuses.lock().unwrap().entry(status).or_default() += 1;
                thread::sleep(PAUSE);
            }
        }));
    }
    thread::sleep(Duration::from_secs(1));
    let (copy_stop, copy_record) = (stop.clone(), record.clone());
    let copies = thread::spawn(move || {
        for n in 0_usize.. {
            if copy_stop.load(Ordering::SeqCst) {
                return;
            }
            let host = n % addresses.len();
            let (address, record) = (addresses[host], copy_record.clone());
            thread::spawn(move || {
                let id = format!("deadly-{n}-at-{}", host + 1);
                let status = send(address, DEADLY_PATH, &id, DEADLY_BODY);
                if status != 503 {
                    record.add(format!("{id}: {status}"));
                }
            });
            thread::sleep(COPY_GAP);
        }
    });
    let begun = Instant::now();
    while seen.ended.lock().unwrap().len() < 3 {
        if begun.elapsed() > Duration::from_secs(10) {
            println!("the request doesn't end targets");
            exit(2);
        }
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(Duration::from_secs(2));
    for after in TRIALS_AFTER {
        let last = seen.ended.lock().unwrap().last().copied().expect("targets have ended");
        thread::sleep((last + after - CUT_BEFORE).saturating_duration_since(Instant::now()));
        if has_trouble {
            record.add("edge-a-1 is cut off from the other machines");
            is_cut.store(true, Ordering::SeqCst);
        }
        thread::sleep(CUT);
        if has_trouble {
            is_cut.store(false, Ordering::SeqCst);
            record.add("the cut has ended");
        }
    }
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    copies.join().expect("the sender ends");
    senders.into_iter().for_each(|s| s.join().expect("a consumer ends"));
    for daemon in &mut fleet {
        if !daemon.runs() {
            println!("a daemon has ended by itself");
            exit(2);
        }
    }

    let (deadly, ended) = (seen.deadly.lock().unwrap(), seen.ended.lock().unwrap());
    let retries = deadly.iter().filter(|(_, at)| *at > ended[2] + CONTACT).count();
    record.add(format!("other consumers' requests by status (0: none): {:?}", statuses.lock().unwrap()));
    record.add(format!(
        "{} targets have ended; copies that reached targets later than 3 s after the third end: {retries}; \
         {RETRIES_MAX} are allowed",
        ended.len()
    ));
    let is_broken = retries > RETRIES_MAX;
    record.add(if is_broken { "the rule is broken" } else { "the rule held" });
    record.write(Path::new("review/12/record.txt"));
    drop(fleet);
    let _ = std::fs::remove_dir_all(&folder);
    exit(i32::from(is_broken));
}
