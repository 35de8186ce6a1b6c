//! Decisions of a gateway without I/O.
//!
//! - [`RoutingConfig`]: routes by host and longest path prefix, services, tenants and their keys.
//! - [`EngineDirectory`]: which engines are said to exist, merged from late and crossed notices.
//! - [`EnginePicker`]: which engine a request goes to; for generations by the [`Harm`] that follows
//!   from each engine's [`EngineLoad`].
//! - [`HoldOff`]: engines that have asked to be left alone for a while, or that leave.
//! - [`SlotShares`]: which of the engines' slots belong to which router.
//! - [`StatedRates`]: how many requests a second engines take, as they state it.
//! - [`EnginePermits`]: whether a request may be sent to an engine, by its slots and its rate.
//! - [`RouterLists`]: which routers are there, by what several control processes hear.
//! - [`AccountOwners`]: which router of a zone keeps the zone's account of a tenant.
//! - [`LoadShedding`]: who is let in while engines state that they take less than is asked.
//! - [`RetryBudget`]: how many requests may be sent to a further engine.
//! - [`RequestFingerprint`]: what a request asks, the same for every repeat of it.
//! - [`Departures`]: what engines have said of their end, for the whole fleet.
//! - [`Quarantine`]: requests under which engines have ended, for the whole fleet; [`CrashMemory`]: what
//!   one router knows of them.
//! - [`EventSplitter`]: whole events of a stream.

mod account_owners;
mod config;
mod crash_memory;
mod departures;
mod directory;
mod engine_health;
mod engine_load;
mod engine_notice;
mod engine_permits;
mod event_stream;
mod fingerprint;
mod hashing;
mod hold_off;
mod load_shedding;
mod picker;
mod placement;
mod quarantine;
mod rate_bucket;
mod retry_budget;
mod route_table;
mod router_lists;
mod slot_shares;
mod stated_rates;

pub use account_owners::AccountOwners;
pub use config::{
    ClientLimits, ConfigError, EngineProfile, Route, RouteKind, RoutingConfig, Service, Split,
    Tenant,
};
pub use crash_memory::{CrashMemory, CrashReport};
pub use departures::{
    DepartureChange, DepartureNews, DepartureWord, Departures, KnownDepartures, MAX_WORDS,
};
pub use directory::{EngineDirectory, EngineRecord};
pub use engine_load::{EngineLoad, EngineNews, Estimate, Placement, Work};
pub use engine_notice::{DirectoryNews, EngineNotice, EngineState, Merge};
pub use engine_permits::{EnginePermits, PermitOutlook, PermitScope};
pub use event_stream::{Event, EventSplitter};
pub use fingerprint::{RequestContent, RequestFingerprint};
pub use hold_off::{HoldOff, RestChange};
pub use load_shedding::{LoadShedding, RequestClass};
pub use picker::{AttemptEnd, Choice, EnginePicker, PickQuery, ServiceOutlook, Standing};
pub use placement::Harm;
pub use quarantine::{
    CrashSighting, ENGINES_LOST, FIRST_QUARANTINE, MAX_REQUESTS, Quarantine, QuarantineChange,
    QuarantineNotice, Suspect,
};
pub use retry_budget::{RetryBudget, RetryLimits};
pub use route_table::{Admission, RouteTable, TenantMatch};
pub use router_lists::{RouterLists, RouterSite, ZoneRouters};
pub use slot_shares::SlotShares;
pub use stated_rates::{RateChange, RateNews, RateStatement, StatedRates};
