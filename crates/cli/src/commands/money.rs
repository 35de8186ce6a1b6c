//! Budgets, bills and the audit trail.

use super::Context;
use crate::arguments::text;
use crate::client::MachineResponse;
use crate::output::{CommandError, OutputFormat, print_columns, print_json};
use clap::ArgMatches;
use serde_json::Value;
use stackpost_control::views::{BillView, BudgetView};
use stackpost_types::RequestId;
use std::collections::BTreeMap;
use std::process::ExitCode;

pub(crate) async fn budgets(context: &Context) -> Result<ExitCode, CommandError> {
    let mut views: Vec<BudgetView> = context.fleet.get_from_any("/v1/budgets").await?;
    let billed = billed_by_budget(&all_bills(context, "/v1/bills").await?);
    for view in &mut views {
        view.billed = billed.get(view.budget.as_str()).copied().unwrap_or_default();
    }
    if context.output_format == OutputFormat::Json {
        print_json(&views)?;
        return Ok(ExitCode::SUCCESS);
    }
    let rows: Vec<Vec<String>> = views
        .iter()
        .map(|view| {
            let shares: Vec<String> =
                view.by_zone.iter().map(|(zone, share)| format!("{zone} {share}")).collect();
            vec![
                view.budget.to_string(),
                view.limit.to_string(),
                view.billed.to_string(),
                (view.limit - view.billed).to_string(),
                view.recall.to_string(),
                shares.join(", "),
            ]
        })
        .collect();
    print_columns(&["budget", "limit", "billed", "left", "recalled", "issued to"], &rows);
    Ok(ExitCode::SUCCESS)
}

fn billed_by_budget(bills: &[BillView]) -> BTreeMap<String, stackpost_types::Tokens> {
    let mut sums = BTreeMap::new();
    for view in bills {
        *sums.entry(view.bill.budget.to_string()).or_default() += view.bill.tokens;
    }
    sums
}

/// Bills from all replicas that respond, without duplicates. Each bill is stored by a majority of
/// the replicas.
async fn all_bills(context: &Context, path: &str) -> Result<Vec<BillView>, CommandError> {
    let responses: Vec<MachineResponse<Vec<BillView>>> =
        context.fleet.get_from_replicas(path).await;
    let mut merged: BTreeMap<(String, u64), BillView> = BTreeMap::new();
    let mut reached = 0;
    for reply in responses {
        match reply.response {
            Ok(views) => {
                reached += 1;
                for view in views {
                    merged.insert((view.account.clone(), view.bill.sequence), view);
                }
            }
            Err(reason) => eprintln!("not reached: control on {}: {reason}", reply.machine),
        }
    }
    if reached == 0 {
        return Err(CommandError::Fleet("no control replica answers".into()));
    }
    Ok(merged.into_values().collect())
}

pub(crate) async fn bills(
    context: &Context,
    matches: &ArgMatches,
) -> Result<ExitCode, CommandError> {
    let mut path = "/v1/bills?".to_string();
    if let Some(tenant) = matches.get_one::<String>("tenant") {
        path.push_str(&format!("tenant={tenant}&"));
    }
    if let Some(request) = matches.get_one::<String>("request") {
        if RequestId::parse(request).is_none() {
            let error = "--request: allowed: 32 hexadecimal digits";
            return Err(CommandError::Usage(error.into()));
        }
        path.push_str(&format!("request={request}&"));
    }
    let mut found = all_bills(context, &path).await?;
    found.sort_by_key(|view| view.bill.at);
    if context.output_format == OutputFormat::Json {
        print_json(&found)?;
        return Ok(ExitCode::SUCCESS);
    }
    let rows: Vec<Vec<String>> = found
        .iter()
        .map(|view| {
            let bill = &view.bill;
            vec![
                bill.request.to_string(),
                bill.tenant.to_string(),
                bill.budget.to_string(),
                bill.tokens.to_string(),
                format!("{:?}", bill.kind),
                view.account.clone(),
            ]
        })
        .collect();
    print_columns(&["request", "tenant", "budget", "tokens", "kind", "account"], &rows);
    Ok(ExitCode::SUCCESS)
}

pub(crate) async fn audit(
    context: &Context,
    matches: &ArgMatches,
) -> Result<ExitCode, CommandError> {
    let count = matches.get_one::<u64>("count").copied().unwrap_or_default();
    let mut path = format!("/v1/audit?count={count}");
    if matches.get_one::<String>("row").is_some() {
        path.push_str(&format!("&row={}", text(matches, "row")));
    }
    let records: Vec<Value> = context.fleet.get_from_any(&path).await?;
    if context.output_format == OutputFormat::Json {
        print_json(&records)?;
        return Ok(ExitCode::SUCCESS);
    }
    let cell = |record: &Value, field: &str| match &record[field] {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let rows: Vec<Vec<String>> = records
        .iter()
        .map(|record| {
            let outcome = record["outcome"]["outcome"].as_str().unwrap_or("?").to_string();
            let change = format!("{} -> {}", record["old"], record["new"]);
            vec![
                cell(record, "version"),
                cell(record, "at_ms"),
                cell(record, "operator"),
                cell(record, "from"),
                cell(record, "row"),
                outcome,
                change,
            ]
        })
        .collect();
    print_columns(&["version", "at (ms)", "operator", "from", "row", "outcome", "change"], &rows);
    Ok(ExitCode::SUCCESS)
}
