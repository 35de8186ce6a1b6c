//! `status`: state of all control replicas and routers.

use super::Context;
use crate::client::MachineResponse;
use crate::output::{CommandError, OutputFormat, print_columns, print_json};
use serde_json::json;
use stackpost_control::views::FleetView;
use stackpost_router_core::RouterStatus;
use std::process::ExitCode;

pub(crate) async fn run(context: &Context) -> Result<ExitCode, CommandError> {
    let replicas: Vec<MachineResponse<FleetView>> =
        context.fleet.get_from_replicas("/v1/status").await;
    let routers: Vec<MachineResponse<RouterStatus>> =
        context.fleet.get_from_routers("/v1/status").await;
    if context.output_format == OutputFormat::Json {
        let replicas: Vec<_> = replicas
            .iter()
            .map(|reply| {
                json!({ "machine": reply.machine, "status": reply.response.as_ref().ok(),
                                "error": reply.response.as_ref().err() })
            })
            .collect();
        let routers: Vec<_> = routers
            .iter()
            .map(|reply| {
                json!({ "machine": reply.machine, "status": reply.response.as_ref().ok(),
                                "error": reply.response.as_ref().err() })
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

fn print_replicas(replicas: &[MachineResponse<FleetView>]) {
    let rows: Vec<Vec<String>> = replicas
        .iter()
        .filter_map(|reply| reply.response.as_ref().ok())
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

fn print_routers(routers: &[MachineResponse<RouterStatus>]) {
    let rows: Vec<Vec<String>> = routers
        .iter()
        .filter_map(|reply| reply.response.as_ref().ok())
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

fn print_unreachable(
    replicas: &[MachineResponse<FleetView>],
    routers: &[MachineResponse<RouterStatus>],
) {
    let control = replicas
        .iter()
        .filter_map(|reply| Some((&reply.machine, "control", reply.response.as_ref().err()?)));
    let router = routers
        .iter()
        .filter_map(|reply| Some((&reply.machine, "router", reply.response.as_ref().err()?)));
    for (machine, role, reason) in control.chain(router) {
        println!("not reached: {role} on {machine}: {reason}");
    }
}
