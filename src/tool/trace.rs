//! `cornelferry trace`: prints a host's trace as it happens.

use std::io::Write;
use std::time::Duration;

use anyhow::{Context, Result};

use crate::cli::TraceArgs;
use crate::tool::fetch;

/// Prints the trace, whole lines only, until the host stops or the time is over.
///
/// # Errors
///
/// If the host can't be reached, is being recorded already, or the output can't be written.
pub(crate) async fn run(args: &TraceArgs) -> Result<()> {
    let span = args.span.unwrap_or(Duration::MAX);
    let mut begun = Vec::new();
    let copy = fetch::stream(args.admin, "/trace", |data| {
        begun.extend_from_slice(data);
        let whole = begun.iter().rposition(|b| *b == b'\n').map_or(0, |i| i + 1);
        let lines: Vec<u8> = begun.drain(..whole).collect();
        std::io::stdout().lock().write_all(&lines).context("standard output")
    });
    tokio::time::timeout(span, copy).await.unwrap_or(Ok(()))
}
