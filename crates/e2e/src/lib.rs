//! End-to-end test support: a small fleet of the real programs on loopback addresses.
//!
//! The fleet has two zones with two routers each, three control replicas, and in each zone a
//! stand-in engine and a stand-in plain service. [`Fleet`] starts and signals the processes, and
//! ends only those that it started.

mod api_request;
mod fleet;
mod programs;
mod records;

pub use api_request::{ApiRequest, ApiResponse};
pub use fleet::{Fleet, KEY, LIMIT, MODEL, ROUTERS, WAIT_TIMEOUT, wait_for};
pub use records::{JournalEntry, StoredBill};
