//! A request of one tenant crashes each target that begins to run it. Other tenants send requests of the
//! same path, which do no harm. The request goes on to reach targets, and they end under it.

#[path = "../standin-2/world.rs"]
mod world;

use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use world::{Client, Record, Route, Store, Target, config, read_message};

const TARGETS: usize = 8;
const LENGTH: Duration = Duration::from_secs(45);
/// Time between two copies of the request.
const COPY_INTERVAL: Duration = Duration::from_millis(2_500);
/// `contactS` of the site.
const CONTACT: Duration = Duration::from_secs(3);
/// Retries that may reach targets after the third crash and `contactS`.
const RETRIES_MAX: usize = 3;
/// Every other one sends lookups; the rest send bookings.
const CONSUMERS: usize = 8;

/// The tenants with their keys; the first one's request crashes targets.
const TENANTS: [(&str, &str); 3] = [
    ("huka270", "rjvz48wuakn2ftimaj3n"),
    ("kiva112", "w5m1cn02bq8x7e4tzy6d"),
    ("mote7", "c81kx0w2ymt5s7rpa94f"),
];
/// The path that the tenants share.
const PATH: &str = "/lohu930/me";
/// The time that a lookup takes.
const LOOKUP: Duration = Duration::from_millis(20);
/// The time that a booking takes.
const BOOKING: Duration = Duration::from_millis(200);

/// When copies of the request have reached targets, and where.
type Arrivals = Arc<Mutex<Vec<(Instant, String)>>>;

fn main() {
    let (dir, record, trouble) = world::arguments();
    let (store, address) = Store::start();
    let route =
        |name, kind, prefix| Route { name, kind, prefix, service: "huvo11a", timeout_s: 1.5 };
    let routes = [
        route("r-lookup", "idempotent", "/lohu930/"),
        route("r-booking", "non_idempotent", "/pufi791/"),
    ];
    let tenants: Vec<String> = TENANTS
        .iter()
        .map(|(name, key)| format!(r#"{{"name":"{name}","apiKeys":["{key}"],"priority":1}}"#))
        .collect();
    let tenants = format!(r#""tenants":[{}],"#, tenants.join(","));
    store.put("op/config", &config(7, &routes, &["huvo11a"], &tenants));
    let arrivals = Arrivals::default();
    let _targets: Vec<Arc<Target>> = (0..TARGETS)
        .map(|i| {
            let (arrivals, record) = (arrivals.clone(), record.clone());
            let id = format!("i-7f3a91c{i}");
            Target::start(&store, &id, "huvo11a", 4, move |target, mut stream| {
                let mut reader = BufReader::new(stream.try_clone()?);
                while let Some(req) = read_message(&mut reader)? {
                    if req.path() == "/health" {
                        stream.write_all(target.health().as_bytes())?;
                        continue;
                    }
                    let tenant = req.field("x-tenant-name").unwrap_or("");
                    *target.running.lock().unwrap() += 1;
                    if tenant == TENANTS[0].0 {
                        let id = req.field("x-attempt-id").unwrap_or("");
                        arrivals.lock().unwrap().push((Instant::now(), target.id.clone()));
                        record.line(&format!("{}: runs {id} of {tenant}", target.id));
                        thread::sleep(Duration::from_millis(10));
                        if trouble {
                            record.line(&format!("{}: has crashed", target.id));
                            target.crash();
                            return Ok(());
                        }
                    }
                    thread::sleep(if req.method() == "POST" { BOOKING } else { LOOKUP });
                    let mut running = target.running.lock().unwrap();
                    *running = running.saturating_sub(1);
                    drop(running);
                    stream.write_all(target.answer(&req, tenant).as_bytes())?;
                }
                Ok(())
            })
        })
        .collect();
    let outcome = match world::start_host(&dir, address) {
        Ok(host) => run(host.front, &arrivals, &record, trouble),
        Err(e) => Err(e.to_string()),
    };
    world::finish(&record, outcome)
}

/// Sends a request of a tenant on a new connection, and returns the status of its answer.
fn send(front: SocketAddr, request: &str, id: &str, key: &str) -> u16 {
    let text = format!(
        "{request} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\nX-Key: {key}\r\nX-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n"
    );
    let answer = Client::connect(front).and_then(|mut client| {
        client.send(text.as_bytes())?;
        client.receive()
    });
    answer.map_or(0, |res| res.status())
}

/// What became of the requests of one consumer.
#[derive(Default)]
struct Tally {
    sent: usize,
    unserved: usize,
    /// Bookings of which nobody knows whether they have run.
    unknown: usize,
}

fn run(
    front: SocketAddr,
    arrivals: &Arrivals,
    record: &Arc<Record>,
    trouble: bool,
) -> Result<bool, String> {
    let until = Instant::now() + LENGTH;
    // To see that the request is blocked where no other tenant shares its path: SHARED=0.
    let is_shared = std::env::var("SHARED").map_or(true, |s| s != "0");
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|c| {
            let record = record.clone();
            let (tenant, key) = TENANTS[1 + c % (TENANTS.len() - 1)];
            thread::spawn(move || {
                let mut tally = Tally::default();
                while Instant::now() < until {
                    let n = tally.sent;
                    let request = match c % 2 == 0 {
                        true if is_shared => format!("GET {PATH}"),
                        true => format!("GET /lohu930/{tenant}"),
                        false => format!("POST /pufi791/slot-{c}-{n}"),
                    };
                    let id = format!("b{c:03x}{n:012x}");
                    let status = send(front, &request, &id, key);
                    tally.sent += 1;
                    tally.unserved += usize::from(status != 200);
                    tally.unknown += usize::from(c % 2 == 1 && matches!(status, 0 | 502 | 504));
                    if status != 200 {
                        record.line(&format!("{id} {request} of {tenant} was answered {status}"));
                    }
                    thread::sleep(Duration::from_millis(40));
                }
                tally
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    for n in 0.. {
        if Instant::now() >= until {
            break;
        }
        let id = format!("a{n:015x}");
        let status = send(front, &format!("GET {PATH}"), &id, TENANTS[0].1);
        record.line(&format!("{id} of {} was answered {status}", TENANTS[0].0));
        thread::sleep(COPY_INTERVAL);
    }
    let mut all = Tally::default();
    for consumer in consumers {
        let tally = consumer.join().map_err(|_| "a consumer failed".to_owned())?;
        all.sent += tally.sent;
        all.unserved += tally.unserved;
        all.unknown += tally.unknown;
    }
    let text = format!(
        "other tenants: {} requests, {} of them not served; {} bookings were cut and may have run",
        all.sent, all.unserved, all.unknown
    );
    println!("{text}");
    record.line(&text);
    if all.sent < 500 || all.unserved * 5 > all.sent {
        return Err("more than a fifth of the other tenants' requests were not served".to_owned());
    }
    let arrivals = arrivals.lock().unwrap();
    let third = arrivals.get(2).map(|(at, _)| *at);
    let is_late = |at: &Instant| third.is_some_and(|third| *at > third + CONTACT);
    let late = arrivals.iter().filter(|(at, _)| trouble && is_late(at)).count();
    let text = format!(
        "BUDGET: {late} times the request reached a target later than contactS after it had crashed the \
         third, of {} times in all",
        arrivals.len()
    );
    println!("{text}");
    record.line(&text);
    Ok(late > RETRIES_MAX)
}
