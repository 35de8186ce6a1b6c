//! The router process: sockets and timers around the state machine of `stackpost-router-core`.
//!
//! [`api`] takes callers' requests, [`request_task`] sees each one through, [`attempt`] talks to one
//! back end, [`server`] runs the state machine and carries out its effects, [`poll`] watches back
//! ends and the platform, [`admin`] answers operators and probes.

pub mod admin;
pub mod api;
pub mod app;
pub mod attempt;
pub mod chat;
pub mod envelope;
pub mod metrics;
pub mod poll;
pub mod request_task;
pub mod server;
pub mod sse;
