//! The control replica's process: sockets, timers and disk around the state machine of
//! `stackpost-control-core`.
//!
//! [`replica_handle`] runs the state machine on its own thread, since syncing a disk blocks.
//! [`api`] serves operators.

pub mod api;
pub mod app;
pub mod orders;
pub mod replica_handle;
pub mod views;
