//! The commands of the command-line tool `cornelferry`.

mod document;
mod explain;
mod fetch;
mod fleet;
mod publish;
mod record;
mod replay;
mod rollout;
mod status;
mod table;
#[cfg(test)]
mod tests;
mod timeline;
mod trace;

use std::process::ExitCode;

use anyhow::Result;

use crate::cli::{Command, ToolArgs};
use crate::decide::catalog::RecordKind;
use crate::error::{Code, Error};
use crate::settings::Settings;

/// Runs one command of the tool.
///
/// # Errors
///
/// Returns an [`Error`] with a result code for most failures.
pub fn run(args: ToolArgs) -> Result<()> {
    match args.command {
        Command::Check { file } => {
            let settings = Settings::load(&file)?;
            let (services, profiles) = (settings.services.len(), settings.profiles.len());
            println!("{}: {services} services, {profiles} profiles, no faults", file.display());
            Ok(())
        }
        Command::Status(args) => block_on(status::run(&args)),
        Command::Timeline(args) => block_on(timeline::run(&args)),
        Command::Explain(args) => explain::run(&args),
        Command::Trace(args) => block_on(trace::run(&args)),
        Command::Replay(args) => replay::run(&args),
        Command::Profile(args) => block_on(record::run(RecordKind::Profile, &args)),
        Command::Service(args) => block_on(record::run(RecordKind::Service, &args)),
    }
}

/// Runs a future to completion on a single-threaded runtime.
fn block_on(work: impl Future<Output = Result<()>>) -> Result<()> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(work)
}

/// Prints the error of a program on standard error, if there is one, and returns its exit code: 0
/// for success, 2 for an invalid or unreadable document, 3 for a conflict, 4 if the result is
/// unknown or not in force everywhere, 5 for an unreachable service, and 1 for everything else.
pub fn exit_code(result: Result<()>) -> ExitCode {
    let Err(e) = result else { return ExitCode::SUCCESS };
    eprintln!("{e:#}");
    ExitCode::from(e.downcast_ref::<Error>().map_or(1, |e| exit_status(e.code)))
}

/// Returns the exit status that corresponds to a result code.
pub const fn exit_status(code: Code) -> u8 {
    match code {
        Code::Invalid | Code::Unreadable => 2,
        Code::Conflict => 3,
        Code::PublishUnknown | Code::NotInForce => 4,
        Code::Unreachable => 5,
        _ => 1,
    }
}
