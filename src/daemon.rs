//! One daemon from start to exit.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use crate::entry::{admin, listener};
use crate::event::{EventCode, Subject};
use crate::forward::probe;
use crate::node::{Node, Phase};
use crate::settings::Settings;
use crate::{logs, peer, registry, store};

/// Time between two runs of the systems over the tables while requests wait.
const TICK: Duration = Duration::from_millis(10);
/// The same while none waits: that between two searches for an upstream to probe.
const IDLE_TICK: Duration = Duration::from_millis(50);
/// Time between two looks for a change of the settings file.
const SETTINGS_CHECK: Duration = Duration::from_secs(5);
/// Time between two looks for connections that have been idle for too long.
const EXPIRE: Duration = Duration::from_secs(1);

/// Runs a daemon until SIGTERM or SIGINT and the end of all requests in flight.
///
/// # Errors
///
/// If a listener can't be bound or served.
pub fn run(settings: Settings) -> Result<()> {
    start(settings, None)
}

/// Does the same with the settings of a file, which is read anew on SIGHUP and after a change.
///
/// # Errors
///
/// As [`run`], and if the file can't be read or has faults.
pub fn run_file(path: &Path) -> Result<()> {
    let settings = Settings::load(path)?;
    logs::init(&settings.host).context("logs")?;
    start(settings, Some(path.to_owned()))
}

fn start(settings: Settings, path: Option<PathBuf>) -> Result<()> {
    let caller = bind(settings.caller, "caller")?;
    let admin = bind(settings.admin, "admin")?;
    let peer = settings.peer.map(|a| bind(a, "peer")).transpose()?;
    let metrics = settings.metrics.map(|a| bind(a, "metrics")).transpose()?;
    let node = Node::new(settings);
    node.events.record(EventCode::Started, Subject::default(), None);
    spawn("admin", {
        let node = node.clone();
        move || admin::run(node, admin, metrics)
    })?;
    spawn("control", {
        let node = node.clone();
        move || control(node, peer, path)
    })?;
    listener::run(&node, caller)?;
    node.events.record(EventCode::Stopped, Subject::default(), None);
    Ok(())
}

fn spawn(name: &'static str, part: impl FnOnce() -> Result<()> + Send + 'static) -> Result<()> {
    let run = move || part().unwrap_or_else(|e| log::error!("{name}: {e:#}"));
    std::thread::Builder::new().name(name.to_owned()).spawn(run).context(name)?;
    Ok(())
}

fn bind(address: SocketAddr, name: &str) -> Result<TcpListener> {
    TcpListener::bind(address).with_context(|| format!("{name} address {address}"))
}

fn control(node: Arc<Node>, peer: Option<TcpListener>, path: Option<PathBuf>) -> Result<()> {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    local.block_on(&rt, async move {
        spawn_local(store::run(node.clone()));
        spawn_local(registry::run(node.clone()));
        if let Some(listener) = peer {
            let part = peer::run(node.clone(), listener);
            spawn_local(async { part.await.unwrap_or_else(|e| log::error!("peer: {e:#}")) });
        }
        spawn_local(tick(node.clone()));
        if node.settings.platform.is_none() && node.settings.registry.is_none() {
            node.enter(Phase::Ready);
            node.events.record(EventCode::Ready, Subject::default(), None);
        }
        let hangup = signal(SignalKind::hangup())?;
        if let Some(path) = path {
            spawn_local(reload(node.clone(), path, hangup));
        }
        stop_on_signal(node).await
    })
}

/// Reads the settings anew on SIGHUP, and when the file has changed without one.
async fn reload(node: Arc<Node>, path: PathBuf, mut hangup: Signal) {
    let modified = || std::fs::metadata(&path).and_then(|m| m.modified()).ok();
    let mut read = modified();
    loop {
        let signalled = tokio::time::timeout(SETTINGS_CHECK, hangup.recv()).await.is_ok();
        let found = modified();
        if !signalled && found == read {
            continue;
        }
        read = found;
        match Settings::load(&path) {
            Ok(settings) => node.reload(settings),
            Err(e) => {
                log::warn!("settings: {e}");
                node.events.record(EventCode::ReloadRejected, Subject::default(), None);
            }
        }
    }
}

async fn stop_on_signal(node: Arc<Node>) -> Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    node.enter(Phase::Draining);
    node.events.record(EventCode::Stopping, Subject::default(), None);
    sleep(Duration::from_millis(node.settings.limits.grace_ms)).await;
    node.enter(Phase::Stopping);
    std::future::pending().await
}

/// Runs the systems over the tables, sends probes, and hands out decisions.
async fn tick(node: Arc<Node>) {
    let mut rng = SmallRng::from_os_rng();
    let mut expired = node.clock.now();
    loop {
        if node.waiting.is_empty() {
            tokio::select! {
                () = sleep(IDLE_TICK) => {}
                () = node.waiting.queued() => sleep(TICK).await,
            }
        } else {
            sleep(TICK).await;
        }
        let now = node.clock.now();
        if now.since(expired) >= EXPIRE {
            node.pool.expire(now);
            expired = now;
        }
        node.update_members();
        for (service, target) in node.tick(&mut rng) {
            spawn_local(probe::send(node.clone(), service, target));
        }
    }
}
