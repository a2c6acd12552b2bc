//! `cornelferry trace`: prints the trace of an entry host while it is recorded.

use std::io::Write;
use std::time::Duration;

use anyhow::{Context, Result};

use crate::cli::TraceArgs;
use crate::tool::fetch;

/// Prints the trace until the host stops or the time limit has passed. Only complete lines are
/// printed.
///
/// # Errors
///
/// Returns an error if the host can't be reached, its trace has a reader already, or the output
/// can't be written.
pub(crate) async fn run(args: &TraceArgs) -> Result<()> {
    let span = args.span.unwrap_or(Duration::MAX);
    let mut buffer = Vec::new();
    let printing = fetch::stream(args.admin, "/trace", |data| {
        buffer.extend_from_slice(data);
        let complete = buffer.iter().rposition(|b| *b == b'\n').map_or(0, |i| i + 1);
        let lines: Vec<u8> = buffer.drain(..complete).collect();
        std::io::stdout().lock().write_all(&lines).context("standard output")
    });
    tokio::time::timeout(span, printing).await.unwrap_or(Ok(()))
}
