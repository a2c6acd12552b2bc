//! Requests to every entry host of a fleet.

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

/// Maximum number of requests in flight at the same time.
const CONCURRENT_REQUESTS: usize = 32;

/// An entry host that gave no usable response.
#[derive(Clone, Debug, Display, Serialize)]
#[display("no answer from {name}: {reason}")]
pub(crate) struct UnreachableHost {
    /// Its name in the host list, or its admin address.
    pub(crate) name: String,
    pub(crate) admin: SocketAddr,
    /// Whether it has the state `leaving` in the host list.
    pub(crate) leaving: bool,
    /// Why there is no response.
    pub(crate) reason: String,
}

/// The responses of a fleet.
#[derive(Debug)]
pub(crate) struct FleetResponses<T> {
    /// The responses, in the order of the hosts.
    pub(crate) responses: Vec<T>,
    /// The hosts that gave none.
    pub(crate) unreachable: Vec<UnreachableHost>,
}

/// An entry host and its admin address.
#[derive(Clone, Debug)]
pub(crate) struct EntryHost {
    name: String,
    admin: SocketAddr,
    leaving: bool,
}

/// Maximum number of hosts that an announcement is sent to. The others get it from their peers.
const ANNOUNCE_FANOUT: usize = 8;

/// Gets a JSON document from every host that the arguments name.
///
/// # Errors
///
/// Returns [`Code::Unreachable`] if the host list can't be read or no host responds;
/// [`Code::Invalid`] if the arguments name no host.
pub(crate) async fn get_from_all<T: DeserializeOwned>(
    args: &FleetArgs,
    path_and_query: &str,
) -> Result<FleetResponses<T>, Error> {
    get_from(hosts(args).await?, path_and_query).await
}

/// Gets a JSON document from each of the given hosts.
///
/// # Errors
///
/// Returns [`Code::Unreachable`] if no host responds.
pub(crate) async fn get_from<T: DeserializeOwned>(
    hosts: Vec<EntryHost>,
    path_and_query: &str,
) -> Result<FleetResponses<T>, Error> {
    let total = hosts.len();
    let requests = hosts.into_iter().map(|host| get_from_one(host, path_and_query));
    let results = with_progress(requests, total).await;
    let mut fleet = FleetResponses { responses: Vec::new(), unreachable: Vec::new() };
    for result in results {
        match result {
            Ok(response) => fleet.responses.push(response),
            Err(host) => fleet.unreachable.push(host),
        }
    }
    if fleet.responses.is_empty() {
        let lines: Vec<String> = fleet.unreachable.iter().map(|h| format!("\n  {h}")).collect();
        let detail = format!("none of {total} hosts responded{}", lines.concat());
        return Err(Error::new(Code::Unreachable, detail));
    }
    Ok(fleet)
}

/// Posts a JSON document to at most [`ANNOUNCE_FANOUT`] live hosts, spread evenly over the list.
/// Failures are only logged.
pub(crate) async fn announce(hosts: &[EntryHost], path: &str, body: &str) {
    let live: Vec<&EntryHost> = hosts.iter().filter(|h| !h.leaving).collect();
    let chosen = live.iter().step_by(live.len().div_ceil(ANNOUNCE_FANOUT).max(1));
    let requests = chosen.map(|host| fetch::post(host.admin, path, body.to_owned()));
    for failed in
        futures_util::future::join_all(requests).await.iter().filter_map(|r| r.as_ref().err())
    {
        log::debug!("announcement: {failed}");
    }
}

/// Returns the entry hosts that the arguments name directly or by the platform's host list, sorted
/// by admin address and without duplicates.
///
/// # Errors
///
/// Returns [`Code::Unreachable`] if the host list can't be read; [`Code::Invalid`] if there is no
/// host.
pub(crate) async fn hosts(args: &FleetArgs) -> Result<Vec<EntryHost>, Error> {
    let given = args.admin.iter().map(|admin| EntryHost {
        name: admin.to_string(),
        admin: *admin,
        leaving: false,
    });
    let mut out: Vec<EntryHost> = given.collect();
    if let Some(address) = args.host_list {
        let list: HostList = fetch::json(address, "/hosts").await?;
        out.extend(list.hosts.iter().filter(|h| h.role == Role::Entry).filter_map(entry_host));
    }
    out.sort_by_key(|h| h.admin);
    out.dedup_by_key(|h| h.admin);
    if out.is_empty() {
        let detail = "no entry host is given; use --admin ADDR or --host-list ADDR";
        return Err(Error::new(Code::Invalid, detail));
    }
    Ok(out)
}

/// Returns a listed host with its admin address, if it has one.
fn entry_host(host: &Host) -> Option<EntryHost> {
    let leaving = host.state == State::Leaving;
    Some(EntryHost { name: host.name.to_string(), admin: host.admin?, leaving })
}

async fn get_from_one<T: DeserializeOwned>(
    host: EntryHost,
    path: &str,
) -> Result<T, UnreachableHost> {
    let EntryHost { name, admin, leaving } = host;
    fetch::json(admin, path).await.map_err(|e| UnreachableHost {
        name,
        admin,
        leaving,
        reason: e.detail,
    })
}

/// Awaits all requests and returns their results in order. A line on a terminal shows the progress.
async fn with_progress<F: Future>(
    requests: impl Iterator<Item = F>,
    total: usize,
) -> Vec<F::Output> {
    let mut results = stream::iter(requests).buffered(CONCURRENT_REQUESTS);
    let mut out = Vec::with_capacity(total);
    let mut progress = Progress::new();
    progress.show(&format!("0 of {total} hosts queried"));
    while let Some(result) = results.next().await {
        out.push(result);
        progress.show(&format!("{} of {total} hosts queried", out.len()));
    }
    out
}

/// A progress line on standard error, which is erased when the value is dropped. Nothing is written
/// if standard error is not a terminal.
#[derive(Debug)]
pub(crate) struct Progress {
    is_terminal: bool,
}

impl Progress {
    /// Creates an empty progress line.
    pub(crate) fn new() -> Progress {
        Progress { is_terminal: std::io::stderr().is_terminal() }
    }

    /// Replaces the text of the line.
    pub(crate) fn show(&mut self, text: &str) {
        if self.is_terminal {
            let _ = write!(std::io::stderr(), "\r\x1b[K{text}");
        }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.show("");
    }
}
