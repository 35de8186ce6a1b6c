//! The router's decisions as one state machine without I/O.
//!
//! [`Router::handle`] takes the time and an [`Event`] and returns [`Effect`]s. The same machine
//! runs in the router process, behind sockets and timers, and in the deterministic fleet of the
//! tests. A request passes through these modules in order: `admission` (authenticate the tenant
//! and find the service), `keys` (idempotency), `rights` (reserve the maximum cost), `dispatch`
//! (queue, choose a back end, send), `settlement` (bill the usage, release the end of the
//! response).

mod accounts;
mod admission;
mod bills;
mod call;
mod control_link;
mod deferred;
mod directory;
mod dispatch;
mod drain;
mod effect;
mod event;
mod key_store;
mod keys;
mod pulls;
mod refusal;
mod rights;
mod router;
mod settlement;
mod trace;
mod transfers;

pub use call::{Call, CallId, Target};
pub use effect::{Dispatch, Effect};
pub use event::{AttemptOutcome, Event, PlatformEntry, Usage};
pub use refusal::{ExecutionOutcome, Refusal, RefusalReason};
pub use router::{Defects, Router, RouterConfig, RouterStatus};
pub use trace::{Trace, TraceStep};
