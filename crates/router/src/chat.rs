//! Requests and responses of the chat-completions protocol, as far as the router reads them.

use crate::envelope::RequestError;
use serde::Deserialize;
use serde_json::{Map, Value, json};
use stackpost_balance::{BlockHash, block_hashes};
use stackpost_http::Bytes;
use stackpost_router_core::{Target, Usage};
use stackpost_types::ModelName;

/// Tokens that a chat template may add to each message.
const TEMPLATE_TOKENS_PER_MESSAGE: u64 = 16;
/// Average number of text bytes per token, for estimates only.
const BYTES_PER_TOKEN: u64 = 4;

/// A chat request.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    /// The request as the state machine reads it.
    pub target: Target,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Whether the caller requested the usage in the stream.
    pub wants_usage: bool,
    /// Requests of higher priority go first.
    pub priority: i32,
    /// Estimate of the prompt's length in tokens.
    pub estimated_prompt_tokens: u64,
    body: Map<String, Value>,
}

impl ChatRequest {
    /// Parses a request body.
    pub fn parse(bytes: &[u8]) -> Result<Self, RequestError> {
        let value: Value = serde_json::from_slice(bytes).map_err(|error| {
            RequestError::bad_request(
                "malformed_json",
                None,
                format!("the body is not JSON: {error}"),
            )
        })?;
        let Value::Object(body) = value else {
            return Err(RequestError::bad_request(
                "malformed_json",
                None,
                "the body is not an object",
            ));
        };
        let model = match body.get("model") {
            Some(Value::String(name)) if !name.is_empty() => ModelName::new(name),
            _ => return Err(invalid_field("model", "a model's name")),
        };
        let Some(Value::Array(messages)) = body.get("messages") else {
            return Err(invalid_field("messages", "a list of messages"));
        };
        if messages.is_empty() {
            return Err(invalid_field("messages", "at least one message"));
        }
        if body.get("n").is_some_and(|n| !n.is_null() && n.as_u64() != Some(1)) {
            return Err(invalid_field("n", "1"));
        }
        let max_tokens = requested_max_tokens(&body)?;
        let prompt = prompt_text(messages);
        let tools_bytes = body.get("tools").map_or(0, |tools| tools.to_string().len() as u64);
        let text_bytes = prompt.len() as u64 + tools_bytes;
        let blocks: Vec<BlockHash> = block_hashes(model.as_str(), &prompt);
        let stream = bool_field(&body, "stream")?;
        let options = body.get("stream_options").and_then(Value::as_object);
        let wants_usage = options
            .and_then(|options| options.get("include_usage"))
            .and_then(Value::as_bool)
            .unwrap_or_default();
        let priority = body.get("priority").and_then(Value::as_i64).unwrap_or_default();
        Ok(Self {
            target: Target::Chat {
                model,
                // A tokenizer produces at most one token per byte.
                prompt_tokens: text_bytes + TEMPLATE_TOKENS_PER_MESSAGE * messages.len() as u64,
                max_tokens,
                blocks,
            },
            stream,
            wants_usage,
            priority: i32::try_from(priority).unwrap_or_default(),
            estimated_prompt_tokens: text_bytes.div_ceil(BYTES_PER_TOKEN),
            body,
        })
    }

    /// The body for the engine, with the generation limit set and usage requested in a stream.
    pub fn engine_body(&self, max_tokens: Option<u64>) -> Bytes {
        let mut body = self.body.clone();
        if let Some(limit) = max_tokens {
            body.remove("max_completion_tokens");
            body.insert("max_tokens".into(), json!(limit));
        }
        if self.stream {
            body.insert("stream_options".into(), json!({ "include_usage": true }));
        }
        Bytes::from(Value::Object(body).to_string())
    }
}

fn invalid_field(field: &str, allowed: &str) -> RequestError {
    let message = format!("field `{field}`: allowed: {allowed}");
    RequestError::bad_request("invalid_field", Some(field), message)
}

fn bool_field(body: &Map<String, Value>, field: &str) -> Result<bool, RequestError> {
    match body.get(field) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => Err(invalid_field(field, "true or false")),
    }
}

fn requested_max_tokens(body: &Map<String, Value>) -> Result<Option<u64>, RequestError> {
    for field in ["max_completion_tokens", "max_tokens"] {
        match body.get(field) {
            None | Some(Value::Null) => {}
            Some(value) => match value.as_u64() {
                Some(limit) => return Ok(Some(limit)),
                None => return Err(invalid_field(field, "a whole number from 1 up")),
            },
        }
    }
    Ok(None)
}

/// All text of the messages that becomes part of the prompt.
fn prompt_text(messages: &[Value]) -> String {
    let mut text = String::new();
    for message in messages {
        if let Some(role) = message.get("role").and_then(Value::as_str) {
            text.push_str(role);
            text.push('\n');
        }
        match message.get("content") {
            Some(Value::String(content)) => text.push_str(content),
            Some(Value::Null) | None => {}
            Some(other) => text.push_str(&other.to_string()),
        }
        if let Some(calls) = message.get("tool_calls") {
            text.push_str(&calls.to_string());
        }
        text.push('\n');
    }
    text
}

/// The parts of a chunk or a response that the router reads.
#[derive(Debug, Deserialize)]
pub struct AnswerPart {
    /// Identifier, the same in all chunks of one response.
    #[serde(default)]
    pub id: String,
    /// The choices.
    #[serde(default)]
    pub choices: Vec<AnswerChoice>,
    /// Token counts.
    #[serde(default)]
    pub usage: Option<AnswerUsage>,
}

/// One choice of a chunk or a response.
#[derive(Debug, Deserialize)]
pub struct AnswerChoice {
    /// Text added by a chunk.
    #[serde(default)]
    pub delta: Option<AnswerDelta>,
    /// Why generation ended, if it has ended.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// Text added by a chunk.
#[derive(Debug, Deserialize)]
pub struct AnswerDelta {
    /// The text.
    #[serde(default)]
    pub content: Option<String>,
}

/// Token counts reported by an engine.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct AnswerUsage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens generated.
    #[serde(default)]
    pub completion_tokens: u64,
}

impl From<AnswerUsage> for Usage {
    fn from(usage: AnswerUsage) -> Self {
        Self { prompt_tokens: usage.prompt_tokens, completion_tokens: usage.completion_tokens }
    }
}
