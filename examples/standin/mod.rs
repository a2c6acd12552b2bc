//! Stand-ins for what surrounds cornelferry, shared by examples, benches and tests.

#![allow(dead_code, reason = "each program that shares the stand-ins uses a part of them")]

pub mod platform;
pub mod store;
pub mod upstream;
