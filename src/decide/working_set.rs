//! Preference for the upstreams to which this host has an open connection.
//!
//! A host of a large fleet sends each of many upstreams a request every few seconds. Spread over all of
//! them, most connections would be opened for a single request. So a host keeps to the upstreams that it
//! is connected to while some of them are fast, and looks further when all of them are slow or full:
//! its set grows under load, and shrinks as connections that are no longer used close.

use std::net::SocketAddr;

/// Cost of a new connection, in nominal work times. More than the random spread of the cost, less
/// than what an upstream costs that is known to be slow.
const CONNECTION_COST: f32 = 1.0;
/// The number of upstreams from which a host keeps to a part of them. With fewer, connections to all
/// are in use anyway.
const UPSTREAMS_MIN: usize = 24;

/// The addresses of the upstreams to which this host has idle connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkingSet<'a> {
    connected: Option<&'a [SocketAddr]>,
}

impl<'a> WorkingSet<'a> {
    /// Creates the set from sorted addresses.
    pub fn new(connected: &'a [SocketAddr]) -> WorkingSet<'a> {
        WorkingSet { connected: Some(connected) }
    }

    /// Returns the set for a service with this many upstreams: one without preference if they are
    /// few.
    pub(crate) fn for_service(self, upstreams: usize) -> WorkingSet<'a> {
        WorkingSet { connected: self.connected.filter(|_| upstreams >= UPSTREAMS_MIN) }
    }

    /// Returns the cost of the connection to an upstream, in nominal work times.
    pub(crate) fn connection_cost(&self, address: &SocketAddr) -> f32 {
        match self.connected {
            Some(connected) if connected.binary_search(address).is_err() => CONNECTION_COST,
            _ => 0.0,
        }
    }
}
