//! The replicated state of a gateway fleet and the process that keeps it.
//!
//! - [`FleetState`]: the configuration document, the prepaid ledger, the quarantine and the
//!   departures of engines, changed only by committed [`Command`]s.
//! - [`Replica`]: one replica without sockets; [`ReplicaThread`] runs it on a thread of its own.
//! - [`ControlNode`]: the control process, which connects the replica to peers, routers and
//!   engines.
//! - [`FleetMessage`]: the messages between processes of a fleet.

mod cold_engines;
mod control_metrics;
mod control_node;
mod control_state;
mod crash_watch;
mod delivery;
mod departure_watch;
mod departures;
mod document_delta;
mod engine_list;
mod engine_updates;
mod evacuations;
mod links;
mod message;
mod packed_document;
mod prepaid_planner;
mod quiescence;
mod replica;
mod replica_api;
mod replica_bootstrap;
mod replica_logger;
mod replica_thread;
mod router_peers;
mod router_roll;
mod router_updates;
mod silent_engines;
mod state;
mod voters;

pub use control_metrics::ControlMetrics;
pub use control_node::{ControlNode, ControlSettings};
pub use delivery::DeliveryTracker;
pub use departures::{NotCommitted, NotQuiescent};
pub use document_delta::DocumentDelta;
pub use engine_updates::AnnouncementError;
pub use evacuations::UnknownZone;
pub use links::{Link, Links};
pub use message::{
    BorrowResult, ClockEcho, ControlStatus, Document, FleetMessage, RouterStatus, RouterVersions,
};
pub use packed_document::PackedDocument;
pub use quiescence::{Quiescence, QuiescenceTracker};
pub use replica::{MAX_DOCUMENT_BYTES, Replica};
pub use replica_api::{
    PutReply, ReadReply, ReplicaConfig, ReplicaEffect, ReplicaError, ReplicaEvent,
};
pub use replica_thread::{ReplicaHandle, ReplicaThread, ReplicaView};
pub use router_peers::{PEERS_PER_ROUTER, select_peers};
pub use router_roll::{RolledRouter, RouterRoll};
pub use router_updates::PeerDelivery;
pub use silent_engines::{SilentEngineList, SilentEnginesDelta};
pub use state::{ApplyOutcome, Command, FleetState, RouterContact};

use stackpost_gateway_core::{ConfigError, RoutingConfig};

/// Decodes configuration documents. The document itself is stored and served byte for byte.
pub trait DocumentCodec: Send + Sync {
    /// Decodes a document without validating it.
    fn decode(&self, bytes: &[u8]) -> Result<RoutingConfig, ConfigError>;
}
