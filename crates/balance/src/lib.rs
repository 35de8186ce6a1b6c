//! Selection of back ends for requests and of the request to serve next. No I/O.
//!
//! [`Balancer`] scores the back ends of a service by load and prefix-cache affinity. [`FairQueue`]
//! holds waiting requests, with a fair share per tenant. [`RetryBudget`] keeps retries from
//! amplifying a failure.

mod back_end;
mod balancer;
mod prefix;
mod queue;
mod retry;

pub use back_end::{BackEnd, LoadReport};
pub use balancer::{Balancer, Candidate, Choice, Query};
pub use prefix::{BLOCK_BYTES, BlockHash, CacheChange, CacheIndex, CacheUpdate, block_hashes};
pub use queue::{FairQueue, PushOutcome};
pub use retry::RetryBudget;
