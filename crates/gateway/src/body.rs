//! Response bodies.

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

/// Body of a response to a caller.
#[derive(Debug)]
pub enum GatewayBody {
    /// The complete body; `None` once it has been taken.
    Buffered(Option<Bytes>),
    /// Chunks from a channel, until it closes.
    Streamed(mpsc::Receiver<Result<Bytes, TruncatedBody>>),
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
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}
