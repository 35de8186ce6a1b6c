//! Orders to the stand-in engine, with or without a check of their fencing tokens.

use serde::{Deserialize, Serialize};
use stackpost_http::{Bytes, Client, StatusCode};
use stackpost_table::EngineRole;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Delay before a retry after the weight store has rate limited a read.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Attempts to read from the weight store before the order fails.
const STORE_MAX_ATTEMPTS: u32 = 30;

/// An order, with its fencing token `(term, version)`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Order {
    /// Term, the first part of the fencing token.
    pub term: u64,
    /// Version, the second part of the fencing token.
    pub version: u64,
    /// Models to load.
    pub models: Vec<String>,
    /// Role to take.
    pub role: EngineRole,
}

/// Error of an order whose token is older than the newest one received.
#[derive(Debug)]
pub struct StaleToken {
    /// The newest token received.
    pub newest: (u64, u64),
}

/// Models and role that an engine was ordered to have.
#[derive(Debug)]
pub struct OrderedState {
    checks_fence: bool,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    newest: (u64, u64),
    models: BTreeSet<String>,
    role: Option<EngineRole>,
}

impl OrderedState {
    /// State before the first order.
    pub fn new(checks_fence: bool) -> Self {
        Self { checks_fence, state: Mutex::default() }
    }

    /// Records the order's token and returns the models that have to be loaded for it; an error if
    /// tokens are checked and this one is stale.
    pub fn accept(&self, order: &Order) -> Result<Vec<String>, StaleToken> {
        let mut state = self.lock();
        let token = (order.term, order.version);
        if self.checks_fence && token < state.newest {
            return Err(StaleToken { newest: state.newest });
        }
        state.newest = token;
        let missing = order.models.iter().filter(|model| !state.models.contains(*model));
        Ok(missing.cloned().collect())
    }

    /// Records that `order` has been carried out. If tokens are checked, an order that has been
    /// superseded meanwhile is ignored.
    pub fn complete(&self, order: &Order) {
        let mut state = self.lock();
        if !self.checks_fence || state.newest == (order.term, order.version) {
            state.models = order.models.iter().cloned().collect();
            state.role = Some(order.role);
        }
    }

    /// Whether `model` can be served; before the first order every model can.
    pub fn serves(&self, model: &str) -> bool {
        let state = self.lock();
        state.models.is_empty() || state.models.contains(model)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads a model's weights, with retries while the store rate limits reads.
pub async fn load_weights(client: &Client, store: SocketAddr, model: &str) -> Result<(), String> {
    for _ in 0..STORE_MAX_ATTEMPTS {
        let request = hyper::http::Request::get(format!("http://{store}/v1/weights/{model}"))
            .body(Bytes::new())
            .map_err(|error| error.to_string())?;
        match client.exchange(request, Duration::from_secs(5)).await {
            Ok((StatusCode::OK, _)) => return Ok(()),
            Ok((StatusCode::TOO_MANY_REQUESTS, _)) => tokio::time::sleep(STORE_RETRY_DELAY).await,
            Ok((status, _)) => return Err(format!("weight store: status {status}")),
            Err(error) => return Err(format!("weight store: {error}")),
        }
    }
    Err("weight store: asked to come back too often".into())
}
