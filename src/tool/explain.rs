//! `cornelferry explain`: the decisions on one request, from the logs of one or more hosts.

use std::fs::File;
use std::io::{BufRead, BufReader, Read};
use std::path::Path;
use std::time::{Duration, SystemTime};

use anyhow::Result;
use serde_json::{Map, Value};

use crate::cli::ExplainArgs;
use crate::error::{Code, Error};
use crate::request_log;

/// Maximum number of bytes read as one log line. A longer line is read in parts, which are skipped
/// because they aren't JSON objects.
const LINE_MAX_BYTES: u64 = 1 << 20;
/// Other events of a request's host are shown from this time before the request's first line on.
const LEAD_TIME: Duration = Duration::from_secs(2);
/// What precedes the host's name in the field `record` of an event on a host record.
const HOST_RECORD_PREFIX: &str = "host/";
/// Fields that aren't listed at the end of a printed line: those at its head, the log level, the
/// request and its step numbers.
const OMITTED_FIELDS: [&str; 8] =
    ["time", "host", "event", "message", "level", "request", "step", "steps"];

/// A parsed log line.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    at: SystemTime,
    fields: Map<String, Value>,
}

/// The content of the logs on a request.
#[derive(Debug, Default)]
pub(crate) struct Explanation {
    /// The lines of the request and those of other events that may have affected it, in order of
    /// time.
    pub(crate) lines: Vec<Line>,
    /// The steps of the request that have no line, as text.
    pub(crate) missing: Vec<String>,
}

/// Prints what the logs contain about a request.
///
/// # Errors
///
/// Returns [`Code::Unreadable`] if a file can't be read, [`Code::NoRecord`] if no line names the
/// request.
pub(crate) fn run(args: &ExplainArgs) -> Result<()> {
    let mut lines = Vec::new();
    for file in &args.files {
        let unreadable = |e| Error::new(Code::Unreadable, format!("{}: {e}", file.display()));
        lines.extend(read(open(file).map_err(unreadable)?).map_err(unreadable)?);
    }
    if args.files.is_empty() {
        let unreadable = |e| Error::new(Code::Unreadable, format!("standard input: {e}"));
        lines = read(std::io::stdin().lock()).map_err(unreadable)?;
    }
    let explanation = explain(request_log::shown_id(&args.request), &lines);
    if explanation.lines.is_empty() {
        let detail = format!("no line of {} names request {:?}", lines.len(), args.request);
        return Err(Error::new(Code::NoRecord, detail).into());
    }
    explanation.lines.iter().for_each(|line| println!("{}", line.text()));
    explanation.missing.iter().for_each(|what| println!("missing: {what}"));
    Ok(())
}

fn open(file: &Path) -> std::io::Result<BufReader<File>> {
    Ok(BufReader::new(File::open(file)?))
}

/// Reads the log lines of a stream. Text before the JSON object of a line is skipped, and so are
/// lines without such an object.
///
/// # Errors
///
/// Returns an error if the stream can't be read.
pub(crate) fn read(mut stream: impl BufRead) -> std::io::Result<Vec<Line>> {
    let mut out = Vec::new();
    let mut buf = Vec::new();
    loop {
        buf.clear();
        if stream.by_ref().take(LINE_MAX_BYTES).read_until(b'\n', &mut buf)? == 0 {
            return Ok(out);
        }
        out.extend(Line::parse(&String::from_utf8_lossy(&buf)));
    }
}

/// Selects the lines that concern a request: its own ones, and from [`LEAD_TIME`] before its first
/// line to its last one also the other events of its host, without those of upstreams that it was
/// not sent to.
pub(crate) fn explain(request: &str, lines: &[Line]) -> Explanation {
    let of_request: Vec<&Line> = lines.iter().filter(|l| l.has_field("request", request)).collect();
    let (Some(first), Some(last)) =
        (of_request.iter().map(|l| l.at).min(), of_request.iter().map(|l| l.at).max())
    else {
        return Explanation::default();
    };
    let from = first.checked_sub(LEAD_TIME).unwrap_or(first);
    let concerns = |line: &Line| {
        let in_window = !line.fields.contains_key("request") && (from..=last).contains(&line.at);
        let same =
            |name: &str| of_request.iter().any(|l| l.text_field(name) == line.text_field(name));
        let upstream = line
            .text_field("upstream")
            .or_else(|| line.text_field("record")?.strip_prefix(HOST_RECORD_PREFIX));
        let tried = |name| of_request.iter().any(|l| l.has_field("upstream", name));
        in_window && same("host") && upstream.is_none_or(tried)
    };
    let mut out: Vec<Line> =
        lines.iter().filter(|l| l.has_field("request", request) || concerns(l)).cloned().collect();
    out.sort_by_key(|l| (l.at, l.number_field("step")));
    Explanation { lines: out, missing: missing_steps(&of_request) }
}

/// Lists the steps of a request that have no line. Each line states the total number of steps.
fn missing_steps(lines: &[&Line]) -> Vec<String> {
    let steps = lines.iter().map(|l| l.number_field("steps")).max().unwrap_or(0);
    let has_line = |step: &u64| lines.iter().any(|l| l.number_field("step") == *step);
    (1..=steps)
        .filter(|step| !has_line(step))
        .map(|step| format!("step {step} of {steps}"))
        .collect()
}

impl Line {
    fn parse(text: &str) -> Option<Line> {
        let object = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(object.trim_end()).ok()?;
        let at = humantime::parse_rfc3339(fields.get("time")?.as_str()?).ok()?;
        Some(Line { at, fields })
    }

    fn has_field(&self, name: &str, value: &str) -> bool {
        self.text_field(name) == Some(value)
    }

    fn text_field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn number_field(&self, name: &str) -> u64 {
        self.fields.get(name).and_then(Value::as_u64).unwrap_or(0)
    }

    /// Formats the line for printing.
    pub(crate) fn text(&self) -> String {
        let value_of = |name: &str| match self.fields.get(name) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => String::new(),
        };
        let rest = self.fields.iter().filter(|(name, _)| !OMITTED_FIELDS.contains(&name.as_str()));
        let rest: String = rest.map(|(name, _)| format!(" {name}={}", value_of(name))).collect();
        let (time, host) = (value_of("time"), value_of("host"));
        format!("{time} {host} {} {}{rest}", value_of("event"), value_of("message"))
    }
}
