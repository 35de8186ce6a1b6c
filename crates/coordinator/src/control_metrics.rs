//! OpenTelemetry metrics of a control process, named by the usual Prometheus conventions. Label
//! sets are bounded: states, calls and replies are enumerations, and no label value comes from a
//! caller.

use crate::replica_api::{PutReply, ReadReply};
use stackpost_gateway_core::{EngineState, MergeOutcome};
use stackpost_mesh::SentByKind;
use stackpost_telemetry::{Counter, Gauge, Histogram, KeyValue, Meter};
use std::time::Duration;

/// Upper bounds of the histogram buckets for rounds of the replica, in seconds: from rounds without
/// a disk write to rounds on a slow disk.
const ROUND_BUCKETS: [f64; 9] = [0.0002, 0.001, 0.003, 0.006, 0.012, 0.03, 0.1, 0.5, 2.0];

/// Gauge values of a control process at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ControlGauges {
    pub is_leader: bool,
    pub term: u64,
    pub applied: u64,
    pub configuration_version: u64,
    pub routers: usize,
    pub control_peers: usize,
    pub engines_ready: usize,
    pub engines_draining: usize,
    pub engines_silent: usize,
    pub suspected: usize,
    pub quarantined: usize,
}

/// The instruments of a control process. Cheap to clone.
#[derive(Clone)]
pub struct ControlMetrics {
    puts: Counter<u64>,
    reads: Counter<u64>,
    announcements: Counter<u64>,
    announcements_refused: Counter<u64>,
    departures: Counter<u64>,
    sightings: Counter<u64>,
    round_seconds: Histogram<f64>,
    is_leader: Gauge<u64>,
    term: Gauge<u64>,
    applied: Gauge<u64>,
    configuration_version: Gauge<u64>,
    processes: Gauge<u64>,
    engines: Gauge<u64>,
    requests: Gauge<u64>,
    sent_bytes: Counter<u64>,
    sent_messages: Counter<u64>,
}

impl ControlMetrics {
    /// Creates the instruments on `meter`.
    pub fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, help: &'static str| {
            meter.u64_counter(name).with_description(help).build()
        };
        let gauge = |name: &'static str, help: &'static str| {
            meter.u64_gauge(name).with_description(help).build()
        };
        Self {
            puts: counter("stackpost_configuration_puts", "Configurations sent, by reply"),
            reads: counter("stackpost_configuration_reads", "Configurations read, by reply"),
            announcements: counter(
                "stackpost_announcements",
                "Announcements of engines in order, by state and by what they changed",
            ),
            announcements_refused: counter(
                "stackpost_announcements_refused",
                "Calls of engines that were not in order",
            ),
            departures: counter(
                "stackpost_departures",
                "Engines' words of their end, by state and by whether they were acknowledged",
            ),
            sightings: counter(
                "stackpost_crash_sightings",
                "Engines said to have ended under requests, by whether they have run since",
            ),
            round_seconds: meter
                .f64_histogram("stackpost_replica_round_seconds")
                .with_description("Time of one round of the replica, its synced writes included")
                .with_boundaries(ROUND_BUCKETS.to_vec())
                .build(),
            is_leader: gauge("stackpost_leads", "1 while this replica certainly leads"),
            term: gauge("stackpost_consensus_term", "Term of the replicated log"),
            applied: gauge("stackpost_consensus_applied", "Last entry of the log that is applied"),
            configuration_version: gauge("stackpost_configuration_version", "Configuration held"),
            processes: gauge("stackpost_connected_machines", "Machines connected, by role"),
            engines: gauge("stackpost_engines", "Engines known, by state"),
            requests: gauge(
                "stackpost_crashing_requests",
                "Requests under which engines have ended, by what follows",
            ),
            sent_bytes: counter("stackpost_fleet_sent_bytes", "Bytes sent in the fleet, by kind"),
            sent_messages: counter(
                "stackpost_fleet_sent_messages",
                "Messages sent in the fleet, by kind",
            ),
        }
    }

    pub(crate) fn on_put(&self, reply: &PutReply) {
        let reply = match reply {
            PutReply::Accepted => "taken",
            PutReply::Invalid(_) => "invalid",
            PutReply::NotLeader(_) => "elsewhere",
            PutReply::Unconfirmed => "unconfirmed",
        };
        self.puts.add(1, &[KeyValue::new("reply", reply)]);
    }

    pub(crate) fn on_read(&self, reply: &ReadReply) {
        let reply = match reply {
            ReadReply::Latest(_) => "newest",
            ReadReply::NotLeader(_) => "elsewhere",
            ReadReply::Unconfirmed => "unsure",
        };
        self.reads.add(1, &[KeyValue::new("reply", reply)]);
    }

    /// Counts a valid announcement of an engine.
    pub(crate) fn on_announcement(&self, state: EngineState, merge: MergeOutcome) {
        let labels =
            [KeyValue::new("state", state.as_str()), KeyValue::new("change", merge.as_str())];
        self.announcements.add(1, &labels);
    }

    /// Counts an invalid call of an engine.
    pub fn on_announcement_refused(&self) {
        self.announcements_refused.add(1, &[]);
    }

    /// Counts a new departure notice of an engine.
    pub(crate) fn on_departure(&self, state: EngineState, is_acknowledged: bool) {
        let reply = if is_acknowledged { "acknowledged" } else { "withheld" };
        let labels = [KeyValue::new("state", state.as_str()), KeyValue::new("reply", reply)];
        self.departures.add(1, &labels);
    }

    pub(crate) fn on_sightings(&self, accepted: usize, ignored: usize) {
        self.sightings.add(accepted as u64, &[KeyValue::new("engine", "ended")]);
        self.sightings.add(ignored as u64, &[KeyValue::new("engine", "has_run_since")]);
    }

    pub(crate) fn on_sent(&self, sent: &SentByKind) {
        for (kind, sent) in sent {
            let labels = [KeyValue::new("kind", *kind)];
            self.sent_bytes.add(sent.bytes, &labels);
            self.sent_messages.add(sent.messages, &labels);
        }
    }

    pub(crate) fn on_round(&self, duration: Duration) {
        self.round_seconds.record(duration.as_secs_f64(), &[]);
    }

    /// Records the gauges; called at regular intervals.
    pub(crate) fn record_gauges(&self, gauges: &ControlGauges) {
        self.is_leader.record(u64::from(gauges.is_leader), &[]);
        self.term.record(gauges.term, &[]);
        self.applied.record(gauges.applied, &[]);
        self.configuration_version.record(gauges.configuration_version, &[]);
        let count = |gauge: &Gauge<u64>, label: &'static str, value: &'static str, count: usize| {
            gauge.record(count as u64, &[KeyValue::new(label, value)]);
        };
        count(&self.processes, "role", "router", gauges.routers);
        count(&self.processes, "role", "control", gauges.control_peers);
        count(&self.engines, "state", EngineState::Ready.as_str(), gauges.engines_ready);
        count(&self.engines, "state", EngineState::Draining.as_str(), gauges.engines_draining);
        count(&self.engines, "state", "silent", gauges.engines_silent);
        count(&self.requests, "state", "suspected", gauges.suspected);
        count(&self.requests, "state", "quarantined", gauges.quarantined);
    }
}
