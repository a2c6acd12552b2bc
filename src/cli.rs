//! The command lines of both programs.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

/// Balances load between callers and upstreams on one entry host.
#[derive(Debug, Parser)]
#[command(name = "cornelferryd", version)]
pub struct DaemonArgs {
    /// The settings file, in JSON
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
}

/// Operates a fleet of cornelferry entry hosts.
#[derive(Debug, Parser)]
#[command(name = "cornelferry", version)]
pub struct ToolArgs {
    /// What to do
    #[command(subcommand)]
    pub command: Command,
}

/// The commands of the tool.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Checks a daemon's settings file and prints every fault
    Check {
        /// The settings file
        file: PathBuf,
    },
}
