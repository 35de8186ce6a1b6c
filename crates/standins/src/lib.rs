//! Stand-ins for external systems: model engines, plain services and the platform.
//!
//! They implement the parts of the published protocols that the fleet uses, and write a journal of
//! their actions, so that a test can compare it with responses and bills.

pub mod arguments;
pub mod cache;
pub mod engine;
pub mod generation;
pub mod journal;
pub mod load;
pub mod orders;
pub mod plain;
pub mod platform;
