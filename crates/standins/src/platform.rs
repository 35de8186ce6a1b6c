//! Stand-in for the platform: a machine list that lags behind and a rate-limited weight store.

use serde::{Deserialize, Serialize};
use serde_json::json;
use stackpost_http::{Answer, Exchange, Method, StatusCode};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Window over which reads of weights are counted for the rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// An entry of the machine list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the back end.
    pub back_end: String,
    /// Whether the back end is leaving.
    pub leaving: bool,
}

/// State of the stand-in platform.
pub struct Platform {
    lag: Duration,
    weight_reads_per_second: usize,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    changes: BTreeMap<String, VecDeque<(Instant, bool)>>,
    weight_reads: VecDeque<Instant>,
}

impl Platform {
    /// A platform whose machine list is `lag` old.
    pub fn new(lag: Duration, weight_reads_per_second: usize) -> Arc<Self> {
        Arc::new(Self { lag, weight_reads_per_second, state: Mutex::default() })
    }

    fn set(&self, machine: Machine) {
        let mut state = self.lock();
        let changes = state.changes.entry(machine.back_end).or_default();
        changes.push_back((Instant::now(), machine.leaving));
    }

    /// The machine list as it was `lag` ago.
    fn list(&self) -> Vec<Machine> {
        let state = self.lock();
        let visible = state.changes.iter().filter_map(|(name, changes)| {
            let change = changes.iter().rev().find(|(at, _)| at.elapsed() >= self.lag)?;
            Some(Machine { back_end: name.clone(), leaving: change.1 })
        });
        visible.collect()
    }

    fn allow_weight_read(&self) -> bool {
        let mut state = self.lock();
        while state.weight_reads.front().is_some_and(|at| at.elapsed() >= RATE_WINDOW) {
            state.weight_reads.pop_front();
        }
        let allowed = state.weight_reads.len() < self.weight_reads_per_second;
        if allowed {
            state.weight_reads.push_back(Instant::now());
        }
        allowed
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handles one request.
pub async fn handle(platform: Arc<Platform>, mut exchange: Exchange) -> Answer {
    let path = exchange.uri.path().to_string();
    match (exchange.method.clone(), path.as_str()) {
        (Method::GET, "/v1/machines") => Answer::json(StatusCode::OK, &platform.list()),
        (Method::PUT, "/v1/machines") => {
            let bytes = exchange.body.read_all(MAX_BODY_BYTES).await.unwrap_or_default();
            match serde_json::from_slice(&bytes) {
                Ok(machine) => {
                    platform.set(machine);
                    Answer::text(StatusCode::OK, "done\n")
                }
                Err(error) => Answer::text(StatusCode::BAD_REQUEST, error.to_string()),
            }
        }
        (Method::GET, path) if path.starts_with("/v1/weights/") => {
            if platform.allow_weight_read() {
                Answer::text(StatusCode::OK, "weights\n")
            } else {
                Answer::text(StatusCode::TOO_MANY_REQUESTS, "slow down\n")
                    .with_header("retry-after", "1")
            }
        }
        _ => Answer::json(StatusCode::NOT_FOUND, &json!({ "error": format!("no {path}") })),
    }
}
