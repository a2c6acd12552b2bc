//! The caller side and the admin listener.

pub(crate) mod admin;
pub(crate) mod caller;
pub(crate) mod intake;
pub(crate) mod listener;
pub(crate) mod socket;
pub(crate) mod waiting;
