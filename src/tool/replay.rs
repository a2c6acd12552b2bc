//! `cornelferry replay`: checks a recorded trace against the invariants.

use std::fs::File;
use std::io::BufReader;

use anyhow::Result;

use crate::cli::ReplayArgs;
use crate::error::{Code, Error};
use crate::trace::{self, Breach, Trace};

/// Checks the recorded run and a rerun of the decision library on its inputs, and prints every
/// breach.
///
/// # Errors
///
/// Returns [`Code::Breach`] if an invariant doesn't hold; [`Code::Unreadable`] if the file can't be
/// read; [`Code::Invalid`] if it isn't a trace.
pub(crate) fn run(args: &ReplayArgs) -> Result<()> {
    let name = args.trace.display();
    let unreadable = |e| Error::new(Code::Unreadable, format!("{name}: {e}"));
    let file = File::open(&args.trace).map_err(unreadable)?;
    let trace = Trace::read(BufReader::new(file))
        .map_err(|e| Error::new(e.code, format!("{name}: {}", e.detail)))?;
    let recorded = trace::check_recording(&trace);
    let rerun = trace::check_rerun(&trace, args.seed);
    print_breaches(&recorded, "recorded");
    print_breaches(&rerun, &format!("rerun with seed {}", args.seed));
    let count = recorded.len() + rerun.len();
    if count > 0 {
        let detail = format!("{name}: {count} breaches, seed {}", args.seed);
        return Err(Error::new(Code::Breach, detail).into());
    }
    println!("{name}: {} lines, seed {}, no breach", trace.lines.len(), args.seed);
    Ok(())
}

fn print_breaches(breaches: &[Breach], layer: &str) {
    breaches.iter().for_each(|b| println!("{layer}: {b}"));
}
