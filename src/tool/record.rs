//! The commands over profiles and services.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use serde::Serialize;

use crate::cli::{PlatformArgs, PublishArgs, RecordArgs, RecordCommand};
use crate::decide::catalog::{Body, Record, RecordKind};
use crate::decide::stored::{self, StoredRecord};
use crate::error::{Code, Error};
use crate::settings;
use crate::store::call::CallError;
use crate::store::client::Client;
use crate::tool::publish::{self, Draft};
use crate::tool::{document, fleet, spread, table};

/// Calls a second that the tool may make to the key-value service.
const CALLS_PER_SECOND: f64 = 20.0;
/// Time after which a publication whose result is not known is given up on.
const PATIENCE: Duration = Duration::from_secs(10);

/// Runs one command over records of a kind.
///
/// # Errors
///
/// An [`Error`] with the numbered result code.
pub(crate) async fn run(kind: RecordKind, args: &RecordArgs) -> Result<()> {
    let client = connect(&args.platform)?;
    let cx = Context { kind, client, json: args.platform.json };
    match &args.command {
        RecordCommand::List => cx.list().await,
        RecordCommand::Get { name } => cx.get(name).await,
        RecordCommand::History { name } => cx.history(name).await,
        RecordCommand::Diff { file } => cx.diff(&document::load(kind, file)?).await,
        RecordCommand::Publish { file, publish } => {
            let document = document::load(kind, file)?;
            cx.publish(document.name, document.body, args, publish).await
        }
        RecordCommand::Delete { name, publish } => {
            cx.publish(name.as_str().into(), Body::Deleted(kind), args, publish).await
        }
    }
}

fn connect(args: &PlatformArgs) -> Result<Client, Error> {
    if args.platform.is_empty() {
        let detail = "no key-value service: --platform ADDR or CORNELFERRY_PLATFORM names it";
        return Err(Error::new(Code::Invalid, detail));
    }
    let cfg = settings::Platform {
        key_value: args.platform.clone(),
        host_list: None,
        prefix: args.prefix.clone(),
        calls_per_second: CALLS_PER_SECOND,
        claims_per_second: 0.0,
    };
    Ok(Client::connect(&cfg, Box::new(|_| ())))
}

struct Context {
    kind: RecordKind,
    client: Client,
    json: bool,
}

/// A record as the tool prints it.
#[derive(Serialize)]
struct Line {
    name: Arc<str>,
    version: Option<u64>,
    author: Option<Arc<str>>,
    change: Option<Arc<str>>,
    state: &'static str,
}

impl From<StoredRecord> for Line {
    fn from(stored: StoredRecord) -> Line {
        match stored {
            StoredRecord::Readable(Record { name, version, change, author, body }) => {
                let deleted = matches!(body, Body::Deleted(_));
                let state = if deleted { "deleted" } else { "stored" };
                let (author, change) = (Some(author), Some(change));
                Line { name, version: Some(version), author, change, state }
            }
            StoredRecord::Unreadable(u) => {
                let (author, change) = (None, None);
                Line { name: u.name, version: u.version, author, change, state: "unreadable" }
            }
        }
    }
}

impl Context {
    async fn list(&self) -> Result<()> {
        let range = self.client.keys.records_of(self.kind);
        let loaded = self.client.read_range(range).await.map_err(unreachable)?;
        let read = loaded.entries.iter().filter_map(|e| {
            let (kind, name) = self.client.keys.parse(&e.key)?;
            Some(stored::read(kind, name, &e.value))
        });
        self.print_lines(read.map(Line::from).collect())
    }

    async fn history(&self, name: &str) -> Result<()> {
        let versions = publish::history(&self.client, self.kind, name).await;
        let versions = versions.map_err(unreachable)?;
        if versions.is_empty() {
            return Err(self.absent(name).into());
        }
        self.print_lines(versions.into_iter().rev().map(Line::from).collect())
    }

    async fn get(&self, name: &str) -> Result<()> {
        let record = self.held(name).await?.ok_or_else(|| self.absent(name))?;
        if self.json {
            println!("{}", serde_json::to_string_pretty(&record)?);
            return Ok(());
        }
        let Record { version, author, change, body, .. } = &record;
        if matches!(body, Body::Deleted(_)) {
            return Err(self.absent(name).into());
        }
        eprintln!("version {version} by {author}, change {change}");
        print!("{}", document::text(body));
        Ok(())
    }

    async fn diff(&self, document: &document::Document) -> Result<()> {
        let held = self.held(&document.name).await?;
        let (label, old) = match &held {
            Some(r) => (format!("version {}", r.version), document::text(&r.body)),
            None => ("absent".to_owned(), String::new()),
        };
        let diff = document::diff((&label, &old), ("file", &document::text(&document.body)));
        if self.json {
            let version = held.map(|r| r.version);
            println!("{}", serde_json::json!({ "version": version, "diff": diff }));
            return Ok(());
        }
        print!("{diff}");
        Ok(())
    }

    async fn publish(
        &self,
        name: Arc<str>,
        body: Body,
        args: &RecordArgs,
        publish: &PublishArgs,
    ) -> Result<()> {
        let fleet = &args.platform.fleet;
        let hosts = known(fleet::hosts(fleet).await);
        let in_force = match hosts.is_empty() {
            true => None,
            false => known(spread::newest(&hosts, self.kind, &name).await),
        };
        let change = publish.change.clone().unwrap_or_else(random_change);
        let draft = Draft {
            kind: self.kind,
            name,
            body,
            expect: publish.expect,
            change: change.into(),
            author: publish.author.as_str().into(),
            in_force,
        };
        let rng = &mut rand::rng();
        let record = publish::publish(&self.client, &draft, PATIENCE, rng).await?;
        self.print_published(&record)?;
        spread::announce(&hosts, &record).await;
        if publish.wait {
            let hosts = spread::wait(fleet, hosts, &record, publish.timeout).await?;
            eprintln!("in force on all {hosts} live hosts");
        }
        Ok(())
    }

    fn print_published(&self, record: &Record) -> Result<()> {
        if self.json {
            println!("{}", serde_json::to_string(record)?);
            return Ok(());
        }
        let Record { name, version, change, .. } = record;
        println!("{} {name:?} version {version}, change {change}", self.kind);
        Ok(())
    }

    async fn held(&self, name: &str) -> Result<Option<Record>, Error> {
        let key = self.client.keys.record(self.kind, name);
        let entry = self.client.get(key).await.map_err(unreachable)?;
        match entry.map(|e| stored::read(self.kind, name, &e.value)) {
            None => Ok(None),
            Some(StoredRecord::Readable(record)) => Ok(Some(record)),
            Some(StoredRecord::Unreadable(_)) => {
                let detail = format!("{} {name:?} can't be read by this release", self.kind);
                Err(Error::new(Code::Invalid, detail))
            }
        }
    }

    fn absent(&self, name: &str) -> Error {
        Error::new(Code::NoRecord, format!("{} {name:?}", self.kind))
    }

    fn print_lines(&self, lines: Vec<Line>) -> Result<()> {
        if self.json {
            println!("{}", serde_json::to_string_pretty(&lines)?);
            return Ok(());
        }
        let mut out = table::with_header(&["NAME", "VERSION", "AUTHOR", "CHANGE", "STATE"]);
        for line in &lines {
            let version = line.version.map_or_else(|| "?".to_owned(), |v| v.to_string());
            let author = line.author.as_deref().unwrap_or("?");
            let change = line.change.as_deref().unwrap_or("?");
            out.add_row([&*line.name, &version, author, change, line.state]);
        }
        println!("{out}");
        Ok(())
    }
}

/// Says on standard error that nothing is known of the hosts, if so.
fn known<T: Default>(asked: Result<T, Error>) -> T {
    asked.unwrap_or_else(|e| {
        eprintln!("what hosts have in force is not known: {e}");
        T::default()
    })
}

#[allow(clippy::needless_pass_by_value, reason = "an argument of map_err")]
fn unreachable(failure: CallError) -> Error {
    Error::new(Code::Unreachable, format!("key-value service: {failure}"))
}

fn random_change() -> String {
    format!("{:016x}", rand::random::<u64>())
}
