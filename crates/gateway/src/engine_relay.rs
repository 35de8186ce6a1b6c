//! Connections to engines through another router.
//!
//! A router that cannot connect to an engine itself asks another router to open the connection and
//! to forward its bytes. Admission, budgets, permits and retries stay with the router that
//! received the caller's request; the relay reads none of the bytes. A relay
//! connects directly and refuses while it is isolated itself, so there is one hop at most.
//!
//! On the wire: a [`RelayRequest`], a [`RelayReply`], then the caller's bytes as they are in one
//! direction and frames of the engine's bytes in the other. An empty frame says that the engine has
//! closed its end in order. Without it, the end of the connection is an interruption: a relay that
//! is killed closes its sockets like an engine that has sent everything.

mod client;
mod relayed_stream;
mod server;

pub(crate) use client::{RelayError, connect};
pub use relayed_stream::RelayedStream;
pub(crate) use server::RelayServer;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use stackpost_types::BackEndName;
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Limit on the encoded size of [`RelayRequest`] and [`RelayReply`].
const MAX_MESSAGE_BYTES: usize = 1_024;
/// Bytes of the length in front of each message and frame.
const LENGTH_BYTES: usize = 2;
/// Asks for a connection.
#[derive(Debug, Serialize, Deserialize)]
struct RelayRequest {
    engine: BackEndName,
}

/// The answer to a [`RelayRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum RelayReply {
    /// The connection to the engine is established.
    Connected,
    /// The relay reaches other engines, but not this one.
    EngineUnreachable,
    /// The relay is isolated itself, stopping or overloaded, or does not know the engine.
    Unavailable,
}

/// The address at which a router relays connections, from its fleet address.
pub(crate) fn relay_address(fleet_address: SocketAddr) -> SocketAddr {
    SocketAddr::new(fleet_address.ip(), fleet_address.port() + 1)
}

async fn write_message(stream: &mut TcpStream, message: &impl Serialize) -> io::Result<()> {
    let encoded = postcard::to_stdvec(message).map_err(io::Error::other)?;
    let mut bytes = (encoded.len() as u16).to_be_bytes().to_vec();
    bytes.extend_from_slice(&encoded);
    stream.write_all(&bytes).await
}

async fn read_message<M: DeserializeOwned>(stream: &mut TcpStream) -> io::Result<M> {
    let length = usize::from(stream.read_u16().await?);
    if length > MAX_MESSAGE_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "message is too long"));
    }
    let mut encoded = vec![0; length];
    stream.read_exact(&mut encoded).await?;
    postcard::from_bytes(&encoded).map_err(io::Error::other)
}
