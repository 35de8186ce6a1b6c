//! The router process of a gateway fleet: receives callers' requests and relays engines' responses.
//!
//! [`serve_callers`] accepts the connection, `request` admits the request and reserves its tokens,
//! `hedged_attempts` makes attempts at engines, further ones beside the first while that one is
//! silent, `attempt` sends the request to one engine over a connection of `connection_pool`, and
//! `relay` forwards a stream, resuming it at another engine if the first one interrupts it. Where the
//! router cannot connect itself, `engine_relay` connects through another router. `fleet_link` keeps
//! the router's state up to date, and `load_exchange` sends this router's load on the engines to the
//! other routers. `pressure_control` measures the use of the router's machine and decides by it which
//! new connections are kept. `client_connections` and `bounded_bodies` bound what all clients together
//! hold. A [`HeaderCodec`] defines which header carries what.

mod abandoned_request;
mod admission;
mod attempt;
mod body;
pub mod bounded_bodies;
mod buffered_response;
mod byte_channel;
mod caller_connections;
mod caller_resumption;
pub mod client_connections;
pub mod congestion;
mod connection_headers;
mod connection_pool;
mod crash_detection;
mod deadline;
mod decision_log;
mod engine_attempt;
mod engine_dialer;
mod engine_knowledge;
mod engine_paths;
pub mod engine_relay;
mod estimate_metrics;
mod fleet_link;
mod header_codec;
mod hedged_attempts;
mod hedging_log;
mod large_response;
mod liveness_probe;
pub mod load_exchange;
mod load_settings;
pub mod loan_peers;
pub mod loans;
mod machine_clock;
pub mod metered_stream;
mod metrics;
mod observed_stream;
mod peer_socket;
mod permit_lending;
mod permits;
mod planned_stop;
mod pressure_control;
mod rate_exchange;
mod refusal;
mod relay;
mod request;
mod reservation;
mod response_head;
mod retry;
mod router;
mod select_engine;
mod server;
mod socket_options;
mod stalls;
mod stream_records;
mod tenant_accounts;
mod unservable;

pub use body::{GatewayBody, TruncatedBody};
pub use engine_dialer::{EngineDialer, TcpDialer};
pub use fleet_link::FleetLink;
pub use header_codec::{
    CallerRequest, EngineDirectives, EngineRequestHeaders, Generation, HeaderCodec,
    MalformedHeader, ResponseClass,
};
pub use load_settings::{LoadSettings, MachineLimits};
pub use refusal::{Refusal, retry_after_backoff};
pub use router::{Router, RouterSettings};
pub use server::{Server, serve_callers};
