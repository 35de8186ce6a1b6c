//! Accepts callers' connections and shuts them down in order.

use crate::body::GatewayBody;
use crate::caller_connections::CallerConnection;
use crate::client_connections::{ClientConnection, ClientConnections, GuardedBody};
use crate::metered_stream::MeteredStream;
use crate::request;
use crate::router::Router;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use stackpost_gateway_core::{ClientTimeouts, ConnectionLimits};
use stackpost_types::{Millis, PeerError, Step};
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// Size limit of a request's headers while there is no configuration.
const DEFAULT_MAX_HEADER_BYTES: usize = 64 * 1024;
/// Added to the size limit of the headers, for the request line.
const REQUEST_LINE_BYTES: usize = 4 * 1024;
/// The smallest buffer that a connection can have, and the largest that it gets.
const BUFFER_BYTES: RangeInclusive<usize> = 8 * 1024..=1024 * 1024;
/// Time limit of a request's headers while there is no configuration.
const DEFAULT_HEADER_TIMEOUT: Millis = Millis(10_000);
/// Idle timeout between requests while there is no configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Added to the idle timeout that callers are promised, for the transmission time of their bytes.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_000);
/// Idle timeout of a connection that is opened during shutdown.
const DRAIN_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that a stopping router waits before it closes idle connections: the platform needs that
/// long to notice that it is not ready.
const NOTICE_PERIOD: Duration = Duration::from_millis(2_300);
/// Minimum time for which a stopping router accepts new connections.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(3_000);
/// Interval between checks whether all requests have completed.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Serves callers over HTTP.
pub struct Server {
    router: Rc<Router>,
    connections: Cell<usize>,
    requests: Cell<usize>,
    closing: watch::Sender<bool>,
    /// Bounds the connections.
    clients: Rc<ClientConnections>,
}

/// Starts to serve callers at `address`. Must be called inside a `LocalSet`.
pub async fn serve_callers(
    router: Rc<Router>,
    address: SocketAddr,
) -> Result<Rc<Server>, PeerError> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|error| PeerError::new(Step::Listen, address, error))?;
    let (closing, _) = watch::channel(false);
    let machine = router.load_settings().machine;
    let limits = ConnectionLimits::of_process(machine.descriptors, machine.memory_mb);
    let clients = ClientConnections::new(limits);
    let (connections, requests) = (Cell::new(0), Cell::new(0));
    let server = Rc::new(Server { router, connections, requests, closing, clients });
    tokio::task::spawn_local(server.clone().accept(listener));
    let timed = server.clone();
    let timeouts = server.clients.clone().run_timeouts(move || timed.client_timeouts());
    tokio::task::spawn_local(timeouts);
    Ok(server)
}

impl Server {
    /// Serves until all requests are complete and all connections closed, relayed ones included,
    /// or until `limit` has passed. The router must have begun to drain.
    pub async fn drain(&self, limit: Duration) {
        let started = Instant::now();
        sleep(NOTICE_PERIOD.min(limit)).await;
        self.closing.send_replace(true);
        while started.elapsed() < limit {
            let is_idle = self.requests.get() == 0
                && self.connections.get() == 0
                && self.router.relayed.active() == 0;
            if is_idle && started.elapsed() >= MIN_ACCEPT_TIME {
                return;
            }
            sleep(CHECK_INTERVAL).await;
        }
        log::warn!(requests = self.requests.get() as u64; "stops with requests under way");
    }

    /// Number of requests that have not been answered.
    pub fn requests_under_way(&self) -> usize {
        self.requests.get()
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.router.admits_connection() => match self.clients.open() {
                    Some(client) => {
                        tokio::task::spawn_local(self.clone().serve_connection(stream, client));
                    }
                    None => reset(stream),
                },
                Ok((stream, _)) => reset(stream),
                Err(error) => {
                    log::warn!(step = "accept"; "{error}");
                    sleep(CHECK_INTERVAL).await;
                }
            }
        }
    }

    /// Serves a connection until it ends, or has to be closed for another one.
    async fn serve_connection(self: Rc<Self>, stream: TcpStream, client: Rc<ClientConnection>) {
        tokio::select! {
            biased;
            () = client.closed() => {}
            () = self.serve_requests(stream, &client) => {}
        }
    }

    async fn serve_requests(self: &Rc<Self>, stream: TcpStream, client: &Rc<ClientConnection>) {
        let _guard = CounterGuard::new(self.clone(), |server| &server.connections);
        // Only shortens delays; the connection works without it.
        let _ = SockRef::from(&stream).set_tcp_nodelay(true);
        let (server, control) = (self.clone(), &self.router.pressure_control);
        let open = control.callers.open();
        let connection = open.connection.clone();
        let bytes = connection.bytes.clone();
        let stream = MeteredStream::of_caller(client.wrap(stream), control.meter.clone(), bytes);
        let client = client.clone();
        let service = service_fn(move |request| {
            server.clone().handle(connection.clone(), client.clone(), request)
        });
        let opened_late = *self.closing.borrow();
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(if opened_late { DRAIN_IDLE_TIMEOUT } else { self.idle_timeout() })
            .max_buf_size(self.buffer_bytes())
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        if opened_late {
            // One request is served, after which the connection is closed.
            let _ = connection.await;
            return;
        }
        let mut closing = self.closing.subscribe();
        let close = async {
            // The sender exists as long as the server.
            let _ = closing.wait_for(|closing| *closing).await;
        };
        tokio::select! {
            // Errors of a caller's connection concern only the caller.
            _ = connection.as_mut() => return,
            () = close => connection.as_mut().graceful_shutdown(),
        }
        let _ = connection.await;
    }

    async fn handle(
        self: Rc<Self>,
        connection: Rc<CallerConnection>,
        client: Rc<ClientConnection>,
        request: Request<Incoming>,
    ) -> Result<Response<GuardedBody<GatewayBody>>, Infallible> {
        let _guard = CounterGuard::new(self.clone(), |server| &server.requests);
        let under_way = client.begin_request(!request.body().is_end_stream());
        let mut response = request::serve(self.router.clone(), &client, request).await;
        if self.router.is_draining() || connection.closes() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response.map(|body| GuardedBody::new(body, under_way)))
    }

    /// Size of a connection's buffer, which bounds the head of a request.
    fn buffer_bytes(&self) -> usize {
        let table = self.router.table();
        let configured = table.map(|table| table.config().limits.max_header_bytes);
        let bytes =
            configured.unwrap_or(DEFAULT_MAX_HEADER_BYTES).saturating_add(REQUEST_LINE_BYTES);
        bytes.clamp(*BUFFER_BYTES.start(), *BUFFER_BYTES.end())
    }

    /// A client may leave a response unread for as long as a connection may be idle.
    fn client_timeouts(&self) -> ClientTimeouts {
        let table = self.router.table();
        let head =
            table.map_or(DEFAULT_HEADER_TIMEOUT, |table| table.config().limits.header_timeout);
        ClientTimeouts { head, send: Millis(self.idle_timeout().as_millis() as u64) }
    }

    fn idle_timeout(&self) -> Duration {
        let table = self.router.table();
        let configured =
            table.map(|table| Duration::from_millis(table.config().limits.idle_timeout.0));
        configured.unwrap_or(DEFAULT_IDLE_TIMEOUT) + IDLE_TIMEOUT_MARGIN
    }
}

/// Resets a connection of which nothing has been read, so that the caller knows at once that its
/// request has not run and may try again.
fn reset(stream: TcpStream) {
    if let Err(error) = SockRef::from(&stream).set_linger(Some(Duration::ZERO)) {
        log::debug!(step = "reset"; "{error}");
    }
}

/// Increments a counter until dropped.
struct CounterGuard {
    server: Rc<Server>,
    counter: fn(&Server) -> &Cell<usize>,
}

impl CounterGuard {
    fn new(server: Rc<Server>, counter: fn(&Server) -> &Cell<usize>) -> Self {
        counter(&server).set(counter(&server).get() + 1);
        Self { server, counter }
    }
}

impl Drop for CounterGuard {
    fn drop(&mut self) {
        let counter = (self.counter)(&self.server);
        counter.set(counter.get() - 1);
    }
}
