//! Asks the owners of allowances over connections of their own, and answers what other hosts ask.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp::ErrorKind;
use capnp_rpc::rpc_twoparty_capnp::Side;
use futures_util::future::join_all;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

use crate::decide::allowance::{Ask, AskError, FleetView, Grant, HOPS_MAX, Inquiry, Reply, Step};
use crate::node::Phase;
use crate::peer::local::LocalState;
use crate::peer::peer_capnp::{allowance_ask, allowance_grant, peer};
use crate::peer::session::Session;
use crate::time::{CLOCK_START, Time};

/// The time between two updates of what is known of the fleet, while any team has an allowance.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// The time after its start in which a host owns no allowance, since it may not have heard of hosts
/// that do.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);
/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// The timeout of a question. One that a host passes on has [`TIMEOUT_STEP`] less at each hop.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);
/// See [`ASK_TIMEOUT`].
const TIMEOUT_STEP: Duration = Duration::from_millis(80);
/// The time for which a host that hasn't replied in time is asked nothing.
const SILENCE_TIME: Duration = Duration::from_millis(500);
/// The time after which a question that reached no owner is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// The time without a question after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The number of questions in one call.
const BATCH_MAX: usize = 256;
/// The number of low bits of the wanted tokens on the wire; the hops are above them.
const HOPS_SHIFT: u32 = 30;
/// The spare time on the wire by which a host that isn't the owner tells that it couldn't reach it.
const UNREACHABLE_MARK: u32 = 1;

/// The connections to the owners of allowances.
#[derive(Default)]
pub(crate) struct Links {
    links: RefCell<Vec<Rc<Link>>>,
}

/// The connection to a host that is asked.
struct Link {
    host: Arc<str>,
    address: SocketAddr,
    connection: RefCell<Option<Connection>>,
    /// The questions that go with the next call.
    pending: RefCell<Vec<Pending>>,
    is_calling: Cell<bool>,
    used: Cell<Time>,
    silent_until: Cell<Time>,
}

struct Connection {
    session: Rc<Session>,
    _rpc_task: AbortOnDropHandle<Result<(), capnp::Error>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.session.close();
    }
}

/// A question that waits for its call.
struct Pending {
    ask: Ask,
    hops: u8,
    tx: oneshot::Sender<Result<Reply, AskError>>,
}

/// Asks the questions of this host, and keeps track of the fleet, until the process exits.
pub(crate) async fn maintain(local: Rc<LocalState>) {
    let allowances = &local.node.allowances;
    let mut updated: Option<Time> = None;
    loop {
        let now = local.node.clock.now();
        let teams = allowances.teams();
        if !teams.is_empty() && updated.is_none_or(|at| now.since(at) >= UPDATE_INTERVAL) {
            updated = Some(now);
            let view = fleet_view(&local, now);
            allowances.ownership.lock().update(view, &teams, now);
            local.allowance_links.close_idle(now);
        }
        for ask in allowances.with_asker(|asker| asker.take_asks(now)) {
            spawn_local(ask_owner(local.clone(), ask));
        }
        if teams.is_empty() {
            allowances.asked.notified().await;
            continue;
        }
        let wait = allowances.with_asker(|asker| asker.next_ask()).map(|at| now.until(at));
        tokio::select! {
            () = allowances.asked.notified() => {}
            () = sleep(wait.map_or(UPDATE_INTERVAL, |w| w.min(UPDATE_INTERVAL))) => {}
        }
    }
}

/// Asks the owner of an allowance for tokens, and decides on the requests that wait for them.
async fn ask_owner(local: Rc<LocalState>, ask: Ask) {
    let node = &local.node;
    let reply = inquire(&local, ask.clone(), 0).await;
    let now = node.clock.now();
    let hosts = node.allowances.ownership.lock().known_hosts();
    node.metrics.count_allowance_ask(matches!(reply, Reply::Granted(_)));
    node.allowances.decide(|asker| match reply {
        Reply::Granted(grant) => asker.answer(&ask.team, grant, now, rand::random::<f64>),
        _ => asker.fail(&ask.team, hosts, now + RETRY_DELAY, now, rand::random::<f64>),
    });
    // Requests that have come meanwhile go with the next question.
    node.allowances.asked.notify_one();
}

/// Follows a question to the owner of its allowance, and returns the owner's reply.
async fn inquire(local: &Rc<LocalState>, ask: Ask, hops: u8) -> Reply {
    let node = &local.node;
    let Some(limit) = node.allowances.limit(&ask.team) else {
        // The routes have changed since the request came.
        return match hops {
            0 if node.allowances.is_unlimited(&ask.team) => {
                Reply::Granted(Grant::unlimited(ask.wanted))
            }
            0 => Reply::Unreachable,
            _ => Reply::NotOwner,
        };
    };
    let mut inquiry = Inquiry::new(ask.team.clone(), limit, ask.wanted, hops);
    let mut step = inquiry.next(&mut node.allowances.ownership.lock(), node.clock.now());
    loop {
        match step {
            Step::Done(reply) => return reply,
            Step::Ask(host, hops) => {
                let reply = ask_host(local, &host, ask.clone(), hops).await;
                let mut ownership = node.allowances.ownership.lock();
                step = inquiry.on_reply(reply, &mut ownership, node.clock.now());
            }
            Step::Check(hosts) => {
                let count = hosts.len();
                let all_accept = accept_connections(local, hosts).await;
                log::info!(
                    "the owner of the allowance of {} refuses connections; it is taken for {}: \
                     {count} other hosts tried",
                    ask.team,
                    if all_accept { "ended" } else { "cut off" },
                );
                let mut ownership = node.allowances.ownership.lock();
                step = inquiry.on_check(all_accept, &mut ownership, node.clock.now());
            }
        }
    }
}

/// Asks a host, together with other questions to it.
async fn ask_host(
    local: &Rc<LocalState>,
    host: &Arc<str>,
    ask: Ask,
    hops: u8,
) -> Result<Reply, AskError> {
    let now = local.node.clock.now();
    let link = local.allowance_links.get(local, host).ok_or(AskError::Silent)?;
    if link.silent_until.get() > now {
        return Err(AskError::Silent);
    }
    link.used.set(now);
    let (tx, rx) = oneshot::channel();
    link.pending.borrow_mut().push(Pending { ask, hops, tx });
    if !link.is_calling.replace(true) {
        spawn_local(send_pending(local.clone(), link));
    }
    rx.await.unwrap_or(Err(AskError::Silent))
}

/// Sends the questions that wait, one call after the other.
async fn send_pending(local: Rc<LocalState>, link: Rc<Link>) {
    loop {
        let batch: Vec<Pending> = {
            let mut pending = link.pending.borrow_mut();
            let count = pending.len().min(BATCH_MAX);
            pending.drain(..count).collect()
        };
        let Some(hops) = batch.iter().map(|p| p.hops).max() else { break };
        let time_limit = ASK_TIMEOUT.saturating_sub(TIMEOUT_STEP * u32::from(hops.max(1) - 1));
        let called = timeout(time_limit, call(&local, &link, &batch)).await;
        let replies = called.unwrap_or(Err(AskError::Silent));
        if let Err(e) = replies {
            link.connection.borrow_mut().take();
            if e == AskError::Silent {
                log::debug!("host {} doesn't answer questions about allowances", link.host);
                link.silent_until.set(local.node.clock.now() + SILENCE_TIME);
            }
        }
        for (i, pending) in batch.into_iter().enumerate() {
            let reply = replies.as_ref().map_err(|e| *e);
            // Whoever asked may have given up.
            let _ = pending.tx.send(reply.map(|r| r.get(i).copied().unwrap_or(Reply::NotOwner)));
        }
    }
    link.is_calling.set(false);
}

/// Sends questions in one call. A connection that turns out to be closed is replaced once.
async fn call(
    local: &Rc<LocalState>,
    link: &Link,
    batch: &[Pending],
) -> Result<Vec<Reply>, AskError> {
    let client = link.connection.borrow().as_ref().and_then(|c| c.session.client().ok());
    if let Some(client) = client
        && let Ok(replies) = send(local, client, batch).await
    {
        return Ok(replies);
    }
    let client = link.connect(local).await?;
    send(local, client, batch).await.map_err(|e| {
        log::debug!("asking host {} about allowances failed: {e}", link.host);
        AskError::Silent
    })
}

async fn send(
    local: &LocalState,
    client: peer::Client,
    batch: &[Pending],
) -> Result<Vec<Reply>, capnp::Error> {
    let mut req = client.allowances_request();
    req.get().set_routes(local.node.allowances.version());
    let mut asks = req.get().init_asks(batch.len() as u32);
    for (i, pending) in batch.iter().enumerate() {
        write_ask(&pending.ask, pending.hops, asks.reborrow().get(i as u32));
    }
    let reply = match req.send().promise.await {
        // An earlier release keeps no allowances.
        Err(e) if e.kind == ErrorKind::Unimplemented => return Ok(Vec::new()),
        reply => reply?,
    };
    Ok(reply.get()?.get_grants()?.iter().map(read_reply).collect())
}

/// Answers the questions of a peer.
pub(crate) async fn serve(local: &Rc<LocalState>, asks: Vec<(Ask, u8)>, routes: u64) -> Vec<Reply> {
    let allowances = &local.node.allowances;
    let answer = async |(ask, hops): (Ask, u8)| {
        let is_lifted = allowances.is_unlimited(&ask.team) && routes < allowances.version();
        match is_lifted {
            // The peer will know in a moment.
            true => Reply::Granted(Grant::unlimited(ask.wanted)),
            false => inquire(local, ask, hops).await,
        }
    };
    join_all(asks.into_iter().take(BATCH_MAX).map(answer)).await
}

/// Reads a question and the number of times that it has been passed on.
///
/// # Errors
///
/// Returns an error if the team's name is missing or isn't UTF-8.
pub(crate) fn read_ask(ask: allowance_ask::Reader<'_>) -> Result<(Ask, u8), capnp::Error> {
    let wanted = ask.get_wanted();
    let hops = u8::try_from(wanted >> HOPS_SHIFT).unwrap_or(HOPS_MAX).min(HOPS_MAX);
    let team = ask.get_team()?.to_str()?.into();
    Ok((Ask { team, wanted: wanted & ((1 << HOPS_SHIFT) - 1) }, hops))
}

fn write_ask(ask: &Ask, hops: u8, mut out: allowance_ask::Builder<'_>) {
    out.set_team(&*ask.team);
    out.set_wanted(ask.wanted.min((1 << HOPS_SHIFT) - 1) | u32::from(hops) << HOPS_SHIFT);
}

/// Writes a reply.
pub(crate) fn write_reply(reply: Reply, mut out: allowance_grant::Builder<'_>) {
    let millis = |d: Duration| u32::try_from(d.as_millis()).unwrap_or(u32::MAX);
    match reply {
        Reply::Granted(grant) => {
            out.set_is_owner(true);
            out.set_granted(grant.granted);
            out.set_retry_after_ms(millis(grant.retry_after));
            out.set_spare_ms(millis(grant.spare_time));
        }
        Reply::NotOwner => {}
        Reply::Unreachable => out.set_spare_ms(UNREACHABLE_MARK),
    }
}

fn read_reply(reply: allowance_grant::Reader<'_>) -> Reply {
    let millis = |ms: u32| Duration::from_millis(ms.into());
    match reply.get_is_owner() {
        true => Reply::Granted(Grant {
            granted: reply.get_granted(),
            retry_after: millis(reply.get_retry_after_ms()),
            spare_time: millis(reply.get_spare_ms()),
        }),
        false if reply.get_spare_ms() == UNREACHABLE_MARK => Reply::Unreachable,
        false => Reply::NotOwner,
    }
}

impl Links {
    /// Returns the link to a host, or `None` if its address is unknown.
    fn get(&self, local: &LocalState, host: &Arc<str>) -> Option<Rc<Link>> {
        let address = local.node.members.lock().get(host)?.address;
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.iter().find(|l| l.host == *host && l.address == address) {
            return Some(link.clone());
        }
        links.retain(|l| l.host != *host);
        let link = Rc::new(Link {
            host: host.clone(),
            address,
            connection: RefCell::default(),
            pending: RefCell::default(),
            is_calling: Cell::default(),
            used: Cell::default(),
            silent_until: Cell::default(),
        });
        links.push(link.clone());
        Some(link)
    }

    fn close_idle(&self, now: Time) {
        let is_used = |l: &Rc<Link>| l.is_calling.get() || now.since(l.used.get()) < IDLE_TIMEOUT;
        self.links.borrow_mut().retain(is_used);
    }
}

impl Link {
    /// Opens a new connection.
    async fn connect(&self, local: &Rc<LocalState>) -> Result<peer::Client, AskError> {
        self.connection.borrow_mut().take();
        let stream = connect(self.address).await?;
        let (session, rpc_task) = Session::open(local, stream, Side::Client);
        session.record_ask();
        let client = session.client().map_err(|_| AskError::Silent)?;
        let rpc_task = AbortOnDropHandle::new(spawn_local(rpc_task));
        *self.connection.borrow_mut() = Some(Connection { session, _rpc_task: rpc_task });
        Ok(client)
    }
}

/// Opens a connection to a host.
async fn connect(address: SocketAddr) -> Result<TcpStream, AskError> {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => Err(AskError::Refused),
        Ok(Err(_)) | Err(_) => Err(AskError::Silent),
    }
}

/// Returns whether each of the hosts accepts a connection.
async fn accept_connections(local: &LocalState, hosts: Vec<Arc<str>>) -> bool {
    let accepts = async |host: Arc<str>| {
        let address = local.node.members.lock().get(&host).map(|m| m.address);
        match address {
            Some(address) => connect(address).await.is_ok(),
            None => false,
        }
    };
    join_all(hosts.into_iter().map(accepts)).await.into_iter().all(|accepts| accepts)
}

/// Returns what this host knows of the fleet.
fn fleet_view(local: &LocalState, now: Time) -> FleetView {
    let node = &local.node;
    let is_staying = node.phase() < Phase::Draining;
    let (is_stale, pauses) = {
        let detector = node.pause_detector.lock();
        (detector.is_stale(now), detector.pause_count())
    };
    let members = node.members.lock();
    let known = members.known_hosts(node.is_looking_for_peers(now));
    let peers = members.alive(now).filter(|m| m.incarnation > 0);
    let mut alive: Vec<(u64, Arc<str>)> = peers.map(|m| (m.incarnation, m.host.clone())).collect();
    if is_staying {
        let own = local.process();
        alive.push((own.incarnation, own.host));
    }
    FleetView {
        alive,
        ended: members.members().iter().filter(|m| m.left).map(|m| m.host.clone()).collect(),
        known: known.unwrap_or(1),
        may_own: is_staying
            && !is_stale
            && !local.is_cut_off.get()
            && known.is_some()
            && (node.settings.registry.is_none() || node.roster.lock().is_read())
            && now.since(CLOCK_START) >= SETTLE_TIME,
        is_isolated: local.is_isolated.get(),
        pauses,
    }
}
