//! Asks every entry host of a fleet the same thing.

use std::future::Future;
use std::io::{IsTerminal, Write};
use std::net::SocketAddr;

use derive_more::Display;
use futures_util::{StreamExt, stream};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::cli::FleetArgs;
use crate::decide::hosts::{Host, HostList, Role};
use crate::decide::upstream::State;
use crate::error::{Code, Error};
use crate::tool::fetch;

/// Hosts that are asked at the same time.
const ASKED_AT_ONCE: usize = 32;

/// An entry host that gave no answer.
#[derive(Clone, Debug, Display, Serialize)]
#[display("no answer from {name}: {reason}")]
pub(crate) struct Silent {
    /// Its name in the host list, or its admin address.
    pub(crate) name: String,
    /// Its admin address.
    pub(crate) admin: SocketAddr,
    /// Whether the host list says that it is leaving.
    pub(crate) leaving: bool,
    /// Why there is no answer.
    pub(crate) reason: String,
}

/// The answers of a fleet.
#[derive(Debug)]
pub(crate) struct Answers<T> {
    /// The answers, in the order of the hosts asked.
    pub(crate) given: Vec<T>,
    /// The hosts that gave none.
    pub(crate) silent: Vec<Silent>,
}

/// An entry host to ask.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    name: String,
    admin: SocketAddr,
    leaving: bool,
}

/// Hosts that are told of something that they pass on among themselves.
const TOLD: usize = 8;

/// Gets a path's JSON document from every host.
///
/// # Errors
///
/// [`Code::Unreachable`] if the host list or every host gives no answer; [`Code::Invalid`] if the
/// arguments name no host.
pub(crate) async fn ask<T: DeserializeOwned>(
    args: &FleetArgs,
    path_and_query: &str,
) -> Result<Answers<T>, Error> {
    ask_hosts(hosts(args).await?, path_and_query).await
}

/// Gets a path's JSON document from every one of some hosts.
///
/// # Errors
///
/// [`Code::Unreachable`] if every host gives no answer.
pub(crate) async fn ask_hosts<T: DeserializeOwned>(
    hosts: Vec<Asked>,
    path_and_query: &str,
) -> Result<Answers<T>, Error> {
    let total = hosts.len();
    let asks = hosts.into_iter().map(|host| ask_one(host, path_and_query));
    let replies = with_progress(asks, total).await;
    let mut answers = Answers { given: Vec::new(), silent: Vec::new() };
    for reply in replies {
        match reply {
            Ok(answer) => answers.given.push(answer),
            Err(silent) => answers.silent.push(silent),
        }
    }
    if answers.given.is_empty() {
        let lines: Vec<String> = answers.silent.iter().map(|s| format!("\n  {s}")).collect();
        let detail = format!("none of {total} hosts answered{}", lines.concat());
        return Err(Error::new(Code::Unreachable, detail));
    }
    Ok(answers)
}

/// Sends a document to some of the live hosts, chosen evenly.
pub(crate) async fn tell(hosts: &[Asked], path: &str, body: &str) {
    let live: Vec<&Asked> = hosts.iter().filter(|h| !h.leaving).collect();
    let told = live.iter().step_by(live.len().div_ceil(TOLD).max(1));
    let sent = told.map(|host| fetch::post(host.admin, path, body.to_owned()));
    for failed in futures_util::future::join_all(sent).await.iter().filter_map(|r| r.as_ref().err())
    {
        log::debug!("{failed}");
    }
}

/// Returns the entry hosts that the arguments name.
///
/// # Errors
///
/// [`Code::Unreachable`] if the host list gives no answer; [`Code::Invalid`] if there is no host.
pub(crate) async fn hosts(args: &FleetArgs) -> Result<Vec<Asked>, Error> {
    let given = args.admin.iter().map(|admin| Asked {
        name: admin.to_string(),
        admin: *admin,
        leaving: false,
    });
    let mut out: Vec<Asked> = given.collect();
    if let Some(address) = args.host_list {
        let list: HostList = fetch::json(address, "/hosts").await?;
        out.extend(list.hosts.iter().filter(|h| h.role == Role::Entry).filter_map(asked));
    }
    out.sort_by_key(|h| h.admin);
    out.dedup_by_key(|h| h.admin);
    if out.is_empty() {
        let detail = "no host to ask: --admin ADDR or --host-list ADDR names them";
        return Err(Error::new(Code::Invalid, detail));
    }
    Ok(out)
}

fn asked(host: &Host) -> Option<Asked> {
    let leaving = host.state == State::Leaving;
    Some(Asked { name: host.name.to_string(), admin: host.admin?, leaving })
}

async fn ask_one<T: DeserializeOwned>(host: Asked, path: &str) -> Result<T, Silent> {
    let Asked { name, admin, leaving } = host;
    fetch::json(admin, path).await.map_err(|e| Silent { name, admin, leaving, reason: e.detail })
}

/// Awaits all, in order, with a line on a terminal that counts them.
async fn with_progress<F: Future>(asks: impl Iterator<Item = F>, total: usize) -> Vec<F::Output> {
    let mut replies = stream::iter(asks).buffered(ASKED_AT_ONCE);
    let mut out = Vec::with_capacity(total);
    let mut progress = Progress::new();
    progress.show(&format!("0 of {total} hosts answered"));
    while let Some(reply) = replies.next().await {
        out.push(reply);
        progress.show(&format!("{} of {total} hosts answered", out.len()));
    }
    out
}

/// A line on a terminal's standard error that is replaced as the work goes on.
#[derive(Debug)]
pub(crate) struct Progress {
    terminal: bool,
}

impl Progress {
    /// Makes a line that shows nothing yet, and never does if standard error is no terminal.
    pub(crate) fn new() -> Progress {
        Progress { terminal: std::io::stderr().is_terminal() }
    }

    /// Replaces the line.
    pub(crate) fn show(&mut self, text: &str) {
        if self.terminal {
            let _ = write!(std::io::stderr(), "\r\x1b[K{text}");
        }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.show("");
    }
}
