//! The receiving side.

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

/// What to do with a parcel. Must not block.
type Receiver = Arc<dyn Fn(MessageBatch) + Send + Sync>;

#[derive(Clone)]
struct Server {
    receiver: Receiver,
}

impl Fleet for Server {
    // The parcel is handed over in one step: if the sender goes away, this future may be dropped
    // at any await.
    async fn deliver(self, _: Context, batch: MessageBatch) {
        (self.receiver)(batch);
    }
}

/// Receives parcels on `address` for ever. The listener is bound before this returns.
pub async fn listen(
    address: SocketAddr,
    receiver: impl Fn(MessageBatch) + Send + Sync + 'static,
) -> Result<(), PeerError> {
    let mut listener = tcp::listen(address, Bincode::default)
        .await
        .map_err(|error| PeerError::new(Step::Listen, address, error))?;
    listener.config_mut().max_frame_length(MAX_BATCH_BYTES);
    let server = Server { receiver: Arc::new(receiver) };
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
                Err(error) => log::warn!("accept on {address}: {error}"),
            }
        }
    });
    Ok(())
}
