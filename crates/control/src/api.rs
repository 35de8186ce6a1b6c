//! HTTP API of a control replica for operators.

use crate::replica_handle::{FileReplica, ReplicaHandle};
use crate::views::*;
use serde_json::{Value, json};
use stackpost_control_core::EditReply;
use stackpost_http::{Answer, Exchange, Method, StatusCode, header};
use stackpost_settings::OperatorsFile;
use stackpost_table::*;
use stackpost_types::*;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Largest request body of an edit, in bytes.
const MAX_EDIT_BYTES: usize = 1 << 20;
/// Audit records returned when the request names no count.
const DEFAULT_COUNT: usize = 50;

/// State of the request handler.
pub struct Api {
    /// Handle of the replica's thread.
    pub replica_handle: ReplicaHandle,
    /// Operators who may read and edit, with the hashes of their keys.
    pub operators: OperatorsFile,
}

/// Handles one request.
pub async fn handle(api: Arc<Api>, mut exchange: Exchange) -> Answer {
    match exchange.uri.path() {
        "/healthz" => return Answer::text(StatusCode::OK, "ok\n"),
        "/readyz" => return ready(&api.replica_handle).await,
        _ => {}
    }
    let Some(operator) = authenticate(&api.operators, &exchange) else {
        let message = "send an operator's key as `Authorization: Bearer <key>`";
        return Answer::json(StatusCode::UNAUTHORIZED, &json!({ "error": message }));
    };
    let query = exchange.uri.query().unwrap_or_default().to_string();
    let path = exchange.uri.path().to_string();
    match (exchange.method.clone(), path.as_str()) {
        (Method::GET, "/v1/table") => inspect(&api.replica_handle, all_rows).await,
        (Method::GET, "/v1/status") => inspect(&api.replica_handle, fleet_view).await,
        (Method::GET, "/v1/budgets") => inspect(&api.replica_handle, budgets).await,
        (Method::GET, "/v1/bills") => bills(&api.replica_handle, &query).await,
        (Method::GET, "/v1/audit") => audit(&api.replica_handle, &query).await,
        (Method::GET, "/v1/in-force") => in_force(&api.replica_handle, &query).await,
        (Method::POST, "/v1/edits") => edit(&api.replica_handle, operator, &mut exchange).await,
        _ => Answer::json(StatusCode::NOT_FOUND, &json!({ "error": format!("no {path}") })),
    }
}

fn authenticate(operators: &OperatorsFile, exchange: &Exchange) -> Option<OperatorName> {
    let text = exchange.headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let hash = KeyHash::of(text.strip_prefix("Bearer ")?.trim());
    let entry = operators.0.iter().find(|(_, allowed)| **allowed == hash);
    entry.map(|(name, _)| name.clone())
}

async fn ready(replica_handle: &ReplicaHandle) -> Answer {
    let status = replica_handle.inspect(|replica| replica.status()).await;
    match status {
        Some(status) if status.leader.is_some() => Answer::text(StatusCode::OK, "ready\n"),
        _ => Answer::text(StatusCode::SERVICE_UNAVAILABLE, "not ready: no leader is known\n"),
    }
}

async fn inspect<T: serde::Serialize + Send + 'static>(
    replica_handle: &ReplicaHandle,
    view: impl FnOnce(&FileReplica) -> T + Send + 'static,
) -> Answer {
    match replica_handle.inspect(view).await {
        Some(view) => Answer::json(StatusCode::OK, &view),
        None => replica_stopped(),
    }
}

fn replica_stopped() -> Answer {
    Answer::json(StatusCode::SERVICE_UNAVAILABLE, &json!({ "error": "the replica has stopped" }))
}

fn all_rows(replica: &FileReplica) -> Vec<RowView> {
    replica.state().table().all().filter_map(|(key, row)| row_view(key, row)).collect()
}

fn fleet_view(replica: &FileReplica) -> FleetView {
    let table = replica.state().table();
    FleetView {
        replica: replica.status(),
        zones: replica.progress(table.version()),
        accounts: table
            .accounts()
            .filter(|(_, row)| row.state != AccountState::Lost)
            .map(|(account, row)| account_view(account, row))
            .collect(),
    }
}

fn budgets(replica: &FileReplica) -> Vec<BudgetView> {
    let table = replica.state().table();
    let spent = replica.bills().spent();
    table
        .rows()
        .filter_map(|(key, row)| match (key, row) {
            (RowKey::Budget(name), Row::Budget(row)) => {
                let billed = spent.get(name).copied().unwrap_or_default();
                Some(budget_view(table, name, row, billed))
            }
            _ => None,
        })
        .collect()
}

async fn bills(replica_handle: &ReplicaHandle, query: &str) -> Answer {
    let tenant = query_parameter(query, "tenant");
    let request = query_parameter(query, "request").and_then(|text| RequestId::parse(&text));
    let read = replica_handle.inspect(|replica| replica.bills().read_all()).await;
    match read {
        Some(Ok(stored)) => {
            let matching: Vec<BillView> = stored
                .into_iter()
                .filter(|(_, bill)| tenant.as_ref().is_none_or(|name| bill.tenant.as_str() == name))
                .filter(|(_, bill)| request.is_none_or(|id| bill.request == id))
                .map(|(account, bill)| BillView { account: account.to_string(), bill })
                .collect();
            Answer::json(StatusCode::OK, &matching)
        }
        Some(Err(error)) => {
            Answer::json(StatusCode::INTERNAL_SERVER_ERROR, &json!({ "error": error.to_string() }))
        }
        None => replica_stopped(),
    }
}

async fn audit(replica_handle: &ReplicaHandle, query: &str) -> Answer {
    let count = query_parameter(query, "count").and_then(|text| text.parse().ok());
    let count = count.unwrap_or(DEFAULT_COUNT);
    let row = query_parameter(query, "row");
    let records = replica_handle
        .inspect(move |replica| -> Vec<Value> {
            let records = replica.state().audit().rev();
            records
                .filter(|record| row.as_ref().is_none_or(|row| record.key.to_string() == *row))
                .take(count)
                .map(audit_view)
                .collect()
        })
        .await;
    match records {
        Some(records) => Answer::json(StatusCode::OK, &records),
        None => replica_stopped(),
    }
}

fn audit_view(record: &AuditRecord) -> Value {
    json!({
        "version": record.version,
        "at_ms": record.at,
        "operator": record.operator,
        "from": record.origin,
        "row": record.key.to_string(),
        "old": record.old.as_ref().map(row_to_json),
        "new": record.new.as_ref().map(row_to_json),
        "outcome": edit_view(&record.key, record.outcome.clone()),
    })
}

async fn in_force(replica_handle: &ReplicaHandle, query: &str) -> Answer {
    let Some(version) = query_parameter(query, "version").and_then(|text| text.parse().ok()) else {
        let error = json!({ "error": "`version`: allowed: a whole number" });
        return Answer::json(StatusCode::BAD_REQUEST, &error);
    };
    inspect(replica_handle, move |replica| replica.progress(Version(version))).await
}

async fn edit(
    replica_handle: &ReplicaHandle,
    operator: OperatorName,
    exchange: &mut Exchange,
) -> Answer {
    let bytes = match exchange.body.read_all(MAX_EDIT_BYTES).await {
        Ok(bytes) => bytes,
        Err(_) => {
            let error = json!({ "error": "the body is too long or was cut off" });
            return Answer::json(StatusCode::BAD_REQUEST, &error);
        }
    };
    let request: EditRequest = match serde_json::from_slice(&bytes) {
        Ok(request) => request,
        Err(error) => {
            let error = json!({ "error": format!("the body is not an edit: {error}") });
            return Answer::json(StatusCode::BAD_REQUEST, &error);
        }
    };
    let (key, row) = match parse_edit(&request) {
        Ok(read) => read,
        Err(error) => return Answer::json(StatusCode::UNPROCESSABLE_ENTITY, &invalid_edit(error)),
    };
    let edit = Edit {
        id: EditId(request.id),
        operator,
        origin: exchange.peer.to_string(),
        received_at: wall_time(),
        key: key.clone(),
        based_on: request.based_on,
        row,
    };
    let view = match replica_handle.edit(edit).await {
        EditReply::Outcome(outcome) => edit_view(&key, outcome),
        EditReply::NotLeader { leader } => EditView::NotLeader { leader },
        EditReply::Unconfirmed => EditView::Unconfirmed,
    };
    Answer::json(status_of(&view), &view)
}

fn parse_edit(request: &EditRequest) -> Result<(RowKey, Option<Row>), FieldError> {
    let key = parse_key(&request.table, &request.name)?;
    let row = match &request.row {
        Value::Null => None,
        content => Some(parse_row(&key, content.clone())?),
    };
    Ok((key, row))
}

fn status_of(view: &EditView) -> StatusCode {
    match view {
        EditView::Accepted { .. } => StatusCode::OK,
        EditView::Conflict { .. } => StatusCode::CONFLICT,
        EditView::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        EditView::NotLeader { .. } => StatusCode::MISDIRECTED_REQUEST,
        EditView::Unconfirmed => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn query_parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_string())
}

fn wall_time() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(since.as_millis() as u64)
}
