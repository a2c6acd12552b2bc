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
    /// Shows the decisions on one request, out of the logs of one or more hosts
    Explain(ExplainArgs),
    /// Prints the trace of a host's decisions as they are made
    Trace(TraceArgs),
    /// Checks a recorded trace against its stated outcomes
    Replay(ReplayArgs),
    /// Reads and publishes profiles
    Profile(RecordArgs),
    /// Reads and publishes services
    Service(RecordArgs),
}

/// The arguments of `explain`.
#[derive(Debug, Args)]
pub struct ExplainArgs {
    /// The request's id
    pub request: String,
    /// Log files; standard input if there are none
    pub files: Vec<PathBuf>,
}

/// The arguments of `profile` and `service`.
#[derive(Debug, Args)]
pub struct RecordArgs {
    /// Where the platform is
    #[command(flatten)]
    pub platform: PlatformArgs,
    /// What to do
    #[command(subcommand)]
    pub command: RecordCommand,
}

/// Where the platform is.
#[derive(Debug, Args)]
pub struct PlatformArgs {
    /// The address of the key-value service; may be repeated
    #[arg(
        long,
        value_name = "ADDR",
        env = "CORNELFERRY_PLATFORM",
        value_delimiter = ',',
        global = true
    )]
    pub platform: Vec<SocketAddr>,
    /// The prefix of every key
    #[arg(long, default_value = "/cornelferry/", env = "CORNELFERRY_PREFIX", global = true)]
    pub prefix: String,
    /// Which entry hosts to ask
    #[command(flatten)]
    pub fleet: FleetArgs,
    /// Prints JSON
    #[arg(long, global = true)]
    pub json: bool,
}

/// The commands over records of a kind.
#[derive(Debug, Subcommand)]
pub enum RecordCommand {
    /// Lists the records
    List,
    /// Prints a record
    Get {
        /// Its name
        name: String,
    },
    /// Publishes a file as the next version
    Publish {
        /// The file, in JSON
        file: PathBuf,
        /// How to publish
        #[command(flatten)]
        publish: PublishArgs,
    },
    /// Shows what a file would change
    Diff {
        /// The file, in JSON
        file: PathBuf,
    },
    /// Lists the newest versions of a record
    History {
        /// Its name
        name: String,
    },
    /// Deletes a record by a version that says so
    Delete {
        /// Its name
        name: String,
        /// How to publish
        #[command(flatten)]
        publish: PublishArgs,
    },
}

/// How a change is published.
#[derive(Debug, Args)]
pub struct PublishArgs {
    /// The version that the change is made to; 0 for a new record
    #[arg(long, value_name = "VERSION", default_value_t = 0)]
    pub expect: u64,
    /// The id of the change, to repeat a command safely; random if absent
    #[arg(long, value_name = "ID")]
    pub change: Option<String>,
    /// Who publishes
    #[arg(long, env = "USER", default_value = "unknown")]
    pub author: String,
    /// Waits until all live hosts have the change in force
    #[arg(long)]
    pub wait: bool,
    /// The longest wait, such as 10s
    #[arg(long, value_name = "SPAN", default_value = "10s", value_parser = humantime::parse_duration)]
    pub timeout: Duration,
}

/// Which entry hosts to ask.
#[derive(Debug, Default, Args)]
pub struct FleetArgs {
    /// The admin address of an entry host; may be repeated
    #[arg(long, value_name = "ADDR", global = true)]
    pub admin: Vec<SocketAddr>,
    /// The address of the platform's host list, which names the entry hosts
    #[arg(long, value_name = "ADDR", env = "CORNELFERRY_HOST_LIST", global = true)]
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

/// The arguments of `trace`.
#[derive(Debug, Args)]
pub struct TraceArgs {
    /// The admin address of the entry host
    #[arg(long, value_name = "ADDR")]
    pub admin: SocketAddr,
    /// Stops after this time span, such as 30s or 5m
    #[arg(long = "for", value_name = "SPAN", value_parser = humantime::parse_duration)]
    pub span: Option<Duration>,
}

/// The arguments of `replay`.
#[derive(Debug, Args)]
pub struct ReplayArgs {
    /// The trace, in JSON Lines
    pub trace: PathBuf,
    /// The seed of the random generator
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}
