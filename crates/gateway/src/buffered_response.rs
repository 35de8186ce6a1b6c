//! Responses of engines that are buffered before anything is sent to the caller, so that an
//! interrupted one can be retried.

use crate::attempt::EngineResponse;
use crate::body::GatewayBody;
use crate::decision_log::InterruptionPoint;
use crate::hedged_attempts::{FailedAttempt, FailureEffect};
use crate::large_response::LargeResponse;
use crate::request::{Answer, RequestContext, build_response};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::http::response;
use stackpost_gateway_core::AttemptEnd;
use tokio::time::timeout_at;

/// Largest response that is buffered before it is forwarded.
const BUFFER_LIMIT_BYTES: usize = 256 * 1024;
/// With bounded streams, larger bodies are counted until the caller has taken them. Smaller ones
/// fit into the buffer of the caller's connection.
const MAX_UNCOUNTED_BYTES: usize = 16 * 1024;

/// A complete response of an engine.
pub(crate) struct BufferedResponse {
    head: response::Parts,
    body: Bytes,
}

impl RequestContext {
    /// Buffers a response that is not a stream, so that an interrupted one can be retried.
    pub async fn buffer_response(&self, response: EngineResponse) -> Result<Answer, FailedAttempt> {
        let EngineResponse { head, mut body, attempt } = response;
        let mut buffered = BytesMut::new();
        let read = async {
            while let Some(frame) = body.frame().await {
                attempt.on_heard();
                if let Ok(data) = frame.map_err(|_| ())?.into_data() {
                    buffered.extend_from_slice(&data);
                }
                if buffered.len() > BUFFER_LIMIT_BYTES {
                    return Ok(false);
                }
            }
            Ok::<bool, ()>(true)
        };
        match timeout_at(self.deadline.timer(), read).await {
            Ok(Ok(true)) => {}
            Ok(Ok(false)) => {
                let start = buffered.freeze();
                return Ok(Answer::Large(Box::new(LargeResponse { head, start, body, attempt })));
            }
            Ok(Err(())) => {
                let crash_check = self.on_interrupted(attempt.name(), InterruptionPoint::Body);
                attempt.finish(AttemptEnd::Interrupted, None);
                crash_check.wait().await;
                return Err(FailedAttempt::new(FailureEffect::MayHaveRun));
            }
            Err(_) => {
                attempt.finish(AttemptEnd::Interrupted, None);
                return Err(FailedAttempt::new(FailureEffect::MayHaveRun));
            }
        }
        let failed = head.status.is_server_error();
        let end = if failed { AttemptEnd::EngineError } else { AttemptEnd::Responded };
        if head.status.is_success() {
            self.on_whole_response(&head.headers, attempt.name());
        }
        attempt.finish(end, Some(&head.headers));
        let buffered = BufferedResponse { head, body: buffered.freeze() };
        if failed {
            let effect = FailureEffect::MayHaveRun;
            return Err(FailedAttempt { effect, response: Some(buffered) });
        }
        Ok(Answer::Whole(self.respond_whole(buffered).await))
    }

    async fn respond_whole(&self, response: BufferedResponse) -> Response<GatewayBody> {
        let is_counted = self.router.load_settings().bounded_streams
            && response.body.len() > MAX_UNCOUNTED_BYTES;
        if !is_counted {
            return response.into_response();
        }
        let BufferedResponse { head, body: whole } = response;
        let (sender, body) = self.open_channel(Some(whole.len() as u64));
        // The receiver exists, so the body can be sent unless its caller is cut off at once, which
        // truncates it.
        if let Ok(Ok(())) = timeout_at(self.deadline.timer(), sender.send(whole)).await {
            sender.complete();
        }
        build_response(head, body)
    }
}

impl BufferedResponse {
    pub fn into_response(self) -> Response<GatewayBody> {
        build_response(self.head, GatewayBody::buffered(self.body))
    }
}
