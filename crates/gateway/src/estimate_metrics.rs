//! Metrics of how well the engine model's estimates are met. Recorded with the engine model only.

use stackpost_gateway_core::PlainExpectation;
use stackpost_telemetry::{Histogram, Meter};

/// Upper bounds of the buckets for observed over expected time.
const RATIO_BUCKETS: [f64; 10] = [0.25, 0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0, 4.0, 8.0];
/// Upper bounds of the buckets for the wait at an engine, in seconds.
const WAIT_BUCKETS: [f64; 8] = [0.002, 0.005, 0.01, 0.03, 0.06, 0.12, 0.5, 2.0];

/// The instruments.
pub(crate) struct EstimateMetrics {
    first_event_ratio: Histogram<f64>,
    plain_response_ratio: Histogram<f64>,
    plain_wait_seconds: Histogram<f64>,
}

impl EstimateMetrics {
    pub fn new(meter: &Meter) -> Self {
        let histogram = |name: &'static str, help: &'static str, bounds: &[f64]| {
            let builder = meter.f64_histogram(name).with_description(help);
            builder.with_boundaries(bounds.to_vec()).build()
        };
        Self {
            first_event_ratio: histogram(
                "stackpost_first_event_ratio",
                "Observed over expected time to the first event of a generation",
                &RATIO_BUCKETS,
            ),
            plain_response_ratio: histogram(
                "stackpost_plain_response_ratio",
                "Observed over expected response time of requests that are not generations",
                &RATIO_BUCKETS,
            ),
            plain_wait_seconds: histogram(
                "stackpost_plain_wait_seconds",
                "Response time beyond the learned work time, of requests that are not generations",
                &WAIT_BUCKETS,
            ),
        }
    }

    /// Records the first event of a generation.
    pub fn on_first_event(&self, expected_ms: f64, observed_ms: f64) {
        self.first_event_ratio.record(observed_ms / expected_ms.max(1.0), &[]);
    }

    /// Records the response to a request that is not a generation.
    pub fn on_plain_response(&self, expected: &PlainExpectation, observed_ms: f64) {
        let expected_ms = expected.wait_ms + expected.work_ms;
        self.plain_response_ratio.record(observed_ms / expected_ms.max(1.0), &[]);
        self.plain_wait_seconds.record((observed_ms - expected.work_ms).max(0.0) / 1_000.0, &[]);
    }
}
