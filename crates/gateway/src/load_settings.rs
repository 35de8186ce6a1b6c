//! Settings of how a router behaves under load.
//!
//! Each mechanism can be switched off by itself, and is off unless the settings file asks for it.

use serde::Deserialize;

/// What the machine of a router bears.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct MachineLimits {
    /// Bandwidth of the machine's network link in each direction, in megabits per second; `None`
    /// if it is not known.
    pub link_mbps: Option<f64>,
    /// Memory that the process may use, in megabytes; `None` if it is not known.
    pub memory_mb: Option<u64>,
    /// File descriptors that the process may use; `None` if it is not known.
    pub descriptors: Option<u64>,
}

/// How a router behaves under load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct LoadSettings {
    /// What the machine bears.
    pub machine: MachineLimits,
    /// Whether a router whose machine is crowded moves callers to its neighbours: it is not ready
    /// for some time.
    pub rebalance_connections: bool,
    /// Whether it resets new connections before that. Of use where a caller's next try meets another
    /// router.
    pub reset_connections: bool,
    /// Whether the routers that receive much of a tenant's demand hold tokens of their own.
    pub accounts_by_demand: bool,
    /// Whether requests for a service without room are admitted by urgency, share and time left.
    pub admission_order: bool,
    /// Whether engines are chosen by their learned speeds, memory and queues.
    pub engine_model: bool,
    /// Whether the bytes held for callers that read slowly are bounded.
    pub bounded_streams: bool,
}
