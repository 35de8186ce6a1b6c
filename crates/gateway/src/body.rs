//! Response bodies.

use crate::byte_channel::{ByteReceiver, ByteSender, CallerGone};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// The response was interrupted and must not look complete: the connection is closed in the middle
/// of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TruncatedBody;

impl fmt::Display for TruncatedBody {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("response body truncated")
    }
}

impl std::error::Error for TruncatedBody {}

/// Chunks that are buffered for a slow caller while streams are not bounded by bytes.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// Sends the chunks of a response to its caller.
pub(crate) enum ChunkSender {
    /// Bounded by the number of chunks.
    Counted(mpsc::Sender<Result<Bytes, TruncatedBody>>),
    /// Bounded by bytes, together with those of all other responses.
    Bounded(ByteSender),
}

impl ChunkSender {
    /// A channel bounded by the number of chunks.
    pub fn counted() -> (Self, GatewayBody) {
        let (sender, chunks) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        (Self::Counted(sender), GatewayBody::Streamed(chunks))
    }

    /// Sends a chunk, or waits until it can be sent.
    pub async fn send(&self, chunk: Bytes) -> Result<(), CallerGone> {
        match self {
            Self::Counted(sender) => sender.send(Ok(chunk)).await.map_err(|_| CallerGone),
            Self::Bounded(sender) => sender.send(chunk).await,
        }
    }

    /// Whether more may be read from the engine.
    pub fn has_room(&self) -> bool {
        match self {
            Self::Counted(_) => true,
            Self::Bounded(sender) => sender.has_room(),
        }
    }

    /// Whether the caller has taken everything that was sent.
    pub fn is_empty(&self) -> bool {
        match self {
            Self::Counted(sender) => sender.capacity() == MAX_BUFFERED_CHUNKS,
            Self::Bounded(sender) => sender.is_empty(),
        }
    }

    /// Waits until more may be read from the engine.
    pub async fn room(&self) -> Result<(), CallerGone> {
        match self {
            Self::Counted(_) => Ok(()),
            Self::Bounded(sender) => sender.room().await,
        }
    }

    /// Returns once the caller has disconnected or was cut off.
    pub async fn closed(&self) {
        match self {
            Self::Counted(sender) => sender.closed().await,
            Self::Bounded(sender) => sender.closed().await,
        }
    }

    /// Ends the body as complete.
    pub fn complete(self) {
        match self {
            Self::Counted(_) => {}
            Self::Bounded(sender) => sender.complete(),
        }
    }

    /// Ends the body as truncated, after the chunks that were sent.
    pub async fn truncate(self) {
        match self {
            // The caller may have disconnected.
            Self::Counted(sender) => drop(sender.send(Err(TruncatedBody)).await),
            // A bounded body that is not completed is truncated.
            Self::Bounded(_) => {}
        }
    }
}

/// Body of a response to a caller.
#[derive(Debug)]
pub enum GatewayBody {
    /// The complete body; `None` once it has been taken.
    Buffered(Option<Bytes>),
    /// Chunks from a channel, until it closes.
    Streamed(mpsc::Receiver<Result<Bytes, TruncatedBody>>),
    /// Chunks from a channel that is bounded by bytes.
    Bounded {
        /// The chunks.
        chunks: ByteReceiver,
        /// Size of the whole body, if it is known.
        size: Option<u64>,
    },
}

impl GatewayBody {
    /// Creates a body from its complete content.
    pub fn buffered(bytes: impl Into<Bytes>) -> Self {
        Self::Buffered(Some(bytes.into()))
    }
}

impl Body for GatewayBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        match self.get_mut() {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed(chunks) => {
                chunks.poll_recv(context).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
            Self::Bounded { chunks, .. } => {
                chunks.poll_recv(context).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(bytes) if bytes.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Bounded { size: Some(size), .. } => SizeHint::with_exact(*size),
            Self::Streamed(_) | Self::Bounded { size: None, .. } => SizeHint::default(),
        }
    }
}
