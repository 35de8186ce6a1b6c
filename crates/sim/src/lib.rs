//! Deterministic simulation of a whole fleet in one thread: the production state machines of
//! routers and control replicas run under a seeded scheduler with a virtual clock, a network that
//! delays, drops, duplicates and reorders messages and can be partitioned, and disks that lose
//! unsynced writes. The same seed gives the same history, byte for byte.
//!
//! [`World`] holds the fleet, its callers, back ends and operators; [`fleet`] defines the example
//! fleets. A [`Fault`] is injected at a [`Step`]. [`check`] verifies the invariants against the
//! histories of callers, engines, bills and control replicas.

mod back_ends;
mod caller_actions;
mod callers;
mod checks;
mod effects;
mod engines;
mod fault;
pub mod fleet;
mod history;
mod lifecycle;
mod network;
mod operator_actions;
mod operators;
mod process;
mod step;
mod workload;
mod world;

pub use callers::{AttemptEnd, CallerId, CallerRecord, RequestPlan};
pub use checks::{Invariant, Violation, check};
pub use engines::Execution;
pub use fault::Fault;
pub use fleet::FleetShape;
pub use history::History;
pub use network::{Cut, Traffic};
pub use operators::EditRecord;
pub use step::Step;
pub use workload::{Demand, Workload};
pub use world::{Defect, World};
