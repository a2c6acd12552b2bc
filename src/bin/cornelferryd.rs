//! The daemon that runs on an entry host.

use std::process::ExitCode;

use clap::Parser;
use cornelferry::cli::DaemonArgs;

fn main() -> ExitCode {
    let args = DaemonArgs::parse();
    cornelferry::tool::exit_code(cornelferry::daemon::run_file(&args.settings))
}
