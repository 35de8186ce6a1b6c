//! What goes into a replica and what comes out of it.

use crate::DocumentCodec;
use crate::message::{Document, RouterStatus};
use stackpost_consensus::Envelope;
use stackpost_gateway_core::{DepartureRecord, QuarantineChange};
use stackpost_prepaid::{Allotment, BudgetForecast};
use stackpost_storage::StoreError;
use stackpost_types::{BackEndName, MachineName, Millis, NodeId, TenantName, Tokens, ZoneName};
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// How a replica is run.
#[derive(Clone)]
pub struct ReplicaConfig {
    /// This machine.
    pub name: MachineName,
    /// The voters of a new fleet; `None` unless the whole fleet starts for the first time.
    pub initial_voters: Option<Vec<MachineName>>,
    /// Identity for a data folder that has to be made.
    pub new_identity: u64,
    /// Shortest silence of the leader before a campaign.
    pub election_timeout: Millis,
    /// Time between two heartbeats.
    pub heartbeat_interval: Millis,
    /// Taken off a lease's end for clocks that run at different speeds.
    pub lease_margin: Millis,
    /// Voters wanted.
    pub target_voters: usize,
    /// The zone that this machine stands in.
    pub zone: ZoneName,
    /// Zones of the fleet.
    pub zones: usize,
    /// Seed for election timeouts.
    pub seed: u64,
    /// Reads documents.
    pub codec: Arc<dyn DocumentCodec>,
}

/// Why a replica can't go on.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// The data folder can't be read or written.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// What was stored can't be understood.
    #[error("storage: entry {index} or the snapshot before it can't be read: {reason}")]
    Unreadable {
        /// Position in the log.
        index: u64,
        /// What is wrong.
        reason: String,
    },
}

/// Something happened.
#[derive(Debug)]
pub enum ReplicaEvent {
    /// Time has passed.
    Tick,
    /// A message of the replicated log.
    Raft(Envelope),
    /// An operator sends a configuration.
    Put {
        /// Names the answer.
        token: u64,
        /// The document as it came.
        bytes: Arc<[u8]>,
    },
    /// An operator reads the configuration.
    Read {
        /// Names the answer.
        token: u64,
    },
    /// A router has reported.
    RouterReport {
        /// The router.
        router: NodeId,
        /// What it says.
        status: RouterStatus,
    },
    /// A router stops and says what it has spent.
    RouterFinalUsage {
        /// The router.
        router: NodeId,
        /// What it has spent.
        spent: BTreeMap<TenantName, Tokens>,
    },
    /// A router has seen engines end under requests, or suspected requests end well.
    CrashReport(QuarantineChange),
    /// An engine has announced itself that is said to have ended.
    EngineAnnounced(BackEndName),
    /// What engines have said of their end is to be written down.
    DepartureNotices(Vec<DepartureRecord>),
    /// The control machines that are connected now, with their zones.
    ControlPeers(BTreeMap<MachineName, ZoneName>),
}

/// Answer to a `Put`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PutReply {
    /// It is in force, or a higher version is.
    Accepted,
    /// It is not valid and was not taken.
    Invalid(String),
    /// Another machine leads.
    NotLeader(Option<MachineName>),
    /// It may or may not be taken.
    Unconfirmed,
}

/// Answer to a `Read`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadReply {
    /// The newest configuration.
    Latest(Option<Document>),
    /// Another machine leads.
    NotLeader(Option<MachineName>),
    /// This replica can't be sure.
    Unconfirmed,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaEffect {
    /// Send a message of the replicated log.
    SendRaft(MachineName, Envelope),
    /// Answer a `Put`.
    PutReply(u64, PutReply),
    /// Answer a `Read`.
    ReadReply(u64, ReadReply),
    /// A newer configuration is in force.
    DocumentChanged(Document),
    /// Tell a router its totals.
    Allotments(NodeId, Vec<(TenantName, Allotment)>),
    /// Ask a router to give back.
    Recall(NodeId, Vec<(TenantName, Tokens)>),
    /// Tell all routers which budgets are going to run out.
    Forecasts(BTreeMap<TenantName, BudgetForecast>),
    /// Tell a router that its life is closed.
    FinalUsageAck(NodeId),
    /// Routers are to be told which requests are let in no more.
    QuarantineChanged,
    /// Engines have said something new of their end.
    DeparturesChanged,
    /// The role has changed; true for a leader.
    RoleChanged(bool),
}
