//! Structured logs: one JSON object a line on standard output.
//!
//! Whoever logs never waits for the reader: lines go through a bounded queue to a thread that
//! writes them, and what finds the queue full is dropped and counted.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, SystemTime};

use env_logger::{Env, Target};
use log::Record;
use serde_json::{Value, json};

/// The target of records whose message is a whole JSON object.
pub(crate) const JSON_TARGET: &str = "cornelferry::object";
/// Lines that wait to be written: some seconds' worth at the rate that requests may log.
const LINES_MAX: usize = 1_024;
/// Time between two looks for lines that were dropped.
const DROPPED_CHECK: Duration = Duration::from_secs(1);

/// Lines dropped since the process started.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// The host whose process this is.
static HOST: OnceLock<Arc<str>> = OnceLock::new();

/// Returns the host whose process this is; empty before [`init`].
pub(crate) fn host() -> &'static str {
    HOST.get().map_or("", |host| host)
}

/// Returns the lines dropped since the process started.
pub(crate) fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Starts logging for a host. Only the first call of a process has an effect.
///
/// # Errors
///
/// If the writing thread can't be started.
pub fn init(host: &Arc<str>) -> io::Result<()> {
    let (tx, rx) = sync_channel(LINES_MAX);
    if HOST.set(host.clone()).is_err() {
        return Ok(());
    }
    std::thread::Builder::new().name("logs".to_owned()).spawn(move || write(&rx))?;
    let _ = env_logger::Builder::from_env(Env::default().default_filter_or("info"))
        .format(move |f, record| writeln!(f, "{}", line(record, SystemTime::now())))
        .target(Target::Pipe(Box::new(Queue(tx))))
        .try_init();
    Ok(())
}

/// Returns a record as a JSON object.
fn line(record: &Record<'_>, now: SystemTime) -> String {
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

/// Returns a time as it stands in log lines.
pub(crate) fn timestamp(at: SystemTime) -> Value {
    humantime::format_rfc3339_millis(at).to_string().into()
}

/// The end of the queue that loggers write to.
struct Queue(SyncSender<Vec<u8>>);

impl Write for Queue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.0.try_send(buf.to_vec()).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the process ends, and says when some were dropped.
fn write(rx: &Receiver<Vec<u8>>) {
    let mut told = 0;
    loop {
        let wait = if dropped() > told { DROPPED_CHECK } else { Duration::MAX };
        let received = match wait {
            Duration::MAX => rx.recv().map_err(|_| RecvTimeoutError::Disconnected),
            wait => rx.recv_timeout(wait),
        };
        let mut out = io::stdout().lock();
        let written = match received {
            Ok(line) => out.write_all(&line),
            Err(RecvTimeoutError::Timeout) => {
                let dropped = dropped();
                let message = format!("{} log lines dropped", dropped - told);
                told = dropped;
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
