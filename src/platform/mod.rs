//! Interface to the deployment platform: the calls of its registry, its document formats and its
//! header names.
//!
//! Everything is decoded here into the project's own types, so that no other module depends on the
//! platform's formats. This module makes no decisions.

pub(crate) mod client;
pub(crate) mod config;
pub(crate) mod evacuation;
pub(crate) mod headers;
pub(crate) mod registration;
#[cfg(test)]
mod tests;

pub(crate) use client::{Change, Client, ClientHooks, Consistency, Items, WatchResponse};
