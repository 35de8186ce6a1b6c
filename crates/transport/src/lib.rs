//! Delivery of messages between the processes of the fleet, by `tarpc` over TCP.
//!
//! Delivery is best effort: messages that can't be sent are dropped, since every sender resends
//! what it needs. While one batch is being delivered to a peer, further messages are queued for
//! the next one, so that batches grow with the load.

mod inbox;
mod outbox;

pub use inbox::listen;
pub use outbox::Outbox;

use stackpost_protocol::MessageBatch;
use stackpost_types::Millis;

/// Largest batch, in bytes. A whole configuration or account has to fit.
const MAX_BATCH_BYTES: usize = 64 << 20;
/// Longest wait for the acknowledgement of a batch.
const DELIVERY_TIMEOUT: Millis = Millis(2_000);

/// The service that every process of the fleet offers to the others.
#[tarpc::service]
pub trait Fleet {
    /// Delivers a batch. The response confirms only that the batch was received.
    async fn deliver(batch: MessageBatch);
}
