//! `cornelferry timeline`: the events of every host as one time line.

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use anyhow::Result;
use serde::Serialize;

use crate::cli::TimelineArgs;
use crate::event::{Event, Filter, Page};
use crate::hlc::Timestamp;
use crate::tool::fleet::{self, Silent};
use crate::tool::table;

/// The last millisecond of the year 9999, the last that can be written as text.
const LAST_MILLIS: u64 = 253_402_300_799_999;

/// An event and the host that it is of.
#[derive(Debug, Serialize)]
struct Line {
    host: Arc<str>,
    text: &'static str,
    #[serde(flatten)]
    event: Event,
}

/// Events that a host could not give.
#[derive(Debug, Serialize)]
struct Gap {
    host: Arc<str>,
    dropped: u64,
    omitted: u64,
}

#[derive(Debug, Serialize)]
struct Timeline {
    events: Vec<Line>,
    gaps: Vec<Gap>,
    unreachable: Vec<Silent>,
}

/// Prints the merged events, and says which hosts and events are missing.
///
/// # Errors
///
/// If no host can be reached.
pub(crate) async fn run(args: &TimelineArgs) -> Result<()> {
    let query = serde_urlencoded::to_string(filter(args))?;
    let answers = fleet::ask::<Page>(&args.fleet, &format!("/events?{query}")).await?;
    let timeline = merge(answers.given, answers.silent);
    timeline.unreachable.iter().for_each(|s| eprintln!("{s}"));
    timeline.gaps.iter().for_each(|g| eprintln!("{}", gap_text(g)));
    if args.json {
        println!("{}", serde_json::to_string_pretty(&timeline)?);
        return Ok(());
    }
    let mut out = table::with_header(&["TIME (UTC)", "HOST", "EVENT", "WHAT", "ABOUT"]);
    for line in &timeline.events {
        out.add_row([
            time(line.event.stamp),
            line.host.to_string(),
            line.event.code.to_string(),
            line.text.to_owned(),
            line.event.details().trim_start().to_owned(),
        ]);
    }
    println!("{out}");
    Ok(())
}

fn filter(args: &TimelineArgs) -> Filter {
    Filter {
        since_ms: args.since.map(|d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX)),
        request: args.request.clone(),
        service: args.service.clone(),
        upstream: args.upstream.clone(),
        record: args.profile.as_ref().map(|p| format!("profile/{p}")),
        ..Filter::default()
    }
}

/// Merges by stamp, so that a cause stands before its effect on another host.
fn merge(pages: Vec<Page>, unreachable: Vec<Silent>) -> Timeline {
    let mut gaps = Vec::new();
    let mut events = Vec::new();
    for Page { host, dropped, omitted, events: page } in pages {
        if dropped + omitted > 0 {
            gaps.push(Gap { host: host.clone(), dropped, omitted });
        }
        let line = |event: Event| Line { host: host.clone(), text: event.text(), event };
        events.extend(page.into_iter().map(line));
    }
    events.sort_by(|a, b| key(a).cmp(&key(b)));
    Timeline { events, gaps, unreachable }
}

fn key(line: &Line) -> (Timestamp, &str, u64) {
    (line.event.stamp, &line.host, line.event.seq)
}

fn gap_text(gap: &Gap) -> String {
    let Gap { host, dropped, omitted } = gap;
    format!("{host} no longer holds its first {dropped} events and left out {omitted} more")
}

/// Returns the time of day, and the count within its millisecond if there is one.
fn time(stamp: Timestamp) -> String {
    let at = UNIX_EPOCH + Duration::from_millis(stamp.millis.min(LAST_MILLIS));
    let text = humantime::format_rfc3339_millis(at).to_string();
    let of_day = text.get(11..23).unwrap_or(&text);
    match stamp.count {
        0 => of_day.to_owned(),
        count => format!("{of_day}+{count}"),
    }
}
