//! Counts the bytes that cross the machine's network link.
//!
//! Connections to callers and engines carry most of them, and datagrams between routers the next
//! part. The streams of connections are wrapped where they are opened; the packets below them are
//! not seen, so each chunk is counted with an allowance for its headers and acknowledgements.

use stackpost_gateway_core::LinkTraffic;
use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// Bytes that a packet carries.
const PACKET_PAYLOAD: usize = 1_448;
/// Bytes of the headers of a packet: Ethernet, IP, TCP with timestamps.
const HEADER_BYTES: u64 = 66;
/// Bytes of the headers of a datagram: Ethernet, IP, UDP.
const DATAGRAM_HEADER_BYTES: u64 = 42;
/// Number of packets that are acknowledged together.
const PACKETS_PER_ACKNOWLEDGEMENT: u64 = 2;
/// Packets in each direction that open and close a connection.
const CONNECTION_PACKETS: u64 = 3;
/// Age up to which the bytes of a caller's connection are counted apart.
const YOUNG_AGE: Duration = Duration::from_secs(1);

/// Direction of bytes, as seen by this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Received,
    Sent,
}

/// The bytes of all connections of a router.
#[derive(Debug, Default)]
pub struct LinkMeter {
    traffic: Cell<LinkTraffic>,
    connections: Cell<u64>,
}

impl LinkMeter {
    /// Bytes so far.
    pub fn traffic(&self) -> LinkTraffic {
        self.traffic.get()
    }

    /// Open connections to callers and engines.
    pub fn connections(&self) -> u64 {
        self.connections.get()
    }

    /// Counts bytes that are forwarded from one connection to another, neither of them wrapped.
    pub fn on_forwarded(&self, payload: usize) {
        self.count(Direction::Received, payload, false);
        self.count(Direction::Sent, payload, false);
    }

    /// Counts a received datagram.
    pub fn on_datagram_received(&self, payload: usize) {
        self.add(payload as u64 + DATAGRAM_HEADER_BYTES, 0, false);
    }

    /// Counts a sent datagram.
    pub fn on_datagram_sent(&self, payload: usize) {
        self.add(0, payload as u64 + DATAGRAM_HEADER_BYTES, false);
    }

    fn count(&self, direction: Direction, payload: usize, is_young: bool) {
        let packets = payload.div_ceil(PACKET_PAYLOAD) as u64;
        let bytes = payload as u64 + packets * HEADER_BYTES;
        let acknowledgements = packets.div_ceil(PACKETS_PER_ACKNOWLEDGEMENT) * HEADER_BYTES;
        match direction {
            Direction::Received => self.add(bytes, acknowledgements, is_young),
            Direction::Sent => self.add(acknowledgements, bytes, is_young),
        }
    }

    fn add(&self, received: u64, sent: u64, is_young: bool) {
        let mut traffic = self.traffic.get();
        traffic.received += received;
        traffic.sent += sent;
        if is_young {
            traffic.young_received += received;
            traffic.young_sent += sent;
        }
        self.traffic.set(traffic);
    }

    fn on_opened(&self, is_young: bool) {
        self.connections.set(self.connections.get() + 1);
        let bytes = CONNECTION_PACKETS * HEADER_BYTES;
        self.add(bytes, bytes, is_young);
    }
}

/// A connection whose bytes are counted.
#[derive(Debug)]
pub struct MeteredStream<S> {
    stream: S,
    meter: Rc<LinkMeter>,
    /// Until when the bytes are counted apart; `None` for engines, and for callers afterwards.
    young_until: Cell<Option<Instant>>,
    /// Bytes of this connection alone.
    bytes: Rc<Cell<u64>>,
    /// Notified whenever bytes are received.
    received: Rc<Notify>,
}

impl<S> MeteredStream<S> {
    /// A new connection to an engine.
    pub fn to_engine(stream: S, meter: Rc<LinkMeter>) -> Self {
        meter.on_opened(false);
        let young_until = Cell::new(None);
        Self { stream, meter, young_until, bytes: Rc::default(), received: Rc::default() }
    }

    /// A new connection of a caller. `bytes` counts its bytes alone.
    pub fn of_caller(stream: S, meter: Rc<LinkMeter>, bytes: Rc<Cell<u64>>) -> Self {
        meter.on_opened(true);
        let young_until = Cell::new(Some(Instant::now() + YOUNG_AGE));
        Self { stream, meter, young_until, bytes, received: Rc::default() }
    }

    /// The connection itself.
    pub(crate) fn get_ref(&self) -> &S {
        &self.stream
    }

    /// Notified whenever bytes are received.
    pub fn received(&self) -> Rc<Notify> {
        self.received.clone()
    }

    fn count(&self, direction: Direction, payload: usize) {
        let is_young = self.young_until.get().is_some_and(|until| Instant::now() < until);
        if !is_young {
            self.young_until.set(None);
        }
        self.bytes.set(self.bytes.get() + payload as u64);
        self.meter.count(direction, payload, is_young);
    }
}

impl<S> Drop for MeteredStream<S> {
    fn drop(&mut self) {
        self.meter.connections.set(self.meter.connections.get() - 1);
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let received = buffer.filled().len() - before;
        self.count(Direction::Received, received);
        if received > 0 {
            self.received.notify_one();
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.count(Direction::Sent, written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, slices))?;
        self.count(Direction::Sent, written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
