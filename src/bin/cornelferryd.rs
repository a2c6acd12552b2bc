//! The daemon of one entry host.

use std::process::ExitCode;

use clap::Parser;
use cornelferry::cli::DaemonArgs;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let args = DaemonArgs::parse();
    cornelferry::tool::exit_code(cornelferry::daemon::run_file(&args.settings))
}
