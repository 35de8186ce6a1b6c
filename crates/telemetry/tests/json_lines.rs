//! Every log line is complete JSON, and logging does not block when the output does.

use log::{Level, LevelFilter, Log, Record};
use serde_json::Value;
use stackpost_telemetry::{JsonLines, MetricsRegistry};
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex};

/// An output whose writes can be blocked.
#[derive(Clone, Default)]
struct Output {
    state: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Default)]
struct State {
    text: String,
    blocked: bool,
}

impl Output {
    fn set_blocked(&self, blocked: bool) {
        self.state.0.lock().expect("the lock is not poisoned").blocked = blocked;
        self.state.1.notify_all();
    }

    fn lines(&self) -> Vec<Value> {
        let state = self.state.0.lock().expect("the lock is not poisoned");
        let parse = |line| serde_json::from_str(line).expect("a line is complete JSON");
        state.text.lines().map(parse).collect()
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let mut state = self.state.0.lock().expect("the lock is not poisoned");
        while state.blocked {
            state = self.state.1.wait(state).expect("the lock is not poisoned");
        }
        state.text.push_str(std::str::from_utf8(bytes).expect("the output is UTF-8"));
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

fn start_logger(output: &Output) -> JsonLines {
    JsonLines::start("router", "hall-1", LevelFilter::Info, output.clone())
        .expect("start the writer thread")
}

#[test]
fn every_line_is_json_with_the_same_fields() {
    let output = Output::default();
    let lines = start_logger(&output);
    log(&lines, Level::Info, "a \"message\" with\ttabs");
    log(&lines, Level::Debug, "below the level");
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
fn a_blocked_output_drops_lines_and_does_not_block_logging() {
    let output = Output::default();
    output.set_blocked(true);
    let lines = start_logger(&output);
    let long = "x".repeat(1_000);
    for _ in 0..2_000 {
        log(&lines, Level::Info, &long);
    }
    log(&lines, Level::Error, "severe");
    let registry = MetricsRegistry::new().expect("create a metrics registry");
    registry.watch_log(lines.dropped());
    let dropped = lines.dropped().count();
    assert!(dropped > 0);
    let metrics = registry.render().expect("render the metrics");
    let mut metric_lines =
        metrics.lines().filter(|line| line.starts_with("stackpost_log_lines_dropped_total"));
    let value = metric_lines.next().and_then(|line| line.rsplit(' ').next());
    assert_eq!(value, Some(dropped.to_string().as_str()));
    output.set_blocked(false);
    while !output.lines().iter().any(|line| line["message"] == "log lines dropped") {
        log(&lines, Level::Info, "more");
        lines.flush();
    }
    let written = output.lines();
    assert!(written.iter().any(|line| line["message"] == "severe"), "the error line was dropped");
    assert!(written.len() < 2_000);
}
