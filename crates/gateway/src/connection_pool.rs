//! Connections to engines.

use crate::abandoned_request;
use crate::engine_dialer::EngineDialer;
use crate::engine_relay::RelayedStream;
use crate::metered_stream::{LinkMeter, MeteredStream};
use crate::observed_stream::{EngineStream, ObservedStream, SharedEvidence};
use crate::socket_options::set_options;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use stackpost_clock::{BootInstant, MachineClock};
use stackpost_gateway_core::{
    ConnectionPath, EngineDirectory, EngineRecord, EngineState, Evidence, RequestEvidence,
};
use stackpost_types::BackEndName;
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

/// Timeout for establishing a connection.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);
/// Idle limit of a connection whose engine does not state one.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_millis(3_000);
/// Timeout for the connection that probes an engine: many round trips between zones (2 ms each), and
/// short compared to the time left for retrying the request elsewhere.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);
/// Part of an engine's idle limit that is used, in percent, so that a request does not race with
/// the engine closing the connection.
const IDLE_LIMIT_PERCENT: u32 = 60;
/// Age from which a connection through another router is not used for further requests.
const MAX_RELAYED_AGE: Duration = Duration::from_secs(2);
/// Maximum number of idle connections per engine.
const MAX_IDLE_PER_ENGINE: usize = 8;

/// What a connection that carries no request shows of its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeOutcome {
    /// It was established and stayed open.
    Accepted,
    /// It was refused, or closed at once.
    Refused,
    /// It was not established in time, or failed for a reason other than a refusal.
    NoResponse,
}

/// A connection to one engine that carries one request at a time.
pub(crate) struct EngineConnection {
    pub sender: SendRequest<Full<Bytes>>,
    pub path: ConnectionPath,
    opened: Instant,
    driver: AbortHandle,
    /// Tells the driver to give up the request, and where to report what became of it.
    abandon: oneshot::Sender<oneshot::Sender<Evidence>>,
    /// What it shows of the request under way.
    pub evidence: SharedEvidence,
    /// Notified whenever bytes are received.
    pub received: Rc<Notify>,
    /// Whether it has carried a request before.
    pub reused: bool,
}

impl EngineConnection {
    /// Begins to collect the evidence of a request that is about to be written.
    pub fn begin_request(&self, id_header: &'static str, id: &str) {
        self.evidence.begin(RequestEvidence::new(self.path, id_header, id));
    }

    /// Closes the connection immediately, even during a request.
    pub fn close(self) {
        self.driver.abort();
    }

    /// Gives up a request to which the engine has not responded. Returns what becomes of it.
    pub fn abandon(self) -> impl Future<Output = Evidence> + use<> {
        let (report, evidence) = oneshot::channel();
        let is_open = self.abandon.send(report).is_ok();
        async move {
            if !is_open {
                return Evidence::Lost;
            }
            evidence.await.unwrap_or(Evidence::Lost)
        }
    }
}

/// The HTTP state of a connection to an engine.
type HttpConnection<S> = http1::Connection<TokioIo<ObservedStream<MeteredStream<S>>>, Full<Bytes>>;

struct IdleConnection {
    connection: EngineConnection,
    since: BootInstant,
    limit: Duration,
}

/// Idle connections, by engine.
pub(crate) struct ConnectionPool {
    clock: MachineClock,
    dialer: Rc<dyn EngineDialer>,
    /// Counts the bytes of all connections.
    meter: Rc<LinkMeter>,
    idle: RefCell<HashMap<BackEndName, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    pub fn new(clock: MachineClock, dialer: Rc<dyn EngineDialer>, meter: Rc<LinkMeter>) -> Self {
        Self { clock, dialer, meter, idle: RefCell::default() }
    }

    /// Probes an engine with a new connection, which must stay open for `settle` and is kept for the
    /// next request.
    pub async fn probe(&self, engine: &EngineRecord, settle: Duration) -> ProbeOutcome {
        let opening = timeout(PROBE_TIMEOUT, self.open(engine.notice.address));
        let connection = match opening.await {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) if is_refusal(&error) => return ProbeOutcome::Refused,
            Ok(Err(_)) | Err(_) => return ProbeOutcome::NoResponse,
        };
        sleep(settle).await;
        let is_alive = !connection.sender.is_closed();
        self.release(&engine.notice.engine, connection, None);
        if is_alive { ProbeOutcome::Accepted } else { ProbeOutcome::Refused }
    }

    /// Keeps a connection whose response was received completely. `idle_limit` is the engine's idle
    /// limit, if it states one.
    pub fn release(
        &self,
        engine: &BackEndName,
        mut connection: EngineConnection,
        idle_limit: Option<Duration>,
    ) {
        let limit = idle_limit
            .map_or(DEFAULT_IDLE_LIMIT, |idle_limit| idle_limit * IDLE_LIMIT_PERCENT / 100);
        // A relay that stops waits for the connections that it forwards.
        if connection.path == ConnectionPath::Relayed
            && connection.opened.elapsed() >= MAX_RELAYED_AGE
        {
            return connection.close();
        }
        let mut idle = self.idle.borrow_mut();
        let of_engine = idle.entry(engine.clone()).or_default();
        if of_engine.len() >= MAX_IDLE_PER_ENGINE || limit.is_zero() {
            return connection.close();
        }
        connection.reused = true;
        of_engine.push(IdleConnection { connection, since: self.clock.now(), limit });
    }

    /// Closes the idle connections to an engine.
    pub fn close_idle(&self, engine: &BackEndName) {
        let idle = self.idle.borrow_mut().remove(engine);
        idle.into_iter().flatten().for_each(|entry| entry.connection.close());
    }

    /// Closes connections that were idle for too long or whose engines have left.
    pub fn evict_idle(&self, directory: &EngineDirectory) {
        self.idle.borrow_mut().retain(|engine, idle| {
            let has_left =
                directory.get(engine).is_none_or(|record| record.notice.state == EngineState::Gone);
            let entries = std::mem::take(idle);
            for entry in entries {
                if has_left
                    || self.clock.since(entry.since) >= entry.limit
                    || entry.connection.sender.is_closed()
                {
                    entry.connection.close();
                } else {
                    idle.push(entry);
                }
            }
            !idle.is_empty()
        });
    }

    /// Opens a connection to the engine at `address`.
    pub async fn open(&self, address: SocketAddr) -> io::Result<EngineConnection> {
        let stream = self.dial(address).await?;
        self.start_http(stream, ConnectionPath::Direct).await
    }

    /// Opens a connection to the engine at `address` that carries no HTTP of this router.
    pub async fn dial(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let dialing = timeout(CONNECT_TIMEOUT, self.dialer.dial(address));
        let stream = dialing.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        set_options(&stream);
        Ok(stream)
    }

    /// Begins HTTP on a connection through another router.
    pub async fn start_relayed(&self, stream: RelayedStream) -> io::Result<EngineConnection> {
        self.start_http(stream, ConnectionPath::Relayed).await
    }

    /// The newest idle connection over `path`. Those over another path are closed.
    pub fn take_idle(
        &self,
        engine: &BackEndName,
        path: ConnectionPath,
    ) -> Option<EngineConnection> {
        let mut idle = self.idle.borrow_mut();
        let of_engine = idle.get_mut(engine)?;
        while let Some(entry) = of_engine.pop() {
            let usable = entry.connection.path == path
                && self.clock.since(entry.since) < entry.limit
                && entry.connection.sender.is_ready();
            if usable {
                return Some(entry.connection);
            }
            entry.connection.close();
        }
        None
    }

    /// Begins HTTP on an established connection.
    async fn start_http<S>(&self, stream: S, path: ConnectionPath) -> io::Result<EngineConnection>
    where
        S: EngineStream + 'static,
    {
        let stream = MeteredStream::to_engine(stream, self.meter.clone());
        let (received, evidence) = (stream.received(), SharedEvidence::default());
        let stream = ObservedStream::new(stream, evidence.clone());
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let (abandon, abandoned) = oneshot::channel();
        let driver = tokio::task::spawn_local(drive(connection, abandoned, evidence.clone()));
        let (opened, driver) = (Instant::now(), driver.abort_handle());
        let reused = false;
        Ok(EngineConnection { sender, path, opened, driver, abandon, evidence, received, reused })
    }
}

/// Runs a connection until it ends, or until its request is given up: then it is observed.
async fn drive<S: EngineStream + 'static>(
    mut connection: HttpConnection<S>,
    mut abandoned: oneshot::Receiver<oneshot::Sender<Evidence>>,
    evidence: SharedEvidence,
) {
    let report = tokio::select! {
        // Before the connection notices that nobody waits for the response.
        biased;
        Ok(report) = &mut abandoned => Ok(report),
        // The user of the connection receives the error as well. The stream is not shut down, since
        // the engine may still show what became of the request.
        _ = poll_fn(|context| connection.poll_without_shutdown(context)) => {
            if !evidence.is_pending() {
                return;
            }
            abandoned.await
        }
    };
    // Without a report, nothing of the request is left to be observed.
    if let Ok(report) = report {
        let stream = connection.into_parts().io.into_inner();
        // The receiver may have ended with the router.
        let _ = report.send(abandoned_request::observe(stream).await);
    }
}

/// Whether the other end has rejected a connection. Other errors may be those of this machine or of
/// the network.
fn is_refusal(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionAborted, ConnectionRefused, ConnectionReset};
    matches!(error.kind(), ConnectionRefused | ConnectionReset | ConnectionAborted)
}
