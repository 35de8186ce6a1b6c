//! Datagrams between routers: short messages that may be lost and are not waited for long.

use crate::load_exchange::{EngineModelUpdate, LoadUpdate};
use crate::metered_stream::LinkMeter;
use crate::metrics::RouterMetrics;
use crate::permits::PermitMessage;
use crate::stream_records::StreamMessage;
use serde::{Deserialize, Serialize};
use stackpost_gateway_core::{CrashSighting, PressureReport};
use stackpost_telemetry::LineLimit;
use stackpost_types::{Millis, PeerError, Step};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use tokio::net::UdpSocket;

/// Size of the receive buffer.
const MAX_DATAGRAM_BYTES: usize = 4_096;

/// A datagram from one router to another.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum PeerDatagram {
    /// The load that the sender puts on engines.
    Load(LoadUpdate),
    /// A message about permits to send requests to engines.
    Permit(PermitMessage),
    /// Crash sightings, each with its age, sent while the leader is unreachable.
    EngineCrashes(Vec<(CrashSighting, Millis)>),
    /// A message about the software version that began a stream.
    Stream(StreamMessage),
    /// What the sender knows of engines. Sent with the engine model only; routers that do not know
    /// the variant count it as malformed.
    EngineModel(EngineModelUpdate),
    /// The pressure on the sender's machine.
    Pressure(PressureReport),
}

/// The UDP socket of a router.
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    meter: Rc<LinkMeter>,
    malformed_lines: LineLimit,
}

impl PeerSocket {
    /// `meter` counts the datagrams.
    pub async fn bind(address: SocketAddr, meter: Rc<LinkMeter>) -> Result<Self, PeerError> {
        let listen_error = |error| PeerError::new(Step::Listen, address, error);
        let socket = UdpSocket::bind(address).await.map_err(listen_error)?;
        // Until the socket has been polled writable once, every non-blocking send would fail.
        socket.writable().await.map_err(listen_error)?;
        Ok(Self { socket, meter, malformed_lines: LineLimit::default() })
    }

    /// Sends a datagram without blocking. One that can't be sent at once is dropped.
    pub fn send(&self, to: SocketAddr, datagram: &PeerDatagram) {
        let bytes = postcard::to_stdvec(datagram).expect("datagrams can be encoded");
        match self.socket.try_send_to(&bytes, to) {
            Ok(length) => self.meter.on_datagram_sent(length),
            Err(error) => log::debug!(step = "datagram", peer = to.to_string(); "{error}"),
        }
    }

    /// Receives the next valid datagram; malformed ones are counted.
    pub async fn receive(&self, metrics: &RouterMetrics) -> (PeerDatagram, SocketAddr) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    // An earlier datagram reached a closed port; the socket stays usable.
                    log::debug!(step = "datagram"; "{error}");
                    continue;
                }
            };
            self.meter.on_datagram_received(length);
            match postcard::from_bytes(&buffer[..length]) {
                Ok(datagram) => return (datagram, from),
                Err(error) => self.on_malformed(metrics, from, &error),
            }
        }
    }

    fn on_malformed(&self, metrics: &RouterMetrics, from: SocketAddr, error: &postcard::Error) {
        metrics.on_malformed_datagram();
        if let Some(held_back) = self.malformed_lines.pass(Instant::now()) {
            let peer = from.to_string();
            log::warn!(step = "datagram", peer = peer.as_str(), held_back = held_back; "{error}");
        }
    }
}
