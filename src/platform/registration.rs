//! Decodes the registration that each upstream keeps in the registry.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;

use crate::decide::hosts::{Host, Role};
use crate::decide::registered::BORN_MAX;
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
    /// Seconds for which the upstream stays cold.
    #[serde(default, rename = "coldRemainingS")]
    cold_remaining_s: serde_json::Value,
}

/// What an upstream says of itself in each heartbeat, apart from what its record holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Beat {
    /// The number of the heartbeat.
    pub(crate) sequence: Option<u64>,
    /// Seconds for which the upstream stays cold, if it says so.
    pub(crate) cold_seconds: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum RegistrationState {
    Ready,
    Draining,
}

/// Decodes the registration under a key into the upstream and its heartbeat. Returns
/// `None` if the upstream can't be used: the key has another form, a field is missing, of another
/// type or too large, or the state is unknown.
pub(crate) fn decode(key: &str, value: &[u8]) -> Option<(Host, Beat)> {
    let name = key.strip_prefix(PREFIX).filter(|id| !id.is_empty())?;
    let registration: Registration = serde_json::from_slice(value).ok()?;
    if registration.born.is_some_and(|born| born > BORN_MAX) {
        return None;
    }
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
    let cold_seconds = registration.cold_remaining_s.as_f64();
    Some((host, Beat { sequence: registration.sequence, cold_seconds }))
}
