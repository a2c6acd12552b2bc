//! Stand-ins for the platform: its store, targets and consumers, and the daemons of a small fleet on
//! loopback. Standard library only. Each case includes this file as a module.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What was sent, answered and run, with the time in milliseconds since the start of the case.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        Arc::new(Record { start: Instant::now(), lines: Mutex::default() })
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let at = self.start.elapsed().as_millis();
        self.lines.lock().unwrap().push(format!("{at:>7} ms  {}", line.as_ref()));
    }

    pub fn write(&self, path: &Path) {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        fs::write(path, text).expect("the record can be written");
    }
}

/// Returns whether the case plays its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// A message of HTTP/1.1: a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.start_line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// A connection with what was read beyond the last message.
pub struct Conn {
    pub stream: TcpStream,
    pub buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, buf: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16384];
        let n = self.stream.read(&mut part)?;
        self.buf.extend_from_slice(&part[..n]);
        Ok(n)
    }

    /// Reads a head. Returns `None` if the connection ends before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return if self.buf.is_empty() { Ok(None) } else { Err(cut("a head")) };
            }
        };
        let head: Vec<u8> = self.buf.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&head[..end]).into_owned();
        let mut lines = text.split("\r\n");
        let start_line = lines.next().unwrap_or("").to_owned();
        let fields = lines
            .filter_map(|l| l.split_once(':'))
            .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
            .collect();
        Ok(Some(Message { start_line, fields, body: Vec::new() }))
    }

    fn take(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            if self.fill()? == 0 {
                return Err(cut("a body"));
            }
        }
        Ok(self.buf.drain(..len).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        let end = loop {
            if let Some(at) = self.buf.windows(2).position(|w| w == b"\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return Err(cut("a chunk"));
            }
        };
        let line: Vec<u8> = self.buf.drain(..end + 2).collect();
        Ok(String::from_utf8_lossy(&line[..end]).into_owned())
    }

    /// Reads the body that the fields announce.
    pub fn read_body(&mut self, fields: &Message) -> io::Result<Vec<u8>> {
        if fields.field("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
            let mut body = Vec::new();
            loop {
                let line = self.line()?;
                let size = line.split(';').next().unwrap_or("").trim();
                let len = usize::from_str_radix(size, 16).map_err(|_| cut("a chunk"))?;
                if len == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.take(len)?);
                self.take(2)?;
            }
        }
        let len = fields.field("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        self.take(len)
    }

    /// Reads a message with its body. Returns `None` if the connection ends before it.
    pub fn read_message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        message.body = self.read_body(&message)?;
        Ok(Some(message))
    }

    /// Reads the response to a request, of `method`.
    pub fn read_response(&mut self, method: &str) -> io::Result<Message> {
        loop {
            let mut head = self.read_head()?.ok_or_else(|| cut("a response"))?;
            let status = head.status();
            if status < 200 {
                continue;
            }
            let is_bodiless = method == "HEAD" || status == 204 || status == 304;
            head.body = if is_bodiless { Vec::new() } else { self.read_body(&head)? };
            return Ok(head);
        }
    }
}

fn cut(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, format!("{what} was cut"))
}

/// Writes a response with a body of known length.
pub fn respond(
    out: &mut TcpStream,
    status: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in fields {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    out.write_all(&bytes)
}

// ---------------------------------------------------------------- JSON and base64

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(rows) => {
                rows.iter().find(|(n, _)| n == name).map_or(&Json::Null, |(_, v)| v)
            }
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(rows) = self { rows } else { &[] }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> f64 {
        if let Json::Number(n) = self { *n } else { 0.0 }
    }
}

/// Parses JSON; what isn't JSON becomes null.
pub fn parse_json(text: &[u8]) -> Json {
    let mut at = 0;
    parse_value(text, &mut at).unwrap_or(Json::Null)
}

fn skip_space(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(text, at);
    match text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut rows = Vec::new();
            loop {
                skip_space(text, at);
                match text.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Map(rows));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = parse_text(text, at)?;
                        skip_space(text, at);
                        *at += 1;
                        rows.push((name, parse_value(text, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut rows = Vec::new();
            loop {
                skip_space(text, at);
                match text.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(rows));
                    }
                    b',' => *at += 1,
                    _ => rows.push(parse_value(text, at)?),
                }
            }
        }
        b'"' => Some(Json::Text(parse_text(text, at)?)),
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let from = *at;
            while text.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                *at += 1;
            }
            std::str::from_utf8(&text[from..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

fn parse_text(text: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *text.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                out.push(*text.get(*at + 1)?);
                *at += 2;
            }
            b => {
                out.push(b);
                *at += 1;
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let n = part.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - part.len()));
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char;
            out.push(if i <= part.len() { digit } else { '=' });
        }
    }
    out
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut n, mut bits) = (0u32, 0);
    for b in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|d| *d == b) else { continue };
        n = n << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((n >> bits) as u8);
            n &= (1 << bits) - 1;
        }
    }
    out
}

// ---------------------------------------------------------------- the store

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    create_rev: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the item as written or `None` if it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

impl StoreState {
    fn write(&mut self, key: &str, value: Option<(Vec<u8>, u64)>) {
        let create_rev = self.items.get(key).map_or(self.revision, |i| i.create_rev);
        let revision = self.revision;
        let item = value.map(|(value, lease)| Item { value, revision, create_rev, lease });
        match &item {
            Some(item) => drop(self.items.insert(key.to_owned(), item.clone())),
            None => drop(self.items.remove(key)),
        }
        self.history.push((revision, key.to_owned(), item));
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.until <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let existed = self.leases.remove(&lease).is_some();
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| i.lease == lease).map(|(k, _)| k.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|k| self.write(k, None));
        }
        existed
    }
}

/// Replaces addresses by others of the same length, as the two sides of a cut call each other.
pub type Names = Arc<Vec<(String, String)>>;

/// Replaces each address in `bytes`.
pub fn replace(names: &Names, bytes: &[u8]) -> Vec<u8> {
    let mut out = bytes.to_vec();
    let mut at = 0;
    while at < out.len() {
        match names.iter().find(|(from, _)| out[at..].starts_with(from.as_bytes())) {
            Some((from, to)) => {
                out[at..at + from.len()].copy_from_slice(to.as_bytes());
                at += from.len();
            }
            None => at += 1,
        }
    }
    out
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    /// While set, every call is answered with 503.
    pub busy: Arc<AtomicBool>,
    pub calls: Arc<AtomicU64>,
    /// The value of `Store-Era`.
    pub era: Arc<AtomicU64>,
}

/// A copy of the store.
pub struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Duration>,
}

impl Store {
    pub fn start() -> Store {
        let state = StoreState {
            revision: 100,
            items: BTreeMap::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 77_000,
        };
        let mut store = Store {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            state: Arc::new(Mutex::new(state)),
            busy: Arc::default(),
            calls: Arc::default(),
            era: Arc::new(AtomicU64::new(1)),
        };
        store.address = store.listen(Names::default());
        store
    }

    /// Serves the store at a new address, at which addresses in values are called as `names` has them.
    pub fn listen(&self, names: Names) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let served = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, names) = (served.clone(), names.clone());
                thread::spawn(move || store.serve(stream, &names));
            }
        });
        address
    }

    pub fn copy(&self) -> Copy {
        let state = self.state.lock().unwrap();
        let leases = state.leases.iter().map(|(id, lease)| (*id, lease.ttl)).collect();
        Copy { revision: state.revision, items: state.items.clone(), leases }
    }

    /// Goes back to a copy, as after a drill. Revisions are given out again.
    pub fn go_back(&self, copy: Copy) {
        let mut state = self.state.lock().unwrap();
        state.history.retain(|(revision, ..)| *revision <= copy.revision);
        let until = |ttl: Duration| Lease { ttl, until: Instant::now() + ttl };
        state.leases = copy.leases.into_iter().map(|(id, ttl)| (id, until(ttl))).collect();
        (state.revision, state.items) = (copy.revision, copy.items);
        self.era.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the keys that begin with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state.items.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.write(key, Some((value.as_bytes().to_vec(), 0)));
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        if state.items.contains_key(key) {
            state.revision += 1;
            state.write(key, None);
        }
    }

    fn serve(&self, stream: TcpStream, names: &Names) {
        let mut conn = Conn::new(stream);
        while let Ok(Some(req)) = conn.read_message() {
            self.calls.fetch_add(1, Ordering::Relaxed);
            let (status, body) = match self.busy.load(Ordering::Relaxed) {
                true => ("503 Service Unavailable", "{}".to_owned()),
                false => self.answer(&req, names),
            };
            let era = self.era.load(Ordering::Relaxed).to_string();
            let fields = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
            if respond(&mut conn.stream, status, &fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message, names: &Names) -> (&'static str, String) {
        let (path, query) = req.target().split_once('?').unwrap_or((req.target(), ""));
        let param = |name: &str| {
            let of_name = |p: &str| p.split_once('=').filter(|(n, _)| *n == name).map(|(_, v)| url_decoded(v));
            query.split('&').find_map(of_name).unwrap_or_default()
        };
        let body = parse_json(&req.body);
        match (req.method(), path) {
            ("GET", "/api/kv-key") => {
                let mut state = self.state.lock().unwrap();
                state.expire();
                match state.items.get(&param("key")) {
                    Some(item) => ("200 OK", item_json(&param("key"), item, Some(state.revision), names)),
                    None => ("404 Not Found", format!("{{\"currentRev\":{}}}", state.revision)),
                }
            }
            ("GET", "/api/kv-range") => {
                let mut state = self.state.lock().unwrap();
                state.expire();
                let (prefix, after) = (param("pathPrefix"), param("after"));
                let rows = state.items.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let rows: Vec<String> = rows.map(|(k, i)| item_json(k, i, None, names)).collect();
                let has_more = rows.len() > 500;
                let rows = rows[..rows.len().min(500)].join(",");
                let rev = state.revision;
                ("200 OK", format!("{{\"items\":[{rows}],\"hasMore\":{has_more},\"currentRev\":{rev}}}"))
            }
            ("GET", "/api/kv-watch") => self.watch(&param("pathPrefix"), &param("after"), &param("waitMs"), names),
            ("POST", "/api/kv-txn") => self.txn(&body, names),
            ("POST", "/api/kv-lease") => {
                let mut state = self.state.lock().unwrap();
                let ttl = Duration::from_secs_f64(body.get("ttlS_time").number().clamp(1.0, 600.0));
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, Lease { ttl, until: Instant::now() + ttl });
                ("200 OK", format!("{{\"lease\":{lease},\"ttlS_time\":{}}}", ttl.as_secs_f64()))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let mut state = self.state.lock().unwrap();
                state.expire();
                let id = path["/api/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.until = Instant::now() + lease.ttl;
                        ("200 OK", format!("{{\"ttlS_time\":{}}}", lease.ttl.as_secs_f64()))
                    }
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let mut state = self.state.lock().unwrap();
                state.expire();
                let id = path["/api/kv-lease-end/".len()..].parse().unwrap_or(0);
                match state.end_lease(id) {
                    true => ("200 OK", "{}".to_owned()),
                    false => ("404 Not Found", "{}".to_owned()),
                }
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn watch(&self, prefix: &str, after: &str, wait_ms: &str, names: &Names) -> (&'static str, String) {
        let after: u64 = after.parse().unwrap_or(0);
        let wait = Duration::from_millis(wait_ms.parse::<u64>().unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        loop {
            let mut state = self.state.lock().unwrap();
            state.expire();
            if after < 100 || after > state.revision {
                return ("410 Gone", "{}".to_owned());
            }
            let rows = state.history.iter().filter(|(rev, k, _)| *rev > after && k.starts_with(prefix));
            let rows: Vec<String> = rows
                .map(|(rev, key, item)| match item {
                    Some(item) => item_json(key, item, None, names),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{rev},\"deleted\":true}}"),
                })
                .collect();
            if !rows.is_empty() || Instant::now() >= until {
                let (rows, rev) = (rows.join(","), state.revision);
                return ("200 OK", format!("{{\"events\":[{rows}],\"currentRev\":{rev}}}"));
            }
            drop(state);
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn txn(&self, body: &Json, names: &Names) -> (&'static str, String) {
        let mut state = self.state.lock().unwrap();
        state.expire();
        let is_reserved = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        let keys = body.get("puts").list().iter().map(|p| p.get("key").text());
        if keys.chain(body.get("remove").list().iter().map(Json::text)).any(is_reserved) {
            return ("403 Forbidden", "{}".to_owned());
        }
        let holds = body.get("expected").list().iter().all(|row| {
            let known = state.items.get(row.get("key").text()).map_or(0, |i| i.revision);
            known == row.get("revision").number() as u64
        });
        if !holds {
            let rows = body.get("expected").list().iter().filter_map(|row| {
                let key = row.get("key").text();
                state.items.get(key).map(|i| item_json(key, i, None, names))
            });
            return ("412 Precondition Failed", format!("{{\"items\":[{}]}}", rows.collect::<Vec<_>>().join(",")));
        }
        let lease_of = |put: &Json| put.get("lease").number() as u64;
        let has_lease = |put: &Json| lease_of(put) == 0 || state.leases.contains_key(&lease_of(put));
        if !body.get("puts").list().iter().all(has_lease) {
            return ("404 Not Found", "{}".to_owned());
        }
        state.revision += 1;
        for put in body.get("puts").list() {
            let value = from_base64(put.get("value").text());
            state.write(put.get("key").text(), Some((value, lease_of(put))));
        }
        for key in body.get("remove").list() {
            state.write(key.text(), None);
        }
        ("200 OK", format!("{{\"revision\":{}}}", state.revision))
    }
}

fn item_json(key: &str, item: &Item, current_rev: Option<u64>, names: &Names) -> String {
    let current = current_rev.map_or(String::new(), |r| format!(",\"currentRev\":{r}"));
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createRev\":{},\"lease\":{}{current}}}",
        base64(&replace(names, &item.value)),
        item.revision,
        item.create_rev,
        item.lease
    )
}

fn url_decoded(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'%' => {
                let hex = text.get(at + 1..at + 3).and_then(|h| u8::from_str_radix(h, 16).ok());
                out.push(hex.unwrap_or(b'%'));
                at += if hex.is_some() { 3 } else { 1 };
            }
            b'+' => {
                out.push(b' ');
                at += 1;
            }
            b => {
                out.push(b);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---------------------------------------------------------------- targets

/// What a target knows while it handles a request.
pub struct TargetInfo {
    pub id: String,
    pub service: String,
    pub slots: u32,
    pub running: AtomicU64,
    pub leaving: AtomicBool,
}

impl TargetInfo {
    /// Returns the value of `X-Instance-Load`.
    pub fn load(&self) -> String {
        let running = self.running.load(Ordering::Relaxed);
        let slots = u64::from(self.slots);
        format!("{},{},{slots},100", running.min(slots), running.saturating_sub(slots))
    }
}

/// Handles a request that the target runs. Returns whether the connection stays open.
pub type Handler = dyn Fn(&TargetInfo, &Message, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// A target that registers itself in the store and renews its entry.
pub struct Target {
    pub info: Arc<TargetInfo>,
    pub address: SocketAddr,
    beating: Arc<AtomicBool>,
}

pub const HEALTH_PATH: &str = "/health";
const BEAT: Duration = Duration::from_millis(1_500);

impl Target {
    pub fn start(
        store: &Store,
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        handler: Arc<Handler>,
    ) -> Target {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let info = Arc::new(TargetInfo {
            id: id.to_owned(),
            service: service.to_owned(),
            slots,
            running: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
        });
        let beating = Arc::new(AtomicBool::new(true));
        let (served, beat_info, beat_store, beat_on) =
            (info.clone(), info.clone(), store.clone(), beating.clone());
        let zone = zone.to_owned();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (info, handler) = (served.clone(), handler.clone());
                thread::spawn(move || serve_target(&info, stream, &handler));
            }
        });
        thread::spawn(move || {
            let info = beat_info;
            let mut sequence = 0;
            while beat_on.load(Ordering::Relaxed) {
                sequence += 1;
                let state = if info.leaving.load(Ordering::Relaxed) { "draining" } else { "ready" };
                let entry = format!(
                    "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
                     \"slots\":{},\"state\":\"{state}\",\"coldRemainingS\":0,\"sequence\":{sequence}}}",
                    info.service, info.slots
                );
                beat_store.put(&format!("servers/{}", info.id), &entry);
                thread::sleep(BEAT);
            }
        });
        Target { info, address, beating }
    }

    pub fn stop_beating(&self) {
        self.beating.store(false, Ordering::Relaxed);
    }
}

fn serve_target(info: &TargetInfo, stream: TcpStream, handler: &Arc<Handler>) {
    let mut conn = Conn::new(stream);
    while let Ok(Some(req)) = conn.read_message() {
        let load = info.load();
        let served = if req.target() == HEALTH_PATH {
            let fields = [("X-Instance-Id", info.id.as_str()), ("X-Instance-Load", &load)];
            respond(&mut conn.stream, "200 OK", &fields, b"").map(|()| true)
        } else if req.field("x-expect-instance").is_some_and(|id| id != info.id) {
            let fields = [("X-Instance-Id", info.id.as_str()), ("X-Instance-Load", &load)];
            respond(&mut conn.stream, "421 Misdirected Request", &fields, b"").map(|()| true)
        } else {
            info.running.fetch_add(1, Ordering::Relaxed);
            let served = handler(info, &req, &mut conn.stream);
            info.running.fetch_sub(1, Ordering::Relaxed);
            served
        };
        if !served.unwrap_or(false) {
            return;
        }
    }
}

/// Writes the answer of a sound target.
pub fn answer(
    info: &TargetInfo,
    req: &Message,
    out: &mut TcpStream,
    body: &[u8],
) -> io::Result<bool> {
    let id = req.field("x-attempt-id").unwrap_or("");
    let load = info.load();
    let fields = [
        ("X-Attempt-Id", id),
        ("X-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
        ("X-Instance-Load", &load),
    ];
    respond(out, "200 OK", &fields, body).map(|()| true)
}

// ---------------------------------------------------------------- daemons

/// Returns an address on `ip` with a port that is free now.
pub fn free_address(ip: Ipv4Addr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("bound")
}

/// Returns a port that is free on all of `ips` now.
pub fn common_port(ips: &[Ipv4Addr]) -> u16 {
    loop {
        let port = free_address(ips[0]).port();
        if ips.iter().all(|ip| TcpListener::bind((*ip, port)).is_ok()) {
            return port;
        }
    }
}

/// A folder for the settings files and logs of a case.
pub fn temporary_folder(case: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("cornelferry-{case}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}

/// A daemon that the case started.
pub struct Daemon {
    pub name: String,
    pub caller: SocketAddr,
    pub admin: SocketAddr,
    pub folder: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What the settings of one host say.
pub struct HostSettings {
    pub name: String,
    pub ip: Ipv4Addr,
    pub peer_port: u16,
    pub relay_port: u16,
    pub seeds: Vec<String>,
    pub store: SocketAddr,
}

/// Returns loopback addresses for a run, which end with the numbers from 1 on.
pub fn host_addresses(count: u8) -> Vec<Ipv4Addr> {
    let run = 10 + (std::process::id() % 200) as u8;
    (1..=count).map(|i| Ipv4Addr::new(127, 77, run, i)).collect()
}

impl Daemon {
    /// Starts the daemons of a fleet, each on a loopback address of its own.
    pub fn start_fleet(folder: &Path, store: &Store, hosts: u8, extra_limits: &str) -> Vec<Daemon> {
        let ips = host_addresses(hosts);
        let (relay_port, peer_port) = (common_port(&ips), common_port(&ips));
        let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("{ip}:{peer_port}")).collect();
        let start = |(i, ip): (usize, &Ipv4Addr)| {
            let settings = HostSettings {
                name: format!("edge-a-{}", i + 1),
                ip: *ip,
                peer_port,
                relay_port,
                seeds: seeds.clone(),
                store: store.address,
            };
            Daemon::start(folder, settings, extra_limits)
        };
        ips.iter().enumerate().map(start).collect()
    }

    /// Starts a daemon with its settings file in a folder of its own.
    pub fn start(folder: &Path, settings: HostSettings, extra_limits: &str) -> Daemon {
        let HostSettings { name, ip, peer_port, relay_port, seeds, store } = settings;
        let (caller, admin, metrics) = (free_address(ip), free_address(ip), free_address(ip));
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let text = format!(
            "{{\"host\":\"{name}\",\"data_centre\":\"zone-a\",\"caller\":\"{caller}\",\
             \"admin\":\"{admin}\",\"peer\":\"{ip}:{peer_port}\",\"metrics\":\"{metrics}\",\
             \"relay_port\":{relay_port},\"link_mbps\":1000.0,\"prefer_open_connections\":true,\
             \"stop_s\":6,\"seeds\":[{}],\"limits\":{{{extra_limits}\"events\":512}},\
             \"registry\":{{\"retry_share\":0.2,\"retry_slack\":62,\"retry_window_s\":10,\
             \"probes_per_second\":60,\"apply_s\":2,\"address\":\"{store}\"}}}}",
            seeds.join(",")
        );
        let own = folder.join(&name);
        fs::create_dir_all(&own).expect("a folder of its own");
        let (settings, log) = (own.join("boot.json"), own.join("log"));
        fs::write(&settings, text).expect("settings can be written");
        let child = spawn(&settings, &log);
        Daemon { name, caller, admin, folder: own, settings, log, child }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn exit_status(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|s| s.to_string())
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn restart(&mut self) {
        self.child = spawn(&self.settings, &self.log);
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &pid]).status();
    }

    /// Waits until the host says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let status = TcpStream::connect(self.admin).and_then(|stream| {
                stream.set_read_timeout(Some(Duration::from_secs(1)))?;
                let mut conn = Conn::new(stream);
                conn.stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")?;
                Ok(conn.read_response("GET")?.status())
            });
            if matches!(status, Ok(200)) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns a value of /proc/PID/status in kB, such as `VmHWM`.
    pub fn memory_kb(&self, field: &str) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text.lines().find(|l| l.starts_with(field));
        line.and_then(|l| l.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let log = fs::OpenOptions::new().create(true).append(true).open(log).expect("a log file");
    let errors = log.try_clone().expect("a log file");
    Command::new("target/release/cornelferryd")
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("target/release/cornelferryd can be started")
}

// ---------------------------------------------------------------- consumers

/// Connects to a host as a consumer, with a limit on each read.
pub fn consumer(address: SocketAddr, limit: Duration) -> io::Result<Conn> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    Ok(Conn::new(stream))
}

/// A short text for a response or what came instead of it.
pub fn outcome(result: &io::Result<Message>) -> String {
    match result {
        Ok(res) => format!("{} ({} bytes)", res.status(), res.body.len()),
        Err(e) => format!("no answer: {e}"),
    }
}
