//! Records a trace: runs stand-ins and callers against a daemon, and provokes faults.
//!
//! It writes the settings of the daemon first, and waits for somebody to start it with them;
//! `scripts/record-traces` does.

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

mod load;
mod scenario;
#[path = "../standin/mod.rs"]
mod standin;
mod tap;

use scenario::{Change, Scenario, Size};
use standin::platform::{Faults, Platform};
use standin::upstream::{Behaviour, Fault, Upstream};
use tap::Tap;

/// Requests of a run.
const REQUESTS: usize = 260;
/// Time that upstreams get to run what is left once every caller has its answer.
const SETTLING: Duration = Duration::from_millis(500);
/// How often the daemon's readiness is asked for, and the time between two asks.
const READY_ASKS: usize = 600;
const READY_PAUSE: Duration = Duration::from_millis(50);

/// Records a trace of a daemon that somebody starts with the settings written here.
#[derive(Debug, Parser)]
struct Args {
    /// The run
    scenario: Scenario,
    /// Where to write the daemon's settings
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Where to write the trace
    #[arg(long, value_name = "FILE")]
    out: PathBuf,
}

/// What surrounds the daemon.
struct Scene {
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
    let scene = Scene::set(args.scenario, size).await?;
    std::fs::write(&args.settings, scene.settings(size).to_string())?;
    scene.ready().await?;
    let tap = Tap::open(scene.admin).await?;
    let calls = tokio::spawn(load::run(scene.caller, REQUESTS, size.gap));
    scene.play(args.scenario, &tap, &args.settings).await?;
    let told = calls.await?;
    tap.until_answered(REQUESTS).await?;
    tokio::time::sleep(SETTLING).await;
    scene.runs().for_each(|entry| tap.add(entry));
    println!("{:?}: {} of {REQUESTS} callers were told", args.scenario, told.len());
    told.into_iter().for_each(|entry| tap.add(entry));
    tap.write(&args.out)
}

impl Scene {
    async fn set(scenario: Scenario, size: Size) -> Result<Scene> {
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
        Ok(Scene { upstreams, platform, service: size.service, caller, admin })
    }

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

    async fn ready(&self) -> Result<()> {
        let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
        let uri: http::Uri = format!("http://{}/readyz", self.admin).parse()?;
        for _ in 0..READY_ASKS {
            if client.get(uri.clone()).await.is_ok_and(|res| res.status().is_success()) {
                return Ok(());
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
        ensure!(false, "the daemon at {} is not ready", self.admin);
        Ok(())
    }

    /// Provokes the faults of a run.
    async fn play(&self, scenario: Scenario, tap: &Tap, settings: &Path) -> Result<()> {
        let start = tokio::time::Instant::now();
        for step in scenario.steps() {
            tokio::time::sleep_until(start + step.at).await;
            tap.add(Entry::Fault { what: format!("{:?}", step.change) });
            if let Change::Drain(i) = step.change {
                let (service, upstream) = (self.service.into(), format!("u{i}").into());
                tap.add(Entry::DrainStarted { service, upstream });
            }
            self.change(step.change, settings).await?;
        }
        Ok(())
    }

    async fn change(&self, change: Change, settings: &Path) -> Result<()> {
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
            Change::DownAfterWrite => self.fault(|f| f.down_after_write = true),
            Change::Up => self.fault(|f| *f = Faults::default()),
            Change::LoseAnswers(count) => self.fault(|f| f.lose_answers = count),
            Change::Publish(expect) => self.publish(expect, settings).await?,
        }
        Ok(())
    }

    fn fault(&self, change: impl FnOnce(&mut Faults)) {
        if let Some(platform) = &self.platform {
            platform.with_faults(change);
        }
    }

    /// Publishes the profile as operators do.
    async fn publish(&self, expect: u64, settings: &Path) -> Result<()> {
        let Some(platform) = &self.platform else { return Ok(()) };
        let file = settings.with_extension("profile");
        std::fs::write(&file, profile(expect + 1).to_string())?;
        let (address, expect) = (platform.address.to_string(), expect.to_string());
        let admin = self.admin.to_string();
        let file = file.display().to_string();
        let line = ["cornelferry", "profile", "publish", &file, "--expect", &expect];
        let line = line.iter().copied().chain(["--author", "operator", "--platform", &address]);
        let line = line.chain(["--admin", &admin]);
        let args = ToolArgs::parse_from(line);
        tokio::task::spawn_blocking(|| cornelferry::tool::run(args)).await?
    }

    /// Returns how often each upstream ran each request.
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

/// Returns the profile of a run; each version has another wait.
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

fn free_address() -> Result<SocketAddr> {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    Ok(listener.local_addr()?)
}
