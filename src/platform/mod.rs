//! What the deployment platform says and how: names, formats and calls. Nothing here decides.
//!
//! Everything is decoded once, here, into the project's own types; no other module knows the
//! platform's names.

pub(crate) mod client;
pub(crate) mod config;
pub(crate) mod headers;
pub(crate) mod registration;
#[cfg(test)]
mod tests;

pub(crate) use client::{Change, Client, Items, WatchResponse};
