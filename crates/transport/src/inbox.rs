//! Receives batches of messages from other processes.

use crate::{Fleet, MAX_BATCH_BYTES};
use futures::StreamExt;
use stackpost_protocol::MessageBatch;
use stackpost_types::{PeerError, Step};
use std::net::SocketAddr;
use std::sync::Arc;
use tarpc::context::Context;
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;

/// Handles a received batch. Must not block.
type BatchHandler = Arc<dyn Fn(MessageBatch) + Send + Sync>;

#[derive(Clone)]
struct Server {
    handler: BatchHandler,
}

impl Fleet for Server {
    // The handler is called without an await before it: if the sender disconnects, this future may
    // be dropped at any await.
    async fn deliver(self, _: Context, batch: MessageBatch) {
        (self.handler)(batch);
    }
}

/// Receives batches on `address` until the process exits. The listener is bound when this returns.
pub async fn listen(
    address: SocketAddr,
    handler: impl Fn(MessageBatch) + Send + Sync + 'static,
) -> Result<(), PeerError> {
    let mut listener = tcp::listen(address, Bincode::default)
        .await
        .map_err(|error| PeerError::new(Step::Listen, address, error))?;
    listener.config_mut().max_frame_length(MAX_BATCH_BYTES);
    let server = Server { handler: Arc::new(handler) };
    tokio::spawn(async move {
        while let Some(connection) = listener.next().await {
            match connection {
                Ok(transport) => {
                    let requests =
                        BaseChannel::with_defaults(transport).execute(server.clone().serve());
                    tokio::spawn(requests.for_each(|response| async {
                        tokio::spawn(response);
                    }));
                }
                Err(error) => log::warn!("cannot accept a connection on {address}: {error}"),
            }
        }
    });
    Ok(())
}
