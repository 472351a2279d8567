//! Sets up logging with `fern`.
//!
//! A thread writes the lines from a bounded queue, so that a slow reader of the output never blocks
//! the daemon. Lines beyond the bounds are dropped, and their count is logged.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::Duration;

use log::kv::{Key, Value, VisitSource};
use marigoldglade::prelude::*;
use marigoldglade::settings::{Log, LogFormat, LogOutput};
use marigoldglade::time::SECOND_MS;

/// The most lines that may wait to be written.
const QUEUE_LINES: usize = 4_096;
/// The most lines below the level of warnings in a second, which bounds a daemon's logs to about
/// 100 KB a second.
const LINES_PER_SECOND: u64 = 600;
/// The time for which lines are collected into one write, in milliseconds.
const BATCH_MS: u64 = 50;
/// The time that the process gives its last lines to be written, in milliseconds.
const FLUSH_MS: u64 = 100;

/// The fields that a JSON line begins with, and the one that it ends with: collectors cut long lines, and what
/// was decided about what, and why, must be left.
const FIRST_FIELDS: [&str; 23] = [
    "message", "at_ms", "task", "run", "before", "why", "idle_ms", "fitting", "count", "how",
    "from", "heard_ms", "worker", "job", "call", "reply", "term", "commit", "revision", "daemon",
    "kind", "sent", "level",
];
const LAST_FIELD: &str = "module";

static QUEUE: OnceLock<SyncSender<String>> = OnceLock::new();
static DROPPED: AtomicU64 = AtomicU64::new(0);
/// The current second, and the lines below the level of warnings that were logged in it.
static RATE: Mutex<(u64, u64)> = Mutex::new((0, 0));

/// Starts the process's log, which writes one event a line.
///
/// # Errors
///
/// [`Kind::Internal`] when the writing thread can't be started or a log is already set.
pub(crate) fn start(log: &Log) -> Result<()> {
    let (queue, lines) = sync_channel(QUEUE_LINES);
    let output = log.output;
    std::thread::Builder::new()
        .name("logs".to_owned())
        .spawn(move || write_lines(&lines, output))
        .map_err(|e| Error::new(Kind::Internal, e.to_string()))?;
    let _ = QUEUE.set(queue);
    let format = log.format;
    let mut sink = fern::Dispatch::new()
        .level(log.level)
        .filter(|metadata| metadata.level() <= log::Level::Warn || within_rate())
        .format(move |out, message, record| match format {
            LogFormat::Text => out.finish(format_args!("{}", text_line(message, record))),
            LogFormat::Json => out.finish(format_args!("{}", json_line(message, record))),
        })
        .chain(fern::Output::call(|record| {
            enqueue(record.args().to_string());
        }));
    for (module, level) in &log.modules {
        sink = sink.level_for(module.clone(), *level);
    }
    sink.apply()
        .map_err(|e| Error::new(Kind::Internal, e.to_string()))
}

/// Waits for the last lines of the process to be written.
pub(crate) fn flush() {
    std::thread::sleep(Duration::from_millis(FLUSH_MS));
}

/// Counts a line and returns whether it is within the rate limit.
fn within_rate() -> bool {
    let second = crate::clock::now().0 / SECOND_MS;
    let mut rate = RATE.lock().unwrap_or_else(PoisonError::into_inner);
    if rate.0 != second {
        *rate = (second, 0);
    }
    rate.1 += 1;
    let within = rate.1 <= LINES_PER_SECOND;
    if !within {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
    within
}

fn enqueue(line: String) {
    if let Some(queue) = QUEUE.get()
        && let Err(TrySendError::Full(_)) = queue.try_send(line)
    {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

fn write_lines(lines: &Receiver<String>, output: LogOutput) {
    let mut batch = String::new();
    while let Ok(line) = lines.recv() {
        batch.clear();
        batch.push_str(&line);
        batch.push('\n');
        for line in lines.try_iter() {
            batch.push_str(&line);
            batch.push('\n');
        }
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let at = crate::clock::now().0;
            batch.push_str(&format!(
                "{{\"message\":\"log lines dropped\",\"at_ms\":{at},\"level\":\"WARN\",\"lines\":{dropped}}}\n"
            ));
        }
        // A failure to write the log can't be reported anywhere.
        let _ = match output {
            LogOutput::Stdout => std::io::stdout().lock().write_all(batch.as_bytes()),
            LogOutput::Stderr => std::io::stderr().lock().write_all(batch.as_bytes()),
        };
        // Lines are collected after a write, not before it: the first ones of a burst are out if the process is
        // killed.
        std::thread::sleep(Duration::from_millis(BATCH_MS));
    }
}

/// Collects the key-value pairs of a log record.
struct Fields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: Value<'kvs>,
    ) -> std::result::Result<(), log::kv::Error> {
        let value = if let Some(n) = value.to_u64() {
            n.into()
        } else if let Some(b) = value.to_bool() {
            b.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

fn fields(record: &log::Record<'_>) -> serde_json::Map<String, serde_json::Value> {
    let mut fields = Fields(serde_json::Map::new());
    // The visitor never returns an error.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}

fn json_line(message: &std::fmt::Arguments<'_>, record: &log::Record<'_>) -> String {
    let mut line = serde_json::Map::new();
    line.insert("at_ms".to_owned(), crate::clock::now().0.into());
    line.insert("level".to_owned(), record.level().as_str().into());
    line.insert("module".to_owned(), record.target().into());
    line.insert("message".to_owned(), message.to_string().into());
    line.extend(fields(record));
    let mut pairs: Vec<_> = line.into_iter().collect();
    pairs.sort_by_key(|(key, _)| {
        let first = FIRST_FIELDS.iter().position(|f| f == key);
        first.unwrap_or(FIRST_FIELDS.len() + usize::from(key == LAST_FIELD))
    });
    let pairs: Vec<String> = pairs
        .into_iter()
        .map(|(key, value)| format!("{}:{value}", serde_json::Value::String(key)))
        .collect();
    format!("{{{}}}", pairs.join(","))
}

fn text_line(message: &std::fmt::Arguments<'_>, record: &log::Record<'_>) -> String {
    let (at, level, module) = (crate::clock::now().0, record.level(), record.target());
    let mut line = format!("{at} {level} {module}: {message}");
    for (key, value) in fields(record) {
        line.push_str(&format!(" {key}={value}"));
    }
    line
}
