//! Bodies of answers.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// The answer broke off and must not look complete: the connection is closed in its middle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TruncatedBody;

impl fmt::Display for TruncatedBody {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the answer broke off")
    }
}

impl std::error::Error for TruncatedBody {}

/// The body of an answer to a caller.
#[derive(Debug)]
pub enum GatewayBody {
    /// All of it; `None` once it has been taken.
    Buffered(Option<Bytes>),
    /// Piece by piece, until the channel closes.
    Streamed(mpsc::Receiver<Result<Bytes, TruncatedBody>>),
}

impl GatewayBody {
    /// A body that is here whole.
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
            Self::Streamed(pieces) => {
                pieces.poll_recv(context).map(|piece| piece.map(|piece| piece.map(Frame::data)))
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
