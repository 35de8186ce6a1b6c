//! The router's metrics.

use stackpost_router_core::{Refusal, RouterStatus};
use stackpost_telemetry::{Counter, Gauge, Histogram, KeyValue, MetricsRegistry};
use stackpost_types::Tokens;
use std::time::Duration;

/// Upper bounds of the histogram buckets.
const BUCKET_BOUNDS_SECONDS: [f64; 14] =
    [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.67, 1.0, 2.0, 5.0, 20.0, 60.0];

/// Instruments of the router. Label cardinality is bounded: only refusals have labels, their reason
/// and outcome.
pub struct Metrics {
    registry: MetricsRegistry,
    answered: Counter<u64>,
    refused: Counter<u64>,
    billed: Counter<u64>,
    duration: Histogram<f64>,
    first_chunk: Histogram<f64>,
    in_flight: Gauge<u64>,
    queued: Gauge<u64>,
    version: Gauge<u64>,
    ready: Gauge<u64>,
    unarchived: Gauge<u64>,
}

impl Metrics {
    /// Creates the instruments.
    pub fn new() -> Result<Self, String> {
        let registry = MetricsRegistry::new()?;
        let meter = registry.meter();
        Ok(Self {
            answered: meter.u64_counter("stackpost_requests_answered").build(),
            refused: meter.u64_counter("stackpost_requests_refused").build(),
            billed: meter.u64_counter("stackpost_tokens_billed").build(),
            duration: meter
                .f64_histogram("stackpost_request_duration_seconds")
                .with_boundaries(BUCKET_BOUNDS_SECONDS.to_vec())
                .build(),
            first_chunk: meter
                .f64_histogram("stackpost_first_token_seconds")
                .with_boundaries(BUCKET_BOUNDS_SECONDS.to_vec())
                .build(),
            in_flight: meter.u64_gauge("stackpost_requests_in_flight").build(),
            queued: meter.u64_gauge("stackpost_requests_queued").build(),
            version: meter.u64_gauge("stackpost_configuration_version").build(),
            ready: meter.u64_gauge("stackpost_ready").build(),
            unarchived: meter.u64_gauge("stackpost_bills_unarchived").build(),
            registry,
        })
    }

    /// Records a request that was answered.
    pub fn answered(&self, after: Duration, billed: Tokens) {
        self.answered.add(1, &[]);
        self.billed.add(billed.0, &[]);
        self.duration.record(after.as_secs_f64(), &[]);
    }

    /// Records a refused request.
    pub fn refused(&self, refusal: &Refusal) {
        let labels = [
            KeyValue::new("reason", refusal.reason.as_str()),
            KeyValue::new("outcome", refusal.outcome.as_str()),
        ];
        self.refused.add(1, &labels);
    }

    /// Records the first chunk of a response from a back end.
    pub fn first_chunk(&self, after: Duration) {
        self.first_chunk.record(after.as_secs_f64(), &[]);
    }

    /// Updates the gauges and renders all metrics as text.
    pub fn render(&self, status: &RouterStatus) -> Result<String, String> {
        self.in_flight.record(status.in_flight as u64, &[]);
        self.queued.record(status.queued as u64, &[]);
        self.version.record(status.version.0, &[]);
        self.ready.record(status.ready.into(), &[]);
        self.unarchived.record(status.unarchived_bills as u64, &[]);
        self.registry.render()
    }
}
