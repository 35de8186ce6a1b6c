//! The callers' interface: one handler for all paths.

use crate::chat::ChatRequest;
use crate::envelope::RequestError;
use crate::request_task::{PayloadSource, RequestTask};
use crate::server::RouterServer;
use serde_json::json;
use stackpost_http::{
    Answer, BodyAborted, BodyError, Bytes, Exchange, HeaderMap, Method, RequestStream, StatusCode,
    header,
};
use stackpost_router_core::{Call, Event, Target};
use stackpost_types::{Digest, KeyHash, RequestId};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

const CHAT_PATH: &str = "/v1/chat/completions";
const MODELS_PATH: &str = "/v1/models";
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;
/// Maximum size of a plain body that is buffered, so that it can be sent again in a retry.
const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Maximum number of chunks of a streamed body that wait for the back end.
const BODY_CHANNEL_CAPACITY: usize = 16;

/// A caller's request, parsed for the state machine.
struct ParsedRequest {
    target: Target,
    payload_source: PayloadSource,
    stream: bool,
    priority: i32,
    fingerprint: Digest,
    /// The body is streamed without being buffered, so the request can't be sent twice.
    single_use: bool,
    /// A streamed body, to be forwarded to the back end.
    body_feed: Option<BodyFeed>,
}

struct BodyFeed {
    /// The part of the body that has not been read yet.
    body: RequestStream,
    /// The chunks read before streaming began.
    first: Vec<Bytes>,
    chunks: mpsc::Sender<Result<Bytes, BodyAborted>>,
    limit: usize,
}

/// Handles one request of a caller.
pub async fn handle(server: Arc<RouterServer>, exchange: Exchange) -> Answer {
    let arrived_at = Instant::now();
    let request = RequestId(uuid::Uuid::new_v4().as_u128());
    if exchange.uri.path() == MODELS_PATH {
        return list_models(&server, &exchange, request);
    }
    match serve(server, exchange, request, arrived_at).await {
        Ok(answer) => answer,
        Err(error) => error.into_answer(request),
    }
}

fn list_models(server: &RouterServer, exchange: &Exchange, request: RequestId) -> Answer {
    let authorized = bearer_key(&exchange.headers)
        .is_some_and(|hash| server.inspect(|router| router.knows_key(&hash)));
    if !authorized {
        let error = RequestError {
            status: StatusCode::UNAUTHORIZED,
            code: "wrong_key",
            param: None,
            message: "send a tenant's key as `Authorization: Bearer <key>`".into(),
        };
        return error.into_answer(request);
    }
    let models: Vec<_> = server
        .inspect(|router| router.models())
        .into_iter()
        .map(|model| json!({"id": model, "object": "model", "created": 0, "owned_by": "stackpost"}))
        .collect();
    Answer::json(StatusCode::OK, &json!({ "object": "list", "data": models }))
}

async fn serve(
    server: Arc<RouterServer>,
    exchange: Exchange,
    request: RequestId,
    arrived_at: Instant,
) -> Result<Answer, RequestError> {
    let Exchange { method, uri, headers, body, watch, .. } = exchange;
    let key_hash = bearer_key(&headers);
    let idempotency_key = idempotency_key(&headers)?;
    let marked_not_repeatable = header_text(&headers, "x-stackpost-repeatable") == Some("false");
    let parsed = if uri.path() == CHAT_PATH {
        read_chat(&server, &method, body).await?
    } else {
        let path = uri.path_and_query().map_or("/", |path| path.as_str()).to_string();
        read_plain(&server, method, path, headers, body, idempotency_key.is_some()).await?
    };
    let (sender, signals) = mpsc::unbounded_channel();
    let (reply, answer) = oneshot::channel();
    let call = server.register(sender);
    let request_task = RequestTask {
        server: server.clone(),
        call,
        request,
        payload_source: parsed.payload_source,
        stream: parsed.stream,
        watch,
        signals,
        reply,
        arrived_at,
    };
    server.runtime().spawn(request_task.run());
    server.handle(Event::Call(Box::new(Call {
        id: call,
        request,
        key_hash,
        target: parsed.target,
        idempotency_key,
        not_repeatable: marked_not_repeatable || parsed.single_use,
        fingerprint: parsed.fingerprint,
        priority: parsed.priority,
    })));
    let answered = async {
        answer.await.unwrap_or_else(|_| {
            // The request task ended without a response: the caller has disconnected.
            Answer::text(StatusCode::SERVICE_UNAVAILABLE, "")
        })
    };
    match parsed.body_feed {
        None => Ok(answered.await),
        Some(body_feed) => Ok(forward_body_until_answered(body_feed, answered).await),
    }
}

/// Forwards a streamed body while waiting for the response.
async fn forward_body_until_answered(
    body_feed: BodyFeed,
    answered: impl Future<Output = Answer>,
) -> Answer {
    tokio::pin!(answered);
    let forwarding = forward_body(body_feed);
    tokio::pin!(forwarding);
    tokio::select! {
        answer = &mut answered => answer,
        () = &mut forwarding => answered.await,
    }
}

async fn forward_body(body_feed: BodyFeed) {
    let BodyFeed { mut body, first, chunks, limit } = body_feed;
    let mut length = 0;
    for chunk in first {
        length += chunk.len();
        if chunks.send(Ok(chunk)).await.is_err() {
            return;
        }
    }
    while let Some(chunk) = body.next().await {
        let checked = match chunk {
            Ok(chunk) if length + chunk.len() <= limit => {
                length += chunk.len();
                Ok(chunk)
            }
            // Aborts the body, so that the back end can't take it for complete.
            _ => Err(BodyAborted),
        };
        let aborted = checked.is_err();
        if chunks.send(checked).await.is_err() || aborted {
            return;
        }
    }
}

async fn read_chat(
    server: &RouterServer,
    method: &Method,
    mut body: RequestStream,
) -> Result<ParsedRequest, RequestError> {
    if method != Method::POST {
        return Err(RequestError {
            status: StatusCode::METHOD_NOT_ALLOWED,
            code: "method_not_allowed",
            param: None,
            message: format!("{CHAT_PATH} takes POST, not {method}"),
        });
    }
    let limit = server.options().max_body_bytes;
    let timeout = Duration::from_millis(server.options().body_timeout_ms);
    let bytes = tokio::time::timeout(timeout, body.read_all(limit))
        .await
        .map_err(|_| body_timeout(timeout))?
        .map_err(|error| body_error(error, limit))?;
    let chat = ChatRequest::parse(&bytes)?;
    Ok(ParsedRequest {
        target: chat.target.clone(),
        stream: chat.stream,
        priority: chat.priority,
        fingerprint: Digest::of(&[CHAT_PATH.as_bytes(), &bytes]),
        payload_source: PayloadSource::Chat(Arc::new(chat)),
        single_use: false,
        body_feed: None,
    })
}

async fn read_plain(
    server: &RouterServer,
    method: Method,
    path: String,
    headers: HeaderMap,
    mut body: RequestStream,
    keyed: bool,
) -> Result<ParsedRequest, RequestError> {
    let limit = server.options().max_body_bytes;
    let timeout = Duration::from_millis(server.options().body_timeout_ms);
    // The fingerprint of a keyed request covers its whole body, so the body is buffered.
    let buffer_limit = if keyed { limit } else { MAX_BUFFERED_BODY_BYTES.min(limit) };
    let mut first = Vec::new();
    let mut length = 0;
    let buffered = loop {
        let chunk =
            tokio::time::timeout(timeout, body.next()).await.map_err(|_| body_timeout(timeout))?;
        match chunk {
            None => break true,
            Some(Err(error)) => return Err(body_error(error, limit)),
            Some(Ok(chunk)) => {
                length += chunk.len();
                first.push(chunk);
            }
        }
        if length > limit || (keyed && length > buffer_limit) {
            return Err(body_error(BodyError::TooLarge, limit));
        }
        if length > buffer_limit {
            break false;
        }
    };
    let target = Target::Plain {
        method: method.to_string(),
        path: path.split('?').next().unwrap_or_default().to_string(),
    };
    let mut fingerprint_parts: Vec<&[u8]> = vec![method.as_str().as_bytes(), path.as_bytes()];
    fingerprint_parts.extend(first.iter().map(|chunk| chunk.as_ref()));
    let fingerprint = Digest::of(&fingerprint_parts);
    let (payload_source, body_feed) = if buffered {
        let bytes = Bytes::from(first.concat());
        (
            PayloadSource::Plain { method, path, headers, buffered: Some(bytes), streamed: None },
            None,
        )
    } else {
        let (chunks, streamed) = mpsc::channel(BODY_CHANNEL_CAPACITY);
        let payload_source = PayloadSource::Plain {
            method,
            path,
            headers,
            buffered: None,
            streamed: Some(streamed),
        };
        (payload_source, Some(BodyFeed { body, first, chunks, limit }))
    };
    Ok(ParsedRequest {
        target,
        payload_source,
        stream: false,
        priority: 0,
        fingerprint,
        single_use: !buffered,
        body_feed,
    })
}

fn body_timeout(timeout: Duration) -> RequestError {
    RequestError {
        status: StatusCode::REQUEST_TIMEOUT,
        code: "body_timeout",
        param: None,
        message: format!("nothing more of the body came for {timeout:?}"),
    }
}

fn body_error(error: BodyError, limit: usize) -> RequestError {
    match error {
        BodyError::TooLarge => RequestError {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            code: "body_too_large",
            param: None,
            message: format!("the body has more than {limit} bytes"),
        },
        BodyError::Incomplete(reason) => {
            let message = format!("the body ended before its length was reached: {reason}");
            RequestError::bad_request("incomplete_body", None, message)
        }
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

fn bearer_key(headers: &HeaderMap) -> Option<KeyHash> {
    let text = header_text(headers, header::AUTHORIZATION.as_str())?;
    let (scheme, secret) = text.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| KeyHash::of(secret.trim()))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, RequestError> {
    let Some(value) = headers.get("idempotency-key") else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default().trim();
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        let message =
            format!("Idempotency-Key: allowed: 1 to {MAX_KEY_BYTES} printable characters");
        return Err(RequestError::bad_request("invalid_key", Some("Idempotency-Key"), message));
    }
    Ok(Some(text.to_string()))
}
