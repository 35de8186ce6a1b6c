//! Decisions of a gateway without I/O.
//!
//! - [`RoutingConfig`]: routes by host and longest path prefix, services, tenants and their keys.
//! - [`EngineDirectory`]: which engines are said to exist, merged from late and crossed notices.
//! - [`EnginePicker`]: which engine a request goes to.
//! - [`RetryBudget`]: how many requests may be sent to a further engine.
//! - [`EventSplitter`]: whole events of a stream.

mod config;
mod directory;
mod event_stream;
mod picker;
mod retry_budget;
mod route_table;

pub use config::{
    ClientLimits, ConfigError, EngineProfile, Route, RouteKind, RoutingConfig, Service, Split,
    Tenant,
};
pub use directory::{EngineDirectory, EngineNotice, EngineRecord, EngineState, Merge};
pub use event_stream::{Event, EventSplitter};
pub use picker::{AttemptEnd, EnginePicker, PickQuery};
pub use retry_budget::{RetryBudget, RetryLimits};
pub use route_table::{Admission, RouteTable, TenantMatch};
