//! Asks another router for a connection to an engine.

use super::{RelayReply, RelayRequest, RelayedStream, read_message, relay_address, write_message};
use crate::socket_options::set_options;
use stackpost_mesh::open_tcp;
use stackpost_types::BackEndName;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use thiserror::Error;
use tokio::time::timeout;

/// Timeout for the connection to the relay.
const DIAL_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout for the relay's reply: longer than its own timeout for a connection to an engine.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);

/// Why a router did not relay a connection.
#[derive(Debug, Error)]
pub(crate) enum RelayError {
    /// The relay reaches other engines, but not this one.
    #[error("router {relay} does not reach the engine either")]
    EngineUnreachable { relay: SocketAddr },
    /// The relay refuses.
    #[error("router {relay} relays no connection")]
    Unavailable { relay: SocketAddr },
    /// The relay could not be asked.
    #[error("router {relay}: {source}")]
    Io { relay: SocketAddr, source: io::Error },
}

/// Connects to an engine through the router with the fleet address `router`, from the address
/// `source` if there is one.
pub(crate) async fn connect(
    source: Option<IpAddr>,
    router: SocketAddr,
    engine: &BackEndName,
) -> Result<RelayedStream, RelayError> {
    let relay = relay_address(router);
    let io_error = |source| RelayError::Io { relay, source };
    let mut stream = within(DIAL_TIMEOUT, open_tcp(source, relay)).await.map_err(io_error)?;
    set_options(&stream);
    let asking = async {
        write_message(&mut stream, &RelayRequest { engine: engine.clone() }).await?;
        read_message(&mut stream).await
    };
    match within(REPLY_TIMEOUT, asking).await.map_err(io_error)? {
        RelayReply::Connected => Ok(RelayedStream::new(stream)),
        RelayReply::EngineUnreachable => Err(RelayError::EngineUnreachable { relay }),
        RelayReply::Unavailable => Err(RelayError::Unavailable { relay }),
    }
}

async fn within<T>(limit: Duration, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    timeout(limit, work).await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}
