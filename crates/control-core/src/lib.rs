//! The control replica's logic as a state machine without sockets or timers.
//!
//! [`Replica::handle`] takes the time and a [`ControlEvent`] and returns [`ControlEffect`]s. It
//! drives Raft, stores its log through a [`Disk`](stackpost_storage::Disk), applies committed
//! commands, tracks which routers are alive, decides when an account changes its owner, sends the
//! configuration to the routers, stores their bills and sends orders to engines.

mod bill_store;
mod configuration;
mod liveness;
mod orders;
mod replica;

pub use bill_store::BillStore;
pub use liveness::ZoneProgress;
pub use orders::EngineOrder;
pub use replica::{
    ControlDefects, ControlEffect, ControlEvent, ControlStatus, EditReply, EditToken, Replica,
    ReplicaConfig,
};
