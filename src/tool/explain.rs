//! `cornelferry explain`: the decisions on one request, out of the logs of one or more hosts.

use std::fs::File;
use std::io::{BufRead, BufReader, Read};
use std::path::Path;
use std::time::{Duration, SystemTime};

use anyhow::Result;
use serde_json::{Map, Value};

use crate::cli::ExplainArgs;
use crate::error::{Code, Error};

/// The longest line that is read, in bytes.
const LINE_MAX_BYTES: u64 = 1 << 20;
/// Time before a request from which other events of its host and upstreams are shown.
const BEFORE: Duration = Duration::from_secs(2);
/// What the name of a host's record begins with.
const HOST: &str = "host/";
/// Fields that a printed line does not repeat.
const SHOWN: [&str; 8] = ["time", "host", "event", "message", "level", "request", "step", "steps"];

/// One log line.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    at: SystemTime,
    fields: Map<String, Value>,
}

/// What the logs say of a request.
#[derive(Debug, Default)]
pub(crate) struct Explanation {
    /// The lines of the request and of what else happened to its host and upstreams, in order.
    pub(crate) lines: Vec<Line>,
    /// What is missing.
    pub(crate) missing: Vec<String>,
}

/// Prints what the logs say of a request.
///
/// # Errors
///
/// [`Code::Unreadable`] if a file can't be read, [`Code::NoRecord`] if no line names the request.
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
    let found = explain(&args.request, &lines);
    if found.lines.is_empty() {
        let detail = format!("no line of {} names request {:?}", lines.len(), args.request);
        return Err(Error::new(Code::NoRecord, detail).into());
    }
    found.lines.iter().for_each(|line| println!("{}", line.text()));
    found.missing.iter().for_each(|what| println!("missing: {what}"));
    Ok(())
}

fn open(file: &Path) -> std::io::Result<BufReader<File>> {
    Ok(BufReader::new(File::open(file)?))
}

/// Reads the log lines of a stream. Whatever stands before an object on its line, and lines without
/// one, are left out.
///
/// # Errors
///
/// If the stream can't be read.
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

/// Collects what the lines say of a request.
pub(crate) fn explain(request: &str, lines: &[Line]) -> Explanation {
    let of_request: Vec<&Line> = lines.iter().filter(|l| l.is("request", request)).collect();
    let (Some(first), Some(last)) =
        (of_request.iter().map(|l| l.at).min(), of_request.iter().map(|l| l.at).max())
    else {
        return Explanation::default();
    };
    let from = first.checked_sub(BEFORE).unwrap_or(first);
    let concerns = |line: &Line| {
        let beside = !line.fields.contains_key("request") && (from..=last).contains(&line.at);
        let same = |name: &str| of_request.iter().any(|l| l.text_of(name) == line.text_of(name));
        let upstream =
            line.text_of("upstream").or_else(|| line.text_of("record")?.strip_prefix(HOST));
        let tried = |name| of_request.iter().any(|l| l.is("upstream", name));
        beside && same("host") && upstream.is_none_or(tried)
    };
    let mut out: Vec<Line> =
        lines.iter().filter(|l| l.is("request", request) || concerns(l)).cloned().collect();
    out.sort_by_key(|l| (l.at, l.number("step")));
    Explanation { lines: out, missing: missing(&of_request) }
}

/// Names the steps that a request's lines should have and have not.
fn missing(lines: &[&Line]) -> Vec<String> {
    let steps = lines.iter().map(|l| l.number("steps")).max().unwrap_or(0);
    let has = |step: &u64| lines.iter().any(|l| l.number("step") == *step);
    (1..=steps).filter(|step| !has(step)).map(|step| format!("step {step} of {steps}")).collect()
}

impl Line {
    fn parse(text: &str) -> Option<Line> {
        let object = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(object.trim_end()).ok()?;
        let at = humantime::parse_rfc3339(fields.get("time")?.as_str()?).ok()?;
        Some(Line { at, fields })
    }

    fn is(&self, name: &str, value: &str) -> bool {
        self.text_of(name) == Some(value)
    }

    fn text_of(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn number(&self, name: &str) -> u64 {
        self.fields.get(name).and_then(Value::as_u64).unwrap_or(0)
    }

    /// Returns the line as it is printed.
    pub(crate) fn text(&self) -> String {
        let head = |name: &str| match self.fields.get(name) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => String::new(),
        };
        let rest = self.fields.iter().filter(|(name, _)| !SHOWN.contains(&name.as_str()));
        let rest: String = rest.map(|(name, _)| format!(" {name}={}", head(name))).collect();
        let (time, host) = (head("time"), head("host"));
        format!("{time} {host} {} {}{rest}", head("event"), head("message"))
    }
}
