//! Messages between the processes of a fleet.

use crate::document_delta::DocumentDelta;
use crate::packed_document::PackedDocument;
use crate::quiescence::Quiescence;
use crate::router_roll::RouterRoll;
use crate::silent_engines::SilentEnginesDelta;
use serde::{Deserialize, Serialize};
use stackpost_consensus::Envelope;
use stackpost_gateway_core::{
    ColdDelta, ColdNotice, CrashReport, DepartureDelta, DepartureProgress, DepartureRecord,
    DirectoryDelta, EngineListDigest, EngineNotice, EngineRead, Evacuations, QuarantineNotice,
    ZoneRouters,
};
use stackpost_mesh::MessageKind;
use stackpost_prepaid::{AccountReport, Allotment, BootTimestamp, BudgetForecast};
use stackpost_types::{BackEndName, Millis, NodeId, TenantName, Timestamp, Tokens};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// The configuration as the operator sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Set by the operator; the highest version is in force.
    pub version: u64,
    /// The document, byte for byte as it was received.
    pub bytes: Arc<[u8]>,
}

/// Status of a control replica, sent several times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// Whether it is the leader and no other replica can have been elected since.
    pub is_leader: bool,
    /// Version of the latest configuration it has applied; zero if there is none.
    pub document_version: u64,
    /// Revision of the engines' departures that it holds.
    pub departures: u64,
    /// Its clock, echoed by routers; meaningless to any other process.
    pub clock: Timestamp,
    /// Routers connected to it.
    pub routers: u32,
    /// Addresses at which the control processes it knows accept connections of the fleet.
    pub control_peers: Vec<SocketAddr>,
}

/// The versions that a router has received from one control process; zero where it has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterVersions {
    /// Version of the configuration, whichever process sent it.
    pub document: u64,
    /// Revision of the engines' departures, whichever process sent them.
    pub departures: u64,
    /// Revision of that process's directory of engines.
    pub engines: u64,
    /// Version of its list of silent engines.
    pub silent: u64,
    /// Version of its list of routers.
    pub routers: u64,
}

/// Status of a router, sent several times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterStatus {
    /// The versions it has received from the control process to which this status is sent.
    pub versions: RouterVersions,
    /// Whether it would accept a configuration that no leader has confirmed.
    pub accepts_unconfirmed: bool,
    /// When its process started, by the clock of its machine.
    pub started: BootTimestamp,
    /// When it last received a status from the control process to which this status is sent.
    pub echo: Option<ClockEcho>,
    /// Its last contact with a leader. Set only if `accounts` holds all accounts as they were after
    /// that contact.
    pub contact: Option<BootTimestamp>,
    /// Its accounts that have changed.
    pub accounts: Vec<(TenantName, AccountReport)>,
}

/// One moment on two clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockEcho {
    /// When the router received the status, by the clock of its machine.
    pub received_at: BootTimestamp,
    /// When the control process sent the status, by its own clock.
    pub sent_at: Timestamp,
}

/// Reply of a router to another one that wants to borrow tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BorrowResult {
    /// The tokens it may spend do not cover the request, and the leader has granted it none for it.
    NotCovered,
    /// The tokens are reserved.
    Lent,
    /// It is stopping or disconnected from the leader; another router may have the tokens.
    AskAnother,
}

/// A message between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// Between control replicas: the replicated log.
    Raft(Envelope),
    /// From a control replica to all connected processes.
    ControlStatus(ControlStatus),
    /// From a control replica to a router.
    Document(PackedDocument),
    /// From a control replica to a router that holds the version it is based on.
    DocumentDelta(DocumentDelta),
    /// Between control processes: announcements of engines.
    Engines(#[serde(with = "stackpost_gateway_core::notice_list")] Vec<EngineNotice>),
    /// From a control process to a router: changes of its directory of engines.
    EngineChanges(DirectoryDelta),
    /// From a control process of an earlier version to routers: engines whose announcements are
    /// overdue.
    SilentEngines {
        /// Increases with each change.
        version: u64,
        /// The silent engines.
        engines: BTreeSet<BackEndName>,
    },
    /// From a router to a control process.
    RouterStatus(RouterStatus),
    /// From the leader to a router: the totals of its allotments.
    Allotments(Vec<(TenantName, Allotment)>),
    /// From the leader to a router: how much of its unused tokens it may keep.
    Recall(Vec<(TenantName, Tokens)>),
    /// From the leader to all routers: forecasts for budgets that are going to run out.
    Forecasts(BTreeMap<TenantName, BudgetForecast>),
    /// From a stopping router: what it has spent of each tenant's budget.
    FinalUsage(BTreeMap<TenantName, Tokens>),
    /// Acknowledges `FinalUsage` or `RelayedFinalUsage`: the usage will be applied to the ledger.
    FinalUsageAck,
    /// From a router that stops while disconnected from the leader to another one, and from that
    /// one to the leader: what the first router has spent.
    RelayedFinalUsage(NodeId, BTreeMap<TenantName, Tokens>),
    /// From a router to another one: asks it to reserve tokens of its own for a request of the
    /// sender.
    Borrow {
        /// Identifies the loan.
        token: u64,
        /// The tenant whose budget is used.
        tenant: TenantName,
        /// Number of tokens.
        amount: Tokens,
        /// Time within which the reply must arrive.
        wait: Millis,
    },
    /// Reply to `Borrow`.
    BorrowReply {
        /// Identifies the loan.
        token: u64,
        /// Whether the tokens are reserved.
        answer: BorrowResult,
    },
    /// From the borrower: the request has finished.
    SettleLoan {
        /// Identifies the loan.
        token: u64,
        /// Tokens that the request used.
        used: Tokens,
    },
    /// Between connected routers: keeps the connection open.
    KeepAlive,
    /// From a router to the leader: engines that crashed under requests, and suspected requests
    /// that completed.
    CrashReport(CrashReport),
    /// From a control process to a router: quarantined requests, which are not admitted.
    Quarantined(QuarantineNotice),
    /// From a control process to a router: addresses at which other routers accept connections of
    /// the fleet.
    Routers {
        /// Increases with each change.
        version: u64,
        /// Every router connected to the control process, by zone.
        all: Vec<ZoneRouters>,
        /// The routers with which to exchange loads and loans.
        peers: Vec<SocketAddr>,
    },
    /// From a control process: committed departures of engines.
    Departures(DepartureDelta),
    /// From a control process to routers: engines that were evicted after a long silence.
    ExpiredEngines(Vec<BackEndName>),
    /// From a control process to the leader: departures of engines to be committed.
    DepartureNotices(Vec<DepartureRecord>),
    /// From the leader to a router: the evacuated zones.
    Evacuations(Evacuations),
    /// From a router: the revision of the evacuated zones that it knows.
    EvacuationsConfirmed(u64),
    /// Between control processes: engines that are cold, or no longer are.
    ColdNotices(Vec<ColdNotice>),
    /// From a control process to a router: changes of the cold engines.
    ColdEngines(ColdDelta),
    /// From a router: the revision of that process's cold engines that it knows.
    ColdEnginesConfirmed(u64),
    /// From a control process to a router: changes of the engines whose announcements are overdue.
    SilentChanges(SilentEnginesDelta),
    /// From a router: whether it wants the full list of engines and its changes, or none of it.
    EngineListWanted(bool),
    /// From a control process to routers: the digest of its list of engines.
    EngineListDigest(EngineListDigest),
    /// From a router to the leader: the departures that it knows, and the engines that may not have
    /// read all its requests.
    DepartureProgress(DepartureProgress),
    /// From a control process to the leader: whether an engine that departs is quiescent.
    QuiescenceQuery {
        /// Identifies the reply.
        token: u64,
        /// The engine.
        engine: BackEndName,
    },
    /// Reply to `QuiescenceQuery`.
    QuiescenceReply {
        /// That of the query.
        token: u64,
        /// The state of the engine.
        quiescence: Quiescence,
    },
    /// From a router that sends no request any more to all control processes: every engine that may
    /// not have read all its requests, departing or not.
    RouterStopped(DepartureProgress),
    /// From a router to the leader: which departing engines have read requests.
    EngineReads(Vec<EngineRead>),
    /// Between control processes that have connected: the routers that the sender knows.
    RouterRoll(RouterRoll),
}

impl MessageKind for FleetMessage {
    fn kind(&self) -> &'static str {
        match self {
            Self::Raft(..) => "raft",
            Self::ControlStatus(..) => "control_status",
            Self::Document(..) => "document",
            Self::DocumentDelta(..) => "document_delta",
            Self::Engines(..) => "engines",
            Self::EngineChanges(..) => "engine_changes",
            Self::SilentEngines { .. } => "silent_engines",
            Self::RouterStatus(..) => "router_status",
            Self::Allotments(..) => "allotments",
            Self::Recall(..) => "recall",
            Self::Forecasts(..) => "forecasts",
            Self::FinalUsage(..) => "final_usage",
            Self::FinalUsageAck => "final_usage_ack",
            Self::RelayedFinalUsage(..) => "relayed_final_usage",
            Self::Borrow { .. } => "borrow",
            Self::BorrowReply { .. } => "borrow_reply",
            Self::SettleLoan { .. } => "settle_loan",
            Self::KeepAlive => "keep_alive",
            Self::CrashReport(..) => "crash_report",
            Self::Quarantined(..) => "quarantined",
            Self::Routers { .. } => "routers",
            Self::Departures(..) => "departures",
            Self::ExpiredEngines(..) => "expired_engines",
            Self::DepartureNotices(..) => "departure_notices",
            Self::Evacuations(..) => "evacuations",
            Self::EvacuationsConfirmed(..) => "evacuations_confirmed",
            Self::ColdNotices(..) => "cold_notices",
            Self::ColdEngines(..) => "cold_engines",
            Self::ColdEnginesConfirmed(..) => "cold_engines_confirmed",
            Self::SilentChanges(..) => "silent_changes",
            Self::EngineListWanted(..) => "engine_list_wanted",
            Self::EngineListDigest(..) => "engine_list_digest",
            Self::DepartureProgress(..) => "departure_progress",
            Self::QuiescenceQuery { .. } => "quiescence_query",
            Self::QuiescenceReply { .. } => "quiescence_reply",
            Self::RouterStopped(..) => "router_stopped",
            Self::EngineReads(..) => "engine_reads",
            Self::RouterRoll(..) => "router_roll",
        }
    }
}
