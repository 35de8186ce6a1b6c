//! Waits for the head of a response. An engine may send a head without end, so once it has begun it
//! must end soon.

use crate::connection_pool::EngineConnection;
use bytes::Bytes;
use futures::FutureExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::{Request, Response, StatusCode, ext};
use std::ops::RangeInclusive;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Longest time from the first byte of a head to its end.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Statuses that end an exchange (RFC 9110, section 15). Those below are informational, also 101 to a
/// request that asks for no other protocol; those above are invalid.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Whether a response with this status ends the exchange.
pub(crate) fn is_final(status: StatusCode) -> bool {
    FINAL_STATUSES.contains(&status.as_u16())
}

/// Outcome of the wait for a head.
pub(crate) enum ResponseHead {
    /// It was received.
    Received(Response<Incoming>),
    /// The connection failed.
    Failed(TrySendError<Request<Full<Bytes>>>),
    /// It did not begin before the deadline.
    DeadlineExceeded,
    /// It began and did not end in time.
    Incomplete,
}

type SendResult = Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>>;

/// A request that was sent, and its response.
pub(crate) struct Exchange<F> {
    response: F,
    /// Notified whenever bytes are received on the connection.
    received: Rc<Notify>,
    /// Whether an informational response was received, which ends without the response itself.
    was_informational: Arc<AtomicBool>,
}

/// Sends a request. The exchange does not borrow the connection, which its owner can close.
pub(crate) fn send_request(
    connection: &mut EngineConnection,
    mut request: Request<Full<Bytes>>,
) -> Exchange<impl Future<Output = SendResult> + use<>> {
    let was_informational = Arc::new(AtomicBool::new(false));
    let informed = was_informational.clone();
    ext::on_informational(&mut request, move |_| informed.store(true, Ordering::Relaxed));
    let received = connection.received.clone();
    // A notification that an earlier response has left.
    let _ = received.notified().now_or_never();
    Exchange { response: connection.sender.try_send_request(request), received, was_informational }
}

impl<F: Future<Output = SendResult>> Exchange<F> {
    /// Waits for the head of the response.
    pub async fn head(self, deadline: Instant) -> ResponseHead {
        let Self { response, received, was_informational } = self;
        let mut response = pin!(response);
        loop {
            tokio::select! {
                biased;
                result = timeout_at(deadline, &mut response) => {
                    return result.map_or(ResponseHead::DeadlineExceeded, ResponseHead::from);
                }
                () = received.notified() => {}
            }
            let until = deadline.min(Instant::now() + HEAD_TIMEOUT);
            match timeout_at(until, &mut response).await {
                Ok(result) => return result.into(),
                Err(_) if was_informational.swap(false, Ordering::Relaxed) => {}
                Err(_) => return ResponseHead::Incomplete,
            }
        }
    }
}

impl From<SendResult> for ResponseHead {
    fn from(result: SendResult) -> Self {
        result.map_or_else(Self::Failed, Self::Received)
    }
}
