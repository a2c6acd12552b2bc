//! The decisions of a host, as pure functions over tables.
//!
//! Nothing here opens a socket, reads a clock, starts a task, takes a lock or writes a log. The
//! current time and the random generator are arguments.

pub mod admission;
pub(crate) mod allowance;
pub mod attempt;
pub mod balancing;
pub(crate) mod bucket;
pub mod catalog;
pub mod digest;
pub mod evacuation;
pub mod hosts;
pub mod lapse;
pub(crate) mod lateness;
pub mod leaving;
pub mod limit;
pub mod matching;
pub mod member;
pub mod overload;
pub mod pause;
pub mod poison;
pub mod probing;
pub mod reads;
pub mod registered;
pub mod service;
pub mod shedding;
pub mod startup;
pub mod stopping;
pub mod stored;
pub mod teams;
pub mod tick;
pub mod topology;
pub mod upstream;
pub mod warmup;
pub mod working_set;

pub(crate) mod availability;
pub(crate) mod baseline;
pub(crate) mod capacity;
pub(crate) mod concurrency;
pub(crate) mod drain;
pub(crate) mod fetch;
pub(crate) mod framing;
pub(crate) mod health;
pub(crate) mod kept;
pub mod kinds;
pub(crate) mod load;
pub(crate) mod occupancy;
pub(crate) mod peer_search;
pub(crate) mod queue;
pub(crate) mod reach;
pub(crate) mod relay;
pub(crate) mod retry;
pub(crate) mod roster;
pub(crate) mod routes_change;
pub(crate) mod share;
