//! The command-line tool for operators.

use std::process::ExitCode;

use clap::Parser;
use cornelferry::cli::ToolArgs;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    cornelferry::tool::exit_code(cornelferry::tool::run(ToolArgs::parse()))
}
