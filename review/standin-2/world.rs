//! Stand-ins for the platform's store, targets and consumers, for the scripts of this review. Standard
//! library only. Each case includes this file as a module.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The time after which a target that has crashed is back.
pub const DOWN_TIME: Duration = Duration::from_secs(2);

/// A request or a response: the first line, the header fields with lower-case names, and the body.
#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message with a length or in chunks. Returns `None` at the end of the connection.
pub fn read_message(r: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if r.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut fields = Vec::new();
    loop {
        let mut line = String::new();
        if r.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let mut message = Message { first: first.trim_end().to_owned(), fields, body: Vec::new() };
    if let Some(length) = message.field("content-length").and_then(|l| l.parse::<usize>().ok()) {
        message.body.resize(length, 0);
        r.read_exact(&mut message.body)?;
    } else if message.field("transfer-encoding").is_some_and(|t| t.contains("chunked")) {
        loop {
            let mut line = String::new();
            r.read_line(&mut line)?;
            let size = line.trim().split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            r.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    Ok(Some(message))
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let n = (0..3).fold(0u32, |n, i| n << 8 | u32::from(*group.get(i).unwrap_or(&0)));
        for i in 0..4 {
            let is_used = i <= group.len();
            let digit = DIGITS[(n >> (18 - 6 * i) & 63) as usize];
            out.push(if is_used { digit as char } else { '=' });
        }
    }
    out
}

/// Returns the text of a string field in a flat piece of JSON without escapes.
fn json_text<'a>(json: &'a str, field: &str) -> Option<&'a str> {
    let rest = json.split_once(&format!("\"{field}\":\""))?.1;
    rest.split('"').next()
}

fn query_value(query: &str, name: &str) -> Option<String> {
    let value = query.split('&').find_map(|p| p.strip_prefix(&format!("{name}=")))?;
    let mut out = Vec::new();
    let mut bytes = value.bytes();
    while let Some(b) = bytes.next() {
        match b {
            b'%' => {
                let hex: String = bytes.by_ref().take(2).map(char::from).collect();
                out.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
            }
            b'+' => out.push(b' '),
            b => out.push(b),
        }
    }
    String::from_utf8(out).ok()
}

/// The platform's store: keys, revisions, watches and leases that don't run out.
#[derive(Default)]
pub struct Store {
    state: Mutex<StoreState>,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    leases: u64,
    items: BTreeMap<String, String>,
    history: Vec<(u64, String, String)>,
}

impl Store {
    pub fn start() -> (Arc<Store>, SocketAddr) {
        let store = Arc::new(Store::default());
        store.state.lock().unwrap().revision = 100;
        let listener = listen();
        let address = listener.local_addr().expect("an address");
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    /// Writes a value, as JSON text.
    pub fn put(&self, key: &str, value: &str) {
        self.put_base64(key, &base64(value.as_bytes()), 0);
    }

    fn put_base64(&self, key: &str, value: &str, lease: u64) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let n = state.revision;
        let item = format!(
            r#"{{"key":"{key}","value":"{value}","revision":{n},"createRev":{n},"lease":{lease}}}"#
        );
        state.items.insert(key.to_owned(), item.clone());
        state.history.push((n, key.to_owned(), item));
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Ok(Some(req)) = read_message(&mut reader) {
            let body = self.answer(&req);
            let (status, body) = match body {
                Some(body) => ("200 OK", body),
                None => ("404 Not Found", "{}".to_owned()),
            };
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> Option<String> {
        let (path, query) = req.path().split_once('?').unwrap_or((req.path(), ""));
        let prefix = query_value(query, "pathPrefix").unwrap_or_default();
        match path {
            "/api/kv-range" => {
                let state = self.state.lock().unwrap();
                let after = query_value(query, "after").unwrap_or_default();
                let wanted = |k: &&String| k.starts_with(&prefix) && **k > after;
                let items: Vec<&str> =
                    state.items.keys().filter(wanted).map(|k| state.items[k].as_str()).collect();
                Some(format!(
                    r#"{{"items":[{}],"hasMore":false,"currentRev":{}}}"#,
                    items.join(","),
                    state.revision
                ))
            }
            "/api/kv-watch" => {
                let after: u64 = query_value(query, "after")?.parse().ok()?;
                let wait: u64 = query_value(query, "waitMs")?.parse().ok()?;
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let state = self.state.lock().unwrap();
                    let events: Vec<&str> = state
                        .history
                        .iter()
                        .filter(|(n, key, _)| *n > after && key.starts_with(&prefix))
                        .map(|(_, _, item)| item.as_str())
                        .collect();
                    if !events.is_empty() || Instant::now() >= until {
                        return Some(format!(
                            r#"{{"events":[{}],"currentRev":{}}}"#,
                            events.join(","),
                            state.revision
                        ));
                    }
                    drop(state);
                    thread::sleep(Duration::from_millis(20));
                }
            }
            "/api/kv-key" => {
                let key = query_value(query, "key")?;
                self.state.lock().unwrap().items.get(&key).cloned()
            }
            "/api/kv-txn" => {
                let text = String::from_utf8_lossy(&req.body).into_owned();
                let puts = text.split_once("\"puts\":[")?.1.split(']').next()?.to_owned();
                for put in puts.split('}') {
                    if let (Some(k), Some(v)) = (json_text(put, "key"), json_text(put, "value")) {
                        self.put_base64(k, v, 1);
                    }
                }
                Some(format!(r#"{{"revision":{}}}"#, self.state.lock().unwrap().revision))
            }
            "/api/kv-lease" => {
                let mut state = self.state.lock().unwrap();
                state.leases += 1;
                Some(format!(r#"{{"lease":{},"ttlS_time":30}}"#, state.leases))
            }
            _ if path.starts_with("/api/kv-keep/") => Some(r#"{"ttlS_time":30}"#.to_owned()),
            _ if path.starts_with("/api/kv-lease-end/") => Some("{}".to_owned()),
            _ => None,
        }
    }
}

/// A target. `serve` handles one connection until it ends.
pub struct Target {
    pub id: String,
    pub service: String,
    pub slots: u32,
    pub address: SocketAddr,
    pub running: Mutex<u32>,
    /// The Unix millisecond of its start.
    born: Mutex<u128>,
    connections: Mutex<Vec<TcpStream>>,
    is_down: AtomicBool,
}

impl Target {
    /// Starts a target whose connections are served by `serve`, and registers it. Its entry is
    /// written again every 1.5 s while it is up.
    pub fn start(
        store: &Arc<Store>,
        id: &str,
        service: &str,
        slots: u32,
        serve: impl Fn(&Target, TcpStream) -> io::Result<()> + Send + Sync + 'static,
    ) -> Arc<Target> {
        let listener = listen();
        let target = Arc::new(Target {
            id: id.to_owned(),
            service: service.to_owned(),
            slots,
            address: listener.local_addr().expect("an address"),
            running: Mutex::new(0),
            born: Mutex::new(millis()),
            connections: Mutex::default(),
            is_down: AtomicBool::new(false),
        });
        let (shared, serve) = (target.clone(), Arc::new(serve));
        thread::spawn(move || {
            let mut listener = listener;
            loop {
                let accepted = listener.accept();
                if shared.is_down.load(Ordering::SeqCst) {
                    drop((accepted, listener));
                    thread::sleep(DOWN_TIME);
                    *shared.born.lock().unwrap() = millis();
                    listener = loop {
                        match TcpListener::bind(shared.address) {
                            Ok(listener) => break listener,
                            Err(_) => thread::sleep(Duration::from_millis(20)),
                        }
                    };
                    shared.is_down.store(false, Ordering::SeqCst);
                    continue;
                }
                let Ok((stream, _)) = accepted else { continue };
                let _ = stream.set_nodelay(true);
                shared.connections.lock().unwrap().extend(stream.try_clone());
                let (target, serve) = (shared.clone(), serve.clone());
                thread::spawn(move || {
                    let _ = serve(&target, stream);
                });
            }
        });
        let (beating, store) = (target.clone(), store.clone());
        store.put(&format!("servers/{id}"), &beating.entry(1));
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(Duration::from_millis(1_500));
                if !beating.is_down.load(Ordering::SeqCst) {
                    store.put(&format!("servers/{}", beating.id), &beating.entry(sequence));
                }
            }
        });
        target
    }

    /// Ends the target's process: its connections are closed, and its port accepts none until it has
    /// started again, [`DOWN_TIME`] later.
    pub fn crash(&self) {
        if self.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        for stream in std::mem::take(&mut *self.connections.lock().unwrap()) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        *self.running.lock().unwrap() = 0;
        // Wakes the thread that accepts connections.
        let _ = TcpStream::connect(self.address);
    }

    fn entry(&self, sequence: u64) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"palermo","version":"v1","slots":{},"state":"ready","coldRemainingS":0,"sequence":{sequence},"born":{}}}"#,
            self.service,
            self.address,
            self.slots,
            self.born.lock().unwrap()
        )
    }

    pub fn load(&self) -> String {
        format!("X-Instance-Load: {},0,{},100\r\n", self.running.lock().unwrap(), self.slots)
    }

    pub fn health(&self) -> String {
        let load = self.load();
        format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\n{load}Content-Length: 0\r\n\r\n", self.id)
    }

    /// The whole answer to a request: signed, with its id.
    pub fn answer(&self, req: &Message, body: &str) -> String {
        let id = req.field("x-attempt-id").unwrap_or("");
        format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: {}.{id}\r\n{}Content-Length: {}\r\n\r\n{body}",
            self.id,
            self.load(),
            body.len()
        )
    }
}

pub fn millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis())
}

/// A route of the config.
pub struct Route<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub prefix: &'a str,
    pub service: &'a str,
    pub timeout_s: f64,
}

/// Returns a config. `more` is further members of it, each with a comma after it.
pub fn config(version: u64, routes: &[Route<'_>], services: &[&str], more: &str) -> String {
    let rules: Vec<String> = routes
        .iter()
        .map(|r| {
            format!(
                r#"{{"name":"{}","kind":"{}","latencyGoalS":0.3,"priority":1,"match":{{"pathPrefix":"{}"}},"action":{{"service":"{}","timeoutS":{},"maxAttempts":2}}}}"#,
                r.name, r.kind, r.prefix, r.service, r.timeout_s
            )
        })
        .collect();
    let clusters: Vec<String> = services
        .iter()
        .map(|s| {
            format!(
                r#"{{"name":"{s}","healthPath":"/health","maxConnections":220,"protocol":"h1","tls":false}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},{more}"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}},"listeners":[{{"host":"ficu95.example","rules":[{}]}}],"clusters":[{}]}}"#,
        rules.join(","),
        clusters.join(",")
    )
}

/// An entry host as the script starts it.
pub struct Host {
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

/// The number of ports that were tried.
static PORTS_TRIED: AtomicU32 = AtomicU32::new(0);

/// Listens on a free port below those that the system gives to outgoing connections, so that none of these
/// takes it while its process is down.
fn listen() -> TcpListener {
    let first = std::process::id() * 101;
    loop {
        let tried = PORTS_TRIED.fetch_add(1, Ordering::SeqCst);
        let port = 12_000 + ((first + tried) % 20_000) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener;
        }
    }
}

/// Writes the settings of one host, as the template of the deploy file is filled in on a small
/// deployment, and waits until the script has started it and it is ready.
pub fn start_host(dir: &Path, store: SocketAddr) -> io::Result<Host> {
    let held: Vec<TcpListener> = (0..5).map(|_| listen()).collect();
    let port = |l: &TcpListener| l.local_addr().expect("an address").port();
    let ports: Vec<u16> = held.iter().map(port).collect();
    drop(held);
    let at = |i: usize| format!("127.0.0.1:{}", ports[i]);
    let mut text = String::new();
    let _ = write!(
        text,
        r#"{{"host": "edge-palermo-1", "data_centre": "palermo", "caller": "{}", "admin": "{}", "peer": "{}", "metrics": "{}", "relay_port": {}, "link_mbps": 1000.0, "prefer_open_connections": true, "stop_s": 6, "seeds": ["{}"], "limits": {{"events": 512}}, "registry": {{"retry_share": 0.2, "retry_slack": 56, "retry_window_s": 10, "probes_per_second": 60, "apply_s": 2, "address": "{store}"}}}}"#,
        at(0),
        at(1),
        at(2),
        at(3),
        ports[4],
        at(2)
    );
    std::fs::write(dir.join("boot.tmp"), text)?;
    std::fs::rename(dir.join("boot.tmp"), dir.join("boot.json"))?;
    let host = Host { front: at(0).parse().unwrap(), ready: at(1).parse().unwrap() };
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        let question = "GET /readyz HTTP/1.1\r\nHost: platform\r\n\r\n";
        if let Ok(mut client) = Client::connect(host.ready)
            && client.send(question.as_bytes()).is_ok()
            && client.receive().is_ok_and(|res| res.status() == 200)
        {
            return Ok(host);
        }
        thread::sleep(Duration::from_millis(50));
    }
    Err(io::Error::other("the host did not become ready"))
}

/// A consumer's connection.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn receive(&mut self) -> io::Result<Message> {
        read_message(&mut self.reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

pub fn request(method: &str, path: &str, id: &str, deadline_ms: u32, body: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// The record of a run, with the time of each line since its start.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Record> {
        let file = File::create(path).expect("the record can be written");
        Arc::new(Record { file: Mutex::new(file), started: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} {text}");
    }
}

/// The arguments of a case: the folder of the run, the record, and whether there is trouble.
pub fn arguments() -> (PathBuf, Arc<Record>, bool) {
    let args: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    (PathBuf::from(&args[1]), Record::create(Path::new(&args[2])), trouble)
}

/// Ends the process as the scripts have to: 1 if the rule was broken, 0 if it held, 2 if the case could
/// not run.
pub fn finish(record: &Record, outcome: Result<bool, String>) -> ! {
    let (code, text) = match outcome {
        Ok(true) => (1, "the rule was broken".to_owned()),
        Ok(false) => (0, "the rule held".to_owned()),
        Err(reason) => (2, format!("the case could not run: {reason}")),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code)
}
