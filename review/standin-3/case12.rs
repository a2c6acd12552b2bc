//! A request ends each target that runs it. When a copy of it is due on trial, one of four machines is
//! cut off from the others, in silence; the store, the targets and the consumers reach all of them.
//!
//! Exits with 1 if, later than `contactS` after the request has ended its third target, more than three
//! copies reach targets.

#[path = "deadly.rs"]
mod deadly;
#[path = "platform.rs"]
mod platform;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path as FilePath;
use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use deadly::{
    CONFIG, CONTACT, COPY_GAP, DEADLY_BODY, DEADLY_PATH, RETRIES_MAX, Seen, TARGETS, send, start_target,
};
use platform::{Daemon, HostSettings, Names, Record, Store};

/// One of four machines is cut off: a share of 0.25 (`node_cut`: up to 0.35).
const HOSTS: u8 = 4;
const CUT: Duration = Duration::from_millis(5_500);
/// How long before a trial is due the cut begins: others are taken for dead by then.
const CUT_BEFORE: Duration = Duration::from_millis(3_200);
/// The times at which a daemon sends a copy on trial, after the last target has ended.
const TRIALS_AFTER: [Duration; 2] = [Duration::from_secs(10), Duration::from_secs(60)];
/// The other consumers, and the pause of each between two requests.
const CONSUMERS: usize = 8;
const PAUSE: Duration = Duration::from_millis(60);

/// The path between the two sides of the cut to one machine's peer address. Machines tell each other
/// their addresses, so it replaces them by those of such paths.
struct Link {
    address: SocketAddr,
    target: SocketAddr,
    forth: Names,
    back: Names,
}

impl Link {
    fn listen(self, is_cut: &Arc<AtomicBool>) {
        let listener = TcpListener::bind(self.address).expect("a free address");
        let is_cut = is_cut.clone();
        thread::spawn(move || {
            let link = Arc::new(self);
            for near in listener.incoming().flatten() {
                let (link, is_cut) = (link.clone(), is_cut.clone());
                thread::spawn(move || {
                    wait_until_whole(&is_cut);
                    let Ok(far) = TcpStream::connect(link.target) else { return };
                    let _ = (near.set_nodelay(true), far.set_nodelay(true));
                    let (n, f) = (near.try_clone().unwrap(), far.try_clone().unwrap());
                    let (back, cut) = (link.back.clone(), is_cut.clone());
                    thread::spawn(move || pump(f, n, &back, &cut));
                    pump(near, far, &link.forth, &is_cut);
                });
            }
        });
    }
}

fn wait_until_whole(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(5));
    }
}

/// Passes bytes on. While the sides are cut off from each other, holds them back in silence.
fn pump(mut from: TcpStream, mut to: TcpStream, names: &Names, is_cut: &AtomicBool) {
    let longest = names.iter().map(|(name, _)| name.len()).max().unwrap_or(0);
    let mut chunk = vec![0; 65_536];
    let mut held: Vec<u8> = Vec::new();
    while let Ok(count @ 1..) = from.read(&mut chunk) {
        held.extend_from_slice(&chunk[..count]);
        // An address may be cut by the end of what was read.
        let tail = held.len().saturating_sub(longest.saturating_sub(1));
        let is_open = |at: &usize| {
            let rest = &held[*at..];
            rest.len() > 2 && names.iter().any(|(name, _)| name.as_bytes().starts_with(rest))
        };
        let end = (tail..held.len()).find(is_open).unwrap_or(held.len());
        let out = platform::replace(names, &held[..end]);
        held.drain(..end);
        wait_until_whole(is_cut);
        if to.write_all(&out).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

fn start_hosts(folder: &FilePath, store: &Store, is_cut: &Arc<AtomicBool>) -> Vec<Daemon> {
    // The second half of the addresses are those of the paths between the sides.
    let ips = platform::host_addresses(2 * HOSTS);
    let (relay_port, peer_port) = (platform::common_port(&ips), platform::common_port(&ips));
    let is_alone = |i: usize| i == 0;
    let own = |i: usize| SocketAddr::from((ips[i], peer_port));
    let alias = |i: usize| SocketAddr::from((ips[i + usize::from(HOSTS)], peer_port));
    let hosts = 0..usize::from(HOSTS);
    // What one side calls addresses, as the other side calls them.
    let names = |from_alone: bool| -> Names {
        let pair = |i: usize| match is_alone(i) == from_alone {
            true => (own(i).to_string(), alias(i).to_string()),
            false => (alias(i).to_string(), own(i).to_string()),
        };
        Arc::new(hosts.clone().map(pair).collect())
    };
    let (from_alone, from_others) = (names(true), names(false));
    for i in hosts.clone() {
        let (forth, back) = match is_alone(i) {
            true => (&from_others, &from_alone),
            false => (&from_alone, &from_others),
        };
        let link = Link { address: alias(i), target: own(i), forth: forth.clone(), back: back.clone() };
        link.listen(is_cut);
    }
    let shown = |to_alone: bool| -> Names {
        let of_other_side = hosts.clone().filter(|&i| is_alone(i) != to_alone);
        Arc::new(of_other_side.map(|i| (own(i).to_string(), alias(i).to_string())).collect())
    };
    let (store_alone, store_others) = (store.listen(shown(true)), store.listen(shown(false)));
    let ips: Vec<Ipv4Addr> = ips.clone();
    let start = |i: usize| {
        let seed = |s: usize| if is_alone(s) == is_alone(i) { own(s) } else { alias(s) };
        let settings = HostSettings {
            name: format!("edge-a-{}", i + 1),
            ip: ips[i],
            peer_port,
            relay_port,
            seeds: (0..3).map(|s| seed(s).to_string()).collect(),
            store: if is_alone(i) { store_alone } else { store_others },
        };
        Daemon::start(folder, settings, "")
    };
    hosts.clone().map(start).collect()
}

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
    let mut fleet = start_hosts(&folder, &store, &is_cut);
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
    record.write(FilePath::new("review/12/record.txt"));
    drop(fleet);
    let _ = std::fs::remove_dir_all(&folder);
    exit(i32::from(is_broken));
}
