//! The daemon of one entry host.

use std::process::ExitCode;

use clap::Parser;
use cornelferry::cli::DaemonArgs;
use cornelferry::settings::Settings;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let args = DaemonArgs::parse();
    let done = Settings::load(&args.settings)
        .map_err(anyhow::Error::from)
        .and_then(cornelferry::daemon::run);
    cornelferry::tool::exit_code(done)
}
