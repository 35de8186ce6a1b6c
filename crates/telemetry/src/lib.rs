//! Logging with `log` and `fern`, metrics with `opentelemetry` in the Prometheus text format.

mod json_lines;
mod line_limit;
mod logs;
mod metrics;

pub use json_lines::{DroppedLines, JsonLines};
pub use line_limit::LineLimit;
pub use logs::{start_json_lines, start_logs};
pub use metrics::MetricsRegistry;
pub use opentelemetry::KeyValue;
pub use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};
