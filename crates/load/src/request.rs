//! Sends one request and measures its times.

use crate::arguments::{address, text, value};
use clap::ArgMatches;
use http_body_util::BodyExt;
use hyper::http::Request;
use serde_json::{Value, json};
use stackpost_http::{Bytes, Client, ClientBody, HeaderMap, StatusCode};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Parameters of a request.
#[derive(Clone, Debug)]
pub struct RequestParameters {
    /// Address of the router or engine.
    pub address: SocketAddr,
    /// API key of the tenant.
    pub key: String,
    /// Model name.
    pub model: String,
    /// Content of the user message.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u64,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Value of the `idempotency-key` header.
    pub idempotency_key: Option<String>,
    /// Path of a plain service; without it a chat request is sent.
    pub path: Option<String>,
}

/// A response and its times, measured from the start of sending.
#[derive(Debug)]
pub struct TimedResponse {
    /// Response status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Vec<u8>,
    /// Time to the first byte of the body.
    pub first_byte: Duration,
    /// Times between consecutive chunks of the body.
    pub gaps: Vec<Duration>,
    /// Time to the end of the body.
    pub total: Duration,
}

impl RequestParameters {
    /// Builds the parameters from the arguments of a subcommand.
    pub fn from_matches(matches: &ArgMatches) -> Self {
        let optional = |name: &str| {
            let value = matches.try_get_one::<String>(name);
            value.ok().flatten().cloned()
        };
        Self {
            address: address(matches, "api"),
            key: text(matches, "key"),
            model: text(matches, "model"),
            prompt: text(matches, "prompt"),
            max_tokens: value(matches, "max-tokens"),
            stream: matches.get_flag("stream"),
            idempotency_key: optional("idempotency-key"),
            path: optional("path"),
        }
    }

    fn build(&self) -> Result<Request<ClientBody>, String> {
        let path = self.path.clone().unwrap_or_else(|| "/v1/chat/completions".into());
        let body = match &self.path {
            Some(_) => Bytes::new(),
            None => Bytes::from(
                json!({
                    "model": self.model,
                    "messages": [{ "role": "user", "content": self.prompt }],
                    "max_tokens": self.max_tokens,
                    "stream": self.stream,
                })
                .to_string(),
            ),
        };
        let mut request = Request::post(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", self.key));
        if let Some(key) = &self.idempotency_key {
            request = request.header("idempotency-key", key);
        }
        request.body(Client::whole(body)).map_err(|error| error.to_string())
    }

    /// Sends the request and reads the complete response.
    pub async fn send(&self, client: &Client) -> Result<TimedResponse, String> {
        let request = self.build()?;
        let started = Instant::now();
        let head = client.send(request).await.map_err(|error| error.reason)?;
        let status = head.status();
        let headers = head.headers().clone();
        let mut body = head.into_body();
        let mut response = TimedResponse {
            status,
            headers,
            body: Vec::new(),
            first_byte: Duration::ZERO,
            gaps: Vec::new(),
            total: Duration::ZERO,
        };
        let mut last_chunk_at: Option<Instant> = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| format!("receive: {error}"))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let now = Instant::now();
            match last_chunk_at {
                None => response.first_byte = now - started,
                Some(previous) => response.gaps.push(now - previous),
            }
            last_chunk_at = Some(now);
            response.body.extend_from_slice(&data);
        }
        response.total = started.elapsed();
        Ok(response)
    }
}

/// Sends one request and prints its status, back end, cost and times.
pub async fn run(matches: &ArgMatches) -> Result<(), String> {
    let parameters = RequestParameters::from_matches(matches);
    let response = parameters.send(&Client::default()).await?;
    let header = |name: &str| {
        let value = response.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or("-").to_string()
    };
    println!(
        "status={} request={} back_end={} cost={} first_ms={:.1} total_ms={:.1}",
        response.status.as_u16(),
        header("x-request-id"),
        header("x-stackpost-back-end"),
        cost_of(&response),
        response.first_byte.as_secs_f64() * 1e3,
        response.total.as_secs_f64() * 1e3,
    );
    if !response.status.is_success() {
        println!("{}", String::from_utf8_lossy(&response.body));
        return Err(format!("status {}", response.status));
    }
    Ok(())
}

/// Cost in tokens as stated in the response.
fn cost_of(response: &TimedResponse) -> String {
    let text = String::from_utf8_lossy(&response.body);
    if let Some((_, after)) = text.rsplit_once("billed=") {
        return after.trim().to_string();
    }
    let json: Option<Value> = serde_json::from_slice(&response.body).ok();
    let tokens = json.and_then(|json| json["usage"]["total_tokens"].as_u64());
    tokens.map_or("per route".into(), |tokens| tokens.to_string())
}
