//! Metrics of a router, by OpenTelemetry under the usual Prometheus names. Label sets are bounded:
//! reasons and ends are enumerations, and no label value comes from a request.

use crate::estimate_metrics::EstimateMetrics;
use crate::hedging_log::HedgeEnd;
use crate::liveness_probe::Liveness;
use crate::refusal::Refusal;
use stackpost_gateway_core::{AttemptEnd, BackoffChange, Evidence, PressureReading};
use stackpost_mesh::SentByKind;
use stackpost_telemetry::{Counter, Gauge, Histogram, KeyValue, Meter};
use stackpost_types::Millis;
use std::time::Duration;

/// Upper bounds of the latency buckets, in seconds.
const TIME_BUCKETS: [f64; 10] = [0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 4.0, 15.0];

/// Upper bounds of the buckets for the age of received departures, in seconds.
const AGE_BUCKETS: [f64; 7] = [0.05, 0.2, 0.5, 1.0, 2.0, 5.0, 30.0];

/// How a request got a connection to its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionOutcome {
    /// A new connection was established.
    Opened,
    /// A new connection was established through another router.
    Relayed,
    /// A connection that had carried a request before was used.
    Reused,
    /// No connection could be established.
    Failed,
}

impl ConnectionOutcome {
    fn as_str(self) -> &'static str {
        match self {
            Self::Opened => "opened",
            Self::Relayed => "relayed",
            Self::Reused => "reused",
            Self::Failed => "failed",
        }
    }
}

/// The instruments of a router.
pub(crate) struct RouterMetrics {
    responses: Counter<u64>,
    refused: Counter<u64>,
    attempts: Counter<u64>,
    settled_attempts: Counter<u64>,
    resumed: Counter<u64>,
    truncated: Counter<u64>,
    hedges: Counter<u64>,
    liveness_probes: Counter<u64>,
    tokens: Counter<u64>,
    head_seconds: Histogram<f64>,
    sent_bytes: Counter<u64>,
    sent_messages: Counter<u64>,
    configuration_version: Gauge<u64>,
    connected_to_leader: Gauge<u64>,
    engines: Gauge<u64>,
    quarantined: Gauge<u64>,
    malformed_datagrams: Counter<u64>,
    backoffs: Counter<u64>,
    backoff_seconds: Counter<f64>,
    engines_backing_off: Gauge<u64>,
    malformed_headers: Counter<u64>,
    engines_rate_limited: Gauge<u64>,
    sent_to_rate_limited: Counter<u64>,
    permits_requested: Counter<u64>,
    permits_borrowed: Counter<u64>,
    departure_ages: Histogram<f64>,
    sent_after_departure: Counter<u64>,
    engine_connections: Counter<u64>,
    isolated: Gauge<u64>,
    relayed: Counter<u64>,
    brittle_rejections: Counter<u64>,
    accounts_held: Gauge<u64>,
    reservations: Counter<u64>,
    loan_hedges: Counter<u64>,
    readers_cut_off: Counter<u64>,
    held_stream_bytes: Gauge<u64>,
    shed: Counter<u64>,
    services_short: Gauge<u64>,
    admitted_rate: Gauge<u64>,
    /// How well the engine model's estimates are met.
    pub estimates: EstimateMetrics,
    machine_utilization: Gauge<f64>,
    machine_state: Gauge<u64>,
    caller_connections: Counter<u64>,
    caller_connections_closed: Counter<u64>,
    withdrawn: Gauge<u64>,
}

impl RouterMetrics {
    pub fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, help: &'static str| {
            meter.u64_counter(name).with_description(help).build()
        };
        let gauge = |name: &'static str, help: &'static str| {
            meter.u64_gauge(name).with_description(help).build()
        };
        Self {
            responses: counter("stackpost_requests_answered", "Requests with an engine's answer"),
            refused: counter("stackpost_requests_refused", "Requests refused, by reason"),
            attempts: counter(
                "stackpost_engine_attempts",
                "Requests sent to engines, by their end",
            ),
            settled_attempts: counter(
                "stackpost_engine_attempts_settled",
                "Requests sent to engines, by what their connection has shown of them",
            ),
            resumed: counter("stackpost_streams_resumed", "Streams taken up at another engine"),
            truncated: counter(
                "stackpost_streams_broken_off",
                "Streams that ended before their last event, by reason",
            ),
            hedges: counter(
                "stackpost_hedges",
                "Further engines to be asked beside silent ones, by what became of it",
            ),
            liveness_probes: counter(
                "stackpost_engine_breaks",
                "Engines that broke an answer off, by whether they took connections after it",
            ),
            tokens: counter("stackpost_tokens_spent", "Tokens settled against prepaid budgets"),
            head_seconds: meter
                .f64_histogram("stackpost_request_head_seconds")
                .with_description("Time from a request's arrival to the head of its answer")
                .with_boundaries(TIME_BUCKETS.to_vec())
                .build(),
            sent_bytes: counter("stackpost_fleet_sent_bytes", "Bytes sent in the fleet, by kind"),
            sent_messages: counter(
                "stackpost_fleet_sent_messages",
                "Messages sent in the fleet, by kind",
            ),
            configuration_version: gauge("stackpost_configuration_version", "Configuration held"),
            connected_to_leader: gauge("stackpost_in_touch", "1 while a leader is heard"),
            engines: gauge("stackpost_engines_ready", "Engines that take work"),
            malformed_datagrams: counter(
                "stackpost_datagrams_refused",
                "Datagrams between routers that could not be read",
            ),
            backoffs: counter("stackpost_engine_rests", "Rests that engines asked this router for"),
            backoff_seconds: meter
                .f64_counter("stackpost_engine_rest_seconds")
                .with_description("Time for which engines asked for rest, overlaps counted once")
                .build(),
            engines_backing_off: gauge("stackpost_engines_resting", "Engines that rest"),
            malformed_headers: counter(
                "stackpost_wishes_refused",
                "Headers of engines' answers whose value is none that is known, by header",
            ),
            engines_rate_limited: gauge(
                "stackpost_engines_limited",
                "Engines that state how many requests a second they take",
            ),
            sent_to_rate_limited: counter(
                "stackpost_requests_to_limited_engines",
                "Requests sent to engines that state how many a second they take",
            ),
            permits_requested: counter(
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
            engine_connections: counter(
                "stackpost_engine_connections",
                "Connections used for requests to engines, by kind and outcome",
            ),
            isolated: gauge(
                "stackpost_isolated_from_engines",
                "1 while this router can open no connection to any engine",
            ),
            brittle_rejections: counter(
                "stackpost_brittle_rejections",
                "Requests of this router that brittle engines rejected for want of room",
            ),
            machine_utilization: meter
                .f64_gauge("stackpost_machine_utilization")
                .with_description("Part of the machine in use, by resource")
                .build(),
            machine_state: gauge(
                "stackpost_machine_state",
                "Pressure on the machine: 0 normal, 1 crowded, 2 full",
            ),
            caller_connections: counter(
                "stackpost_caller_connections",
                "New connections of callers while connections are rebalanced, kept or reset",
            ),
            caller_connections_closed: counter(
                "stackpost_caller_connections_closed",
                "Busy connections of callers to be closed after a response on a crowded machine",
            ),
            withdrawn: gauge(
                "stackpost_withdrawn",
                "1 while this router is not ready because its machine is full",
            ),
            relayed: counter(
                "stackpost_connections_relayed",
                "Connections to engines that other routers asked for, by whether they were opened",
            ),
            accounts_held: gauge(
                "stackpost_accounts_held_by_demand",
                "Tenants of whose budgets this router holds an account for its own callers",
            ),
            loan_hedges: counter(
                "stackpost_loan_hedges",
                "Loans for which a second lender was asked before the first had replied",
            ),
            reservations: counter(
                "stackpost_budget_reservations",
                "Reservations of tokens for requests, by source",
            ),
            readers_cut_off: counter(
                "stackpost_slow_readers_cut_off",
                "Responses that ended as truncated because their caller read too slowly, by reason",
            ),
            held_stream_bytes: gauge(
                "stackpost_held_stream_bytes",
                "Bytes held for callers that have not taken them yet, with bounded streams",
            ),
            shed: counter(
                "stackpost_requests_shed",
                "Requests refused by the admission order before any attempt",
            ),
            services_short: gauge(
                "stackpost_services_short",
                "Services for which the admission order refuses requests",
            ),
            admitted_rate: gauge(
                "stackpost_admitted_rate",
                "Requests per second that the admission order admits for these services",
            ),
            quarantined: gauge(
                "stackpost_requests_quarantined",
                "Requests that are let in no more because engines ended under them",
            ),
            estimates: EstimateMetrics::new(meter),
        }
    }

    /// Records a response of an engine that is sent to the caller.
    pub fn on_response(&self, time_to_head: Duration) {
        self.responses.add(1, &[]);
        self.head_seconds.record(time_to_head.as_secs_f64(), &[]);
    }

    pub fn on_refusal(&self, refusal: Refusal) {
        self.refused.add(1, &[KeyValue::new("reason", refusal.code())]);
    }

    pub fn on_attempt_end(&self, end: AttemptEnd) {
        self.attempts.add(1, &[KeyValue::new("end", end.as_str())]);
    }

    /// Counts a request, by what its connection has shown of it.
    pub fn on_evidence(&self, evidence: Evidence) {
        self.settled_attempts.add(1, &[KeyValue::new("evidence", evidence.as_str())]);
    }

    /// Counts a stream that is resumed at another engine.
    pub fn on_resumed(&self) {
        self.resumed.add(1, &[]);
    }

    /// Counts a stream that ended before its last event.
    pub fn on_truncated(&self, reason: &'static str) {
        self.truncated.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts another engine that was to be asked beside a silent one.
    pub fn on_hedge(&self, end: HedgeEnd) {
        self.hedges.add(1, &[KeyValue::new("end", end.as_str())]);
    }

    /// Counts an ended connection, by the result of the engine's liveness probe.
    pub fn on_liveness_probe(&self, liveness: Liveness) {
        self.liveness_probes.add(1, &[KeyValue::new("engine", liveness.as_str())]);
    }

    pub fn on_malformed_datagram(&self) {
        self.malformed_datagrams.add(1, &[]);
    }

    /// Records a backoff that an engine asked for.
    pub fn on_backoff(&self, change: BackoffChange) {
        self.backoffs.add(u64::from(change.begins), &[]);
        self.backoff_seconds.add(change.added.0 as f64 / 1_000.0, &[]);
    }

    /// Counts a directive header with a malformed value.
    pub fn on_malformed_header(&self, header: &'static str) {
        self.malformed_headers.add(1, &[KeyValue::new("header", header)]);
    }

    /// Records the number of engines in backoff.
    pub fn record_backing_off(&self, engines: usize) {
        self.engines_backing_off.record(engines as u64, &[]);
    }

    /// Records the number of engines that state a rate limit.
    pub fn record_rate_limited(&self, engines: usize) {
        self.engines_rate_limited.record(engines as u64, &[]);
    }

    /// Counts a request sent to an engine that states a rate limit.
    pub fn on_sent_to_rate_limited(&self) {
        self.sent_to_rate_limited.add(1, &[]);
    }

    /// Counts a permit requested from another router.
    pub fn on_permit_requested(&self) {
        self.permits_requested.add(1, &[]);
    }

    /// Counts a permit borrowed from another router.
    pub fn on_permit_borrowed(&self) {
        self.permits_borrowed.add(1, &[]);
    }

    /// Records that an engine left `age` ago and was sent `sent_since` requests since.
    pub fn on_departure(&self, age: Millis, sent_since: usize) {
        self.departure_ages.record(age.0 as f64 / 1_000.0, &[]);
        self.sent_after_departure.add(sent_since as u64, &[]);
    }

    pub fn on_settled(&self, tokens: u64) {
        self.tokens.add(tokens, &[]);
    }

    /// Counts a connection that was opened, reused or not established.
    pub fn on_engine_connection(&self, outcome: ConnectionOutcome) {
        self.engine_connections.add(1, &[KeyValue::new("outcome", outcome.as_str())]);
    }

    /// Counts a request that a brittle engine rejected.
    pub fn on_brittle_rejection(&self) {
        self.brittle_rejections.add(1, &[]);
    }

    /// Counts a request that the admission order refused.
    pub fn on_shed(&self) {
        self.shed.add(1, &[]);
    }

    /// Records the services for which the admission order refuses requests, and the rate that it
    /// admits for them.
    pub fn record_admission(&self, services: usize, admitted_rps: f64) {
        self.services_short.record(services as u64, &[]);
        self.admitted_rate.record(admitted_rps as u64, &[]);
    }

    /// Counts a connection that another router asked for.
    pub fn on_relayed(&self, is_connected: bool) {
        let outcome = if is_connected { "opened" } else { "refused" };
        self.relayed.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the use of this router's machine.
    pub fn record_pressure(&self, reading: &PressureReading) {
        let utilization = &reading.utilization;
        let resources = [
            ("received", utilization.received),
            ("sent", utilization.sent),
            ("descriptors", utilization.descriptors),
            ("memory", utilization.memory),
        ];
        for (resource, used) in resources {
            self.machine_utilization.record(used, &[KeyValue::new("resource", resource)]);
        }
        self.machine_state.record(reading.state as u64, &[]);
    }

    /// Counts a new connection of a caller while connections are rebalanced.
    pub fn on_caller_connection(&self, is_kept: bool) {
        let outcome = if is_kept { "kept" } else { "reset" };
        self.caller_connections.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts busy connections of callers that are closed after a response.
    pub fn on_connections_closed(&self, connections: usize) {
        self.caller_connections_closed.add(connections as u64, &[]);
    }

    /// Records whether this router is not ready because its machine is full.
    pub fn record_withdrawn(&self, is_withdrawn: bool) {
        self.withdrawn.record(u64::from(is_withdrawn), &[]);
    }

    /// Records whether this router is isolated from the engines.
    pub fn record_isolated(&self, is_isolated: bool) {
        self.isolated.record(u64::from(is_isolated), &[]);
    }

    /// Records the number of accounts held by demand.
    pub fn record_accounts_held(&self, accounts: usize) {
        self.accounts_held.record(accounts as u64, &[]);
    }

    /// Counts a second lender that was asked at the same time.
    pub fn on_loan_hedged(&self) {
        self.loan_hedges.add(1, &[]);
    }

    /// Counts a reservation in the own wallet, or at another router.
    pub fn on_reserved(&self, is_loan: bool) {
        let source = if is_loan { "loan" } else { "own_wallet" };
        self.reservations.add(1, &[KeyValue::new("source", source)]);
    }

    pub fn record_quarantined(&self, requests: usize) {
        self.quarantined.record(requests as u64, &[]);
    }

    /// Counts a caller that was cut off because it read too slowly.
    pub fn on_reader_cut_off(&self, reason: &'static str) {
        self.readers_cut_off.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Records the bytes held for callers.
    pub fn record_held_stream_bytes(&self, bytes: u64) {
        self.held_stream_bytes.record(bytes, &[]);
    }

    /// Counts messages sent to other processes of the fleet.
    pub fn on_sent(&self, sent: &SentByKind) {
        for (kind, sent) in sent {
            let labels = [KeyValue::new("kind", *kind)];
            self.sent_bytes.add(sent.bytes, &labels);
            self.sent_messages.add(sent.messages, &labels);
        }
    }

    /// Records the router's configuration version, leader connection and ready engines.
    pub fn record_state(
        &self,
        configuration_version: u64,
        connected_to_leader: bool,
        engines: usize,
    ) {
        self.configuration_version.record(configuration_version, &[]);
        self.connected_to_leader.record(u64::from(connected_to_leader), &[]);
        self.engines.record(engines as u64, &[]);
    }
}
