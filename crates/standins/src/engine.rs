//! The stand-in model engine.

use crate::cache::PrefixCache;
use crate::generation::{ChatBody, Plan, UsageMode};
use crate::journal::{Journal, Note};
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
/// Requests whose usage is remembered.
const KEPT_USAGES: usize = 10_000;
/// Pieces that may wait for a slow reader.
const PIECES_AHEAD: usize = 16;

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Whether orders with an older fencing token are refused.
    pub checks_fence: bool,
    /// Time per token with an empty batch.
    pub token_time: Duration,
    /// Time per prompt block that is not in the cache.
    pub block_time: Duration,
    /// Requests worked on at once; more wait.
    pub batch: usize,
    /// Blocks in the prefix cache.
    pub cache_blocks: usize,
    /// Age of load reports and cache events.
    pub lag: Duration,
    /// How usage is reported.
    pub usage: UsageMode,
    /// Where weights are read; without one, loading takes no time.
    pub weight_store: Option<SocketAddr>,
    /// If given, every chat is turned away with a wish for so many seconds of rest.
    pub rest: Option<u64>,
}

/// An engine.
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
    order: VecDeque<String>,
}

impl Engine {
    /// An idle engine.
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

    fn note(&self, event: &str, request: &str, plan: &Plan, generated: u64) {
        self.journal.note(&Note {
            event,
            subject: request,
            prompt_tokens: plan.prompt_tokens,
            completion_tokens: generated,
        });
    }

    fn remember_usage(&self, request: &str, plan: &Plan, generated: u64) {
        let mut usages = self.usages.lock().unwrap_or_else(PoisonError::into_inner);
        let usage = (plan.prompt_tokens, generated);
        if usages.by_request.insert(request.to_string(), usage).is_none() {
            usages.order.push_back(request.to_string());
        }
        if usages.order.len() > KEPT_USAGES
            && let Some(oldest) = usages.order.pop_front()
        {
            usages.by_request.remove(&oldest);
        }
    }

    /// Time until the first token: what the cache lacks has to be computed.
    fn prefill_time(&self, plan: &Plan) -> Duration {
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        let missing = plan.blocks.len() - cache.use_prompt(&plan.blocks);
        self.options.block_time * missing as u32
    }

    /// Time of one token; a full batch takes twice as long as an empty one.
    fn token_time(&self) -> Duration {
        let fill = f64::from(self.load.running()) / self.options.batch as f64;
        self.options.token_time.mul_f64(1.0 + fill)
    }
}

/// Answers one request.
pub async fn handle(engine: Arc<Engine>, mut exchange: Exchange) -> Answer {
    let path = exchange.uri.path().to_string();
    match (exchange.method.clone(), path.as_str()) {
        (Method::POST, "/v1/chat/completions") => chat(engine, exchange).await,
        (Method::GET, "/v1/engine/load") => Answer::json(StatusCode::OK, &engine.load.report()),
        (Method::GET, "/v1/engine/cache") => {
            let cache = engine.cache.lock().unwrap_or_else(PoisonError::into_inner);
            Answer::json(StatusCode::OK, &cache.whole())
        }
        (Method::GET, "/v1/engine/cache/events") => {
            let query = exchange.uri.query().unwrap_or_default();
            let from = query.strip_prefix("from=").and_then(|text| text.parse().ok());
            let cache = engine.cache.lock().unwrap_or_else(PoisonError::into_inner);
            Answer::json(StatusCode::OK, &cache.published_from(from.unwrap_or_default()))
        }
        (Method::POST, "/v1/engine/orders") => take_order(&engine, &mut exchange).await,
        (Method::GET, path) if path.starts_with("/v1/engine/requests/") => {
            usage_of(&engine, path.trim_start_matches("/v1/engine/requests/"))
        }
        _ => Answer::json(StatusCode::NOT_FOUND, &json!({ "error": format!("no {path}") })),
    }
}

fn usage_of(engine: &Engine, request: &str) -> Answer {
    let usages = engine.usages.lock().unwrap_or_else(PoisonError::into_inner);
    match usages.by_request.get(request) {
        Some((prompt, completion)) => {
            let usage = json!({ "prompt_tokens": prompt, "completion_tokens": completion });
            Answer::json(StatusCode::OK, &usage)
        }
        None => Answer::json(StatusCode::NOT_FOUND, &json!({ "error": "unknown request" })),
    }
}

async fn take_order(engine: &Engine, exchange: &mut Exchange) -> Answer {
    let bytes = exchange.body.read_all(MAX_BODY_BYTES).await.unwrap_or_default();
    let order: Order = match serde_json::from_slice(&bytes) {
        Ok(order) => order,
        Err(error) => return Answer::text(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let token = format!("{}:{}", order.term, order.version);
    let note = |event| {
        engine.journal.note(&Note {
            event,
            subject: &token,
            prompt_tokens: 0,
            completion_tokens: 0,
        });
    };
    let missing = match engine.ordered.begin(&order) {
        Ok(missing) => missing,
        Err(stale) => {
            note("order_refused");
            let text = format!("stale token; newest seen: {:?}", stale.newest);
            return Answer::text(StatusCode::CONFLICT, text);
        }
    };
    if let Some(store) = engine.options.weight_store {
        for model in missing {
            if let Err(error) = load_weights(&engine.client, store, &model).await {
                return Answer::text(StatusCode::SERVICE_UNAVAILABLE, error);
            }
        }
    }
    engine.ordered.complete(&order);
    note("order");
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
    let plan = Plan::new(&request, &body);
    if let Some(rest) = engine.options.rest {
        engine.note("turned_away", &request, &plan, 0);
        let answer = Answer::text(StatusCode::SERVICE_UNAVAILABLE, "no room\n");
        return answer.with_header("retry-after", &rest.to_string());
    }
    let watch = exchange.watch.take();
    let answer = if body.stream {
        stream(engine, request.clone(), plan, watch)
    } else {
        whole(engine, &request, plan, watch).await
    };
    answer.with_header("x-request-id", &request)
}

/// Whether the caller has gone.
fn is_gone(watch: &Option<ConnectionWatch>) -> bool {
    watch.as_ref().is_some_and(ConnectionWatch::is_closed)
}

/// Waits for a place in the batch and computes the prompt. `None` if the caller has gone.
async fn begin<'a>(
    engine: &'a Engine,
    request: &str,
    plan: &Plan,
    watch: &Option<ConnectionWatch>,
) -> Option<tokio::sync::SemaphorePermit<'a>> {
    engine.load.wait();
    let place = engine.batch.acquire().await.ok();
    if place.is_none() || is_gone(watch) {
        engine.load.give_up();
        return None;
    }
    engine.load.run();
    engine.note("started", request, plan, 0);
    engine.remember_usage(request, plan, 0);
    tokio::time::sleep(engine.prefill_time(plan)).await;
    place
}

async fn whole(
    engine: Arc<Engine>,
    request: &str,
    plan: Plan,
    watch: Option<ConnectionWatch>,
) -> Answer {
    let Some(_place) = begin(&engine, request, &plan, &watch).await else {
        return Answer::text(StatusCode::SERVICE_UNAVAILABLE, "caller gone");
    };
    for generated in 0..plan.length {
        pause(engine.token_time()).await;
        if is_gone(&watch) {
            engine.note("cancelled", request, &plan, generated);
            engine.remember_usage(request, &plan, generated);
            engine.load.end();
            return Answer::text(StatusCode::SERVICE_UNAVAILABLE, "caller gone");
        }
    }
    engine.remember_usage(request, &plan, plan.length);
    engine.note("finished", request, &plan, plan.length);
    engine.load.end();
    Answer::json(StatusCode::OK, &plan.whole(engine.options.usage))
}

fn stream(
    engine: Arc<Engine>,
    request: String,
    plan: Plan,
    watch: Option<ConnectionWatch>,
) -> Answer {
    let (sender, pieces) = mpsc::channel(PIECES_AHEAD);
    tokio::spawn(async move {
        let Some(_place) = begin(&engine, &request, &plan, &watch).await else {
            return;
        };
        let mut generated = 0;
        while generated < plan.length {
            pause(engine.token_time()).await;
            let event = Bytes::from(plan.chunk(generated));
            if is_gone(&watch) || sender.send(Ok(event)).await.is_err() {
                break;
            }
            generated += 1;
            engine.remember_usage(&request, &plan, generated);
        }
        let event = if generated == plan.length { "finished" } else { "cancelled" };
        engine.note(event, &request, &plan, generated);
        engine.load.end();
        if generated == plan.length {
            let mut end = plan.last_chunk();
            end.push_str(&plan.usage_chunk(engine.options.usage).unwrap_or_default());
            end.push_str("data: [DONE]\n\n");
            // The reader may have gone after the last token; the journal says what was generated.
            let _ = sender.send(Ok(Bytes::from(end))).await;
        }
    });
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    Answer { status: StatusCode::OK, headers, body: AnswerBody::Stream(pieces) }
}

async fn pause(span: Duration) {
    if !span.is_zero() {
        tokio::time::sleep(span).await;
    }
}
