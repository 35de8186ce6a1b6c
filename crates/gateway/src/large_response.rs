//! Relays responses that are too large to be buffered and are not streams.

use crate::attempt::ActiveAttempt;
use crate::body::{ChunkSender, GatewayBody};
use crate::connection_headers::ends_with_connection;
use crate::decision_log::{self, InterruptionPoint};
use crate::relay::was_unread;
use crate::request::{RequestContext, build_response};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::response;
use stackpost_gateway_core::AttemptEnd;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Maximum size of the body of a response that is not a stream.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// A response that is too large to be buffered.
pub(crate) struct LargeResponse {
    pub head: response::Parts,
    /// The part of the body that was received so far.
    pub start: Bytes,
    pub body: Incoming,
    pub attempt: ActiveAttempt,
}

/// Outcome of relaying a large response.
enum RelayOutcome {
    Complete,
    /// The engine interrupted it.
    Interrupted,
    /// It exceeds the maximum size.
    Oversized,
    CallerGone,
}

/// Relays a large response; a separate task forwards the remainder.
pub(crate) fn forward(context: RequestContext, response: LargeResponse) -> Response<GatewayBody> {
    let (sender, caller_body) = context.open_channel(None);
    let LargeResponse { head, start, body, attempt } = response;
    let (succeeded, headers) = (head.status.is_success(), head.headers.clone());
    tokio::task::spawn_local(async move {
        let mut longest_unread = Duration::ZERO;
        let forwarding = forward_body(&sender, start, body, &attempt, &mut longest_unread);
        let outcome = tokio::select! {
            outcome = timeout_at(context.deadline.timer(), forwarding) => outcome,
            () = sender.closed() => return,
        };
        let was_unread = was_unread(longest_unread);
        match outcome {
            Ok(RelayOutcome::Complete) if was_unread && ends_with_connection(&headers) => {
                context.on_ended_unread(attempt, longest_unread);
            }
            Ok(RelayOutcome::Complete) => {
                if succeeded {
                    context.on_whole_response(&headers, attempt.name());
                }
                attempt.finish(AttemptEnd::Responded, None);
                return sender.complete();
            }
            Ok(RelayOutcome::CallerGone) => return,
            Ok(RelayOutcome::Interrupted) if was_unread => {
                context.on_ended_unread(attempt, longest_unread);
            }
            Ok(RelayOutcome::Interrupted) => {
                context.on_interrupted(attempt.name(), InterruptionPoint::Body).wait().await
            }
            Ok(RelayOutcome::Oversized) => {
                decision_log::response_oversized(&context, attempt.name(), MAX_RESPONSE_BYTES);
                attempt.finish(AttemptEnd::Interrupted, None);
            }
            Err(_) => {}
        }
        sender.truncate().await;
    });
    build_response(head, caller_body)
}

async fn forward_body(
    sender: &ChunkSender,
    start: Bytes,
    mut body: Incoming,
    attempt: &ActiveAttempt,
    longest_unread: &mut Duration,
) -> RelayOutcome {
    let mut chunk = Some(start);
    let mut received = 0;
    loop {
        if let Some(data) = chunk.take() {
            received += data.len();
            if received > MAX_RESPONSE_BYTES {
                return RelayOutcome::Oversized;
            }
            if sender.send(data).await.is_err() {
                return RelayOutcome::CallerGone;
            }
        }
        let unread_since = Instant::now();
        if sender.room().await.is_err() {
            return RelayOutcome::CallerGone;
        }
        *longest_unread = unread_since.elapsed().max(*longest_unread);
        match body.frame().await {
            Some(Ok(frame)) => {
                attempt.on_heard();
                chunk = frame.into_data().ok();
            }
            Some(Err(_)) => return RelayOutcome::Interrupted,
            None => return RelayOutcome::Complete,
        }
    }
}
