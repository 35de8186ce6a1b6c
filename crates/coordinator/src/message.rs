//! What processes of a fleet tell one another.

use crate::document_delta::DocumentDelta;
use crate::packed_document::PackedDocument;
use serde::{Deserialize, Serialize};
use stackpost_consensus::Envelope;
use stackpost_gateway_core::{
    CrashReport, DepartureDelta, DepartureRecord, DirectoryDelta, EngineNotice, QuarantineNotice,
    ZoneRouters,
};
use stackpost_prepaid::{AccountReport, Allotment, BootTimestamp, BudgetForecast};
use stackpost_types::{BackEndName, Millis, NodeId, TenantName, Timestamp, Tokens};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// The configuration as the operator sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Given by the operator; the highest holds.
    pub version: u64,
    /// Byte for byte as it was sent.
    pub bytes: Arc<[u8]>,
}

/// What a control replica says of itself, some times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// Whether it is the leader and no other can have been elected since.
    pub leads: bool,
    /// Version of the newest configuration it has applied; zero if there is none.
    pub document_version: u64,
    /// Revision of the engines' departures that it holds.
    pub departures: u64,
    /// Its clock, to be given back by routers; of no meaning to anyone else.
    pub clock: Timestamp,
    /// Routers connected to it.
    pub routers: u32,
    /// Where the control processes it knows accept connections of the fleet.
    pub control_peers: Vec<SocketAddr>,
}

/// How far a router is with what one control process tells it; zero where it has heard nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterVersions {
    /// Version of the configuration, whoever told it.
    pub document: u64,
    /// Revision of the engines' departures, whoever told them.
    pub departures: u64,
    /// Revision of that process's directory of engines.
    pub engines: u64,
    /// Version of its list of silent engines.
    pub silent: u64,
    /// Version of its list of routers.
    pub routers: u64,
}

/// What a router tells the leader, some times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterStatus {
    /// How far it is with what the control process tells it that this is sent to.
    pub versions: RouterVersions,
    /// Whether it would take a configuration that no leader has confirmed.
    pub accepts_unconfirmed: bool,
    /// When its process started, by the clock of its machine.
    pub started: BootTimestamp,
    /// When it last heard the control process that this is sent to.
    pub echo: Option<ClockEcho>,
    /// Its last contact with a leader. Given only if `accounts` holds all accounts as they were
    /// after that contact.
    pub contact: Option<BootTimestamp>,
    /// Its accounts, where they have changed.
    pub accounts: Vec<(TenantName, AccountReport)>,
}

/// One moment on two clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockEcho {
    /// When the router heard the control process, by the clock of its machine.
    pub received_at: BootTimestamp,
    /// When the control process had spoken, by its own clock.
    pub sent_at: Timestamp,
}

/// What a router says to another one that wants to borrow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BorrowAnswer {
    /// What it may spend does not cover the request, and the leader has handed it nothing for it.
    NotCovered,
    /// The tokens are reserved.
    Lent,
    /// It ends, or it can't ask the leader; another router may have the tokens.
    AskAnother,
}

/// A message between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// Between control replicas: the replicated log.
    Raft(Envelope),
    /// From a control replica to everyone.
    ControlStatus(ControlStatus),
    /// From a control replica to a router.
    Document(PackedDocument),
    /// From a control replica to a router that holds the version it is based on.
    DocumentDelta(DocumentDelta),
    /// Between control replicas: what engines have announced.
    Engines(Vec<EngineNotice>),
    /// From a control replica to a router: what is new in its directory of engines.
    EngineChanges(DirectoryDelta),
    /// From a control replica to routers: engines that it has not heard of late.
    SilentEngines {
        /// Rises with each change.
        version: u64,
        /// The engines.
        engines: BTreeSet<BackEndName>,
    },
    /// From a router to control.
    RouterStatus(RouterStatus),
    /// From the leader to a router: what it has been handed in all.
    Allotments(Vec<(TenantName, Allotment)>),
    /// From the leader to a router: what it may keep unused.
    Recall(Vec<(TenantName, Tokens)>),
    /// From the leader to all routers: budgets that are going to run out.
    Forecasts(BTreeMap<TenantName, BudgetForecast>),
    /// From a router that stops: what it has spent of each tenant's budget.
    FinalUsage(BTreeMap<TenantName, Tokens>),
    /// Answer to `FinalUsage` and `RelayedFinalUsage`: it will reach the ledger.
    FinalUsageAck,
    /// From a router that stops out of touch to another one, and from that one to the leader: what
    /// the first has spent.
    RelayedFinalUsage(NodeId, BTreeMap<TenantName, Tokens>),
    /// From a router to another one: reserve tokens in your wallet for a request of mine.
    Borrow {
        /// Names the loan.
        token: u64,
        /// The tenant.
        tenant: TenantName,
        /// How many tokens.
        amount: Tokens,
        /// How long the answer may take.
        wait: Millis,
    },
    /// Answer to `Borrow`.
    BorrowReply {
        /// Names the loan.
        token: u64,
        /// Whether the tokens are reserved.
        answer: BorrowAnswer,
    },
    /// From the borrower: the request has ended.
    SettleLoan {
        /// Names the loan.
        token: u64,
        /// What it used.
        used: Tokens,
    },
    /// Between routers that have a connection: I am here.
    KeepAlive,
    /// From a router to the leader: engines that ended under requests, and suspected requests that ended
    /// well.
    CrashReport(CrashReport),
    /// From control to a router: requests that are let in no more.
    Quarantined(QuarantineNotice),
    /// From control to a router: where other routers accept connections of the fleet.
    Routers {
        /// Rises with each change.
        version: u64,
        /// Every router that the control process hears, by zone.
        all: Vec<ZoneRouters>,
        /// The ones to exchange loads and loans with.
        peers: Vec<SocketAddr>,
    },
    /// From control to a router: which engines have said that they leave, as it is written down.
    Departures(DepartureDelta),
    /// From a control replica to routers: engines that have not been announced for so long that they are forgotten.
    ExpiredEngines(Vec<BackEndName>),
    /// From a control replica to the leader: what engines have said of their end, to be written down.
    DepartureNotices(Vec<DepartureRecord>),
}
