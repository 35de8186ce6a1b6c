//! Log records as JSON lines, written by a separate thread.
//!
//! Logging never blocks: lines are collected in a bounded buffer, and lines that do not fit are
//! dropped and counted, those below warning level first. The writer thread writes all buffered
//! lines at once, several times a second.

use log::kv::{Error as KvError, Key, Value, VisitSource};
use log::{Level, LevelFilter, Log, Metadata, Record};
use std::fmt::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// Buffered bytes beyond which only warnings and errors are accepted.
const MAX_BUFFER_BYTES: usize = 256 * 1024;
/// Buffered bytes beyond which all lines are dropped.
const MAX_BUFFER_BYTES_WARNINGS: usize = 384 * 1024;
/// Time for which lines are collected before a write.
const COLLECT_TIME: Duration = Duration::from_millis(60);
/// Longest wait of a flush, which is used at the end of a process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

#[derive(Default)]
struct Buffer {
    lines: String,
    dropped: u64,
    writing: bool,
}

#[derive(Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    filled: Condvar,
    /// Lines dropped since the start.
    dropped: AtomicU64,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counter of dropped lines; cheap to clone.
#[derive(Clone)]
pub struct DroppedLines(Arc<Shared>);

impl DroppedLines {
    /// Number of lines dropped since the start.
    pub fn count(&self) -> u64 {
        self.0.dropped.load(Ordering::Relaxed)
    }
}

/// Logger that writes records as JSON lines.
pub struct JsonLines {
    shared: Arc<Shared>,
    level: LevelFilter,
    /// Encoded fields that are the same in all lines.
    common_fields: String,
}

impl JsonLines {
    /// Starts the thread that writes to `output`. Every line carries `process` and `machine`.
    pub fn start(
        process: &str,
        machine: &str,
        level: LevelFilter,
        output: impl std::io::Write + Send + 'static,
    ) -> std::io::Result<Self> {
        let mut common_fields = String::new();
        push_field(&mut common_fields, "process", process);
        push_field(&mut common_fields, "machine", machine);
        let shared = Arc::new(Shared::default());
        let writer = shared.clone();
        std::thread::Builder::new()
            .name("log".into())
            .spawn(move || write_lines(&writer, output))?;
        Ok(Self { shared, level, common_fields })
    }

    /// The counter of dropped lines; it stays valid after the logger has been moved.
    pub fn dropped(&self) -> DroppedLines {
        DroppedLines(self.shared.clone())
    }

    fn line(&self, record: &Record<'_>) -> String {
        let mut line = String::with_capacity(240);
        let now = SystemTime::now();
        // Writing to a string cannot fail.
        let _ = write!(line, "{{\"time\":\"{}\"", humantime::format_rfc3339_millis(now));
        push_field(&mut line, "level", level_name(record.level()));
        line.push_str(&self.common_fields);
        push_field(&mut line, "module", record.target());
        match record.args().as_str() {
            Some(text) => push_field(&mut line, "message", text),
            None => push_field(&mut line, "message", &record.args().to_string()),
        }
        // A field that cannot be formatted is left out; the record itself is still written.
        let _ = record.key_values().visit(&mut Fields(&mut line));
        line.push_str("}\n");
        line
    }
}

impl Log for JsonLines {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        let own = metadata.target().starts_with("stackpost");
        metadata.level() <= if own { self.level } else { LevelFilter::Warn }
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let line = self.line(record);
        let at_least_warning = record.level() <= Level::Warn;
        let limit = if at_least_warning { MAX_BUFFER_BYTES_WARNINGS } else { MAX_BUFFER_BYTES };
        let mut buffer = self.shared.lock();
        if buffer.lines.len() + line.len() > limit {
            buffer.dropped += 1;
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let was_empty = buffer.lines.is_empty();
        buffer.lines.push_str(&line);
        drop(buffer);
        if was_empty {
            self.shared.filled.notify_one();
        }
    }

    fn flush(&self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while Instant::now() < deadline {
            let buffer = self.shared.lock();
            if buffer.lines.is_empty() && !buffer.writing {
                return;
            }
            drop(buffer);
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

fn write_lines(shared: &Shared, mut output: impl std::io::Write) {
    loop {
        let mut buffer = shared.lock();
        while buffer.lines.is_empty() {
            buffer = shared.filled.wait(buffer).unwrap_or_else(PoisonError::into_inner);
        }
        drop(buffer);
        std::thread::sleep(COLLECT_TIME);
        let mut buffer = shared.lock();
        let mut lines = std::mem::take(&mut buffer.lines);
        let dropped = std::mem::take(&mut buffer.dropped);
        buffer.writing = true;
        drop(buffer);
        if dropped > 0 {
            let _ = writeln!(
                lines,
                "{{\"level\":\"warn\",\"message\":\"log lines dropped\",\"count\":\"{dropped}\"}}"
            );
        }
        // If the output is closed, the error cannot be reported anywhere.
        let _ = output.write_all(lines.as_bytes());
        shared.lock().writing = false;
    }
}

struct Fields<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), KvError> {
        match value.to_borrowed_str() {
            Some(text) => push_field(self.0, key.as_str(), text),
            None => push_field(self.0, key.as_str(), &value.to_string()),
        }
        Ok(())
    }
}

fn level_name(level: Level) -> &'static str {
    match level {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
    }
}

fn push_field(line: &mut String, key: &str, value: &str) {
    line.push_str(",\"");
    line.push_str(key);
    line.push_str("\":\"");
    for character in value.chars() {
        match character {
            '"' => line.push_str("\\\""),
            '\\' => line.push_str("\\\\"),
            '\n' => line.push_str("\\n"),
            control if control < ' ' => {
                let _ = write!(line, "\\u{:04x}", control as u32);
            }
            other => line.push(other),
        }
    }
    line.push('"');
}
