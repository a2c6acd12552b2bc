//! Stand-ins for the services around cornelferry, shared by examples, benches and tests.

#![allow(dead_code, reason = "each program uses only some of the stand-ins")]
#![allow(unreachable_pub, reason = "programs and tests include this module by path")]

pub mod platform;
pub mod registry;
pub mod store;
pub mod upstream;
