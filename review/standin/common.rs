//! Parts that the cases share: the platform's store, HTTP over blocking sockets, daemons as
//! processes, and the record of a run. Standard library only.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The program and the first word of its arguments, as `deploy/system.toml` starts it.
const DAEMON: &str = "target/release/cornelferryd";

/// What was sent, answered and run, with the seconds since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the record in the file that the first argument of the program names.
    pub fn create() -> Arc<Record> {
        let path = std::env::args().nth(1).unwrap_or_else(|| cannot_run("no record given"));
        let file = File::create(&path).unwrap_or_else(|e| cannot_run(&format!("{path}: {e}")));
        // A fault of the case itself is no verdict.
        std::panic::set_hook(Box::new(|info| cannot_run(&info.to_string())));
        Arc::new(Record { start: Instant::now(), file: Mutex::new(file) })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.4} {text}");
    }
}

/// The processes that this run has started.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that this run has started, and then itself.
pub fn finish(code: i32) -> ! {
    let mut children = CHILDREN.lock().unwrap_or_else(|e| e.into_inner());
    for child in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    std::process::exit(code)
}

/// Ends the run because the case can't be played.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case can't run: {why}");
    finish(2)
}

/// Whether the disruption is to be played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("listen: {e}")))
}

/// The number of ports that were tried.
static PORTS_TRIED: AtomicU32 = AtomicU32::new(0);

/// Returns a port of five digits that is free, and below those that the system gives to outgoing
/// connections, so that none takes it before its process listens there.
pub fn free_port() -> u16 {
    let first = std::process::id() * 101;
    loop {
        let tried = PORTS_TRIED.fetch_add(1, Ordering::SeqCst);
        let port = 12_000 + ((first + tried) % 20_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// Serves each connection of a listener in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

/// The head of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The word of the first line at an index: method, path and version, or version and status.
    pub fn word(&self, at: usize) -> &str {
        self.first.split(' ').nth(at).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A connection that is read message by message.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        Conn { stream, buf: Vec::new() }
    }

    pub fn connect(address: &str, timeout: Duration) -> io::Result<Conn> {
        let address: SocketAddr = address.parse().map_err(io::Error::other)?;
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Conn::new(stream))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16_384];
        match self.stream.read(&mut chunk)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            n => {
                self.buf.extend_from_slice(&chunk[..n]);
                Ok(())
            }
        }
    }

    pub fn head(&mut self) -> io::Result<Head> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            self.fill()?;
        };
        let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let field = |line: &str| {
            let (name, value) = line.split_once(':')?;
            Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        };
        Ok(Head { first, fields: lines.filter_map(field).collect() })
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < count {
            self.fill()?;
        }
        Ok(self.buf.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..at]).into_owned();
                self.buf.drain(..at + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    /// Reads the body that a head announces, by length or in chunks.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
            let mut out = Vec::new();
            loop {
                let size = self.line()?;
                let size = size.split(';').next().unwrap_or("").trim();
                let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(out);
                }
                out.extend(self.take(size)?);
                self.take(2)?;
            }
        }
        let length = head.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        self.take(length)
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Builds a response with a length.
pub fn response(status: &str, fields: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len())
        .into_bytes()
}

/// The platform's store: keys with revisions, leases, and the history that watches read.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(String, u64, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let item = Item { value, revision: self.revision, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((key.to_owned(), self.revision, Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((key.to_owned(), self.revision, None));
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, until))| *until < now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| i.lease == id).map(|(k, _)| k.clone()).collect();
        keys.iter().for_each(|k| self.remove(k));
        self.leases.remove(&id).is_some()
    }
}

/// Changes a stored value on its way to the machines that ask at one address.
pub type View = Arc<dyn Fn(&str, &[u8]) -> Vec<u8> + Send + Sync>;

impl Store {
    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
    }

    pub fn put(&self, key: &str, value: &str) {
        self.state.lock().unwrap().put(key, value.as_bytes().to_vec(), 0);
    }

    /// Serves the store at a new address, which is returned.
    pub fn serve(self: &Arc<Store>, view: View) -> String {
        let listener = listen();
        let address = listener.local_addr().unwrap().to_string();
        let store = self.clone();
        serve(listener, move |stream| {
            let mut conn = Conn::new(stream);
            while let Ok(head) = conn.head() {
                let Ok(body) = conn.body(&head) else { return };
                let (status, text) =
                    store.call(head.word(0), head.word(1), &String::from_utf8_lossy(&body), &view);
                let answer = response(status, "Content-Type: application/json\r\n", &text);
                if conn.send(&answer).is_err() {
                    return;
                }
            }
        });
        address
    }

    fn call(&self, method: &str, path: &str, body: &str, view: &View) -> (&'static str, String) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let param = |name: &str| {
            let pair = query.split('&').find_map(|p| p.strip_prefix(&format!("{name}=")));
            decode_query(pair.unwrap_or(""))
        };
        let mut state = self.state.lock().unwrap();
        state.expire_leases();
        match (method, path) {
            ("GET", "/api/kv-range") => {
                let (prefix, after) = (param("pathPrefix"), param("after"));
                let shown =
                    state.items.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let items: Vec<String> = shown.map(|(k, i)| item_json(k, i, view)).collect();
                let text = format!(
                    r#"{{"items":[{}],"hasMore":false,"currentRev":{}}}"#,
                    items.join(","),
                    state.revision
                );
                ("200 OK", text)
            }
            ("GET", "/api/kv-watch") => {
                let prefix = param("pathPrefix");
                let after: u64 = param("after").parse().unwrap_or(0);
                let news =
                    state.history.iter().filter(|(k, r, _)| *r > after && k.starts_with(&prefix));
                let event = |(key, revision, item): &(String, u64, Option<Item>)| match item {
                    Some(item) => item_json(key, item, view),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
                };
                let events: Vec<String> = news.map(event).collect();
                let text = format!(
                    r#"{{"events":[{}],"currentRev":{}}}"#,
                    events.join(","),
                    state.revision
                );
                ("200 OK", text)
            }
            ("POST", "/api/kv-lease") => {
                let ttl: f64 = number_after(body, "\"ttlS_time\":").unwrap_or(30.0);
                state.last_lease += 1;
                let (id, ttl_time) = (state.last_lease, Duration::from_secs_f64(ttl));
                state.leases.insert(id, (ttl_time, Instant::now() + ttl_time));
                ("200 OK", format!(r#"{{"lease":{id},"ttlS_time":{ttl}}}"#))
            }
            ("POST", p) if p.starts_with("/api/kv-keep/") => {
                let id = p.rsplit('/').next().and_then(|v| v.parse().ok()).unwrap_or(0);
                match state.leases.get_mut(&id) {
                    Some((ttl, until)) => {
                        *until = Instant::now() + *ttl;
                        ("200 OK", format!(r#"{{"ttlS_time":{}}}"#, ttl.as_secs_f64()))
                    }
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("DELETE", p) if p.starts_with("/api/kv-lease-end/") => {
                let id = p.rsplit('/').next().and_then(|v| v.parse().ok()).unwrap_or(0);
                match state.end_lease(id) {
                    true => ("200 OK", "{}".to_owned()),
                    false => ("404 Not Found", "{}".to_owned()),
                }
            }
            // The daemons put one key in a call, without conditions.
            ("POST", "/api/kv-txn") => {
                let lease = number_after(body, "\"lease\":").unwrap_or(0.0) as u64;
                if lease != 0 && !state.leases.contains_key(&lease) {
                    return ("404 Not Found", "{}".to_owned());
                }
                if let (Some(key), Some(value)) =
                    (text_after(body, "\"key\":\""), text_after(body, "\"value\":\""))
                {
                    state.put(&key, decode_base64(&value), lease);
                }
                ("200 OK", format!(r#"{{"revision":{}}}"#, state.revision))
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}

fn item_json(key: &str, item: &Item, view: &View) -> String {
    let value = encode_base64(&view(key, &item.value));
    let Item { revision, lease, .. } = item;
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"createRev":1,"lease":{lease}}}"#
    )
}

fn text_after(text: &str, mark: &str) -> Option<String> {
    let rest = &text[text.find(mark)? + mark.len()..];
    Some(rest[..rest.find('"')?].to_owned())
}

fn number_after(text: &str, mark: &str) -> Option<f64> {
    let rest = &text[text.find(mark)? + mark.len()..];
    let end = rest.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(rest.len());
    rest[..end].parse().ok()
}

fn decode_query(text: &str) -> String {
    let (bytes, mut out, mut i) = (text.as_bytes(), Vec::new(), 0);
    while i < bytes.len() {
        let hex = (bytes[i] == b'%').then(|| text.get(i + 1..i + 3)).flatten();
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                i += 3;
            }
            None => {
                out.push(if bytes[i] == b'+' { b' ' } else { bytes[i] });
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word =
            chunk.iter().fold(0_u32, |w, b| w << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            match i <= chunk.len() {
                true => out.push(BASE64[(word >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

fn decode_base64(text: &str) -> Vec<u8> {
    let (mut out, mut word, mut bits) = (Vec::new(), 0_u32, 0);
    for byte in text.bytes() {
        let Some(value) = BASE64.iter().position(|b| *b == byte) else { continue };
        (word, bits) = (word << 6 | value as u32, bits + 6);
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
        }
    }
    out
}

/// A temporary folder, which `run.sh` names and removes.
pub struct Folder(pub PathBuf);

impl Folder {
    /// Returns the folder that the second argument of the program names.
    pub fn given() -> Folder {
        Folder(std::env::args().nth(2).unwrap_or_else(|| cannot_run("no folder given")).into())
    }
}

/// The addresses of a host.
#[derive(Clone)]
pub struct HostSettings {
    pub name: String,
    pub zone: String,
    pub caller: String,
    pub admin: String,
    pub peer: String,
    pub seeds: Vec<String>,
    pub store: String,
}

impl HostSettings {
    pub fn new(name: &str, zone: &str, store: &str) -> HostSettings {
        let address = || format!("127.0.0.1:{}", free_port());
        HostSettings {
            name: name.to_owned(),
            zone: zone.to_owned(),
            caller: address(),
            admin: address(),
            peer: address(),
            seeds: Vec::new(),
            store: store.to_owned(),
        }
    }

    /// The text that `deploy/settings.json` gives for a host of a small deployment.
    fn text(&self) -> String {
        let seeds: Vec<String> = self.seeds.iter().map(|s| format!("{s:?}")).collect();
        let mut out = String::new();
        let _ = write!(
            out,
            r#"{{"host":"{}","data_centre":"{}","caller":"{}","admin":"{}","peer":"{}",
"prefer_open_connections":true,"seeds":[{}],"limits":{{"events":512}},
"registry":{{"retry_share":0.2,"retry_slack":56,"retry_window_s":10,"probes_per_second":60,
"apply_s":2,"address":"{}"}}}}"#,
            self.name,
            self.zone,
            self.caller,
            self.admin,
            self.peer,
            seeds.join(","),
            self.store
        );
        out
    }
}

/// The bound `graceS` of the sites.
const GRACE: Duration = Duration::from_secs(6);

fn spawn(file: &PathBuf) -> Child {
    let log = File::options().create(true).append(true).open(file.with_file_name("log"));
    let log = log.unwrap_or_else(|e| cannot_run(&e.to_string()));
    let spawned = Command::new(DAEMON)
        .arg("--settings")
        .arg(file)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn();
    spawned.unwrap_or_else(|e| cannot_run(&format!("{DAEMON}: {e}")))
}

/// A daemon. It runs until [`finish`].
pub struct Daemon {
    pub settings: HostSettings,
    file: PathBuf,
    /// The index of its process in [`CHILDREN`].
    child: usize,
}

impl Daemon {
    /// Starts a daemon with its settings file in a folder of its own.
    pub fn start(folder: &Folder, settings: HostSettings) -> Daemon {
        let own = folder.0.join(&settings.name);
        std::fs::create_dir_all(&own).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let file = own.join("boot.json");
        std::fs::write(&file, settings.text()).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let spawned = spawn(&file);
        let mut children = CHILDREN.lock().unwrap();
        children.push(spawned);
        Daemon { settings, file, child: children.len() - 1 }
    }

    /// Stops the process as the platform does, and starts it again with the same settings.
    pub fn restart(&self) {
        let pid = CHILDREN.lock().unwrap()[self.child].id();
        let sent = Command::new("sh").arg("-c").arg(format!("kill -TERM {pid}")).status();
        if !sent.is_ok_and(|s| s.success()) {
            cannot_run("no signal can be sent");
        }
        let until = Instant::now() + GRACE;
        while !self.has_ended() {
            if Instant::now() >= until {
                let _ = CHILDREN.lock().unwrap()[self.child].kill();
            }
            thread::sleep(Duration::from_millis(20));
        }
        let spawned = spawn(&self.file);
        CHILDREN.lock().unwrap()[self.child] = spawned;
    }

    /// Kills the process, and starts it again with the same settings.
    pub fn kill(&self) {
        let mut children = CHILDREN.lock().unwrap();
        let _ = children[self.child].kill();
        let _ = children[self.child].wait();
        drop(children);
        let spawned = spawn(&self.file);
        CHILDREN.lock().unwrap()[self.child] = spawned;
    }

    /// The memory that the process has in use.
    pub fn memory_mb(&self) -> u64 {
        let pid = CHILDREN.lock().unwrap()[self.child].id();
        let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) / 1_024
    }

    /// Waits until the host says that it is ready.
    pub fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let asked =
                Conn::connect(&self.settings.admin, Duration::from_secs(1)).and_then(|mut c| {
                    c.send(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
                    c.head()
                });
            if asked.is_ok_and(|head| head.status() == 200) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        cannot_run(&format!("{} doesn't become ready", self.settings.name));
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        !matches!(CHILDREN.lock().unwrap()[self.child].try_wait(), Ok(None))
    }
}

/// An entry of the store for an upstream.
pub fn registration(
    service: &str,
    address: &str,
    zone: &str,
    slots: u32,
    sequence: u64,
    born: u64,
) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","coldRemainingS":0,"sequence":{sequence},"born":{born}}}"#
    )
}

/// Registers targets, each with its id and address, and repeats that as their heartbeat.
pub fn keep_registered(
    store: &Arc<Store>,
    service: &str,
    zone: &str,
    slots: u32,
    targets: Vec<(String, String)>,
) {
    let (store, service, zone, born) =
        (store.clone(), service.to_owned(), zone.to_owned(), unix_millis());
    let write = move |sequence: u64| {
        for (name, address) in &targets {
            let entry = registration(&service, address, &zone, slots, sequence, born);
            store.put(&format!("servers/{name}"), &entry);
        }
    };
    write(1);
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(1_500));
            write(sequence);
        }
    });
}
