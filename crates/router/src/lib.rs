//! The router process: sockets and timers around the state machine of `stackpost-router-core`.
//!
//! [`api`] receives callers' requests, [`request_task`] handles each one to its end, [`attempt`]
//! runs one attempt at a back end, [`server`] runs the state machine and applies its effects,
//! [`poll`] polls back ends and the platform, [`admin`] serves operators and probes.

pub mod admin;
pub mod api;
pub mod app;
pub mod attempt;
mod caller_connection;
pub mod chat;
pub mod envelope;
pub mod metrics;
pub mod poll;
pub mod request_task;
pub mod server;
pub mod sse;
