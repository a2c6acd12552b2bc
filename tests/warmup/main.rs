//! Warm-up of upstreams: what all hosts together send to a cold one, and how hosts learn of it.

#[path = "../harness/mod.rs"]
mod harness;
#[path = "../../examples/standin/mod.rs"]
mod standin;

mod daemon;
mod fleet;
mod learning;
