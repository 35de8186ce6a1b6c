//! Figures of a router, by OpenTelemetry under the usual Prometheus names. Label sets are bounded:
//! reasons and ends are enumerations, nothing comes from a request.

use crate::refusal::Refusal;
use stackpost_gateway_core::{AttemptEnd, BackoffChange};
use stackpost_telemetry::{Counter, Gauge, Histogram, KeyValue, Meter};
use stackpost_types::Millis;
use std::time::Duration;

/// Upper bounds of the buckets for times, in seconds.
const TIME_BUCKETS: [f64; 10] = [0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 4.0, 15.0];

/// Upper bounds of the buckets for the age of what is heard of engines, in seconds.
const AGE_BUCKETS: [f64; 7] = [0.05, 0.2, 0.5, 1.0, 2.0, 5.0, 30.0];

/// The instruments of a router.
pub(crate) struct RouterMetrics {
    answered: Counter<u64>,
    refused: Counter<u64>,
    attempts: Counter<u64>,
    resumed: Counter<u64>,
    broken_off: Counter<u64>,
    breaks: Counter<u64>,
    tokens: Counter<u64>,
    head_seconds: Histogram<f64>,
    configuration_version: Gauge<u64>,
    in_touch: Gauge<u64>,
    engines: Gauge<u64>,
    quarantined: Gauge<u64>,
    datagrams_refused: Counter<u64>,
    rests: Counter<u64>,
    rest_seconds: Counter<f64>,
    engines_resting: Gauge<u64>,
    wishes_refused: Counter<u64>,
    engines_limited: Gauge<u64>,
    sent_to_limited: Counter<u64>,
    permits_asked: Counter<u64>,
    permits_borrowed: Counter<u64>,
    departure_ages: Histogram<f64>,
    sent_after_departure: Counter<u64>,
}

impl RouterMetrics {
    /// Makes the instruments.
    pub fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, help: &'static str| {
            meter.u64_counter(name).with_description(help).build()
        };
        let gauge = |name: &'static str, help: &'static str| {
            meter.u64_gauge(name).with_description(help).build()
        };
        Self {
            answered: counter("stackpost_requests_answered", "Requests with an engine's answer"),
            refused: counter("stackpost_requests_refused", "Requests refused, by reason"),
            attempts: counter(
                "stackpost_engine_attempts",
                "Requests sent to engines, by their end",
            ),
            resumed: counter("stackpost_streams_resumed", "Streams taken up at another engine"),
            broken_off: counter("stackpost_streams_broken_off", "Streams that broke off"),
            breaks: counter(
                "stackpost_engine_breaks",
                "Engines that broke an answer off, by whether they took connections after it",
            ),
            tokens: counter("stackpost_tokens_spent", "Tokens settled against prepaid budgets"),
            head_seconds: meter
                .f64_histogram("stackpost_request_head_seconds")
                .with_description("Time from a request's arrival to the head of its answer")
                .with_boundaries(TIME_BUCKETS.to_vec())
                .build(),
            configuration_version: gauge("stackpost_configuration_version", "Configuration held"),
            in_touch: gauge("stackpost_in_touch", "1 while a leader is heard"),
            engines: gauge("stackpost_engines_ready", "Engines that take work"),
            datagrams_refused: counter(
                "stackpost_datagrams_refused",
                "Datagrams between routers that could not be read",
            ),
            rests: counter("stackpost_engine_rests", "Rests that engines asked this router for"),
            rest_seconds: meter
                .f64_counter("stackpost_engine_rest_seconds")
                .with_description("Time for which engines asked for rest, overlaps counted once")
                .build(),
            engines_resting: gauge("stackpost_engines_resting", "Engines that rest"),
            wishes_refused: counter(
                "stackpost_wishes_refused",
                "Headers of engines' answers whose value is none that is known, by header",
            ),
            engines_limited: gauge(
                "stackpost_engines_limited",
                "Engines that state how many requests a second they take",
            ),
            sent_to_limited: counter(
                "stackpost_requests_to_limited_engines",
                "Requests sent to engines that state how many a second they take",
            ),
            permits_asked: counter(
                "stackpost_permits_asked",
                "Permits for engines that other routers were asked for",
            ),
            permits_borrowed: counter(
                "stackpost_permits_borrowed",
                "Permits for engines that other routers gave",
            ),
            departure_ages: meter
                .f64_histogram("stackpost_engine_departure_age_seconds")
                .with_description(
                    "Time from an engine's word that it leaves until the router heard it",
                )
                .with_boundaries(AGE_BUCKETS.to_vec())
                .build(),
            sent_after_departure: counter(
                "stackpost_requests_after_departure",
                "Requests sent to engines that had said that they leave, not known here then",
            ),
            quarantined: gauge(
                "stackpost_requests_quarantined",
                "Requests that are let in no more because engines ended under them",
            ),
        }
    }

    /// An engine's answer goes to the caller.
    pub fn on_response(&self, time_to_head: Duration) {
        self.answered.add(1, &[]);
        self.head_seconds.record(time_to_head.as_secs_f64(), &[]);
    }

    /// A request is refused.
    pub fn on_refusal(&self, refusal: Refusal) {
        self.refused.add(1, &[KeyValue::new("reason", refusal.code())]);
    }

    /// An attempt has ended.
    pub fn on_attempt_end(&self, end: AttemptEnd) {
        self.attempts.add(1, &[KeyValue::new("end", end.as_str())]);
    }

    /// A stream is taken up at another engine.
    pub fn on_resumed(&self) {
        self.resumed.add(1, &[]);
    }

    /// A stream broke off.
    pub fn on_interrupted(&self) {
        self.broken_off.add(1, &[]);
    }

    /// An engine broke an answer off, and has been looked at since.
    pub fn on_liveness_probe(&self, lives: bool) {
        let engine = if lives { "lives" } else { "ended" };
        self.breaks.add(1, &[KeyValue::new("engine", engine)]);
    }

    /// A datagram could not be read.
    pub fn on_malformed_datagram(&self) {
        self.datagrams_refused.add(1, &[]);
    }

    /// An engine has asked for rest.
    pub fn on_backoff(&self, change: BackoffChange) {
        self.rests.add(u64::from(change.begins), &[]);
        self.rest_seconds.add(change.added.0 as f64 / 1_000.0, &[]);
    }

    /// A header with which an engine asks for something has no value that is known.
    pub fn on_malformed_header(&self, header: &'static str) {
        self.wishes_refused.add(1, &[KeyValue::new("header", header)]);
    }

    /// Engines that rest, now and then.
    pub fn record_backing_off(&self, engines: usize) {
        self.engines_resting.record(engines as u64, &[]);
    }

    /// Engines that state a rate, now and then.
    pub fn record_rate_limited(&self, engines: usize) {
        self.engines_limited.record(engines as u64, &[]);
    }

    /// A request is sent to an engine that states a rate.
    pub fn on_sent_to_rate_limited(&self) {
        self.sent_to_limited.add(1, &[]);
    }

    /// Another router is asked for a permit.
    pub fn on_permit_requested(&self) {
        self.permits_asked.add(1, &[]);
    }

    /// Another router has given a permit.
    pub fn on_permit_borrowed(&self) {
        self.permits_borrowed.add(1, &[]);
    }

    /// An engine left `age` ago; `sent_since` requests were sent to it meanwhile.
    pub fn on_departure(&self, age: Millis, sent_since: usize) {
        self.departure_ages.record(age.0 as f64 / 1_000.0, &[]);
        self.sent_after_departure.add(sent_since as u64, &[]);
    }

    /// Tokens are settled.
    pub fn on_settled(&self, tokens: u64) {
        self.tokens.add(tokens, &[]);
    }

    /// Requests that are let in no more, taken now and then.
    pub fn record_quarantined(&self, requests: usize) {
        self.quarantined.record(requests as u64, &[]);
    }

    /// What the router believes, now and then.
    pub fn record_state(&self, configuration_version: u64, in_touch: bool, engines: usize) {
        self.configuration_version.record(configuration_version, &[]);
        self.in_touch.record(u64::from(in_touch), &[]);
        self.engines.record(engines as u64, &[]);
    }
}
