//! The router process of a gateway fleet: callers' requests in, engines' answers out.
//!
//! A request's way: [`serve_callers`] accepts the connection, `request` admits it and sets its
//! tokens aside, `attempt` sends it to an engine over a connection of `connection_pool`, and `relay`
//! passes a stream on, at another engine if the first one breaks off. `fleet_link` keeps the
//! router's knowledge up to date, `load_exchange` tells other routers what is sent to engines. What is written in which header is the affair of a [`HeaderCodec`].

mod attempt;
mod body;
pub mod congestion;
mod connection_pool;
mod crash_detection;
mod deadline;
mod decision_log;
mod fleet_link;
mod header_codec;
mod liveness_probe;
pub mod load_exchange;
pub mod loans;
mod machine_clock;
mod metrics;
mod peer_socket;
mod permit_lending;
mod permits;
mod rate_exchange;
mod refusal;
mod relay;
mod request;
mod reservation;
mod router;
mod select_engine;
mod server;
mod unservable;

pub use body::{GatewayBody, TruncatedBody};
pub use fleet_link::FleetLink;
pub use header_codec::{
    CallerRequest, EngineDirectives, EngineRequestHeaders, Generation, HeaderCodec,
    MalformedHeader, ResponseClass,
};
pub use refusal::{Refusal, retry_after_backoff};
pub use router::{Router, RouterSettings};
pub use server::{Server, serve_callers};
