//! Stand-in for a plain service.

use crate::journal::{Journal, JournalEntry};
use crate::load::LoadMeter;
use serde_json::json;
use stackpost_http::{Answer, AnswerBody, Bytes, Exchange, HeaderMap, StatusCode};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::mpsc;

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 256 << 20;
/// Size of one chunk of a long response, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// A service that executes requests and counts them.
pub struct PlainService {
    name: String,
    journal: Journal,
    load: LoadMeter,
    executed: AtomicU64,
}

impl PlainService {
    /// Creates an idle service.
    pub fn new(name: String, journal: Journal) -> Arc<Self> {
        let load = LoadMeter::new(Duration::from_millis(200));
        Arc::new(Self { name, journal, load, executed: AtomicU64::new(0) })
    }
}

/// Handles one request. The query parameters `delay_ms`, `status` and `bytes` set the delay, the
/// status and the length of the response; with `bytes` the status is always 200.
pub async fn handle(service: Arc<PlainService>, mut exchange: Exchange) -> Answer {
    if exchange.uri.path() == "/v1/engine/load" {
        return Answer::json(StatusCode::OK, &service.load.report());
    }
    service.load.on_queued();
    service.load.on_started();
    let response = execute(&service, &mut exchange).await;
    service.load.on_finished();
    response
}

async fn execute(service: &PlainService, exchange: &mut Exchange) -> Answer {
    // A request with an incomplete body is not executed.
    let Ok(body) = exchange.body.read_all(MAX_BODY_BYTES).await else {
        return Answer::text(StatusCode::BAD_REQUEST, "the body was cut off\n");
    };
    let request = exchange.headers.get("x-request-id").and_then(|id| id.to_str().ok());
    service.journal.append(&JournalEntry {
        event: "executed",
        subject: request.unwrap_or("none"),
        prompt_tokens: 0,
        completion_tokens: 0,
    });
    let number = service.executed.fetch_add(1, Ordering::Relaxed) + 1;
    let query = exchange.uri.query().unwrap_or_default();
    let delay = query_parameter(query, "delay_ms").unwrap_or_default();
    tokio::time::sleep(Duration::from_millis(delay)).await;
    let status = query_parameter(query, "status").and_then(|code| u16::try_from(code).ok());
    let status = status.and_then(|code| StatusCode::from_u16(code).ok()).unwrap_or(StatusCode::OK);
    if let Some(length) = query_parameter(query, "bytes") {
        return long_response(length as usize);
    }
    let response = json!({
        "service": service.name,
        "method": exchange.method.as_str(),
        "path": exchange.uri.path(),
        "body_bytes": body.len(),
        "executed": number,
    });
    Answer::json(status, &response)
}

fn long_response(length: usize) -> Answer {
    let (sender, chunks) = mpsc::channel(4);
    tokio::spawn(async move {
        let mut remaining = length;
        while remaining > 0 {
            let chunk = vec![b'x'; remaining.min(CHUNK_BYTES)];
            remaining -= chunk.len();
            if sender.send(Ok(Bytes::from(chunk))).await.is_err() {
                return;
            }
        }
    });
    Answer { status: StatusCode::OK, headers: HeaderMap::new(), body: AnswerBody::Stream(chunks) }
}

fn query_parameter(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse().ok())
}
