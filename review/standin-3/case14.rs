//! A request that ends each target that runs it is blocked. One of four machines is cut off from the
//! others for some seconds, in silence. Later all processes are killed and start again.
//!
//! Exits with 1 if, later than `contactS` after the request has ended its third target, more than three
//! copies reach targets, sent by machines in touch.

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
use platform::{Daemon, Record, Store};

/// How long the request has been coming when the machine is cut off, and for how long it is (`node_cut`).
const CUT_AFTER: Duration = Duration::from_millis(3_500);
const CUT: Duration = Duration::from_millis(5_500);
/// The time from the end of the cut to the end of all processes. All are in touch long before.
const CALM: Duration = Duration::from_secs(12);
/// The time after which processes that have ended start again.
const DOWN: Duration = Duration::from_millis(700);
/// The time for which the request comes after all machines are in touch again.
const AFTERWARDS: Duration = Duration::from_secs(14);
/// The other consumers, and the pause of each between two requests.
const CONSUMERS: usize = 8;
const PAUSE: Duration = Duration::from_millis(60);

fn main() {
    let has_trouble = platform::has_trouble();
    let record = Record::new();
    let folder = platform::temporary_folder("case14");
    let store = Store::start();
    store.put("op/config", CONFIG);
    let seen = Arc::new(Seen::default());
    for i in 0..TARGETS {
        start_target(&store, format!("i-{i:02}"), &seen, &record);
    }
    let is_cut = Arc::new(AtomicBool::new(false));
    let mut fleet = cut::start_hosts(&folder, &store, &is_cut);
    let are_ready = |fleet: &[Daemon]| fleet.iter().all(|d| d.wait_ready(Duration::from_secs(10)));
    if !are_ready(&fleet) {
        println!("the hosts didn't become ready");
        exit(2);
    }
    thread::sleep(Duration::from_secs(4));

    let (stop, comes) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(true)));
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
    let (copy_stop, copy_comes, copy_record) = (stop.clone(), comes.clone(), record.clone());
    let copies = thread::spawn(move || {
        for n in 0_usize.. {
            if copy_stop.load(Ordering::SeqCst) {
                return;
            }
            if copy_comes.load(Ordering::SeqCst) {
                let host = n % addresses.len();
                let (address, record) = (addresses[host], copy_record.clone());
                thread::spawn(move || {
                    let id = format!("deadly-{n}-at-{}", host + 1);
                    let status = send(address, DEADLY_PATH, &id, DEADLY_BODY);
                    if status != 503 {
                        record.add(format!("{id}: {status}"));
                    }
                });
            }
            thread::sleep(COPY_GAP);
        }
    });
    thread::sleep(CUT_AFTER);
    if seen.ended.lock().unwrap().len() < 3 {
        println!("the request doesn't end targets");
        exit(2);
    }
    let blocked = |store: &Store| store.keys("cornelferry/blocked/").len();
    record.add(format!("the store has {} entries of blocked requests", blocked(&store)));
    if has_trouble {
        record.add("edge-a-1 is cut off from the other machines");
        is_cut.store(true, Ordering::SeqCst);
    }
    thread::sleep(CUT);
    if has_trouble {
        is_cut.store(false, Ordering::SeqCst);
        record.add("the cut has ended");
    }
    thread::sleep(CALM);
    record.add(format!("the store has {} entries of blocked requests", blocked(&store)));
    comes.store(false, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(1));
    record.add("all processes are killed");
    fleet.iter_mut().for_each(Daemon::kill);
    thread::sleep(DOWN);
    fleet.iter_mut().for_each(Daemon::restart);
    if !are_ready(&fleet) {
        println!("the hosts didn't become ready again");
        exit(2);
    }
    record.add("all machines are ready again");
    thread::sleep(CONTACT + Duration::from_millis(1_500));
    record.add("all machines are in touch; the request comes again");
    comes.store(true, Ordering::SeqCst);
    thread::sleep(AFTERWARDS);
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
    let late: Vec<&(String, Instant)> = deadly.iter().filter(|(_, at)| *at > ended[2] + CONTACT).collect();
    record.add(format!("other consumers' requests by status (0: none): {:?}", statuses.lock().unwrap()));
    record.add(format!(
        "{} targets have ended; copies that reached targets later than 3 s after the third end: {}; \
         {RETRIES_MAX} are allowed",
        ended.len(),
        late.len()
    ));
    let is_broken = late.len() > RETRIES_MAX;
    record.add(if is_broken { "the rule is broken" } else { "the rule held" });
    record.write(Path::new("review/14/record.txt"));
    drop(fleet);
    let _ = std::fs::remove_dir_all(&folder);
    exit(i32::from(is_broken));
}
