//! One attempt at one back end.

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

/// Headers that concern one connection only (RFC 9110, section 7.6.1).
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
/// Largest error answer that is passed on.
const MAX_ERROR_BYTES: usize = 64 * 1024;
/// Largest answer that is kept for a retry under the same key.
const MAX_KEPT_BYTES: usize = 1 << 20;
/// Data of the event that ends a stream.
const END_MARK: &str = "[DONE]";

/// What an attempt tells the conductor.
#[derive(Debug)]
pub enum AttemptEvent {
    /// The answer's head.
    Head {
        /// Its status.
        status: StatusCode,
        /// Its headers, without those that concern one connection only.
        headers: HeaderMap,
    },
    /// A piece that may go out as soon as bytes may flow.
    Chunk(Bytes),
    /// The attempt is over; `held_back` is the end of the answer, which goes out after the bill.
    Ended {
        /// How it ended.
        outcome: AttemptOutcome,
        /// The held-back end.
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
    /// It is here whole and may be sent again.
    Whole(Bytes),
    /// It is still coming in.
    Streamed(mpsc::Receiver<Result<Bytes, BodyAborted>>),
}

/// Limits on a back end's silence.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Before the answer begins.
    pub first_byte: Duration,
    /// In the middle of the answer.
    pub chunk: Duration,
}

/// Runs an attempt and reports it. `delivered` is asked, at a failure, whether bytes have gone to
/// the caller.
pub async fn run(
    client: Client,
    dispatch: Dispatch,
    payload: Payload,
    timeouts: Timeouts,
    events: mpsc::Sender<AttemptEvent>,
) {
    let mut reader = Reader {
        events,
        timeouts,
        keep: dispatch.keep_answer.then(Vec::new),
        counted: Usage::default(),
        pieces_sent: 0,
    };
    let outcome = match payload {
        Payload::Chat(chat) => run_chat(&client, &dispatch, &chat, &mut reader).await,
        Payload::Plain { method, path, headers, body } => {
            let request = plain_request(&dispatch, method, &path, headers, body);
            run_plain(&client, request, &mut reader).await
        }
    };
    let (outcome, held_back) = match outcome {
        Ok(Ended { outcome, held_back }) => (outcome, held_back),
        Err(outcome) => (outcome, Vec::new()),
    };
    // The conductor may have gone; then nobody needs the outcome.
    let _ = reader.events.send(AttemptEvent::Ended { outcome, held_back }).await;
}

/// A whole answer and its held-back end.
struct Ended {
    outcome: AttemptOutcome,
    held_back: Vec<Bytes>,
}

/// Reads an answer piece by piece.
struct Reader {
    events: mpsc::Sender<AttemptEvent>,
    timeouts: Timeouts,
    keep: Option<Vec<u8>>,
    counted: Usage,
    pieces_sent: u64,
}

impl Reader {
    /// A failure in the middle. Whether bytes reached the caller is for the conductor to say.
    fn broken(&self, reason: impl ToString) -> AttemptOutcome {
        AttemptOutcome::Incomplete {
            reason: reason.to_string(),
            counted: self.counted,
            delivered: self.pieces_sent > 0,
        }
    }

    async fn pass_on(&mut self, piece: Bytes) {
        self.keep_for_retry(&piece);
        self.pieces_sent += 1;
        let _ = self.events.send(AttemptEvent::Chunk(piece)).await;
    }

    fn keep_for_retry(&mut self, piece: &[u8]) {
        if let Some(kept) = &mut self.keep {
            kept.extend_from_slice(piece);
        }
    }

    async fn head(&self, status: StatusCode, headers: HeaderMap) {
        let _ = self.events.send(AttemptEvent::Head { status, headers }).await;
    }

    /// The next piece of a body; `None` at its end.
    async fn next(&self, body: &mut Incoming) -> Result<Option<Bytes>, String> {
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
        let mut whole = Vec::new();
        while let Some(piece) = self.next(body).await? {
            if whole.len() + piece.len() > limit {
                return Err(format!("longer than {limit} bytes"));
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.into())
    }

    /// The answer to be kept; one that is too long is only remembered as run.
    fn kept_answer(&mut self, status: StatusCode, content_type: String) -> StoredAnswer {
        let body = self.keep.take().unwrap_or_default();
        if body.len() > MAX_KEPT_BYTES {
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
    reader: &Reader,
) -> Result<ClientAnswer, AttemptOutcome> {
    match tokio::time::timeout(reader.timeouts.first_byte, client.send(request)).await {
        Err(_) => Err(reader.broken(format!("no answer in {:?}", reader.timeouts.first_byte))),
        Ok(Err(error)) if error.not_sent => Err(AttemptOutcome::NotSent { reason: error.reason }),
        Ok(Err(error)) => Err(reader.broken(error.reason)),
        Ok(Ok(answer)) => Ok(answer),
    }
}

async fn run_chat(
    client: &Client,
    dispatch: &Dispatch,
    chat: &ChatRequest,
    reader: &mut Reader,
) -> Result<Ended, AttemptOutcome> {
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
    let rest = asked_rest(status, answer.headers());
    let echoed = answer.headers().get("x-request-id").cloned();
    if echoed.is_some_and(|id| id.as_bytes() != dispatch.request.to_string().as_bytes()) {
        return Err(reader.broken("the answer belongs to another request"));
    }
    let mut body = answer.into_body();
    if status != StatusCode::OK {
        return Err(rejected(status, content_type, rest, &mut body, reader).await);
    }
    if chat.stream {
        stream_chat(&mut body, chat, content_type, reader).await
    } else {
        whole_chat(&mut body, content_type, reader).await
    }
}

/// For how long a back end that turns a request away wants no further one.
fn asked_rest(status: StatusCode, headers: &HeaderMap) -> Option<Millis> {
    if !matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
        return None;
    }
    let value = headers.get(header::RETRY_AFTER)?;
    let rest = value.to_str().ok().and_then(Millis::parse_retry_after);
    if rest.is_none() {
        log::info!(step = "answer"; "a back end asks for a rest that can't be read");
    }
    rest
}

/// An error status before any output.
async fn rejected(
    status: StatusCode,
    content_type: String,
    rest: Option<Millis>,
    body: &mut Incoming,
    reader: &Reader,
) -> AttemptOutcome {
    let text = match reader.read_all(body, MAX_ERROR_BYTES).await {
        Ok(text) => text,
        Err(reason) => return reader.broken(reason),
    };
    let turned_away = status == StatusCode::SERVICE_UNAVAILABLE || status.is_client_error();
    if !turned_away {
        return reader.broken(format!("status {status}"));
    }
    let answer = StoredAnswer {
        status: status.as_u16(),
        content_type,
        body: Arc::new(text.to_vec()),
        billed: Tokens::ZERO,
    };
    AttemptOutcome::Rejected { status: status.as_u16(), answer, rest }
}

/// A streamed answer: events pass as they come, from the one that ends generation on they are
/// held back for the bill.
async fn stream_chat(
    body: &mut Incoming,
    chat: &ChatRequest,
    content_type: String,
    reader: &mut Reader,
) -> Result<Ended, AttemptOutcome> {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    reader.head(StatusCode::OK, headers).await;
    let mut splitter = EventSplitter::default();
    let mut answer_id: Option<String> = None;
    let mut reported = None;
    let mut held_back = Vec::new();
    let mut ending = false;
    loop {
        let Some(bytes) = reader.next(body).await.map_err(|reason| reader.broken(reason))? else {
            return Err(reader.broken("the stream ended without its end mark"));
        };
        for event in splitter.push(&bytes) {
            let Some(data) = event_data(&event) else {
                reader.pass_on(event).await;
                continue;
            };
            if data == END_MARK {
                reader.keep_for_retry(&event);
                held_back.push(event);
                let answer = reader.kept_answer(StatusCode::OK, content_type);
                let counted = reader.counted;
                return Ok(Ended {
                    outcome: AttemptOutcome::Answered { reported, counted, answer, rest: None },
                    held_back,
                });
            }
            let part: AnswerPart = serde_json::from_str(&data)
                .map_err(|error| reader.broken(format!("a chunk is not JSON: {error}")))?;
            check_id(&mut answer_id, &part).map_err(|reason| reader.broken(reason))?;
            reader.counted.completion_tokens += tokens_in(&part);
            ending |= part.choices.iter().any(|choice| choice.finish_reason.is_some());
            if let Some(usage) = part.usage {
                reported = Some(Usage::from(usage));
                if part.choices.is_empty() && !chat.wants_usage {
                    continue;
                }
            }
            if ending {
                reader.keep_for_retry(&event);
                held_back.push(event);
            } else {
                reader.pass_on(event).await;
            }
        }
    }
}

/// All chunks of an answer carry the same id; another one means that streams were crossed.
fn check_id(known: &mut Option<String>, part: &AnswerPart) -> Result<(), String> {
    match known {
        None => {
            *known = Some(part.id.clone());
            Ok(())
        }
        Some(id) if *id == part.id => Ok(()),
        Some(id) => Err(format!("a chunk of answer {} in answer {id}", part.id)),
    }
}

/// A chunk with text stands for at least one token.
fn tokens_in(part: &AnswerPart) -> u64 {
    let has_text = |delta: &crate::chat::AnswerDelta| {
        delta.content.as_ref().is_some_and(|text| !text.is_empty())
    };
    let chunks = part.choices.iter().filter_map(|choice| choice.delta.as_ref());
    chunks.filter(|delta| has_text(delta)).count() as u64
}

/// An answer in one piece.
async fn whole_chat(
    body: &mut Incoming,
    content_type: String,
    reader: &mut Reader,
) -> Result<Ended, AttemptOutcome> {
    let bytes =
        reader.read_all(body, MAX_KEPT_BYTES).await.map_err(|reason| reader.broken(reason))?;
    let part: AnswerPart = serde_json::from_slice(&bytes)
        .map_err(|error| reader.broken(format!("the answer is not JSON: {error}")))?;
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reader.head(StatusCode::OK, headers).await;
    reader.keep_for_retry(&bytes);
    if part.usage.is_none() {
        reader.counted.completion_tokens = (bytes.len() as u64).div_ceil(4);
    }
    let answer = reader.kept_answer(StatusCode::OK, content_type);
    let reported = part.usage.map(Usage::from);
    let counted = reader.counted;
    let outcome = AttemptOutcome::Answered { reported, counted, answer, rest: None };
    Ok(Ended { outcome, held_back: vec![bytes] })
}

fn plain_request(
    dispatch: &Dispatch,
    method: Method,
    path: &str,
    headers: HeaderMap,
    body: PlainBody,
) -> Result<Request<ClientBody>, String> {
    let body = match body {
        PlainBody::Whole(bytes) => Client::whole(bytes),
        PlainBody::Streamed(pieces) => Client::streamed(pieces),
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

/// A plain answer passes as it comes; its last piece is held back for the bill.
async fn run_plain(
    client: &Client,
    request: Result<Request<ClientBody>, String>,
    reader: &mut Reader,
) -> Result<Ended, AttemptOutcome> {
    let request = request.map_err(|reason| AttemptOutcome::NotSent { reason })?;
    let answer = send(client, request, reader).await?;
    let status = answer.status();
    let content_type = content_type_of(answer.headers());
    let rest = asked_rest(status, answer.headers());
    reader.head(status, strip_hop_by_hop_headers(answer.headers().clone())).await;
    let mut body = answer.into_body();
    let mut last: Option<Bytes> = None;
    while let Some(piece) = reader.next(&mut body).await.map_err(|reason| reader.broken(reason))? {
        if let Some(earlier) = last.replace(piece) {
            reader.pass_on(earlier).await;
        }
    }
    let held_back: Vec<Bytes> = last.into_iter().collect();
    for piece in &held_back {
        reader.keep_for_retry(piece);
    }
    let answer = reader.kept_answer(status, content_type);
    let counted = reader.counted;
    let outcome = AttemptOutcome::Answered { reported: None, counted, answer, rest };
    Ok(Ended { outcome, held_back })
}

fn content_type_of(headers: &HeaderMap) -> String {
    let value = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    value.unwrap_or("application/octet-stream").to_string()
}

/// Removes the headers that concern one connection only, those named by `Connection` included.
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
