//! Stand-ins for what surrounds cornelferry, shared by examples, benches and tests.

#![allow(dead_code, reason = "each program that shares the stand-ins uses a part of them")]
#![allow(unreachable_pub, reason = "programs and tests include the stand-ins by path")]

pub mod platform;
pub mod registry;
pub mod store;
pub mod upstream;
