//! `cornelferry profile` and `cornelferry service`: the commands on records.

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
use crate::tool::{document, fleet, rollout, table};

/// Maximum rate of the tool's calls to the key-value service, per second.
const CALLS_PER_SECOND: f64 = 20.0;
/// Time after which a publication that has not succeeded is given up.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs one command on records of a kind.
///
/// # Errors
///
/// Returns an [`Error`] with the result code, which decides the exit status.
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
        let detail = "no key-value service is given; use --platform ADDR or CORNELFERRY_PLATFORM";
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

/// The kind of record, the client and the output format that all commands use.
struct Context {
    kind: RecordKind,
    client: Client,
    json: bool,
}

/// A record or a version of one, as `list` and `history` print it.
#[derive(Serialize)]
struct RecordRow {
    name: Arc<str>,
    version: Option<u64>,
    author: Option<Arc<str>>,
    change: Option<Arc<str>>,
    /// `stored`, `deleted` or `unreadable`.
    state: &'static str,
}

impl From<StoredRecord> for RecordRow {
    fn from(stored: StoredRecord) -> RecordRow {
        match stored {
            StoredRecord::Readable(Record { name, version, change, author, body, .. }) => {
                let deleted = matches!(body, Body::Deleted(_));
                let state = if deleted { "deleted" } else { "stored" };
                let (author, change) = (Some(author), Some(change));
                RecordRow { name, version: Some(version), author, change, state }
            }
            StoredRecord::Unreadable(unreadable) => {
                let (author, change) = (None, None);
                RecordRow {
                    name: unreadable.name,
                    version: unreadable.version,
                    author,
                    change,
                    state: "unreadable",
                }
            }
        }
    }
}

impl Context {
    async fn list(&self) -> Result<()> {
        let range = self.client.keys.records_of(self.kind);
        let loaded = self.client.read_range(range).await.map_err(kv_error)?;
        let records = loaded.entries.iter().filter_map(|e| {
            let (kind, name) = self.client.keys.parse(&e.key)?;
            Some(stored::read(kind, name, &e.value))
        });
        self.print_rows(records.map(RecordRow::from).collect())
    }

    async fn history(&self, name: &str) -> Result<()> {
        let versions = publish::history(&self.client, self.kind, name).await;
        let versions = versions.map_err(kv_error)?;
        if versions.is_empty() {
            return Err(self.not_found(name).into());
        }
        self.print_rows(versions.into_iter().rev().map(RecordRow::from).collect())
    }

    async fn get(&self, name: &str) -> Result<()> {
        let record = self.read(name).await?.ok_or_else(|| self.not_found(name))?;
        if self.json {
            println!("{}", serde_json::to_string_pretty(&record)?);
            return Ok(());
        }
        let Record { version, author, change, body, .. } = &record;
        if matches!(body, Body::Deleted(_)) {
            return Err(self.not_found(name).into());
        }
        eprintln!("version {version} by {author}, change {change}");
        print!("{}", document::text(body));
        Ok(())
    }

    async fn diff(&self, document: &document::Document) -> Result<()> {
        let current = self.read(&document.name).await?;
        let (label, old) = match &current {
            Some(r) => (format!("version {}", r.version), document::text(&r.body)),
            None => ("absent".to_owned(), String::new()),
        };
        let diff = document::diff((&label, &old), ("file", &document::text(&document.body)));
        if self.json {
            let version = current.map(|r| r.version);
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
        let hosts = or_warn(fleet::hosts(fleet).await);
        let in_force = match hosts.is_empty() {
            true => None,
            false => or_warn(rollout::newest_in_force(&hosts, self.kind, &name).await),
        };
        let change = publish.change.clone().unwrap_or_else(random_change_id);
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
        let record = publish::publish(&self.client, &draft, PUBLISH_TIMEOUT, rng).await?;
        self.print_published(&record)?;
        rollout::announce(&hosts, &record).await;
        if publish.wait {
            let hosts = rollout::wait(fleet, hosts, &record, publish.timeout).await?;
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

    /// Reads the newest version of a record.
    async fn read(&self, name: &str) -> Result<Option<Record>, Error> {
        let key = self.client.keys.record(self.kind, name);
        let entry = self.client.get(key).await.map_err(kv_error)?;
        match entry.map(|e| stored::read(self.kind, name, &e.value)) {
            None => Ok(None),
            Some(StoredRecord::Readable(record)) => Ok(Some(record)),
            Some(StoredRecord::Unreadable(_)) => {
                let detail = format!("{} {name:?} can't be read by this release", self.kind);
                Err(Error::new(Code::Invalid, detail))
            }
        }
    }

    fn not_found(&self, name: &str) -> Error {
        Error::new(Code::NoRecord, format!("{} {name:?}", self.kind))
    }

    /// Prints a table of records, or a JSON array.
    fn print_rows(&self, rows: Vec<RecordRow>) -> Result<()> {
        if self.json {
            println!("{}", serde_json::to_string_pretty(&rows)?);
            return Ok(());
        }
        let mut out = table::with_header(&["NAME", "VERSION", "AUTHOR", "CHANGE", "STATE"]);
        for row in &rows {
            let version = row.version.map_or_else(|| "?".to_owned(), |v| v.to_string());
            let author = row.author.as_deref().unwrap_or("?");
            let change = row.change.as_deref().unwrap_or("?");
            out.add_row([&*row.name, &version, author, change, row.state]);
        }
        println!("{out}");
        Ok(())
    }
}

/// Returns a result, or its default after a warning on standard error. A publication goes on if no
/// host can be asked which versions are in force.
fn or_warn<T: Default>(result: Result<T, Error>) -> T {
    result.unwrap_or_else(|e| {
        eprintln!("warning: the versions in force on the entry hosts are unknown: {e}");
        T::default()
    })
}

#[allow(clippy::needless_pass_by_value, reason = "an argument of map_err")]
fn kv_error(error: CallError) -> Error {
    Error::new(Code::Unreachable, format!("key-value service: {error}"))
}

fn random_change_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}
