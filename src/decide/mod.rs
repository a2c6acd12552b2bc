//! Pure decisions: tables in, decisions out.
//!
//! Nothing here opens a socket, reads a clock, starts a task, takes a lock or writes a log. The
//! present time and the random generator are arguments.

pub mod admit;
pub mod attempt;
pub mod digest;
pub mod matching;
pub mod measure;
pub mod member;
pub mod pause;
pub mod profile;
pub mod route;
pub mod service;
pub mod tick;
pub mod topology;
pub mod upstream;
