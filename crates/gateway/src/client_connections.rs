//! Bounds the connections of clients at one port.
//!
//! [`ConnectionTable`] decides which connections are kept; this module counts what arrives on them
//! and closes those that the decisions name.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use socket2::SockRef;
use stackpost_gateway_core::{ClientTimeouts, ConnectionId, ConnectionLimits, ConnectionTable};
use stackpost_telemetry::LineLimit;
use stackpost_types::{Millis, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Receive buffer of a client's connection: what may lie there unread. The kernel doubles it for
/// its own bookkeeping.
const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;
/// Interval at which clients are looked for that take too long.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The connections of clients at one port.
#[derive(Debug)]
pub struct ClientConnections {
    table: RefCell<ConnectionTable>,
    closing: RefCell<HashMap<ConnectionId, Rc<Notify>>>,
    started: Instant,
    lines: LineLimit,
}

impl ClientConnections {
    /// Creates the state without connections.
    pub fn new(limits: ConnectionLimits) -> Rc<Self> {
        Rc::new(Self {
            table: RefCell::new(ConnectionTable::new(limits)),
            closing: RefCell::default(),
            started: Instant::now(),
            lines: LineLimit::default(),
        })
    }

    /// Adds a connection; `None` if there are too many and none of them can be closed for it.
    pub fn open(self: &Rc<Self>) -> Option<Rc<ClientConnection>> {
        let admitted = self.table.borrow_mut().open(self.now());
        let Some(admitted) = admitted else {
            self.log_closed("a new connection");
            return None;
        };
        if let Some(replaced) = admitted.replaces {
            self.close(replaced, "a connection without a whole request");
        }
        let (id, closing) = (admitted.id, Rc::<Notify>::default());
        self.closing.borrow_mut().insert(id, closing.clone());
        let guards = Cell::new(0);
        Some(Rc::new(ClientConnection { connections: self.clone(), id, closing, guards }))
    }

    /// Closes connections whose clients take longer than `timeouts` returns; never returns.
    pub async fn run_timeouts(self: Rc<Self>, timeouts: impl Fn() -> ClientTimeouts) {
        loop {
            let before = Instant::now();
            sleep(TIMEOUT_CHECK_INTERVAL).await;
            if before.elapsed() > 2 * TIMEOUT_CHECK_INTERVAL {
                // The process stood still. What has arrived meanwhile is read first.
                continue;
            }
            let overdue = self.table.borrow_mut().close_overdue(self.now(), timeouts());
            overdue.into_iter().for_each(|id| self.close(id, "a client that takes too long"));
        }
    }

    fn close(&self, id: ConnectionId, what: &str) {
        if let Some(closing) = self.closing.borrow().get(&id) {
            closing.notify_one();
        }
        self.log_closed(what);
    }

    /// Any client can cause these lines, so they are rate limited.
    fn log_closed(&self, what: &str) {
        if let Some(held_back) = self.lines.pass(Instant::now()) {
            let open = self.table.borrow().open_connections();
            log::warn!(open = open, held_back = held_back; "closed: {what}");
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::PROCESS_START + Millis(self.started.elapsed().as_millis() as u64)
    }
}

/// An open connection. Its place is free once it is dropped.
#[derive(Debug)]
pub struct ClientConnection {
    connections: Rc<ClientConnections>,
    id: ConnectionId,
    closing: Rc<Notify>,
    /// Number of guards of the request under way.
    guards: Cell<usize>,
}

impl ClientConnection {
    /// Wraps the connection's stream, whose bytes are counted.
    pub fn wrap(self: &Rc<Self>, stream: TcpStream) -> ClientStream {
        // Without the option the kernel's own limits apply.
        if let Err(error) = SockRef::from(&stream).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
            log::debug!(step = "receive buffer"; "{error}");
        }
        ClientStream { stream, connection: self.clone() }
    }

    /// Returns once the connection has to be closed.
    pub async fn closed(&self) {
        self.closing.notified().await;
    }

    /// Records that a request is under way until the guard is dropped, and whether a body follows.
    pub fn begin_request(self: &Rc<Self>, has_body: bool) -> RequestGuard {
        let connections = &self.connections;
        connections.table.borrow_mut().on_request(connections.now(), self.id, has_body);
        self.guard_request()
    }

    /// Another guard of the request under way, which lasts until all its guards are dropped.
    pub fn guard_request(self: &Rc<Self>) -> RequestGuard {
        self.guards.set(self.guards.get() + 1);
        RequestGuard { connection: self.clone() }
    }

    /// Records that the body of the request is whole, or that the rest of it is not wanted.
    pub fn on_body_ended(&self) {
        self.connections.table.borrow_mut().on_body_ended(self.id);
    }

    fn on_sent(&self) {
        self.connections.table.borrow_mut().on_sent(self.connections.now(), self.id);
    }

    fn on_all_sent(&self) {
        self.connections.table.borrow_mut().on_all_sent(self.connections.now(), self.id);
    }

    fn on_received(&self, bytes: usize) {
        let now = self.connections.now();
        let closed = self.connections.table.borrow_mut().on_received(now, self.id, bytes as u64);
        if let Some(closed) = closed {
            self.connections.close(closed, "an unfinished head");
        }
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.connections.table.borrow_mut().close(self.id);
        self.connections.closing.borrow_mut().remove(&self.id);
    }
}

/// Marks that a request is under way on a connection.
#[derive(Debug)]
pub struct RequestGuard {
    connection: Rc<ClientConnection>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let ClientConnection { connections, id, guards, .. } = &*self.connection;
        guards.set(guards.get() - 1);
        if guards.get() == 0 {
            connections.table.borrow_mut().on_request_ended(connections.now(), *id);
        }
    }
}

/// The body of a response. Its request is under way until it is dropped.
#[derive(Debug)]
pub struct GuardedBody<B> {
    body: B,
    _guard: RequestGuard,
}

impl<B> GuardedBody<B> {
    /// Adds the guard to a body.
    pub fn new(body: B, guard: RequestGuard) -> Self {
        Self { body, _guard: guard }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for GuardedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The stream of a client's connection.
#[derive(Debug)]
pub struct ClientStream {
    stream: TcpStream,
    connection: Rc<ClientConnection>,
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let received = buffer.filled().len() - before;
        if received > 0 {
            self.connection.on_received(received);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.connection.on_sent();
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, slices))?;
        self.connection.on_sent();
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Called once the server has written everything that it holds.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.connection.on_all_sent();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
