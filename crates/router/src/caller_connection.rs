//! The connection to the caller of one request.

use crate::server::RouterServer;
use stackpost_http::{Answer, AnswerBody, BodyAborted, Bytes, HeaderMap, StatusCode};
use stackpost_types::RequestId;
use tokio::sync::{mpsc, oneshot};

/// Maximum number of chunks that wait for a slow caller before the back end has to wait.
const CALLER_CHANNEL_CAPACITY: usize = 64;

/// The response channel to the caller.
pub(crate) struct CallerConnection {
    pub reply: Option<oneshot::Sender<Answer>>,
    pub chunks: Option<mpsc::Sender<Result<Bytes, BodyAborted>>>,
    pub disconnected: bool,
}

impl CallerConnection {
    /// Sends the head of a response whose body follows in chunks.
    pub fn start_response(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        request: RequestId,
        server: &RouterServer,
        back_end: Option<&str>,
    ) {
        let (sender, chunks) = mpsc::channel(CALLER_CHANNEL_CAPACITY);
        self.chunks = Some(sender);
        let answer = Answer { status, headers, body: AnswerBody::Stream(chunks) };
        self.reply_with(with_identifying_headers(answer, request, server, back_end));
    }

    /// Sends the response, unless one was sent.
    pub fn reply_with(&mut self, answer: Answer) {
        if let Some(reply) = self.reply.take() {
            // An error means that the caller has disconnected, which the caller check detects.
            let _ = reply.send(answer);
        }
    }

    /// Sends the next part of a response whose head was sent.
    pub async fn send_chunk(&mut self, chunk: Bytes) {
        if let Some(chunks) = &self.chunks
            && chunks.send(Ok(chunk)).await.is_err()
        {
            self.chunks = None;
        }
    }

    /// Aborts the response, so that the caller can't take it for complete.
    pub async fn abort(&mut self) {
        if let Some(chunks) = self.chunks.take() {
            let _ = chunks.send(Err(BodyAborted)).await;
        }
    }
}

/// Adds the headers that identify the request, its trace and its back end.
pub(crate) fn with_identifying_headers(
    answer: Answer,
    request: RequestId,
    server: &RouterServer,
    back_end: Option<&str>,
) -> Answer {
    let decision = format!("{request}@{}", server.machine());
    let answer = answer
        .with_header("x-request-id", &request.to_string())
        .with_header("x-stackpost-decision", &decision);
    match back_end {
        Some(name) => answer.with_header("x-stackpost-back-end", name),
        None => answer,
    }
}
