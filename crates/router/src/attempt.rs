//! One attempt at one back end: sends the request and reads the response.

use crate::chat::{AnswerPart, ChatRequest};
use crate::sse::{EventSplitter, event_data};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http::Request;
use stackpost_http::{
    BodyAborted, Bytes, Client, ClientAnswer, ClientBody, HeaderMap, HeaderName, HeaderValue,
    Method, StatusCode, header,
};
use stackpost_ledger::StoredAnswer;
use stackpost_router_core::{AttemptOutcome, Dispatch, Usage};
use stackpost_types::{Millis, Tokens};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Hop-by-hop headers (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-connection",
];
/// Maximum size of an error response that is forwarded.
const MAX_ERROR_BYTES: usize = 64 * 1024;
/// Maximum size of a response that is stored for a retry under the same key.
const MAX_STORED_BYTES: usize = 1 << 20;
/// Data of the event that ends a streamed chat response.
const END_OF_STREAM: &str = "[DONE]";

/// What an attempt reports to its request task.
#[derive(Debug)]
pub enum AttemptEvent {
    /// The head of the response.
    Head {
        /// HTTP status.
        status: StatusCode,
        /// Headers without the hop-by-hop ones.
        headers: HeaderMap,
    },
    /// A chunk of the response, to be sent once the response may start.
    Chunk(Bytes),
    /// The attempt has ended; `held_back` is the end of the response, which is sent after the bill
    /// has been recorded.
    Ended {
        /// How it ended.
        outcome: AttemptOutcome,
        /// The held-back end of the response.
        held_back: Vec<Bytes>,
    },
}

/// What is sent to the back end.
pub enum Payload {
    /// A chat request.
    Chat(Arc<ChatRequest>),
    /// A call of a plain service.
    Plain {
        /// The method.
        method: Method,
        /// Path and query.
        path: String,
        /// The caller's headers.
        headers: HeaderMap,
        /// The body.
        body: PlainBody,
    },
}

/// The body of a call of a plain service.
pub enum PlainBody {
    /// The complete body; it can be sent again.
    Buffered(Bytes),
    /// A body that is still being received.
    Streamed(mpsc::Receiver<Result<Bytes, BodyAborted>>),
}

/// Maximum times without data from a back end.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Until the response begins.
    pub first_byte: Duration,
    /// Between two chunks of the response.
    pub chunk: Duration,
}

/// Runs an attempt and reports its progress and its outcome to `events`.
pub async fn run(
    client: Client,
    dispatch: Dispatch,
    payload: Payload,
    timeouts: Timeouts,
    events: mpsc::Sender<AttemptEvent>,
) {
    let mut reader = ResponseReader {
        events,
        timeouts,
        stored_body: dispatch.keep_answer.then(Vec::new),
        counted: Usage::default(),
        chunks_sent: 0,
    };
    let outcome = match payload {
        Payload::Chat(chat) => run_chat(&client, &dispatch, &chat, &mut reader).await,
        Payload::Plain { method, path, headers, body } => {
            let request = plain_request(&dispatch, method, &path, headers, body);
            run_plain(&client, request, &mut reader).await
        }
    };
    let (outcome, held_back) = match outcome {
        Ok(CompletedAttempt { outcome, held_back }) => (outcome, held_back),
        Err(outcome) => (outcome, Vec::new()),
    };
    // If the request task has ended, the outcome is not needed.
    let _ = reader.events.send(AttemptEvent::Ended { outcome, held_back }).await;
}

/// The outcome of a complete response and the held-back end of the response.
struct CompletedAttempt {
    outcome: AttemptOutcome,
    held_back: Vec<Bytes>,
}

/// Reads a response chunk by chunk.
struct ResponseReader {
    events: mpsc::Sender<AttemptEvent>,
    timeouts: Timeouts,
    stored_body: Option<Vec<u8>>,
    counted: Usage,
    chunks_sent: u64,
}

impl ResponseReader {
    /// Outcome of an interrupted response. `delivered` only says whether chunks were sent to the
    /// request task, which replaces it by whether the caller has received the response's head.
    fn interrupted(&self, reason: impl ToString) -> AttemptOutcome {
        AttemptOutcome::Incomplete {
            reason: reason.to_string(),
            counted: self.counted,
            delivered: self.chunks_sent > 0,
        }
    }

    async fn forward(&mut self, chunk: Bytes) {
        self.store_for_retry(&chunk);
        self.chunks_sent += 1;
        let _ = self.events.send(AttemptEvent::Chunk(chunk)).await;
    }

    fn store_for_retry(&mut self, chunk: &[u8]) {
        if let Some(stored_body) = &mut self.stored_body {
            stored_body.extend_from_slice(chunk);
        }
    }

    async fn send_head(&self, status: StatusCode, headers: HeaderMap) {
        let _ = self.events.send(AttemptEvent::Head { status, headers }).await;
    }

    /// The next chunk of a body; `None` at its end.
    async fn next_chunk(&self, body: &mut Incoming) -> Result<Option<Bytes>, String> {
        loop {
            match tokio::time::timeout(self.timeouts.chunk, body.frame()).await {
                Err(_) => return Err(format!("silent for {:?}", self.timeouts.chunk)),
                Ok(None) => return Ok(None),
                Ok(Some(Err(error))) => return Err(format!("receive: {error}")),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    async fn read_all(&self, body: &mut Incoming, limit: usize) -> Result<Bytes, String> {
        let mut collected = Vec::new();
        while let Some(chunk) = self.next_chunk(body).await? {
            if collected.len() + chunk.len() > limit {
                return Err(format!("longer than {limit} bytes"));
            }
            collected.extend_from_slice(&chunk);
        }
        Ok(collected.into())
    }

    /// The response to be stored; one that is too long is stored only as having run, without its
    /// content.
    fn stored_answer(&mut self, status: StatusCode, content_type: String) -> StoredAnswer {
        let body = self.stored_body.take().unwrap_or_default();
        if body.len() > MAX_STORED_BYTES {
            return StoredAnswer::unknown();
        }
        StoredAnswer {
            status: status.as_u16(),
            content_type,
            body: Arc::new(body),
            billed: Tokens::ZERO,
        }
    }
}

async fn send(
    client: &Client,
    request: Request<ClientBody>,
    reader: &ResponseReader,
) -> Result<ClientAnswer, AttemptOutcome> {
    match tokio::time::timeout(reader.timeouts.first_byte, client.send(request)).await {
        Err(_) => Err(reader.interrupted(format!("no answer in {:?}", reader.timeouts.first_byte))),
        Ok(Err(error)) if error.not_sent => Err(AttemptOutcome::NotSent { reason: error.reason }),
        Ok(Err(error)) => Err(reader.interrupted(error.reason)),
        Ok(Ok(answer)) => Ok(answer),
    }
}

async fn run_chat(
    client: &Client,
    dispatch: &Dispatch,
    chat: &ChatRequest,
    reader: &mut ResponseReader,
) -> Result<CompletedAttempt, AttemptOutcome> {
    reader.counted.prompt_tokens = chat.estimated_prompt_tokens;
    let request = Request::post(format!("http://{}/v1/chat/completions", dispatch.address))
        .header(header::CONTENT_TYPE, "application/json")
        .header("x-request-id", dispatch.request.to_string())
        .header("x-priority", chat.priority.to_string())
        .body(Client::whole(chat.engine_body(dispatch.max_tokens)))
        .map_err(|error| AttemptOutcome::NotSent { reason: error.to_string() })?;
    let answer = send(client, request, reader).await?;
    let status = answer.status();
    let content_type = content_type_of(answer.headers());
    let rest = requested_backoff(status, answer.headers());
    let echoed = answer.headers().get("x-request-id").cloned();
    if echoed.is_some_and(|id| id.as_bytes() != dispatch.request.to_string().as_bytes()) {
        return Err(reader.interrupted("the answer belongs to another request"));
    }
    let mut body = answer.into_body();
    if status != StatusCode::OK {
        return Err(read_rejection(status, content_type, rest, &mut body, reader).await);
    }
    if chat.stream {
        streamed_chat(&mut body, chat, content_type, reader).await
    } else {
        buffered_chat(&mut body, content_type, reader).await
    }
}

/// The backoff that a rejecting response asks for in its `Retry-After` header.
fn requested_backoff(status: StatusCode, headers: &HeaderMap) -> Option<Millis> {
    if !matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
        return None;
    }
    let value = headers.get(header::RETRY_AFTER)?;
    let backoff = value.to_str().ok().and_then(Millis::parse_retry_after);
    if backoff.is_none() {
        log::info!(step = "answer"; "back end's retry-after header can't be parsed");
    }
    backoff
}

/// Reads a response with an error status before any output.
async fn read_rejection(
    status: StatusCode,
    content_type: String,
    rest: Option<Millis>,
    body: &mut Incoming,
    reader: &ResponseReader,
) -> AttemptOutcome {
    let text = match reader.read_all(body, MAX_ERROR_BYTES).await {
        Ok(text) => text,
        Err(reason) => return reader.interrupted(reason),
    };
    let rejected_unexecuted = status == StatusCode::SERVICE_UNAVAILABLE || status.is_client_error();
    if !rejected_unexecuted {
        return reader.interrupted(format!("status {status}"));
    }
    let answer = StoredAnswer {
        status: status.as_u16(),
        content_type,
        body: Arc::new(text.to_vec()),
        billed: Tokens::ZERO,
    };
    AttemptOutcome::Rejected { status: status.as_u16(), answer, rest }
}

/// Forwards a streamed chat response event by event. From the event that ends generation on,
/// events are held back until the bill has been recorded.
async fn streamed_chat(
    body: &mut Incoming,
    chat: &ChatRequest,
    content_type: String,
    reader: &mut ResponseReader,
) -> Result<CompletedAttempt, AttemptOutcome> {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    reader.send_head(StatusCode::OK, headers).await;
    let mut splitter = EventSplitter::default();
    let mut answer_id: Option<String> = None;
    let mut reported = None;
    let mut held_back = Vec::new();
    let mut generation_ended = false;
    loop {
        let Some(bytes) =
            reader.next_chunk(body).await.map_err(|reason| reader.interrupted(reason))?
        else {
            return Err(reader.interrupted("the stream ended without its end mark"));
        };
        for event in splitter.push(&bytes) {
            let Some(data) = event_data(&event) else {
                reader.forward(event).await;
                continue;
            };
            if data == END_OF_STREAM {
                reader.store_for_retry(&event);
                held_back.push(event);
                let answer = reader.stored_answer(StatusCode::OK, content_type);
                let counted = reader.counted;
                return Ok(CompletedAttempt {
                    outcome: AttemptOutcome::Answered { reported, counted, answer, rest: None },
                    held_back,
                });
            }
            let part: AnswerPart = serde_json::from_str(&data)
                .map_err(|error| reader.interrupted(format!("a chunk is not JSON: {error}")))?;
            check_answer_id(&mut answer_id, &part).map_err(|reason| reader.interrupted(reason))?;
            reader.counted.completion_tokens += count_tokens(&part);
            generation_ended |= part.choices.iter().any(|choice| choice.finish_reason.is_some());
            if let Some(usage) = part.usage {
                reported = Some(Usage::from(usage));
                if part.choices.is_empty() && !chat.wants_usage {
                    continue;
                }
            }
            if generation_ended {
                reader.store_for_retry(&event);
                held_back.push(event);
            } else {
                reader.forward(event).await;
            }
        }
    }
}

/// Checks that all chunks of a response have the same id; another id means that the back end has
/// mixed two streams.
fn check_answer_id(expected_id: &mut Option<String>, part: &AnswerPart) -> Result<(), String> {
    match expected_id {
        None => {
            *expected_id = Some(part.id.clone());
            Ok(())
        }
        Some(id) if *id == part.id => Ok(()),
        Some(id) => Err(format!("a chunk of answer {} in answer {id}", part.id)),
    }
}

/// Counts the chunks with text, each of which stands for at least one token.
fn count_tokens(part: &AnswerPart) -> u64 {
    let has_text = |delta: &crate::chat::AnswerDelta| {
        delta.content.as_ref().is_some_and(|text| !text.is_empty())
    };
    let chunks = part.choices.iter().filter_map(|choice| choice.delta.as_ref());
    chunks.filter(|delta| has_text(delta)).count() as u64
}

/// Reads a chat response that is not streamed.
async fn buffered_chat(
    body: &mut Incoming,
    content_type: String,
    reader: &mut ResponseReader,
) -> Result<CompletedAttempt, AttemptOutcome> {
    let bytes = reader
        .read_all(body, MAX_STORED_BYTES)
        .await
        .map_err(|reason| reader.interrupted(reason))?;
    let part: AnswerPart = serde_json::from_slice(&bytes)
        .map_err(|error| reader.interrupted(format!("the answer is not JSON: {error}")))?;
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reader.send_head(StatusCode::OK, headers).await;
    reader.store_for_retry(&bytes);
    if part.usage.is_none() {
        reader.counted.completion_tokens = (bytes.len() as u64).div_ceil(4);
    }
    let answer = reader.stored_answer(StatusCode::OK, content_type);
    let reported = part.usage.map(Usage::from);
    let counted = reader.counted;
    let outcome = AttemptOutcome::Answered { reported, counted, answer, rest: None };
    Ok(CompletedAttempt { outcome, held_back: vec![bytes] })
}

fn plain_request(
    dispatch: &Dispatch,
    method: Method,
    path: &str,
    headers: HeaderMap,
    body: PlainBody,
) -> Result<Request<ClientBody>, String> {
    let body = match body {
        PlainBody::Buffered(bytes) => Client::whole(bytes),
        PlainBody::Streamed(chunks) => Client::streamed(chunks),
    };
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{}{}", dispatch.address, path))
        .body(body)
        .map_err(|error| error.to_string())?;
    *request.headers_mut() = strip_hop_by_hop_headers(headers);
    request.headers_mut().remove(header::HOST);
    request.headers_mut().remove(header::AUTHORIZATION);
    if let Ok(id) = HeaderValue::from_str(&dispatch.request.to_string()) {
        request.headers_mut().insert(HeaderName::from_static("x-request-id"), id);
    }
    Ok(request)
}

/// Forwards a plain response chunk by chunk. Its last chunk is held back until the bill has been
/// recorded.
async fn run_plain(
    client: &Client,
    request: Result<Request<ClientBody>, String>,
    reader: &mut ResponseReader,
) -> Result<CompletedAttempt, AttemptOutcome> {
    let request = request.map_err(|reason| AttemptOutcome::NotSent { reason })?;
    let answer = send(client, request, reader).await?;
    let status = answer.status();
    let content_type = content_type_of(answer.headers());
    let rest = requested_backoff(status, answer.headers());
    reader.send_head(status, strip_hop_by_hop_headers(answer.headers().clone())).await;
    let mut body = answer.into_body();
    let mut last: Option<Bytes> = None;
    while let Some(chunk) =
        reader.next_chunk(&mut body).await.map_err(|reason| reader.interrupted(reason))?
    {
        if let Some(earlier) = last.replace(chunk) {
            reader.forward(earlier).await;
        }
    }
    let held_back: Vec<Bytes> = last.into_iter().collect();
    for chunk in &held_back {
        reader.store_for_retry(chunk);
    }
    let answer = reader.stored_answer(status, content_type);
    let counted = reader.counted;
    let outcome = AttemptOutcome::Answered { reported: None, counted, answer, rest };
    Ok(CompletedAttempt { outcome, held_back })
}

fn content_type_of(headers: &HeaderMap) -> String {
    let value = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    value.unwrap_or("application/octet-stream").to_string()
}

/// Removes the hop-by-hop headers, including those named by `Connection`.
pub fn strip_hop_by_hop_headers(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named.iter().map(String::as_str).chain(HOP_BY_HOP) {
        headers.remove(name);
    }
    headers
}
