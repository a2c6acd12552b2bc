//! What an upstream registers of itself in the platform's store.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;

use crate::decide::hosts::{Host, Role};
use crate::decide::upstream::State;

/// The prefix of the keys; the upstream's id follows.
pub(crate) const PREFIX: &str = "servers/";

/// The fields that are used. The others change with each heartbeat or say nothing here.
#[derive(Deserialize)]
struct Registration {
    service: Arc<str>,
    address: SocketAddr,
    zone: Arc<str>,
    slots: u32,
    state: RegistrationState,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum RegistrationState {
    Ready,
    Draining,
}

/// Reads the registration under a key. Returns nothing if it names no upstream that can be used: a field
/// is missing or of another type, or the state is unknown.
pub(crate) fn decode(key: &str, value: &[u8]) -> Option<Host> {
    let name = key.strip_prefix(PREFIX).filter(|id| !id.is_empty())?;
    let registration: Registration = serde_json::from_slice(value).ok()?;
    Some(Host {
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
    })
}
