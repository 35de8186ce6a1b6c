//! A connection to an engine through a relay, as seen by the router that uses it.

use super::LENGTH_BYTES;
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What the next byte from the relay belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    /// The length of a frame, of which some bytes were received.
    Length { received: usize, bytes: [u8; LENGTH_BYTES] },
    /// The content of a frame, of which `left` bytes are missing.
    Content { left: usize },
    /// Nothing: the engine has closed its end in order.
    Ended,
}

const START_OF_FRAME: ReadState = ReadState::Length { received: 0, bytes: [0; LENGTH_BYTES] };

/// Reads the engine's bytes out of the relay's frames and writes to the relay unchanged.
#[derive(Debug)]
pub struct RelayedStream<S = tokio::net::TcpStream> {
    stream: S,
    state: ReadState,
}

impl<S> RelayedStream<S> {
    /// Wraps a connection whose relay has confirmed that the engine is connected.
    pub fn new(stream: S) -> Self {
        Self { stream, state: START_OF_FRAME }
    }
}

impl<S: AsyncRead + Unpin> RelayedStream<S> {
    /// Reads a further byte of a frame's length.
    fn poll_length(
        &mut self,
        context: &mut Context<'_>,
        received: usize,
        mut bytes: [u8; LENGTH_BYTES],
    ) -> Poll<io::Result<()>> {
        let mut unread = ReadBuf::new(&mut bytes[received..]);
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut unread))?;
        let length = unread.filled().len();
        if length == 0 {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        }
        let received = received + length;
        self.state = match (received, u16::from_be_bytes(bytes)) {
            (LENGTH_BYTES, 0) => ReadState::Ended,
            (LENGTH_BYTES, length) => ReadState::Content { left: usize::from(length) },
            _ => ReadState::Length { received, bytes },
        };
        Poll::Ready(Ok(()))
    }

    fn poll_content(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        left: usize,
    ) -> Poll<io::Result<()>> {
        let limit = left.min(buffer.remaining());
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(limit));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
        let length = part.filled().len();
        if length == 0 {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        }
        buffer.advance(length);
        let left = left - length;
        self.state = if left == 0 { START_OF_FRAME } else { ReadState::Content { left } };
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for RelayedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if buffer.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        loop {
            match self.state {
                ReadState::Ended => return Poll::Ready(Ok(())),
                ReadState::Length { received, bytes } => {
                    ready!(self.poll_length(context, received, bytes))?;
                }
                ReadState::Content { left } => return self.poll_content(context, buffer, left),
            }
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for RelayedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
