//! `cornelferry timeline`: the events of every entry host, merged into one timeline.

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use anyhow::Result;
use serde::Serialize;

use crate::cli::TimelineArgs;
use crate::event::{Event, Filter, Page};
use crate::hlc::Timestamp;
use crate::tool::fleet::{self, UnreachableHost};
use crate::tool::table;

/// The last millisecond of the year 9999, in Unix time. `humantime` can't format later times.
const TIMESTAMP_MAX_MS: u64 = 253_402_300_799_999;

/// An event and the host that recorded it.
#[derive(Debug, Serialize)]
struct HostEvent {
    host: Arc<str>,
    text: &'static str,
    #[serde(flatten)]
    event: Event,
}

/// The numbers of a host's events that are missing from the timeline.
#[derive(Debug, Serialize)]
struct Gap {
    host: Arc<str>,
    /// Events that the host's ring buffer no longer holds.
    dropped: u64,
    /// Matching events over the limit of one response.
    omitted: u64,
}

/// The merged events, and what is missing from them.
#[derive(Debug, Serialize)]
struct Timeline {
    events: Vec<HostEvent>,
    gaps: Vec<Gap>,
    unreachable: Vec<UnreachableHost>,
}

/// Prints the merged events, and reports missing hosts and events on standard error.
///
/// # Errors
///
/// Returns an error if no host can be reached.
pub(crate) async fn run(args: &TimelineArgs) -> Result<()> {
    let query = serde_urlencoded::to_string(filter(args))?;
    let fleet = fleet::get_from_all::<Page>(&args.fleet, &format!("/events?{query}")).await?;
    let timeline = merge(fleet.responses, fleet.unreachable);
    timeline.unreachable.iter().for_each(|h| eprintln!("{h}"));
    timeline.gaps.iter().for_each(|g| eprintln!("{}", gap_text(g)));
    if args.json {
        println!("{}", serde_json::to_string_pretty(&timeline)?);
        return Ok(());
    }
    let mut out = table::with_header(&["TIME (UTC)", "HOST", "EVENT", "WHAT", "ABOUT"]);
    for event in &timeline.events {
        out.add_row([
            time_of_day(event.event.stamp),
            event.host.to_string(),
            event.event.code.to_string(),
            event.text.to_owned(),
            event.event.details().trim_start().to_owned(),
        ]);
    }
    println!("{out}");
    Ok(())
}

/// Returns the filter that hosts apply to their events.
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

/// Merges events in the order of their hybrid logical timestamps, in which a cause precedes its
/// effects on other hosts.
fn merge(pages: Vec<Page>, unreachable: Vec<UnreachableHost>) -> Timeline {
    let mut gaps = Vec::new();
    let mut events = Vec::new();
    for Page { host, dropped, omitted, events: page } in pages {
        if dropped + omitted > 0 {
            gaps.push(Gap { host: host.clone(), dropped, omitted });
        }
        let host_event = |event: Event| HostEvent { host: host.clone(), text: event.text(), event };
        events.extend(page.into_iter().map(host_event));
    }
    events.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
    Timeline { events, gaps, unreachable }
}

fn sort_key(event: &HostEvent) -> (Timestamp, &str, u64) {
    (event.event.stamp, &event.host, event.event.seq)
}

fn gap_text(gap: &Gap) -> String {
    let Gap { host, dropped, omitted } = gap;
    format!("{host}: the oldest {dropped} events are no longer stored, {omitted} more were omitted")
}

/// Formats a timestamp as the time of day in UTC, followed by its counter within the millisecond if
/// that isn't zero.
fn time_of_day(timestamp: Timestamp) -> String {
    let at = UNIX_EPOCH + Duration::from_millis(timestamp.millis.min(TIMESTAMP_MAX_MS));
    let text = humantime::format_rfc3339_millis(at).to_string();
    let of_day = text.get(11..23).unwrap_or(&text);
    match timestamp.count {
        0 => of_day.to_owned(),
        count => format!("{of_day}+{count}"),
    }
}
