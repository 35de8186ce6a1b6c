//! Events, effects, settings and errors of a replica.

use crate::DocumentCodec;
use crate::message::{Document, RouterStatus};
use stackpost_consensus::Envelope;
use stackpost_gateway_core::{DepartureRecord, EvacuationOrder, QuarantineChange};
use stackpost_prepaid::{Allotment, BudgetForecast};
use stackpost_storage::StoreError;
use stackpost_types::{BackEndName, MachineName, Millis, NodeId, TenantName, Tokens, ZoneName};
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// Settings of a replica.
#[derive(Clone)]
pub struct ReplicaConfig {
    /// Name of this machine.
    pub name: MachineName,
    /// The voters of a new fleet; `None` unless the whole fleet starts for the first time.
    pub initial_voters: Option<Vec<MachineName>>,
    /// Identity of the data folder if it has to be created.
    pub new_identity: u64,
    /// Shortest time without a message from the leader before a campaign.
    pub election_timeout: Millis,
    /// Time between two heartbeats.
    pub heartbeat_interval: Millis,
    /// Subtracted from the end of a lease, since clocks may run at different speeds.
    pub lease_margin: Millis,
    /// Number of voters to maintain.
    pub target_voters: usize,
    /// The zone of this machine.
    pub zone: ZoneName,
    /// Number of zones of the fleet.
    pub zones: usize,
    /// Seed of the random election timeouts.
    pub seed: u64,
    /// Decodes configuration documents.
    pub codec: Arc<dyn DocumentCodec>,
}

/// The reason why a replica can't continue.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// The data folder can't be read or written.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A stored log entry or snapshot can't be decoded.
    #[error("storage: log entry or snapshot at index {index} can't be decoded: {reason}")]
    Unreadable {
        /// Position in the log.
        index: u64,
        /// Why decoding failed.
        reason: String,
    },
}

/// An event handled by a replica.
#[derive(Debug)]
pub enum ReplicaEvent {
    /// Time has passed.
    Tick,
    /// A message of the replicated log.
    Raft(Envelope),
    /// An operator sends a configuration.
    Put {
        /// Identifies the reply.
        token: u64,
        /// The document as it was received.
        bytes: Arc<[u8]>,
    },
    /// An operator evacuates a zone or ends its evacuation.
    Evacuate {
        /// Identifies the reply.
        token: u64,
        /// The order.
        order: EvacuationOrder,
    },
    /// An operator reads the configuration.
    Read {
        /// Identifies the reply.
        token: u64,
    },
    /// A router has sent its status.
    RouterReport {
        /// The router.
        router: NodeId,
        /// Its status.
        status: RouterStatus,
    },
    /// A stopping router has reported its final usage.
    RouterFinalUsage {
        /// The router.
        router: NodeId,
        /// Tokens it has spent of each tenant's budget.
        spent: BTreeMap<TenantName, Tokens>,
    },
    /// A router has seen engines crash under requests, or suspected requests complete.
    CrashReport(QuarantineChange),
    /// An engine with crash sightings has announced itself.
    EngineAnnounced(BackEndName),
    /// Departures of engines to be committed.
    DepartureNotices(Vec<DepartureRecord>),
    /// The control machines that are connected now, with their zones.
    ControlPeers(BTreeMap<MachineName, ZoneName>),
}

/// Reply to a `Put` or an `Evacuate`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PutReply {
    /// The document, or one with a higher version, or the order is in force.
    Accepted,
    /// The document is invalid and was rejected.
    Invalid(String),
    /// Another machine leads; its name, if known.
    NotLeader(Option<MachineName>),
    /// The document or the order may or may not come into force.
    Unconfirmed,
}

/// Reply to a `Read`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadReply {
    /// The latest configuration.
    Latest(Option<Document>),
    /// Another machine leads; its name, if known.
    NotLeader(Option<MachineName>),
    /// This replica could not confirm that it leads.
    Unconfirmed,
}

/// An action that a replica requests.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaEffect {
    /// Send a message of the replicated log.
    SendRaft(MachineName, Envelope),
    /// Reply to a `Put` or an `Evacuate`.
    PutReply(u64, PutReply),
    /// Reply to a `Read`.
    ReadReply(u64, ReadReply),
    /// A newer configuration is in force.
    DocumentChanged(Document),
    /// Send a router the totals of its allotments.
    Allotments(NodeId, Vec<(TenantName, Allotment)>),
    /// Ask a router to return tokens above these amounts.
    Recall(NodeId, Vec<(TenantName, Tokens)>),
    /// Send all routers the forecasts for budgets that are going to run out.
    Forecasts(BTreeMap<TenantName, BudgetForecast>),
    /// Confirm to a router that its incarnation is closed.
    FinalUsageAck(NodeId),
    /// This replica has created the state of a new fleet, which had no routers before.
    FleetCreated,
    /// The quarantine notice for routers has changed.
    QuarantineChanged,
    /// The engines' departures have changed.
    DeparturesChanged,
    /// The evacuated zones have changed.
    EvacuationsChanged,
    /// The role has changed; true for a leader.
    RoleChanged(bool),
}
