//! Captures the log lines of all tests of this program, which share one logger.

use log::kv::{Error, Key, Value, VisitSource};
use std::collections::BTreeMap;
use std::sync::{Mutex, Once, PoisonError};

/// The fields of a log line.
pub type Fields = BTreeMap<String, String>;

struct Lines(Mutex<Vec<(String, Fields)>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));
static STARTED: Once = Once::new();

struct FieldCollector(Fields);

impl<'kvs> VisitSource<'kvs> for FieldCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut fields = FieldCollector(Fields::new());
        record.key_values().visit(&mut fields).expect("fields can be formatted");
        let line = (record.args().to_string(), fields.0);
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }

    fn flush(&self) {}
}

/// Starts to capture log lines.
pub fn capture_log_lines() {
    STARTED.call_once(|| {
        log::set_logger(&LINES).expect("no other logger");
        log::set_max_level(log::LevelFilter::Info);
    });
}

/// Lines with a message about these requests, in order.
pub fn log_lines_of_requests(message: &str, requests: &[&str]) -> Vec<Fields> {
    log_lines_with(message, "request", requests)
}

/// Lines with a message whose `field` has one of these values, in order.
pub fn log_lines_with(message: &str, field: &str, values: &[&str]) -> Vec<Fields> {
    let lines = LINES.0.lock().unwrap_or_else(PoisonError::into_inner);
    let matches_field =
        |fields: &Fields| fields.get(field).is_some_and(|value| values.contains(&value.as_str()));
    let matching = lines.iter().filter(|(text, fields)| text == message && matches_field(fields));
    matching.map(|(_, fields)| fields.clone()).collect()
}
