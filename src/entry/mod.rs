//! The caller side and the admin listener.

pub(crate) mod admin;
pub(crate) mod allowance;
pub(crate) mod handler;
pub(crate) mod lateness;
pub(crate) mod listener;
pub(crate) mod request;
pub(crate) mod socket;
pub(crate) mod waiting;
