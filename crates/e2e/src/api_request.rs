//! Requests that tests send as callers, and their responses.

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http::Request;
use serde_json::{Value, json};
use stackpost_http::{Bytes, Client, HeaderMap, StatusCode};
use std::net::SocketAddr;

/// A POST request to one router.
#[derive(Clone, Debug)]
pub struct ApiRequest {
    /// Caller address of the router.
    pub api: SocketAddr,
    /// Path and query.
    pub path: String,
    /// The bearer key; empty: no `authorization` header.
    pub key: String,
    /// The `Idempotency-Key` header, if any.
    pub idempotency_key: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct ApiResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: String,
}

impl ApiRequest {
    /// A chat request that asks the stand-in engine for `tokens` tokens; the response depends on
    /// the prompt.
    pub fn chat(api: SocketAddr, prompt: &str, tokens: u64, stream: bool) -> Self {
        let body = json!({
            "model": crate::MODEL,
            "messages": [{ "role": "user", "content": format!("{prompt} tokens={tokens}") }],
            "max_tokens": tokens + 10,
            "stream": stream,
        });
        Self::post(api, "/v1/chat/completions", body.to_string())
    }

    /// A request with `body` to any path.
    pub fn post(api: SocketAddr, path: &str, body: impl Into<Bytes>) -> Self {
        Self {
            api,
            path: path.to_string(),
            key: crate::KEY.to_string(),
            idempotency_key: None,
            body: body.into(),
        }
    }

    /// The same request with an `Idempotency-Key`.
    pub fn keyed(mut self, key: &str) -> Self {
        self.idempotency_key = Some(key.to_string());
        self
    }

    /// The same request to another router.
    pub fn to(mut self, api: SocketAddr) -> Self {
        self.api = api;
        self
    }

    /// Sends the request; returns status, headers and the body, which is still to be read.
    pub async fn send_streaming(
        &self,
        client: &Client,
    ) -> Result<(StatusCode, HeaderMap, Incoming), String> {
        let mut request = Request::post(format!("http://{}{}", self.api, self.path))
            .header("content-type", "application/json");
        if !self.key.is_empty() {
            request = request.header("authorization", format!("Bearer {}", self.key));
        }
        if let Some(key) = &self.idempotency_key {
            request = request.header("idempotency-key", key);
        }
        let request =
            request.body(Client::whole(self.body.clone())).map_err(|error| error.to_string())?;
        let response = client.send(request).await.map_err(|error| error.reason)?;
        let (parts, body) = response.into_parts();
        Ok((parts.status, parts.headers, body))
    }

    /// Sends the request and reads the complete response.
    pub async fn send(&self) -> Result<ApiResponse, String> {
        let (status, headers, body) = self.send_streaming(&Client::unpooled()).await?;
        let body = body.collect().await.map_err(|error| error.to_string())?.to_bytes();
        Ok(ApiResponse { status, headers, body: String::from_utf8_lossy(&body).into_owned() })
    }
}

impl ApiResponse {
    /// The request id from the headers; empty if there is none.
    pub fn request_id(&self) -> String {
        let id = self.headers.get("x-request-id").and_then(|id| id.to_str().ok());
        id.unwrap_or_default().to_string()
    }

    /// The body as JSON; `Null` if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// The error code of an error response; empty if there is none.
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_string()
    }

    /// The outcome that an error response states, such as `not_run`; empty if there is none.
    pub fn outcome(&self) -> String {
        self.json()["error"]["outcome"].as_str().unwrap_or_default().to_string()
    }
}
