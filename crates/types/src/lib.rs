//! Names, quantities, time, digests and errors shared by every stackpost crate.
//!
//! Nothing here does I/O or keeps state. Each kind of name is its own type, so that a zone name
//! can't be passed where a machine name is expected.

mod error;
mod event_id;
mod hash;
mod names;
mod quantities;
mod request_rate;

pub use error::{PeerError, Step};
pub use event_id::{EventId, ParseEventIdError};
pub use hash::{Digest, KeyHash, rendezvous_rank};
pub use names::*;
pub use quantities::{Millis, Timestamp, Tokens, WallTime};
pub use request_rate::{ParseRateError, RequestRate};
