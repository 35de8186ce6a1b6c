//! The routing decisions of a gateway, without I/O.
//!
//! - [`RoutingConfig`]: routes by host and longest path prefix, services, tenants and their keys.
//! - [`EngineDirectory`]: the known engines, merged from notices that may be delayed or out of
//!   order.
//! - [`EngineSubscription`]: which control process sends a router its list of engines.
//! - [`EnginePicker`]: the engine for a request; for generations by the [`PlacementCost`] that
//!   follows from each engine's [`EngineLoad`].
//! - [`PlainLoad`]: the load of an engine with requests that are not generations.
//! - [`GenerationLoad`]: the streams and the memory in use at an engine; [`DecodeSpeed`]: its speed
//!   and its slow periods.
//! - [`EngineReachability`]: whether this router can open connections to the engines.
//! - [`EngineSilence`]: for how long an engine has sent nothing although it has requests.
//! - [`UnreadRequests`]: requests that an engine may have received without having read them;
//!   [`ProgressReporter`]: what of them the leader is told once the engine departs.
//! - [`RequestEvidence`]: what the connection of a request shows of it.
//! - [`LeaveHints`]: which engines may be leaving, while departures can't be known.
//! - [`StallGuard`]: holds requests back after the process stood still.
//! - [`RelayRouters`]: which other routers relay connections to engines meanwhile.
//! - [`BackoffTracker`]: engines that have asked to receive no requests for some time, or that
//!   leave.
//! - [`ResponseTimes`]: how long requests of each route took lately.
//! - [`StatementTimes`]: as of when the statements of control processes hold.
//! - [`SlotShares`]: which of the engines' slots belong to which router.
//! - [`StatedRates`]: the request rates that engines state as their limit.
//! - [`EnginePermits`]: whether a request may be sent to an engine, by its slots and its rate.
//! - [`RouterLists`]: the running routers, as reported by several control processes.
//! - [`AccountOwners`]: which router of a zone owns the zone's account of a tenant.
//! - [`AccountHolders`]: which accounts a router holds besides, by the demand of its own callers.
//! - [`LenderReplies`]: whether a lender of tokens that has not replied counts as unresponsive.
//! - [`ColdEngines`]: engines that accept only few requests for some time; [`ColdSchedule`]: when
//!   each router may send them one.
//! - [`LoadShedder`]: which requests are admitted while demand exceeds the rates that engines
//!   state.
//! - [`StreamBuffers`]: when a router stops reading for a caller that reads slowly, and which caller
//!   is cut off.
//! - [`BodyMemory`]: which bodies find room in a process, and which give way.
//! - [`ConnectionTable`]: which connections of clients a process keeps.
//! - [`AdmissionOrder`]: the same for every plain service that is short of capacity, with or without
//!   stated rates.
//! - [`StreamVersions`]: which software version began a stream.
//! - [`RankedRouters`]: which routers keep a record, or act for the fleet.
//! - [`Hedging`]: when a request whose engine is silent is sent to another one as well.
//! - [`RetryBudget`]: how many requests may be sent to a further engine.
//! - [`Fingerprint`]: identifies a request by its content, the same for every retry of it, or a part
//!   of a prompt.
//! - [`Departures`]: engines that drain or have left, for the whole fleet.
//! - [`Evacuations`]: zones whose engines an operator has taken out of service.
//! - [`Quarantine`]: requests and parts of prompts under which engines have crashed, for the whole fleet;
//!   [`CrashTracker`]: the same as known to one router.
//! - [`MachinePressure`]: how much of its machine a router uses; [`ZonePressure`]: what the other
//!   routers report of theirs.
//! - [`ConnectionShedder`]: which new connections a router keeps while its link is heavily used;
//!   [`Withdrawal`]: whether it asks the platform for none.
//! - [`EventSplitter`]: splits a byte stream into whole server-sent events.

mod account_holders;
mod account_owners;
mod admission_order;
mod backoff;
mod body_memory;
mod capacity_estimate;
mod class_demand;
mod cold_engines;
mod cold_schedule;
mod common_version;
mod config;
mod connection_shedding;
mod connection_table;
mod crash_tracker;
mod decode_speed;
mod departure_progress;
mod departures;
mod directory;
mod engine_choice;
mod engine_health;
mod engine_list;
mod engine_load;
mod engine_notice;
mod engine_permits;
mod engine_reachability;
mod engine_room;
mod engine_silence;
mod evacuations;
mod event_stream;
mod fingerprint;
mod generation_load;
mod hashing;
mod hedging;
mod leave_hints;
mod lender_replies;
mod load_shedding;
mod machine_pressure;
pub mod notice_list;
mod pace;
mod picker;
mod placement;
mod plain_choice;
mod plain_load;
mod quarantine;
mod quarantine_trials;
mod ranked_routers;
mod rate_bucket;
mod rate_window;
mod recent_successes;
mod relay_routers;
mod request_evidence;
mod response_times;
mod retry_budget;
mod route_table;
mod router_lists;
mod service_clock;
mod slot_shares;
mod stall_guard;
mod stated_rates;
mod statement_times;
mod stream_buffers;
mod stream_versions;
mod unread_requests;
mod withdrawal;
mod work_time;
mod zone_pressure;
mod zone_shares;

pub use account_holders::{AccountHolders, HolderChange};
pub use account_owners::AccountOwners;
pub use admission_order::{
    AdmissionDecision, AdmissionOrder, KnownCapacity, ShortageChange, SlotUse,
};
pub use backoff::{BackoffChange, BackoffTracker};
pub use body_memory::{BodyId, BodyLimits, BodyMemory, MAX_SMALL_BODY, NoRoom, STALL_TIME};
pub use class_demand::RequestClass;
pub use cold_engines::{ColdDelta, ColdEngines, ColdNotice};
pub use cold_schedule::ColdSchedule;
pub use common_version::common_version;
pub use config::{
    ClientLimits, ConfigError, EngineProfile, Route, RouteKind, RoutingConfig, Service, Split,
    Tenant,
};
pub use connection_shedding::{
    ConnectionShedder, LinkTraffic, SheddingChange, SheddingInputs, busiest_connections,
};
pub use connection_table::{
    Admitted, ClientTimeouts, ConnectionId, ConnectionLimits, ConnectionTable,
};
pub use crash_tracker::{CrashReport, CrashTracker};
pub use decode_speed::DecodeSpeed;
pub use departure_progress::{
    DepartureProgress, EngineRead, EngineTraffic, ProgressReporter, UnreadEngine,
};
pub use departures::{
    DepartureChange, DepartureDelta, DepartureRecord, Departures, KnownDepartures, MAX_DEPARTURES,
};
pub use directory::{AmbiguousIncarnation, EngineDirectory, EngineRecord};
pub use engine_choice::{AttemptEnd, EngineChoice, PickQuery, ServiceAvailability, Standing};
pub use engine_list::{EngineListDigest, EngineSubscription};
pub use engine_load::{EngineLoad, EngineLoadUpdate, GenerationWork, Placement, PlacementEstimate};
pub use engine_notice::{DirectoryDelta, EngineNotice, EngineState, MergeOutcome};
pub use engine_permits::{EnginePermits, PermitAvailability, PermitScope};
pub use engine_reachability::{EngineReachability, ReachabilityChange};
pub use engine_silence::EngineSilence;
pub use evacuations::{EvacuationOrder, Evacuations};
pub use event_stream::{Event, EventSplitter};
pub use fingerprint::{Fingerprint, RequestContent};
pub use generation_load::{GenerationLoad, GenerationLoadReport};
pub use hedging::{HedgeStep, HedgeTerms, Hedging, Sightings};
pub use leave_hints::LeaveHints;
pub use lender_replies::LenderReplies;
pub use load_shedding::LoadShedder;
pub use machine_pressure::{
    MachinePressure, PressureLimits, PressureReading, PressureSample, PressureState, Utilization,
};
pub use picker::{EnginePicker, MemoryDemand};
pub use placement::{ModelEstimate, PlacementCost};
pub use plain_choice::PlainExpectation;
pub use plain_load::{PlainLoad, PlainLoadReport};
pub use quarantine::{
    CRASHES_TO_QUARANTINE, CrashSighting, INITIAL_QUARANTINE, MAX_SUSPECTS, Quarantine,
    QuarantineChange, QuarantineNotice, Suspect,
};
pub use ranked_routers::RankedRouters;
pub use relay_routers::RelayRouters;
pub use request_evidence::{ConnectionFailure, ConnectionPath, Evidence, RequestEvidence};
pub use response_times::ResponseTimes;
pub use retry_budget::{RetryBudget, RetryLimits};
pub use route_table::{Admission, RouteTable, TenantMatch};
pub use router_lists::{RouterEndpoint, RouterLists, ZoneRouters};
pub use slot_shares::SlotShares;
pub use stall_guard::StallGuard;
pub use stated_rates::{RateChange, RateStatement, RateUpdate, StatedRates};
pub use statement_times::StatementTimes;
pub use stream_buffers::{
    BufferId, BufferLimits, CutOff, CutOffReason, ReaderTerms, StoreOutcome, StreamBuffers,
    may_have_ended_unread,
};
pub use stream_versions::{StreamKey, StreamVersions};
pub use unread_requests::{DispatchedRequest, ENDED_EXPIRY, UNREAD_EXPIRY, UnreadRequests};
pub use withdrawal::{Withdrawal, WithdrawalPolicy};
pub use work_time::ResponseTiming;
pub use zone_pressure::{LinkLoad, Neighbours, PressureReport, ZonePressure};
