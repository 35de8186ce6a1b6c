//! The replicated state of a gateway fleet and the process that keeps it.
//!
//! - [`FleetState`]: the configuration document, the prepaid ledger and the voters, changed only by
//!   committed [`Command`]s.
//! - [`Replica`]: one replica without sockets; [`ReplicaThread`] runs it beside the reactor.
//! - [`ControlNode`]: what a control process does with its peers, the routers and the engines.
//! - [`FleetMessage`]: what processes of a fleet tell one another.

mod control_metrics;
mod control_node;
mod control_state;
mod crash_watch;
mod departure_watch;
mod departures;
mod document_delta;
mod engine_news;
mod links;
mod message;
mod packed_document;
mod prepaid_planner;
mod replica;
mod replica_api;
mod replica_log;
mod replica_opening;
mod replica_thread;
mod router_news;
mod router_peers;
mod state;
mod told;
mod voters;

pub use control_metrics::ControlMetrics;
pub use control_node::{ControlNode, ControlSettings};
pub use departures::NotWritten;
pub use document_delta::DocumentDelta;
pub use engine_news::AnnouncementError;
pub use links::{Link, Links};
pub use message::{
    BorrowAnswer, ClockEcho, ControlStatus, Document, FleetMessage, RouterStatus, RouterVersions,
};
pub use packed_document::PackedDocument;
pub use replica::Replica;
pub use replica_api::{
    PutReply, ReadReply, ReplicaConfig, ReplicaEffect, ReplicaError, ReplicaEvent,
};
pub use replica_thread::{ReplicaHandle, ReplicaThread, ReplicaView};
pub use router_news::RouterTold;
pub use router_peers::{PEERS_PER_ROUTER, peers_of};
pub use state::{Command, FleetState, Outcome, RouterContact};
pub use told::Told;

use stackpost_gateway_core::{ConfigError, RoutingConfig};

/// Reads configuration documents. The document itself is kept and handed out byte for byte.
pub trait DocumentCodec: Send + Sync {
    /// Reads a document; the result has not been validated.
    fn decode(&self, bytes: &[u8]) -> Result<RoutingConfig, ConfigError>;
}
