//! Connections to engines.

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use stackpost_clock::{BootInstant, MachineClock};
use stackpost_gateway_core::{EngineDirectory, EngineRecord, EngineState};
use stackpost_types::BackEndName;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);
/// Sent bytes that nobody acknowledges for so long break the connection.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_200);
/// Silence after which an engine's machine is asked whether it is there.
const PROBE_AFTER: Duration = Duration::from_millis(1_000);
/// Longest rest of a connection whose engine does not say how long it keeps it.
const DEFAULT_REST: Duration = Duration::from_millis(3_000);
/// Longest wait for the connection that shows whether an engine has ended: many times the way there and back between zones
/// (2 ms), and short beside the time in which the request is to be tried elsewhere.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);
/// How long that connection must last: some times what a process takes to close its sockets as it ends.
const PROBE_SETTLE: Duration = Duration::from_millis(10);
/// Part of the rest that an engine grants that is used, so that a request does not cross its close.
const REST_USED_PERCENT: u32 = 60;
/// Resting connections kept for one engine.
const RESTING_PER_ENGINE: usize = 8;

/// A connection to one engine that carries one request at a time.
pub(crate) struct EngineConnection {
    pub sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    /// Whether it has carried a request before.
    pub reused: bool,
}

impl EngineConnection {
    /// Closes the connection at once, whatever it is doing.
    pub fn close(self) {
        self.driver.abort();
    }
}

struct Resting {
    connection: EngineConnection,
    since: BootInstant,
    limit: Duration,
}

/// Resting connections, by engine.
pub(crate) struct ConnectionPool {
    clock: MachineClock,
    resting: RefCell<HashMap<BackEndName, Vec<Resting>>>,
}

impl ConnectionPool {
    /// An empty pool.
    pub fn new(clock: MachineClock) -> Self {
        Self { clock, resting: RefCell::default() }
    }

    /// A resting connection, the newest first, or a new one. `fresh` asks for a new one.
    pub async fn acquire(
        &self,
        engine: &EngineRecord,
        fresh: bool,
    ) -> io::Result<EngineConnection> {
        if !fresh && let Some(connection) = self.take_resting(&engine.notice.engine) {
            return Ok(connection);
        }
        open(engine.notice.address).await
    }

    /// Whether an engine still takes connections, looked at with a new one, which is kept for the next request. No answer
    /// in time counts as no.
    pub async fn accepts_connections(&self, engine: &EngineRecord) -> bool {
        let Ok(Ok(connection)) = timeout(PROBE_TIMEOUT, open(engine.notice.address)).await else {
            return false;
        };
        // What ends closes its listener and its connections one after the other.
        sleep(PROBE_SETTLE).await;
        let lives = !connection.sender.is_closed();
        self.release(&engine.notice.engine, connection, None);
        lives
    }

    /// Keeps a connection whose answer has come in whole. `granted` is how long the engine keeps
    /// it, if it has said so.
    pub fn release(
        &self,
        engine: &BackEndName,
        mut connection: EngineConnection,
        granted: Option<Duration>,
    ) {
        let limit = granted.map_or(DEFAULT_REST, |granted| granted * REST_USED_PERCENT / 100);
        let mut resting = self.resting.borrow_mut();
        let of_engine = resting.entry(engine.clone()).or_default();
        if of_engine.len() >= RESTING_PER_ENGINE || limit.is_zero() {
            return connection.close();
        }
        connection.reused = true;
        of_engine.push(Resting { connection, since: self.clock.now(), limit });
    }

    /// Closes connections that have rested too long or whose engines have left.
    pub fn evict_idle(&self, directory: &EngineDirectory) {
        self.resting.borrow_mut().retain(|engine, resting| {
            let gone =
                directory.get(engine).is_none_or(|record| record.notice.state == EngineState::Gone);
            let kept = std::mem::take(resting);
            for entry in kept {
                if gone
                    || self.clock.since(entry.since) >= entry.limit
                    || entry.connection.sender.is_closed()
                {
                    entry.connection.close();
                } else {
                    resting.push(entry);
                }
            }
            !resting.is_empty()
        });
    }

    fn take_resting(&self, engine: &BackEndName) -> Option<EngineConnection> {
        let mut resting = self.resting.borrow_mut();
        let of_engine = resting.get_mut(engine)?;
        while let Some(entry) = of_engine.pop() {
            let usable =
                self.clock.since(entry.since) < entry.limit && entry.connection.sender.is_ready();
            if usable {
                return Some(entry.connection);
            }
            entry.connection.close();
        }
        None
    }
}

async fn open(address: SocketAddr) -> io::Result<EngineConnection> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    let socket = SockRef::from(&stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    // These only help to notice a silent machine; a socket that refuses them still works.
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT));
    let _ = socket.set_tcp_keepalive(&probes);
    let (sender, connection) =
        http1::Builder::new().handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    let driver = tokio::task::spawn_local(async move {
        // Whoever uses the connection meets the error, too.
        let _ = connection.await;
    });
    Ok(EngineConnection { sender, driver: driver.abort_handle(), reused: false })
}
