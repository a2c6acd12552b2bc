//! A new version of the config takes the last tenant away. Requests with its key, and with keys that no
//! config has ever held, run from then on.

#[path = "../standin-2/world.rs"]
mod world;

use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use world::{Client, Message, Record, Route, Store, Target, config, read_message, request};

const TARGETS: usize = 4;
/// Requests of each kind in each phase.
const REQUESTS: usize = 20;
/// Time after the confirmation of a version until which an older one may be in force (`configApplyS`),
/// and a second more.
const APPLIED: Duration = Duration::from_secs(3);

const HELD_KEY: &str = "rjvz48wuakn2ftimaj3n";
const FOREIGN_KEY: &str = "q00000000000000000000";
const TENANT: &str = r#"{"name":"huka270","apiKeys":["rjvz48wuakn2ftimaj3n"],"priority":1}"#;
const OTHER_TENANT: &str = r#"{"name":"kiva112","apiKeys":["w5m1cn02bq8x7e4tzy6d"],"priority":1}"#;

type Runs = Arc<Mutex<Vec<(String, Message)>>>;

fn main() {
    let (dir, record, trouble) = world::arguments();
    let (store, address) = Store::start();
    store.put(
        "op/config",
        &with_tenants(
            7,
            &if trouble { TENANT.to_owned() } else { format!("{TENANT},{OTHER_TENANT}") },
        ),
    );
    let runs = Runs::default();
    let _targets: Vec<Arc<Target>> = (0..TARGETS)
        .map(|i| {
            let (runs, record) = (runs.clone(), record.clone());
            let id = format!("i-7f3a91c{i}");
            Target::start(&store, &id, "huvo11a", 6, move |target, mut stream| {
                let mut reader = BufReader::new(stream.try_clone()?);
                while let Some(req) = read_message(&mut reader)? {
                    if req.path() == "/health" {
                        stream.write_all(target.health().as_bytes())?;
                        continue;
                    }
                    let id = req.field("x-attempt-id").unwrap_or("").to_owned();
                    record.line(&format!(
                        "{}: runs {id}, X-Key {:?}, X-Tenant-Name {:?}",
                        target.id,
                        req.field("x-key"),
                        req.field("x-tenant-name")
                    ));
                    runs.lock().unwrap().push((id.clone(), req.clone()));
                    thread::sleep(Duration::from_millis(5));
                    stream.write_all(target.answer(&req, &format!("booked {id}")).as_bytes())?;
                }
                Ok(())
            })
        })
        .collect();
    let outcome = match world::start_host(&dir, address) {
        Ok(host) => run(host.front, &store, &runs, &record, trouble),
        Err(e) => Err(e.to_string()),
    };
    world::finish(&record, outcome)
}

fn with_tenants(version: u64, tenants: &str) -> String {
    let routes = [Route {
        name: "r-pledge",
        kind: "non_idempotent",
        prefix: "/pufi791/",
        service: "huvo11a",
        timeout_s: 1.5,
    }];
    config(version, &routes, &["huvo11a"], &format!(r#""tenants":[{tenants}],"#))
}

/// Sends requests with a key, and returns the statuses.
fn send(
    front: SocketAddr,
    record: &Record,
    phase: &str,
    key: &str,
    forged: Option<&str>,
) -> Vec<u16> {
    (0..REQUESTS)
        .map(|n| {
            let id = format!("{phase}-{n:04x}");
            let text = request("POST", &format!("/pufi791/{id}"), &id, 1500, "amount=50");
            let mut fields = format!("X-Key: {key}\r\n");
            if let Some(tenant) = forged {
                fields += &format!("X-Tenant-Name: {tenant}\r\n");
            }
            let text = String::from_utf8(text).expect("text");
            let text = text.replacen("X-Deadline-Ms", &format!("{fields}X-Deadline-Ms"), 1);
            let answer = Client::connect(front).and_then(|mut client| {
                client.send(text.as_bytes())?;
                client.receive()
            });
            let status = answer.map_or(0, |res| res.status());
            record.line(&format!("{id} with the key {key} was answered {status}"));
            thread::sleep(Duration::from_millis(10));
            status
        })
        .collect()
}

fn run(
    front: SocketAddr,
    store: &Store,
    runs: &Runs,
    record: &Arc<Record>,
    trouble: bool,
) -> Result<bool, String> {
    let held = send(front, record, "held", HELD_KEY, None);
    let foreign = send(front, record, "foreign", FOREIGN_KEY, Some("huka270"));
    if held.iter().filter(|s| **s == 200).count() * 10 < REQUESTS * 9 {
        return Err("requests with the tenant's key were not served".to_owned());
    }
    if foreign.iter().any(|s| *s != 401) {
        return Err("requests with a foreign key were not answered 401".to_owned());
    }
    let version = if trouble { with_tenants(9, "") } else { with_tenants(9, OTHER_TENANT) };
    store.put("op/config", &version);
    record.line("version 9 is confirmed: the tenant huka270 is taken away");
    thread::sleep(APPLIED);
    send(front, record, "dropped", HELD_KEY, None);
    send(front, record, "never-held", FOREIGN_KEY, Some("huka270"));
    let runs = runs.lock().unwrap();
    let count = |phase: &str| runs.iter().filter(|(id, _)| id.starts_with(phase)).count();
    let passed_on = runs.iter().filter(|(_, req)| req.field("x-key").is_some()).count();
    let forged = |req: &Message| req.field("x-tenant-name") == Some("huka270");
    let is_foreign = |id: &str| id.starts_with("never-held") || id.starts_with("foreign");
    let forged = runs.iter().filter(|(id, req)| is_foreign(id) && forged(req)).count();
    let foreign = count("never-held") + count("foreign");
    let text = format!(
        "ROUTE: {foreign} requests ran with a key that no config ever held; UNASKED: the key was passed on \
         with {passed_on}, and {forged} ran under the tenant that their consumer made up; CONFIG: {} ran \
         with a dropped key",
        count("dropped")
    );
    println!("{text}");
    record.line(&text);
    Ok(foreign + passed_on > 0)
}
