//! Admin interface for operators and the platform: probes, metrics, status and traces.

use crate::server::RouterServer;
use serde::{Deserialize, Serialize};
use serde_json::json;
use stackpost_http::{Answer, Exchange, StatusCode};
use stackpost_types::{AccountId, BudgetName, RequestId, Tokens};
use std::sync::Arc;

/// Number of traces listed if the query has no `count`.
const DEFAULT_TRACE_COUNT: usize = 20;

/// An account's holding of a budget.
#[derive(Debug, Serialize, Deserialize)]
pub struct HoldingView {
    /// The account.
    pub account: AccountId,
    /// The budget.
    pub budget: BudgetName,
    /// Tokens that can still be reserved.
    pub available: Tokens,
    /// Tokens reserved by running requests.
    pub reserved: Tokens,
    /// Tokens billed.
    pub spent: Tokens,
}

/// Handles one admin request.
pub async fn handle(server: Arc<RouterServer>, exchange: Exchange) -> Answer {
    let query = exchange.uri.query().unwrap_or_default().to_string();
    match exchange.uri.path() {
        "/healthz" => Answer::text(StatusCode::OK, "ok\n"),
        "/readyz" => ready(&server),
        "/metrics" => metrics(&server),
        "/v1/status" => Answer::json(StatusCode::OK, &server.inspect(|router| router.status())),
        "/v1/holdings" => Answer::json(StatusCode::OK, &holdings(&server)),
        "/v1/explain" => explain(&server, &query),
        "/v1/decisions" => {
            let count = query_parameter(&query, "count").and_then(|text| text.parse().ok());
            let traces =
                server.inspect(|router| router.newest_traces(count.unwrap_or(DEFAULT_TRACE_COUNT)));
            Answer::json(StatusCode::OK, &traces)
        }
        path => Answer::json(StatusCode::NOT_FOUND, &json!({ "error": format!("no {path}") })),
    }
}

fn ready(server: &RouterServer) -> Answer {
    if server.inspect(|router| router.is_ready()) {
        return Answer::text(StatusCode::OK, "ready\n");
    }
    let reason =
        if server.is_draining() { "draining" } else { "no configuration or no backup yet" };
    Answer::text(StatusCode::SERVICE_UNAVAILABLE, format!("not ready: {reason}\n"))
}

fn metrics(server: &RouterServer) -> Answer {
    let status = server.inspect(|router| router.status());
    match server.metrics().render(&status) {
        Ok(text) => Answer::text(StatusCode::OK, text),
        Err(error) => Answer::text(StatusCode::INTERNAL_SERVER_ERROR, error),
    }
}

fn holdings(server: &RouterServer) -> Vec<HoldingView> {
    server.inspect(|router| {
        let views_of_account = |account: &stackpost_ledger::OwnedAccount| -> Vec<HoldingView> {
            let holdings = account.state().holdings().iter();
            holdings
                .map(|(budget, holding)| HoldingView {
                    account: account.id().clone(),
                    budget: budget.clone(),
                    available: holding.available(),
                    reserved: holding.reserved(),
                    spent: holding.spent(),
                })
                .collect()
        };
        router.accounts().flat_map(views_of_account).collect()
    })
}

fn explain(server: &RouterServer, query: &str) -> Answer {
    let Some(request) = query_parameter(query, "request").and_then(RequestId::parse) else {
        let error = json!({ "error": "`request`: 32 hexadecimal digits, as in x-request-id" });
        return Answer::json(StatusCode::BAD_REQUEST, &error);
    };
    match server.inspect(|router| router.trace(&request).cloned()) {
        Some(trace) => Answer::json(StatusCode::OK, &trace),
        None => {
            let error =
                json!({ "error": format!("{} knows nothing of {request}", server.machine()) });
            Answer::json(StatusCode::NOT_FOUND, &error)
        }
    }
}

/// The value of a query parameter.
pub fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
}
