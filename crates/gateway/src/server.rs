//! Accepts callers' connections and ends them in good order.

use crate::request;
use crate::router::Router;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use stackpost_types::{PeerError, Step};
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// Largest block of headers that is read.
const MAX_HEADER_BYTES: usize = 64 * 1024;
/// Rest between requests if no configuration says otherwise.
const DEFAULT_REST: Duration = Duration::from_secs(15);
/// Added to the rest that callers may take, for their bytes on the way.
const REST_MARGIN: Duration = Duration::from_millis(1_000);
/// Rest of a connection that is opened while the router stops.
const LATE_REST: Duration = Duration::from_millis(500);
/// How long a stopping router waits before it closes resting connections: the platform needs that
/// long to notice that it is not ready.
const NOTICE_TIME: Duration = Duration::from_millis(2_300);
/// A stopping router takes new connections for at least so long.
const LINGER_TIME: Duration = Duration::from_millis(3_000);
/// Time between two looks at whether all is done.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// A server of callers.
pub struct Server {
    router: Rc<Router>,
    connections: Cell<usize>,
    requests: Cell<usize>,
    closing: watch::Sender<bool>,
}

/// Serves callers at `address` from now on. Must be called inside a `LocalSet`.
pub async fn serve_callers(
    router: Rc<Router>,
    address: SocketAddr,
) -> Result<Rc<Server>, PeerError> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|error| PeerError::new(Step::Listen, address, error))?;
    let (closing, _) = watch::channel(false);
    let server =
        Rc::new(Server { router, connections: Cell::new(0), requests: Cell::new(0), closing });
    tokio::task::spawn_local(server.clone().accept(listener));
    Ok(server)
}

impl Server {
    /// Serves on until all requests are answered and nobody comes any more, or until `limit` has
    /// passed. The router must have begun to drain.
    pub async fn drain(&self, limit: Duration) {
        let begun = Instant::now();
        sleep(NOTICE_TIME.min(limit)).await;
        self.closing.send_replace(true);
        while begun.elapsed() < limit {
            let quiet = self.requests.get() == 0 && self.connections.get() == 0;
            if quiet && begun.elapsed() >= LINGER_TIME {
                return;
            }
            sleep(LOOK_INTERVAL).await;
        }
        log::warn!(requests = self.requests.get() as u64; "stops with requests under way");
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(self.clone().serve_connection(stream));
                }
                Err(error) => {
                    log::warn!(step = "accept"; "{error}");
                    sleep(LOOK_INTERVAL).await;
                }
            }
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        let _counted = Counted::new(self.clone(), |server| &server.connections);
        // Only shortens delays; a socket that refuses it still works.
        let _ = SockRef::from(&stream).set_tcp_nodelay(true);
        let server = self.clone();
        let service = service_fn(move |request| server.clone().answer(request));
        let comes_late = *self.closing.borrow();
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(if comes_late { LATE_REST } else { self.rest() })
            .max_buf_size(MAX_HEADER_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        if comes_late {
            // One request is answered, which closes the connection.
            let _ = connection.await;
            return;
        }
        let mut closing = self.closing.subscribe();
        let close = async {
            // The sender lives as long as the server.
            let _ = closing.wait_for(|closing| *closing).await;
        };
        tokio::select! {
            // How a caller's connection ends is the caller's affair.
            _ = connection.as_mut() => return,
            () = close => connection.as_mut().graceful_shutdown(),
        }
        let _ = connection.await;
    }

    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<crate::GatewayBody>, Infallible> {
        let _counted = Counted::new(self.clone(), |server| &server.requests);
        let mut response = request::serve(self.router.clone(), request).await;
        if self.router.is_draining() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    fn rest(&self) -> Duration {
        let table = self.router.table();
        let configured =
            table.map(|table| Duration::from_millis(table.config().limits.idle_timeout.0));
        configured.unwrap_or(DEFAULT_REST) + REST_MARGIN
    }
}

/// Counts something for as long as it lives.
struct Counted {
    server: Rc<Server>,
    counter: fn(&Server) -> &Cell<usize>,
}

impl Counted {
    fn new(server: Rc<Server>, counter: fn(&Server) -> &Cell<usize>) -> Self {
        counter(&server).set(counter(&server).get() + 1);
        Self { server, counter }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let counter = (self.counter)(&self.server);
        counter.set(counter.get() - 1);
    }
}
