//! Relays connections to engines for routers that cannot connect themselves.

use super::{LENGTH_BYTES, RelayReply, RelayRequest, read_message, relay_address, write_message};
use crate::router::Router;
use crate::socket_options::set_options;
use stackpost_gateway_core::EngineRecord;
use stackpost_mesh::{PendingConnection, PendingConnections};
use stackpost_types::{BackEndName, PeerError, Step};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Connections that are relayed at the same time. Each needs two descriptors and two buffers.
const MAX_RELAYED_CONNECTIONS: usize = 512;
/// Timeout for the request on a new connection.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for which an engine's connection is kept after the router has closed its end.
const OBSERVATION_LIMIT: Duration = Duration::from_secs(10);
/// Delay after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Size of the buffers: one frame.
const BUFFER_BYTES: usize = 8 * 1024;

/// Accepts other routers' connections and forwards them to engines.
pub(crate) struct RelayServer {
    router: Rc<Router>,
    /// Connections without a request yet.
    pending: Rc<PendingConnections>,
}

impl RelayServer {
    /// Starts to relay at the port after that of `fleet_address`. Must be called inside a
    /// `LocalSet`.
    pub async fn start(fleet_address: SocketAddr, router: Rc<Router>) -> Result<(), PeerError> {
        let address = relay_address(fleet_address);
        let listener = TcpListener::bind(address)
            .await
            .map_err(|error| PeerError::new(Step::Listen, address, error))?;
        let server = Rc::new(Self { router, pending: Rc::default() });
        tokio::task::spawn_local(server.accept(listener));
        Ok(())
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    let pending = self.pending.open();
                    tokio::task::spawn_local(self.clone().serve(stream, peer, pending));
                }
                Err(error) => {
                    log::warn!(step = "accept relay"; "{error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve(
        self: Rc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
        pending: PendingConnection,
    ) {
        if let Err(error) = self.relay(stream, pending).await {
            log::debug!(step = "relay", peer = peer.to_string(); "{error}");
        }
    }

    async fn relay(&self, mut stream: TcpStream, pending: PendingConnection) -> io::Result<()> {
        set_options(&stream);
        let reading = timeout(REQUEST_TIMEOUT, read_message::<RelayRequest>(&mut stream));
        let Some(request) = pending.first_message(reading).await else {
            return Err(io::Error::other("too many connections without a request"));
        };
        let request = request.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        let _guard = self.router.relayed.count();
        let connected = self.connect(&request.engine).await;
        self.router.metrics.on_relayed(connected.is_ok());
        let engine = match connected {
            Ok(engine) => engine,
            Err(reply) => return write_message(&mut stream, &reply).await,
        };
        write_message(&mut stream, &RelayReply::Connected).await?;
        let (from_router, to_router) = stream.into_split();
        let (from_engine, to_engine) = engine.into_split();
        // The engine's end ends both directions. The router's end is passed on, so that the engine
        // stops working, and what the engine sends afterwards shows what became of the request.
        tokio::select! {
            result = self.forward_to_engine(from_router, to_engine) => result,
            result = self.forward_to_router(&request.engine, from_engine, to_router) => result,
        }
    }

    /// Opens the connection to the engine; otherwise gives the reply.
    async fn connect(&self, name: &BackEndName) -> Result<TcpStream, RelayReply> {
        let engine = self.accepted_engine(name).ok_or(RelayReply::Unavailable)?;
        match self.router.pool.dial(engine.notice.address).await {
            Ok(stream) => Ok(stream),
            Err(error) => {
                log::debug!(step = "relay", engine = name.as_str(); "{error}");
                self.router.on_connection_failed(name);
                let is_isolated = self.router.is_isolated();
                Err(if is_isolated {
                    RelayReply::Unavailable
                } else {
                    RelayReply::EngineUnreachable
                })
            }
        }
    }

    /// The engine, if this router relays connections to it.
    fn accepted_engine(&self, name: &BackEndName) -> Option<EngineRecord> {
        let router = &self.router;
        let is_available = !router.is_isolated()
            && !router.is_draining()
            && !router.congestion.is_congested(Instant::now())
            && router.relayed.active() <= MAX_RELAYED_CONNECTIONS;
        let directory = router.directory.borrow();
        let engine = directory.get(name).filter(|_| is_available)?;
        directory.accepts_requests(name).then(|| engine.clone())
    }

    /// Forwards what the engine sends, in frames, the last of which is empty.
    async fn forward_to_router(
        &self,
        engine: &BackEndName,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) -> io::Result<()> {
        let mut frame = vec![0; LENGTH_BYTES + BUFFER_BYTES];
        let opened = self.router.now();
        let mut has_responded = false;
        loop {
            let length = from.read(&mut frame[LENGTH_BYTES..]).await?;
            if !has_responded && length > 0 {
                has_responded = true;
                self.router.on_connection_succeeded(engine, opened);
            }
            frame[..LENGTH_BYTES].copy_from_slice(&(length as u16).to_be_bytes());
            to.write_all(&frame[..LENGTH_BYTES + length]).await?;
            self.router.pressure_control.meter.on_forwarded(length);
            if length == 0 {
                return to.shutdown().await;
            }
        }
    }

    async fn forward_to_engine(
        &self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) -> io::Result<()> {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let length = from.read(&mut buffer).await?;
            if length == 0 {
                to.shutdown().await?;
                sleep(OBSERVATION_LIMIT).await;
                return Ok(());
            }
            to.write_all(&buffer[..length]).await?;
            self.router.pressure_control.meter.on_forwarded(length);
        }
    }
}
