//! `status`: state of all control replicas and routers.

use super::Context;
use crate::client::From;
use crate::output::{CommandError, Form, print_columns, print_json};
use serde_json::json;
use stackpost_control::views::FleetView;
use stackpost_router_core::RouterStatus;
use std::process::ExitCode;

pub(crate) async fn run(context: &Context) -> Result<ExitCode, CommandError> {
    let replicas: Vec<From<FleetView>> = context.fleet.ask_replicas("/v1/status").await;
    let routers: Vec<From<RouterStatus>> = context.fleet.ask_routers("/v1/status").await;
    if context.form == Form::Json {
        let replicas: Vec<_> = replicas
            .iter()
            .map(|from| {
                json!({ "machine": from.machine, "status": from.answer.as_ref().ok(),
                                "error": from.answer.as_ref().err() })
            })
            .collect();
        let routers: Vec<_> = routers
            .iter()
            .map(|from| {
                json!({ "machine": from.machine, "status": from.answer.as_ref().ok(),
                                "error": from.answer.as_ref().err() })
            })
            .collect();
        print_json(&json!({ "control": replicas, "routers": routers }))?;
        return Ok(ExitCode::SUCCESS);
    }
    print_replicas(&replicas);
    println!();
    print_routers(&routers);
    print_unreachable(&replicas, &routers);
    Ok(ExitCode::SUCCESS)
}

fn print_replicas(replicas: &[From<FleetView>]) {
    let rows: Vec<Vec<String>> = replicas
        .iter()
        .filter_map(|from| from.answer.as_ref().ok())
        .map(|view| {
            let replica = &view.replica;
            let role = match (replica.has_lease, replica.is_leader, replica.is_voter) {
                (true, ..) => "leader",
                (false, true, _) => "leader, unconfirmed",
                (_, _, true) => "follower",
                _ => "learner",
            };
            vec![
                replica.name.to_string(),
                role.into(),
                replica.term.to_string(),
                replica.version.to_string(),
                replica.snapshot.to_string(),
            ]
        })
        .collect();
    print_columns(&["control", "role", "term", "version", "snapshot"], &rows);
}

fn print_routers(routers: &[From<RouterStatus>]) {
    let rows: Vec<Vec<String>> = routers
        .iter()
        .filter_map(|from| from.answer.as_ref().ok())
        .map(|status| {
            let state = match (status.ready, status.draining, status.solo) {
                (_, true, _) => "draining",
                (_, _, true) => "alone",
                (true, ..) => "ready",
                _ => "not ready",
            };
            vec![
                status.node.machine.to_string(),
                status.zone.to_string(),
                state.into(),
                status.version.to_string(),
                status.in_flight.to_string(),
                status.queued.to_string(),
                status.backup.as_ref().map_or("-".into(), |node| node.machine.to_string()),
                status.unarchived_bills.to_string(),
            ]
        })
        .collect();
    let header =
        ["router", "zone", "state", "version", "in flight", "queued", "backup", "bills waiting"];
    print_columns(&header, &rows);
}

fn print_unreachable(replicas: &[From<FleetView>], routers: &[From<RouterStatus>]) {
    let control = replicas
        .iter()
        .filter_map(|from| Some((&from.machine, "control", from.answer.as_ref().err()?)));
    let router = routers
        .iter()
        .filter_map(|from| Some((&from.machine, "router", from.answer.as_ref().err()?)));
    for (machine, role, reason) in control.chain(router) {
        println!("not reached: {role} on {machine}: {reason}");
    }
}
