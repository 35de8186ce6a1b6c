//! Stand-in for a model engine.

use crate::cache::PrefixCache;
use crate::generation::{ChatBody, ResponsePlan, UsageMode};
use crate::journal::{Journal, JournalEntry};
use crate::load::LoadMeter;
use crate::orders::{Order, OrderedState, load_weights};
use serde_json::json;
use stackpost_http::{
    Answer, AnswerBody, Bytes, Client, ConnectionWatch, Exchange, HeaderMap, HeaderValue, Method,
    StatusCode, header,
};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc};

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Most requests whose usage is kept.
const MAX_KEPT_USAGES: usize = 10_000;
/// Stream chunks buffered for a slow reader.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// Configuration of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Whether orders with an older fencing token are refused.
    pub checks_fence: bool,
    /// Time per generated token with an empty batch.
    pub token_time: Duration,
    /// Time per prompt block that is not in the cache.
    pub block_time: Duration,
    /// Requests processed concurrently; more are queued.
    pub batch: usize,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Age of load reports and cache events.
    pub lag: Duration,
    /// How usage is reported.
    pub usage: UsageMode,
    /// Address of the weight store; without one, loading takes no time.
    pub weight_store: Option<SocketAddr>,
    /// If set, every chat request is rejected with a `retry-after` of so many seconds.
    pub retry_after_s: Option<u64>,
}

/// A running engine.
pub struct Engine {
    options: EngineOptions,
    journal: Journal,
    load: LoadMeter,
    batch: Semaphore,
    cache: Mutex<PrefixCache>,
    ordered: OrderedState,
    usages: Mutex<Usages>,
    client: Client,
}

#[derive(Default)]
struct Usages {
    by_request: HashMap<String, (u64, u64)>,
    insertion_order: VecDeque<String>,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(options: EngineOptions, journal: Journal) -> Arc<Self> {
        Arc::new(Self {
            journal,
            load: LoadMeter::new(options.lag),
            batch: Semaphore::new(options.batch),
            cache: Mutex::new(PrefixCache::new(options.cache_blocks, options.lag)),
            ordered: OrderedState::new(options.checks_fence),
            usages: Mutex::default(),
            client: Client::default(),
            options,
        })
    }

    fn record(&self, event: &str, request: &str, plan: &ResponsePlan, generated: u64) {
        self.journal.append(&JournalEntry {
            event,
            subject: request,
            prompt_tokens: plan.prompt_tokens,
            completion_tokens: generated,
        });
    }

    fn record_usage(&self, request: &str, plan: &ResponsePlan, generated: u64) {
        let mut usages = self.usages.lock().unwrap_or_else(PoisonError::into_inner);
        let usage = (plan.prompt_tokens, generated);
        if usages.by_request.insert(request.to_string(), usage).is_none() {
            usages.insertion_order.push_back(request.to_string());
        }
        if usages.insertion_order.len() > MAX_KEPT_USAGES
            && let Some(oldest) = usages.insertion_order.pop_front()
        {
            usages.by_request.remove(&oldest);
        }
    }

    /// Prefill time: blocks that are not in the prefix cache have to be computed.
    fn prefill_time(&self, plan: &ResponsePlan) -> Duration {
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        let uncached = plan.blocks.len() - cache.look_up_and_store(&plan.blocks);
        self.options.block_time * uncached as u32
    }

    /// Time per token; twice as long with a full batch as with an empty one.
    fn token_time(&self) -> Duration {
        let fill = f64::from(self.load.running()) / self.options.batch as f64;
        self.options.token_time.mul_f64(1.0 + fill)
    }
}

/// Handles one request.
pub async fn handle(engine: Arc<Engine>, mut exchange: Exchange) -> Answer {
    let path = exchange.uri.path().to_string();
    match (exchange.method.clone(), path.as_str()) {
        (Method::POST, "/v1/chat/completions") => chat(engine, exchange).await,
        (Method::GET, "/v1/engine/load") => Answer::json(StatusCode::OK, &engine.load.report()),
        (Method::GET, "/v1/engine/cache") => {
            let cache = engine.cache.lock().unwrap_or_else(PoisonError::into_inner);
            Answer::json(StatusCode::OK, &cache.content())
        }
        (Method::GET, "/v1/engine/cache/events") => {
            let query = exchange.uri.query().unwrap_or_default();
            let from = query.strip_prefix("from=").and_then(|text| text.parse().ok());
            let cache = engine.cache.lock().unwrap_or_else(PoisonError::into_inner);
            Answer::json(StatusCode::OK, &cache.published_from(from.unwrap_or_default()))
        }
        (Method::POST, "/v1/engine/orders") => handle_order(&engine, &mut exchange).await,
        (Method::GET, path) if path.starts_with("/v1/engine/requests/") => {
            request_usage(&engine, path.trim_start_matches("/v1/engine/requests/"))
        }
        _ => Answer::json(StatusCode::NOT_FOUND, &json!({ "error": format!("no {path}") })),
    }
}

fn request_usage(engine: &Engine, request: &str) -> Answer {
    let usages = engine.usages.lock().unwrap_or_else(PoisonError::into_inner);
    match usages.by_request.get(request) {
        Some((prompt, completion)) => {
            let usage = json!({ "prompt_tokens": prompt, "completion_tokens": completion });
            Answer::json(StatusCode::OK, &usage)
        }
        None => Answer::json(StatusCode::NOT_FOUND, &json!({ "error": "unknown request" })),
    }
}

async fn handle_order(engine: &Engine, exchange: &mut Exchange) -> Answer {
    let bytes = exchange.body.read_all(MAX_BODY_BYTES).await.unwrap_or_default();
    let order: Order = match serde_json::from_slice(&bytes) {
        Ok(order) => order,
        Err(error) => return Answer::text(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let fencing_token = format!("{}:{}", order.term, order.version);
    let record = |event| {
        engine.journal.append(&JournalEntry {
            event,
            subject: &fencing_token,
            prompt_tokens: 0,
            completion_tokens: 0,
        });
    };
    let missing_models = match engine.ordered.accept(&order) {
        Ok(missing_models) => missing_models,
        Err(stale) => {
            record("order_refused");
            let text = format!("stale token; newest seen: {:?}", stale.newest);
            return Answer::text(StatusCode::CONFLICT, text);
        }
    };
    if let Some(store) = engine.options.weight_store {
        for model in missing_models {
            if let Err(error) = load_weights(&engine.client, store, &model).await {
                return Answer::text(StatusCode::SERVICE_UNAVAILABLE, error);
            }
        }
    }
    engine.ordered.complete(&order);
    record("order");
    Answer::text(StatusCode::OK, "done\n")
}

async fn chat(engine: Arc<Engine>, mut exchange: Exchange) -> Answer {
    let request = exchange
        .headers
        .get("x-request-id")
        .and_then(|id| id.to_str().ok())
        .unwrap_or("none")
        .to_string();
    let bytes = exchange.body.read_all(MAX_BODY_BYTES).await.unwrap_or_default();
    let body: ChatBody = match serde_json::from_slice(&bytes) {
        Ok(body) => body,
        Err(error) => return Answer::text(StatusCode::BAD_REQUEST, error.to_string()),
    };
    if !engine.ordered.serves(&body.model) {
        let error = json!({ "error": { "message": format!("{} is not loaded", body.model) } });
        return Answer::json(StatusCode::SERVICE_UNAVAILABLE, &error);
    }
    let plan = ResponsePlan::new(&request, &body);
    if let Some(retry_after_s) = engine.options.retry_after_s {
        engine.record("turned_away", &request, &plan, 0);
        let response = Answer::text(StatusCode::SERVICE_UNAVAILABLE, "no room\n");
        return response.with_header("retry-after", &retry_after_s.to_string());
    }
    let watch = exchange.watch.take();
    let response = if body.stream {
        streamed_chat(engine, request.clone(), plan, watch)
    } else {
        buffered_chat(engine, &request, plan, watch).await
    };
    response.with_header("x-request-id", &request)
}

/// Whether the caller has closed its connection.
fn is_disconnected(watch: &Option<ConnectionWatch>) -> bool {
    watch.as_ref().is_some_and(ConnectionWatch::is_closed)
}

/// Waits for a place in the batch and for the prefill. `None` if the caller has disconnected while
/// the request was queued.
async fn start_request<'a>(
    engine: &'a Engine,
    request: &str,
    plan: &ResponsePlan,
    watch: &Option<ConnectionWatch>,
) -> Option<tokio::sync::SemaphorePermit<'a>> {
    engine.load.on_queued();
    let permit = engine.batch.acquire().await.ok();
    if permit.is_none() || is_disconnected(watch) {
        engine.load.on_abandoned();
        return None;
    }
    engine.load.on_started();
    engine.record("started", request, plan, 0);
    engine.record_usage(request, plan, 0);
    tokio::time::sleep(engine.prefill_time(plan)).await;
    permit
}

async fn buffered_chat(
    engine: Arc<Engine>,
    request: &str,
    plan: ResponsePlan,
    watch: Option<ConnectionWatch>,
) -> Answer {
    let Some(_permit) = start_request(&engine, request, &plan, &watch).await else {
        return Answer::text(StatusCode::SERVICE_UNAVAILABLE, "caller gone");
    };
    for generated in 0..plan.length {
        sleep_if_nonzero(engine.token_time()).await;
        if is_disconnected(&watch) {
            engine.record("cancelled", request, &plan, generated);
            engine.record_usage(request, &plan, generated);
            engine.load.on_finished();
            return Answer::text(StatusCode::SERVICE_UNAVAILABLE, "caller gone");
        }
    }
    engine.record_usage(request, &plan, plan.length);
    engine.record("finished", request, &plan, plan.length);
    engine.load.on_finished();
    Answer::json(StatusCode::OK, &plan.to_body(engine.options.usage))
}

fn streamed_chat(
    engine: Arc<Engine>,
    request: String,
    plan: ResponsePlan,
    watch: Option<ConnectionWatch>,
) -> Answer {
    let (sender, chunks) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    tokio::spawn(async move {
        let Some(_permit) = start_request(&engine, &request, &plan, &watch).await else {
            return;
        };
        let mut generated = 0;
        while generated < plan.length {
            sleep_if_nonzero(engine.token_time()).await;
            let event = Bytes::from(plan.chunk(generated));
            if is_disconnected(&watch) || sender.send(Ok(event)).await.is_err() {
                break;
            }
            generated += 1;
            engine.record_usage(&request, &plan, generated);
        }
        let event = if generated == plan.length { "finished" } else { "cancelled" };
        engine.record(event, &request, &plan, generated);
        engine.load.on_finished();
        if generated == plan.length {
            let mut end = plan.last_chunk();
            end.push_str(&plan.usage_chunk(engine.options.usage).unwrap_or_default());
            end.push_str("data: [DONE]\n\n");
            // The caller may have disconnected after the last token; the journal has the number
            // of generated tokens.
            let _ = sender.send(Ok(Bytes::from(end))).await;
        }
    });
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    Answer { status: StatusCode::OK, headers, body: AnswerBody::Stream(chunks) }
}

async fn sleep_if_nonzero(duration: Duration) {
    if !duration.is_zero() {
        tokio::time::sleep(duration).await;
    }
}
