//! Sends an edit and waits until it is in force.

use super::Context;
use crate::output::{CommandError, OutputFormat, print_json};
use serde_json::{Value, json};
use stackpost_control::views::{EditRequest, EditView, RowView};
use stackpost_control_core::ZoneProgress;
use stackpost_types::{Version, ZoneName};
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Longest wait until an accepted edit is in force.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Exit code when the row has been changed by another edit.
const EXIT_CONFLICT: u8 = 3;
/// Exit code when an edit is not yet in force in every zone.
const EXIT_NOT_IN_FORCE: u8 = 4;

/// A change of one table row.
pub(crate) struct RowChange {
    pub table: String,
    pub name: String,
    pub based_on: Version,
    pub row: Value,
}

impl RowChange {
    /// Converts the change to a request with a new id.
    pub fn into_request(self) -> EditRequest {
        EditRequest {
            id: uuid::Uuid::new_v4().to_string(),
            table: self.table,
            name: self.name,
            based_on: self.based_on,
            row: self.row,
        }
    }
}

/// Sends a change, prints its outcome, and if `follow` is set waits until it is in force.
pub(crate) async fn apply_change(
    context: &Context,
    change: RowChange,
    follow: bool,
) -> Result<ExitCode, CommandError> {
    let label = format!("{}/{}", change.table, change.name);
    let request = change.into_request();
    let started = Instant::now();
    let view = context.fleet.edit(&request).await?;
    if context.output_format == OutputFormat::Json {
        print_json(&view)?;
    } else {
        println!("{}", describe_outcome(&label, &view));
    }
    match view {
        EditView::Accepted { version, .. } if follow => {
            wait_until_in_force(context, version, started).await
        }
        EditView::Accepted { .. } => Ok(ExitCode::SUCCESS),
        EditView::Conflict { .. } => Ok(ExitCode::from(EXIT_CONFLICT)),
        _ => Ok(ExitCode::FAILURE),
    }
}

pub(crate) fn describe_outcome(label: &str, view: &EditView) -> String {
    match view {
        EditView::Accepted { version, recall: None } => format!("{label}: version {version}"),
        EditView::Accepted { version, recall: Some(recall) } => format!(
            "{label}: version {version}; the limit goes down to {} as far as rights come back: \
             zones hold or have spent {}",
            recall.limit, recall.held
        ),
        EditView::Conflict { current } => {
            format!("{label}: another edit came first; the row is now {}", row_text(current))
        }
        EditView::Invalid { field, found, allowed } => {
            format!("{label}: field `{field}`: found {found}; allowed: {allowed}")
        }
        EditView::NotLeader { .. } => format!("{label}: no leader"),
        EditView::Unconfirmed => format!("{label}: the outcome is not known yet"),
    }
}

fn row_text(current: &Option<RowView>) -> String {
    match current {
        Some(row) => format!("version {} {}", row.version, row.row),
        None => "deleted".to_string(),
    }
}

async fn wait_until_in_force(
    context: &Context,
    version: Version,
    started: Instant,
) -> Result<ExitCode, CommandError> {
    let mut in_force: BTreeMap<ZoneName, Duration> = BTreeMap::new();
    let mut zones: Vec<ZoneProgress> = Vec::new();
    while started.elapsed() < FOLLOW_TIMEOUT {
        let path = format!("/v1/in-force?version={version}");
        zones = context.fleet.get_from_any(&path).await?;
        for zone in &zones {
            let done = zone.routers > 0 && zone.in_force == zone.routers;
            if done && !in_force.contains_key(&zone.zone) {
                in_force.insert(zone.zone.clone(), started.elapsed());
            }
        }
        if in_force.len() == zones.len() {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    print_progress(context, &zones, &in_force)?;
    let everywhere = in_force.len() == zones.len();
    Ok(if everywhere { ExitCode::SUCCESS } else { ExitCode::from(EXIT_NOT_IN_FORCE) })
}

fn print_progress(
    context: &Context,
    zones: &[ZoneProgress],
    in_force: &BTreeMap<ZoneName, Duration>,
) -> Result<(), CommandError> {
    if context.output_format == OutputFormat::Json {
        let seconds: BTreeMap<_, _> =
            in_force.iter().map(|(zone, after)| (zone, after.as_secs_f64())).collect();
        return print_json(&json!({ "in_force_after_seconds": seconds }));
    }
    let completed: Vec<String> = in_force
        .iter()
        .map(|(zone, after)| format!("{zone} {:.2} s", after.as_secs_f64()))
        .collect();
    let pending: Vec<String> = zones
        .iter()
        .filter(|zone| !in_force.contains_key(&zone.zone))
        .map(|zone| match zone.routers {
            0 => format!("{}: no router answers, will follow", zone.zone),
            routers => format!("{}: {} of {routers} routers", zone.zone, zone.in_force),
        })
        .collect();
    println!("in force: {}", completed.join(", "));
    if !pending.is_empty() {
        println!("not yet: {}", pending.join("; "));
    }
    Ok(())
}
