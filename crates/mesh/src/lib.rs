//! Connections between the processes of a gateway fleet.
//!
//! Every connection carries length-prefixed frames, each one message in postcard. Messages are
//! one-way and may be lost, so a sender resends messages that must arrive. A connection over which
//! nothing was received for [`CONNECTION_IDLE_TIMEOUT`] is closed, so both ends must send more
//! often than that.
//!
//! [`Mesh`] is bound to one thread and must be used inside a Tokio `LocalSet`.

mod connection;
mod mesh;
mod pending;
mod traffic;

pub use connection::{CONNECT_TIMEOUT, open_tcp};
pub use mesh::{LinkEvent, LinkId, Mesh, PeerInfo, PeerRole};
pub use pending::{PendingConnection, PendingConnections};
pub use traffic::{MessageKind, SentByKind, SentMessages};

use std::time::Duration;

/// A connection over which nothing was received for this long is closed.
pub const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum length in bytes of the first frame of a connection, which says who the other end is.
const MAX_FIRST_FRAME_BYTES: usize = 4 * 1024;
/// Maximum length of the other frames in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
