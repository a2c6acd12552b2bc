//! The work of the command-line tool.

mod fetch;
mod fleet;
mod status;
mod table;
mod timeline;

use std::process::ExitCode;

use anyhow::Result;

use crate::cli::{Command, ToolArgs};
use crate::error::{Code, Error};
use crate::settings::Settings;

/// Runs one command of the tool.
///
/// # Errors
///
/// An [`Error`] with the numbered result code wherever there is one.
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
    }
}

fn block_on(work: impl Future<Output = Result<()>>) -> Result<()> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(work)
}

/// Prints an error and returns the program's exit code: 0 for success, 2 for a document with
/// faults, 3 for a conflict, 4 for an unknown result, 5 for an unreachable service, else 1.
pub fn exit_code(done: Result<()>) -> ExitCode {
    let Err(e) = done else { return ExitCode::SUCCESS };
    eprintln!("{e:#}");
    let code = e.downcast_ref::<Error>().map(|e| e.code);
    ExitCode::from(match code {
        Some(Code::Invalid | Code::Unreadable) => 2,
        Some(Code::Conflict) => 3,
        Some(Code::PublishUnknown | Code::NotInForce) => 4,
        Some(Code::Unreachable) => 5,
        _ => 1,
    })
}
