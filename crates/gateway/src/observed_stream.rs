//! Connections to engines that collect the evidence of the request under way.

use crate::engine_relay::RelayedStream;
use crate::metered_stream::MeteredStream;
use stackpost_gateway_core::{ConnectionFailure, Evidence, RequestEvidence};
use std::cell::RefCell;
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection whose socket can be asked for an error that no read or write has returned.
pub(crate) trait EngineStream: AsyncRead + AsyncWrite + Unpin {
    /// Called after the end of the engine's direction, when reads return no errors any more.
    fn take_error(&self) -> io::Result<Option<io::Error>>;
}

impl EngineStream for TcpStream {
    fn take_error(&self) -> io::Result<Option<io::Error>> {
        TcpStream::take_error(self)
    }
}

impl EngineStream for RelayedStream {
    /// An error of the connection to the relay shows nothing of the engine.
    fn take_error(&self) -> io::Result<Option<io::Error>> {
        Ok(None)
    }
}

impl<S: EngineStream> EngineStream for MeteredStream<S> {
    fn take_error(&self) -> io::Result<Option<io::Error>> {
        self.get_ref().take_error()
    }
}

/// The evidence of the latest request of a connection, shared by the connection and the attempt.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedEvidence(Rc<RefCell<Option<RequestEvidence>>>);

impl SharedEvidence {
    /// Begins to collect for a request that is about to be written.
    pub fn begin(&self, evidence: RequestEvidence) {
        *self.0.borrow_mut() = Some(evidence);
    }

    /// What the connection has shown of the request.
    pub fn shown(&self) -> Option<Evidence> {
        self.0.borrow().as_ref().and_then(RequestEvidence::shown)
    }

    /// Whether a request is under way of which nothing has been shown.
    pub fn is_pending(&self) -> bool {
        self.0.borrow().as_ref().is_some_and(|evidence| evidence.shown().is_none())
    }

    /// Whether the engine has closed its direction.
    pub fn has_ended(&self) -> bool {
        self.0.borrow().as_ref().is_some_and(RequestEvidence::has_ended)
    }

    /// Records something that the connection shows.
    pub fn record(&self, change: impl FnOnce(&mut RequestEvidence)) {
        if let Some(evidence) = self.0.borrow_mut().as_mut() {
            change(evidence);
        }
    }

    /// Records an error of the connection.
    pub fn on_error(&self, error: &io::Error) {
        let failure = match error.kind() {
            ErrorKind::ConnectionReset | ErrorKind::BrokenPipe => ConnectionFailure::Reset,
            _ => ConnectionFailure::Other,
        };
        self.record(|evidence| evidence.on_failure(failure));
    }

    fn check<T>(&self, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if let Poll::Ready(Err(error)) = &result {
            self.on_error(error);
        }
        result
    }
}

/// A connection that records everything it shows.
#[derive(Debug)]
pub(crate) struct ObservedStream<S> {
    stream: S,
    evidence: SharedEvidence,
}

impl<S> ObservedStream<S> {
    pub fn new(stream: S, evidence: SharedEvidence) -> Self {
        Self { stream, evidence }
    }

    pub fn evidence(&self) -> &SharedEvidence {
        &self.evidence
    }
}

impl<S: EngineStream> ObservedStream<S> {
    /// Records an error of the socket that no read or write has returned.
    pub fn check_socket(&self) {
        match self.stream.take_error() {
            Ok(None) => {}
            Ok(Some(error)) | Err(error) => self.evidence.on_error(&error),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ObservedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (before, has_room) = (buffer.filled().len(), buffer.remaining() > 0);
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        ready!(self.evidence.check(result))?;
        let received = &buffer.filled()[before..];
        self.evidence.record(|evidence| match received {
            [] if has_room => evidence.on_end(),
            bytes => evidence.on_bytes(bytes),
        });
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ObservedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.evidence.check(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.evidence.check(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(context);
        self.evidence.check(result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_shutdown(context);
        if let Poll::Ready(Ok(())) = &result {
            self.evidence.record(RequestEvidence::on_own_end);
        }
        self.evidence.check(result)
    }
}
