//! Datagrams between routers: short words that nobody waits for long, and that may be lost.

use crate::load_exchange::LoadUpdate;
use crate::metrics::RouterMetrics;
use crate::permits::PermitMessage;
use serde::{Deserialize, Serialize};
use stackpost_gateway_core::CrashSighting;
use stackpost_telemetry::LineLimit;
use stackpost_types::{Millis, PeerError, Step};
use std::net::SocketAddr;
use std::time::Instant;
use tokio::net::UdpSocket;

/// Largest datagram that is read.
const DATAGRAM_LIMIT: usize = 4_096;

/// What one router tells another.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum PeerDatagram {
    /// What it has sent to engines.
    Load(LoadUpdate),
    /// About permits to send requests to engines.
    Permit(PermitMessage),
    /// Engines that ended under requests, each with the time since, while the leader can't be reached.
    EngineCrashes(Vec<(CrashSighting, Millis)>),
}

/// A router's socket for datagrams.
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    refused_lines: LineLimit,
}

impl PeerSocket {
    /// Listens at `address`.
    pub async fn bind(address: SocketAddr) -> Result<Self, PeerError> {
        let listen_error = |error| PeerError::new(Step::Listen, address, error);
        let socket = UdpSocket::bind(address).await.map_err(listen_error)?;
        // Until it has been seen to be writable once, everything sent without waiting would be lost.
        socket.writable().await.map_err(listen_error)?;
        Ok(Self { socket, refused_lines: LineLimit::default() })
    }

    /// Sends a datagram. One that does not go out at once is lost, as any may be.
    pub fn send(&self, to: SocketAddr, datagram: &PeerDatagram) {
        let bytes = postcard::to_stdvec(datagram).expect("datagrams can be encoded");
        if let Err(error) = self.socket.try_send_to(&bytes, to) {
            log::debug!(step = "datagram", peer = to.to_string(); "{error}");
        }
    }

    /// The next datagram that can be read; others are counted.
    pub async fn receive(&self, metrics: &RouterMetrics) -> (PeerDatagram, SocketAddr) {
        let mut buffer = vec![0; DATAGRAM_LIMIT];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    // An earlier datagram met a closed port; the socket goes on.
                    log::debug!(step = "datagram"; "{error}");
                    continue;
                }
            };
            match postcard::from_bytes(&buffer[..length]) {
                Ok(datagram) => return (datagram, from),
                Err(error) => self.refuse(metrics, from, &error),
            }
        }
    }

    fn refuse(&self, metrics: &RouterMetrics, from: SocketAddr, error: &postcard::Error) {
        metrics.on_malformed_datagram();
        if let Some(held_back) = self.refused_lines.pass(Instant::now()) {
            let peer = from.to_string();
            log::warn!(step = "datagram", peer = peer.as_str(), held_back = held_back; "{error}");
        }
    }
}
