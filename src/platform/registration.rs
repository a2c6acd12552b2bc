//! Decodes the registration that each upstream keeps in the registry.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;

use crate::decide::hosts::{Host, Role};
use crate::decide::upstream::State;

/// Prefix of the keys of registrations; the upstream's id follows.
pub(crate) const PREFIX: &str = "servers/";

/// The fields of a registration that are used. The others change with each heartbeat or aren't
/// needed.
#[derive(Deserialize)]
struct Registration {
    service: Arc<str>,
    address: SocketAddr,
    zone: Arc<str>,
    slots: u32,
    state: RegistrationState,
    /// Counts the writes of one process.
    #[serde(default)]
    sequence: Option<u64>,
    /// The start of the process, in milliseconds since the Unix epoch.
    #[serde(default)]
    born: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum RegistrationState {
    Ready,
    Draining,
}

/// Decodes the registration under a key into the upstream and the number of its heartbeat. Returns
/// `None` if the upstream can't be used: the key has
/// another form, a field is missing or of another type, or the state is unknown.
pub(crate) fn decode(key: &str, value: &[u8]) -> Option<(Host, Option<u64>)> {
    let name = key.strip_prefix(PREFIX).filter(|id| !id.is_empty())?;
    let registration: Registration = serde_json::from_slice(value).ok()?;
    let host = Host {
        name: name.into(),
        address: registration.address,
        data_centre: registration.zone,
        role: Role::Upstream,
        service: Some(registration.service),
        state: match registration.state {
            RegistrationState::Ready => State::Live,
            RegistrationState::Draining => State::Leaving,
        },
        slots: registration.slots,
        peer: None,
        admin: None,
        born: registration.born,
    };
    Some((host, registration.sequence))
}
