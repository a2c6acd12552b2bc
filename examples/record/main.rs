//! Records a trace: runs stand-ins and callers against a daemon, and injects faults.
//!
//! The program first writes the daemon's settings and then waits until a daemon that uses them is
//! ready. `scripts/record-traces` starts that daemon.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Result, ensure};
use bytes::Bytes;
use clap::Parser;
use cornelferry::cli::ToolArgs;
use cornelferry::trace::Entry;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

mod capture;
mod load;
mod scenario;
#[path = "../standin/mod.rs"]
mod standin;

use capture::TraceCapture;
use scenario::{Change, Scenario, Size};
use standin::platform::{Faults, Platform};
use standin::upstream::{Behaviour, Fault, Upstream};

/// The number of requests of a run.
const REQUESTS: usize = 260;
/// Time that upstreams get to finish running requests after every caller has its response.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// The most checks of the daemon's readiness before the program gives up.
const READY_CHECKS: usize = 600;
/// Time between two checks of the daemon's readiness.
const READY_INTERVAL: Duration = Duration::from_millis(50);

/// Records a trace of a daemon that is started with the settings that this program writes.
#[derive(Debug, Parser)]
struct Args {
    /// The scenario to record
    scenario: Scenario,
    /// The file to write the daemon's settings to
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// The file to write the trace to
    #[arg(long, value_name = "FILE")]
    out: PathBuf,
}

/// The stand-ins around the daemon, and its addresses.
struct Environment {
    upstreams: Vec<Arc<Upstream>>,
    platform: Option<Arc<Platform>>,
    service: &'static str,
    caller: SocketAddr,
    admin: SocketAddr,
}

#[tokio::main]
async fn main() -> Result<()> {
    let args = Args::parse();
    let size = args.scenario.size();
    let environment = Environment::start(args.scenario, size).await?;
    std::fs::write(&args.settings, environment.settings(size).to_string())?;
    environment.wait_until_ready().await?;
    let trace = TraceCapture::open(environment.admin).await?;
    let callers = tokio::spawn(load::run(environment.caller, REQUESTS, size.request_interval));
    environment.run_steps(args.scenario, &trace, &args.settings).await?;
    let results = callers.await?;
    trace.wait_until_answered(REQUESTS).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    environment.runs().for_each(|entry| trace.add(entry));
    println!("{:?}: {} of {REQUESTS} callers were told", args.scenario, results.len());
    results.into_iter().for_each(|entry| trace.add(entry));
    trace.write(&args.out)
}

impl Environment {
    /// Starts the stand-ins of a scenario and chooses the daemon's addresses.
    async fn start(scenario: Scenario, size: Size) -> Result<Environment> {
        let local = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let behaviour = Behaviour { service_time: size.service_time, ..Behaviour::default() };
        let mut upstreams = Vec::new();
        for _ in 0..size.upstreams {
            upstreams.push(Upstream::start(local, size.slots, behaviour.clone()).await);
        }
        let platform = match scenario.has_platform() {
            true => Some(Platform::start(local).await),
            false => None,
        };
        let (caller, admin) = (free_address()?, free_address()?);
        Ok(Environment { upstreams, platform, service: size.service, caller, admin })
    }

    /// Returns the daemon's settings.
    fn settings(&self, size: Size) -> Value {
        let upstream = |(i, u): (usize, &Arc<Upstream>)| {
            let data_centre = ["palermo", "catania", "augusta"][i % 3];
            json!({"name": format!("u{i}"), "address": u.address, "data_centre": data_centre})
        };
        let upstreams: Vec<Value> = self.upstreams.iter().enumerate().map(upstream).collect();
        let mut settings = json!({
            "host": "entry-1", "data_centre": "palermo",
            "caller": self.caller, "admin": self.admin,
            "services": [{
                "name": size.service, "profile": "calls", "upstreams": upstreams,
                "slots": size.slots
            }],
            "profiles": [profile(0)],
        });
        if let Some(platform) = &self.platform {
            settings["platform"] = json!({"key_value": [platform.address]});
        }
        settings
    }

    /// Waits until the daemon reports that it is ready.
    async fn wait_until_ready(&self) -> Result<()> {
        let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
        let uri: http::Uri = format!("http://{}/readyz", self.admin).parse()?;
        for _ in 0..READY_CHECKS {
            if client.get(uri.clone()).await.is_ok_and(|res| res.status().is_success()) {
                return Ok(());
            }
            tokio::time::sleep(READY_INTERVAL).await;
        }
        ensure!(false, "the daemon at {} did not become ready", self.admin);
        Ok(())
    }

    /// Makes the changes of a scenario at their times, and adds an entry to the trace for each.
    async fn run_steps(
        &self,
        scenario: Scenario,
        trace: &TraceCapture,
        settings: &Path,
    ) -> Result<()> {
        let start = tokio::time::Instant::now();
        for step in scenario.steps() {
            tokio::time::sleep_until(start + step.at).await;
            trace.add(Entry::Fault { what: format!("{:?}", step.change) });
            if let Change::Drain(i) = step.change {
                let (service, upstream) = (self.service.into(), format!("u{i}").into());
                trace.add(Entry::DrainStarted { service, upstream });
            }
            self.apply(step.change, settings).await?;
        }
        Ok(())
    }

    async fn apply(&self, change: Change, settings: &Path) -> Result<()> {
        match change {
            Change::Slow(i, times) => self.upstreams[i].behaviour.lock().slowdown = times,
            Change::Drain(i) => self.upstreams[i].behaviour.lock().draining = true,
            Change::FailWith(i, status) => {
                self.upstreams[i].behaviour.lock().fail_status = Some(status);
            }
            Change::Silence(every) => {
                self.upstreams.iter().step_by(every).for_each(|u| u.silence_connections());
            }
            Change::CloseAfterRun(i) => self.upstreams[i].set_fault(Some(Fault::CloseAfterRun)),
            Change::CutBody(i) => self.upstreams[i].set_fault(Some(Fault::CutBody)),
            Change::Mend(i) => self.upstreams[i].set_fault(None),
            Change::DownAfterWrite => self.with_faults(|f| f.down_after_write = true),
            Change::Up => self.with_faults(|f| *f = Faults::default()),
            Change::LoseAnswers(count) => self.with_faults(|f| f.lose_responses = count),
            Change::Publish(expect) => self.publish(expect, settings).await?,
        }
        Ok(())
    }

    /// Calls `change` on the platform's faults, if the scenario has a platform.
    fn with_faults(&self, change: impl FnOnce(&mut Faults)) {
        if let Some(platform) = &self.platform {
            platform.with_faults(change);
        }
    }

    /// Publishes the profile by the command-line tool's code, as operators do.
    async fn publish(&self, expect: u64, settings: &Path) -> Result<()> {
        let Some(platform) = &self.platform else { return Ok(()) };
        let file = settings.with_extension("profile");
        std::fs::write(&file, profile(expect + 1).to_string())?;
        let (address, expect) = (platform.address.to_string(), expect.to_string());
        let admin = self.admin.to_string();
        let file = file.display().to_string();
        let command_line = ["cornelferry", "profile", "publish", &file, "--expect", &expect];
        let command_line =
            command_line.iter().copied().chain(["--author", "operator", "--platform", &address]);
        let command_line = command_line.chain(["--admin", &admin]);
        let args = ToolArgs::parse_from(command_line);
        tokio::task::spawn_blocking(|| cornelferry::tool::run(args)).await?
    }

    /// Returns an entry for each request and upstream with the number of times that it ran there.
    fn runs(&self) -> impl Iterator<Item = Entry> {
        self.upstreams.iter().enumerate().flat_map(|(i, upstream)| {
            let mut ids = upstream.runs.lock().clone();
            ids.sort();
            let runs: Vec<Entry> = ids
                .chunk_by(|a, b| a == b)
                .map(|same| Entry::UpstreamRuns {
                    request: same[0].as_str().into(),
                    upstream: format!("u{i}").into(),
                    times: u32::try_from(same.len()).unwrap_or(u32::MAX),
                })
                .collect();
            runs
        })
    }
}

/// Returns the profile of a version. Versions differ in the longest wait.
fn profile(version: u64) -> Value {
    let wait_ms = 500 + version;
    json!({
        "name": "calls",
        "rules": [{
            "methods": ["GET"], "path": "/tides/*",
            "treatment": {
                "idempotent": true, "deadline_ms": 3_000, "wait_ms": wait_ms,
                "priority": "urgent", "hedge": true
            }
        }],
        "otherwise": {"idempotent": false, "deadline_ms": 4_000, "wait_ms": wait_ms}
    })
}

/// Returns a loopback address whose port is free at present.
fn free_address() -> Result<SocketAddr> {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    Ok(listener.local_addr()?)
}
