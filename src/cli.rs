//! The command lines of both programs.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};

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
    /// Shows every host: versions in force, upstreams, age of knowledge, use of budgets
    Status(StatusArgs),
    /// Merges the events of every host into one time line
    Timeline(TimelineArgs),
}

/// Which entry hosts to ask.
#[derive(Debug, Default, Args)]
pub struct FleetArgs {
    /// The admin address of an entry host; may be repeated
    #[arg(long, value_name = "ADDR")]
    pub admin: Vec<SocketAddr>,
    /// The address of the platform's host list, which names the entry hosts
    #[arg(long, value_name = "ADDR")]
    pub host_list: Option<SocketAddr>,
}

/// The arguments of `status`.
#[derive(Debug, Args)]
pub struct StatusArgs {
    /// Which entry hosts to ask
    #[command(flatten)]
    pub fleet: FleetArgs,
    /// Prints JSON
    #[arg(long)]
    pub json: bool,
}

/// The arguments of `timeline`.
#[derive(Debug, Args)]
pub struct TimelineArgs {
    /// Which entry hosts to ask
    #[command(flatten)]
    pub fleet: FleetArgs,
    /// Only events of this request
    #[arg(long, value_name = "ID")]
    pub request: Option<String>,
    /// Only events of this upstream
    #[arg(long, value_name = "NAME")]
    pub upstream: Option<String>,
    /// Only events of this profile
    #[arg(long, value_name = "NAME")]
    pub profile: Option<String>,
    /// Only events of this service
    #[arg(long, value_name = "NAME")]
    pub service: Option<String>,
    /// Only events of the last time span, such as 30s or 5m
    #[arg(long, value_name = "SPAN", value_parser = humantime::parse_duration)]
    pub since: Option<Duration>,
    /// Prints JSON
    #[arg(long)]
    pub json: bool,
}
