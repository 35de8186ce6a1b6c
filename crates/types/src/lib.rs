//! Names, quantities, time and outcomes shared by every stackpost crate.
//!
//! Nothing here does I/O or keeps state. Each name is its own type, so that a zone can't be passed
//! where a machine is meant.

mod error;
mod hash;
mod names;
mod quantities;
mod request_rate;

pub use error::{PeerError, Step};
pub use hash::{Digest, KeyHash, rendezvous_rank};
pub use names::*;
pub use quantities::{Millis, Timestamp, Tokens, WallTime};
pub use request_rate::{ParseRateError, RequestRate};
