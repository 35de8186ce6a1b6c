//! Log lines are whole JSON, and nobody waits for whoever reads them.

use log::{Level, LevelFilter, Log, Record};
use serde_json::Value;
use stackpost_telemetry::{JsonLines, MetricsRegistry};
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex};

/// An output that can stand still.
#[derive(Clone, Default)]
struct Output {
    state: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Default)]
struct State {
    text: String,
    held: bool,
}

impl Output {
    fn hold(&self, held: bool) {
        self.state.0.lock().expect("not poisoned").held = held;
        self.state.1.notify_all();
    }

    fn lines(&self) -> Vec<Value> {
        let state = self.state.0.lock().expect("not poisoned");
        let parse = |line| serde_json::from_str(line).expect("a line is whole JSON");
        state.text.lines().map(parse).collect()
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let mut state = self.state.0.lock().expect("not poisoned");
        while state.held {
            state = self.state.1.wait(state).expect("not poisoned");
        }
        state.text.push_str(std::str::from_utf8(bytes).expect("text"));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn log(lines: &JsonLines, level: Level, message: &str) {
    let fields = [("request", "7\"f"), ("reason", "budget\nexhausted")];
    lines.log(
        &Record::builder()
            .level(level)
            .target("stackpost_test")
            .args(format_args!("{message}"))
            .key_values(&fields)
            .build(),
    );
}

fn started(output: &Output) -> JsonLines {
    JsonLines::start("router", "hall-1", LevelFilter::Info, output.clone()).expect("started")
}

#[test]
fn every_line_is_json_with_the_same_fields() {
    let output = Output::default();
    let lines = started(&output);
    log(&lines, Level::Info, "a \"message\" with\ttabs");
    log(&lines, Level::Debug, "not wanted");
    while output.lines().is_empty() {
        lines.flush();
    }
    let written = output.lines();
    assert_eq!(written.len(), 1);
    let line = &written[0];
    assert_eq!(
        (line["process"].as_str(), line["machine"].as_str()),
        (Some("router"), Some("hall-1"))
    );
    assert_eq!(line["message"], "a \"message\" with\ttabs");
    assert_eq!((&line["request"], &line["reason"]), (&"7\"f".into(), &"budget\nexhausted".into()));
    assert_eq!(line["level"], "info");
}

#[test]
fn a_reader_that_stands_still_costs_lines_and_no_time() {
    let output = Output::default();
    output.hold(true);
    let lines = started(&output);
    let long = "x".repeat(1_000);
    for _ in 0..2_000 {
        log(&lines, Level::Info, &long);
    }
    log(&lines, Level::Error, "grave");
    let registry = MetricsRegistry::new().expect("a registry");
    registry.watch_log(lines.dropped());
    let dropped = lines.dropped().count();
    assert!(dropped > 0);
    let figures = registry.render().expect("figures");
    let mut lines_of_figure =
        figures.lines().filter(|line| line.starts_with("stackpost_log_lines_dropped_total"));
    let figure = lines_of_figure.next().and_then(|line| line.rsplit(' ').next());
    assert_eq!(figure, Some(dropped.to_string().as_str()));
    output.hold(false);
    while !output.lines().iter().any(|line| line["message"] == "log lines dropped") {
        log(&lines, Level::Info, "more");
        lines.flush();
    }
    let written = output.lines();
    assert!(written.iter().any(|line| line["message"] == "grave"), "the grave line is kept");
    assert!(written.len() < 2_000);
}
