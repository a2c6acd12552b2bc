//! The daemon's life cycle: start, control loops, reload and shutdown.

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

use crate::decide::lateness::LateEvents;
use crate::decide::overload::Loop;
use crate::entry::{admin, listener};
use crate::event::{EventCode, Subject};
use crate::forward::probe;
use crate::node::{Node, Phase};
use crate::settings::Settings;
use crate::{logs, peer, registry, store};

/// Interval between ticks of the service tables while requests wait.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between ticks while no request waits. These ticks look for upstreams to probe.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The time between two ticks while requests wait, as a multiple of what the last one took.
const TICK_PAUSE_FACTOR: u32 = 4;
/// Interval at which the settings file is checked for changes.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which connections that have been idle for too long are closed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a daemon until SIGTERM or SIGINT, and then until all requests in flight have finished.
///
/// # Errors
///
/// Returns an error if a listener can't be bound or served.
pub fn run(settings: Settings) -> Result<()> {
    start(settings, None)
}

/// Runs a daemon as [`run`] does, with the settings of a file, which is reloaded on SIGHUP and when
/// it has changed.
///
/// # Errors
///
/// Returns an error if [`run`] would, or if the file can't be read or has faults.
pub fn run_file(path: &Path) -> Result<()> {
    let settings = Settings::load(path)?;
    logs::init(&settings.host).context("can't start logging")?;
    start(settings, Some(path.to_owned()))
}

fn start(settings: Settings, path: Option<PathBuf>) -> Result<()> {
    let caller = bind(settings.caller, "caller")?;
    let admin = bind(settings.admin, "admin")?;
    let peer = settings.peer.map(|a| bind(a, "peer")).transpose()?;
    let metrics = settings.metrics.map(|a| bind(a, "metrics")).transpose()?;
    let relay = settings.relay_address().map(|a| bind(a, "relay")).transpose()?;
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
    listener::run(&node, caller, relay)?;
    node.events.record(EventCode::Stopped, Subject::default(), None);
    Ok(())
}

/// Runs a part of the daemon in a thread of its own, and logs the error with which it ends.
fn spawn(name: &'static str, part: impl FnOnce() -> Result<()> + Send + 'static) -> Result<()> {
    let run = move || part().unwrap_or_else(|e| log::error!("{name}: {e:#}"));
    std::thread::Builder::new().name(name.to_owned()).spawn(run).context(name)?;
    Ok(())
}

fn bind(address: SocketAddr, name: &str) -> Result<TcpListener> {
    TcpListener::bind(address).with_context(|| format!("can't bind the {name} address {address}"))
}

/// Runs everything but the serving of callers and operators: membership, records, reloads, ticks
/// and shutdown.
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

/// Reloads the settings on SIGHUP, and when the file's modification time changes.
async fn reload(node: Arc<Node>, path: PathBuf, mut hangup: Signal) {
    let modified = || std::fs::metadata(&path).and_then(|m| m.modified()).ok();
    let mut loaded = modified();
    loop {
        let signalled = tokio::time::timeout(SETTINGS_CHECK_INTERVAL, hangup.recv()).await.is_ok();
        let found = modified();
        if !signalled && found == loaded {
            continue;
        }
        loaded = found;
        match Settings::load(&path) {
            Ok(settings) => node.reload(settings),
            Err(e) => {
                log::warn!("settings not reloaded: {e}");
                node.events.record(EventCode::ReloadRejected, Subject::default(), None);
            }
        }
    }
}

/// Waits for SIGTERM or SIGINT, and then drains the host for the grace period and stops it.
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

/// Ticks the service tables, which decide on queued requests, and sends the probes that are due.
/// Also updates the states of the peers and closes expired idle connections.
async fn tick(node: Arc<Node>) {
    let mut rng = SmallRng::from_os_rng();
    let mut last_expiry = node.clock.now();
    let mut late_events = LateEvents::default();
    let mut took = Duration::ZERO;
    loop {
        let start = node.clock.now();
        node.overload.lock().set_control_due(start + IDLE_TICK_INTERVAL);
        let pause = tick_interval(took);
        if node.waiting.is_empty() {
            tokio::select! {
                () = sleep(IDLE_TICK_INTERVAL) => {}
                () = node.waiting.queued() => sleep(pause).await,
            }
        } else {
            sleep(pause).await;
        }
        let now = node.clock.now();
        record_lateness(&node, now.since(start), &mut late_events);
        node.check_copy_age();
        if now.since(last_expiry) >= EXPIRY_INTERVAL {
            node.pool.expire(now);
            node.poison_requests.lock().expire(now);
            last_expiry = now;
        }
        node.update_members();
        for (service, target) in node.tick(&mut rng) {
            spawn_local(probe::send(node.clone(), service, target));
        }
        took = node.clock.now().since(now);
    }
}

/// Returns the time until the next tick while requests wait, if the last one took `took`. On a host that is
/// short of processor time, ticks leave the larger part of it to other work.
fn tick_interval(took: Duration) -> Duration {
    (took * TICK_PAUSE_FACTOR).clamp(TICK_INTERVAL, IDLE_TICK_INTERVAL)
}

/// Records how late a tick is that was due after one interval at most.
fn record_lateness(node: &Node, took: Duration, late_events: &mut LateEvents) {
    let late = took.saturating_sub(IDLE_TICK_INTERVAL);
    node.metrics.observe_tick_lateness(late);
    node.observe_lateness(Loop::Control, late);
    if late_events.observe(late, node.clock.now()) {
        let late = u64::try_from(late.as_millis()).ok();
        node.events.record(EventCode::ControlLate, Subject::default(), late);
    }
}
