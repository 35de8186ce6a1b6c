//! Connections between the processes of a gateway fleet.
//!
//! Every connection carries length-prefixed frames, each one message in postcard. Messages are
//! one-way and may be lost: a sender repeats what it needs. A connection over which nothing has
//! arrived for [`CONNECTION_IDLE_TIMEOUT`] is given up, so both ends must speak more often than that.
//!
//! [`Mesh`] belongs to one thread and must be used inside a Tokio `LocalSet`.

mod connection;
mod mesh;

pub use connection::CONNECT_TIMEOUT;
pub use mesh::{LinkEvent, LinkId, Mesh, PeerInfo, PeerRole};

use std::time::Duration;

/// A connection that has been silent for so long is closed.
pub const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
