//! What all links of one host share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use prometheus::IntCounter;

use crate::decide::digest::{CatalogSummary, UpstreamName, Version};
use crate::decide::fetch::Fetches;
use crate::decide::leaving::{LeavingObservation, LeavingObservations, OBSERVATION_AGE_MAX};
use crate::decide::member::Process;
use crate::decide::upstream::UpstreamSummary;
use crate::node::Node;
use crate::peer::traffic::Traffic;
use crate::time::Time;

/// Bits of an incarnation that tell processes apart that started in the same millisecond.
const TIE_BREAK_BITS: u32 = 10;

/// Time between two rises of the heartbeat counter.
const BEAT: Duration = Duration::from_millis(100);

/// The name under which relayed sightings of leaving upstreams enter the tables.
const RELAYED: &str = "(relayed)";

/// The age at which the figures to share are taken from the tables anew.
const FIGURES_MAX_AGE: Duration = Duration::from_millis(100);

/// This host as its links see it.
pub(crate) struct Local {
    pub(crate) node: Arc<Node>,
    process: RefCell<Process>,
    pub(crate) traffic: Traffic,
    /// Comparisons of whole catalogs that are under way.
    pub(crate) comparisons: Cell<usize>,
    /// Versions that are being fetched.
    pub(crate) fetches: RefCell<Fetches>,
    /// Versions that this host can't read.
    pub(crate) unreadable: RefCell<Vec<Version>>,
    /// Upstreams that some host has seen to be leaving.
    pub(crate) sightings: RefCell<LeavingObservations>,
    sent: IntCounter,
    received: IntCounter,
    /// Hosts that dial this one, with the time of their last exchange, sorted by name.
    dialled_by: RefCell<Vec<(Arc<str>, Time)>>,
    figures: RefCell<Option<(Time, Rc<Vec<UpstreamSummary>>)>>,
    summary: RefCell<Option<(u64, CatalogSummary)>>,
}

impl Local {
    /// Makes the shared state of a process that has just started and listens on `address`.
    pub(crate) fn new(node: Arc<Node>, address: SocketAddr) -> Local {
        let process = Process {
            host: node.settings.host.clone(),
            data_centre: node.settings.data_centre.clone(),
            address,
            incarnation: incarnation(),
        };
        Local {
            process: RefCell::new(process),
            traffic: Traffic::default(),
            comparisons: Cell::default(),
            fetches: RefCell::default(),
            unreadable: RefCell::default(),
            sightings: RefCell::default(),
            sent: node.metrics.control_bytes("sent"),
            received: node.metrics.control_bytes("received"),
            dialled_by: RefCell::default(),
            figures: RefCell::default(),
            summary: RefCell::default(),
            node,
        }
    }

    /// Returns this host's process.
    pub(crate) fn process(&self) -> Process {
        self.process.borrow().clone()
    }

    /// Takes an incarnation above one that other hosts remember of an earlier process here, whose
    /// clock was ahead.
    pub(crate) fn outrank(&self, incarnation: u64) {
        let mut process = self.process.borrow_mut();
        process.incarnation = process.incarnation.max(incarnation.saturating_add(1));
        log::warn!("peers remember a later start of {:?}; incarnation raised", process.host);
    }

    /// Counts bytes sent.
    pub(crate) fn count_sent(&self, bytes: usize) {
        self.sent.inc_by(bytes as u64);
        self.traffic.spend(bytes);
    }

    /// Counts bytes received.
    pub(crate) fn count_received(&self, bytes: usize) {
        self.received.inc_by(bytes as u64);
        self.traffic.spend(bytes);
    }

    /// Returns this host's heartbeat counter.
    pub(crate) fn beat(&self, now: Time) -> u32 {
        (now.as_micros() / BEAT.as_micros() as u64) as u32 + 1
    }

    /// Returns the summary of the records in force.
    pub(crate) fn summary(&self) -> CatalogSummary {
        let (newest, _) = self.node.change_feed.since(u64::MAX);
        let mut cached = self.summary.borrow_mut();
        match *cached {
            Some((at, summary)) if at == newest => summary,
            _ => cached.insert((newest, CatalogSummary::of(&self.node.catalog.lock()))).1,
        }
    }

    /// Returns what this host knows of upstreams.
    pub(crate) fn figures(&self, now: Time) -> Rc<Vec<UpstreamSummary>> {
        let mut cached = self.figures.borrow_mut();
        match &*cached {
            Some((at, figures)) if now.since(*at) < FIGURES_MAX_AGE => figures.clone(),
            _ => {
                let tables = self.node.tables.lock();
                let services = tables.services();
                let figures: Vec<UpstreamSummary> =
                    services.iter().flat_map(|s| s.export(now)).collect();
                let leaving = services.iter().flat_map(|s| {
                    let service = &s.cfg().name;
                    let named = |name: &Arc<str>| (service.clone(), name.clone());
                    s.observed_leaving().map(named)
                });
                let leaving: Vec<UpstreamName> =
                    leaving.map(|(service, name)| UpstreamName { service, name }).collect();
                drop(tables);
                self.see_leaving(&leaving, now);
                cached.insert((now, Rc::new(figures))).1.clone()
            }
        }
    }

    /// Looks for upstreams that have begun to leave, and for those that nobody sees leaving any more.
    pub(crate) fn refresh(&self, now: Time) {
        self.figures(now);
        let ended = self.sightings.borrow_mut().expire(now);
        ended.iter().for_each(|name| self.import_leaving(name, false, now));
    }

    /// Takes note of what another host says about an upstream that leaves.
    pub(crate) fn told_leaving(&self, sighting: &LeavingObservation, now: Time) {
        if now.since(sighting.at) >= OBSERVATION_AGE_MAX {
            return;
        }
        if self.sightings.borrow_mut().observe(&sighting.name, sighting.at) {
            self.import_leaving(&sighting.name, true, now);
            self.node.change_feed.notify();
        }
    }

    fn see_leaving(&self, leaving: &[UpstreamName], now: Time) {
        let mut is_new = false;
        for name in leaving {
            is_new |= self.sightings.borrow_mut().observe(name, now);
        }
        if is_new {
            self.node.change_feed.notify();
        }
    }

    fn import_leaving(&self, name: &UpstreamName, leaving: bool, now: Time) {
        let (service, upstream) = (name.service.clone(), name.name.clone());
        let shared = UpstreamSummary { service, upstream, in_flight: 0, load: None, leaving };
        self.node.import_shared(&mut self.node.tables.lock(), RELAYED, &shared, now);
    }

    /// Takes note of an exchange that another host began.
    pub(crate) fn dialled(&self, host: &Arc<str>, now: Time) {
        let mut dialled = self.dialled_by.borrow_mut();
        match dialled.binary_search_by(|(h, _)| h.cmp(host)) {
            Ok(at) => dialled[at].1 = now,
            Err(at) => dialled.insert(at, (host.clone(), now)),
        }
    }

    /// Returns when another host last began an exchange.
    pub(crate) fn dialled_at(&self, host: &str) -> Option<Time> {
        let dialled = self.dialled_by.borrow();
        dialled.binary_search_by(|(h, _)| (**h).cmp(host)).ok().map(|at| dialled[at].1)
    }
}

fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let millis = u64::try_from(since.as_millis()).unwrap_or(0);
    millis << TIE_BREAK_BITS | rand::random_range(0..1 << TIE_BREAK_BITS)
}
