//! Set-up of logging: structured records on standard error, or JSON lines on standard output.

use crate::json_lines::{DroppedLines, JsonLines};
use log::kv::{Error as KvError, Key, Value, VisitSource};
use serde_json::{Map, Value as Json, json};
use stackpost_settings::{LogFormat, LogLevel, LogOptions};
use std::time::SystemTime;

/// Collects the key-value pairs of a record.
#[derive(Default)]
struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), KvError> {
        self.0.insert(key.to_string(), Json::String(value.to_string()));
        Ok(())
    }
}

/// Starts logging as JSON lines to standard output, through a writer thread that never blocks the
/// caller. Returns the counter of dropped lines.
pub fn start_json_lines(
    process: &str,
    machine: &str,
    level: LogLevel,
) -> Result<DroppedLines, Box<dyn std::error::Error>> {
    let level = level_filter(level);
    let lines = JsonLines::start(process, machine, level, std::io::stdout())?;
    let dropped = lines.dropped();
    let lines: Box<dyn log::Log> = Box::new(lines);
    fern::Dispatch::new().level(level).chain(lines).apply()?;
    Ok(dropped)
}

fn level_filter(level: LogLevel) -> log::LevelFilter {
    match level {
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
    }
}

/// Starts logging to standard error for `process` on `machine`. Log rotation is left to the
/// platform.
pub fn start_logs(
    process: &'static str,
    machine: &str,
    options: &LogOptions,
) -> Result<(), log::SetLoggerError> {
    let level = level_filter(options.level);
    let machine = machine.to_string();
    let as_json = options.format == LogFormat::Json;
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("stackpost", level)
        .filter(move |metadata| {
            metadata.target().starts_with("stackpost") || metadata.level() <= log::Level::Warn
        })
        .level(level)
        .format(move |out, message, record| {
            let mut fields = Fields::default();
            // A field that cannot be formatted is left out; the record itself is still written.
            let _ = record.key_values().visit(&mut fields);
            let time = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
            if as_json {
                let mut line = json!({
                    "time": time,
                    "level": record.level().as_str().to_lowercase(),
                    "process": process,
                    "machine": machine,
                    "module": record.target(),
                    "message": message.to_string(),
                });
                if let Some(object) = line.as_object_mut() {
                    object.extend(fields.0);
                }
                out.finish(format_args!("{line}"));
            } else {
                let pairs: String =
                    fields.0.iter().map(|(key, value)| format!(" {key}={value}")).collect();
                let level = record.level();
                out.finish(format_args!("{time} {level} {process}@{machine} {message}{pairs}"));
            }
        })
        .chain(std::io::stderr())
        .apply()
}
