//! Generated responses of the stand-in engine.

use serde::Deserialize;
use serde_json::{Value, json};
use stackpost_balance::{BlockHash, block_hashes};
use stackpost_types::Digest;

/// Number of different lengths, from [`MIN_TOKENS`] on, of a response to a prompt without
/// `tokens=N`.
const LENGTH_VARIANTS: u64 = 40;
/// Least tokens of a response to a prompt without `tokens=N`.
const MIN_TOKENS: u64 = 8;
/// Prompt bytes that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// The fields of a chat request that the stand-in uses.
#[derive(Debug, Deserialize)]
pub struct ChatBody {
    /// The model.
    pub model: String,
    /// Messages of the conversation.
    pub messages: Vec<Value>,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Most tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u64>,
}

/// How the engine reports its token usage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageMode {
    /// The true numbers.
    Exact,
    /// No usage.
    Missing,
    /// Half of the generated tokens.
    Low,
    /// A hundred times the generated tokens.
    High,
}

impl UsageMode {
    /// Parses the name of a mode; `None` for an unknown name.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "exact" => Some(Self::Exact),
            "missing" => Some(Self::Missing),
            "low" => Some(Self::Low),
            "high" => Some(Self::High),
            _ => None,
        }
    }
}

/// A response planned before it is generated.
#[derive(Clone, Debug)]
pub struct ResponsePlan {
    /// Completion id, the same in all chunks.
    pub id: String,
    /// The model.
    pub model: String,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of tokens to generate.
    pub length: u64,
    /// Hashes of the prompt's blocks.
    pub blocks: Vec<BlockHash>,
    seed: u64,
}

impl ResponsePlan {
    /// Plans the response to a request. A prompt that contains `tokens=N` gets N tokens, but at
    /// most `max_tokens`.
    pub fn new(request: &str, body: &ChatBody) -> Self {
        let prompt = prompt_text(&body.messages);
        let seed = Digest::of(&[prompt.as_bytes()]).to_u64();
        let requested = requested_tokens(&prompt).unwrap_or(MIN_TOKENS + seed % LENGTH_VARIANTS);
        Self {
            id: format!("chatcmpl-{request}"),
            model: body.model.clone(),
            prompt_tokens: prompt.len().div_ceil(BYTES_PER_TOKEN) as u64,
            length: requested.min(body.max_tokens.unwrap_or(u64::MAX)),
            blocks: block_hashes(&body.model, &prompt),
            seed,
        }
    }

    /// Text of token `index`. It depends on the prompt, so that a response delivered for another
    /// request is detected.
    pub fn token(&self, index: u64) -> String {
        format!("w{:x} ", (self.seed ^ index.wrapping_mul(0x9e37_79b9)) & 0xffff)
    }

    /// Text of all tokens.
    pub fn text(&self) -> String {
        (0..self.length).map(|index| self.token(index)).collect()
    }

    /// Stream event with token `index`.
    pub fn chunk(&self, index: u64) -> String {
        self.chunk_event(json!({ "content": self.token(index) }), None)
    }

    /// Stream event with the finish reason.
    pub fn last_chunk(&self) -> String {
        self.chunk_event(json!({}), Some("stop"))
    }

    /// Stream event with the usage; `None` if usage is not reported.
    pub fn usage_chunk(&self, mode: UsageMode) -> Option<String> {
        let usage = self.usage(mode)?;
        let chunk = json!({
            "id": self.id, "object": "chat.completion.chunk", "created": 0, "model": self.model,
            "choices": [], "usage": usage,
        });
        Some(format!("data: {chunk}\n\n"))
    }

    /// Body of a response that is not streamed.
    pub fn to_body(&self, mode: UsageMode) -> Value {
        let mut body = json!({
            "id": self.id, "object": "chat.completion", "created": 0, "model": self.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": self.text() },
                "finish_reason": "stop",
            }],
        });
        if let Some(usage) = self.usage(mode) {
            body["usage"] = usage;
        }
        body
    }

    fn usage(&self, mode: UsageMode) -> Option<Value> {
        let reported = match mode {
            UsageMode::Exact => self.length,
            UsageMode::Missing => return None,
            UsageMode::Low => self.length / 2,
            UsageMode::High => self.length * 100,
        };
        Some(json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": reported,
            "total_tokens": self.prompt_tokens + reported,
        }))
    }

    fn chunk_event(&self, delta: Value, finish_reason: Option<&str>) -> String {
        let chunk = json!({
            "id": self.id, "object": "chat.completion.chunk", "created": 0, "model": self.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish_reason }],
        });
        format!("data: {chunk}\n\n")
    }
}

fn requested_tokens(prompt: &str) -> Option<u64> {
    let (_, after) = prompt.split_once("tokens=")?;
    let digits: String = after.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn prompt_text(messages: &[Value]) -> String {
    let mut text = String::new();
    for message in messages {
        for field in ["role", "content"] {
            text.push_str(message.get(field).and_then(Value::as_str).unwrap_or_default());
            text.push('\n');
        }
    }
    text
}
