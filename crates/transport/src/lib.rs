//! Delivery of messages between the processes of the fleet, by `tarpc` over TCP.
//!
//! Delivery is a best effort: what can't be sent is dropped, since every sender repeats what it
//! needs. While one parcel is on its way to a peer, further messages gather in the next one, so
//! that batches grow with the load.

mod inbox;
mod outbox;

pub use inbox::listen;
pub use outbox::Outbox;

use stackpost_protocol::MessageBatch;
use stackpost_types::Millis;

/// Largest parcel in bytes; a whole configuration or account has to fit.
const MAX_BATCH_BYTES: usize = 64 << 20;
/// Longest wait for a parcel's acknowledgement.
const DELIVERY_TIMEOUT: Millis = Millis(2_000);

/// The service every process of the fleet offers to the others.
#[tarpc::service]
pub trait Fleet {
    /// Hands over a parcel. The answer says only that it has arrived.
    async fn deliver(batch: MessageBatch);
}
