//! Structured logs: one JSON object per line on standard output.
//!
//! Logging never blocks on the reader of the output: lines pass through a bounded queue to a writer
//! thread, and lines that find the queue full are dropped and counted.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, SystemTime};

use env_logger::{Env, Target};
use log::Record;
use serde_json::{Value, json};

/// Log target of records whose message already is a complete JSON object.
pub(crate) const JSON_TARGET: &str = "cornelferry::object";
/// Capacity of the queue, in lines: some seconds' worth at the maximum rate of request log lines.
const QUEUE_CAPACITY: usize = 1_024;
/// Lines in the queue above which no line about a request is added, so that the events of the host
/// itself are not dropped while requests are many.
const REQUEST_LINES_MAX: usize = QUEUE_CAPACITY / 2;
/// Time without a new line after which dropped lines are reported.
const DROP_REPORT_DELAY: Duration = Duration::from_secs(1);

/// Number of lines since the process started that were dropped or could not be written.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Number of lines in the queue.
static QUEUED: AtomicUsize = AtomicUsize::new(0);

/// Name of this process's host, set by [`init`].
static HOST: OnceLock<Arc<str>> = OnceLock::new();

/// Returns the name of this process's host; empty before [`init`].
pub(crate) fn host() -> &'static str {
    HOST.get().map_or("", |host| host)
}

/// Returns the number of lines since the process started that were dropped or could not be written.
pub(crate) fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Returns whether the queue has room for lines about a request.
pub(crate) fn has_room_for_request() -> bool {
    QUEUED.load(Ordering::Relaxed) < REQUEST_LINES_MAX
}

/// Starts logging for a host. Only the first call in a process has an effect.
///
/// # Errors
///
/// Returns an error if the writer thread can't be started.
pub fn init(host: &Arc<str>) -> io::Result<()> {
    let (tx, rx) = sync_channel(QUEUE_CAPACITY);
    if HOST.set(host.clone()).is_err() {
        return Ok(());
    }
    std::thread::Builder::new().name("logs".to_owned()).spawn(move || write_lines(&rx))?;
    let _ = env_logger::Builder::from_env(Env::default().default_filter_or("info"))
        .format(move |f, record| writeln!(f, "{}", format_line(record, SystemTime::now())))
        .target(Target::Pipe(Box::new(QueueWriter(tx))))
        .try_init();
    Ok(())
}

/// Formats a log record as a JSON object.
fn format_line(record: &Record<'_>, now: SystemTime) -> String {
    if record.target() == JSON_TARGET {
        return record.args().to_string();
    }
    let message = record.args().to_string();
    json!({
        "time": timestamp(now), "host": host(), "level": record.level().as_str().to_lowercase(),
        "message": message,
    })
    .to_string()
}

/// Formats a time for log lines: RFC 3339 with milliseconds.
pub(crate) fn timestamp(at: SystemTime) -> Value {
    humantime::format_rfc3339_millis(at).to_string().into()
}

/// The sending side of the queue, as a writer for the logger.
struct QueueWriter(SyncSender<Vec<u8>>);

impl Write for QueueWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        QUEUED.fetch_add(1, Ordering::Relaxed);
        if self.0.try_send(buf.to_vec()).is_err() {
            QUEUED.fetch_sub(1, Ordering::Relaxed);
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the process ends, and reports how many were dropped.
fn write_lines(rx: &Receiver<Vec<u8>>) {
    let mut reported = 0;
    loop {
        let wait = if dropped() > reported { DROP_REPORT_DELAY } else { Duration::MAX };
        let received = match wait {
            Duration::MAX => rx.recv().map_err(|_| RecvTimeoutError::Disconnected),
            wait => rx.recv_timeout(wait),
        };
        let mut out = io::stdout().lock();
        let written = match received {
            Ok(line) => {
                QUEUED.fetch_sub(1, Ordering::Relaxed);
                out.write_all(&line)
            }
            Err(RecvTimeoutError::Timeout) => {
                let dropped = dropped();
                let message = format!("{} log lines dropped", dropped - reported);
                reported = dropped;
                let time = timestamp(SystemTime::now());
                let line = json!({
                    "time": time, "host": host(), "level": "warn", "message": message,
                });
                writeln!(out, "{line}")
            }
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if written.is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }
}
