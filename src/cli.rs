//! Command-line arguments of the daemon and the tool.

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
    /// The command to run
    #[command(subcommand)]
    pub command: Command,
}

/// The commands of the tool.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Validates a daemon's settings file and prints every fault
    Check {
        /// The settings file
        file: PathBuf,
    },
    /// Shows the status of every host: versions in force, upstreams, age of data, use of budgets
    Status(StatusArgs),
    /// Merges the events of all hosts into one timeline
    Timeline(TimelineArgs),
    /// Shows the decisions on a request from the logs of one or more hosts
    Explain(ExplainArgs),
    /// Streams the trace of a host's decisions to standard output
    Trace(TraceArgs),
    /// Replays a recorded trace and checks its invariants
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
    /// The log files; standard input if none are given
    pub files: Vec<PathBuf>,
}

/// The arguments of `profile` and `service`.
#[derive(Debug, Args)]
pub struct RecordArgs {
    /// How to reach the platform
    #[command(flatten)]
    pub platform: PlatformArgs,
    /// The command to run
    #[command(subcommand)]
    pub command: RecordCommand,
}

/// How to reach the platform's services, and the output format.
#[derive(Debug, Args)]
pub struct PlatformArgs {
    /// An address of the key-value service; may be repeated
    #[arg(
        long,
        value_name = "ADDR",
        env = "CORNELFERRY_PLATFORM",
        value_delimiter = ',',
        global = true
    )]
    pub platform: Vec<SocketAddr>,
    /// The common prefix of all keys
    #[arg(long, default_value = "/cornelferry/", env = "CORNELFERRY_PREFIX", global = true)]
    pub prefix: String,
    /// The entry hosts to query
    #[command(flatten)]
    pub fleet: FleetArgs,
    /// Prints JSON
    #[arg(long, global = true)]
    pub json: bool,
}

/// The commands on records of one kind.
#[derive(Debug, Subcommand)]
pub enum RecordCommand {
    /// Lists the records
    List,
    /// Prints a record
    Get {
        /// The record's name
        name: String,
    },
    /// Publishes a file as the record's next version
    Publish {
        /// The file, in JSON
        file: PathBuf,
        /// Options of the publication
        #[command(flatten)]
        publish: PublishArgs,
    },
    /// Shows what publishing a file would change
    Diff {
        /// The file, in JSON
        file: PathBuf,
    },
    /// Lists the newest versions of a record
    History {
        /// The record's name
        name: String,
    },
    /// Deletes a record by publishing a version that marks it as deleted
    Delete {
        /// The record's name
        name: String,
        /// Options of the publication
        #[command(flatten)]
        publish: PublishArgs,
    },
}

/// The options of a command that publishes a change.
#[derive(Debug, Args)]
pub struct PublishArgs {
    /// The version that the change is based on; 0 for a new record
    #[arg(long, value_name = "VERSION", default_value_t = 0)]
    pub expect: u64,
    /// The id of the change, by which a command can be repeated safely; random if absent
    #[arg(long, value_name = "ID")]
    pub change: Option<String>,
    /// The author of the change
    #[arg(long, env = "USER", default_value = "unknown")]
    pub author: String,
    /// Waits until the change is in force on all live hosts
    #[arg(long)]
    pub wait: bool,
    /// The maximum wait, such as 10s
    #[arg(long, value_name = "SPAN", default_value = "10s", value_parser = humantime::parse_duration)]
    pub timeout: Duration,
}

/// The entry hosts that a command queries.
#[derive(Debug, Default, Args)]
pub struct FleetArgs {
    /// The admin address of an entry host; may be repeated
    #[arg(long, value_name = "ADDR", global = true)]
    pub admin: Vec<SocketAddr>,
    /// The address of the platform's host list, which lists the entry hosts
    #[arg(long, value_name = "ADDR", env = "CORNELFERRY_HOST_LIST", global = true)]
    pub host_list: Option<SocketAddr>,
}

/// The arguments of `status`.
#[derive(Debug, Args)]
pub struct StatusArgs {
    /// The entry hosts to query
    #[command(flatten)]
    pub fleet: FleetArgs,
    /// Prints JSON
    #[arg(long)]
    pub json: bool,
}

/// The arguments of `timeline`.
#[derive(Debug, Args)]
pub struct TimelineArgs {
    /// The entry hosts to query
    #[command(flatten)]
    pub fleet: FleetArgs,
    /// Shows only events of this request
    #[arg(long, value_name = "ID")]
    pub request: Option<String>,
    /// Shows only events of this upstream
    #[arg(long, value_name = "NAME")]
    pub upstream: Option<String>,
    /// Shows only events of this profile
    #[arg(long, value_name = "NAME")]
    pub profile: Option<String>,
    /// Shows only events of this service
    #[arg(long, value_name = "NAME")]
    pub service: Option<String>,
    /// Shows only events of at most this age, such as 30s or 5m
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
    /// The trace file, in JSON Lines
    pub trace: PathBuf,
    /// The seed of the random number generator
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}
