//! A request ends each target that runs it. When a copy of it is due on trial, one of four machines is
//! cut off from the others, in silence; the store, the targets and the consumers reach all of them.
//!
//! Exits with 1 if, later than `contactS` after the request has ended its third target, more than three
//! copies reach targets.

#[path = "platform.rs"]
mod platform;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path as FilePath;
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use platform::{Conn, Daemon, HostSettings, Names, Record, Store};

const CONFIG: &str = r#"{"version":7,
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},
 "listeners":[{"host":"ficu95.example","rules":[
  {"name":"r-book","kind":"non_idempotent","latencyGoalS":0.3,"priority":1,"match":{"pathPrefix":"/pufi791/"},
   "action":{"service":"huvo11a","timeoutS":1,"maxAttempts":2}}]}],
 "clusters":[{"name":"huvo11a","healthPath":"/health","maxConnections":220,"protocol":"h1","tls":false}]}"#;

/// One of four machines is cut off: a share of 0.25 (`node_cut`: up to 0.35).
const HOSTS: u8 = 4;
const CUT: Duration = Duration::from_millis(5_500);
/// How long before a trial is due the cut begins: others are taken for dead by then.
const CUT_BEFORE: Duration = Duration::from_millis(3_200);
/// The times at which a daemon sends a copy on trial, after the last target has ended.
const TRIALS_AFTER: [Duration; 2] = [Duration::from_secs(10), Duration::from_secs(60)];
const CONTACT: Duration = Duration::from_secs(3);
const RETRIES_MAX: usize = 3;
const TARGETS: usize = 13;
const SLOTS: u32 = 6;
const WORK: Duration = Duration::from_millis(60);
/// The time after which a target that has ended is back.
const DOWN: Duration = Duration::from_secs(3);
const BEAT: Duration = Duration::from_millis(1_500);
/// The time between two copies of the deadly request.
const COPY_GAP: Duration = Duration::from_millis(250);
const DEADLY_PATH: &str = "/pufi791/report";
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

/// What is seen of the targets.
#[derive(Default)]
struct Seen {
    /// The copies of the deadly request that reached targets.
    deadly: Mutex<Vec<(String, Instant)>>,
    ended: Mutex<Vec<Instant>>,
}

fn unix_millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

/// Runs a target, in one process after another under its id and address.
fn start_target(store: &Store, id: String, seen: &Arc<Seen>, record: &Arc<Record>) {
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
fn send(address: SocketAddr, path: &str, id: &str, body: &str) -> u16 {
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
                let status = send(address, DEADLY_PATH, &id, "from=1970&to=2099");
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
