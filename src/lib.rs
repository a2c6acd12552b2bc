//! cornelferry: a load balancer for servers whose load shifts in milliseconds.
//!
//! The crate contains two programs, the daemon `cornelferryd` and the command-line tool
//! `cornelferry`, and a library of coordination parts to embed in other programs. The decision
//! functions perform no I/O: they work on tables in memory and take the current time and the random
//! number generator as arguments.
//!
//! The modules, by purpose:
//!
//! - Requests to one service: [`service`] holds its upstreams and its queue, [`admission`] the
//!   decisions on a request, [`attempt`] the state machine of its retries and hedges, [`balancing`]
//!   the policies, [`kinds`] the latency goals of callers, [`upstream`] the rows of the upstreams,
//!   [`limit`] and [`warmup`] what an upstream takes from all hosts, [`probing`] the budget for
//!   probes, and [`working_set`] the use of open connections.
//! - All services of a host: [`tick`] holds their tables, [`matching`] finds the service of a
//!   request, and [`teams`] the team of its caller.
//! - Records: [`catalog`] decides which version is in force, [`config`] holds their contents, and
//!   [`stored`] parses them.
//! - The fleet: [`member`] decides which hosts are alive and who owns a duty, [`topology`] which
//!   hosts are neighbours, [`digest`] what they exchange, and [`pause`] whether the process was
//!   paused. [`hosts`], [`registered`], [`lapse`] and [`leaving`] follow hosts and upstreams that
//!   come and go, [`evacuation`] the data centres that get nothing, [`reads`] decides which host reads the platform's registry, and [`startup`] what a
//!   starting host tells callers.
//! - Observation: [`event`], [`hlc`], [`logs`], [`status`], and [`trace`], which also checks
//!   traces.
//! - The programs: [`daemon`], [`tool`], [`cli`], [`settings`], [`header`] and [`error`].
//!
//! ```
//! use std::sync::Arc;
//! use cornelferry::admission::{Admission, Request};
//! use cornelferry::config::{Priority, Service, Upstream};
//! use cornelferry::balancing::Policy;
//! use cornelferry::service::{HostInfo, ServiceTable};
//! use cornelferry::Time;
//!
//! let upstream = Upstream {
//!     name: "dispatch-1".into(),
//!     address: "127.0.0.1:9001".parse().unwrap(),
//!     data_centre: "palermo".into(),
//! };
//! let service = Service {
//!     name: "crew-dispatch".into(),
//!     upstreams: vec![upstream],
//!     ..Service::default()
//! };
//! let host = HostInfo {
//!     host: "entry-1".into(),
//!     data_centre: "palermo".into(),
//!     fleet_size_max: 18,
//!     policy: Policy::default(),
//!     waiting_max: 1_000,
//! };
//! let now = Time::from_millis(0);
//! let mut table = ServiceTable::new(Arc::new(service), host, now);
//! let (deadline, wait_until) = (Time::from_millis(500), Time::from_millis(100));
//! let req = Request::new(Priority::Urgent, deadline, wait_until);
//! let admission = table.admit(&req, now, &mut rand::rng());
//! assert!(matches!(admission, Admission::Run(t) if &*t.name == "dispatch-1"));
//! ```

#![warn(unreachable_pub)]

pub mod cli;
pub mod config;
pub mod daemon;
pub mod error;
pub mod event;
pub mod header;
pub mod hlc;
pub mod logs;
pub mod settings;
pub mod status;
pub mod tool;
pub mod trace;

pub use decide::{
    admission, attempt, balancing, catalog, digest, evacuation, hosts, kinds, lapse, leaving,
    limit, matching, member, overload, pause, poison, probing, reads, registered, service,
    shedding, startup, stopping, stored, teams, tick, topology, upstream, warmup, working_set,
};
pub use time::{CLOCK_START, Clock, Time};

mod claim;
mod decide;
mod dispatch;
mod document;
mod entry;
mod forward;
mod metrics;
mod node;
mod peer;
mod platform;
mod registry;
mod request_log;
mod store;
mod time;

#[cfg(test)]
#[path = "../examples/standin/mod.rs"]
mod standin;
